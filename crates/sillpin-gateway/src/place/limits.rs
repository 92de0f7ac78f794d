//! Which limits hold at a target, and whether this box may send to it.

use super::shared_limit::{Admission, SharedLimit, SharedLimits, Sharers};
use super::slow_start::{self, SlowStart};
use super::words::{Words, limit};
use super::work::LifeHash;
use crate::config::WarmUp;
use crate::control::TargetEntry;
use crate::settings::WarmUpRules;
use sillpin_core::TargetId;
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;

/// What one decision needs to know of limits.
#[derive(Debug, Clone, Copy)]
pub struct Gate<'a> {
    /// Until when targets are cold, as they say or operators let expect.
    pub cold: &'a HashMap<TargetId, Instant>,
    /// What a cold target of the pool bears; `None`: as much as a warm one.
    pub warm_up: Option<WarmUp>,
    /// What is allowed beyond that.
    pub rules: WarmUpRules,
    /// Who shares the limits.
    pub sharers: Sharers<'a>,
}

/// Limits of targets, and what this box has sent them.
#[derive(Debug)]
pub struct Limits {
    /// Targets that have just started.
    pub slow_start: SlowStart,
    /// What targets say of themselves.
    pub words: Words,
    shared: SharedLimits,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            slow_start: SlowStart::default(),
            words: Words::default(),
            shared: SharedLimits::new(slow_start::PERIOD.max(limit::MAX_PERIOD)),
        }
    }
}

impl Limits {
    /// Whether this box may send one more request to a target now.
    pub fn admits(
        &mut self,
        gate: &Gate<'_>,
        target: &TargetEntry,
        how: Admission,
        now: Instant,
    ) -> bool {
        let mut limits = self.of(gate, target, now).into_iter().flatten();
        limits.all(|limit| self.shared.admits(&gate.sharers, target, limit, how, now))
    }

    /// Whether any target may be limited.
    pub fn has_any(&self, gate: &Gate<'_>) -> bool {
        let cold = gate.warm_up.is_some() && (!gate.cold.is_empty() || self.slow_start.has_any());
        cold || !self.words.limits.is_empty()
    }

    /// Whether a target is limited.
    pub fn is_limited(&self, gate: &Gate<'_>, target: &TargetEntry, now: Instant) -> bool {
        self.of(gate, target, now).iter().any(Option::is_some)
    }

    /// How long this box has to wait until it may send one more request to a target; `None`: no limit is in its way.
    pub fn wait(
        &mut self,
        gate: &Gate<'_>,
        target: &TargetEntry,
        now: Instant,
    ) -> Option<Duration> {
        let limits = self.of(gate, target, now).into_iter().flatten();
        let waits = limits.filter_map(|limit| {
            let free = self.shared.free_at(&gate.sharers, target, limit, now);
            // Other boxes send it one request in each of so many parts of the period.
            let others = || now + limit.period / limit.whole.max(1);
            Some(free.unwrap_or_else(others)).filter(|at| *at > now)
        });
        waits.max().map(|at| at - now)
    }

    /// The limits that hold at a target.
    fn of(&self, gate: &Gate<'_>, target: &TargetEntry, now: Instant) -> [Option<SharedLimit>; 2] {
        let cold = self.cold_limit(gate, target, now);
        let limits = &self.words.limits;
        let named = match limits.is_empty() {
            true => None,
            false => limits.limit(LifeHash::of(target), now),
        };
        [cold, named]
    }

    fn cold_limit(
        &self,
        gate: &Gate<'_>,
        target: &TargetEntry,
        now: Instant,
    ) -> Option<SharedLimit> {
        let warm_up = gate.warm_up?;
        let told = gate.cold.get(&target.id).copied();
        let is_cold = self.slow_start.is_cold(&target.id, told, warm_up, now);
        is_cold.then(|| slow_start::limit(warm_up, gate.rules))
    }

    /// Takes note that a request goes to a target.
    pub fn note_sent(&mut self, target: &TargetId, now: Instant) {
        self.shared.note_sent(target, now);
    }

    /// Forgets targets that are not listed, and sendings that do not count any more.
    pub fn follow(&mut self, is_listed: impl Fn(&TargetId) -> bool, now: Instant) {
        self.slow_start.follow(&is_listed);
        self.shared.follow(is_listed, now);
    }
}
