//! Calls between boxes, and how they are answered.

use super::handout::{Handout, Handouts, TransferId};
use super::millis;
use super::wire::FleetKey;
use crate::beliefs::{Copied, FleetHandle, Topic};
use crate::control::{PartChange, PartKey};
use crate::kept::Kept;
use crate::kept::directory::Position;
use serde::{Deserialize, Serialize};
use sillpin_core::Tokens;
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

/// What a box knows of a prefix.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Copy {
    /// What the asking box lacks.
    pub copied: Copied,
    /// Since somebody asked the store and found this, in milliseconds.
    pub age_ms: u64,
}

/// What a box knows of a store of kept KV cache.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct KeptCopy {
    /// The store.
    pub store: SocketAddr,
    /// Where the reading of changes goes on.
    pub position: Position,
    /// What the asking box lacks.
    pub content: KeptContent,
    /// Since the store was asked, in milliseconds.
    pub age_ms: u64,
}

/// What a box that asks for a store lacks.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum KeptContent {
    /// All whole parts.
    Whole(Vec<(PartKey, Tokens)>),
    /// The changes after the position that it has reached.
    Changes(Vec<PartChange>),
}

/// The service that boxes offer to each other.
#[tarpc::service]
pub trait BoxLink {
    /// A [`Copy`] of what the box knows of a prefix beyond a revision; nothing for a box of another fleet.
    async fn copy(fleet: FleetKey, topic: Topic, after: KvRevision) -> Handout;
    /// A [`KeptCopy`] for each of some stores of kept KV cache of what the box knows beyond a position, if the asking box has reached
    /// one; nothing for a box of another fleet.
    async fn kept(fleet: FleetKey, stores: Vec<(SocketAddr, Option<Position>)>) -> Handout;
    /// The piece of a large document that begins at a byte, if it is still handed out.
    async fn more(transfer: TransferId, offset: u64) -> Option<Vec<u8>>;
}

/// What a box answers other boxes from.
#[derive(Clone)]
pub struct Answerer {
    /// The fleet; boxes of others get nothing.
    pub fleet_key: FleetKey,
    /// What it knows of the fleet.
    pub fleet: FleetHandle,
    /// What it knows of kept parts.
    pub kept: Kept,
    /// Log.
    pub log: Logger,
}

impl Answerer {
    fn copy(&self, topic: Topic, after: KvRevision) -> Option<Copy> {
        let view = self.fleet.view();
        let known = view.known(topic);
        let age = known.confirmed?.elapsed();
        let has_more = known.revision > after;
        has_more.then(|| Copy {
            copied: view.copy(topic, after),
            age_ms: millis(age),
        })
    }

    fn kept(&self, store: SocketAddr, after: Option<Position>) -> Option<KeptCopy> {
        let directory = self.kept.lock();
        let age = directory.heard(store)?.elapsed();
        let changes = after.and_then(|after| directory.changes_after(store, after));
        let content = match changes {
            Some(changes) => KeptContent::Changes(changes),
            None => KeptContent::Whole(directory.complete(store)),
        };
        Some(KeptCopy {
            store,
            position: directory.position(store)?,
            content,
            age_ms: millis(age),
        })
    }

    /// Hands out a document, if there is one.
    fn hand_out<T: Serialize>(&self, handouts: &Handouts, document: Option<T>) -> Handout {
        let Some(document) = document else {
            return Handout::Nothing;
        };
        match bincode::serialize(&document) {
            Ok(bytes) => handouts.offer(bytes, Instant::now()),
            Err(e) => {
                event!(self.log, events::GOSSIP_FAILED, "why" => e.to_string());
                Handout::Nothing
            }
        }
    }
}

/// One connection's view of what a box answers from. What operators publish does not wait for kept parts, nor the other way
/// round: each kind has its own places.
#[derive(Clone)]
struct Server {
    answerer: Answerer,
    published: Handouts,
    kept: Handouts,
}

impl BoxLink for Server {
    async fn copy(self, _: Context, fleet: FleetKey, topic: Topic, after: KvRevision) -> Handout {
        if fleet != self.answerer.fleet_key {
            return Handout::Nothing;
        }
        let document = self.answerer.copy(topic, after);
        self.answerer.hand_out(&self.published, document)
    }

    async fn kept(
        self,
        _: Context,
        fleet: FleetKey,
        stores: Vec<(SocketAddr, Option<Position>)>,
    ) -> Handout {
        if fleet != self.answerer.fleet_key {
            return Handout::Nothing;
        }
        let copies = stores.into_iter();
        let copies = copies.filter_map(|(store, after)| self.answerer.kept(store, after));
        let copies: Vec<KeptCopy> = copies.collect();
        let document = (!copies.is_empty()).then_some(copies);
        self.answerer.hand_out(&self.kept, document)
    }

    async fn more(self, _: Context, transfer: TransferId, offset: u64) -> Option<Vec<u8>> {
        let now = Instant::now();
        let published = self.published.draw(transfer, offset, now);
        published.or_else(|| self.kept.draw(transfer, offset, now))
    }
}

/// Answers other boxes' calls until `stop`.
pub async fn serve(listener: TcpListener, answerer: Answerer, stop: CancellationToken) {
    let server = Server {
        answerer,
        published: Handouts::default(),
        kept: Handouts::default(),
    };
    transport::serve(listener, stop, |tcp| {
        let requests = BaseChannel::with_defaults(tcp).execute(server.clone().serve());
        transport::answer(requests)
    })
    .await;
}
