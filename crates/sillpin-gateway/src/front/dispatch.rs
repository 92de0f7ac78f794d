//! Attempts of a request until there is a response for the caller.
//!
//! Whether another attempt is allowed depends on the outcome of the last one. A request that may run only once ends
//! with the first attempt that reached a target and may have run. A request that did not run may go to another target
//! while time and retry budget last.

use super::admit::AdmittedRequest;
use super::attempt::{Attempt, WaitLimits};
use super::attempt_outcome::AttemptOutcome;
use super::prepared::PreparedAttempt;
use super::progress::{NoAttempt, Progress, end_unserved, may_rerun, may_rerun_after};
use super::refusal::{Refusal, spread};
use super::search::DoubtedAttempt;
use super::shared::Shared;
use super::stream_version::Binding;
use crate::dialect::{AttemptHead, Dialect};
use crate::fleet_state::View;
use crate::placement::work::IncarnationHash;
use crate::releases::Cohort;
use hyper::Response;
use sillpin_core::{Outcome, PoolId};
use sillpin_http::Body;
use sillpin_telemetry::{event, events};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum number of targets that a request is offered to. Rejections and failed connections count too; the number of
/// runs is limited by the route.
const MAX_OFFERS: usize = 4;

/// Remaining time below which no further target is tried.
const MIN_TIME_LEFT: Duration = Duration::from_millis(20);

/// Deducted from the time that a target is given, so that its response reaches the caller in time.
const RETURN_MARGIN: Duration = Duration::from_millis(8);

/// Mean retry-after while all targets that could serve a request are in evacuated zones. An evacuation lasts for
/// several seconds at least, and callers that retry sooner are refused again. The actual value is uniform from
/// half of it to one and a half times it, so that callers don't all retry at the same time.
const EVACUATED_WAIT: Duration = Duration::from_secs(1);

/// Refusal while all suitable targets are in evacuated zones.
const EVACUATED: &str = "all zones that have targets for it are evacuated";

/// Refusal while all targets are at their rate limits.
const LIMITED: &str = "its targets limit their requests and get all that they take";

/// Refusal while all targets have a backoff for this box.
const BACKED_OFF: &str = "its targets want no requests for a while";

/// Why a request is not retried.
const NO_RETRY: &str = "retry budget used up";

impl<D: Dialect> Shared<D> {
    /// Sends a request to targets until there is a response for the caller.
    pub async fn dispatch(
        self: &Arc<Self>,
        request: AdmittedRequest,
    ) -> Result<Response<Body>, Refusal> {
        let binding = self.bind_resumed(&request).await;
        let pool = match self.pool_of_stream(&request, binding) {
            Some(pool) => pool,
            None => self.pick_pool(&request)?,
        };
        if let Some(of) = &request.forwarded
            && !self.has_path_for(&of.head, &pool)
        {
            return Err(self.refuse_without_path(&pool));
        }
        let mut progress = self.begin(&request, &pool, binding);
        loop {
            let result = match self.end_if_stopping(&request, &mut progress) {
                Some(end) => Err(end),
                None => self.next_attempt(&request, &pool, &mut progress).await,
            };
            let outcome = match result {
                Ok(outcome) => outcome,
                Err(NoAttempt::Refused(refusal)) => {
                    return Err(self.refuse_for_box(&request, &pool, &progress, refusal));
                }
                Err(NoAttempt::Failed(response)) => {
                    self.log_response(&request, &response);
                    return Ok(self.forward_failure(&request, response));
                }
            };
            match outcome {
                AttemptOutcome::Completed(response) => {
                    self.log_response(&request, &response);
                    return Ok(self.forward_response(&request, response));
                }
                AttemptOutcome::Streaming(stream) => {
                    return Ok(self.clone().relay(request, pool, progress, *stream));
                }
                AttemptOutcome::Failed(response) => {
                    if !may_rerun(&request, &progress) {
                        self.log_response(&request, &response);
                        return Ok(self.forward_failure(&request, response));
                    }
                    progress.failure = Some(response);
                }
                AttemptOutcome::Refused(refusal)
                    if refusal.outcome == Outcome::NotRun || !may_rerun(&request, &progress) =>
                {
                    return self.end_refused(&request, &mut progress, refusal);
                }
                AttemptOutcome::Unknown(reason) if !may_rerun(&request, &progress) => {
                    return self.end_unknown(&request, progress, Refusal::unknown(reason));
                }
                AttemptOutcome::Cancelled | AttemptOutcome::Silent
                    if !may_rerun(&request, &progress) =>
                {
                    let refusal = Refusal::unknown(outcome.reason());
                    return self.end_unknown(&request, progress, refusal);
                }
                AttemptOutcome::TimedOut(reason) if !may_rerun(&request, &progress) => {
                    return self.end_unknown(&request, progress, Refusal::timed_out(reason));
                }
                AttemptOutcome::Unsent(_)
                | AttemptOutcome::NotRun { .. }
                | AttemptOutcome::Unknown(_)
                | AttemptOutcome::Cancelled
                | AttemptOutcome::Silent
                | AttemptOutcome::Refused(_)
                | AttemptOutcome::TimedOut(_) => {}
            }
        }
    }

    /// Begins the attempts of a request. One that is sent to another box is counted and assigned there.
    fn begin(&self, request: &AdmittedRequest, pool: &PoolId, binding: Binding) -> Progress {
        let counted = request.forwarded.as_ref().is_some_and(|of| of.head.counted);
        let progress = Progress {
            resume_after: request.head.resume_after.clone(),
            binding,
            counted,
            ..Progress::default()
        };
        if self.should_forward(request, pool, &progress) {
            return progress;
        }
        if !counted {
            self.count_request(pool);
        }
        // The version of a stream that is resumed is not chosen by a release.
        let assignment = match binding {
            Binding::Any => self
                .releases
                .assign(&self.fleet.view(), pool, Instant::now()),
            Binding::Version(_) | Binding::Unknown => None,
        };
        Progress {
            counted: true,
            cohort: assignment.as_ref().map_or(Cohort::Control, |a| a.cohort),
            assignment,
            ..progress
        }
    }

    /// Ends a request that may have run, with a target's own error response if there is one.
    fn end_unknown(
        &self,
        request: &AdmittedRequest,
        progress: Progress,
        refusal: Refusal,
    ) -> Result<Response<Body>, Refusal> {
        let Some(failure) = progress.failure else {
            return Err(refusal);
        };
        self.log_response(request, &failure);
        Ok(self.forward_failure(request, failure))
    }

    /// Ends a request that another box refused.
    fn end_refused(
        &self,
        request: &AdmittedRequest,
        progress: &mut Progress,
        refusal: Refusal,
    ) -> Result<Response<Body>, Refusal> {
        if refusal.outcome != Outcome::NotRun || progress.runs == 0 {
            return Err(refusal);
        }
        match end_unserved(progress, &refusal.reason) {
            NoAttempt::Refused(refusal) => Err(refusal),
            NoAttempt::Failed(response) => {
                self.log_response(request, &response);
                Ok(self.forward_failure(request, response))
            }
        }
    }

    /// Selects a target and makes one attempt, which calls `on_doubt` when the target is doubted. Fails when time, targets
    /// or retry budget are used up.
    pub(super) async fn attempt_once<A>(
        &self,
        request: &AdmittedRequest,
        pool: &PoolId,
        progress: &mut Progress,
        mut on_doubt: A,
    ) -> Result<AttemptOutcome, NoAttempt>
    where
        A: FnMut(DoubtedAttempt<'_>),
    {
        let left = request.time_left();
        if left < MIN_TIME_LEFT {
            return Err(end_unserved(progress, "no time left"));
        }
        if let Some(refused) = self.refuse_fatal(request, progress) {
            return Err(refused);
        }
        if self.should_forward(request, pool, progress) {
            if !self.ensure_retry(pool, progress) {
                return Err(end_unserved(progress, NO_RETRY));
            }
            if let Some(outcome) = self.forward(request, pool, progress).await {
                return Ok(outcome);
            }
        }
        if !self.may_offer(progress) {
            return Err(end_unserved(progress, "several targets refused"));
        }
        let view = self.fleet.view();
        if let Some(refused) = self.refuse_by_version(pool, &view, progress) {
            return Err(refused);
        }
        let Some(mut prepared) = self.prepare_in_cohort(request, pool, &view, progress) else {
            return Err(self.refuse_without_target(request, pool, &view, progress));
        };
        if let Some(refusal) = self.refuse_if_overloaded(request, pool, &prepared, progress) {
            return Err(NoAttempt::Refused(refusal));
        }
        if !self.ensure_retry(pool, progress) {
            return Err(end_unserved(progress, NO_RETRY));
        }
        if !progress.counted {
            self.count_request(pool);
            progress.counted = true;
        }
        let target = prepared.chosen.target.clone();
        self.log_attempt(request, progress, &view, &prepared);
        progress.offered.push(target.id.clone());
        progress.cohort = Cohort::Control;
        let measured = prepared.measured_request(pool, view.box_count());
        let measured = measured.filter(|_| progress.resume_after.is_none());
        let in_flight = self.start_work(&prepared);
        let attempt = Attempt {
            request,
            target: target.clone(),
            head: attempt_head(request, progress, &mut prepared),
            in_flight: in_flight.measured(measured),
            head_limit: self.head_limit(request, pool, &prepared),
            may_rerun: may_rerun_after(request, progress.runs + 1),
        };
        let sent = Instant::now();
        let version = prepared.chosen.version;
        progress.open_runs = 1;
        let limits = WaitLimits {
            is_slow: || self.should_abandon(request, pool, progress),
            latest_start: || self.latest_start(request, pool, version?),
            on_doubt: |doubt| {
                on_doubt(DoubtedAttempt {
                    target: &target,
                    version,
                    sent,
                    doubt,
                    progress,
                })
            },
        };
        let tracked = self
            .fatal
            .sent(request.candidates.clone(), IncarnationHash::of(&target));
        let outcome = self.attempt(attempt, limits).await;
        tracked.end(matches!(
            outcome,
            AttemptOutcome::TimedOut(_) | AttemptOutcome::Cancelled | AttemptOutcome::Silent
        ));
        if matches!(outcome, AttemptOutcome::Streaming(_)) {
            self.record_transfer(request, &prepared, sent.elapsed());
        }
        let reached = !matches!(outcome, AttemptOutcome::Unsent(_));
        self.loads.record_reachability(&target.zone, reached);
        self.record_outcome(request, &target, version, &outcome, progress);
        self.record_for_release(request, &target, &outcome, sent, progress);
        Ok(outcome)
    }

    /// Takes a retry from the budget if the next attempt is one, unless one was taken for an attempt that reached no
    /// target. Returns whether the attempt may be made.
    fn ensure_retry(&self, pool: &PoolId, progress: &mut Progress) -> bool {
        if progress.arrivals > 0 && !progress.has_retry {
            progress.has_retry = self.take_retry(pool);
        }
        progress.arrivals == 0 || progress.has_retry
    }

    fn log_attempt(
        &self,
        request: &AdmittedRequest,
        progress: &Progress,
        view: &View,
        prepared: &PreparedAttempt,
    ) {
        let (chosen, weights) = (&prepared.chosen, prepared.weights);
        let limit = self
            .loads
            .signals(|signals| signals.limits.rate(IncarnationHash::of(&chosen.target)));
        event!(self.log, events::ATTEMPT_STARTED,
            "request" => &request.head.id, "print" => request.candidates.request().to_string(),
            "target" => chosen.target.id.as_str(),
            "software" => chosen.target.software.as_ref().map_or("", |software| software.0.as_str()),
            "resumes" => request.head.resumes.as_deref().unwrap_or_default(),
            "after" => progress.resume_after.as_deref().unwrap_or_default(),
            "addr" => chosen.target.addr.to_string(), "offer" => progress.offered.len(),
            "limit_per_s" => limit.map_or(String::new(), |rate| rate.to_string()),
            "cost_ms" => chosen.cost_ms.round(), "candidates" => chosen.candidates,
            "version" => chosen.version.map_or(0, |version| version.0),
            "parts" => &prepared.parts, "fetched" => prepared.fetched, "kept" => prepared.stored,
            "config" => request.config.version.0, "targets_at" => view.targets_sync.revision.to_string(),
            "left_ms" => request.time_left().as_millis(), "queue_ms" => chosen.queue_ms.round(),
            "in_time" => prepared.in_time, "wanted" => weights.map_or(0, |w| w.desired.0),
            "wanted_for_ms" => weights.map_or(0, |w| w.wanted_for.as_millis()),
            "oldest" => weights.map_or(0, |w| w.oldest.0),
            "oldest_why" => weights.map_or("", |w| w.reason));
        if let (Some(version), Some(weights)) = (chosen.version, weights) {
            self.metrics.prompt_attempt(version < weights.desired);
        }
        self.metrics.prompt_tokens("fetched", prepared.fetched);
        self.metrics.prompt_tokens("other", prepared.not_fetched);
    }

    /// Returns the result for a request for which no target was found.
    fn refuse_without_target(
        &self,
        request: &AdmittedRequest,
        pool: &PoolId,
        view: &View,
        progress: &mut Progress,
    ) -> NoAttempt {
        if progress.runs > 0 {
            return end_unserved(progress, "no target is free");
        }
        if let Some(wait) = self.backoff_wait(request, pool, view) {
            self.metrics.attempt("backed-off");
            return NoAttempt::Refused(Refusal::not_run(BACKED_OFF).with_retry_after(wait));
        }
        if !view.is_evacuated(pool) {
            let Some(wait) = self.limit_wait(request, pool, view) else {
                return end_unserved(progress, "no target is free");
            };
            self.metrics.attempt("limited");
            return NoAttempt::Refused(Refusal::not_run(LIMITED).with_retry_after(wait));
        }
        let wait = spread(EVACUATED_WAIT);
        NoAttempt::Refused(Refusal::not_run(EVACUATED).with_retry_after(wait))
    }

    /// Turns the refusal of another box's request that could not be sent to any target into one that lets that box try a
    /// third one.
    fn refuse_for_box(
        &self,
        request: &AdmittedRequest,
        pool: &PoolId,
        progress: &Progress,
        refusal: Refusal,
    ) -> Refusal {
        let is_unsent = progress.unsent > 0 && progress.arrivals == 0;
        match request.forwarded.is_some() && is_unsent {
            true => self.refuse_without_path(pool),
            false => refusal,
        }
    }

    /// Whether a request may be offered to one more target.
    pub fn may_offer(&self, progress: &Progress) -> bool {
        progress.offered.len() < MAX_OFFERS
    }
}

/// Builds the head of the request to the target.
fn attempt_head(
    request: &AdmittedRequest,
    progress: &Progress,
    prepared: &mut PreparedAttempt,
) -> AttemptHead {
    let for_engine = request.head.prompt.is_some();
    AttemptHead {
        target: prepared.chosen.target.id.clone(),
        time_left: request.time_left().saturating_sub(RETURN_MARGIN),
        organisation: request.organisation.as_ref().map(|org| org.id.clone()),
        priority: for_engine.then(|| prepared.priority(request)),
        engine: prepared.directives.take(),
        resume_after: progress.resume_after.clone(),
    }
}
