//! `sillpin-standin service`

use super::{serve, with_listen};
use clap::{ArgMatches, Command};
use sillpin_standin::service::ServiceStandin;
use std::io;

pub fn cli() -> Command {
    with_listen(Command::new("service").about("A plain service that counts executions"))
}

pub async fn run(args: &ArgMatches) -> io::Result<()> {
    let service = ServiceStandin::default();
    serve("service", args, move |req| service.clone().handle(req)).await
}
