//! Bounds what a peer can make the reader of its connection do.
//!
//! The parser of HTTP/1.1 goes on for as long as bytes arrive, and some of what it skips has no maximum length: interim
//! responses, empty lines, zeros before the size of a chunk and blanks behind it. A peer that sends such bytes without end would
//! keep the thread, so that no timer fires and no other connection is served. [`BoundedReads`] therefore yields after some bytes,
//! and fails once too many have arrived that belong to no message.

use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use hyper_util::client::legacy::connect::{Connected, Connection};
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Maximum number of bytes of one read.
const MAX_READ_LEN: usize = 4 << 10;

/// Number of bytes after which the reader's task yields.
const YIELD_INTERVAL: usize = 8 << 10;

/// Maximum length of the head of a response with the interim responses before it, in bytes.
pub const MAX_HEAD_LEN: usize = 32 << 10;

/// Number of bytes of framing that a body may have besides what its data allows for. It is more than the data that has been
/// read and not passed on, which counts until then.
const MAX_FRAMING: u64 = 12 << 10;

/// Bytes of framing that each byte of a body allows for. Chunks of three bytes or more fit in for ever, shorter ones cost more
/// time than the data is worth.
const FRAMING_PER_BYTE: u64 = 2;

/// Counts bytes that arrived on a connection and belong to no message so far; clones share it.
#[derive(Debug, Clone)]
pub struct ReadMeter {
    state: Arc<MeterState>,
}

#[derive(Debug)]
struct MeterState {
    /// Bytes that belong to no message so far.
    overhead: AtomicU64,
    /// How many of them are allowed now.
    max: AtomicU64,
    max_head_len: u64,
    is_limited: AtomicBool,
}

impl Default for ReadMeter {
    fn default() -> Self {
        Self::new(MAX_HEAD_LEN as u64)
    }
}

impl ReadMeter {
    /// Creates a meter of a connection on which a head has `max_head_len` bytes at most.
    pub fn new(max_head_len: u64) -> Self {
        let state = MeterState {
            overhead: AtomicU64::new(0),
            max: AtomicU64::new(max_head_len),
            max_head_len,
            is_limited: AtomicBool::new(true),
        };
        Self {
            state: Arc::new(state),
        }
    }

    /// Removes the limit, on a connection of a protocol that has limits of its own for each frame.
    pub fn remove_limit(&self) {
        self.state.is_limited.store(false, Ordering::Relaxed);
    }

    /// Records that a head was complete; its body follows.
    pub fn record_head(&self) {
        self.begin_part(MAX_FRAMING);
    }

    /// Records that a message was complete; the head of another one follows.
    pub fn record_end(&self) {
        self.begin_part(self.state.max_head_len);
    }

    fn begin_part(&self, max: u64) {
        self.state.overhead.store(0, Ordering::Relaxed);
        self.state.max.store(max, Ordering::Relaxed);
    }

    /// Records data of a body.
    fn record_data(&self, len: usize) {
        let allowance = (1 + FRAMING_PER_BYTE).saturating_mul(len as u64);
        let reduced = |overhead: u64| Some(overhead.saturating_sub(allowance));
        // Cannot fail: the closure always returns a value.
        let _ = self
            .state
            .overhead
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, reduced);
    }

    /// Records bytes that arrived; fails if there are too many.
    fn record_read(&self, len: usize) -> io::Result<()> {
        let len = len as u64;
        let overhead = self.state.overhead.fetch_add(len, Ordering::Relaxed) + len;
        let max = self.state.max.load(Ordering::Relaxed);
        match overhead > max && self.state.is_limited.load(Ordering::Relaxed) {
            true => Err(io::Error::new(
                io::ErrorKind::InvalidData,
                format!("over {max} bytes belong to no message"),
            )),
            false => Ok(()),
        }
    }
}

/// A stream whose reader yields after some bytes, and which fails if too many belong to no message.
#[derive(Debug)]
pub struct BoundedReads<T> {
    io: T,
    meter: ReadMeter,
    /// Bytes read since the reader last had to wait.
    unyielded: usize,
}

impl<T> BoundedReads<T> {
    /// Wraps the stream of a connection.
    pub fn new(io: T, meter: ReadMeter) -> Self {
        Self {
            io,
            meter,
            unyielded: 0,
        }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for BoundedReads<T> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.unyielded >= YIELD_INTERVAL {
            this.unyielded = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let max_len = buf.remaining().min(MAX_READ_LEN);
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(max_len));
        let Poll::Ready(read) = Pin::new(&mut this.io).poll_read(cx, &mut part) else {
            this.unyielded = 0;
            return Poll::Pending;
        };
        read?;
        let len = part.filled().len();
        buf.advance(len);
        this.unyielded += len;
        Poll::Ready(this.meter.record_read(len))
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for BoundedReads<T> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().io).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().io).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().io).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().io).poll_shutdown(cx)
    }
}

impl<T: Connection> Connection for BoundedReads<T> {
    /// Passes the meter on to the responses that arrive on the connection.
    fn connected(&self) -> Connected {
        self.io.connected().extra(self.meter.clone())
    }
}

/// A body that arrives on a connection with [`BoundedReads`].
#[derive(Debug)]
pub struct IncomingBody {
    body: Incoming,
    meter: ReadMeter,
}

impl IncomingBody {
    /// Wraps the body of a message that arrives on the connection of `meter`.
    pub fn new(body: Incoming, meter: ReadMeter) -> Self {
        Self { body, meter }
    }
}

impl Drop for IncomingBody {
    /// The head of another message follows, also if the body was not read to its end.
    fn drop(&mut self) {
        self.meter.record_end();
    }
}

impl HttpBody for IncomingBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let this = self.get_mut();
        let frame = ready!(Pin::new(&mut this.body).poll_frame(cx));
        if let Some(Ok(frame)) = &frame {
            let len = frame.data_ref().map_or(0, Bytes::len);
            this.meter.record_data(len);
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
