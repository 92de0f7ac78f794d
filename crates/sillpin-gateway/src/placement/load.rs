//! Requests that this box has in flight at each target, and the health of targets.

use super::direct_work::ZoneScope;
use super::engine_speed::clean::{WatchId, WatchedRequest};
use super::engine_speed::{EngineSpeeds, MAX_QUEUE_MS, PaceSample, PoolSpeed};
use super::hold_time::HoldTime;
use super::limits::Limits;
use super::signals::TargetSignals;
use super::silence::Silence;
use super::standing::{Queue, StandingQueues};
use super::stream_engines::{PromptKind, StreamEngines};
use super::stream_pace::StreamPaces;
use super::usage::Usage;
use super::work::{EngineWork, IncarnationHash, PeerWork, RowKind, TargetHash, Work};
use super::work_changes::{Urgency, WorkChanges};
use crate::control::{Life, TargetEntry};
use crate::peers::datagram::{BoxHash, EngineUpdate};
use sillpin_core::{BoxId, PoolId, TargetId, Tokens, ZoneId};
use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Cooldown of a target that can't be reached, unless a connection to it succeeds earlier. The
/// target's entry expires after three heartbeats, so this only limits the effect of a probe that was
/// lost.
const UNREACHABLE_COOLDOWN: Duration = Duration::from_secs(15);

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
    refused: Option<Instant>,
    loading: Option<Instant>,
    failing: Option<Instant>,
}

impl Cooldowns {
    fn until(&self) -> Option<Instant> {
        let first = self.unreachable.max(self.refused);
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
    /// Notified when this box observes that a target's limit has started, changed or ended.
    pub limit_changed: Arc<Notify>,
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

    /// Returns this box's work at engines, and what else it reports of them and of organisations, to
    /// be sent to other boxes.
    pub fn updates_to_send(&self) -> Vec<EngineWork> {
        self.check_measurements(Instant::now());
        let table = self.lock();
        let working = table.iter().filter(|(_, load)| load.work.tokens >= 1.0);
        let working = working.map(|(id, load)| EngineWork::of(id, load.work));
        let streaming = table
            .iter()
            .filter(|(_, load)| load.streams.requests >= 1.0);
        let streams = streaming.map(|(id, load)| {
            let row = TargetHash::for_rows(id.as_str(), RowKind::Streams);
            EngineWork::at(row, load.streams)
        });
        let mut rows: Vec<EngineWork> = working.chain(streams).collect();
        drop(table);
        rows.extend(self.speeds().rows(Instant::now()));
        rows.extend(self.usage().updates_to_send(Instant::now()));
        rows.extend(self.silence().rows());
        rows
    }

    /// Returns this box's work at some targets, with rows of zeros for those without work.
    pub fn work_at(&self, targets: &[TargetId]) -> Vec<EngineWork> {
        let table = self.lock();
        let work = |id| table.get(id).map_or(Work::default(), |load| load.work);
        let rows = targets.iter().map(|id| EngineWork::of(id, work(id)));
        rows.collect()
    }

    /// Sets the zone whose boxes send their work directly; `None` if they don't.
    pub fn set_zone_scope(&self, scope: Option<ZoneScope>) {
        let engines = scope.as_ref().map(|scope| scope.engines.clone());
        self.work_changes.set_engines(engines.unwrap_or_default());
        self.peer_table().direct.set_scope(scope);
    }

    /// Applies what a box of the zone sent of its work.
    pub fn apply_engine_update(&self, update: EngineUpdate, now: Instant) {
        self.peer_table().direct.apply(update, now);
    }

    /// Returns those of the boxes from which direct updates arrived recently.
    pub fn heard_directly(&self, peers: &[BoxHash], now: Instant) -> HashSet<BoxHash> {
        let peer_work = self.peer_table();
        let heard = |peer: &&BoxHash| peer_work.direct.is_heard(**peer, now);
        peers.iter().filter(heard).copied().collect()
    }

    /// Returns whether the work of nearly all live boxes of a zone is known without delay.
    pub fn is_fresh(&self, zone: &ZoneId, now: Instant) -> bool {
        self.peer_table().is_fresh(zone, now)
    }

    /// Returns whether the own zone is fresh, if direct updates are used.
    pub fn is_own_zone_fresh(&self, now: Instant) -> bool {
        let peer_work = self.peer_table();
        let zone = peer_work.direct.zone();
        zone.is_some_and(|zone| peer_work.is_fresh(zone, now))
    }

    fn peer_table(&self) -> MutexGuard<'_, PeerWork> {
        self.peer_work.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Locks the learned speeds of engines.
    pub fn speeds(&self) -> MutexGuard<'_, EngineSpeeds> {
        self.speeds.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Learns from requests that met no queue according to the reports of other boxes.
    fn check_measurements(&self, now: Instant) {
        let peer_work = self.peer_work.lock().unwrap_or_else(|e| e.into_inner());
        self.speeds().check(peer_work.reported_prefills(now), now);
    }

    /// Returns the speed of a pool's engines, as measured by this box and by others.
    pub fn pool_speed(&self, pool: &PoolId, now: Instant) -> PoolSpeed {
        let needs_peers = self.speeds().needs_peers(pool, now);
        if needs_peers {
            let row = TargetHash::for_rows(pool.as_str(), RowKind::Rates);
            let sums = self.peer_work(now).get(&row).copied();
            self.speeds().set_peers(pool, sums.unwrap_or_default(), now);
        }
        self.speeds().speed(pool, now)
    }

    /// Returns the number of requests in flight at a target, those of other boxes included.
    fn requests_at(&self, target: &TargetId, now: Instant) -> f64 {
        let own = self.get(target).work.requests;
        let peers = self.peer_work(now);
        own + peers
            .get(&TargetHash::of(target))
            .map_or(0.0, |work| work.requests)
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

    /// Records whether an engine is out of use because it is silent.
    pub fn set_silent(&self, target: &TargetId, silent: bool) {
        self.lock().entry(target.clone()).or_default().silent = silent;
    }

    /// Stores the work that another box reported.
    pub fn apply_update(&self, from: BoxId, work: Vec<EngineWork>) {
        let mut peer_work = self.peer_work.lock().unwrap_or_else(|e| e.into_inner());
        peer_work.apply_update(from, work, Instant::now());
    }

    /// Stores the work that this box reported to its hub.
    pub fn set_own_report(&self, work: Vec<EngineWork>) {
        let mut peer_work = self.peer_work.lock().unwrap_or_else(|e| e.into_inner());
        peer_work.set_own_report(work);
    }

    /// Stores the total work of all boxes from the hub of a large zone.
    pub fn apply_zone_totals(&self, work: Vec<EngineWork>, members: &[BoxHash]) {
        let mut peer_work = self.peer_work.lock().unwrap_or_else(|e| e.into_inner());
        peer_work.apply_zone_totals(work, members, Instant::now());
    }

    /// Returns whether a box, or the hub on its behalf, sent a message recently.
    pub fn has_recent_report(&self, from: &BoxId, now: Instant) -> bool {
        let peer_work = self.peer_work.lock().unwrap_or_else(|e| e.into_inner());
        peer_work.has_recent_report(from, now)
    }

    /// Returns whether the hub of a large zone sent a message recently.
    pub fn is_hub_responsive(&self, now: Instant) -> bool {
        let peer_work = self.peer_work.lock().unwrap_or_else(|e| e.into_inner());
        peer_work.is_hub_responsive(now)
    }

    /// Returns whether a box of the zone may be alive, according to the zone's hub.
    pub fn may_be_alive(&self, id: &BoxId, now: Instant) -> bool {
        let peer_work = self.peer_work.lock().unwrap_or_else(|e| e.into_inner());
        peer_work.may_be_alive(id, now)
    }

    /// Returns the work of all other boxes at each engine.
    pub fn peer_work(&self, now: Instant) -> Arc<HashMap<TargetHash, Work>> {
        let peer_work = self.peer_work.lock().unwrap_or_else(|e| e.into_inner());
        peer_work.engine_totals(now)
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

    fn record_hold_time(&self, tokens: f64, time: Duration, now: Instant) {
        let mut hold_time = self.hold_time.lock().unwrap_or_else(|e| e.into_inner());
        hold_time.record(tokens, time, now);
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

    /// Counts a request as in flight at a target until the guard is dropped.
    pub fn start(&self, target: &TargetId, work: Work) -> InFlightGuard {
        self.start_stream(target, work, Work::default())
    }

    /// Counts a request as in flight at a target until the guard is dropped. `stream` is the work of its stream if its
    /// prompt is short.
    pub fn start_stream(&self, target: &TargetId, work: Work, stream: Work) -> InFlightGuard {
        self.limits().record_sent(target, Instant::now());
        let mut table = self.lock();
        let load = table.entry(target.clone()).or_default();
        load.in_flight += 1;
        load.work.add(work);
        load.streams.add(stream);
        drop(table);
        self.record_change(target, work, Urgency::Immediate);
        InFlightGuard {
            loads: self.clone(),
            target: target.clone(),
            work,
            stream,
            prefill_ms: work.prefill_ms,
            first_event: None,
            measured: None,
        }
    }

    /// Records that the work at a target has changed, if it is an engine's.
    fn record_change(&self, target: &TargetId, work: Work, urgency: Urgency) {
        if work.tokens >= 1.0 {
            self.work_changes.record(target, urgency);
        }
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
            Outcome::Reachable => {
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

/// A request whose times are used to learn the speed of engines.
#[derive(Debug)]
pub struct MeasuredRequest {
    /// Pool of the engine.
    pub pool: PoolId,
    /// The engine.
    pub engine: IncarnationHash,
    /// Prompt tokens that are not fetched.
    pub tokens: Tokens,
    /// Known queue at the engine, in milliseconds.
    pub queue_ms: f64,
    /// Whether the time to the first event is that of a prefill without waits for transfers.
    pub is_start_clean: bool,
    /// When the request was sent.
    pub sent: Instant,
}

/// Events of a measured request.
#[derive(Debug)]
struct Measurement {
    request: MeasuredRequest,
    watch: Option<WatchId>,
    events: u32,
    last_event: Instant,
    /// Concurrent requests at the engine at the first event.
    first_batch: f64,
}

/// A request in flight at a target.
#[derive(Debug)]
pub struct InFlightGuard {
    loads: Loads,
    target: TargetId,
    work: Work,
    /// Work of its stream if its prompt is short.
    stream: Work,
    /// Expected engine time for the prefill of its prompt, in milliseconds.
    prefill_ms: f64,
    /// When the first event of the response came.
    first_event: Option<Instant>,
    measured: Option<Measurement>,
}

impl InFlightGuard {
    /// Uses the request's times to learn the speed of engines.
    pub fn measured(mut self, request: Option<MeasuredRequest>) -> Self {
        let is_learning = self.loads.speeds().is_enabled();
        let request = request.filter(|_| is_learning);
        self.measured = request.map(|request| Measurement {
            watch: self.watch(&request),
            last_event: request.sent,
            request,
            events: 0,
            first_batch: 1.0,
        });
        self
    }

    fn watch(&self, request: &MeasuredRequest) -> Option<WatchId> {
        let watched = WatchedRequest {
            pool: request.pool.clone(),
            engine: request.engine,
            target: TargetHash::of(&self.target),
            tokens: request.tokens,
            own_ms: self.work.prefill_ms,
            sent: request.sent,
        };
        let is_watched = request.is_start_clean && request.queue_ms <= MAX_QUEUE_MS;
        is_watched.then(|| self.loads.speeds().watch(watched))?
    }

    /// Records that events of the response have arrived.
    pub fn record_events(&mut self, events: u32) {
        if let Some(measured) = &mut self.measured {
            measured.events += events;
            measured.last_event = Instant::now();
        }
    }

    /// Records how long the engine took to send the first event.
    fn record_start(&mut self, now: Instant) {
        let Some(measured) = &mut self.measured else {
            return;
        };
        measured.first_batch = self.loads.requests_at(&self.target, now);
        if let Some(watch) = measured.watch {
            let took = now - measured.request.sent;
            self.loads.speeds().started(watch, took);
        }
    }

    /// Ends the measurement of the time to the first event if there was none.
    fn end_watch(&self) {
        if let Some(watch) = self.measured.as_ref().and_then(|measured| measured.watch) {
            self.loads.speeds().ended(watch);
        }
    }

    /// Records how fast the events of the response came.
    fn record_pace(&self) {
        let (Some(measured), Some(first_event)) = (&self.measured, self.first_event) else {
            return;
        };
        let now = Instant::now();
        let last_batch = self.loads.requests_at(&self.target, now);
        let sample = PaceSample {
            events: measured.events,
            took: measured.last_event.saturating_duration_since(first_event),
            batch: (measured.first_batch + last_batch) / 2.0,
        };
        self.loads
            .speeds()
            .record_pace(&measured.request.pool, sample, now);
    }

    /// Removes the prefill from the target's work: it is complete.
    pub fn prefill_done(&mut self) {
        let mut table = self.loads.lock();
        let finished = Work {
            prefill_ms: self.work.prefill_ms,
            ..Work::default()
        };
        if let Some(load) = table.get_mut(&self.target) {
            load.work.subtract(finished);
        }
        drop(table);
        self.loads
            .record_change(&self.target, self.work, Urgency::Immediate);
        self.work.prefill_ms = 0.0;
        let now = Instant::now();
        self.first_event = Some(now);
        self.record_start(now);
    }

    /// Returns when the first event of the response came.
    pub fn first_event(&self) -> Option<Instant> {
        self.first_event
    }

    /// Records how long the request held its engine's memory, which starts with the prefill.
    fn record_hold_time(&self) {
        let Some(first_event) = self.first_event else {
            return;
        };
        let now = Instant::now();
        let prefill = Duration::from_secs_f64(self.prefill_ms / 1000.0);
        self.loads
            .record_hold_time(self.work.tokens, now - first_event + prefill, now);
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.record_hold_time();
        self.record_pace();
        self.end_watch();
        let mut table = self.loads.lock();
        if let Some(load) = table.get_mut(&self.target) {
            load.in_flight = load.in_flight.saturating_sub(1);
            load.work.subtract(self.work);
            load.streams.subtract(self.stream);
        }
        drop(table);
        let urgency = match self.work.prefill_ms > 0.0 {
            true => Urgency::Immediate,
            false => Urgency::Batched,
        };
        self.loads.record_change(&self.target, self.work, urgency);
    }
}
