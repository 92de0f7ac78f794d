//! Targets: their entries, their incarnations, and the weights that they were found to serve.

use super::super::mirror::Change;
use super::changes::ChangedTargets;
use super::{EXPIRY_GRACE, Fleet, MASS_EXPIRY_SHARE, ObservedWeights};
use crate::control::{Presence, PublishedFormat, Served, TargetEntry};
use crate::fleet_state::Source;
use crate::fleet_state::releases::ReleaseRole;
use crate::placement::index::TargetIndex;
use sillpin_core::{ModelId, TargetId, WeightVersion};
use sillpin_platform::KvEntry;
use sillpin_telemetry::{event, events};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

impl<K: PublishedFormat> Fleet<K> {
    /// Records that a target's entry has changed, appeared or disappeared.
    fn target_changed(&mut self, id: &TargetId) {
        let listed = self.targets.get(id);
        let listed = listed.filter(|_| !self.expired.contains_key(id));
        self.targets_content.set(id, listed.map(Arc::as_ref));
        self.changed_targets.add(id);
    }

    pub(super) fn apply_targets(
        &mut self,
        changes: Vec<Change>,
        source: &Source,
        read_at: Instant,
        now: Instant,
    ) {
        let removed_count = changes
            .iter()
            .filter(|c| matches!(c, Change::Deleted(_)))
            .count();
        let is_mass_expiry = removed_count as f64 > MASS_EXPIRY_SHARE * self.targets.len() as f64;
        let after_outage = self.unreachable_at.map(|at| at + EXPIRY_GRACE);
        let after_mass_expiry = is_mass_expiry.then_some(read_at + EXPIRY_GRACE);
        let may_return = after_outage
            .max(after_mass_expiry)
            .filter(|until| now < *until);
        for change in changes {
            match change {
                Change::Set(entry) => {
                    let applied =
                        self.contained(&entry.key, |fleet| fleet.apply_entry(&entry, source, now));
                    if !applied {
                        self.remove_entry(&entry.key, None);
                    }
                }
                Change::Deleted(key) => self.remove_entry(&key, may_return),
            }
        }
    }

    fn apply_entry(&mut self, entry: &KvEntry, source: &Source, now: Instant) {
        let value = entry.value.as_deref().unwrap_or_default();
        let target = match self.keys.target(&entry.key, value) {
            Ok(target) => target,
            Err(e) => {
                // Another program wrote it, or the target is faulty: there is no address to send
                // requests to.
                self.log_unreadable(&e);
                return self.remove_entry(&entry.key, None);
            }
        };
        self.expired.remove(&target.id);
        self.check_incarnation(&target);
        let before = self.targets.get(&target.id);
        if before.map(|t| t.presence) != Some(target.presence) {
            event!(self.log, events::TARGET_LISTED,
                "target" => target.id.as_str(), "pool" => target.pool.as_str(),
                "addr" => target.addr.to_string(), "presence" => format!("{:?}", target.presence),
                "revision" => entry.revision.to_string(), "source" => source.to_string());
        }
        self.set_cold(&target.id, target.cold, now);
        self.departures
            .record_entry(&target, entry.revision.era(), now);
        if self.departures.overrides_entry(&target, now) {
            event!(self.log, events::RESTORED_ENTRY_IGNORED, "target" => target.id.as_str(),
                "revision" => entry.revision.to_string(), "source" => source.to_string());
        }
        let (id, target) = (target.id.clone(), Arc::new(target));
        let before = self.targets.insert(id.clone(), target.clone());
        let changed = self.versions.replace(before.as_deref(), Some(&target), now);
        self.versions_changed |= changed;
        self.target_changed(&id);
    }

    /// Marks a target as warming up for `time` from now. The duration in an entry is as old as the
    /// entry, so the mark lasts too long rather than too short.
    pub(super) fn set_cold(&mut self, target: &TargetId, time: Duration, now: Instant) {
        if !time.is_zero() {
            let until = self.cold.entry(target.clone()).or_insert(now);
            *until = (now + time).max(*until);
            self.changed_targets.add(target);
        }
    }

    /// Discards the weights that an earlier incarnation of a target was found to serve; the new one
    /// may serve older weights.
    fn check_incarnation(&mut self, target: &TargetEntry) {
        let before = self.targets.get(&target.id);
        if before.is_none_or(|before| before.life == target.life) {
            return;
        }
        self.observed_weights.remove(&target.id);
        event!(self.log, events::TARGET_RESTARTED, "target" => target.id.as_str(),
            "addr" => target.addr.to_string(), "life" => target.life.map_or(0, |life| life.0));
    }

    /// Drops a target whose entry disappeared, unless the entry may return until `may_return`.
    pub(super) fn remove_entry(&mut self, key: &str, may_return: Option<Instant>) {
        let id = key.strip_prefix(self.keys.target_prefix()).unwrap_or(key);
        let Ok(id) = id.parse::<TargetId>() else {
            return;
        };
        let ready = |t: &Arc<TargetEntry>| t.presence == Presence::Ready;
        let is_ready = self.targets.get(&id).is_some_and(ready);
        if let Some(until) = may_return.filter(|_| is_ready) {
            event!(self.log, events::TARGET_ENTRY_EXPIRED, "target" => id.as_str());
            self.expired.insert(id.clone(), until);
            self.target_changed(&id);
            return;
        }
        self.drop_target(&id, "its entry was removed");
    }

    pub(super) fn drop_target(&mut self, id: &TargetId, why: &'static str) {
        self.observed_weights.remove(id);
        self.cold.remove(id);
        if let Some(target) = self.targets.remove(id) {
            let (era, now) = (self.targets_mirror.known().revision.era(), Instant::now());
            self.departures.record_removal(&target, era, now);
            self.versions_changed |= self.versions.replace(Some(&target), None, now);
            event!(self.log, events::TARGET_UNLISTED, "target" => id.as_str(), "why" => why);
        }
        self.target_changed(id);
    }

    pub(super) fn record_served(&mut self, target: TargetId, observed: ObservedWeights) {
        let entry = self.targets.get(&target);
        // The target's entry shows which of two incarnations is the newer one.
        if entry.is_some_and(|entry| entry.life != observed.life) {
            return;
        }
        let known = entry.and_then(|entry| served(entry, &observed.model));
        let last_found = self
            .observed_weights
            .get(&target)
            .map(|known| known.version);
        if known >= Some(observed.version) || last_found >= Some(observed.version) {
            return;
        }
        event!(self.log, events::TARGET_WEIGHTS_DIFFER, "target" => target.as_str(),
            "model" => observed.model.as_str(), "version" => observed.version.0);
        self.changed_targets.add(&target);
        self.observed_weights.insert(target, observed);
    }

    /// Updates the view of the targets.
    pub(super) fn publish_targets(&mut self) {
        let now = Instant::now();
        match std::mem::take(&mut self.changed_targets) {
            ChangedTargets::None => {}
            // The part of a target in a release depends on the other targets of its pool.
            ChangedTargets::Some(ids) if self.releases.is_empty() => {
                for id in &ids {
                    self.publish_target(id, now);
                }
            }
            ChangedTargets::Some(_) | ChangedTargets::All => self.publish_all_targets(now),
        }
    }

    /// Returns a target's entry with the weights that the target was found to serve.
    fn current_entry(&self, id: &TargetId, now: Instant) -> Option<Arc<TargetEntry>> {
        let entry = self.targets.get(id)?;
        let mut entry = match self.observed_weights.get(id) {
            Some(observed) if observed.life == entry.life => Arc::new(with_served(entry, observed)),
            _ => entry.clone(),
        };
        if self.departures.overrides_entry(&entry, now) {
            Arc::make_mut(&mut entry).presence = Presence::Leaving;
        }
        Some(entry)
    }

    /// Updates the view of one target, while there is no release.
    fn publish_target(&mut self, id: &TargetId, now: Instant) {
        let current = self.current_entry(id, now);
        let targets = Arc::make_mut(&mut self.view.targets);
        let before = match &current {
            Some(entry) => targets.insert(id.clone(), entry.clone()),
            None => targets.remove(id),
        };
        let is_included = |target: &TargetEntry| !self.evacuations.contains(&target.zone);
        Arc::make_mut(&mut self.view.index).replace(
            before.as_deref(),
            current.as_ref(),
            is_included,
        );
        set_or_remove(&mut self.view.entries, id, self.targets.get(id));
        set_or_remove(&mut self.view.cold, id, self.cold.get(id));
    }

    fn publish_all_targets(&mut self, now: Instant) {
        self.cold.retain(|_, until| now < *until);
        self.view.cold = Arc::new(self.cold.clone());
        let current = |id: &TargetId| Some((id.clone(), self.current_entry(id, now)?));
        self.view.targets = Arc::new(self.targets.keys().filter_map(current).collect());
        self.view.entries = Arc::new(self.targets.clone());
        let with_control = self.pools_with_control();
        let index_of = |wanted: ReleaseRole| {
            let is_wanted = |target: &TargetEntry| {
                !self.evacuations.contains(&target.zone)
                    && self.release_role(target, &with_control, now) == wanted
            };
            Arc::new(TargetIndex::of(&self.view.targets, is_wanted))
        };
        let (index, canaries) = (
            index_of(ReleaseRole::Serving),
            index_of(ReleaseRole::Canary),
        );
        self.view.index = index;
        self.view.canaries = canaries;
    }

    /// Removes targets that have warmed up from the view. Returns whether there were any.
    pub(super) fn remove_warm(&mut self, now: Instant) -> bool {
        if !self.cold.values().any(|until| *until <= now) {
            return false;
        }
        self.cold.retain(|_, until| now < *until);
        self.view.cold = Arc::new(self.cold.clone());
        true
    }
}

fn set_or_remove<V: Clone>(map: &mut Arc<HashMap<TargetId, V>>, id: &TargetId, value: Option<&V>) {
    match value {
        Some(value) => {
            Arc::make_mut(map).insert(id.clone(), value.clone());
        }
        None if map.contains_key(id) => {
            Arc::make_mut(map).remove(id);
        }
        None => {}
    }
}

/// Returns the version of `model` that a target lists.
pub fn served(entry: &TargetEntry, model: &ModelId) -> Option<WeightVersion> {
    let observed = entry.served.iter().find(|served| served.model == *model);
    observed.map(|served| served.version)
}

fn with_served(entry: &TargetEntry, observed: &ObservedWeights) -> TargetEntry {
    let mut entry = entry.clone();
    let newer =
        |served: &Served| served.model == observed.model && served.version < observed.version;
    for served in entry.served.iter_mut().filter(|served| newer(served)) {
        served.version = observed.version;
    }
    entry
}
