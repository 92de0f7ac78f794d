//! Which version began which stream, as this box knows it.

use super::version::{StreamKey, VersionHash};
use serde::{Deserialize, Serialize};
use sillpin_core::PoolId;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

/// Largest number of records: 3 MB. At the design size a box gets 60 streams a second of its own and of others, for half
/// a minute each.
const MAX_RECORDS: usize = 32_768;

/// Largest number of own streams of which other boxes may still have to be told.
const MAX_OWN: usize = 4_096;

/// The version that began a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamRecord {
    /// The stream.
    pub key: StreamKey,
    /// The version.
    pub version: VersionHash,
    /// Milliseconds for which callers may resume the stream.
    pub life_ms: u32,
}

impl StreamRecord {
    /// Returns a record that is needed for `life`.
    pub fn new(key: StreamKey, version: VersionHash, life: Duration) -> Self {
        let life_ms = u32::try_from(life.as_millis()).unwrap_or(u32::MAX);
        Self {
            key,
            version,
            life_ms,
        }
    }

    fn life(&self) -> Duration {
        Duration::from_millis(self.life_ms.into())
    }
}

/// A stream that began at this box.
#[derive(Debug)]
struct OwnStream {
    record: StreamRecord,
    pool: PoolId,
    until: Instant,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    /// `None` if two versions were stated, so that none is known.
    version: Option<VersionHash>,
    until: Instant,
}

/// Records of a box.
#[derive(Debug, Default)]
pub struct RecordTable {
    entries: HashMap<StreamKey, Entry>,
    /// Keys in the order in which they were inserted, to drop the oldest.
    order: VecDeque<(StreamKey, Instant)>,
    /// Streams that began here and of which no other box was told, oldest first.
    untold: VecDeque<OwnStream>,
}

impl RecordTable {
    /// Inserts a record. If the table is full, the oldest one is dropped.
    pub fn insert(&mut self, record: &StreamRecord, now: Instant) {
        let until = now + record.life();
        let entry = self.entries.entry(record.key).or_insert(Entry {
            version: Some(record.version),
            until,
        });
        if entry.version != Some(record.version) {
            entry.version = None;
        }
        entry.until = entry.until.max(until);
        self.order.push_back((record.key, until));
        self.drop_old(now);
    }

    fn drop_old(&mut self, now: Instant) {
        while let Some((key, until)) = self.order.front().copied() {
            let is_over = until <= now || self.order.len() > MAX_RECORDS;
            if !is_over {
                return;
            }
            self.order.pop_front();
            let entry = self.entries.get(&key);
            // A record that was inserted again is dropped with its last insertion.
            if entry.is_some_and(|entry| entry.until <= until) {
                self.entries.remove(&key);
            }
        }
    }

    /// Returns the version that began a stream.
    pub fn version(&self, key: StreamKey, now: Instant) -> Option<VersionHash> {
        let entry = self.entries.get(&key);
        entry.filter(|entry| now < entry.until)?.version
    }

    /// Keeps a stream of which other boxes may have to be told later.
    pub fn keep_untold(&mut self, record: StreamRecord, pool: PoolId, now: Instant) {
        while self
            .untold
            .front()
            .is_some_and(|own| own.until <= now || self.untold.len() >= MAX_OWN)
        {
            self.untold.pop_front();
        }
        let until = now + record.life();
        self.untold.push_back(OwnStream {
            record,
            pool,
            until,
        });
    }

    /// Removes and returns the streams of which other boxes have to be told now, which `must_tell` decides by their pools
    /// and lives.
    pub fn take_untold(
        &mut self,
        must_tell: impl Fn(&PoolId, Duration) -> bool,
        now: Instant,
    ) -> Vec<StreamRecord> {
        if self.untold.is_empty() {
            return Vec::new();
        }
        let mut decided: HashMap<PoolId, bool> = HashMap::new();
        let mut taken = Vec::new();
        self.untold.retain(|own| {
            if own.until <= now {
                return false;
            }
            let must_tell = match decided.get(&own.pool) {
                Some(decided) => *decided,
                None => {
                    let must_tell = must_tell(&own.pool, own.record.life());
                    decided.insert(own.pool.clone(), must_tell);
                    must_tell
                }
            };
            if must_tell {
                taken.push(own.record);
            }
            !must_tell
        });
        taken
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
