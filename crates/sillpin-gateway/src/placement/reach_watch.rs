//! Watches for paths to targets that are lost without a reset, and ends what waits for them.

use super::load::Loads;
use super::probe::Prober;
use super::reach::PathWaitId;
use crate::control::TargetEntry;
use sillpin_core::PoolId;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, MissedTickBehavior};

/// Interval at which waits are checked.
const TICK: Duration = Duration::from_millis(100);

/// The request path's access to the watch; clones share it.
#[derive(Clone)]
pub struct PathWaits {
    loads: Loads,
    /// Number of ticks in which this box was cut off from some pool.
    ticks: Arc<watch::Sender<u64>>,
}

impl PathWaits {
    /// Creates the access.
    pub fn new(loads: Loads) -> Self {
        Self {
            loads,
            ticks: Arc::default(),
        }
    }

    /// Waits for a target until the returned guard is dropped.
    pub fn wait_for(&self, target: &Arc<TargetEntry>) -> PathWaitGuard {
        PathWaitGuard {
            loads: self.loads.clone(),
            id: self.loads.reach().begin_wait(target, Instant::now()),
            target: target.clone(),
            ticks: self.ticks.subscribe(),
        }
    }

    /// Waits until this box is cut off from a pool.
    pub async fn cut_off(&self, pool: &PoolId) {
        let mut ticks = self.ticks.subscribe();
        while !self.loads.reach().is_cut_off(pool) {
            if ticks.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }

    /// Checks waits until the process ends.
    pub async fn run(self, prober: Prober) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let mut reach = self.loads.reach();
            let overdue = reach.take_overdue(Instant::now());
            let is_cut_off = reach.cut_off().next().is_some();
            drop(reach);
            for target in overdue {
                tokio::spawn(prober.clone().check(target));
            }
            if is_cut_off {
                self.ticks.send_modify(|count| *count += 1);
            }
        }
    }
}

/// A request that waits for a target.
pub struct PathWaitGuard {
    loads: Loads,
    id: PathWaitId,
    target: Arc<TargetEntry>,
    ticks: watch::Receiver<u64>,
}

impl PathWaitGuard {
    /// Records that something arrived.
    pub fn heard(&self) {
        let now = Instant::now();
        self.loads.reach().record_heard(&self.target.pool, now);
    }

    /// Waits until this box is cut off from the target's pool and nothing arrives from there.
    pub async fn lost(&mut self) {
        while !self.loads.reach().is_lost(&self.id, Instant::now()) {
            if self.ticks.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }
}

impl Drop for PathWaitGuard {
    fn drop(&mut self) {
        self.loads.reach().end_wait(&self.id);
    }
}
