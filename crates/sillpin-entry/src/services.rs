//! Forwards calls to plain services. Bodies are streamed with back-pressure in both directions.
//!
//! A call with an idempotency key runs at most once: its body is read completely first, because the
//! claim covers it, and it is not retried after it may have reached a target. Any other call is
//! retried only if an attempt did not reach its target, and only if its body is short enough to be
//! buffered.

use crate::app::App;
use crate::front::{Failure, body, headers};
use crate::keeper_link::Report;
use crate::runs::idempotency::{Claim, ClaimedCall};
use crate::snapshot::Target;
use bytes::Bytes;
use hyper::body::Body as _;
use hyper::header::{self, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Response, Uri};
use opentelemetry::KeyValue;
use opentelemetry::trace::{Span, SpanKind};
use rand::seq::IndexedRandom;
use sillpin_core::{AttemptId, OrgId, PoolId, RequestId, TargetKind};
use sillpin_http::IncomingBody;
use sillpin_http::{Body, CallError, Sent};
use sillpin_targets::Engine;
use sillpin_telemetry::traces::{ActiveSpan, TRACEPARENT, traceparent};
use sillpin_telemetry::{event, events};
use std::time::Duration;

/// Maximum length of a body that is buffered for retries.
const MAX_BUFFERED_LEN: u64 = 64 << 10;

/// Maximum number of attempts of one call.
const MAX_ATTEMPTS: usize = 3;

/// Headers that are not forwarded: those of a single connection, and the caller's API key.
const NOT_FORWARDED: &[HeaderName] = &[
    header::AUTHORIZATION,
    header::CONNECTION,
    header::HOST,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// A call that is being forwarded.
struct ForwardedCall<'a> {
    pool: PoolId,
    path: String,
    org: &'a OrgId,
    parts: Parts,
    span: ActiveSpan,
}

/// The body of a call: buffered, or streamed once.
enum CallBody {
    Buffered(Bytes),
    Streamed(Option<IncomingBody>),
}

impl CallBody {
    fn take(&mut self) -> Option<Body> {
        match self {
            CallBody::Buffered(bytes) => Some(Body::full(bytes.clone())),
            CallBody::Streamed(body) => body.take().map(Body::Incoming),
        }
    }
}

/// Forwards a call; `rest` is the path after the prefix: the pool, then the path at the service.
pub async fn forward<E: Engine>(
    app: &App<E>,
    request: RequestId,
    span: ActiveSpan,
    org: OrgId,
    rest: &str,
    req: Request<IncomingBody>,
) -> Result<Response<Body>, Failure> {
    let (pool, path) = rest.split_once('/').unwrap_or((rest, ""));
    let pool: PoolId = pool
        .parse()
        .map_err(|e| Failure::not_found(format!("{e}")))?;
    let query = req
        .uri()
        .query()
        .map(|q| format!("?{q}"))
        .unwrap_or_default();
    let path = format!("/{path}{query}");
    require_pool(app, &pool)?;
    let idempotency_key = headers::idempotency_key(req.headers())?;
    let (parts, incoming) = req.into_parts();
    let mut call = ForwardedCall {
        pool,
        path,
        org: &org,
        parts,
        span,
    };
    match idempotency_key {
        Some(key) => forward_once(app, request, &mut call, &key, incoming).await,
        None => forward_repeatable(app, &mut call, incoming).await,
    }
}

fn require_pool<E: Engine>(app: &App<E>, pool: &PoolId) -> Result<(), Failure> {
    let snapshot = app.snapshot();
    let bundle = snapshot.in_force.as_ref().map(|f| f.bundle.clone());
    let kind = bundle.and_then(|bundle| bundle.pools.get(pool).map(|p| p.kind));
    if kind == Some(TargetKind::Service) {
        return Ok(());
    }
    Err(Failure::not_found(format!(
        "no pool of services is named {pool}"
    )))
}

/// Forwards a call that runs at most once, under a claim.
async fn forward_once<E: Engine>(
    app: &App<E>,
    request: RequestId,
    call: &mut ForwardedCall<'_>,
    key: &str,
    incoming: IncomingBody,
) -> Result<Response<Body>, Failure> {
    let limits = app.cfg.limits;
    let bytes = body::read(incoming, limits.at_most_once_body_len, limits.body_timeout).await?;
    let digest = digest(call, &bytes);
    let claimed = ClaimedCall {
        org: call.org,
        key,
        request,
        digest: &digest,
    };
    let mut claim = Claim::acquire(app, claimed).await?;
    claim.set_unknown();
    let result = send(app, call, CallBody::Buffered(bytes)).await;
    match &result {
        Ok(_) => claim.set_ran(),
        Err(failure) if failure.outcome == sillpin_core::Outcome::NotRun => claim.set_not_run(),
        Err(_) => {}
    }
    result
}

/// Returns the BLAKE3 hash of method, pool, path and body, in hexadecimal.
fn digest(call: &ForwardedCall<'_>, bytes: &[u8]) -> String {
    let mut hasher = blake3::Hasher::new();
    for part in [call.parts.method.as_str(), call.pool.as_str(), &call.path] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    hasher.update(bytes);
    hasher.finalize().to_hex().to_string()
}

/// Forwards a call that may be retried if its body is buffered.
async fn forward_repeatable<E: Engine>(
    app: &App<E>,
    call: &mut ForwardedCall<'_>,
    incoming: IncomingBody,
) -> Result<Response<Body>, Failure> {
    let is_short = incoming
        .size_hint()
        .upper()
        .is_some_and(|len| len <= MAX_BUFFERED_LEN);
    let call_body = if is_short {
        let limit = MAX_BUFFERED_LEN as usize;
        CallBody::Buffered(body::read(incoming, limit, app.cfg.limits.body_timeout).await?)
    } else {
        CallBody::Streamed(Some(incoming))
    };
    send(app, call, call_body).await
}

/// Sends a call to one target after another until one is reached.
async fn send<E: Engine>(
    app: &App<E>,
    call: &mut ForwardedCall<'_>,
    mut call_body: CallBody,
) -> Result<Response<Body>, Failure> {
    let mut tried = Vec::new();
    let unavailable = |detail: String| Failure::unavailable(detail, Duration::from_secs(1));
    while tried.len() < MAX_ATTEMPTS {
        let Some(target) = choose_target(app, &call.pool, &tried) else {
            break;
        };
        let Some(out_body) = call_body.take() else {
            return Err(unavailable("the target was not reached".to_owned()));
        };
        let attempt = AttemptId::generate();
        match send_to(app, call, &target, attempt, out_body).await {
            Ok(resp) => return check_attempt(app, &target, attempt, resp),
            Err(e) => {
                event!(app.log, events::ATTEMPT_FAILED,
                    "target" => %target.entry.id, "error" => %e);
                app.keeper
                    .report(Report::Unreachable(target.entry.id.clone()));
                if e.sent == Sent::Maybe {
                    return Err(Failure::unknown(e.to_string()));
                }
            }
        }
        tried.push(target.entry.id.clone());
    }
    Err(unavailable(format!(
        "no target of pool {} is in reach",
        call.pool
    )))
}

/// Chooses the less busy of two random targets that were not tried, from this zone if it has any.
fn choose_target<E: Engine>(
    app: &App<E>,
    pool: &PoolId,
    tried: &[sillpin_core::TargetId],
) -> Option<Target> {
    let snapshot = app.snapshot();
    let usable = snapshot.usable_targets(pool, TargetKind::Service);
    let untried: Vec<&Target> = usable.filter(|t| !tried.contains(&t.entry.id)).collect();
    let same_zone: Vec<&Target> = untried
        .iter()
        .copied()
        .filter(|t| t.entry.zone == app.cfg.zone)
        .collect();
    let candidates = if same_zone.is_empty() {
        untried
    } else {
        same_zone
    };
    let running = |t: &Target| t.load.as_ref().map_or(0, |load| load.running);
    let two = candidates.sample(&mut rand::rng(), 2);
    two.min_by_key(|t| running(t)).map(|t| (*t).clone())
}

async fn send_to<E: Engine>(
    app: &App<E>,
    call: &mut ForwardedCall<'_>,
    target: &Target,
    attempt: AttemptId,
    out_body: Body,
) -> Result<Response<IncomingBody>, CallError> {
    let parent = call.span.span_context().clone();
    let mut span = app.traces.span("target", SpanKind::Client, Some(&parent));
    span.set_attribute(KeyValue::new("target", target.entry.id.to_string()));
    let req = outgoing_request(call, target, attempt, &span, out_body);
    let peer = target.entry.addr;
    let step = "pass a call on";
    let idle_timeout = app.cfg.limits.idle_timeout;
    let sent = tokio::time::timeout(idle_timeout, app.client.send(step, peer, req)).await;
    sent.unwrap_or_else(|_| {
        Err(CallError {
            step,
            peer,
            sent: Sent::Maybe,
            fault: sillpin_http::client::CallFault::Timeout(idle_timeout),
        })
    })
}

fn outgoing_request(
    call: &ForwardedCall<'_>,
    target: &Target,
    attempt: AttemptId,
    span: &ActiveSpan,
    out_body: Body,
) -> Request<Body> {
    let mut req = Request::new(out_body);
    *req.method_mut() = call.parts.method.clone();
    let uri = format!("http://{}{}", target.entry.addr, call.path);
    *req.uri_mut() = uri.parse::<Uri>().unwrap_or_default();
    let forwarded = call.parts.headers.iter();
    for (name, value) in forwarded.filter(|(name, _)| !NOT_FORWARDED.contains(name)) {
        req.headers_mut().append(name.clone(), value.clone());
    }
    let set = [
        (headers::ATTEMPT, attempt.to_string()),
        (headers::ORGANISATION, call.org.to_string()),
        (TRACEPARENT, traceparent(span)),
    ];
    for (name, value) in set {
        if let Ok(value) = HeaderValue::from_str(&value) {
            req.headers_mut().insert(name, value);
        }
    }
    req
}

/// Returns the response for the caller, unless it echoes the id of another attempt.
fn check_attempt<E: Engine>(
    app: &App<E>,
    target: &Target,
    attempt: AttemptId,
    resp: Response<IncomingBody>,
) -> Result<Response<Body>, Failure> {
    let echoed = resp.headers().get(headers::ATTEMPT);
    if echoed.is_some_and(|echoed| echoed.as_bytes() != attempt.to_string().as_bytes()) {
        event!(app.log, events::RESPONSE_MISMATCHED, "target" => %target.entry.id);
        return Err(Failure::unknown("the target answered for another call"));
    }
    let (mut parts, incoming) = resp.into_parts();
    for name in NOT_FORWARDED {
        parts.headers.remove(name);
    }
    parts.version = hyper::Version::HTTP_11;
    Ok(Response::from_parts(parts, Body::Incoming(incoming)))
}
