//! Detects and refuses fatal requests: requests that crash the targets that run them, because of what they are or because of a part
//! of their prompts that other requests have too.
//!
//! Such a request is sent again, under another id and to any box, and each crash ends everything that runs on the target. Boxes
//! therefore record which requests ran on a target when it crashed, exchange these records, and refuse a request that is known to
//! be fatal: it has not run, and will not. Without this, one of 18 engines was lost each second, and up to ten streams with it.
//!
//! - [`fingerprint`]: identifies identical requests, and parts,
//! - [`crash_detector`]: detects whether a target crashed,
//! - [`suspect`]: crashes under one request or part,
//! - `history`: all of these, by target and time,
//! - [`verdict`]: which of them are the cause of crashes,
//! - [`record`]: history of crashes by request and part,
//! - [`persist`]: persists the history, so that it survives the loss of all boxes.

mod abandoned;
pub mod crash_detector;
pub mod fingerprint;
mod history;
pub mod persist;
pub mod record;
pub mod suspect;
pub mod verdict;

pub use crash_detector::CrashDetector;
pub use fingerprint::{Candidates, Fingerprint};
pub use record::CrashRecord;
pub use suspect::CrashReport;
pub use verdict::Verdict;

use crate::placement::work::IncarnationHash;
use sillpin_telemetry::{event, events};
use slog::Logger;
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::sync::Notify;
use tokio::time::Instant;

/// Crash history of a box; clones share it.
#[derive(Debug, Clone)]
pub struct FatalRequests {
    record: Arc<Mutex<CrashRecord>>,
    /// Notified when this box itself has observed a crash.
    pub observed: Arc<Notify>,
    log: Logger,
}

impl FatalRequests {
    /// Creates an empty history.
    pub fn new(log: Logger) -> Self {
        Self {
            record: Arc::default(),
            observed: Arc::default(),
            log,
        }
    }

    /// Locks the history.
    pub fn record(&self) -> MutexGuard<'_, CrashRecord> {
        self.record.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Records that a target crashed at `at` while it ran requests of this box.
    pub fn record_crash(
        &self,
        incarnation: IncarnationHash,
        under: impl IntoIterator<Item = Fingerprint>,
        at: Instant,
    ) {
        let fatal = self
            .record()
            .record_crash(incarnation, under, at, Instant::now());
        self.observed.notify_waiters();
        self.log_fatal(&fatal, "this box");
    }

    /// Applies reports from another box.
    pub fn apply_update(&self, reports: &[CrashReport]) {
        if !reports.is_empty() {
            let fatal = self.record().apply_update(reports, Instant::now());
            self.log_fatal(&fatal, "other boxes");
        }
    }

    /// Applies reports that were persisted in the platform store.
    pub fn restore(&self, reports: &[CrashReport]) {
        let fatal = self.record().apply_update(reports, Instant::now());
        self.log_fatal(&fatal, "store");
    }

    /// Tracks an attempt that is about to be sent to a target. It counts as abandoned there unless [`AttemptGuard::end`] is called.
    pub fn sent(&self, candidates: Candidates, incarnation: IncarnationHash) -> AttemptGuard<'_> {
        AttemptGuard {
            fatal: self,
            candidates,
            incarnation,
            abandoned: true,
        }
    }

    fn log_fatal(&self, fatal: &[Fingerprint], source: &'static str) {
        for fingerprint in fatal {
            let record = self.record();
            let verdict = record.judge().verdict(*fingerprint, Instant::now());
            drop(record);
            let (crashes, companions) = verdict.map_or((0, Vec::new()), |verdict| {
                (verdict.crashes, verdict.companions)
            });
            let companions: Vec<String> = companions.iter().map(Fingerprint::to_string).collect();
            event!(self.log, events::REQUEST_FATAL, "print" => fingerprint.to_string(),
                "kind" => if fingerprint.is_part() { "part" } else { "request" },
                "crashes" => crashes, "only_with" => companions.join(","), "source" => source);
        }
    }
}

/// An attempt at a target. If it is dropped while it waits, for example because its caller disconnects, it counts as abandoned: the
/// target may still run it, and crash.
pub struct AttemptGuard<'a> {
    fatal: &'a FatalRequests,
    candidates: Candidates,
    incarnation: IncarnationHash,
    abandoned: bool,
}

impl AttemptGuard<'_> {
    /// Ends the attempt; `abandoned` is whether this box abandoned it.
    pub fn end(mut self, abandoned: bool) {
        self.abandoned = abandoned;
    }
}

impl Drop for AttemptGuard<'_> {
    fn drop(&mut self) {
        if self.abandoned {
            let mut record = self.fatal.record();
            record.record_abandoned(self.candidates.clone(), self.incarnation, Instant::now());
        }
    }
}
