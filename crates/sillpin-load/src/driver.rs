//! Sends a workload, open loop: each request at its time, whatever became of those before it.

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

/// Times that a request is sent again after a broken connection, and the pause before.
const MAX_RESENDS: u32 = 3;
const RESEND_PAUSE: Duration = Duration::from_millis(50);

/// Where and as whom a workload is sent.
#[derive(Debug, Clone)]
pub struct Drive {
    /// Entries, used in turn. May change while the workload is sent, as a balancer's list does.
    pub entries: watch::Receiver<Vec<SocketAddr>>,
    /// Key of each organisation.
    pub keys: HashMap<String, String>,
    /// Model to ask.
    pub model: String,
    /// Pool of plain services to call.
    pub service_pool: String,
    /// Longest wait for an answer.
    pub timeout: Duration,
    /// Whether callers send a call that runs at most once again when told "unknown".
    pub resend_unknown: bool,
}

/// What became of one request.
#[derive(Debug, Clone)]
pub struct Row {
    /// When it was sent.
    pub at: Duration,
    /// Its class.
    pub class: PriorityClass,
    /// Its organisation.
    pub organisation: String,
    /// Its idempotency key, if it runs at most once.
    pub once_key: Option<String>,
    /// Times that it was sent again after a broken connection.
    pub resends: u32,
    /// What came back in the end.
    pub got: CallResult,
}

/// Sends a trace and gathers what became of each request, in no particular order. `progress` is
/// told how many have ended.
pub async fn run(
    drive: &Drive,
    trace: &Trace,
    corpus: &Corpus,
    progress: impl Fn(usize),
) -> Vec<Row> {
    let client = Client::default();
    let corpus = Arc::new(corpus.clone());
    let start = Instant::now();
    let mut tasks = JoinSet::new();
    let mut rows = Vec::with_capacity(trace.events.len());
    for (number, event) in trace.events.iter().enumerate() {
        tokio::time::sleep_until(start + Duration::from_micros(event.at_us)).await;
        let send = Send {
            drive: drive.clone(),
            client: client.clone(),
            corpus: corpus.clone(),
            event: event.clone(),
            number,
        };
        tasks.spawn(send.run());
        while let Some(Ok(row)) = tasks.try_join_next() {
            rows.push(row);
        }
        progress(rows.len());
    }
    while let Some(row) = tasks.join_next().await {
        rows.extend(row.ok());
        progress(rows.len());
    }
    rows
}

struct Send {
    drive: Drive,
    client: Client,
    corpus: Arc<Corpus>,
    event: Event,
    number: usize,
}

impl Send {
    /// Sends the request; like any caller behind a balancer, it asks another entry when a
    /// connection broke without a word. A call that runs at most once keeps its idempotency key.
    async fn run(self) -> Row {
        let mut resends = 0;
        let mut got = self.send(resends).await;
        while self.sends_again(&got) && resends < MAX_RESENDS {
            resends += 1;
            tokio::time::sleep(RESEND_PAUSE).await;
            got = self.send(resends).await;
        }
        let once_key = match &self.event.action {
            Action::Once { key, .. } => Some(key.clone()),
            Action::Complete { .. } => None,
        };
        Row {
            at: Duration::from_micros(self.event.at_us),
            class: self.event.class,
            organisation: self.event.organisation.clone(),
            once_key,
            resends,
            got,
        }
    }

    fn sends_again(&self, got: &CallResult) -> bool {
        let once = matches!(self.event.action, Action::Once { .. });
        let unknown = got.outcome() == Some(Outcome::Unknown);
        matches!(got, CallResult::Lost(_)) || (once && unknown && self.drive.resend_unknown)
    }

    async fn send(&self, resends: u32) -> CallResult {
        let entry = self.entry(resends);
        match &self.event.action {
            Action::Complete { prompt, tokens } => {
                let ask = CompletionRequest {
                    class: self.event.class,
                    timeout: self.drive.timeout,
                    ..CompletionRequest::new(
                        self.key(),
                        &self.drive.model,
                        self.corpus.text(prompt),
                        *tokens,
                    )
                };
                call(&self.client, entry, &ask).await
            }
            Action::Once { key, body } => self.once(entry, key, body).await,
        }
    }

    fn entry(&self, resends: u32) -> SocketAddr {
        let entries = self.drive.entries.borrow();
        entries[(self.number + resends as usize) % entries.len().max(1)]
    }

    fn key(&self) -> &str {
        let key = self.drive.keys.get(&self.event.organisation);
        key.map_or("", String::as_str)
    }

    /// Calls a plain service that echoes the body.
    async fn once(&self, entry: SocketAddr, key: &str, body: &str) -> CallResult {
        let begun = Instant::now();
        let req = Request::builder()
            .method(Method::POST)
            .uri(format!(
                "http://{entry}/services/{}/unlock",
                self.drive.service_pool
            ))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.key()))
            .header("idempotency-key", key)
            .body(Body::full(body.to_owned()));
        let Ok(req) = req else {
            return CallResult::Lost("the request could not be built".to_owned());
        };
        let sent = self.client.send("call a service", entry, req);
        let resp = match tokio::time::timeout(self.drive.timeout, sent).await {
            Ok(Ok(resp)) => resp,
            Ok(Err(e)) => return CallResult::Lost(e.to_string()),
            Err(_) => return CallResult::Lost("no answer in time".to_owned()),
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
                whole: begun.elapsed(),
                usage: Default::default(),
                request: None,
            },
            Ok(_) => CallResult::Mixed("another call's answer".to_owned()),
            Err(e) => CallResult::Lost(e.to_string()),
        }
    }
}

impl Row {
    /// Whether the caller was told that the request was not run.
    pub fn is_not_run(&self) -> bool {
        self.got.outcome() == Some(Outcome::NotRun)
    }
}
