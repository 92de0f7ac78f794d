//! The listeners of a box.

use crate::settings::BoxConfig;
use sillpin_http::server::{BindError, listen};
use std::net::SocketAddr;
use tokio::net::{TcpListener, UdpSocket};

/// Addresses on which a box listens.
#[derive(Debug, Clone, Copy)]
pub struct ListenAddrs {
    /// For callers.
    pub callers: SocketAddr,
    /// For the balancer's checks.
    pub ready: SocketAddr,
    /// For calls of other boxes.
    pub peers: SocketAddr,
    /// For datagrams of other boxes, and by TCP for requests that they send on.
    pub gossip: SocketAddr,
}

/// All open listeners.
pub(super) struct Listeners {
    pub callers: TcpListener,
    pub ready: TcpListener,
    pub peers: TcpListener,
    pub gossip: UdpSocket,
    pub forwarded: TcpListener,
    pub metrics: Option<TcpListener>,
    pub addrs: ListenAddrs,
}

/// Opens all listeners.
pub(super) async fn listen_all(cfg: &BoxConfig) -> Result<Listeners, BindError> {
    let metrics = match cfg.metrics {
        Some(addr) => Some(listen(addr).await?.0),
        None => None,
    };
    let (callers, callers_at) = listen(cfg.callers).await?;
    let (ready, ready_at) = listen(cfg.ready).await?;
    let (peers, peers_at) = listen(cfg.peers).await?;
    let gossip_addr = SocketAddr::new(cfg.ip, cfg.gossip_port);
    let (forwarded, gossip, gossip_at) = listen_for_boxes(gossip_addr).await?;
    Ok(Listeners {
        callers,
        ready,
        peers,
        gossip,
        forwarded,
        metrics,
        addrs: ListenAddrs {
            callers: callers_at,
            ready: ready_at,
            peers: peers_at,
            gossip: gossip_at,
        },
    })
}

/// Number of attempts to find a port that is free for both TCP and UDP.
const PORT_ATTEMPTS: usize = 16;

/// Listens at one port for requests and datagrams of other boxes. If any port will do, the kernel chooses one, which
/// may be in use for datagrams.
async fn listen_for_boxes(
    addr: SocketAddr,
) -> Result<(TcpListener, UdpSocket, SocketAddr), BindError> {
    let mut attempts = match addr.port() {
        0 => PORT_ATTEMPTS,
        _ => 1,
    };
    loop {
        let (forwarded, at) = listen(addr).await?;
        attempts -= 1;
        match UdpSocket::bind(at).await {
            Ok(gossip) => return Ok((forwarded, gossip, at)),
            Err(cause) if attempts == 0 => return Err(BindError { addr: at, cause }),
            Err(_) => {}
        }
    }
}
