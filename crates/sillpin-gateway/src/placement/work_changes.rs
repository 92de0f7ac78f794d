//! Changes of this box's work at engines of its zone that other boxes have not been sent yet.

use super::work::TargetHash;
use sillpin_core::TargetId;
use std::collections::HashSet;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Time for which the end of a request may wait for other changes. It frees memory, which matters
/// less to the next prompt than the prefill work ahead of it.
pub const BATCH_TIME: Duration = Duration::from_millis(20);

/// How soon a change is to be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Urgency {
    /// Immediately: the prefill work has changed.
    Immediate,
    /// Within [`BATCH_TIME`].
    Batched,
}

#[derive(Debug, Default)]
struct Pending {
    /// Targets of the own zone; empty if changes are not sent.
    engines: HashSet<TargetHash>,
    changed: HashSet<TargetId>,
    due: Option<Instant>,
    /// Number of changes recorded with [`Urgency::Immediate`] since it was last taken.
    immediate: usize,
}

/// Changes that have not been sent; clones share them.
#[derive(Debug, Clone, Default)]
pub struct WorkChanges {
    pending: Arc<Mutex<Pending>>,
    recorded: Arc<Notify>,
}

impl WorkChanges {
    fn lock(&self) -> MutexGuard<'_, Pending> {
        self.pending.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Sets the targets whose changes are sent; none if changes are not sent.
    pub fn set_engines(&self, engines: HashSet<TargetHash>) {
        let mut pending = self.lock();
        if engines.is_empty() {
            pending.changed.clear();
            pending.due = None;
        }
        pending.engines = engines;
    }

    /// Records a change of the work at a target.
    pub fn record(&self, target: &TargetId, urgency: Urgency) {
        let mut pending = self.lock();
        if pending.engines.is_empty() || !pending.engines.contains(&TargetHash::of(target)) {
            return;
        }
        if !pending.changed.contains(target) {
            pending.changed.insert(target.clone());
        }
        pending.immediate += usize::from(urgency == Urgency::Immediate);
        let due = match urgency {
            Urgency::Immediate => Instant::now(),
            Urgency::Batched => Instant::now() + BATCH_TIME,
        };
        if pending.due.is_none_or(|earliest| due < earliest) {
            pending.due = Some(due);
            self.recorded.notify_one();
        }
    }

    /// Returns when the changes recorded so far are to be sent; `None` if there are none.
    pub fn due(&self) -> Option<Instant> {
        self.lock().due
    }

    /// Takes all changes.
    pub fn take(&self) -> Vec<TargetId> {
        let mut pending = self.lock();
        pending.due = None;
        pending.immediate = 0;
        pending.changed.drain().collect()
    }

    /// Drops all changes. Returns how many were to be sent immediately.
    pub fn discard(&self) -> usize {
        let mut pending = self.lock();
        pending.due = None;
        pending.changed.clear();
        std::mem::take(&mut pending.immediate)
    }

    /// Waits until changes are due. They may not be sent before `earliest`.
    pub async fn wait_until_due(&self, earliest: Instant) {
        loop {
            let due = self.due().map(|due| due.max(earliest));
            match due {
                None => self.recorded.notified().await,
                Some(due) if due <= Instant::now() => return,
                Some(due) => tokio::select! {
                    () = tokio::time::sleep_until(due) => {}
                    () = self.recorded.notified() => {}
                },
            }
        }
    }
}
