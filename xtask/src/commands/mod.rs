//! The commands: each declares its arguments beside the function that runs it.

mod docs;

use clap::{ArgMatches, Command};
use std::io;

pub fn cli() -> Command {
    Command::new("xtask")
        .about("Chores of the sillpin workspace")
        .subcommand_required(true)
        .subcommand(docs::cli())
}

pub fn run(args: &ArgMatches) -> io::Result<()> {
    match args.subcommand() {
        Some(("docs", _)) => docs::run(),
        _ => Ok(()),
    }
}
