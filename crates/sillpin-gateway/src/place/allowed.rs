//! Which weights a prompt may run on.

use crate::fleet_state::{DesiredVersion, DesiredVersions};
use sillpin_core::WeightVersion;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// Requests stop going to replaced weights this long before they must not begin there any more, if there are newer ones: they may wait at the
/// engine. On days with late beginnings they waited up to 2.9 s there; what waits longer is taken back.
const QUEUE_MARGIN: Duration = Duration::from_millis(2_500);

/// The same if there are none. A prompt that is taken back is lost, one that is refused comes again: of 390 that were taken back, 84 had been sent up to
/// that moment because there was no newer engine, and 4 were served elsewhere.
const LAST_MARGIN: Duration = Duration::from_millis(1_000);

/// Prompts that wait at an engine are taken back this long before they must not begin there any more: this box may have learned late that the weights were
/// replaced, and the engine hears late that they are taken back. Boxes learned of 2,542 namings within 3 ms (99 in 100) to 224 ms.
const BEGIN_MARGIN: Duration = Duration::from_millis(300);

/// Nobody saw these weights being named, so for how long they have been wanted is not known. That this part of the engines serves them, or newer ones, shows
/// that it has been for seconds, and leaves enough engines to do without the others.
const WIDELY_SERVED: f64 = 0.5;

/// Weights that a prompt may run on, and why; for logs as well.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AllowedWeights {
    /// The newest that operators want; zero if none is known to be wanted.
    pub desired: WeightVersion,
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
    pub desired: Option<&'a DesiredVersions>,
    /// Versions that engines serve, and how many of them.
    pub serving: &'a BTreeMap<WeightVersion, usize>,
    /// No request begins on weights that were replaced longer ago.
    pub limit: Duration,
    /// Since when this box has been in touch with the platform's store, if it is.
    pub in_contact: Option<Instant>,
    /// Now.
    pub now: Instant,
}

impl WeightsUse<'_> {
    /// Weights that a prompt may be sent to. Without the store nobody brings engines to new weights, and the old ones go on.
    pub fn allowed(&self) -> AllowedWeights {
        let any = WeightVersion(0);
        let Some(desired) = self.desired else {
            return self.since(any, "none wanted");
        };
        let Some(in_contact) = self.in_contact else {
            return self.since(any, "store silent");
        };
        let by = |version: &WeightVersion, margin| {
            let until = self.usable_until(desired, *version);
            until.is_none_or(|until| self.now + margin < until)
        };
        let served = || self.serving.keys();
        if let Some(oldest) = served().find(|version| by(version, QUEUE_MARGIN)) {
            return self.since(*oldest, "older ones were replaced too long ago");
        }
        if let Some(newest) = served().rfind(|version| by(version, LAST_MARGIN)) {
            return self.since(*newest, "no engine serves newer ones");
        }
        // While the store was away nobody could bring engines to new weights.
        let newest = served().next_back();
        match newest.filter(|_| self.now + LAST_MARGIN < in_contact + self.limit) {
            Some(newest) => self.since(*newest, "the store has just come back"),
            None => self.since(
                desired.newest().version,
                "no engine serves weights that may be used",
            ),
        }
    }

    /// Until when a prompt may begin on weights that it was sent to; `None` if nothing that is known ends their time. The time without the store does not
    /// count: nobody could load newer ones.
    pub fn begin_by(&self, version: WeightVersion) -> Option<Instant> {
        let replaced = self
            .desired?
            .newer(version)
            .map(|newer| newer.since)
            .min()?;
        let counted = replaced.max(self.in_contact?);
        Some(counted + self.limit.saturating_sub(BEGIN_MARGIN))
    }

    /// When the time of weights is over, if newer ones are wanted.
    fn usable_until(&self, desired: &DesiredVersions, version: WeightVersion) -> Option<Instant> {
        let until = |named: &DesiredVersion| match named.witnessed
            || !self.is_widely_served(named.version)
        {
            true => named.since + self.limit,
            false => named.since,
        };
        desired.newer(version).map(until).min()
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
        let newest = self.desired.map(DesiredVersions::newest);
        let age = newest.map(|newest| self.now.saturating_duration_since(newest.since));
        AllowedWeights {
            desired: newest.map_or(WeightVersion(0), |newest| newest.version),
            wanted_for: age.unwrap_or_default(),
            oldest,
            why,
        }
    }
}
