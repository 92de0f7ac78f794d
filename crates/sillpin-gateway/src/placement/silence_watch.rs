//! Watches for silent engines: requests their reports and acts on what [`super::silence`] decides.

use super::load::Loads;
use super::silence::{Evidence, TICK, TickInputs, WaitId, WatchedEngine};
use super::work::{IncarnationHash, RowKind, TargetHash};
use crate::config::FleetConfig;
use crate::control::{Control, TargetEntry};
use crate::fleet_state::{FleetHandle, View};
use crate::pool::{Conn, ConnectionPool};
use crate::suspend_clock::SuspendClock;
use sillpin_core::{BoxId, PoolId, TargetId, ZoneId};
use sillpin_telemetry::{event, events};
use slog::Logger;
use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, MissedTickBehavior};

/// Time for which a response to a request for a report is waited for. An engine that responds late, after it was found
/// silent, is back in use.
const LATE_REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of events of one kind that are logged in each [`LOG_WINDOW`].
const MAX_EVENTS: u32 = 16;

/// Window in which logged events are counted.
const LOG_WINDOW: Duration = Duration::from_secs(10);

/// Limits the number of events that are logged.
#[derive(Debug, Default)]
struct LogBudget {
    since: Option<Instant>,
    logged: u32,
    omitted: u32,
}

impl LogBudget {
    /// Returns the number of events omitted before, if one more may be logged.
    fn take(&mut self, now: Instant) -> Option<u32> {
        if self.since.is_none_or(|since| now - since >= LOG_WINDOW) {
            self.since = Some(now);
            self.logged = 0;
        }
        if self.logged == MAX_EVENTS {
            self.omitted += 1;
            return None;
        }
        self.logged += 1;
        Some(std::mem::take(&mut self.omitted))
    }
}

#[derive(Debug, Default)]
struct LogBudgets {
    silent: LogBudget,
    returned: LogBudget,
}

/// The request path's access to the silent engines; clones share the state.
#[derive(Clone)]
pub struct SilentEngines {
    loads: Loads,
    pool: ConnectionPool,
    enabled: bool,
    /// Number of ticks in which waits were lost.
    found: Arc<watch::Sender<u64>>,
    budgets: Arc<Mutex<LogBudgets>>,
    log: Logger,
}

impl SilentEngines {
    /// Creates the access. Unless `enabled`, nothing is recorded and no engine is found silent.
    pub fn new(loads: Loads, pool: ConnectionPool, enabled: bool, log: Logger) -> Self {
        Self {
            loads,
            pool,
            enabled,
            found: Arc::default(),
            budgets: Arc::default(),
            log,
        }
    }

    /// Waits for a target for which callers wait for at most `limit` until the returned guard is dropped. Without a
    /// limit, what arrives is recorded, and nothing is done about an engine that is silent.
    pub fn wait_for(&self, target: &Arc<TargetEntry>, limit: Option<Duration>) -> EngineWait {
        let engine = IncarnationHash::of(target);
        let wait = match self.enabled {
            true => self.loads.silence().begin(engine, limit, Instant::now()),
            false => None,
        };
        EngineWait {
            engines: self.clone(),
            target: target.clone(),
            engine,
            wait,
            found: self.found.subscribe(),
        }
    }

    fn heard(&self, target: &TargetId, engine: IncarnationHash) {
        let mut silence = self.loads.silence();
        if !silence.heard(engine, Instant::now()) {
            return;
        }
        self.loads.set_silent(target, false);
        drop(silence);
        if let Some(omitted) = self.budgets().returned.take(Instant::now()) {
            event!(self.log, events::ENGINE_ANSWERS, "target" => target.as_str(), "omitted" => omitted);
        }
    }

    fn budgets(&self) -> MutexGuard<'_, LogBudgets> {
        self.budgets.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn log_silent(&self, target: &TargetId, evidence: Evidence) {
        let by = match evidence {
            Evidence::Own => "report",
            Evidence::Peers => "other boxes",
        };
        if let Some(omitted) = self.budgets().silent.take(Instant::now()) {
            event!(self.log, events::ENGINE_SILENT, "target" => target.as_str(), "by" => by,
                "omitted" => omitted);
        }
    }
}

/// Something that waits for an engine. Does nothing for targets that are not watched.
pub struct EngineWait {
    engines: SilentEngines,
    target: Arc<TargetEntry>,
    engine: IncarnationHash,
    wait: Option<WaitId>,
    found: watch::Receiver<u64>,
}

impl EngineWait {
    /// Records that something arrived.
    pub fn heard(&self) {
        if self.wait.is_some() {
            self.engines.heard(&self.target.id, self.engine);
        }
    }

    /// Records that nothing is expected until [`EngineWait::resume`].
    pub fn pause(&self) {
        if let Some(wait) = self.wait {
            self.engines.loads.silence().pause(wait);
        }
    }

    /// Records that more is expected from now on.
    pub fn resume(&self) {
        if let Some(wait) = self.wait {
            self.engines.loads.silence().resume(wait, Instant::now());
        }
    }

    /// Number of the engine's silence, if it was found and goes on.
    pub fn found_silence(&self) -> Option<u64> {
        self.engines.loads.silence().found_silence(self.wait?)
    }

    /// Waits until the engine is found silent, and returns the number of its silence; waits forever if its route names no
    /// accepted pause.
    pub async fn silent(&mut self) -> u64 {
        loop {
            if let Some(silence) = self.found_silence() {
                return silence;
            }
            if self.found.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }
}

impl Drop for EngineWait {
    fn drop(&mut self) {
        if let Some(wait) = self.wait {
            self.engines.loads.silence().end(wait);
        }
    }
}

/// Returns the engines to watch for an observer in `zone`: those of pools with a route that names an accepted pause.
pub fn watched_engines(
    config: &FleetConfig,
    targets: &HashMap<TargetId, Arc<TargetEntry>>,
    zone: &ZoneId,
) -> Vec<WatchedEngine> {
    let mut gaps: HashMap<&PoolId, Duration> = HashMap::new();
    for route in &config.routes {
        let Some(max_event_gap) = route.max_event_gap else {
            continue;
        };
        for share in &route.shares {
            let gap = gaps.entry(&share.pool).or_insert(max_event_gap);
            *gap = max_event_gap.min(*gap);
        }
    }
    gaps.retain(|pool, _| config.pool(pool).is_some_and(|pool| pool.engine.is_some()));
    let watched = |entry: &Arc<TargetEntry>| {
        Some(WatchedEngine {
            entry: entry.clone(),
            incarnation: IncarnationHash::of(entry),
            rows: TargetHash::for_rows(entry.id.as_str(), RowKind::Silent(zone)),
            min_event_gap: *gaps.get(&entry.pool)?,
        })
    };
    targets.values().filter_map(watched).collect()
}

/// The task that watches engines.
#[derive(Clone)]
pub struct SilenceWatch<C> {
    /// Id of this box.
    pub me: BoxId,
    /// Zone of this box.
    pub zone: ZoneId,
    /// Access of the request path.
    pub engines: SilentEngines,
    /// Client of engines.
    pub control: C,
    /// View of the fleet.
    pub fleet: FleetHandle,
    /// Counts time in which the box was suspended.
    pub suspend_clock: SuspendClock,
}

/// The watched engines, kept until the view changes.
#[derive(Default)]
struct Watched {
    config: Option<Arc<FleetConfig>>,
    targets: Arc<HashMap<TargetId, Arc<TargetEntry>>>,
    engines: Vec<WatchedEngine>,
}

impl Watched {
    fn update(&mut self, view: &View, zone: &ZoneId) {
        let is_same_config = match (&self.config, &view.config) {
            (Some(known), Some(current)) => Arc::ptr_eq(known, current),
            (known, current) => known.is_none() && current.is_none(),
        };
        if is_same_config && Arc::ptr_eq(&self.targets, &view.targets) {
            return;
        }
        self.config = view.config.clone();
        self.targets = view.targets.clone();
        self.engines = match &self.config {
            Some(config) => watched_engines(config, &self.targets, zone),
            None => Vec::new(),
        };
    }

    fn entry(&self, engine: IncarnationHash) -> Option<&Arc<TargetEntry>> {
        let mut engines = self.engines.iter();
        let watched = engines.find(|watched| watched.incarnation == engine)?;
        Some(&watched.entry)
    }
}

impl<C: Control> SilenceWatch<C> {
    /// Watches engines until the process ends.
    pub async fn run(self) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut watched = Watched::default();
        loop {
            ticks.tick().await;
            watched.update(&self.fleet.view(), &self.zone);
            self.tick(&watched);
        }
    }

    fn tick(&self, watched: &Watched) {
        let loads = &self.engines.loads;
        let now = Instant::now();
        let reported_rows = match watched.engines.is_empty() {
            true => Arc::default(),
            false => loads.reported_rows(now),
        };
        let cut_off_pools: HashSet<PoolId> = loads.reach().cut_off().cloned().collect();
        let mut silence = loads.silence();
        let decisions = silence.tick(&TickInputs {
            me: &self.me,
            engines: &watched.engines,
            reported_rows: &reported_rows,
            cut_off_pools: &cut_off_pools,
            suspended: self.suspend_clock.suspended(),
            now,
        });
        // Under the lock, so that it is not undone by what arrives from the engine at the same time.
        for target in &decisions.forgotten {
            loads.set_silent(target, false);
        }
        for (engine, _) in &decisions.found {
            if let Some(entry) = watched.entry(*engine) {
                loads.set_silent(&entry.id, true);
            }
        }
        drop(silence);
        for (engine, evidence) in &decisions.found {
            if let Some(entry) = watched.entry(*engine) {
                self.engines.pool.close_idle(&entry.id);
                self.engines.log_silent(&entry.id, *evidence);
            }
        }
        if decisions.lost_again || !decisions.found.is_empty() {
            self.engines.found.send_modify(|count| *count += 1);
        }
        for entry in decisions.ask.iter().filter_map(|id| watched.entry(*id)) {
            tokio::spawn(ask(
                self.control.clone(),
                self.engines.clone(),
                entry.clone(),
            ));
        }
        for entry in decisions.connect.iter().filter_map(|id| watched.entry(*id)) {
            tokio::spawn(connect(self.engines.clone(), entry.clone()));
        }
    }
}

/// Requests an engine's report and records the response.
async fn ask<C: Control>(control: C, engines: SilentEngines, entry: Arc<TargetEntry>) {
    let engine = IncarnationHash::of(&entry);
    let report = control.report(entry.addr, &entry.id);
    let responded = match tokio::time::timeout(LATE_REPORT_TIMEOUT, report).await {
        Ok(Ok(_)) => true,
        Ok(Err(e)) => e.responded,
        Err(_) => return,
    };
    match responded {
        true => engines.heard(&entry.id, engine),
        false => engines.loads.silence().not_asked(engine),
    }
}

/// Opens a connection to an engine that no box finds silent any more.
async fn connect(engines: SilentEngines, entry: Arc<TargetEntry>) {
    if let Ok(conn) = Conn::open(&entry).await {
        engines.heard(&entry.id, IncarnationHash::of(&entry));
        engines.pool.put(entry.id.clone(), conn, None).await;
    }
}
