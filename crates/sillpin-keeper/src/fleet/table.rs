//! State of boxes, targets and documents, stored as items. No I/O: callers pass the current time.

use super::items::{Items, Scope, Stored};
use super::messages::PollResult;
use crate::view::InForce;
use sillpin_bundle::{Accepted, Bundle, SignError, TrustedKey};
use sillpin_core::switches::{Mechanism, is_off};
use sillpin_core::target::BoxList;
use sillpin_core::{ArmName, BoxId, Incarnation, LoadReport, Revision, TargetId, ZoneId};
use sillpin_policy::guard::Breach;
use sillpin_rpc::gossip::{
    BoxState, Digest, Exchange, Item, ItemKey, ItemValue, ItemVersion, Organisation, StoppedArm,
    TargetPartition, TargetState,
};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Identity of this keeper, and the settings that the table needs.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Id of its box.
    pub box_id: BoxId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Address on which it listens for peers.
    pub peer_addr: SocketAddr,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Time without a heartbeat after which a box of this zone is not in use.
    pub dead_after: Duration,
    /// Public keys of operators whose bundles are accepted.
    pub signers: Vec<TrustedKey>,
}

/// Maximum average number of targets in a partition of the targets of other zones; one gossip round
/// within a zone covers one partition.
const PARTITION_TARGETS: usize = 96;

/// Consecutive failed polls up to which a target still counts as reachable.
const FAILURES_ALLOWED: u32 = 1;

/// This keeper's state of the fleet.
pub struct FleetTable {
    pub(super) me: Identity,
    pub(super) items: Items,
    pub(super) in_force: Option<Arc<InForce>>,
    failures: std::collections::HashMap<TargetId, u32>,
    pub(super) list_received: Option<Instant>,
    leaving: bool,
    local_targets: HashSet<TargetId>,
    rounds: u64,
}

impl FleetTable {
    /// Creates a table that contains only this keeper's heartbeat.
    pub fn new(me: Identity, now: Instant) -> Self {
        let mut table = Self {
            me,
            items: Items::default(),
            in_force: None,
            failures: Default::default(),
            list_received: None,
            leaving: false,
            local_targets: HashSet::new(),
            rounds: 0,
        };
        table.heartbeat(now);
        table
    }

    /// Returns the stamp of the latest change.
    pub fn stamp(&self) -> u64 {
        self.items.stamp()
    }

    /// Returns the bundle in force.
    pub fn in_force(&self) -> Option<&Arc<InForce>> {
        self.in_force.as_ref()
    }

    /// Writes this keeper's next heartbeat.
    pub fn heartbeat(&mut self, now: Instant) {
        let key = ItemKey::Box(self.me.box_id.clone());
        let version = self.items.next_version(&key, self.me.incarnation.0);
        let state = BoxState {
            zone: self.me.zone.clone(),
            peer_addr: self.me.peer_addr,
            incarnation: self.me.incarnation,
            revision: self.revision(),
            leaving: self.leaving,
        };
        self.put(key, version, ItemValue::Box(state), now);
    }

    /// Marks this box as leaving in this and all later heartbeats.
    pub fn set_leaving(&mut self, now: Instant) {
        self.leaving = true;
        self.heartbeat(now);
    }

    pub(super) fn revision(&self) -> Revision {
        let in_force = self.in_force.as_ref();
        in_force.map_or(Revision(0), |in_force| in_force.revision)
    }

    /// Applies items received from a peer, and returns the errors of refused bundles. A heartbeat of this
    /// box with a higher version than ours is from an earlier incarnation whose clock was ahead: ours
    /// then continues above it.
    pub fn apply(&mut self, items: Vec<Item>, now: Instant) -> Vec<SignError> {
        let mut refused = Vec::new();
        for item in items {
            let is_own_heartbeat = item.key == ItemKey::Box(self.me.box_id.clone());
            if let Err(e) = self.apply_one(item, now) {
                refused.push(e);
            }
            if is_own_heartbeat {
                self.heartbeat(now);
            }
        }
        refused
    }

    fn apply_one(&mut self, item: Item, now: Instant) -> Result<(), SignError> {
        match (item.key, item.value) {
            (ItemKey::Bundle, ItemValue::Bundle(accepted)) => {
                self.adopt(*accepted, now)?;
            }
            (ItemKey::BoxList, ItemValue::BoxList(list)) => {
                let value = ItemValue::BoxList(list);
                if self.put(ItemKey::BoxList, item.version, value, now) {
                    self.remove_unlisted();
                }
                self.list_received = Some(now);
            }
            (ItemKey::Target(id), ItemValue::Target(_)) if !self.may_be_listed(&id) => {}
            (key, value) if kinds_match(&key, &value) => {
                self.put(key, item.version, value, now);
            }
            _ => {}
        }
        Ok(())
    }

    fn put(&mut self, key: ItemKey, version: ItemVersion, value: ItemValue, now: Instant) -> bool {
        self.items.put(
            Item {
                key,
                version,
                value,
            },
            now,
        )
    }

    /// Brings a bundle into force if its revision is higher than the current one. Returns whether it did,
    /// or an error if the bundle does not verify.
    pub fn adopt(&mut self, accepted: Accepted, now: Instant) -> Result<bool, SignError> {
        let has_bundle = self.in_force.is_some();
        if accepted.revision <= self.revision() || (has_bundle && is_off(Mechanism::Adopt)) {
            return Ok(false);
        }
        let bundle: Bundle = accepted.bundle.verify(&self.me.signers)?;
        let revision = accepted.revision;
        let value = ItemValue::Bundle(Box::new(accepted));
        self.put(ItemKey::Bundle, ItemVersion(revision.0), value, now);
        self.in_force = Some(Arc::new(InForce { revision, bundle }));
        self.remove_outdated_stops();
        self.heartbeat(now);
        Ok(true)
    }

    fn remove_outdated_stops(&mut self) {
        let current = self.revision();
        let is_outdated = |stored: &Stored| match &stored.value {
            ItemValue::StoppedArm(stop) => stop.revision < current,
            _ => false,
        };
        let keys: Vec<ItemKey> = self
            .items
            .iter()
            .filter(|(_, stored)| is_outdated(stored))
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.items.remove(&key);
        }
    }

    /// Applies the box list read from the platform. A list that was requested before the latest change
    /// arrived from a peer may be older than that change, however late the response came: it is
    /// ignored, and the next read decides.
    pub fn apply_box_list(&mut self, list: BoxList, requested_at: Instant, now: Instant) {
        let current = self.items.get(&ItemKey::BoxList);
        if current.is_some_and(|current| current.changed > requested_at) {
            return;
        }
        self.list_received = Some(now);
        if self.box_list() == Some(&list) {
            return;
        }
        let version = self.items.next_version(&ItemKey::BoxList, 0);
        self.put(ItemKey::BoxList, version, ItemValue::BoxList(list), now);
        self.remove_unlisted();
    }

    /// Returns whether the box list contains a target, or there is no list yet. The state of a removed
    /// target that an outdated peer still sends is thus not accepted again.
    fn may_be_listed(&self, id: &TargetId) -> bool {
        let Some(list) = self.box_list() else {
            return true;
        };
        list.targets.iter().any(|t| t.id == *id)
    }

    fn remove_unlisted(&mut self) {
        let Some(list) = self.box_list() else { return };
        let local_targets = list.targets.iter().filter(|t| t.zone == self.me.zone);
        let local_targets: HashSet<TargetId> = local_targets.map(|t| t.id.clone()).collect();
        let listed = |key: &ItemKey| match key {
            ItemKey::Target(id) => list.targets.iter().any(|t| t.id == *id),
            _ => true,
        };
        let unlisted = self.items.iter().filter(|(key, _)| !listed(key));
        let unlisted: Vec<ItemKey> = unlisted.map(|(key, _)| key.clone()).collect();
        for key in unlisted {
            self.items.remove(&key);
        }
        self.local_targets = local_targets;
    }

    /// Applies the organisations read from the platform at `version`.
    pub fn apply_organisations(
        &mut self,
        list: Vec<Organisation>,
        version: ItemVersion,
        now: Instant,
    ) {
        let value = ItemValue::Organisations(list);
        self.put(ItemKey::Organisations, version, value, now);
    }

    /// Applies the result of polling a target.
    pub fn apply_poll(
        &mut self,
        id: TargetId,
        result: PollResult,
        unix_time_ms: u64,
        now: Instant,
    ) {
        let before = self.target_state(&id).cloned();
        let failures = self.failures.entry(id.clone()).or_default();
        let state = match result {
            PollResult::Load(load) => {
                *failures = 0;
                TargetState {
                    load: Some(load),
                    reachable: true,
                }
            }
            PollResult::Failed => {
                *failures += 1;
                let reachable = *failures <= FAILURES_ALLOWED;
                let load = before.as_ref().and_then(|state| state.load.clone());
                TargetState { load, reachable }
            }
        };
        if before.is_some_and(|before| equal_except_sequence(&before, &state)) {
            return;
        }
        let key = ItemKey::Target(id);
        let version = self.items.next_version(&key, unix_time_ms);
        self.put(key, version, ItemValue::Target(state), now);
    }

    /// Stops an arm of the bundle in force in this zone. Returns whether this stopped it.
    pub fn stop_arm(
        &mut self,
        revision: Revision,
        arm: ArmName,
        breach: Breach,
        now: Instant,
    ) -> bool {
        if revision != self.revision() {
            return false;
        }
        let key = ItemKey::StoppedArm(self.me.zone.clone(), arm);
        let value = ItemValue::StoppedArm(StoppedArm { revision, breach });
        self.put(key, ItemVersion(revision.0), value, now)
    }

    /// Returns the digest to send to a peer of `peer_zone`. Within the zone, each round covers another
    /// partition of the targets of other zones, so that the digest stays short however many there are.
    pub fn digest(&mut self, peer_zone: &ZoneId) -> Digest {
        let same_zone = *peer_zone == self.me.zone;
        let foreign = if same_zone {
            self.next_partition()
        } else {
            TargetPartition::WHOLE
        };
        let scope = Scope {
            same_zone,
            foreign,
            local_targets: &self.local_targets,
        };
        self.items.digest(&self.me.zone, &scope)
    }

    fn next_partition(&mut self) -> TargetPartition {
        let targets = self.box_list().map_or(0, |list| list.targets.len());
        let foreign = targets.saturating_sub(self.local_targets.len());
        let count = foreign.div_ceil(PARTITION_TARGETS).max(1) as u64;
        self.rounds += 1;
        TargetPartition {
            index: self.rounds % count,
            count,
        }
    }

    /// Returns the reply to a peer's digest.
    pub fn exchange(&self, digest: &Digest) -> Exchange {
        let scope = Scope {
            same_zone: digest.zone.as_ref() == Some(&self.me.zone),
            foreign: digest.foreign,
            local_targets: &self.local_targets,
        };
        self.items.exchange(&scope, digest)
    }

    /// Returns the items that a peer requested by the hashes of their keys.
    pub fn items_by_hash(&self, hashes: &[u64]) -> Vec<Item> {
        self.items.by_hashes(hashes)
    }
}

/// Returns whether a value has the kind of its key. Bundles and box lists are handled separately.
fn kinds_match(key: &ItemKey, value: &ItemValue) -> bool {
    matches!(
        (key, value),
        (ItemKey::Box(_), ItemValue::Box(_))
            | (ItemKey::Target(_), ItemValue::Target(_))
            | (ItemKey::Organisations, ItemValue::Organisations(_))
            | (ItemKey::StoppedArm(..), ItemValue::StoppedArm(_))
    )
}

/// Returns whether two states are equal apart from the sequence number of the load report.
fn equal_except_sequence(a: &TargetState, b: &TargetState) -> bool {
    let without_sequence = |state: &TargetState| {
        let load = state.load.clone();
        load.map(|load| LoadReport {
            sequence: 0,
            ..load
        })
    };
    a.reachable == b.reachable && without_sequence(a) == without_sequence(b)
}
