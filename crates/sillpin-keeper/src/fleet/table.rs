//! Boxes, targets and documents out of the items. No I/O: the clock is passed in.

use super::items::{Items, Scope, Stored};
use super::messages::TargetReading;
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

/// Who this keeper is.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Its box.
    pub box_id: BoxId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Where it listens for peers.
    pub peer_addr: SocketAddr,
    /// Its life.
    pub incarnation: Incarnation,
    /// Silence after which a box of this zone is out of use.
    pub dead_after: Duration,
    /// Operators whose bundles are accepted.
    pub signers: Vec<TrustedKey>,
}

/// Targets of other zones that one round of gossip within a zone is about, at the most.
const SLICE_LEN: usize = 96;

/// Failed readings in a row after which a target is out of reach.
const FAILURES_ALLOWED: u32 = 1;

/// All that this keeper knows.
pub struct FleetTable {
    pub(super) me: Identity,
    pub(super) items: Items,
    pub(super) in_force: Option<Arc<InForce>>,
    failures: std::collections::HashMap<TargetId, u32>,
    pub(super) list_heard: Option<Instant>,
    leaving: bool,
    near: HashSet<TargetId>,
    rounds: u64,
}

impl FleetTable {
    /// A table that knows only this keeper.
    pub fn new(me: Identity, now: Instant) -> Self {
        let mut table = Self {
            me,
            items: Items::default(),
            in_force: None,
            failures: Default::default(),
            list_heard: None,
            leaving: false,
            near: HashSet::new(),
            rounds: 0,
        };
        table.beat(now);
        table
    }

    /// The newest change.
    pub fn stamp(&self) -> u64 {
        self.items.stamp()
    }

    /// The bundle in force.
    pub fn in_force(&self) -> Option<&Arc<InForce>> {
        self.in_force.as_ref()
    }

    /// Takes this keeper's next heartbeat.
    pub fn beat(&mut self, now: Instant) {
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

    /// From now on this box says that it leaves.
    pub fn leave(&mut self, now: Instant) {
        self.leaving = true;
        self.beat(now);
    }

    pub(super) fn revision(&self) -> Revision {
        let in_force = self.in_force.as_ref();
        in_force.map_or(Revision(0), |in_force| in_force.revision)
    }

    /// Takes items of a peer. A heartbeat of this box that is ahead of ours is from an earlier life
    /// under a later clock: ours then continues above it.
    pub fn apply(&mut self, items: Vec<Item>, now: Instant) -> Vec<SignError> {
        let mut refused = Vec::new();
        for item in items {
            let is_me = item.key == ItemKey::Box(self.me.box_id.clone());
            if let Err(e) = self.apply_one(item, now) {
                refused.push(e);
            }
            if is_me {
                self.beat(now);
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
                    self.forget_unlisted();
                }
                self.list_heard = Some(now);
            }
            (ItemKey::Target(id), ItemValue::Target(_)) if !self.may_exist(&id) => {}
            (key, value) if fits(&key, &value) => {
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

    /// Brings a bundle into force if it verifies and its revision is higher; says whether it did.
    pub fn adopt(&mut self, accepted: Accepted, now: Instant) -> Result<bool, SignError> {
        let has_one = self.in_force.is_some();
        if accepted.revision <= self.revision() || (has_one && is_off(Mechanism::Adopt)) {
            return Ok(false);
        }
        let bundle: Bundle = accepted.bundle.verify(&self.me.signers)?;
        let revision = accepted.revision;
        let value = ItemValue::Bundle(Box::new(accepted));
        self.put(ItemKey::Bundle, ItemVersion(revision.0), value, now);
        self.in_force = Some(Arc::new(InForce { revision, bundle }));
        self.drop_old_stops();
        self.beat(now);
        Ok(true)
    }

    fn drop_old_stops(&mut self) {
        let current = self.revision();
        let old = |stored: &Stored| match &stored.value {
            ItemValue::StoppedArm(stop) => stop.revision < current,
            _ => false,
        };
        let keys: Vec<ItemKey> = self
            .items
            .iter()
            .filter(|(_, stored)| old(stored))
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.items.remove(&key);
        }
    }

    /// Takes the box list as read from the platform. One that was asked for before a peer told a change may be older than that,
    /// however late it came; the next reading decides.
    pub fn read_box_list(&mut self, list: BoxList, asked: Instant, now: Instant) {
        let known = self.items.get(&ItemKey::BoxList);
        if known.is_some_and(|known| known.changed > asked) {
            return;
        }
        self.list_heard = Some(now);
        if self.box_list() == Some(&list) {
            return;
        }
        let version = self.items.next_version(&ItemKey::BoxList, 0);
        self.put(ItemKey::BoxList, version, ItemValue::BoxList(list), now);
        self.forget_unlisted();
    }

    /// Whether the list has a target, or there is no list yet. A state that a slower peer still
    /// spreads after its target has gone is not taken in again.
    fn may_exist(&self, id: &TargetId) -> bool {
        let Some(list) = self.box_list() else {
            return true;
        };
        list.targets.iter().any(|t| t.id == *id)
    }

    fn forget_unlisted(&mut self) {
        let Some(list) = self.box_list() else { return };
        let near = list.targets.iter().filter(|t| t.zone == self.me.zone);
        let near: HashSet<TargetId> = near.map(|t| t.id.clone()).collect();
        let listed = |key: &ItemKey| match key {
            ItemKey::Target(id) => list.targets.iter().any(|t| t.id == *id),
            _ => true,
        };
        let unlisted = self.items.iter().filter(|(key, _)| !listed(key));
        let unlisted: Vec<ItemKey> = unlisted.map(|(key, _)| key.clone()).collect();
        for key in unlisted {
            self.items.remove(&key);
        }
        self.near = near;
    }

    /// Takes the organisations as read from the platform at `version`.
    pub fn read_organisations(
        &mut self,
        list: Vec<Organisation>,
        version: ItemVersion,
        now: Instant,
    ) {
        let value = ItemValue::Organisations(list);
        self.put(ItemKey::Organisations, version, value, now);
    }

    /// Takes one reading of a target.
    pub fn read_target(
        &mut self,
        id: TargetId,
        reading: TargetReading,
        wall_ms: u64,
        now: Instant,
    ) {
        let before = self.target_state(&id).cloned();
        let failures = self.failures.entry(id.clone()).or_default();
        let state = match reading {
            TargetReading::Load(load) => {
                *failures = 0;
                TargetState {
                    load: Some(load),
                    reachable: true,
                }
            }
            TargetReading::Failed => {
                *failures += 1;
                let reachable = *failures <= FAILURES_ALLOWED;
                let load = before.as_ref().and_then(|state| state.load.clone());
                TargetState { load, reachable }
            }
        };
        if before.is_some_and(|before| same_load(&before, &state)) {
            return;
        }
        let key = ItemKey::Target(id);
        let version = self.items.next_version(&key, wall_ms);
        self.put(key, version, ItemValue::Target(state), now);
    }

    /// Stops an arm of the bundle in force in this zone; says whether it was running.
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

    /// What a peer of `peer_zone` is to compare with. Within the zone each round is about another
    /// part of the foreign targets, so that the digest stays short however many there are.
    pub fn digest(&mut self, peer_zone: &ZoneId) -> Digest {
        let same_zone = *peer_zone == self.me.zone;
        let foreign = if same_zone {
            self.next_slice()
        } else {
            TargetPartition::WHOLE
        };
        let scope = Scope {
            same_zone,
            foreign,
            near: &self.near,
        };
        self.items.digest(&self.me.zone, &scope)
    }

    fn next_slice(&mut self) -> TargetPartition {
        let targets = self.box_list().map_or(0, |list| list.targets.len());
        let foreign = targets.saturating_sub(self.near.len());
        let count = foreign.div_ceil(SLICE_LEN).max(1) as u64;
        self.rounds += 1;
        TargetPartition {
            index: self.rounds % count,
            count,
        }
    }

    /// The answer to a peer's digest.
    pub fn exchange(&self, digest: &Digest) -> Exchange {
        let scope = Scope {
            same_zone: digest.zone.as_ref() == Some(&self.me.zone),
            foreign: digest.foreign,
            near: &self.near,
        };
        self.items.exchange(&scope, digest)
    }

    /// The items that a peer asked for.
    pub fn wanted(&self, hashes: &[u64]) -> Vec<Item> {
        self.items.wanted(hashes)
    }
}

/// Whether a value is of its key's kind.
fn fits(key: &ItemKey, value: &ItemValue) -> bool {
    matches!(
        (key, value),
        (ItemKey::Box(_), ItemValue::Box(_))
            | (ItemKey::Target(_), ItemValue::Target(_))
            | (ItemKey::Organisations, ItemValue::Organisations(_))
            | (ItemKey::StoppedArm(..), ItemValue::StoppedArm(_))
    )
}

/// Whether two states say the same apart from the report's number.
fn same_load(a: &TargetState, b: &TargetState) -> bool {
    let without_sequence = |state: &TargetState| {
        let load = state.load.clone();
        load.map(|load| LoadReport {
            sequence: 0,
            ..load
        })
    };
    a.reachable == b.reachable && without_sequence(a) == without_sequence(b)
}
