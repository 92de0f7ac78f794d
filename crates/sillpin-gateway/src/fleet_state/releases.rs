//! Releases that operators have ordered, and what this box knows of their phase.
//!
//! A release belongs to the revision at which it was ordered: an order that is written again starts another one. Until
//! a release has succeeded, the targets with the new version are left out of the index that requests are served from.

use crate::control::{ReleaseOrder, ReleasePhase, TargetEntry};
use sillpin_core::PoolId;
use sillpin_platform::KvRevision;
use std::collections::{BTreeMap, HashSet};
use std::time::Duration;
use tokio::time::Instant;

/// Time after a success for which targets with other versions get no requests: they stop at once, and their entries
/// expire after three missed heartbeats.
const REMOVAL_TIME: Duration = Duration::from_secs(10);

/// Difference between two boxes' times of the same order that is due to its transit.
const TRANSIT_TOLERANCE: Duration = Duration::from_millis(50);

/// Time after which an ended release is no longer sent to other boxes; boxes that start later read it in the store.
const ANNOUNCED_TIME: Duration = Duration::from_secs(60);

/// A release that operators have ordered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Release {
    /// The order.
    pub order: ReleaseOrder,
    /// Revision at which it was written.
    pub revision: KvRevision,
    /// When it was written, as far as this box knows; never before the actual time.
    pub since: Instant,
    /// Its phase.
    pub phase: ReleasePhase,
    /// Since when this box has known the phase.
    pub phase_since: Instant,
    /// Whether the platform store has this phase.
    pub is_recorded: bool,
    /// Whether operators have withdrawn the order. The new version then gets no requests, unless there is no other.
    pub is_withdrawn: bool,
    /// Whether the pool has had targets with another version since this box knows of the order. If not, the order names
    /// the version that the pool serves already, or the release has succeeded and the earlier targets have stopped.
    had_control: bool,
}

/// What a box learned about the phase of a release.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PhaseUpdate {
    /// The pool.
    pub pool: PoolId,
    /// Revision of the order.
    pub revision: KvRevision,
    /// When the order was written, if known.
    pub since: Option<Instant>,
    /// The phase.
    pub phase: ReleasePhase,
    /// Whether the platform store has this phase.
    pub is_recorded: bool,
}

/// Part of a target in the release of its pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReleaseRole {
    /// It serves requests.
    Serving,
    /// It serves the part of the requests that the release gives the new version.
    Canary,
    /// It gets no requests.
    Excluded,
}

impl Release {
    /// Returns whether the release still has to be supervised.
    pub fn is_open(&self) -> bool {
        let has_ended = self.phase >= ReleasePhase::RolledBack;
        !(has_ended && (self.is_recorded || self.is_withdrawn))
    }

    /// Returns whether other boxes are told of the release.
    pub fn is_announced(&self, now: Instant) -> bool {
        let is_recent = now.saturating_duration_since(self.phase_since) < ANNOUNCED_TIME;
        self.is_open() || is_recent
    }

    /// Returns the part of a target of the pool. `has_control` states whether the pool has targets with another
    /// version than the new one.
    fn role(&self, target: &TargetEntry, has_control: bool, now: Instant) -> ReleaseRole {
        let is_new = target.software.as_ref() == Some(&self.order.version);
        match (self.phase, is_new) {
            (ReleasePhase::Running, true) if self.had_control || has_control => ReleaseRole::Canary,
            (ReleasePhase::Unknown, true) if self.had_control || has_control => {
                ReleaseRole::Excluded
            }
            (ReleasePhase::RolledBack, true)
                if has_control || (self.had_control && !self.is_withdrawn) =>
            {
                ReleaseRole::Excluded
            }
            (ReleasePhase::Succeeded, false)
                if now.saturating_duration_since(self.phase_since) < REMOVAL_TIME =>
            {
                ReleaseRole::Excluded
            }
            _ => ReleaseRole::Serving,
        }
    }
}

/// Releases by pool.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Releases {
    by_pool: BTreeMap<PoolId, Release>,
}

impl Releases {
    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.by_pool.is_empty()
    }

    /// Returns all releases.
    pub fn iter(&self) -> impl Iterator<Item = &Release> {
        self.by_pool.values()
    }

    /// Returns the release of a pool.
    pub fn find(&self, pool: &PoolId) -> Option<&Release> {
        self.by_pool.get(pool)
    }

    /// Records an order. `is_new` states that it was written just now, so that no phase can be known of it. Returns
    /// whether it was not known.
    pub fn begin(
        &mut self,
        order: ReleaseOrder,
        revision: KvRevision,
        is_new: bool,
        now: Instant,
    ) -> bool {
        let known = self.by_pool.get(&order.pool);
        if known.is_some_and(|known| known.revision >= revision) {
            return false;
        }
        let phase = match is_new {
            true => ReleasePhase::Running,
            false => ReleasePhase::Unknown,
        };
        let release = Release {
            revision,
            since: now,
            phase,
            phase_since: now,
            is_recorded: false,
            is_withdrawn: false,
            had_control: false,
            order,
        };
        self.by_pool.insert(release.order.pool.clone(), release);
        true
    }

    /// Records that a known order was written again in a store that had lost it. Returns whether it is the same.
    pub fn rewrite(&mut self, order: &ReleaseOrder, revision: KvRevision) -> bool {
        let Some(known) = self.by_pool.get_mut(&order.pool) else {
            return false;
        };
        if known.order != *order {
            return false;
        }
        known.revision = revision;
        known.is_recorded = false;
        true
    }

    /// Records that the order of a pool's release was withdrawn. Returns the release, unless it had ended.
    pub fn withdraw(&mut self, pool: &PoolId, now: Instant) -> Option<&Release> {
        let known = self.by_pool.get(pool)?;
        if known.phase == ReleasePhase::Succeeded {
            self.by_pool.remove(pool);
            return None;
        }
        let release = self.by_pool.get_mut(pool)?;
        release.is_withdrawn = true;
        if release.phase == ReleasePhase::RolledBack {
            return None;
        }
        release.phase = ReleasePhase::RolledBack;
        release.phase_since = now;
        Some(release)
    }

    /// Applies what is known of a phase. Returns the release if its phase changed.
    pub fn apply(&mut self, update: &PhaseUpdate, now: Instant) -> Option<&Release> {
        let release = self.by_pool.get_mut(&update.pool)?;
        if release.revision != update.revision || release.is_withdrawn {
            return None;
        }
        if let Some(since) = update.since {
            release.since = release.since.min(since);
        }
        if update.phase == release.phase {
            release.is_recorded |= update.is_recorded;
        }
        if update.phase <= release.phase {
            return None;
        }
        release.phase = update.phase;
        release.phase_since = now;
        release.is_recorded = update.is_recorded;
        Some(release)
    }

    /// Returns whether an update adds to what is known.
    pub fn adds_information(&self, update: &PhaseUpdate) -> bool {
        let Some(release) = self.by_pool.get(&update.pool) else {
            return false;
        };
        if release.revision != update.revision {
            return false;
        }
        let is_earlier = update
            .since
            .is_some_and(|since| since + TRANSIT_TOLERANCE < release.since);
        let is_recorded =
            update.phase == release.phase && update.is_recorded && !release.is_recorded;
        is_earlier || is_recorded || update.phase > release.phase
    }

    /// Records which pools have targets with another version than that of their release.
    pub fn record_control(&mut self, with_control: &HashSet<PoolId>) {
        for (pool, release) in &mut self.by_pool {
            release.had_control |= with_control.contains(pool);
        }
    }

    /// Returns the pools of succeeded releases whose earlier targets are gone by now.
    pub fn settled(&self, now: Instant) -> Vec<PoolId> {
        let is_settled = |release: &&Release| {
            release.phase == ReleasePhase::Succeeded
                && now.saturating_duration_since(release.phase_since) >= REMOVAL_TIME
        };
        let settled = self.by_pool.values().filter(is_settled);
        settled.map(|release| release.order.pool.clone()).collect()
    }

    /// Returns the part of a target in the release of its pool. `has_control` states whether the pool has, or may have,
    /// targets with another version than the new one.
    pub fn role(&self, target: &TargetEntry, has_control: bool, now: Instant) -> ReleaseRole {
        let release = self.by_pool.get(&target.pool);
        release.map_or(ReleaseRole::Serving, |release| {
            release.role(target, has_control, now)
        })
    }

    /// Makes the orders older by `time`, for which the box was suspended.
    pub fn add_suspended_time(&mut self, time: Duration) {
        for release in self.by_pool.values_mut() {
            release.since = release.since.checked_sub(time).unwrap_or(release.since);
        }
    }

    /// Returns a number that differs when the phase of a release does.
    pub fn phases(&self) -> u64 {
        let phase = |release: &Release| {
            let phase = release.phase as u64 * 2 + u64::from(release.is_recorded);
            release.revision.0.wrapping_mul(8).wrapping_add(phase)
        };
        self.by_pool
            .values()
            .fold(0, |sum, release| sum ^ phase(release))
    }
}
