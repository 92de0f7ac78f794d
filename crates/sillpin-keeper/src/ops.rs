//! Starts the keeper's tasks and runs them until the stop signal.

use crate::api::entry::EntryApi;
use crate::api::http::KeeperHttp;
use crate::api::peer::PeerApi;
use crate::claims::Journal;
use crate::exports::{self, Exports};
use crate::fleet::{self, FleetMsg, Identity};
use crate::peers::Peers;
use crate::platform::Reader;
use crate::readers::Readers;
use crate::settings::KeeperConfig;
use crate::weights::Weights;
use crate::{directory, gossip, records, router};
use sillpin_core::Incarnation;
use sillpin_http::server::{BindError, listen};
use sillpin_http::{Client, Server};
use sillpin_platform::HttpPlatform;
use sillpin_rpc::entry_link::EntryLink;
use sillpin_rpc::peer_link::PeerLink;
use sillpin_rpc::transport;
use sillpin_telemetry::{Telemetry, event, events};
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tarpc::server::{BaseChannel, Channel};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

/// How long a stopping keeper keeps running, so that peers receive its heartbeat marked as leaving.
const LEAVE_NOTICE_TIME: Duration = Duration::from_millis(1_500);

/// Addresses on which a keeper listens.
#[derive(Debug, Clone, Copy)]
pub struct Listening {
    /// For the entry.
    pub entry: SocketAddr,
    /// For peers and operators.
    pub peer: SocketAddr,
    /// For health and metrics.
    pub http: SocketAddr,
}

struct Listeners {
    entry: TcpListener,
    peer: TcpListener,
    http: TcpListener,
    at: Listening,
}

async fn listen_all(cfg: &KeeperConfig) -> Result<Listeners, BindError> {
    let (entry, entry_at) = listen(cfg.entry_listen).await?;
    let (peer, peer_at) = listen(cfg.peer_listen).await?;
    let (http, http_at) = listen(cfg.http_listen).await?;
    let at = Listening {
        entry: entry_at,
        peer: peer_at,
        http: http_at,
    };
    Ok(Listeners {
        entry,
        peer,
        http,
        at,
    })
}

/// Runs a keeper until `stop`; `ready` is called with its addresses.
pub async fn run(
    cfg: KeeperConfig,
    telemetry: Telemetry,
    stop: CancellationToken,
    ready: impl FnOnce(Listening),
) -> Result<(), BindError> {
    let listeners = listen_all(&cfg).await?;
    let at = listeners.at;
    let identity = Identity {
        box_id: cfg.box_id.clone(),
        zone: cfg.zone.clone(),
        peer_addr: at.peer,
        incarnation: incarnation(),
        dead_after: cfg.dead_after,
        signers: cfg.signers.clone(),
    };
    let end = CancellationToken::new();
    let log = telemetry.log.clone();
    let traces = telemetry.traces.clone();
    let fleet = start_tasks(cfg, identity, listeners, telemetry, &end);
    event!(log, events::KEEPER_STARTED, "peer" => %at.peer, "entry" => %at.entry);
    ready(at);
    stop.cancelled().await;
    fleet.send(FleetMsg::Leave).await;
    tokio::time::sleep(LEAVE_NOTICE_TIME).await;
    end.cancel();
    traces.shutdown();
    event!(log, events::KEEPER_STOPPED);
    Ok(())
}

fn incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    Incarnation(since.map_or(0, |since| since.as_millis() as u64))
}

fn start_tasks(
    cfg: KeeperConfig,
    identity: Identity,
    listeners: Listeners,
    telemetry: Telemetry,
    end: &CancellationToken,
) -> fleet::FleetHandle {
    let Telemetry {
        log,
        metrics,
        traces,
    } = telemetry;
    let client = Client::default();
    let platform = HttpPlatform::new(client.clone(), cfg.platform);
    let peers = Peers::default();
    let me = cfg.box_id.clone();
    let (fleet, published) = fleet::start(identity, log.clone());
    let (jobs_tx, jobs) = mpsc::channel(exports::QUEUE_LEN);
    let directory = directory::start(me.clone(), published.clone(), jobs_tx);
    let router = router::start(
        me.clone(),
        published.clone(),
        peers.clone(),
        directory.clone(),
    );
    let records = records::start();

    Reader {
        platform: platform.clone(),
        cfg: cfg.clone(),
        fleet: fleet.clone(),
        published: published.clone(),
        log: log.clone(),
        stop: end.clone(),
    }
    .start();
    let gossip = gossip::run(
        cfg.clone(),
        fleet.clone(),
        published.clone(),
        peers.clone(),
        end.clone(),
    );
    tokio::spawn(gossip);
    let readers = Readers {
        cfg: cfg.clone(),
        fleet: fleet.clone(),
        published: published.clone(),
        router: router.clone(),
        client: client.clone(),
        log: log.clone(),
    };
    tokio::spawn(readers.run(end.clone()));
    let exports = Exports {
        published: published.clone(),
        directory: directory.clone(),
        router: router.clone(),
        fleet: fleet.clone(),
        client: client.clone(),
        traces,
        log: log.clone(),
    };
    tokio::spawn(exports.run(jobs, end.clone()));
    let weights = Weights {
        platform: platform.clone(),
        cfg: cfg.clone(),
        fleet: fleet.clone(),
        published: published.clone(),
        client,
        log: log.clone(),
    };
    tokio::spawn(weights.run(end.clone()));

    let peer_api = PeerApi {
        fleet: fleet.clone(),
        directory: directory.clone(),
        records: records.clone(),
        me: (me.clone(), cfg.zone),
    };
    tokio::spawn(transport::serve(
        listeners.peer,
        end.clone(),
        move |transport| {
            let requests = BaseChannel::with_defaults(transport).execute(peer_api.clone().serve());
            transport::answer(requests)
        },
    ));
    let entry_api = EntryApi {
        me: me.clone(),
        fleet: fleet.clone(),
        published: published.clone(),
        directory: directory.clone(),
        router,
        peers,
        journal: Journal::new(platform, me, log.clone()),
        records,
    };
    tokio::spawn(transport::serve(
        listeners.entry,
        end.clone(),
        move |transport| {
            let requests = BaseChannel::with_defaults(transport).execute(entry_api.clone().serve());
            transport::answer(requests)
        },
    ));
    let http = KeeperHttp::new(published, directory, metrics);
    tokio::spawn(Server::on(listeners.http).run(end.clone(), move |req| http.clone().handle(req)));
    fleet
}
