//! The slowly changing part of what a keeper knows, for its other tasks.

use sillpin_bundle::Bundle;
use sillpin_core::target::TargetEntry;
use sillpin_core::{BlockName, BoxId, Revision, TargetId, TargetKind, ZoneId};
use sillpin_policy::rendezvous::{self, CandidateHash};
use std::net::SocketAddr;
use std::sync::Arc;

/// Owners of a root, and readers of a target.
pub const REPLICAS: usize = 2;

/// A box as other tasks need it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerView {
    /// The box.
    pub id: BoxId,
    /// Hash of its name.
    pub hash: CandidateHash,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Where its keeper listens for peers.
    pub addr: SocketAddr,
    /// Whether it is in use.
    pub live: bool,
}

/// A target as other tasks need it.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetInfo {
    /// Its entry in the box list.
    pub entry: TargetEntry,
    /// Whether it answered the last calls; true while nobody has asked.
    pub reachable: bool,
    /// Whether any source says that it leaves.
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
    /// All boxes that are not leaving, this one included.
    pub boxes: Vec<PeerView>,
    /// All targets.
    pub targets: Vec<TargetInfo>,
    /// The bundle in force.
    pub in_force: Option<Arc<InForce>>,
}

impl View {
    /// Boxes of a zone that are in use.
    pub fn live_in<'a>(&'a self, zone: &'a ZoneId) -> impl Iterator<Item = &'a PeerView> {
        self.boxes.iter().filter(move |b| b.live && b.zone == *zone)
    }

    fn top(&self, key: u64, count: usize, wanted: impl Fn(&PeerView) -> bool) -> Vec<&PeerView> {
        let boxes = self.boxes.iter().enumerate().filter(|(_, b)| wanted(b));
        let best = rendezvous::top(key, boxes.map(|(i, b)| (i, b.hash, 1.0)), count);
        best.into_iter().map(|index| &self.boxes[index]).collect()
    }

    /// The keepers that own a root's part of the directory, the first one first.
    pub fn owners(&self, root: &BlockName) -> Vec<&PeerView> {
        self.top(root.placement_hash(), REPLICAS, |b| b.live)
    }

    /// The keepers that read a target's load, the first one first: of the target's zone.
    pub fn readers(&self, target: &TargetEntry) -> Vec<&PeerView> {
        let key = rendezvous::key_of(target.id.as_str());
        self.top(key, REPLICAS, |b| b.live && b.zone == target.zone)
    }

    /// The keepers of a zone that do a task for all of it, the first one first.
    pub fn zone_readers(&self, zone: &ZoneId, task: &str) -> Vec<&PeerView> {
        self.top(rendezvous::key_of(task), REPLICAS, |b| {
            b.live && b.zone == *zone
        })
    }

    /// The targets of a kind that may get new work.
    pub fn usable(&self, kind: TargetKind) -> impl Iterator<Item = &TargetInfo> {
        let usable = move |t: &&TargetInfo| t.entry.kind == kind && t.reachable && !t.leaving;
        self.targets.iter().filter(usable)
    }

    /// A target by its name.
    pub fn target(&self, id: &TargetId) -> Option<&TargetInfo> {
        self.targets.iter().find(|t| t.entry.id == *id)
    }
}
