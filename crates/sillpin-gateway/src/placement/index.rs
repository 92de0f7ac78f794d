//! Index of targets by pool and zone, built when the targets change rather than for each request.

use super::work::{IncarnationHash, TargetHash};
use crate::cache_stores::homes::hash_pair;
use crate::control::{Presence, TargetEntry};
use crate::fleet_state::fleet::served;
use sillpin_core::{ModelId, PoolId, TargetId, WeightVersion, ZoneId};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// A target that takes requests.
#[derive(Debug)]
pub struct IndexedTarget {
    /// Entry of the target.
    pub entry: Arc<TargetEntry>,
    /// Hash of the target's id.
    pub hash: TargetHash,
    /// Hash of the target's current incarnation.
    pub incarnation: IncarnationHash,
    /// Hash of the target's id for ranking homes.
    id_hash: u64,
}

impl IndexedTarget {
    /// Returns the target's rank for a key; the target with the highest rank is the first home. The
    /// rank is the same at all boxes.
    pub fn home_rank(&self, key: u64) -> u64 {
        finalize(self.id_hash ^ key)
    }
}

/// Mixes all bits of a number (the finalizer of splitmix64).
fn finalize(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Weights versions of one model, with the number of targets that serve each.
type Serving = BTreeMap<WeightVersion, usize>;

/// Targets of one pool that take requests.
#[derive(Debug, Default)]
pub struct PoolTargets {
    /// All targets, grouped by zone.
    pub all: Vec<IndexedTarget>,
    /// Zones that have targets, sorted.
    pub zone_names: Vec<ZoneId>,
    zones: HashMap<ZoneId, std::ops::Range<usize>>,
    serving: HashMap<ModelId, Serving>,
}

impl PoolTargets {
    /// Returns the targets of a zone.
    pub fn of_zone(&self, zone: &ZoneId) -> &[IndexedTarget] {
        let range = self.zones.get(zone).cloned();
        range.map_or(&[], |range| &self.all[range])
    }

    /// Returns the targets of all other zones.
    pub fn of_other_zones(&self, zone: &ZoneId) -> impl Iterator<Item = &IndexedTarget> {
        let own = self.zones.get(zone).cloned().unwrap_or(0..0);
        self.all[..own.start].iter().chain(&self.all[own.end..])
    }

    /// Returns the weights versions of a model that the targets serve, with the number of targets.
    pub fn serving(&self, model: &ModelId) -> Option<&Serving> {
        self.serving.get(model)
    }
}

/// Index of the targets that take requests, by pool.
#[derive(Debug, Default)]
pub struct TargetIndex {
    pools: HashMap<PoolId, PoolTargets>,
}

impl TargetIndex {
    /// Builds the index of all targets that are ready.
    pub fn new(targets: &HashMap<TargetId, Arc<TargetEntry>>) -> Self {
        Self::of(targets, |_| true)
    }

    /// Builds the index of the ready targets that are `included`. All choices of targets use an
    /// index, so no request of any kind is sent to a target that is not in one.
    pub fn of(
        targets: &HashMap<TargetId, Arc<TargetEntry>>,
        included: impl Fn(&TargetEntry) -> bool,
    ) -> Self {
        let mut pools: HashMap<PoolId, PoolTargets> = HashMap::new();
        let mut ready: Vec<&Arc<TargetEntry>> = targets
            .values()
            .filter(|target| target.presence == Presence::Ready)
            .filter(|target| included(target))
            .collect();
        ready.sort_by(|a, b| (&a.zone, &a.id).cmp(&(&b.zone, &b.id)));
        for entry in ready {
            let pool = pools.entry(entry.pool.clone()).or_default();
            let index = pool.all.len();
            if pool.zone_names.last() != Some(&entry.zone) {
                pool.zone_names.push(entry.zone.clone());
            }
            let zone = pool.zones.entry(entry.zone.clone());
            zone.or_insert(index..index).end = index + 1;
            for served_model in &entry.served {
                let model = &served_model.model;
                if let Some(version) = served(entry, model) {
                    let serving = pool.serving.entry(model.clone()).or_default();
                    *serving.entry(version).or_default() += 1;
                }
            }
            pool.all.push(IndexedTarget {
                hash: TargetHash::of(&entry.id),
                incarnation: IncarnationHash::of(entry),
                id_hash: hash_pair(entry.id.as_str(), "home"),
                entry: entry.clone(),
            });
        }
        Self { pools }
    }

    /// Returns the targets of a pool, if it has any.
    pub fn pool(&self, pool: &PoolId) -> Option<&PoolTargets> {
        self.pools.get(pool)
    }
}
