//! Memory for bodies of requests in flight.

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Error from reading a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum BodyFault {
    /// The body is longer than callers may send.
    #[display("body longer than allowed")]
    TooLong,
    /// The memory for bodies is used up.
    #[display("no memory for the body")]
    NoRoom,
    /// The caller broke off.
    #[display("body was cut off")]
    Cut,
}

/// Limits the memory of request bodies; clones share the limit.
#[derive(Debug, Clone)]
pub struct BodyRoom {
    used: Arc<AtomicUsize>,
    most: usize,
}

/// A body, with the memory that it occupies until it is dropped.
#[derive(Debug)]
pub struct HeldBody {
    /// The bytes.
    pub bytes: Bytes,
    _room: Room,
}

#[derive(Debug)]
struct Room {
    used: Arc<AtomicUsize>,
    len: usize,
}

impl Drop for Room {
    fn drop(&mut self) {
        self.used.fetch_sub(self.len, Ordering::Relaxed);
    }
}

impl BodyRoom {
    /// Creates a limit of `most` bytes.
    pub fn new(most: usize) -> Self {
        let used = Arc::default();
        Self { used, most }
    }

    fn empty(&self) -> Room {
        Room {
            used: self.used.clone(),
            len: 0,
        }
    }

    fn grow(&self, room: &mut Room, by: usize) -> Result<(), BodyFault> {
        let before = self.used.fetch_add(by, Ordering::Relaxed);
        room.len += by;
        if before + by > self.most {
            return Err(BodyFault::NoRoom);
        }
        Ok(())
    }

    /// Reads a complete body of at most `limit` bytes.
    pub async fn read(&self, mut body: Incoming, limit: usize) -> Result<HeldBody, BodyFault> {
        let mut room = self.empty();
        let mut first: Option<Bytes> = None;
        let mut buf = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| BodyFault::Cut)?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if room.len + data.len() > limit {
                return Err(BodyFault::TooLong);
            }
            self.grow(&mut room, data.len())?;
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
        Ok(HeldBody { bytes, _room: room })
    }
}
