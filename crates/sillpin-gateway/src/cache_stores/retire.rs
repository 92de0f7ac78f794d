//! Retirement of parts that were made under replaced weights.
//!
//! While engines change to new weights, the cache stores hold parts of both versions and may have capacity for one only. Parts of
//! the old version are therefore retired as the stores fill up, but no faster than the engines change: when a share of the engines
//! serves newer weights, up to the same share of the parts, by hash, is no longer fetched or saved, and the leader may free them.
//! Parts of a version that no engine serves are all retired.
//!
//! A part is never freed while it is being fetched. Each box reports in its digests which share it has retired, and never
//! lowers it while it runs; a box that restarts takes the shares over from the others. A box from which no digest arrives
//! uses at most the parts that were in use at its last contact with the platform store, because a box without contact fetches
//! nothing, unless no box has contact, and then nothing is freed. Fetches are aborted after a known time.

use super::homes::{hash_pair, to_unit_interval};
use super::retired_shares::RetiredShares;
use super::salt::SaltParts;
use crate::control::PartKey;
use crate::fleet_state::View;
use crate::fleet_state::fleet::served;
use serde::{Deserialize, Serialize};
use sillpin_core::bounds;
use sillpin_core::{BoxId, ModelId, WeightVersion};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

/// A box that has not read the list of targets for this long counts as out of contact with the platform store. It reads that
/// store every 0.9 to 1.8 s.
const CONTACT_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Added to [`CONTACT_TIMEOUT`] for the delay of updates and for clocks of different speed.
const CONTACT_MARGIN: Duration = Duration::from_millis(500);

/// Time after which the last digest of a box no longer counts: five gossip rounds.
const PEER_TIMEOUT: Duration = Duration::from_millis(2_000);

/// A box whose last answer from the platform store is older than this is not the leader.
const STORE_TIMEOUT: Duration = Duration::from_millis(2_200);

/// Time after which a share also binds a box that has just started, since that box reads the store at its start.
const NEW_BOX_DELAY: Duration = Duration::from_millis(1_000);

/// Used share of a store from which parts of replaced weights that engines still serve are retired.
const RETIRE_FROM: f64 = 0.70;

/// Used share at which the retired share reaches the share of engines that serve newer weights. New parts are no longer saved
/// at 0.975.
const RETIRE_ALL: f64 = 0.92;

/// Maximum duration of a fetch, whatever the latency objective of its request. A part of replaced weights is freed only when the
/// last fetch of it that may have begun is over, so a longer time keeps capacity from new parts.
pub const MAX_FETCH_TIME: Duration = Duration::from_millis(2_000);

/// A version of a model's weights.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Weights {
    /// The model.
    pub model: ModelId,
    /// The version.
    pub version: WeightVersion,
}

/// Share of the parts of a version, and of those before it, that is retired.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Retired {
    /// The newest of the versions.
    pub weights: Weights,
    /// The share of their parts, by hash.
    #[serde(deserialize_with = "bounds::de::share")]
    pub share: f64,
}

/// Shares that were in force on this box at a time.
#[derive(Debug)]
struct Sample {
    at: Instant,
    shares: RetiredShares,
}

/// Content of the last digest of another box.
#[derive(Debug)]
struct PeerReport {
    at: Instant,
    shares: RetiredShares,
    store_contact_age: Duration,
}

impl PeerReport {
    /// Returns whether the box may still use what it has not retired: its digest is recent and reported contact with the
    /// platform store.
    fn is_current(&self, now: Instant) -> bool {
        now - self.at < PEER_TIMEOUT && self.store_contact_age < CONTACT_TIMEOUT
    }
}

/// Shares that this box has retired, and those that other boxes reported.
#[derive(Debug, Default)]
pub struct Retirements {
    applied: RetiredShares,
    history: VecDeque<Sample>,
    others: HashMap<BoxId, PeerReport>,
    /// Total suspended time that the times in `others` are adjusted for.
    suspended: Duration,
}

impl Retirements {
    /// Ages the reports of other boxes by the time that this box was suspended since the last call; `suspended` is the total.
    pub fn add_suspended_time(&mut self, suspended: Duration) {
        let time = suspended.saturating_sub(self.suspended);
        self.suspended = suspended;
        if !time.is_zero() {
            // A report too old for the clock to represent is dropped.
            self.others
                .retain(|_, report| match report.at.checked_sub(time) {
                    Some(at) => {
                        report.at = at;
                        true
                    }
                    None => false,
                });
        }
    }

    /// Retires parts according to `fullness`, the used share of the fullest store, and to the weights that engines serve.
    /// Shares only grow.
    pub fn update(&mut self, view: &View, fullness: f64, now: Instant) {
        let pressure = (fullness - RETIRE_FROM) / (RETIRE_ALL - RETIRE_FROM);
        for (weights, replaced) in replaced_shares(view) {
            let share = match replaced < 1.0 {
                true => replaced.min(pressure),
                false => replaced,
            };
            self.applied.retire(&weights, share);
        }
        let shares = self.applied.clone();
        self.history.push_back(Sample { at: now, shares });
        let old = CONTACT_TIMEOUT + CONTACT_MARGIN + MAX_FETCH_TIME;
        while self.history.get(1).is_some_and(|next| now - next.at > old) {
            self.history.pop_front();
        }
    }

    /// Returns whether any part of any version is retired.
    pub fn has_any(&self) -> bool {
        !self.applied.is_empty()
    }

    /// Returns the shares that this box reports to others: those applied so long ago that its fetches of these parts
    /// are over.
    pub fn updates_to_send(&self, now: Instant) -> Vec<Retired> {
        let settled = self.in_force(now, MAX_FETCH_TIME);
        settled.map_or_else(Vec::new, RetiredShares::to_send)
    }

    /// Returns the shares that this box has retired. Hubs deliver them to all boxes within a second: a box receives too few
    /// digests to be sure to get them in time, before parts are freed that no digest reported as used.
    pub fn applied(&self) -> Vec<Retired> {
        self.applied.to_send()
    }

    /// Retires the shares that other boxes have retired.
    pub fn apply_shares(&mut self, applied: &[Retired]) {
        for retired in applied {
            self.applied.retire(&retired.weights, retired.share);
        }
    }

    /// Records another box's digest: the shares that it has retired, which this box retires too, and the time since its last
    /// answer from the platform store.
    pub fn apply_update(
        &mut self,
        from: BoxId,
        retired: Vec<Retired>,
        store_contact_age: Duration,
        now: Instant,
    ) {
        self.apply_shares(&retired);
        let report = PeerReport {
            at: now,
            shares: retired.iter().collect(),
            store_contact_age,
        };
        self.others.insert(from, report);
    }

    /// Returns whether this box may fetch: it knows what was retired recently, or nothing can be freed because
    /// the platform store answers no box.
    pub fn may_fetch(&self, view: &View, suspended: Duration, now: Instant) -> bool {
        // Parts known before the box was suspended may have been freed since, until all ages include the suspended time.
        if suspended > view.suspended || suspended > self.suspended {
            return false;
        }
        let confirmed = view.targets_sync.confirmed;
        if confirmed.is_some_and(|at| now - at < CONTACT_TIMEOUT) {
            return true;
        }
        let is_out_of_contact = |id: &BoxId| {
            self.others.get(id).is_some_and(|report| {
                now - report.at < PEER_TIMEOUT && report.store_contact_age > STORE_TIMEOUT
            })
        };
        confirmed.is_some() && view.boxes.iter().all(|peer| is_out_of_contact(&peer.id))
    }

    /// Returns whether this box no longer fetches or saves a part.
    pub fn is_retired(&self, salt: &SaltParts, key: &PartKey) -> bool {
        retirement_rank(key) < self.applied.of(&salt_weights(salt))
    }

    /// Returns the share of a version's parts that no box fetches: reported by every box that is in contact, or known for so
    /// long that a box without a recent report has either received it too or stopped fetching. A box's report counts even if
    /// this box has known a larger share for long: a box that restarted has no record of how full the stores were before.
    pub fn unused_share(&self, weights: &Weights, view: &View, now: Instant) -> f64 {
        let long_in_force = self.share_in_force(
            weights,
            now,
            CONTACT_TIMEOUT + CONTACT_MARGIN + MAX_FETCH_TIME,
        );
        let reported_by = |id: &BoxId| {
            let report = self.others.get(id).filter(|report| report.is_current(now));
            report.map_or(long_in_force, |report| report.shares.of(weights))
        };
        let reported = view.boxes.iter().map(|peer| reported_by(&peer.id));
        let in_force = self.share_in_force(weights, now, NEW_BOX_DELAY);
        reported.fold(in_force, f64::min)
    }

    /// Returns the share of a version's parts that was in force on this box at least `age` ago.
    fn share_in_force(&self, weights: &Weights, now: Instant, age: Duration) -> f64 {
        let in_force = self.in_force(now, age);
        in_force.map_or(0.0, |shares| shares.of(weights))
    }

    /// Returns the shares that were in force on this box at least `age` ago.
    fn in_force(&self, now: Instant, age: Duration) -> Option<&RetiredShares> {
        let mut old = self.history.iter().filter(|sample| now - sample.at >= age);
        old.next_back().map(|sample| &sample.shares)
    }
}

/// Returns a part's rank, in (0, 1), in the order in which the parts of its version are retired.
pub fn retirement_rank(key: &PartKey) -> f64 {
    to_unit_interval(hash_pair("retire", &key.part.0))
}

/// Returns the version that a salt names.
pub fn salt_weights(salt: &SaltParts) -> Weights {
    Weights {
        model: salt.model.clone(),
        version: salt.version,
    }
}

/// Returns the share of each model's engines whose entries list newer weights than a version, for versions older than the
/// desired one: one for each step of that share.
fn replaced_shares(view: &View) -> Vec<(Weights, f64)> {
    let mut shares = Vec::new();
    for (model, desired) in view.desired.iter() {
        let mut serving: Vec<WeightVersion> = view
            .entries
            .values()
            .filter_map(|entry| served(entry, model))
            .collect();
        serving.sort();
        let desired = desired.newest().version;
        for (index, version) in serving.iter().enumerate() {
            let is_first = index == 0 || serving[index - 1] != *version;
            // The versions before the first one are numbered from 1.
            let Some(before) = version.min(&desired).0.checked_sub(1) else {
                continue;
            };
            if !is_first || before == 0 {
                continue;
            }
            let weights = Weights {
                model: model.clone(),
                version: WeightVersion(before),
            };
            let newer = serving.len() - index;
            shares.push((weights, newer as f64 / serving.len() as f64));
        }
    }
    shares
}
