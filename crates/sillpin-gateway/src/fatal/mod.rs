//! Detects and refuses fatal requests: requests that crash the targets that run them.
//!
//! Such a request is sent again, under another id and to any box, and each crash ends everything that runs on the target. Boxes
//! therefore record which requests ran on a target when it crashed, exchange these records, and refuse a request that is known to
//! be fatal: it has not run, and will not. Without this, one of 18 engines was lost each second, and up to ten streams with it.
//!
//! - [`fingerprint`]: identifies identical requests,
//! - [`crash_detector`]: detects whether a target crashed,
//! - [`record`]: history of crashes by request,
//! - [`persist`]: persists the history, so that it survives the loss of all boxes.

pub mod persist;
pub mod fingerprint;
pub mod record;
pub mod crash_detector;

pub use fingerprint::RequestFingerprint;
pub use record::{CrashReport, Record};
pub use crash_detector::CrashDetector;

use crate::place::work::LifeHash;
use sillpin_telemetry::{event, events};
use slog::Logger;
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::sync::Notify;
use tokio::time::Instant;

/// Crash history of a box; clones share it.
#[derive(Debug, Clone)]
pub struct FatalRequests {
    record: Arc<Mutex<Record>>,
    /// Notified when this box itself has observed a crash.
    pub found: Arc<Notify>,
    log: Logger,
}

impl FatalRequests {
    /// Creates an empty history.
    pub fn new(log: Logger) -> Self {
        Self {
            record: Arc::default(),
            found: Arc::default(),
            log,
        }
    }

    /// Locks the history.
    pub fn record(&self) -> MutexGuard<'_, Record> {
        self.record.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Records that a target crashed at `at` while it ran requests of this box.
    pub fn ended(
        &self,
        life: LifeHash,
        under: impl IntoIterator<Item = RequestFingerprint>,
        at: Instant,
    ) {
        let known = self.record().ended(life, under, at, Instant::now());
        self.found.notify_waiters();
        self.log_known(&known, "this box");
    }

    /// Applies reports from another box.
    pub fn hear(&self, words: &[CrashReport]) {
        if !words.is_empty() {
            let known = self.record().hear(words, Instant::now());
            self.log_known(&known, "other boxes");
        }
    }

    /// Applies reports that were persisted in the platform store.
    pub fn restore(&self, words: &[CrashReport]) {
        let known = self.record().hear(words, Instant::now());
        self.log_known(&known, "store");
    }

    /// Tracks an attempt that is about to be sent to a target. It counts as abandoned there unless [`Sent::end`] is called.
    pub fn sent(&self, fingerprint: RequestFingerprint, life: LifeHash) -> Sent<'_> {
        Sent {
            fatal: self,
            fingerprint,
            life,
            left: true,
        }
    }

    fn log_known(&self, known: &[RequestFingerprint], source: &'static str) {
        for fingerprint in known {
            event!(self.log, events::REQUEST_FATAL, "print" => fingerprint.to_string(), "source" => source);
        }
    }
}

/// An attempt at a target. If it is dropped while it waits, for example because its caller disconnects, it counts as abandoned: the
/// target may still run it, and crash.
pub struct Sent<'a> {
    fatal: &'a FatalRequests,
    fingerprint: RequestFingerprint,
    life: LifeHash,
    left: bool,
}

impl Sent<'_> {
    /// Ends the attempt; `left` is whether this box abandoned it.
    pub fn end(mut self, left: bool) {
        self.left = left;
    }
}

impl Drop for Sent<'_> {
    fn drop(&mut self) {
        if self.left {
            let mut record = self.fatal.record();
            record.left(self.fingerprint, self.life, Instant::now());
        }
    }
}
