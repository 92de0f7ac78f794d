//! Connections of `tarpc` over TCP, with frames of bounded length.

use futures::{Stream, StreamExt};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tarpc::context::Context;
use tarpc::serde_transport::{Transport, tcp};
use tarpc::tokio_serde::formats::Bincode;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::LengthDelimitedCodec;
use tokio_util::sync::CancellationToken;

/// Longest frame: the largest document and what surrounds it.
pub const MAX_FRAME_LEN: usize = 4 << 20;

/// Time to open a connection before the peer counts as out of reach.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Wait after a failed accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Calls of one connection that may be under way.
const MAX_CALLS: usize = 1_024;

/// The context of a call that must be answered within `timeout`.
pub fn within(timeout: Duration) -> Context {
    let mut context = Context::current();
    context.deadline = Instant::now() + timeout;
    context
}

/// A connection's transport.
pub type Tcp<Item, SinkItem> = Transport<TcpStream, Item, SinkItem, Bincode<Item, SinkItem>>;

/// Opens a connection to `peer`.
pub async fn connect<Item, SinkItem>(peer: SocketAddr) -> io::Result<Tcp<Item, SinkItem>>
where
    Item: for<'de> serde::Deserialize<'de>,
    SinkItem: serde::Serialize,
{
    let mut connect = tcp::connect(peer, Bincode::default);
    connect.config_mut().max_frame_length(MAX_FRAME_LEN);
    let transport = tokio::time::timeout(CONNECT_TIMEOUT, connect).await??;
    let _ = transport.get_ref().set_nodelay(true);
    Ok(transport)
}

/// Hands the transport of every connection of `listener` to `handler`, until `stop`.
pub async fn serve<Item, SinkItem, H, F>(listener: TcpListener, stop: CancellationToken, handler: H)
where
    Item: for<'de> serde::Deserialize<'de>,
    SinkItem: serde::Serialize,
    H: Fn(Tcp<Item, SinkItem>) -> F,
    F: Future<Output = ()> + Send + 'static,
{
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((tcp, _)) = accepted else {
            tokio::time::sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        let _ = tcp.set_nodelay(true);
        let mut codec = LengthDelimitedCodec::builder();
        codec.max_frame_length(MAX_FRAME_LEN);
        let transport = tarpc::serde_transport::new(codec.new_framed(tcp), Bincode::default());
        let answering = handler(transport);
        let ended = stop.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = answering => {}
                () = ended.cancelled() => {}
            }
        });
    }
}

/// Answers the requests of one connection, many at once.
pub async fn answer<F: Future<Output = ()>>(requests: impl Stream<Item = F>) {
    requests
        .for_each_concurrent(MAX_CALLS, |answering| answering)
        .await;
}
