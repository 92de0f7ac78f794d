//! Retirement of parts that were made under replaced weights.
//!
//! While engines change to new weights, the stores hold parts of both versions and may have room for one. So
//! parts of the old version are retired as the stores fill up, in step with the engines at most: when a share
//! of the engines serves newer weights, up to the same share of the parts, by their hash, is neither fetched
//! nor saved any more, and the holder of the fleet's duty may free them. What no engine serves is retired
//! whole.
//!
//! A part is never freed under a reader. Each box tells in its digests which share it has retired, and never goes back
//! within its life; a box that starts anew takes over what the others tell. A box that was not heard may at worst use
//! what it knew when it was last in touch, because a box out of touch fetches nothing, unless all boxes are, and then
//! nobody frees. Fetches are thrown away after a known time.

use super::homes::{hash_pair, unit};
use super::salt::SaltParts;
use crate::beliefs::View;
use crate::beliefs::fleet::served;
use crate::control::PartKey;
use serde::{Deserialize, Serialize};
use sillpin_core::{BoxId, ModelId, WeightVersion};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

/// A box that has not heard of the targets for this long is out of touch. It reads the store every 0.9 to
/// 1.8 s.
const TOUCH: Duration = Duration::from_millis(2_500);

/// Added to [`TOUCH`] for the way of news and clocks of different speed.
const TOUCH_MARGIN: Duration = Duration::from_millis(500);

/// A box that was not heard for this long may have changed its mind: five rounds of news.
const WORD_TIME: Duration = Duration::from_millis(2_000);

/// A box whose last word from the store is older than this does not hold the fleet's duty.
const STORE_SILENCE: Duration = Duration::from_millis(2_200);

/// A share counts for a new box, which read the store when it started, after this time.
const NEW_BOX: Duration = Duration::from_millis(1_000);

/// Parts of replaced weights are retired from this fullness of a store on, while engines still use them.
const RETIRE_FROM: f64 = 0.70;

/// At this fullness they are retired in step with the engines. New parts are no longer saved at 0.975.
const RETIRE_ALL: f64 = 0.92;

/// No fetch goes on for longer, whatever the aim of its request. A part of replaced weights is freed only when the last
/// fetch of it that may have begun is over, so a longer time keeps room from new parts.
pub const MAX_FETCH_TIME: Duration = Duration::from_millis(2_000);

/// A version of a model's weights.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Weights {
    /// The model.
    pub model: ModelId,
    /// The version.
    pub version: WeightVersion,
}

/// How much of a version's parts is retired.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Retired {
    /// The version.
    pub weights: Weights,
    /// Share of its parts, by hash.
    pub share: f64,
}

/// Shares by version.
type Shares = BTreeMap<Weights, f64>;

#[derive(Debug)]
struct Sample {
    at: Instant,
    shares: Shares,
}

#[derive(Debug)]
struct Heard {
    at: Instant,
    shares: Shares,
    store_silence: Duration,
}

impl Heard {
    /// Whether the box may still use what it has not retired: it was heard of late, and said that it was in touch.
    fn is_binding(&self, now: Instant) -> bool {
        now - self.at < WORD_TIME && self.store_silence < TOUCH
    }
}

/// What this box has retired, and what it knows of the others.
#[derive(Debug, Default)]
pub struct Retirements {
    applied: Shares,
    history: VecDeque<Sample>,
    others: HashMap<BoxId, Heard>,
    /// Time asleep that what is known was made older by.
    suspended: Duration,
}

impl Retirements {
    /// Makes what other boxes told older by the time that this one was suspended, which comes to `suspended` in all.
    pub fn wake(&mut self, suspended: Duration) {
        let time = suspended.saturating_sub(self.suspended);
        self.suspended = suspended;
        if !time.is_zero() {
            // What is too old for the clock counts as not heard.
            self.others
                .retain(|_, heard| match heard.at.checked_sub(time) {
                    Some(at) => {
                        heard.at = at;
                        true
                    }
                    None => false,
                });
        }
    }

    /// Retires parts as the fullest store, `fullness` of whose room is used, and the engines' entries demand.
    /// Shares only grow.
    pub fn update(&mut self, view: &View, fullness: f64, now: Instant) {
        let pressure = (fullness - RETIRE_FROM) / (RETIRE_ALL - RETIRE_FROM);
        for (weights, replaced) in replaced_shares(view) {
            let share = match replaced < 1.0 {
                true => replaced.min(pressure),
                false => replaced,
            };
            self.retire(weights, share);
        }
        let shares = self.applied.clone();
        self.history.push_back(Sample { at: now, shares });
        let old = TOUCH + TOUCH_MARGIN + MAX_FETCH_TIME;
        while self.history.get(1).is_some_and(|next| now - next.at > old) {
            self.history.pop_front();
        }
    }

    /// Retires a share of a version's parts, unless more is retired.
    fn retire(&mut self, weights: Weights, share: f64) {
        let applied = self.applied.entry(weights).or_insert(0.0);
        *applied = applied.max(share);
    }

    /// Whether any part of any version is retired.
    pub fn has_any(&self) -> bool {
        self.applied.values().any(|share| *share > 0.0)
    }

    /// What this box tells the others: shares that it applied so long ago that its fetches of these parts are
    /// over.
    pub fn told(&self, now: Instant) -> Vec<Retired> {
        let told = |weights: &Weights| Retired {
            weights: weights.clone(),
            share: self.known_at(weights, now, MAX_FETCH_TIME),
        };
        self.applied.keys().map(told).collect()
    }

    /// What this box has retired. Through hubs all boxes learn it within a second: they hear too few digests to be sure to learn it from
    /// those before parts are freed that nobody was heard to use.
    pub fn applied(&self) -> Vec<Retired> {
        let applied = self.applied.iter().filter(|(_, share)| **share > 0.0);
        let retired = applied.map(|(weights, share)| Retired {
            weights: weights.clone(),
            share: *share,
        });
        retired.collect()
    }

    /// Retires what other boxes have retired.
    pub fn learn(&mut self, applied: &[Retired]) {
        for retired in applied {
            self.retire(retired.weights.clone(), retired.share);
        }
    }

    /// Takes what another box tells: what it has retired, which this box retires too, and since when it has no word from the
    /// store.
    pub fn hear(
        &mut self,
        from: BoxId,
        retired: Vec<Retired>,
        store_silence: Duration,
        now: Instant,
    ) {
        let shares: Shares = retired.into_iter().map(|r| (r.weights, r.share)).collect();
        for (weights, share) in &shares {
            self.retire(weights.clone(), *share);
        }
        let heard = Heard {
            at: now,
            shares,
            store_silence,
        };
        self.others.insert(from, heard);
    }

    /// Whether this box may fetch: it knows what was retired of late, or nobody can free anything because
    /// the store answers no box.
    pub fn may_fetch(&self, view: &View, suspended: Duration, now: Instant) -> bool {
        // What was known before the box was suspended may have been freed since, until its age is reckoned with that time.
        if suspended > view.suspended || suspended > self.suspended {
            return false;
        }
        let confirmed = view.listed.confirmed;
        if confirmed.is_some_and(|at| now - at < TOUCH) {
            return true;
        }
        let is_cut_off_too = |id: &BoxId| {
            self.others.get(id).is_some_and(|heard| {
                now - heard.at < WORD_TIME && heard.store_silence > STORE_SILENCE
            })
        };
        confirmed.is_some() && view.boxes.iter().all(|peer| is_cut_off_too(&peer.id))
    }

    /// Whether this box neither fetches nor saves a part any more.
    pub fn is_retired(&self, salt: &SaltParts, key: &PartKey) -> bool {
        let weights = weights_of(salt);
        let share = self.applied.get(&weights).copied().unwrap_or(0.0);
        place_of(key) < share
    }

    /// Share of a version's parts that no box fetches: told by every box that is in touch, or known for so long that a box
    /// that says nothing has either learned it too or stopped fetching. What a box says counts, however long this one has
    /// known more: one that started anew has not seen how full the stores were before.
    pub fn unused_share(&self, weights: &Weights, view: &View, now: Instant) -> f64 {
        let long_known = self.known_at(weights, now, TOUCH + TOUCH_MARGIN + MAX_FETCH_TIME);
        let told_by = |id: &BoxId| {
            let heard = self.others.get(id).filter(|heard| heard.is_binding(now));
            heard.map_or(long_known, |heard| {
                heard.shares.get(weights).copied().unwrap_or(0.0)
            })
        };
        let told = view.boxes.iter().map(|peer| told_by(&peer.id));
        let known = self.known_at(weights, now, NEW_BOX);
        told.fold(known, f64::min)
    }

    /// The share that was applied here at least `age` ago.
    fn known_at(&self, weights: &Weights, now: Instant, age: Duration) -> f64 {
        let mut old = self.history.iter().filter(|sample| now - sample.at >= age);
        let newest = old.next_back();
        let share = newest.and_then(|sample| sample.shares.get(weights));
        share.copied().unwrap_or(0.0)
    }
}

/// Where a part stands in the order in which its version is retired.
pub fn place_of(key: &PartKey) -> f64 {
    unit(hash_pair("retire", &key.part.0))
}

/// The version that a salt names.
pub fn weights_of(salt: &SaltParts) -> Weights {
    Weights {
        model: salt.model.clone(),
        version: salt.version,
    }
}

/// For each version that engines have left or are leaving: the share of the model's engines that serve
/// newer weights, as their entries say.
fn replaced_shares(view: &View) -> Vec<(Weights, f64)> {
    let mut shares = Vec::new();
    for (model, wanted) in view.wanted.iter() {
        let serving: Vec<WeightVersion> = view
            .entries
            .values()
            .filter_map(|entry| served(entry, model))
            .collect();
        if serving.is_empty() {
            continue;
        }
        for version in 1..wanted.newest().version.0 {
            let version = WeightVersion(version);
            let newer = serving.iter().filter(|serves| **serves > version).count();
            let weights = Weights {
                model: model.clone(),
                version,
            };
            shares.push((weights, newer as f64 / serving.len() as f64));
        }
    }
    shares
}
