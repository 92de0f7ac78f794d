//! Calls between boxes.

use crate::beliefs::{BoxEntry, FleetHandle, FleetMsg, Reading, Source, Topic};
use crate::control::{KeptKey, KeptList};
use crate::kept::Kept;
use crate::kept::directory::Position;
use serde::{Deserialize, Serialize};
use sillpin_core::Tokens;
use sillpin_platform::{KvEntry, KvRevision, Snapshot};
use sillpin_rpc::transport;
use sillpin_telemetry::{event, events};
use slog::Logger;
use std::net::SocketAddr;
use std::time::Duration;
use tarpc::client;
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

/// Asks a box for its copy of a prefix and hands it to the fleet task.
pub async fn ask_copy(from: &BoxEntry, topic: Topic, fleet: &FleetHandle, log: &Logger) {
    let asked = Instant::now();
    let reply = tokio::time::timeout(COPY_TIMEOUT, call_copy(from, topic)).await;
    let copy = match reply {
        Ok(Ok(Some(copy))) => copy,
        Ok(Ok(None)) => return,
        Ok(Err(why)) => return failed(log, from, &why),
        Err(_) => return failed(log, from, "no answer in time"),
    };
    let asked = asked.checked_sub(Duration::from_millis(copy.age_ms));
    let Some(asked) = asked else {
        return failed(log, from, "copy is older than this box's clock");
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
pub async fn ask_kept(from: &BoxEntry, store: SocketAddr, kept: &Kept, log: &Logger) {
    let asked = Instant::now();
    let reply = tokio::time::timeout(COPY_TIMEOUT, call_kept(from, store)).await;
    let copy = match reply {
        Ok(Ok(Some(copy))) => copy,
        Ok(Ok(None)) => return,
        Ok(Err(why)) => return failed(log, from, &why),
        Err(_) => return failed(log, from, "no answer in time"),
    };
    let Some(asked) = asked.checked_sub(Duration::from_millis(copy.age_ms)) else {
        return failed(log, from, "copy is older than this box's clock");
    };
    let list = KeptList {
        epoch: copy.position.epoch,
        next: copy.position.next,
        whole: copy.whole,
        partial: Vec::new(),
    };
    kept.lock().take_list(store, list, asked);
}

async fn call_kept(from: &BoxEntry, store: SocketAddr) -> Result<Option<KeptCopy>, String> {
    let client = connect(from).await?;
    let reply = client.kept(transport::within(COPY_TIMEOUT), store).await;
    reply.map_err(|e| e.to_string())
}

async fn connect(to: &BoxEntry) -> Result<BoxLinkClient, String> {
    let tcp = transport::connect(to.peers).await;
    let tcp = tcp.map_err(|e| e.to_string())?;
    Ok(BoxLinkClient::new(client::Config::default(), tcp).spawn())
}

async fn call_copy(from: &BoxEntry, topic: Topic) -> Result<Option<Copy>, String> {
    let client = connect(from).await?;
    let reply = client.copy(transport::within(COPY_TIMEOUT), topic).await;
    reply.map_err(|e| e.to_string())
}

fn failed(log: &Logger, from: &BoxEntry, why: &str) {
    event!(log, events::PEER_FAILED, "peer" => from.id.as_str(), "why" => why);
}
