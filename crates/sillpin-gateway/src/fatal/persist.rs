//! Persists the crash history in the platform store, so that it survives the loss of all boxes.
//!
//! Boxes that all start together have no history, and a request that crashed three targets before would crash three more. So a box that
//! observes the second or third crash under a request writes it to the platform store, all such requests under one key, and a box
//! reads that key when it starts.

use super::verdict::MAX_CRASHES_NEEDED;
use super::{CrashReport, FatalRequests, Fingerprint};
use crate::fleet_state::{FleetHandle, View};
use crate::placement::work::IncarnationHash;
use serde::{Deserialize, Serialize};
use sillpin_platform::{KvEntry, KvRevision, Platform, PlatformError, PlatformFault, StoreEra};
use sillpin_telemetry::{event, events};
use slog::Logger;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::watch;
use tokio::time::Instant;

/// Key of the persisted history.
pub const FATAL_KEY: &str = "sillpin/fatal";

/// Minimum number of crashes under a request that is persisted. A request that merely ran beside a fatal one usually has one.
const MIN_CRASHES: usize = 2;

/// Maximum number of requests that are persisted: some 10 KB.
const MAX_PERSISTED: usize = 64;

/// Delay before a box that has started reads the key again: a stale read, at a tenth of the cost, may be seconds old.
const SECOND_READ_DELAY: Duration = Duration::from_millis(1_500);

/// Number of reads by a box that has started.
const READS: usize = 2;

/// Time between two checks whether persisted requests were served since.
const CLEARED_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Bounds of the delay after a failed call.
const MIN_BACKOFF: Duration = Duration::from_millis(250);
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// Persisted history of one request. Times are wall-clock times, since they outlast all processes: a clock that jumps makes the
/// retention time longer or shorter by as much.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct KeptRequest {
    print: Fingerprint,
    /// Targets that crashed under it, and when, in Unix milliseconds.
    ended: Vec<(IncarnationHash, u64)>,
    /// When it was last served, in Unix milliseconds: it is cleared of the crashes until then.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    served: Option<u64>,
}

/// Numbers of crashes under a request that the store is known to hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct WrittenCrashes {
    /// All.
    all: usize,
    /// Those since it was last served.
    counted: usize,
}

impl KeptRequest {
    fn new(report: &CrashReport, now: u64) -> Self {
        let time = |age: u32| now.saturating_sub(u64::from(age));
        let crashes = report.crashes.iter();
        Self {
            print: report.fingerprint,
            ended: crashes.map(|(target, age)| (*target, time(*age))).collect(),
            served: report.served.map(time),
        }
    }

    fn report(self, now: u64) -> CrashReport {
        let age = |at: u64| u32::try_from(now.saturating_sub(at)).unwrap_or(u32::MAX);
        let crashes = self.ended.into_iter();
        CrashReport {
            fingerprint: self.print,
            crashes: crashes.map(|(target, at)| (target, age(at))).collect(),
            served: self.served.map(age),
        }
    }
}

impl WrittenCrashes {
    fn of(report: &CrashReport) -> Self {
        Self {
            all: report.crashes.len(),
            counted: report.counted_crashes(),
        }
    }
}

/// Persists and restores the crash history.
#[derive(Clone)]
pub struct CrashRecordSync<P> {
    /// The platform store.
    pub platform: P,
    /// Crash history of this box.
    pub fatal: FatalRequests,
    /// State of the fleet, which shows when the platform store was restored from a backup.
    pub fleet: FleetHandle,
    /// Logger.
    pub log: Logger,
}

impl<P: Platform> CrashRecordSync<P> {
    /// Runs until the process ends.
    pub async fn run(self) {
        let history = self.fatal.clone();
        let restoring = async {
            for read_number in 0..READS {
                if read_number > 0 {
                    tokio::time::sleep(SECOND_READ_DELAY).await;
                }
                self.restore().await;
            }
        };
        let persisting = async {
            let mut written: HashMap<Fingerprint, WrittenCrashes> = HashMap::new();
            let mut views = self.fleet.subscribe();
            let mut era = StoreEra::default();
            loop {
                let changed = history.observed.notified();
                if self.has_unwritten(&written) {
                    self.write(&mut written).await;
                    continue;
                }
                tokio::select! {
                    () = changed => {}
                    () = tokio::time::sleep(CLEARED_CHECK_INTERVAL), if !written.is_empty() => {}
                    // The backup may be older than the last write.
                    () = era_advanced(&mut views, &mut era) => written.clear(),
                }
            }
        };
        tokio::join!(restoring, persisting);
    }

    /// Applies the persisted history, as soon as the store answers.
    async fn restore(&self) {
        let mut backoff = MIN_BACKOFF;
        loop {
            match self.platform.stale_snapshot(FATAL_KEY).await {
                Ok(snapshot) => {
                    let entry = snapshot.entries.iter().find(|entry| entry.key == FATAL_KEY);
                    let reports = entry.map(|entry| self.parse(entry)).unwrap_or_default();
                    return self.fatal.restore(&reports);
                }
                Err(e) => self.back_off(&e, &mut backoff).await,
            }
        }
    }

    /// Returns whether this box observed crashes that the store lacks, or the store holds crashes that a request is cleared of since.
    /// Crashes beyond [`MAX_CRASHES_NEEDED`] need not be written.
    fn has_unwritten(&self, written: &HashMap<Fingerprint, WrittenCrashes>) -> bool {
        let reports = self.reports_to_persist();
        let record = self.fatal.record();
        let is_cleared = |(one, known): (&Fingerprint, &WrittenCrashes)| {
            record.counted_crashes(*one) < known.counted
        };
        let lacks = |report: &CrashReport| {
            let count = report.counted_crashes().min(MAX_CRASHES_NEEDED);
            record.is_observed_here(report.fingerprint)
                && written
                    .get(&report.fingerprint)
                    .is_none_or(|known| known.counted < count)
        };
        written.iter().any(is_cleared) || reports.iter().any(lacks)
    }

    /// Returns the part of this box's history that is to be persisted.
    fn reports_to_persist(&self) -> Vec<CrashReport> {
        let record = self.fatal.record();
        record.to_persist(MIN_CRASHES, MAX_PERSISTED, Instant::now())
    }

    async fn write(&self, written: &mut HashMap<Fingerprint, WrittenCrashes>) {
        let mut backoff = MIN_BACKOFF;
        loop {
            match self.write_once().await {
                Ok(reports) => {
                    *written = written_crashes(&reports);
                    return;
                }
                // Another box has written in between.
                Err(e) if e.fault == PlatformFault::Conflict => {}
                Err(e) => self.back_off(&e, &mut backoff).await,
            }
        }
    }

    /// Merges the persisted history into that of this box, and writes the result.
    async fn write_once(&self) -> Result<Vec<CrashReport>, PlatformError> {
        let entry = self.platform.get(FATAL_KEY).await?;
        let known = entry.as_ref().map(|entry| self.parse(entry));
        self.fatal.restore(known.as_deref().unwrap_or_default());
        let reports = self.reports_to_persist();
        // Several boxes may learn that a request was served.
        if known.is_some_and(|known| written_crashes(&known) == written_crashes(&reports)) {
            return Ok(reports);
        }
        let now = unix_ms();
        let persisted = |report| KeptRequest::new(report, now);
        let persisted_requests: Vec<KeptRequest> = reports.iter().map(persisted).collect();
        let text = serde_json::to_string(&persisted_requests).unwrap_or_default();
        let expect = entry.map_or(KvRevision::ABSENT, |entry| entry.revision);
        self.platform.put(FATAL_KEY, &text, expect, None).await?;
        Ok(reports)
    }

    fn parse(&self, entry: &KvEntry) -> Vec<CrashReport> {
        let text = entry.value.as_deref().unwrap_or_default();
        let persisted_requests: Vec<KeptRequest> = match serde_json::from_str(text) {
            Ok(persisted_requests) => persisted_requests,
            Err(e) => {
                event!(self.log, events::VALUE_UNREADABLE, "key" => FATAL_KEY, "why" => e.to_string());
                Vec::new()
            }
        };
        let now = unix_ms();
        let persisted_requests = persisted_requests.into_iter();
        persisted_requests.map(|one| one.report(now)).collect()
    }

    async fn back_off(&self, e: &PlatformError, backoff: &mut Duration) {
        event!(self.log, events::FATAL_REQUESTS_NOT_STORED, "why" => e.to_string());
        tokio::time::sleep(*backoff).await;
        *backoff = (*backoff * 2).min(MAX_BACKOFF);
    }
}

/// Returns the numbers of crashes that the store holds once it holds these reports.
fn written_crashes(reports: &[CrashReport]) -> HashMap<Fingerprint, WrittenCrashes> {
    let reports = reports.iter();
    let written = reports.map(|report| (report.fingerprint, WrittenCrashes::of(report)));
    written.collect()
}

/// Resolves when the platform store is in a later era than `last`.
async fn era_advanced(views: &mut watch::Receiver<Arc<View>>, last: &mut StoreEra) {
    loop {
        let now = views.borrow_and_update().operators_sync.revision.era();
        if now > *last {
            *last = now;
            return;
        }
        if views.changed().await.is_err() {
            // The process ends.
            return std::future::pending().await;
        }
    }
}

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| u64::try_from(now.as_millis()).unwrap_or(u64::MAX))
}
