//! An in-memory platform store.

use super::entry;
use sillpin_core::target::BoxList;
use sillpin_platform::{
    BoxLister, FirstPage, KvEntry, KvRevision, LeaseId, Platform, PlatformError, PlatformFault,
    Snapshot, StoreEra, WatchReply,
};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

#[derive(Debug, Default)]
struct State {
    revision: u64,
    values: BTreeMap<String, (String, u64, Option<u64>)>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    next_lease: u64,
    unreachable: bool,
    /// Changes up to this revision are no longer in the history.
    forgotten: u64,
    /// Whether watches that start now never get a response.
    unresponsive: bool,
    /// Time that the transfer of a changed value takes.
    transfer_time: Duration,
    /// The wait time that each watch so far requested.
    waits: Vec<Duration>,
    first_pages: usize,
    long_listings: usize,
}

impl State {
    fn expire_leases(&mut self, now: Instant) {
        let over: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (until, _))| *until <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in over {
            self.leases.remove(&id);
            let before = self.values.len();
            self.values.retain(|_, (_, _, lease)| *lease != Some(id));
            if before != self.values.len() {
                self.revision += 1;
            }
        }
    }
}

/// An in-memory platform store, on the paused clock.
#[derive(Debug, Clone, Default)]
pub struct MemoryStore {
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
}

/// Number of keys on a page of a listing.
pub const PAGE_LEN: usize = 500;

/// Duration of a call.
const CALL_TIME: Duration = Duration::from_millis(4);

impl MemoryStore {
    fn lock(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().unwrap();
        state.expire_leases(Instant::now());
        state
    }

    /// Makes all calls fail, or succeed again.
    pub fn set_unreachable(&self, unreachable: bool) {
        self.lock().unreachable = unreachable;
    }

    /// Drops the history of changes; counts as one unrelated change.
    pub fn forget_history(&self) {
        let mut state = self.lock();
        state.revision += 1;
        state.forgotten = state.revision;
    }

    /// Restarts as if restored from an empty backup, in the next era.
    pub fn restore_empty(&self) {
        let mut state = self.lock();
        let era = KvRevision(state.revision).era();
        state.values.clear();
        state.leases.clear();
        state.revision = KvRevision::in_era(StoreEra(era.0 + 1), 1).0;
        state.forgotten = state.revision;
    }

    /// Makes watches that start from now on never get a response, or get one again.
    pub fn set_unresponsive(&self, unresponsive: bool) {
        self.lock().unresponsive = unresponsive;
    }

    /// Sets how long the transfer of a changed value takes, as over a slow link.
    pub fn set_transfer_time(&self, transfer_time: Duration) {
        self.lock().transfer_time = transfer_time;
    }

    /// Numbers of first pages that were read, and of listings that were read to their end after one.
    pub fn listings(&self) -> (usize, usize) {
        let state = self.lock();
        (state.first_pages, state.long_listings)
    }

    /// The wait time that each watch so far requested.
    pub fn waits(&self) -> Vec<Duration> {
        self.lock().waits.clone()
    }

    fn failed(fault: PlatformFault) -> PlatformError {
        PlatformError {
            step: "a call",
            peer: ([127, 0, 0, 1], 1).into(),
            fault,
        }
    }

    async fn call(&self) -> Result<(), PlatformError> {
        tokio::time::sleep(CALL_TIME).await;
        match self.lock().unreachable {
            true => Err(Self::failed(PlatformFault::Unreachable)),
            false => Ok(()),
        }
    }

    fn entries_below(&self, prefix: &str) -> Vec<KvEntry> {
        let state = self.lock();
        let below = state
            .values
            .iter()
            .filter(|(key, _)| key.starts_with(prefix));
        below
            .map(|(key, (value, revision, _))| entry(key, value, *revision))
            .collect()
    }
}

impl Platform for MemoryStore {
    async fn get(&self, key: &str) -> Result<Option<KvEntry>, PlatformError> {
        self.call().await?;
        Ok(self
            .entries_below(key)
            .into_iter()
            .find(|entry| entry.key == key))
    }

    async fn list(
        &self,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
    ) -> Result<Vec<KvEntry>, PlatformError> {
        self.call().await?;
        let found = self.entries_below(prefix).into_iter();
        let rest = found.filter(|entry| Some(entry.key.as_str()) > after);
        Ok(rest.take(limit).collect())
    }

    async fn stale_first_page(&self, prefix: &str) -> Result<FirstPage, PlatformError> {
        let mut snapshot = self.snapshot(prefix).await?;
        let is_complete = snapshot.entries.len() <= PAGE_LEN;
        snapshot.entries.truncate(PAGE_LEN);
        self.lock().first_pages += 1;
        Ok(FirstPage {
            snapshot,
            is_complete,
        })
    }

    async fn stale_other_pages(
        &self,
        prefix: &str,
        _: Snapshot,
    ) -> Result<Snapshot, PlatformError> {
        self.lock().long_listings += 1;
        self.snapshot(prefix).await
    }

    async fn snapshot(&self, prefix: &str) -> Result<Snapshot, PlatformError> {
        self.call().await?;
        let entries = self.entries_below(prefix);
        let revision = KvRevision(self.lock().revision);
        Ok(Snapshot { entries, revision })
    }

    async fn put(
        &self,
        key: &str,
        value: &str,
        expect: KvRevision,
        lease: Option<LeaseId>,
    ) -> Result<KvRevision, PlatformError> {
        self.call().await?;
        let mut state = self.lock();
        let known = state
            .values
            .get(key)
            .map_or(0, |(_, revision, _)| *revision);
        if known != expect.0 {
            return Err(Self::failed(PlatformFault::Conflict));
        }
        if lease.is_some_and(|lease| !state.leases.contains_key(&lease.id)) {
            return Err(Self::failed(PlatformFault::LeaseLapsed));
        }
        state.revision += 1;
        let revision = state.revision;
        let lease = lease.map(|lease| lease.id);
        let value = (value.to_owned(), revision, lease);
        state.values.insert(key.to_owned(), value);
        drop(state);
        self.changed.notify_waiters();
        Ok(KvRevision(revision))
    }

    async fn delete(&self, key: &str, expect: KvRevision) -> Result<(), PlatformError> {
        self.call().await?;
        let mut state = self.lock();
        let known = state
            .values
            .get(key)
            .map_or(0, |(_, revision, _)| *revision);
        if known != expect.0 {
            return Err(Self::failed(PlatformFault::Conflict));
        }
        state.values.remove(key);
        state.revision += 1;
        drop(state);
        self.changed.notify_waiters();
        Ok(())
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, PlatformError> {
        self.call().await?;
        let mut state = self.lock();
        state.next_lease += 1;
        let id = state.next_lease;
        state.leases.insert(id, (Instant::now() + ttl, ttl));
        Ok(LeaseId::from(id))
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<(), PlatformError> {
        self.call().await?;
        let mut state = self.lock();
        match state.leases.get_mut(&lease.id) {
            Some((until, ttl)) => {
                *until = Instant::now() + *ttl;
                Ok(())
            }
            None => Err(Self::failed(PlatformFault::LeaseLapsed)),
        }
    }

    async fn watch(
        &self,
        prefix: &str,
        after: KvRevision,
        wait: Duration,
    ) -> Result<WatchReply, PlatformError> {
        let until = Instant::now() + wait;
        if after.0 < self.lock().forgotten {
            return Err(Self::failed(PlatformFault::HistoryLost));
        }
        loop {
            self.call().await?;
            let at = self.lock().revision;
            let found = self.entries_below(prefix).into_iter();
            let changed: Vec<KvEntry> = found.filter(|e| e.revision > after).collect();
            if at > after.0 || Instant::now() >= until {
                let revision = KvRevision(at);
                return Ok(WatchReply { changed, revision });
            }
            // Leases expire without a notification, so the wait is divided into short ones.
            let piece = Duration::from_millis(100);
            let _ = tokio::time::timeout(piece, self.changed.notified()).await;
        }
    }

    async fn watch_with_callback(
        &self,
        prefix: &str,
        after: KvRevision,
        wait: Duration,
        arriving: impl FnOnce() + Send,
    ) -> Result<WatchReply, PlatformError> {
        self.lock().waits.push(wait);
        if self.lock().unresponsive {
            std::future::pending::<()>().await;
        }
        let reply = self.watch(prefix, after, wait).await?;
        arriving();
        let transfer_time = self.lock().transfer_time;
        if !reply.changed.is_empty() {
            tokio::time::sleep(transfer_time).await;
        }
        Ok(reply)
    }
}

impl BoxLister for MemoryStore {
    async fn box_list(&self) -> Result<BoxList, PlatformError> {
        Err(Self::failed(PlatformFault::Invalid))
    }
}
