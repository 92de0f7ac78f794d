//! Limits how many other boxes a box asks while it knows none that reaches a pool.
//!
//! One box in many may reach the pool's targets, and is found only by asking most of them. If all targets of a pool end,
//! each box of the fleet asks all others in vain. The budget allows one search through a zone or a fleet, and a few offers
//! a second after it, whatever the size of the fleet and the number of requests.

use sillpin_core::PoolId;
use std::collections::HashMap;
use tokio::time::Instant;

/// Offers that may be saved up: a search through the 59 boxes of the largest fleet in which one box alone has to be found.
/// In larger fleets, other boxes name those that they found.
const MAX_SAVED: f64 = 64.0;

/// Offers earned each second.
const EARNED: f64 = 16.0;

#[derive(Debug)]
struct Balance {
    offers: f64,
    updated: Instant,
}

/// Offers that this box may make to boxes that are not known to reach a pool, by pool.
#[derive(Debug, Default)]
pub struct SearchBudget {
    balances: HashMap<PoolId, Balance>,
}

impl SearchBudget {
    /// Takes an offer from the budget of a pool; returns whether there was one.
    pub fn take(&mut self, pool: &PoolId, now: Instant) -> bool {
        let balance = self
            .balances
            .entry(pool.clone())
            .or_insert_with(|| Balance {
                offers: MAX_SAVED,
                updated: now,
            });
        let earned = now.saturating_duration_since(balance.updated).as_secs_f64() * EARNED;
        balance.offers = (balance.offers + earned).min(MAX_SAVED);
        balance.updated = now;
        let is_left = balance.offers >= 1.0;
        if is_left {
            balance.offers -= 1.0;
        }
        is_left
    }
}
