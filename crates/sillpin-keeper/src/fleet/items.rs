//! Versioned items, and the digests by which keepers compare them.

use sillpin_core::{TargetId, ZoneId};
use sillpin_policy::rendezvous;
use sillpin_rpc::gossip::{
    Digest, Exchange, Item, ItemKey, ItemValue, ItemVersion, TargetPartition,
};
use std::collections::{HashMap, HashSet};
use tokio::time::Instant;

/// An item's version and value, with the time and the stamp of its last change in this keeper. The
/// stamp counts this keeper's changes of all items.
pub(super) struct Stored {
    pub(super) version: ItemVersion,
    pub(super) value: ItemValue,
    pub(super) changed: Instant,
    pub(super) stamp: u64,
    hash: u64,
}

/// All items of this keeper.
#[derive(Default)]
pub(super) struct Items {
    by_key: HashMap<ItemKey, Stored>,
    by_hash: HashMap<u64, ItemKey>,
    stamp: u64,
}

/// The items that two keepers compare.
pub(super) struct Scope<'a> {
    /// Whether the keepers are in the same zone: heartbeats are not sent to other zones.
    pub(super) same_zone: bool,
    /// The partition of the targets of other zones that is compared.
    pub(super) foreign: TargetPartition,
    /// Targets of this zone, which are always compared.
    pub(super) local_targets: &'a HashSet<TargetId>,
}

impl Scope<'_> {
    fn contains(&self, key: &ItemKey, hash: u64) -> bool {
        match key {
            ItemKey::Box(_) => self.same_zone,
            ItemKey::Target(id) => self.local_targets.contains(id) || self.foreign.contains(hash),
            _ => true,
        }
    }
}

/// Returns the hash of an item's key, which is the same in every process: it hashes the `Debug` text.
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

    /// Returns the version after the current one, but at least `floor`.
    pub(super) fn next_version(&self, key: &ItemKey, floor: u64) -> ItemVersion {
        let current = self.by_key.get(key).map_or(0, |stored| stored.version.0);
        ItemVersion((current + 1).max(floor))
    }

    /// Stores an item if its version is higher than the current one. Returns whether it was stored.
    pub(super) fn put(&mut self, item: Item, now: Instant) -> bool {
        let current = self.by_key.get(&item.key);
        if current.is_some_and(|stored| stored.version >= item.version) {
            return false;
        }
        self.stamp += 1;
        let hash = current.map_or_else(|| hash_of(&item.key), |stored| stored.hash);
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

    /// Returns the key hashes and versions of the items in `scope`.
    pub(super) fn digest(&self, zone: &ZoneId, scope: &Scope<'_>) -> Digest {
        let in_scope = self
            .by_key
            .iter()
            .filter(|(key, stored)| scope.contains(key, stored.hash));
        let mut versions: Vec<_> = in_scope.map(|(_, s)| (s.hash, s.version)).collect();
        versions.sort_unstable();
        Digest {
            zone: Some(zone.clone()),
            foreign: scope.foreign,
            versions,
        }
    }

    /// Returns the items in `scope` that the sender of `digest` lacks or holds in an older version, and the
    /// hashes of those that it holds in a newer version.
    pub(super) fn exchange(&self, scope: &Scope<'_>, digest: &Digest) -> Exchange {
        let theirs: HashMap<u64, ItemVersion> = digest.versions.iter().copied().collect();
        let mut exchange = Exchange::default();
        let in_scope = self
            .by_key
            .iter()
            .filter(|(key, stored)| scope.contains(key, stored.hash));
        for (key, stored) in in_scope {
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

    /// Returns the items whose keys have these hashes.
    pub(super) fn by_hashes(&self, hashes: &[u64]) -> Vec<Item> {
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
