//! Asks other targets while a request waits at one that is doubted.
//!
//! A target from which nothing arrives may be sound. A request is therefore not taken from it before another one serves
//! it: the request waits at both, whichever serves it first does, and the other one loses its connection. A search treats
//! its own targets in the same way, if the request may run once more.

use super::admit::AdmittedRequest;
use super::attempt_outcome::{AttemptOutcome, Doubt, OpenStream, StreamSource};
use super::progress::{NoAttempt, Progress, may_rerun, may_rerun_after};
use super::search_progress::SearchProgress;
use super::shared::Shared;
use super::stream_body::Begun;
use crate::control::TargetEntry;
use crate::dialect::Dialect;
use crate::placement::load::Outcome as Health;
use crate::placement::work::IncarnationHash;
use sillpin_core::{Outcome, PoolId, WeightVersion};
use sillpin_telemetry::{event, events};
use std::future::Future;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};

/// Time for which a request that is no stream waits at two targets, of which the first one is only slow: the other one
/// refuses within a few round trips, or works on it. A request must not run at two targets for longer than 400 ms.
const OVERLAP: Duration = Duration::from_millis(300);

/// Time from the head of another target's stream until its first event. After it the stream is closed at the first
/// target, for the same reason.
const BEGIN_TIMEOUT: Duration = Duration::from_millis(250);

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
    progress: SearchProgress,
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

/// How a race between a first attempt and attempts at other targets ended.
enum RaceEnd {
    /// The first attempt ended, and no other target serves the request.
    First(AttemptResult),
    /// Another target serves the request, or the first attempt was given up for it.
    Other {
        outcome: AttemptOutcome,
        /// Whether the first attempt was dropped, so that its outcome has not been recorded.
        is_first_dropped: bool,
    },
    /// No other target serves the request; the first attempt is open.
    Nobody,
}

impl<D: Dialect> Shared<D> {
    /// Selects a target and makes one attempt; while the target is doubted, attempts at others as well. Fails when time,
    /// targets or retry budget are used up.
    pub fn next_attempt(
        &self,
        request: &AdmittedRequest,
        pool: &PoolId,
        progress: &mut Progress,
    ) -> impl Future<Output = AttemptResult> + Send {
        // The bound is stated since a search calls this for each attempt.
        self.attempt_with_search(request, pool, progress)
    }

    async fn attempt_with_search(
        &self,
        request: &AdmittedRequest,
        pool: &PoolId,
        progress: &mut Progress,
    ) -> AttemptResult {
        if !may_rerun_after(request, progress.runs + 1) {
            return self.attempt_once(request, pool, progress, |_| ()).await;
        }
        let (tx, mut rx) = mpsc::unbounded_channel();
        let report = |attempt: DoubtedAttempt<'_>| {
            // Cannot fail: the receiver lives until the attempt ends.
            let _ = tx.send(Doubted::from(attempt));
        };
        let mut searched: Option<Doubted> = None;
        let end = {
            let mut first = pin!(Some(self.attempt_once(request, pool, progress, report)));
            loop {
                let mut doubted = tokio::select! {
                    biased;
                    end = open(&mut first) => break RaceEnd::First(end),
                    Some(doubted) = rx.recv() => doubted,
                };
                if let Some(before) = searched.take() {
                    // It includes the searches before.
                    doubted.progress = before.progress;
                }
                doubted.progress.begin();
                self.log_search(request, &doubted);
                let end = self.race(request, pool, &mut first, &mut doubted).await;
                doubted.progress.drop_open();
                searched = Some(doubted);
                if !matches!(end, RaceEnd::Nobody) {
                    break end;
                }
            }
        };
        match (end, searched) {
            (RaceEnd::First(end), Some(doubted)) => {
                progress.add_search(doubted.progress.finish());
                end
            }
            (RaceEnd::First(end), None) => end,
            (
                RaceEnd::Other {
                    outcome,
                    is_first_dropped,
                },
                Some(doubted),
            ) => {
                if is_first_dropped {
                    self.record_superseded(request, &doubted, progress);
                }
                *progress = doubted.progress.finish();
                Ok(outcome)
            }
            (RaceEnd::Other { outcome, .. }, None) => Ok(outcome),
            (RaceEnd::Nobody, _) => Ok(AttemptOutcome::Silent),
        }
    }

    /// Makes attempts at other targets beside the first one, until one of them serves the request or all have ended.
    async fn race<F>(
        &self,
        request: &AdmittedRequest,
        pool: &PoolId,
        first: &mut Pin<&mut Option<F>>,
        doubted: &mut Doubted,
    ) -> RaceEnd
    where
        F: Future<Output = AttemptResult>,
    {
        let overlap = match doubted.doubt == Doubt::Slow && !request.route.streaming {
            true => OVERLAP,
            false => request.time_left(),
        };
        let given_up = doubted.doubt.outcome();
        let mut search = pin!(self.search(request, pool, &mut doubted.progress));
        let first_end = tokio::select! {
            biased;
            end = open(first) => end,
            found = search.as_mut() => return match found {
                Ok(outcome) => RaceEnd::Other { outcome, is_first_dropped: true },
                Err(_) => RaceEnd::Nobody,
            },
            () = tokio::time::sleep(overlap) => {
                first.set(None);
                let outcome = search.await.unwrap_or(given_up);
                return RaceEnd::Other { outcome, is_first_dropped: true };
            }
        };
        if is_served(&first_end) {
            return RaceEnd::First(first_end);
        }
        match search.await {
            Ok(outcome) => RaceEnd::Other {
                outcome,
                is_first_dropped: false,
            },
            Err(_) => RaceEnd::First(first_end),
        }
    }

    /// Makes attempts until a target serves the request; a stream once it has sent its first event, or has not for a while
    /// after its head. The error is the reason why none does.
    pub(super) async fn search(
        &self,
        request: &AdmittedRequest,
        pool: &PoolId,
        progress: &mut Progress,
    ) -> Result<AttemptOutcome, String> {
        while may_rerun(request, progress) {
            let attempt = Box::pin(self.next_attempt(request, pool, progress));
            match attempt.await {
                Ok(AttemptOutcome::Streaming(stream)) => {
                    if let Some(stream) = self.begin_stream(request, stream).await {
                        return Ok(AttemptOutcome::Streaming(stream));
                    }
                }
                Ok(outcome @ AttemptOutcome::Completed(_)) => return Ok(outcome),
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

    /// Waits for the first event of a stream; `None` if it broke off before.
    async fn begin_stream(
        &self,
        request: &AdmittedRequest,
        mut stream: Box<OpenStream>,
    ) -> Option<Box<OpenStream>> {
        let target = match &stream.source {
            StreamSource::Target { target, .. } => Some(target.clone()),
            StreamSource::Box { .. } => None,
        };
        // If the search is dropped meanwhile, the target may still run the request.
        let waiting = target.as_ref().map(|target| {
            self.fatal
                .sent(request.candidates.clone(), IncarnationHash::of(target))
        });
        let begin_by = stream.body.opened() + BEGIN_TIMEOUT;
        let begun = timeout_at(begin_by, stream.body.begin()).await;
        if let Some(waiting) = waiting {
            waiting.end(false);
        }
        let Ok(Begun::Broken(why)) = begun else {
            return Some(stream);
        };
        if let Some(target) = &target {
            self.response_broken(request, target);
            self.loads
                .record_for_incarnation(&target.id, target.life, Health::Failed);
        }
        event!(self.log, events::ATTEMPT_INCOMPLETE, "request" => &request.head.id,
            "target" => stream.source.name(), "outcome" => "broken", "why" => why,
            "elapsed_ms" => request.arrival.elapsed().as_millis());
        None
    }

    fn log_search(&self, request: &AdmittedRequest, doubted: &Doubted) {
        event!(self.log, events::OTHERS_ASKED, "request" => &request.head.id,
            "target" => doubted.target.id.as_str(), "why" => doubted.doubt.outcome().reason(),
            "elapsed_ms" => request.arrival.elapsed().as_millis());
    }

    /// Records an attempt that was dropped for another target.
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

/// Waits for an attempt that is open; for ever once it was dropped.
async fn open<F>(attempt: &mut Pin<&mut Option<F>>) -> AttemptResult
where
    F: Future<Output = AttemptResult>,
{
    match attempt.as_mut().as_pin_mut() {
        Some(attempt) => attempt.await,
        None => std::future::pending().await,
    }
}

/// Whether a target serves the request.
fn is_served(end: &AttemptResult) -> bool {
    matches!(
        end,
        Ok(AttemptOutcome::Completed(_) | AttemptOutcome::Streaming(_))
    )
}
