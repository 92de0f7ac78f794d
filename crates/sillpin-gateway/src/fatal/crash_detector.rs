//! Detects whether a target crashed while it ran requests.
//!
//! A broken connection is weak evidence: it may have been reset in transit, or the target may have aborted one response. A refused
//! connection is stronger, but a partitioned zone may refuse connections as well: in one such partition boxes were refused within 3 ms
//! by 61 targets that were alive. So a target counts as crashed if it refuses connections while another target of its zone accepts
//! them, or if its entry shows another incarnation.

use super::{FatalRequests, RequestFingerprint};
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

/// Time after which a new connection is checked again: a process that exits may close its connections before it stops listening.
const SETTLE: Duration = Duration::from_millis(100);

/// Time between two checks of a target of which it is unclear whether it crashed.
const LOOK_EVERY: Duration = Duration::from_millis(400);

/// Time after which the checks of such a target end. If its zone is partitioned for longer, the crash is not recorded; the next crash
/// under the request counts.
const LOOK_FOR: Duration = Duration::from_secs(6);

/// Number of other targets of the zone that are tried, since one of them may have crashed too.
const NEIGHBOURS: usize = 2;

/// Maximum number of requests per target that are retained until it is clear whether the target crashed: more than a box has in
/// flight at one.
const MAX_WAITING: usize = 256;

/// A request whose response was cut off.
#[derive(Debug, Clone)]
pub struct BrokenRequest {
    /// Its id.
    pub id: String,
    /// Its fingerprint.
    pub fingerprint: RequestFingerprint,
}

/// Checks targets whose responses were cut off; clones share the pending checks.
#[derive(Clone)]
pub struct CrashDetector {
    /// Connections to targets.
    pub pool: Pool,
    /// State of the fleet.
    pub fleet: FleetHandle,
    /// History that detected crashes are added to.
    pub fatal: FatalRequests,
    /// Logger.
    pub log: Logger,
    waiting: Arc<Mutex<HashMap<LifeHash, Vec<BrokenRequest>>>>,
}

impl CrashDetector {
    /// Creates a detector without pending checks.
    pub fn new(pool: Pool, fleet: FleetHandle, fatal: FatalRequests, log: Logger) -> Self {
        Self {
            pool,
            fleet,
            fatal,
            log,
            waiting: Arc::default(),
        }
    }

    /// Checks whether a target crashed, after its response to a request was cut off.
    pub fn response_broken(&self, target: &Arc<TargetEntry>, broken: BrokenRequest) {
        self.look(target, Some(broken));
    }

    /// Checks whether an unreachable target crashed, if this box recently abandoned an attempt there.
    pub fn unreachable(&self, target: &Arc<TargetEntry>) {
        let life = LifeHash::of(target);
        if self.fatal.record().has_left(life, Instant::now()) {
            self.look(target, None);
        }
    }

    fn look(&self, target: &Arc<TargetEntry>, broken: Option<BrokenRequest>) {
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
        let prints = under_way.iter().map(|broken| broken.fingerprint);
        self.fatal.ended(life, prints, began);
        for broken in under_way {
            event!(self.log, events::TARGET_ENDED, "request" => broken.id,
                "print" => broken.fingerprint.to_string(), "target" => target.id.as_str(),
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

    /// Returns whether a target that has just refused a connection does so again after another target of its zone has accepted one: a
    /// partition may end between the two.
    async fn refuses_alone(&self, target: &TargetEntry) -> bool {
        if !self.reaches_neighbour(target).await {
            return false;
        }
        matches!(Conn::open(target).await, Err(SendError::Refused { .. }))
    }

    /// Returns whether another target of the zone accepts connections.
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

    /// Returns whether the target is listed in another incarnation, or another target is listed at its address.
    fn has_another_life(&self, target: &TargetEntry) -> bool {
        let view = self.fleet.view();
        let at_its_place =
            |other: &&Arc<TargetEntry>| other.id == target.id || other.addr == target.addr;
        let mut there = view.targets.values().filter(at_its_place);
        there.any(|other| LifeHash::of(other) != LifeHash::of(target))
    }

    fn waiting(&self) -> MutexGuard<'_, HashMap<LifeHash, Vec<BrokenRequest>>> {
        self.waiting.lock().unwrap_or_else(|e| e.into_inner())
    }
}
