//! Targets that said in an answer that they leave.
//!
//! A life that leaves does not come back. What its entry says is no better word: while the platform's store is away it goes on saying that the target takes
//! requests, and what was written before may be read after.

use crate::place::work::LifeHash;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// A life that is not listed any more is forgotten after this. Entries lapse while the store is away, and are back seconds after its return.
const UNLISTED_MEMORY: Duration = Duration::from_secs(60);

/// Lives that are remembered, more than a fleet has targets. Beyond that those go that were listed the longest time ago.
const MAX_LIVES: usize = 2_048;

/// Lives of targets that leave.
#[derive(Debug, Default)]
pub struct Leaving {
    /// When each was last listed, or said so.
    known: BTreeMap<LifeHash, Instant>,
}

impl Leaving {
    /// A target says that it leaves; whether that is news.
    pub fn apply_update(&mut self, target: LifeHash, now: Instant) -> bool {
        self.known.insert(target, now).is_none()
    }

    /// Whether a target leaves.
    pub fn has(&self, target: LifeHash) -> bool {
        self.known.contains_key(&target)
    }

    /// All that leave.
    pub fn all(&self) -> impl Iterator<Item = LifeHash> + '_ {
        self.known.keys().copied()
    }

    /// How many leave.
    pub fn count(&self) -> usize {
        self.known.len()
    }

    /// Forgets lives that are gone.
    pub fn follow(&mut self, is_listed: impl Fn(LifeHash) -> bool, now: Instant) {
        self.known.retain(|target, seen| {
            if is_listed(*target) {
                *seen = now;
            }
            now.saturating_duration_since(*seen) < UNLISTED_MEMORY
        });
        while self.known.len() > MAX_LIVES {
            let oldest = self.known.iter().min_by_key(|(_, seen)| **seen);
            let Some(oldest) = oldest.map(|(target, _)| *target) else {
                return;
            };
            self.known.remove(&oldest);
        }
    }
}
