//! Adjusts ages after the box was suspended.

use super::Fleet;
use crate::control::PublishedFormat;
use sillpin_telemetry::{event, events};
use std::sync::Arc;
use tokio::time::Instant;

impl<K: PublishedFormat> Fleet<K> {
    /// Makes all data older by the time for which the box was suspended. Returns whether it was.
    pub(super) fn apply_suspension(&mut self, now: Instant) -> bool {
        let suspended = self.suspend_clock.suspended();
        let time = suspended.saturating_sub(self.view.suspended);
        if time.is_zero() {
            return false;
        }
        event!(self.log, events::BOX_SUSPENDED, "slept_ms" => time.as_millis());
        self.resumed = Some((now, time));
        self.operators_mirror.add_suspended_time(time);
        self.targets_mirror.add_suspended_time(time);
        self.desired
            .values_mut()
            .for_each(|desired| desired.add_suspended_time(time));
        self.view.operators_sync = self.operators_mirror.known();
        self.view.targets_sync = self.targets_mirror.known();
        self.view.desired = Arc::new(self.desired.clone());
        self.releases.add_suspended_time(time);
        self.view.releases = Arc::new(self.releases.clone());
        self.view.suspended = suspended;
        true
    }

    /// Returns when the store was queried for data that arrives now. A query sent before the
    /// suspension is older by its length.
    pub(super) fn adjust_for_suspension(&self, at: Instant) -> Instant {
        let suspended = self.resumed.filter(|(resumed, _)| at < *resumed);
        let before = suspended.and_then(|(_, time)| at.checked_sub(time));
        before.unwrap_or(at)
    }
}
