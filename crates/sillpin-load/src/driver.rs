//! Sends a workload, open loop: each request at its time, whether or not earlier ones have ended.

use crate::caller::{CallResult, CompletionRequest, call};
use crate::workload::{Action, Corpus, Event, Trace};
use hyper::{Method, Request, StatusCode, header};
use sillpin_core::{Outcome, PriorityClass, Problem};
use sillpin_http::body::read_json;
use sillpin_http::{Body, Client};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Maximum number of retries after a broken connection, and the pause before each.
const MAX_RETRIES: u32 = 3;
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Addresses, keys and other parameters with which a workload is sent.
#[derive(Debug, Clone)]
pub struct DriverConfig {
    /// Entries, used in turn. The list may change while the workload is sent, as a balancer's does.
    pub entries: watch::Receiver<Vec<SocketAddr>>,
    /// API key of each organisation.
    pub keys: HashMap<String, String>,
    /// Model of completion requests.
    pub model: String,
    /// Pool of plain services to call.
    pub service_pool: String,
    /// Maximum wait for a response.
    pub timeout: Duration,
    /// Whether callers retry a call with an idempotency key if its outcome is "unknown".
    pub retry_unknown: bool,
}

/// A request of a workload and its result.
#[derive(Debug, Clone)]
pub struct RequestRecord {
    /// Time at which it was due, from the start of the workload.
    pub at: Duration,
    /// Priority class.
    pub class: PriorityClass,
    /// Name of the organisation.
    pub organisation: String,
    /// Idempotency key, if the call runs at most once.
    pub once_key: Option<String>,
    /// Number of retries after a broken connection or an unknown outcome.
    pub retries: u32,
    /// Result of the last attempt.
    pub result: CallResult,
}

/// Sends a trace and returns the records of its requests, in no particular order. Calls `report_progress` with
/// the number of requests that have ended.
pub async fn run(
    config: &DriverConfig,
    trace: &Trace,
    corpus: &Corpus,
    report_progress: impl Fn(usize),
) -> Vec<RequestRecord> {
    let client = Client::default();
    let corpus = Arc::new(corpus.clone());
    let start = Instant::now();
    let mut tasks = JoinSet::new();
    let mut records = Vec::with_capacity(trace.events.len());
    for (number, event) in trace.events.iter().enumerate() {
        tokio::time::sleep_until(start + Duration::from_micros(event.at_us)).await;
        let request = ScheduledRequest {
            config: config.clone(),
            client: client.clone(),
            corpus: corpus.clone(),
            event: event.clone(),
            number,
        };
        tasks.spawn(request.run());
        while let Some(Ok(record)) = tasks.try_join_next() {
            records.push(record);
        }
        report_progress(records.len());
    }
    while let Some(record) = tasks.join_next().await {
        records.extend(record.ok());
        report_progress(records.len());
    }
    records
}

struct ScheduledRequest {
    config: DriverConfig,
    client: Client,
    corpus: Arc<Corpus>,
    event: Event,
    number: usize,
}

impl ScheduledRequest {
    /// Sends the request. Like a caller behind a balancer, it retries at another entry if the connection broke
    /// without a response. A call that runs at most once keeps its idempotency key.
    async fn run(self) -> RequestRecord {
        let mut retries = 0;
        let mut result = self.send(retries).await;
        while self.needs_retry(&result) && retries < MAX_RETRIES {
            retries += 1;
            tokio::time::sleep(RETRY_PAUSE).await;
            result = self.send(retries).await;
        }
        let once_key = match &self.event.action {
            Action::Once { key, .. } => Some(key.clone()),
            Action::Complete { .. } => None,
        };
        RequestRecord {
            at: Duration::from_micros(self.event.at_us),
            class: self.event.class,
            organisation: self.event.organisation.clone(),
            once_key,
            retries,
            result,
        }
    }

    fn needs_retry(&self, result: &CallResult) -> bool {
        let once = matches!(self.event.action, Action::Once { .. });
        let unknown = result.outcome() == Some(Outcome::Unknown);
        matches!(result, CallResult::Lost(_)) || (once && unknown && self.config.retry_unknown)
    }

    async fn send(&self, retries: u32) -> CallResult {
        let entry = self.entry(retries);
        match &self.event.action {
            Action::Complete { prompt, tokens } => {
                let completion = CompletionRequest {
                    class: self.event.class,
                    timeout: self.config.timeout,
                    ..CompletionRequest::new(
                        self.key(),
                        &self.config.model,
                        self.corpus.text(prompt),
                        *tokens,
                    )
                };
                call(&self.client, entry, &completion).await
            }
            Action::Once { key, body } => self.call_service(entry, key, body).await,
        }
    }

    fn entry(&self, retries: u32) -> SocketAddr {
        let entries = self.config.entries.borrow();
        entries[(self.number + retries as usize) % entries.len().max(1)]
    }

    fn key(&self) -> &str {
        let key = self.config.keys.get(&self.event.organisation);
        key.map_or("", String::as_str)
    }

    /// Calls a plain service, which echoes the body.
    async fn call_service(&self, entry: SocketAddr, key: &str, body: &str) -> CallResult {
        let begun = Instant::now();
        let req = Request::builder()
            .method(Method::POST)
            .uri(format!(
                "http://{entry}/services/{}/unlock",
                self.config.service_pool
            ))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.key()))
            .header("idempotency-key", key)
            .body(Body::full(body.to_owned()));
        let Ok(req) = req else {
            return CallResult::Lost(
                "the HTTP request could not be built: invalid address or header value".to_owned(),
            );
        };
        let sending = self.client.send("call a service", entry, req);
        let resp = match tokio::time::timeout(self.config.timeout, sending).await {
            Ok(Ok(resp)) => resp,
            Ok(Err(e)) => return CallResult::Lost(e.to_string()),
            Err(_) => return CallResult::Lost("no response within the timeout".to_owned()),
        };
        let after = begun.elapsed();
        if resp.status() != StatusCode::OK {
            return match read_json::<Problem, _>(resp.into_body(), 1 << 16).await {
                Ok(problem) => CallResult::Refused { problem, after },
                Err(e) => CallResult::Lost(e.to_string()),
            };
        }
        match sillpin_http::read_limited(resp.into_body(), 1 << 20).await {
            Ok(echo) if echo == body => CallResult::Answered {
                first_token: after,
                total: begun.elapsed(),
                usage: Default::default(),
                request: None,
            },
            Ok(_) => CallResult::Mixed("the response to another call".to_owned()),
            Err(e) => CallResult::Lost(e.to_string()),
        }
    }
}

impl RequestRecord {
    /// Returns whether the outcome reported to the caller is "not run".
    pub fn is_not_run(&self) -> bool {
        self.result.outcome() == Some(Outcome::NotRun)
    }
}
