//! Whether a target ended under requests.
//!
//! A connection that breaks says little: it may have been reset on its way, or the target may have broken off one answer. That nobody listens at the target's
//! address says more, but a zone that is cut off may refuse connections as well: in one such cut boxes were refused within 3 ms by 61 targets that
//! lived. So a target counts as ended if it refuses connections while another one of its zone accepts them, or if its entry tells of another life.

use super::{Fatal, RequestPrint};
use crate::beliefs::FleetHandle;
use crate::control::TargetEntry;
use crate::place::work::LifeHash;
use crate::pool::{Conn, Pool, SendError};
use rand::seq::IndexedRandom;
use sillpin_telemetry::{event, events};
use slog::Logger;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::time::Instant;

/// A connection that opened is looked at again after this: a process that ends may close its connections before it stops listening.
const SETTLE: Duration = Duration::from_millis(100);

/// Time between two looks at a target of which it is not clear whether it ended.
const LOOK_EVERY: Duration = Duration::from_millis(400);

/// Such a target is given up on after this. A zone that is cut off for longer leaves it open; the request counts the next target that ends.
const LOOK_FOR: Duration = Duration::from_secs(6);

/// Other targets of the zone that are tried, since one of them may have ended too.
const NEIGHBOURS: usize = 2;

/// Requests of one target that are remembered until it is clear whether it ended: more than a box has under way at one.
const MAX_WAITING: usize = 256;

/// A request whose answer broke off.
#[derive(Debug, Clone)]
pub struct Broken {
    /// Its id.
    pub id: String,
    /// What makes it like others.
    pub print: RequestPrint,
}

/// Looks after targets whose answers broke off; clones share what is being looked at.
#[derive(Clone)]
pub struct Witness {
    /// Connections to targets.
    pub pool: Pool,
    /// What is known of the fleet.
    pub fleet: FleetHandle,
    /// Who is told.
    pub fatal: Fatal,
    /// Log.
    pub log: Logger,
    waiting: Arc<Mutex<HashMap<LifeHash, Vec<Broken>>>>,
}

impl Witness {
    /// Looks at nothing yet.
    pub fn new(pool: Pool, fleet: FleetHandle, fatal: Fatal, log: Logger) -> Self {
        Self {
            pool,
            fleet,
            fatal,
            log,
            waiting: Arc::default(),
        }
    }

    /// The answer to a request broke off at a target: finds out whether the target ended.
    pub fn broke_off(&self, target: &Arc<TargetEntry>, broken: Broken) {
        self.look(target, Some(broken));
    }

    /// A target could not be reached where this box left a request of late: finds out whether it ended.
    pub fn unreachable(&self, target: &Arc<TargetEntry>) {
        let life = LifeHash::of(target);
        if self.fatal.record().has_left(life, Instant::now()) {
            self.look(target, None);
        }
    }

    fn look(&self, target: &Arc<TargetEntry>, broken: Option<Broken>) {
        let mut waiting = self.waiting();
        let known = waiting.get_mut(&LifeHash::of(target));
        if let Some(of_life) = known {
            of_life.extend(broken.filter(|_| of_life.len() < MAX_WAITING));
            return;
        }
        waiting.insert(LifeHash::of(target), broken.into_iter().collect());
        tokio::spawn(self.clone().look_after(target.clone()));
    }

    async fn look_after(self, target: Arc<TargetEntry>) {
        let (began, life) = (Instant::now(), LifeHash::of(&target));
        let ended = self.has_ended(&target).await;
        let under_way = self.waiting().remove(&life).unwrap_or_default();
        if !ended {
            return;
        }
        let prints = under_way.iter().map(|broken| broken.print);
        self.fatal.ended(life, prints, began);
        for broken in under_way {
            event!(self.log, events::TARGET_CRASHED, "request" => broken.id,
                "print" => broken.print.to_string(), "target" => target.id.as_str(),
                "elapsed_ms" => began.elapsed().as_millis());
        }
    }

    async fn has_ended(&self, target: &TargetEntry) -> bool {
        let until = Instant::now() + LOOK_FOR;
        while Instant::now() < until {
            match Conn::open(target).await {
                Ok(conn) => {
                    tokio::time::sleep(SETTLE).await;
                    if !conn.is_closed() {
                        self.pool.put(target.id.clone(), conn, None).await;
                        return false;
                    }
                    tokio::time::sleep(LOOK_EVERY).await;
                }
                Err(SendError::Refused { .. }) if self.refuses_alone(target).await => {
                    return true;
                }
                Err(_) if self.has_another_life(target) => return true,
                Err(_) => tokio::time::sleep(LOOK_EVERY).await,
            }
        }
        false
    }

    /// Whether a target that has just refused a connection does so again after another one of its zone has accepted one: a cut may end between
    /// the two.
    async fn refuses_alone(&self, target: &TargetEntry) -> bool {
        if !self.reaches_neighbour(target).await {
            return false;
        }
        matches!(Conn::open(target).await, Err(SendError::Refused { .. }))
    }

    /// Whether another target of the zone accepts connections.
    async fn reaches_neighbour(&self, target: &TargetEntry) -> bool {
        let view = self.fleet.view();
        let is_neighbour =
            |other: &&Arc<TargetEntry>| other.zone == target.zone && other.addr != target.addr;
        let neighbours: Vec<_> = view.targets.values().filter(is_neighbour).collect();
        let picked: Vec<_> = neighbours
            .sample(&mut rand::rng(), NEIGHBOURS)
            .map(|neighbour| Arc::clone(neighbour))
            .collect();
        for neighbour in picked {
            if let Ok(conn) = Conn::open(&neighbour).await {
                self.pool.put(neighbour.id.clone(), conn, None).await;
                return true;
            }
        }
        false
    }

    /// Whether the target is listed as started again since, or another one at its address.
    fn has_another_life(&self, target: &TargetEntry) -> bool {
        let view = self.fleet.view();
        let at_its_place =
            |other: &&Arc<TargetEntry>| other.id == target.id || other.addr == target.addr;
        let mut there = view.targets.values().filter(at_its_place);
        there.any(|other| LifeHash::of(other) != LifeHash::of(target))
    }

    fn waiting(&self) -> MutexGuard<'_, HashMap<LifeHash, Vec<Broken>>> {
        self.waiting.lock().unwrap_or_else(|e| e.into_inner())
    }
}
