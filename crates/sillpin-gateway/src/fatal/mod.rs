//! Requests that end the targets that run them.
//!
//! - [`print`]: which requests are alike,
//! - [`witness`]: whether a target ended under requests.

pub mod print;
pub mod witness;

pub use print::RequestPrint;
pub use witness::Witness;
