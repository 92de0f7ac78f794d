//! Notices that this process stood still.
//!
//! Datagrams that waited while a process was frozen look as if they had just arrived, and their ages would
//! be taken for true. After a stall, what had been waiting is thrown away.

use crate::suspend_clock::SuspendClock;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::Instant;

/// Time between two ticks.
const TICK: Duration = Duration::from_millis(100);

/// A tick that is this late tells of a stall. Timers of a busy box fire tens of milliseconds late.
const STALL: Duration = Duration::from_millis(400);

/// How long datagrams are thrown away after a stall: the socket's buffer is read in far less.
const DISCARD: Duration = Duration::from_millis(200);

#[derive(Debug)]
struct State {
    ticked: Instant,
    /// Time asleep by then.
    suspended: Duration,
    discard_until: Option<Instant>,
}

impl State {
    fn look(&mut self, now: Instant, suspended: Duration) {
        if now - self.ticked > STALL || suspended > self.suspended {
            self.discard_until = Some(now + DISCARD);
        }
        self.suspended = suspended;
    }
}

/// Notices stalls; clones share it.
#[derive(Debug, Clone)]
pub struct StallGuard {
    suspend_clock: SuspendClock,
    state: Arc<Mutex<State>>,
}

impl StallGuard {
    /// Starts the ticks.
    pub fn start(suspend_clock: SuspendClock) -> Self {
        let state = State {
            ticked: Instant::now(),
            suspended: suspend_clock.suspended(),
            discard_until: None,
        };
        let guard = Self {
            suspend_clock,
            state: Arc::new(Mutex::new(state)),
        };
        tokio::spawn(guard.clone().tick());
        guard
    }

    async fn tick(self) {
        loop {
            tokio::time::sleep(TICK).await;
            let (now, suspended) = (Instant::now(), self.suspend_clock.suspended());
            let mut state = self.state.lock().unwrap_or_else(|e| e.into_inner());
            state.look(now, suspended);
            state.ticked = now;
        }
    }

    /// Whether what arrives now may have waited in a stall.
    pub fn is_stale(&self) -> bool {
        let (now, suspended) = (Instant::now(), self.suspend_clock.suspended());
        let mut state = self.state.lock().unwrap_or_else(|e| e.into_inner());
        state.look(now, suspended);
        state.discard_until.is_some_and(|until| now < until)
    }
}
