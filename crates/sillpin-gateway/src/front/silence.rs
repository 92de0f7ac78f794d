//! When a target's silence is a reason to leave it.
//!
//! A busy engine lets a prompt wait in its queue and a stream wait between events, and from outside that looks like an
//! engine that has stopped answering. Leaving it gives up its work and begins anew at the end of another queue, so
//! a target is left only if the request may still run at another one, the budget for second sendings has room, and
//! that other target can be expected to begin before the caller gives up. Otherwise the request stays where it is
//! until its own time is over. Connections that are dead end by their own keep-alive, not by this.

use super::admit::Run;
use super::drive::{Progress, may_repeat};
use super::shared::Shared;
use crate::config::Repeat;
use crate::dialect::Dialect;
use sillpin_core::PoolId;
use std::time::Duration;
use tokio::time::Instant;

/// Part of the time after which callers of a stream leave that is left to a silent engine; the rest is for another
/// one to begin. A busy engine often lets a stream wait over 1.3 s, and callers bear 2.4 to 4.8 s.
const PATIENCE_PART: f64 = 0.6;

/// A plain target is left after this many times the aim: its answer is late by then, and its requests take a fraction
/// of the aim.
const PLAIN_AIMS: f64 = 2.0;

/// A silent target is left alone for this long at least, also on a route that names no aim.
const LEAST_SILENCE: Duration = Duration::from_millis(100);

impl<D: Dialect> Shared<D> {
    /// When a target that says nothing from now on is looked at again.
    pub fn silence_until(&self, run: &Run) -> Instant {
        if run.route.repeat == Repeat::AtMostOnce {
            return run.deadline;
        }
        let borne = match run.route.streaming {
            true => run.route.patience.mul_f64(PATIENCE_PART),
            false => run.route.latency_objective.mul_f64(PLAIN_AIMS),
        };
        run.deadline.min(Instant::now() + borne.max(LEAST_SILENCE))
    }

    /// Whether a request does better elsewhere than at the silent target that has it. `progress` does not count the
    /// sending to that target among the runs yet.
    pub fn should_leave(&self, run: &Run, pool: &PoolId, progress: &Progress) -> bool {
        let another = progress.runs + 1 < run.route.max_runs;
        another && run.route.repeat == Repeat::Freely && self.has_sooner(run, pool, progress)
    }

    /// Whether a stream that fell silent after it had begun does better elsewhere.
    pub fn should_resume(&self, run: &Run, pool: &PoolId, progress: &Progress) -> bool {
        run.route.resumable && may_repeat(run, progress) && self.has_sooner(run, pool, progress)
    }

    /// Whether another target can be expected to begin a request before its caller gives up.
    fn has_sooner(&self, run: &Run, pool: &PoolId, progress: &Progress) -> bool {
        if !self.may_offer(progress) || self.withheld_for(run).is_some() {
            return false;
        }
        let view = self.fleet.view();
        let Some(found) = self.select(run, pool, &view, progress) else {
            return false;
        };
        let left = match run.route.streaming {
            true => run.route.patience.mul_f64(1.0 - PATIENCE_PART),
            false => run.time_left(),
        };
        let expected = Duration::from_secs_f64(found.expected_ms() / 1000.0);
        let is_sooner = !found.chosen.in_cooldown && expected < left.min(run.time_left());
        // Last, since asking may use up what the box has earned.
        is_sooner && self.has_retry(pool)
    }
}
