//! Connections to targets.
//!
//! A connection serves one request at a time and goes back to the pool only after a whole answer to
//! that request. Anything unexpected closes it: bytes that are left over belong to no request. A
//! failed send says whether any byte can have left, since that decides what the caller may be told.

use crate::awake::Awake;
use crate::control::{Life, TargetEntry};
use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use sillpin_core::TargetId;
use socket2::{SockRef, TcpKeepalive};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// Time to open a connection. Two zones are about 3 ms apart; a lost opening packet is sent again
/// only after a second, by when another target is the better choice.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);

/// Unacknowledged bytes for this long end a connection: a machine without power says nothing.
const USER_TIMEOUT: Duration = Duration::from_millis(1_200);

/// An idle peer is probed after this long, then as often.
const PROBE_EVERY: Duration = Duration::from_secs(1);

/// Unanswered probes that end a connection.
const PROBES: u32 = 2;

/// How long an unused connection is kept when the target does not say.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);

/// Left of the target's own idle time when a connection is given up: a request must not cross the
/// target's close.
const IDLE_MARGIN: Duration = Duration::from_millis(1_200);

/// Idle connections kept for one target.
const MAX_IDLE: usize = 16;

/// Why a request could not be sent, or its answer's head did not come.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum SendError {
    /// No byte left this box.
    #[display("not sent to {peer}: {what}")]
    Unsent {
        /// The target.
        peer: SocketAddr,
        /// What went wrong.
        what: String,
    },
    /// No byte left this box, and nobody listens at the target's address: its process has ended.
    #[display("not sent to {peer}: connection refused")]
    Refused {
        /// The target.
        peer: SocketAddr,
    },
    /// The target may have it.
    #[display("no answer from {peer}: {what}")]
    Unanswered {
        /// The target.
        peer: SocketAddr,
        /// What went wrong.
        what: String,
    },
}

/// An open connection. Dropping it closes it at once, which ends the target's work.
pub struct Conn {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    peer: SocketAddr,
    life: Option<Life>,
    /// By [`Awake::now`], from when it went back to the pool.
    idle_since: Instant,
    keep_idle: Duration,
}

impl Drop for Conn {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Conn {
    /// Opens a connection to a target.
    pub async fn open(target: &TargetEntry) -> Result<Self, SendError> {
        let peer = target.addr;
        let unsent = |what: String| SendError::Unsent { peer, what };
        let tcp = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(peer)).await;
        let tcp = match tcp {
            Ok(Ok(tcp)) => tcp,
            Ok(Err(e)) if e.kind() == io::ErrorKind::ConnectionRefused => {
                return Err(SendError::Refused { peer });
            }
            Ok(Err(e)) => return Err(unsent(format!("cannot connect: {e}"))),
            Err(_) => return Err(unsent("cannot connect in time".to_owned())),
        };
        tune(&tcp).map_err(|e| unsent(format!("cannot set socket options: {e}")))?;
        let handshake = http1::handshake(TokioIo::new(tcp)).await;
        let (sender, driver) = handshake.map_err(|e| unsent(e.to_string()))?;
        // The error of a connection reaches whoever waits for its answer.
        let driver = tokio::spawn(async move {
            let _ = driver.await;
        });
        Ok(Self {
            sender,
            driver: driver.abort_handle(),
            peer,
            life: target.life,
            idle_since: Instant::now(),
            keep_idle: DEFAULT_IDLE,
        })
    }

    /// Sends a request and waits for the head of the answer.
    pub async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        let peer = self.peer;
        let sent = self.sender.try_send_request(req).await;
        sent.map_err(|mut e| {
            let unsent = e.take_message().is_some();
            let what = e.error().to_string();
            match unsent {
                true => SendError::Unsent { peer, what },
                false => SendError::Unanswered { peer, what },
            }
        })
    }

    /// Whether the other side has closed it.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Whether it goes to the life of a target that its entry tells of.
    fn is_to(&self, target: &TargetEntry) -> bool {
        self.peer == target.addr && self.life == target.life
    }

    fn is_fresh(&self, now: Instant, max_idle: Duration) -> bool {
        let idle = now - self.idle_since;
        !self.sender.is_closed() && self.sender.is_ready() && idle < self.keep_idle.min(max_idle)
    }
}

fn tune(tcp: &TcpStream) -> io::Result<()> {
    tcp.set_nodelay(true)?;
    let socket = SockRef::from(tcp);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_EVERY)
        .with_interval(PROBE_EVERY)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}

/// Idle connections by target; clones share them.
#[derive(Clone, Default)]
pub struct Pool {
    /// Targets close idle connections by their own clocks, also while this box is suspended.
    awake: Awake,
    idle: Arc<Mutex<HashMap<TargetId, Vec<Conn>>>>,
}

impl Pool {
    /// An empty pool that counts time asleep by `awake`.
    pub fn new(awake: Awake) -> Self {
        let idle = Arc::default();
        Self { awake, idle }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<TargetId, Vec<Conn>>> {
        self.idle.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// A connection that has rested for less than `max_idle`, or a new one. Connections to an earlier life of the target are closed: it may have
    /// ended without a word, and nobody could tell whether a request that was sent there ran.
    pub async fn get(&self, target: &TargetEntry, max_idle: Duration) -> Result<Conn, SendError> {
        match self.take_idle(target, max_idle) {
            Some(conn) => Ok(conn),
            None => Conn::open(target).await,
        }
    }

    fn take_idle(&self, target: &TargetEntry, max_idle: Duration) -> Option<Conn> {
        let now = self.awake.now();
        let mut idle = self.lock();
        let conns = idle.get_mut(&target.id)?;
        conns.retain(|conn| {
            conn.is_to(target) && conn.is_fresh(now, DEFAULT_IDLE.max(conn.keep_idle))
        });
        let newest = conns
            .iter()
            .rposition(|conn| conn.is_fresh(now, max_idle))?;
        Some(conns.swap_remove(newest))
    }

    /// Keeps a connection whose answer was read whole. `keep_idle` is what the target says of idle
    /// connections.
    pub async fn put(&self, target: TargetId, mut conn: Conn, keep_idle: Option<Duration>) {
        if conn.sender.ready().await.is_err() {
            return;
        }
        conn.idle_since = self.awake.now();
        conn.keep_idle = keep_idle.map_or(DEFAULT_IDLE, |idle| idle.saturating_sub(IDLE_MARGIN));
        let mut idle = self.lock();
        let conns = idle.entry(target).or_default();
        if conns.len() < MAX_IDLE {
            conns.push(conn);
        }
    }

    /// Closes idle connections of targets that are not listed or in another life, and those that rested too long.
    pub fn prune(&self, targets: &HashMap<TargetId, Arc<TargetEntry>>) {
        let now = self.awake.now();
        let mut idle = self.lock();
        idle.retain(|id, conns| {
            let target = targets.get(id);
            let is_kept = |conn: &Conn| {
                target.is_some_and(|target| conn.is_to(target))
                    && conn.is_fresh(now, conn.keep_idle)
            };
            conns.retain(is_kept);
            !conns.is_empty()
        });
    }
}
