//! Bodies whose memory can be taken back while their reader is slow.
//!
//! A reader that stops reading holds a body for as long as it keeps its connection open. So the owner of the memory
//! gets a handle for each body, and can drop the bytes that the reader has not taken yet; the reader's connection then
//! ends with an error.

use bytes::Bytes;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::time::Instant;

/// Length of the pieces that a body is written in. They are copied, so that a piece in a connection's buffer does not
/// keep the whole body in memory.
pub const PIECE_LEN: usize = 16 << 10;

#[derive(Debug)]
struct State {
    bytes: Bytes,
    /// When the reader last took a piece.
    progressed: Instant,
    is_evicted: bool,
}

/// A body in memory whose bytes may be evicted.
#[derive(Debug)]
pub struct EvictableBody {
    state: Arc<Mutex<State>>,
}

/// Takes the memory of a body back.
#[derive(Debug, Clone)]
pub struct EvictionHandle {
    state: Arc<Mutex<State>>,
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(|e| e.into_inner())
}

impl EvictableBody {
    /// Creates a body and its handle.
    pub fn new(bytes: Bytes) -> (Self, EvictionHandle) {
        let state = Arc::new(Mutex::new(State {
            bytes,
            progressed: Instant::now(),
            is_evicted: false,
        }));
        let handle = EvictionHandle {
            state: state.clone(),
        };
        (Self { state }, handle)
    }

    /// Returns the next piece; `None` after the last one.
    pub(crate) fn next_piece(&mut self) -> Option<io::Result<Bytes>> {
        let mut state = lock(&self.state);
        if state.is_evicted {
            return Some(Err(io::Error::other("reader too slow")));
        }
        if state.bytes.is_empty() {
            return None;
        }
        state.progressed = Instant::now();
        let len = state.bytes.len().min(PIECE_LEN);
        let piece = state.bytes.split_to(len);
        Some(Ok(Bytes::copy_from_slice(&piece)))
    }

    /// Returns the number of bytes that the reader has not taken yet.
    pub(crate) fn len(&self) -> usize {
        lock(&self.state).bytes.len()
    }
}

impl Drop for EvictableBody {
    fn drop(&mut self) {
        lock(&self.state).bytes = Bytes::new();
    }
}

impl EvictionHandle {
    /// Returns when the reader last took a piece; `None` if the body has been written, evicted or dropped.
    pub fn waiting_since(&self) -> Option<Instant> {
        let state = lock(&self.state);
        (!state.bytes.is_empty()).then_some(state.progressed)
    }

    /// Drops what the reader has not taken.
    pub fn evict(&self) {
        let mut state = lock(&self.state);
        state.is_evicted = true;
        state.bytes = Bytes::new();
    }
}
