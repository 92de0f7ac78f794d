//! Requests that end the targets that run them.
//!
//! Such a request comes again, under another id and at any box, and takes with each target all that runs there. Boxes therefore remember under which
//! requests targets ended, tell each other, and refuse a request at once that is known to end them: it has not run, and will not.
//! One of 18 engines was lost each second before, and up to ten streams with it.
//!
//! - [`print`]: which requests are alike,
//! - [`witness`]: whether a target ended under requests,
//! - [`record`]: what is known of such requests,
//! - [`keep`]: what outlasts the loss of all boxes.

pub mod keep;
pub mod print;
pub mod record;
pub mod witness;

pub use print::RequestPrint;
pub use record::{FatalWord, Record};
pub use witness::Witness;

use crate::placement::work::IncarnationHash;
use sillpin_telemetry::{event, events};
use slog::Logger;
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::sync::Notify;
use tokio::time::Instant;

/// What a box knows of such requests; clones share it.
#[derive(Debug, Clone)]
pub struct Fatal {
    record: Arc<Mutex<Record>>,
    /// This box has noted something itself.
    pub found: Arc<Notify>,
    log: Logger,
}

impl Fatal {
    /// Nothing is known yet.
    pub fn new(log: Logger) -> Self {
        Self {
            record: Arc::default(),
            found: Arc::default(),
            log,
        }
    }

    /// The record.
    pub fn record(&self) -> MutexGuard<'_, Record> {
        self.record.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// A target ended at `at`, under requests of this box.
    pub fn ended(
        &self,
        life: IncarnationHash,
        under: impl IntoIterator<Item = RequestPrint>,
        at: Instant,
    ) {
        let known = self.record().ended(life, under, at, Instant::now());
        self.found.notify_waiters();
        self.log_known(&known, "this box");
    }

    /// Takes what another box tells.
    pub fn hear(&self, words: &[FatalWord]) {
        if !words.is_empty() {
            let known = self.record().hear(words, Instant::now());
            self.log_known(&known, "other boxes");
        }
    }

    /// Takes what was kept in the platform's store.
    pub fn restore(&self, words: &[FatalWord]) {
        let known = self.record().hear(words, Instant::now());
        self.log_known(&known, "store");
    }

    /// Counts a request that is about to be sent to a target as left there, unless it is told otherwise.
    pub fn sent(&self, print: RequestPrint, life: IncarnationHash) -> Sent<'_> {
        Sent {
            fatal: self,
            print,
            life,
            left: true,
        }
    }

    fn log_known(&self, known: &[RequestPrint], source: &'static str) {
        for print in known {
            event!(self.log, events::REQUEST_FATAL, "print" => print.to_string(), "source" => source);
        }
    }
}

/// A request at a target. Dropped while it waits there, as when its caller leaves, it counts as left: the target may still run it, and end.
pub struct Sent<'a> {
    fatal: &'a Fatal,
    print: RequestPrint,
    life: IncarnationHash,
    left: bool,
}

impl Sent<'_> {
    /// The sending ended; whether this box left it is known.
    pub fn end(mut self, left: bool) {
        self.left = left;
    }
}

impl Drop for Sent<'_> {
    fn drop(&mut self) {
        if self.left {
            let mut record = self.fatal.record();
            record.left(self.print, self.life, Instant::now());
        }
    }
}
