//! Admission of a request: finds its route and organisation, and reads its body.

use super::answers::Refusal;
use super::body_room::{BodyFault, HeldBody};
use super::shared::Shared;
use crate::beliefs::View;
use crate::config::{FleetConfig, Organisation, Priority, Route};
use crate::dialect::{RequestHead, Dialect};
use crate::fatal::RequestPrint;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, StatusCode};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum age of a configuration that is used to deny a request for good. Configuration changes may take two seconds
/// to come into force.
const DENY_FRESH: Duration = Duration::from_millis(1_800);

/// How long a request that the configuration does not allow waits for a fresher configuration.
const DENY_WAIT: Duration = Duration::from_millis(500);

/// A request that passed admission.
pub struct Run {
    /// Its parsed head.
    pub demand: RequestHead,
    /// Configuration that allowed it.
    pub config: Arc<FleetConfig>,
    /// Its route.
    pub route: Arc<Route>,
    /// Organisation of the caller, unless no key was needed.
    pub organisation: Option<Arc<Organisation>>,
    /// Time at which its head arrived.
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
    pub body: HeldBody,
    /// Identifies repetitions of the same request.
    pub print: RequestPrint,
}

impl Run {
    /// Priority of the request: that of the organisation if it has one, else that of the route.
    pub fn priority(&self) -> Priority {
        let own = self.organisation.as_ref().and_then(|org| org.priority);
        own.unwrap_or(self.route.priority)
    }

    /// How long the caller has waited. A caller whose time-out is shorter than the route's has been refused before or
    /// lost its connection, and has waited for the difference already.
    pub fn waited(&self) -> Duration {
        let timeout = self.demand.timeout.unwrap_or(self.route.timeout);
        let before = self.route.timeout.saturating_sub(timeout);
        before + self.arrival.elapsed()
    }

    /// Time left until its deadline.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// Configuration, route and organisation that allowed a request.
type Admitted = (Arc<FleetConfig>, Arc<Route>, Option<Arc<Organisation>>);

/// Decision of the configuration about a request.
enum Verdict {
    Allowed(Arc<Route>, Option<Arc<Organisation>>),
    Denied(StatusCode, &'static str),
}

impl<D: Dialect> Shared<D> {
    /// Finds the route and organisation of a request and reads its body.
    pub async fn admit(
        &self,
        parts: Parts,
        body: Incoming,
        demand: RequestHead,
    ) -> Result<Run, Refusal> {
        let arrival = Instant::now();
        let path = parts.uri.path_and_query();
        let path = path.map_or("/", |path| path.as_str()).to_owned();
        let (config, route, organisation) = self.authorise(&demand, parts.uri.path()).await?;
        let timeout = demand.timeout.unwrap_or(route.timeout).min(route.timeout);
        let deadline = arrival + timeout;
        let limit = config.limits.body_len;
        let reading = tokio::time::timeout_at(deadline, self.bodies.read(body, limit)).await;
        let body = match reading {
            Ok(read) => read.map_err(body_refusal)?,
            Err(_) => {
                return Err(Refusal::denied(
                    StatusCode::REQUEST_TIMEOUT,
                    "body too slow",
                ));
            }
        };
        let caller = match &organisation {
            Some(org) => org.id.as_str(),
            None => demand.key.as_deref().unwrap_or_default(),
        };
        let print = RequestPrint::of(caller, &demand.host, &parts.method, &path, &body.bytes);
        Ok(Run {
            print,
            demand,
            config,
            route,
            organisation,
            arrival,
            deadline,
            method: parts.method,
            path,
            headers: parts.headers,
            body,
        })
    }

    async fn authorise(&self, demand: &RequestHead, path: &str) -> Result<Admitted, Refusal> {
        let view = self.fleet.view();
        let config = view.config.clone();
        let config = config.ok_or_else(|| Refusal::not_run("no configuration yet"))?;
        let (status, why) = match judge(&config, demand, path) {
            Verdict::Allowed(route, org) => return Ok((config, route, org)),
            Verdict::Denied(status, why) => (status, why),
        };
        if is_fresh(&view) {
            return Err(Refusal::denied(status, why));
        }
        let config = self.fresher_config().await?;
        match judge(&config, demand, path) {
            Verdict::Allowed(route, org) => Ok((config, route, org)),
            Verdict::Denied(status, why) => Err(Refusal::denied(status, why)),
        }
    }

    /// Waits for a configuration that is fresh enough to deny a request.
    async fn fresher_config(&self) -> Result<Arc<FleetConfig>, Refusal> {
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
    let confirmed = view.operators.confirmed;
    confirmed.is_some_and(|at| at.elapsed() < DENY_FRESH)
}

fn judge(config: &FleetConfig, demand: &RequestHead, path: &str) -> Verdict {
    let Some(route) = config.route(&demand.host, path) else {
        return Verdict::Denied(StatusCode::NOT_FOUND, "no such route");
    };
    if route.public || config.organisations.is_empty() {
        return Verdict::Allowed(route.clone(), None);
    }
    let key = demand.key.as_deref().unwrap_or_default();
    match config.organisation(key) {
        Some(org) => Verdict::Allowed(route.clone(), Some(org.clone())),
        None => Verdict::Denied(StatusCode::UNAUTHORIZED, "unknown key"),
    }
}

fn body_refusal(fault: BodyFault) -> Refusal {
    let status = match fault {
        BodyFault::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
        BodyFault::NoRoom => return Refusal::not_run(fault.to_string()),
        BodyFault::Cut => StatusCode::BAD_REQUEST,
    };
    Refusal::denied(status, fault.to_string())
}
