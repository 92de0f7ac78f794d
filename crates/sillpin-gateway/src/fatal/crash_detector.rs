//! Detects whether a target crashed while it ran requests.
//!
//! A broken connection is weak evidence: it may have been reset in transit, or the target may have aborted one response. A refused
//! connection is stronger, but connections to a partitioned zone may be refused within milliseconds as well, although its targets are
//! alive. So a target counts as crashed if it refuses connections while another target of its zone accepts
//! them, or if its entry shows another incarnation. A target that crashed may accept connections again before its new entry arrives.

use super::{Candidates, FatalRequests};
use crate::control::TargetEntry;
use crate::fleet_state::FleetHandle;
use crate::placement::work::IncarnationHash;
use crate::pool::{Conn, ConnectionPool, SendError};
use crate::tasks::Tasks;
use rand::seq::IndexedRandom;
use sillpin_telemetry::{event, events};
use slog::Logger;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::time::Instant;

/// Time after which a new connection is checked again: a process that exits may close its connections before it stops listening.
const SETTLE_TIME: Duration = Duration::from_millis(100);

/// Shortest and longest time between two checks of a target of which it is unclear whether it crashed; it doubles from one to the
/// other.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(25);
const MAX_CHECK_INTERVAL: Duration = Duration::from_millis(400);

/// Time after which the checks of such a target end. If its zone is partitioned for longer, the crash is not recorded; the next crash
/// under the request counts.
const CHECK_TIMEOUT: Duration = Duration::from_secs(6);

/// Number of other targets of the zone that are tried, since one of them may have crashed too.
const MAX_NEIGHBOURS: usize = 2;

/// Maximum number of requests per target that are retained until it is clear whether the target crashed: more than a box has in
/// flight at one.
const MAX_PENDING: usize = 256;

/// What a check of a target shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reach {
    /// It accepts connections and keeps them open.
    Reached,
    /// It refuses connections while another target of its zone accepts them.
    OnlyItRefuses,
    /// It may have crashed, or the path to it is lost.
    Unclear,
}

/// A request whose response was cut off.
#[derive(Debug, Clone)]
pub struct BrokenRequest {
    /// Its id.
    pub id: String,
    /// What may be the cause if the target crashed; the request's fingerprint comes first.
    pub candidates: Candidates,
    /// The parts of its prompt that it may share with others, for logs.
    pub parts: String,
}

/// A check that is under way.
#[derive(Debug, Default)]
struct PendingCheck {
    requests: Vec<BrokenRequest>,
    /// How often there was reason to check the target.
    reasons: usize,
}

/// Checks targets whose responses were cut off; clones share the pending checks.
#[derive(Clone)]
pub struct CrashDetector {
    /// Connections to targets.
    pub pool: ConnectionPool,
    /// State of the fleet.
    pub fleet: FleetHandle,
    /// History that detected crashes are added to.
    pub fatal: FatalRequests,
    /// Supervises the checks.
    pub tasks: Tasks,
    /// Logger.
    pub log: Logger,
    pending: Arc<Mutex<HashMap<IncarnationHash, PendingCheck>>>,
}

impl CrashDetector {
    /// Creates a detector without pending checks.
    pub fn new(
        pool: ConnectionPool,
        fleet: FleetHandle,
        fatal: FatalRequests,
        tasks: Tasks,
        log: Logger,
    ) -> Self {
        Self {
            pool,
            fleet,
            fatal,
            tasks,
            log,
            pending: Arc::default(),
        }
    }

    /// Checks whether a target crashed, after its response to a request was cut off.
    pub fn response_broken(&self, target: &Arc<TargetEntry>, broken: BrokenRequest) {
        self.start_check(target, Some(broken));
    }

    /// Checks whether an unreachable target crashed, if this box recently abandoned an attempt there.
    pub fn unreachable(&self, target: &Arc<TargetEntry>) {
        let incarnation = IncarnationHash::of(target);
        if self
            .fatal
            .record()
            .has_abandoned(incarnation, Instant::now())
        {
            self.start_check(target, None);
        }
    }

    fn start_check(&self, target: &Arc<TargetEntry>, broken: Option<BrokenRequest>) {
        let mut pending = self.pending();
        let incarnation = IncarnationHash::of(target);
        let is_running = pending.contains_key(&incarnation);
        let check = pending.entry(incarnation).or_default();
        check.reasons += 1;
        let has_room = check.requests.len() < MAX_PENDING;
        check.requests.extend(broken.filter(|_| has_room));
        if !is_running {
            let (detector, target) = (self.clone(), target.clone());
            let check = move || detector.clone().check(target.clone());
            self.tasks.job("check of a target", check);
        }
    }

    async fn check(self, target: Arc<TargetEntry>) {
        let (began, incarnation) = (Instant::now(), IncarnationHash::of(&target));
        let crashed = self.has_crashed(&target).await;
        let check = self.pending().remove(&incarnation).unwrap_or_default();
        if !crashed {
            return;
        }
        let fingerprints = check
            .requests
            .iter()
            .flat_map(|broken| broken.candidates.iter().copied());
        self.fatal.record_crash(incarnation, fingerprints, began);
        for broken in check.requests {
            event!(self.log, events::TARGET_CRASHED, "request" => broken.id,
                "print" => broken.candidates.request().to_string(), "parts" => broken.parts, "target" => target.id.as_str(),
                "elapsed_ms" => began.elapsed().as_millis());
        }
    }

    async fn has_crashed(&self, target: &TargetEntry) -> bool {
        let until = Instant::now() + CHECK_TIMEOUT;
        let mut interval = MIN_CHECK_INTERVAL;
        let mut reasons = self.reasons(target);
        let mut reach = self.reach(target).await;
        if reach == Reach::Reached {
            return false;
        }
        while reach != Reach::OnlyItRefuses && Instant::now() < until {
            if self.is_replaced(target) {
                return true;
            }
            tokio::time::sleep(interval).await;
            interval = (interval * 2).min(MAX_CHECK_INTERVAL);
            // Once it is reached again, only its entry tells whether it was started anew meanwhile, until it breaks another response.
            let known = std::mem::replace(&mut reasons, self.reasons(target));
            if reach != Reach::Reached || reasons > known {
                reach = self.reach(target).await;
            }
        }
        reach == Reach::OnlyItRefuses
    }

    /// Returns how often there was reason to check a target since its check began.
    fn reasons(&self, target: &TargetEntry) -> usize {
        let pending = self.pending();
        let check = pending.get(&IncarnationHash::of(target));
        check.map_or(0, |check| check.reasons)
    }

    /// Checks whether a target accepts connections.
    async fn reach(&self, target: &TargetEntry) -> Reach {
        match Conn::open(target).await {
            Ok(conn) => {
                tokio::time::sleep(SETTLE_TIME).await;
                // A relay between may accept connections for a target that has ended.
                if conn.is_closed() {
                    return Reach::Unclear;
                }
                self.pool.put(target.id.clone(), conn, None).await;
                Reach::Reached
            }
            Err(SendError::Refused { .. }) if self.only_target_refuses(target).await => {
                Reach::OnlyItRefuses
            }
            Err(_) => Reach::Unclear,
        }
    }

    /// Returns whether a target that has just refused a connection does so again after another target of its zone has accepted one: a
    /// partition may end between the two.
    async fn only_target_refuses(&self, target: &TargetEntry) -> bool {
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
            .sample(&mut rand::rng(), MAX_NEIGHBOURS)
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
    fn is_replaced(&self, target: &TargetEntry) -> bool {
        let view = self.fleet.view();
        let is_same_place =
            |other: &&Arc<TargetEntry>| other.id == target.id || other.addr == target.addr;
        let mut matching = view.targets.values().filter(is_same_place);
        matching.any(|other| IncarnationHash::of(other) != IncarnationHash::of(target))
    }

    fn pending(&self) -> MutexGuard<'_, HashMap<IncarnationHash, PendingCheck>> {
        self.pending.lock().unwrap_or_else(|e| e.into_inner())
    }
}
