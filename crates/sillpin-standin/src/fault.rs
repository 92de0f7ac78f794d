//! A TCP proxy that injects faults, which can be set at run time.

use crate::{Response, ok, status};
use hyper::{Request, StatusCode};
use serde::{Deserialize, Serialize};
use sillpin_http::IncomingBody;
use sillpin_http::body::read_json;
use socket2::{Domain, SockRef, Socket, Type};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::Instant;

/// Maximum number of bytes forwarded at a time.
const CHUNK_LEN: usize = 16 << 10;

/// Faults that the proxy injects into its connections.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Close open connections, and new ones as soon as they are accepted.
    pub cut: bool,
    /// Delay of each chunk, in milliseconds.
    pub delay_ms: u64,
    /// Drop all bytes that callers send (one-way loss).
    pub lose_requests: bool,
    /// Drop all bytes that the target sends (one-way loss).
    pub lose_answers: bool,
    /// Bytes per second in each direction of a connection (0: no limit).
    pub rate: u64,
    /// Close a connection after this many bytes of the response.
    pub cut_answer_at: Option<u64>,
    /// Close a connection after this many bytes of the request.
    pub cut_request_at: Option<u64>,
}

/// A link of limited rate, shared by the responses of one or more proxies. It simulates the link over which a box receives
/// all of its data. Clones are the same link.
#[derive(Debug, Clone)]
pub struct Link {
    /// Bytes per second.
    rate: f64,
    free_at: Arc<Mutex<Instant>>,
}

impl Link {
    /// Creates a link that transfers `rate` bytes per second.
    pub fn new(rate: u32) -> Self {
        Self {
            rate: f64::from(rate),
            free_at: Arc::new(Mutex::new(Instant::now())),
        }
    }

    /// Waits until the link has transferred `len` bytes after all earlier transfers.
    async fn transfer(&self, len: usize) {
        let time = Duration::from_secs_f64(len as f64 / self.rate);
        let transferred = {
            let mut free_at = self.free_at.lock().unwrap_or_else(|e| e.into_inner());
            *free_at = (*free_at).max(Instant::now()) + time;
            *free_at
        };
        tokio::time::sleep_until(transferred).await;
    }
}

/// How callers of the proxy reach its target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Access {
    /// As usual.
    #[default]
    Open,
    /// All connections are closed, and new ones are refused.
    Down,
    /// New connections are refused; open ones stay.
    NoNew,
    /// Nothing arrives over open connections, in either direction, and new ones are not opened.
    Hanging,
}

/// Backlog of the listener, usually and while new connections hang. The kernel drops their first packets once the
/// backlog is full.
const BACKLOG: i32 = 1_024;
const HANGING_BACKLOG: i32 = 0;

/// Time after which a connection that has not been opened shows that the backlog is full.
const HANG_CHECK_TIME: Duration = Duration::from_millis(50);

/// Time between two attempts to listen again.
const REBIND_INTERVAL: Duration = Duration::from_millis(20);

/// The proxy. Clones share their state.
#[derive(Clone)]
pub struct FaultProxy {
    target: SocketAddr,
    faults: Arc<watch::Sender<Faults>>,
    access: Arc<watch::Sender<Access>>,
    link: Option<Link>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    Request,
    Response,
}

impl FaultProxy {
    /// Creates a proxy to `target` without faults.
    pub fn new(target: SocketAddr) -> Self {
        Self {
            target,
            faults: Arc::new(watch::Sender::new(Faults::default())),
            access: Arc::default(),
            link: None,
        }
    }

    /// Creates a proxy to `target` whose responses are transferred over `link`.
    pub fn with_link(target: SocketAddr, link: Link) -> Self {
        Self {
            link: Some(link),
            ..Self::new(target)
        }
    }

    /// Listens on a free loopback port, starts forwarding its connections and returns its address.
    ///
    /// # Errors
    /// If the port cannot be bound.
    pub async fn start(&self) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let addr = listener.local_addr()?;
        tokio::spawn(self.clone().run(listener));
        Ok(addr)
    }

    /// Sets the faults, which also apply to open connections.
    pub fn set(&self, faults: Faults) {
        self.faults.send_replace(faults);
    }

    /// While the proxy is down, all connections are closed and it does not listen, as if the target's process had ended.
    pub fn set_down(&self, down: bool) {
        self.set_access(if down { Access::Down } else { Access::Open });
    }

    /// Sets how callers reach the target.
    pub fn set_access(&self, access: Access) {
        self.access.send_replace(access);
    }

    /// Handles one request of the admin interface.
    pub async fn handle(self, req: Request<IncomingBody>) -> Response {
        match read_json(req.into_body(), 4096).await {
            Ok(faults) => {
                self.set(faults);
                ok(&())
            }
            Err(_) => status(StatusCode::BAD_REQUEST),
        }
    }

    /// Forwards the connections of `listener` forever. Listens on the same address again after it was down.
    pub async fn run(self, listener: TcpListener) {
        let Ok(addr) = listener.local_addr() else {
            return;
        };
        let mut listener = listener;
        let mut access = self.access.subscribe();
        loop {
            let now = *access.borrow_and_update();
            match now {
                Access::Open => {
                    tokio::select! {
                        Ok((caller, _)) = listener.accept() => {
                            tokio::spawn(self.clone().forward(caller));
                        }
                        Ok(()) = access.changed() => {}
                    }
                }
                Access::Hanging => {
                    let _fillers = fill_backlog(&listener, addr).await;
                    let _ = access.wait_for(|access| *access != now).await;
                    let _ = SockRef::from(&listener).listen(BACKLOG);
                }
                Access::Down | Access::NoNew => {
                    drop(listener);
                    let reserved = reserve_port(addr);
                    let _ = access.wait_for(|access| *access != now).await;
                    drop(reserved);
                    listener = bind_again(addr).await;
                }
            }
        }
    }

    async fn forward(self, caller: TcpStream) {
        if self.faults.borrow().cut {
            return;
        }
        let Ok(target) = TcpStream::connect(self.target).await else {
            return;
        };
        let _ = caller.set_nodelay(true);
        let _ = target.set_nodelay(true);
        let (caller_rx, caller_tx) = caller.into_split();
        let (target_rx, target_tx) = target.into_split();
        let (mut cut, mut access) = (self.faults.subscribe(), self.access.subscribe());
        tokio::select! {
            _ = access.wait_for(|access| *access == Access::Down) => {}
            () = self.copy(Direction::Request, caller_rx, target_tx) => {}
            () = self.copy(Direction::Response, target_rx, caller_tx) => {}
            _ = cut.wait_for(|faults| faults.cut) => {}
        }
    }

    async fn copy(&self, direction: Direction, mut rx: OwnedReadHalf, mut tx: OwnedWriteHalf) {
        let mut buf = vec![0; CHUNK_LEN];
        let mut forwarded = 0;
        let mut access = self.access.subscribe();
        while let Ok(len @ 1..) = rx.read(&mut buf).await {
            let _ = access.wait_for(|access| *access != Access::Hanging).await;
            let faults = self.faults.borrow().clone();
            tokio::time::sleep(faults.delay_of(len)).await;
            if let Some(link) = self
                .link
                .as_ref()
                .filter(|_| direction == Direction::Response)
            {
                link.transfer(len).await;
            }
            if faults.drops(direction) {
                continue;
            }
            let len = faults.allowed(direction, forwarded, len);
            if tx.write_all(&buf[..len]).await.is_err() {
                return;
            }
            forwarded += len as u64;
            if faults
                .limit(direction)
                .is_some_and(|limit| forwarded >= limit)
            {
                return;
            }
        }
        let _ = tx.shutdown().await;
        if direction == Direction::Request {
            std::future::pending::<()>().await;
        }
    }
}

/// Fills the backlog of a listener, so that further connections to it hang; returns the connections that fill it.
async fn fill_backlog(listener: &TcpListener, addr: SocketAddr) -> Vec<TcpStream> {
    let mut fillers = Vec::new();
    if SockRef::from(listener).listen(HANGING_BACKLOG).is_err() {
        return fillers;
    }
    while let Ok(Ok(filler)) = tokio::time::timeout(HANG_CHECK_TIME, TcpStream::connect(addr)).await
    {
        fillers.push(filler);
    }
    fillers
}

/// Binds a socket that does not listen, so that connections to its address are refused and no other socket gets its port.
fn reserve_port(addr: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&addr.into())?;
    Ok(socket)
}

/// Listens again at an address at which the last connections may still be closing.
async fn bind_again(addr: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(addr).await {
            Ok(listener) => return listener,
            Err(_) => tokio::time::sleep(REBIND_INTERVAL).await,
        }
    }
}

impl Faults {
    fn delay_of(&self, len: usize) -> Duration {
        let delay = Duration::from_millis(self.delay_ms);
        if self.rate == 0 {
            return delay;
        }
        delay + Duration::from_secs_f64(len as f64 / self.rate as f64)
    }

    fn drops(&self, direction: Direction) -> bool {
        match direction {
            Direction::Request => self.lose_requests,
            Direction::Response => self.lose_answers,
        }
    }

    fn limit(&self, direction: Direction) -> Option<u64> {
        match direction {
            Direction::Request => self.cut_request_at,
            Direction::Response => self.cut_answer_at,
        }
    }

    fn allowed(&self, direction: Direction, forwarded: u64, len: usize) -> usize {
        let limit = self.limit(direction).unwrap_or(u64::MAX);
        len.min(limit.saturating_sub(forwarded) as usize)
    }
}
