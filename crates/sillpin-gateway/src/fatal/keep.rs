//! What outlasts the loss of all boxes.
//!
//! Boxes that all start at once know nothing, and a request that ended three targets before would end three more. So a box that notes the second target or
//! the third under a request writes it to the platform's store, all such requests below one key, and boxes that start look there.

use super::record::KNOWN_AFTER;
use super::{Fatal, FatalWord, RequestPrint};
use crate::beliefs::{FleetHandle, View};
use crate::place::work::LifeHash;
use serde::{Deserialize, Serialize};
use sillpin_platform::{KvEntry, KvRevision, Platform, PlatformError, PlatformFault, StoreEra};
use sillpin_telemetry::{event, events};
use slog::Logger;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::watch;
use tokio::time::Instant;

/// Where it is kept.
pub const FATAL_KEY: &str = "sillpin/fatal";

/// Requests with so many ended targets are kept. One more than a request that was merely beside another has mostly seen.
const KEEP_FROM: usize = 2;

/// Requests that are kept: some 10 KB.
const MAX_KEPT: usize = 64;

/// A box that starts looks again after this time: what it is shown without waiting, at a tenth of the price, may be seconds old.
const LOOK_AGAIN: Duration = Duration::from_millis(1_500);

/// Looks of a box that starts.
const LOOKS: usize = 2;

/// Waits after a call that failed.
const MIN_BACKOFF: Duration = Duration::from_millis(250);
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// What is kept of one request. Times are of the day, since they outlast all processes: a clock that jumps makes the memory longer or
/// shorter by as much.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct KeptRequest {
    print: RequestPrint,
    /// Targets that ended under it, and when, in Unix milliseconds.
    ended: Vec<(LifeHash, u64)>,
}

/// Keeps what is known of fatal requests.
pub struct Keep<P> {
    /// The platform's store.
    pub platform: P,
    /// What the box knows.
    pub fatal: Fatal,
    /// Tells when the store has come back from a copy.
    pub fleet: FleetHandle,
    /// Log.
    pub log: Logger,
}

impl<P: Platform> Keep<P> {
    /// Runs until the process ends.
    pub async fn run(self) {
        let noticed = self.fatal.clone();
        let restoring = async {
            for look in 0..LOOKS {
                if look > 0 {
                    tokio::time::sleep(LOOK_AGAIN).await;
                }
                self.restore().await;
            }
        };
        let keeping = async {
            // Ended targets that the store is known to hold, by request.
            let mut written: HashMap<RequestPrint, usize> = HashMap::new();
            let mut views = self.fleet.subscribe();
            let mut era = StoreEra::default();
            loop {
                let found = noticed.found.notified();
                if self.has_news(&written) {
                    self.write(&mut written).await;
                    continue;
                }
                tokio::select! {
                    () = found => {}
                    // The copy may be older than what was written.
                    () = later_era(&mut views, &mut era) => written.clear(),
                }
            }
        };
        tokio::join!(restoring, keeping);
    }

    /// Takes over what is kept, as soon as the store answers.
    async fn restore(&self) {
        let mut backoff = MIN_BACKOFF;
        loop {
            match self.platform.stale_snapshot(FATAL_KEY).await {
                Ok(snapshot) => {
                    let entry = snapshot.entries.iter().find(|entry| entry.key == FATAL_KEY);
                    let words = entry.map(|entry| self.read(entry)).unwrap_or_default();
                    return self.fatal.restore(&words);
                }
                Err(e) => self.failed(&e, &mut backoff).await,
            }
        }
    }

    /// Whether this box noted something that the store lacks. Requests that are known for good need not be written again.
    fn has_news(&self, written: &HashMap<RequestPrint, usize>) -> bool {
        let kept = self.kept_here();
        let record = self.fatal.record();
        let lacks = |word: &FatalWord| {
            let count = word.ended.len().min(KNOWN_AFTER);
            record.is_found_here(word.print)
                && written.get(&word.print).is_none_or(|known| *known < count)
        };
        kept.iter().any(lacks)
    }

    /// What this box knows that is worth keeping.
    fn kept_here(&self) -> Vec<FatalWord> {
        let record = self.fatal.record();
        record.worth_keeping(KEEP_FROM, MAX_KEPT, Instant::now())
    }

    async fn write(&self, written: &mut HashMap<RequestPrint, usize>) {
        let mut backoff = MIN_BACKOFF;
        loop {
            match self.write_once().await {
                Ok(words) => {
                    *written = words
                        .iter()
                        .map(|word| (word.print, word.ended.len()))
                        .collect();
                    return;
                }
                // Another box wrote meanwhile.
                Err(e) if e.fault == PlatformFault::Conflict => {}
                Err(e) => self.failed(&e, &mut backoff).await,
            }
        }
    }

    /// Writes what is known here and what is kept.
    async fn write_once(&self) -> Result<Vec<FatalWord>, PlatformError> {
        let entry = self.platform.get(FATAL_KEY).await?;
        if let Some(entry) = &entry {
            let words = self.read(entry);
            self.fatal.restore(&words);
        }
        let words = self.kept_here();
        let now = unix_ms();
        let kept = |word: &FatalWord| KeptRequest {
            print: word.print,
            ended: word
                .ended
                .iter()
                .map(|(life, age)| (*life, now.saturating_sub(u64::from(*age))))
                .collect(),
        };
        let kept: Vec<KeptRequest> = words.iter().map(kept).collect();
        let text = serde_json::to_string(&kept).unwrap_or_default();
        let expect = entry.map_or(KvRevision::ABSENT, |entry| entry.revision);
        self.platform.put(FATAL_KEY, &text, expect, None).await?;
        Ok(words)
    }

    fn read(&self, entry: &KvEntry) -> Vec<FatalWord> {
        let text = entry.value.as_deref().unwrap_or_default();
        let kept: Vec<KeptRequest> = match serde_json::from_str(text) {
            Ok(kept) => kept,
            Err(e) => {
                event!(self.log, events::VALUE_UNREADABLE, "key" => FATAL_KEY, "why" => e.to_string());
                Vec::new()
            }
        };
        let now = unix_ms();
        let age = |at: u64| u32::try_from(now.saturating_sub(at)).unwrap_or(u32::MAX);
        let word = |kept: KeptRequest| FatalWord {
            print: kept.print,
            ended: kept
                .ended
                .iter()
                .map(|(life, at)| (*life, age(*at)))
                .collect(),
            served: None,
        };
        kept.into_iter().map(word).collect()
    }

    async fn failed(&self, e: &PlatformError, backoff: &mut Duration) {
        event!(self.log, events::FATAL_REQUESTS_NOT_STORED, "why" => e.to_string());
        tokio::time::sleep(*backoff).await;
        *backoff = (*backoff * 2).min(MAX_BACKOFF);
    }
}

/// Resolves when the store is in a later era than the last one.
async fn later_era(views: &mut watch::Receiver<Arc<View>>, last: &mut StoreEra) {
    loop {
        let now = views.borrow_and_update().operators.revision.era();
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
