//! Limits the number of retries that this box makes.
//!
//! The limit applies to all boxes together but needs no shared counter: each box may spend a share of its own
//! requests plus its part of the slack. A box that starts has no slack yet, since its previous process may have spent
//! it; it earns the slack over the window.
//!
//! In a fleet so large that a box's part of the slack is less than one retry, boxes that had each saved up a whole
//! one could exceed the limit together. There the retry is granted at random, with a probability equal to the box's
//! balance, and the balance is zero afterwards in either case. All boxes together then make as many retries as they
//! have earned, apart from random deviations, for which `RANDOM_SAVED_FRACTION` leaves room.

use crate::settings::RetryRules;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sillpin_core::PoolId;
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;

/// Fraction of the limit that is spent: requests that arrive in one window may be retried in the next, and the known
/// number of boxes lags behind.
const SPENT_FRACTION: f64 = 0.8;

/// Fraction of the slack that may be saved up where retries are granted at random. With a slack of 54, if 59 boxes
/// have saved up their parts and then fail one request each, 27 retries are granted on average, with a standard
/// deviation of 4; 65 are allowed.
const RANDOM_SAVED_FRACTION: f64 = 0.5;

/// A granted retry expires after this time. It is normally taken within milliseconds, when an unresponsive target is
/// abandoned.
const GRANT_TTL: Duration = Duration::from_millis(500);

#[derive(Debug)]
struct Bucket {
    balance: f64,
    updated_at: Instant,
    /// When a retry was granted that has not been taken yet.
    granted_at: Option<Instant>,
}

/// A box's part of the slack, in retries.
#[derive(Debug)]
struct SlackShare {
    /// Maximum balance.
    max_balance: f64,
    /// Earned per window.
    earned: f64,
    /// Whether retries are granted at random, since the balance cannot reach a whole one.
    randomised: bool,
}

impl SlackShare {
    /// The part of one of `boxes` boxes. The maximum balance and the earnings per window add up to the part.
    fn of(rules: &RetryRules, boxes: usize) -> Self {
        let slack = rules.slack / boxes.max(1) as f64;
        let part = slack * SPENT_FRACTION;
        if part < 1.0 {
            return Self {
                max_balance: slack * RANDOM_SAVED_FRACTION,
                earned: 0.0,
                randomised: true,
            };
        }
        let max_balance = (part / 2.0).max(1.0);
        Self {
            max_balance,
            earned: part - max_balance,
            randomised: false,
        }
    }
}

/// Retry budget for each pool; starts empty.
#[derive(Debug)]
pub struct RetryBudget {
    buckets: HashMap<PoolId, Bucket>,
    rng: StdRng,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::seeded(rand::random())
    }
}

impl RetryBudget {
    /// Creates a budget with a random number generator seeded with `seed`, which no two boxes may share.
    pub fn seeded(seed: u64) -> Self {
        Self {
            buckets: HashMap::new(),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Counts a request for `pool` in a fleet of `boxes` boxes.
    pub fn record_request(
        &mut self,
        pool: &PoolId,
        rules: &RetryRules,
        boxes: usize,
        now: Instant,
    ) {
        let earned = rules.share * SPENT_FRACTION;
        let bucket = self.bucket(pool, rules, boxes, now);
        bucket.balance += earned;
    }

    /// Takes one retry from the budget; returns whether there was one.
    pub fn take(&mut self, pool: &PoolId, rules: &RetryRules, boxes: usize, now: Instant) -> bool {
        if !self.has_retry(pool, rules, boxes, now) {
            return false;
        }
        let bucket = self.bucket(pool, rules, boxes, now);
        if bucket.granted_at.take().is_none() {
            bucket.balance -= 1.0;
        }
        true
    }

    /// Whether there is a retry in the budget. Where retries are granted at random, this draws the random number, so
    /// call it just before a retry is to be made.
    pub fn has_retry(
        &mut self,
        pool: &PoolId,
        rules: &RetryRules,
        boxes: usize,
        now: Instant,
    ) -> bool {
        let random = self.rng.random::<f64>();
        let bucket = self.bucket(pool, rules, boxes, now);
        if bucket.balance >= 1.0 || bucket.granted_at.is_some() {
            return true;
        }
        if !SlackShare::of(rules, boxes).randomised {
            return false;
        }
        let probability = std::mem::take(&mut bucket.balance);
        bucket.granted_at = (random < probability).then_some(now);
        bucket.granted_at.is_some()
    }

    /// Returns the pool's bucket, with the slack earned since the last call added.
    fn bucket(
        &mut self,
        pool: &PoolId,
        rules: &RetryRules,
        boxes: usize,
        now: Instant,
    ) -> &mut Bucket {
        let part = SlackShare::of(rules, boxes);
        let window = rules.window.as_secs_f64().max(1.0);
        let empty = Bucket {
            balance: 0.0,
            updated_at: now,
            granted_at: None,
        };
        let bucket = self.buckets.entry(pool.clone()).or_insert(empty);
        let elapsed = (now - bucket.updated_at).as_secs_f64();
        bucket.updated_at = now;
        let earned = elapsed / window * part.earned;
        bucket.balance = (bucket.balance + earned).min(part.max_balance);
        bucket.granted_at = bucket.granted_at.filter(|at| now - *at < GRANT_TTL);
        bucket
    }
}
