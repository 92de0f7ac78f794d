//! Targets by pool and zone, for decisions: made once when the targets change, not for each request.

use super::work::{LifeHash, TargetHash};
use crate::beliefs::Evacuations;
use crate::beliefs::fleet::served;
use crate::cache_stores::homes::hash_pair;
use crate::control::{Presence, TargetEntry};
use sillpin_core::{ModelId, PoolId, TargetId, WeightVersion, ZoneId};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// A target that takes requests.
#[derive(Debug)]
pub struct Indexed {
    /// Its entry.
    pub entry: Arc<TargetEntry>,
    /// Its short name.
    pub hash: TargetHash,
    /// That of its life.
    pub life: LifeHash,
    /// Hash of its name, for its rank among the homes of prompts.
    seed: u64,
}

impl Indexed {
    /// The target's rank for a key: the largest is its first home. Every box gives the same answer.
    pub fn rank(&self, key: u64) -> u64 {
        mix(self.seed ^ key)
    }
}

/// Spreads all bits of a number over all bits of the result (the finalizer of splitmix64).
fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Versions of one model's weights, and how many targets serve each.
type Serving = BTreeMap<WeightVersion, usize>;

/// Targets of one pool that take requests.
#[derive(Debug, Default)]
pub struct PoolTargets {
    /// All of them, those of a zone next to each other.
    pub all: Vec<Indexed>,
    /// Zones that have any, in order.
    pub zone_names: Vec<ZoneId>,
    zones: HashMap<ZoneId, std::ops::Range<usize>>,
    serving: HashMap<ModelId, Serving>,
}

impl PoolTargets {
    /// Those of a zone.
    pub fn of_zone(&self, zone: &ZoneId) -> &[Indexed] {
        let range = self.zones.get(zone).cloned();
        range.map_or(&[], |range| &self.all[range])
    }

    /// Those of other zones.
    pub fn of_others(&self, zone: &ZoneId) -> impl Iterator<Item = &Indexed> {
        let own = self.zones.get(zone).cloned().unwrap_or(0..0);
        self.all[..own.start].iter().chain(&self.all[own.end..])
    }

    /// Versions of a model's weights that they serve, and how many serve each.
    pub fn serving(&self, model: &ModelId) -> Option<&Serving> {
        self.serving.get(model)
    }
}

/// Targets that take requests, by pool.
#[derive(Debug, Default)]
pub struct TargetIndex {
    pools: HashMap<PoolId, PoolTargets>,
}

impl TargetIndex {
    /// Sorts targets by pool and zone; those that leave are left out.
    pub fn new(targets: &HashMap<TargetId, Arc<TargetEntry>>) -> Self {
        Self::without(targets, &Evacuations::default())
    }

    /// The same without targets of evacuated zones. Whatever chooses a target chooses from here, so no sending of any kind goes to such a zone.
    pub fn without(
        targets: &HashMap<TargetId, Arc<TargetEntry>>,
        evacuations: &Evacuations,
    ) -> Self {
        let mut pools: HashMap<PoolId, PoolTargets> = HashMap::new();
        let mut ready: Vec<&Arc<TargetEntry>> = targets
            .values()
            .filter(|target| target.presence == Presence::Ready)
            .filter(|target| !evacuations.covers(&target.zone))
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
            pool.all.push(Indexed {
                hash: TargetHash::of(&entry.id),
                life: LifeHash::of(entry),
                seed: hash_pair(entry.id.as_str(), "home"),
                entry: entry.clone(),
            });
        }
        Self { pools }
    }

    /// Targets of a pool, if it has any.
    pub fn pool(&self, pool: &PoolId) -> Option<&PoolTargets> {
        self.pools.get(pool)
    }
}
