//! Sends requests to other boxes while this box does not reach their targets.

use super::admit::{AdmittedRequest, Forwarded};
use super::attempt::max_idle;
use super::attempt_outcome::{AttemptOutcome, CompleteResponse, OpenStream, StreamSource};
use super::progress::Progress;
use super::refusal::Refusal;
use super::shared::Shared;
use super::stream_body::StreamBody;
use super::stream_version::Binding;
use crate::config::Idempotency;
use crate::dialect::{Dialect, ResponseHead};
use crate::fleet_state::BoxEntry;
use crate::forward::boxes::{Avoidance, BoxChoice, ForwardGuard, MAX_NAMED, SearchScope};
use crate::forward::head::{AnsweringTarget, ForwardHead, ForwardResult, NamedBoxes, Unavailable};
use crate::pool::{Conn, SendError};
use crate::streams::VersionHash;
use bytes::Bytes;
use http_body_util::Full;
use hyper::http::response;
use hyper::{Request, Response, StatusCode, Uri};
use rand::RngExt;
use sillpin_core::{BoxId, PoolId};
use sillpin_http::IncomingBody;
use sillpin_telemetry::{event, events};
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Number of targets that a request could not be sent to from which other boxes are tried, although this box may not be
/// cut off.
const MIN_UNSENT: u32 = 2;

/// Maximum number of boxes that reach a few targets that a request is offered to in an attempt, if no box was found that
/// reaches most.
const MAX_LAST_RESORTS: usize = 3;

/// Maximum number of boxes that cannot be reached: each takes the time limit of a connection.
const MAX_UNREACHABLE: usize = 3;

/// A connection to another box may take a part in `CONNECT_SHARE` of the time that is left, so that a third box can be
/// tried, and at most this time.
const CONNECT_SHARE: u32 = 4;
const MAX_CONNECT_TIME: Duration = Duration::from_millis(150);

/// Number of times that a request waits for a busy box that reaches the targets. A box that stays busy for longer has no
/// processor time for it, and the caller does better to retry elsewhere.
const MAX_BUSY_WAITS: usize = 4;

/// A request waits this much longer than a box is taken to be busy at most, so that not all are offered to it at once.
const BUSY_SPREAD: Duration = Duration::from_millis(50);

/// Refusal while the boxes that reach the targets are busy.
const ALL_BUSY: &str = "the boxes that reach the targets are busy";

/// Deducted from the time that another box is given, so that its response arrives in time.
const RETURN_MARGIN: Duration = Duration::from_millis(10);

/// How long an idle connection to a box is used again. Boxes close idle connections later.
const KEEP_IDLE: Duration = Duration::from_secs(4);

impl<D: Dialect> Shared<D> {
    /// Whether a request is better sent to another box.
    pub fn should_forward(
        &self,
        request: &AdmittedRequest,
        pool: &PoolId,
        progress: &Progress,
    ) -> bool {
        request.forwarded.is_none()
            && (progress.unsent >= MIN_UNSENT || self.loads.reach().is_cut_off(pool))
    }

    /// Accepts a request of another box, if this box can serve it besides its own callers' requests. The path is checked
    /// first: a busy box without one would be asked again soon, in vain.
    pub async fn accept_forwarded(&self, head: ForwardHead) -> Result<Forwarded, Refusal> {
        if !self.is_ready() {
            return Err(Refusal::unavailable(Unavailable::NotReady));
        }
        if let Some(pool) = &head.pool
            && !self.has_path_for(&head, pool)
        {
            return Err(self.refuse_without_path(pool));
        }
        match self.forward_capacity.reserve().await {
            Some(permit) => Ok(Forwarded { head, permit }),
            None => Err(Refusal::unavailable(Unavailable::Busy)),
        }
    }

    /// Whether this box serves another box's request of a pool: it reaches most of the pool's targets, or a few and the
    /// request's box found none that reaches most.
    pub fn has_path_for(&self, head: &ForwardHead, pool: &PoolId) -> bool {
        let reach = self.loads.reach();
        !reach.is_cut_off(pool) || (head.last_resort && reach.reaches_any(pool, Instant::now()))
    }

    /// Refuses another box's request since this box does not reach the pool's targets, and names boxes that may: itself,
    /// if it reaches a few, and others.
    pub fn refuse_without_path(&self, pool: &PoolId) -> Refusal {
        let now = Instant::now();
        let reaches_any = self.loads.reach().reaches_any(pool, now);
        let mut named = self.forward_boxes.proven(pool, now, &mut rand::rng());
        if reaches_any {
            named.push(self.cfg.id.clone());
        }
        Refusal::no_path(named)
    }

    /// Offers a request to other boxes in turn, first to those that may reach most targets; `None` if none of them can
    /// serve it.
    pub async fn forward(
        &self,
        request: &AdmittedRequest,
        pool: &PoolId,
        progress: &mut Progress,
    ) -> Option<AttemptOutcome> {
        let now = Instant::now();
        let reaches_any = self.loads.reach().reaches_any(pool, now);
        let scope = self
            .forward_boxes
            .search_scope(pool, reaches_any, now, &mut rand::rng());
        let most = Offers {
            last_resort: false,
            max: match scope {
                SearchScope::Full => usize::MAX,
                SearchScope::One => 1,
                SearchScope::Nothing => 0,
            },
        };
        let all_busy = match self.offer(request, pool, progress, most).await {
            Offered::Ended(outcome) => return Some(outcome),
            Offered::AllBusy => true,
            Offered::NotTaken => false,
        };
        if scope == SearchScope::Full {
            let now = Instant::now();
            self.forward_boxes.record_failed_search(pool, now);
        }
        if reaches_any {
            return None;
        }
        let few = Offers {
            last_resort: true,
            max: MAX_LAST_RESORTS,
        };
        match self.offer(request, pool, progress, few).await {
            Offered::Ended(outcome) => Some(outcome),
            _ if all_busy => Some(AttemptOutcome::Refused(Refusal::not_run(ALL_BUSY))),
            Offered::AllBusy | Offered::NotTaken => None,
        }
    }

    /// Offers a request to boxes in turn until one takes it. One that is busy is offered the request again later.
    async fn offer(
        &self,
        request: &AdmittedRequest,
        pool: &PoolId,
        progress: &mut Progress,
        offers: Offers,
    ) -> Offered {
        let mut tried = match offers.last_resort {
            true => Vec::new(),
            false => progress.boxes.clone(),
        };
        let (mut offered_to, mut unreachable, mut waits) = (0, 0, 0);
        while offered_to < offers.max
            && unreachable < MAX_UNREACHABLE
            && self.may_offer_to_box(pool, progress, offers)
        {
            let view = self.fleet.view();
            let choice = BoxChoice {
                boxes: &view.boxes,
                zone: &self.cfg.zone,
                pool,
                residency: self.residency(request),
                tried: &tried,
                now: Instant::now(),
            };
            let entry = match offers.last_resort {
                true => self
                    .forward_boxes
                    .choose_last_resort(&choice, &mut rand::rng()),
                false => self.forward_boxes.choose(&choice, &mut rand::rng()),
            };
            let Some(entry) = entry else {
                let until = match offers.last_resort {
                    true => None,
                    false => self.forward_boxes.busy_until(&choice),
                };
                let Some(until) = until else {
                    return Offered::NotTaken;
                };
                if waits == MAX_BUSY_WAITS || !wait_while_busy(request, until).await {
                    return Offered::AllBusy;
                }
                waits += 1;
                continue;
            };
            offered_to += 1;
            tried.push(entry.id.clone());
            progress.boxes.push(entry.id.clone());
            event!(self.log, events::REQUEST_FORWARDED, "request" => &request.head.id,
                "peer" => entry.id.as_str(), "offer" => progress.boxes.len(),
                "last_resort" => offers.last_resort,
                "left_ms" => request.time_left().as_millis());
            let terms = ForwardTerms {
                max_runs: max_runs_elsewhere(request, progress),
                last_resort: offers.last_resort,
            };
            progress.open_runs = terms.max_runs;
            let offered = Instant::now();
            let sent = self
                .forward_to(&entry, request, pool, progress, terms)
                .await;
            let (name, avoidance) = match &sent {
                Ok(outcome) => (outcome.name(), None),
                Err(why @ Avoidance::Unavailable(_)) => ("unavailable", Some(*why)),
                Err(why @ Avoidance::Unreachable) => {
                    unreachable += 1;
                    ("unreachable", Some(*why))
                }
            };
            self.metrics.forwarded(name);
            if let Some(why) = avoidance {
                let now = Instant::now();
                self.forward_boxes.avoid(&entry.id, pool, why, now);
                if why == Avoidance::Unavailable(Unavailable::Busy) && !offers.last_resort {
                    self.forward_boxes.record_named(&entry.id, pool, now);
                    tried.pop();
                }
                event!(self.log, events::FORWARD_NOT_TAKEN, "request" => &request.head.id,
                    "peer" => entry.id.as_str(), "peer_zone" => entry.zone.as_str(),
                    "why" => why.to_string(), "elapsed_ms" => offered.elapsed().as_millis());
            }
            progress.open_runs = 0;
            let Ok(outcome) = sent else {
                continue;
            };
            if let AttemptOutcome::Unknown(_) | AttemptOutcome::TimedOut(_) = outcome {
                event!(self.log, events::PEER_FAILED, "peer" => entry.id.as_str(),
                    "why" => outcome.reason(), "what" => "forwarded request",
                    "elapsed_ms" => request.arrival.elapsed().as_millis(), "bytes" => 0);
            }
            progress.record_forwarded(&outcome, terms.max_runs);
            return Offered::Ended(outcome);
        }
        Offered::NotTaken
    }

    fn may_offer_to_box(&self, pool: &PoolId, progress: &Progress, offers: Offers) -> bool {
        let offered = progress.boxes.len();
        offers.last_resort || self.forward_boxes.may_offer(pool, offered, Instant::now())
    }

    /// Sends a request to a box. An error means that the request did not run there, and that the box is to be avoided.
    async fn forward_to(
        &self,
        entry: &BoxEntry,
        request: &AdmittedRequest,
        pool: &PoolId,
        progress: &Progress,
        terms: ForwardTerms,
    ) -> Result<AttemptOutcome, Avoidance> {
        let limit = (request.time_left() / CONNECT_SHARE).min(MAX_CONNECT_TIME);
        let conns = &self.box_connections;
        let conn = conns.get_within(entry, max_idle(request), limit).await;
        let mut conn = conn.map_err(|_| Avoidance::Unreachable)?;
        let req = self.forwarded_request(request, pool, progress, terms);
        let req = req.map_err(|_| Avoidance::Unreachable)?;
        let in_flight = self.forward_boxes.start(&entry.id);
        let sent = Instant::now();
        let resp = match timeout_at(request.deadline, conn.send(req)).await {
            Ok(Ok(resp)) => resp,
            Ok(Err(SendError::Unsent { .. } | SendError::Refused { .. })) => {
                return Err(Avoidance::Unreachable);
            }
            Ok(Err(e @ SendError::Unanswered { .. })) => {
                return Ok(AttemptOutcome::Unknown(e.to_string()));
            }
            Err(_) => {
                return Ok(AttemptOutcome::TimedOut("no answer in time".to_owned()));
            }
        };
        let open = OpenForward {
            entry,
            pool,
            conn,
            in_flight,
            sent,
            last_resort: terms.last_resort,
        };
        self.classify_forwarded(request, open, resp).await
    }

    fn forwarded_request(
        &self,
        request: &AdmittedRequest,
        pool: &PoolId,
        progress: &Progress,
        terms: ForwardTerms,
    ) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
        let uri: Uri = request.path.parse()?;
        let mut req = Request::builder()
            .method(request.method.clone())
            .uri(uri)
            .body(Full::new(request.body.bytes.clone()))?;
        let timeout = request.time_left().saturating_sub(RETURN_MARGIN);
        let resume_after = progress.resume_after.as_deref();
        let mut headers = self
            .dialect
            .write_forwarded(&request.headers, timeout, resume_after);
        let head = ForwardHead {
            fleet: self.fleet_key,
            from: self.cfg.id.clone(),
            waited_ms: u64::try_from(request.arrival.elapsed().as_millis()).unwrap_or(u64::MAX),
            max_runs: terms.max_runs,
            counted: progress.counted,
            version: match progress.binding {
                Binding::Version(version) => Some(version),
                Binding::Any | Binding::Unknown => None,
            },
            last_resort: terms.last_resort,
            pool: Some(pool.clone()),
        };
        head.set(&mut headers);
        *req.headers_mut() = headers;
        Ok(req)
    }

    /// Determines the outcome of a forwarded request from the head of the response.
    async fn classify_forwarded(
        &self,
        request: &AdmittedRequest,
        open: OpenForward<'_>,
        resp: Response<IncomingBody>,
    ) -> Result<AttemptOutcome, Avoidance> {
        let (mut parts, body) = resp.into_parts();
        let result = ForwardResult::take(&mut parts.headers);
        let named = NamedBoxes::take(&mut parts.headers);
        let head = self.dialect.read_response(parts.status, &parts.headers);
        match result {
            Ok(ForwardResult::Target { version, target }) => {
                let (id, pool, now) = (&open.entry.id, open.pool, Instant::now());
                match open.last_resort {
                    true => self.forward_boxes.record_few_paths(id, pool, now),
                    false => self.forward_boxes.record_served(id, pool, now),
                }
                let response = TargetResponse {
                    parts,
                    head,
                    body,
                    version,
                    target,
                };
                Ok(self.accept_response(request, open, response).await)
            }
            Ok(ForwardResult::Unavailable(why)) => {
                self.record_named(&named, open.entry, open.pool);
                self.recycle(open, body, &head);
                Err(Avoidance::Unavailable(why))
            }
            Ok(ForwardResult::Refused {
                outcome,
                reason,
                retry_after_ms,
            }) => {
                self.recycle(open, body, &head);
                let refusal = Refusal {
                    status: parts.status,
                    outcome,
                    reason,
                    retry_after: retry_after_ms.map(Duration::from_millis),
                    unavailable: None,
                    named: NamedBoxes::default(),
                };
                Ok(AttemptOutcome::Refused(without_denial(refusal)))
            }
            Err(e) => Ok(AttemptOutcome::Unknown(e.to_string())),
        }
    }

    /// Records the boxes that the box `by`, which has no path, named, if they are up.
    fn record_named(&self, named: &NamedBoxes, by: &BoxEntry, pool: &PoolId) {
        if named.0.contains(&by.id) {
            self.forward_boxes
                .record_few_paths(&by.id, pool, Instant::now());
        }
        let view = self.fleet.view();
        let is_other_box =
            |id: &&BoxId| **id != self.cfg.id && view.boxes.iter().any(|entry| entry.id == **id);
        let others = named.0.iter().filter(|id| **id != by.id).take(MAX_NAMED);
        for id in others.filter(is_other_box) {
            self.forward_boxes.record_named(id, pool, Instant::now());
        }
    }

    /// Validates a target's response that another box passes on.
    async fn accept_response(
        &self,
        request: &AdmittedRequest,
        open: OpenForward<'_>,
        response: TargetResponse,
    ) -> AttemptOutcome {
        let TargetResponse {
            parts,
            head,
            body,
            version,
            target,
        } = response;
        if head.is_for(&request.head.id) {
            self.record_forwarded_signals(target, parts.status, &head, open.sent);
        }
        if let Err(reason) = head.check(&request.head.id, parts.status) {
            return AttemptOutcome::Unknown(reason.to_owned());
        }
        let success = parts.status.is_success();
        if success && request.route.streaming {
            return AttemptOutcome::Streaming(Box::new(OpenStream {
                status: parts.status,
                headers: parts.headers,
                head,
                body: StreamBody::new(body),
                conn: open.conn,
                source: StreamSource::Box {
                    id: open.entry.id.clone(),
                    in_flight: open.in_flight,
                    version,
                },
                sent: open.sent,
            }));
        }
        let body = match self.read_body(request, body).await {
            Ok(body) => body,
            Err(outcome) => return outcome,
        };
        if !head.closes {
            let (conns, id) = (self.box_connections.clone(), open.entry.id.clone());
            let conn = open.conn;
            tokio::spawn(async move { conns.put(id, conn, Some(KEEP_IDLE)).await });
        }
        let response = CompleteResponse {
            status: parts.status,
            headers: parts.headers,
            body,
            target: None,
        };
        match success {
            true => AttemptOutcome::Completed(response),
            false => AttemptOutcome::Failed(response),
        }
    }

    /// Reads the rest of a refusal in the background and returns the connection to the pool.
    fn recycle(&self, open: OpenForward<'_>, body: IncomingBody, head: &ResponseHead) {
        let (conns, id) = (self.box_connections.clone(), open.entry.id.clone());
        let conn = open.conn;
        super::attempt::drain_and_put(conns, id, conn, body, head, Some(KEEP_IDLE));
    }
}

/// Waits until a box that is busy may take requests again; returns whether there is time left for the request.
async fn wait_while_busy(request: &AdmittedRequest, until: Instant) -> bool {
    let until = until + BUSY_SPREAD.mul_f64(rand::rng().random_range(0.0..1.0));
    let in_time = until + RETURN_MARGIN < request.deadline;
    if in_time {
        tokio::time::sleep_until(until).await;
    }
    in_time
}

/// What became of a request that was offered to other boxes.
enum Offered {
    /// One took it, or may have.
    Ended(AttemptOutcome),
    /// Those that reach the targets are busy.
    AllBusy,
    /// None took it.
    NotTaken,
}

/// To how many boxes a request is offered, and to which.
#[derive(Debug, Clone, Copy)]
struct Offers {
    /// To boxes that reach a few targets, not to those that may reach most.
    last_resort: bool,
    max: usize,
}

/// What a box states in a request that it sends on.
#[derive(Debug, Clone, Copy)]
struct ForwardTerms {
    max_runs: u32,
    last_resort: bool,
}

/// A forwarded request whose response head has arrived.
struct OpenForward<'a> {
    entry: &'a BoxEntry,
    pool: &'a PoolId,
    conn: Conn,
    in_flight: ForwardGuard,
    sent: Instant,
    last_resort: bool,
}

/// A target's response that another box passes on.
struct TargetResponse {
    parts: response::Parts,
    head: ResponseHead,
    body: IncomingBody,
    version: Option<VersionHash>,
    target: Option<AnsweringTarget>,
}

/// Turns a denial by another box's configuration into a refusal: this box's configuration allows the request, and one of
/// the two is about to change.
fn without_denial(refusal: Refusal) -> Refusal {
    const DENIALS: [StatusCode; 3] = [
        StatusCode::UNAUTHORIZED,
        StatusCode::FORBIDDEN,
        StatusCode::NOT_FOUND,
    ];
    match DENIALS.contains(&refusal.status) {
        true => Refusal::not_run(refusal.reason),
        false => refusal,
    }
}

/// Maximum number of targets at which another box may run a request. One run of a request that may be repeated is kept
/// back, for the case that the box does not answer.
fn max_runs_elsewhere(request: &AdmittedRequest, progress: &Progress) -> u32 {
    let left = request.max_runs.saturating_sub(progress.runs);
    match request.route.idempotency {
        Idempotency::AtMostOnce => 1,
        Idempotency::Idempotent => left.saturating_sub(1).max(1),
    }
}
