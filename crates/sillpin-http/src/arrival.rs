//! What has arrived on a connection and was not read as a request yet.
//!
//! A server learns of arrived bytes from its runtime, some time after the kernel has them. A connection that is closed
//! between loses them, and the caller gets a reset in place of a response.

use socket2::SockRef;
use std::io::{self, Read};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

#[derive(Debug, Default)]
struct State {
    /// Set if the next read asks the kernel, whether or not the runtime knows of bytes.
    asks_kernel: AtomicBool,
    /// Whether bytes were read since the last request began or was answered.
    has_partial: AtomicBool,
}

/// State of what has arrived on a connection; clones share it.
#[derive(Debug, Clone, Default)]
pub(crate) struct Arrivals {
    state: Arc<State>,
}

impl Arrivals {
    /// Wraps the stream of the connection.
    pub(crate) fn watch(&self, tcp: TcpStream) -> WatchedStream {
        let arrivals = self.clone();
        WatchedStream { tcp, arrivals }
    }

    /// Makes the next read return what the kernel has.
    pub(crate) fn ask_kernel(&self) {
        self.state.asks_kernel.store(true, Ordering::Relaxed);
    }

    /// Records that a request began or was answered.
    pub(crate) fn clear(&self) {
        self.state.has_partial.store(false, Ordering::Relaxed);
    }

    /// Whether a part of a request may have been read that has not begun.
    pub(crate) fn has_partial(&self) -> bool {
        self.state.has_partial.load(Ordering::Relaxed)
    }
}

/// A stream that records what is read from it.
pub(crate) struct WatchedStream {
    tcp: TcpStream,
    arrivals: Arrivals,
}

impl WatchedStream {
    /// Reads what the kernel has.
    fn read_kernel(&self, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let socket = SockRef::from(&self.tcp);
        match (&*socket).read(buf.initialize_unfilled()) {
            Ok(len) => {
                buf.advance(len);
                Poll::Ready(Ok(()))
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Poll::Pending,
            Err(e) => Poll::Ready(Err(e)),
        }
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buf.filled().len();
        let mut read = Pin::new(&mut this.tcp).poll_read(cx, buf);
        // The runtime wakes the task for what arrives later.
        if read.is_pending()
            && this
                .arrivals
                .state
                .asks_kernel
                .swap(false, Ordering::Relaxed)
        {
            read = this.read_kernel(buf);
        }
        if buf.filled().len() > before {
            let has_partial = &this.arrivals.state.has_partial;
            has_partial.store(true, Ordering::Relaxed);
        }
        read
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().tcp).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().tcp).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.tcp.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().tcp).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().tcp).poll_shutdown(cx)
    }
}
