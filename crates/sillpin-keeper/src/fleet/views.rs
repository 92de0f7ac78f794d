//! Queries of the table: for operators, for the entry, and for this keeper's other tasks.

use super::table::FleetTable;
use crate::view::{PeerView, TargetInfo, View};
use sillpin_bundle::Accepted;
use sillpin_core::target::{BoxList, TargetEntry};
use sillpin_core::{ArmName, BoxId, Presence, TargetId, ZoneId};
use sillpin_policy::guard::Breach;
use sillpin_policy::rendezvous::CandidateHash;
use sillpin_rpc::entry_link::{FleetPosition, FleetUpdate, TargetView};
use sillpin_rpc::gossip::{BoxState, ItemKey, ItemValue, Organisation, TargetState};
use sillpin_rpc::peer_link::BoxStatus;
use std::time::Duration;
use tokio::time::Instant;

impl FleetTable {
    /// Returns the arms of the bundle in force that guards stopped.
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

    pub(super) fn box_list(&self) -> Option<&BoxList> {
        match &self.items.get(&ItemKey::BoxList)?.value {
            ItemValue::BoxList(list) => Some(list),
            _ => None,
        }
    }

    pub(super) fn target_state(&self, id: &TargetId) -> Option<&TargetState> {
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

    fn is_live(&self, id: &BoxId, state: &BoxState, received: Instant, now: Instant) -> bool {
        let unresponsive = state.zone == self.me.zone && now - received > self.me.dead_after;
        *id == self.me.box_id || !(unresponsive || state.leaving)
    }

    /// Returns the status of all known boxes for operators, sorted by id.
    pub fn box_statuses(&self, now: Instant) -> Vec<BoxStatus> {
        let mut boxes: Vec<BoxStatus> = self
            .box_states()
            .map(|(id, state, received)| BoxStatus {
                id: id.clone(),
                state: state.clone(),
                heartbeat_age_ms: (now - received).as_millis() as u64,
                live: self.is_live(id, state, received, now),
            })
            .collect();
        boxes.sort_by(|a, b| a.id.cmp(&b.id));
        boxes
    }

    fn peer_views(&self, now: Instant) -> Vec<PeerView> {
        let mut peers: Vec<PeerView> = self
            .box_states()
            .filter(|(_, state, _)| state.zone == self.me.zone)
            .map(|(id, state, received)| PeerView {
                id: id.clone(),
                hash: CandidateHash::of(id.as_str()),
                zone: state.zone.clone(),
                addr: state.peer_addr,
                live: self.is_live(id, state, received, now),
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
        let reports_leaving = load.is_some_and(|load| load.presence == Presence::Leaving);
        TargetInfo {
            entry: entry.clone(),
            reachable: state.is_none_or(|state| state.reachable),
            leaving: reports_leaving || entry.presence == Presence::Leaving,
        }
    }

    /// Returns the view for this keeper's other tasks.
    pub fn view(&self, now: Instant) -> View {
        let targets = self.box_list().map(|list| list.targets.as_slice());
        let targets = targets.unwrap_or_default();
        View {
            boxes: self.peer_views(now),
            targets: targets.iter().map(|t| self.target_info(t)).collect(),
            in_force: self.in_force.clone(),
        }
    }

    /// Returns all targets, for operators and the entry.
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

    /// Returns the time since the box list was last read or received from a peer.
    pub fn box_list_age(&self, now: Instant) -> Option<Duration> {
        self.list_received.map(|received| now - received)
    }

    /// Returns the changes since `known`, for the entry.
    pub fn update_since(&self, known: FleetPosition) -> FleetUpdate {
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
            known: FleetPosition {
                incarnation: self.me.incarnation,
                stamp: self.items.stamp(),
            },
            complete,
            targets,
            bundle: self.document(&ItemKey::Bundle, since).and_then(as_bundle),
            organisations: self
                .document(&ItemKey::Organisations, since)
                .and_then(as_organisations),
            stopped_arms: stops_changed.then(|| self.stopped_in_zone()),
        }
    }

    fn stop_newer_than(&self, since: u64) -> bool {
        let stops = self.items.iter();
        let mut stops = stops.filter(|(key, _)| matches!(key, ItemKey::StoppedArm(..)));
        stops.any(|(_, stored)| stored.stamp > since)
    }

    fn stopped_in_zone(&self) -> Vec<ArmName> {
        let stopped = self.stopped_arms().into_iter();
        let in_zone = stopped.filter(|(zone, _, _)| *zone == self.me.zone);
        in_zone.map(|(_, arm, _)| arm).collect()
    }

    fn document(&self, key: &ItemKey, since: u64) -> Option<&ItemValue> {
        let stored = self.items.get(key)?;
        (stored.stamp > since).then_some(&stored.value)
    }

    /// Returns the bundle in force in its signed form.
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
