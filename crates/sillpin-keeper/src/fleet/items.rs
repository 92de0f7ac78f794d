//! Versioned items with their digests.

use sillpin_core::{TargetId, ZoneId};
use sillpin_policy::rendezvous;
use sillpin_rpc::gossip::{
    Digest, Exchange, Item, ItemKey, ItemValue, ItemVersion, TargetPartition,
};
use std::collections::{HashMap, HashSet};
use tokio::time::Instant;

/// An item and when it last changed here.
pub(super) struct Stored {
    pub(super) version: ItemVersion,
    pub(super) value: ItemValue,
    pub(super) changed: Instant,
    pub(super) stamp: u64,
    hash: u64,
}

/// All items.
#[derive(Default)]
pub(super) struct Items {
    by_key: HashMap<ItemKey, Stored>,
    by_hash: HashMap<u64, ItemKey>,
    stamp: u64,
}

/// Which items two keepers compare.
pub(super) struct Scope<'a> {
    /// Whether they are of one zone: heartbeats stay in their zone.
    pub(super) same_zone: bool,
    /// The part of the foreign targets that is compared.
    pub(super) foreign: TargetPartition,
    /// Targets of the own zone, which are always compared.
    pub(super) near: &'a HashSet<TargetId>,
}

impl Scope<'_> {
    fn contains(&self, key: &ItemKey, hash: u64) -> bool {
        match key {
            ItemKey::Box(_) => self.same_zone,
            ItemKey::Target(id) => self.near.contains(id) || self.foreign.contains(hash),
            _ => true,
        }
    }
}

/// Hash of an item's name, the same in every process.
fn hash_of(key: &ItemKey) -> u64 {
    rendezvous::key_of(&format!("{key:?}"))
}

impl Items {
    pub(super) fn get(&self, key: &ItemKey) -> Option<&Stored> {
        self.by_key.get(key)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&ItemKey, &Stored)> {
        self.by_key.iter()
    }

    pub(super) fn stamp(&self) -> u64 {
        self.stamp
    }

    /// The version after the one known, and not below `floor`.
    pub(super) fn next_version(&self, key: &ItemKey, floor: u64) -> ItemVersion {
        let known = self.by_key.get(key).map_or(0, |stored| stored.version.0);
        ItemVersion((known + 1).max(floor))
    }

    /// Takes an item if it is newer; says whether it was.
    pub(super) fn put(&mut self, item: Item, now: Instant) -> bool {
        let known = self.by_key.get(&item.key);
        if known.is_some_and(|stored| stored.version >= item.version) {
            return false;
        }
        self.stamp += 1;
        let hash = known.map_or_else(|| hash_of(&item.key), |stored| stored.hash);
        self.by_hash.entry(hash).or_insert_with(|| item.key.clone());
        let stored = Stored {
            version: item.version,
            value: item.value,
            changed: now,
            stamp: self.stamp,
            hash,
        };
        self.by_key.insert(item.key, stored);
        true
    }

    pub(super) fn remove(&mut self, key: &ItemKey) {
        if let Some(stored) = self.by_key.remove(key) {
            self.by_hash.remove(&stored.hash);
            self.stamp += 1;
        }
    }

    /// Names and versions of the items in `scope`.
    pub(super) fn digest(&self, zone: &ZoneId, scope: &Scope<'_>) -> Digest {
        let known = self
            .by_key
            .iter()
            .filter(|(key, stored)| scope.contains(key, stored.hash));
        let mut versions: Vec<_> = known.map(|(_, s)| (s.hash, s.version)).collect();
        versions.sort_unstable();
        Digest {
            zone: Some(zone.clone()),
            foreign: scope.foreign,
            versions,
        }
    }

    /// What a peer that sent `digest` lacks of the items in `scope`, and what it has newer.
    pub(super) fn exchange(&self, scope: &Scope<'_>, digest: &Digest) -> Exchange {
        let theirs: HashMap<u64, ItemVersion> = digest.versions.iter().copied().collect();
        let mut exchange = Exchange::default();
        let known = self
            .by_key
            .iter()
            .filter(|(key, stored)| scope.contains(key, stored.hash));
        for (key, stored) in known {
            let version = theirs.get(&stored.hash);
            if version.is_none_or(|version| *version < stored.version) {
                exchange.newer.push(item(key, stored));
            }
        }
        for (hash, version) in &digest.versions {
            let ours = self.by_hash.get(hash).and_then(|key| self.by_key.get(key));
            if ours.is_none_or(|stored| stored.version < *version) {
                exchange.wanted.push(*hash);
            }
        }
        exchange
    }

    /// The items with these hashes.
    pub(super) fn wanted(&self, hashes: &[u64]) -> Vec<Item> {
        let keys = hashes.iter().filter_map(|hash| self.by_hash.get(hash));
        let found = keys.filter_map(|key| Some((key, self.by_key.get(key)?)));
        found.map(|(key, stored)| item(key, stored)).collect()
    }
}

fn item(key: &ItemKey, stored: &Stored) -> Item {
    Item {
        key: key.clone(),
        version: stored.version,
        value: stored.value.clone(),
    }
}
