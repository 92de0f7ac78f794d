//! Snapshot of the slowly changing part of the fleet state, published to the keeper's other tasks.

use sillpin_bundle::Bundle;
use sillpin_core::target::TargetEntry;
use sillpin_core::{BlockName, BoxId, Revision, TargetId, TargetKind, ZoneId};
use sillpin_policy::rendezvous::{self, CandidateHash};
use std::net::SocketAddr;
use std::sync::Arc;

/// Number of owners of a root, and of readers of a target.
pub const REPLICAS: usize = 2;

/// What other tasks need of a box.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerView {
    /// The box.
    pub id: BoxId,
    /// Hash of its id, for rendezvous hashing.
    pub hash: CandidateHash,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Address on which its keeper listens for peers.
    pub addr: SocketAddr,
    /// Whether it is in use: neither unresponsive nor leaving.
    pub live: bool,
}

/// What other tasks need of a target.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetInfo {
    /// Its entry in the box list.
    pub entry: TargetEntry,
    /// Whether it responded to the last calls; true until it has been polled.
    pub reachable: bool,
    /// Whether its load report or the box list marks it as leaving.
    pub leaving: bool,
}

/// The bundle in force.
#[derive(Debug, Clone)]
pub struct InForce {
    /// Its revision.
    pub revision: Revision,
    /// Its content.
    pub bundle: Bundle,
}

/// Boxes, targets and the bundle in force.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// All known boxes, including this one.
    pub boxes: Vec<PeerView>,
    /// All targets.
    pub targets: Vec<TargetInfo>,
    /// The bundle in force.
    pub in_force: Option<Arc<InForce>>,
}

impl View {
    /// Returns the boxes of a zone that are in use.
    pub fn live_in<'a>(&'a self, zone: &'a ZoneId) -> impl Iterator<Item = &'a PeerView> {
        self.boxes.iter().filter(move |b| b.live && b.zone == *zone)
    }

    fn top_boxes(
        &self,
        key: u64,
        count: usize,
        eligible: impl Fn(&PeerView) -> bool,
    ) -> Vec<&PeerView> {
        let boxes = self.boxes.iter().enumerate().filter(|(_, b)| eligible(b));
        let best = rendezvous::top(key, boxes.map(|(i, b)| (i, b.hash, 1.0)), count);
        best.into_iter().map(|index| &self.boxes[index]).collect()
    }

    /// Returns the keepers that own a root's part of the directory, by descending rendezvous score.
    pub fn owners(&self, root: &BlockName) -> Vec<&PeerView> {
        self.top_boxes(root.placement_hash(), REPLICAS, |b| b.live)
    }

    /// Returns the keepers of the target's zone that poll its load, by descending rendezvous score.
    pub fn readers(&self, target: &TargetEntry) -> Vec<&PeerView> {
        let key = rendezvous::key_of(target.id.as_str());
        self.top_boxes(key, REPLICAS, |b| b.live && b.zone == target.zone)
    }

    /// Returns the keepers of a zone that run `task` for the whole zone, by descending rendezvous score.
    pub fn zone_readers(&self, zone: &ZoneId, task: &str) -> Vec<&PeerView> {
        self.top_boxes(rendezvous::key_of(task), REPLICAS, |b| {
            b.live && b.zone == *zone
        })
    }

    /// Returns the targets of a kind that accept new work.
    pub fn usable(&self, kind: TargetKind) -> impl Iterator<Item = &TargetInfo> {
        let usable = move |t: &&TargetInfo| t.entry.kind == kind && t.reachable && !t.leaving;
        self.targets.iter().filter(usable)
    }

    /// Returns a target by its id.
    pub fn target(&self, id: &TargetId) -> Option<&TargetInfo> {
        self.targets.iter().find(|t| t.entry.id == *id)
    }
}
