//! Calls between boxes.

use crate::beliefs::{BoxEntry, FleetHandle, FleetMsg, Reading, Source, Topic};
use serde::{Deserialize, Serialize};
use sillpin_platform::{KvEntry, KvRevision, Snapshot};
use sillpin_rpc::transport;
use sillpin_telemetry::{event, events};
use slog::Logger;
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

/// The service that boxes offer to each other.
#[tarpc::service]
pub trait BoxLink {
    /// What the box knows of a prefix, if anything.
    async fn copy(topic: Topic) -> Option<Copy>;
}

#[derive(Clone)]
struct Answerer {
    fleet: FleetHandle,
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
}

/// Answers other boxes' calls until `stop`.
pub async fn serve(listener: TcpListener, fleet: FleetHandle, stop: CancellationToken) {
    transport::serve(listener, stop, |tcp| {
        let answerer = Answerer {
            fleet: fleet.clone(),
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

async fn call_copy(from: &BoxEntry, topic: Topic) -> Result<Option<Copy>, String> {
    let tcp = transport::connect(from.peers)
        .await
        .map_err(|e| e.to_string())?;
    let client = BoxLinkClient::new(client::Config::default(), tcp).spawn();
    let reply = client.copy(transport::within(COPY_TIMEOUT), topic).await;
    reply.map_err(|e| e.to_string())
}

fn failed(log: &Logger, from: &BoxEntry, why: &str) {
    event!(log, events::PEER_FAILED, "peer" => from.id.as_str(), "why" => why);
}
