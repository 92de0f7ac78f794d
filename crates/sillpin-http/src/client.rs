//! An HTTP client with a connection pool, whose errors state whether the peer may have received the
//! request.
//!
//! The outcome that may be reported to a caller depends on this, so [`CallError`] contains [`Sent`]
//! besides step and peer. If the peer closes an idle connection just as a request is sent over it, the
//! library retries on another connection, but only if it gets the request back unsent. A request of
//! which any byte was sent is never sent again here.

use crate::body::{Body, ReadError, read_json_with_idle_timeout};
use crate::connector::BoundedConnector;
use crate::reads::{IncomingBody, MAX_HEAD_LEN, ReadMeter};
use crate::response_head::{self, HeadFault};
use derive_more::{Display, Error};
use hyper::{HeaderMap, Method, Request, Response, StatusCode, header};
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::capture_connection;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

/// Time-out for opening a connection, after which the peer is treated as unreachable.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum number of idle connections per peer.
const MAX_IDLE_PER_PEER: usize = 64;

/// Maximum length of a JSON response, in bytes.
const MAX_JSON_LEN: usize = 4 << 20;

/// Whether the peer may have received any part of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Sent {
    /// No byte of it was sent.
    #[display("not sent")]
    No,
    /// Some or all of it may have been received.
    #[display("maybe sent")]
    Maybe,
}

/// Cause of a failed call.
#[derive(Debug, Display, Error)]
pub enum CallFault {
    /// The connection could not be opened or broke.
    #[display("connection failed: {_0}")]
    Connection(#[error(not(source))] String),
    /// No response within the time-out.
    #[display("no answer within {} ms", _0.as_millis())]
    Timeout(#[error(not(source))] Duration),
    /// The peer responded with a status other than 2xx.
    #[display("answered with status {status}")]
    Status {
        /// The status.
        status: StatusCode,
        /// The response headers.
        headers: Box<HeaderMap>,
    },
    /// The head of the response is not accepted.
    #[display("answer not accepted: {_0}")]
    Head(HeadFault),
    /// The body of the response could not be read.
    #[display("answer unreadable: {_0}")]
    Answer(ReadError),
    /// The request could not be built.
    #[display("invalid request: {_0}")]
    Request(hyper::http::Error),
}

/// A failed call, with its step and peer.
#[derive(Debug, Display, Error)]
#[display("{step} at {peer}: {fault} ({sent})")]
pub struct CallError {
    /// The operation that failed.
    pub step: &'static str,
    /// Address of the peer.
    pub peer: SocketAddr,
    /// Whether the peer may have received the request.
    pub sent: Sent,
    /// The cause.
    #[error(source)]
    pub fault: CallFault,
}

impl CallError {
    /// Returns the status if the peer responded with a status other than 2xx.
    pub fn status(&self) -> Option<StatusCode> {
        match &self.fault {
            CallFault::Status { status, .. } => Some(*status),
            _ => None,
        }
    }

    /// Returns a header of a response with a status other than 2xx, as text.
    pub fn header(&self, name: &str) -> Option<&str> {
        match &self.fault {
            CallFault::Status { headers, .. } => headers.get(name)?.to_str().ok(),
            _ => None,
        }
    }
}

/// HTTP client with a connection pool, shared by clones.
#[derive(Clone)]
pub struct Client {
    pool: legacy::Client<BoundedConnector, Body>,
}

impl Default for Client {
    fn default() -> Self {
        Self::build(false)
    }
}

impl Client {
    /// Creates a client for HTTP/2 without TLS, with one connection per peer for concurrent requests.
    pub fn http2() -> Self {
        Self::build(true)
    }

    fn build(http2: bool) -> Self {
        let pool = legacy::Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(MAX_IDLE_PER_PEER)
            .retry_canceled_requests(true)
            .http1_max_buf_size(MAX_HEAD_LEN)
            .http2_only(http2)
            .build(BoundedConnector::new(CONNECT_TIMEOUT, http2));
        Self { pool }
    }

    /// Sends a request and waits for the head of the response.
    pub async fn send(
        &self,
        step: &'static str,
        peer: SocketAddr,
        mut req: Request<Body>,
    ) -> Result<Response<IncomingBody>, CallError> {
        let connection = capture_connection(&mut req);
        let response = self.pool.request(req).await.map_err(|e| CallError {
            step,
            peer,
            sent: sent_state(&e),
            fault: CallFault::Connection(describe(&e)),
        })?;
        if let Err(e) = response_head::check(&response) {
            if let Some(connection) = connection.connection_metadata().as_ref() {
                connection.poison();
            }
            return Err(CallError {
                step,
                peer,
                sent: Sent::Maybe,
                fault: CallFault::Head(e),
            });
        }
        let meter = response.extensions().get::<ReadMeter>().cloned();
        let meter = meter.unwrap_or_default();
        meter.record_head();
        Ok(response.map(|body| IncomingBody::new(body, meter)))
    }

    /// Sends `doc` as JSON and reads a JSON response; any status other than 2xx is an error. The call's
    /// time-out applies to the head of the response and to the idle time between its parts.
    pub async fn call_json<T: Serialize, R: DeserializeOwned>(
        &self,
        call: Call<'_>,
        doc: Option<&T>,
    ) -> Result<R, CallError> {
        let (step, peer, idle_timeout) = (call.step, call.peer, call.timeout);
        let resp = self.call(call, doc).await?;
        let reader = ResponseReader {
            step,
            peer,
            idle_timeout,
            bytes_received: &AtomicU64::new(0),
        };
        reader.read_json(resp).await
    }

    /// Sends `doc` as JSON and waits for the head of a 2xx response; any other status is an error.
    pub async fn call<T: Serialize>(
        &self,
        call: Call<'_>,
        doc: Option<&T>,
    ) -> Result<Response<IncomingBody>, CallError> {
        self.call_with(call, HeaderMap::new(), doc).await
    }

    /// Like [`Client::call`], with additional headers.
    pub async fn call_with<T: Serialize>(
        &self,
        call: Call<'_>,
        headers: HeaderMap,
        doc: Option<&T>,
    ) -> Result<Response<IncomingBody>, CallError> {
        let (step, peer) = (call.step, call.peer);
        let failed = |sent, fault| CallError {
            step,
            peer,
            sent,
            fault,
        };
        let body = doc.map_or_else(Vec::new, |doc| serde_json::to_vec(doc).unwrap_or_default());
        let mut req = Request::builder()
            .method(call.method)
            .uri(format!("http://{peer}{}", call.path))
            .header(header::CONTENT_TYPE, crate::JSON_MEDIA_TYPE)
            .body(Body::full(body))
            .map_err(|e| failed(Sent::No, CallFault::Request(e)))?;
        req.headers_mut().extend(headers);
        let resp = tokio::time::timeout(call.timeout, self.send(step, peer, req))
            .await
            .map_err(|_| failed(Sent::Maybe, CallFault::Timeout(call.timeout)))??;
        if !resp.status().is_success() {
            let status = resp.status();
            let headers = Box::new(resp.headers().clone());
            return Err(failed(Sent::Maybe, CallFault::Status { status, headers }));
        }
        Ok(resp)
    }
}

/// Reader of a response whose head has arrived.
pub struct ResponseReader<'a> {
    /// The operation, for errors.
    pub step: &'static str,
    /// Address of the peer.
    pub peer: SocketAddr,
    /// Longest wait for the next part of the body.
    pub idle_timeout: Duration,
    /// Counter of the received bytes of the body.
    pub bytes_received: &'a AtomicU64,
}

impl ResponseReader<'_> {
    /// Reads the body as a JSON document.
    pub async fn read_json<R: DeserializeOwned>(
        self,
        resp: Response<IncomingBody>,
    ) -> Result<R, CallError> {
        let body = resp.into_body();
        let read =
            read_json_with_idle_timeout(body, MAX_JSON_LEN, self.idle_timeout, self.bytes_received)
                .await;
        read.map_err(|e| CallError {
            step: self.step,
            peer: self.peer,
            sent: Sent::Maybe,
            fault: CallFault::Answer(e),
        })
    }
}

/// Parameters of a call.
pub struct Call<'a> {
    /// The operation, for errors.
    pub step: &'static str,
    /// Address of the peer.
    pub peer: SocketAddr,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: &'a str,
    /// Longest wait for the head of the response.
    pub timeout: Duration,
}

fn sent_state(e: &legacy::Error) -> Sent {
    let cancelled = std::error::Error::source(e)
        .and_then(|source| source.downcast_ref::<hyper::Error>())
        .is_some_and(hyper::Error::is_canceled);
    if e.is_connect() || cancelled {
        return Sent::No;
    }
    Sent::Maybe
}

fn describe(e: &legacy::Error) -> String {
    let mut text = e.to_string();
    let mut source = std::error::Error::source(e);
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}
