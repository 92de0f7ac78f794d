//! Requests that wait in the box until an engine has room for them.
//!
//! An engine that gets more than its memory holds puts prompts back and reads them twice, and what it had fetched for a
//! prompt in its queue is gone or too old by the time that the prompt's turn comes. So a prompt waits here, where it can
//! still go to whichever engine has room first, in the order of urgency and arrival. It waits no longer than
//! it can still be in time: then it goes to the engine that costs it least, behind those that are in time.

use super::admit::Run;
use super::drive::Progress;
use super::shared::Shared;
use crate::config::Priority;
use crate::dialect::Dialect;
use rand::RngExt;
use sillpin_core::PoolId;
use std::collections::{BTreeSet, HashMap};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::time::Instant;

/// Least and longest time between two looks for room: boxes tell each other of their work every 60 ms, and boxes that
/// look at the same moment take the same room.
const LOOK_MS: std::ops::Range<u64> = 10..40;

/// Order in which requests leave: the most urgent first, then by arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Turn {
    priority: Priority,
    arrival: Instant,
    number: u64,
}

#[derive(Debug, Default)]
struct Queues {
    turns: HashMap<PoolId, BTreeSet<Turn>>,
    joined: u64,
}

/// The requests of a box that wait, by pool; clones share them.
#[derive(Debug, Clone, Default)]
pub struct Waiting {
    queues: Arc<Mutex<Queues>>,
}

impl Waiting {
    fn lock(&self) -> MutexGuard<'_, Queues> {
        self.queues.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Takes a place among those that wait for a pool, until it is dropped.
    pub fn join(&self, pool: &PoolId, priority: Priority, arrival: Instant) -> Place {
        let mut queues = self.lock();
        queues.joined += 1;
        let turn = Turn {
            priority,
            arrival,
            number: queues.joined,
        };
        let turns = queues.turns.entry(pool.clone()).or_default();
        turns.insert(turn);
        Place {
            waiting: self.clone(),
            pool: pool.clone(),
            turn,
        }
    }
}

/// A place among the requests that wait.
#[derive(Debug)]
pub struct Place {
    waiting: Waiting,
    pool: PoolId,
    turn: Turn,
}

impl Place {
    /// Whether nobody goes before.
    pub fn is_first(&self) -> bool {
        let queues = self.waiting.lock();
        let turns = queues.turns.get(&self.pool);
        turns.and_then(BTreeSet::first) == Some(&self.turn)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut queues = self.waiting.lock();
        let Some(turns) = queues.turns.get_mut(&self.pool) else {
            return;
        };
        turns.remove(&self.turn);
        if turns.is_empty() {
            queues.turns.remove(&self.pool);
        }
    }
}

impl<D: Dialect> Shared<D> {
    /// Waits until an engine has room for a prompt, or until it cannot be in time if it waits longer.
    pub async fn wait_for_room(&self, run: &Run, pool: &PoolId, progress: &Progress) {
        if run.demand.prompt.is_none() {
            return;
        }
        let place = self.waiting.join(pool, run.priority(), run.arrival);
        loop {
            let view = self.fleet.view();
            let Some(found) = self.select(run, pool, &view, progress) else {
                return;
            };
            if found.chosen.fits && place.is_first() {
                return;
            }
            if !found.can_wait(run, Instant::now()) {
                return;
            }
            let pause = rand::rng().random_range(LOOK_MS);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
    }
}
