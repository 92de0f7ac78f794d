//! A server for HTTP/1.1 and HTTP/2 without TLS that drains: when stopped, it finishes all open
//! requests.

use crate::arrival::Arrivals;
use crate::body::Body;
use crate::connections::{Connection, Connections};
use crate::guarded::GuardedBody;
use crate::reads::{BoundedReads, IncomingBody, MAX_HEAD_LEN, ReadMeter};
use derive_more::{Display, Error};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::service::service_fn;
use hyper::{Request, Response, Version};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::task::Poll;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Limits on request heads, applied before a request reaches the handler.
#[derive(Debug, Clone, Copy)]
pub struct HeadLimits {
    /// Maximum length of a request head, in bytes.
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

/// Error for a listener that could not be opened.
#[derive(Debug, Display, Error)]
#[display("cannot listen at {addr}")]
pub struct BindError {
    /// The address.
    pub addr: SocketAddr,
    /// The cause.
    #[error(source)]
    pub cause: io::Error,
}

/// Opens a listener and returns it with its local address. With port 0 the kernel chooses the port.
pub async fn listen(addr: SocketAddr) -> Result<(TcpListener, SocketAddr), BindError> {
    let failed = |cause| BindError { addr, cause };
    let listener = TcpListener::bind(addr).await.map_err(failed)?;
    let at = listener.local_addr().map_err(failed)?;
    Ok((listener, at))
}

/// Smallest buffer size that hyper accepts.
const MIN_HEAD_BUF: usize = 8 << 10;

/// Pause after a failed accept, for example when no file descriptor is available.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// How long a connection that is to be closed waits for the rest of a head of which a part has arrived.
const HEAD_REST_TIMEOUT: Duration = Duration::from_secs(1);

/// Number of the longest heads that may arrive before one of them is read.
const HEADS_ALLOWED: usize = 2;

/// How long a connection that is to be closed waits for the next request after a response whose head was sent before, so that it could not
/// announce the close.
const NEXT_REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// A server with its bound listener.
pub struct Server<L = fn() -> HeadLimits> {
    listener: TcpListener,
    limits: L,
    http1_only: bool,
    connections: Connections,
}

impl Server {
    /// Binds to `addr`; with port 0 the kernel chooses the port.
    pub async fn bind(addr: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        Ok(Self::on(listener))
    }

    /// Creates a server for an open listener.
    pub fn on(listener: TcpListener) -> Self {
        Self {
            listener,
            limits: HeadLimits::default,
            http1_only: false,
            connections: Connections::default(),
        }
    }
}

impl<L: Fn() -> HeadLimits> Server<L> {
    /// Calls `limits` for each new connection to get its limits on request heads.
    pub fn limits_from<M: Fn() -> HeadLimits>(self, limits: M) -> Server<M> {
        Server {
            listener: self.listener,
            limits,
            http1_only: self.http1_only,
            connections: self.connections,
        }
    }

    /// Bounds the open connections.
    pub fn bounded_by(mut self, connections: Connections) -> Self {
        self.connections = connections;
        self
    }

    /// Sets the limits on request heads.
    pub fn limits(self, limits: HeadLimits) -> Server<impl Fn() -> HeadLimits> {
        self.limits_from(move || limits)
    }

    /// Restricts the server to HTTP/1.1.
    pub fn http1_only(mut self) -> Self {
        self.http1_only = true;
        self
    }

    /// Returns the local address of the listener.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves until `stop` is cancelled, then closes the listener, finishes all open requests and
    /// returns.
    pub async fn run<H, F>(self, stop: CancellationToken, handler: H)
    where
        H: Fn(Request<IncomingBody>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<Body>> + Send + 'static,
    {
        let tracker = TaskTracker::new();
        let (http1_only, connections, limits) = (self.http1_only, self.connections, self.limits);
        let serve = |tcp: TcpStream| {
            // Dropping the stream closes it unread.
            if let Some(admitted) = connections.admit(Instant::now()) {
                let (limits, stop, handler) = (limits(), stop.clone(), handler.clone());
                tracker.spawn(connection(tcp, limits, http1_only, admitted, stop, handler));
            }
        };
        loop {
            let accepted = tokio::select! {
                () = stop.cancelled() => break,
                accepted = self.listener.accept() => accepted,
            };
            match accepted {
                Ok((tcp, _)) => serve(tcp),
                Err(_) => tokio::time::sleep(ACCEPT_BACKOFF).await,
            }
        }
        // Closing the listener resets connections that the kernel has accepted and that may carry a request.
        if let Ok(listener) = self.listener.into_std() {
            while let Ok(tcp) = accept_waiting(&listener) {
                serve(tcp);
            }
        }
        tracker.close();
        tracker.wait().await;
    }
}

/// Accepts a connection that waits at a non-blocking listener.
fn accept_waiting(listener: &std::net::TcpListener) -> io::Result<TcpStream> {
    let (tcp, _) = listener.accept()?;
    tcp.set_nonblocking(true)?;
    TcpStream::from_std(tcp)
}

async fn connection<H, F>(
    tcp: TcpStream,
    limits: HeadLimits,
    http1_only: bool,
    admitted: Connection,
    stop: CancellationToken,
    handler: H,
) where
    H: Fn(Request<IncomingBody>) -> F + Clone + Send + Sync + 'static,
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
    let arrivals = Arrivals::default();
    let meter = ReadMeter::new(MAX_HEAD_LEN.max(HEADS_ALLOWED * limits.max_len) as u64);
    let service = service_fn(|req: Request<Incoming>| {
        arrivals.clear();
        meter.record_head();
        let (waiting, is_http1) = (admitted.begin_request(), req.version() < Version::HTTP_2);
        if !is_http1 {
            meter.remove_limit();
        }
        let (arrivals, close, stop) = (arrivals.clone(), admitted.close.clone(), stop.clone());
        let response = handler(req.map(|body| IncomingBody::new(body, meter.clone())));
        async move {
            let mut response = response.await;
            arrivals.clear();
            waiting.close_if_crowded();
            if is_http1 && (stop.is_cancelled() || close.is_cancelled()) {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            // The connection is in use until the response has ended.
            Ok::<_, Infallible>(response.map(|body| GuardedBody::new(body, waiting)))
        }
    });
    let io = TokioIo::new(BoundedReads::new(arrivals.watch(tcp), meter.clone()));
    let mut conn = pin!(builder.serve_connection(io, service));
    tokio::select! {
        _ = conn.as_mut() => return,
        () = stop.cancelled() => {}
        () = admitted.close.cancelled() => {}
    }
    // With HTTP/2, the close is announced at any time.
    if http1_only && admitted.has_request() {
        let response_ended = poll_fn(|cx| match conn.as_mut().poll(cx) {
            Poll::Pending if admitted.has_request() => Poll::Pending,
            polled => Poll::Ready(polled.is_ready()),
        });
        // The connection ends by itself after a response that announces it.
        if response_ended.await
            || tokio::time::timeout(NEXT_REQUEST_TIMEOUT, conn.as_mut())
                .await
                .is_ok()
        {
            return;
        }
    }
    arrivals.ask_kernel();
    let arrived = poll_fn(|cx| match conn.as_mut().poll(cx) {
        Poll::Pending if arrivals.has_partial() => Poll::Pending,
        polled => Poll::Ready(polled.is_ready()),
    });
    if let Ok(true) = tokio::time::timeout(HEAD_REST_TIMEOUT, arrived).await {
        return;
    }
    conn.as_mut().graceful_shutdown();
    let _ = conn.await;
}
