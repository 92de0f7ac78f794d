//! Client of model engines over HTTP: requests in JSON, response streams with one JSON document per line.

use crate::engine::{
    CacheEvents, Engine, EngineError, EngineFault, ExportOrder, Exported, LoadOrder, RunEvent,
    RunOrder, RunStream,
};
use hyper::{Method, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use sillpin_core::switches::{Mechanism, is_off};
use sillpin_core::target::LoadReport;
use sillpin_core::{AttemptId, Outcome};
use sillpin_http::client::{Call, CallFault};
use sillpin_http::{CallError, Client, JsonLines, Sent};
use std::net::SocketAddr;
use std::time::Duration;

/// Time-out of load reports, cancellations and (in addition to their wait time) cache events.
const QUERY_TIMEOUT: Duration = Duration::from_millis(800);

/// Time-out of exports and weight loads.
const ORDER_TIMEOUT: Duration = Duration::from_secs(30);

/// Header with the weight version that an engine serves, sent when it refuses a run of another one.
pub const VERSION_HEADER: &str = "sillpin-weight-version";

const NO_BODY: Option<&()> = None;

/// Client of all engines.
#[derive(Clone, Default)]
pub struct HttpEngine {
    client: Client,
}

impl HttpEngine {
    /// Creates a client that sends its requests through `client`.
    pub fn new(client: Client) -> Self {
        Self { client }
    }

    async fn query<T: Serialize, R: DeserializeOwned>(
        &self,
        call: Call<'_>,
        doc: Option<&T>,
    ) -> Result<R, EngineError> {
        let reply = self.client.call_json(call, doc).await;
        reply.map_err(|e| classify(&e))
    }

    async fn open(
        &self,
        call: Call<'_>,
        doc: Option<&impl Serialize>,
        attempt: AttemptId,
        next_index: u32,
    ) -> Result<HttpRun, EngineError> {
        let peer = call.peer;
        let resp = self.client.call(call, doc).await;
        let resp = resp.map_err(|e| classify(&e))?;
        Ok(HttpRun {
            lines: JsonLines::new(resp.into_body()),
            peer,
            attempt,
            next_index,
            ended: false,
        })
    }
}

/// Converts a failed call. With a refusal status, the engine states that it did not start the run.
fn classify(e: &CallError) -> EngineError {
    let (fault, outcome) = match (&e.fault, e.sent) {
        (CallFault::Status { status, .. }, _) => classify_refusal(e, *status),
        (_, Sent::No) => (EngineFault::Unreachable, Outcome::NotRun),
        (CallFault::Timeout(_), _) => (EngineFault::Timeout, Outcome::Unknown),
        _ => (EngineFault::Cut, Outcome::Unknown),
    };
    EngineError {
        step: e.step,
        peer: e.peer,
        fault,
        outcome,
    }
}

fn classify_refusal(e: &CallError, status: StatusCode) -> (EngineFault, Outcome) {
    let version = e.header(VERSION_HEADER).and_then(|text| text.parse().ok());
    match version {
        Some(version) if status == StatusCode::CONFLICT => {
            (EngineFault::OtherVersion(version), Outcome::NotRun)
        }
        _ => classify_status(status),
    }
}

fn classify_status(status: StatusCode) -> (EngineFault, Outcome) {
    let refused = [
        StatusCode::CONFLICT,
        StatusCode::NOT_FOUND,
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::TOO_MANY_REQUESTS,
    ];
    if refused.contains(&status) {
        return (EngineFault::Refused, Outcome::NotRun);
    }
    (EngineFault::Cut, Outcome::Unknown)
}

/// Response stream of a run over HTTP. It checks that every document belongs to the requested attempt
/// and that the token indexes and the end mark are consistent; otherwise it returns an error, and
/// dropping it closes the connection.
pub struct HttpRun {
    lines: JsonLines,
    peer: SocketAddr,
    attempt: AttemptId,
    next_index: u32,
    ended: bool,
}

impl HttpRun {
    fn failed(&self, fault: EngineFault) -> EngineError {
        EngineError {
            step: "read a run's answer",
            peer: self.peer,
            fault,
            outcome: Outcome::Unknown,
        }
    }

    fn check(&mut self, event: RunEvent) -> Result<RunEvent, EngineError> {
        let attempt = match &event {
            RunEvent::Token { attempt, .. } | RunEvent::End { attempt, .. } => *attempt,
        };
        if attempt != self.attempt && !is_off(Mechanism::Attempt) {
            return Err(self.failed(EngineFault::Crossed));
        }
        match &event {
            RunEvent::Token { index, .. } if *index == self.next_index => self.next_index += 1,
            RunEvent::End { summary, .. } if summary.tokens == self.next_index => self.ended = true,
            _ => return Err(self.failed(EngineFault::Mismatch)),
        }
        Ok(event)
    }
}

impl RunStream for HttpRun {
    async fn next(&mut self) -> Result<Option<RunEvent>, EngineError> {
        if self.ended {
            return Ok(None);
        }
        match self.lines.next().await {
            Ok(Some(event)) => self.check(event).map(Some),
            Ok(None) | Err(_) => Err(self.failed(EngineFault::Cut)),
        }
    }
}

impl Engine for HttpEngine {
    type Stream = HttpRun;

    async fn run(
        &self,
        peer: SocketAddr,
        order: &RunOrder,
        timeout: Duration,
    ) -> Result<HttpRun, EngineError> {
        let call = Call {
            step: "start a run",
            peer,
            method: Method::POST,
            path: "/v1/runs",
            timeout,
        };
        self.open(call, Some(order), order.attempt, order.start_index)
            .await
    }

    async fn resume(
        &self,
        peer: SocketAddr,
        attempt: AttemptId,
        cursor: u32,
        timeout: Duration,
    ) -> Result<HttpRun, EngineError> {
        let call = Call {
            step: "resume a run",
            peer,
            method: Method::GET,
            path: &format!("/v1/runs/{attempt}?cursor={cursor}"),
            timeout,
        };
        self.open(call, NO_BODY, attempt, cursor).await
    }

    async fn cancel(&self, peer: SocketAddr, attempt: AttemptId) -> Result<(), EngineError> {
        let call = Call {
            step: "cancel a run",
            peer,
            method: Method::DELETE,
            path: &format!("/v1/runs/{attempt}"),
            timeout: QUERY_TIMEOUT,
        };
        self.query(call, NO_BODY).await
    }

    async fn load(&self, peer: SocketAddr) -> Result<LoadReport, EngineError> {
        let call = Call {
            step: "read a load report",
            peer,
            method: Method::GET,
            path: "/v1/load",
            timeout: QUERY_TIMEOUT,
        };
        self.query(call, NO_BODY).await
    }

    async fn cache_events(
        &self,
        peer: SocketAddr,
        epoch: u64,
        sequence: u64,
        wait: Duration,
    ) -> Result<CacheEvents, EngineError> {
        let wait_ms = wait.as_millis();
        let call = Call {
            step: "read cache events",
            peer,
            method: Method::GET,
            path: &format!("/v1/events?epoch={epoch}&after={sequence}&wait_ms={wait_ms}"),
            timeout: QUERY_TIMEOUT + wait,
        };
        self.query(call, NO_BODY).await
    }

    async fn export(&self, peer: SocketAddr, order: &ExportOrder) -> Result<Exported, EngineError> {
        let call = Call {
            step: "export blocks",
            peer,
            method: Method::POST,
            path: "/v1/blocks/export",
            timeout: ORDER_TIMEOUT,
        };
        self.query(call, Some(order)).await
    }

    async fn load_weights(&self, peer: SocketAddr, order: &LoadOrder) -> Result<(), EngineError> {
        let call = Call {
            step: "load weights",
            peer,
            method: Method::POST,
            path: "/v1/orders/load",
            timeout: ORDER_TIMEOUT,
        };
        self.query(call, Some(order)).await
    }
}
