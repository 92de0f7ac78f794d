//! Serves a parsed model request and writes the response.

use super::drive::{Delivery, Driver};
use super::plan::plan;
use crate::app::App;
use crate::front::Failure;
use crate::front::documents::{ModelRequest, Provenance, ResponseWriter};
use hyper::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use sillpin_core::{OrgId, PriorityClass, RequestId};
use sillpin_http::{Body, BodySender, JSON_MEDIA_TYPE};
use sillpin_targets::{Engine, RunSummary};
use sillpin_telemetry::traces::ActiveSpan;
use std::time::Duration;
use tokio::sync::mpsc;

/// Number of deliveries buffered for the caller before reading from the engine pauses.
const DELIVERY_QUEUE_LEN: usize = 64;

/// A request for a model.
pub struct Call {
    /// The request.
    pub request: RequestId,
    /// Its organisation.
    pub org: OrgId,
    /// Its priority class.
    pub class: PriorityClass,
    /// Maximum time to the first token that the caller sets.
    pub deadline: Option<Duration>,
    /// Its idempotency key, if the request runs at most once.
    pub idempotency_key: Option<String>,
    /// BLAKE3 hash of its body, in hexadecimal.
    pub digest: String,
    /// The parsed body.
    pub body: ModelRequest,
}

/// Serves a request for a model.
pub async fn serve<E: Engine>(
    app: App<E>,
    call: Call,
    span: ActiveSpan,
) -> Result<Response<Body>, Failure> {
    let plan = plan(&app, &call, None)?;
    let writer = ResponseWriter {
        request: call.request,
        dialect: call.body.dialect,
        model: call.body.model.clone(),
    };
    let stream = call.body.stream;
    let (tx, mut rx) = mpsc::channel(DELIVERY_QUEUE_LEN);
    tokio::spawn(Driver::new(app, call, plan, tx, span).run());
    if !stream {
        return complete_response(&writer, &mut rx).await;
    }
    let first = match rx.recv().await {
        Some(Delivery::Failed(failure)) => return Err(failure),
        Some(delivery) => delivery,
        None => return Err(driver_ended()),
    };
    let (body_tx, body) = Body::channel();
    tokio::spawn(forward(writer, first, rx, body_tx));
    let mut resp = Response::new(body);
    let headers = resp.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    Ok(resp)
}

fn driver_ended() -> Failure {
    Failure::unknown("the request's task ended")
}

/// Collects the complete response.
async fn complete_response(
    writer: &ResponseWriter,
    rx: &mut mpsc::Receiver<Delivery>,
) -> Result<Response<Body>, Failure> {
    let mut text = String::new();
    while let Some(delivery) = rx.recv().await {
        match delivery {
            Delivery::Token(token) => text.push_str(&token),
            Delivery::Failed(failure) => return Err(failure),
            Delivery::End(summary, provenance) => {
                return Ok(document(writer, provenance, &text, summary));
            }
        }
    }
    Err(driver_ended())
}

fn document(
    writer: &ResponseWriter,
    provenance: Provenance,
    text: &str,
    summary: RunSummary,
) -> Response<Body> {
    let mut resp = Response::new(Body::full(
        writer.complete_document(text, summary, provenance),
    ));
    *resp.status_mut() = StatusCode::OK;
    let media_type = HeaderValue::from_static(JSON_MEDIA_TYPE);
    resp.headers_mut().insert(CONTENT_TYPE, media_type);
    resp
}

/// Writes deliveries as server-sent events. A response that fails after its head was sent ends with
/// an error event and a broken body, never with the end mark.
async fn forward(
    writer: ResponseWriter,
    first: Delivery,
    mut rx: mpsc::Receiver<Delivery>,
    tx: BodySender,
) {
    let mut next = Some(first);
    while let Some(delivery) = next {
        let chunk = match delivery {
            Delivery::Token(text) => writer.token_event(&text),
            Delivery::End(summary, provenance) => {
                let _ = tx.send(writer.end_events(summary, provenance)).await;
                return tx.finish();
            }
            Delivery::Failed(failure) => {
                let problem = failure.problem(writer.request);
                let text = serde_json::to_string(&problem).unwrap_or_default();
                let _ = tx.send(format!("event: error\ndata: {text}\n\n")).await;
                return tx.abort("the answer did not come whole").await;
            }
        };
        if tx.send(chunk).await.is_err() {
            return;
        }
        next = tokio::select! {
            () = tx.closed() => return,
            next = rx.recv() => next,
        };
    }
    tx.abort("the request's task ended").await;
}
