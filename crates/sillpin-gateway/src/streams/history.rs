//! Versions of software that a pool's targets have had, and when this box saw them listed.

use super::version::VersionHash;
use crate::control::{SoftwareVersion, TargetEntry};
use crate::fleet_state::SyncState;
use sillpin_core::PoolId;
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;

/// Largest age of a box's data at which it may conclude that a pool has no other version. Without a disturbance boxes
/// read the store, or hear from one that does, at least every two seconds.
const MAX_AGE: Duration = Duration::from_millis(2_200);

/// Time for which a version that appears gets no new streams that may be resumed: longer than [`MAX_AGE`], so that a box
/// which does not know the version yet concludes nothing.
pub const HOLD_TIME: Duration = Duration::from_millis(2_600);

/// Time for which versions without targets are remembered: longer than any caller waits for a stream.
const REMEMBERED_FOR: Duration = Duration::from_secs(600);

/// Largest number of versions that are remembered for a pool; the earliest ones to lose their targets give way.
const MAX_REMEMBERED: usize = 64;

/// A version of a pool's software.
#[derive(Debug, Clone)]
pub struct VersionSpan {
    /// The version; `None` for targets that name none.
    pub software: Option<SoftwareVersion>,
    /// Its short id.
    pub hash: VersionHash,
    /// Number of listed targets that have it, leaving ones included.
    pub targets: usize,
    since: Instant,
    /// When its last target disappeared.
    until: Option<Instant>,
}

impl VersionSpan {
    /// Returns whether targets had the version in the last `window`.
    fn is_recent(&self, window: Duration, now: Instant) -> bool {
        let is_recent = |until: Instant| now.saturating_duration_since(until) < window;
        self.until.is_none_or(is_recent)
    }
}

/// The only version that a box has seen of a pool.
#[derive(Debug, Clone, Copy)]
pub struct SoleVersion<'a> {
    /// The version.
    pub span: &'a VersionSpan,
    /// Since when the box has been in contact with the store without a gap.
    pub contact: Instant,
    /// Whether that is so long that the version began all of the pool's streams.
    pub is_certain: bool,
}

/// Versions of all pools.
#[derive(Debug, Clone, Default)]
pub struct PoolVersions {
    pools: HashMap<PoolId, Vec<VersionSpan>>,
}

impl PoolVersions {
    /// Replaces a target's entry, `before` if it was listed. Returns whether the versions of a pool have changed, or the
    /// number of targets of a pool with several.
    pub fn replace(
        &mut self,
        before: Option<&TargetEntry>,
        entry: Option<&TargetEntry>,
        now: Instant,
    ) -> bool {
        let version = |target: &TargetEntry| VersionHash::of(target);
        if before.map(version) == entry.map(version) {
            return false;
        }
        let added = entry.is_some_and(|entry| self.add(entry, now));
        let removed = before.is_some_and(|before| self.remove(before, now));
        added || removed
    }

    fn add(&mut self, target: &TargetEntry, now: Instant) -> bool {
        let spans = self.pools.entry(target.pool.clone()).or_default();
        let hash = VersionHash::of(target);
        if let Some(span) = spans.iter_mut().find(|span| span.hash == hash) {
            span.targets += 1;
            let returns = span.until.take().is_some();
            if returns {
                // Boxes that do not know of its return yet may conclude that the pool has another version alone.
                span.since = now;
            }
            return returns || spans.len() > 1;
        }
        spans.push(VersionSpan {
            software: target.software.clone(),
            hash,
            targets: 1,
            since: now,
            until: None,
        });
        forget(spans, now);
        true
    }

    fn remove(&mut self, target: &TargetEntry, now: Instant) -> bool {
        let Some(spans) = self.pools.get_mut(&target.pool) else {
            return false;
        };
        let hash = VersionHash::of(target);
        let Some(span) = spans.iter_mut().find(|span| span.hash == hash) else {
            return false;
        };
        span.targets = span.targets.saturating_sub(1);
        let ends = span.targets == 0;
        if ends {
            span.until = Some(now);
        }
        ends || spans.len() > 1
    }

    fn spans(&self, pool: &PoolId) -> &[VersionSpan] {
        self.pools.get(pool).map_or(&[], Vec::as_slice)
    }

    /// Returns a version by its short id, also if it has no targets left.
    pub fn find(&self, pool: &PoolId, hash: VersionHash) -> Option<&VersionSpan> {
        self.spans(pool).iter().find(|span| span.hash == hash)
    }

    /// Returns whether a pool's targets have more than one version.
    pub fn is_mixed(&self, pool: &PoolId) -> bool {
        let spans = self.spans(pool);
        spans.len() > 1 && spans.iter().filter(|span| span.targets > 0).count() > 1
    }

    /// Returns the only version that a pool has had in the last `window` while this box was in contact with the store, and
    /// since when it has been. `None` if there were others, or may be by now; `sync` is the state of its data on targets.
    pub fn sole(
        &self,
        pool: &PoolId,
        window: Duration,
        sync: &SyncState,
        now: Instant,
    ) -> Option<SoleVersion<'_>> {
        let age = now.saturating_duration_since(sync.confirmed?);
        let contact = sync.in_contact(now).filter(|_| age <= MAX_AGE)?;
        let spans = self.spans(pool).iter();
        let mut recent = spans.filter(|span| span.is_recent(window, now));
        let span = recent.next()?;
        recent.next().is_none().then_some(SoleVersion {
            span,
            contact,
            is_certain: now.saturating_duration_since(contact) >= window,
        })
    }

    /// Returns the versions that a pool has or had in the last `window`.
    pub fn recent(
        &self,
        pool: &PoolId,
        window: Duration,
        now: Instant,
    ) -> impl Iterator<Item = &Option<SoftwareVersion>> {
        let spans = self.spans(pool).iter();
        let recent = spans.filter(move |span| span.is_recent(window, now));
        recent.map(|span| &span.software)
    }

    /// Returns whether streams that a version began in the last `window` may exist, as far as this box can tell.
    pub fn may_have_streams(
        &self,
        pool: &PoolId,
        software: Option<&SoftwareVersion>,
        window: Duration,
        sync: &SyncState,
        now: Instant,
    ) -> bool {
        let hash = VersionHash::new(pool, software);
        if let Some(span) = self.find(pool, hash) {
            return span.is_recent(window, now);
        }
        let has_seen_all = |since: Instant| now.saturating_duration_since(since) >= window;
        !sync.in_contact(now).is_some_and(has_seen_all)
    }

    /// Returns the versions of a pool that get no new streams yet. The one with the most targets is never among them if
    /// all have just appeared, as for a box that has just started.
    pub fn held(&self, pool: &PoolId, now: Instant) -> Vec<Option<SoftwareVersion>> {
        if !self.is_mixed(pool) {
            return Vec::new();
        }
        let live = self.spans(pool).iter().filter(|span| span.targets > 0);
        let (held, usable): (Vec<&VersionSpan>, Vec<&VersionSpan>) =
            live.partition(|span| now.saturating_duration_since(span.since) < HOLD_TIME);
        let most = match usable.is_empty() {
            true => held.iter().max_by_key(|span| (span.targets, span.hash)),
            false => None,
        };
        let most = most.map(|span| span.hash);
        let held = held.iter().filter(|span| Some(span.hash) != most);
        held.map(|span| span.software.clone()).collect()
    }
}

/// Drops versions that lost their last target long ago.
fn forget(spans: &mut Vec<VersionSpan>, now: Instant) {
    spans.retain(|span| {
        span.until
            .is_none_or(|until| now.saturating_duration_since(until) < REMEMBERED_FOR)
    });
    while spans.len() > MAX_REMEMBERED {
        let ended = spans
            .iter()
            .enumerate()
            .filter(|(_, span)| span.until.is_some());
        let Some((earliest, _)) = ended.min_by_key(|(_, span)| span.until) else {
            return;
        };
        spans.remove(earliest);
    }
}
