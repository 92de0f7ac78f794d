//! Body type for requests and responses: in memory, streamed through a channel, or forwarded.

use crate::evictable::EvictableBody;
use crate::reads::IncomingBody;
use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use serde::de::DeserializeOwned;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::sync::mpsc;

/// Number of chunks queued in a streamed body before its writer must wait.
const CHANNEL_FRAMES: usize = 16;

/// Body of a request or response.
pub enum Body {
    /// Complete, in memory.
    Full(Full<Bytes>),
    /// Written by another task.
    Channel(ChannelBody),
    /// Forwarded from a peer, with back-pressure.
    Incoming(IncomingBody),
    /// Complete, in memory that may be taken back.
    Evictable(EvictableBody),
}

impl Body {
    /// Returns an empty body.
    pub fn empty() -> Self {
        Self::full(Bytes::new())
    }

    /// Returns a body with the given bytes.
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        Self::Full(Full::new(bytes.into()))
    }

    /// Returns a streamed body and its sender. Only [`BodySender::finish`] ends the body as complete. If the sender is dropped
    /// without it, as in a panic or at an early return, or by [`BodySender::abort`], the reader gets an error.
    pub fn channel() -> (BodySender, Self) {
        let (tx, rx) = mpsc::channel(CHANNEL_FRAMES);
        let is_finished = Arc::<AtomicBool>::default();
        let sender = BodySender {
            tx,
            is_finished: is_finished.clone(),
        };
        (sender, Self::Channel(ChannelBody { rx, is_finished }))
    }
}

/// Body that another task writes.
pub struct ChannelBody {
    rx: mpsc::Receiver<io::Result<Bytes>>,
    /// Set before the channel closes if the body is complete, or once the reader has got an error.
    is_finished: Arc<AtomicBool>,
}

impl ChannelBody {
    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        let chunk = ready!(self.rx.poll_recv(cx));
        let is_cut = chunk.is_none() && !self.is_finished.swap(true, Ordering::Relaxed);
        Poll::Ready(match is_cut {
            true => Some(Err(io::Error::other(
                "the writer of the body ended before the body",
            ))),
            false => chunk,
        })
    }
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match self.get_mut() {
            Body::Full(body) => Pin::new(body).poll_frame(cx).map_err(io::Error::other),
            Body::Incoming(body) => Pin::new(body).poll_frame(cx).map_err(io::Error::other),
            Body::Evictable(body) => {
                let piece = body.next_piece();
                Poll::Ready(piece.map(|piece| piece.map(Frame::data)))
            }
            Body::Channel(body) => {
                let chunk = ready!(body.poll_chunk(cx));
                Poll::Ready(chunk.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Body::Full(body) => body.is_end_stream(),
            Body::Incoming(body) => body.is_end_stream(),
            // An evicted body has an error to deliver.
            Body::Evictable(_) => false,
            Body::Channel(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Body::Full(body) => body.size_hint(),
            Body::Incoming(body) => body.size_hint(),
            Body::Evictable(body) => SizeHint::with_exact(body.len() as u64),
            Body::Channel(_) => SizeHint::default(),
        }
    }
}

/// Sender of a streamed body.
pub struct BodySender {
    tx: mpsc::Sender<io::Result<Bytes>>,
    is_finished: Arc<AtomicBool>,
}

/// Error for a write to a body whose reader was dropped.
#[derive(Debug, Clone, Copy, Display, Error)]
#[display("the reader of the body has gone")]
pub struct ReaderClosed;

impl BodySender {
    /// Writes a chunk; waits while the queue is full.
    pub async fn send(&self, chunk: impl Into<Bytes>) -> Result<(), ReaderClosed> {
        let sent = self.tx.send(Ok(chunk.into())).await;
        sent.map_err(|_| ReaderClosed)
    }

    /// Returns when the reader has been dropped.
    pub async fn closed(&self) {
        self.tx.closed().await;
    }

    /// Ends the body as complete.
    pub fn finish(self) {
        self.is_finished.store(true, Ordering::Relaxed);
    }

    /// Ends the body with an error, so that the reader does not treat it as complete.
    pub async fn abort(self, why: &'static str) {
        let _ = self.tx.send(Err(io::Error::other(why))).await;
    }
}

/// Error for a body that could not be read completely.
#[derive(Debug, Display, Error)]
pub enum ReadError {
    /// The body is longer than the limit.
    #[display("body is longer than {limit} bytes")]
    TooLong {
        /// The limit in bytes.
        limit: usize,
    },
    /// The connection broke, or the sender aborted the body.
    #[display("body was cut off")]
    Cut,
    /// No data arrived within the idle timeout, or the body took too long in total.
    #[display("body stopped arriving")]
    Silent,
    /// The body is not the expected JSON document.
    #[display("body is not the expected JSON: {_0}")]
    Json(serde_json::Error),
}

/// Reads a complete body of at most `limit` bytes.
pub async fn read_limited<B>(body: B, limit: usize) -> Result<Bytes, ReadError>
where
    B: HttpBody<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let collected = http_body_util::Limited::new(body, limit).collect().await;
    match collected {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(e) if e.is::<http_body_util::LengthLimitError>() => Err(ReadError::TooLong { limit }),
        Err(_) => Err(ReadError::Cut),
    }
}

/// Longest time for reading a complete body, which bounds the wait for a peer that sends a few bytes
/// at a time. Four megabytes take 3.4 s over 10 Mbit/s.
const MAX_READ_TIME: Duration = Duration::from_secs(20);

/// Reads a complete body of at most `limit` bytes and adds the received bytes to `bytes_received`. The
/// read fails after `idle_timeout` without data; the total time is only bounded by [`MAX_READ_TIME`].
///
/// A short limit on the total time would limit the size by the link's rate: over 10 Mbit/s, a
/// configuration of 0.85 MB took 0.9 s, was cancelled after 0.8 s and requested again indefinitely,
/// which discarded 5.9 MB on one box in 24 s.
async fn read_with_idle_timeout(
    body: IncomingBody,
    limit: usize,
    idle_timeout: Duration,
    bytes_received: &AtomicU64,
) -> Result<Bytes, ReadError> {
    let reading = collect(body, limit, idle_timeout, bytes_received);
    let read = tokio::time::timeout(MAX_READ_TIME, reading).await;
    read.unwrap_or(Err(ReadError::Silent))
}

async fn collect(
    mut body: IncomingBody,
    limit: usize,
    idle_timeout: Duration,
    bytes_received: &AtomicU64,
) -> Result<Bytes, ReadError> {
    let mut read = BytesMut::new();
    loop {
        let frame = tokio::time::timeout(idle_timeout, body.frame()).await;
        let frame = frame.map_err(|_| ReadError::Silent)?;
        let Some(frame) = frame else {
            return Ok(read.freeze());
        };
        let frame = frame.map_err(|_| ReadError::Cut)?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        bytes_received.fetch_add(data.len() as u64, Ordering::Relaxed);
        if read.len() + data.len() > limit {
            return Err(ReadError::TooLong { limit });
        }
        read.extend_from_slice(data);
    }
}

/// Like [`read_with_idle_timeout`], for a JSON document.
pub async fn read_json_with_idle_timeout<T: DeserializeOwned>(
    body: IncomingBody,
    limit: usize,
    idle_timeout: Duration,
    bytes_received: &AtomicU64,
) -> Result<T, ReadError> {
    let text = read_with_idle_timeout(body, limit, idle_timeout, bytes_received).await?;
    serde_json::from_slice(&text).map_err(ReadError::Json)
}

/// Reads a complete body of at most `limit` bytes as a JSON document.
pub async fn read_json<T, B>(body: B, limit: usize) -> Result<T, ReadError>
where
    T: DeserializeOwned,
    B: HttpBody<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let bytes = read_limited(body, limit).await?;
    serde_json::from_slice(&bytes).map_err(ReadError::Json)
}
