//! Which blocks are worth holding in a store.
//!
//! What a block is worth is the chance that its prompt returns, times the time to compute it, per
//! byte. The chance is learnt: [`ReturnGaps`] counts, in buckets of doubling length, how often
//! prompts that had been away that long came back, and how often they were seen to stay away.

use crate::set::{KeepingKind, KeepingPolicy};
use std::time::Duration;

/// Buckets of gaps: the first holds gaps up to a second, each next one twice as long.
const GAP_BUCKETS: usize = 24;

/// Returns and absences counted before the learnt chance is trusted.
const MIN_COUNT: u32 = 20;

/// Chance of a return while too little is known.
const PRIOR_CHANCE: f64 = 0.5;

/// What is learnt of the gaps after which prompts return.
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
    /// A prompt was seen for the first time.
    pub fn saw_first(&mut self) {
        self.first_seen += 1;
        self.age();
    }

    /// A prompt came back after `gap`.
    pub fn saw_return(&mut self, gap: Duration) {
        self.returned[bucket(gap)] += 1;
        self.age();
    }

    /// Halves old counts, so that what is learnt follows the traffic.
    fn age(&mut self) {
        const MOST: u32 = 1 << 16;
        if self.first_seen < MOST && self.returned.iter().all(|n| *n < MOST) {
            return;
        }
        self.first_seen /= 2;
        for count in &mut self.returned {
            *count /= 2;
        }
    }

    /// Chance that a prompt that has been away for `gap` still returns.
    pub fn chance_of_return(&self, gap: Duration) -> f64 {
        let returned: u32 = self.returned.iter().sum();
        let seen = returned + self.first_seen;
        if seen < MIN_COUNT {
            return PRIOR_CHANCE;
        }
        let later: u32 = self.returned[bucket(gap)..].iter().sum();
        let earlier = returned - later;
        f64::from(later) / f64::from((seen - earlier).max(1))
    }
}

/// A prompt that could be kept.
#[derive(Debug, Clone, Copy)]
pub struct KeepCandidate {
    /// Whole blocks of the prompt.
    pub blocks: u32,
    /// Time since it was last used.
    pub away: Duration,
}

/// Whether a prompt's blocks are written to a store.
pub fn should_keep(policy: &KeepingPolicy, gaps: &ReturnGaps, prompt: KeepCandidate) -> bool {
    match policy.kind {
        KeepingKind::Nothing => false,
        KeepingKind::Everything => true,
        KeepingKind::Learnt => {
            prompt.blocks >= u32::from(policy.min_blocks)
                && gaps.chance_of_return(prompt.away) >= policy.min_return_chance.fraction()
        }
    }
}

/// What holding a prompt's block is worth; the lowest is freed first. Blocks are of one size, and a
/// block costs the same to compute wherever it stands, so the chance of a return decides.
pub fn worth(gaps: &ReturnGaps, away: Duration) -> f64 {
    let recency = 1.0 / (1.0 + away.as_secs_f64());
    gaps.chance_of_return(away) + recency * f64::EPSILON.sqrt()
}
