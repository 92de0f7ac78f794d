//! A TCP proxy that injects faults, which can be set at run time.

use crate::{Response, ok, status};
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use serde::{Deserialize, Serialize};
use sillpin_http::body::read_json;
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

/// Time between two attempts to listen again.
const REBIND_INTERVAL: Duration = Duration::from_millis(20);

/// The proxy. Clones share their state.
#[derive(Clone)]
pub struct FaultProxy {
    target: SocketAddr,
    faults: Arc<watch::Sender<Faults>>,
    down: Arc<watch::Sender<bool>>,
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
            down: Arc::default(),
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
        self.down.send_replace(down);
    }

    /// Handles one request of the admin interface.
    pub async fn handle(self, req: Request<Incoming>) -> Response {
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
        let mut down = self.down.subscribe();
        let addr = listener.local_addr();
        let mut listening = Some(listener);
        loop {
            let Some(listener) = &listening else {
                let up = down.wait_for(|down| !down).await.is_ok();
                let Some(addr) = addr.as_ref().ok().filter(|_| up) else {
                    return;
                };
                match TcpListener::bind(addr).await {
                    Ok(listener) => listening = Some(listener),
                    // Bind fails while the last connections are still closing.
                    Err(_) => tokio::time::sleep(REBIND_INTERVAL).await,
                }
                continue;
            };
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted.ok(),
                _ = down.wait_for(|down| *down) => None,
            };
            match accepted {
                Some((caller, _)) => drop(tokio::spawn(self.clone().forward(caller))),
                None if *down.borrow() => listening = None,
                None => {}
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
        let (mut cut, mut down) = (self.faults.subscribe(), self.down.subscribe());
        tokio::select! {
            _ = down.wait_for(|down| *down) => {}
            () = self.copy(Direction::Request, caller_rx, target_tx) => {}
            () = self.copy(Direction::Response, target_rx, caller_tx) => {}
            _ = cut.wait_for(|faults| faults.cut) => {}
        }
    }

    async fn copy(&self, direction: Direction, mut rx: OwnedReadHalf, mut tx: OwnedWriteHalf) {
        let mut buf = vec![0; CHUNK_LEN];
        let mut forwarded = 0;
        while let Ok(len @ 1..) = rx.read(&mut buf).await {
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
