//! Load generator and comparison tool: sends seeded open-loop workloads and checks the responses from outside.
//!
//! - [`workload`]: replayable traces of requests with their times and organisations,
//! - [`lower_bound`]: share of prompt tokens that must be computed even with an optimal cache,
//! - [`caller`]: sends one request and checks its response,
//! - [`oracle`]: the expected response to a prompt,
//! - [`driver`]: sends a workload, open loop,
//! - [`report`]: results of a workload as text, JSON and a plot.

pub mod caller;
pub mod driver;
pub mod lower_bound;
pub mod oracle;
pub mod report;
pub mod workload;
