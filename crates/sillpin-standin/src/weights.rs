//! A rate-limited weight store: a load is slower when more than three run at once.

use crate::query::param;
use crate::{Response, ok, status};
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

/// Loads at once that the store serves at full speed.
pub const FULL_SPEED_LOADS: u32 = 3;

/// What the store counted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightCounters {
    /// Most loads at once.
    pub most_at_once: u32,
    /// Loads served.
    pub loads: u32,
}

/// The stand-in; clones share it.
#[derive(Clone, Default)]
pub struct WeightStandin {
    now: Arc<AtomicU32>,
    most: Arc<AtomicU32>,
    loads: Arc<AtomicU32>,
    load_time: Duration,
}

impl WeightStandin {
    /// A store that takes `load_time` for a load at full speed.
    pub fn new(load_time: Duration) -> Self {
        Self {
            load_time,
            ..Self::default()
        }
    }

    /// Answers one request.
    pub async fn handle(self, req: Request<Incoming>) -> Response {
        match req.uri().path() {
            "/v1/weights" => self.load(param(req.uri().query(), "version")).await,
            "/admin/counters" => ok(&WeightCounters {
                most_at_once: self.most.load(Ordering::Relaxed),
                loads: self.loads.load(Ordering::Relaxed),
            }),
            _ => status(StatusCode::NOT_FOUND),
        }
    }

    async fn load(&self, version: Option<u64>) -> Response {
        let at_once = self.now.fetch_add(1, Ordering::Relaxed) + 1;
        self.most.fetch_max(at_once, Ordering::Relaxed);
        self.loads.fetch_add(1, Ordering::Relaxed);
        let slowdown = at_once.div_ceil(FULL_SPEED_LOADS);
        tokio::time::sleep(self.load_time * slowdown * slowdown).await;
        self.now.fetch_sub(1, Ordering::Relaxed);
        ok(&version)
    }
}
