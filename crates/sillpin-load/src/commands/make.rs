//! `sillpin-load make`: prints a trace.

use super::value;
use clap::{Arg, ArgMatches, Command, value_parser};
use sillpin_load::workload::{Kind, Plan, Trace};
use std::io;
use std::time::Duration;

pub fn cli() -> Command {
    Command::new("make")
        .about("Generates a trace and prints it, one request per line")
        .arg(
            Arg::new("kind")
                .required(true)
                .value_parser(value_parser!(Kind))
                .help("Kind of workload: planning or kerb"),
        )
        .arg(number("seed", "1", "Seed"))
        .arg(number("rate", "20", "Mean requests per second"))
        .arg(number("seconds", "30", "Length"))
        .arg(number(
            "prompts",
            "200",
            "Number of packs or histories whose prompts return",
        ))
        .arg(
            Arg::new("organisations")
                .long("organisations")
                .value_delimiter(',')
                .default_value("riders,mechanics")
                .help("Organisations, by descending number of requests"),
        )
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    let arg = Arg::new(name).long(name).default_value(default).help(help);
    arg.value_parser(value_parser!(u64))
}

pub fn run(args: &ArgMatches) -> io::Result<()> {
    let organisations = args.get_many::<String>("organisations").unwrap_or_default();
    let plan = Plan {
        kind: value(args, "kind")?,
        seed: value(args, "seed")?,
        organisations: organisations.cloned().collect(),
        rate: value::<u64>(args, "rate")? as f64,
        length: Duration::from_secs(value(args, "seconds")?),
        prompts: value::<u64>(args, "prompts")? as usize,
    };
    print!("{}", Trace::make(&plan).to_lines());
    Ok(())
}
