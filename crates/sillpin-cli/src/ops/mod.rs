//! Operations behind the commands.

pub mod bundle;
pub mod compare;
pub mod fleet;
pub mod organisation;
pub mod trace;

use crate::{CliError, ExitStatus};
use std::path::Path;

/// Reads a text file.
pub fn read_file(path: &Path) -> Result<String, CliError> {
    std::fs::read_to_string(path).map_err(|e| {
        let what = format!("cannot read {}", path.display());
        CliError::caused(ExitStatus::Failed, what, e)
    })
}

/// Writes a text file.
pub fn write_file(path: &Path, text: &str) -> Result<(), CliError> {
    std::fs::write(path, text).map_err(|e| {
        let what = format!("cannot write {}", path.display());
        CliError::caused(ExitStatus::Failed, what, e)
    })
}
