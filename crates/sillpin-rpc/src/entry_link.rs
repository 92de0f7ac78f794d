//! The RPC interface of a keeper for the entry of its box.

use crate::arms::ArmFigures;
use crate::claims::{ClaimEnd, ClaimReply, ClaimRequest};
use crate::directory::{BlockHints, PromptUse};
use crate::gossip::{Organisation, TargetState};
use crate::records::DecisionRecord;
use serde::{Deserialize, Serialize};
use sillpin_bundle::Accepted;
use sillpin_core::target::TargetEntry;
use sillpin_core::{ArmName, BlockName, Incarnation, Revision, TargetId};
use sillpin_policy::guard::Breach;

/// A keeper's view of a target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetView {
    /// Its entry in the box list.
    pub entry: TargetEntry,
    /// Its load and reachability, if any keeper has read them.
    pub state: Option<TargetState>,
    /// Whether any source reports that it is leaving.
    pub leaving: bool,
}

/// Position up to which an entry has received a keeper's changes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetPosition {
    /// Incarnation of the keeper that issued the stamp.
    pub incarnation: Incarnation,
    /// Number of the last change received.
    pub stamp: u64,
}

/// Changes since a given position.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetUpdate {
    /// Position for the next call.
    pub known: FleetPosition,
    /// Whether `targets` contains all targets, so that any other target no longer exists.
    pub complete: bool,
    /// Changed targets.
    pub targets: Vec<TargetView>,
    /// The bundle in force, if it changed.
    pub bundle: Option<Accepted>,
    /// Organisations, if they changed.
    pub organisations: Option<Vec<Organisation>>,
    /// Arms of the bundle in force that are stopped in this box's zone, if they changed.
    pub stopped_arms: Option<Vec<ArmName>>,
}

/// Service of a keeper for the entry of its box.
#[tarpc::service]
pub trait EntryLink {
    /// Returns the changes since `known`, waiting up to `wait_ms` for the first one.
    async fn fleet(known: FleetPosition, wait_ms: u64) -> FleetUpdate;
    /// Returns hints for the blocks of a prompt within `deadline_ms`.
    async fn find_blocks(blocks: Vec<BlockName>, deadline_ms: u64) -> BlockHints;
    /// Reports prompts that were answered.
    async fn prompts_used(prompts: Vec<PromptUse>);
    /// Claims a call that runs at most once.
    async fn claim(req: ClaimRequest) -> ClaimReply;
    /// Reports the outcome of a claimed call.
    async fn end_claim(end: ClaimEnd);
    /// Transfers decision records to the keeper.
    async fn record(records: Vec<DecisionRecord>);
    /// Stops an arm whose guard detected a breach.
    async fn stop_arm(revision: Revision, arm: ArmName, breach: Breach);
    /// Reports the measurements of the arms so far, replacing earlier reports.
    async fn arms(figures: Vec<ArmFigures>);
    /// Reports a target that refused or broke connections.
    async fn report_unreachable(target: TargetId);
}
