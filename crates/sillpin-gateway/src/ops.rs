//! A box put together: listeners, tasks, and its stop.

use crate::awake::Awake;
use crate::beliefs::fleet::Fleet;
use crate::beliefs::reader::{Reader, hold_wait};
use crate::beliefs::transfers::Transfers;
use crate::beliefs::{self, BoxEntry, FleetHandle, Topic};
use crate::config::CallerLimits;
use crate::control::{Control, Published};
use crate::dialect::Dialect;
use crate::fatal::Fatal;
use crate::fatal::keep::Keep;
use crate::front::shared::Learned;
use crate::front::{Front, Shared};
use crate::kept::reader::Readers;
use crate::kept::{self, Kept};
use crate::metrics::{BoxMetrics, observe_fleet, observe_words};
use crate::peers::datagram::{BoxHash, News};
use crate::peers::digest::Gossip;
use crate::peers::hub::Hub;
use crate::peers::link::{self, Answerer};
use crate::peers::registry::Registry;
use crate::peers::roster::Rosters;
use crate::peers::spread::ZoneNews;
use crate::peers::wire::FleetKey;
use crate::place::Loads;
use crate::reload::Settings;
use crate::settings::BoxConfig;
use crate::weights::duty::Duty;
use crate::weights::rollout::{ALONE, Rollout};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response};
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

/// How long a stopping box still accepts connections: the balancer asks each second and takes a box
/// out after two misses.
const BALANCER_LAG: Duration = Duration::from_millis(2_600);

/// Left of the time until SIGKILL when requests under way are given up.
const KILL_MARGIN: Duration = Duration::from_millis(300);

/// How often connections that rested too long are dropped.
const PRUNE_EVERY: Duration = Duration::from_secs(1);

/// Time between two lines about calls of the platform's store and about traffic between boxes.
const TRAFFIC_EVERY: Duration = Duration::from_secs(10);

/// News that may wait to be sent. The holder of the weights duty orders a quarter of all engines at once, and what does not
/// fit is lost: boxes then go on sending to engines that load.
const NEWS_QUEUE: usize = 1_024;

/// Media type of the metrics page.
const METRICS_MEDIA_TYPE: &str = "text/plain; version=0.0.4";

/// What an adapter brings.
pub struct Adapter<D, K, P, C> {
    /// How requests are spelled.
    pub dialect: D,
    /// How published values are spelled.
    pub keys: K,
    /// The platform's store.
    pub platform: P,
    /// Calls of the platform's store so far.
    pub counts: CallCounts,
    /// Calls of engines and stores.
    pub control: C,
}

/// Where a box listens.
#[derive(Debug, Clone, Copy)]
pub struct Listening {
    /// For callers.
    pub callers: SocketAddr,
    /// For the balancer's checks.
    pub ready: SocketAddr,
    /// For calls of other boxes.
    pub peers: SocketAddr,
    /// For news of other boxes.
    pub gossip: SocketAddr,
}

struct Listeners {
    callers: TcpListener,
    ready: TcpListener,
    peers: TcpListener,
    gossip: UdpSocket,
    metrics: Option<TcpListener>,
    at: Listening,
}

async fn listen_all(cfg: &BoxConfig) -> Result<Listeners, BindError> {
    let metrics = match cfg.metrics {
        Some(addr) => Some(listen(addr).await?.0),
        None => None,
    };
    let (callers, callers_at) = listen(cfg.callers).await?;
    let (ready, ready_at) = listen(cfg.ready).await?;
    let (peers, peers_at) = listen(cfg.peers).await?;
    let addr = SocketAddr::new(cfg.ip, cfg.gossip_port);
    let failed = |cause| BindError { addr, cause };
    let gossip = UdpSocket::bind(addr).await.map_err(failed)?;
    let gossip_at = gossip.local_addr().map_err(failed)?;
    Ok(Listeners {
        callers,
        ready,
        peers,
        gossip,
        metrics,
        at: Listening {
            callers: callers_at,
            ready: ready_at,
            peers: peers_at,
            gossip: gossip_at,
        },
    })
}

/// Runs a box until it is told to stop and its last request has ended; `started` is told where it listens.
pub async fn run<D, K, P, C>(
    settings: Settings,
    telemetry: Telemetry,
    adapter: Adapter<D, K, P, C>,
    stopping: CancellationToken,
    started: impl FnOnce(Listening),
) -> Result<(), BindError>
where
    D: Dialect,
    K: Published,
    P: Platform,
    C: Control,
{
    let cfg = settings.borrow().clone();
    let listeners = listen_all(&cfg).await?;
    let at = listeners.at;
    started(at);
    let Telemetry { log, metrics, .. } = telemetry;
    event!(log, events::BOX_STARTED, "callers" => at.callers.to_string(),
        "platform" => cfg.platform.to_string(), "seeds" => cfg.seeds.len());
    let (fleet, port) = beliefs::channel();
    observe_fleet(&metrics.meter(), fleet.clone());
    let awake = Awake::default();
    let task = Fleet::new(cfg.id.clone(), adapter.keys.clone(), log.clone());
    let task = task.with_awake(awake.clone());
    tokio::spawn(task.run(port));
    let me = BoxEntry {
        id: cfg.id.clone(),
        zone: cfg.zone.clone(),
        peers: listeners.at.peers,
        gossip: listeners.at.gossip,
        link_mbps: cfg.link_mbps,
    };
    let transfers = Transfers::default();
    let (words_tx, words) = mpsc::channel(NEWS_QUEUE);
    let loads = Loads::default();
    observe_words(&metrics.meter(), loads.clone());
    start_readers(&adapter.keys, |topic, prefix| Reader {
        platform: adapter.platform.clone(),
        topic,
        prefix,
        me: me.clone(),
        fleet: fleet.clone(),
        transfers: transfers.clone(),
        hold: hold_wait(cfg.history),
        loads: loads.clone(),
        news: words_tx.clone(),
        log: log.clone(),
    });
    let learned = Learned {
        fleet: fleet.clone(),
        loads,
        kept: Kept::default(),
        fatal: Fatal::new(log.clone()),
        awake,
    };
    let shared = Arc::new(Shared::new(
        adapter.dialect.clone(),
        settings.clone(),
        learned,
        BoxMetrics::new(&metrics.meter(), adapter.counts.clone()),
        log.clone(),
        stopping.clone(),
    ));
    tokio::spawn(kept::reader::run(Readers {
        control: adapter.control.clone(),
        me: me.clone(),
        kept: shared.kept.clone(),
        loads: shared.loads.clone(),
        fleet: fleet.clone(),
        news: words_tx,
        log: log.clone(),
    }));
    let peers = Peers {
        listener: listeners.peers,
        socket: listeners.gossip,
        words,
        transfers,
        me,
    };
    start_peers(peers, settings, &adapter, &shared);
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
    let server = Server::on(listeners.callers)
        .http1_only()
        .limits_from(move || head_limits(&limits_of));
    let closed = CancellationToken::new();
    let serving = server.run(closed.clone(), move |req| front.clone().serve(req));
    let serving = tokio::spawn(serving);
    stopping.cancelled().await;
    stop(&cfg, &log, closed, serving).await;
    end.cancel();
    event!(log, events::BOX_STOPPED);
    Ok(())
}

/// Goes on accepting until the balancer has taken the box out, then lets requests under way end.
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

/// Starts a reader for each prefix; `of` makes one.
fn start_readers<K, P>(keys: &K, of: impl Fn(Topic, &'static str) -> Reader<P>)
where
    K: Published,
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

/// What speaks and listens to other boxes.
struct Peers {
    listener: TcpListener,
    socket: UdpSocket,
    words: mpsc::Receiver<News>,
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
    P: Platform,
    C: Control,
{
    let Peers {
        listener,
        socket,
        words,
        transfers,
        me,
    } = peers;
    let (id, candidate) = (me.id.clone(), me.clone());
    let (fleet, log) = (shared.fleet.clone(), shared.log.clone());
    let stopping = shared.stopping.clone();
    let (news_tx, news) = mpsc::channel(NEWS_QUEUE);
    let fleet_key = FleetKey::new(shared.cfg.fleet.as_deref(), shared.cfg.platform);
    let answerer = Answerer {
        fleet_key,
        fleet: fleet.clone(),
        kept: shared.kept.clone(),
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
    let keep = Keep {
        platform: adapter.platform.clone(),
        fatal: shared.fatal.clone(),
        fleet: fleet.clone(),
        log: log.clone(),
    };
    tokio::spawn(keep.run());
    let name = BoxHash::of(&me);
    let gossip = Gossip {
        fleet_key,
        name,
        zone_news: ZoneNews::new(Hub::new(name), Rosters::new(me.clone())),
        me,
        settings,
        fleet: fleet.clone(),
        loads: shared.loads.clone(),
        kept: shared.kept.clone(),
        fatal: shared.fatal.clone(),
        awake: shared.awake.clone(),
        news,
        words,
        transfers,
        stopping: stopping.clone(),
        metrics: shared.metrics.clone(),
        log: log.clone(),
    };
    tokio::spawn(gossip.run(socket));
    let rollout = Rollout {
        me: candidate,
        alone: match shared.cfg.seeds.is_empty() {
            true => Duration::ZERO,
            false => ALONE,
        },
        duty: Duty {
            platform: adapter.platform.clone(),
            me: id,
            apart: shared.cfg.lease,
            hold: hold_wait(shared.cfg.history),
            awake: shared.awake.clone(),
            log: log.clone(),
        },
        control: adapter.control.clone(),
        fleet,
        loads: shared.loads.clone(),
        kept: shared.kept.clone(),
        news: news_tx,
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
    // The library counts the rest before a head into the head's time.
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

/// Logs now and then how often the platform's store was called, which is priced, and what boxes told each other.
async fn log_traffic(counts: CallCounts, metrics: BoxMetrics, log: Logger) {
    let mut every = tokio::time::interval(TRAFFIC_EVERY);
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

/// Drops what belongs to targets that left, and to earlier lives of those that are there.
async fn prune<D: Dialect>(shared: Arc<Shared<D>>) {
    let mut every = tokio::time::interval(PRUNE_EVERY);
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
            shared.pool.prune(&targets);
            shared.loads.follow(&targets);
            known = targets;
        }
    }
}
