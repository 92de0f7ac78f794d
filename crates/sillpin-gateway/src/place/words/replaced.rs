//! Targets whose address belongs to another by now.
//!
//! A target that ends leaves its address to another, and its entry stays listed for a few heartbeats.
//! Whoever answers at the address says that it is not the target that was meant, and until the target starts again, which its entry then tells, that
//! is final. Each box that finds it out by itself spends a second sending on it, so boxes tell each other.

use crate::place::work::LifeHash;
use std::collections::{HashMap, HashSet};
use std::time::Duration;
use tokio::time::Instant;

/// How long a replaced target is remembered: its entry goes three heartbeats after its last write, and boxes read the
/// entries every one to two seconds.
const MEMORY: Duration = Duration::from_secs(6);

/// How long this box tells others of one that it found: several rounds of news.
const TELL: Duration = Duration::from_secs(2);

/// Targets that are known to be replaced.
#[derive(Debug, Default)]
pub struct Replaced {
    until: HashMap<LifeHash, Instant>,
    observed: HashMap<LifeHash, Instant>,
}

impl Replaced {
    /// This box was told so by whoever has the address now.
    pub fn find(&mut self, target: LifeHash, now: Instant) {
        self.observed.insert(target, now);
        self.apply_update(&[target], now);
    }

    /// Another box was told so.
    pub fn apply_update(&mut self, targets: &[LifeHash], now: Instant) {
        self.until.retain(|_, until| now < *until);
        for target in targets {
            self.until.entry(*target).or_insert(now + MEMORY);
        }
    }

    /// What this box found of late, for the others.
    pub fn updates_to_send(&mut self, now: Instant) -> Vec<LifeHash> {
        self.observed.retain(|_, at| now - *at < TELL);
        self.observed.keys().copied().collect()
    }

    /// All that are known to be replaced.
    pub fn known(&self, now: Instant) -> HashSet<LifeHash> {
        let known = self.until.iter().filter(|(_, until)| now < **until);
        known.map(|(target, _)| *target).collect()
    }
}
