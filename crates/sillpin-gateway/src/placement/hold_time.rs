//! Estimates how long requests hold an engine's memory.
//!
//! A request holds memory for its prompt from the first event until the end, and other prompts wait
//! for that memory. The time depends on the engine, on concurrent requests and on the number of
//! generated tokens, so it is estimated from completed requests.

use super::decay::weight_left;
use std::time::Duration;
use tokio::time::Instant;

/// Half-life of samples: a box completes a dozen or more requests in this time, and the estimate
/// still follows bursts.
const HALF_LIFE: Duration = Duration::from_secs(4);

/// Estimate before any request has ended, and its weight in tokens, which is about one long prompt.
const PRIOR: Duration = Duration::from_millis(300);
const PRIOR_TOKENS: f64 = 10_000.0;

/// Mean hold time of recently completed requests, weighted by memory.
#[derive(Debug, Clone, Copy)]
pub struct HoldTime {
    tokens: f64,
    token_ms: f64,
    at: Option<Instant>,
}

impl Default for HoldTime {
    fn default() -> Self {
        Self {
            tokens: 0.0,
            token_ms: 0.0,
            at: None,
        }
    }
}

impl HoldTime {
    /// Records that a request held `tokens` of memory for `hold_time`.
    pub fn record(&mut self, tokens: f64, hold_time: Duration, now: Instant) {
        let left = self.at.map_or(1.0, |at| weight_left(at, now, HALF_LIFE));
        self.tokens = self.tokens * left + tokens;
        self.token_ms = self.token_ms * left + tokens * millis(hold_time);
        self.at = Some(now);
    }

    /// Returns the mean time for which a token of memory is held, in milliseconds.
    pub fn ms(&self) -> f64 {
        let token_ms = self.token_ms + PRIOR_TOKENS * millis(PRIOR);
        token_ms / (self.tokens + PRIOR_TOKENS)
    }
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}
