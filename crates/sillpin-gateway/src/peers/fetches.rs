//! Fetches from other boxes: at most one of each kind at a time, and none from a box whose last copy arrived too slowly.

use super::peer_client::FetchEnd;
use crate::fleet_state::Topic;
use sillpin_core::BoxId;
use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::time::Instant;

/// Time for which nothing is fetched from a box whose last copy arrived too slowly.
const SLOW_SOURCE_TIME: Duration = Duration::from_secs(10);

/// Data fetched from another box. At most one call for each kind is in progress, however many
/// digests show newer data.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum FetchKind {
    /// A prefix.
    Topic(Topic),
    /// Cache stores.
    Stores,
}

/// Fetches in progress, and boxes from which nothing is fetched; clones share them.
#[derive(Debug, Clone, Default)]
pub struct Fetches {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    in_progress: HashSet<FetchKind>,
    /// Boxes whose last copy arrived too slowly, and until when nothing is fetched from them.
    slow: HashMap<BoxId, Instant>,
}

/// A fetch that is in progress until this is dropped, also by a panic.
pub struct Fetch {
    all: Fetches,
    kind: FetchKind,
    from: BoxId,
}

impl Fetches {
    /// Begins a fetch, unless one of its kind is in progress or the box is slow.
    pub fn begin(&self, kind: FetchKind, from: &BoxId) -> Option<Fetch> {
        let mut state = self.lock();
        let slow_until = state.slow.get(from);
        if slow_until.is_some_and(|until| Instant::now() < *until) {
            return None;
        }
        let begins = state.in_progress.insert(kind);
        begins.then(|| Fetch {
            all: self.clone(),
            kind,
            from: from.clone(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }
}

impl Fetch {
    /// Ends it, and records whether the box was slow.
    pub fn end(self, end: FetchEnd) {
        let now = Instant::now();
        let mut state = self.all.lock();
        state.slow.retain(|_, until| now < *until);
        if end == FetchEnd::TooSlow {
            let until = now + SLOW_SOURCE_TIME;
            state.slow.insert(self.from.clone(), until);
        }
    }
}

impl Drop for Fetch {
    fn drop(&mut self) {
        self.all.lock().in_progress.remove(&self.kind);
    }
}
