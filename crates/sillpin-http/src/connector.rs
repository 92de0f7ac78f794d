//! Opens the connections of the client, with bounds on what is read from them.

use crate::reads::{BoundedReads, ReadMeter};
use futures::TryFutureExt;
use futures::future::MapOk;
use hyper::Uri;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioIo;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;
use tower_service::Service;

type Plain = TokioIo<TcpStream>;

type Bounded = TokioIo<BoundedReads<TcpStream>>;

/// Opens connections by TCP without TLS.
#[derive(Clone)]
pub(crate) struct BoundedConnector {
    inner: HttpConnector,
    bound: fn(Plain) -> Bounded,
}

impl BoundedConnector {
    /// Creates a connector; HTTP/2 limits each frame by itself.
    pub fn new(timeout: Duration, http2: bool) -> Self {
        let mut inner = HttpConnector::new();
        inner.set_nodelay(true);
        inner.set_connect_timeout(Some(timeout));
        let bound = match http2 {
            true => with_yields,
            false => with_limit,
        };
        Self { inner, bound }
    }
}

fn with_limit(tcp: Plain) -> Bounded {
    TokioIo::new(BoundedReads::new(tcp.into_inner(), ReadMeter::default()))
}

fn with_yields(tcp: Plain) -> Bounded {
    let meter = ReadMeter::default();
    meter.remove_limit();
    TokioIo::new(BoundedReads::new(tcp.into_inner(), meter))
}

impl Service<Uri> for BoundedConnector {
    type Response = Bounded;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = MapOk<<HttpConnector as Service<Uri>>::Future, fn(Plain) -> Bounded>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.inner.poll_ready(cx)
    }

    fn call(&mut self, to: Uri) -> Self::Future {
        self.inner.call(to).map_ok(self.bound)
    }
}
