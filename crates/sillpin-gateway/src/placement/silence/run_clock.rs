//! Measures for how long this process runs.

use super::RunTime;
use std::time::Duration;
use tokio::time::Instant;

/// A longer time between two ticks means that this process did not run; that time does not count. Boxes with a small
/// share of a core are descheduled for some 100 ms at a time under load.
const MAX_TICK_GAP: Duration = Duration::from_millis(300);

/// Measures the time for which this process runs, at the granularity of ticks.
#[derive(Debug, Default)]
pub(super) struct RunClock {
    /// Time for which it has run until the last tick.
    pub run: RunTime,
    ticked: Option<Instant>,
    suspended: Duration,
}

impl RunClock {
    pub(super) fn at(&self, now: Instant) -> RunTime {
        let since = self
            .ticked
            .map(|ticked| now.saturating_duration_since(ticked));
        self.run + since.filter(|gap| *gap <= MAX_TICK_GAP).unwrap_or_default()
    }

    /// Advances the clock; returns whether the process ran since the last tick.
    pub(super) fn tick(&mut self, now: Instant) -> bool {
        let gap = self
            .ticked
            .map(|ticked| now.saturating_duration_since(ticked));
        self.run = self.at(now);
        self.ticked = Some(now);
        gap.is_none_or(|gap| gap <= MAX_TICK_GAP)
    }

    /// Returns whether the box was suspended since the last call.
    pub(super) fn was_suspended(&mut self, suspended: Duration) -> bool {
        let longer = suspended > self.suspended;
        self.suspended = suspended;
        longer
    }
}
