//! The state that keepers spread among each other, as versioned items.
//!
//! An item with a higher version replaces one with a lower. Keepers compare digests and send only
//! what the other lacks.

use serde::{Deserialize, Serialize};
use sillpin_bundle::Accepted;
use sillpin_core::target::{BoxList, LoadReport};
use sillpin_core::{ArmName, BoxId, Incarnation, OrgId, Revision, TargetId, ZoneId, number_type};
use sillpin_policy::guard::Breach;
use std::net::SocketAddr;

number_type!(
    /// Counts the states of one item; the higher is newer.
    ItemVersion
);

/// Names an item.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ItemKey {
    /// A box and its heartbeat.
    Box(BoxId),
    /// A target's load.
    Target(TargetId),
    /// The list of boxes and targets.
    BoxList,
    /// The bundle in force.
    Bundle,
    /// Organisations and their keys.
    Organisations,
    /// An arm that its guard stopped in a zone.
    StoppedArm(ZoneId, ArmName),
}

/// A box, as its own keeper describes it. The item's version is its heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxState {
    /// Its availability zone.
    pub zone: ZoneId,
    /// Where its keeper listens for peers.
    pub peer_addr: SocketAddr,
    /// The life of the keeper.
    pub incarnation: Incarnation,
    /// The revision in force there.
    pub revision: Revision,
    /// Whether it stops.
    pub leaving: bool,
}

/// A target, as one of its readers found it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetState {
    /// Its newest load report, if it ever gave one.
    pub load: Option<LoadReport>,
    /// Whether it answered the last calls.
    pub reachable: bool,
}

/// An organisation and the hashes of its keys.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Organisation {
    /// The organisation.
    pub id: OrgId,
    /// BLAKE3 of each of its keys, in hexadecimal.
    pub key_hashes: Vec<String>,
}

/// Key of the organisations in the platform's service.
pub const ORGANISATIONS_KEY: &str = "organisations";

/// An arm that its guard stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoppedArm {
    /// The revision whose arm it is.
    pub revision: Revision,
    /// Why.
    pub breach: Breach,
}

/// The state of an item.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ItemValue {
    /// Of [`ItemKey::Box`].
    Box(BoxState),
    /// Of [`ItemKey::Target`].
    Target(TargetState),
    /// Of [`ItemKey::BoxList`].
    BoxList(BoxList),
    /// Of [`ItemKey::Bundle`]; the item's version is its revision.
    Bundle(Box<Accepted>),
    /// Of [`ItemKey::Organisations`].
    Organisations(Vec<Organisation>),
    /// Of [`ItemKey::StoppedArm`].
    StoppedArm(StoppedArm),
}

/// A versioned item.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Item {
    /// Its name.
    pub key: ItemKey,
    /// Its version.
    pub version: ItemVersion,
    /// Its state.
    pub value: ItemValue,
}

/// One of several equal parts of the foreign targets, by hash of their names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Slice {
    /// Which part.
    pub index: u64,
    /// Parts in all.
    pub count: u64,
}

impl Slice {
    /// All in one part.
    pub const WHOLE: Slice = Slice { index: 0, count: 1 };

    /// Whether an item with this hash belongs to the part.
    pub fn has(&self, hash: u64) -> bool {
        hash % self.count.max(1) == self.index
    }
}

impl Default for Slice {
    fn default() -> Self {
        Self::WHOLE
    }
}

/// Which items a keeper knows, by hash of their names.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Digest {
    /// Zone of the keeper that asks: heartbeats stay in their zone.
    pub zone: Option<ZoneId>,
    /// The part of the targets of other zones that this digest is about.
    pub foreign: Slice,
    /// Hash of each item's name and its version, sorted.
    pub versions: Vec<(u64, ItemVersion)>,
}

/// The answer to a digest.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Exchange {
    /// Items that the asker lacks or has in an older version.
    pub newer: Vec<Item>,
    /// Hashes of items that the asker has newer.
    pub wanted: Vec<u64>,
}
