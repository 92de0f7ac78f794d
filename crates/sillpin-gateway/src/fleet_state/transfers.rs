//! Transfers of prefixes to this box, and whether the store is being watched.
//!
//! Published data reaches a box from the platform store and from other boxes. On a slow link two
//! transfers of the same data take twice as long each, so a box receives one at a time, and checks
//! here before it starts another.

use super::Topic;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::sync::Notify;

#[derive(Debug, Default)]
struct State {
    in_progress: u32,
    watched: bool,
    retry_requested: Arc<Notify>,
}

/// Transfers to this box; clones share them.
#[derive(Debug, Clone, Default)]
pub struct Transfers {
    topics: Arc<Mutex<HashMap<Topic, State>>>,
}

/// Guard of a transfer, which is in progress until this is dropped.
#[derive(Debug)]
pub struct TransferGuard {
    transfers: Transfers,
    topic: Topic,
}

impl Transfers {
    /// Records that a transfer of a prefix begins.
    pub fn begin(&self, topic: Topic) -> TransferGuard {
        self.lock().entry(topic).or_default().in_progress += 1;
        let transfers = self.clone();
        TransferGuard { transfers, topic }
    }

    /// Returns whether a transfer of a prefix is in progress.
    pub fn is_in_progress(&self, topic: Topic) -> bool {
        let topics = self.lock();
        topics
            .get(&topic)
            .is_some_and(|state| state.in_progress > 0)
    }

    /// Sets whether the store answers this box and will send it the next change of a prefix.
    pub fn set_watched(&self, topic: Topic, watched: bool) {
        self.lock().entry(topic).or_default().watched = watched;
    }

    /// Returns whether the store will send this box the next change of a prefix.
    pub fn is_watched(&self, topic: Topic) -> bool {
        let topics = self.lock();
        topics.get(&topic).is_some_and(|state| state.watched)
    }

    /// Requests that the call to the store be repeated. Other boxes know of a change that the store
    /// has not sent to this box, so the connection on which it waits may be broken.
    pub fn request_retry(&self, topic: Topic) {
        self.retry_notify(topic).notify_waiters();
    }

    /// Resolves at the next [`Transfers::request_retry`].
    pub async fn retry_requested(&self, topic: Topic) {
        self.retry_notify(topic).notified().await;
    }

    fn retry_notify(&self, topic: Topic) -> Arc<Notify> {
        self.lock()
            .entry(topic)
            .or_default()
            .retry_requested
            .clone()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Topic, State>> {
        self.topics.lock().unwrap_or_else(|e| e.into_inner())
    }
}

impl Drop for TransferGuard {
    fn drop(&mut self) {
        let mut topics = self.transfers.lock();
        let state = topics.entry(self.topic).or_default();
        state.in_progress = state.in_progress.saturating_sub(1);
    }
}
