//! Pauses after failed calls of the platform's store.

use rand::RngExt;
use std::time::Duration;

/// Largest number of doublings; `longest` is reached earlier.
const MAX_DOUBLINGS: u32 = 16;

/// Returns the wait after a number of consecutive failures, with jitter, so that the boxes don't
/// all call the store at the moment when it recovers.
pub fn backoff(failures: u32, least: Duration, longest: Duration) -> Duration {
    let doubled = least.saturating_mul(2u32.pow(failures.min(MAX_DOUBLINGS)));
    let most = doubled.min(longest);
    most.mul_f64(rand::rng().random_range(0.5..1.0))
}
