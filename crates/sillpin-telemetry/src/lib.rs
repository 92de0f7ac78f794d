//! Telemetry: numbered log events, metrics and traces.
//!
//! - [`events`]: the catalogue of log events (a test compares it with `docs/EVENTS.md`),
//! - [`logs`]: loggers with JSON or terminal output,
//! - [`metrics`]: metrics in the Prometheus format,
//! - [`program`]: telemetry setup and signal handling of a program,
//! - [`traces`]: tracing spans, exported over OTLP.

pub mod events;
pub mod logs;
pub mod metrics;
pub mod program;
pub mod traces;

pub use events::Event;
pub use program::Telemetry;

/// Logs an event of the catalogue with its fields.
///
/// ```
/// # let log = slog::Logger::root(slog::Discard, slog::o!());
/// sillpin_telemetry::event!(log, sillpin_telemetry::events::ENTRY_READY, "addr" => "127.0.0.1:8080");
/// ```
#[macro_export]
macro_rules! event {
    ($log:expr, $event:path $(, $($fields:tt)+)?) => {
        $crate::slog::log!(
            $log, $event.level, "", "{}", $event.text;
            "event" => $event.code $(, $($fields)+)?
        )
    };
}

pub use slog;
