//! `sillpin-load send`: sends a trace and sums up what came of it.

use super::{corpus, documents_arg, value};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use sillpin_load::driver::{self, Drive};
use sillpin_load::lower_bound;
use sillpin_load::report::{Line, first_tokens, plot, sum_up};
use sillpin_load::workload::Trace;
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use tokio::sync::watch;

pub fn cli() -> Command {
    Command::new("send")
        .about("Sends a trace, open loop, and sums up what came of it")
        .arg(
            Arg::new("trace")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("The trace"),
        )
        .arg(
            Arg::new("entries")
                .long("entry")
                .required(true)
                .action(ArgAction::Append)
                .value_parser(value_parser!(SocketAddr))
                .help("An entry; may be given often"),
        )
        .arg(
            Arg::new("keys")
                .long("key")
                .required(true)
                .action(ArgAction::Append)
                .help("ORGANISATION=KEY; may be given often"),
        )
        .arg(
            Arg::new("model")
                .long("model")
                .default_value("mfano")
                .help("Model to ask"),
        )
        .arg(
            Arg::new("pool")
                .long("pool")
                .default_value("safari-app")
                .help("Pool of services to call"),
        )
        .arg(
            Arg::new("timeout")
                .long("timeout-seconds")
                .default_value("120")
                .value_parser(value_parser!(u64))
                .help("Longest wait for an answer"),
        )
        .arg(
            Arg::new("cache")
                .long("cache-blocks")
                .default_value("1000")
                .value_parser(value_parser!(usize))
                .help("Blocks that all engines together cache, for the floor"),
        )
        .arg(
            Arg::new("plot")
                .long("plot")
                .value_parser(value_parser!(PathBuf))
                .help("Write a plot (SVG)"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print JSON"),
        )
        .arg(documents_arg())
}

pub async fn run(args: &ArgMatches) -> io::Result<()> {
    let text = std::fs::read_to_string(value::<PathBuf>(args, "trace")?)?;
    let trace = Trace::from_lines(&text).map_err(io::Error::other)?;
    let corpus = corpus(args)?;
    let entries = args.get_many::<SocketAddr>("entries").unwrap_or_default();
    let (_balancer, entries) = watch::channel(entries.copied().collect());
    let drive = Drive {
        entries,
        keys: keys(args)?,
        model: value(args, "model")?,
        service_pool: value(args, "pool")?,
        timeout: Duration::from_secs(value(args, "timeout")?),
        resend_unknown: false,
    };
    let rows = driver::run(&drive, &trace, &corpus, |_| {}).await;
    let floor = lower_bound::of(&trace, &corpus, value(args, "cache")?);
    let report = sum_up(&rows, Some(&floor), &BTreeMap::new());
    if let Some(file) = args.get_one::<PathBuf>("plot") {
        let line = Line {
            name: "all",
            times: first_tokens(&rows),
        };
        let svg = plot("Time to first token", &[line]).map_err(io::Error::other)?;
        std::fs::write(file, svg)?;
    }
    if args.get_flag("json") {
        println!("{}", serde_json::to_string(&report)?);
    } else {
        print!("{}", report.text());
    }
    Ok(())
}

fn keys(args: &ArgMatches) -> io::Result<HashMap<String, String>> {
    let given = args.get_many::<String>("keys").unwrap_or_default();
    let split = |pair: &String| {
        let pair = pair.split_once('=');
        let pair = pair.map(|(org, key)| (org.to_owned(), key.to_owned()));
        pair.ok_or_else(|| io::Error::other("--key must be ORGANISATION=KEY"))
    };
    given.map(split).collect()
}
