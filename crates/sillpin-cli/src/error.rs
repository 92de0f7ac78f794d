//! Errors of the command line and the exit codes that stand for them.

use derive_more::{Display, Error};
use std::process::ExitCode;

/// What the exit code says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitStatus {
    /// Something could not be read, written or reached.
    Failed = 1,
    /// The arguments are wrong (`clap` uses it too).
    Usage = 2,
    /// A bundle or key is refused as it stands.
    Refused = 3,
    /// Somebody else was first.
    Conflict = 4,
    /// What was asked for does not exist.
    NotFound = 5,
    /// It may or may not have taken effect.
    Unknown = 6,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        ExitCode::from(status as u8)
    }
}

/// A command that failed.
#[derive(Debug, Display, Error)]
#[display("{what}")]
pub struct CliError {
    /// What the exit code says.
    pub status: ExitStatus,
    /// What failed.
    pub what: String,
    /// Why.
    #[error(source)]
    pub cause: Option<Box<dyn std::error::Error + Send + Sync>>,
}

impl CliError {
    /// An error without a deeper cause.
    pub fn new(status: ExitStatus, what: impl Into<String>) -> Self {
        Self {
            status,
            what: what.into(),
            cause: None,
        }
    }

    /// An error with its cause.
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
