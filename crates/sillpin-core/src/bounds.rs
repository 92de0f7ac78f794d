//! Bounds of durations, counts, rates and shares that another process or an operator states.
//!
//! Decoders apply them, so that later arithmetic cannot overflow: a bounded duration can be multiplied by any `u32` and added to the
//! present time. A number that is negative or no number counts as zero, one beyond the range as the largest.

use std::time::Duration;

/// Longest duration that is accepted: a year.
pub const MAX_DURATION: Duration = Duration::from_secs(366 * 86_400);

/// Largest count of requests, connections, attempts or readers that is accepted.
pub const MAX_COUNT: u32 = 1 << 20;

/// Largest rate that is accepted, in any unit.
pub const MAX_RATE: f64 = 1e12;

/// Milliseconds in a second.
const MS_PER_S: f64 = 1000.0;

fn between_zero_and(number: f64, max: f64) -> f64 {
    // `max` returns the other number for NaN, and `clamp` does not.
    let number = number.max(0.0);
    number.min(max)
}

/// Returns a duration stated in seconds.
pub fn seconds(s: f64) -> Duration {
    let s = between_zero_and(s, MAX_DURATION.as_secs_f64());
    Duration::try_from_secs_f64(s).unwrap_or(MAX_DURATION)
}

/// Returns a duration stated in milliseconds.
pub fn millis(ms: f64) -> Duration {
    seconds(ms / MS_PER_S)
}

/// Returns a duration stated in whole milliseconds.
pub fn whole_millis(ms: u64) -> Duration {
    Duration::from_millis(ms).min(MAX_DURATION)
}

/// Returns a duration stated in milliseconds, or `None` if it is beyond the range.
pub fn millis_in_range(ms: f64) -> Option<Duration> {
    let is_in_range = ms <= MAX_DURATION.as_secs_f64() * MS_PER_S;
    is_in_range.then(|| millis(ms))
}

/// Returns a stated count.
pub fn count(number: u32) -> u32 {
    number.min(MAX_COUNT)
}

/// Returns a stated rate.
pub fn rate(rate: f64) -> f64 {
    between_zero_and(rate, MAX_RATE)
}

/// Returns a stated share of a whole.
pub fn share(share: f64) -> f64 {
    between_zero_and(share, 1.0)
}

/// Functions for the attribute `deserialize_with` of fields that keep the type of the message.
pub mod de {
    use serde::{Deserialize, Deserializer};

    fn bounded_ms(ms: u64) -> u64 {
        let max = super::MAX_DURATION.as_millis();
        ms.min(u64::try_from(max).unwrap_or(u64::MAX))
    }

    /// Decodes whole milliseconds.
    pub fn millis<'de, D: Deserializer<'de>>(from: D) -> Result<u64, D::Error> {
        u64::deserialize(from).map(bounded_ms)
    }

    /// Decodes whole milliseconds that may be absent.
    pub fn optional_millis<'de, D: Deserializer<'de>>(from: D) -> Result<Option<u64>, D::Error> {
        let ms = Option::<u64>::deserialize(from)?;
        Ok(ms.map(bounded_ms))
    }

    /// Decodes a list of whole milliseconds.
    pub fn all_millis<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<u64>, D::Error> {
        let all = Vec::<u64>::deserialize(from)?;
        Ok(all.into_iter().map(bounded_ms).collect())
    }

    /// Decodes a count.
    pub fn count<'de, D: Deserializer<'de>>(from: D) -> Result<u32, D::Error> {
        u32::deserialize(from).map(super::count)
    }

    /// Decodes a share of a whole.
    pub fn share<'de, D: Deserializer<'de>>(from: D) -> Result<f64, D::Error> {
        f64::deserialize(from).map(super::share)
    }
}
