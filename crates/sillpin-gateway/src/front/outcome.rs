//! What the outcome of an attempt tells about its target.

use super::admit::{AdmittedRequest, is_fresh};
use super::attempt_outcome::AttemptOutcome;
use super::prepared::PreparedAttempt;
use super::progress::Progress;
use super::shared::Shared;
use crate::control::TargetEntry;
use crate::dialect::Dialect;
use crate::fatal::crash_detector::BrokenRequest;
use crate::fleet_state::FleetMsg;
use crate::placement::load::Outcome as Health;
use crate::placement::work::IncarnationHash;
use sillpin_core::WeightVersion;
use sillpin_telemetry::{event, events};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

impl<D: Dialect> Shared<D> {
    /// Records how long an engine took to start a prompt, to estimate the load on the link that its parts were
    /// fetched over.
    pub(super) fn record_transfer(
        &self,
        request: &AdmittedRequest,
        prepared: &PreparedAttempt,
        took: Duration,
    ) {
        if prepared.prefill_ms <= 0.0 {
            return;
        }
        let expected = prepared.chosen.queue_ms + prepared.prefill_ms;
        let expected = Duration::from_secs_f64(expected / 1000.0);
        let excess = took.saturating_sub(expected);
        let mut fetch_shares = self.cache_stores.fetch_shares();
        match prepared.source {
            Some(store) => {
                fetch_shares.record_fetch(
                    store,
                    prepared.prompt_len,
                    excess,
                    request.route.latency_objective,
                    Instant::now(),
                );
            }
            None => fetch_shares.record_prefill(prepared.prompt_len, excess),
        }
    }

    /// Records the outcome of an attempt.
    pub(super) fn record_outcome(
        &self,
        request: &AdmittedRequest,
        target: &Arc<TargetEntry>,
        version: Option<WeightVersion>,
        outcome: &AttemptOutcome,
        progress: &mut Progress,
    ) {
        self.metrics.attempt(outcome.name());
        progress.open_runs = 0;
        if let AttemptOutcome::Unknown(_) = outcome {
            self.response_broken(request, target);
        }
        if let AttemptOutcome::Unsent(reason) = outcome {
            self.prober.start(target, reason);
            self.crash_detector.unreachable(target);
        }
        let health = match outcome {
            AttemptOutcome::Unsent(_) => Some(Health::Unreachable),
            AttemptOutcome::NotRun { .. } => Some(Health::Refused),
            AttemptOutcome::Failed(_)
            | AttemptOutcome::Unknown(_)
            | AttemptOutcome::TimedOut(_) => Some(Health::Failed),
            AttemptOutcome::Completed(_) | AttemptOutcome::Streaming(_) => Some(Health::Served),
            AttemptOutcome::Cancelled | AttemptOutcome::Silent | AttemptOutcome::Refused(_) => None,
        };
        if let Some(health) = health {
            self.loads
                .record_for_incarnation(&target.id, target.life, health);
        }
        match outcome {
            AttemptOutcome::Unsent(_) => progress.unsent += 1,
            AttemptOutcome::NotRun { .. } => progress.record_arrival(),
            _ => {
                progress.record_arrival();
                progress.runs += 1;
            }
        }
        if let AttemptOutcome::NotRun {
            weights,
            misdirected,
            ..
        } = outcome
        {
            self.record_reported_weights(request, target, *weights);
            if *misdirected && self.is_replaced_target(request, version) {
                let mut limits = self.loads.limits();
                limits
                    .signals
                    .replaced
                    .record_observed(IncarnationHash::of(target), Instant::now());
            }
        }
        if !matches!(
            outcome,
            AttemptOutcome::Completed(_) | AttemptOutcome::Streaming(_)
        ) {
            event!(self.log, events::ATTEMPT_INCOMPLETE,
                "request" => &request.head.id, "target" => target.id.as_str(),
                "outcome" => outcome.name(), "why" => outcome.reason(),
                "elapsed_ms" => request.arrival.elapsed().as_millis());
        }
    }

    /// Reports to the crash detector that a target's response was cut off, since the target may have crashed.
    pub fn response_broken(&self, request: &AdmittedRequest, target: &Arc<TargetEntry>) {
        let broken = BrokenRequest {
            id: request.head.id.clone(),
            candidates: request.candidates.clone(),
            parts: request.head.part_names(),
        };
        self.crash_detector.response_broken(target, broken);
    }

    /// Whether a misdirected request, sent for weights of `version`, shows that the target's address now belongs to
    /// another target. An engine also rejects a request as misdirected when it serves other weights; this is only
    /// ruled out while this box has a fresh view of the newest version.
    fn is_replaced_target(
        &self,
        request: &AdmittedRequest,
        version: Option<WeightVersion>,
    ) -> bool {
        let Some(prompt) = &request.head.prompt else {
            return true;
        };
        let view = self.fleet.view();
        let desired = view.desired.get(&prompt.model);
        let newest = desired.map(|desired| desired.newest().version);
        is_fresh(&view) && version >= newest
    }

    /// Updates the fleet view with the weights that an engine reports when it rejects a request.
    fn record_reported_weights(
        &self,
        request: &AdmittedRequest,
        target: &TargetEntry,
        weights: Option<WeightVersion>,
    ) {
        let prompt = request.head.prompt.as_ref();
        if let (Some(prompt), Some(version)) = (prompt, weights) {
            self.fleet.try_send(FleetMsg::Serves {
                target: target.id.clone(),
                life: target.life,
                model: prompt.model.clone(),
                version,
            });
        }
    }
}
