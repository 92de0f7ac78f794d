//! The subcommands. Each module declares the arguments of one command and runs it.

mod demo;
mod docs;
mod faults;
mod measure;
mod names;

use clap::{ArgMatches, Command};
use sillpin_testsuite::process::PROGRAMS_ENV;
use std::io;

pub fn cli() -> Command {
    Command::new("xtask")
        .about("Development tasks of the sillpin workspace")
        .subcommand_required(true)
        .subcommand(demo::cli())
        .subcommand(docs::cli())
        .subcommand(faults::cli())
        .subcommand(measure::cli())
        .subcommand(names::cli())
}

pub fn run(args: &ArgMatches) -> io::Result<()> {
    match args.subcommand() {
        Some(("demo", args)) => demo::run(args),
        Some(("docs", _)) => docs::run(),
        Some(("faults", args)) => faults::run(args),
        Some(("measure", args)) => measure::run(args),
        Some(("names", _)) => names::run(),
        _ => Ok(()),
    }
}

/// Builds the programs that a fleet runs, in the profile of this program, unless the environment
/// variable [`PROGRAMS_ENV`] gives a folder of built ones.
fn build_programs() -> io::Result<()> {
    if std::env::var_os(PROGRAMS_ENV).is_some() {
        return Ok(());
    }
    let mut cargo = std::process::Command::new(env!("CARGO"));
    cargo.args(["build", "--quiet", "--workspace", "--bins"]);
    if !cfg!(debug_assertions) {
        cargo.arg("--release");
    }
    let status = cargo.current_dir(env!("CARGO_MANIFEST_DIR")).status()?;
    if status.success() {
        return Ok(());
    }
    Err(io::Error::other(
        "cargo build of the workspace's programs failed",
    ))
}
