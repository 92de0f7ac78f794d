//! Decides which requests are refused immediately because no target can start them in time.
//!
//! A target that accepts everything serves less as the load grows: each request waits behind
//! earlier ones until its caller gives up, urgent requests evict others from memory, and evicted
//! prompts are prefilled again, or for callers that have left. A request that cannot start in time
//! behind the current queue is therefore refused immediately: its caller may be in time later or
//! elsewhere, and the accepted requests are served in time.
//!
//! The time that a caller has already waited counts, including the time before an earlier refusal.
//! So requests that are retried late yield to those that can still be in time, and are served
//! whenever there is no queue.

use crate::fair_share::Claim;
use std::time::Duration;

/// Ratio of the time that a prompt's prefill takes to the time that its tokens alone would take: a
/// target generates tokens for other requests between the chunks of a prefill.
pub const PREFILL_FACTOR: f64 = 1.2;

/// A request with less work of its own than this is judged by the current queue alone, however long
/// its caller has waited: refusing it frees almost no capacity, and targets start it between the
/// chunks of longer prefills.
const SHORT_REQUEST: Duration = Duration::from_millis(20);

/// While the average queue at targets is shorter than this, they are not overloaded, whatever queue
/// a single request meets; and a request that meets a shorter queue delays no other. Both are
/// served rather than refused, even if they are late.
const MIN_QUEUE: Duration = Duration::from_millis(20);

/// Besides the queue that is known to a box, a request waits this many times the recent average queue:
/// for memory, for parts that are fetched, and behind what other boxes sent in the last 0.1 s. This
/// keeps the average queue below a third of a latency objective, so that requests with shorter
/// objectives are in time too.
const STANDING_FACTOR: f64 = 2.0;

/// A request is refused if it would start later than its latency objective times a factor that is
/// drawn evenly between these two. Drawing makes boxes that see the same queue refuse a part of the
/// requests, rather than all and none in turns.
const MIN_OBJECTIVE_FACTOR: f64 = 0.7;
const MAX_OBJECTIVE_FACTOR: f64 = 1.0;

/// The capacity that is divided among organisations is measured by what is admitted. Refusals reduce
/// it, so shares have to grow while the queue is shorter than the overload rule allows. They are
/// multiplied by the longest allowed wait divided by the expected one, within these limits. With a
/// limit of 2, an organisation that had stopped to exceed its share was still refused seconds later.
const MAX_GAIN: f64 = 4.0;
const MIN_GAIN: f64 = 0.5;

/// Estimates for one request at the target that could start it soonest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StartEstimate {
    /// Time for which the caller has waited.
    pub waited: Duration,
    /// Time within which the request should start, counted from the caller's first attempt.
    pub latency_objective: Duration,
    /// Known work ahead of the request at the target.
    pub queue: Duration,
    /// Recent average of the queue at the chosen targets.
    pub standing: Duration,
    /// Work of the request itself until it starts.
    pub own: Duration,
}

impl StartEstimate {
    /// Returns by how much the request would be late if it is to be refused, or `None` if it is to
    /// be served. `draw` is a random number from 0 to 1.
    pub fn lateness_if_refused(&self, draw: f64) -> Option<Duration> {
        self.lateness_by_claim(Claim::Usual, draw)
    }

    /// Like [`Self::lateness_if_refused`], with regard to the share of the request's organisation. A
    /// request that exceeds the share is refused at any queue. With a shorter limit for the queue
    /// instead, an organisation at 30 times its share left others 28 in 100 of their requests: boxes
    /// know of queues too late to hold that many requests to a limit.
    pub fn lateness_by_claim(&self, claim: Claim, draw: f64) -> Option<Duration> {
        if let Claim::Excess { part } = claim {
            let latest_start = self.latest_start(objective_factor(draw), part);
            return Some(self.start().saturating_sub(latest_start));
        }
        if !self.is_overload() {
            return None;
        }
        let factor = match claim {
            Claim::Protected => MAX_OBJECTIVE_FACTOR,
            _ => objective_factor(draw),
        };
        self.start()
            .checked_sub(self.latest_start(factor, 1.0))
            .filter(|late| !late.is_zero())
    }

    /// Whether there is a standing queue, so that the targets are overloaded.
    pub fn has_standing_queue(&self) -> bool {
        self.standing >= MIN_QUEUE
    }

    /// Whether the targets are overloaded and the request meets a queue itself.
    pub fn is_overload(&self) -> bool {
        self.has_standing_queue() && self.queue >= MIN_QUEUE
    }

    /// Returns the factor for shares of the measured capacity at this standing queue.
    pub fn share_gain(&self) -> f64 {
        let usual = self.latency_objective.mul_f64(objective_factor(0.5));
        let longest_wait = usual.saturating_sub(self.own.mul_f64(PREFILL_FACTOR));
        let wait = self.standing.mul_f64(1.0 + STANDING_FACTOR).max(MIN_QUEUE);
        let gain = longest_wait.as_secs_f64() / wait.as_secs_f64();
        gain.clamp(MIN_GAIN, MAX_GAIN)
    }

    /// Expected start, counted from the caller's first attempt.
    fn start(&self) -> Duration {
        let standing = match self.own < SHORT_REQUEST {
            true => Duration::ZERO,
            false => self.standing.mul_f64(STANDING_FACTOR),
        };
        self.fixed_time() + standing + self.queue
    }

    /// Part of the expected start that does not depend on other requests.
    fn fixed_time(&self) -> Duration {
        let waited = match self.own < SHORT_REQUEST {
            true => Duration::ZERO,
            false => self.waited,
        };
        waited + self.own.mul_f64(PREFILL_FACTOR)
    }

    /// Start at which the request is late: its latency objective times `factor`, with only a `part`
    /// of the wait for other requests that this leaves.
    fn latest_start(&self, factor: f64, part: f64) -> Duration {
        let latest_start = self.latency_objective.mul_f64(factor);
        let longest_wait = latest_start.saturating_sub(self.fixed_time());
        latest_start - longest_wait.mul_f64((1.0 - part).clamp(0.0, 1.0))
    }
}

/// Returns the factor of the latency objective at which a request is refused.
fn objective_factor(draw: f64) -> f64 {
    MIN_OBJECTIVE_FACTOR + (MAX_OBJECTIVE_FACTOR - MIN_OBJECTIVE_FACTOR) * draw
}
