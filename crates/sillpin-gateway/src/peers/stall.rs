//! Detects that this process was stalled.
//!
//! Datagrams that were queued while a process was frozen seem to have just arrived, so the ages in
//! them are too small. After a stall, queued datagrams are discarded.

use crate::suspend_clock::SuspendClock;
use crate::tasks::{Need, Tasks};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::Instant;

/// Time between two ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Delay of a tick that indicates a stall. Timers of a busy box fire tens of milliseconds late.
const STALL_DELAY: Duration = Duration::from_millis(400);

/// Time for which datagrams are discarded after a stall; reading the socket's buffer takes far
/// less.
const DISCARD_TIME: Duration = Duration::from_millis(200);

#[derive(Debug)]
struct State {
    last_tick: Instant,
    /// Total time of suspension at that tick.
    suspended: Duration,
    discard_until: Option<Instant>,
}

impl State {
    fn check(&mut self, now: Instant, suspended: Duration) {
        if now - self.last_tick > STALL_DELAY || suspended > self.suspended {
            self.discard_until = Some(now + DISCARD_TIME);
        }
        self.suspended = suspended;
    }
}

/// Detects stalls; clones share the state.
#[derive(Debug, Clone)]
pub struct StallDetector {
    suspend_clock: SuspendClock,
    state: Arc<Mutex<State>>,
}

impl StallDetector {
    /// Creates a detector and starts its ticks.
    pub fn start(suspend_clock: SuspendClock, tasks: &Tasks) -> Self {
        let state = State {
            last_tick: Instant::now(),
            suspended: suspend_clock.suspended(),
            discard_until: None,
        };
        let detector = Self {
            suspend_clock,
            state: Arc::new(Mutex::new(state)),
        };
        let ticking = detector.clone();
        tasks.restart("stall detector", Need::ToServe, move || {
            ticking.clone().tick()
        });
        detector
    }

    async fn tick(self) {
        loop {
            tokio::time::sleep(TICK_INTERVAL).await;
            let (now, suspended) = (Instant::now(), self.suspend_clock.suspended());
            let mut state = self.state.lock().unwrap_or_else(|e| e.into_inner());
            state.check(now, suspended);
            state.last_tick = now;
        }
    }

    /// Returns whether a datagram that arrives now may have been queued during a stall.
    pub fn is_stale(&self) -> bool {
        let (now, suspended) = (Instant::now(), self.suspend_clock.suspended());
        let mut state = self.state.lock().unwrap_or_else(|e| e.into_inner());
        state.check(now, suspended);
        state.discard_until.is_some_and(|until| now < until)
    }
}
