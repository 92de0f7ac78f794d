//! Requests that this box has in flight at each target, and the health of targets.
//!
//! - [`in_flight`]: requests in flight, and what is measured of them,
//! - [`peers`]: what boxes tell each other about their work.

pub mod in_flight;
pub mod peers;

pub use in_flight::{InFlightGuard, MeasuredRequest};

use super::engine_speed::EngineSpeeds;
use super::hold_time::HoldTime;
use super::limits::Limits;
use super::reach::Reach;
use super::signals::TargetSignals;
use super::silence::Silence;
use super::standing::{Queue, StandingQueues};
use super::stream_engines::{PromptKind, StreamEngines};
use super::stream_pace::StreamPaces;
use super::usage::Usage;
use super::work::{IncarnationHash, PeerWork, Work};
use super::work_changes::WorkChanges;
use crate::control::{Life, TargetEntry};
use sillpin_core::{TargetId, ZoneId};
use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Cooldown of a target that can't be reached, unless a connection to it succeeds earlier. The
/// target's entry expires after three heartbeats, so this only limits the effect of a probe that was
/// lost.
const UNREACHABLE_COOLDOWN: Duration = Duration::from_secs(15);

/// Cooldown of a target to which a box that is cut off from most of its pool has no path: until the next surveys.
const NO_PATH_COOLDOWN: Duration = Duration::from_millis(800);

/// First cooldown of a target that refused a request: a full queue drains in less. Doubled by each
/// further refusal in a row.
const REFUSAL_COOLDOWN: Duration = Duration::from_millis(250);

/// Longest cooldown after refusals: a load of weights that was not reported to this box takes one
/// to two seconds.
const MAX_REFUSAL_COOLDOWN: Duration = Duration::from_millis(1_000);

/// Cooldown of an engine that loads weights, unless the end of the load is known earlier: the
/// engine's requests end first, and the load takes 0.76 s, or more while others load.
const LOADING_COOLDOWN: Duration = Duration::from_millis(3_500);

/// Weight of the newest outcome in a target's failure rate, which covers about the last ten.
const OUTCOME_WEIGHT: f64 = 0.1;

/// Failure rate from which a target gets a cooldown: about three times the normal rate of targets
/// without a model (0.14).
const MAX_FAILURE_RATE: f64 = 0.4;

/// Number of outcomes from which the failure rate is used.
const MIN_OUTCOMES: u32 = 8;

/// Cooldown of a failing target.
const FAILING_COOLDOWN: Duration = Duration::from_secs(3);

/// End of the cooldown for each reason; ending one does not end the others.
#[derive(Debug, Clone, Copy, Default)]
struct Cooldowns {
    unreachable: Option<Instant>,
    no_path: Option<Instant>,
    refused: Option<Instant>,
    loading: Option<Instant>,
    failing: Option<Instant>,
}

impl Cooldowns {
    fn until(&self) -> Option<Instant> {
        let first = self.unreachable.max(self.no_path).max(self.refused);
        first.max(self.loading).max(self.failing)
    }
}

/// Load and health of one target.
#[derive(Debug, Clone, Copy, Default)]
pub struct Load {
    /// Number of requests in flight from this box.
    pub in_flight: u32,
    /// Work of these requests, for engines.
    pub work: Work,
    /// Short prompts among these requests, with the memory that their streams will hold.
    pub streams: Work,
    /// Whether the target is an engine that is out of use because nothing arrives from it.
    silent: bool,
    cooldowns: Cooldowns,
    refusals: u32,
    failure_rate: f64,
    outcomes: u32,
    /// The incarnation of the target to which all fields but the requests in flight apply.
    life: Option<Life>,
}

impl Load {
    /// Returns whether the target is in cooldown.
    pub fn in_cooldown(&self, now: Instant) -> bool {
        self.silent || self.cooldowns.until().is_some_and(|until| now < until)
    }

    /// Returns the share of recent requests that failed.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    fn record_outcome(&mut self, now: Instant, is_failure: bool) {
        let sample = if is_failure { 1.0 } else { 0.0 };
        self.failure_rate += OUTCOME_WEIGHT * (sample - self.failure_rate);
        self.outcomes = self.outcomes.saturating_add(1);
        if self.failure_rate > MAX_FAILURE_RATE && self.outcomes >= MIN_OUTCOMES {
            self.cooldowns.failing = Some(now + FAILING_COOLDOWN);
            self.failure_rate = MAX_FAILURE_RATE / 2.0;
        }
    }
}

/// Outcome of an attempt, as far as it concerns the target's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The target responded correctly.
    Served,
    /// The target could not be reached.
    Unreachable,
    /// This box has reached other targets of the pool lately, but few, and not this one.
    NoPath,
    /// The target can be reached again.
    Reachable,
    /// The target responded that it did not run the request.
    Refused,
    /// The response was interrupted, late, malformed or an error.
    Failed,
    /// The target is loading weights and takes no requests meanwhile.
    Loading,
    /// The target has finished loading weights.
    Loaded,
}

/// A zone counts as partitioned after this many failures to reach a target in it without a success
/// between.
const MIN_FAILURES: u32 = 2;

/// Time for which a zone that seems to be partitioned is avoided after the last failure.
const AVOID_TIME: Duration = Duration::from_secs(2);

/// Failures to reach targets of another zone since the last success.
#[derive(Debug, Clone, Copy)]
struct ZoneReachability {
    failures: u32,
    failed_at: Instant,
}

/// Guard of the loads of all targets.
pub type LoadTable<'a> = MutexGuard<'a, HashMap<TargetId, Load>>;

/// Loads of all targets, shared by all clones.
#[derive(Debug, Clone, Default)]
pub struct Loads {
    table: Arc<Mutex<HashMap<TargetId, Load>>>,
    zones: Arc<Mutex<HashMap<ZoneId, ZoneReachability>>>,
    peer_work: Arc<Mutex<PeerWork>>,
    hold_time: Arc<Mutex<HoldTime>>,
    standing: Arc<Mutex<StandingQueues>>,
    stream_engines: Arc<Mutex<StreamEngines>>,
    limits: Arc<Mutex<Limits>>,
    speeds: Arc<Mutex<EngineSpeeds>>,
    usage: Arc<Mutex<Usage>>,
    stream_paces: Arc<Mutex<StreamPaces>>,
    silence: Arc<Mutex<Silence>>,
    reach: Arc<Mutex<Reach>>,
    /// Notified when this box observes that a target's limit has started, changed or ended.
    pub limit_changed: Arc<Notify>,
    /// Notified when a response to this box announces that a target is leaving.
    pub leaving_observed: Arc<Notify>,
    /// Changes of this box's work that have not been sent to its zone yet.
    pub work_changes: WorkChanges,
}

impl Loads {
    /// Locks the loads of all targets for one decision.
    pub fn table(&self) -> LoadTable<'_> {
        self.lock()
    }

    fn lock(&self) -> LoadTable<'_> {
        self.table.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Locks the learned speeds of engines.
    pub fn speeds(&self) -> MutexGuard<'_, EngineSpeeds> {
        self.speeds.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Locks what organisations request of pools.
    pub fn usage(&self) -> MutexGuard<'_, Usage> {
        self.usage.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Locks the paces of streams.
    pub fn stream_paces(&self) -> MutexGuard<'_, StreamPaces> {
        self.stream_paces.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Locks what this box has heard from engines. The loads of targets may be locked while this is locked, but not the
    /// other way round.
    pub fn silence(&self) -> MutexGuard<'_, Silence> {
        self.silence.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Locks which targets this box reaches.
    pub fn reach(&self) -> MutexGuard<'_, Reach> {
        self.reach.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Records whether an engine is out of use because it is silent.
    pub fn set_silent(&self, target: &TargetId, silent: bool) {
        self.lock().entry(target.clone()).or_default().silent = silent;
    }

    /// Locks the limits of targets, with the signals that targets sent and the requests that count.
    pub fn limits(&self) -> MutexGuard<'_, Limits> {
        self.limits.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Calls `with` on the signals that targets sent. The lock is released when it returns.
    pub fn signals<T>(&self, with: impl FnOnce(&mut TargetSignals) -> T) -> T {
        with(&mut self.limits().signals)
    }

    /// Returns how long a token of an engine's memory is held on average, in milliseconds.
    pub fn memory_hold_ms(&self) -> f64 {
        self.hold_time
            .lock()
            .unwrap_or_else(|e| e.into_inner())
            .ms()
    }

    /// Locks the numbers of stream engines.
    pub fn stream_engines(&self) -> MutexGuard<'_, StreamEngines> {
        self.stream_engines
            .lock()
            .unwrap_or_else(|e| e.into_inner())
    }

    /// Records the queue of an engine that was chosen for a prompt of this kind, and returns the recent average of the
    /// kind, in milliseconds. `None` stands for prompts in pools without stream engines.
    pub fn record_queue(&self, kind: Option<PromptKind>, queue: Queue, now: Instant) -> f64 {
        let mut standing = self.standing.lock().unwrap_or_else(|e| e.into_inner());
        standing.record(kind, queue, now)
    }

    /// Records whether a target of a zone could be reached.
    pub fn record_reachability(&self, zone: &ZoneId, reached: bool) {
        let failed_at = Instant::now();
        let mut zones = self.zones.lock().unwrap_or_else(|e| e.into_inner());
        if reached {
            zones.remove(zone);
            return;
        }
        let reachability = zones.entry(zone.clone()).or_insert(ZoneReachability {
            failures: 0,
            failed_at,
        });
        reachability.failures += 1;
        reachability.failed_at = failed_at;
    }

    /// Returns whether this box seems to be partitioned from a zone.
    pub fn seems_partitioned(&self, zone: &ZoneId, now: Instant) -> bool {
        let zones = self.zones.lock().unwrap_or_else(|e| e.into_inner());
        let reachability = zones.get(zone);
        reachability.is_some_and(|r| r.failures >= MIN_FAILURES && now - r.failed_at < AVOID_TIME)
    }

    /// Returns the load and health of a target.
    pub fn get(&self, target: &TargetId) -> Load {
        self.lock().get(target).copied().unwrap_or_default()
    }

    /// Records the outcome of an attempt.
    pub fn record(&self, target: &TargetId, outcome: Outcome) {
        self.record_for_incarnation(target, None, outcome);
    }

    /// Records the outcome of an attempt at one incarnation of a target; ignored if the target has
    /// restarted since.
    pub fn record_for_incarnation(&self, target: &TargetId, life: Option<Life>, outcome: Outcome) {
        let now = Instant::now();
        let mut table = self.lock();
        let load = table.entry(target.clone()).or_default();
        if life.is_some() && load.life.is_some() && life != load.life {
            return;
        }
        load.life = load.life.or(life);
        match outcome {
            Outcome::Served => {
                load.refusals = 0;
                load.record_outcome(now, false);
            }
            Outcome::Failed => load.record_outcome(now, true),
            Outcome::Refused => {
                let cooldown = REFUSAL_COOLDOWN * 2u32.pow(load.refusals.min(4));
                load.refusals += 1;
                let until = now + cooldown.min(MAX_REFUSAL_COOLDOWN);
                load.cooldowns.refused = load.cooldowns.refused.max(Some(until));
            }
            Outcome::Loading => load.cooldowns.loading = Some(now + LOADING_COOLDOWN),
            Outcome::Loaded => {
                load.refusals = 0;
                load.cooldowns.refused = None;
                load.cooldowns.loading = None;
            }
            Outcome::Unreachable => load.cooldowns.unreachable = Some(now + UNREACHABLE_COOLDOWN),
            Outcome::NoPath => load.cooldowns.no_path = Some(now + NO_PATH_COOLDOWN),
            Outcome::Reachable => {
                load.cooldowns.no_path = None;
                if load.cooldowns.unreachable.take().is_some() {
                    self.limits().slow_start.record_return(target, now);
                }
            }
        }
    }

    /// Removes targets that are not listed and have no requests in flight, and resets the health of
    /// targets that have restarted. Requests sent to an earlier incarnation count until they end.
    pub fn retain_listed(&self, targets: &HashMap<TargetId, Arc<TargetEntry>>) {
        let now = Instant::now();
        self.limits()
            .retain_listed(|id| targets.contains_key(id), now);
        let incarnations: HashSet<IncarnationHash> = targets
            .values()
            .map(|entry| IncarnationHash::of(entry))
            .collect();
        let is_listed = |life| incarnations.contains(&life);
        self.signals(|signals| signals.retain_listed(is_listed, now));
        self.speeds().retain_listed(is_listed);
        let mut table = self.lock();
        table.retain(|id, load| load.in_flight > 0 || targets.contains_key(id));
        for (id, load) in table.iter_mut() {
            let life = targets.get(id).and_then(|entry| entry.life);
            if life.is_none() || load.life == life {
                continue;
            }
            let has_restarted = load.life.is_some();
            load.life = life;
            if has_restarted {
                load.cooldowns = Cooldowns::default();
                load.refusals = 0;
                load.failure_rate = 0.0;
                load.outcomes = 0;
            }
        }
    }
}
