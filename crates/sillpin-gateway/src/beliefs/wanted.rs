//! Desired weights versions, and when operators requested them.
//!
//! Each version has its own time, from which older weights are used for a bounded time only.
//! Requesting a version before the previous one is served everywhere does not extend that bound: with
//! one time for each model, old weights stayed in use as long as operators kept requesting new
//! versions.
//!
//! A box that starts reads the desired version in the store, but not when it was requested. It gets the
//! time from other boxes, and after the loss of all boxes from the record that the weights leader
//! keeps in the platform store. Only if that fails too, the time is unknown.

use serde::{Deserialize, Serialize};
use sillpin_core::{ModelId, WeightVersion};
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;

/// Age of a version from which versions requested before it are forgotten: this version alone shows that
/// anything older than them was replaced long ago. Some dozen times any limit on the use of
/// replaced weights, which are seconds.
const MEMORY: Duration = Duration::from_secs(600);

/// Largest number of versions remembered for a model, so that boxes can send each other all of
/// them: operators request one within seconds at most.
const MAX_NAMED: usize = 16;

/// A weights version requested by operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Named {
    /// The version.
    pub version: WeightVersion,
    /// When it was requested, as far as this box knows; never before the actual time.
    pub since: Instant,
    /// Whether some box was receiving changes when it was requested. If not, a box found it at its start,
    /// or after receiving nothing for seconds, and it may have been requested long before.
    pub witnessed: bool,
}

impl Named {
    /// Combines what two boxes know of the same version. A box receives a version after it was requested,
    /// so the earlier of two times is the more accurate one.
    fn merged(&self, other: &Named) -> Named {
        Named {
            version: self.version,
            since: self.since.min(other.since),
            witnessed: self.witnessed || other.witnessed,
        }
    }
}

/// Versions of one model's weights requested by operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wanted {
    /// In rising order; never empty.
    named: Vec<Named>,
}

impl Wanted {
    /// Creates the list with its first version.
    pub fn new(named: Named) -> Self {
        Self { named: vec![named] }
    }

    /// Returns the version that all engines are to serve.
    pub fn newest(&self) -> Named {
        self.named[self.named.len() - 1]
    }

    /// Returns what is known of a version.
    pub fn find(&self, version: WeightVersion) -> Option<&Named> {
        self.named.iter().find(|named| named.version == version)
    }

    /// Returns whether `named` adds to what is known of its version.
    pub fn is_news(&self, named: &Named) -> bool {
        let known = self.find(named.version);
        known.is_none_or(|known| known.merged(named) != *known)
    }

    /// Records a version. Returns whether that added anything.
    pub fn note(&mut self, named: Named, now: Instant) -> bool {
        let is_news = self.is_news(&named);
        if is_news {
            let known = self.find(named.version);
            let merged = known.map_or(named, |known| known.merged(&named));
            self.named.retain(|known| known.version != named.version);
            let at = self
                .named
                .partition_point(|known| known.version < named.version);
            self.named.insert(at, merged);
        }
        self.forget(now);
        is_news
    }

    /// Returns the versions newer than one that an engine serves; each of them replaced it.
    pub fn newer(&self, version: WeightVersion) -> impl Iterator<Item = &Named> {
        self.named
            .iter()
            .filter(move |named| named.version > version)
    }

    /// Makes the versions older by `time`, for which the box was suspended.
    pub fn age(&mut self, time: Duration) {
        for named in &mut self.named {
            named.since = named.since.checked_sub(time).unwrap_or(named.since);
        }
    }

    fn forget(&mut self, now: Instant) {
        let is_old = |named: &Named| now.saturating_duration_since(named.since) >= MEMORY;
        let last_old = self.named.iter().rposition(is_old).unwrap_or(0);
        let too_many = self.named.len().saturating_sub(MAX_NAMED);
        self.named.drain(..last_old.max(too_many));
    }
}

/// How long ago a weights version was requested, as far as a box knows.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct NamedAge {
    /// The model.
    pub model: ModelId,
    /// The version.
    pub version: WeightVersion,
    /// Milliseconds since it was requested.
    pub age_ms: u64,
    /// Whether some box was receiving changes when it was requested; if not, it was requested at least that
    /// long ago.
    pub witnessed: bool,
}

impl NamedAge {
    /// Converts the age to a time of this box's clock. The transit time is not added, so a version
    /// never appears older than it is, however often boxes relay it.
    pub fn named(&self, now: Instant) -> Option<Named> {
        Some(Named {
            version: self.version,
            since: now.checked_sub(Duration::from_millis(self.age_ms))?,
            witnessed: self.witnessed,
        })
    }
}

/// Age up to which versions are sent to other boxes: several times any limit on the use of replaced
/// weights. Weights are changed rarely, so boxes usually send none.
const TELL: Duration = Duration::from_secs(60);

/// Returns the recently requested versions, for boxes that start.
pub fn ages(wanted: &HashMap<ModelId, Wanted>, now: Instant) -> Vec<NamedAge> {
    let of_model = |(model, wanted): (&ModelId, &Wanted)| -> Vec<NamedAge> {
        let age = |named: &Named| NamedAge {
            model: model.clone(),
            version: named.version,
            age_ms: now.saturating_duration_since(named.since).as_millis() as u64,
            witnessed: named.witnessed,
        };
        let is_late = |named: &&Named| now.saturating_duration_since(named.since) < TELL;
        wanted.named.iter().filter(is_late).map(age).collect()
    };
    wanted.iter().flat_map(of_model).collect()
}
