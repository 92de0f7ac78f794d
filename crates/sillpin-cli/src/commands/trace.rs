//! `sillpin trace`: shows the records of one request from the logs of many boxes.

use super::{show, value};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use sillpin_cli::ops::read_file;
use sillpin_cli::ops::trace::{Record, Trace, trace};
use sillpin_cli::{CliError, ExitStatus};
use std::io::Read;
use std::path::PathBuf;

pub fn cli() -> Command {
    Command::new("trace")
        .about("Shows a request's records in the logs of boxes, with related events of these boxes")
        .arg(
            Arg::new("request")
                .required(true)
                .help("Request id, as the caller sent it"),
        )
        .arg(
            Arg::new("logs")
                .action(ArgAction::Append)
                .num_args(0..)
                .value_parser(value_parser!(PathBuf))
                .help("Log files of boxes (default: standard input)"),
        )
}

pub fn run(args: &ArgMatches) -> Result<(), CliError> {
    let request: String = value(args, "request")?;
    let text = read_logs(args)?;
    let found = trace(&request, text.lines());
    if found.records.is_empty() {
        let what = format!("no record of request {request}");
        return Err(CliError::new(ExitStatus::NotFound, what));
    }
    show(args, &found, as_text);
    Ok(())
}

fn read_logs(args: &ArgMatches) -> Result<String, CliError> {
    let files = args.get_many::<PathBuf>("logs").into_iter().flatten();
    let mut text = String::new();
    let mut has_files = false;
    for file in files {
        has_files = true;
        text.push_str(&read_file(file)?);
        text.push('\n');
    }
    if !has_files {
        let read = std::io::stdin().read_to_string(&mut text);
        read.map_err(|e| CliError::caused(ExitStatus::Failed, "cannot read standard input", e))?;
    }
    Ok(text)
}

fn as_text(found: &Trace) -> String {
    let mut text = String::new();
    for record in &found.records {
        text.push_str(&line(record));
    }
    if !found.context.is_empty() {
        text.push_str("\nreported by these boxes around that time:\n");
    }
    for record in &found.context {
        text.push_str(&line(record));
    }
    if found.unreadable > 0 {
        text.push_str(&format!("\n{} line(s) are no records\n", found.unreadable));
    }
    text
}

fn line(record: &Record) -> String {
    let fields = record.fields.iter().filter(|(name, _)| *name != "request");
    let fields: Vec<String> = fields
        .map(|(name, value)| format!("{name}={value}"))
        .collect();
    format!(
        "{} {} E{} {}: {}\n",
        record.time,
        record.by,
        record.event,
        record.text,
        fields.join(" ")
    )
}
