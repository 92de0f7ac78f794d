//! Bounds the number of open connections of a server.
//!
//! Each connection takes memory and a descriptor. Once as many are open as a process bears, one that has had no request for a while is
//! closed for a new one; if there is none, the new one is closed unread, so that its caller can try another server.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Time without a request after which a connection may be closed for a new one: its caller may be about to send.
const MIN_IDLE: Duration = Duration::from_secs(1);

/// Part of the limit by which it may be exceeded while connections close that still send a response.
const CLOSING_SHARE: usize = 8;

#[derive(Debug)]
struct Open {
    /// When it was opened, or its last response ended; `None` while a request waits for its response or the response is sent.
    idle_since: Option<Instant>,
    close: CancellationToken,
}

#[derive(Debug, Default)]
struct State {
    open: HashMap<u64, Open>,
    next_id: u64,
}

/// The open connections of a server; clones share them.
#[derive(Debug, Clone)]
pub struct Connections {
    max: usize,
    state: Arc<Mutex<State>>,
    refused: Arc<AtomicU64>,
    replaced: Arc<AtomicU64>,
}

impl Default for Connections {
    fn default() -> Self {
        Self::new(usize::MAX)
    }
}

impl Connections {
    /// Creates a bound of so many connections.
    pub fn new(max: usize) -> Self {
        Self {
            max,
            state: Arc::default(),
            refused: Arc::default(),
            replaced: Arc::default(),
        }
    }

    /// Number of connections that were closed unread.
    pub fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    /// Number of connections that were closed for new ones.
    pub fn replaced(&self) -> u64 {
        self.replaced.load(Ordering::Relaxed)
    }

    /// Number of open connections.
    pub fn open(&self) -> usize {
        self.lock().open.len()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Admits a new connection; `None` if it is to be closed unread.
    pub(crate) fn admit(&self, now: Instant) -> Option<Connection> {
        let mut state = self.lock();
        let hard_max = self.max.saturating_add(self.max / CLOSING_SHARE);
        if state.open.len() >= self.max && !(state.open.len() < hard_max && state.close_idle(now)) {
            drop(state);
            self.refused.fetch_add(1, Ordering::Relaxed);
            return None;
        }
        if state.open.len() >= self.max {
            self.replaced.fetch_add(1, Ordering::Relaxed);
        }
        let id = state.next_id;
        state.next_id += 1;
        let close = CancellationToken::new();
        let open = Open {
            idle_since: Some(now),
            close: close.clone(),
        };
        state.open.insert(id, open);
        Some(Connection {
            connections: self.clone(),
            id,
            close,
        })
    }
}

impl State {
    /// Closes the connection that has been idle longest. Returns whether there was one.
    fn close_idle(&mut self, now: Instant) -> bool {
        let idle = self.open.values_mut().filter(|open| {
            let idle_since = open.idle_since;
            idle_since.is_some_and(|at| now - at >= MIN_IDLE) && !open.close.is_cancelled()
        });
        let longest = idle.min_by_key(|open| open.idle_since);
        longest.map(|open| open.close.cancel()).is_some()
    }
}

/// An open connection; it is counted until this is dropped.
#[derive(Debug)]
pub(crate) struct Connection {
    connections: Connections,
    id: u64,
    /// Cancelled when it is to be closed for another one.
    pub(crate) close: CancellationToken,
}

impl Connection {
    /// Records that a request is in hand until the guard is dropped.
    pub(crate) fn begin_request(&self) -> RequestGuard {
        self.connections.set_idle_since(self.id, None);
        RequestGuard {
            connections: self.connections.clone(),
            id: self.id,
        }
    }
}

impl Connections {
    fn set_idle_since(&self, id: u64, idle_since: Option<Instant>) {
        if let Some(open) = self.lock().open.get_mut(&id) {
            open.idle_since = idle_since;
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.connections.lock().open.remove(&self.id);
    }
}

/// A request whose response has not ended.
#[derive(Debug)]
pub(crate) struct RequestGuard {
    connections: Connections,
    id: u64,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.connections
            .set_idle_since(self.id, Some(Instant::now()));
    }
}
