//! A copy of all keys below a prefix of the platform's store.

use super::{Copied, Known, Reading};
use sillpin_platform::{KvEntry, KvRevision, Snapshot, WatchReply};
use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Silence of the platform's store after which this box counts as out of touch with it. Boxes that wait for others to read lose patience after two seconds at
/// the most.
pub const STORE_SILENCE: Duration = Duration::from_secs(3);

/// A change of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// It was written.
    Set(KvEntry),
    /// It was deleted.
    Gone(String),
}

impl Change {
    /// The key.
    pub fn key(&self) -> &str {
        match self {
            Change::Set(entry) => &entry.key,
            Change::Gone(key) => key,
        }
    }
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
            Reading::Whole(snapshot) => {
                let revision = snapshot.revision;
                let is_news = revision >= self.known.revision;
                let changes = self.replace(snapshot);
                if is_news {
                    self.confirm(revision, asked);
                }
                changes
            }
            // How fresh it is, the watch from there tells.
            Reading::Glanced(snapshot) => {
                let revision = snapshot.revision;
                let changes = self.replace(snapshot);
                self.known.revision = self.known.revision.max(revision);
                changes
            }
            Reading::Changes(reply) => self.apply(reply, asked),
            Reading::Copied(copied) => self.merge(copied, asked),
        }
    }

    /// What has changed after a revision, and the keys that exist, for another box.
    pub fn since(entries: &[KvEntry], after: KvRevision) -> (Vec<KvEntry>, Vec<String>) {
        let newer = entries.iter().filter(|entry| entry.revision > after);
        let keys = entries.iter().map(|entry| entry.key.clone());
        (newer.cloned().collect(), keys.collect())
    }

    fn replace(&mut self, snapshot: Snapshot) -> Vec<Change> {
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

    /// Takes what another box knows beyond some revision. Keys that it does not have are gone, unless they were written after
    /// what it knows.
    fn merge(&mut self, copied: Copied, asked: Instant) -> Vec<Change> {
        if copied.revision < self.known.revision {
            return Vec::new();
        }
        let exist: HashSet<&String> = copied.keys.iter().collect();
        let is_gone = |(key, entry): &(&String, &KvEntry)| {
            !exist.contains(*key) && entry.revision <= copied.revision
        };
        let gone = self.entries.iter().filter(is_gone);
        let gone: Vec<String> = gone.map(|(key, _)| key.clone()).collect();
        for key in &gone {
            self.entries.remove(key);
        }
        let mut changes: Vec<Change> = gone.into_iter().map(Change::Gone).collect();
        for entry in copied.changed {
            changes.extend(self.apply_entry(entry));
        }
        self.confirm(copied.revision, asked);
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

    /// The box was suspended for so long.
    pub fn age(&mut self, time: Duration) {
        self.known.age(time);
    }

    /// Another box, which is in touch with the store, has been so since.
    pub fn join_contact(&mut self, since: Instant) {
        self.known.contact = self.known.contact.map(|own| own.min(since));
    }

    /// Somebody found at `asked` that nothing has changed up to a revision.
    pub fn confirm(&mut self, revision: KvRevision, asked: Instant) {
        let is_broken = |at: Instant| asked > at + STORE_SILENCE;
        if self.known.confirmed.is_none_or(is_broken) {
            self.known.contact = Some(asked);
        }
        self.known.revision = self.known.revision.max(revision);
        self.known.confirmed = self.known.confirmed.max(Some(asked));
    }
}
