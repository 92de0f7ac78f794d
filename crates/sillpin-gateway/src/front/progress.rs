//! State of a request across its attempts, and whether it may run once more.

use super::admit::AdmittedRequest;
use super::attempt_outcome::{AttemptOutcome, CompleteResponse};
use super::refusal::Refusal;
use super::search_progress::{DroppedSearch, SearchProgress};
use super::stream_version::Binding;
use crate::config::Idempotency;
use crate::releases::{Assignment, Cohort};
use sillpin_core::{BoxId, Outcome, TargetId};

/// State of a request across its attempts.
#[derive(Default)]
pub struct Progress {
    /// Targets that the request was offered to.
    pub offered: Vec<TargetId>,
    /// Targets that it could not be sent to.
    pub unsent: u32,
    /// Other boxes that it was sent to.
    pub boxes: Vec<BoxId>,
    /// Whether it was counted for the retry budget.
    pub counted: bool,
    /// Whether a retry was taken from the budget for an attempt that has not reached a target yet.
    pub has_retry: bool,
    /// Attempts that ran or may have run.
    pub runs: u32,
    /// Attempts that reached a target.
    pub arrivals: u32,
    /// Id of the last event that the caller has received.
    pub resume_after: Option<String>,
    /// Versions of targets that may serve it.
    pub binding: Binding,
    /// Error response of a target, passed on if no other target does better.
    pub failure: Option<CompleteResponse>,
    /// Version of the targets that the next attempt goes to. At most one attempt goes to the new version of a release.
    pub cohort: Cohort,
    /// Part of the current attempt in a release.
    pub assignment: Option<Assignment>,
    /// Runs of the attempt that is under way.
    pub open_runs: u32,
    /// Runs and arrivals at the start of a search, the attempt that goes on included.
    pub(super) base: Used,
    /// The search for the attempt that is under way, if it was dropped.
    pub(super) dropped_search: DroppedSearch,
}

/// How often a request was run.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Used {
    runs: u32,
    arrivals: u32,
}

impl Progress {
    /// Records that an attempt reached a target.
    pub fn record_arrival(&mut self) {
        self.arrivals += 1;
        self.has_retry = false;
    }

    /// Returns the state for attempts at other targets while the current one, which counts as a run, goes on.
    pub(super) fn for_search(&self) -> SearchProgress {
        SearchProgress::new(self.at_search(), self.dropped_search.clone())
    }

    fn at_search(&self) -> Self {
        let base = Used {
            runs: self.runs + 1,
            arrivals: self.arrivals + 1,
        };
        Self {
            offered: self.offered.clone(),
            unsent: self.unsent,
            boxes: self.boxes.clone(),
            counted: self.counted,
            has_retry: false,
            runs: base.runs,
            arrivals: base.arrivals,
            resume_after: self.resume_after.clone(),
            binding: self.binding,
            failure: None,
            cohort: Cohort::Control,
            assignment: None,
            open_runs: 0,
            base,
            dropped_search: DroppedSearch::default(),
        }
    }

    /// Counts the runs of an attempt that was dropped while it was under way, and of the search beside it: they may have run.
    pub fn drop_open(&mut self) {
        if self.open_runs > 0 {
            self.record_arrival();
            self.runs += std::mem::take(&mut self.open_runs);
        }
        if let Some(mut search) = self.dropped_search.take() {
            search.drop_open();
            self.add_search(*search);
        }
    }

    /// Adds the attempts that were made with [`Progress::for_search`] of this one.
    pub fn add_search(&mut self, search: Progress) {
        self.offered = search.offered;
        self.boxes = search.boxes;
        self.unsent = search.unsent;
        self.runs += search.runs - search.base.runs;
        self.arrivals += search.arrivals - search.base.arrivals;
        self.has_retry |= search.has_retry;
        self.failure = self.failure.take().or(search.failure);
    }

    /// Records the outcome of a request at another box, which was allowed `max_runs` runs. How many it used is not known.
    pub fn record_forwarded(&mut self, outcome: &AttemptOutcome, max_runs: u32) {
        self.open_runs = 0;
        let is_not_run = match outcome {
            AttemptOutcome::Refused(refusal) => refusal.outcome == Outcome::NotRun,
            _ => false,
        };
        if !is_not_run {
            self.record_arrival();
            self.runs += max_runs;
        }
    }
}

/// Why no further target is tried.
pub enum NoAttempt {
    /// No target served the request.
    Refused(Refusal),
    /// A target responded with an error, and no other target did better.
    Failed(CompleteResponse),
}

/// Returns the result of a request that no target served; it depends on whether the request may have run.
pub fn end_unserved(progress: &mut Progress, reason: &str) -> NoAttempt {
    if let Some(failure) = progress.failure.take() {
        return NoAttempt::Failed(failure);
    }
    NoAttempt::Refused(match progress.runs {
        0 => Refusal::not_run(reason),
        _ => Refusal::unknown(reason),
    })
}

/// Whether a request that ran, or may have run, may be sent to another target.
pub fn may_rerun(request: &AdmittedRequest, progress: &Progress) -> bool {
    may_rerun_after(request, progress.runs)
}

/// Whether a request that ran, or may have run, so often may run once more.
pub fn may_rerun_after(request: &AdmittedRequest, runs: u32) -> bool {
    request.route.idempotency == Idempotency::Idempotent && runs < request.max_runs
}
