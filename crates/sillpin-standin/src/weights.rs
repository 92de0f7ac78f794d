//! A rate-limited weight store: loads slow down when more than three run at the same time.

use crate::query::param;
use crate::{Response, ok, status};
use hyper::{Request, StatusCode};
use serde::{Deserialize, Serialize};
use sillpin_http::IncomingBody;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

/// Number of concurrent loads that the store serves at full speed.
pub const FULL_SPEED_LOADS: u32 = 3;

/// Counters of the weight store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightCounters {
    /// Maximum number of concurrent loads.
    pub most_at_once: u32,
    /// Loads served.
    pub loads: u32,
}

/// The stand-in. Clones share their state.
#[derive(Clone, Default)]
pub struct WeightStandin {
    running: Arc<AtomicU32>,
    max_running: Arc<AtomicU32>,
    loads: Arc<AtomicU32>,
    load_time: Duration,
}

impl WeightStandin {
    /// Creates a store whose loads take `load_time` at full speed.
    pub fn new(load_time: Duration) -> Self {
        Self {
            load_time,
            ..Self::default()
        }
    }

    /// Handles one HTTP request.
    pub async fn handle(self, req: Request<IncomingBody>) -> Response {
        match req.uri().path() {
            "/v1/weights" => self.load(param(req.uri().query(), "version")).await,
            "/admin/counters" => ok(&WeightCounters {
                most_at_once: self.max_running.load(Ordering::Relaxed),
                loads: self.loads.load(Ordering::Relaxed),
            }),
            _ => status(StatusCode::NOT_FOUND),
        }
    }

    async fn load(&self, version: Option<u64>) -> Response {
        let concurrent = self.running.fetch_add(1, Ordering::Relaxed) + 1;
        self.max_running.fetch_max(concurrent, Ordering::Relaxed);
        self.loads.fetch_add(1, Ordering::Relaxed);
        let slowdown = concurrent.div_ceil(FULL_SPEED_LOADS);
        tokio::time::sleep(self.load_time * slowdown * slowdown).await;
        self.running.fetch_sub(1, Ordering::Relaxed);
        ok(&version)
    }
}
