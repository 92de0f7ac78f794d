//! Admission of a request: finds its route and organisation, and reads its body.

use super::body_memory::{BodyError, BufferedBody};
use super::refusal::Refusal;
use super::shared::Shared;
use crate::config::{FleetConfig, Organisation, Priority, Route};
use crate::dialect::{Dialect, RequestHead};
use crate::fatal::{Candidates, Fingerprint};
use crate::fleet_state::View;
use crate::forward::head::ForwardHead;
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, StatusCode};
use sillpin_http::IncomingBody;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::Instant;

/// Maximum age of a configuration that is used to deny a request definitively. Configuration changes may take two seconds
/// to come into force.
const MAX_DENY_AGE: Duration = Duration::from_millis(1_800);

/// How long a request that the configuration does not allow waits for a fresher configuration.
const DENY_WAIT: Duration = Duration::from_millis(500);

/// A request that passed admission.
pub struct AdmittedRequest {
    /// Its parsed head.
    pub head: RequestHead,
    /// Configuration that allowed it.
    pub config: Arc<FleetConfig>,
    /// Its route.
    pub route: Arc<Route>,
    /// Organisation of the caller, unless no key was needed.
    pub organisation: Option<Arc<Organisation>>,
    /// Time at which its head was read.
    pub read: Instant,
    /// Time at which its head arrived at the first box.
    pub arrival: Instant,
    /// Time by which it must have its final response.
    pub deadline: Instant,
    /// Method.
    pub method: Method,
    /// Path and query, as sent.
    pub path: String,
    /// Headers, as sent.
    pub headers: HeaderMap,
    /// Body, as sent.
    pub body: BufferedBody,
    /// What may be the cause if a target crashes under it.
    pub candidates: Candidates,
    /// Maximum number of targets that may run it.
    pub max_runs: u32,
    /// Set if another box sent it.
    pub forwarded: Option<Forwarded>,
}

impl AdmittedRequest {
    /// Priority of the request: that of the organisation if it has one, else that of the route.
    pub fn priority(&self) -> Priority {
        let own = self.organisation.as_ref().and_then(|org| org.priority);
        own.unwrap_or(self.route.priority)
    }

    /// How long the caller has waited. A caller whose timeout is shorter than the route's has been refused before or
    /// lost its connection, and has waited for the difference already.
    pub fn waited(&self) -> Duration {
        let timeout = self.head.timeout.unwrap_or(self.route.timeout);
        let before = self.route.timeout.saturating_sub(timeout);
        before + self.arrival.elapsed()
    }

    /// Time left until its deadline.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// A request that another box sent.
pub struct Forwarded {
    /// What that box states about it.
    pub head: ForwardHead,
    /// Counts it among the requests that this box serves for others.
    pub permit: OwnedSemaphorePermit,
}

/// Configuration, route and organisation that allowed a request.
type Admitted = (Arc<FleetConfig>, Arc<Route>, Option<Arc<Organisation>>);

/// Decision of the configuration about a request.
enum Access {
    Allowed(Arc<Route>, Option<Arc<Organisation>>),
    Denied(StatusCode, &'static str),
}

impl<D: Dialect> Shared<D> {
    /// Finds the route and organisation of a request and reads its body.
    pub async fn admit(
        &self,
        parts: Parts,
        body: &mut IncomingBody,
        head: RequestHead,
        forwarded: Option<Forwarded>,
    ) -> Result<AdmittedRequest, Refusal> {
        let arrival = Instant::now();
        let path = parts.uri.path_and_query();
        let path = path.map_or("/", |path| path.as_str()).to_owned();
        let (config, route, organisation) = self.authorise(&head, parts.uri.path()).await?;
        let timeout = head.timeout.unwrap_or(route.timeout).min(route.timeout);
        let deadline = arrival + timeout;
        let is_forwarded = forwarded.is_some();
        self.check_time_to_stop(&route, deadline, is_forwarded)?;
        let limit = config.limits.body_len;
        let reading = tokio::time::timeout_at(deadline, self.body_memory.read(body, limit)).await;
        let body = match reading {
            Ok(read) => read.map_err(body_refusal)?,
            Err(_) => {
                return Err(Refusal::denied(
                    StatusCode::REQUEST_TIMEOUT,
                    "body too slow",
                ));
            }
        };
        self.check_time_to_stop(&route, deadline, is_forwarded)?;
        let caller = match &organisation {
            Some(org) => org.id.as_str(),
            None => head.key.as_deref().unwrap_or_default(),
        };
        let fingerprint = Fingerprint::of(caller, &head.host, &parts.method, &path, &body.bytes);
        let candidates = Candidates::of(fingerprint, head.prompt.as_ref());
        let max_runs = forwarded
            .as_ref()
            .map_or(route.max_runs, |of| of.head.max_runs.min(route.max_runs));
        let waited = forwarded.as_ref().map(|of| of.head.waited());
        Ok(AdmittedRequest {
            candidates,
            head,
            config,
            max_runs,
            forwarded,
            organisation,
            read: arrival,
            arrival: waited
                .and_then(|waited| arrival.checked_sub(waited.min(route.timeout)))
                .unwrap_or(arrival),
            route,
            deadline,
            method: parts.method,
            path,
            headers: parts.headers,
            body,
        })
    }

    /// Finds the route and organisation of a request. Denies it only by a fresh configuration.
    async fn authorise(&self, head: &RequestHead, path: &str) -> Result<Admitted, Refusal> {
        let view = self.fleet.view();
        let config = view.config.clone();
        let config = config.ok_or_else(|| Refusal::not_run("no configuration yet"))?;
        let (status, reason) = match check_access(&config, head, path) {
            Access::Allowed(route, org) => return Ok((config, route, org)),
            Access::Denied(status, reason) => (status, reason),
        };
        if is_fresh(&view) {
            return Err(Refusal::denied(status, reason));
        }
        let config = self.wait_for_fresh_config().await?;
        match check_access(&config, head, path) {
            Access::Allowed(route, org) => Ok((config, route, org)),
            Access::Denied(status, reason) => Err(Refusal::denied(status, reason)),
        }
    }

    /// Waits for a configuration that is fresh enough to deny a request.
    async fn wait_for_fresh_config(&self) -> Result<Arc<FleetConfig>, Refusal> {
        let mut views = self.fleet.subscribe();
        let fresh = views.wait_for(|view| is_fresh(view));
        let view = tokio::time::timeout(DENY_WAIT, fresh).await;
        let config = match view {
            Ok(Ok(view)) => view.config.clone(),
            _ => None,
        };
        config.ok_or_else(|| Refusal::not_run("configuration not confirmed of late"))
    }
}

/// Whether what operators publish was confirmed recently.
pub fn is_fresh(view: &View) -> bool {
    let confirmed = view.operators_sync.confirmed;
    confirmed.is_some_and(|at| at.elapsed() < MAX_DENY_AGE)
}

/// Checks a request against a configuration.
fn check_access(config: &FleetConfig, head: &RequestHead, path: &str) -> Access {
    let Some(route) = config.route(&head.host, path) else {
        return Access::Denied(StatusCode::NOT_FOUND, "no such route");
    };
    if route.public || config.is_open() {
        return Access::Allowed(route.clone(), None);
    }
    let key = head.key.as_deref().unwrap_or_default();
    match config.organisation(key) {
        Some(org) => Access::Allowed(route.clone(), Some(org.clone())),
        None => Access::Denied(StatusCode::UNAUTHORIZED, "unknown key"),
    }
}

fn body_refusal(error: BodyError) -> Refusal {
    let status = match error {
        BodyError::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
        BodyError::NoMemory => return Refusal::not_run(error.to_string()),
        BodyError::Truncated => StatusCode::BAD_REQUEST,
    };
    Refusal::denied(status, error.to_string())
}
