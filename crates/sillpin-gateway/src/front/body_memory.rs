//! Memory for bodies of requests in flight, and of responses that callers have not read yet.

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::BodyExt;
use hyper::body::Body as HttpBody;
use sillpin_http::evictable::PIECE_LEN;
use sillpin_http::{Body, EvictableBody, EvictionHandle};
use sillpin_telemetry::{event, events};
use slog::Logger;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Time without reading after which a caller's response may be dropped for other bodies.
const MIN_IDLE: Duration = Duration::from_millis(500);

/// A buffer that is full grows by one part in `SPARE_SHARE` of its length at least.
const SPARE_SHARE: usize = 4;

/// Error from reading a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum BodyError {
    /// The body is longer than callers may send.
    #[display("body longer than allowed")]
    TooLong,
    /// The memory for bodies is used up.
    #[display("no memory for the body")]
    NoMemory,
    /// The caller's connection failed before the body was complete.
    #[display("body was cut off")]
    Truncated,
}

/// A response that a caller has not read completely.
#[derive(Debug)]
struct HeldResponse {
    handle: EvictionHandle,
    /// Id of its request.
    request: String,
    /// Its part of the memory.
    reservation: Reservation,
}

impl HeldResponse {
    fn is_unread(&self) -> bool {
        self.handle.waiting_since().is_some()
    }
}

/// Limits the memory of bodies of requests and responses; clones share the limit.
///
/// A caller that reads slowly, or has stopped reading, holds the memory of its response. If there is not enough memory
/// for another body, the response whose caller has not read for the longest time is dropped.
#[derive(Debug, Clone)]
pub struct BodyMemory {
    used: Arc<AtomicUsize>,
    max_len: usize,
    held: Arc<Mutex<Vec<HeldResponse>>>,
    log: Logger,
}

/// A body, with the memory that it occupies until it is dropped.
#[derive(Debug)]
pub struct BufferedBody {
    /// The bytes.
    pub bytes: Bytes,
    reservation: Reservation,
}

#[derive(Debug)]
struct Reservation {
    used: Arc<AtomicUsize>,
    len: usize,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.used.fetch_sub(self.len, Ordering::Relaxed);
    }
}

impl BodyMemory {
    /// Creates a limit of `max_len` bytes.
    pub fn new(max_len: usize, log: Logger) -> Self {
        Self {
            used: Arc::default(),
            max_len,
            held: Arc::default(),
            log,
        }
    }

    /// Creates a reservation of no bytes.
    fn new_reservation(&self) -> Reservation {
        Reservation {
            used: self.used.clone(),
            len: 0,
        }
    }

    /// Adds bytes to a reservation, if necessary by dropping responses that callers read slowly.
    fn grow(&self, reservation: &mut Reservation, by: usize) -> Result<(), BodyError> {
        let before = self.used.fetch_add(by, Ordering::Relaxed);
        reservation.len += by;
        if before + by <= self.max_len {
            return Ok(());
        }
        let mut held = self.held.lock().unwrap_or_else(|e| e.into_inner());
        held.retain(HeldResponse::is_unread);
        while self.used() > self.max_len {
            if !self.evict_slowest(&mut held) {
                return Err(BodyError::NoMemory);
            }
        }
        Ok(())
    }

    /// Drops the response whose caller has not read for the longest time, if that is longer than [`MIN_IDLE`]. Returns
    /// whether there was one.
    fn evict_slowest(&self, held: &mut Vec<HeldResponse>) -> bool {
        let oldest = held
            .iter()
            .enumerate()
            .min_by_key(|(_, response)| response.handle.waiting_since());
        let Some((index, _)) = oldest else {
            return false;
        };
        let idle = held[index].handle.waiting_since().map(|at| at.elapsed());
        let Some(idle) = idle.filter(|idle| *idle >= MIN_IDLE) else {
            return false;
        };
        let response = held.swap_remove(index);
        response.handle.evict();
        event!(self.log, events::RESPONSE_EVICTED, "request" => &response.request,
            "bytes" => response.reservation.len, "idle_ms" => idle.as_millis());
        true
    }

    /// Returns the body of a response to a caller. Its memory is counted until the caller has read it.
    pub fn response_body(&self, request: &str, body: BufferedBody) -> Body {
        let BufferedBody { bytes, reservation } = body;
        if bytes.len() <= PIECE_LEN {
            // The connection's buffer takes it at once.
            return Body::full(bytes);
        }
        let (body, handle) = EvictableBody::new(bytes);
        let mut held = self.held.lock().unwrap_or_else(|e| e.into_inner());
        held.retain(HeldResponse::is_unread);
        held.push(HeldResponse {
            handle,
            request: request.to_owned(),
            reservation,
        });
        Body::Evictable(body)
    }

    /// Returns the number of bytes in use.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Makes room for more bytes in a buffer, all of which is reserved, whether it is in use or not.
    fn make_room(
        &self,
        reservation: &mut Reservation,
        buf: &mut Vec<u8>,
        by: usize,
    ) -> Result<(), BodyError> {
        if buf.capacity() - buf.len() >= by {
            return Ok(());
        }
        let capacity = buf.len() + by.max(buf.len() / SPARE_SHARE);
        self.grow(reservation, capacity.saturating_sub(reservation.len))?;
        buf.reserve_exact(capacity - buf.len());
        Ok(())
    }

    /// Reads a complete body of at most `limit` bytes.
    pub async fn read<B>(&self, mut body: B, limit: usize) -> Result<BufferedBody, BodyError>
    where
        B: HttpBody<Data = Bytes> + Unpin,
    {
        let mut reservation = self.new_reservation();
        let mut first: Option<Bytes> = None;
        let mut buf = Vec::new();
        let mut len = 0;
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                return Err(BodyError::Truncated);
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            len += data.len();
            if len > limit {
                return Err(BodyError::TooLong);
            }
            if len == data.len() {
                self.grow(&mut reservation, len)?;
                first = Some(data);
                continue;
            }
            let start = first.take().unwrap_or_default();
            self.make_room(&mut reservation, &mut buf, start.len() + data.len())?;
            buf.extend_from_slice(&start);
            buf.extend_from_slice(&data);
        }
        let bytes = first.unwrap_or_else(|| buf.into());
        Ok(BufferedBody { bytes, reservation })
    }
}
