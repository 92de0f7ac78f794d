//! Exports blocks to stores, imports blocks from them, and fetches weights from a weight store.

use super::EngineStandin;
use hyper::{Method, Request};
use serde::Serialize;
use sillpin_core::{BlockName, Bytes};
use sillpin_http::client::Call;
use sillpin_http::{Body, read_limited};
use sillpin_targets::store::{ObjectRef, Seal};
use sillpin_targets::{ExportOrder, Exported, LoadOrder, RunOrder};
use std::net::SocketAddr;
use std::time::Duration;

const TRANSFER_TIMEOUT: Duration = Duration::from_secs(5);
const LOAD_TIMEOUT: Duration = Duration::from_secs(20);
const NO_BODY: Option<&()> = None;

/// Number and bytes of the blocks that a run fetched before its prefill.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Fetched {
    pub(super) blocks: u64,
    pub(super) bytes: u64,
}

/// Returns the content of a block, derived from its name so that content of another block is detected.
fn content(block: &BlockName, len: usize) -> Vec<u8> {
    let mut data = vec![0; len];
    let mut hasher = blake3::Hasher::new();
    hasher.update(block.to_string().as_bytes());
    hasher.finalize_xof().fill(&mut data);
    data
}

impl EngineStandin {
    /// Fetches the blocks of the order one after another, up to the first one that cannot be fetched or whose
    /// checksum differs. The engine computes the remaining ones.
    pub(super) async fn import(&self, order: &RunOrder) -> Fetched {
        let mut fetched = Fetched::default();
        for object in &order.imports {
            if !order.blocks.contains(&object.block) {
                break;
            }
            if self.lock().batch.cache.contains(&object.block) {
                continue;
            }
            if self.fetch(object).await.is_none() {
                break;
            }
            fetched.blocks += 1;
            fetched.bytes += object.len.0;
            self.lock()
                .batch
                .cache
                .insert(object.block, order.blocks[0]);
        }
        fetched
    }

    async fn fetch(&self, object: &ObjectRef) -> Option<()> {
        let path = format!("/v1/objects/{}.{}", object.block, object.generation);
        let call = self.transfer("fetch a block", object.addr, Method::GET, &path);
        let resp = self.client.call(call, NO_BODY).await.ok()?;
        let limit = object.len.0 as usize;
        let data = read_limited(resp.into_body(), limit).await.ok()?;
        let is_intact =
            data.len() == limit && blake3::hash(&data).to_hex().as_str() == object.checksum;
        is_intact.then_some(())
    }

    fn transfer<'a>(
        &self,
        step: &'static str,
        peer: SocketAddr,
        method: Method,
        path: &'a str,
    ) -> Call<'a> {
        Call {
            step,
            peer,
            method,
            path,
            timeout: TRANSFER_TIMEOUT,
        }
    }

    /// Writes and seals the blocks of the order that are cached here; stops at the first failure.
    pub(super) async fn export(&self, order: ExportOrder) -> Exported {
        let mut exported = Exported::default();
        for (block, generation) in order.blocks {
            if !self.lock().batch.cache.contains(&block) {
                continue;
            }
            let data = content(&block, self.shape.block_len);
            let object = ObjectRef {
                block,
                generation,
                store: order.store.clone(),
                addr: order.addr,
                len: Bytes(data.len() as u64),
                checksum: blake3::hash(&data).to_hex().to_string(),
            };
            if self.write(&object, order.root, data).await.is_none() {
                break;
            }
            exported.objects.push(object);
        }
        exported
    }

    async fn write(&self, object: &ObjectRef, root: BlockName, data: Vec<u8>) -> Option<()> {
        let path = format!("/v1/objects/{}.{}", object.block, object.generation);
        let req = Request::builder()
            .method(Method::PUT)
            .uri(format!("http://{}{path}", object.addr))
            .body(Body::full(data))
            .ok()?;
        let sent = self.client.send("write a block", object.addr, req);
        let resp = tokio::time::timeout(TRANSFER_TIMEOUT, sent)
            .await
            .ok()?
            .ok()?;
        if !resp.status().is_success() {
            return None;
        }
        let seal = Seal {
            len: object.len,
            checksum: object.checksum.clone(),
            root,
        };
        self.post_seal(object.addr, &format!("{path}/seal"), &seal)
            .await
    }

    async fn post_seal<T: Serialize>(&self, peer: SocketAddr, path: &str, seal: &T) -> Option<()> {
        let call = self.transfer("seal a block", peer, Method::POST, path);
        self.client.call(call, Some(seal)).await.ok().map(|_| ())
    }

    /// Fetches weights; returns false if the request to the weight store failed.
    pub(super) async fn fetch_weights(&self, order: &LoadOrder) -> bool {
        let path = format!("/v1/weights?version={}", order.version);
        let call = Call {
            step: "fetch weights",
            peer: order.weights,
            method: Method::GET,
            path: &path,
            timeout: LOAD_TIMEOUT,
        };
        self.client.call(call, NO_BODY).await.is_ok()
    }
}
