//! Which other boxes live.

use super::Fleet;
use crate::beliefs::BoxEntry;
use crate::control::PublishedFormat;
use sillpin_core::BoxId;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Silence after which a box that is not registered counts as gone: several rounds of gossip.
const BOX_SILENCE: Duration = Duration::from_secs(6);

/// What is known of another box.
#[derive(Debug, Clone)]
pub(super) struct BoxSeen {
    pub(super) entry: BoxEntry,
    pub(super) registered: bool,
    pub(super) heard: Option<Instant>,
}

impl<K: PublishedFormat> Fleet<K> {
    /// Boxes stand in the registry.
    pub(super) fn register(&mut self, entries: Vec<BoxEntry>) {
        for entry in entries.into_iter().filter(|entry| entry.id != self.me) {
            let heard = self.boxes.get(&entry.id).and_then(|seen| seen.heard);
            let registered = true;
            let id = entry.id.clone();
            let seen = BoxSeen {
                entry,
                registered,
                heard,
            };
            self.boxes.insert(id, seen);
        }
        self.boxes_changed = true;
    }

    /// A box was heard.
    pub(super) fn hear(&mut self, entry: BoxEntry, now: Instant) {
        if entry.id == self.me {
            return;
        }
        let known = self.boxes.get(&entry.id);
        let new = known.is_none_or(|seen| seen.entry != entry);
        let registered = known.is_some_and(|seen| seen.registered);
        let seen = BoxSeen {
            entry: entry.clone(),
            registered,
            heard: Some(now),
        };
        self.boxes.insert(entry.id, seen);
        if new {
            self.boxes_changed = true;
        }
    }

    /// A box stops.
    pub(super) fn forget(&mut self, id: &BoxId) {
        if self.boxes.remove(id).is_some() {
            self.boxes_changed = true;
        }
    }

    /// Forgets boxes that are neither registered nor heard any more; whether there were any.
    pub(super) fn forget_silent(&mut self, now: Instant) -> bool {
        let before = self.boxes.len();
        self.boxes.retain(|_, seen| {
            let heard = seen.heard.is_some_and(|at| now - at < BOX_SILENCE);
            seen.registered || heard
        });
        before != self.boxes.len()
    }

    /// Brings the view of the boxes up to date.
    pub(super) fn publish_boxes(&mut self) {
        let mut boxes: Vec<BoxEntry> = self.boxes.values().map(|b| b.entry.clone()).collect();
        boxes.sort_by(|a, b| a.id.cmp(&b.id));
        self.view.boxes = Arc::new(boxes);
    }
}
