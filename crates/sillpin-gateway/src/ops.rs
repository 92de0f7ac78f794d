//! Assembles a box: opens its listeners, starts its tasks, and stops it.

use crate::cache_stores::reader::Readers;
use crate::cache_stores::{self, CacheStores};
use crate::config::CallerLimits;
use crate::control::{Control, PublishedFormat};
use crate::dialect::Dialect;
use crate::fatal::FatalRequests;
use crate::fatal::persist::CrashRecordSync;
use crate::fleet_state::fleet::Fleet;
use crate::fleet_state::reader::{Reader, long_poll_wait};
use crate::fleet_state::transfers::Transfers;
use crate::fleet_state::{self, BoxEntry, FleetHandle, Topic};
use crate::forward::head::MAX_FORWARD_LEN;
use crate::front::shared::FleetHandles;
use crate::front::{Front, Shared};
use crate::metrics::{
    BoxMetrics, observe_fleet, observe_reach, observe_signals, observe_silence, observe_speeds,
    observe_stream_engines,
};
use crate::peers::datagram::{BoxHash, ZoneUpdate};
use crate::peers::hub::Hub;
use crate::peers::link::{self, PeerServer};
use crate::peers::registry::Registry;
use crate::peers::roster::RosterCache;
use crate::peers::sender::GossipSender;
use crate::peers::wire::FleetKey;
use crate::peers::zone_sender::ZoneGossip;
use crate::placement::Loads;
use crate::placement::silence_watch::SilenceWatch;
use crate::releases::ReleaseTracker;
use crate::releases::supervisor::ReleaseSupervisor;
use crate::reload::Settings;
use crate::settings::BoxConfig;
use crate::suspend_clock::SuspendClock;
use crate::weights::election::Election;
use crate::weights::rollout::{DISCOVERY_TIMEOUT, Rollout};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response};
use sillpin_core::BoxId;
use sillpin_http::server::{BindError, HeadLimits, listen};
use sillpin_http::{Body, Server};
use sillpin_platform::Platform;
use sillpin_platform::call::{CallCount, CallCounts, CallTotals};
use sillpin_telemetry::metrics::Metrics;
use sillpin_telemetry::{Telemetry, event, events};
use slog::Logger;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc;
use tokio::time::{Instant, MissedTickBehavior};
use tokio_util::sync::CancellationToken;

/// How long a stopping box still accepts connections. The balancer checks each second and removes a box after two
/// failed checks.
const BALANCER_LAG: Duration = Duration::from_millis(2_600);

/// Requests in flight are aborted this long before the SIGKILL.
const KILL_MARGIN: Duration = Duration::from_millis(300);

/// Interval at which connections that have been idle for too long are closed.
const PRUNE_INTERVAL: Duration = Duration::from_secs(1);

/// Interval of the log lines about calls of the platform store and about traffic between boxes.
const TRAFFIC_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Capacity of the queue of updates for other boxes. The leader orders a quarter of all engines together, and updates
/// that do not fit are lost: boxes then go on sending to engines that are loading.
const UPDATE_QUEUE: usize = 1_024;

/// Media type of the metrics page.
const METRICS_MEDIA_TYPE: &str = "text/plain; version=0.0.4";

/// Implementations that the platform's adapter supplies.
pub struct Adapter<D, K, P, C> {
    /// Format of HTTP heads.
    pub dialect: D,
    /// Keys and encoding of published values.
    pub keys: K,
    /// Client of the platform store.
    pub platform: P,
    /// Counts of calls of the platform store.
    pub counts: CallCounts,
    /// Client of engines and cache stores.
    pub control: C,
}

/// Addresses on which a box listens.
#[derive(Debug, Clone, Copy)]
pub struct ListenAddrs {
    /// For callers.
    pub callers: SocketAddr,
    /// For the balancer's checks.
    pub ready: SocketAddr,
    /// For calls of other boxes.
    pub peers: SocketAddr,
    /// For datagrams of other boxes, and by TCP for requests that they send on.
    pub gossip: SocketAddr,
}

struct Listeners {
    callers: TcpListener,
    ready: TcpListener,
    peers: TcpListener,
    gossip: UdpSocket,
    forwarded: TcpListener,
    metrics: Option<TcpListener>,
    addrs: ListenAddrs,
}

async fn listen_all(cfg: &BoxConfig) -> Result<Listeners, BindError> {
    let metrics = match cfg.metrics {
        Some(addr) => Some(listen(addr).await?.0),
        None => None,
    };
    let (callers, callers_at) = listen(cfg.callers).await?;
    let (ready, ready_at) = listen(cfg.ready).await?;
    let (peers, peers_at) = listen(cfg.peers).await?;
    let gossip_addr = SocketAddr::new(cfg.ip, cfg.gossip_port);
    let (forwarded, gossip, gossip_at) = listen_for_boxes(gossip_addr).await?;
    Ok(Listeners {
        callers,
        ready,
        peers,
        gossip,
        forwarded,
        metrics,
        addrs: ListenAddrs {
            callers: callers_at,
            ready: ready_at,
            peers: peers_at,
            gossip: gossip_at,
        },
    })
}

/// Number of attempts to find a port that is free for both TCP and UDP.
const PORT_ATTEMPTS: usize = 16;

/// Listens at one port for requests and datagrams of other boxes. If any port will do, the kernel chooses one, which
/// may be in use for datagrams.
async fn listen_for_boxes(
    addr: SocketAddr,
) -> Result<(TcpListener, UdpSocket, SocketAddr), BindError> {
    let mut attempts = match addr.port() {
        0 => PORT_ATTEMPTS,
        _ => 1,
    };
    loop {
        let (forwarded, at) = listen(addr).await?;
        attempts -= 1;
        match UdpSocket::bind(at).await {
            Ok(gossip) => return Ok((forwarded, gossip, at)),
            Err(cause) if attempts == 0 => return Err(BindError { addr: at, cause }),
            Err(_) => {}
        }
    }
}

/// Runs a box until `stopping` is cancelled and its last request has ended. `started` is called with the addresses
/// once the listeners are open.
pub async fn run<D, K, P, C>(
    settings: Settings,
    telemetry: Telemetry,
    adapter: Adapter<D, K, P, C>,
    stopping: CancellationToken,
    started: impl FnOnce(ListenAddrs),
) -> Result<(), BindError>
where
    D: Dialect,
    K: PublishedFormat,
    P: Platform,
    C: Control,
{
    let cfg = settings.borrow().clone();
    let listeners = listen_all(&cfg).await?;
    let addrs = listeners.addrs;
    started(addrs);
    let Telemetry { log, metrics, .. } = telemetry;
    event!(log, events::BOX_STARTED, "callers" => addrs.callers.to_string(),
        "platform" => cfg.platform.to_string(), "seeds" => cfg.seeds.len());
    let (fleet, port) = fleet_state::channel();
    observe_fleet(&metrics.meter(), fleet.clone());
    let suspend_clock = SuspendClock::default();
    let task = Fleet::new(cfg.id.clone(), adapter.keys.clone(), log.clone());
    let task = task.with_suspend_clock(suspend_clock.clone());
    tokio::spawn(task.run(port));
    let me = BoxEntry {
        id: cfg.id.clone(),
        zone: cfg.zone.clone(),
        peers: listeners.addrs.peers,
        gossip: listeners.addrs.gossip,
        link_mbps: cfg.link_mbps,
    };
    let transfers = Transfers::default();
    let (zone_updates_tx, zone_updates) = mpsc::channel(UPDATE_QUEUE);
    let loads = Loads::default();
    observe_signals(&metrics.meter(), loads.clone());
    observe_stream_engines(&metrics.meter(), loads.clone());
    observe_speeds(&metrics.meter(), loads.clone());
    observe_silence(&metrics.meter(), loads.clone());
    observe_reach(&metrics.meter(), loads.clone());
    start_readers(&adapter.keys, |topic, prefix| Reader {
        platform: adapter.platform.clone(),
        topic,
        prefix,
        me: me.clone(),
        fleet: fleet.clone(),
        transfers: transfers.clone(),
        long_poll: long_poll_wait(cfg.history),
        loads: loads.clone(),
        updates: zone_updates_tx.clone(),
        log: log.clone(),
    });
    let handles = FleetHandles {
        fleet: fleet.clone(),
        loads,
        cache_stores: CacheStores::default(),
        fatal: FatalRequests::new(log.clone()),
        suspend_clock,
        releases: ReleaseTracker::new(cfg.canary_share),
    };
    let shared = Arc::new(Shared::new(
        adapter.dialect.clone(),
        settings.clone(),
        handles,
        BoxMetrics::new(&metrics.meter(), adapter.counts.clone()),
        log.clone(),
        stopping.clone(),
    ));
    tokio::spawn(cache_stores::reader::run(Readers {
        control: adapter.control.clone(),
        me: me.clone(),
        cache_stores: shared.cache_stores.clone(),
        loads: shared.loads.clone(),
        fleet: fleet.clone(),
        updates: zone_updates_tx,
        log: log.clone(),
    }));
    let peers = Peers {
        listener: listeners.peers,
        socket: listeners.gossip,
        zone_updates,
        transfers,
        me,
    };
    start_peers(peers, settings, &adapter, &shared);
    if cfg.scheduling.silent_engines {
        let watch = SilenceWatch {
            me: cfg.id.clone(),
            zone: cfg.zone.clone(),
            engines: shared.silent_engines.clone(),
            control: adapter.control.clone(),
            fleet: fleet.clone(),
            suspend_clock: shared.suspend_clock.clone(),
        };
        tokio::spawn(watch.run());
    }
    tokio::spawn(shared.path_waits.clone().run(shared.prober.clone()));
    tokio::spawn(prune(shared.clone()));
    let end = CancellationToken::new();
    let shared_log = shared.log.clone();
    let shared_metrics = shared.metrics.clone();
    let front = Front::new(shared);
    let ready = front.clone();
    let answer_ready = move |req| ready.clone().ready(req);
    tokio::spawn(Server::on(listeners.ready).run(end.clone(), answer_ready));
    if let Some(listener) = listeners.metrics {
        serve_metrics(listener, metrics, &end);
    }
    tokio::spawn(log_traffic(
        adapter.counts.clone(),
        shared_metrics,
        shared_log,
    ));
    let limits_of = fleet.clone();
    let limits = move || head_limits(&limits_of);
    let for_boxes = front.clone();
    let closed = CancellationToken::new();
    let callers = Server::on(listeners.callers)
        .http1_only()
        .limits_from(limits.clone())
        .run(closed.clone(), move |req| front.clone().serve(req));
    let forwarded = Server::on(listeners.forwarded)
        .http1_only()
        .limits_from(move || {
            let limits = limits();
            let max_len = limits.max_len + MAX_FORWARD_LEN;
            HeadLimits { max_len, ..limits }
        })
        .run(closed.clone(), move |req| {
            for_boxes.clone().serve_forwarded(req)
        });
    let serving = tokio::spawn(async move {
        tokio::join!(callers, forwarded);
    });
    stopping.cancelled().await;
    stop(&cfg, &log, closed, serving).await;
    end.cancel();
    event!(log, events::BOX_STOPPED);
    Ok(())
}

/// Keeps accepting connections until the balancer has removed the box, then waits for requests in flight to end.
async fn stop(
    cfg: &BoxConfig,
    log: &Logger,
    closed: CancellationToken,
    serving: tokio::task::JoinHandle<()>,
) {
    let began = Instant::now();
    event!(log, events::BOX_DRAINING, "grace_ms" => cfg.grace.as_millis());
    tokio::time::sleep(BALANCER_LAG).await;
    closed.cancel();
    let deadline = began + cfg.grace.saturating_sub(KILL_MARGIN);
    if tokio::time::timeout_at(deadline, serving).await.is_err() {
        event!(log, events::BOX_STOPPED_EARLY, "after_ms" => began.elapsed().as_millis());
    }
}

/// Starts a reader for each prefix of the platform store; `of` creates one.
fn start_readers<K, P>(keys: &K, of: impl Fn(Topic, &'static str) -> Reader<P>)
where
    K: PublishedFormat,
    P: Platform,
{
    let topics = [
        (Topic::Operators, keys.operator_prefix()),
        (Topic::Targets, keys.target_prefix()),
    ];
    for (topic, prefix) in topics {
        tokio::spawn(of(topic, prefix).run());
    }
}

/// What the tasks that communicate with other boxes need.
struct Peers {
    listener: TcpListener,
    socket: UdpSocket,
    zone_updates: mpsc::Receiver<ZoneUpdate>,
    transfers: Transfers,
    me: BoxEntry,
}

fn start_peers<D, K, P, C>(
    peers: Peers,
    settings: Settings,
    adapter: &Adapter<D, K, P, C>,
    shared: &Arc<Shared<D>>,
) where
    D: Dialect,
    K: PublishedFormat,
    P: Platform,
    C: Control,
{
    let Peers {
        listener,
        socket,
        zone_updates,
        transfers,
        me,
    } = peers;
    let (id, candidate) = (me.id.clone(), me.clone());
    let (fleet, log) = (shared.fleet.clone(), shared.log.clone());
    let stopping = shared.stopping.clone();
    let (updates_tx, updates) = mpsc::channel(UPDATE_QUEUE);
    let fleet_key = FleetKey::new(shared.cfg.fleet.as_deref(), shared.cfg.platform);
    let answerer = PeerServer {
        fleet_key,
        fleet: fleet.clone(),
        cache_stores: shared.cache_stores.clone(),
        log: log.clone(),
    };
    tokio::spawn(link::serve(listener, answerer, CancellationToken::new()));
    let registry = Registry {
        platform: adapter.platform.clone(),
        me: me.clone(),
        fleet: fleet.clone(),
        stopping: stopping.clone(),
        log: log.clone(),
    };
    tokio::spawn(registry.run());
    let supervisor = ReleaseSupervisor {
        platform: adapter.platform.clone(),
        keys: adapter.keys.clone(),
        me: me.clone(),
        fleet: fleet.clone(),
        tracker: shared.releases.clone(),
        stopping: stopping.clone(),
        log: log.clone(),
    };
    tokio::spawn(supervisor.run());
    let persist = CrashRecordSync {
        platform: adapter.platform.clone(),
        fatal: shared.fatal.clone(),
        fleet: fleet.clone(),
        log: log.clone(),
    };
    tokio::spawn(persist.run());
    let name = BoxHash::of(&me);
    let gossip = GossipSender {
        fleet_key,
        name,
        zone_gossip: ZoneGossip::new(Hub::new(name), RosterCache::new(me.clone())),
        me,
        settings,
        fleet: fleet.clone(),
        loads: shared.loads.clone(),
        cache_stores: shared.cache_stores.clone(),
        fatal: shared.fatal.clone(),
        releases: shared.releases.clone(),
        suspend_clock: shared.suspend_clock.clone(),
        updates,
        zone_updates,
        transfers,
        stopping: stopping.clone(),
        metrics: shared.metrics.clone(),
        log: log.clone(),
    };
    tokio::spawn(gossip.run(socket));
    let rollout = Rollout {
        me: candidate,
        discovery_timeout: match shared.cfg.seeds.is_empty() {
            true => Duration::ZERO,
            false => DISCOVERY_TIMEOUT,
        },
        election: Election {
            platform: adapter.platform.clone(),
            me: id,
            min_order_gap: shared.cfg.lease,
            long_poll: long_poll_wait(shared.cfg.history),
            suspend_clock: shared.suspend_clock.clone(),
            log: log.clone(),
        },
        control: adapter.control.clone(),
        fleet,
        loads: shared.loads.clone(),
        cache_stores: shared.cache_stores.clone(),
        updates: updates_tx,
        stopping,
        log,
    };
    tokio::spawn(rollout.run());
}

fn head_limits(fleet: &FleetHandle) -> HeadLimits {
    let view = fleet.view();
    let limits = view.config.as_ref().map(|config| config.limits);
    let CallerLimits {
        head_len,
        head_time,
        idle_time,
        ..
    } = limits.unwrap_or_default();
    // The library's head timeout includes the idle time before a head.
    HeadLimits {
        max_len: head_len,
        timeout: idle_time + head_time,
    }
}

fn serve_metrics(listener: TcpListener, metrics: Metrics, end: &CancellationToken) {
    let metrics = Arc::new(metrics);
    let page = move |_: Request<_>| {
        let metrics = metrics.clone();
        async move {
            let mut resp = Response::new(Body::full(metrics.page()));
            let media_type = HeaderValue::from_static(METRICS_MEDIA_TYPE);
            resp.headers_mut().insert(CONTENT_TYPE, media_type);
            resp
        }
    };
    tokio::spawn(Server::on(listener).run(end.clone(), page));
}

/// Logs periodically the number of calls of the platform store, which are charged for, and the traffic between boxes.
async fn log_traffic(counts: CallCounts, metrics: BoxMetrics, log: Logger) {
    let mut every = tokio::time::interval(TRAFFIC_LOG_INTERVAL);
    every.tick().await;
    loop {
        every.tick().await;
        let of = |count: &CallCount| {
            let CallTotals { calls, bytes } = count.totals;
            format!("{} {}: {calls} ({bytes} bytes)", count.step, count.outcome)
        };
        let calls: Vec<String> = counts.all().iter().map(of).collect();
        event!(log, events::STORE_CALLS, "calls" => calls.join(", "));
        event!(log, events::PEER_TRAFFIC, "datagrams" => metrics.describe_peer_traffic());
    }
}

/// Drops connections to boxes that are no longer up, and what is known of them.
fn prune_boxes<D: Dialect>(shared: &Shared<D>) {
    let view = shared.fleet.view();
    let find = |id: &BoxId| view.boxes.iter().find(|entry| entry.id == *id);
    shared.box_connections.prune(find);
    shared.forward_boxes.retain(|id| find(id).is_some());
}

/// Drops state of targets that are no longer listed, and of earlier incarnations of those that are.
async fn prune<D: Dialect>(shared: Arc<Shared<D>>) {
    let mut every = tokio::time::interval(PRUNE_INTERVAL);
    every.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut views = shared.fleet.subscribe();
    let mut known = Arc::default();
    loop {
        let due = tokio::select! {
            _ = every.tick() => true,
            Ok(()) = views.changed() => false,
        };
        let targets = views.borrow_and_update().targets.clone();
        if due || !Arc::ptr_eq(&known, &targets) {
            shared
                .pool
                .prune(|id| targets.get(id).map(|entry| &**entry));
            shared.loads.retain_listed(&targets);
            known = targets;
            prune_boxes(&shared);
        }
    }
}
