//! `sillpin-standin platform`

use super::{option, serve, value, with_listen};
use clap::{ArgMatches, Command};
use sillpin_standin::platform::{PlatformStandin, Rates};
use std::io;

pub fn cli() -> Command {
    let command = Command::new("platform").about("The platform's key-value service and box list");
    with_listen(command)
        .arg(option::<f64>("writes", "300", "Writes per second"))
        .arg(option::<f64>("reads", "2000", "Reads per second"))
}

pub async fn run(args: &ArgMatches) -> io::Result<()> {
    let rates = Rates {
        writes: value(args, "writes")?,
        reads: value(args, "reads")?,
    };
    let platform = PlatformStandin::new(rates);
    serve("platform", args, move |req| platform.clone().handle(req)).await
}
