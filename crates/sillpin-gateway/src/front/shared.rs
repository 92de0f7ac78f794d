//! What all requests of a box use.

use super::body_room::BodyRoom;
use crate::awake::Awake;
use crate::beliefs::FleetHandle;
use crate::budget::RetryBudget;
use crate::cache_stores::CacheStores;
use crate::dialect::Dialect;
use crate::fatal::{CrashDetector, FatalRequests};
use crate::metrics::BoxMetrics;
use crate::place::Loads;
use crate::place::probe::Prober;
use crate::pool::Pool;
use crate::reload::Settings;
use crate::settings::BoxConfig;
use sillpin_core::PoolId;
use slog::Logger;
use std::sync::{Arc, Mutex};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Share of the process's memory for bodies under way.
const BODY_SHARE: u64 = 4;

/// What all requests use.
pub struct Shared<D> {
    /// How requests are spelled.
    pub dialect: D,
    /// Settings at the start.
    pub cfg: BoxConfig,
    /// Settings in force.
    pub settings: Settings,
    /// What is known of the fleet.
    pub fleet: FleetHandle,
    /// What the stores hold.
    pub kept: CacheStores,
    /// Loads of targets.
    pub loads: Loads,
    /// Connections to targets.
    pub pool: Pool,
    /// Looks after targets out of reach.
    pub prober: Prober,
    /// Time asleep.
    pub awake: Awake,
    /// Requests that end the targets that run them.
    pub fatal: FatalRequests,
    /// Finds out whether targets ended under requests.
    pub crash_detector: CrashDetector,
    /// Second sendings.
    pub budget: Mutex<RetryBudget>,
    /// Memory for bodies.
    pub bodies: BodyRoom,
    /// Counters.
    pub metrics: BoxMetrics,
    /// Log.
    pub log: Logger,
    /// Cancelled when the box is told to stop.
    pub stopping: CancellationToken,
    /// When the box started.
    pub started: Instant,
}

/// What requests use and other tasks learn.
pub struct Learned {
    /// What is known of the fleet.
    pub fleet: FleetHandle,
    /// Loads of targets.
    pub loads: Loads,
    /// What the stores hold.
    pub kept: CacheStores,
    /// Requests that end the targets that run them.
    pub fatal: FatalRequests,
    /// Time asleep.
    pub awake: Awake,
}

impl<D: Dialect> Shared<D> {
    /// Puts together what requests use.
    pub fn new(
        dialect: D,
        settings: Settings,
        learned: Learned,
        metrics: BoxMetrics,
        log: Logger,
        stopping: CancellationToken,
    ) -> Self {
        let cfg = settings.borrow().clone();
        let room = usize::try_from(cfg.memory / BODY_SHARE).unwrap_or(usize::MAX);
        let budget = RetryBudget::default();
        let Learned {
            fleet,
            loads,
            kept,
            fatal,
            awake,
        } = learned;
        let pool = Pool::new(awake.clone());
        let prober = Prober {
            loads: loads.clone(),
            pool: pool.clone(),
            fleet: fleet.clone(),
            log: log.clone(),
            probed: Arc::default(),
        };
        let crash_detector =
            CrashDetector::new(pool.clone(), fleet.clone(), fatal.clone(), log.clone());
        Self {
            dialect,
            awake,
            fatal,
            crash_detector,
            fleet,
            kept,
            loads,
            pool,
            prober,
            budget: Mutex::new(budget),
            bodies: BodyRoom::new(room),
            metrics,
            log,
            stopping,
            started: Instant::now(),
            cfg,
            settings,
        }
    }

    /// Counts a request for a pool.
    pub fn count_request(&self, pool: &PoolId) {
        let boxes = self.fleet.view().box_count();
        let rules = self.settings.borrow().retries;
        let mut budget = self.budget.lock().unwrap_or_else(|e| e.into_inner());
        budget.request(pool, &rules, boxes, Instant::now());
    }

    /// Takes the right to a second sending to a pool.
    pub fn take_retry(&self, pool: &PoolId) -> bool {
        let boxes = self.fleet.view().box_count();
        let rules = self.settings.borrow().retries;
        let mut budget = self.budget.lock().unwrap_or_else(|e| e.into_inner());
        budget.take(pool, &rules, boxes, Instant::now())
    }

    /// Whether there is a right to a second sending to a pool.
    pub fn has_retry(&self, pool: &PoolId) -> bool {
        let boxes = self.fleet.view().box_count();
        let rules = self.settings.borrow().retries;
        let mut budget = self.budget.lock().unwrap_or_else(|e| e.into_inner());
        budget.has(pool, &rules, boxes, Instant::now())
    }

    /// Whether the box knows enough to serve and is not stopping.
    pub fn is_ready(&self) -> bool {
        let view = self.fleet.view();
        view.config.is_some() && !view.targets.is_empty() && !self.stopping.is_cancelled()
    }
}
