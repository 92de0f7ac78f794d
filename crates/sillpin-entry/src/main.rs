//! `sillpin-entry`: the request path of a box.

use clap::Command;
use sillpin_entry::ops;
use sillpin_entry::settings::{EntryConfig, SCHEMA};
use sillpin_settings::{Loaded, program};
use sillpin_telemetry::Telemetry;
use sillpin_telemetry::logs::Output;
use sillpin_telemetry::program::{Identity, stop_on_sigterm};
use std::error::Error;
use std::process::ExitCode;
use tokio::runtime::{Builder, Runtime};

const PROGRAM: &str = "sillpin-entry";

fn main() -> ExitCode {
    let command = Command::new(PROGRAM).about("The request path of a sillpin box");
    program::run(command, SCHEMA, start)
}

fn start(loaded: &Loaded) -> Result<(), Box<dyn Error>> {
    let cfg = EntryConfig::from_loaded(loaded)?;
    let threads = loaded.get("entry", "threads")?;
    runtime(threads)?.block_on(serve(loaded, cfg))
}

/// Builds a single-threaded runtime for one thread, else a multi-threaded one.
fn runtime(threads: usize) -> std::io::Result<Runtime> {
    if threads == 1 {
        return Builder::new_current_thread().enable_all().build();
    }
    let mut builder = Builder::new_multi_thread();
    builder.worker_threads(threads).enable_all().build()
}

async fn serve(loaded: &Loaded, cfg: EntryConfig) -> Result<(), Box<dyn Error>> {
    let me = Identity {
        program: PROGRAM,
        box_id: cfg.box_id.as_str(),
        zone: cfg.zone.as_str(),
        collector: cfg.collector,
    };
    let (telemetry, _guard) = Telemetry::start_from_settings(&me, loaded, Output::Stderr)?;
    ops::run(cfg, telemetry, stop_on_sigterm()?, |at| {
        println!("listening callers {}", at.callers);
        println!("listening http {}", at.http);
    })
    .await?;
    Ok(())
}
