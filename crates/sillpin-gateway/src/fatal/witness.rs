//! Whether a target ended under requests.
//!
//! A connection that breaks says little: it may have been reset on its way, or the target may have broken off one answer. Only when nobody listens
//! at the target's address any more, or its entry goes or tells of another life, has the target itself ended.

use super::RequestPrint;
use crate::beliefs::FleetHandle;
use crate::control::TargetEntry;
use crate::place::work::LifeHash;
use crate::pool::{Conn, Pool, SendError};
use sillpin_core::TargetId;
use sillpin_telemetry::{event, events};
use slog::Logger;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::time::Instant;

/// A connection that opened is looked at again after this: a process that ends may close its connections before it stops listening.
const SETTLE: Duration = Duration::from_millis(100);

/// Time between two looks at a target that says nothing.
const LOOK_EVERY: Duration = Duration::from_millis(400);

/// A silent target is given up on after this: an entry lapses some seconds after the last heartbeat of its target.
const LOOK_FOR: Duration = Duration::from_secs(6);

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
    /// Log.
    pub log: Logger,
    waiting: Arc<Mutex<HashMap<LifeHash, Vec<Broken>>>>,
}

impl Witness {
    /// Looks at nothing yet.
    pub fn new(pool: Pool, fleet: FleetHandle, log: Logger) -> Self {
        Self {
            pool,
            fleet,
            log,
            waiting: Arc::default(),
        }
    }

    /// The answer to a request broke off at a target: finds out whether the target ended.
    pub fn broke_off(&self, target: &Arc<TargetEntry>, broken: Broken) {
        let mut waiting = self.waiting();
        let of_life = waiting.entry(LifeHash::of(target)).or_default();
        let is_first = of_life.is_empty();
        if of_life.len() < MAX_WAITING {
            of_life.push(broken);
        }
        if is_first {
            tokio::spawn(self.clone().look_after(target.clone()));
        }
    }

    async fn look_after(self, target: Arc<TargetEntry>) {
        let began = Instant::now();
        let ended = self.has_ended(&target).await;
        let under_way = self.waiting().remove(&LifeHash::of(&target));
        if !ended {
            return;
        }
        for broken in under_way.unwrap_or_default() {
            event!(self.log, events::TARGET_ENDED, "request" => broken.id,
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
                }
                Err(SendError::Refused { .. }) => return true,
                Err(SendError::Unsent { .. } | SendError::Unanswered { .. }) => {
                    tokio::time::sleep(LOOK_EVERY).await;
                }
            }
            if !self.lists(&target.id, target) {
                return true;
            }
        }
        false
    }

    /// Whether the target is listed in the life that is looked at.
    fn lists(&self, id: &TargetId, target: &TargetEntry) -> bool {
        let view = self.fleet.view();
        let listed = view.targets.get(id);
        listed.is_some_and(|listed| listed.life == target.life && listed.addr == target.addr)
    }

    fn waiting(&self) -> MutexGuard<'_, HashMap<LifeHash, Vec<Broken>>> {
        self.waiting.lock().unwrap_or_else(|e| e.into_inner())
    }
}
