//! Loggers: one JSON document a line, or lines for a terminal.

use derive_more::{Display, FromStr};
use slog::{Drain, Level, LevelFilter, Logger, o};
use slog_async::{Async, AsyncGuard, OverflowStrategy};
use std::io;

/// Records that may wait for the writer; more are dropped and counted by the library.
const QUEUE_LEN: usize = 4_096;

/// Words accepted for a log's form.
pub const FORMATS: &[&str] = &["json", "terminal"];

/// Words accepted for a log's level.
pub const LEVELS: &[&str] = &["debug", "info", "warning", "error"];

/// Form of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, FromStr)]
pub enum Format {
    /// One JSON document a line.
    Json,
    /// Lines for a terminal.
    Terminal,
}

/// Where a log goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Output {
    /// Standard output.
    Stdout,
    /// Standard error, for programs that answer on standard output.
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

/// A logger that writes in a thread of its own, and the guard that writes out what waits when it is
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

/// A logger that writes nothing.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, o!())
}
