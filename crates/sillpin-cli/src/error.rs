//! Errors of the command line and their exit codes.

use derive_more::{Display, Error};
use std::process::ExitCode;

/// Exit code of a failed command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitStatus {
    /// Something could not be read, written or reached.
    Failed = 1,
    /// The arguments are invalid (`clap` exits with this code too).
    Usage = 2,
    /// The bundle or key is invalid.
    Refused = 3,
    /// Another operator made a conflicting change first.
    Conflict = 4,
    /// The requested item does not exist.
    NotFound = 5,
    /// The operation may or may not have taken effect.
    Unknown = 6,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        ExitCode::from(status as u8)
    }
}

/// Error of a failed command.
#[derive(Debug, Display, Error)]
#[display("{what}")]
pub struct CliError {
    /// Exit code of the program.
    pub status: ExitStatus,
    /// Description of the failed operation.
    pub what: String,
    /// Underlying error.
    #[error(source)]
    pub cause: Option<Box<dyn std::error::Error + Send + Sync>>,
}

impl CliError {
    /// Creates an error without an underlying error.
    pub fn new(status: ExitStatus, what: impl Into<String>) -> Self {
        Self {
            status,
            what: what.into(),
            cause: None,
        }
    }

    /// Creates an error with its underlying error.
    pub fn caused(
        status: ExitStatus,
        what: impl Into<String>,
        cause: impl std::error::Error + Send + Sync + 'static,
    ) -> Self {
        Self {
            status,
            what: what.into(),
            cause: Some(Box::new(cause)),
        }
    }
}
