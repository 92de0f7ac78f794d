//! Data types shared by all crates of sillpin.
//!
//! Nothing here does I/O, reads a clock or spawns a task. The modules are:
//!
//! - [`bounds`]: bounds of numbers that come from outside the process,
//! - [`ids`]: newtypes for identifiers,
//! - [`units`]: newtypes for sizes, rates and shares,
//! - `newtype`: the macros that declare these newtypes,
//! - [`block`]: prompt identity by chained block names (`docs/DESIGN.md`, decision 1),
//! - [`run`]: priority classes of requests,
//! - [`target`]: entries and load reports of targets and boxes,
//! - [`outcome`]: outcomes of requests, and error responses,
//! - [`switches`]: switches that disable mechanisms in test builds.

pub mod block;
pub mod bounds;
pub mod ids;
mod newtype;
pub mod outcome;
pub mod run;
pub mod switches;
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
