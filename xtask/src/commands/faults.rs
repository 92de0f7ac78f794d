//! `cargo xtask faults`: injects random faults into a fleet of real processes.

use crate::ops::faults;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use sillpin_core::switches::{Mechanism, OFF_ENV};
use sillpin_testsuite::process::PROGRAMS_ENV;
use std::io;
use std::path::Path;

pub fn cli() -> Command {
    Command::new("faults")
        .about("Injects random faults into a fleet, in rounds, and checks its guarantees from outside")
        .arg(
            Arg::new("seed")
                .long("seed")
                .default_value("1")
                .value_parser(value_parser!(u64))
                .help("Seed"),
        )
        .arg(
            Arg::new("rounds")
                .long("rounds")
                .default_value("20")
                .value_parser(value_parser!(u32))
                .help("Rounds"),
        )
        .arg(
            Arg::new("off")
                .long("off")
                .value_parser(value_parser!(Mechanism))
                .help("Disable a mechanism (claim, outcome, attempt, adopt or slots); fails unless a checker detects violations"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print the report as one JSON document"),
        )
}

pub fn run(args: &ArgMatches) -> io::Result<()> {
    let off = args.get_one::<Mechanism>("off").copied();
    if let Some(mechanism) = off {
        return run_without(args, mechanism);
    }
    super::build_programs()?;
    let seed = args.get_one("seed").copied().unwrap_or(1);
    let rounds = args.get_one("rounds").copied().unwrap_or(20);
    let off = std::env::var(OFF_ENV)
        .ok()
        .and_then(|name| name.parse().ok());
    let runtime = tokio::runtime::Runtime::new()?;
    let report = runtime.block_on(faults::run(seed, rounds, off, |what| eprintln!("{what}")));
    if args.get_flag("json") {
        println!("{}", serde_json::to_string(&report)?);
    } else {
        println!("{report:#?}");
    }
    if report.violations() > 0 {
        return Err(io::Error::other(format!(
            "{} violations of guarantees",
            report.violations()
        )));
    }
    Ok(())
}

/// Builds the programs with the feature that lets mechanisms be disabled, in a separate target
/// folder, and runs this command again with those programs. Fails if no violation is detected.
fn run_without(args: &ArgMatches, mechanism: Mechanism) -> io::Result<()> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let dir = root.join("target/broken");
    let build = std::process::Command::new(env!("CARGO"))
        .args([
            "build",
            "--quiet",
            "--workspace",
            "--bins",
            "--features",
            "sillpin-core/broken",
        ])
        .arg("--target-dir")
        .arg(&dir)
        .current_dir(&root)
        .status()?;
    if !build.success() {
        return Err(io::Error::other(
            "cargo build with the feature `sillpin-core/broken` failed",
        ));
    }
    let rounds = args.get_one::<u32>("rounds").copied().unwrap_or(2);
    let run = std::process::Command::new(std::env::current_exe()?)
        .args(["faults", "--rounds", &rounds.to_string()])
        .env(OFF_ENV, mechanism.to_string())
        .env(PROGRAMS_ENV, dir.join("debug"))
        .status()?;
    if run.success() {
        let what = format!("no checker detected a violation with {mechanism} disabled");
        return Err(io::Error::other(what));
    }
    println!("a checker detected violations with {mechanism} disabled, as expected");
    Ok(())
}
