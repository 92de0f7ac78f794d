//! How many second sendings this box may make.
//!
//! The limit holds for all boxes together and is kept without a shared counter: a box spends a share
//! of its own requests, plus its part of the slack. A box that starts has no slack yet, since the life
//! before may have spent it; it earns the slack back over the window.

use crate::settings::RetryRules;
use sillpin_core::PoolId;
use std::collections::HashMap;
use tokio::time::Instant;

/// Part of what is allowed that is spent: requests that arrive in one window may be sent again in the
/// next, and boxes count their number with a lag.
const SPENT_PART: f64 = 0.8;

#[derive(Debug)]
struct Bucket {
    tokens: f64,
    filled: Instant,
}

/// Second sendings by pool; starts empty.
#[derive(Debug, Default)]
pub struct RetryBudget {
    buckets: HashMap<PoolId, Bucket>,
}

impl RetryBudget {
    /// Counts a request for `pool`, one of `boxes` boxes' requests.
    pub fn request(&mut self, pool: &PoolId, rules: &RetryRules, boxes: usize, now: Instant) {
        let earned = rules.share * SPENT_PART;
        let bucket = self.bucket(pool, rules, boxes, now);
        bucket.tokens += earned;
    }

    /// Takes the right to one second sending, if there is one.
    pub fn take(&mut self, pool: &PoolId, rules: &RetryRules, boxes: usize, now: Instant) -> bool {
        let bucket = self.bucket(pool, rules, boxes, now);
        if bucket.tokens < 1.0 {
            return false;
        }
        bucket.tokens -= 1.0;
        true
    }

    /// Whether there is a right to a second sending.
    pub fn has(&mut self, pool: &PoolId, rules: &RetryRules, boxes: usize, now: Instant) -> bool {
        self.bucket(pool, rules, boxes, now).tokens >= 1.0
    }

    /// The bucket, with the slack earned since it was last looked at.
    fn bucket(
        &mut self,
        pool: &PoolId,
        rules: &RetryRules,
        boxes: usize,
        now: Instant,
    ) -> &mut Bucket {
        let slack = rules.slack * SPENT_PART / boxes.max(1) as f64;
        let window = rules.window.as_secs_f64().max(1.0);
        let empty = Bucket {
            tokens: 0.0,
            filled: now,
        };
        let bucket = self.buckets.entry(pool.clone()).or_insert(empty);
        let elapsed = (now - bucket.filled).as_secs_f64();
        bucket.filled = now;
        // Half of the slack may be saved up, half is earned within a window: together the slack.
        let earned = elapsed / window * slack / 2.0;
        bucket.tokens = (bucket.tokens + earned).min(slack / 2.0 + 1.0);
        bucket
    }
}
