//! One attempt to serve a request at a target, and its outcome.
//!
//! [`Ended`] is the only basis for decisions about retries and about the caller's response. A target's response is
//! validated before it counts: it must echo the request's id, and a success must be signed by the target and
//! complete.

use super::admit::Run;
use super::shared::Shared;
use crate::control::TargetEntry;
use crate::dialect::{ResponseHead, Dialect, AttemptHead};
use crate::place::Ticket;
use crate::place::words::{Change, Said, log_change};
use crate::place::work::LifeHash;
use crate::pool::{Conn, SendError};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{HeaderMap, Request, Response, StatusCode, Uri};
use sillpin_core::WeightVersion;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Maximum length of a response that is buffered until it is complete, in bytes.
const MAX_WHOLE_ANSWER: usize = 8 << 20;

/// Maximum idle time of a connection that carries a request which may run only once. A target may drop an idle
/// connection without closing it, and then it cannot be determined whether the request ran.
const MAX_IDLE_ONCE: Duration = Duration::from_secs(2);

/// Maximum idle time of a connection for all other requests.
const MAX_IDLE: Duration = Duration::from_secs(30);

/// Why a prompt was cancelled at its engine.
const EXPIRED: &str = "its weights were replaced too long ago for it to begin";

/// Statuses by which a target temporarily rejects a request.
const TURNED_AWAY: [StatusCode; 2] = [
    StatusCode::SERVICE_UNAVAILABLE,
    StatusCode::TOO_MANY_REQUESTS,
];

/// Interval at which the time limit of a prompt waiting at its engine is checked again: new weights may be published
/// meanwhile, and the limit for replaced ones is a few seconds.
const LOOK_EVERY: Duration = Duration::from_secs(1);

/// A complete response.
#[derive(Debug)]
pub struct WholeAnswer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// A streaming response whose head has arrived.
pub struct OpenStream {
    /// Status of the response.
    pub status: StatusCode,
    /// Headers of the response.
    pub headers: HeaderMap,
    /// The parsed head.
    pub head: ResponseHead,
    /// The stream's events.
    pub body: Incoming,
    /// The connection; it is returned to the pool when the stream is complete.
    pub conn: Conn,
    /// Counts the request as in flight at the target.
    pub ticket: Ticket,
    /// The target.
    pub target: std::sync::Arc<TargetEntry>,
}

/// Outcome of an attempt.
pub enum Ended {
    /// No byte was sent to the target.
    Unsent(String),
    /// The target reported that it did not run the request.
    NotRun {
        /// Reason, for logs.
        why: String,
        /// Weights that the target serves, if it reported them.
        weights: Option<WeightVersion>,
        /// Whether the request reached another target than intended, or a target with other weights than intended.
        misdirected: bool,
    },
    /// The target ran the request and responded with an error.
    Failed(WholeAnswer),
    /// The request may have run.
    Unknown(String),
    /// The request may have run, and its time is up.
    TimedOut(String),
    /// The request was cancelled because its weights were replaced too long ago. It may have run; this does not count
    /// as a failure of the target.
    TakenBack,
    /// The request ran, and the response is complete.
    Answered(WholeAnswer),
    /// The request runs, and its response is being streamed.
    Streaming(Box<OpenStream>),
}

impl Ended {
    /// Name of the outcome in logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Ended::Unsent(_) => "unsent",
            Ended::NotRun { .. } => "not-run",
            Ended::Failed(_) => "failed",
            Ended::Unknown(_) => "unknown",
            Ended::TimedOut(_) => "timed-out",
            Ended::TakenBack => "taken-back",
            Ended::Answered(_) => "answered",
            Ended::Streaming(_) => "streaming",
        }
    }

    /// Reason of the outcome, for logs; empty for a success.
    pub fn why(&self) -> &str {
        match self {
            Ended::Unsent(why) | Ended::Unknown(why) | Ended::TimedOut(why) => why,
            Ended::NotRun { why, .. } => why,
            Ended::TakenBack => EXPIRED,
            Ended::Failed(_) => "the target's own failure",
            Ended::Answered(_) | Ended::Streaming(_) => "",
        }
    }
}

/// How waiting for the head of a response ended.
enum Waited {
    /// The head arrived, or the connection failed.
    Ended(Result<Response<Incoming>, SendError>),
    /// The request timed out, or is better sent to another target.
    Left,
    /// The request's weights were replaced too long ago for it to start.
    Expired,
}

/// Conditions, other than the request's deadline, under which waiting for a response ends.
pub struct Leaving<L, B> {
    /// Called each time the target has been silent for the time-out; returns whether to abandon the attempt for
    /// another target.
    pub may_leave: L,
    /// Latest time at which the request may start at the target. Also checked while it waits there: the length of an
    /// engine's queue is not known in advance, and margins of several seconds have been used up in it.
    pub begin_by: B,
}

/// Input of one attempt.
pub struct Attempt<'a> {
    /// The request.
    pub run: &'a Run,
    /// The target that gets it.
    pub target: std::sync::Arc<TargetEntry>,
    /// What the head of the request to the target contains.
    pub sending: AttemptHead,
    /// Counts the request as in flight at the target.
    pub ticket: Ticket,
}

impl<D: Dialect> Shared<D> {
    /// Sends a request to one target and returns the outcome.
    pub async fn attempt<L, B>(&self, attempt: Attempt<'_>, leaving: Leaving<L, B>) -> Ended
    where
        L: Fn() -> bool,
        B: Fn() -> Option<Instant>,
    {
        let run = attempt.run;
        let target = attempt.target.clone();
        let max_idle = match run.route.idempotency {
            crate::config::Idempotency::AtMostOnce => MAX_IDLE_ONCE,
            crate::config::Idempotency::Idempotent => MAX_IDLE,
        };
        let mut conn = match self.pool.get(&target, max_idle).await {
            Ok(conn) => conn,
            Err(e) => return Ended::Unsent(e.to_string()),
        };
        if (leaving.begin_by)().is_some_and(|at| at <= Instant::now()) {
            return Ended::NotRun {
                why: EXPIRED.to_owned(),
                weights: None,
                misdirected: false,
            };
        }
        let req = match self.request(run, &attempt.sending) {
            Ok(req) => req,
            Err(e) => return Ended::Unsent(e.to_string()),
        };
        let sent = Instant::now();
        let resp = match self.wait_for_head(run, &mut conn, req, leaving).await {
            Waited::Ended(Ok(resp)) => resp,
            Waited::Ended(Err(e @ (SendError::Unsent { .. } | SendError::Refused { .. }))) => {
                return Ended::Unsent(e.to_string());
            }
            Waited::Ended(Err(e @ SendError::Unanswered { .. })) => {
                return Ended::Unknown(e.to_string());
            }
            Waited::Left => return Ended::TimedOut("no answer in time".to_owned()),
            Waited::Expired => return Ended::TakenBack,
        };
        self.judge(attempt, conn, resp, sent).await
    }

    /// Sends a request and waits for the head of the response. An engine sends the head when it starts the prompt.
    async fn wait_for_head<L, B>(
        &self,
        run: &Run,
        conn: &mut Conn,
        req: Request<Full<Bytes>>,
        leaving: Leaving<L, B>,
    ) -> Waited
    where
        L: Fn() -> bool,
        B: Fn() -> Option<Instant>,
    {
        let mut answer = std::pin::pin!(conn.send(req));
        let mut silent_until = self.silence_until(run);
        loop {
            let begin_by = (leaving.begin_by)();
            if begin_by.is_some_and(|at| at <= Instant::now()) {
                return Waited::Expired;
            }
            let look = begin_by
                .unwrap_or(silent_until)
                .min(Instant::now() + LOOK_EVERY);
            if let Ok(answered) = timeout_at(look.min(silent_until), &mut answer).await {
                return Waited::Ended(answered);
            }
            if Instant::now() < silent_until {
                continue;
            }
            if silent_until >= run.deadline || (leaving.may_leave)() {
                return Waited::Left;
            }
            silent_until = self.silence_until(run);
        }
    }

    fn request(
        &self,
        run: &Run,
        sending: &AttemptHead,
    ) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
        let uri: Uri = run.path.parse()?;
        let mut req = Request::builder()
            .method(run.method.clone())
            .uri(uri)
            .body(Full::new(run.body.bytes.clone()))?;
        *req.headers_mut() = self.dialect.write_request(&run.headers, sending);
        Ok(req)
    }

    /// Determines the outcome of a request sent at `sent` from the head of its response.
    async fn judge(
        &self,
        attempt: Attempt<'_>,
        conn: Conn,
        resp: Response<Incoming>,
        sent: Instant,
    ) -> Ended {
        let (parts, body) = resp.into_parts();
        let head = self.dialect.read_response(parts.status, &parts.headers);
        if head.request_id.as_deref() != Some(attempt.run.demand.id.as_str()) {
            return Ended::Unknown("the answer is another request's".to_owned());
        }
        self.note_words(&attempt.target, parts.status, &head, sent);
        if head.not_run || parts.status == StatusCode::MISDIRECTED_REQUEST {
            let why = format!("refused with {}", parts.status.as_u16());
            let weights = head.weights;
            self.recycle(attempt.target.id.clone(), conn, body, &head);
            return Ended::NotRun {
                why,
                weights,
                misdirected: parts.status == StatusCode::MISDIRECTED_REQUEST,
            };
        }
        let success = parts.status.is_success();
        if success && (!head.signed || head.encoded) {
            return Ended::Unknown("a success that the target does not vouch for".to_owned());
        }
        if success && attempt.run.route.streaming {
            return Ended::Streaming(Box::new(OpenStream {
                status: parts.status,
                headers: parts.headers,
                head,
                body,
                conn,
                ticket: attempt.ticket,
                target: attempt.target,
            }));
        }
        let limited = http_body_util::Limited::new(body, MAX_WHOLE_ANSWER);
        let body = match timeout_at(attempt.run.deadline, limited.collect()).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(e)) => return Ended::Unknown(format!("the answer broke off: {e}")),
            Err(_) => return Ended::TimedOut("the answer did not end in time".to_owned()),
        };
        self.keep(attempt.target.id.clone(), conn, &head);
        let answer = WholeAnswer {
            status: parts.status,
            headers: parts.headers,
            body,
        };
        match success {
            true => Ended::Answered(answer),
            false => Ended::Failed(answer),
        }
    }

    /// Records what a target reports about itself. A response that names another target, or says that the request was
    /// misdirected, is ignored: it is about that other target.
    fn note_words(
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
        let said = Said {
            sent,
            words: head.signals,
            success: status.is_success() && head.signed && !head.not_run,
            turned_away: TURNED_AWAY.contains(&status),
        };
        let life = LifeHash::of(target);
        let changes = self
            .loads
            .words(|words| words.take(life, said, Instant::now()));
        for change in changes {
            if let Change::Limit(_) = change {
                self.loads.limit_found.notify_waiters();
            }
            log_change(&self.log, target.id.as_str(), change);
        }
    }

    /// Reads the rest of a rejection in the background and returns the connection to the pool.
    fn recycle(
        &self,
        target: sillpin_core::TargetId,
        conn: Conn,
        body: Incoming,
        head: &ResponseHead,
    ) {
        let (pool, keep_idle, closes) = (self.pool.clone(), head.keep_idle, head.closes);
        tokio::spawn(async move {
            let limited = http_body_util::Limited::new(body, MAX_WHOLE_ANSWER);
            if limited.collect().await.is_ok() && !closes {
                pool.put(target, conn, keep_idle).await;
            }
        });
    }

    /// Returns a connection whose response was read completely to the pool, in the background.
    pub fn keep(&self, target: sillpin_core::TargetId, conn: Conn, head: &ResponseHead) {
        if head.closes {
            return;
        }
        let (pool, keep_idle) = (self.pool.clone(), head.keep_idle);
        tokio::spawn(async move { pool.put(target, conn, keep_idle).await });
    }
}
