//! A plain service. It counts executions by idempotency key, so that double executions are detected.

use crate::{Response, ok, status};
use hyper::{Request, StatusCode};
use serde::{Deserialize, Serialize};
use sillpin_core::target::LoadReport;
use sillpin_core::{Presence, Share};
use sillpin_http::IncomingBody;
use sillpin_http::read_limited;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// Maximum length of a request body, in bytes.
const MAX_BODY_LEN: usize = 64 << 20;

/// Faults and settings set at run time.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct ServiceFaults {
    /// Duration of an execution, in milliseconds.
    pub delay_ms: u64,
    /// Break the connection after the execution instead of sending a response.
    pub break_answer: bool,
    /// Report in the load report that the service is leaving.
    pub leaving: bool,
}

#[derive(Default)]
struct State {
    executions: BTreeMap<String, u32>,
    faults: ServiceFaults,
    reports: u64,
    running: u32,
}

/// The stand-in. Clones share their state.
#[derive(Clone, Default)]
pub struct ServiceStandin {
    state: Arc<Mutex<State>>,
}

impl ServiceStandin {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Handles one HTTP request.
    pub async fn handle(self, req: Request<IncomingBody>) -> Response {
        match req.uri().path() {
            "/v1/load" => ok(&self.load()),
            "/admin/executions" => ok(&self.lock().executions),
            "/admin/faults" => match sillpin_http::body::read_json(req.into_body(), 4096).await {
                Ok(faults) => {
                    self.lock().faults = faults;
                    status(StatusCode::OK)
                }
                Err(_) => status(StatusCode::BAD_REQUEST),
            },
            _ => self.execute(req).await,
        }
    }

    fn load(&self) -> LoadReport {
        let mut state = self.lock();
        state.reports += 1;
        let leaving = state.faults.leaving;
        LoadReport {
            sequence: state.reports,
            presence: if leaving {
                Presence::Leaving
            } else {
                Presence::Live
            },
            running: state.running,
            slots: 0,
            waiting: 0,
            waiting_tokens: Default::default(),
            version: None,
            block_micros: 0,
            cache_blocks: 0,
            fill: Share::NONE,
        }
    }

    async fn execute(&self, req: Request<IncomingBody>) -> Response {
        let key = req.headers().get("idempotency-key");
        let key = key.and_then(|k| k.to_str().ok()).unwrap_or("-").to_owned();
        let attempt = req.headers().get("sillpin-attempt").cloned();
        let Ok(body) = read_limited(req.into_body(), MAX_BODY_LEN).await else {
            return status(StatusCode::BAD_REQUEST);
        };
        let faults = {
            let mut state = self.lock();
            *state.executions.entry(key).or_default() += 1;
            state.running += 1;
            state.faults.clone()
        };
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        self.lock().running -= 1;
        let mut resp = hyper::Response::new(sillpin_http::Body::full(body));
        if let Some(attempt) = attempt {
            resp.headers_mut().insert("sillpin-attempt", attempt);
        }
        if faults.break_answer {
            let (tx, body) = sillpin_http::Body::channel();
            tokio::spawn(tx.abort("connection broken by the fault `break_answer`"));
            *resp.body_mut() = body;
        }
        resp
    }
}
