//! `sillpin-entry`: the request path of a box.

use clap::Command;
use sillpin_entry::ops;
use sillpin_entry::settings::{EntryConfig, SCHEMA};
use sillpin_settings::{Loaded, program};
use sillpin_telemetry::logs;
use sillpin_telemetry::metrics::Metrics;
use sillpin_telemetry::traces::Traces;
use std::error::Error;
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

const PROGRAM: &str = "sillpin-entry";

fn main() -> ExitCode {
    let command = Command::new(PROGRAM).about("The request path of a sillpin box");
    program::run(command, SCHEMA, start)
}

fn start(loaded: &Loaded) -> Result<(), Box<dyn Error>> {
    let cfg = EntryConfig::from_loaded(loaded)?;
    let level = loaded.get("log", "level")?;
    let (log, _guard) = logs::logger(loaded.get("log", "format")?, level, PROGRAM);
    let log = log.new(slog::o!("box" => cfg.box_id.to_string(), "zone" => cfg.zone.to_string()));
    let metrics = Metrics::new(PROGRAM, cfg.box_id.as_str())?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let stop = CancellationToken::new();
        let mut term = signal(SignalKind::terminate())?;
        let stopping = stop.clone();
        tokio::spawn(async move {
            term.recv().await;
            stopping.cancel();
        });
        let traces = Traces::new(PROGRAM, cfg.box_id.as_str(), cfg.collector)?;
        let telemetry = ops::Telemetry {
            log,
            metrics,
            traces,
        };
        ops::run(cfg, telemetry, stop, |at| {
            println!("listening callers {}", at.callers);
            println!("listening http {}", at.http);
        })
        .await?;
        Ok(())
    })
}
