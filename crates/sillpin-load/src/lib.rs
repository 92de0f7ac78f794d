//! The load and comparison tool: seeded open-loop workloads, and checks of answers from outside.
//!
//! - [`workload`]: what is sent, when, by whom; replayable,
//! - [`floor`]: the best that any cache could do with a workload,
//! - [`caller`]: sends one request and checks its answer,
//! - [`oracle`]: what the answer must be,
//! - [`drive`]: sends a workload, open loop,
//! - [`report`]: what came of it, as text, JSON and a plot.

pub mod caller;
pub mod drive;
pub mod floor;
pub mod oracle;
pub mod report;
pub mod workload;
