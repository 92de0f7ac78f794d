//! Weights that fall with age.

use std::time::Duration;
use tokio::time::Instant;

/// Returns the part of a weight that is left after the time since `at`.
pub fn weight_left(at: Instant, now: Instant, half_life: Duration) -> f64 {
    let age = now.saturating_duration_since(at);
    0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}
