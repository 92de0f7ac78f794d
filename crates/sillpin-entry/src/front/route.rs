//! Routes requests by their path.

use super::documents::{Dialect, ModelRequest};
use super::{Failure, auth, body, headers};
use crate::app::App;
use crate::{runs, services};
use hyper::header::HeaderValue;
use hyper::{Method, Request, Response, StatusCode};
use opentelemetry::KeyValue;
use opentelemetry::trace::{Span, SpanKind};
use sillpin_core::{OrgId, RequestId};
use sillpin_http::IncomingBody;
use sillpin_http::{Body, empty_response};
use sillpin_targets::Engine;
use sillpin_telemetry::traces::{self, ActiveSpan, TRACEPARENT};
use sillpin_telemetry::{event, events};

/// Path prefix of plain services.
const SERVICES: &str = "/services/";

/// Handles one request of a caller.
pub async fn handle<E: Engine>(app: App<E>, req: Request<IncomingBody>) -> Response<Body> {
    match req.uri().path() {
        "/healthz" => return empty_response(StatusCode::OK),
        "/readyz" => return readiness(&app),
        _ => {}
    }
    let request = RequestId::generate();
    let parent = req.headers().get(TRACEPARENT);
    let parent = parent
        .and_then(|v| v.to_str().ok())
        .and_then(traces::parse_traceparent);
    let mut span = app.traces.span("entry", SpanKind::Server, parent.as_ref());
    span.set_attribute(KeyValue::new("request", request.to_string()));
    let result = serve(&app, request, span, req).await;
    let mut resp = result.unwrap_or_else(|failure| {
        event!(app.log, events::REQUEST_FAILED, "request" => %request,
            "outcome" => %failure.outcome, "error" => %failure);
        failure.response(request)
    });
    if let Ok(value) = HeaderValue::from_str(&request.to_string()) {
        resp.headers_mut().insert(headers::REQUEST_ID, value);
    }
    resp
}

/// Answers the readiness check of the load balancer.
fn readiness<E: Engine>(app: &App<E>) -> Response<Body> {
    let status = if app.is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    empty_response(status)
}

async fn serve<E: Engine>(
    app: &App<E>,
    request: RequestId,
    span: ActiveSpan,
    req: Request<IncomingBody>,
) -> Result<Response<Body>, Failure> {
    let snapshot = app.snapshot();
    if snapshot.in_force.is_none() {
        let detail = "this box has no accepted bundle yet";
        return Err(Failure::unavailable(
            detail,
            std::time::Duration::from_secs(1),
        ));
    }
    let org = auth::organisation(req.headers(), &snapshot)?;
    let path = req.uri().path();
    if let Some(rest) = path.strip_prefix(SERVICES) {
        let rest = rest.to_owned();
        return services::forward(app, request, span, org, &rest, req).await;
    }
    let dialect = match (req.method(), path) {
        (&Method::POST, "/v1/completions") => Dialect::Completions,
        (&Method::POST, "/v1/chat/completions") => Dialect::Chat,
        (_, "/v1/completions" | "/v1/chat/completions") => {
            let detail = "only POST is served here";
            let status = StatusCode::METHOD_NOT_ALLOWED;
            return Err(Failure::refused(
                status,
                "method",
                "Method not allowed",
                detail,
            ));
        }
        _ => return Err(Failure::not_found(format!("nothing is served at {path}"))),
    };
    serve_model(app, request, span, org, dialect, req).await
}

async fn serve_model<E: Engine>(
    app: &App<E>,
    request: RequestId,
    span: ActiveSpan,
    org: OrgId,
    dialect: Dialect,
    req: Request<IncomingBody>,
) -> Result<Response<Body>, Failure> {
    let limits = app.cfg.limits;
    let class = headers::priority_class(req.headers())?;
    let deadline = headers::deadline(req.headers())?;
    let idempotency_key = headers::idempotency_key(req.headers())?;
    let bytes = body::read(req.into_body(), limits.body_len, limits.body_timeout).await?;
    let body = ModelRequest::parse(dialect, &bytes, limits.max_tokens)?;
    let call = runs::Call {
        request,
        org,
        class,
        deadline,
        idempotency_key,
        digest: blake3::hash(&bytes).to_hex().to_string(),
        body,
    };
    runs::serve(app.clone(), call, span).await
}
