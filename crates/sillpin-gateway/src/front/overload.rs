//! Refusals of prompts that no target can start in time.

use super::admit::AdmittedRequest;
use super::prepared::PreparedAttempt;
use super::progress::Progress;
use super::refusal::{DEFAULT_RETRY_AFTER, Refusal, spread};
use super::shared::Shared;
use crate::dialect::Dialect;
use crate::placement::stream_engines::PromptKind;
use rand::RngExt;
use sillpin_core::PoolId;
use sillpin_telemetry::{event, events};
use tokio::time::Instant;

/// Refusal while no target can start the request in time.
pub const OVERLOADED: &str = "no target can begin it in time";

impl<D: Dialect> Shared<D> {
    /// Refuses a request that no target can start in time. A request that may have run is not refused, since a
    /// refusal states that it has not run.
    pub fn refuse_if_overloaded(
        &self,
        request: &AdmittedRequest,
        pool: &PoolId,
        prepared: &PreparedAttempt,
        progress: &Progress,
    ) -> Option<Refusal> {
        let queue = prepared.queue()?;
        let standing_ms = self
            .loads
            .record_queue(prepared.chosen.kind, queue, Instant::now());
        if progress.runs > 0 {
            return None;
        }
        let expected = prepared.expected(request, queue, standing_ms);
        // A short prompt has engines of its own and takes almost none of the capacity that organisations compete for.
        let is_short = prepared.chosen.kind == Some(PromptKind::Short);
        if self.is_admission_fair(request) && !is_short {
            return self.refuse_by_share(request, pool, prepared, queue, expected, progress);
        }
        let late = expected.lateness_if_refused(rand::rng().random())?;
        let wait = spread(late.max(DEFAULT_RETRY_AFTER));
        self.metrics.attempt("overloaded");
        event!(self.log, events::OVERLOADED, "request" => &request.head.id, "route" => &request.route.name,
            "target" => prepared.chosen.target.id.as_str(),
            "organisation" => request.organisation.as_ref().map_or("", |org| org.id.as_str()),
            "waited_ms" => expected.waited.as_millis(), "aim_ms" => expected.latency_objective.as_millis(),
            "queue_ms" => expected.queue.as_millis(),
            "memory_ms" => prepared.chosen.memory_ms.round(), "own_ms" => expected.own.as_millis(),
            "standing_ms" => expected.standing.as_millis(),
            "retry_after_ms" => wait.as_millis());
        Some(Refusal::not_run(OVERLOADED).with_retry_after(wait))
    }
}
