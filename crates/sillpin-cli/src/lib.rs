//! What the operators' command line does, apart from its arguments.
//!
//! - [`ops::bundle`]: new, check, sign, accept,
//! - [`ops::compare`]: two arms of the bundle in force,
//! - [`ops::fleet`]: status and explain,
//! - [`ops::organisation`]: organisations and their keys.

pub mod error;
pub mod ops;

pub use error::{CliError, ExitStatus};
