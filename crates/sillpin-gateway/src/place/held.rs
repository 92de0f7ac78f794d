//! How long requests hold an engine's memory.
//!
//! From the first event to the end a request holds memory for its prompt, and other prompts wait for that. How long it takes
//! follows from the engines, from what runs beside it and from how much it generates, so it is observed.

use std::time::Duration;
use tokio::time::Instant;

/// Samples count half after this long: a dozen or more requests of a box end within it, and a burst shows in it.
const HALF_LIFE: Duration = Duration::from_secs(4);

/// What is taken for granted before requests have ended, and how many tokens' worth of samples that counts for: about one
/// long prompt.
const PRIOR: Duration = Duration::from_millis(300);
const PRIOR_TOKENS: f64 = 10_000.0;

/// A mean over the requests that ended of late, each as heavy as the memory that it held.
#[derive(Debug, Clone, Copy)]
pub struct HeldTime {
    tokens: f64,
    token_ms: f64,
    at: Option<Instant>,
}

impl Default for HeldTime {
    fn default() -> Self {
        Self {
            tokens: 0.0,
            token_ms: 0.0,
            at: None,
        }
    }
}

impl HeldTime {
    /// A request held so many tokens for so long.
    pub fn note(&mut self, tokens: f64, held: Duration, now: Instant) {
        let age = self.at.map_or(Duration::ZERO, |at| now - at);
        let left = 0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64());
        self.tokens = self.tokens * left + tokens;
        self.token_ms = self.token_ms * left + tokens * millis(held);
        self.at = Some(now);
    }

    /// How long a token of memory is held, in milliseconds.
    pub fn ms(&self) -> f64 {
        let token_ms = self.token_ms + PRIOR_TOKENS * millis(PRIOR);
        token_ms / (self.tokens + PRIOR_TOKENS)
    }
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}
