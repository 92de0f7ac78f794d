//! Times for which this box may send no requests to a target, from the retry-after headers of
//! refusals.
//!
//! Each time starts at its own refusal, so if there are several, the one that ends last applies. It
//! applies to this box only: a target sends one to each box.

use crate::dialect::RetryAfter;
use crate::placement::work::IncarnationHash;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// Used if the header can't be parsed: the target is overloaded, and its next response has the
/// time.
const UNREADABLE_BACKOFF: Duration = Duration::from_secs(1);

/// Upper bound: no process runs for longer, and clock arithmetic would overflow.
const MAX_BACKOFF: Duration = Duration::from_secs(30 * 24 * 3_600);

/// Maximum number of entries, more than a fleet has targets. Beyond it the ones that end first are
/// removed.
const MAX_ENTRIES: usize = 2_048;

/// End of the backoff of each target.
#[derive(Debug, Default)]
pub struct Backoffs {
    until: BTreeMap<IncarnationHash, Instant>,
}

impl Backoffs {
    /// Records the backoff of a refusal. Returns its length, or `None` if an earlier one lasts as
    /// long.
    pub fn record(
        &mut self,
        target: IncarnationHash,
        retry_after: RetryAfter,
        now: Instant,
    ) -> Option<Duration> {
        let wait = match retry_after {
            RetryAfter::Wait(wait) => wait.min(MAX_BACKOFF),
            RetryAfter::Unreadable => UNREADABLE_BACKOFF,
        };
        let end = now + wait;
        let known = self.until.get(&target).copied().unwrap_or(now);
        if end <= known {
            return None;
        }
        self.until.insert(target, end);
        Some(wait)
    }

    /// Returns the remaining backoff of a target.
    pub fn remaining(&self, target: IncarnationHash, now: Instant) -> Option<Duration> {
        let until = self.until.get(&target)?;
        let remaining = until.saturating_duration_since(now);
        Some(remaining).filter(|remaining| !remaining.is_zero())
    }

    /// Returns all targets with a backoff.
    pub fn all(&self, now: Instant) -> impl Iterator<Item = IncarnationHash> + '_ {
        let running = self.until.iter().filter(move |(_, until)| now < **until);
        running.map(|(target, _)| *target)
    }

    /// Shortens all backoffs by the time for which the box was suspended.
    pub fn age(&mut self, time: Duration) {
        for until in self.until.values_mut() {
            *until = until.checked_sub(time).unwrap_or(*until);
        }
    }

    /// Removes backoffs that have ended.
    pub fn retain_listed(&mut self, now: Instant) {
        self.until.retain(|_, until| now < *until);
        while self.until.len() > MAX_ENTRIES {
            let first = self.until.iter().min_by_key(|(_, until)| **until);
            let Some(first) = first.map(|(target, _)| *target) else {
                return;
            };
            self.until.remove(&first);
        }
    }
}
