//! One sending of a request to a target, and how it ended.
//!
//! [`Ended`] is the only thing that retries and answers to callers are decided from. What the target
//! answers is checked before any of it counts: it must echo the request's id, and a success must be
//! vouched for by the target and be whole.

use super::admit::Run;
use super::shared::Shared;
use crate::control::TargetEntry;
use crate::dialect::{AnswerHead, Dialect, Sending};
use crate::placement::InFlightGuard;
use crate::placement::signals::{SignalChange, SignalObservation, log_change};
use crate::placement::work::IncarnationHash;
use crate::pool::{Conn, SendError};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{HeaderMap, Request, Response, StatusCode, Uri};
use sillpin_core::WeightVersion;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Longest answer of a plain target that is held until it is whole.
const MAX_WHOLE_ANSWER: usize = 8 << 20;

/// A request that may run once only goes out on a connection that rested less than this: a target may
/// forget an idle connection without a word, and then nobody can tell whether it ran.
const MAX_IDLE_ONCE: Duration = Duration::from_secs(2);

/// Other requests may use a connection that rested longer.
const MAX_IDLE: Duration = Duration::from_secs(30);

/// Why a prompt was taken back from its engine.
const EXPIRED: &str = "its weights were replaced too long ago for it to begin";

/// Statuses by which a target turns a request away for now.
const TURNED_AWAY: [StatusCode; 2] = [
    StatusCode::SERVICE_UNAVAILABLE,
    StatusCode::TOO_MANY_REQUESTS,
];

/// How often a prompt that waits at its engine is looked at again: weights may be named meanwhile, and their limit is some seconds.
const LOOK_EVERY: Duration = Duration::from_secs(1);

/// An answer that was read whole.
#[derive(Debug)]
pub struct WholeAnswer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// A stream that has begun.
pub struct OpenStream {
    /// Status of the answer.
    pub status: StatusCode,
    /// Headers of the answer.
    pub headers: HeaderMap,
    /// What the target said in the head.
    pub head: AnswerHead,
    /// Its events.
    pub body: Incoming,
    /// The connection, back to the pool after the stream's end.
    pub conn: Conn,
    /// Counts the request at the target.
    pub ticket: InFlightGuard,
    /// The target.
    pub target: std::sync::Arc<TargetEntry>,
}

/// How a sending ended.
pub enum Ended {
    /// Nothing left this box.
    Unsent(String),
    /// The target did not run it, and said so.
    NotRun {
        /// Why.
        why: String,
        /// Weights that the target serves, if it said so.
        weights: Option<WeightVersion>,
        /// Whether the target is not the one that was meant, or serves other weights than were meant.
        misdirected: bool,
    },
    /// The target ran it and answered with a failure of its own.
    Failed(WholeAnswer),
    /// It may have run.
    Unknown(String),
    /// It may have run, and there is no time left.
    TimedOut(String),
    /// It was taken back since its weights were replaced too long ago; it may have run. Nothing is wrong with the target.
    TakenBack,
    /// It ran, and the answer is whole.
    Answered(WholeAnswer),
    /// It runs, and its events come.
    Streaming(Box<OpenStream>),
}

impl Ended {
    /// Its name in logs and metrics.
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

    /// Why it ended so, for logs.
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

/// How the wait for the head of an answer ended.
enum Waited {
    /// It came, or the connection failed.
    Ended(Result<Response<Incoming>, SendError>),
    /// The request's time is over, or it is to go elsewhere.
    Left,
    /// Its weights were replaced too long ago for it to begin.
    Expired,
}

/// When the wait for an answer ends, as far as the target's silence does not decide it.
pub struct Leaving<L, B> {
    /// Tells, each time that the target has been silent for long, whether the request is to go elsewhere.
    pub may_leave: L,
    /// Until when it may begin at the target; checked also while it waits there, since how long an engine's queue is cannot be
    /// known: margins of seconds were used up in it.
    pub latest_start: B,
}

/// What one sending needs.
pub struct Attempt<'a> {
    /// The request.
    pub run: &'a Run,
    /// Who gets it.
    pub target: std::sync::Arc<TargetEntry>,
    /// What is said to the target.
    pub sending: Sending,
    /// Counts the request at the target.
    pub ticket: InFlightGuard,
}

impl<D: Dialect> Shared<D> {
    /// Sends a request to one target.
    pub async fn attempt<L, B>(&self, attempt: Attempt<'_>, leaving: Leaving<L, B>) -> Ended
    where
        L: Fn() -> bool,
        B: Fn() -> Option<Instant>,
    {
        let run = attempt.run;
        let target = attempt.target.clone();
        let max_idle = match run.route.repeat {
            crate::config::Repeat::AtMostOnce => MAX_IDLE_ONCE,
            crate::config::Repeat::Freely => MAX_IDLE,
        };
        let mut conn = match self.pool.get(&target, max_idle).await {
            Ok(conn) => conn,
            Err(e) => return Ended::Unsent(e.to_string()),
        };
        if (leaving.latest_start)().is_some_and(|at| at <= Instant::now()) {
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

    /// Sends a request and waits for the head of the answer. A prompt begins with it.
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
            let latest_start = (leaving.latest_start)();
            if latest_start.is_some_and(|at| at <= Instant::now()) {
                return Waited::Expired;
            }
            let look = latest_start
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
        sending: &Sending,
    ) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
        let uri: Uri = run.path.parse()?;
        let mut req = Request::builder()
            .method(run.method.clone())
            .uri(uri)
            .body(Full::new(run.body.bytes.clone()))?;
        *req.headers_mut() = self.dialect.write_request(&run.headers, sending);
        Ok(req)
    }

    /// How a sending ended whose answer's head came for a request sent at `sent`.
    async fn judge(
        &self,
        attempt: Attempt<'_>,
        conn: Conn,
        resp: Response<Incoming>,
        sent: Instant,
    ) -> Ended {
        let (parts, body) = resp.into_parts();
        let head = self.dialect.read_answer(parts.status, &parts.headers);
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

    /// Takes note of what a target says of itself. Who says that it is not the one that was meant speaks for another target.
    fn note_words(
        &self,
        target: &TargetEntry,
        status: StatusCode,
        head: &AnswerHead,
        sent: Instant,
    ) {
        let is_other = head.target.as_ref().is_some_and(|id| *id != target.id);
        if status == StatusCode::MISDIRECTED_REQUEST || is_other {
            return;
        }
        let said = SignalObservation {
            sent,
            signals: head.signals,
            success: status.is_success() && head.signed && !head.not_run,
            is_refusal: TURNED_AWAY.contains(&status),
        };
        let life = IncarnationHash::of(target);
        let changes = self
            .loads
            .signals(|signals| signals.record(life, said, Instant::now()));
        for change in changes {
            if let SignalChange::Limit(_) = change {
                self.loads.limit_changed.notify_waiters();
            }
            log_change(&self.log, target.id.as_str(), change);
        }
    }

    /// Reads the rest of a refusal and keeps the connection, without making the caller wait.
    fn recycle(
        &self,
        target: sillpin_core::TargetId,
        conn: Conn,
        body: Incoming,
        head: &AnswerHead,
    ) {
        let (pool, keep_idle, closes) = (self.pool.clone(), head.keep_idle, head.closes);
        tokio::spawn(async move {
            let limited = http_body_util::Limited::new(body, MAX_WHOLE_ANSWER);
            if limited.collect().await.is_ok() && !closes {
                pool.put(target, conn, keep_idle).await;
            }
        });
    }

    /// Keeps a connection whose answer was read whole, without making the caller wait.
    pub fn keep(&self, target: sillpin_core::TargetId, conn: Conn, head: &AnswerHead) {
        if head.closes {
            return;
        }
        let (pool, keep_idle) = (self.pool.clone(), head.keep_idle);
        tokio::spawn(async move { pool.put(target, conn, keep_idle).await });
    }
}
