//! What the system shows of itself: numbered log events, metrics and traces.
//!
//! - [`events`]: the catalogue of log events (`docs/EVENTS.md` is held to it by a test),
//! - [`logs`]: loggers in JSON or for a terminal,
//! - [`metrics`]: a meter with a Prometheus page,
//! - [`program`]: all of them set up for a program, and its stop,
//! - [`traces`]: spans, one a hop, to a collector over OTLP.

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
