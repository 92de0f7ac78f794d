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
    /// When the earliest change with [`Urgency::Immediate`] was recorded.
    immediate: Option<Instant>,
    /// When the changes with [`Urgency::Batched`] are due.
    batched: Option<Instant>,
    /// Number of changes recorded with [`Urgency::Immediate`] since they were last taken.
    immediate_count: usize,
}

impl Pending {
    fn clear(&mut self) {
        self.changed.clear();
        (self.immediate, self.batched, self.immediate_count) = (None, None, 0);
    }
}

/// Changes taken to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TakenChanges {
    /// The targets whose work has changed.
    pub targets: Vec<TargetId>,
    /// Since when a change that is to be sent immediately has waited.
    pub immediate_since: Option<Instant>,
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
            pending.clear();
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
        let now = Instant::now();
        let is_first = match urgency {
            Urgency::Immediate => {
                pending.immediate_count += 1;
                let since = pending.immediate.unwrap_or(now);
                pending.immediate.replace(since)
            }
            Urgency::Batched => {
                let due = pending.batched.unwrap_or(now + BATCH_TIME);
                pending.batched.replace(due)
            }
        };
        if is_first.is_none() {
            self.recorded.notify_one();
        }
    }

    /// Returns when the changes recorded so far are to be sent, if immediate ones may not be sent
    /// before `immediate` and ends of requests not before `batched`; `None` if there are no changes.
    pub fn due(&self, immediate: Instant, batched: Instant) -> Option<Instant> {
        let pending = self.lock();
        let immediate = pending.immediate.map(|due| due.max(immediate));
        let batched = pending.batched.map(|due| due.max(batched));
        immediate.into_iter().chain(batched).min()
    }

    /// Returns when the earliest change that is to be sent immediately was recorded.
    pub fn immediate_since(&self) -> Option<Instant> {
        self.lock().immediate
    }

    /// Takes all changes.
    pub fn take(&self) -> TakenChanges {
        let mut pending = self.lock();
        let taken = TakenChanges {
            targets: pending.changed.drain().collect(),
            immediate_since: pending.immediate,
        };
        pending.clear();
        taken
    }

    /// Drops all changes. Returns how many were to be sent immediately.
    pub fn discard(&self) -> usize {
        let mut pending = self.lock();
        let immediate = pending.immediate_count;
        pending.clear();
        immediate
    }

    /// Waits until changes are due, with the same times as for [`WorkChanges::due`].
    pub async fn wait_until_due(&self, immediate: Instant, batched: Instant) {
        loop {
            match self.due(immediate, batched) {
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
