//! `sillpin-box`: all functions of a box in one process, for platforms that publish routes and targets.

use clap::Command;
use sillpin_gateway::ops::{self, Adapter};
use sillpin_gateway::reload;
use sillpin_gateway::settings::{BoxConfig, SCHEMA};
use sillpin_http::Client;
use sillpin_platform::call::CallCounts;
use sillpin_settings::program::Reloader;
use sillpin_settings::{Loaded, program};
use sillpin_telemetry::Telemetry;
use sillpin_telemetry::logs::Output;
use sillpin_telemetry::program::{Identity, log_panics, sighup_signals, stop_on_sigterm};
use sillpin_wire::{PlatformDialect, PlatformKeys, PlatformStore, TargetClient};
use std::error::Error;
use std::process::ExitCode;

const PROGRAM: &str = "sillpin-box";

fn main() -> ExitCode {
    let command = Command::new(PROGRAM).about("Runs a sillpin box on a platform");
    program::run_reloading(command, SCHEMA, start)
}

fn start(loaded: Loaded, reloader: Reloader) -> Result<(), Box<dyn Error>> {
    let cfg = BoxConfig::from_loaded(&loaded)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(serve(loaded, reloader, cfg))
}

async fn serve(loaded: Loaded, reloader: Reloader, cfg: BoxConfig) -> Result<(), Box<dyn Error>> {
    let me = Identity {
        program: PROGRAM,
        box_id: cfg.id.as_str(),
        zone: cfg.zone.as_str(),
        collector: cfg.collector,
    };
    let (telemetry, _guard) = Telemetry::start_from_settings(&me, &loaded, Output::Stdout)?;
    log_panics(telemetry.log.clone());
    let settings = reload::start(
        loaded,
        reloader,
        &cfg,
        sighup_signals()?,
        telemetry.log.clone(),
    );
    let client = Client::default();
    let counts = CallCounts::default();
    let adapter = Adapter {
        dialect: PlatformDialect,
        keys: PlatformKeys,
        platform: PlatformStore::new(client.clone(), cfg.platform, counts.clone()),
        counts,
        control: TargetClient::new(client),
    };
    // The callback is not needed: the first log record contains the addresses of the listeners.
    ops::run(settings, telemetry, adapter, stop_on_sigterm()?, |_| ()).await?;
    Ok(())
}
