//! Decision records: why a request went where it went.

use serde::{Deserialize, Serialize};
use sillpin_core::{
    ArmName, BoxId, ModelId, OrgId, Outcome, PoolId, PriorityClass, RequestId, Revision, TargetId,
    WeightVersion, ZoneId,
};
use sillpin_policy::placement::Reason;

/// One candidate of a decision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CandidateRecord {
    /// The target.
    pub target: TargetId,
    /// Why it was a candidate.
    pub reason: Reason,
    /// Wait before it would begin, in microseconds.
    pub wait_us: u64,
    /// Time to compute, in microseconds.
    pub compute_us: u64,
    /// Time to fetch kept blocks, in microseconds.
    pub fetch_us: u64,
    /// Leading blocks that it holds, as hinted.
    pub held: u32,
    /// Blocks to fetch.
    pub fetched: u32,
    /// Weighted cost; the lowest wins.
    pub cost: f64,
}

/// One attempt and its decision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AttemptRecord {
    /// The target chosen.
    pub target: TargetId,
    /// Weight version that the attempt is pinned to, if the target is an engine.
    pub version: Option<WeightVersion>,
    /// Candidates, the best first.
    pub candidates: Vec<CandidateRecord>,
    /// What became of it.
    pub result: String,
}

/// One request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DecisionRecord {
    /// The request.
    pub request: RequestId,
    /// The box that took it.
    pub by: BoxId,
    /// The box's availability zone.
    pub zone: ZoneId,
    /// The organisation.
    pub org: OrgId,
    /// The pool it went to.
    pub pool: Option<PoolId>,
    /// The model it asked for.
    pub model: Option<ModelId>,
    /// Its class.
    pub class: PriorityClass,
    /// The bundle's revision.
    pub revision: Revision,
    /// The arm.
    pub arm: ArmName,
    /// Blocks of its prompt.
    pub blocks: u32,
    /// Its attempts.
    pub attempts: Vec<AttemptRecord>,
    /// What became of it.
    pub outcome: Outcome,
    /// Time to first token in microseconds, if there was one.
    pub first_token_us: Option<u64>,
}
