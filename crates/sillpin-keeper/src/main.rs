//! `sillpin-keeper`: the control side of a box.

use clap::Command;
use sillpin_keeper::ops;
use sillpin_keeper::settings::{KeeperConfig, SCHEMA};
use sillpin_settings::{Loaded, program};
use sillpin_telemetry::Telemetry;
use sillpin_telemetry::logs::Output;
use sillpin_telemetry::program::{Identity, stop_on_sigterm};
use std::error::Error;
use std::process::ExitCode;

const PROGRAM: &str = "sillpin-keeper";

fn main() -> ExitCode {
    let command = Command::new(PROGRAM).about("The control side of a sillpin box");
    program::run(command, SCHEMA, start)
}

fn start(loaded: &Loaded) -> Result<(), Box<dyn Error>> {
    let cfg = KeeperConfig::from_loaded(loaded)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(serve(loaded, cfg))
}

async fn serve(loaded: &Loaded, cfg: KeeperConfig) -> Result<(), Box<dyn Error>> {
    let me = Identity {
        program: PROGRAM,
        box_id: cfg.box_id.as_str(),
        zone: cfg.zone.as_str(),
        collector: cfg.collector,
    };
    let (telemetry, _guard) = Telemetry::start_from_settings(&me, loaded, Output::Stderr)?;
    ops::run(cfg, telemetry, stop_on_sigterm()?, |at| {
        println!("listening entry {}", at.entry);
        println!("listening peer {}", at.peer);
        println!("listening http {}", at.http);
    })
    .await?;
    Ok(())
}
