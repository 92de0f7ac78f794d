//! Runs an entry: starts its tasks, serves requests, and drains when it is stopped.

use crate::app::App;
use crate::metrics::EntryMetrics;
use crate::settings::EntryConfig;
use crate::{arms, front, keeper_link, placement};
use hyper::{Request, Response, StatusCode};
use sillpin_http::IncomingBody;
use sillpin_http::server::{BindError, HeadLimits, listen};
use sillpin_http::{Body, Client, Server, empty_response};
use sillpin_targets::HttpEngine;
use sillpin_telemetry::metrics::Metrics;
use sillpin_telemetry::traces::Traces;
use sillpin_telemetry::{Telemetry, event, events};
use slog::Logger;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio_util::sync::CancellationToken;

/// Addresses at which an entry listens.
#[derive(Debug, Clone, Copy)]
pub struct Listening {
    /// For callers.
    pub callers: SocketAddr,
    /// For health and metrics.
    pub http: SocketAddr,
}

/// Runs an entry until `stop` is cancelled, then drains it: readiness checks fail at once, new
/// requests are accepted until the load balancer has had time to react (`drain_lag`), and the
/// function returns when the last request has ended.
pub async fn run(
    cfg: EntryConfig,
    telemetry: Telemetry,
    stop: CancellationToken,
    ready: impl FnOnce(Listening),
) -> Result<(), BindError> {
    let Telemetry {
        log,
        metrics,
        traces,
    } = telemetry;
    let (callers, callers_at) = listen(cfg.listen).await?;
    let (http, http_at) = listen(cfg.http_listen).await?;
    let app = start_tasks(cfg, &log, &metrics, traces.clone(), stop.clone());
    event!(log, events::ENTRY_STARTED, "callers" => %callers_at, "http" => %http_at);
    ready(Listening {
        callers: callers_at,
        http: http_at,
    });
    tokio::spawn(log_when_ready(app.clone()));

    let closed = CancellationToken::new();
    let limits = HeadLimits {
        max_len: app.cfg.limits.head_len,
        timeout: app.cfg.limits.head_timeout,
    };
    let caller_app = app.clone();
    let callers = Server::on(callers)
        .limits(limits)
        .run(closed.clone(), move |req| {
            front::handle(caller_app.clone(), req)
        });
    let callers = tokio::spawn(callers);
    let metrics = Arc::new(metrics);
    let operator_app = app.clone();
    tokio::spawn(Server::on(http).run(CancellationToken::new(), move |req| {
        serve_operators(operator_app.clone(), metrics.clone(), req)
    }));

    stop.cancelled().await;
    event!(log, events::ENTRY_DRAINING);
    tokio::time::sleep(app.cfg.drain_lag).await;
    closed.cancel();
    let _ = callers.await;
    traces.shutdown();
    event!(log, events::ENTRY_STOPPED);
    Ok(())
}

fn start_tasks(
    cfg: EntryConfig,
    log: &Logger,
    metrics: &Metrics,
    traces: Traces,
    draining: CancellationToken,
) -> App<HttpEngine> {
    let client = Client::default();
    let (keeper, snapshot) = keeper_link::start(cfg.keeper, log.clone());
    let placer = placement::start(cfg.zone.clone(), snapshot.clone(), cfg.limits.max_waiting);
    let arms = arms::start(&cfg, snapshot.clone(), keeper.clone());
    App {
        cfg: Arc::new(cfg),
        snapshot,
        placer,
        keeper,
        engine: HttpEngine::new(client.clone()),
        client,
        arms,
        metrics: EntryMetrics::new(&metrics.meter()),
        traces,
        log: log.clone(),
        draining,
    }
}

async fn log_when_ready(mut app: App<HttpEngine>) {
    let ready = app
        .snapshot
        .wait_for(|snapshot| snapshot.in_force.is_some());
    let revision = match ready.await {
        Ok(snapshot) => snapshot.in_force.as_ref().map(|f| f.revision),
        Err(_) => return,
    };
    let revision = revision.unwrap_or_default();
    event!(app.log, events::ENTRY_READY, "revision" => %revision);
}

async fn serve_operators(
    app: App<HttpEngine>,
    metrics: Arc<Metrics>,
    req: Request<IncomingBody>,
) -> Response<Body> {
    match req.uri().path() {
        "/healthz" => empty_response(StatusCode::OK),
        "/readyz" if app.is_ready() => empty_response(StatusCode::OK),
        "/readyz" => empty_response(StatusCode::SERVICE_UNAVAILABLE),
        "/metrics" => Response::new(Body::full(metrics.page())),
        _ => empty_response(StatusCode::NOT_FOUND),
    }
}
