//! Memory for bodies of requests in flight.

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

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

/// Limits the memory of request bodies; clones share the limit.
#[derive(Debug, Clone)]
pub struct BodyMemory {
    used: Arc<AtomicUsize>,
    max_len: usize,
}

/// A body, with the memory that it occupies until it is dropped.
#[derive(Debug)]
pub struct BufferedBody {
    /// The bytes.
    pub bytes: Bytes,
    _reservation: Reservation,
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
    pub fn new(max_len: usize) -> Self {
        let used = Arc::default();
        Self { used, max_len }
    }

    /// Creates a reservation of no bytes.
    fn new_reservation(&self) -> Reservation {
        Reservation {
            used: self.used.clone(),
            len: 0,
        }
    }

    /// Adds bytes to a reservation.
    fn grow(&self, reservation: &mut Reservation, by: usize) -> Result<(), BodyError> {
        let before = self.used.fetch_add(by, Ordering::Relaxed);
        reservation.len += by;
        if before + by > self.max_len {
            return Err(BodyError::NoMemory);
        }
        Ok(())
    }

    /// Reads a complete body of at most `limit` bytes.
    pub async fn read(&self, mut body: Incoming, limit: usize) -> Result<BufferedBody, BodyError> {
        let mut reservation = self.new_reservation();
        let mut first: Option<Bytes> = None;
        let mut buf = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| BodyError::Truncated)?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if reservation.len + data.len() > limit {
                return Err(BodyError::TooLong);
            }
            self.grow(&mut reservation, data.len())?;
            match first.take() {
                None if buf.is_empty() => first = Some(data),
                None => buf.extend_from_slice(&data),
                Some(start) => {
                    buf.extend_from_slice(&start);
                    buf.extend_from_slice(&data);
                }
            }
        }
        let bytes = first.unwrap_or_else(|| buf.freeze());
        Ok(BufferedBody {
            bytes,
            _reservation: reservation,
        })
    }
}
