//! Remote procedure calls between boxes, and their server.

use super::documents::{DocumentReply, DocumentTransfers, TransferId};
use super::millis;
use super::wire::FleetKey;
use crate::cache_stores::CacheStores;
use crate::cache_stores::directory::Position;
use crate::control::{PartChange, PartKey};
use crate::fleet_state::{Copied, FleetHandle, Topic};
use serde::{Deserialize, Serialize};
use sillpin_core::Tokens;
use sillpin_core::bounds;
use sillpin_platform::KvRevision;
use sillpin_rpc::transport;
use sillpin_telemetry::{event, events};
use slog::Logger;
use std::net::SocketAddr;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio::net::TcpListener;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Content of a prefix that the requesting box lacks.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TopicCopy {
    /// What the requesting box lacks.
    pub copied: Copied,
    /// Milliseconds since some box queried the store and found this content.
    #[serde(deserialize_with = "bounds::de::millis")]
    pub age_ms: u64,
}

/// Changes or content of a cache store that the requesting box lacks.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StoreCopy {
    /// Address of the store.
    pub store: SocketAddr,
    /// Position from which its changes are to be read.
    pub position: Position,
    /// What the requesting box lacks.
    pub content: StoreContent,
    /// Milliseconds since the store was queried.
    #[serde(deserialize_with = "bounds::de::millis")]
    pub age_ms: u64,
}

/// What the requesting box lacks of a store.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum StoreContent {
    /// All complete parts.
    Complete(Vec<(PartKey, Tokens)>),
    /// The changes after the position that the requesting box has reached.
    Changes(Vec<PartChange>),
}

/// The service that boxes offer each other.
#[tarpc::service]
pub trait BoxLink {
    /// Returns a [`TopicCopy`] of what the box has of a prefix beyond a revision; nothing for a
    /// box of another fleet.
    async fn copy(fleet: FleetKey, topic: Topic, after: KvRevision) -> DocumentReply;
    /// Returns a [`StoreCopy`] for each of the given cache stores, with what the box has beyond
    /// the given position, or all of it without a position; nothing for a box of another fleet.
    async fn kept(fleet: FleetKey, stores: Vec<(SocketAddr, Option<Position>)>) -> DocumentReply;
    /// Returns the piece of a large document that begins at a byte, or `None` if the transfer has
    /// ended.
    async fn more(transfer: TransferId, offset: u64) -> Option<Vec<u8>>;
}

/// Serves copies of this box's data.
#[derive(Clone)]
pub struct PeerServer {
    /// Key of the fleet; boxes of other fleets get nothing.
    pub fleet_key: FleetKey,
    /// This box's state of the fleet.
    pub fleet: FleetHandle,
    /// Directory of stored parts.
    pub cache_stores: CacheStores,
    /// Log.
    pub log: Logger,
}

impl PeerServer {
    fn topic_copy(&self, topic: Topic, after: KvRevision) -> Option<TopicCopy> {
        let view = self.fleet.view();
        let known = view.known(topic);
        let age = known.confirmed?.elapsed();
        let has_more = known.revision > after;
        has_more.then(|| TopicCopy {
            copied: view.copy(topic, after),
            age_ms: millis(age),
        })
    }

    fn store_copy(&self, store: SocketAddr, after: Option<Position>) -> Option<StoreCopy> {
        let directory = self.cache_stores.lock();
        let age = directory.last_confirmed(store)?.elapsed();
        let changes = after.and_then(|after| directory.changes_after(store, after));
        let content = match changes {
            Some(changes) => StoreContent::Changes(changes),
            None => StoreContent::Complete(directory.complete_parts(store)),
        };
        Some(StoreCopy {
            store,
            position: directory.position(store)?,
            content,
            age_ms: millis(age),
        })
    }

    /// Encodes a document, if there is one, and starts its transfer.
    fn start_transfer<T: Serialize>(
        &self,
        transfers: &DocumentTransfers,
        document: Option<T>,
    ) -> DocumentReply {
        let Some(document) = document else {
            return DocumentReply::Nothing;
        };
        match bincode::serialize(&document) {
            Ok(bytes) => transfers.start(bytes, Instant::now()),
            Err(e) => {
                event!(self.log, events::GOSSIP_FAILED, "why" => e.to_string());
                DocumentReply::Nothing
            }
        }
    }
}

/// The server of one connection. Published data and stored parts have separate limits on transfers,
/// so that neither waits for the other.
#[derive(Clone)]
struct Connection {
    server: PeerServer,
    published: DocumentTransfers,
    stored_parts: DocumentTransfers,
}

impl BoxLink for Connection {
    async fn copy(
        self,
        _: Context,
        fleet: FleetKey,
        topic: Topic,
        after: KvRevision,
    ) -> DocumentReply {
        if fleet != self.server.fleet_key {
            return DocumentReply::Nothing;
        }
        let document = self.server.topic_copy(topic, after);
        self.server.start_transfer(&self.published, document)
    }

    async fn kept(
        self,
        _: Context,
        fleet: FleetKey,
        stores: Vec<(SocketAddr, Option<Position>)>,
    ) -> DocumentReply {
        if fleet != self.server.fleet_key {
            return DocumentReply::Nothing;
        }
        let copies = stores.into_iter();
        let copies = copies.filter_map(|(store, after)| self.server.store_copy(store, after));
        let copies: Vec<StoreCopy> = copies.collect();
        let document = (!copies.is_empty()).then_some(copies);
        self.server.start_transfer(&self.stored_parts, document)
    }

    async fn more(self, _: Context, transfer: TransferId, offset: u64) -> Option<Vec<u8>> {
        let now = Instant::now();
        let published = self.published.piece_at(transfer, offset, now);
        published.or_else(|| self.stored_parts.piece_at(transfer, offset, now))
    }
}

/// Serves other boxes' calls until `stop` is cancelled.
pub async fn serve(listener: TcpListener, server: PeerServer, stop: CancellationToken) {
    let connection = Connection {
        server,
        published: DocumentTransfers::default(),
        stored_parts: DocumentTransfers::default(),
    };
    transport::serve(listener, stop, |tcp| {
        let requests = BaseChannel::with_defaults(tcp).execute(connection.clone().serve());
        transport::answer(requests)
    })
    .await;
}
