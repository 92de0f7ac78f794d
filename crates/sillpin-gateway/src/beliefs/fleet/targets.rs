//! What a box knows of targets: their entries, their lives, and what was seen of them besides.

use super::super::mirror::Change;
use super::{Fleet, LAPSE_GRACE, MASS_LAPSE, Seen};
use crate::beliefs::Source;
use crate::control::{Presence, Published, Served, TargetEntry};
use crate::place::index::TargetIndex;
use sillpin_core::{ModelId, TargetId, WeightVersion};
use sillpin_platform::KvEntry;
use sillpin_telemetry::{event, events};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

impl<K: Published> Fleet<K> {
    /// Hash of what the targets' entries say, without their heartbeats.
    pub(super) fn targets_content(&self) -> u64 {
        let listed = self
            .targets
            .iter()
            .filter(|(id, _)| !self.lapsed.contains_key(*id));
        let mut lines: Vec<String> = listed.map(|(_, entry)| format!("{entry:?}")).collect();
        lines.sort_unstable();
        xxh3_64(lines.concat().as_bytes())
    }

    pub(super) fn take_targets(
        &mut self,
        changes: Vec<Change>,
        source: &Source,
        read_at: Instant,
        now: Instant,
    ) {
        let gone = changes
            .iter()
            .filter(|c| matches!(c, Change::Gone(_)))
            .count();
        let mass = gone as f64 > MASS_LAPSE * self.targets.len() as f64;
        let after_outage = self.away.map(|at| at + LAPSE_GRACE);
        let after_mass = mass.then_some(read_at + LAPSE_GRACE);
        let may_return = after_outage.max(after_mass).filter(|until| now < *until);
        for change in changes {
            match change {
                Change::Set(entry) => self.list_target(&entry, source, now),
                Change::Gone(key) => self.unlist_target(&key, may_return),
            }
        }
    }

    fn list_target(&mut self, entry: &KvEntry, source: &Source, now: Instant) {
        let value = entry.value.as_deref().unwrap_or_default();
        let target = match self.keys.target(&entry.key, value) {
            Ok(target) => target,
            Err(e) => {
                // Somebody else wrote it, or the target itself is not well: it names nobody to send requests to.
                self.undecodable(&e);
                return self.unlist_target(&entry.key, None);
            }
        };
        self.lapsed.remove(&target.id);
        self.take_life(&target);
        let before = self.targets.get(&target.id);
        if before.map(|t| t.presence) != Some(target.presence) {
            event!(self.log, events::TARGET_LISTED,
                "target" => target.id.as_str(), "pool" => target.pool.as_str(),
                "addr" => target.addr.to_string(), "presence" => format!("{:?}", target.presence),
                "revision" => entry.revision.to_string(), "source" => source.to_string());
        }
        self.warms_up(&target.id, target.cold, now);
        self.departures.listed(&target, entry.revision.era(), now);
        if self.departures.hides(&target, now) {
            event!(self.log, events::RESTORED_ENTRY_IGNORED, "target" => target.id.as_str(),
                "revision" => entry.revision.to_string(), "source" => source.to_string());
        }
        self.targets.insert(target.id.clone(), Arc::new(target));
    }

    /// A target stays cold for `time` from now: what it says is as old as its entry, so it is rather taken for cold too long.
    pub(super) fn warms_up(&mut self, target: &TargetId, time: Duration, now: Instant) {
        if !time.is_zero() {
            let until = self.cold.entry(target.clone()).or_insert(now);
            *until = (now + time).max(*until);
        }
    }

    /// What an earlier life of a target was seen to serve says nothing of this one, which may serve older weights.
    fn take_life(&mut self, target: &TargetEntry) {
        let before = self.targets.get(&target.id);
        if before.is_none_or(|before| before.life == target.life) {
            return;
        }
        self.seen.remove(&target.id);
        event!(self.log, events::TARGET_RESTARTED, "target" => target.id.as_str(),
            "addr" => target.addr.to_string(), "life" => target.life.map_or(0, |life| life.0));
    }

    /// Drops a target whose entry vanished, unless the entry may return until some moment.
    pub(super) fn unlist_target(&mut self, key: &str, may_return: Option<Instant>) {
        let id = key.strip_prefix(self.keys.target_prefix()).unwrap_or(key);
        let Ok(id) = id.parse::<TargetId>() else {
            return;
        };
        let ready = |t: &Arc<TargetEntry>| t.presence == Presence::Ready;
        let is_ready = self.targets.get(&id).is_some_and(ready);
        if let Some(until) = may_return.filter(|_| is_ready) {
            event!(self.log, events::TARGET_ENTRY_EXPIRED, "target" => id.as_str());
            self.lapsed.insert(id, until);
            return;
        }
        self.drop_target(&id, "its entry is gone");
    }

    pub(super) fn drop_target(&mut self, id: &TargetId, why: &'static str) {
        self.seen.remove(id);
        self.cold.remove(id);
        if let Some(target) = self.targets.remove(id) {
            let era = self.listed.known().revision.era();
            self.departures.removed(&target, era, Instant::now());
            event!(self.log, events::TARGET_UNLISTED, "target" => id.as_str(), "why" => why);
        }
    }

    pub(super) fn serves(&mut self, target: TargetId, found: Seen) {
        let entry = self.targets.get(&target);
        // Which of two lives is the newer one shows in the target's entry.
        if entry.is_some_and(|entry| entry.life != found.life) {
            return;
        }
        let known = entry.and_then(|entry| served(entry, &found.model));
        let seen = self.seen.get(&target).map(|seen| seen.version);
        if known >= Some(found.version) || seen >= Some(found.version) {
            return;
        }
        event!(self.log, events::TARGET_WEIGHTS_DIFFER, "target" => target.as_str(),
            "model" => found.model.as_str(), "version" => found.version.0);
        self.seen.insert(target, found);
        self.targets_changed = true;
    }

    pub(super) fn publish_targets(&mut self) {
        let now = Instant::now();
        let current = |(id, entry): (&TargetId, &Arc<TargetEntry>)| {
            let mut entry = match self.seen.get(id) {
                Some(seen) if seen.life == entry.life => Arc::new(with_served(entry, seen)),
                _ => entry.clone(),
            };
            if self.departures.hides(&entry, now) {
                Arc::make_mut(&mut entry).presence = Presence::Leaving;
            }
            (id.clone(), entry)
        };
        self.cold.retain(|_, until| now < *until);
        self.view.cold = Arc::new(self.cold.clone());
        self.view.targets = Arc::new(self.targets.iter().map(current).collect());
        self.view.index = Arc::new(TargetIndex::without(&self.view.targets, &self.evacuations));
        self.view.entries = Arc::new(self.targets.clone());
    }
}

/// The version of `model` that a target lists.
pub fn served(entry: &TargetEntry, model: &ModelId) -> Option<WeightVersion> {
    let found = entry.served.iter().find(|served| served.model == *model);
    found.map(|served| served.version)
}

fn with_served(entry: &TargetEntry, seen: &Seen) -> TargetEntry {
    let mut entry = entry.clone();
    let newer = |served: &Served| served.model == seen.model && served.version < seen.version;
    for served in entry.served.iter_mut().filter(|served| newer(served)) {
        served.version = seen.version;
    }
    entry
}
