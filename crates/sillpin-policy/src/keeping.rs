//! Decides which blocks are worth storing.
//!
//! The value of a block is the probability that its prompt returns, times the time to compute the
//! block, per byte. The probability is estimated from traffic: [`ReturnGaps`] is a histogram, with
//! buckets of doubling length, of the idle times after which prompts returned, and also counts the
//! prompts that were seen once.

use crate::set::{KeepingKind, KeepingPolicy};
use std::time::Duration;

/// Buckets of the histogram: the first holds gaps below one second, each next one is twice as long.
const GAP_BUCKETS: usize = 24;

/// Number of observed prompts from which the estimate is used instead of [`PRIOR_CHANCE`].
const MIN_OBSERVATIONS: u32 = 20;

/// Probability of a return while there are too few observations.
const PRIOR_CHANCE: f64 = 0.5;

/// Histogram of the idle times after which prompts returned.
#[derive(Debug, Clone, Default)]
pub struct ReturnGaps {
    returned: [u32; GAP_BUCKETS],
    first_seen: u32,
}

fn bucket(gap: Duration) -> usize {
    let secs = gap.as_secs();
    let bucket = (u64::BITS - secs.leading_zeros()) as usize;
    bucket.min(GAP_BUCKETS - 1)
}

impl ReturnGaps {
    /// Records the first use of a prompt.
    pub fn record_first_use(&mut self) {
        self.first_seen += 1;
        self.age();
    }

    /// Records that a prompt returned after `gap`.
    pub fn record_return(&mut self, gap: Duration) {
        self.returned[bucket(gap)] += 1;
        self.age();
    }

    /// Halves all counts when one gets large, so that the estimate follows changes of the traffic.
    fn age(&mut self) {
        const MAX_COUNT: u32 = 1 << 16;
        if self.first_seen < MAX_COUNT && self.returned.iter().all(|n| *n < MAX_COUNT) {
            return;
        }
        self.first_seen /= 2;
        for count in &mut self.returned {
            *count /= 2;
        }
    }

    /// Returns the probability that a prompt that has been idle for `gap` still returns.
    pub fn chance_of_return(&self, gap: Duration) -> f64 {
        let returned: u32 = self.returned.iter().sum();
        let seen = returned + self.first_seen;
        if seen < MIN_OBSERVATIONS {
            return PRIOR_CHANCE;
        }
        let returned_later: u32 = self.returned[bucket(gap)..].iter().sum();
        let returned_earlier = returned - returned_later;
        f64::from(returned_later) / f64::from((seen - returned_earlier).max(1))
    }
}

/// A prompt whose blocks could be stored.
#[derive(Debug, Clone, Copy)]
pub struct StoreCandidate {
    /// Number of complete blocks of the prompt.
    pub blocks: u32,
    /// Time since the prompt was last used.
    pub idle: Duration,
}

/// Returns whether a prompt's blocks are to be written to a store.
pub fn should_store(policy: &KeepingPolicy, gaps: &ReturnGaps, prompt: StoreCandidate) -> bool {
    match policy.kind {
        KeepingKind::Nothing => false,
        KeepingKind::Everything => true,
        KeepingKind::Learnt => {
            prompt.blocks >= u32::from(policy.min_blocks)
                && gaps.chance_of_return(prompt.idle) >= policy.min_return_chance.fraction()
        }
    }
}

/// Returns the value of storing a block of a prompt that has been idle for `idle`; the block with
/// the lowest value is evicted first. All blocks have the same size and the same cost of
/// computation, so only the probability of a return matters; ties go to the prompt used last.
pub fn retention_value(gaps: &ReturnGaps, idle: Duration) -> f64 {
    let recency = 1.0 / (1.0 + idle.as_secs_f64());
    gaps.chance_of_return(idle) + recency * f64::EPSILON.sqrt()
}
