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
    under_way: u32,
    watched: bool,
    doubted: Arc<Notify>,
}

/// Transfers to this box; clones share them.
#[derive(Debug, Clone, Default)]
pub struct Transfers {
    topics: Arc<Mutex<HashMap<Topic, State>>>,
}

/// Guard of a transfer, which is in progress until this is dropped.
#[derive(Debug)]
pub struct UnderWay {
    transfers: Transfers,
    topic: Topic,
}

impl Transfers {
    /// Records that a transfer of a prefix begins.
    pub fn begin(&self, topic: Topic) -> UnderWay {
        self.lock().entry(topic).or_default().under_way += 1;
        let transfers = self.clone();
        UnderWay { transfers, topic }
    }

    /// Returns whether a transfer of a prefix is in progress.
    pub fn is_under_way(&self, topic: Topic) -> bool {
        let topics = self.lock();
        topics.get(&topic).is_some_and(|state| state.under_way > 0)
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
    pub fn doubt(&self, topic: Topic) {
        self.doubted_of(topic).notify_waiters();
    }

    /// Resolves at the next [`Transfers::doubt`].
    pub async fn doubted(&self, topic: Topic) {
        self.doubted_of(topic).notified().await;
    }

    fn doubted_of(&self, topic: Topic) -> Arc<Notify> {
        self.lock().entry(topic).or_default().doubted.clone()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Topic, State>> {
        self.topics.lock().unwrap_or_else(|e| e.into_inner())
    }
}

impl Drop for UnderWay {
    fn drop(&mut self) {
        let mut topics = self.transfers.lock();
        let state = topics.entry(self.topic).or_default();
        state.under_way = state.under_way.saturating_sub(1);
    }
}
