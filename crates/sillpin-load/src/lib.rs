//! The load and comparison tool: seeded open-loop workloads, and checks of answers from outside.
//!
//! - [`caller`]: sends one request and checks its answer,
//! - [`oracle`]: what the answer must be.

pub mod caller;
pub mod oracle;
