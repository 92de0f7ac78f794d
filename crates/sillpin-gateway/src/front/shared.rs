//! State shared by all requests of a box.

use super::body_memory::BodyMemory;
use super::drain::Drain;
use super::service_times::ServiceTimes;
use crate::budget::RetryBudget;
use crate::cache_stores::CacheStores;
use crate::dialect::Dialect;
use crate::fatal::{CrashDetector, FatalRequests};
use crate::fleet_state::FleetHandle;
use crate::forward::boxes::ForwardBoxes;
use crate::forward::capacity::ForwardCapacity;
use crate::metrics::BoxMetrics;
use crate::peers::wire::FleetKey;
use crate::placement::Loads;
use crate::placement::probe::Prober;
use crate::placement::reach_watch::PathWaits;
use crate::placement::silence_watch::SilentEngines;
use crate::pool::ConnectionPool;
use crate::releases::ReleaseTracker;
use crate::reload::Settings;
use crate::settings::BoxConfig;
use crate::streams::StreamVersions;
use crate::suspend_clock::SuspendClock;
use crate::tasks::Tasks;
use sillpin_core::{BoxId, PoolId};
use slog::Logger;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Bodies of requests and responses may occupy one part in `BODY_SHARE` of the process's memory.
const BODY_SHARE: u64 = 4;

/// State shared by all requests.
pub struct Shared<D> {
    /// Format of HTTP heads.
    pub dialect: D,
    /// Settings at start.
    pub cfg: BoxConfig,
    /// Settings in force.
    pub settings: Settings,
    /// View of the fleet.
    pub fleet: FleetHandle,
    /// Directory of the parts that cache stores hold.
    pub cache_stores: CacheStores,
    /// Loads of targets.
    pub loads: Loads,
    /// Connections to targets.
    pub pool: ConnectionPool,
    /// Connections to other boxes.
    pub box_connections: ConnectionPool<BoxId>,
    /// State of other boxes, as far as requests sent to them tell.
    pub forward_boxes: ForwardBoxes,
    /// How much this box serves for others.
    pub forward_capacity: ForwardCapacity,
    /// Key of the fleet.
    pub fleet_key: FleetKey,
    /// Probes targets that are unreachable.
    pub prober: Prober,
    /// Requests that wait for targets.
    pub path_waits: PathWaits,
    /// Supervises the tasks of the box.
    pub tasks: Tasks,
    /// Engines from which nothing arrives.
    pub silent_engines: SilentEngines,
    /// Counts time in which the box was suspended.
    pub suspend_clock: SuspendClock,
    /// This box's part in releases.
    pub releases: ReleaseTracker,
    /// Versions that began streams.
    pub streams: StreamVersions,
    /// Record of requests that crash targets.
    pub fatal: FatalRequests,
    /// Determines whether targets crashed while running requests.
    pub crash_detector: CrashDetector,
    /// Retry budget.
    pub budget: Mutex<RetryBudget>,
    /// Memory for bodies.
    pub body_memory: BodyMemory,
    /// Metrics.
    pub metrics: BoxMetrics,
    /// Log.
    pub log: Logger,
    /// Whether the box gets far more new connections than it can serve.
    pub is_crowded: Arc<AtomicBool>,
    /// Cancelled when the box is requested to stop.
    pub stopping: CancellationToken,
    /// How long requests take.
    pub service_times: ServiceTimes,
    /// The grace period of the stop.
    pub drain: Drain,
    /// Cancelled when the box stops without waiting for requests any longer.
    pub aborting: CancellationToken,
    /// Time at which the box started.
    pub started: Instant,
}

/// Shared state that other tasks update.
pub struct FleetHandles {
    /// View of the fleet.
    pub fleet: FleetHandle,
    /// Loads of targets.
    pub loads: Loads,
    /// Directory of the parts that cache stores hold.
    pub cache_stores: CacheStores,
    /// Record of requests that crash targets.
    pub fatal: FatalRequests,
    /// Counts time in which the box was suspended.
    pub suspend_clock: SuspendClock,
    /// This box's part in releases.
    pub releases: ReleaseTracker,
    /// Versions that began streams.
    pub streams: StreamVersions,
    /// Supervises the tasks of the box.
    pub tasks: Tasks,
}

impl<D: Dialect> Shared<D> {
    /// Creates the shared state.
    pub fn new(
        dialect: D,
        settings: Settings,
        handles: FleetHandles,
        metrics: BoxMetrics,
        log: Logger,
        stopping: CancellationToken,
    ) -> Self {
        let cfg = settings.borrow().clone();
        if cfg.scheduling.learned_speeds {
            handles.loads.speeds().enable();
        }
        let max_len = usize::try_from(cfg.memory / BODY_SHARE).unwrap_or(usize::MAX);
        let budget = RetryBudget::default();
        let FleetHandles {
            fleet,
            loads,
            cache_stores,
            fatal,
            suspend_clock,
            releases,
            streams,
            tasks,
        } = handles;
        let pool = ConnectionPool::new(suspend_clock.clone());
        let prober = Prober {
            loads: loads.clone(),
            pool: pool.clone(),
            fleet: fleet.clone(),
            log: log.clone(),
            probed: Arc::default(),
            tasks: tasks.clone(),
        };
        let silent_engines = SilentEngines::new(
            loads.clone(),
            pool.clone(),
            cfg.scheduling.silent_engines,
            log.clone(),
        );
        let crash_detector = CrashDetector::new(
            pool.clone(),
            fleet.clone(),
            fatal.clone(),
            tasks.clone(),
            log.clone(),
        );
        Self {
            path_waits: PathWaits::new(loads.clone()),
            dialect,
            box_connections: ConnectionPool::new(suspend_clock.clone()),
            forward_boxes: ForwardBoxes::default(),
            forward_capacity: ForwardCapacity::new(cfg.memory, cfg.descriptors),
            fleet_key: FleetKey::new(cfg.fleet.as_deref(), cfg.platform),
            suspend_clock,
            releases,
            streams,
            tasks,
            fatal,
            crash_detector,
            fleet,
            cache_stores,
            loads,
            pool,
            prober,
            silent_engines,
            budget: Mutex::new(budget),
            body_memory: BodyMemory::new(max_len, log.clone()),
            metrics,
            log,
            is_crowded: Arc::default(),
            stopping,
            service_times: ServiceTimes::default(),
            drain: Drain::default(),
            aborting: CancellationToken::new(),
            started: Instant::now(),
            cfg,
            settings,
        }
    }

    /// Adds a request for a pool to the retry budget.
    pub fn count_request(&self, pool: &PoolId) {
        let boxes = self.fleet.view().box_count();
        let rules = self.settings.borrow().retries;
        let mut budget = self.budget.lock().unwrap_or_else(|e| e.into_inner());
        budget.record_request(pool, &rules, boxes, Instant::now());
    }

    /// Takes a retry for a pool from the budget; returns whether there was one.
    pub fn take_retry(&self, pool: &PoolId) -> bool {
        let boxes = self.fleet.view().box_count();
        let rules = self.settings.borrow().retries;
        let mut budget = self.budget.lock().unwrap_or_else(|e| e.into_inner());
        budget.take(pool, &rules, boxes, Instant::now())
    }

    /// Whether the budget allows a retry for a pool.
    pub fn has_retry(&self, pool: &PoolId) -> bool {
        let boxes = self.fleet.view().box_count();
        let rules = self.settings.borrow().retries;
        let mut budget = self.budget.lock().unwrap_or_else(|e| e.into_inner());
        budget.has_retry(pool, &rules, boxes, Instant::now())
    }

    /// Whether the box has a configuration and targets, and is not stopping.
    pub fn is_ready(&self) -> bool {
        let view = self.fleet.view();
        view.config.is_some() && !view.targets.is_empty() && !self.stopping.is_cancelled()
    }
}
