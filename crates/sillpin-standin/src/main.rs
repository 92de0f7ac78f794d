//! `sillpin-standin`: runs one stand-in per process, for tests, the demo and measurements.

use clap::Command;
use std::process::ExitCode;

mod commands;

fn main() -> ExitCode {
    let matches = cli().get_matches();
    let runtime = match tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(e) => return fail(&e.to_string()),
    };
    match runtime.block_on(commands::run(&matches)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => fail(&e.to_string()),
    }
}

fn cli() -> Command {
    Command::new("sillpin-standin")
        .about("Stand-ins for the systems around sillpin; for tests only")
        .subcommand_required(true)
        .subcommands(commands::cli())
}

fn fail(what: &str) -> ExitCode {
    eprintln!("error: {what}");
    ExitCode::FAILURE
}
