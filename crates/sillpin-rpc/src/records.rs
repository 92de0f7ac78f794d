//! Decision records: the candidates, attempts and outcome of a request, for `sillpin explain`.

use serde::{Deserialize, Serialize};
use sillpin_core::{
    ArmName, BoxId, ModelId, OrgId, Outcome, PoolId, PriorityClass, RequestId, Revision, TargetId,
    WeightVersion, ZoneId,
};
use sillpin_policy::placement::Reason;

/// A candidate of a placement decision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CandidateRecord {
    /// The target.
    pub target: TargetId,
    /// Why the target was a candidate.
    pub reason: Reason,
    /// Estimated queueing time, in microseconds.
    pub wait_us: u64,
    /// Estimated prefill time, in microseconds.
    pub compute_us: u64,
    /// Estimated time to fetch stored blocks, in microseconds.
    pub fetch_us: u64,
    /// Number of leading blocks that it holds, according to the hints.
    pub held: u32,
    /// Number of blocks to fetch.
    pub fetched: u32,
    /// Weighted cost; the lowest is chosen.
    pub cost: f64,
}

/// An attempt and its placement decision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AttemptRecord {
    /// The chosen target.
    pub target: TargetId,
    /// Weight version that the attempt is pinned to, if the target is an engine.
    pub version: Option<WeightVersion>,
    /// Candidates, best first.
    pub candidates: Vec<CandidateRecord>,
    /// Result of the attempt.
    pub result: String,
}

/// The decisions and the outcome of a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DecisionRecord {
    /// The request.
    pub request: RequestId,
    /// The box that received it.
    pub by: BoxId,
    /// The box's availability zone.
    pub zone: ZoneId,
    /// The organisation.
    pub org: OrgId,
    /// The pool that served it.
    pub pool: Option<PoolId>,
    /// The requested model.
    pub model: Option<ModelId>,
    /// Its priority class.
    pub class: PriorityClass,
    /// Revision of the bundle in force.
    pub revision: Revision,
    /// Arm of the rollout.
    pub arm: ArmName,
    /// Number of complete blocks of its prompt.
    pub blocks: u32,
    /// Its attempts, in order.
    pub attempts: Vec<AttemptRecord>,
    /// Whether it was carried out.
    pub outcome: Outcome,
    /// Time to first token in microseconds, if there was one.
    pub first_token_us: Option<u64>,
}
