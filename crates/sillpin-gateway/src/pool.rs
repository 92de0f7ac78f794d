//! Connections to targets, and to other boxes for requests that those send on.
//!
//! A connection serves one request at a time and returns to the pool only after a complete response. Anything
//! unexpected closes it, since left-over bytes cannot be assigned to a request. An error from sending states whether
//! any byte may have reached the target, because the caller's response depends on it.

use crate::control::{Life, TargetEntry};
use crate::fleet_state::BoxEntry;
use crate::suspend_clock::SuspendClock;
use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use sillpin_core::{BoxId, TargetId};
use sillpin_http::IncomingBody;
use sillpin_http::reads::{BoundedReads, MAX_HEAD_LEN, ReadMeter};
use sillpin_http::response_head;
use socket2::{SockRef, TcpKeepalive};
use std::collections::HashMap;
use std::hash::Hash;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// Timeout for opening a connection. The round trip between two zones takes about 3 ms; a lost SYN is only sent again
/// after a second, when another target is the better choice.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);

/// A connection with unacknowledged bytes is closed after this time: a machine without power sends no reset. A sound
/// machine may not answer for a second or so. The timeout also decides when keep-alive probes give up.
const USER_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Idle time after which keep-alive probes start, and their interval.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 2;

/// How long an idle connection stays open if the target states no time.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);

/// An idle connection is closed this long before the target would close it, so that a request does not cross the
/// target's close.
const IDLE_MARGIN: Duration = Duration::from_millis(1_200);

/// Maximum number of idle connections per target.
const MAX_IDLE: usize = 16;

/// Why a request could not be sent, or the head of its response did not arrive.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum SendError {
    /// No byte was sent.
    #[display("not sent to {peer}: {what}")]
    Unsent {
        /// Address of the target.
        peer: SocketAddr,
        /// What went wrong.
        what: String,
    },
    /// No byte was sent, and the target's address refused the connection: its process has ended.
    #[display("not sent to {peer}: connection refused")]
    Refused {
        /// Address of the target.
        peer: SocketAddr,
    },
    /// The target may have received the request.
    #[display("no answer from {peer}: {what}")]
    Unanswered {
        /// Address of the target.
        peer: SocketAddr,
        /// What went wrong.
        what: String,
    },
}

/// A process that connections are opened to.
pub trait Endpoint {
    /// Identifies it in a pool of connections.
    type Key: Clone + Eq + Hash;

    /// Returns its key.
    fn key(&self) -> &Self::Key;

    /// Returns the address at which it listens.
    fn addr(&self) -> SocketAddr;

    /// Returns its incarnation, if known.
    fn life(&self) -> Option<Life>;
}

impl Endpoint for TargetEntry {
    type Key = TargetId;

    fn key(&self) -> &TargetId {
        &self.id
    }

    fn addr(&self) -> SocketAddr {
        self.addr
    }

    fn life(&self) -> Option<Life> {
        self.life
    }
}

impl Endpoint for BoxEntry {
    type Key = BoxId;

    fn key(&self) -> &BoxId {
        &self.id
    }

    /// Requests that other boxes send on are served by TCP at the port of the datagrams.
    fn addr(&self) -> SocketAddr {
        self.gossip
    }

    fn life(&self) -> Option<Life> {
        None
    }
}

impl<E: Endpoint> Endpoint for Arc<E> {
    type Key = E::Key;

    fn key(&self) -> &E::Key {
        (**self).key()
    }

    fn addr(&self) -> SocketAddr {
        (**self).addr()
    }

    fn life(&self) -> Option<Life> {
        (**self).life()
    }
}

/// An open connection. Dropping it closes it immediately, which cancels the request that the target is running for it.
pub struct Conn {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    meter: ReadMeter,
    peer: SocketAddr,
    life: Option<Life>,
    /// Time by [`SuspendClock::now`] at which it returned to the pool.
    idle_since: Instant,
    keep_idle: Duration,
}

impl Drop for Conn {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Conn {
    /// Opens a connection.
    pub async fn open(to: &impl Endpoint) -> Result<Self, SendError> {
        Self::open_within(to, CONNECT_TIMEOUT).await
    }

    /// Opens a connection within `limit`.
    pub async fn open_within(to: &impl Endpoint, limit: Duration) -> Result<Self, SendError> {
        let peer = to.addr();
        let unsent = |what: String| SendError::Unsent { peer, what };
        let tcp = tokio::time::timeout(limit, TcpStream::connect(peer)).await;
        let tcp = match tcp {
            Ok(Ok(tcp)) => tcp,
            Ok(Err(e)) if e.kind() == io::ErrorKind::ConnectionRefused => {
                return Err(SendError::Refused { peer });
            }
            Ok(Err(e)) => return Err(unsent(format!("cannot connect: {e}"))),
            Err(_) => return Err(unsent("cannot connect in time".to_owned())),
        };
        set_socket_options(&tcp).map_err(|e| unsent(format!("cannot set socket options: {e}")))?;
        let meter = ReadMeter::default();
        let io = TokioIo::new(BoundedReads::new(tcp, meter.clone()));
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_HEAD_LEN)
            .handshake(io);
        let handshake = handshake.await;
        let (sender, driver) = handshake.map_err(|e| unsent(e.to_string()))?;
        // A connection's error is returned to the task that waits for the response.
        let driver = tokio::spawn(async move {
            let _ = driver.await;
        });
        Ok(Self {
            sender,
            driver: driver.abort_handle(),
            meter,
            peer,
            life: to.life(),
            idle_since: Instant::now(),
            keep_idle: DEFAULT_IDLE,
        })
    }

    /// Sends a request and waits for the head of the response. After an error the connection must not be used again.
    pub async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<IncomingBody>, SendError> {
        let peer = self.peer;
        let sent = self.sender.try_send_request(req).await;
        let response = sent.map_err(|mut e| {
            let unsent = e.take_message().is_some();
            let what = describe(e.error());
            match unsent {
                true => SendError::Unsent { peer, what },
                false => SendError::Unanswered { peer, what },
            }
        })?;
        response_head::check(&response).map_err(|e| SendError::Unanswered {
            peer,
            what: e.to_string(),
        })?;
        self.meter.record_head();
        let meter = self.meter.clone();
        Ok(response.map(|body| IncomingBody::new(body, meter)))
    }

    /// Whether the target has closed the connection.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Whether the connection goes to this incarnation of an endpoint.
    fn is_to(&self, endpoint: &impl Endpoint) -> bool {
        self.peer == endpoint.addr() && self.life == endpoint.life()
    }

    fn is_usable(&self, now: Instant, max_idle: Duration) -> bool {
        let idle = now - self.idle_since;
        !self.sender.is_closed() && self.sender.is_ready() && idle < self.keep_idle.min(max_idle)
    }
}

/// Returns an error's text with its cause.
fn describe(e: &hyper::Error) -> String {
    match std::error::Error::source(e) {
        Some(cause) => format!("{e}: {cause}"),
        None => e.to_string(),
    }
}

fn set_socket_options(tcp: &TcpStream) -> io::Result<()> {
    tcp.set_nodelay(true)?;
    let socket = SockRef::from(tcp);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}

/// Idle connections by endpoint; clones share them.
pub struct ConnectionPool<K = TargetId> {
    /// Endpoints close idle connections by their own clocks, which also run while this box is suspended.
    suspend_clock: SuspendClock,
    idle: Arc<Mutex<HashMap<K, Vec<Conn>>>>,
}

impl<K> Clone for ConnectionPool<K> {
    fn clone(&self) -> Self {
        Self {
            suspend_clock: self.suspend_clock.clone(),
            idle: self.idle.clone(),
        }
    }
}

impl<K> Default for ConnectionPool<K> {
    fn default() -> Self {
        Self::new(SuspendClock::default())
    }
}

impl<K> ConnectionPool<K> {
    /// Creates an empty pool that counts time in which the box was suspended by `suspend_clock`.
    pub fn new(suspend_clock: SuspendClock) -> Self {
        let idle = Arc::default();
        Self {
            suspend_clock,
            idle,
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<K, Vec<Conn>>> {
        self.idle.lock().unwrap_or_else(|e| e.into_inner())
    }
}

impl<K: Clone + Eq + Hash> ConnectionPool<K> {
    /// Returns a connection that has been idle for less than `max_idle`, or opens one. Connections to an earlier
    /// incarnation are closed: it may have ended without closing them, and then it could not be determined whether a
    /// request sent there ran.
    pub async fn get<E>(&self, to: &E, max_idle: Duration) -> Result<Conn, SendError>
    where
        E: Endpoint<Key = K>,
    {
        self.get_within(to, max_idle, CONNECT_TIMEOUT).await
    }

    /// As [`ConnectionPool::get`]; a new connection is opened within `limit`, and at most within the usual time.
    pub async fn get_within<E>(
        &self,
        to: &E,
        max_idle: Duration,
        limit: Duration,
    ) -> Result<Conn, SendError>
    where
        E: Endpoint<Key = K>,
    {
        match self.take_idle(to, max_idle) {
            Some(conn) => Ok(conn),
            None => Conn::open_within(to, limit.min(CONNECT_TIMEOUT)).await,
        }
    }

    fn take_idle<E>(&self, to: &E, max_idle: Duration) -> Option<Conn>
    where
        E: Endpoint<Key = K>,
    {
        let now = self.suspend_clock.now();
        let mut idle = self.lock();
        let conns = idle.get_mut(to.key())?;
        conns
            .retain(|conn| conn.is_to(to) && conn.is_usable(now, DEFAULT_IDLE.max(conn.keep_idle)));
        let newest = conns
            .iter()
            .rposition(|conn| conn.is_usable(now, max_idle))?;
        Some(conns.swap_remove(newest))
    }

    /// Returns a connection whose response was read completely to the pool. `keep_idle` is how long the endpoint keeps
    /// idle connections open, if it stated that.
    pub async fn put(&self, key: K, mut conn: Conn, keep_idle: Option<Duration>) {
        if conn.sender.ready().await.is_err() {
            return;
        }
        conn.idle_since = self.suspend_clock.now();
        conn.keep_idle = keep_idle.map_or(DEFAULT_IDLE, |idle| idle.saturating_sub(IDLE_MARGIN));
        let mut idle = self.lock();
        let conns = idle.entry(key).or_default();
        if conns.len() < MAX_IDLE {
            conns.push(conn);
        }
    }

    /// Closes all idle connections to an endpoint.
    pub fn close_idle(&self, key: &K) {
        let closed = self.lock().remove(key);
        drop(closed);
    }

    /// Closes idle connections to endpoints that are no longer listed, to earlier incarnations, and those idle for too
    /// long.
    pub fn prune<'a, E>(&self, listed: impl Fn(&K) -> Option<&'a E>)
    where
        E: Endpoint<Key = K> + 'a,
    {
        let now = self.suspend_clock.now();
        let mut idle = self.lock();
        idle.retain(|key, conns| {
            let endpoint = listed(key);
            let is_kept = |conn: &Conn| {
                endpoint.is_some_and(|endpoint| conn.is_to(endpoint))
                    && conn.is_usable(now, conn.keep_idle)
            };
            conns.retain(is_kept);
            !conns.is_empty()
        });
    }
}
