//! `sillpin-load send`: sends a trace and summarizes the results.

use super::{corpus, documents_arg, value};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use sillpin_load::driver::{self, DriverConfig};
use sillpin_load::lower_bound;
use sillpin_load::report::{Line, first_token_times, plot, summarize};
use sillpin_load::workload::Trace;
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use tokio::sync::watch;

pub fn cli() -> Command {
    Command::new("send")
        .about("Sends a trace, open loop, and summarizes the results")
        .arg(
            Arg::new("trace")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("File of the trace"),
        )
        .arg(
            Arg::new("entries")
                .long("entry")
                .required(true)
                .action(ArgAction::Append)
                .value_parser(value_parser!(SocketAddr))
                .help("Address of an entry; may be repeated"),
        )
        .arg(
            Arg::new("keys")
                .long("key")
                .required(true)
                .action(ArgAction::Append)
                .help("ORGANISATION=KEY; may be repeated"),
        )
        .arg(
            Arg::new("model")
                .long("model")
                .default_value("mfano")
                .help("Model of completion requests"),
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
                .help("Maximum wait for a response"),
        )
        .arg(
            Arg::new("cache")
                .long("cache-blocks")
                .default_value("1000")
                .value_parser(value_parser!(usize))
                .help("Total cache capacity of all engines in blocks, for the lower bound"),
        )
        .arg(
            Arg::new("plot")
                .long("plot")
                .value_parser(value_parser!(PathBuf))
                .help("File to which a plot (SVG) is written"),
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
    let config = DriverConfig {
        entries,
        keys: keys(args)?,
        model: value(args, "model")?,
        service_pool: value(args, "pool")?,
        timeout: Duration::from_secs(value(args, "timeout")?),
        retry_unknown: false,
    };
    let records = driver::run(&config, &trace, &corpus, |_| {}).await;
    let lower_bound = lower_bound::of(&trace, &corpus, value(args, "cache")?);
    let report = summarize(&records, Some(&lower_bound), &BTreeMap::new());
    if let Some(file) = args.get_one::<PathBuf>("plot") {
        let line = Line {
            name: "all",
            times: first_token_times(&records),
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
        pair.ok_or_else(|| io::Error::other("--key must have the form ORGANISATION=KEY"))
    };
    given.map(split).collect()
}
