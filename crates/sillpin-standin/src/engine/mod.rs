//! A model engine: continuous batching, a limited prefix cache, priorities, resumption and
//! cancellation of runs, export and import of blocks, cache events that are delayed or lost, delayed
//! load reports, and fences that reject outdated weight loads.

mod batch;
mod cache;
mod shape;
mod stream;
mod transfer;

use crate::query::param;
use crate::{Response, ok, status};
use batch::Batch;
use hyper::header::HeaderValue;
use hyper::{Method, Request, StatusCode};
use serde::{Deserialize, Serialize};
use sillpin_core::target::LoadReport;
use sillpin_core::{AttemptId, Fence, ModelId, Presence, Share, Tokens, WeightVersion};
use sillpin_http::IncomingBody;
use sillpin_http::body::read_json;
use sillpin_http::{Body, BodySender, Client};
use sillpin_load::oracle::ExpectedAnswer;
use sillpin_targets::engine_http::VERSION_HEADER;
use sillpin_targets::{ExportOrder, LoadOrder, RunOrder, RunSummary};
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

pub use shape::EngineShape;

/// Maximum length of a request body, in bytes. The longest is a run order: a prompt with its block names.
const MAX_ORDER_LEN: usize = 16 << 20;

/// Faults set at run time.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineFaults {
    /// Refuse new runs, and report in the load report that the engine is leaving.
    pub leaving: bool,
    /// Send the response of another attempt than the one requested.
    pub crossed: bool,
    /// Break every response at this token.
    pub cut_at: Option<u32>,
    /// Omit the end mark of responses.
    pub no_end_mark: bool,
}

struct State {
    batch: Batch,
    version: WeightVersion,
    fence: Fence,
    faults: EngineFaults,
    reports: VecDeque<(Instant, LoadReport)>,
    sequence: u64,
}

/// The stand-in. Clones share their state.
#[derive(Clone)]
pub struct EngineStandin {
    shape: EngineShape,
    model: ModelId,
    epoch: u64,
    state: Arc<Mutex<State>>,
    work: Arc<Notify>,
    client: Client,
}

impl EngineStandin {
    /// Starts an engine that serves `version` of `model`; a separate task runs its steps. `epoch` identifies
    /// this incarnation of the engine in cache events.
    pub fn start(shape: EngineShape, model: ModelId, version: WeightVersion, epoch: u64) -> Self {
        let state = State {
            batch: Batch::new(shape),
            version,
            fence: Fence(0),
            faults: EngineFaults::default(),
            reports: VecDeque::new(),
            sequence: 0,
        };
        let this = Self {
            shape,
            model,
            epoch,
            state: Arc::new(Mutex::new(state)),
            work: Arc::default(),
            client: Client::default(),
        };
        tokio::spawn(this.clone().run_steps());
        this
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    async fn run_steps(self) {
        loop {
            let idle = {
                let mut state = self.lock();
                state.batch.remove_finished(Instant::now());
                state.batch.admit();
                state.batch.running() == 0
            };
            if idle {
                let _ = tokio::time::timeout(Duration::from_secs(1), self.work.notified()).await;
                continue;
            }
            let begun = Instant::now();
            let computed = self.lock().batch.step();
            tokio::time::sleep_until(begun + self.shape.step + self.shape.block * computed).await;
        }
    }

    /// Handles one HTTP request.
    pub async fn handle(self, req: Request<IncomingBody>) -> Response {
        let path = req.uri().path().to_owned();
        let query = req.uri().query().map(str::to_owned);
        if let Some(attempt) = path.strip_prefix("/v1/runs/") {
            let cursor = param(query.as_deref(), "cursor").unwrap_or(0);
            return self.open_run(req.method(), attempt.parse().ok(), cursor);
        }
        match path.as_str() {
            "/v1/runs" => match read_json(req.into_body(), MAX_ORDER_LEN).await {
                Ok(order) => self.start_run(order).await,
                Err(_) => status(StatusCode::BAD_REQUEST),
            },
            "/v1/load" => ok(&self.load()),
            "/v1/events" => self.events(query.as_deref()).await,
            "/v1/blocks/export" => {
                match read_json::<ExportOrder, _>(req.into_body(), MAX_ORDER_LEN).await {
                    Ok(order) => ok(&self.export(order).await),
                    Err(_) => status(StatusCode::BAD_REQUEST),
                }
            }
            "/v1/orders/load" => match read_json(req.into_body(), MAX_ORDER_LEN).await {
                Ok(order) => self.load_weights(order).await,
                Err(_) => status(StatusCode::BAD_REQUEST),
            },
            "/admin/faults" => match read_json(req.into_body(), MAX_ORDER_LEN).await {
                Ok(faults) => {
                    self.lock().faults = faults;
                    status(StatusCode::OK)
                }
                Err(_) => status(StatusCode::BAD_REQUEST),
            },
            _ => status(StatusCode::NOT_FOUND),
        }
    }

    fn refusal(&self, order: &RunOrder) -> Option<Response> {
        let state = self.lock();
        if state.faults.leaving || state.batch.waiting().count() >= self.shape.max_waiting {
            return Some(status(StatusCode::SERVICE_UNAVAILABLE));
        }
        if order.model == self.model && order.version == state.version {
            return None;
        }
        let mut refusal = status(StatusCode::CONFLICT);
        let version = HeaderValue::from(state.version.0);
        refusal.headers_mut().insert(VERSION_HEADER, version);
        Some(refusal)
    }

    async fn start_run(&self, order: RunOrder) -> Response {
        if let Some(refusal) = self.refusal(&order) {
            return refusal;
        }
        let (tx, body) = Body::channel();
        tokio::spawn(self.clone().serve_run(order, tx));
        hyper::Response::new(body)
    }

    async fn serve_run(self, order: RunOrder, tx: BodySender) {
        let prompt_len = order.prompt.len() + order.delivered.len();
        let prompt_tokens = (prompt_len as u64).div_ceil(sillpin_core::block::BYTES_PER_TOKEN);
        let fetched = self.import(&order).await;
        let summary = RunSummary {
            tokens: 0,
            prompt_tokens: Tokens(prompt_tokens),
            cached_tokens: Tokens(0),
            imported_tokens: Tokens(fetched.blocks * sillpin_core::block::BLOCK_TOKENS),
            imported_bytes: fetched.bytes,
        };
        let answer = ExpectedAnswer::of(&order.prompt);
        let (attempt, cursor) = (order.attempt, order.start_index);
        let progress = self.lock().batch.add(order, summary);
        self.work.notify_one();
        self.stream(attempt, cursor, answer, progress, tx).await;
    }

    fn open_run(&self, method: &Method, attempt: Option<AttemptId>, cursor: u32) -> Response {
        let Some(attempt) = attempt else {
            return status(StatusCode::BAD_REQUEST);
        };
        let mut state = self.lock();
        if *method == Method::DELETE {
            state.batch.runs.remove(&attempt);
            return status(StatusCode::OK);
        }
        let Some(run) = state.batch.runs.get(&attempt) else {
            return status(StatusCode::NOT_FOUND);
        };
        let answer = ExpectedAnswer::of(&run.order.prompt);
        let progress = run.progress.subscribe();
        drop(state);
        let (tx, body) = Body::channel();
        let this = self.clone();
        tokio::spawn(async move { this.stream(attempt, cursor, answer, progress, tx).await });
        hyper::Response::new(body)
    }

    /// Returns the newest load report that is at least `load_lag` old, or the oldest one if none is.
    fn load(&self) -> LoadReport {
        let mut state = self.lock();
        let now = Instant::now();
        let report = self.report(&mut state);
        state.reports.push_back((now, report));
        while state.reports.len() > 1 && state.reports[1].0 + self.shape.load_lag <= now {
            state.reports.pop_front();
        }
        let (_, lagged) = &state.reports[0];
        lagged.clone()
    }

    fn report(&self, state: &mut State) -> LoadReport {
        state.sequence += 1;
        let leaving = state.faults.leaving;
        LoadReport {
            sequence: state.sequence,
            presence: if leaving {
                Presence::Leaving
            } else {
                Presence::Live
            },
            running: state.batch.running() as u32,
            slots: self.shape.max_batch as u32,
            waiting: state.batch.waiting().count() as u32,
            waiting_tokens: Tokens(
                state.batch.blocks_to_compute() * sillpin_core::block::BLOCK_TOKENS,
            ),
            version: Some(state.version),
            block_micros: self.shape.block.as_micros() as u64,
            cache_blocks: self.shape.cache_blocks as u32,
            fill: Share::NONE,
        }
    }

    async fn events(&self, query: Option<&str>) -> Response {
        let epoch = param(query, "epoch").unwrap_or(0);
        let after = param(query, "after").unwrap_or(0);
        let after = if epoch == self.epoch { after } else { 0 };
        let wait = Duration::from_millis(param(query, "wait_ms").unwrap_or(0));
        let deadline = Instant::now() + wait;
        loop {
            tokio::time::sleep(self.shape.event_lag).await;
            let events = self.lock().batch.cache.events_after(self.epoch, after);
            if events.sequence > after || Instant::now() >= deadline {
                return ok(&events);
            }
        }
    }

    async fn load_weights(&self, order: LoadOrder) -> Response {
        {
            let mut state = self.lock();
            if self.shape.check_fence && order.fence < state.fence {
                return status(StatusCode::CONFLICT);
            }
            state.fence = state.fence.max(order.fence);
        }
        if !self.fetch_weights(&order).await {
            return status(StatusCode::BAD_GATEWAY);
        }
        let mut state = self.lock();
        if self.shape.check_fence && order.fence < state.fence {
            return status(StatusCode::CONFLICT);
        }
        state.version = order.version;
        state.batch.cache.clear();
        status(StatusCode::OK)
    }
}
