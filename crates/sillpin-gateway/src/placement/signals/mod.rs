//! Signals that targets send in response headers, about themselves rather than the request.
//!
//! The adapter parses them into [`ResponseSignals`]; this module stores them and derives what they mean
//! for decisions.
//!
//! - [`limit`]: rate limits that targets announce,
//! - [`leaving`]: targets that are shutting down,
//! - [`backoff`]: times for which this box may send no requests to a target,
//! - [`brittle`]: targets that crash if they have to refuse too many requests,
//! - [`replaced`]: targets whose address is now used by another target.

pub mod backoff;
pub mod brittle;
pub mod leaving;
pub mod limit;
pub mod replaced;

use self::backoff::Backoffs;
use self::leaving::LeavingTargets;
use self::limit::{AnnouncedLimits, LimitChange, LimitObservation, log_limit};
use self::replaced::ReplacedTargets;
use super::work::IncarnationHash;
use crate::dialect::{ResponseSignals, RetryAfter};
use sillpin_telemetry::{event, events};
use slog::Logger;
use std::collections::HashSet;
use std::time::Duration;
use tokio::time::Instant;

/// The signals of one response, with the properties of the response that qualify them.
#[derive(Debug, Clone, Copy)]
pub struct SignalObservation {
    /// When the request was sent.
    pub sent: Instant,
    /// Signals in the response.
    pub signals: ResponseSignals,
    /// Whether the response is a success from the target itself.
    pub success: bool,
    /// Whether the target refused the request for now.
    pub is_refusal: bool,
}

/// A change of what is known from signals, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SignalChange {
    /// A limit started, changed or ended.
    Limit(LimitChange),
    /// The target is shutting down.
    ShuttingDown,
    /// This box may send no requests to the target for a while.
    Backoff {
        /// Length of the backoff.
        wait: Duration,
        /// Whether the header could be parsed.
        is_readable: bool,
    },
}

/// All that is known from the signals of targets.
#[derive(Debug, Default)]
pub struct TargetSignals {
    /// Rate limits.
    pub limits: AnnouncedLimits,
    /// Targets that are shutting down.
    pub leaving: LeavingTargets,
    /// Targets to which this box may send no requests for a while.
    pub backoffs: Backoffs,
    /// Targets whose address is now used by another target.
    pub replaced: ReplacedTargets,
    /// Total time of suspensions that has been accounted for.
    suspended: Duration,
}

impl TargetSignals {
    /// Records the signals of a response to this box; returns the changes.
    pub fn record(
        &mut self,
        target: IncarnationHash,
        observation: SignalObservation,
        now: Instant,
    ) -> Vec<SignalChange> {
        let limit_observation = LimitObservation {
            sent: observation.sent,
            announced: observation.signals.limit,
            success: observation.success,
        };
        let limit = self.limits.record_response(target, limit_observation, now);
        let mut changes: Vec<SignalChange> = limit.into_iter().map(SignalChange::Limit).collect();
        if observation.signals.leaving && self.leaving.record(target, now) {
            changes.push(SignalChange::ShuttingDown);
        }
        if let Some(retry_after) = observation
            .signals
            .retry_after
            .filter(|_| observation.is_refusal)
        {
            let wait = self.backoffs.record(target, retry_after, now);
            let is_readable = retry_after != RetryAfter::Unreadable;
            changes.extend(wait.map(|wait| SignalChange::Backoff { wait, is_readable }));
        }
        changes
    }

    /// Returns the targets to which this box sends no requests.
    pub fn unavailable(&self, now: Instant) -> HashSet<IncarnationHash> {
        let mut unavailable = self.replaced.known(now);
        unavailable.extend(self.leaving.all());
        unavailable.extend(self.backoffs.all(now));
        unavailable
    }

    /// Returns the shortest remaining backoff of these targets, ignoring those that are gone;
    /// `None` if one of them accepts requests or none is left.
    pub fn shortest_backoff(
        &self,
        targets: impl Iterator<Item = IncarnationHash>,
        now: Instant,
    ) -> Option<Duration> {
        let replaced = self.replaced.known(now);
        let is_gone =
            |target: &IncarnationHash| replaced.contains(target) || self.leaving.contains(*target);
        let remaining = targets.filter(|target| !is_gone(target));
        let waits: Option<Vec<Duration>> = remaining
            .map(|target| self.backoffs.remaining(target, now))
            .collect();
        waits?.into_iter().min()
    }

    /// Ages what is known by the time for which the box was suspended; `suspended` is the total since
    /// its start.
    pub fn add_suspended_time(&mut self, suspended: Duration) {
        let newly_suspended = suspended.saturating_sub(self.suspended);
        self.suspended = suspended;
        self.limits.age(newly_suspended);
        self.backoffs.age(newly_suspended);
        self.leaving.age(newly_suspended);
    }

    /// Removes what has expired, and incarnations that are gone.
    pub fn retain_listed(&mut self, is_listed: impl Fn(IncarnationHash) -> bool, now: Instant) {
        self.limits.retain_listed(&is_listed, now);
        self.leaving.retain_listed(is_listed, now);
        self.backoffs.retain_listed(now);
    }
}

/// Logs a change that a response to this box caused.
pub fn log_change(log: &Logger, target: &str, change: SignalChange) {
    match change {
        SignalChange::Limit(change) => log_limit(log, target, change, "answer"),
        SignalChange::ShuttingDown => {
            event!(log, events::TARGET_SIGNALLED_LEAVING, "target" => target)
        }
        SignalChange::Backoff { wait, is_readable } => {
            event!(log, events::TARGET_REQUESTED_BACKOFF,
            "target" => target, "wait_ms" => wait.as_millis(), "readable" => is_readable)
        }
    }
}
