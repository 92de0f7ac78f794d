//! The part of requests in the release of their pool.

use super::admit::AdmittedRequest;
use super::attempt_outcome::AttemptOutcome;
use super::prepared::PreparedAttempt;
use super::progress::Progress;
use super::shared::Shared;
use crate::control::{ReleasePhase, TargetEntry};
use crate::dialect::Dialect;
use crate::fleet_state::View;
use crate::releases::tracker::Response;
use crate::releases::{Assignment, Cohort};
use sillpin_core::PoolId;
use tokio::time::Instant;

impl<D: Dialect> Shared<D> {
    /// Selects and prepares an attempt in the cohort of a request. Whatever the new version of a release cannot take
    /// goes to the earlier one. The reverse holds only where the release may already have succeeded, since the earlier
    /// targets stop then, before this box knows.
    pub fn prepare_in_cohort(
        &self,
        request: &AdmittedRequest,
        pool: &PoolId,
        view: &View,
        progress: &mut Progress,
    ) -> Option<PreparedAttempt> {
        if let Some(cohort) = self.bound_cohort(pool, view, progress) {
            progress.cohort = cohort;
            return self.prepare_attempt(request, pool, view, progress);
        }
        if progress.cohort == Cohort::Canary {
            if let Some(prepared) = self.prepare_attempt(request, pool, view, progress) {
                return Some(prepared);
            }
            self.move_to(Cohort::Control, progress);
        }
        let may_have_stopped =
            !progress.offered.is_empty() && progress.arrivals == 0 && self.may_succeed(view, pool);
        if may_have_stopped {
            self.move_to(Cohort::Canary, progress);
        }
        let prepared = self.prepare_attempt(request, pool, view, progress);
        if prepared.is_some() || !may_have_stopped {
            return prepared;
        }
        self.move_to(Cohort::Control, progress);
        self.prepare_attempt(request, pool, view, progress)
    }

    fn move_to(&self, cohort: Cohort, progress: &mut Progress) {
        progress.cohort = cohort;
        if let Some(assignment) = &mut progress.assignment {
            assignment.cohort = cohort;
        }
    }

    /// Whether the release of a pool is at a point at which another box may have ended it as successful.
    fn may_succeed(&self, view: &View, pool: &PoolId) -> bool {
        let release = view.releases.find(pool);
        release.is_some_and(|release| {
            let schedule = self.releases.schedule(release);
            let step = schedule.step(release.since.elapsed());
            release.phase == ReleasePhase::Running && step.may_succeed
        })
    }

    /// Counts the outcome of an attempt that was sent at `sent`, unless the attempt goes on as a stream. Later attempts
    /// of the request are not counted.
    pub fn record_for_release(
        &self,
        request: &AdmittedRequest,
        target: &TargetEntry,
        outcome: &AttemptOutcome,
        sent: Instant,
        progress: &mut Progress,
    ) {
        let response = match outcome {
            AttemptOutcome::Completed(_) | AttemptOutcome::TimedOut(_) => {
                Response::Served(sent.elapsed())
            }
            AttemptOutcome::Failed(_) => Response::Failed,
            AttemptOutcome::Unknown(_) | AttemptOutcome::Silent => Response::Broken,
            AttemptOutcome::Streaming(_) => return,
            AttemptOutcome::Unsent(_)
            | AttemptOutcome::NotRun { .. }
            | AttemptOutcome::Refused(_)
            | AttemptOutcome::Cancelled => {
                // The next attempt goes to the earlier version.
                if let Some(assignment) = &mut progress.assignment {
                    assignment.cohort = Cohort::Control;
                }
                return;
            }
        };
        self.record_response(request, target, response, progress.assignment.take());
    }

    /// Counts a response for the release that the request was assigned in.
    pub fn record_response(
        &self,
        request: &AdmittedRequest,
        target: &TargetEntry,
        response: Response,
        assignment: Option<Assignment>,
    ) {
        let Some(assignment) = assignment else {
            return;
        };
        let (view, route) = (self.fleet.view(), &request.route.name);
        self.releases
            .record(&view, &assignment, target, route, response, Instant::now());
    }
}
