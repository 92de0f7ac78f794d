//! Connections to other keepers, opened on demand and shared.

use derive_more::{Display, Error};
use sillpin_rpc::peer_link::PeerLinkClient;
use sillpin_rpc::transport::{connect, within};
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tarpc::client::{Config, RpcError};
use tarpc::context::Context;

/// A failed call to a peer.
#[derive(Debug, Display, Error)]
#[display("{step} at keeper {peer}: {what}")]
pub struct PeerError {
    /// Step that failed.
    pub step: &'static str,
    /// Address of the peer.
    pub peer: SocketAddr,
    /// Cause of the failure.
    pub what: String,
}

/// Connections by address; clones share them.
#[derive(Clone, Default)]
pub struct Peers {
    connections: Arc<Mutex<HashMap<SocketAddr, PeerLinkClient>>>,
}

impl Peers {
    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, PeerLinkClient>> {
        self.connections.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Calls a peer. After a failed call the connection is dropped; the next call opens a new one.
    pub async fn call<T, F>(
        &self,
        step: &'static str,
        peer: SocketAddr,
        timeout: Duration,
        call: impl FnOnce(PeerLinkClient, Context) -> F,
    ) -> Result<T, PeerError>
    where
        F: Future<Output = Result<T, RpcError>>,
    {
        let failed = |what: String| PeerError { step, peer, what };
        let connect_and_call = async {
            let client = self.client(peer).await.map_err(|e| failed(e.to_string()))?;
            let reply = call(client, within(timeout)).await;
            reply.map_err(|e| failed(e.to_string()))
        };
        let reply = tokio::time::timeout(timeout, connect_and_call).await;
        let reply =
            reply.unwrap_or_else(|_| Err(failed("no response within the timeout".to_owned())));
        if reply.is_err() {
            self.lock().remove(&peer);
        }
        reply
    }

    async fn client(&self, peer: SocketAddr) -> std::io::Result<PeerLinkClient> {
        if let Some(client) = self.lock().get(&peer) {
            return Ok(client.clone());
        }
        let transport = connect(peer).await?;
        let client = PeerLinkClient::new(Config::default(), transport).spawn();
        self.lock().insert(peer, client.clone());
        Ok(client)
    }
}
