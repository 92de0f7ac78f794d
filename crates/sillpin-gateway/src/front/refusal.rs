//! Responses that the box creates itself.

use crate::dialect::Dialect;
use crate::forward::head::{ForwardResult, NamedBoxes, Unavailable};
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use rand::RngExt;
use serde::Serialize;
use sillpin_core::{BoxId, Outcome};
use sillpin_http::{Body, JSON_MEDIA_TYPE};
use std::time::Duration;

/// Default retry-after of a refusal. Short, since most refusals come from a target that drains or loads weights.
pub const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Why no target served a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Status of the response.
    pub status: StatusCode,
    /// Whether the request may have run.
    pub outcome: Outcome,
    /// Reason, for the caller and for logs.
    pub reason: String,
    /// Time after which the caller may retry; `None` if it should not.
    pub retry_after: Option<Duration>,
    /// Why another box may serve the request, if this one cannot.
    pub unavailable: Option<Unavailable>,
    /// Boxes that may serve it, for the box that sent it.
    pub named: NamedBoxes,
}

/// Body of a response that the box creates itself.
#[derive(Serialize)]
struct Problem<'a> {
    outcome: Outcome,
    detail: &'a str,
}

impl Refusal {
    /// The request did not run and will not; the caller may retry.
    pub fn not_run(reason: impl Into<String>) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            outcome: Outcome::NotRun,
            reason: reason.into(),
            retry_after: Some(DEFAULT_RETRY_AFTER),
            unavailable: None,
            named: NamedBoxes::default(),
        }
    }

    /// The request did not run here; another box may serve it.
    pub fn unavailable(why: Unavailable) -> Self {
        Self {
            unavailable: Some(why),
            ..Self::not_run(why.to_string())
        }
    }

    /// This box has no path to the targets; the boxes that are named may have one.
    pub fn no_path(named: Vec<BoxId>) -> Self {
        Self {
            named: NamedBoxes(named),
            ..Self::unavailable(Unavailable::NoPath)
        }
    }

    /// Sets another retry-after.
    pub fn with_retry_after(self, wait: Duration) -> Self {
        Self {
            retry_after: Some(wait),
            ..self
        }
    }

    /// The request is not acceptable and did not run.
    pub fn denied(status: StatusCode, reason: impl Into<String>) -> Self {
        Self {
            status,
            outcome: Outcome::NotRun,
            reason: reason.into(),
            retry_after: None,
            unavailable: None,
            named: NamedBoxes::default(),
        }
    }

    /// The request may have run.
    pub fn unknown(reason: impl Into<String>) -> Self {
        Self {
            status: StatusCode::BAD_GATEWAY,
            outcome: Outcome::Unknown,
            reason: reason.into(),
            retry_after: None,
            unavailable: None,
            named: NamedBoxes::default(),
        }
    }

    /// The request may have run and reached its deadline.
    pub fn timed_out(reason: impl Into<String>) -> Self {
        Self {
            status: StatusCode::GATEWAY_TIMEOUT,
            ..Self::unknown(reason)
        }
    }

    /// What the refusal of a forwarded request tells the box that sent it.
    pub fn forward_result(&self) -> ForwardResult {
        match self.unavailable {
            Some(why) => ForwardResult::Unavailable(why),
            None => ForwardResult::Refused {
                outcome: self.outcome,
                reason: self.reason.clone(),
                retry_after_ms: self
                    .retry_after
                    .map(|wait| u64::try_from(wait.as_millis()).unwrap_or(u64::MAX)),
            },
        }
    }

    /// Builds the response for the caller.
    pub fn response<D: Dialect>(&self, dialect: &D, request_id: Option<&str>) -> Response<Body> {
        let problem = Problem {
            outcome: self.outcome,
            detail: &self.reason,
        };
        let text = serde_json::to_vec(&problem).unwrap_or_default();
        let mut resp = Response::new(Body::full(text));
        *resp.status_mut() = self.status;
        *resp.headers_mut() = dialect.write_own_response(request_id, self.retry_after);
        let media_type = HeaderValue::from_static(JSON_MEDIA_TYPE);
        resp.headers_mut().insert(CONTENT_TYPE, media_type);
        resp
    }
}

/// Returns a retry-after between half of `wait` and one and a half times it, so that callers don't all retry at the same
/// time.
pub fn spread(wait: Duration) -> Duration {
    wait.mul_f64(rand::rng().random_range(0.5..1.5))
}

/// Makes the caller close the connection, so that its next one may go to another box.
pub fn close_after(resp: &mut Response<Body>) {
    let close = HeaderValue::from_static("close");
    resp.headers_mut().insert(CONNECTION, close);
}
