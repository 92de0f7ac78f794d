//! A copy of all keys below a prefix of the platform's store.

use super::{Known, Reading};
use sillpin_platform::{KvEntry, KvRevision, Snapshot, WatchReply};
use std::collections::BTreeMap;
use std::sync::Arc;
use tokio::time::Instant;

/// A change of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// It was written.
    Set(KvEntry),
    /// It was deleted.
    Gone(String),
}

/// All keys below a prefix, as of a revision.
#[derive(Debug, Default)]
pub struct Mirror {
    entries: BTreeMap<String, KvEntry>,
    known: Known,
}

impl Mirror {
    /// How far the prefix is known.
    pub fn known(&self) -> Known {
        self.known
    }

    /// Sets the hash of what the entries say.
    pub fn set_content(&mut self, content: u64) {
        self.known.content = content;
    }

    /// All entries, for other boxes.
    pub fn entries(&self) -> Arc<Vec<KvEntry>> {
        Arc::new(self.entries.values().cloned().collect())
    }

    /// Takes a reading that was asked for at `asked`, and gives what it changes. An older reading
    /// than what is known changes nothing.
    pub fn take(&mut self, reading: Reading, asked: Instant) -> Vec<Change> {
        match reading {
            Reading::Whole(snapshot) => self.replace(snapshot, asked),
            Reading::Changes(reply) => self.apply(reply, asked),
        }
    }

    fn replace(&mut self, snapshot: Snapshot, asked: Instant) -> Vec<Change> {
        if snapshot.revision < self.known.revision {
            return Vec::new();
        }
        let read: BTreeMap<String, KvEntry> = snapshot
            .entries
            .into_iter()
            .map(|entry| (entry.key.clone(), entry))
            .collect();
        let gone = self.entries.keys().filter(|key| !read.contains_key(*key));
        let mut changes: Vec<Change> = gone.cloned().map(Change::Gone).collect();
        let differs = |entry: &&KvEntry| self.entries.get(&entry.key) != Some(*entry);
        changes.extend(read.values().filter(differs).cloned().map(Change::Set));
        self.entries = read;
        self.confirm(snapshot.revision, asked);
        changes
    }

    fn apply(&mut self, reply: WatchReply, asked: Instant) -> Vec<Change> {
        let mut changes = Vec::new();
        for entry in reply.changed {
            changes.extend(self.apply_entry(entry));
        }
        self.confirm(reply.revision, asked);
        changes
    }

    fn apply_entry(&mut self, entry: KvEntry) -> Option<Change> {
        let known = self.entries.get(&entry.key);
        let outdated = known.is_some_and(|known| known.revision >= entry.revision);
        if outdated || (known.is_none() && entry.revision <= self.known.revision) {
            return None;
        }
        if entry.value.is_none() {
            self.entries.remove(&entry.key)?;
            return Some(Change::Gone(entry.key));
        }
        self.entries.insert(entry.key.clone(), entry.clone());
        Some(Change::Set(entry))
    }

    /// Somebody found at `asked` that nothing has changed up to a revision.
    pub fn confirm(&mut self, revision: KvRevision, asked: Instant) {
        self.known.revision = self.known.revision.max(revision);
        self.known.confirmed = self.known.confirmed.max(Some(asked));
    }
}
