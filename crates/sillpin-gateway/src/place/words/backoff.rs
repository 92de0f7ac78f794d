//! Times in which targets want no requests from this box, as they said when they turned one away.
//!
//! Each such time counts from its own refusal, so of several the one that ends last holds. It is this box's alone: a target tells each box by itself.

use crate::dialect::RetryAfter;
use crate::place::work::LifeHash;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// Taken for a time that cannot be read: the target wants to be spared, and its next answer tells for how long.
const UNREADABLE: Duration = Duration::from_secs(1);

/// Longer times are taken for this: no process runs so long, and clocks cannot count to any time.
const MAX: Duration = Duration::from_secs(30 * 24 * 3_600);

/// Lives that are remembered, more than a fleet has targets. Beyond that those go whose time ends first.
const MAX_LIVES: usize = 2_048;

/// Until when targets want no requests from this box.
#[derive(Debug, Default)]
pub struct Backoffs {
    until: BTreeMap<LifeHash, Instant>,
}

impl Backoffs {
    /// A target turned a request away and said for how long it wants no other; that time, unless an earlier word of it reaches as far.
    pub fn apply_update(
        &mut self,
        target: LifeHash,
        word: RetryAfter,
        now: Instant,
    ) -> Option<Duration> {
        let wait = match word {
            RetryAfter::Wait(wait) => wait.min(MAX),
            RetryAfter::Unreadable => UNREADABLE,
        };
        let end = now + wait;
        let known = self.until.get(&target).copied().unwrap_or(now);
        if end <= known {
            return None;
        }
        self.until.insert(target, end);
        Some(wait)
    }

    /// How much longer a target wants no requests from this box.
    pub fn left(&self, target: LifeHash, now: Instant) -> Option<Duration> {
        let until = self.until.get(&target)?;
        let left = until.saturating_duration_since(now);
        Some(left).filter(|left| !left.is_zero())
    }

    /// All that want no requests from this box now.
    pub fn all(&self, now: Instant) -> impl Iterator<Item = LifeHash> + '_ {
        let running = self.until.iter().filter(move |(_, until)| now < **until);
        running.map(|(target, _)| *target)
    }

    /// The box was suspended for so long: that much of each time is over.
    pub fn age(&mut self, time: Duration) {
        for until in self.until.values_mut() {
            *until = until.checked_sub(time).unwrap_or(*until);
        }
    }

    /// Forgets times that are over.
    pub fn follow(&mut self, now: Instant) {
        self.until.retain(|_, until| now < *until);
        while self.until.len() > MAX_LIVES {
            let first = self.until.iter().min_by_key(|(_, until)| **until);
            let Some(first) = first.map(|(target, _)| *target) else {
                return;
            };
            self.until.remove(&first);
        }
    }
}
