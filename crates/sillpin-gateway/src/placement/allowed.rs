//! Decides on which weights versions a prompt may run.

use crate::fleet_state::{DesiredVersion, DesiredVersions};
use sillpin_core::WeightVersion;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// If newer weights are served, requests are sent to replaced weights only until this long before
/// the last moment at which they may start there, since they may wait at the engine, up to 2.9 s
/// when engines start prompts late. Those that wait longer than this are cancelled.
const QUEUE_MARGIN: Duration = Duration::from_millis(2_500);

/// The margin if no newer weights are served. A cancelled prompt is usually lost, while a refused
/// one is sent again by its caller.
const FALLBACK_MARGIN: Duration = Duration::from_millis(1_000);

/// Prompts that wait at an engine are cancelled this long before the last moment at which they may
/// start there: this box may have received the new version late (99 % arrived within 3 ms, the
/// latest after 224 ms), and the cancellation takes time.
const START_MARGIN: Duration = Duration::from_millis(300);

/// If no box observed when operators requested a weights version, its age is unknown. If this
/// share of engines serves it or newer ones, it was requested seconds ago, and enough engines are
/// left without the others.
const WIDELY_SERVED: f64 = 0.5;

/// The weights that a prompt may run on, with the reason for logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AllowedWeights {
    /// Newest version that operators request; zero if none is known.
    pub desired: WeightVersion,
    /// Time since it was requested, as far as this box knows.
    pub wanted_for: Duration,
    /// Engines with older versions are not considered; zero allows all.
    pub oldest: WeightVersion,
    /// Reason for `oldest`.
    pub reason: &'static str,
}

/// The state on which the choice of allowed weights depends.
#[derive(Debug, Clone, Copy)]
pub struct WeightsInputs<'a> {
    /// Versions that operators request.
    pub desired: Option<&'a DesiredVersions>,
    /// Versions that engines serve, with the number of engines.
    pub serving: &'a BTreeMap<WeightVersion, usize>,
    /// Requests do not start on weights that were replaced longer ago than this.
    pub limit: Duration,
    /// Since when this box has been in contact with the platform store; `None` if it is not.
    pub in_contact: Option<Instant>,
    /// Current time.
    pub now: Instant,
}

impl WeightsInputs<'_> {
    /// Returns the weights that a prompt may be sent to. While the store is unreachable no box can
    /// make engines load new weights, so old ones remain allowed.
    pub fn allowed(&self) -> AllowedWeights {
        let all_versions = WeightVersion(0);
        let Some(desired) = self.desired else {
            return self.since(all_versions, "no version was requested");
        };
        let Some(in_contact) = self.in_contact else {
            return self.since(all_versions, "the platform store is unreachable");
        };
        let is_usable = |version: &WeightVersion, margin| {
            let usable_until = self.usable_until(desired, *version);
            usable_until.is_none_or(|usable_until| self.now + margin < usable_until)
        };
        let served_versions = || self.serving.keys();
        if let Some(oldest) = served_versions().find(|version| is_usable(version, QUEUE_MARGIN)) {
            return self.since(*oldest, "older ones were replaced too long ago");
        }
        if let Some(newest) = served_versions().rfind(|version| is_usable(version, FALLBACK_MARGIN))
        {
            return self.since(*newest, "no engine serves newer ones");
        }
        // While the store was unreachable no box could make engines load new weights.
        let newest = served_versions().next_back();
        match newest.filter(|_| self.now + FALLBACK_MARGIN < in_contact + self.limit) {
            Some(newest) => self.since(*newest, "the platform store has just recovered"),
            None => self.since(
                desired.newest().version,
                "no engine serves weights that may be used",
            ),
        }
    }

    /// Returns the last moment at which a prompt may start on the weights that it was sent to;
    /// `None` if there is no known limit. Time without the store does not count, because no newer
    /// weights could be loaded.
    pub fn latest_start(&self, version: WeightVersion) -> Option<Instant> {
        let replaced = self
            .desired?
            .newer(version)
            .map(|newer| newer.since)
            .min()?;
        let counted_since = replaced.max(self.in_contact?);
        Some(counted_since + self.limit.saturating_sub(START_MARGIN))
    }

    /// Returns when a version may no longer be used, if newer ones have been requested.
    fn usable_until(&self, desired: &DesiredVersions, version: WeightVersion) -> Option<Instant> {
        let end_of_use = |desired: &DesiredVersion| match desired.witnessed
            || !self.is_widely_served(desired.version)
        {
            true => desired.since + self.limit,
            false => desired.since,
        };
        desired.newer(version).map(end_of_use).min()
    }

    /// Returns whether many engines serve a version or newer ones.
    fn is_widely_served(&self, version: WeightVersion) -> bool {
        let all: usize = self.serving.values().sum();
        let newer: usize = self
            .serving
            .range(version..)
            .map(|(_, engines)| engines)
            .sum();
        newer as f64 >= all as f64 * WIDELY_SERVED
    }

    fn since(&self, oldest: WeightVersion, reason: &'static str) -> AllowedWeights {
        let newest = self.desired.map(DesiredVersions::newest);
        let age = newest.map(|newest| self.now.saturating_duration_since(newest.since));
        AllowedWeights {
            desired: newest.map_or(WeightVersion(0), |newest| newest.version),
            wanted_for: age.unwrap_or_default(),
            oldest,
            reason,
        }
    }
}
