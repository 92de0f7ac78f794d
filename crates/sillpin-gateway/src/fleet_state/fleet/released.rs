//! Orders of releases, and the phases that boxes tell each other.

use super::super::mirror::Change;
use super::super::releases::{PhaseUpdate, Release, ReleaseRole};
use super::Fleet;
use super::evacuated::REWRITE_TIMEOUT;
use crate::control::{PublishedFormat, ReleasePhase, TargetEntry};
use crate::fleet_state::Source;
use sillpin_core::PoolId;
use sillpin_platform::KvRevision;
use sillpin_telemetry::{event, events};
use std::collections::HashSet;
use std::sync::Arc;
use tokio::time::Instant;

impl<K: PublishedFormat> Fleet<K> {
    /// Applies the order of a pool's release, or its withdrawal.
    pub(super) fn apply_release(
        &mut self,
        pool: PoolId,
        change: &Change,
        witnessed: bool,
        source: &Source,
        now: Instant,
    ) {
        let may_be_lost = self
            .restored_at
            .is_some_and(|at| now < at + REWRITE_TIMEOUT);
        let Change::Set(entry) = change else {
            // Operators write again what a restored store lost.
            if !may_be_lost {
                self.withdraw_release(&pool, source, now);
            }
            return;
        };
        let value = entry.value.as_deref().unwrap_or_default();
        let order = match self.keys.release(&entry.key, value) {
            Ok(order) => order,
            Err(e) => {
                self.log_unreadable(&e);
                return self.withdraw_release(&pool, source, now);
            }
        };
        if may_be_lost && self.releases.rewrite(&order, entry.revision) {
            return self.publish_releases();
        }
        let (version, duration) = (order.version.to_string(), order.duration);
        if self.releases.begin(order, entry.revision, witnessed, now) {
            event!(self.log, events::RELEASE_ORDERED, "pool" => pool.as_str(), "version" => version,
                "duration_ms" => duration.as_millis(), "revision" => entry.revision.to_string(),
                "witnessed" => witnessed, "source" => source.to_string());
            self.publish_releases();
        }
    }

    fn withdraw_release(&mut self, pool: &PoolId, source: &Source, now: Instant) {
        if self.releases.find(pool).is_none() {
            return;
        }
        if let Some(release) = self.releases.withdraw(pool, now) {
            event!(self.log, events::RELEASE_WITHDRAWN, "pool" => pool.as_str(),
                "version" => release.order.version.to_string(), "source" => source.to_string());
        }
        self.publish_releases();
    }

    pub(super) fn apply_phase(&mut self, update: &PhaseUpdate, source: &Source, now: Instant) {
        if !self.releases.adds_information(update) {
            return;
        }
        if let Some(release) = self.releases.apply(update, now) {
            log_phase(&self.log, release, source, now);
        }
        self.publish_releases();
    }

    /// Lets all targets of pools serve whose earlier targets have stopped after a success. Returns whether there were
    /// any.
    pub(super) fn settle_releases(&mut self, now: Instant) -> bool {
        let settled = self.releases.settled(now);
        let has_new = settled.iter().any(|pool| !self.settled.contains(pool));
        self.settled = settled;
        if has_new {
            self.changed_targets.add_all();
        }
        has_new
    }

    pub(super) fn publish_releases(&mut self) {
        self.view.releases = Arc::new(self.releases.clone());
        self.changed_targets.add_all();
    }

    /// Returns pools that have targets with another version than that of their release, or may have them.
    pub(super) fn pools_with_control(&mut self) -> HashSet<PoolId> {
        if self.targets_mirror.known().revision == KvRevision::ABSENT {
            // Only a part of the targets is known.
            let releases = self.releases.iter();
            return releases.map(|release| release.order.pool.clone()).collect();
        }
        let with_control = self.pools_with_listed_control();
        self.releases.record_control(&with_control);
        with_control
    }

    fn pools_with_listed_control(&self) -> HashSet<PoolId> {
        let is_control = |target: &&Arc<TargetEntry>| {
            let release = self.releases.find(&target.pool);
            release.is_some_and(|release| target.software.as_ref() != Some(&release.order.version))
        };
        let control = self.targets.values().filter(is_control);
        control.map(|target| target.pool.clone()).collect()
    }

    /// Returns the part of a target in the release of its pool.
    pub(super) fn release_role(
        &self,
        target: &TargetEntry,
        with_control: &HashSet<PoolId>,
        now: Instant,
    ) -> ReleaseRole {
        let has_control = with_control.contains(&target.pool);
        self.releases.role(target, has_control, now)
    }
}

fn log_phase(log: &slog::Logger, release: &Release, source: &Source, now: Instant) {
    let age = now.saturating_duration_since(release.since).as_millis();
    let (pool, version) = (
        release.order.pool.as_str(),
        release.order.version.to_string(),
    );
    match release.phase {
        ReleasePhase::Unknown | ReleasePhase::Running => {}
        ReleasePhase::RolledBack => event!(log, events::RELEASE_ROLLED_BACK, "pool" => pool,
            "version" => version, "age_ms" => age, "source" => source.to_string()),
        ReleasePhase::Succeeded => event!(log, events::RELEASE_SUCCEEDED, "pool" => pool,
            "version" => version, "age_ms" => age, "source" => source.to_string()),
    }
}
