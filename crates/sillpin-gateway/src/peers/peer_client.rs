//! Fetches copies of data from other boxes.

use super::documents::{DocumentReply, TransferId};
use super::link::{BoxLinkClient, StoreContent, StoreCopy, TopicCopy};
use super::wire::FleetKey;
use crate::cache_stores::CacheStores;
use crate::cache_stores::directory::Position;
use crate::control::{StoreChanges, StoreListing};
use crate::fleet_state::transfers::Transfers;
use crate::fleet_state::{BoxEntry, FleetHandle, FleetMsg, Reading, Source, Topic};
use crate::metrics::BoxMetrics;
use derive_more::{Display, Error, From};
use serde::de::DeserializeOwned;
use sillpin_platform::KvRevision;
use sillpin_rpc::transport;
use sillpin_telemetry::{event, events};
use slog::Logger;
use std::collections::HashMap;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tarpc::client::{self, RpcError};
use tarpc::context::Context;
use tokio::time::Instant;

/// Longest wait for a connection and for each piece. A piece takes 0.1 s on a link of 10 Mbit/s
/// that another transfer shares. A limit for the whole document would limit its size: boxes with
/// slow links would never get a large configuration.
const PIECE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Slowest rate at which the pieces of a document may arrive once [`RATE_GRACE`] is over, in bytes per second: half of what
/// whole pieces bring that each take [`PIECE_TIMEOUT`].
const MIN_RATE: u64 = 32 << 10;

/// Time for which a document may arrive more slowly.
const RATE_GRACE: Duration = Duration::from_secs(2);

/// Longest document accepted, in bytes: several times the longest value of the platform store.
const MAX_DOCUMENT: u64 = 8 << 20;

/// Wait after a box replied that it is busy. Other boxes get the document and can serve it
/// meanwhile.
const BUSY_PAUSE: Duration = Duration::from_millis(100);

/// Fetches copies of data from other boxes.
#[derive(Clone)]
pub struct PeerClient {
    /// Key of the fleet, which the other box must share.
    pub fleet_key: FleetKey,
    /// Transfers to this box in progress.
    pub transfers: Transfers,
    /// Counts copies.
    pub metrics: BoxMetrics,
    /// Log.
    pub log: Logger,
}

/// Why a copy could not be fetched completely.
#[derive(Debug, Display, Error, From)]
enum CopyError {
    #[display("cannot connect: {_0}")]
    Connect(io::Error),
    #[display("no reply within the time limit")]
    Timeout,
    #[display("{_0}")]
    Call(RpcError),
    #[display("document of {_0} bytes exceeds the limit")]
    #[from(skip)]
    TooLong(#[error(not(source))] u64),
    #[display("only {_0} bytes have arrived in time")]
    #[from(skip)]
    TooSlow(#[error(not(source))] u64),
    #[display("the sender has dropped the transfer")]
    TransferDropped,
    #[display("cannot decode the document: {_0}")]
    Unreadable(bincode::Error),
    #[display("the age of the copy exceeds the uptime of this machine's clock")]
    TooOld,
}

/// How a fetch from another box ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FetchEnd {
    /// A copy arrived, or the box had none, or the call failed.
    Done,
    /// The copy arrived too slowly to be waited for.
    TooSlow,
}

/// A copy being fetched from another box.
struct Fetch<'a> {
    client: &'a PeerClient,
    from: &'a BoxEntry,
    what: &'static str,
    /// The prefix that is copied; `None` for stored parts.
    topic: Option<Topic>,
    began: Instant,
    arrived: u64,
    end: FetchEnd,
}

impl PeerClient {
    /// Fetches what a box has of a prefix beyond `after` and passes it to the fleet task.
    pub async fn fetch_copy(
        &self,
        from: &BoxEntry,
        topic: Topic,
        after: KvRevision,
        fleet: &FleetHandle,
    ) -> FetchEnd {
        let mut fetch = self.begin(from, topic.name(), Some(topic));
        let key = self.fleet_key;
        let call = |client: BoxLinkClient| async move {
            client.copy(call_context(), key, topic, after).await
        };
        let copy: Option<(TopicCopy, Instant)> =
            fetch.fetch(call, |copy: &TopicCopy| copy.age_ms).await;
        let Some((copy, requested_at)) = copy else {
            return fetch.end;
        };
        let msg = FleetMsg::Read {
            topic,
            reading: Reading::Copied(copy.copied),
            requested_at,
            source: Source::Peer(from.id.clone()),
        };
        fleet.send(msg).await;
        FetchEnd::Done
    }

    /// Fetches what a box has of some stores and applies it. One call covers all of them, because
    /// a box that lags lacks changes of dozens of stores.
    pub async fn fetch_stores(
        &self,
        from: &BoxEntry,
        stores: Vec<SocketAddr>,
        cache_stores: &CacheStores,
    ) -> FetchEnd {
        let mut fetch = self.begin(from, "kept parts", None);
        let positions: HashMap<SocketAddr, Option<Position>> = {
            let directory = cache_stores.lock();
            let positions = stores.iter();
            positions
                .map(|store| (*store, directory.position(*store)))
                .collect()
        };
        let requested: Vec<(SocketAddr, Option<Position>)> = positions
            .iter()
            .map(|(store, after)| (*store, *after))
            .collect();
        let key = self.fleet_key;
        let call = |client: BoxLinkClient| async move {
            client.kept(call_context(), key, requested).await
        };
        let copies = fetch.fetch(call, |_: &Vec<StoreCopy>| 0).await;
        let Some((copies, began)) = copies else {
            return fetch.end;
        };
        for copy in copies {
            let after = positions.get(&copy.store).copied().flatten();
            if let Some(requested_at) = began.checked_sub(Duration::from_millis(copy.age_ms)) {
                apply_store_copy(copy, after, requested_at, cache_stores);
            }
        }
        FetchEnd::Done
    }

    fn begin<'a>(
        &'a self,
        from: &'a BoxEntry,
        what: &'static str,
        topic: Option<Topic>,
    ) -> Fetch<'a> {
        Fetch {
            client: self,
            from,
            what,
            topic,
            began: Instant::now(),
            arrived: 0,
            end: FetchEnd::Done,
        }
    }
}

impl Fetch<'_> {
    /// Sends the call, fetches the complete document and logs the result. Returns the document and
    /// when the store was queried for its content.
    async fn fetch<T, F>(
        &mut self,
        call: impl FnOnce(BoxLinkClient) -> F,
        age_ms: impl FnOnce(&T) -> u64,
    ) -> Option<(T, Instant)>
    where
        T: DeserializeOwned,
        F: Future<Output = Result<DocumentReply, RpcError>>,
    {
        let fetched = self.fetch_document(call).await;
        let decoded = fetched.and_then(|document| match document {
            Some(document) => self.decode(&document, age_ms).map(Some),
            None => Ok(None),
        });
        match decoded {
            Ok(Some(copy)) => {
                self.log_success();
                Some(copy)
            }
            Ok(None) => None,
            Err(e) => {
                if matches!(e, CopyError::TooSlow(_)) {
                    self.end = FetchEnd::TooSlow;
                }
                self.log_failure(&e);
                None
            }
        }
    }

    /// Fetches the document in pieces. Returns `None` if the box has none, or is busy.
    async fn fetch_document<F>(
        &mut self,
        call: impl FnOnce(BoxLinkClient) -> F,
    ) -> Result<Option<Vec<u8>>, CopyError>
    where
        F: Future<Output = Result<DocumentReply, RpcError>>,
    {
        let tcp = transport::connect(self.from.peers).await?;
        let client = BoxLinkClient::new(client::Config::default(), tcp).spawn();
        match with_timeout(call(client.clone())).await? {
            DocumentReply::Nothing => Ok(None),
            DocumentReply::Busy => {
                self.client.metrics.copied(self.what, "busy", 0);
                tokio::time::sleep(BUSY_PAUSE).await;
                Ok(None)
            }
            DocumentReply::Complete(document) => {
                self.arrived = document.len() as u64;
                Ok(Some(document))
            }
            DocumentReply::FirstPiece {
                transfer,
                len,
                piece,
            } => self
                .fetch_remaining(&client, transfer, len, piece)
                .await
                .map(Some),
        }
    }

    async fn fetch_remaining(
        &mut self,
        client: &BoxLinkClient,
        transfer: TransferId,
        len: u64,
        mut document: Vec<u8>,
    ) -> Result<Vec<u8>, CopyError> {
        if len > MAX_DOCUMENT {
            return Err(CopyError::TooLong(len));
        }
        let _in_progress = self.topic.map(|topic| self.client.transfers.begin(topic));
        self.arrived = document.len() as u64;
        let began = Instant::now();
        while self.arrived < len {
            if self.arrived < least_arrived(began.elapsed()) {
                return Err(CopyError::TooSlow(self.arrived));
            }
            let piece = with_timeout(client.more(call_context(), transfer, self.arrived)).await?;
            let piece = piece.filter(|piece| !piece.is_empty());
            document.extend(piece.ok_or(CopyError::TransferDropped)?);
            self.arrived = document.len() as u64;
        }
        Ok(document)
    }

    fn decode<T: DeserializeOwned>(
        &self,
        document: &[u8],
        age_ms: impl FnOnce(&T) -> u64,
    ) -> Result<(T, Instant), CopyError> {
        let copy: T = bincode::deserialize(document)?;
        let age = Duration::from_millis(age_ms(&copy));
        let requested_at = self.began.checked_sub(age).ok_or(CopyError::TooOld)?;
        Ok((copy, requested_at))
    }

    fn log_success(&self) {
        self.client.metrics.copied(self.what, "whole", self.arrived);
        event!(self.client.log, events::STATE_COPIED,
            "peer" => self.from.id.as_str(), "what" => self.what,
            "elapsed_ms" => self.began.elapsed().as_millis(), "bytes" => self.arrived);
    }

    fn log_failure(&self, e: &CopyError) {
        let metrics = &self.client.metrics;
        metrics.copied(self.what, "given-up", self.arrived);
        event!(self.client.log, events::PEER_FAILED,
            "peer" => self.from.id.as_str(), "why" => e.to_string(), "what" => self.what,
            "elapsed_ms" => self.began.elapsed().as_millis(), "bytes" => self.arrived);
    }
}

/// Applies what another box has of a store beyond `after`, the position known here when the call
/// was sent.
fn apply_store_copy(
    copy: StoreCopy,
    after: Option<Position>,
    requested_at: Instant,
    cache_stores: &CacheStores,
) {
    let StoreCopy {
        store,
        position: Position { epoch, next },
        content,
        ..
    } = copy;
    let mut directory = cache_stores.lock();
    match content {
        StoreContent::Complete(complete) => {
            let partial = Vec::new();
            let list = StoreListing {
                epoch,
                next,
                complete,
                partial,
            };
            directory.apply_list(store, list, requested_at);
        }
        StoreContent::Changes(changes) => {
            let since = after.map_or(next, |after| after.next);
            // The directory may have moved to a later incarnation of the store since the call was
            // sent.
            if !directory.is_contiguous(store, Position { epoch, next: since }) {
                return;
            }
            let store_changes = StoreChanges {
                epoch,
                next,
                lost: false,
                changes,
                clock: None,
            };
            directory.apply_changes(store, since, store_changes, requested_at, requested_at);
        }
    }
}

/// Returns how many bytes of a document have to have arrived after some time.
fn least_arrived(elapsed: Duration) -> u64 {
    let counted = elapsed.saturating_sub(RATE_GRACE);
    (counted.as_secs_f64() * MIN_RATE as f64) as u64
}

/// Waits for the result of a call, at most [`PIECE_TIMEOUT`].
async fn with_timeout<T>(call: impl Future<Output = Result<T, RpcError>>) -> Result<T, CopyError> {
    let reply = tokio::time::timeout(PIECE_TIMEOUT, call).await;
    Ok(reply.map_err(|_| CopyError::Timeout)??)
}

fn call_context() -> Context {
    transport::within(PIECE_TIMEOUT)
}
