//! Sets up the telemetry of a program and handles its signals.

use crate::event;
use crate::events;
use crate::logs::{self, Format, Output};
use crate::metrics::Metrics;
use crate::traces::Traces;
use sillpin_settings::{Key, Kind, Loaded, Section};
use slog::{Level, Logger, o};
use slog_async::AsyncGuard;
use std::error::Error;
use std::io;
use std::net::SocketAddr;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio_util::sync::CancellationToken;

/// Settings section for traces, common to all programs.
pub const TRACES_SECTION: Section = Section {
    name: "telemetry",
    keys: &[Key::optional(
        "collector",
        Kind::AddrList,
        "",
        "Address of the trace collector (OTLP over HTTP); empty: traces are not sent",
    )],
};

/// Settings section for the log, common to all programs.
pub const LOG_SECTION: Section = Section {
    name: "log",
    keys: &[
        Key::optional(
            "format",
            Kind::OneOf(logs::FORMATS),
            "json",
            "Output format of the log",
        ),
        Key::optional(
            "level",
            Kind::OneOf(logs::LEVELS),
            "info",
            "Lowest level that is logged",
        ),
    ],
};

/// Log, metrics and traces of a program.
pub struct Telemetry {
    /// Root logger.
    pub log: Logger,
    /// Metrics.
    pub metrics: Metrics,
    /// Tracer.
    pub traces: Traces,
}

/// Identity of a program for its telemetry.
pub struct Identity<'a> {
    /// Name of the program.
    pub program: &'static str,
    /// Id of its box.
    pub box_id: &'a str,
    /// Its availability zone.
    pub zone: &'a str,
    /// Address of the OTLP collector for traces, if any.
    pub collector: Option<SocketAddr>,
}

impl Telemetry {
    /// Sets up log, metrics and traces; must be called within a tokio runtime. The guard flushes the
    /// log on drop.
    pub fn start(
        identity: &Identity<'_>,
        format: Format,
        level: Level,
    ) -> Result<(Self, AsyncGuard), Box<dyn Error>> {
        Self::start_with(identity, format, level, Output::Stderr)
    }

    /// Like [`Telemetry::start`], with the log format and level from the [`LOG_SECTION`] settings.
    pub fn start_from_settings(
        identity: &Identity<'_>,
        loaded: &Loaded,
        output: Output,
    ) -> Result<(Self, AsyncGuard), Box<dyn Error>> {
        let format = loaded.get(LOG_SECTION.name, "format")?;
        let level = loaded.get(LOG_SECTION.name, "level")?;
        Self::start_with(identity, format, level, output)
    }

    fn start_with(
        identity: &Identity<'_>,
        format: Format,
        level: Level,
        output: Output,
    ) -> Result<(Self, AsyncGuard), Box<dyn Error>> {
        let (log, guard) = logs::logger(output, format, level, identity.program);
        let log =
            log.new(o!("box" => identity.box_id.to_owned(), "zone" => identity.zone.to_owned()));
        let telemetry = Self {
            log,
            metrics: Metrics::new(identity.program, identity.box_id)?,
            traces: Traces::new(identity.program, identity.box_id, identity.collector)?,
        };
        Ok((telemetry, guard))
    }
}

/// Logs each panic of the process. The runtime catches panics of its tasks, and a background task that has ended is not
/// noticed otherwise.
pub fn log_panics(log: Logger) {
    let print = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        let at = panic.location().map(ToString::to_string);
        event!(log, events::TASK_PANICKED, "at" => at.unwrap_or_default(),
            "why" => panic.payload_as_str().unwrap_or_default());
        print(panic);
    }));
}

/// Returns a token that the first SIGTERM cancels; further ones are ignored.
pub fn stop_on_sigterm() -> io::Result<CancellationToken> {
    let stop = CancellationToken::new();
    let mut term = signal(SignalKind::terminate())?;
    let stopping = stop.clone();
    tokio::spawn(async move {
        while term.recv().await.is_some() {
            stopping.cancel();
        }
    });
    Ok(stop)
}

/// Returns a stream of SIGHUP signals; without a handler, SIGHUP ends the process.
pub fn sighup_signals() -> io::Result<Signal> {
    signal(SignalKind::hangup())
}
