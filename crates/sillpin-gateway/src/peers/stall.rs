//! Detects that this process was stalled.
//!
//! Datagrams that were queued while a process was frozen look as if they had just arrived, so the
//! ages in them are too small. After a stall, queued datagrams are discarded.

use crate::awake::Awake;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::Instant;

/// Time between two ticks.
const TICK: Duration = Duration::from_millis(100);

/// Delay of a tick that indicates a stall. Timers of a busy box fire tens of milliseconds late.
const STALL: Duration = Duration::from_millis(400);

/// Time for which datagrams are discarded after a stall; reading the socket's buffer takes far
/// less.
const DISCARD: Duration = Duration::from_millis(200);

#[derive(Debug)]
struct State {
    ticked: Instant,
    /// Total time of suspension at that tick.
    slept: Duration,
    discard_until: Option<Instant>,
}

impl State {
    fn look(&mut self, now: Instant, slept: Duration) {
        if now - self.ticked > STALL || slept > self.slept {
            self.discard_until = Some(now + DISCARD);
        }
        self.slept = slept;
    }
}

/// Detects stalls; clones share the state.
#[derive(Debug, Clone)]
pub struct StallGuard {
    awake: Awake,
    state: Arc<Mutex<State>>,
}

impl StallGuard {
    /// Creates a detector and starts its ticks.
    pub fn start(awake: Awake) -> Self {
        let state = State {
            ticked: Instant::now(),
            slept: awake.slept(),
            discard_until: None,
        };
        let guard = Self {
            awake,
            state: Arc::new(Mutex::new(state)),
        };
        tokio::spawn(guard.clone().tick());
        guard
    }

    async fn tick(self) {
        loop {
            tokio::time::sleep(TICK).await;
            let (now, slept) = (Instant::now(), self.awake.slept());
            let mut state = self.state.lock().unwrap_or_else(|e| e.into_inner());
            state.look(now, slept);
            state.ticked = now;
        }
    }

    /// Returns whether a datagram that arrives now may have been queued during a stall.
    pub fn is_stale(&self) -> bool {
        let (now, slept) = (Instant::now(), self.awake.slept());
        let mut state = self.state.lock().unwrap_or_else(|e| e.into_inner());
        state.look(now, slept);
        state.discard_until.is_some_and(|until| now < until)
    }
}
