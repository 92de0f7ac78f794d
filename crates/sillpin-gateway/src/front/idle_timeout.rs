//! When to abandon a target that sends nothing.
//!
//! Prompts wait in the queue of a busy engine, and streams wait between events, so a busy engine cannot be distinguished
//! from one that has stopped. Abandoning it discards its work and starts over at the end of another queue. So a target
//! is abandoned only if the request may run again, the retry budget allows it, and another target is
//! expected to start before the caller gives up. Otherwise the request stays until its deadline. Dead connections are
//! detected by TCP keep-alive, not here, and engines that stop sending by [`crate::placement::silence`].

use super::admit::AdmittedRequest;
use super::prepared::PreparedAttempt;
use super::progress::{Progress, may_rerun};
use super::shared::Shared;
use crate::config::Idempotency;
use crate::dialect::Dialect;
use sillpin_core::PoolId;
use std::time::Duration;
use tokio::time::Instant;

/// Fraction of the callers' event timeout that an unresponsive engine gets; the rest is left for another one to start.
/// A busy engine often sends no event for more than 1.3 s, and callers wait 2.4 to 4.8 s.
const EVENT_TIMEOUT_FRACTION: f64 = 0.6;

/// A target that is not an engine is abandoned after this multiple of the latency objective: its response is late by
/// then, and its requests normally take a fraction of that.
const PLAIN_IDLE_FACTOR: f64 = 2.0;

/// Minimum time before an unresponsive target is abandoned, also on a route without a latency objective.
const MIN_IDLE_TIMEOUT: Duration = Duration::from_millis(100);

impl<D: Dialect> Shared<D> {
    /// Time at which a target that sends nothing from now on counts as unresponsive.
    pub fn idle_deadline(&self, request: &AdmittedRequest) -> Instant {
        if request.route.idempotency == Idempotency::AtMostOnce {
            return request.deadline;
        }
        let idle_timeout = match request.route.streaming {
            true => request.route.event_timeout.mul_f64(EVENT_TIMEOUT_FRACTION),
            false => request.route.latency_objective.mul_f64(PLAIN_IDLE_FACTOR),
        };
        request
            .deadline
            .min(Instant::now() + idle_timeout.max(MIN_IDLE_TIMEOUT))
    }

    /// Whether to abandon an unresponsive target that has not sent its head, since another is expected to be faster.
    /// `progress` does not count the run at the unresponsive target yet.
    pub fn should_abandon(
        &self,
        request: &AdmittedRequest,
        pool: &PoolId,
        progress: &Progress,
    ) -> bool {
        let another = progress.runs + 1 < request.max_runs;
        another
            && request.route.idempotency == Idempotency::Idempotent
            && self.has_faster_target(request, pool, progress)
    }

    /// Whether to resume a stream whose target is unresponsive at another target, since that is expected to be faster.
    pub fn should_resume(
        &self,
        request: &AdmittedRequest,
        pool: &PoolId,
        progress: &Progress,
    ) -> bool {
        request.route.resumable
            && may_rerun(request, progress)
            && self.has_faster_target(request, pool, progress)
    }

    /// Longest pause between events of a stream that its callers accept, if the pool's targets are engines.
    pub fn accepted_pause(&self, request: &AdmittedRequest, pool: &PoolId) -> Option<Duration> {
        request.config.pool(pool)?.engine.as_ref()?;
        request.route.max_event_gap
    }

    /// Time without a response head after which an engine is suspected to be silent.
    pub fn head_limit(
        &self,
        request: &AdmittedRequest,
        pool: &PoolId,
        prepared: &PreparedAttempt,
    ) -> Option<Duration> {
        self.accepted_pause(request, pool)?;
        let start_ms = prepared.chosen.queue_ms + prepared.prefill_ms;
        let start = Duration::from_secs_f64(start_ms.max(0.0) / 1000.0);
        Some(request.route.latency_objective + start)
    }

    /// Whether another target is expected to start a request before its caller gives up.
    fn has_faster_target(
        &self,
        request: &AdmittedRequest,
        pool: &PoolId,
        progress: &Progress,
    ) -> bool {
        if !self.may_offer(progress) || self.is_repeat_withheld(request) {
            return false;
        }
        let view = self.fleet.view();
        let Some(candidate) = self.select(request, pool, &view, progress) else {
            return false;
        };
        let left = match request.route.streaming {
            true => request
                .route
                .event_timeout
                .mul_f64(1.0 - EVENT_TIMEOUT_FRACTION),
            false => request.time_left(),
        };
        let expected = Duration::try_from_secs_f64(candidate.expected_ms().max(0.0) / 1000.0)
            .unwrap_or(Duration::MAX);
        let is_sooner = !candidate.chosen.in_cooldown && expected < left.min(request.time_left());
        // Checked last, since the check may use up the balance of the retry budget.
        is_sooner && self.has_retry(pool)
    }
}
