//! What the box knew before it was suspended.

use super::Fleet;
use crate::control::PublishedFormat;
use sillpin_telemetry::{event, events};
use std::sync::Arc;
use tokio::time::Instant;

impl<K: PublishedFormat> Fleet<K> {
    /// Makes what is known older by the time that the box was suspended; whether it was.
    pub(super) fn wake(&mut self, now: Instant) -> bool {
        let suspended = self.suspend_clock.suspended();
        let time = suspended.saturating_sub(self.view.suspended);
        if time.is_zero() {
            return false;
        }
        event!(self.log, events::BOX_SUSPENDED, "slept_ms" => time.as_millis());
        self.woke = Some((now, time));
        self.operators.age(time);
        self.listed.age(time);
        self.wanted.values_mut().for_each(|wanted| wanted.age(time));
        self.view.operators = self.operators.known();
        self.view.listed = self.listed.known();
        self.view.wanted = Arc::new(self.wanted.clone());
        self.view.suspended = suspended;
        true
    }

    /// When the store was asked for what arrives now. A question from before the box was suspended is older by that.
    pub(super) fn asked(&self, at: Instant) -> Instant {
        let suspended = self.woke.filter(|(woke, _)| at < *woke);
        let before = suspended.and_then(|(_, time)| at.checked_sub(time));
        before.unwrap_or(at)
    }
}
