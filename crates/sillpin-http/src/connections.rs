//! Bounds the number of open connections of a server.
//!
//! Each connection takes memory and a descriptor. Once as many are open as a process bears, one that has had no request for a while is
//! closed for a new one; if there is none, the new one is closed unread, so that its caller can try another server.
//!
//! A caller may be sending a request just when its idle connection is closed, and gets no response then. So when the bound is near,
//! responses to callers that pause between requests announce the close, which makes room beforehand.

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

/// Part of the limit that is kept free by announced closes.
const SPARE_SHARE: usize = 8;

#[derive(Debug)]
struct Open {
    /// When it was opened, or its last response ended; `None` while a request waits for its response or the response is sent.
    idle_since: Option<Instant>,
    /// Whether it might have been closed for a new one before its last request.
    pauses: bool,
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

    /// Number of connections that were admitted.
    pub fn opened(&self) -> u64 {
        self.lock().next_id
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
            pauses: false,
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

impl Open {
    /// Whether it has been idle long enough to be closed for a new one.
    fn may_be_closed(&self, now: Instant) -> bool {
        self.idle_since.is_some_and(|at| now - at >= MIN_IDLE)
    }
}

impl State {
    /// Closes a connection after the response that is ready, if its caller pauses between requests and less than the spare part of `max`
    /// is free.
    fn close_if_crowded(&self, id: u64, max: usize) {
        let max_staying = max - max / SPARE_SHARE;
        if self.open.len() <= max_staying {
            return;
        }
        let is_staying = |open: &&Open| !open.close.is_cancelled();
        let staying = self.open.values().filter(is_staying).count();
        let pausing = self.open.get(&id).filter(|open| open.pauses);
        if let Some(open) = pausing.filter(|_| staying > max_staying) {
            open.close.cancel();
        }
    }

    /// Closes the connection that has been idle longest. Returns whether there was one.
    fn close_idle(&mut self, now: Instant) -> bool {
        let idle = self
            .open
            .values()
            .filter(|open| open.may_be_closed(now) && !open.close.is_cancelled());
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
        self.connections.begin_request(self.id, Instant::now());
        RequestGuard {
            connections: self.connections.clone(),
            id: self.id,
        }
    }
}

impl Connections {
    fn begin_request(&self, id: u64, now: Instant) {
        if let Some(open) = self.lock().open.get_mut(&id) {
            open.pauses = open.may_be_closed(now);
            open.idle_since = None;
        }
    }

    fn end_request(&self, id: u64, now: Instant) {
        if let Some(open) = self.lock().open.get_mut(&id) {
            open.idle_since = Some(now);
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.connections.lock().open.remove(&self.id);
    }
}

impl Connection {
    /// Whether a request is in hand.
    pub(crate) fn has_request(&self) -> bool {
        let state = self.connections.lock();
        let open = state.open.get(&self.id);
        open.is_some_and(|open| open.idle_since.is_none())
    }
}

/// A request whose response has not ended.
#[derive(Debug)]
pub(crate) struct RequestGuard {
    connections: Connections,
    id: u64,
}

impl RequestGuard {
    /// Called when the response is ready. Cancels the connection's token if the connection is to be closed after it.
    pub(crate) fn close_if_crowded(&self) {
        let max = self.connections.max;
        self.connections.lock().close_if_crowded(self.id, max);
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.connections.end_request(self.id, Instant::now());
    }
}
