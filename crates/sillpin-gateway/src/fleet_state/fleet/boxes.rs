//! Other boxes of the fleet that are up.

use super::Fleet;
use crate::control::PublishedFormat;
use crate::fleet_state::BoxEntry;
use sillpin_core::BoxId;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Time without a digest after which a box that is not registered counts as stopped: several rounds
/// of gossip.
const PEER_TIMEOUT: Duration = Duration::from_secs(6);

/// State of another box.
#[derive(Debug, Clone)]
pub(super) struct PeerState {
    pub(super) entry: BoxEntry,
    pub(super) registered: bool,
    pub(super) last_seen: Option<Instant>,
}

impl<K: PublishedFormat> Fleet<K> {
    /// Adds boxes that are registered.
    pub(super) fn register(&mut self, entries: Vec<BoxEntry>) {
        for entry in entries.into_iter().filter(|entry| entry.id != self.me) {
            let last_seen = self.boxes.get(&entry.id).and_then(|peer| peer.last_seen);
            let registered = true;
            let id = entry.id.clone();
            let state = PeerState {
                entry,
                registered,
                last_seen,
            };
            self.boxes.insert(id, state);
        }
        self.boxes_changed = true;
    }

    /// Records a digest of a box.
    pub(super) fn peer_seen(&mut self, entry: BoxEntry, now: Instant) {
        if entry.id == self.me {
            return;
        }
        let previous = self.boxes.get(&entry.id);
        let is_changed = previous.is_none_or(|peer| peer.entry != entry);
        let registered = previous.is_some_and(|peer| peer.registered);
        let state = PeerState {
            entry: entry.clone(),
            registered,
            last_seen: Some(now),
        };
        self.boxes.insert(entry.id, state);
        if is_changed {
            self.boxes_changed = true;
        }
    }

    /// Removes a box that is shutting down.
    pub(super) fn remove_peer(&mut self, id: &BoxId) {
        if self.boxes.remove(id).is_some() {
            self.boxes_changed = true;
        }
    }

    /// Removes boxes that are neither registered nor have sent a digest recently. Returns whether
    /// there were any.
    pub(super) fn remove_unresponsive_peers(&mut self, now: Instant) -> bool {
        let before = self.boxes.len();
        self.boxes.retain(|_, peer| {
            let is_recent = peer.last_seen.is_some_and(|at| now - at < PEER_TIMEOUT);
            peer.registered || is_recent
        });
        before != self.boxes.len()
    }

    /// Updates the view of the boxes.
    pub(super) fn publish_boxes(&mut self) {
        let mut boxes: Vec<BoxEntry> = self.boxes.values().map(|b| b.entry.clone()).collect();
        boxes.sort_by(|a, b| a.id.cmp(&b.id));
        self.view.boxes = Arc::new(boxes);
    }
}
