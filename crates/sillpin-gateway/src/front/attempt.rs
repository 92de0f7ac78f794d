//! One attempt to serve a request at a target.
//!
//! [`AttemptOutcome`] is the only basis for decisions about retries and about the caller's response. A target's
//! response is validated before it counts: it must echo the request's id, and a success must be signed by the target
//! and complete.

use super::admit::AdmittedRequest;
use super::attempt_outcome::{
    AttemptOutcome, CompleteResponse, Doubt, NO_ANSWER_IN_TIME, OpenStream, SALT_OUTDATED,
    StreamSource, WEIGHTS_OUTDATED,
};
use super::body_memory::BufferedBody;
use super::shared::Shared;
use super::stream_body::StreamBody;
use super::target_wait::{TargetWait, WaitEnd};
use crate::config::Idempotency;
use crate::control::TargetEntry;
use crate::dialect::{AttemptHead, Dialect, OTHER_REQUEST, ResponseHead};
use crate::placement::InFlightGuard;
use crate::placement::signals::{SignalChange, SignalObservation, log_change};
use crate::placement::work::IncarnationHash;
use crate::pool::{Conn, ConnectionPool, SendError};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, StatusCode, Uri};
use sillpin_http::IncomingBody;
use std::hash::Hash;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Maximum length of a response that is buffered until it is complete, in bytes.
const MAX_COMPLETE_RESPONSE: usize = 8 << 20;

/// Maximum length of the body of a rejection, in bytes, and longest time for reading it. Another connection costs less than
/// a longer one.
const MAX_REJECTION: usize = 64 << 10;
const REJECTION_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum idle time of a connection that carries a request which may run only once. A target may drop an idle
/// connection without closing it, and then it cannot be determined whether the request ran.
const MAX_IDLE_ONCE: Duration = Duration::from_secs(2);

/// Maximum idle time of a connection for all other requests.
const MAX_IDLE: Duration = Duration::from_secs(30);

/// Statuses by which a target temporarily rejects a request.
const TEMPORARY_REJECTIONS: [StatusCode; 2] = [
    StatusCode::SERVICE_UNAVAILABLE,
    StatusCode::TOO_MANY_REQUESTS,
];

/// Interval at which the time limit of a prompt waiting at its engine is checked again: new weights may be published
/// meanwhile, and the limit for replaced ones is a few seconds.
const START_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// How waiting for the head of a response ended.
enum HeadWait {
    /// The head arrived, or the connection failed.
    Done(Result<Response<IncomingBody>, SendError>),
    /// The request timed out.
    Abandoned,
    /// The request's weights were replaced too long ago for it to start.
    Expired,
    /// The target is given up: nothing has arrived from it for too long.
    Silent,
}

/// Conditions, other than the request's deadline, under which waiting for a response ends.
pub struct WaitLimits<L, B, A> {
    /// Called each time the target has sent nothing for the timeout; returns whether another target is expected to be
    /// faster.
    pub is_slow: L,
    /// Latest time at which the request may start at the target. Also checked while it waits there: the length of an
    /// engine's queue is not known in advance, and the wait there may exceed a margin of several seconds.
    pub latest_start: B,
    /// Called when the target is doubted.
    pub on_doubt: A,
}

/// Input of one attempt.
pub struct Attempt<'a> {
    /// The request.
    pub request: &'a AdmittedRequest,
    /// The target that gets it.
    pub target: Arc<TargetEntry>,
    /// What the head of the request to the target contains.
    pub head: AttemptHead,
    /// Counts the request as in flight at the target.
    pub in_flight: InFlightGuard,
    /// Time without a response head after which the target is suspected to be silent; `None` if it is not watched.
    pub head_limit: Option<Duration>,
    /// Whether the request may run at another target after this attempt. The target is not doubted otherwise.
    pub may_rerun: bool,
}

impl<D: Dialect> Shared<D> {
    /// Sends a request to one target and returns the outcome.
    pub async fn attempt<L, B, A>(
        &self,
        attempt: Attempt<'_>,
        limits: WaitLimits<L, B, A>,
    ) -> AttemptOutcome
    where
        L: Fn() -> bool,
        B: Fn() -> Option<Instant>,
        A: FnMut(Doubt),
    {
        let request = attempt.request;
        let target = attempt.target.clone();
        let mut conn = match self.connect(request, &target).await {
            Ok(conn) => conn,
            Err(reason) => return AttemptOutcome::Unsent(reason),
        };
        if (limits.latest_start)().is_some_and(|at| at <= Instant::now()) {
            return AttemptOutcome::NotRun {
                reason: WEIGHTS_OUTDATED.to_owned(),
                weights: None,
                misdirected: false,
            };
        }
        if !self.is_salt_in_force(request, &attempt.head) {
            return AttemptOutcome::NotRun {
                reason: SALT_OUTDATED.to_owned(),
                weights: None,
                misdirected: false,
            };
        }
        let req = match self.build_request(request, &attempt.head) {
            Ok(req) => req,
            Err(e) => return AttemptOutcome::Unsent(e.to_string()),
        };
        let sent = Instant::now();
        let mut wait = TargetWait::new(
            self.silent_engines.wait_for(&target, attempt.head_limit),
            self.path_waits.wait_for(&target),
        );
        let may_rerun = attempt.may_rerun;
        let head = self.wait_for_head(request, &mut conn, req, limits, &mut wait, may_rerun);
        let resp = match head.await {
            HeadWait::Done(Ok(resp)) => resp,
            HeadWait::Done(Err(e @ (SendError::Unsent { .. } | SendError::Refused { .. }))) => {
                return AttemptOutcome::Unsent(e.to_string());
            }
            HeadWait::Done(Err(e @ SendError::Unanswered { .. })) => {
                return AttemptOutcome::Unknown(e.to_string());
            }
            HeadWait::Abandoned => {
                return AttemptOutcome::TimedOut(NO_ANSWER_IN_TIME.to_owned());
            }
            HeadWait::Expired => return AttemptOutcome::Cancelled,
            HeadWait::Silent => return AttemptOutcome::Silent,
        };
        wait.heard();
        drop(wait);
        self.classify_response(attempt, conn, resp, sent).await
    }

    /// Sends a request and waits for the head of the response. An engine sends the head when it starts the prompt.
    async fn wait_for_head<L, B, A>(
        &self,
        request: &AdmittedRequest,
        conn: &mut Conn,
        req: Request<Full<Bytes>>,
        mut limits: WaitLimits<L, B, A>,
        wait: &mut TargetWait,
        may_rerun: bool,
    ) -> HeadWait
    where
        L: Fn() -> bool,
        B: Fn() -> Option<Instant>,
        A: FnMut(Doubt),
    {
        let mut is_doubted = !may_rerun;
        let mut response = pin!(conn.send(req));
        let mut idle_deadline = self.idle_deadline(request);
        loop {
            let latest_start = (limits.latest_start)();
            if latest_start.is_some_and(|at| at <= Instant::now()) {
                return HeadWait::Expired;
            }
            let next_check = latest_start
                .unwrap_or(idle_deadline)
                .min(Instant::now() + START_CHECK_INTERVAL);
            let head_or_check = timeout_at(next_check.min(idle_deadline), &mut response);
            tokio::select! {
                // A head that has arrived proves that the engine is not silent.
                biased;
                result = head_or_check => if let Ok(result) = result {
                    return HeadWait::Done(result);
                },
                end = wait.end(is_doubted) => {
                    if end == WaitEnd::Lost {
                        return HeadWait::Silent;
                    }
                    (limits.on_doubt)(Doubt::Silent);
                    is_doubted = true;
                }
            }
            if Instant::now() < idle_deadline {
                continue;
            }
            if idle_deadline >= request.deadline {
                return HeadWait::Abandoned;
            }
            if (limits.is_slow)() {
                (limits.on_doubt)(Doubt::Slow);
            }
            idle_deadline = self.idle_deadline(request);
        }
    }

    /// Builds the request to the target.
    fn build_request(
        &self,
        request: &AdmittedRequest,
        head: &AttemptHead,
    ) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
        let uri: Uri = request.path.parse()?;
        let mut req = Request::builder()
            .method(request.method.clone())
            .uri(uri)
            .body(Full::new(request.body.bytes.clone()))?;
        *req.headers_mut() = self.dialect.write_request(&request.headers, head);
        Ok(req)
    }

    /// Determines the outcome of a request sent at `sent` from the head of its response.
    async fn classify_response(
        &self,
        attempt: Attempt<'_>,
        conn: Conn,
        resp: Response<IncomingBody>,
        sent: Instant,
    ) -> AttemptOutcome {
        let (parts, body) = resp.into_parts();
        let head = self.dialect.read_response(parts.status, &parts.headers);
        if !head.is_for(&attempt.request.head.id) {
            return AttemptOutcome::Unknown(OTHER_REQUEST.to_owned());
        }
        self.record_signals(&attempt.target, parts.status, &head, sent);
        if head.not_run || parts.status == StatusCode::MISDIRECTED_REQUEST {
            let reason = format!("refused with {}", parts.status.as_u16());
            let weights = head.weights;
            let id = attempt.target.id.clone();
            drain_and_put(self.pool.clone(), id, conn, body, &head, head.keep_idle);
            return AttemptOutcome::NotRun {
                reason,
                weights,
                misdirected: parts.status == StatusCode::MISDIRECTED_REQUEST,
            };
        }
        if let Err(reason) = head.check(&attempt.request.head.id, parts.status) {
            return AttemptOutcome::Unknown(reason.to_owned());
        }
        let success = parts.status.is_success();
        if success && attempt.request.route.streaming {
            return AttemptOutcome::Streaming(Box::new(OpenStream {
                status: parts.status,
                headers: parts.headers,
                head,
                body: StreamBody::new(body),
                conn,
                source: StreamSource::Target {
                    target: attempt.target,
                    in_flight: Box::new(attempt.in_flight),
                },
                sent,
            }));
        }
        let body = match self.read_body(attempt.request, body).await {
            Ok(body) => body,
            Err(outcome) => return outcome,
        };
        self.return_connection(attempt.target.id.clone(), conn, &head);
        let response = CompleteResponse {
            status: parts.status,
            headers: parts.headers,
            body,
            target: Some(attempt.target),
        };
        match success {
            true => AttemptOutcome::Completed(response),
            false => AttemptOutcome::Failed(response),
        }
    }

    /// Records what a target reports about itself. A response that names another target, or states that the request was
    /// misdirected, is ignored: it is about that other target.
    pub(super) fn record_signals(
        &self,
        target: &TargetEntry,
        status: StatusCode,
        head: &ResponseHead,
        sent: Instant,
    ) {
        let is_other = head.target.as_ref().is_some_and(|id| *id != target.id);
        if status == StatusCode::MISDIRECTED_REQUEST || is_other {
            return;
        }
        let is_refusal = TEMPORARY_REJECTIONS.contains(&status);
        let mut signals = head.signals;
        if is_refusal {
            let boxes = self.fleet.view().box_count();
            signals.retry_after = signals.refusal_backoff(boxes, &mut rand::rng());
        }
        let observation = SignalObservation {
            sent,
            signals,
            success: status.is_success() && head.signed && !head.not_run,
            is_refusal,
        };
        let life = IncarnationHash::of(target);
        let changes = self
            .loads
            .signals(|signals| signals.record(life, observation, Instant::now()));
        for change in changes {
            match change {
                SignalChange::Limit(_) => self.loads.limit_changed.notify_waiters(),
                SignalChange::ShuttingDown => self.loads.leaving_observed.notify_one(),
                SignalChange::Backoff { .. } => {}
            }
            log_change(&self.log, target.id.as_str(), change);
        }
    }

    /// Reads a complete response body, until the request's deadline.
    pub(super) async fn read_body(
        &self,
        request: &AdmittedRequest,
        body: IncomingBody,
    ) -> Result<BufferedBody, AttemptOutcome> {
        let reading = self.body_memory.read(body, MAX_COMPLETE_RESPONSE);
        match timeout_at(request.deadline, reading).await {
            Ok(Ok(body)) => Ok(body),
            Ok(Err(e)) => Err(AttemptOutcome::Unknown(format!(
                "the answer broke off: {e}"
            ))),
            Err(_) => Err(AttemptOutcome::TimedOut(
                "the answer did not end in time".to_owned(),
            )),
        }
    }

    /// Returns a connection whose response was read completely to the pool, in the background.
    pub fn return_connection(
        &self,
        target: sillpin_core::TargetId,
        conn: Conn,
        head: &ResponseHead,
    ) {
        if head.closes {
            return;
        }
        let (pool, keep_idle) = (self.pool.clone(), head.keep_idle);
        tokio::spawn(async move { pool.put(target, conn, keep_idle).await });
    }
}

/// Maximum idle time of a connection that a request is sent over.
pub(super) fn max_idle(request: &AdmittedRequest) -> Duration {
    match request.route.idempotency {
        Idempotency::AtMostOnce => MAX_IDLE_ONCE,
        Idempotency::Idempotent => MAX_IDLE,
    }
}

/// Reads the rest of a rejection in the background and returns the connection to its pool.
pub(super) fn drain_and_put<K>(
    pool: ConnectionPool<K>,
    key: K,
    conn: Conn,
    body: IncomingBody,
    head: &ResponseHead,
    keep_idle: Option<Duration>,
) where
    K: Clone + Eq + Hash + Send + 'static,
{
    let closes = head.closes;
    tokio::spawn(async move {
        let limited = http_body_util::Limited::new(body, MAX_REJECTION);
        let read = tokio::time::timeout(REJECTION_TIMEOUT, limited.collect()).await;
        if matches!(read, Ok(Ok(_))) && !closes {
            pool.put(key, conn, keep_idle).await;
        }
    });
}
