//! Operations of the operators' command line, without its argument parsing.
//!
//! - [`ops::bundle`]: creating, checking, signing and accepting bundles,
//! - [`ops::compare`]: comparing two arms of the bundle in force,
//! - [`ops::fleet`]: the status of the fleet and decision records,
//! - [`ops::organisation`]: organisations and their keys,
//! - [`ops::trace`]: the log records of one request.

pub mod error;
pub mod ops;

pub use error::{CliError, ExitStatus};
