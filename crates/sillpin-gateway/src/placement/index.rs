//! Index of targets by pool and zone, updated when a target changes rather than built for each request.
//!
//! Copies of the index share all zones that have not changed since, so an update costs as much as the changed zone is
//! large, whatever the size of the fleet.

use super::work::{IncarnationHash, RowKind, TargetHash};
use crate::cache_stores::homes::hash_pair;
use crate::control::{Presence, TargetEntry};
use crate::fleet_state::fleet::served;
use sillpin_core::{ModelId, PoolId, TargetId, WeightVersion, ZoneId};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// A target that takes requests.
#[derive(Debug, Clone)]
pub struct IndexedTarget {
    /// Entry of the target.
    pub entry: Arc<TargetEntry>,
    /// Hash of the target's id.
    pub hash: TargetHash,
    /// Hash of the rows about short prompts in flight at the target.
    pub streams: TargetHash,
    /// Hash of the target's current incarnation.
    pub incarnation: IncarnationHash,
    /// Hash of the target's id for ranking homes.
    id_hash: u64,
}

impl IndexedTarget {
    fn new(entry: &Arc<TargetEntry>) -> Self {
        Self {
            hash: TargetHash::of(&entry.id),
            streams: TargetHash::for_rows(entry.id.as_str(), RowKind::Streams),
            incarnation: IncarnationHash::of(entry),
            id_hash: hash_pair(entry.id.as_str(), "home"),
            entry: entry.clone(),
        }
    }

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
#[derive(Debug, Clone, Default)]
pub struct PoolTargets {
    /// Zones that have targets, sorted.
    pub zone_names: Vec<ZoneId>,
    /// Targets of each zone, sorted by id.
    zones: BTreeMap<ZoneId, Arc<Vec<IndexedTarget>>>,
    serving: HashMap<ModelId, Serving>,
}

impl PoolTargets {
    /// Returns all targets, grouped by zone.
    pub fn all(&self) -> impl Iterator<Item = &IndexedTarget> {
        self.zones.values().flat_map(|targets| targets.iter())
    }

    /// Returns the number of targets.
    pub fn len(&self) -> usize {
        self.zones.values().map(|targets| targets.len()).sum()
    }

    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.zones.is_empty()
    }

    /// Returns the targets of a zone.
    pub fn of_zone(&self, zone: &ZoneId) -> &[IndexedTarget] {
        let targets = self.zones.get(zone);
        targets.map_or(&[], |targets| targets.as_slice())
    }

    /// Returns the targets of all other zones.
    pub fn of_other_zones(&self, zone: &ZoneId) -> impl Iterator<Item = &IndexedTarget> {
        let others = self.zones.iter().filter(move |(of, _)| *of != zone);
        others.flat_map(|(_, targets)| targets.iter())
    }

    /// Returns the weights versions of a model that the targets serve, with the number of targets.
    pub fn serving(&self, model: &ModelId) -> Option<&Serving> {
        self.serving.get(model)
    }

    fn insert(&mut self, entry: &Arc<TargetEntry>) {
        let targets = self.zones.entry(entry.zone.clone()).or_default();
        let targets = Arc::make_mut(targets);
        let at = targets.partition_point(|target| target.entry.id < entry.id);
        targets.insert(at, IndexedTarget::new(entry));
        self.count_served(entry, |count| count + 1);
        self.update_zone_names();
    }

    fn remove(&mut self, entry: &TargetEntry) {
        let Some(targets) = self.zones.get_mut(&entry.zone) else {
            return;
        };
        let targets = Arc::make_mut(targets);
        targets.retain(|target| target.entry.id != entry.id);
        if targets.is_empty() {
            self.zones.remove(&entry.zone);
        }
        self.count_served(entry, |count| count - 1);
        self.update_zone_names();
    }

    /// Changes the number of targets that serve what `entry` does.
    fn count_served(&mut self, entry: &TargetEntry, change: impl Fn(usize) -> usize) {
        for served_model in &entry.served {
            let model = &served_model.model;
            let Some(version) = served(entry, model) else {
                continue;
            };
            let serving = self.serving.entry(model.clone()).or_default();
            let count = serving.entry(version).or_default();
            *count = change(*count);
            if *count == 0 {
                serving.remove(&version);
            }
        }
        self.serving.retain(|_, serving| !serving.is_empty());
    }

    fn update_zone_names(&mut self) {
        if !self.zone_names.iter().eq(self.zones.keys()) {
            self.zone_names = self.zones.keys().cloned().collect();
        }
    }
}

/// Index of the targets that take requests, by pool.
#[derive(Debug, Clone, Default)]
pub struct TargetIndex {
    pools: HashMap<PoolId, Arc<PoolTargets>>,
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
        let mut index = Self::default();
        let mut ready: Vec<&Arc<TargetEntry>> = targets
            .values()
            .filter(|target| target.presence == Presence::Ready)
            .filter(|target| included(target))
            .collect();
        // Insertions at the end of a zone's list are cheap.
        ready.sort_by(|a, b| a.id.cmp(&b.id));
        for entry in ready {
            index.pool_mut(&entry.pool).insert(entry);
        }
        index
    }

    /// Replaces a target's entry, `before` if it was listed. A target that is not ready or not `included` is left out.
    pub fn replace(
        &mut self,
        before: Option<&TargetEntry>,
        entry: Option<&Arc<TargetEntry>>,
        included: impl Fn(&TargetEntry) -> bool,
    ) {
        if let Some(before) = before.filter(|before| self.contains(before)) {
            self.pool_mut(&before.pool).remove(before);
            if self.pool_mut(&before.pool).is_empty() {
                self.pools.remove(&before.pool);
            }
        }
        let ready = entry.filter(|entry| entry.presence == Presence::Ready);
        if let Some(entry) = ready.filter(|entry| included(entry)) {
            self.pool_mut(&entry.pool).insert(entry);
        }
    }

    fn contains(&self, entry: &TargetEntry) -> bool {
        let pool = self.pools.get(&entry.pool);
        pool.is_some_and(|pool| {
            let targets = pool.of_zone(&entry.zone);
            let found = targets.binary_search_by(|target| target.entry.id.cmp(&entry.id));
            found.is_ok()
        })
    }

    fn pool_mut(&mut self, pool: &PoolId) -> &mut PoolTargets {
        Arc::make_mut(self.pools.entry(pool.clone()).or_default())
    }

    /// Returns the targets of a pool, if it has any.
    pub fn pool(&self, pool: &PoolId) -> Option<&PoolTargets> {
        self.pools.get(pool).map(Arc::as_ref)
    }
}
