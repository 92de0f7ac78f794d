//! What keepers say to each other, and what the command line asks of a keeper.

use crate::arms::ArmFigures;
use crate::directory::{BlockHints, DirectoryNews};
use crate::entry_link::TargetView;
use crate::gossip::{BoxState, Digest, Exchange, Item};
use crate::records::DecisionRecord;
use serde::{Deserialize, Serialize};
use sillpin_core::{ArmName, BlockName, BoxId, RequestId, Revision, ZoneId};
use sillpin_policy::guard::Breach;

/// A box as a keeper sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxStatus {
    /// The box.
    pub id: BoxId,
    /// What it says of itself.
    pub state: BoxState,
    /// Since its last heartbeat arrived, in milliseconds.
    pub heartbeat_age_ms: u64,
    /// Whether it counts as live.
    pub live: bool,
}

/// What a keeper sees of the fleet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FleetStatus {
    /// The box that answers.
    pub by: BoxId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// The revision in force there.
    pub revision: Revision,
    /// Name of the bundle in force.
    pub bundle: Option<String>,
    /// Digest of the bundle in force, shortened.
    pub digest: Option<String>,
    /// Boxes.
    pub boxes: Vec<BoxStatus>,
    /// Targets.
    pub targets: Vec<TargetView>,
    /// Arms that guards stopped.
    pub stopped_arms: Vec<(ZoneId, ArmName, Breach)>,
    /// Since the platform last answered, in milliseconds.
    pub platform_age_ms: Option<u64>,
    /// Since the box list was last read or heard of, in milliseconds.
    pub box_list_age_ms: Option<u64>,
    /// Prompts in this box's part of the directory.
    pub directory_prompts: u64,
    /// Blocks in this box's part of the directory.
    pub directory_blocks: u64,
}

/// The service that keepers offer to each other and to operators.
#[tarpc::service]
pub trait PeerLink {
    /// Compares what both know.
    async fn exchange(digest: Digest) -> Exchange;
    /// Takes items that were asked for.
    async fn push(items: Vec<Item>);
    /// Hints for the blocks of a prompt whose root this keeper owns.
    async fn look_up(blocks: Vec<BlockName>) -> BlockHints;
    /// News for the owners of roots.
    async fn learn(news: Vec<DirectoryNews>);
    /// What this keeper sees of the fleet.
    async fn status() -> FleetStatus;
    /// The decision record of a request, if this box took it.
    async fn explain(request: RequestId) -> Option<DecisionRecord>;
    /// What the arms of the bundle in force measured in this box.
    async fn arms() -> Vec<ArmFigures>;
}
