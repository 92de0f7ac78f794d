//! The platform's key-value service and box list.
//!
//! Every call is counted; reads and writes above the configured rates are refused. `POST /admin/faults`
//! sets [`Faults`], `POST /admin/boxes` replaces the box list and `GET /admin/counters` returns the
//! [`Counters`].

mod kv;

use crate::query::param;
use crate::{Response, ok, status};
use hyper::{Method, Request, StatusCode};
use kv::{Kv, KvError};
use serde::{Deserialize, Serialize};
use sillpin_core::target::BoxList;
use sillpin_http::IncomingBody;
use sillpin_http::body::read_json;
use sillpin_platform::http::{LeaseBody, PutBody};
use sillpin_platform::{KvRevision, LeaseId, MAX_VALUE_LEN, WatchReply};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Maximum length of a request body, in bytes: a value and the JSON around it.
const MAX_BODY_LEN: usize = 2 * MAX_VALUE_LEN;

/// Faults set at run time.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Refuse every call.
    pub outage: bool,
    /// Additional duration of every call, in milliseconds.
    pub delay_ms: u64,
    /// Number of writes whose responses are lost after the write took effect; callers get status 500.
    pub lose_answers: u32,
    /// Delay until a new box list is served, in milliseconds.
    pub list_lag_ms: u64,
}

/// Number of calls since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Writes: put, delete, lease calls.
    pub writes: u64,
    /// Reads: get, list, box list.
    pub reads: u64,
    /// Watches started.
    pub watches: u64,
    /// Reads and writes refused because they exceeded the rate.
    pub refused: u64,
    /// Maximum number of calls within one second.
    pub busiest_second: u64,
}

/// Rates above which calls are refused.
#[derive(Debug, Clone, Copy)]
pub struct Rates {
    /// Writes per second.
    pub writes: f64,
    /// Reads per second.
    pub reads: f64,
}

impl Default for Rates {
    fn default() -> Self {
        Self {
            writes: 300.0,
            reads: 2_000.0,
        }
    }
}

/// A token bucket that holds the tokens of one second.
struct Bucket {
    rate: f64,
    tokens: f64,
    filled: Instant,
}

impl Bucket {
    fn new(rate: f64) -> Self {
        Self {
            rate,
            tokens: rate,
            filled: Instant::now(),
        }
    }

    fn take(&mut self) -> bool {
        let gained = self.filled.elapsed().as_secs_f64() * self.rate;
        self.tokens = (self.tokens + gained).min(self.rate);
        self.filled = Instant::now();
        let allowed = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(allowed));
        allowed
    }
}

struct State {
    kv: Kv,
    faults: Faults,
    counters: Counters,
    writes: Bucket,
    reads: Bucket,
    boxes: BoxList,
    listed_boxes: BoxList,
    second: (u64, u64),
    start: Instant,
}

impl State {
    fn count(&mut self) {
        let now = self.start.elapsed().as_secs();
        if self.second.0 != now {
            self.second = (now, 0);
        }
        self.second.1 += 1;
        self.counters.busiest_second = self.counters.busiest_second.max(self.second.1);
    }

    fn allow(&mut self, write: bool) -> bool {
        self.count();
        let bucket = if write {
            &mut self.writes
        } else {
            &mut self.reads
        };
        let allowed = bucket.take();
        let counter = match (allowed, write) {
            (false, _) => &mut self.counters.refused,
            (true, true) => &mut self.counters.writes,
            (true, false) => &mut self.counters.reads,
        };
        *counter += 1;
        allowed
    }
}

/// The stand-in. Clones share their state.
#[derive(Clone)]
pub struct PlatformStandin {
    state: Arc<Mutex<State>>,
    changed: Arc<watch::Sender<KvRevision>>,
}

impl PlatformStandin {
    /// Creates an empty service with the given rates.
    pub fn new(rates: Rates) -> Self {
        let state = State {
            kv: Kv::default(),
            faults: Faults::default(),
            counters: Counters::default(),
            writes: Bucket::new(rates.writes),
            reads: Bucket::new(rates.reads),
            boxes: BoxList::default(),
            listed_boxes: BoxList::default(),
            second: (0, 0),
            start: Instant::now(),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            changed: Arc::new(watch::Sender::new(KvRevision::ABSENT)),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Handles one HTTP request.
    pub async fn handle(self, req: Request<IncomingBody>) -> Response {
        if req.uri().path().starts_with("/admin/") {
            return self.admin(req).await;
        }
        let faults = self.lock().faults.clone();
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        if faults.outage {
            self.lock().count();
            return status(StatusCode::SERVICE_UNAVAILABLE);
        }
        let write = req.method() != Method::GET;
        if !self.lock().allow(write) {
            return status(StatusCode::TOO_MANY_REQUESTS);
        }
        let response = self.serve(req).await;
        if write && self.loses_response() {
            return status(StatusCode::INTERNAL_SERVER_ERROR);
        }
        response
    }

    fn loses_response(&self) -> bool {
        let mut state = self.lock();
        let lose = state.faults.lose_answers > 0;
        state.faults.lose_answers -= u32::from(lose);
        lose
    }

    async fn serve(&self, req: Request<IncomingBody>) -> Response {
        let path = req.uri().path().to_owned();
        let query = req.uri().query().map(str::to_owned);
        let query = query.as_deref();
        if let Some(key) = path.strip_prefix("/v1/kv/") {
            return self.serve_key(key, query, req).await;
        }
        if let Some(lease) = path.strip_prefix("/v1/leases/") {
            let lease = lease
                .strip_suffix("/renew")
                .and_then(|id| id.parse::<u64>().ok());
            return self.renew(lease.map(LeaseId::from));
        }
        match path.as_str() {
            "/v1/list" => self.list(query),
            "/v1/watch" => self.watch(query).await,
            "/v1/boxes" => ok(&self.lock().listed_boxes),
            "/v1/leases" => self.grant(req).await,
            _ => status(StatusCode::BAD_REQUEST),
        }
    }

    async fn serve_key(
        &self,
        key: &str,
        query: Option<&str>,
        req: Request<IncomingBody>,
    ) -> Response {
        let result = match *req.method() {
            Method::GET => return ok(&self.lock().kv.get(key)),
            Method::DELETE => {
                let expect = param(query, "expect").map_or(KvRevision::ABSENT, KvRevision);
                self.lock().kv.delete(key, expect)
            }
            Method::PUT => match read_json::<PutBody, _>(req.into_body(), MAX_BODY_LEN).await {
                Ok(body) if body.value.len() <= MAX_VALUE_LEN => {
                    self.lock().kv.put(key, body.value, body.expect, body.lease)
                }
                _ => return status(StatusCode::BAD_REQUEST),
            },
            _ => return status(StatusCode::METHOD_NOT_ALLOWED),
        };
        match result {
            Ok(revision) => {
                self.changed.send_replace(revision);
                ok(&revision)
            }
            Err(KvError::Conflict) => status(StatusCode::CONFLICT),
            Err(KvError::LeaseExpired) => status(StatusCode::GONE),
        }
    }

    fn list(&self, query: Option<&str>) -> Response {
        let prefix: String = param(query, "prefix").unwrap_or_default();
        let after: String = param(query, "after").unwrap_or_default();
        let limit = param(query, "limit").unwrap_or(usize::MAX);
        ok(&self.lock().kv.list(&prefix, &after, limit))
    }

    async fn watch(&self, query: Option<&str>) -> Response {
        self.lock().counters.watches += 1;
        let prefix: String = param(query, "prefix").unwrap_or_default();
        let after = param(query, "after").map_or(KvRevision::ABSENT, KvRevision);
        let wait = Duration::from_millis(param(query, "wait_ms").unwrap_or(0));
        let deadline = Instant::now() + wait;
        let mut changes = self.changed.subscribe();
        loop {
            let (changed, revision, outage) = {
                let state = self.lock();
                let changed = state.kv.changed_since(&prefix, after);
                (changed, state.kv.revision(), state.faults.outage)
            };
            if outage {
                return status(StatusCode::SERVICE_UNAVAILABLE);
            }
            if !changed.is_empty() || Instant::now() >= deadline {
                return ok(&WatchReply { changed, revision });
            }
            let _ = tokio::time::timeout_at(deadline, changes.changed()).await;
        }
    }

    async fn grant(&self, req: Request<IncomingBody>) -> Response {
        match read_json::<LeaseBody, _>(req.into_body(), MAX_BODY_LEN).await {
            Ok(body) => ok(&self.lock().kv.grant(Duration::from_millis(body.ttl_ms))),
            Err(_) => status(StatusCode::BAD_REQUEST),
        }
    }

    fn renew(&self, lease: Option<LeaseId>) -> Response {
        let renewed = lease.is_some_and(|lease| self.lock().kv.renew(lease));
        status(if renewed {
            StatusCode::OK
        } else {
            StatusCode::GONE
        })
    }

    async fn admin(&self, req: Request<IncomingBody>) -> Response {
        match req.uri().path() {
            "/admin/counters" => ok(&self.lock().counters),
            "/admin/boxes" => self.replace_boxes(req).await,
            "/admin/faults" => match read_json(req.into_body(), MAX_BODY_LEN).await {
                Ok(faults) => {
                    self.lock().faults = faults;
                    self.changed.send_modify(|_| {});
                    status(StatusCode::OK)
                }
                Err(_) => status(StatusCode::BAD_REQUEST),
            },
            _ => status(StatusCode::NOT_FOUND),
        }
    }

    async fn replace_boxes(&self, req: Request<IncomingBody>) -> Response {
        let Ok(boxes) = read_json::<BoxList, _>(req.into_body(), MAX_BODY_LEN).await else {
            return status(StatusCode::BAD_REQUEST);
        };
        let lag = {
            let mut state = self.lock();
            state.boxes = boxes.clone();
            Duration::from_millis(state.faults.list_lag_ms)
        };
        if lag.is_zero() {
            self.lock().listed_boxes = boxes;
            return status(StatusCode::OK);
        }
        let this = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(lag).await;
            let mut state = this.lock();
            state.listed_boxes = state.boxes.clone();
        });
        status(StatusCode::OK)
    }
}
