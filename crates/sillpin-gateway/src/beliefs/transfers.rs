//! Which prefixes are on their way to this box, and from where they are awaited.
//!
//! What is published reaches a box from the platform's store and from other boxes. Over a thin link two transfers of the same
//! thing take twice as long each, so a box takes part in one at a time: whoever would begin another asks here first.

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

/// A transfer that is under way until this is dropped.
#[derive(Debug)]
pub struct UnderWay {
    transfers: Transfers,
    topic: Topic,
}

impl Transfers {
    /// Something of a prefix begins to arrive.
    pub fn begin(&self, topic: Topic) -> UnderWay {
        self.lock().entry(topic).or_default().under_way += 1;
        let transfers = self.clone();
        UnderWay { transfers, topic }
    }

    /// Whether something of a prefix is arriving.
    pub fn is_under_way(&self, topic: Topic) -> bool {
        let topics = self.lock();
        topics.get(&topic).is_some_and(|state| state.under_way > 0)
    }

    /// Whether the store answers this box and will tell it of the next change of a prefix.
    pub fn set_watched(&self, topic: Topic, watched: bool) {
        self.lock().entry(topic).or_default().watched = watched;
    }

    /// Whether the store is to tell this box of the next change of a prefix.
    pub fn is_watched(&self, topic: Topic) -> bool {
        let topics = self.lock();
        topics.get(&topic).is_some_and(|state| state.watched)
    }

    /// Others know of a change that the store has not told this box: the connection on which it waits may have gone
    /// silent.
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
