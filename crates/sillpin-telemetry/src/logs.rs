//! Loggers that write one JSON document per line, or lines for a terminal.

use derive_more::{Display, FromStr};
use slog::{Drain, Level, LevelFilter, Logger, o};
use slog_async::{Async, AsyncGuard, OverflowStrategy};
use std::io;

/// Length of the queue of the writer thread; the library drops and counts further records.
const QUEUE_LEN: usize = 4_096;

/// Accepted values of the setting `format`.
pub const FORMATS: &[&str] = &["json", "terminal"];

/// Accepted values of the setting `level`.
pub const LEVELS: &[&str] = &["debug", "info", "warning", "error"];

/// Output format of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, FromStr)]
pub enum Format {
    /// One JSON document per line.
    Json,
    /// Lines for a terminal.
    Terminal,
}

/// Destination of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Output {
    /// Standard output.
    Stdout,
    /// Standard error, for programs that use standard output for other purposes.
    Stderr,
}

impl Output {
    fn write_to(self, format: Format, level: Level, program: &'static str) -> (Logger, AsyncGuard) {
        match self {
            Output::Stdout => build(io::stdout(), format, level, program),
            Output::Stderr => build(io::stderr(), format, level, program),
        }
    }
}

/// Creates a logger that writes in a separate thread, and a guard that flushes the queue when
/// dropped.
pub fn logger(
    output: Output,
    format: Format,
    level: Level,
    program: &'static str,
) -> (Logger, AsyncGuard) {
    output.write_to(format, level, program)
}

fn build<W: io::Write + Send + 'static>(
    out: W,
    format: Format,
    level: Level,
    program: &'static str,
) -> (Logger, AsyncGuard) {
    match format {
        Format::Json => {
            let drain = slog_json::Json::default(out).fuse();
            start(drain, level, program)
        }
        Format::Terminal => {
            let decorator = slog_term::PlainDecorator::new(out);
            let drain = slog_term::CompactFormat::new(decorator).build().fuse();
            start(drain, level, program)
        }
    }
}

fn start<D>(drain: D, level: Level, program: &'static str) -> (Logger, AsyncGuard)
where
    D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
{
    let (drain, guard) = Async::new(drain)
        .chan_size(QUEUE_LEN)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build_with_guard();
    let drain = LevelFilter::new(drain, level).fuse();
    (Logger::root(drain, o!("program" => program)), guard)
}

/// Creates a logger that discards all records.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, o!())
}
