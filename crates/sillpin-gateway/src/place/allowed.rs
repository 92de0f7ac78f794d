//! Which weights a prompt may run on.

use crate::beliefs::{Named, Wanted};
use sillpin_core::WeightVersion;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// Requests stop going to replaced weights this long before they must not begin there any more: they may
/// wait at the engine, and this box may have learned late that the weights were replaced.
const QUEUE_MARGIN: Duration = Duration::from_millis(2_500);

/// Silence of the platform's store after which this box counts as out of touch with it.
const STORE_SILENCE: Duration = Duration::from_secs(3);

/// Nobody saw these weights being named, so for how long they have been wanted is not known. That this part of the engines serves them, or newer ones, shows
/// that it has been for seconds, and leaves enough engines to do without the others.
const WIDELY_SERVED: f64 = 0.5;

/// Weights that a prompt may run on, and why; for logs as well.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AllowedWeights {
    /// The newest that operators want; zero if none is known to be wanted.
    pub wanted: WeightVersion,
    /// How long they have been wanted, as far as this box knows.
    pub wanted_for: Duration,
    /// Engines with older ones are no candidates; zero allows all.
    pub oldest: WeightVersion,
    /// Why it is so.
    pub why: &'static str,
}

/// What the choice of allowed weights depends on.
#[derive(Debug, Clone, Copy)]
pub struct WeightsUse<'a> {
    /// What operators want.
    pub wanted: Option<&'a Wanted>,
    /// Versions that engines serve, and how many of them.
    pub serving: &'a BTreeMap<WeightVersion, usize>,
    /// No request begins on weights that were replaced longer ago.
    pub limit: Duration,
    /// When the platform's store was last known to say what is known here.
    pub confirmed: Option<Instant>,
    /// Now.
    pub now: Instant,
}

impl WeightsUse<'_> {
    /// Weights that a prompt may be sent to. Without the store nobody brings engines to new weights, and the old ones go on.
    pub fn allowed(&self) -> AllowedWeights {
        let any = WeightVersion(0);
        let Some(wanted) = self.wanted else {
            return self.since(any, "none wanted");
        };
        let silent = |at: Instant| self.now.saturating_duration_since(at) >= STORE_SILENCE;
        if self.confirmed.is_none_or(silent) {
            return self.since(any, "store silent");
        }
        let in_time = |version: &&WeightVersion| {
            let until = self.usable_until(wanted, **version);
            until.is_none_or(|until| self.now + QUEUE_MARGIN < until)
        };
        match self.serving.keys().find(in_time) {
            Some(oldest) => self.since(*oldest, "older ones were replaced too long ago"),
            None => self.since(any, "no engine serves newer ones"),
        }
    }

    /// When the time of weights is over, if newer ones are wanted.
    fn usable_until(&self, wanted: &Wanted, version: WeightVersion) -> Option<Instant> {
        let until = |named: &Named| match named.witnessed || !self.is_widely_served(named.version) {
            true => named.since + self.limit,
            false => named.since,
        };
        wanted.newer(version).map(until).min()
    }

    /// Whether many engines serve a version or newer ones.
    fn is_widely_served(&self, version: WeightVersion) -> bool {
        let all: usize = self.serving.values().sum();
        let newer: usize = self
            .serving
            .range(version..)
            .map(|(_, engines)| engines)
            .sum();
        newer as f64 >= all as f64 * WIDELY_SERVED
    }

    fn since(&self, oldest: WeightVersion, why: &'static str) -> AllowedWeights {
        let newest = self.wanted.map(Wanted::newest);
        let age = newest.map(|newest| self.now.saturating_duration_since(newest.since));
        AllowedWeights {
            wanted: newest.map_or(WeightVersion(0), |newest| newest.version),
            wanted_for: age.unwrap_or_default(),
            oldest,
            why,
        }
    }
}
