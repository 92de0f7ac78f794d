//! The subcommands. Each module declares the arguments of one command and runs it.

mod make;
mod send;

use clap::{Arg, ArgMatches, Command, value_parser};
use sillpin_load::workload::Corpus;
use std::io;
use std::path::PathBuf;

pub fn cli() -> Command {
    Command::new("sillpin-load")
        .about("Generates and sends workloads, and summarizes their results")
        .subcommand_required(true)
        .subcommand(make::cli())
        .subcommand(send::cli())
}

pub async fn run(args: &ArgMatches) -> io::Result<()> {
    match args.subcommand() {
        Some(("make", args)) => make::run(args),
        Some(("send", args)) => send::run(args).await,
        _ => Ok(()),
    }
}

fn documents_arg() -> Arg {
    Arg::new("documents")
        .long("document")
        .action(clap::ArgAction::Append)
        .value_parser(value_parser!(PathBuf))
        .help("A text file to build prompts from; may be repeated")
}

fn corpus(args: &ArgMatches) -> io::Result<Corpus> {
    let files = args.get_many::<PathBuf>("documents").unwrap_or_default();
    let texts = files.map(std::fs::read_to_string);
    Ok(Corpus::of(texts.collect::<io::Result<_>>()?))
}

fn value<T: Clone + std::marker::Send + Sync + 'static>(
    args: &ArgMatches,
    name: &str,
) -> io::Result<T> {
    let value = args.get_one::<T>(name).cloned();
    value.ok_or_else(|| io::Error::other(format!("the argument `{name}` is missing")))
}
