//! How often a box may send a long prompt to a stream engine.
//!
//! Reports of other boxes' work are older than a prefill takes, so boxes can't see whether another one has just sent a
//! prompt to the same engine. Each box of the zone therefore takes an equal part of the time that long prompts may
//! take, at random moments.

use std::time::Duration;
use tokio::time::Instant;

/// Share of the time of stream engines that long prompts may take.
const MAX_LONG_SHARE: f64 = 0.2;

/// A box that has sent none for this many intervals waits for a random part of one before it sends the next, so that
/// boxes whose other engines become busy at the same moment don't all send one then.
const IDLE_INTERVALS: f64 = 2.0;

/// Returns the mean time between two long prompts that one box of a zone sends to the zone's stream engines.
pub fn interval(prefill_ms: f64, stream_engines: usize, zone_boxes: usize) -> Duration {
    let engines_per_box = stream_engines.max(1) as f64 / zone_boxes.max(1) as f64;
    Duration::from_secs_f64(prefill_ms.max(0.0) / 1000.0 / MAX_LONG_SHARE / engines_per_box)
}

/// Long prompts that this box sent to stream engines of a pool.
#[derive(Debug, Default)]
pub struct LongPrompts {
    /// When it may send the next.
    next: Option<Instant>,
    /// Mean time between two of them, according to the last decision.
    interval: Duration,
}

impl LongPrompts {
    /// Returns whether the box may send one now. `draw` is a random number from 0 to 1.
    pub fn may_send(&mut self, interval: Duration, draw: f64, now: Instant) -> bool {
        self.interval = interval;
        let idle_since = now.checked_sub(interval.mul_f64(IDLE_INTERVALS));
        let is_idle = self.next.is_none_or(|next| Some(next) < idle_since);
        if is_idle {
            self.next = Some(now + interval.mul_f64(draw));
        }
        self.next.is_some_and(|next| next <= now)
    }

    /// Records that the box sends one.
    pub fn record_sent(&mut self, draw: f64, now: Instant) {
        self.next = Some(now + self.interval.mul_f64(0.5 + draw));
    }
}
