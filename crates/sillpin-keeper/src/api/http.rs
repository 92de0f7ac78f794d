//! HTTP endpoints for health and metrics.

use crate::directory::{DirectoryHandle, DirectoryMsg};
use crate::fleet::Published;
use hyper::{Request, Response, StatusCode};
use opentelemetry::metrics::Gauge;
use sillpin_http::IncomingBody;
use sillpin_http::{Body, empty_response};
use sillpin_telemetry::metrics::Metrics;
use std::sync::Arc;

/// Serves the health check and the metrics page.
#[derive(Clone)]
pub struct KeeperHttp {
    published: Published,
    directory: DirectoryHandle,
    metrics: Arc<Metrics>,
    gauges: Gauges,
}

#[derive(Clone)]
struct Gauges {
    boxes: Gauge<u64>,
    targets: Gauge<u64>,
    revision: Gauge<u64>,
    prompts: Gauge<u64>,
}

impl KeeperHttp {
    /// Creates the service from the published fleet state, the directory and the process's metrics.
    pub fn new(published: Published, directory: DirectoryHandle, metrics: Metrics) -> Self {
        let meter = metrics.meter();
        let gauges = Gauges {
            boxes: meter.u64_gauge("sillpin_boxes_live").build(),
            targets: meter.u64_gauge("sillpin_targets_usable").build(),
            revision: meter.u64_gauge("sillpin_bundle_revision").build(),
            prompts: meter.u64_gauge("sillpin_directory_prompts").build(),
        };
        Self {
            published,
            directory,
            metrics: Arc::new(metrics),
            gauges,
        }
    }

    /// Responds to one request.
    pub async fn handle(self, req: Request<IncomingBody>) -> Response<Body> {
        match req.uri().path() {
            "/healthz" => empty_response(StatusCode::OK),
            "/metrics" => {
                self.read_gauges().await;
                Response::new(Body::full(self.metrics.page()))
            }
            _ => empty_response(StatusCode::NOT_FOUND),
        }
    }

    async fn read_gauges(&self) {
        let view = self.published.view.borrow().clone();
        let live = view.boxes.iter().filter(|b| b.live).count();
        let usable = view.targets.iter().filter(|t| t.reachable && !t.leaving);
        let revision = view.in_force.as_ref().map_or(0, |f| f.revision.0);
        self.gauges.boxes.record(live as u64, &[]);
        self.gauges.targets.record(usable.count() as u64, &[]);
        self.gauges.revision.record(revision, &[]);
        if let Some(stats) = self.directory.query(DirectoryMsg::Stats).await {
            self.gauges.prompts.record(stats.prompts, &[]);
        }
    }
}
