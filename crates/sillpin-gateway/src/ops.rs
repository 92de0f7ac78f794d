//! Assembles a box: opens its listeners, starts its tasks, and stops it.
//!
//! - [`connections`]: the bound on callers' connections,
//! - [`listeners`]: the listeners,
//! - [`peers`]: tasks that communicate with other boxes,
//! - [`maintenance`]: tasks that log traffic and drop old state.

mod connections;
mod listeners;
mod maintenance;
mod peers;

pub use self::listeners::ListenAddrs;
use self::listeners::listen_all;
use self::maintenance::{log_traffic, prune};
use self::peers::{Peers, start_peers};
use crate::cache_stores::reader::Readers;
use crate::cache_stores::{self, CacheStores};
use crate::config::CallerLimits;
use crate::control::{Control, PublishedFormat};
use crate::dialect::Dialect;
use crate::fatal::FatalRequests;
use crate::fleet_state::fleet::Fleet;
use crate::fleet_state::reader::{Reader, long_poll_wait};
use crate::fleet_state::transfers::Transfers;
use crate::fleet_state::{self, BoxEntry, FleetHandle, Topic};
use crate::forward::head::MAX_FORWARD_LEN;
use crate::front::drain::Drain;
use crate::front::shared::FleetHandles;
use crate::front::{Front, Shared};
use crate::metrics::{
    BoxMetrics, observe_fleet, observe_reach, observe_signals, observe_silence, observe_speeds,
    observe_stream_engines, observe_streams,
};
use crate::peers::wire::FleetKey;
use crate::placement::Loads;
use crate::placement::silence_watch::SilenceWatch;
use crate::releases::ReleaseTracker;
use crate::reload::Settings;
use crate::settings::BoxConfig;
use crate::streams::StreamVersions;
use crate::streams::register::{self, VersionRegister};
use crate::suspend_clock::SuspendClock;
use crate::tasks::{Need, TaskLost, Tasks};
use derive_more::{Display, Error, From};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response};
use sillpin_http::server::{BindError, HeadLimits};
use sillpin_http::{Body, Server};
use sillpin_platform::Platform;
use sillpin_platform::call::CallCounts;
use sillpin_telemetry::metrics::Metrics;
use sillpin_telemetry::{Telemetry, event, events};
use slog::Logger;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

/// How long the callers of aborted requests may take to be told so.
const ABORT_TIME: Duration = Duration::from_millis(150);

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

/// Why a box did not run until it was told to stop.
#[derive(Debug, Display, Error, From)]
pub enum RunError {
    /// A listener could not be opened.
    #[display("{_0}")]
    Bind(BindError),
    /// A task ended that cannot begin anew.
    #[display("{_0}")]
    TaskLost(TaskLost),
}

/// Runs a box until `stopping` is cancelled, or a task is lost, and its last request has ended. `started` is called with the
/// addresses once the listeners are open.
pub async fn run<D, K, P, C>(
    settings: Settings,
    telemetry: Telemetry,
    adapter: Adapter<D, K, P, C>,
    stopping: CancellationToken,
    started: impl FnOnce(ListenAddrs),
) -> Result<(), RunError>
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
    let stopping = stopping.child_token();
    let tasks = Tasks::new(log.clone(), &metrics.meter(), stopping.clone());
    let (fleet, port) = fleet_state::channel();
    observe_fleet(&metrics.meter(), fleet.clone());
    let suspend_clock = SuspendClock::default();
    let task = Fleet::new(cfg.id.clone(), adapter.keys.clone(), log.clone());
    let task = task.with_suspend_clock(suspend_clock.clone());
    tasks.essential("fleet state", task.run(port));
    tasks.essential("settings", settings_end(settings.clone()));
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
    start_readers(&tasks, &adapter.keys, |topic, prefix| Reader {
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
    let box_metrics = BoxMetrics::new(&metrics.meter(), adapter.counts.clone());
    let socket = Arc::new(listeners.gossip);
    let (register, register_port) = register::channel();
    let versions = VersionRegister {
        platform: adapter.platform.clone(),
        me: me.clone(),
        fleet: fleet.clone(),
        loads: loads.clone(),
        log: log.clone(),
    };
    tasks.essential("version register", versions.run(register_port));
    let streams = StreamVersions::new(
        FleetKey::new(cfg.fleet.as_deref(), cfg.platform),
        me.clone(),
        fleet.clone(),
        socket.clone(),
        register,
        box_metrics.clone(),
        log.clone(),
    );
    observe_streams(&metrics.meter(), streams.clone());
    let (exchange, until) = (streams.clone(), stopping.clone());
    tasks.restart("stream versions", Need::ToServe, move || {
        exchange.clone().run(until.clone())
    });
    let handles = FleetHandles {
        fleet: fleet.clone(),
        loads,
        cache_stores: CacheStores::default(),
        fatal: FatalRequests::new(log.clone()),
        suspend_clock,
        releases: ReleaseTracker::new(cfg.canary_share),
        streams: streams.clone(),
        tasks: tasks.clone(),
    };
    let shared = Arc::new(Shared::new(
        adapter.dialect.clone(),
        settings.clone(),
        handles,
        box_metrics,
        log.clone(),
        stopping.clone(),
    ));
    // Its readers of single stores would go on beside those of another one.
    let readers = cache_stores::reader::run(Readers {
        control: adapter.control.clone(),
        me: me.clone(),
        cache_stores: shared.cache_stores.clone(),
        loads: shared.loads.clone(),
        fleet: fleet.clone(),
        updates: zone_updates_tx,
        log: log.clone(),
    });
    tasks.essential("cache stores", readers);
    let peers = Peers {
        listener: listeners.peers,
        socket,
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
        tasks.restart("silent engines", Need::ToServe, move || watch.clone().run());
    }
    let (waits, prober) = (shared.path_waits.clone(), shared.prober.clone());
    tasks.restart("path waits", Need::ToServe, move || {
        waits.clone().run(prober.clone())
    });
    let pruned = shared.clone();
    tasks.restart("pruning", Need::ToServe, move || prune(pruned.clone()));
    let end = CancellationToken::new();
    let is_crowded = shared.is_crowded.clone();
    let shared_log = shared.log.clone();
    let shared_metrics = shared.metrics.clone();
    let (drain, aborting) = (shared.drain.clone(), shared.aborting.clone());
    let front = Front::new(shared);
    let ready = front.clone();
    let answer_ready = move |req| ready.clone().ready(req);
    let checks = Server::on(listeners.ready).run(end.clone(), answer_ready);
    tasks.essential("readiness checks", checks);
    let meter = metrics.meter();
    if let Some(listener) = listeners.metrics {
        serve_metrics(listener, metrics, &end, &tasks);
    }
    let counts = adapter.counts.clone();
    tasks.restart("log of traffic", Need::Upkeep, move || {
        log_traffic(counts.clone(), shared_metrics.clone(), shared_log.clone())
    });
    let limits_of = fleet.clone();
    let limits = move || head_limits(&limits_of);
    let for_boxes = front.clone();
    let closed = CancellationToken::new();
    let callers_connections = connections::bound(cfg.memory, cfg.descriptors);
    connections::watch(&callers_connections, &meter, log.clone(), &tasks);
    connections::watch_crowding(&callers_connections, is_crowded, log.clone(), &tasks);
    let callers = Server::on(listeners.callers)
        .http1_only()
        .bounded_by(callers_connections)
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
    let (served, serving) = oneshot::channel();
    tasks.essential("requests", async move {
        tokio::join!(callers, forwarded);
        let _ = served.send(());
    });
    stopping.cancelled().await;
    stop(&cfg, &log, drain, closed, aborting, serving).await;
    end.cancel();
    event!(log, events::BOX_STOPPED);
    match tasks.lost() {
        Some(lost) => Err(lost.clone().into()),
        None => Ok(()),
    }
}

/// Resolves when the task that reads the settings has ended.
async fn settings_end(mut settings: Settings) {
    while settings.changed().await.is_ok() {}
}

/// Keeps accepting connections until the balancer has removed the box, then waits for requests in flight to end. Those that
/// do not end in time are aborted.
async fn stop(
    cfg: &BoxConfig,
    log: &Logger,
    drain: Drain,
    closed: CancellationToken,
    aborting: CancellationToken,
    mut serving: oneshot::Receiver<()>,
) {
    let period = drain.begin(cfg.grace);
    event!(log, events::BOX_DRAINING, "grace_ms" => cfg.grace.as_millis());
    tokio::time::sleep_until(period.listens_until).await;
    closed.cancel();
    let ended = tokio::time::timeout_at(period.last_write, &mut serving).await;
    if ended.is_err() {
        aborting.cancel();
        // Whatever has not ended by then ends with the process.
        let _ = tokio::time::timeout(ABORT_TIME, serving).await;
        event!(log, events::BOX_STOPPED_EARLY, "after_ms" => period.began.elapsed().as_millis());
    }
}

/// Starts a reader for each prefix of the platform store; `of` creates one.
fn start_readers<K, P>(tasks: &Tasks, keys: &K, of: impl Fn(Topic, &'static str) -> Reader<P>)
where
    K: PublishedFormat,
    P: Platform,
{
    let topics = [
        (
            "reader of operators",
            Topic::Operators,
            keys.operator_prefix(),
        ),
        ("reader of targets", Topic::Targets, keys.target_prefix()),
    ];
    for (name, topic, prefix) in topics {
        let reader = of(topic, prefix);
        tasks.restart(name, Need::ToServe, move || reader.clone().run());
    }
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

fn serve_metrics(listener: TcpListener, metrics: Metrics, end: &CancellationToken, tasks: &Tasks) {
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
    tasks.essential("metrics page", Server::on(listener).run(end.clone(), page));
}
