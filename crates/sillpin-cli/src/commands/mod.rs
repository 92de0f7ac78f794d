//! The commands. Each module has the arguments of its command (`cli`) and the function that runs it.

mod bundle;
mod compare;
mod explain;
mod key;
mod organisation;
mod status;
mod trace;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use serde::Serialize;
use sillpin_cli::{CliError, ExitStatus};
use sillpin_http::Client;
use sillpin_platform::HttpPlatform;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Environment variable with the platform's address.
const PLATFORM_ENV: &str = "SILLPIN_PLATFORM_ADDR";

/// Environment variable with a keeper's address.
const KEEPER_ENV: &str = "SILLPIN_KEEPER_PEER";

pub fn cli() -> Command {
    Command::new("sillpin")
        .about("Operates a sillpin fleet")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg(
            Arg::new("json")
                .long("json")
                .global(true)
                .action(ArgAction::SetTrue)
                .help("Print the output as one JSON document"),
        )
        .subcommand(bundle::cli())
        .subcommand(explain::cli())
        .subcommand(key::cli())
        .subcommand(organisation::cli())
        .subcommand(status::cli())
        .subcommand(trace::cli())
}

pub async fn run(args: &ArgMatches) -> Result<(), CliError> {
    match args.subcommand() {
        Some(("bundle", args)) => bundle::run(args).await,
        Some(("explain", args)) => explain::run(args).await,
        Some(("key", args)) => key::run(args),
        Some(("organisation", args)) => organisation::run(args).await,
        Some(("status", args)) => status::run(args).await,
        Some(("trace", args)) => trace::run(args),
        _ => Err(CliError::new(ExitStatus::Usage, "no command")),
    }
}

fn platform_arg() -> Arg {
    Arg::new("platform")
        .long("platform")
        .env(PLATFORM_ENV)
        .required(true)
        .value_parser(value_parser!(SocketAddr))
        .help("Address of the platform's store")
}

fn keeper_arg() -> Arg {
    Arg::new("keeper")
        .long("keeper")
        .env(KEEPER_ENV)
        .required(true)
        .value_parser(value_parser!(SocketAddr))
        .help("Peer address of any keeper")
}

fn file_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help(help)
}

/// Returns the value of a required argument.
fn value<T: Clone + Send + Sync + 'static>(args: &ArgMatches, name: &str) -> Result<T, CliError> {
    let value = args.get_one::<T>(name).cloned();
    value.ok_or_else(|| CliError::new(ExitStatus::Usage, format!("{name} is missing")))
}

/// Returns a client of the platform at the `platform` argument's address.
fn platform(args: &ArgMatches) -> Result<HttpPlatform, CliError> {
    Ok(HttpPlatform::new(
        Client::default(),
        value(args, "platform")?,
    ))
}

/// Prints a document as JSON with `--json`, otherwise as text.
fn show<T: Serialize>(args: &ArgMatches, document: &T, text: impl FnOnce(&T) -> String) {
    if args.get_flag("json") {
        println!("{}", serde_json::to_string(document).unwrap_or_default());
    } else {
        print!("{}", text(document));
    }
}
