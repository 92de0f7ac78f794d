//! `sillpin-keeper`: the control side of a box.

use clap::Command;
use sillpin_keeper::ops;
use sillpin_keeper::settings::{KeeperConfig, SCHEMA};
use sillpin_settings::{Loaded, program};
use sillpin_telemetry::logs;
use sillpin_telemetry::metrics::Metrics;
use sillpin_telemetry::traces::Traces;
use std::error::Error;
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

const PROGRAM: &str = "sillpin-keeper";

fn main() -> ExitCode {
    let command = Command::new(PROGRAM).about("The control side of a sillpin box");
    program::run(command, SCHEMA, start)
}

fn start(loaded: &Loaded) -> Result<(), Box<dyn Error>> {
    let cfg = KeeperConfig::from_loaded(loaded)?;
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
            println!("listening entry {}", at.entry);
            println!("listening peer {}", at.peer);
            println!("listening http {}", at.http);
        })
        .await?;
        Ok(())
    })
}
