//! `sillpin key`: creates an operator's signing key.

use super::{file_arg, show, value};
use clap::{ArgMatches, Command};
use serde::Serialize;
use sillpin_bundle::SignerKey;
use sillpin_cli::{CliError, ExitStatus, ops};
use std::path::PathBuf;

pub fn cli() -> Command {
    Command::new("key")
        .about("Creates a signing key and prints its public key for the settings")
        .arg(file_arg("file", "File to write the private key to"))
}

/// Output of `key`.
#[derive(Serialize)]
struct NewKey {
    public: String,
}

pub fn run(args: &ArgMatches) -> Result<(), CliError> {
    let key = SignerKey::generate();
    let pem = key.to_pem();
    let pem = pem.map_err(|e| CliError::caused(ExitStatus::Failed, "cannot write the key", e))?;
    ops::write_file(&value::<PathBuf>(args, "file")?, &pem)?;
    let public = key.public().to_string();
    show(args, &NewKey { public }, |new| format!("{}\n", new.public));
    Ok(())
}
