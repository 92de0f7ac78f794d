//! How many second sendings this box may make.
//!
//! The limit holds for all boxes together and is kept without a shared counter: a box spends a share
//! of its own requests, plus its part of the slack. A box that starts has no slack yet, since the life
//! before may have spent it; it earns the slack back over the window.
//!
//! In a fleet so large that a box's part of the slack is less than one second sending, boxes that all saved up a whole one
//! could make more together than is allowed. There a box stakes what it has on a draw: it wins a whole right with a chance
//! as great as its balance, and has nothing afterwards either way. All boxes together then make as many second sendings as
//! they have earned, give or take the luck of the draws, for which [`DRAWN_PART`] leaves room.

use crate::settings::RetryRules;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sillpin_core::PoolId;
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;

/// Part of what is allowed that is spent: requests that arrive in one window may be sent again in the
/// next, and boxes count their number with a lag.
const SPENT_PART: f64 = 0.8;

/// Part of the slack that is saved up where boxes draw. With a slack of 54, of 59 boxes that have all saved up their parts and then
/// fail one request each, 27 win on average, with a deviation of 4; 65 may.
const DRAWN_PART: f64 = 0.5;

/// A right that was won lapses if it is not taken for so long: it is taken within milliseconds, when a silent target is left.
const WON_TIME: Duration = Duration::from_millis(500);

#[derive(Debug)]
struct Bucket {
    tokens: f64,
    filled: Instant,
    /// When a whole right was won that has not been taken.
    won: Option<Instant>,
}

/// What a box may have of the slack.
#[derive(Debug)]
struct SlackPart {
    /// What may be saved up.
    saved: f64,
    /// What is earned within a window.
    earned: f64,
    /// Whether rights are drawn, since no whole one can be saved up.
    drawn: bool,
}

impl SlackPart {
    /// The part of one of `boxes` boxes. What is saved up and what is earned within a window are the part together.
    fn of(rules: &RetryRules, boxes: usize) -> Self {
        let slack = rules.slack / boxes.max(1) as f64;
        let part = slack * SPENT_PART;
        if part < 1.0 {
            return Self {
                saved: slack * DRAWN_PART,
                earned: 0.0,
                drawn: true,
            };
        }
        let saved = (part / 2.0).max(1.0);
        Self {
            saved,
            earned: part - saved,
            drawn: false,
        }
    }
}

/// Second sendings by pool; starts empty.
#[derive(Debug)]
pub struct RetryBudget {
    buckets: HashMap<PoolId, Bucket>,
    draws: StdRng,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::seeded(rand::random())
    }
}

impl RetryBudget {
    /// One whose draws follow from `seed`, which no two boxes may share.
    pub fn seeded(seed: u64) -> Self {
        Self {
            buckets: HashMap::new(),
            draws: StdRng::seed_from_u64(seed),
        }
    }

    /// Counts a request for `pool`, one of `boxes` boxes' requests.
    pub fn request(&mut self, pool: &PoolId, rules: &RetryRules, boxes: usize, now: Instant) {
        let earned = rules.share * SPENT_PART;
        let bucket = self.bucket(pool, rules, boxes, now);
        bucket.tokens += earned;
    }

    /// Takes the right to one second sending, if there is one.
    pub fn take(&mut self, pool: &PoolId, rules: &RetryRules, boxes: usize, now: Instant) -> bool {
        if !self.has(pool, rules, boxes, now) {
            return false;
        }
        let bucket = self.bucket(pool, rules, boxes, now);
        if bucket.won.take().is_none() {
            bucket.tokens -= 1.0;
        }
        true
    }

    /// Whether there is a right to a second sending; where rights are drawn, this draws. Asked just before one is wanted.
    pub fn has(&mut self, pool: &PoolId, rules: &RetryRules, boxes: usize, now: Instant) -> bool {
        let chance = self.draws.random::<f64>();
        let bucket = self.bucket(pool, rules, boxes, now);
        if bucket.tokens >= 1.0 || bucket.won.is_some() {
            return true;
        }
        if !SlackPart::of(rules, boxes).drawn {
            return false;
        }
        let stake = std::mem::take(&mut bucket.tokens);
        bucket.won = (chance < stake).then_some(now);
        bucket.won.is_some()
    }

    /// The bucket, with the slack earned since it was last looked at.
    fn bucket(
        &mut self,
        pool: &PoolId,
        rules: &RetryRules,
        boxes: usize,
        now: Instant,
    ) -> &mut Bucket {
        let part = SlackPart::of(rules, boxes);
        let window = rules.window.as_secs_f64().max(1.0);
        let empty = Bucket {
            tokens: 0.0,
            filled: now,
            won: None,
        };
        let bucket = self.buckets.entry(pool.clone()).or_insert(empty);
        let elapsed = (now - bucket.filled).as_secs_f64();
        bucket.filled = now;
        let earned = elapsed / window * part.earned;
        bucket.tokens = (bucket.tokens + earned).min(part.saved);
        bucket.won = bucket.won.filter(|at| now - *at < WON_TIME);
        bucket
    }
}
