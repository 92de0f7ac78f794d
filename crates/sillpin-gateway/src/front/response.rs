//! Responses of targets that are passed on to callers.

use super::admit::AdmittedRequest;
use super::attempt_outcome::CompleteResponse;
use super::drain::StoppingEnd;
use super::refusal::Refusal;
use super::shared::Shared;
use crate::dialect::Dialect;
use crate::forward::head::AnsweringTarget;
use hyper::Response;
use sillpin_http::Body;
use sillpin_telemetry::{event, events};
use tokio::time::Instant;

impl<D: Dialect> Shared<D> {
    /// Records and logs the response of a target that is passed on.
    pub fn log_response(&self, request: &AdmittedRequest, response: &CompleteResponse) {
        let outcome = match response.status.is_success() {
            true => "answered",
            false => "failed",
        };
        if response.status.is_success() {
            self.record_served(request);
            self.record_service_time(request);
        }
        let elapsed = request.arrival.elapsed();
        self.metrics.request(&request.route.name, outcome);
        self.metrics.response_head(elapsed);
        self.metrics.response_end(elapsed);
        event!(self.log, events::REQUEST_ANSWERED, "request" => &request.head.id,
            "route" => &request.route.name, "status" => response.status.as_u16(),
            "elapsed_ms" => elapsed.as_millis());
        self.record_stopping_end(&request.head.id, request.read, StoppingEnd::Answered, "");
    }

    /// Records that a request did not crash its target.
    pub fn record_served(&self, request: &AdmittedRequest) {
        self.fatal
            .record()
            .served(request.candidates.clone(), Instant::now());
    }

    /// Builds the caller's response from a target's complete response.
    pub fn forward_response(
        &self,
        request: &AdmittedRequest,
        response: CompleteResponse,
    ) -> Response<Body> {
        let id = &request.head.id;
        let body = self.body_memory.response_body(id, response.body);
        let mut resp = Response::new(body);
        *resp.status_mut() = response.status;
        *resp.headers_mut() = self.dialect.write_response(&response.headers);
        if request.forwarded.is_some()
            && let Some(target) = &response.target
        {
            resp.extensions_mut().insert(AnsweringTarget::of(target));
        }
        resp
    }

    /// Builds the caller's response from a target's error response. A status which implies that the request did not
    /// run is replaced, because the target has not confirmed that.
    pub fn forward_failure(
        &self,
        request: &AdmittedRequest,
        response: CompleteResponse,
    ) -> Response<Body> {
        const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];
        if NOT_RUN_STATUSES.contains(&response.status.as_u16()) {
            let reason = format!("the target answered with {}", response.status.as_u16());
            return Refusal::unknown(reason).response(&self.dialect, None);
        }
        self.forward_response(request, response)
    }
}
