//! Client of store boxes over HTTP and JSON.

use crate::store::{SealedObject, Store, StoreError};
use hyper::Method;
use serde::de::DeserializeOwned;
use sillpin_core::target::LoadReport;
use sillpin_core::{BlockName, Generation};
use sillpin_http::Client;
use sillpin_http::client::Call;
use std::net::SocketAddr;
use std::time::Duration;

const QUERY_TIMEOUT: Duration = Duration::from_secs(2);
const NO_BODY: Option<&()> = None;

/// Client of all store boxes.
#[derive(Clone, Default)]
pub struct HttpStore {
    client: Client,
}

impl HttpStore {
    /// Creates a client that sends its requests through `client`.
    pub fn new(client: Client) -> Self {
        Self { client }
    }

    async fn query<R: DeserializeOwned>(
        &self,
        step: &'static str,
        peer: SocketAddr,
        method: Method,
        path: &str,
    ) -> Result<R, StoreError> {
        let call = Call {
            step,
            peer,
            method,
            path,
            timeout: QUERY_TIMEOUT,
        };
        let reply = self.client.call_json(call, NO_BODY).await;
        reply.map_err(|e| StoreError {
            step,
            peer,
            what: e.fault.to_string(),
        })
    }
}

impl Store for HttpStore {
    async fn load(&self, peer: SocketAddr) -> Result<LoadReport, StoreError> {
        self.query("read a load report", peer, Method::GET, "/v1/load")
            .await
    }

    async fn list(
        &self,
        peer: SocketAddr,
        after: Option<(BlockName, Generation)>,
        limit: usize,
    ) -> Result<Vec<SealedObject>, StoreError> {
        let after = after.map_or_else(String::new, |(block, generation)| {
            format!("{block}.{generation}")
        });
        let path = format!("/v1/objects?after={after}&limit={limit}");
        self.query("list objects", peer, Method::GET, &path).await
    }

    async fn free(
        &self,
        peer: SocketAddr,
        block: BlockName,
        generation: Generation,
    ) -> Result<(), StoreError> {
        let path = format!("/v1/objects/{block}.{generation}");
        self.query("free an object", peer, Method::DELETE, &path)
            .await
    }
}
