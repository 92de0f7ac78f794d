//! An attempt that is ready to be sent.

use super::admit::AdmittedRequest;
use crate::config::Priority;
use crate::dialect::EngineDirectives;
use crate::peers::roles::SMALL_FLEET;
use crate::placement::ChosenTarget;
use crate::placement::allowed::AllowedWeights;
use crate::placement::load::MeasuredRequest;
use crate::placement::standing::Queue;
use crate::placement::work::{IncarnationHash, Work};
use sillpin_core::{PoolId, Tokens};
use sillpin_policy::overload::StartEstimate;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Fraction of a late request's work that counts as queued ahead of other requests: the engine prefers requests that
/// are in time, but finishes a chunk that it has started.
const LATE_WORK_FRACTION: f64 = 0.25;

/// The target selected for an attempt, and what is sent to it.
pub struct PreparedAttempt {
    /// The target and the reasons for selecting it.
    pub chosen: ChosenTarget,
    /// Directives for an engine.
    pub directives: Option<EngineDirectives>,
    /// Expected prompt work, in milliseconds of engine time.
    pub prefill_ms: f64,
    /// Length of the prompt.
    pub prompt_len: Tokens,
    /// The prompt's shared parts and how each is obtained, for logs.
    pub parts: String,
    /// Cache store that most of the prompt is fetched from.
    pub source: Option<SocketAddr>,
    /// Number of prompt tokens that cache stores hold, fetched or not.
    pub stored: u64,
    /// Number of shared prompt tokens that are fetched.
    pub fetched: u64,
    /// Number of shared prompt tokens that are recomputed or already cached at the engine.
    pub not_fetched: u64,
    /// Whether the first event can still arrive within the request's latency objective.
    pub in_time: bool,
    /// Weights that the request may run on, for engines.
    pub weights: Option<AllowedWeights>,
    /// Work of the response's stream, if the prompt is short.
    pub stream: Option<Work>,
}

impl PreparedAttempt {
    /// A target that is not an engine.
    pub(super) fn plain(chosen: ChosenTarget) -> Self {
        Self {
            chosen,
            weights: None,
            directives: None,
            prefill_ms: 0.0,
            prompt_len: Tokens(0),
            parts: String::new(),
            source: None,
            stored: 0,
            fetched: 0,
            not_fetched: 0,
            in_time: true,
            stream: None,
        }
    }

    /// Work that the request adds to its engine, as reported to other boxes.
    pub fn work(&self) -> Work {
        let counted = if self.in_time {
            1.0
        } else {
            LATE_WORK_FRACTION
        };
        Work::one(
            self.prefill_ms * counted,
            Tokens((self.prompt_len.0 as f64 * counted) as u64),
        )
    }

    /// Prompt work queued ahead of the request at its target; `None` for a request without a prompt.
    pub fn queue(&self) -> Option<Queue> {
        self.directives.as_ref()?;
        let chosen = &self.chosen;
        Some(Queue::reported(chosen.queue_ms, chosen.reported_late))
    }

    /// The request as a measurement of an engine of a pool, in a fleet of `boxes` boxes; `None` if engine speeds are
    /// not to be learned from it.
    pub fn measured_request(&self, pool: &PoolId, boxes: usize) -> Option<MeasuredRequest> {
        let tokens = self.prompt_len.0.saturating_sub(self.fetched);
        let is_measured = self.directives.is_some() && self.in_time && boxes > SMALL_FLEET;
        is_measured.then(|| MeasuredRequest {
            pool: pool.clone(),
            engine: IncarnationHash::of(&self.chosen.target),
            tokens: Tokens(tokens),
            queue_ms: self.chosen.queue_ms,
            is_start_clean: self.fetched == 0,
            sent: Instant::now(),
        })
    }

    /// Input for the overload decision. `standing_ms` is the recent standing queue at targets, in milliseconds.
    pub fn expected(
        &self,
        request: &AdmittedRequest,
        queue: Queue,
        standing_ms: f64,
    ) -> StartEstimate {
        let millis = |ms: f64| Duration::from_secs_f64(ms.max(0.0) / 1000.0);
        StartEstimate {
            waited: request.waited(),
            latency_objective: request.route.latency_objective,
            queue: millis(queue.expected_ms),
            standing: millis(standing_ms),
            own: millis(self.prefill_ms * self.chosen.slowness),
        }
    }

    /// Priority of the request. A request that will miss its latency objective in any case goes behind all that can
    /// meet theirs.
    pub fn priority(&self, request: &AdmittedRequest) -> Priority {
        match self.in_time {
            true => request.priority(),
            false => request.priority().demoted(),
        }
    }
}
