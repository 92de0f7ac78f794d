//! A listener for HTTP/1.1 and HTTP/2 without TLS that drains: after the stop it lets every open
//! request finish.

use crate::body::Body;
use derive_more::{Display, Error};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Limits on what a peer may send before its request reaches a handler.
#[derive(Debug, Clone, Copy)]
pub struct HeadLimits {
    /// Longest head of a request, in bytes.
    pub max_len: usize,
    /// Longest time for the head to arrive.
    pub timeout: Duration,
}

impl Default for HeadLimits {
    fn default() -> Self {
        Self {
            max_len: 16 << 10,
            timeout: Duration::from_secs(10),
        }
    }
}

/// A listener that could not be opened.
#[derive(Debug, Display, Error)]
#[display("cannot listen at {addr}")]
pub struct BindError {
    /// The address.
    pub addr: SocketAddr,
    /// Why.
    #[error(source)]
    pub cause: io::Error,
}

/// Opens a listener at `addr`, port 0 for any; gives it with the address that it got.
pub async fn listen(addr: SocketAddr) -> Result<(TcpListener, SocketAddr), BindError> {
    let failed = |cause| BindError { addr, cause };
    let listener = TcpListener::bind(addr).await.map_err(failed)?;
    let at = listener.local_addr().map_err(failed)?;
    Ok((listener, at))
}

/// hyper refuses smaller buffers.
const MIN_HEAD_BUF: usize = 8 << 10;

/// Wait after a failed accept, such as for want of file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// A bound listener.
pub struct Server<L = fn() -> HeadLimits> {
    listener: TcpListener,
    limits: L,
    http1_only: bool,
}

impl Server {
    /// Binds to `addr`; port 0 lets the kernel choose.
    pub async fn bind(addr: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        Ok(Self::on(listener))
    }

    /// Serves the connections of an open listener.
    pub fn on(listener: TcpListener) -> Self {
        Self {
            listener,
            limits: HeadLimits::default,
            http1_only: false,
        }
    }
}

impl<L: Fn() -> HeadLimits> Server<L> {
    /// Asks `limits` at each new connection for its limits on request heads.
    pub fn limits_from<M: Fn() -> HeadLimits>(self, limits: M) -> Server<M> {
        Server {
            listener: self.listener,
            limits,
            http1_only: self.http1_only,
        }
    }

    /// Sets the limits on request heads.
    pub fn limits(self, limits: HeadLimits) -> Server<impl Fn() -> HeadLimits> {
        self.limits_from(move || limits)
    }

    /// Speaks HTTP/1.1 only.
    pub fn http1_only(mut self) -> Self {
        self.http1_only = true;
        self
    }

    /// The address bound to.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves until `stop`, then closes the listener, lets every open request finish and returns.
    pub async fn run<H, F>(self, stop: CancellationToken, handler: H)
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<Body>> + Send + 'static,
    {
        let tracker = TaskTracker::new();
        loop {
            let accepted = tokio::select! {
                () = stop.cancelled() => break,
                accepted = self.listener.accept() => accepted,
            };
            match accepted {
                Ok((tcp, _)) => {
                    let limits = (self.limits)();
                    let serving =
                        connection(tcp, limits, self.http1_only, stop.clone(), handler.clone());
                    tracker.spawn(serving);
                }
                Err(_) => tokio::time::sleep(ACCEPT_BACKOFF).await,
            }
        }
        drop(self.listener);
        tracker.close();
        tracker.wait().await;
    }
}

async fn connection<H, F>(
    tcp: TcpStream,
    limits: HeadLimits,
    http1_only: bool,
    stop: CancellationToken,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let _ = tcp.set_nodelay(true);
    let mut builder = auto::Builder::new(TokioExecutor::new());
    if http1_only {
        builder = builder.http1_only();
    }
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.timeout)
        .max_buf_size(limits.max_len.max(MIN_HEAD_BUF));
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(u32::try_from(limits.max_len).unwrap_or(u32::MAX));
    let service = service_fn(move |req| {
        let answer = handler(req);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let mut conn = pin!(builder.serve_connection(TokioIo::new(tcp), service));
    tokio::select! {
        _ = conn.as_mut() => return,
        () = stop.cancelled() => conn.as_mut().graceful_shutdown(),
    }
    let _ = conn.await;
}
