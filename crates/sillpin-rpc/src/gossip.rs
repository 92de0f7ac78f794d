//! The state that keepers replicate among each other by gossip, as versioned items.
//!
//! An item with a higher version replaces one with a lower version. Keepers compare digests and send
//! only items that the peer lacks.

use serde::{Deserialize, Serialize};
use sillpin_bundle::Accepted;
use sillpin_core::target::{BoxList, LoadReport};
use sillpin_core::{ArmName, BoxId, Incarnation, OrgId, Revision, TargetId, ZoneId, number_type};
use sillpin_policy::guard::Breach;
use std::net::SocketAddr;

number_type!(
    /// Version of an item; the higher is newer.
    ItemVersion
);

/// Identifies an item.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ItemKey {
    /// A box and its heartbeat.
    Box(BoxId),
    /// Load and reachability of a target.
    Target(TargetId),
    /// The platform's list of boxes and targets.
    BoxList,
    /// The bundle in force.
    Bundle,
    /// Organisations and their keys.
    Organisations,
    /// An arm stopped by its guard in an availability zone.
    StoppedArm(ZoneId, ArmName),
}

/// State of a box, written by its own keeper. The item's version is the heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxState {
    /// Its availability zone.
    pub zone: ZoneId,
    /// Address on which its keeper listens for peers.
    pub peer_addr: SocketAddr,
    /// Incarnation of the keeper.
    pub incarnation: Incarnation,
    /// Revision of the bundle in force on the box.
    pub revision: Revision,
    /// Whether the box is stopping.
    pub leaving: bool,
}

/// State of a target, written by one of the keepers that read its load.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetState {
    /// Its latest load report, if it has sent any.
    pub load: Option<LoadReport>,
    /// Whether it responded to the last calls.
    pub reachable: bool,
}

/// An organisation and the hashes of its API keys.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Organisation {
    /// The organisation.
    pub id: OrgId,
    /// BLAKE3 of each of its API keys, in hexadecimal.
    pub key_hashes: Vec<String>,
}

/// Key of the list of organisations in the platform's service.
pub const ORGANISATIONS_KEY: &str = "organisations";

/// An arm stopped by its guard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoppedArm {
    /// Revision of the bundle that contains the arm.
    pub revision: Revision,
    /// The breach that the guard detected.
    pub breach: Breach,
}

/// Value of an item.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ItemValue {
    /// Value of [`ItemKey::Box`].
    Box(BoxState),
    /// Value of [`ItemKey::Target`].
    Target(TargetState),
    /// Value of [`ItemKey::BoxList`].
    BoxList(BoxList),
    /// Value of [`ItemKey::Bundle`]; the item's version is the bundle's revision.
    Bundle(Box<Accepted>),
    /// Value of [`ItemKey::Organisations`].
    Organisations(Vec<Organisation>),
    /// Value of [`ItemKey::StoppedArm`].
    StoppedArm(StoppedArm),
}

/// A versioned item.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Item {
    /// Key of the item.
    pub key: ItemKey,
    /// Version of the value.
    pub version: ItemVersion,
    /// The value.
    pub value: ItemValue,
}

/// One of several equal partitions of the targets of other zones, by hash of the item key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetPartition {
    /// Index of the partition.
    pub index: u64,
    /// Number of partitions.
    pub count: u64,
}

impl TargetPartition {
    /// The only partition, which contains all targets.
    pub const WHOLE: TargetPartition = TargetPartition { index: 0, count: 1 };

    /// Returns whether an item with this hash belongs to the partition.
    pub fn contains(&self, hash: u64) -> bool {
        hash % self.count.max(1) == self.index
    }
}

impl Default for TargetPartition {
    fn default() -> Self {
        Self::WHOLE
    }
}

/// Versions of the items that a keeper holds, by hash of the item key.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Digest {
    /// Zone of the sender; heartbeats are only exchanged within a zone.
    pub zone: Option<ZoneId>,
    /// The partition of the targets of other zones that this digest covers.
    pub foreign: TargetPartition,
    /// Hash of the key and version of each item, sorted by hash.
    pub versions: Vec<(u64, ItemVersion)>,
}

/// Response to a digest.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Exchange {
    /// Items that the sender of the digest lacks or holds in an older version.
    pub newer: Vec<Item>,
    /// Key hashes of items that the sender of the digest holds in a newer version.
    pub wanted: Vec<u64>,
}
