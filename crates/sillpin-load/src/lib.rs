//! The load and comparison tool: seeded open-loop workloads, and checks of answers from outside.
//!
//! - [`workload`]: what is sent, when, by whom; replayable,
//! - [`lower_bound`]: the best that any cache could do with a workload,
//! - [`caller`]: sends one request and checks its answer,
//! - [`oracle`]: what the answer must be,
//! - [`driver`]: sends a workload, open loop,
//! - [`report`]: what came of it, as text, JSON and a plot.

pub mod caller;
pub mod driver;
pub mod lower_bound;
pub mod oracle;
pub mod report;
pub mod workload;
