//! Desired weights versions, and when operators requested them.
//!
//! Each version has its own time, from which older weights are used for a bounded time only.
//! Requesting a version before the previous one is served everywhere does not extend that bound:
//! with one time for each model, old weights stayed in use as long as operators kept requesting new
//! versions.
//!
//! A box that starts reads the desired version in the store, but not when it was requested. It gets
//! the time from other boxes, and after the loss of all boxes from the record that the weights
//! leader keeps in the platform store. Only if that fails too, the time is unknown.

use serde::{Deserialize, Serialize};
use sillpin_core::{ModelId, WeightVersion, bounds};
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;

/// Age of a version from which versions requested before it are forgotten: this version alone shows
/// that anything older than them was replaced long ago. Some dozen times any limit on the use of
/// replaced weights, which are seconds.
const MAX_AGE: Duration = Duration::from_secs(600);

/// Largest number of versions remembered for a model, so that boxes can send each other all of
/// them: operators request one within seconds at most.
const MAX_VERSIONS: usize = 16;

/// A weights version requested by operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DesiredVersion {
    /// The version.
    pub version: WeightVersion,
    /// When it was requested, as far as this box knows; never before the actual time.
    pub since: Instant,
    /// Whether some box was receiving changes when it was requested. If not, a box found it at its
    /// start, or after receiving nothing for seconds, and it may have been requested long before.
    pub witnessed: bool,
}

impl DesiredVersion {
    /// Combines what two boxes know of the same version. A box receives a version after it was
    /// requested, so the earlier of two times is the more accurate one.
    fn merged(&self, other: &DesiredVersion) -> DesiredVersion {
        DesiredVersion {
            version: self.version,
            since: self.since.min(other.since),
            witnessed: self.witnessed || other.witnessed,
        }
    }
}

/// Versions of one model's weights requested by operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DesiredVersions {
    /// In rising order; never empty.
    versions: Vec<DesiredVersion>,
}

impl DesiredVersions {
    /// Creates the list with its first version.
    pub fn new(entry: DesiredVersion) -> Self {
        Self {
            versions: vec![entry],
        }
    }

    /// Returns the version that all engines are to serve.
    pub fn newest(&self) -> DesiredVersion {
        self.versions[self.versions.len() - 1]
    }

    /// Returns what is known of a version.
    pub fn find(&self, version: WeightVersion) -> Option<&DesiredVersion> {
        self.versions.iter().find(|entry| entry.version == version)
    }

    /// Returns whether `entry` adds to what is known of its version.
    pub fn adds_information(&self, entry: &DesiredVersion) -> bool {
        let known = self.find(entry.version);
        known.is_none_or(|known| known.merged(entry) != *known)
    }

    /// Records a version. Returns whether that added anything.
    pub fn record(&mut self, entry: DesiredVersion, now: Instant) -> bool {
        let adds_information = self.adds_information(&entry);
        if adds_information {
            let known = self.find(entry.version);
            let merged = known.map_or(entry, |known| known.merged(&entry));
            self.versions.retain(|known| known.version != entry.version);
            let at = self
                .versions
                .partition_point(|known| known.version < entry.version);
            self.versions.insert(at, merged);
        }
        self.drop_old(now);
        adds_information
    }

    /// Returns the versions newer than one that an engine serves; each of them replaced it.
    pub fn newer(&self, version: WeightVersion) -> impl Iterator<Item = &DesiredVersion> {
        self.versions
            .iter()
            .filter(move |entry| entry.version > version)
    }

    /// Makes the versions older by `time`, for which the box was suspended.
    pub fn add_suspended_time(&mut self, time: Duration) {
        for entry in &mut self.versions {
            entry.since = entry.since.checked_sub(time).unwrap_or(entry.since);
        }
    }

    fn drop_old(&mut self, now: Instant) {
        let is_old = |entry: &DesiredVersion| now.saturating_duration_since(entry.since) >= MAX_AGE;
        let last_old = self.versions.iter().rposition(is_old).unwrap_or(0);
        let too_many = self.versions.len().saturating_sub(MAX_VERSIONS);
        self.versions.drain(..last_old.max(too_many));
    }
}

/// How long ago a weights version was requested, as far as a box knows.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DesiredVersionAge {
    /// The model.
    pub model: ModelId,
    /// The version.
    pub version: WeightVersion,
    /// Milliseconds since it was requested.
    #[serde(deserialize_with = "bounds::de::millis")]
    pub age_ms: u64,
    /// Whether some box was receiving changes when it was requested; if not, it was requested at
    /// least that long ago.
    pub witnessed: bool,
}

impl DesiredVersionAge {
    /// Converts the age to a time of this box's clock. The transit time is not added, so a version
    /// never appears older than it is, however often boxes relay it.
    pub fn to_desired_version(&self, now: Instant) -> Option<DesiredVersion> {
        Some(DesiredVersion {
            version: self.version,
            since: now.checked_sub(Duration::from_millis(self.age_ms))?,
            witnessed: self.witnessed,
        })
    }
}

/// Age up to which versions are sent to other boxes: several times any limit on the use of replaced
/// weights. Weights are changed rarely, so boxes usually send none.
const SEND_MAX_AGE: Duration = Duration::from_secs(60);

/// Returns the recently requested versions, for boxes that start.
pub fn recent_ages(
    desired: &HashMap<ModelId, DesiredVersions>,
    now: Instant,
) -> Vec<DesiredVersionAge> {
    let of_model = |(model, desired): (&ModelId, &DesiredVersions)| -> Vec<DesiredVersionAge> {
        let age = |entry: &DesiredVersion| DesiredVersionAge {
            model: model.clone(),
            version: entry.version,
            age_ms: now.saturating_duration_since(entry.since).as_millis() as u64,
            witnessed: entry.witnessed,
        };
        let is_recent =
            |entry: &&DesiredVersion| now.saturating_duration_since(entry.since) < SEND_MAX_AGE;
        desired.versions.iter().filter(is_recent).map(age).collect()
    };
    desired.iter().flat_map(of_model).collect()
}
