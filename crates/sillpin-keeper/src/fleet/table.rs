//! Boxes, targets and documents out of the items. No I/O: the clock is passed in.

use super::items::{Items, Stored};
use super::messages::TargetReading;
use crate::view::{InForce, PeerView, TargetInfo, View};
use sillpin_bundle::{Accepted, Bundle, SignError, TrustedKey};
use sillpin_core::sabotage::{Mechanism, is_off};
use sillpin_core::target::{BoxList, TargetEntry};
use sillpin_core::{ArmName, BoxId, Incarnation, LoadReport, Presence, Revision, TargetId, ZoneId};
use sillpin_policy::guard::Breach;
use sillpin_policy::rendezvous::CandidateHash;
use sillpin_rpc::entry_link::{FleetUpdate, Known, TargetView};
use sillpin_rpc::gossip::{
    BoxState, Digest, Exchange, Item, ItemKey, ItemValue, ItemVersion, Organisation, StoppedArm,
    TargetState,
};
use sillpin_rpc::peer_link::BoxStatus;
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

/// Failed readings in a row after which a target is out of reach.
const FAILURES_ALLOWED: u32 = 1;

/// All that this keeper knows.
pub struct FleetTable {
    me: Identity,
    items: Items,
    in_force: Option<Arc<InForce>>,
    failures: std::collections::HashMap<TargetId, u32>,
    list_heard: Option<Instant>,
    leaving: bool,
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
        let value = ItemValue::Box(state);
        self.items.put(
            Item {
                key,
                version,
                value,
            },
            now,
        );
    }

    /// From now on this box says that it leaves.
    pub fn leave(&mut self, now: Instant) {
        self.leaving = true;
        self.beat(now);
    }

    fn revision(&self) -> Revision {
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

    /// Takes the box list as read from the platform.
    pub fn read_box_list(&mut self, list: BoxList, now: Instant) {
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
        let listed = |key: &ItemKey| match key {
            ItemKey::Target(id) => list.targets.iter().any(|t| t.id == *id),
            _ => true,
        };
        let unlisted = self.items.iter().filter(|(key, _)| !listed(key));
        let unlisted: Vec<ItemKey> = unlisted.map(|(key, _)| key.clone()).collect();
        for key in unlisted {
            self.items.remove(&key);
        }
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

    /// Arms of the bundle in force that guards stopped.
    pub fn stopped_arms(&self) -> Vec<(ZoneId, ArmName, Breach)> {
        let current = self.revision();
        let stopped = self.items.iter().filter_map(|(key, stored)| {
            let (ItemKey::StoppedArm(zone, arm), ItemValue::StoppedArm(stop)) =
                (key, &stored.value)
            else {
                return None;
            };
            (stop.revision == current).then(|| (zone.clone(), arm.clone(), stop.breach))
        });
        stopped.collect()
    }

    /// What a peer of `peer_zone` is to compare with.
    pub fn digest(&self, peer_zone: &ZoneId) -> Digest {
        self.items.digest(&self.me.zone, peer_zone)
    }

    /// The answer to a peer's digest.
    pub fn exchange(&self, digest: &Digest) -> Exchange {
        self.items.exchange(&self.me.zone, digest)
    }

    /// The items that a peer asked for.
    pub fn wanted(&self, hashes: &[u64]) -> Vec<Item> {
        self.items.wanted(hashes)
    }

    fn box_list(&self) -> Option<&BoxList> {
        match &self.items.get(&ItemKey::BoxList)?.value {
            ItemValue::BoxList(list) => Some(list),
            _ => None,
        }
    }

    fn target_state(&self, id: &TargetId) -> Option<&TargetState> {
        match &self.items.get(&ItemKey::Target(id.clone()))?.value {
            ItemValue::Target(state) => Some(state),
            _ => None,
        }
    }

    fn box_states(&self) -> impl Iterator<Item = (&BoxId, &BoxState, Instant)> {
        self.items
            .iter()
            .filter_map(|(key, stored)| match (key, &stored.value) {
                (ItemKey::Box(id), ItemValue::Box(state)) => Some((id, state, stored.changed)),
                _ => None,
            })
    }

    fn is_live(&self, id: &BoxId, state: &BoxState, heard: Instant, now: Instant) -> bool {
        let silent = state.zone == self.me.zone && now - heard > self.me.dead_after;
        *id == self.me.box_id || !(silent || state.leaving)
    }

    /// Boxes as operators see them.
    pub fn box_statuses(&self, now: Instant) -> Vec<BoxStatus> {
        let mut boxes: Vec<BoxStatus> = self
            .box_states()
            .map(|(id, state, heard)| BoxStatus {
                id: id.clone(),
                state: state.clone(),
                heartbeat_age_ms: (now - heard).as_millis() as u64,
                live: self.is_live(id, state, heard, now),
            })
            .collect();
        boxes.sort_by(|a, b| a.id.cmp(&b.id));
        boxes
    }

    fn peer_views(&self, now: Instant) -> Vec<PeerView> {
        let mut peers: Vec<PeerView> = self
            .box_states()
            .filter(|(_, state, _)| state.zone == self.me.zone)
            .map(|(id, state, heard)| PeerView {
                id: id.clone(),
                hash: CandidateHash::of(id.as_str()),
                zone: state.zone.clone(),
                addr: state.peer_addr,
                live: self.is_live(id, state, heard, now),
            })
            .collect();
        let listed = self.box_list().map(|list| list.boxes.as_slice());
        for entry in listed.unwrap_or_default() {
            let foreign = entry.zone != self.me.zone;
            if peers.iter().any(|peer| peer.id == entry.id) {
                continue;
            }
            peers.push(PeerView {
                id: entry.id.clone(),
                hash: CandidateHash::of(entry.id.as_str()),
                zone: entry.zone.clone(),
                addr: entry.peer_addr,
                live: foreign && entry.presence == Presence::Live,
            });
        }
        peers.sort_by(|a, b| a.id.cmp(&b.id));
        peers
    }

    fn target_info(&self, entry: &TargetEntry) -> TargetInfo {
        let state = self.target_state(&entry.id);
        let load = state.and_then(|state| state.load.as_ref());
        let says_leaving = load.is_some_and(|load| load.presence == Presence::Leaving);
        TargetInfo {
            entry: entry.clone(),
            reachable: state.is_none_or(|state| state.reachable),
            leaving: says_leaving || entry.presence == Presence::Leaving,
        }
    }

    /// What other tasks need.
    pub fn view(&self, now: Instant) -> View {
        let targets = self.box_list().map(|list| list.targets.as_slice());
        let targets = targets.unwrap_or_default();
        View {
            boxes: self.peer_views(now),
            targets: targets.iter().map(|t| self.target_info(t)).collect(),
            in_force: self.in_force.clone(),
        }
    }

    /// All targets, as operators and the entry see them.
    pub fn target_views(&self) -> Vec<TargetView> {
        let targets = self.box_list().map(|list| list.targets.as_slice());
        let targets = targets.unwrap_or_default();
        targets.iter().map(|t| self.target_view(t)).collect()
    }

    fn target_view(&self, entry: &TargetEntry) -> TargetView {
        TargetView {
            entry: entry.clone(),
            state: self.target_state(&entry.id).cloned(),
            leaving: self.target_info(entry).leaving,
        }
    }

    /// Since the box list was last read or heard of.
    pub fn box_list_age(&self, now: Instant) -> Option<Duration> {
        self.list_heard.map(|heard| now - heard)
    }

    /// What changed since `known`, for the entry.
    pub fn update_since(&self, known: Known) -> FleetUpdate {
        let since = if known.incarnation == self.me.incarnation {
            known.stamp
        } else {
            0
        };
        let newer = |key: &ItemKey| self.items.get(key).is_some_and(|s| s.stamp > since);
        let complete = newer(&ItemKey::BoxList);
        let mut targets = self.target_views();
        targets.retain(|t| complete || newer(&ItemKey::Target(t.entry.id.clone())));
        let stops_changed = newer(&ItemKey::Bundle) || self.stop_newer_than(since);
        FleetUpdate {
            known: Known {
                incarnation: self.me.incarnation,
                stamp: self.items.stamp(),
            },
            complete,
            targets,
            bundle: self.document(&ItemKey::Bundle, since).and_then(as_bundle),
            organisations: self
                .document(&ItemKey::Organisations, since)
                .and_then(as_organisations),
            stopped_arms: stops_changed.then(|| self.stopped_here()),
        }
    }

    fn stop_newer_than(&self, since: u64) -> bool {
        let stops = self.items.iter();
        let mut stops = stops.filter(|(key, _)| matches!(key, ItemKey::StoppedArm(..)));
        stops.any(|(_, stored)| stored.stamp > since)
    }

    fn stopped_here(&self) -> Vec<ArmName> {
        let stopped = self.stopped_arms().into_iter();
        let here = stopped.filter(|(zone, _, _)| *zone == self.me.zone);
        here.map(|(_, arm, _)| arm).collect()
    }

    fn document(&self, key: &ItemKey, since: u64) -> Option<&ItemValue> {
        let stored = self.items.get(key)?;
        (stored.stamp > since).then_some(&stored.value)
    }

    /// The accepted bundle in force, as it was signed.
    pub fn accepted(&self) -> Option<Accepted> {
        self.document(&ItemKey::Bundle, 0).and_then(as_bundle)
    }
}

fn as_bundle(value: &ItemValue) -> Option<Accepted> {
    match value {
        ItemValue::Bundle(accepted) => Some(accepted.as_ref().clone()),
        _ => None,
    }
}

fn as_organisations(value: &ItemValue) -> Option<Vec<Organisation>> {
    match value {
        ItemValue::Organisations(list) => Some(list.clone()),
        _ => None,
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
