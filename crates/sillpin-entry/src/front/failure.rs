//! Problem documents for requests that get no complete response.

use crate::placement::Refusal;
use hyper::{Response, StatusCode, header};
use sillpin_core::outcome::PROBLEM_MEDIA_TYPE;
use sillpin_core::switches::{Mechanism, is_off};
use sillpin_core::{Outcome, Problem, RequestId};
use sillpin_http::Body;
use std::time::Duration;

/// A request that gets a problem document instead of a response.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("{title}: {detail}")]
pub struct Failure {
    /// HTTP status.
    pub status: StatusCode,
    /// Name of the problem, for programs.
    pub kind: &'static str,
    /// Name of the problem, for people.
    pub title: &'static str,
    /// Description of what happened to this request.
    pub detail: String,
    /// Whether the request was executed.
    pub outcome: Outcome,
    /// Time after which a retry may succeed.
    pub retry_after: Option<Duration>,
}

impl Failure {
    /// A request that is refused without being executed.
    pub fn refused(
        status: StatusCode,
        kind: &'static str,
        title: &'static str,
        detail: impl Into<String>,
    ) -> Self {
        Self {
            status,
            kind,
            title,
            detail: detail.into(),
            outcome: Outcome::NotRun,
            retry_after: None,
        }
    }

    /// A request that cannot be parsed.
    pub fn bad_request(detail: impl Into<String>) -> Self {
        Self::refused(
            StatusCode::BAD_REQUEST,
            "bad-request",
            "Request not understood",
            detail,
        )
    }

    /// A request for something that does not exist.
    pub fn not_found(detail: impl Into<String>) -> Self {
        Self::refused(StatusCode::NOT_FOUND, "not-found", "No such thing", detail)
    }

    /// A request whose body is too long.
    pub fn too_long(detail: impl Into<String>) -> Self {
        Self::refused(
            StatusCode::PAYLOAD_TOO_LARGE,
            "too-long",
            "Request too long",
            detail,
        )
    }

    /// A request that cannot be served now and was not executed.
    pub fn unavailable(detail: impl Into<String>, retry_after: Duration) -> Self {
        Self {
            retry_after: Some(retry_after),
            ..Self::refused(
                StatusCode::SERVICE_UNAVAILABLE,
                "unavailable",
                "Cannot be served now",
                detail,
            )
        }
    }

    /// A request that was sent to a target and got no complete response.
    pub fn unknown(detail: impl Into<String>) -> Self {
        let outcome = if is_off(Mechanism::Outcome) {
            Outcome::NotRun
        } else {
            Outcome::Unknown
        };
        Self {
            outcome,
            ..Self::refused(
                StatusCode::BAD_GATEWAY,
                "broken-answer",
                "Answer did not come whole",
                detail,
            )
        }
    }

    /// A call that runs at most once and whose idempotency key is claimed by another request.
    pub fn already_sent(outcome: Outcome) -> Self {
        let detail = match outcome {
            Outcome::Ran => "a request with this idempotency key was carried out",
            _ => {
                "a request with this idempotency key was sent before; it may have been carried out"
            }
        };
        Self {
            outcome,
            ..Self::refused(
                StatusCode::CONFLICT,
                "already-sent",
                "Call already sent",
                detail,
            )
        }
    }

    /// Returns the HTTP response with the problem document.
    pub fn response(&self, request: RequestId) -> Response<Body> {
        let text = serde_json::to_vec(&self.problem(request)).unwrap_or_default();
        let mut resp = Response::new(Body::full(text));
        *resp.status_mut() = self.status;
        let headers = resp.headers_mut();
        let media_type = header::HeaderValue::from_static(PROBLEM_MEDIA_TYPE);
        headers.insert(header::CONTENT_TYPE, media_type);
        if let Some(after) = self.retry_after {
            headers.insert(
                header::RETRY_AFTER,
                header::HeaderValue::from(ceil_secs(after)),
            );
        }
        if self.status == StatusCode::UNAUTHORIZED {
            let scheme = header::HeaderValue::from_static("Bearer");
            headers.insert(header::WWW_AUTHENTICATE, scheme);
        }
        resp
    }

    /// Returns the problem document.
    pub fn problem(&self, request: RequestId) -> Problem {
        Problem {
            kind: format!("urn:sillpin:problem:{}", self.kind),
            title: self.title.to_owned(),
            status: self.status.as_u16(),
            detail: self.detail.clone(),
            outcome: self.outcome,
            request_id: Some(request),
            retry_after: self.retry_after.map(ceil_secs),
        }
    }
}

fn ceil_secs(time: Duration) -> u64 {
    time.as_millis().div_ceil(1_000).max(1) as u64
}

/// Retry-After for refusals that give no time.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

impl From<Refusal> for Failure {
    fn from(refusal: Refusal) -> Self {
        let retry_after = match refusal {
            Refusal::TooLate { retry_after } => retry_after,
            Refusal::NoEngine | Refusal::Full | Refusal::NoRetries => DEFAULT_RETRY_AFTER,
        };
        let unavailable = Self::unavailable(refusal.to_string(), retry_after);
        match refusal {
            Refusal::NoEngine | Refusal::NoRetries => unavailable,
            Refusal::TooLate { .. } | Refusal::Full => Self {
                status: StatusCode::TOO_MANY_REQUESTS,
                kind: "overloaded",
                title: "Too much to do",
                ..unavailable
            },
        }
    }
}
