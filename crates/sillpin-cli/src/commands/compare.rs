//! `sillpin bundle compare`: compares two arms of the bundle in force.

use super::{keeper_arg, show, value};
use clap::{Arg, ArgMatches, Command, value_parser};
use sillpin_cli::CliError;
use sillpin_cli::ops::compare::{self, Compared, Comparison, ZoneComparison};
use sillpin_cli::ops::{fleet, write_file};
use sillpin_core::ArmName;
use std::path::PathBuf;

pub fn cli() -> Command {
    let arm = |name: &'static str| {
        Arg::new(name)
            .required(true)
            .value_parser(value_parser!(ArmName))
            .help("Name of an arm; `control` is the control arm")
    };
    Command::new("compare")
        .about("Compares two arms of the bundle in force, by zone, with 95% confidence intervals")
        .arg(arm("a"))
        .arg(arm("b"))
        .arg(keeper_arg())
        .arg(
            Arg::new("plot")
                .long("plot")
                .value_parser(value_parser!(PathBuf))
                .help("File to write a plot of both arms to (SVG)"),
        )
}

pub async fn run(args: &ArgMatches) -> Result<(), CliError> {
    let (a, b): (ArmName, ArmName) = (value(args, "a")?, value(args, "b")?);
    let keeper = value(args, "keeper")?;
    let revision = fleet::status(keeper).await?.revision;
    let figures = compare::figures(keeper).await?;
    let comparison = compare::compare(&figures, revision, &a, &b)?;
    if let Some(file) = args.get_one::<PathBuf>("plot") {
        write_file(file, &compare::plot(&figures, &a, &b)?)?;
    }
    show(args, &comparison, text);
    Ok(())
}

fn text(comparison: &Comparison) -> String {
    let head = format!(
        "revision {}: {} against {}\n",
        comparison.revision, comparison.a, comparison.b
    );
    let zones = comparison.zones.iter().map(zone_text);
    head + &zones.collect::<String>()
}

fn zone_text(zone: &ZoneComparison) -> String {
    let name = zone.zone.as_ref().map_or("all zones", |zone| zone.as_str());
    let (a, b) = zone.samples;
    let (failed_a, failed_b) = zone.failed;
    let mut text = format!("{name}: {a} and {b} answers, {failed_a} and {failed_b} without one\n");
    text += &line("first token, median, ms", &zone.first_token_p50_ms);
    text += &line("first token, 95th percentile, ms", &zone.first_token_p95_ms);
    text += &line("prompt tokens computed, share", &zone.recomputed_share);
    text += &line("bytes fetched a request", &zone.link_bytes);
    text
}

fn line(name: &str, compared: &Compared) -> String {
    let Compared { a, b, low, high } = compared;
    let verdict = if compared.is_significant() {
        format!("difference {low:.3} to {high:.3}")
    } else {
        format!("no difference shown ({low:.3} to {high:.3})")
    };
    format!("  {name}: {a:.3} and {b:.3}; {verdict}\n")
}
