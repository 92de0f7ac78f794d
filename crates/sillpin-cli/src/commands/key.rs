//! `sillpin key`: an operator's signing key.

use super::{file_arg, show, value};
use clap::{ArgMatches, Command};
use serde::Serialize;
use sillpin_bundle::SignerKey;
use sillpin_cli::{CliError, ExitStatus, ops};
use std::path::PathBuf;

pub fn cli() -> Command {
    Command::new("key")
        .about("Makes a signing key and prints its public half for the settings")
        .arg(file_arg("file", "Where to write the private key"))
}

#[derive(Serialize)]
struct Made {
    public: String,
}

pub fn run(args: &ArgMatches) -> Result<(), CliError> {
    let key = SignerKey::generate();
    let pem = key.to_pem();
    let pem = pem.map_err(|e| CliError::caused(ExitStatus::Failed, "cannot write the key", e))?;
    ops::write_file(&value::<PathBuf>(args, "file")?, &pem)?;
    let public = key.public().to_string();
    show(args, &Made { public }, |made| format!("{}\n", made.public));
    Ok(())
}
