//! Asks other targets while a request waits at one that is doubted.
//!
//! A target from which nothing arrives may be sound. A request is therefore not taken from it before another one serves
//! it: the request waits at both, whichever serves it first does, and the other one loses its connection.

use super::admit::AdmittedRequest;
use super::attempt::{AfterDoubt, AttemptOutcome, Doubt};
use super::progress::{NoAttempt, Progress, may_rerun, may_rerun_after};
use super::shared::Shared;
use crate::control::TargetEntry;
use crate::dialect::Dialect;
use sillpin_core::{Outcome, PoolId, WeightVersion};
use sillpin_telemetry::{event, events};
use std::future::Future;
use std::pin::{Pin, pin};
use std::sync::Arc;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// An attempt whose target is doubted.
pub struct DoubtedAttempt<'a> {
    /// The target.
    pub target: &'a Arc<TargetEntry>,
    /// Weights that the target serves, if it is an engine.
    pub version: Option<WeightVersion>,
    /// When the request was sent there.
    pub sent: Instant,
    /// Why it is doubted.
    pub doubt: Doubt,
    /// State of the request, in which the attempt is not counted yet.
    pub progress: &'a Progress,
}

/// An attempt whose target is doubted, and the state of the request for attempts elsewhere.
struct Doubted {
    target: Arc<TargetEntry>,
    version: Option<WeightVersion>,
    sent: Instant,
    doubt: Doubt,
    progress: Progress,
}

impl From<DoubtedAttempt<'_>> for Doubted {
    fn from(attempt: DoubtedAttempt<'_>) -> Self {
        Self {
            target: attempt.target.clone(),
            version: attempt.version,
            sent: attempt.sent,
            doubt: attempt.doubt,
            progress: attempt.progress.for_search(),
        }
    }
}

/// Result of an attempt.
type AttemptResult = Result<AttemptOutcome, NoAttempt>;

/// Which attempt ended a request that waited at two targets.
enum RaceEnd {
    /// The first one, or no other target served the request.
    First(AttemptResult),
    /// One at another target, which serves the request, while the first one was open.
    Other(AttemptOutcome),
    /// One at another target, after the first one had ended.
    OtherAlone(AttemptOutcome),
}

impl<D: Dialect> Shared<D> {
    /// Selects a target and makes one attempt; while the target is doubted, attempts at others as well. Fails when time,
    /// targets or retry budget are used up.
    pub async fn next_attempt(
        &self,
        request: &AdmittedRequest,
        pool: &PoolId,
        progress: &mut Progress,
    ) -> AttemptResult {
        if !may_rerun_after(request, progress.runs + 1) {
            let wait = |_: DoubtedAttempt<'_>| AfterDoubt::Wait;
            return self.attempt_once(request, pool, progress, wait).await;
        }
        let (tx, rx) = oneshot::channel();
        let mut tx = Some(tx);
        let report = |attempt: DoubtedAttempt<'_>| {
            if let Some(tx) = tx.take() {
                // Cannot fail: the receiver is polled until the attempt ends.
                let _ = tx.send(Doubted::from(attempt));
            }
            AfterDoubt::Wait
        };
        let (mut doubted, end) = {
            let mut first = pin!(self.attempt_once(request, pool, progress, report));
            let mut doubted = tokio::select! {
                biased;
                end = &mut first => return end,
                Ok(doubted) = rx => doubted,
            };
            self.log_search(request, &doubted);
            let end = self.race(request, pool, first, &mut doubted.progress);
            let end = end.await;
            (doubted, end)
        };
        doubted.progress.drop_open();
        match end {
            RaceEnd::First(end) => {
                progress.add_search(doubted.progress);
                end
            }
            RaceEnd::Other(outcome) => {
                self.record_superseded(request, &doubted, progress);
                *progress = doubted.progress;
                Ok(outcome)
            }
            RaceEnd::OtherAlone(outcome) => {
                *progress = doubted.progress;
                Ok(outcome)
            }
        }
    }

    /// Makes attempts at other targets beside the first one, until one of them serves the request or all have ended.
    async fn race<F>(
        &self,
        request: &AdmittedRequest,
        pool: &PoolId,
        mut first: Pin<&mut F>,
        progress: &mut Progress,
    ) -> RaceEnd
    where
        F: Future<Output = AttemptResult>,
    {
        let mut search = pin!(self.search(request, pool, progress));
        let first_end = tokio::select! {
            biased;
            end = first.as_mut() => end,
            found = search.as_mut() => return match found {
                Ok(outcome) => RaceEnd::Other(outcome),
                Err(_) => RaceEnd::First(first.await),
            },
        };
        if is_served(&first_end) {
            return RaceEnd::First(first_end);
        }
        match search.await {
            Ok(outcome) => RaceEnd::OtherAlone(outcome),
            Err(_) => RaceEnd::First(first_end),
        }
    }

    /// Makes attempts until a target serves the request. The error is the reason why none does.
    pub(super) async fn search(
        &self,
        request: &AdmittedRequest,
        pool: &PoolId,
        progress: &mut Progress,
    ) -> Result<AttemptOutcome, String> {
        while may_rerun(request, progress) {
            let after_doubt = match may_rerun_after(request, progress.runs + 1) {
                true => AfterDoubt::End,
                false => AfterDoubt::Wait,
            };
            let attempt = self.attempt_once(request, pool, progress, |_| after_doubt);
            match attempt.await {
                Ok(outcome @ (AttemptOutcome::Completed(_) | AttemptOutcome::Streaming(_))) => {
                    return Ok(outcome);
                }
                Ok(AttemptOutcome::Failed(response)) => progress.failure = Some(response),
                Ok(AttemptOutcome::Refused(refusal)) if refusal.outcome == Outcome::NotRun => {
                    return Err(refusal.reason);
                }
                Ok(_) => {}
                Err(NoAttempt::Refused(refusal)) => return Err(refusal.reason),
                Err(NoAttempt::Failed(response)) => {
                    progress.failure = Some(response);
                    return Err("a target failed".to_owned());
                }
            }
        }
        Err("its runs are used up".to_owned())
    }

    fn log_search(&self, request: &AdmittedRequest, doubted: &Doubted) {
        event!(self.log, events::OTHERS_ASKED, "request" => &request.head.id,
            "target" => doubted.target.id.as_str(), "why" => doubted.doubt.outcome().reason(),
            "elapsed_ms" => request.arrival.elapsed().as_millis());
    }

    /// Records an attempt that was dropped since another target serves the request.
    fn record_superseded(
        &self,
        request: &AdmittedRequest,
        doubted: &Doubted,
        progress: &mut Progress,
    ) {
        let (target, outcome) = (&doubted.target, doubted.doubt.outcome());
        self.record_outcome(request, target, doubted.version, &outcome, progress);
        self.record_for_release(request, target, &outcome, doubted.sent, progress);
    }
}

/// Whether a target serves the request.
fn is_served(end: &AttemptResult) -> bool {
    matches!(
        end,
        Ok(AttemptOutcome::Completed(_) | AttemptOutcome::Streaming(_))
    )
}
