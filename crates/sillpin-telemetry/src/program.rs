//! What a program shows of itself, set up in one place, and its stop.

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

/// Settings of traces, the same for every program.
pub const TRACES_SECTION: Section = Section {
    name: "telemetry",
    keys: &[Key::optional(
        "collector",
        Kind::AddrList,
        "",
        "Collector of traces (OTLP over HTTP); empty: none",
    )],
};

/// Settings of the log, the same for every program.
pub const LOG_SECTION: Section = Section {
    name: "log",
    keys: &[
        Key::optional(
            "format",
            Kind::OneOf(logs::FORMATS),
            "json",
            "Form of the log",
        ),
        Key::optional(
            "level",
            Kind::OneOf(logs::LEVELS),
            "info",
            "Lowest level logged",
        ),
    ],
};

/// What a program shows of itself.
pub struct Telemetry {
    /// Log.
    pub log: Logger,
    /// Metrics.
    pub metrics: Metrics,
    /// Spans.
    pub traces: Traces,
}

/// Whose telemetry it is and where it goes.
pub struct Identity<'a> {
    /// The program.
    pub program: &'static str,
    /// Its box.
    pub box_id: &'a str,
    /// Its availability zone.
    pub zone: &'a str,
    /// Collector of traces.
    pub collector: Option<SocketAddr>,
}

impl Telemetry {
    /// Sets up log, metrics and traces, within the runtime; the guard writes out the log's rest.
    pub fn start(
        me: &Identity<'_>,
        format: Format,
        level: Level,
    ) -> Result<(Self, AsyncGuard), Box<dyn Error>> {
        Self::start_with(me, format, level, Output::Stderr)
    }

    /// Like [`Telemetry::start`], with the log as [`LOG_SECTION`] is set and written to `output`.
    pub fn start_as_set(
        me: &Identity<'_>,
        loaded: &Loaded,
        output: Output,
    ) -> Result<(Self, AsyncGuard), Box<dyn Error>> {
        let format = loaded.get(LOG_SECTION.name, "format")?;
        let level = loaded.get(LOG_SECTION.name, "level")?;
        Self::start_with(me, format, level, output)
    }

    fn start_with(
        me: &Identity<'_>,
        format: Format,
        level: Level,
        output: Output,
    ) -> Result<(Self, AsyncGuard), Box<dyn Error>> {
        let (log, guard) = logs::logger(output, format, level, me.program);
        let log = log.new(o!("box" => me.box_id.to_owned(), "zone" => me.zone.to_owned()));
        let telemetry = Self {
            log,
            metrics: Metrics::new(me.program, me.box_id)?,
            traces: Traces::new(me.program, me.box_id, me.collector)?,
        };
        Ok((telemetry, guard))
    }
}

/// Cancelled by the first SIGTERM; further ones change nothing.
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

/// A stream of SIGHUPs, which would end the process if nobody listened.
pub fn hangups() -> io::Result<Signal> {
    signal(SignalKind::hangup())
}
