//! Which requests are refused at once since no target can begin them in time.
//!
//! A target that takes all that comes serves less the more is asked: each request waits behind those before it until its caller leaves, urgent ones
//! push others out of memory, and what was read for them is read again or for nobody. So a request that cannot be in time any more behind what waits
//! already is refused at once: its caller may be in time later or elsewhere, and those that are taken are served in time.
//!
//! What a caller has waited before counts, also what it waited after an earlier refusal. So callers that come back late go behind those that can still be
//! in time, and are served whenever nothing waits.

use std::time::Duration;

/// A prompt takes so many times as long as its tokens explain: a target makes other requests' tokens between pieces of it.
pub const READING_FACTOR: f64 = 1.2;

/// A request with less work of its own is refused only for the queue that it meets, however long its caller has waited: refusing it frees next to nothing,
/// and targets begin it between pieces of longer ones.
const SHORT: Duration = Duration::from_millis(20);

/// While a shorter queue stands at targets they are not asked for more than they can take, whatever a single request meets; and one that meets a shorter
/// queue is in nobody's way. Both are served rather than refused, also if they are late.
const LEAST_QUEUE: Duration = Duration::from_millis(20);

/// Beyond the queue that a box knows of, a request waits so many times as long as the one that has stood of late: for memory, for what is fetched
/// besides, and behind what others sent in the last tenth of a second. So what stands stays below a third of an aim, and requests with shorter aims are
/// in time behind it too.
const STANDING_FACTOR: f64 = 2.0;

/// A request is refused if it would begin later than in so many aims, drawn evenly from these: boxes that see the same queue refuse a part of what
/// comes, not all or nothing by turns.
const LEAST_AIMS: f64 = 0.7;
const MOST_AIMS: f64 = 1.0;

/// What is known of a request, and of the target that would begin it soonest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Expected {
    /// How long its caller has waited.
    pub waited: Duration,
    /// The time within which it is wanted to begin.
    pub latency_objective: Duration,
    /// Work that is known to be ahead of it at the target.
    pub queue: Duration,
    /// What was ahead of requests at the targets that were chosen of late, on average.
    pub standing: Duration,
    /// Work of its own until it begins.
    pub own: Duration,
}

impl Expected {
    /// By how much the request would be late, if it is to be refused for that; `draw` is a number from 0 to 1 drawn for it.
    pub fn refused_for(&self, draw: f64) -> Option<Duration> {
        if self.standing < LEAST_QUEUE || self.queue < LEAST_QUEUE {
            return None;
        }
        let besides = match self.own < SHORT {
            true => Duration::ZERO,
            false => self.waited + self.standing.mul_f64(STANDING_FACTOR),
        };
        let begins = besides + self.queue + self.own.mul_f64(READING_FACTOR);
        let bound = self
            .latency_objective
            .mul_f64(LEAST_AIMS + (MOST_AIMS - LEAST_AIMS) * draw);
        begins.checked_sub(bound).filter(|late| !late.is_zero())
    }
}
