//! Targets that announced in a response that they are shutting down.
//!
//! An incarnation that is shutting down does not come back. Its entry doesn't override that: while
//! the platform store is unreachable the entry still lists the target as ready, and entries may be
//! read long after they were written. A box that gets no response of the target itself would go on
//! sending to it, so boxes tell each other.

use crate::placement::work::IncarnationHash;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// Time after which an unlisted incarnation is removed. Entries expire while the store is
/// unreachable, and are written again within seconds after it recovers.
const UNLISTED_RETENTION: Duration = Duration::from_secs(60);

/// Time after the last announcement for which other boxes are told. Longer than boxes are usually
/// cut off; a target without an incarnation that restarts must not be taken for the former one.
pub const TELL_TIME: Duration = Duration::from_secs(30);

/// Maximum number of incarnations in a message. Each takes 8 bytes, so a message has a kilobyte.
const MAX_PER_MESSAGE: usize = 128;

/// Maximum number of incarnations, more than a fleet has targets. Beyond it the ones listed least
/// recently are removed.
const MAX_ENTRIES: usize = 2_048;

/// A target that is shutting down, in a message between boxes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingUpdate {
    /// Incarnation of the target.
    pub target: IncarnationHash,
    /// Time since it announced that, in milliseconds.
    pub age_ms: u32,
}

/// What is known of a target that is shutting down.
#[derive(Debug, Clone, Copy)]
struct LeavingTarget {
    /// When it was last listed, or announced its shutdown.
    last_seen: Instant,
    /// When it last announced its shutdown to any box.
    announced_at: Instant,
}

/// Incarnations of targets that are shutting down.
#[derive(Debug, Default)]
pub struct LeavingTargets {
    known: BTreeMap<IncarnationHash, LeavingTarget>,
}

impl LeavingTargets {
    /// Records that a target announced to this box that it is shutting down; returns whether that
    /// was unknown.
    pub fn record(&mut self, target: IncarnationHash, now: Instant) -> bool {
        self.store(target, now, now)
    }

    /// Applies an update from another box; returns the targets of which it was unknown.
    pub fn apply_update(
        &mut self,
        updates: &[LeavingUpdate],
        now: Instant,
    ) -> Vec<IncarnationHash> {
        let mut new = Vec::new();
        for update in updates {
            let age = Duration::from_millis(u64::from(update.age_ms));
            // An announcement from before the start of this machine's clock is of no use.
            let announced_at = now.checked_sub(age).filter(|_| age < TELL_TIME);
            let Some(announced_at) = announced_at else {
                continue;
            };
            if self.store(update.target, announced_at, now) {
                new.push(update.target);
            }
        }
        new
    }

    fn store(&mut self, target: IncarnationHash, announced_at: Instant, now: Instant) -> bool {
        let is_new = !self.known.contains_key(&target);
        let known = self.known.entry(target).or_insert(LeavingTarget {
            last_seen: now,
            announced_at,
        });
        known.announced_at = known.announced_at.max(announced_at);
        known.last_seen = known.last_seen.max(announced_at);
        is_new
    }

    /// Returns the targets that announced it within `period`, the latest first, to tell other boxes.
    pub fn updates_to_send(&self, period: Duration, now: Instant) -> Vec<LeavingUpdate> {
        let age = |known: &LeavingTarget| now.saturating_duration_since(known.announced_at);
        let mut recent: Vec<(Duration, IncarnationHash)> = self
            .known
            .iter()
            .map(|(target, known)| (age(known), *target))
            .filter(|(age, _)| *age < period)
            .collect();
        recent.sort_unstable();
        recent.truncate(MAX_PER_MESSAGE);
        let update = |(age, target): (Duration, IncarnationHash)| LeavingUpdate {
            target,
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        };
        recent.into_iter().map(update).collect()
    }

    /// Returns whether a target is shutting down.
    pub fn contains(&self, target: IncarnationHash) -> bool {
        self.known.contains_key(&target)
    }

    /// Returns all incarnations that are shutting down.
    pub fn all(&self) -> impl Iterator<Item = IncarnationHash> + '_ {
        self.known.keys().copied()
    }

    /// Returns the number of incarnations that are shutting down.
    pub fn count(&self) -> usize {
        self.known.len()
    }

    /// Ages all announcements by the time for which the box was suspended.
    pub fn age(&mut self, time: Duration) {
        for known in self.known.values_mut() {
            known.announced_at = known
                .announced_at
                .checked_sub(time)
                .unwrap_or(known.announced_at);
        }
    }

    /// Removes incarnations that have been unlisted for a while.
    pub fn retain_listed(&mut self, is_listed: impl Fn(IncarnationHash) -> bool, now: Instant) {
        self.known.retain(|target, known| {
            if is_listed(*target) {
                known.last_seen = now;
            }
            now.saturating_duration_since(known.last_seen) < UNLISTED_RETENTION
        });
        while self.known.len() > MAX_ENTRIES {
            let oldest = self.known.iter().min_by_key(|(_, known)| known.last_seen);
            let Some(oldest) = oldest.map(|(target, _)| *target) else {
                return;
            };
            self.known.remove(&oldest);
        }
    }
}
