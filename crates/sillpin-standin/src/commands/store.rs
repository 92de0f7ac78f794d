//! `sillpin-standin store`

use super::{millis, option, serve, value, with_listen};
use clap::{ArgMatches, Command};
use sillpin_standin::store::{StoreShape, StoreStandin};
use std::io;

pub fn cli() -> Command {
    let command = Command::new("store").about("A store for KV cache blocks");
    with_listen(command)
        .arg(option::<usize>(
            "memory",
            "4194304",
            "Size of the memory tier, in bytes",
        ))
        .arg(option::<usize>(
            "capacity",
            "67108864",
            "Size of memory and disk together, in bytes",
        ))
        .arg(option::<u64>(
            "link-rate",
            "50000000",
            "Rate of the link, in bytes per second",
        ))
        .arg(option::<u64>(
            "disk-delay-ms",
            "4",
            "Additional duration of a read from disk",
        ))
}

pub async fn run(args: &ArgMatches) -> io::Result<()> {
    let shape = StoreShape {
        memory: value(args, "memory")?,
        capacity: value(args, "capacity")?,
        link_rate: value(args, "link-rate")?,
        disk_delay: millis(args, "disk-delay-ms")?,
    };
    let store = StoreStandin::new(shape);
    serve("store", args, move |req| store.clone().handle(req)).await
}
