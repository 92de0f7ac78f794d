//! The load and comparison tool: seeded open-loop workloads, and checks of answers from outside.

pub mod oracle;
