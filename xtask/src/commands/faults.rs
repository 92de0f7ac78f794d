//! `cargo xtask faults`: randomised rounds of faults over real processes.

use crate::ops::faults;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use sillpin_core::switches::{Mechanism, OFF_ENV};
use sillpin_testsuite::process::PROGRAMS_ENV;
use std::io;
use std::path::Path;

pub fn cli() -> Command {
    Command::new("faults")
        .about("Runs randomised rounds of faults and checks the promises from outside")
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
                .help("Build with a mechanism turned off (claim, outcome, attempt, adopt or slots): its checker must fire"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("End with one JSON document"),
        )
}

pub fn run(args: &ArgMatches) -> io::Result<()> {
    let off = args.get_one::<Mechanism>("off").copied();
    if let Some(mechanism) = off {
        return run_broken(args, mechanism);
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
            "{} violations",
            report.violations()
        )));
    }
    Ok(())
}

/// Builds with the feature that lets mechanisms be turned off, apart from all other builds, and
/// runs this command again over those programs.
fn run_broken(args: &ArgMatches, mechanism: Mechanism) -> io::Result<()> {
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
        return Err(io::Error::other("the broken programs could not be built"));
    }
    let rounds = args.get_one::<u32>("rounds").copied().unwrap_or(2);
    let run = std::process::Command::new(std::env::current_exe()?)
        .args(["faults", "--rounds", &rounds.to_string()])
        .env(OFF_ENV, mechanism.to_string())
        .env(PROGRAMS_ENV, dir.join("debug"))
        .status()?;
    if run.success() {
        let what = format!("no checker fired with {mechanism} turned off");
        return Err(io::Error::other(what));
    }
    println!("with {mechanism} turned off a checker fired, as it must");
    Ok(())
}
