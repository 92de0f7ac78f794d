//! Weights that operators want, and since when.
//!
//! Each named version has a time of its own, from which on weights older than it are used for a bounded time only. A version
//! that is named before an earlier one is served everywhere takes nothing away from that: with one time for each model, weights stayed in use
//! as long as operators went on naming new ones.
//!
//! A box that starts reads what is wanted, not since when. Others tell it, and after the loss of all boxes the record that the holder of the weights
//! duty keeps in the platform's store; only if that fails too, a version's time is not known.

use serde::{Deserialize, Serialize};
use sillpin_core::{ModelId, WeightVersion};
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;

/// Once a version has been named for so long, versions named before it are forgotten: it alone shows that whatever is older than they are
/// was replaced long ago. Some dozen times any limit on the use of replaced weights, which are seconds.
const MEMORY: Duration = Duration::from_secs(600);

/// Versions of a model that are remembered, so that boxes can tell each other all of them: operators name one within seconds at the most.
const MAX_NAMED: usize = 16;

/// A version that operators named.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Named {
    /// The version.
    pub version: WeightVersion,
    /// When it was named, as far as this box knows; never before it was.
    pub since: Instant,
    /// Whether a box saw it being named. If not, a box found it wanted when it started, or after it had heard nothing for seconds, and it may have been
    /// so for long.
    pub witnessed: bool,
}

impl Named {
    /// What two boxes know of the same version together. A box learns of a version after it was named, so of two times the earlier is
    /// nearer to the truth, whoever knows it.
    fn merged(&self, other: &Named) -> Named {
        Named {
            version: self.version,
            since: self.since.min(other.since),
            witnessed: self.witnessed || other.witnessed,
        }
    }
}

/// Versions of one model's weights that operators named.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wanted {
    /// Rising; never empty.
    named: Vec<Named>,
}

impl Wanted {
    /// One version was named.
    pub fn new(named: Named) -> Self {
        Self { named: vec![named] }
    }

    /// The version that all engines are to serve.
    pub fn newest(&self) -> Named {
        self.named[self.named.len() - 1]
    }

    /// What is known of a version.
    pub fn find(&self, version: WeightVersion) -> Option<&Named> {
        self.named.iter().find(|named| named.version == version)
    }

    /// Whether this says more of a version than is known here.
    pub fn is_news(&self, named: &Named) -> bool {
        let known = self.find(named.version);
        known.is_none_or(|known| known.merged(named) != *known)
    }

    /// Takes note of a version; whether that was news.
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

    /// Versions newer than one that an engine serves: each replaced it.
    pub fn newer(&self, version: WeightVersion) -> impl Iterator<Item = &Named> {
        self.named
            .iter()
            .filter(move |named| named.version > version)
    }

    /// The box was suspended for so long.
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

/// How long ago weights were named, as far as a box knows.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct NamedAge {
    /// The model.
    pub model: ModelId,
    /// The version.
    pub version: WeightVersion,
    /// Milliseconds since then.
    pub age_ms: u64,
    /// Whether a box saw it; if not, it was so at least that long ago.
    pub witnessed: bool,
}

impl NamedAge {
    /// What a reader may take for true. The time on the way is left out, so that the naming is never taken for older than it is, however
    /// often boxes tell each other.
    pub fn named(&self, now: Instant) -> Option<Named> {
        Some(Named {
            version: self.version,
            since: now.checked_sub(Duration::from_millis(self.age_ms))?,
            witnessed: self.witnessed,
        })
    }
}

/// Namings are told for so long: several times any limit on the use of replaced weights. Weights are named rarely, so that boxes mostly tell nothing.
const TELL: Duration = Duration::from_secs(60);

/// What is known of late namings, for boxes that start.
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
