//! What operators publish: configurations, desired weights, evacuations and releases.

use super::super::mirror::Change;
use super::Fleet;
use crate::cache_stores::isolation::IsolatedOrganisations;
use crate::config::FleetConfig;
use crate::control::{DecodeError, PublishedFormat};
use crate::fleet_state::{DesiredVersion, DesiredVersions, Source};
use crate::tasks::panic_message;
use sillpin_core::ModelId;
use sillpin_platform::KvEntry;
use sillpin_telemetry::{event, events};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use tokio::time::Instant;
use xxhash_rust::xxh3::Xxh3;

/// Largest number of unreadable items of a configuration that are logged.
const MAX_LOGGED_ITEMS: usize = 20;

impl<K: PublishedFormat> Fleet<K> {
    /// Applies a change of what operators publish; `witnessed` if this box was receiving changes
    /// when it took place.
    pub(super) fn apply_operator_change(
        &mut self,
        change: Change,
        witnessed: bool,
        source: &Source,
        now: Instant,
    ) {
        if let Some(zone) = self.keys.evacuation(change.key()) {
            match zone {
                Ok(zone) => self.apply_evacuation(zone, &change, source, now),
                Err(e) => self.log_unreadable(&e),
            }
            return;
        }
        if let Some(pool) = self.keys.release_pool(change.key()) {
            match pool {
                Ok(pool) => self.apply_release(pool, &change, witnessed, source, now),
                Err(e) => self.log_unreadable(&e),
            }
            return;
        }
        // A configuration or a weights version that was deleted stays in force.
        let Change::Set(entry) = change else {
            return;
        };
        let value = entry.value.as_deref().unwrap_or_default();
        if self.keys.is_config(&entry.key) {
            match self.keys.config(&entry.key, value) {
                Ok(config) => self.apply_config(config, &entry, source),
                Err(e) => self.log_unreadable(&e),
            }
        } else if self.keys.is_weights(&entry.key) {
            match self.keys.weights(&entry.key, value) {
                Ok(weights) => {
                    let requested = DesiredVersion {
                        version: weights.version,
                        since: now,
                        witnessed,
                    };
                    self.record_desired(weights.model, requested, source, now);
                }
                Err(e) => self.log_unreadable(&e),
            }
        }
    }

    /// Applies one entry. One whose handling panics counts as unreadable: it would panic again in a process that is started anew, and
    /// the other entries hold. Returns whether it was applied.
    pub(super) fn contained(&mut self, key: &str, apply: impl FnOnce(&mut Self)) -> bool {
        let applied = catch_unwind(AssertUnwindSafe(|| apply(self)));
        if let Err(panic) = &applied {
            let what = panic_message(&**panic).to_owned();
            let key = key.to_owned();
            self.log_unreadable(&DecodeError { key, what });
        }
        applied.is_ok()
    }

    pub(super) fn log_unreadable(&self, e: &DecodeError) {
        event!(self.log, events::VALUE_UNREADABLE, "key" => &e.key, "why" => &e.what);
    }

    /// Puts a configuration in force unless it is older than the one in force.
    fn apply_config(&mut self, config: FleetConfig, entry: &KvEntry, source: &Source) {
        let in_force = self.config.as_ref().map(|config| config.version);
        if in_force >= Some(config.version) {
            return;
        }
        event!(self.log, events::CONFIG_IN_FORCE,
            "version" => config.version.0, "revision" => entry.revision.to_string(),
            "source" => source.to_string(), "routes" => config.routes.len(),
            "bytes" => entry.value.as_ref().map_or(0, String::len),
            "before" => in_force.map_or(0, |version| version.0));
        self.log_unreadable_items(&config);
        let config = Arc::new(config);
        let before = self.config.as_deref();
        self.view.routes.record(before, &config, Instant::now());
        self.apply_isolation(&config, in_force.is_some());
        self.config = Some(config.clone());
        self.view.config = Some(config);
        self.view.config_since = Some(Instant::now());
    }

    /// Logs what could not be read of a configuration.
    fn log_unreadable_items(&self, config: &FleetConfig) {
        let unreadable = &config.unreadable;
        for item in unreadable.iter().take(MAX_LOGGED_ITEMS) {
            event!(self.log, events::CONFIG_ITEM_UNREADABLE,
                "version" => config.version.0, "kind" => item.kind.to_string(),
                "name" => &item.name, "why" => &item.reason,
                "count" => unreadable.len());
        }
    }

    /// Records the organisations that a configuration isolates.
    fn apply_isolation(&mut self, config: &FleetConfig, replaces_another: bool) {
        let isolated = IsolatedOrganisations::of(config);
        let before = self.view.isolated.set();
        if replaces_another && isolated.set() != before {
            event!(self.log, events::ISOLATION_CHANGED, "isolated" => isolated.count(),
                "set" => isolated.set().to_string(), "before" => before.to_string());
        }
        self.view.isolated = Arc::new(isolated);
    }

    /// Records that operators requested a weights version, or an earlier time of the request.
    pub(super) fn record_desired(
        &mut self,
        model: ModelId,
        requested: DesiredVersion,
        source: &Source,
        now: Instant,
    ) {
        let desired = self.desired.get_mut(&model);
        let is_update = match desired {
            Some(desired) => desired.record(requested, now),
            None => {
                self.desired
                    .insert(model.clone(), DesiredVersions::new(requested));
                true
            }
        };
        if !is_update {
            return;
        }
        event!(self.log, events::WEIGHTS_REQUESTED,
            "model" => model.as_str(), "version" => requested.version.0, "source" => source.to_string(),
            "age_ms" => now.saturating_duration_since(requested.since).as_millis(),
            "witnessed" => requested.witnessed);
        self.view.desired = Arc::new(self.desired.clone());
    }
}

/// Returns the hash of raw entries.
pub(super) fn content_hash(entries: &[Arc<KvEntry>]) -> u64 {
    let mut hash = Xxh3::new();
    for entry in entries {
        let value = entry.value.as_deref().unwrap_or_default();
        // Lengths separate fields whose concatenation would be equal.
        for text in [&entry.key, value] {
            hash.update(&text.len().to_le_bytes());
            hash.update(text.as_bytes());
        }
    }
    hash.digest()
}
