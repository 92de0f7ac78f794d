//! Detects time in which the box was suspended.
//!
//! While a machine is suspended, its monotonic clock stands still, and so does the runtime's clock. A box that
//! resumes would take its state to be as fresh as before, although leases have expired, parts were freed and weights
//! published meanwhile. The boot clock includes that time. So the box compares the two clocks: it ages its state by
//! their difference, and does not rely on the state before that is done.

use nix::time::{ClockId, clock_gettime};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::time::Instant;

/// Smaller differences between the clocks are ignored, since the clocks are not read at the same instant. All time
/// limits of a box are longer.
const MIN_SUSPENSION: Duration = Duration::from_millis(50);

/// Maximum number of attempts to read both clocks without being descheduled in between.
const MAX_READS: usize = 3;

/// Maximum time that reading both clocks may take.
const MAX_READ_TIME: Duration = Duration::from_millis(1);

/// How far the boot clock is ahead of the monotonic clock.
#[derive(Debug, Clone)]
enum OffsetSource {
    /// Read from the machine's clocks.
    Clocks(std::time::Instant),
    /// Set by tests.
    Manual(Arc<Mutex<Duration>>),
}

impl OffsetSource {
    /// Returns `None` if the clocks cannot be read.
    fn read(&self) -> Option<Duration> {
        match self {
            OffsetSource::Clocks(began) => read_clocks(*began),
            OffsetSource::Manual(offset) => Some(*lock(offset)),
        }
    }
}

/// Returns the boot clock minus the time since `began` on the monotonic clock.
fn read_clocks(began: std::time::Instant) -> Option<Duration> {
    let mut smallest: Option<Duration> = None;
    for _ in 0..MAX_READS {
        let before = began.elapsed();
        let boot = Duration::from(clock_gettime(ClockId::CLOCK_BOOTTIME).ok()?);
        let offset = boot.saturating_sub(before);
        smallest = Some(smallest.map_or(offset, |smallest| smallest.min(offset)));
        if began.elapsed() - before < MAX_READ_TIME {
            break;
        }
    }
    smallest
}

/// Measures how long the box has been suspended; clones share the result.
#[derive(Debug, Clone)]
pub struct SuspendClock {
    offset: OffsetSource,
    initial_offset: Option<Duration>,
    suspended: Arc<Mutex<Duration>>,
}

impl Default for SuspendClock {
    fn default() -> Self {
        Self::from(OffsetSource::Clocks(std::time::Instant::now()))
    }
}

impl SuspendClock {
    fn from(offset: OffsetSource) -> Self {
        Self {
            initial_offset: offset.read(),
            offset,
            suspended: Arc::default(),
        }
    }

    /// Creates one that is only advanced by [`SuspendClock::suspend`], for tests.
    pub fn manual() -> Self {
        Self::from(OffsetSource::Manual(Arc::default()))
    }

    /// Adds suspended time, for tests; has no effect unless created by [`SuspendClock::manual`].
    pub fn suspend(&self, time: Duration) {
        if let OffsetSource::Manual(offset) = &self.offset {
            *lock(offset) += time;
        }
    }

    /// Total time that the box was suspended since its start. Never decreases.
    pub fn suspended(&self) -> Duration {
        let offset = self.offset.read().zip(self.initial_offset);
        let measured = offset.map(|(now, initial_offset)| now.saturating_sub(initial_offset));
        let mut suspended = lock(&self.suspended);
        if let Some(measured) = measured.filter(|measured| *measured >= *suspended + MIN_SUSPENSION)
        {
            *suspended = measured;
        }
        *suspended
    }

    /// The runtime's clock plus the time suspended. Must not be compared with readings of the runtime's clock.
    pub fn now(&self) -> Instant {
        Instant::now() + self.suspended()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}
