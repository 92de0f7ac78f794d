//! `tarpc` connections over TCP, with a limit on the frame length.

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

/// Maximum frame length, enough for the largest document and its envelope.
pub const MAX_FRAME_LEN: usize = 4 << 20;

/// Timeout for opening a connection, after which the peer is treated as unreachable.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Pause after a failed accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Maximum number of concurrent calls on one connection.
const MAX_CALLS: usize = 1_024;

/// Returns the context of a call with a deadline after `timeout`.
pub fn within(timeout: Duration) -> Context {
    let mut context = Context::current();
    context.deadline = Instant::now() + timeout;
    context
}

/// Transport of a connection.
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

/// Accepts connections of `listener` until `stop` is cancelled and runs `handler` for each.
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

/// Handles the requests of one connection concurrently.
pub async fn answer<F: Future<Output = ()>>(requests: impl Stream<Item = F>) {
    requests
        .for_each_concurrent(MAX_CALLS, |answering| answering)
        .await;
}
