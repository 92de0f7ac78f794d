//! `cargo demo [FILE...]`: runs a complete fleet on this machine.

use crate::ops::demo;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use std::io;
use std::path::{Path, PathBuf};
use std::time::Instant;

pub fn cli() -> Command {
    Command::new("demo")
        .about("Runs a complete fleet under a workload and reports the results")
        .arg(
            Arg::new("files")
                .action(ArgAction::Append)
                .value_parser(value_parser!(PathBuf))
                .help("Documents to build prompts from; the repository's docs if none are given"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Also print the report as one JSON document"),
        )
}

pub fn run(args: &ArgMatches) -> io::Result<()> {
    super::build_programs()?;
    let given = args.get_many::<PathBuf>("files").unwrap_or_default();
    let mut files: Vec<PathBuf> = given.cloned().collect();
    if files.is_empty() {
        files = repository_documents()?;
    }
    let texts = files.iter().map(std::fs::read_to_string);
    let texts = texts.collect::<io::Result<Vec<String>>>()?;
    let begun = Instant::now();
    let report_progress = |what: &str| eprintln!("{:5.1} s  {what}", begun.elapsed().as_secs_f64());
    let runtime = tokio::runtime::Runtime::new()?;
    let report = runtime.block_on(demo::run(texts, report_progress));
    print!("{}", report.text());
    if args.get_flag("json") {
        println!("{}", serde_json::to_string(&report)?);
    }
    if report.is_bad() {
        return Err(io::Error::other(
            "requests were lost or run twice, or got the response to another request",
        ));
    }
    Ok(())
}

/// Returns the README and the Markdown files of the repository's docs.
fn repository_documents() -> io::Result<Vec<PathBuf>> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let mut files = vec![root.join("README.md")];
    for entry in std::fs::read_dir(root.join("docs"))? {
        files.push(entry?.path());
    }
    files.retain(|file| file.extension().is_some_and(|e| e == "md"));
    files.sort();
    Ok(files)
}
