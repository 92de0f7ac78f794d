//! Applies the limits of targets to requests of this box.

use super::shared_limit::{Admission, ShareGroup, SharedLimit, SharedLimits};
use super::signals::{TargetSignals, limit};
use super::slow_start::{self, SlowStart};
use super::work::IncarnationHash;
use crate::config::WarmUp;
use crate::control::TargetEntry;
use crate::settings::WarmUpRules;
use sillpin_core::TargetId;
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;

/// The state that one decision about limits depends on.
#[derive(Debug, Clone, Copy)]
pub struct LimitContext<'a> {
    /// Until when targets are cold, as reported by them or set by operators.
    pub cold: &'a HashMap<TargetId, Instant>,
    /// Load that a cold target of the pool can handle; `None` if cold targets need no limit.
    pub warm_up: Option<WarmUp>,
    /// Overload that is tolerated beyond the limit.
    pub rules: WarmUpRules,
    /// The boxes that share the limits.
    pub share_group: ShareGroup<'a>,
}

/// Limits of all targets, and the requests of this box that count against them.
#[derive(Debug)]
pub struct Limits {
    /// Targets that have restarted recently.
    pub slow_start: SlowStart,
    /// Signals that targets sent in their responses.
    pub signals: TargetSignals,
    shared: SharedLimits,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            slow_start: SlowStart::default(),
            signals: TargetSignals::default(),
            shared: SharedLimits::new(slow_start::PERIOD.max(limit::MAX_PERIOD)),
        }
    }
}

impl Limits {
    /// Returns whether this box may send one more request to a target now.
    pub fn admits(
        &mut self,
        context: &LimitContext<'_>,
        target: &TargetEntry,
        admission: Admission,
        now: Instant,
    ) -> bool {
        let mut limits = self.applicable(context, target, now).into_iter().flatten();
        limits.all(|limit| {
            self.shared
                .admits(&context.share_group, target, limit, admission, now)
        })
    }

    /// Returns whether any target may be limited.
    pub fn has_any(&self, context: &LimitContext<'_>) -> bool {
        let cold =
            context.warm_up.is_some() && (!context.cold.is_empty() || self.slow_start.has_any());
        cold || !self.signals.limits.is_empty()
    }

    /// Returns whether a target is limited.
    pub fn is_limited(
        &self,
        context: &LimitContext<'_>,
        target: &TargetEntry,
        now: Instant,
    ) -> bool {
        self.applicable(context, target, now)
            .iter()
            .any(Option::is_some)
    }

    /// Returns how long this box has to wait before it may send one more request to a target;
    /// `None` if no limit applies now.
    pub fn wait(
        &mut self,
        context: &LimitContext<'_>,
        target: &TargetEntry,
        now: Instant,
    ) -> Option<Duration> {
        let limits = self.applicable(context, target, now).into_iter().flatten();
        let waits = limits.filter_map(|limit| {
            let free = self
                .shared
                .free_at(&context.share_group, target, limit, now);
            // Without a share of its own, the box waits until other boxes have sent one more
            // request, as they send `limit.total` of them evenly in each period.
            let others = || now + limit.period / limit.total.max(1);
            Some(free.unwrap_or_else(others)).filter(|at| *at > now)
        });
        waits.max().map(|at| at - now)
    }

    /// Returns the limits that apply at a target now: that of a cold target, and the one that the
    /// target reports.
    fn applicable(
        &self,
        context: &LimitContext<'_>,
        target: &TargetEntry,
        now: Instant,
    ) -> [Option<SharedLimit>; 2] {
        let cold = self.cold_limit(context, target, now);
        let limits = &self.signals.limits;
        let announced = match limits.is_empty() {
            true => None,
            false => limits.limit(IncarnationHash::of(target), now),
        };
        [cold, announced]
    }

    fn cold_limit(
        &self,
        context: &LimitContext<'_>,
        target: &TargetEntry,
        now: Instant,
    ) -> Option<SharedLimit> {
        let warm_up = context.warm_up?;
        let announced_until = context.cold.get(&target.id).copied();
        let is_cold = self
            .slow_start
            .is_cold(&target.id, announced_until, warm_up, now);
        is_cold.then(|| slow_start::limit(warm_up, context.rules))
    }

    /// Records that a request is sent to a target.
    pub fn record_sent(&mut self, target: &TargetId, now: Instant) {
        self.shared.record_sent(target, now);
    }

    /// Removes targets that are not listed, and requests that no longer count.
    pub fn retain_listed(&mut self, is_listed: impl Fn(&TargetId) -> bool, now: Instant) {
        self.slow_start.retain_listed(&is_listed);
        self.shared.retain_listed(is_listed, now);
    }
}
