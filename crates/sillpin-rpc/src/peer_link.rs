//! The RPC interface of a keeper for other keepers and the command line.

use crate::arms::ArmFigures;
use crate::directory::{BlockHints, DirectoryUpdate};
use crate::entry_link::TargetView;
use crate::gossip::{BoxState, Digest, Exchange, Item};
use crate::records::DecisionRecord;
use serde::{Deserialize, Serialize};
use sillpin_core::{ArmName, BlockName, BoxId, RequestId, Revision, ZoneId};
use sillpin_policy::guard::Breach;

/// A keeper's view of a box.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxStatus {
    /// The box.
    pub id: BoxId,
    /// State written by its own keeper.
    pub state: BoxState,
    /// Time since its last heartbeat arrived, in milliseconds.
    pub heartbeat_age_ms: u64,
    /// Whether it is considered live.
    pub live: bool,
}

/// A keeper's view of the fleet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FleetStatus {
    /// The box of the keeper.
    pub by: BoxId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Revision of the bundle in force on it.
    pub revision: Revision,
    /// Name of the bundle in force.
    pub bundle: Option<String>,
    /// Abbreviated digest of the bundle in force.
    pub digest: Option<String>,
    /// Known boxes.
    pub boxes: Vec<BoxStatus>,
    /// Known targets.
    pub targets: Vec<TargetView>,
    /// Arms stopped by their guards, with zone and breach.
    pub stopped_arms: Vec<(ZoneId, ArmName, Breach)>,
    /// Time since the last response of the platform, in milliseconds.
    pub platform_age_ms: Option<u64>,
    /// Time since the box list was last read or received, in milliseconds.
    pub box_list_age_ms: Option<u64>,
    /// Number of prompts in this box's part of the directory.
    pub directory_prompts: u64,
    /// Number of blocks in this box's part of the directory.
    pub directory_blocks: u64,
}

/// Service of a keeper for other keepers and operators.
#[tarpc::service]
pub trait PeerLink {
    /// Compares item versions; returns newer items, and the hashes of items that this keeper lacks.
    async fn exchange(digest: Digest) -> Exchange;
    /// Transfers items that an exchange requested.
    async fn push(items: Vec<Item>);
    /// Returns hints for the blocks of a prompt that this keeper owns in the directory.
    async fn look_up(blocks: Vec<BlockName>) -> BlockHints;
    /// Transfers updates to the directory owners of the prompts concerned.
    async fn update_directory(news: Vec<DirectoryUpdate>);
    /// Returns this keeper's view of the fleet.
    async fn status() -> FleetStatus;
    /// Returns the decision record of a request, if this box received it.
    async fn explain(request: RequestId) -> Option<DecisionRecord>;
    /// Returns the measurements of the arms of the bundle in force on this box.
    async fn arms() -> Vec<ArmFigures>;
}
