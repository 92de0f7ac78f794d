//! `sillpin bundle`: creates, checks, signs, accepts and compares bundles.

use super::{file_arg, keeper_arg, platform, platform_arg, show, value};
use clap::{Arg, ArgMatches, Command, value_parser};
use serde::Serialize;
use sillpin_bundle::Accepted;
use sillpin_cli::ops::{bundle, fleet, read_file};
use sillpin_cli::{CliError, ExitStatus};
use sillpin_core::{BoxId, Revision};
use std::path::PathBuf;

pub fn cli() -> Command {
    Command::new("bundle")
        .about("Manages bundles of policies")
        .subcommand_required(true)
        .subcommand(
            Command::new("new")
                .about("Prints a bundle with default policies")
                .arg(Arg::new("name").required(true).help("Name of the bundle")),
        )
        .subcommand(
            Command::new("check")
                .about("Checks a bundle and prints all errors")
                .arg(file_arg("file", "The bundle")),
        )
        .subcommand(
            Command::new("sign")
                .about("Checks a bundle and prints it with its signature")
                .arg(file_arg("file", "The bundle"))
                .arg(file_arg("key", "The signing key")),
        )
        .subcommand(accept_cli())
        .subcommand(super::compare::cli())
        .subcommand(
            Command::new("log")
                .about("Lists accepted revisions")
                .arg(platform_arg()),
        )
        .subcommand(
            Command::new("status")
                .about("Shows which revision is in force on each box")
                .arg(keeper_arg()),
        )
}

fn accept_cli() -> Command {
    Command::new("accept")
        .about("Accepts a signed bundle as the next revision")
        .arg(file_arg("file", "The signed bundle"))
        .arg(platform_arg())
        .arg(
            Arg::new("operator")
                .long("operator")
                .env("USER")
                .default_value("operator")
                .help("Name of the operator, recorded with the revision"),
        )
        .arg(
            Arg::new("expect")
                .long("expect")
                .value_parser(value_parser!(Revision))
                .help("Accept only if this revision is in force now"),
        )
}

pub async fn run(args: &ArgMatches) -> Result<(), CliError> {
    match args.subcommand() {
        Some(("new", args)) => new(args),
        Some(("check", args)) => check(args),
        Some(("sign", args)) => sign(args),
        Some(("accept", args)) => accept(args).await,
        Some(("compare", args)) => super::compare::run(args).await,
        Some(("log", args)) => log(args).await,
        Some(("status", args)) => status(args).await,
        _ => Err(CliError::new(ExitStatus::Usage, "no command")),
    }
}

fn new(args: &ArgMatches) -> Result<(), CliError> {
    let bundle = bundle::new_bundle(&value::<String>(args, "name")?);
    let text = serde_json::to_string_pretty(&bundle).unwrap_or_default();
    println!("{text}");
    Ok(())
}

/// Output of `bundle check`.
#[derive(Serialize)]
struct Checked {
    name: String,
    digest: String,
}

fn check(args: &ArgMatches) -> Result<(), CliError> {
    let text = read_file(&value::<PathBuf>(args, "file")?)?;
    let checked = Checked {
        name: bundle::check(&text)?.name,
        digest: sillpin_bundle::Digest::of(&text).to_string(),
    };
    show(args, &checked, |c| {
        format!("{} may be signed, digest {}\n", c.name, c.digest)
    });
    Ok(())
}

fn sign(args: &ArgMatches) -> Result<(), CliError> {
    let text = read_file(&value::<PathBuf>(args, "file")?)?;
    let key = read_file(&value::<PathBuf>(args, "key")?)?;
    let signed = bundle::sign(&text, &key)?;
    println!("{}", serde_json::to_string(&signed).unwrap_or_default());
    Ok(())
}

/// Output of `bundle accept`, and of `bundle log` for each revision.
#[derive(Serialize)]
struct Row {
    revision: Revision,
    digest: String,
    operator: String,
    signer: String,
}

impl From<&Accepted> for Row {
    fn from(accepted: &Accepted) -> Self {
        Self {
            revision: accepted.revision,
            digest: accepted.bundle.digest.to_string(),
            operator: accepted.operator.clone(),
            signer: accepted.bundle.signer.clone(),
        }
    }
}

impl Row {
    fn line(&self) -> String {
        let digest = self.digest.get(..12).unwrap_or(&self.digest);
        format!(
            "revision {} digest {digest} accepted by {}\n",
            self.revision, self.operator
        )
    }
}

async fn accept(args: &ArgMatches) -> Result<(), CliError> {
    let signed = read_file(&value::<PathBuf>(args, "file")?)?;
    let signed = bundle::parse_signed(&signed)?;
    let operator: String = value(args, "operator")?;
    let expect = args.get_one::<Revision>("expect").copied();
    let accepted = bundle::accept(&platform(args)?, signed, &operator, expect).await?;
    show(args, &Row::from(&accepted), Row::line);
    Ok(())
}

async fn log(args: &ArgMatches) -> Result<(), CliError> {
    let log = bundle::log(&platform(args)?).await?;
    let rows: Vec<Row> = log.iter().map(Row::from).collect();
    show(args, &rows, |rows| rows.iter().map(Row::line).collect());
    Ok(())
}

/// Output of `bundle status` for each box.
#[derive(Serialize)]
struct BoxRow {
    id: BoxId,
    revision: Revision,
    live: bool,
}

async fn status(args: &ArgMatches) -> Result<(), CliError> {
    let fleet_status = fleet::status(value(args, "keeper")?).await?;
    let mut rows = Vec::new();
    for status in fleet_status.boxes {
        rows.push(BoxRow {
            id: status.id,
            revision: status.state.revision,
            live: status.live,
        });
    }
    show(args, &rows, |rows| {
        let lines = rows.iter().map(|r| {
            let live = if r.live { "live" } else { "out of use" };
            format!("{} revision {} {live}\n", r.id, r.revision)
        });
        lines.collect()
    });
    Ok(())
}
