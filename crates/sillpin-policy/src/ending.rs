//! Decides which requests are refused immediately because their responses cannot end before their
//! deadline, and after which time a refused caller can still be served.
//!
//! A stream that is ended by its deadline has used an engine for nothing. Estimates are uncertain,
//! and a caller may end a response earlier than expected, so a request is only refused if it would
//! miss its deadline by a wide margin.

use std::time::Duration;

/// A request is refused if its response would take this many times the time left. The expected
/// generation is half of the maximum, and a response that ends at a third of the maximum takes a
/// third less.
const MARGIN: f64 = 1.5;

/// A retry-after below this is of no use: the caller would meet the same queue.
const MIN_USEFUL_WAIT: Duration = Duration::from_millis(50);

/// Expected course of a request at the target that could start it soonest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndEstimate {
    /// Work that is certainly ahead of it.
    pub queue: Duration,
    /// Its prefill.
    pub prefill: Duration,
    /// Expected time for the generation of its response; `None` if the pace is unknown.
    pub generation: Option<Duration>,
    /// Time until its deadline.
    pub time_left: Duration,
}

impl EndEstimate {
    /// Returns the expected time until the response ends; `None` if the pace is unknown.
    pub fn expected_end(&self) -> Option<Duration> {
        Some(self.queue + self.prefill + self.generation?)
    }

    /// Returns whether the response will almost certainly not end before the deadline.
    pub fn cannot_end(&self) -> bool {
        let latest = self.time_left.mul_f64(MARGIN);
        self.expected_end().is_some_and(|end| end > latest)
    }

    /// Returns `wait`, shortened so that the request can still end if it meets no queue after it.
    /// If that is impossible, returns `shortest`, or half of the time left if that is less.
    pub fn retry_after(&self, wait: Duration, shortest: Duration) -> Duration {
        let own = self.prefill + self.generation.unwrap_or_default();
        let latest = self.time_left.saturating_sub(own);
        if latest < MIN_USEFUL_WAIT {
            return shortest.min(self.time_left / 2);
        }
        wait.min(latest)
    }
}
