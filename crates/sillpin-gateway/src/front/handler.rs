//! Handlers of the listeners for callers, for other boxes' requests and for the balancer's checks.

use super::admit::Forwarded;
use super::discard::discard_rest;
use super::drain::StoppingEnd;
use super::refusal::{Refusal, close_after};
use super::shared::Shared;
use crate::dialect::Dialect;
use crate::forward::head::{AnsweringTarget, FORWARD, ForwardHead, ForwardResult, Unavailable};
use crate::streams::VersionHash;
use futures::FutureExt;
use hyper::header::EXPECT;
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode};
use sillpin_http::IncomingBody;
use sillpin_http::{Body, empty_response};
use sillpin_telemetry::{event, events};
use std::any::Any;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tokio::time::Instant;

/// Responds to callers and to the balancer.
pub struct Front<D> {
    shared: Arc<Shared<D>>,
}

impl<D> Clone for Front<D> {
    fn clone(&self) -> Self {
        Self {
            shared: self.shared.clone(),
        }
    }
}

impl<D: Dialect> Front<D> {
    /// Creates the handlers over the shared state. Requests that have no response yet when the box stops without waiting
    /// for them any longer are refused.
    pub fn new(shared: Arc<Shared<D>>) -> Self {
        Self { shared }
    }

    /// Handles a caller's request.
    pub async fn serve(self, req: Request<IncomingBody>) -> Response<Body> {
        let started = Instant::now();
        let (mut parts, body) = req.into_parts();
        parts.headers.remove(FORWARD);
        let (mut resp, closes) = match self.respond(parts, body, None, started).await {
            Ok(resp) => (resp, false),
            Err(refused) => {
                let id = refused.id.as_deref();
                let resp = refused.refusal.response(&self.shared.dialect, id);
                (resp, refused.closes)
            }
        };
        if closes || self.shared.stopping.is_cancelled() {
            close_after(&mut resp);
        }
        resp
    }

    /// Handles a request that another box sent because it does not reach the targets.
    pub async fn serve_forwarded(self, req: Request<IncomingBody>) -> Response<Body> {
        let started = Instant::now();
        let (mut parts, body) = req.into_parts();
        let accepted = match ForwardHead::take(&mut parts.headers, self.shared.fleet_key) {
            Ok(head) => self.shared.accept_forwarded(head).await,
            Err(e) => Err(Refusal {
                unavailable: Some(Unavailable::NotAccepted),
                ..Refusal::denied(StatusCode::BAD_REQUEST, e.to_string())
            }),
        };
        let mut closes = false;
        let result = match accepted {
            Ok(forwarded) => {
                let result = self.respond(parts, body, Some(forwarded), started).await;
                result.map_err(|refused| {
                    closes = refused.closes;
                    refused.refusal
                })
            }
            Err(refusal) => {
                closes = !discard_rest(body, false);
                Err(refusal)
            }
        };
        let (mut resp, result) = match result {
            Ok(resp) => {
                let version = resp.extensions().get::<VersionHash>().copied();
                let target = resp.extensions().get::<AnsweringTarget>().cloned();
                (resp, ForwardResult::Target { version, target })
            }
            Err(refusal) => {
                let mut resp = refusal.response(&self.shared.dialect, None);
                refusal.named.set(resp.headers_mut());
                (resp, refusal.forward_result())
            }
        };
        result.set(resp.headers_mut());
        if closes || self.shared.stopping.is_cancelled() {
            close_after(&mut resp);
        }
        resp
    }

    /// Serves a request, and logs the refusal if it is refused.
    async fn respond(
        &self,
        parts: Parts,
        mut body: IncomingBody,
        forwarded: Option<Forwarded>,
        started: Instant,
    ) -> Result<Response<Body>, Refused> {
        let shared = &self.shared;
        let head = match shared.dialect.read_request(&parts) {
            Ok(head) => head,
            Err(e) => {
                let refusal = Refusal::denied(StatusCode::BAD_REQUEST, e.to_string());
                self.log_refusal("", "", &refusal, started);
                discard_rest(body, parts.headers.contains_key(EXPECT));
                return Err(Refused {
                    id: None,
                    refusal,
                    closes: true,
                });
            }
        };
        let id = head.id.clone();
        let path = parts.uri.path().to_owned();
        let awaits_continue = parts.headers.contains_key(EXPECT);
        let guard = DisconnectGuard::new(shared, &id, started);
        let serving = async {
            let admitting = shared.admit(parts, &mut body, head, forwarded);
            let admitted = shared.aborting.run_until_cancelled(admitting).await;
            let request = admitted.unwrap_or_else(|| Err(shared.refuse_stopping()))?;
            let serving = shared.dispatch(request);
            let served = shared.aborting.run_until_cancelled(serving).await;
            served.unwrap_or_else(|| Err(Refusal::unknown("the box stops")))
        };
        // A panic would close the caller's connection without a response.
        let result = AssertUnwindSafe(serving).catch_unwind().await;
        let result = result.unwrap_or_else(|panic| {
            event!(shared.log, events::HANDLER_PANICKED, "request" => &id, "path" => &path,
                "why" => panic_message(&*panic), "elapsed_ms" => started.elapsed().as_millis());
            Err(Refusal::unknown("internal error"))
        });
        guard.answered();
        result.map_err(|refusal| {
            self.log_refusal(&id, &path, &refusal, started);
            let is_too_slow = refusal.status == StatusCode::REQUEST_TIMEOUT;
            Refused {
                id: Some(id.clone()),
                closes: !discard_rest(body, awaits_continue) || is_too_slow,
                refusal,
            }
        })
    }

    /// Handles the balancer's readiness check: 200 if this box accepts requests, else 503.
    pub async fn ready(self, req: Request<IncomingBody>) -> Response<Body> {
        let known = self.shared.dialect.is_ready_check(req.uri().path());
        let is_crowded = self.shared.is_crowded.load(Ordering::Relaxed);
        let is_ready = self.shared.is_ready() && self.shared.tasks.are_running() && !is_crowded;
        match (known, is_ready) {
            (false, _) => empty_response(StatusCode::NOT_FOUND),
            (true, true) => empty_response(StatusCode::OK),
            (true, false) => empty_response(StatusCode::SERVICE_UNAVAILABLE),
        }
    }

    fn log_refusal(&self, id: &str, path: &str, refusal: &Refusal, started: Instant) {
        let view = self.shared.fleet.view();
        let age = view
            .operators_sync
            .confirmed
            .map(|at| at.elapsed().as_millis());
        self.shared.metrics.request("", "refused");
        event!(self.shared.log, events::REQUEST_FAILED, "request" => id, "path" => path,
            "status" => refusal.status.as_u16(), "outcome" => refusal.outcome.to_string(),
            "why" => &refusal.reason, "elapsed_ms" => started.elapsed().as_millis(),
            "config" => view.config.as_ref().map_or(0, |config| config.version.0),
            "config_age_ms" => age.unwrap_or(u128::MAX).min(u128::from(u64::MAX)) as u64);
        self.shared
            .record_stopping_end(id, started, StoppingEnd::Refused, &refusal.reason);
    }
}

/// Message of a panic, if it is text.
fn panic_message(panic: &(dyn Any + Send)) -> &str {
    let text = panic.downcast_ref::<&str>().copied();
    let text = text.or_else(|| panic.downcast_ref::<String>().map(String::as_str));
    text.unwrap_or_default()
}

/// A request that is refused.
struct Refused {
    /// Its id; `None` if its head cannot be read.
    id: Option<String>,
    refusal: Refusal,
    /// Whether its connection serves no other request.
    closes: bool,
}

/// Logs a request whose caller disconnects before the response; the handler's future is dropped then.
struct DisconnectGuard<'a, D: Dialect> {
    shared: &'a Arc<Shared<D>>,
    id: &'a str,
    started: Instant,
    answered: bool,
}

impl<'a, D: Dialect> DisconnectGuard<'a, D> {
    fn new(shared: &'a Arc<Shared<D>>, id: &'a str, started: Instant) -> Self {
        Self {
            shared,
            id,
            started,
            answered: false,
        }
    }

    fn answered(mut self) {
        self.answered = true;
    }
}

impl<D: Dialect> Drop for DisconnectGuard<'_, D> {
    fn drop(&mut self) {
        if !self.answered {
            self.shared.metrics.request("", "caller-gone");
            event!(self.shared.log, events::CALLER_DISCONNECTED, "request" => self.id,
                "target" => "", "elapsed_ms" => self.started.elapsed().as_millis());
            self.shared
                .record_stopping_end(self.id, self.started, StoppingEnd::CallerGone, "");
        }
    }
}
