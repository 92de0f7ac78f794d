//! A copy of all keys below a prefix of the platform store.

use super::{Copied, Reading, SyncState};
use sillpin_platform::{KvEntry, KvRevision, Snapshot, WatchReply};
use std::borrow::Borrow;
use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Time without a response of the platform store after which this box has lost contact with it.
/// Boxes that wait for the zone's reader read the store themselves after two seconds at most.
pub const STORE_TIMEOUT: Duration = Duration::from_secs(3);

/// A change of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The key was written.
    Set(KvEntry),
    /// The key was deleted.
    Deleted(String),
}

impl Change {
    /// Returns the key.
    pub fn key(&self) -> &str {
        match self {
            Change::Set(entry) => &entry.key,
            Change::Deleted(key) => key,
        }
    }
}

/// All keys below a prefix, as of a revision.
#[derive(Debug, Default)]
pub struct Mirror {
    entries: BTreeMap<String, Arc<KvEntry>>,
    known: SyncState,
}

impl Mirror {
    /// Returns the sync state of the prefix.
    pub fn known(&self) -> SyncState {
        self.known
    }

    /// Sets the hash of the entries' content.
    pub fn set_content(&mut self, content: u64) {
        self.known.content = content;
    }

    /// Returns all entries, for other boxes.
    pub fn entries(&self) -> Arc<Vec<Arc<KvEntry>>> {
        Arc::new(self.entries.values().cloned().collect())
    }

    /// Applies data requested at `requested_at` and returns the changes. Data older than what is
    /// known changes nothing.
    pub fn apply(&mut self, reading: Reading, requested_at: Instant) -> Vec<Change> {
        match reading {
            Reading::Complete(snapshot) => {
                let revision = snapshot.revision;
                let is_current = revision >= self.known.revision;
                let changes = self.apply_snapshot(snapshot);
                if is_current {
                    self.confirm(revision, requested_at);
                }
                changes
            }
            // The age of a stale read is unknown; the watch that follows confirms it.
            Reading::Stale(snapshot) => {
                let revision = snapshot.revision;
                let changes = self.apply_snapshot(snapshot);
                self.known.revision = self.known.revision.max(revision);
                changes
            }
            Reading::Part(snapshot) => self.apply_part(snapshot),
            Reading::Changes(reply) => self.apply_changes(reply, requested_at),
            Reading::Copied(copied) => self.apply_copy(copied, requested_at),
        }
    }

    /// Returns the entries written after a revision, and all existing keys, for another box.
    pub fn since<E: Borrow<KvEntry>>(
        entries: &[E],
        after: KvRevision,
    ) -> (Vec<KvEntry>, Vec<String>) {
        let entries = entries.iter().map(Borrow::borrow);
        let newer = entries.clone().filter(|entry| entry.revision > after);
        let keys = entries.map(|entry| entry.key.clone());
        (newer.cloned().collect(), keys.collect())
    }

    fn apply_snapshot(&mut self, snapshot: Snapshot) -> Vec<Change> {
        if snapshot.revision < self.known.revision {
            return Vec::new();
        }
        let read: BTreeMap<String, Arc<KvEntry>> = snapshot
            .entries
            .into_iter()
            .map(|entry| (entry.key.clone(), Arc::new(entry)))
            .collect();
        let deleted = self.entries.keys().filter(|key| !read.contains_key(*key));
        let mut changes: Vec<Change> = deleted.cloned().map(Change::Deleted).collect();
        let differs = |entry: &&Arc<KvEntry>| self.entries.get(&entry.key) != Some(*entry);
        let changed = read.values().filter(differs);
        changes.extend(changed.map(|entry| Change::Set(entry.as_ref().clone())));
        self.entries = read;
        changes
    }

    /// Applies the first entries, unless all are known. Entries from an earlier part that are missing in this one were
    /// deleted.
    fn apply_part(&mut self, part: Snapshot) -> Vec<Change> {
        if self.known.revision != KvRevision::ABSENT {
            return Vec::new();
        }
        let Some(last) = part.entries.last().map(|entry| entry.key.clone()) else {
            return Vec::new();
        };
        let read: HashSet<&String> = part.entries.iter().map(|entry| &entry.key).collect();
        let earlier = self.entries.range(..=last).map(|(key, _)| key);
        let deleted: Vec<String> = earlier.filter(|key| !read.contains(key)).cloned().collect();
        for key in &deleted {
            self.entries.remove(key);
        }
        let mut changes: Vec<Change> = deleted.into_iter().map(Change::Deleted).collect();
        let entries = part.entries.into_iter();
        changes.extend(entries.filter_map(|entry| self.apply_entry(entry)));
        changes
    }

    fn apply_changes(&mut self, reply: WatchReply, requested_at: Instant) -> Vec<Change> {
        let mut changes = Vec::new();
        for entry in reply.changed {
            changes.extend(self.apply_entry(entry));
        }
        self.confirm(reply.revision, requested_at);
        changes
    }

    /// Applies what another box has beyond some revision. Keys that it does not list were
    /// deleted, unless they were written after its revision.
    fn apply_copy(&mut self, copied: Copied, requested_at: Instant) -> Vec<Change> {
        if copied.revision < self.known.revision {
            return Vec::new();
        }
        let exist: HashSet<&String> = copied.keys.iter().collect();
        let is_deleted = |(key, entry): &(&String, &Arc<KvEntry>)| {
            !exist.contains(*key) && entry.revision <= copied.revision
        };
        let deleted = self.entries.iter().filter(is_deleted);
        let deleted: Vec<String> = deleted.map(|(key, _)| key.clone()).collect();
        for key in &deleted {
            self.entries.remove(key);
        }
        let mut changes: Vec<Change> = deleted.into_iter().map(Change::Deleted).collect();
        for entry in copied.changed {
            changes.extend(self.apply_entry(entry));
        }
        self.confirm(copied.revision, requested_at);
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
            return Some(Change::Deleted(entry.key));
        }
        let stored = Arc::new(entry.clone());
        self.entries.insert(entry.key.clone(), stored);
        Some(Change::Set(entry))
    }

    /// Makes the data older by the time for which the box was suspended.
    pub fn add_suspended_time(&mut self, time: Duration) {
        self.known.add_suspended_time(time);
    }

    /// Extends this box's contact with the store to `since`, from when another box has been in
    /// contact.
    pub fn extend_contact(&mut self, since: Instant) {
        self.known.contact = self.known.contact.map(|own| own.min(since));
    }

    /// Records that a read at `requested_at` found nothing missing up to a revision.
    pub fn confirm(&mut self, revision: KvRevision, requested_at: Instant) {
        let has_gap = |at: Instant| requested_at > at + STORE_TIMEOUT;
        if self.known.confirmed.is_none_or(has_gap) {
            self.known.contact = Some(requested_at);
        }
        self.known.revision = self.known.revision.max(revision);
        self.known.confirmed = self.known.confirmed.max(Some(requested_at));
    }
}
