//! Targets that announced in a response that they are shutting down.
//!
//! An incarnation that is shutting down does not come back. Its entry doesn't override that: while
//! the platform store is unreachable the entry still lists the target as ready, and entries may be
//! read long after they were written.

use crate::placement::work::IncarnationHash;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// Time after which an unlisted incarnation is removed. Entries expire while the store is
/// unreachable, and are written again within seconds after it recovers.
const UNLISTED_RETENTION: Duration = Duration::from_secs(60);

/// Maximum number of incarnations, more than a fleet has targets. Beyond it the ones listed least
/// recently are removed.
const MAX_ENTRIES: usize = 2_048;

/// Incarnations of targets that are shutting down.
#[derive(Debug, Default)]
pub struct LeavingTargets {
    /// When each incarnation was last listed, or announced its shutdown.
    last_seen: BTreeMap<IncarnationHash, Instant>,
}

impl LeavingTargets {
    /// Records that a target is shutting down; returns whether that was unknown.
    pub fn record(&mut self, target: IncarnationHash, now: Instant) -> bool {
        self.last_seen.insert(target, now).is_none()
    }

    /// Returns whether a target is shutting down.
    pub fn contains(&self, target: IncarnationHash) -> bool {
        self.last_seen.contains_key(&target)
    }

    /// Returns all incarnations that are shutting down.
    pub fn all(&self) -> impl Iterator<Item = IncarnationHash> + '_ {
        self.last_seen.keys().copied()
    }

    /// Returns the number of incarnations that are shutting down.
    pub fn count(&self) -> usize {
        self.last_seen.len()
    }

    /// Removes incarnations that have been unlisted for a while.
    pub fn retain_listed(&mut self, is_listed: impl Fn(IncarnationHash) -> bool, now: Instant) {
        self.last_seen.retain(|target, seen| {
            if is_listed(*target) {
                *seen = now;
            }
            now.saturating_duration_since(*seen) < UNLISTED_RETENTION
        });
        while self.last_seen.len() > MAX_ENTRIES {
            let oldest = self.last_seen.iter().min_by_key(|(_, seen)| **seen);
            let Some(oldest) = oldest.map(|(target, _)| *target) else {
                return;
            };
            self.last_seen.remove(&oldest);
        }
    }
}
