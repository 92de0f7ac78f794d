//! The subcommands. Each module declares the arguments of one command and runs it.

mod engine;
mod fault;
mod platform;
mod service;
mod store;
mod weights;

use clap::{Arg, ArgMatches, Command, value_parser};
use hyper::Request;
use sillpin_http::IncomingBody;
use sillpin_http::Server;
use sillpin_standin::{Response, announce};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// Returns all subcommands.
pub fn cli() -> Vec<Command> {
    vec![
        engine::cli(),
        fault::cli(),
        platform::cli(),
        service::cli(),
        store::cli(),
        weights::cli(),
    ]
}

/// Runs the given subcommand until the process is killed.
pub async fn run(matches: &ArgMatches) -> io::Result<()> {
    match matches.subcommand() {
        Some(("engine", args)) => engine::run(args).await,
        Some(("fault", args)) => fault::run(args).await,
        Some(("platform", args)) => platform::run(args).await,
        Some(("service", args)) => service::run(args).await,
        Some(("store", args)) => store::run(args).await,
        Some(("weights", args)) => weights::run(args).await,
        _ => Ok(()),
    }
}

fn with_listen(command: Command) -> Command {
    command.arg(option::<SocketAddr>(
        "listen",
        "127.0.0.1:0",
        "Address to listen on",
    ))
}

fn option<T>(name: &'static str, default: &'static str, help: &'static str) -> Arg
where
    T: FromStr + Clone + Send + Sync + 'static,
    T::Err: std::error::Error + Send + Sync + 'static,
{
    let parser = |text: &str| text.parse::<T>();
    Arg::new(name)
        .long(name)
        .default_value(default)
        .value_parser(parser)
        .help(help)
}

fn value<T: Clone + Send + Sync + 'static>(args: &ArgMatches, name: &str) -> io::Result<T> {
    let value = args.try_get_one::<T>(name).map_err(io::Error::other)?;
    value
        .cloned()
        .ok_or_else(|| io::Error::other(format!("--{name} is missing")))
}

fn millis(args: &ArgMatches, name: &str) -> io::Result<Duration> {
    value::<u64>(args, name).map(Duration::from_millis)
}

fn flag(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_parser(value_parser!(bool))
        .action(clap::ArgAction::SetTrue)
        .help(help)
}

async fn serve<H, F>(name: &str, args: &ArgMatches, handler: H) -> io::Result<()>
where
    H: Fn(Request<IncomingBody>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let server = Server::bind(value(args, "listen")?).await?;
    announce(name, server.local_addr()?);
    server.run(CancellationToken::new(), handler).await;
    Ok(())
}
