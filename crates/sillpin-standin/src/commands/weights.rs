//! `sillpin-standin weights`

use super::{millis, option, serve, with_listen};
use clap::{ArgMatches, Command};
use sillpin_standin::weights::WeightStandin;
use std::io;

pub fn cli() -> Command {
    let command = Command::new("weights").about("A rate-limited weight store");
    with_listen(command).arg(option::<u64>(
        "load-ms",
        "800",
        "Duration of a load at full speed",
    ))
}

pub async fn run(args: &ArgMatches) -> io::Result<()> {
    let weights = WeightStandin::new(millis(args, "load-ms")?);
    serve("weights", args, move |req| weights.clone().handle(req)).await
}
