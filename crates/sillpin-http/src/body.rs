//! One body type for requests and answers: whole, streamed through a channel, or passed on.

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use serde::de::DeserializeOwned;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::sync::mpsc;

/// Frames that may wait in a streamed body before its writer has to wait (back-pressure).
const CHANNEL_FRAMES: usize = 16;

/// A body of a request or an answer.
pub enum Body {
    /// All of it is there.
    Full(Full<Bytes>),
    /// It is being written by another task.
    Channel(mpsc::Receiver<io::Result<Bytes>>),
    /// It is passed on from a peer, with back-pressure.
    Incoming(Incoming),
}

impl Body {
    /// A body with no bytes.
    pub fn empty() -> Self {
        Self::full(Bytes::new())
    }

    /// A body whose bytes are all there.
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        Self::Full(Full::new(bytes.into()))
    }

    /// A body and the end that writes it. Dropping the sender ends the body cleanly;
    /// [`BodySender::abort`] ends it so that the reader sees that it was cut.
    pub fn channel() -> (BodySender, Self) {
        let (tx, rx) = mpsc::channel(CHANNEL_FRAMES);
        (BodySender { tx }, Self::Channel(rx))
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
            Body::Channel(rx) => {
                let chunk = ready!(rx.poll_recv(cx));
                Poll::Ready(chunk.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Body::Full(body) => body.is_end_stream(),
            Body::Incoming(body) => body.is_end_stream(),
            Body::Channel(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Body::Full(body) => body.size_hint(),
            Body::Incoming(body) => body.size_hint(),
            Body::Channel(_) => SizeHint::default(),
        }
    }
}

/// The writing end of a streamed body.
pub struct BodySender {
    tx: mpsc::Sender<io::Result<Bytes>>,
}

/// The reader of a streamed body has gone.
#[derive(Debug, Clone, Copy, Display, Error)]
#[display("the reader of the body has gone")]
pub struct ReaderGone;

impl BodySender {
    /// Writes one chunk, waiting for the reader when it is slow.
    pub async fn send(&self, chunk: impl Into<Bytes>) -> Result<(), ReaderGone> {
        let sent = self.tx.send(Ok(chunk.into())).await;
        sent.map_err(|_| ReaderGone)
    }

    /// Resolves when the reader has gone.
    pub async fn closed(&self) {
        self.tx.closed().await;
    }

    /// Ends the body so that the reader sees that it was cut.
    pub async fn abort(self, why: &'static str) {
        let _ = self.tx.send(Err(io::Error::other(why))).await;
    }
}

/// Why a body could not be read whole.
#[derive(Debug, Display, Error)]
pub enum ReadError {
    /// It is longer than the limit.
    #[display("body is longer than {limit} bytes")]
    TooLong {
        /// The limit in bytes.
        limit: usize,
    },
    /// The connection broke, or the sender was cut off.
    #[display("body was cut off")]
    Cut,
    /// It stopped arriving.
    #[display("body stopped arriving")]
    Silent,
    /// It is not the JSON document that was expected.
    #[display("body is not the expected JSON: {_0}")]
    Json(serde_json::Error),
}

/// Reads a whole body of at most `limit` bytes.
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

/// Longest time for a whole body: a peer that sends a byte now and then is not waited for without end. Four megabytes take
/// 3.4 s over 10 Mbit/s.
const LONGEST_READING: Duration = Duration::from_secs(20);

/// Reads a whole body of at most `limit` bytes for as long as it goes on arriving: it is given up after `silence` without a byte,
/// not after a time for the whole. What arrives is added to `arrived`.
///
/// A limit on the whole is a limit on size divided by the link's rate: over 10 Mbit/s a configuration of 0.85 MB took 0.9 s, was given up
/// after 0.8 s and asked for again without end, with 5.9 MB thrown away on one box in 24 s.
async fn read_while_arriving(
    body: Incoming,
    limit: usize,
    silence: Duration,
    arrived: &AtomicU64,
) -> Result<Bytes, ReadError> {
    let reading = collect(body, limit, silence, arrived);
    let read = tokio::time::timeout(LONGEST_READING, reading).await;
    read.unwrap_or(Err(ReadError::Silent))
}

async fn collect(
    mut body: Incoming,
    limit: usize,
    silence: Duration,
    arrived: &AtomicU64,
) -> Result<Bytes, ReadError> {
    let mut read = BytesMut::new();
    loop {
        let frame = tokio::time::timeout(silence, body.frame()).await;
        let frame = frame.map_err(|_| ReadError::Silent)?;
        let Some(frame) = frame else {
            return Ok(read.freeze());
        };
        let frame = frame.map_err(|_| ReadError::Cut)?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        arrived.fetch_add(data.len() as u64, Ordering::Relaxed);
        if read.len() + data.len() > limit {
            return Err(ReadError::TooLong { limit });
        }
        read.extend_from_slice(data);
    }
}

/// Like [`read_while_arriving`], for a JSON document.
pub async fn read_json_while_arriving<T: DeserializeOwned>(
    body: Incoming,
    limit: usize,
    silence: Duration,
    arrived: &AtomicU64,
) -> Result<T, ReadError> {
    let text = read_while_arriving(body, limit, silence, arrived).await?;
    serde_json::from_slice(&text).map_err(ReadError::Json)
}

/// Reads a whole body of at most `limit` bytes as a JSON document.
pub async fn read_json<T, B>(body: B, limit: usize) -> Result<T, ReadError>
where
    T: DeserializeOwned,
    B: HttpBody<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let bytes = read_limited(body, limit).await?;
    serde_json::from_slice(&bytes).map_err(ReadError::Json)
}
