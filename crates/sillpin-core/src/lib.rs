//! Data types that every other crate of sillpin shares.
//!
//! Nothing here does I/O, reads a clock or spawns a task. The modules are:
//!
//! - [`ids`]: newtypes for the names and numbers that identify things,
//! - [`units`]: newtypes for sizes, rates and shares,
//! - `newtype`: the macros that declare them,
//! - [`block`]: prompt identity, the chain of block names ("docs/DESIGN.md", decision 1),
//! - [`run`]: what a caller asked for,
//! - [`target`]: what is known of a target,
//! - [`outcome`]: what may be said about a request that failed,
//! - [`sabotage`]: mechanisms that a test build can turn off.

pub mod block;
pub mod ids;
mod newtype;
pub mod outcome;
pub mod run;
pub mod sabotage;
pub mod target;
pub mod units;

pub use block::{BlockName, PromptScope};
pub use ids::{
    AdapterId, ArmName, AttemptId, BoxId, Fence, Generation, Incarnation, ModelId, OrgId, PoolId,
    RegionId, RequestId, Revision, TargetId, WeightVersion, ZoneId,
};
pub use outcome::{Outcome, Problem};
pub use run::PriorityClass;
pub use target::{LoadReport, Presence, TargetKind};
pub use units::{Bytes, BytesPerSec, RequestRate, Share, Tokens};
