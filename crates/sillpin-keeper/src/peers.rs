//! Connections to other keepers, opened when needed and shared.

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

/// A call of a peer that failed, with its step and peer.
#[derive(Debug, Display, Error)]
#[display("{step} at keeper {peer}: {what}")]
pub struct PeerError {
    /// What was being done.
    pub step: &'static str,
    /// Who was asked.
    pub peer: SocketAddr,
    /// What went wrong.
    pub what: String,
}

/// Connections by address; clones share them.
#[derive(Clone, Default)]
pub struct Peers {
    open: Arc<Mutex<HashMap<SocketAddr, PeerLinkClient>>>,
}

impl Peers {
    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, PeerLinkClient>> {
        self.open.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Calls a peer. A connection that fails is dropped, and the next call opens another.
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
        let work = async {
            let client = self.client(peer).await.map_err(|e| failed(e.to_string()))?;
            let reply = call(client, within(timeout)).await;
            reply.map_err(|e| failed(e.to_string()))
        };
        let reply = tokio::time::timeout(timeout, work).await;
        let reply = reply.unwrap_or_else(|_| Err(failed("no answer in time".to_owned())));
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
