//! The log of a process in which a task panics.

use sillpin_telemetry::events;
use sillpin_telemetry::program::log_panics;
use sillpin_telemetry::slog::{
    self, Drain, KV, Key, Logger, Never, OwnedKVList, Record, Serializer, o,
};
use std::fmt::{Arguments, Write};
use std::sync::{Arc, Mutex};

/// A log in memory: each field as `name=value`, and each record as one line.
#[derive(Clone, Default)]
struct Lines(Arc<Mutex<String>>);

struct Line(String);

impl Serializer for Line {
    fn emit_arguments(&mut self, key: Key, value: &Arguments<'_>) -> slog::Result {
        write!(self.0, "{key}={value} ")?;
        Ok(())
    }
}

impl Drain for Lines {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, _: &OwnedKVList) -> Result<(), Never> {
        let mut line = Line(String::new());
        // Cannot fail: the serializer writes to memory.
        let _ = record.kv().serialize(record, &mut line);
        let mut lines = self.0.lock().unwrap();
        lines.push_str(&line.0);
        lines.push('\n');
        Ok(())
    }
}

#[tokio::test]
async fn a_task_that_panics_leaves_no_line_in_the_log() {
    let lines = Lines::default();
    log_panics(Logger::root(lines.clone(), o!()));
    assert!(tokio::spawn(async { panic!("a fault") }).await.is_err());
    let logged = lines.0.lock().unwrap().clone();
    assert_eq!(logged.lines().count(), 1, "{logged}");
    assert!(
        logged.contains(&format!("event={}", events::TASK_PANICKED.code)),
        "{logged}"
    );
    assert!(logged.contains("tests/panics.rs"), "{logged}");
    assert!(logged.contains("why=a fault"), "{logged}");
}
