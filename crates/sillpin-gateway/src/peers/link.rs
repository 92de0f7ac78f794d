//! Calls between boxes.

use crate::beliefs::{BoxEntry, FleetHandle, FleetMsg, Reading, Source, Topic};
use crate::control::{KeptKey, KeptList};
use crate::kept::Kept;
use crate::kept::directory::Position;
use crate::metrics::BoxMetrics;
use serde::{Deserialize, Serialize};
use sillpin_core::Tokens;
use sillpin_platform::{KvEntry, KvRevision, Snapshot};
use sillpin_rpc::transport;
use sillpin_telemetry::{event, events};
use slog::Logger;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tarpc::client::{self, RpcError};
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio::net::TcpListener;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Longest wait for another box's copy.
const COPY_TIMEOUT: Duration = Duration::from_millis(600);

/// What a box knows of a prefix.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Copy {
    /// All entries.
    pub entries: Vec<KvEntry>,
    /// Revision up to which nothing is missing.
    pub revision: KvRevision,
    /// Since somebody asked the store and found this, in milliseconds.
    pub age_ms: u64,
}

/// What a box knows of a store of kept KV cache.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct KeptCopy {
    /// Where the reading of changes goes on.
    pub position: Position,
    /// Whole parts.
    pub whole: Vec<(KeptKey, Tokens)>,
    /// Since the store was asked, in milliseconds.
    pub age_ms: u64,
}

/// The service that boxes offer to each other.
#[tarpc::service]
pub trait BoxLink {
    /// What the box knows of a prefix, if anything.
    async fn copy(topic: Topic) -> Option<Copy>;
    /// What the box knows of a store of kept KV cache, if anything.
    async fn kept(store: SocketAddr) -> Option<KeptCopy>;
}

#[derive(Clone)]
struct Answerer {
    fleet: FleetHandle,
    kept: Kept,
}

impl BoxLink for Answerer {
    async fn copy(self, _: Context, topic: Topic) -> Option<Copy> {
        let view = self.fleet.view();
        let age = view.known(topic).confirmed?.elapsed();
        let Snapshot { entries, revision } = view.copy(topic);
        Some(Copy {
            entries,
            revision,
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        })
    }

    async fn kept(self, _: Context, store: SocketAddr) -> Option<KeptCopy> {
        let directory = self.kept.lock();
        let age = directory.heard(store)?.elapsed();
        Some(KeptCopy {
            position: directory.position(store)?,
            whole: directory.whole(store),
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        })
    }
}

/// Answers other boxes' calls until `stop`.
pub async fn serve(listener: TcpListener, fleet: FleetHandle, kept: Kept, stop: CancellationToken) {
    transport::serve(listener, stop, |tcp| {
        let answerer = Answerer {
            fleet: fleet.clone(),
            kept: kept.clone(),
        };
        let requests = BaseChannel::with_defaults(tcp).execute(answerer.serve());
        transport::answer(requests)
    })
    .await;
}

/// Asks other boxes for what they know.
#[derive(Clone)]
pub struct Asker {
    /// Counts copies.
    pub metrics: BoxMetrics,
    /// Log.
    pub log: Logger,
}

/// A copy that is being asked of a box.
struct Copying<'a> {
    asker: &'a Asker,
    from: &'a BoxEntry,
    what: &'static str,
    began: Instant,
    received: Arc<AtomicU64>,
}

impl Asker {
    /// Asks a box for its copy of a prefix and hands it to the fleet task.
    pub async fn ask_copy(&self, from: &BoxEntry, topic: Topic, fleet: &FleetHandle) {
        let copying = self.begin(from, topic.name());
        let call = |client: BoxLinkClient| async move { client.copy(within(), topic).await };
        let Some(copy) = copying.ask(call).await else {
            return;
        };
        let Some(asked) = copying.asked_at(copy.age_ms) else {
            return;
        };
        let reading = Reading::Whole(Snapshot {
            entries: copy.entries,
            revision: copy.revision,
        });
        let source = Source::Peer(from.id.clone());
        let msg = FleetMsg::Read {
            topic,
            reading,
            asked,
            source,
        };
        fleet.tell(msg).await;
    }

    /// Asks a box for what it knows of a store and takes it over.
    pub async fn ask_kept(&self, from: &BoxEntry, store: SocketAddr, kept: &Kept) {
        let copying = self.begin(from, "kept parts");
        let call = |client: BoxLinkClient| async move { client.kept(within(), store).await };
        let Some(copy) = copying.ask(call).await else {
            return;
        };
        let Some(asked) = copying.asked_at(copy.age_ms) else {
            return;
        };
        let list = KeptList {
            epoch: copy.position.epoch,
            next: copy.position.next,
            whole: copy.whole,
            partial: Vec::new(),
        };
        kept.lock().take_list(store, list, asked);
    }

    fn begin<'a>(&'a self, from: &'a BoxEntry, what: &'static str) -> Copying<'a> {
        Copying {
            asker: self,
            from,
            what,
            began: Instant::now(),
            received: Arc::default(),
        }
    }
}

impl Copying<'_> {
    /// Connects, calls and says how it went; `None` unless the box knows something.
    async fn ask<T, F>(&self, call: impl FnOnce(BoxLinkClient) -> F) -> Option<T>
    where
        F: Future<Output = Result<Option<T>, RpcError>>,
    {
        let work = async {
            let client = self.connect().await?;
            call(client).await.map_err(|e| e.to_string())
        };
        match tokio::time::timeout(COPY_TIMEOUT, work).await {
            Ok(Ok(Some(copy))) => {
                self.copied();
                Some(copy)
            }
            Ok(Ok(None)) => None,
            Ok(Err(why)) => self.failed(&why),
            Err(_) => self.failed("no answer in time"),
        }
    }

    async fn connect(&self) -> Result<BoxLinkClient, String> {
        let tcp = transport::connect_counted(self.from.peers, self.received.clone()).await;
        let tcp = tcp.map_err(|e| e.to_string())?;
        Ok(BoxLinkClient::new(client::Config::default(), tcp).spawn())
    }

    /// When the store was asked that a copy tells of.
    fn asked_at(&self, age_ms: u64) -> Option<Instant> {
        let asked = self.began.checked_sub(Duration::from_millis(age_ms));
        asked.or_else(|| self.failed("copy is older than this box's clock"))
    }

    fn copied(&self) {
        let received = self.received.load(Ordering::Relaxed);
        self.asker.metrics.copied(self.what, "whole", received);
        event!(self.asker.log, events::COPIED,
            "peer" => self.from.id.as_str(), "what" => self.what,
            "elapsed_ms" => self.began.elapsed().as_millis(), "bytes" => received);
    }

    fn failed<T>(&self, why: &str) -> Option<T> {
        let received = self.received.load(Ordering::Relaxed);
        self.asker.metrics.copied(self.what, "given-up", received);
        event!(self.asker.log, events::PEER_FAILED,
            "peer" => self.from.id.as_str(), "why" => why, "what" => self.what,
            "elapsed_ms" => self.began.elapsed().as_millis(), "bytes" => received);
        None
    }
}

fn within() -> Context {
    transport::within(COPY_TIMEOUT)
}
