//! Which targets this box reaches, judged by its own attempts to connect.
//!
//! A target that one box cannot reach may be down, or the path between the two may be. The targets of a pool rarely
//! fail together, so a box that reaches less than half of them is taken to be cut off from the pool.

use sillpin_core::{PoolId, TargetId};
use std::collections::{HashMap, HashSet};
use tokio::time::Instant;

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

/// What is known of the paths to one pool's targets.
#[derive(Debug, Default)]
struct PoolReach {
    /// Targets to which the last attempt to connect failed.
    unreachable: HashSet<TargetId>,
    /// Since when this box is cut off from the pool.
    cut_off: Option<Instant>,
}

/// Which targets this box reaches, by pool.
#[derive(Debug, Default)]
pub struct Reach {
    pools: HashMap<PoolId, PoolReach>,
}

impl Reach {
    /// Records that an attempt to connect to a target failed.
    pub fn record_failure(&mut self, pool: &PoolId, target: &TargetId) {
        let state = self.pools.entry(pool.clone()).or_default();
        state.unreachable.insert(target.clone());
    }

    /// Records that a connection to a target was opened.
    pub fn record_success(&mut self, pool: &PoolId, target: &TargetId) {
        if let Some(state) = self.pools.get_mut(pool) {
            state.unreachable.remove(target);
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
        let unreachable = state.unreachable.len();
        let cut_off = unreachable * 2 > listed.len();
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

    /// Returns the number of targets that this box cannot reach, by pool.
    pub fn unreachable(&self) -> impl Iterator<Item = (&PoolId, usize)> {
        let pools = self.pools.iter();
        pools.map(|(pool, state)| (pool, state.unreachable.len()))
    }
}
