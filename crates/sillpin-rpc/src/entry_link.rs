//! What an entry asks of the keeper of its box.

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

/// A target as a keeper sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetView {
    /// Its entry in the box list.
    pub entry: TargetEntry,
    /// Its load and reachability.
    pub state: Option<TargetState>,
    /// Whether any source says that it leaves.
    pub leaving: bool,
}

/// What an entry knows already.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Known {
    /// The keeper's life that the stamp belongs to.
    pub incarnation: Incarnation,
    /// The newest change known.
    pub stamp: u64,
}

/// What changed since.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetUpdate {
    /// Send this with the next question.
    pub known: Known,
    /// Whether `targets` lists all targets, so that others are gone.
    pub complete: bool,
    /// Targets that changed.
    pub targets: Vec<TargetView>,
    /// The bundle in force, if it changed.
    pub bundle: Option<Accepted>,
    /// Organisations, if they changed.
    pub organisations: Option<Vec<Organisation>>,
    /// Arms of the bundle in force that are stopped in this box's zone, if they changed.
    pub stopped_arms: Option<Vec<ArmName>>,
}

/// The service that a keeper offers to the entry of its box.
#[tarpc::service]
pub trait EntryLink {
    /// What changed since `known`, waiting up to `wait_ms` for something.
    async fn fleet(known: Known, wait_ms: u64) -> FleetUpdate;
    /// Hints for the blocks of a prompt, within `deadline_ms`.
    async fn find_blocks(blocks: Vec<BlockName>, deadline_ms: u64) -> BlockHints;
    /// Prompts were answered.
    async fn used(prompts: Vec<PromptUse>);
    /// Claims a call that runs at most once.
    async fn claim(req: ClaimRequest) -> ClaimReply;
    /// Tells what became of a claim.
    async fn end_claim(end: ClaimEnd);
    /// Hands over decision records.
    async fn record(records: Vec<DecisionRecord>);
    /// A guard stops an arm.
    async fn stop_arm(revision: Revision, arm: ArmName, breach: Breach);
    /// What the arms have measured so far; replaces what was said before.
    async fn arms(figures: Vec<ArmFigures>);
    /// A target refused connections or broke them.
    async fn suspect(target: TargetId);
}
