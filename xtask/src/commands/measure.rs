//! `cargo xtask measure SCENARIO`: produces the figures of `docs/MEASUREMENTS.md`.

use crate::ops::{compare, control, idle, streams};
use clap::{Arg, ArgAction, ArgMatches, Command};
use serde::Serialize;
use std::io;

/// Default number of streams opened through one entry.
const STREAMS: usize = 10_000;

/// Default number of keepers: the fleet size that the design targets.
const KEEPERS: usize = 380;

const SCENARIOS: [&str; 10] = [
    "streams",
    "idle",
    "control-380",
    "planning",
    "kerb",
    "overload",
    "noisy-organisation",
    "recompute-weight",
    "home-blocks",
    "slow-links",
];

/// Default number of runs of each side of a comparison.
const REPEATS: u64 = 5;

pub fn cli() -> Command {
    Command::new("measure")
        .about("Measures a scenario; build with --release for comparable figures")
        .arg(
            Arg::new("scenario")
                .required(true)
                .value_parser(SCENARIOS)
                .help("Scenario to measure"),
        )
        .arg(
            Arg::new("streams")
                .long("streams")
                .value_parser(clap::value_parser!(usize))
                .help("Streams to open, for `streams`"),
        )
        .arg(
            Arg::new("keepers")
                .long("keepers")
                .value_parser(clap::value_parser!(usize))
                .help("Keepers to start, for `control-380`"),
        )
        .arg(
            Arg::new("repeats")
                .long("repeats")
                .value_parser(clap::value_parser!(u64))
                .help("Runs of each side of a comparison"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print JSON"),
        )
}

pub fn run(args: &ArgMatches) -> io::Result<()> {
    super::build_programs()?;
    let scenario = args
        .get_one::<String>("scenario")
        .map_or("", String::as_str);
    let runtime = tokio::runtime::Runtime::new()?;
    match scenario {
        "streams" => {
            let streams = args.get_one::<usize>("streams").copied().unwrap_or(STREAMS);
            print_figures(args, &runtime.block_on(streams::measure(streams)))
        }
        "control-380" => {
            let keepers = args.get_one::<usize>("keepers").copied().unwrap_or(KEEPERS);
            print_figures(args, &runtime.block_on(control::measure(keepers)))
        }
        "idle" => print_figures(args, &runtime.block_on(idle::measure())),
        name => {
            let Some(scenario) = compare::scenario(name) else {
                return Err(io::Error::other("unknown scenario"));
            };
            let repeats = args.get_one::<u64>("repeats").copied().unwrap_or(REPEATS);
            let report_progress = |what: &str| eprintln!("{what}");
            print_figures(
                args,
                &runtime.block_on(compare::run(&scenario, repeats, report_progress)),
            )
        }
    }
}

fn print_figures<T: Serialize + std::fmt::Debug>(args: &ArgMatches, figures: &T) -> io::Result<()> {
    if args.get_flag("json") {
        println!("{}", serde_json::to_string(figures)?);
    } else {
        println!("{figures:#?}");
    }
    Ok(())
}
