//! Refusals of prompts where several organisations may compete for a pool.

use super::admit::AdmittedRequest;
use super::overload::OVERLOADED;
use super::prepared::PreparedAttempt;
use super::progress::Progress;
use super::refusal::{DEFAULT_RETRY_AFTER, Refusal, spread};
use super::shared::Shared;
use crate::dialect::Dialect;
use crate::placement::InFlightGuard;
use crate::placement::fair_admission::{Applicant, Cause, Draws, Refused};
use crate::placement::standing::Queue;
use crate::placement::stream_pace::expected_output;
use crate::placement::usage::Asked;
use rand::RngExt;
use sillpin_core::PoolId;
use sillpin_policy::ending::EndEstimate;
use sillpin_policy::overload::StartEstimate;
use sillpin_telemetry::{event, events};
use std::time::Duration;
use tokio::time::Instant;

/// Refusal of a request whose response cannot end before its deadline.
const CANNOT_END: &str = "its response cannot end in time";

/// Refusal of a request of an organisation that is above its share.
const ABOVE_SHARE: &str = "its organisation requests more than its share";

/// Refusal of a request while more urgent ones would be refused.
const YIELDS: &str = "more urgent requests take all that its targets can do";

impl<D: Dialect> Shared<D> {
    /// Whether requests are refused with regard to organisations and priorities.
    pub fn is_admission_fair(&self, request: &AdmittedRequest) -> bool {
        self.cfg.scheduling.fair_admission && request.config.has_competition()
    }

    /// Part of the queue at a pool's targets that goes ahead of a request. A request that is in time behind that part
    /// keeps its priority.
    pub fn part_ahead(&self, request: &AdmittedRequest, pool: &PoolId) -> f64 {
        if !self.is_admission_fair(request) {
            return 1.0;
        }
        let usage = self.loads.usage();
        usage.part_ahead(pool, request.priority(), Instant::now())
    }

    /// Refuses a prompt that exceeds its organisation's share, cannot end in time, or cannot start in time. `start` has
    /// the queue of all priorities.
    pub fn refuse_by_share(
        &self,
        request: &AdmittedRequest,
        pool: &PoolId,
        prepared: &PreparedAttempt,
        queue: Queue,
        start: StartEstimate,
        progress: &Progress,
    ) -> Option<Refusal> {
        let now = Instant::now();
        let asked = Asked {
            pool,
            organisation: request.organisation.as_ref().map(|org| &org.id),
            priority: request.priority(),
            prefill_ms: prepared.prefill_ms,
        };
        let applicant = Applicant {
            asked,
            is_first: progress.offered.is_empty(),
            start,
            end: self.expected_end(request, pool, queue, start, now),
        };
        let organisations = request.config.organisations.iter().map(|org| &org.id);
        let view = self.fleet.view();
        let engines = view.index.pool(pool).map_or(0, |targets| targets.len());
        let draws = Draws {
            claim: rand::rng().random(),
            factor: rand::rng().random(),
        };
        let refused = self
            .loads
            .refuse_by_share(applicant, organisations, engines, draws, now)?;
        Some(self.refusal_by_share(request, pool, prepared, &refused))
    }

    /// Estimates when the response to a request will end. How much is left of a response that is resumed is not known.
    fn expected_end(
        &self,
        request: &AdmittedRequest,
        pool: &PoolId,
        queue: Queue,
        start: StartEstimate,
        now: Instant,
    ) -> EndEstimate {
        let is_whole = request.route.streaming && request.head.resume_after.is_none();
        let prompt = request.head.prompt.as_ref().filter(|_| is_whole);
        let generation = prompt.and_then(|prompt| {
            let pace = self.loads.stream_paces().per_token(pool, now)?;
            Some(pace.mul_f64(expected_output(prompt.max_output)))
        });
        EndEstimate {
            queue: Duration::from_secs_f64(queue.certain_ms.max(0.0) / 1000.0),
            prefill: start.own,
            generation,
            time_left: request.time_left(),
        }
    }

    /// Logs and counts a refusal, and returns it.
    fn refusal_by_share(
        &self,
        request: &AdmittedRequest,
        pool: &PoolId,
        prepared: &PreparedAttempt,
        refused: &Refused,
    ) -> Refusal {
        let wait = spread(refused.late.max(DEFAULT_RETRY_AFTER));
        let wait = refused.end.retry_after(wait, DEFAULT_RETRY_AFTER);
        let (name, reason) = match refused.cause {
            Cause::CannotEnd => ("cannot-end", CANNOT_END),
            Cause::AboveShare => ("above-share", ABOVE_SHARE),
            Cause::Yields(_) => ("yields", YIELDS),
            Cause::Overloaded => ("overloaded", OVERLOADED),
        };
        self.metrics.attempt(name);
        match refused.cause {
            Cause::CannotEnd => self.log_cannot_end(request, prepared, refused, wait),
            Cause::AboveShare => self.log_above_share(request, pool, prepared, refused, wait),
            Cause::Yields(_) | Cause::Overloaded => {
                self.log_overloaded(request, pool, prepared, refused, wait);
            }
        }
        Refusal::not_run(reason).with_retry_after(wait)
    }

    fn log_cannot_end(
        &self,
        request: &AdmittedRequest,
        prepared: &PreparedAttempt,
        refused: &Refused,
        wait: Duration,
    ) {
        let end = refused.end;
        event!(self.log, events::CANNOT_END, "request" => &request.head.id, "route" => &request.route.name,
            "target" => prepared.chosen.target.id.as_str(), "organisation" => organisation(request),
            "priority" => request.priority().0, "queue_ms" => end.queue.as_millis(),
            "part_ahead" => rounded(refused.part_ahead), "own_ms" => end.prefill.as_millis(),
            "generation_ms" => end.generation.unwrap_or_default().as_millis(),
            "left_ms" => end.time_left.as_millis(), "retry_after_ms" => wait.as_millis());
    }

    fn log_above_share(
        &self,
        request: &AdmittedRequest,
        pool: &PoolId,
        prepared: &PreparedAttempt,
        refused: &Refused,
        wait: Duration,
    ) {
        let start = refused.start;
        event!(self.log, events::ABOVE_SHARE, "request" => &request.head.id, "route" => &request.route.name,
            "target" => prepared.chosen.target.id.as_str(), "organisation" => organisation(request),
            "pool" => pool.as_str(), "priority" => request.priority().0,
            "demand_ms_per_s" => refused.demand.0.round(), "share_ms_per_s" => refused.share.0.round(),
            "admitted_ms_per_s" => refused.capacity.0.round(),
            "waited_ms" => start.waited.as_millis(), "aim_ms" => start.latency_objective.as_millis(),
            "queue_ms" => start.queue.as_millis(), "part_ahead" => rounded(refused.part_ahead),
            "memory_ms" => prepared.chosen.memory_ms.round(),
            "own_ms" => start.own.as_millis(), "standing_ms" => start.standing.as_millis(),
            "retry_after_ms" => wait.as_millis());
    }

    fn log_overloaded(
        &self,
        request: &AdmittedRequest,
        pool: &PoolId,
        prepared: &PreparedAttempt,
        refused: &Refused,
        wait: Duration,
    ) {
        let start = refused.start;
        let yields_to = match refused.cause {
            Cause::Yields(priority) => priority.to_string(),
            _ => String::new(),
        };
        event!(self.log, events::OVERLOADED, "request" => &request.head.id, "route" => &request.route.name,
            "target" => prepared.chosen.target.id.as_str(), "organisation" => organisation(request),
            "pool" => pool.as_str(), "priority" => request.priority().0, "yields_to" => yields_to,
            "demand_ms_per_s" => refused.demand.0.round(), "share_ms_per_s" => refused.share.0.round(),
            "admitted_ms_per_s" => refused.capacity.0.round(),
            "waited_ms" => start.waited.as_millis(), "aim_ms" => start.latency_objective.as_millis(),
            "queue_ms" => start.queue.as_millis(), "part_ahead" => rounded(refused.part_ahead),
            "memory_ms" => prepared.chosen.memory_ms.round(),
            "own_ms" => start.own.as_millis(), "standing_ms" => start.standing.as_millis(),
            "retry_after_ms" => wait.as_millis());
    }

    /// Records the pace of a stream that is complete.
    pub fn record_stream_pace(
        &self,
        request: &AdmittedRequest,
        pool: &PoolId,
        progress: &Progress,
        in_flight: &InFlightGuard,
    ) {
        let is_whole = progress.runs <= 1 && request.head.resume_after.is_none();
        let prompt = request.head.prompt.as_ref().filter(|_| is_whole);
        if let (Some(prompt), Some(first)) = (prompt, in_flight.first_event()) {
            let now = Instant::now();
            let mut paces = self.loads.stream_paces();
            paces.record(pool, prompt.max_output, now - first, now);
        }
    }
}

/// Name of the caller's organisation; empty if there is none.
fn organisation(request: &AdmittedRequest) -> &str {
    request
        .organisation
        .as_ref()
        .map_or("", |org| org.id.as_str())
}

/// Rounds a part of a whole for logs.
fn rounded(part: f64) -> f64 {
    (part * 1000.0).round() / 1000.0
}
