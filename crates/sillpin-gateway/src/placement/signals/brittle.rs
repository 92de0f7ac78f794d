//! Targets that crash if they have to refuse too many requests.
//!
//! Such a target states in its responses how many refusals in a second it survives, from all boxes together. A box that it
//! refuses sends it nothing for so long that all boxes together, if each does so, are refused no more often than that.

use derive_more::{Display, FromStr};
use rand::{Rng, RngExt};
use std::time::Duration;

/// Number of refusals in a second that a target survives.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, FromStr)]
pub struct RefusalLimit(pub u32);

/// Shortest time without requests: refusals are counted by the second.
const MIN_BACKOFF: Duration = Duration::from_secs(1);

/// Longest time without requests. In large fleets a target is full for a shorter time than its share would take.
const MAX_BACKOFF: Duration = Duration::from_secs(10);

/// Largest part that is added at random, so that boxes that were refused together do not come back together.
const SPREAD: f64 = 0.5;

impl RefusalLimit {
    /// Returns how long one of `boxes` boxes sends nothing to the target after a refusal.
    pub fn backoff(self, boxes: usize, rng: &mut impl Rng) -> Duration {
        let share = boxes as f64 / f64::from(self.0.max(1));
        let mean = MIN_BACKOFF.mul_f64(share).clamp(MIN_BACKOFF, MAX_BACKOFF);
        mean.mul_f64(1.0 + SPREAD * rng.random::<f64>())
    }
}
