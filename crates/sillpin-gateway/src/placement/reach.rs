//! Which targets this box reaches, judged by its own attempts to connect.
//!
//! A target that one box cannot reach may be down, or the path between the two may be. The targets of a pool rarely
//! fail together, so a box that reaches less than half of them, or of a random sample, is taken to be cut off from the
//! pool. It may still reach a few.
//!
//! A path that is lost without a reset shows only in that nothing arrives any more. [`Reach`] knows what waits for an
//! answer; if nothing has arrived from a pool for a while, a connection to one of its targets tells whether the path is
//! there.

use crate::control::TargetEntry;
use sillpin_core::{PoolId, TargetId};
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Time without anything from a pool, while a request waits there, after which the path is checked: a third of the time
/// within which a cut is to be known.
const QUIET_TIME: Duration = Duration::from_millis(250);

/// Minimum time between two such checks of a pool: engines that prefill long prompts send nothing for a while as well.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Minimum time between two surveys of a pool.
const SURVEY_INTERVAL: Duration = Duration::from_millis(400);

/// Number of unreachable targets from which a pool is surveyed.
const MIN_UNREACHABLE: usize = 2;

/// Time without anything from a pool that this box is cut off from, after which requests that wait there are given up.
const LOST_AFTER: Duration = Duration::from_millis(500);

/// Time after a connection to a target was opened for which a box that is cut off from the target's pool is taken to reach
/// it: several surveys.
const CONNECTED_TIME: Duration = Duration::from_secs(2);

/// A change of whether this box is cut off from a pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReachChange {
    /// The pool.
    pub pool: PoolId,
    /// Whether this box is cut off from it now.
    pub cut_off: bool,
    /// Targets of the pool that this box cannot reach.
    pub unreachable: usize,
    /// Targets of the pool.
    pub listed: usize,
}

/// Identifies a request that waits for a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PathWaitId {
    pool: PoolId,
    number: u64,
}

/// A request that waits for a target.
#[derive(Debug)]
struct PathWait {
    target: Arc<TargetEntry>,
    since: Instant,
}

/// What is known of the paths to one pool's targets.
#[derive(Debug, Default)]
struct PoolReach {
    /// Targets to which the last attempt to connect failed.
    unreachable: HashSet<TargetId>,
    /// When surveys and probes last opened a connection, by target.
    connected: HashMap<TargetId, Instant>,
    /// Whether most connections of the last survey failed.
    survey_failed: bool,
    is_surveyed: bool,
    surveyed: Option<Instant>,
    /// Since when this box is cut off from the pool.
    cut_off: Option<Instant>,
    waits: HashMap<u64, PathWait>,
    /// When something arrived last.
    heard: Option<Instant>,
    checked: Option<Instant>,
}

impl PoolReach {
    /// Returns the target whose request has waited longest, if nothing has arrived for as long.
    fn overdue(&self, now: Instant) -> Option<&Arc<TargetEntry>> {
        let oldest = self.waits.values().min_by_key(|wait| wait.since)?;
        let since = self.heard.max(Some(oldest.since))?;
        let is_due = now.saturating_duration_since(since) >= QUIET_TIME
            && !self.is_surveyed
            && self.checked.is_none_or(|at| now - at >= CHECK_INTERVAL);
        is_due.then_some(&oldest.target)
    }

    fn is_connected(&self, target: &TargetId, now: Instant) -> bool {
        let at = self.connected.get(target);
        at.is_some_and(|at| now.saturating_duration_since(*at) < CONNECTED_TIME)
    }

    fn is_lost(&self, wait: &PathWait, now: Instant) -> bool {
        let since = self.heard.max(Some(wait.since)).unwrap_or(now);
        self.cut_off.is_some() && now.saturating_duration_since(since) >= LOST_AFTER
    }
}

/// Which targets this box reaches, by pool.
#[derive(Debug, Default)]
pub struct Reach {
    pools: HashMap<PoolId, PoolReach>,
    next_wait: u64,
}

impl Reach {
    /// Records that an attempt to connect to a target failed. Returns whether the pool should be surveyed.
    pub fn record_failure(&mut self, pool: &PoolId, target: &TargetId) -> bool {
        let state = self.pools.entry(pool.clone()).or_default();
        state.connected.remove(target);
        let is_new = state.unreachable.insert(target.clone());
        is_new && state.unreachable.len() >= MIN_UNREACHABLE
    }

    /// Records that a connection to a target was opened.
    pub fn record_success(&mut self, pool: &PoolId, target: &TargetId, now: Instant) {
        if let Some(state) = self.pools.get_mut(pool) {
            state.unreachable.remove(target);
            state.connected.insert(target.clone(), now);
            state.heard = Some(now);
        }
    }

    /// Records that a connection to a target was not opened in time.
    pub fn record_timeout(&mut self, pool: &PoolId, target: &TargetId) {
        if let Some(state) = self.pools.get_mut(pool) {
            state.connected.remove(target);
        }
    }

    /// Begins a survey of a pool, unless one is running or has just ended.
    pub fn begin_survey(&mut self, pool: &PoolId, now: Instant) -> bool {
        let state = self.pools.entry(pool.clone()).or_default();
        let is_due = state.surveyed.is_none_or(|at| now - at >= SURVEY_INTERVAL);
        let begins = is_due && !state.is_surveyed;
        state.is_surveyed |= begins;
        begins
    }

    /// Records the result of a survey of a pool: how many connections were tried, and how many of them failed.
    pub fn record_survey(&mut self, pool: &PoolId, tried: usize, failed: usize, now: Instant) {
        let state = self.pools.entry(pool.clone()).or_default();
        state.surveyed = Some(now);
        state.survey_failed = failed * 2 > tried;
    }

    /// Ends a survey.
    pub fn end_survey(&mut self, pool: &PoolId) {
        if let Some(state) = self.pools.get_mut(pool) {
            state.is_surveyed = false;
        }
    }

    /// Decides whether this box is cut off from a pool with the `listed` targets; returns the change, if there is one.
    pub fn update<'a>(
        &mut self,
        pool: &PoolId,
        listed: impl Iterator<Item = &'a TargetId>,
        now: Instant,
    ) -> Option<ReachChange> {
        let state = self.pools.get_mut(pool)?;
        let listed: HashSet<&TargetId> = listed.collect();
        state.unreachable.retain(|id| listed.contains(id));
        state.connected.retain(|id, _| listed.contains(id));
        let unreachable = state.unreachable.len();
        let cut_off = unreachable * 2 > listed.len() || state.survey_failed;
        if cut_off == state.cut_off.is_some() {
            return None;
        }
        state.cut_off = cut_off.then_some(now);
        Some(ReachChange {
            pool: pool.clone(),
            cut_off,
            unreachable,
            listed: listed.len(),
        })
    }

    /// Returns whether this box is cut off from a pool.
    pub fn is_cut_off(&self, pool: &PoolId) -> bool {
        self.pools
            .get(pool)
            .is_some_and(|state| state.cut_off.is_some())
    }

    /// Returns whether this box has reached a target of a pool recently, by a survey or a probe.
    pub fn reaches_any(&self, pool: &PoolId, now: Instant) -> bool {
        let state = self.pools.get(pool);
        state.is_some_and(|state| state.connected.keys().any(|id| state.is_connected(id, now)))
    }

    /// Returns whether this box has reached a target recently, by a survey or a probe.
    pub fn reaches(&self, pool: &PoolId, target: &TargetId, now: Instant) -> bool {
        let state = self.pools.get(pool);
        state.is_some_and(|state| state.is_connected(target, now))
    }

    /// Returns the pools that this box is cut off from.
    pub fn cut_off(&self) -> impl Iterator<Item = &PoolId> {
        let pools = self.pools.iter();
        let cut_off = pools.filter(|(_, state)| state.cut_off.is_some());
        cut_off.map(|(pool, _)| pool)
    }

    /// Returns the number of targets that this box cannot reach, by pool.
    pub fn unreachable(&self) -> impl Iterator<Item = (&PoolId, usize)> {
        let pools = self.pools.iter();
        pools.map(|(pool, state)| (pool, state.unreachable.len()))
    }

    /// Returns the number of targets of a pool that this box cannot reach.
    pub fn unreachable_of(&self, pool: &PoolId) -> usize {
        self.pools
            .get(pool)
            .map_or(0, |state| state.unreachable.len())
    }

    /// Begins to wait for a target.
    pub fn begin_wait(&mut self, target: &Arc<TargetEntry>, now: Instant) -> PathWaitId {
        self.next_wait += 1;
        let state = self.pools.entry(target.pool.clone()).or_default();
        let wait = PathWait {
            target: target.clone(),
            since: now,
        };
        state.waits.insert(self.next_wait, wait);
        PathWaitId {
            pool: target.pool.clone(),
            number: self.next_wait,
        }
    }

    /// Ends a wait.
    pub fn end_wait(&mut self, wait: &PathWaitId) {
        if let Some(state) = self.pools.get_mut(&wait.pool) {
            state.waits.remove(&wait.number);
        }
    }

    /// Records that something arrived from a target of a pool.
    pub fn record_heard(&mut self, pool: &PoolId, now: Instant) {
        if let Some(state) = self.pools.get_mut(pool) {
            state.heard = Some(now);
        }
    }

    /// Whether a request waits at a pool that this box is cut off from, and nothing arrives.
    pub fn is_lost(&self, wait: &PathWaitId, now: Instant) -> bool {
        let state = self.pools.get(&wait.pool);
        state.is_some_and(|state| {
            let waiting = state.waits.get(&wait.number);
            waiting.is_some_and(|wait| state.is_lost(wait, now))
        })
    }

    /// Returns a target of each pool from which nothing has arrived for a while although requests wait there.
    pub fn take_overdue(&mut self, now: Instant) -> Vec<Arc<TargetEntry>> {
        let mut overdue = Vec::new();
        for state in self.pools.values_mut() {
            if let Some(target) = state.overdue(now).cloned() {
                state.checked = Some(now);
                overdue.push(target);
            }
        }
        overdue
    }
}
