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
        if self.standing < MIN_QUEUE || self.queue < MIN_QUEUE {
            return None;
        }
        let other_wait = match self.own < SHORT_REQUEST {
            true => Duration::ZERO,
            false => self.waited + self.standing.mul_f64(STANDING_FACTOR),
        };
        let start = other_wait + self.queue + self.own.mul_f64(PREFILL_FACTOR);
        let latest_start = self
            .latency_objective
            .mul_f64(MIN_OBJECTIVE_FACTOR + (MAX_OBJECTIVE_FACTOR - MIN_OBJECTIVE_FACTOR) * draw);
        start
            .checked_sub(latest_start)
            .filter(|late| !late.is_zero())
    }
}
