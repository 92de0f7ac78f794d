//! Time in which the box was suspended.
//!
//! A suspended machine stands still, and its steady clock, which the runtime's clock is, with it: a box that wakes takes what it knew before for as fresh as
//! it was then. Leases have run out meanwhile, parts were freed, weights named. The boot clock counts that time. So a box looks how far the two clocks
//! have moved apart: what it knows gets older by as much, and until that is done it relies on none of it.

use nix::time::{ClockId, clock_gettime};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::time::Instant;

/// The clocks are not read at once. What they differ by less is not taken for time asleep; no limit of a box is as short.
const LEAST: Duration = Duration::from_millis(50);

/// Readings of the two clocks between which a process may be stopped or without a processor are taken again, so many times at most.
const READINGS: usize = 3;

/// Longest time between the readings of the two clocks.
const READING_TIME: Duration = Duration::from_millis(1);

/// How far the boot clock is ahead of the steady clock.
#[derive(Debug, Clone)]
enum Ahead {
    /// As the machine's clocks say.
    Clocks(std::time::Instant),
    /// As tests set it.
    Manual(Arc<Mutex<Duration>>),
}

impl Ahead {
    /// `None` if the clocks cannot be read.
    fn read(&self) -> Option<Duration> {
        match self {
            Ahead::Clocks(began) => read_clocks(*began),
            Ahead::Manual(ahead) => Some(*lock(ahead)),
        }
    }
}

/// The boot clock, less the time since `began` on the steady clock.
fn read_clocks(began: std::time::Instant) -> Option<Duration> {
    let mut least: Option<Duration> = None;
    for _ in 0..READINGS {
        let before = began.elapsed();
        let boot = Duration::from(clock_gettime(ClockId::CLOCK_BOOTTIME).ok()?);
        let ahead = boot.saturating_sub(before);
        least = Some(least.map_or(ahead, |least| least.min(ahead)));
        if began.elapsed() - before < READING_TIME {
            break;
        }
    }
    least
}

/// Tells how long the box has been suspended; clones share what they found.
#[derive(Debug, Clone)]
pub struct Awake {
    ahead: Ahead,
    at_start: Option<Duration>,
    suspended: Arc<Mutex<Duration>>,
}

impl Default for Awake {
    fn default() -> Self {
        Self::from(Ahead::Clocks(std::time::Instant::now()))
    }
}

impl Awake {
    fn from(ahead: Ahead) -> Self {
        Self {
            at_start: ahead.read(),
            ahead,
            suspended: Arc::default(),
        }
    }

    /// One whose box is suspended by [`Awake::suspend`] alone, for tests.
    pub fn manual() -> Self {
        Self::from(Ahead::Manual(Arc::default()))
    }

    /// Counts as suspended for so long, if it is a manual one.
    pub fn suspend(&self, time: Duration) {
        if let Ahead::Manual(ahead) = &self.ahead {
            *lock(ahead) += time;
        }
    }

    /// How long the box was suspended since its start, in all. Never falls.
    pub fn suspended(&self) -> Duration {
        let ahead = self.ahead.read().zip(self.at_start);
        let found = ahead.map(|(now, at_start)| now.saturating_sub(at_start));
        let mut suspended = lock(&self.suspended);
        if let Some(found) = found.filter(|found| *found >= *suspended + LEAST) {
            *suspended = found;
        }
        *suspended
    }

    /// The runtime's clock with the time asleep. Not to be mixed with readings of the runtime's clock itself.
    pub fn now(&self) -> Instant {
        Instant::now() + self.suspended()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}
