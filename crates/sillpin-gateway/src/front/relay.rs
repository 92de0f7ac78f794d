//! Relays streams to callers, event by event.
//!
//! When a target breaks a stream off and the route allows resumption, the stream continues at another target after
//! the last complete event that the caller has. While a target is doubted, others are asked, and the stream stays open at
//! it until one of them goes on ([`super::handover`]). If nobody does, the caller's connection is aborted, so that the
//! response cannot be mistaken for a complete one.

use super::admit::AdmittedRequest;
use super::attempt_outcome::{Doubt, OpenStream, SILENT, StreamSource};
use super::drain::StoppingEnd;
use super::events::{EventSplitter, OVERLONG_EVENT, count_events};
use super::handover::Handover;
use super::incomplete::{EndReason, IncompleteResponse};
use super::progress::{Progress, may_rerun};
use super::shared::Shared;
use super::stream_body::{StreamBody, StreamPart};
use super::stream_version::Binding;
use super::target_wait::{TargetWait, WaitEnd};
use crate::control::TargetEntry;
use crate::dialect::Dialect;
use crate::forward::head::AnsweringTarget;
use crate::placement::InFlightGuard;
use crate::placement::load::Outcome as Health;
use crate::placement::work::IncarnationHash;
use crate::releases::tracker::Response as VersionResponse;
use crate::streams::VersionHash;
use bytes::Bytes;
use hyper::Response;
use sillpin_core::PoolId;
use sillpin_http::{Body, BodySender};
use sillpin_telemetry::{event, events};
use std::sync::Arc;
use tokio::time::Instant;

/// Why a stream goes on elsewhere while its target is slow.
const NO_EVENT_IN_TIME: &str = "the target sent no event in time";

/// Why a stream ends that is under way when the grace period of a stop is over.
const BOX_STOPS: &str = "the box stops and its grace period is over";

/// How relaying from one target ended.
enum RelayEnd {
    /// The stream is complete.
    Complete,
    /// The caller closed its connection.
    CallerDisconnected,
    /// The request reached its deadline.
    DeadlineReached,
    /// The box stops and its grace period is over.
    BoxStops,
    /// The target broke the stream off or stopped sending.
    Broken(String),
    /// The engine has been silent for longer than a sound one.
    Silent,
    /// Another target goes on with the stream.
    Moved {
        /// Its part of the stream.
        next: Box<OpenStream>,
        /// How the stream ended at the first target.
        end: Box<RelayEnd>,
    },
}

impl RelayEnd {
    /// What a stream that was requested at `sent` and has ended now tells about its target's version.
    fn response(&self, sent: Instant) -> Option<VersionResponse> {
        match self {
            RelayEnd::Complete | RelayEnd::DeadlineReached => {
                Some(VersionResponse::Served(sent.elapsed()))
            }
            RelayEnd::Broken(_) | RelayEnd::Silent | RelayEnd::Moved { .. } => {
                Some(VersionResponse::Broken)
            }
            RelayEnd::CallerDisconnected | RelayEnd::BoxStops => None,
        }
    }
}

impl<D: Dialect> Shared<D> {
    /// Returns the response for a stream's caller; a background task sends the events.
    pub fn relay(
        self: Arc<Self>,
        request: AdmittedRequest,
        pool: PoolId,
        progress: Progress,
        stream: OpenStream,
    ) -> Response<Body> {
        let (tx, body) = Body::channel();
        let mut resp = Response::new(body);
        *resp.status_mut() = stream.status;
        *resp.headers_mut() = self.dialect.write_response(&stream.headers);
        self.metrics.response_head(request.arrival.elapsed());
        if request.forwarded.is_some()
            && let StreamSource::Target { target, .. } = &stream.source
        {
            resp.extensions_mut().insert(AnsweringTarget::of(target));
        }
        let mut progress = progress;
        if request.forwarded.is_some() && request.route.resumable {
            // The box that forwarded the request is told the version before there is an event.
            if let Some(version) = stream.source.version() {
                resp.extensions_mut().insert(version);
                progress.binding = Binding::Version(version);
            }
        }
        tokio::spawn(self.relay_all(request, pool, progress, stream, tx));
        resp
    }

    async fn relay_all(
        self: Arc<Self>,
        request: AdmittedRequest,
        pool: PoolId,
        mut progress: Progress,
        mut stream: OpenStream,
        tx: BodySender,
    ) {
        let mut events = EventSplitter::after(progress.resume_after.take());
        loop {
            let entry = match &stream.source {
                StreamSource::Target { target, .. } => Some(target.clone()),
                StreamSource::Box { .. } => None,
            };
            let target = stream.source.name().to_owned();
            let (id, waited) = (&request.head.id, request.arrival.elapsed().as_millis());
            let (sent, version) = (stream.sent, stream.source.version());
            let relaying =
                self.relay_source(&request, &pool, &mut progress, stream, &mut events, &tx);
            let end = self.aborting.run_until_cancelled(relaying).await;
            let end = end.unwrap_or(RelayEnd::BoxStops);
            bind(&mut progress, &events, version);
            let assignment = progress.assignment.take();
            if let (Some(response), Some(entry)) = (end.response(sent), &entry) {
                self.record_response(&request, entry, response, assignment);
            }
            let (reason, why) = match end {
                RelayEnd::Complete => {
                    self.record_served(&request);
                    self.record_service_time(&request);
                    self.metrics.response_end(request.arrival.elapsed());
                    self.metrics.request(&request.route.name, "answered");
                    event!(self.log, events::STREAM_COMPLETE, "request" => id,
                        "target" => &target, "head_ms" => waited,
                        "whole_ms" => request.arrival.elapsed().as_millis());
                    self.record_stopping_end(id, request.read, StoppingEnd::Answered, "");
                    return tx.finish();
                }
                RelayEnd::CallerDisconnected => {
                    self.record_abandoned(&request, entry.as_ref());
                    self.metrics.request(&request.route.name, "caller-gone");
                    event!(self.log, events::CALLER_DISCONNECTED, "request" => id,
                        "target" => &target,
                        "elapsed_ms" => request.arrival.elapsed().as_millis());
                    self.record_stopping_end(id, request.read, StoppingEnd::CallerGone, "");
                    return;
                }
                RelayEnd::DeadlineReached => {
                    self.record_abandoned(&request, entry.as_ref());
                    self.record_service_time(&request);
                    let why = "the request's time is over".to_owned();
                    (EndReason::Deadline, why)
                }
                RelayEnd::BoxStops => {
                    progress.drop_open();
                    self.record_abandoned(&request, entry.as_ref());
                    (EndReason::BoxStopped, BOX_STOPS.to_owned())
                }
                RelayEnd::Moved { next, end } => {
                    let why = self.record_broken(&request, entry.as_ref(), *end);
                    self.log_broken(&request, &target, &why);
                    events = EventSplitter::after(progress.resume_after.clone());
                    stream = *next;
                    continue;
                }
                RelayEnd::Broken(_) | RelayEnd::Silent => {
                    let reason = match end {
                        RelayEnd::Silent => EndReason::Silent,
                        _ => EndReason::BrokenOff,
                    };
                    let why = self.record_broken(&request, entry.as_ref(), end);
                    self.log_broken(&request, &target, &why);
                    match self
                        .resume(&request, &pool, &mut progress, &mut events, &tx)
                        .await
                    {
                        Some(next) => {
                            stream = next;
                            continue;
                        }
                        None => (reason, why),
                    }
                }
            };
            let end = IncompleteResponse {
                reason,
                why: &why,
                source: &target,
                last_event: events.last_id().unwrap_or_default(),
            };
            self.record_incomplete(&request, &progress, &end);
            tx.abort("stream broke off").await;
            return;
        }
    }

    /// Records that an attempt was given up at a target while it may still run. Another box records its own.
    fn record_abandoned(&self, request: &AdmittedRequest, entry: Option<&Arc<TargetEntry>>) {
        if let Some(entry) = entry {
            self.fatal
                .sent(request.candidates.clone(), IncarnationHash::of(entry))
                .end(true);
        }
    }

    /// Records how a stream was broken off, and returns the reason for the log.
    fn record_broken(
        &self,
        request: &AdmittedRequest,
        entry: Option<&Arc<TargetEntry>>,
        end: RelayEnd,
    ) -> String {
        let RelayEnd::Broken(reason) = end else {
            self.record_abandoned(request, entry);
            return SILENT.to_owned();
        };
        if let Some(entry) = entry {
            self.response_broken(request, entry);
            self.loads
                .record_for_incarnation(&entry.id, entry.life, Health::Failed);
        }
        reason
    }

    fn log_broken(&self, request: &AdmittedRequest, target: &str, why: &str) {
        event!(self.log, events::ATTEMPT_INCOMPLETE, "request" => &request.head.id,
            "target" => target, "outcome" => "broken", "why" => why,
            "elapsed_ms" => request.arrival.elapsed().as_millis());
    }

    /// Resumes a broken stream at another target; `None` if that is not possible.
    async fn resume(
        &self,
        request: &AdmittedRequest,
        pool: &PoolId,
        progress: &mut Progress,
        events: &mut EventSplitter,
        tx: &BodySender,
    ) -> Option<OpenStream> {
        if !request.route.resumable {
            return None;
        }
        progress.resume_after = events.last_id().map(str::to_owned);
        let resumed = tokio::select! {
            resumed = self.resume_elsewhere(request, pool, progress) => resumed,
            () = tx.closed() => Err("the caller is gone".to_owned()),
            () = self.aborting.cancelled() => Err(BOX_STOPS.to_owned()),
        };
        let after = progress.resume_after.as_deref().unwrap_or("start");
        match resumed {
            Ok(stream) => {
                *events = EventSplitter::after(progress.resume_after.clone());
                self.metrics.resumption("resumed here");
                event!(self.log, events::STREAM_RESUMED, "request" => &request.head.id,
                    "target" => stream.source.name(), "after" => after);
                Some(*stream)
            }
            Err(why) => {
                self.metrics.resumption("left to the caller");
                event!(self.log, events::STREAM_NOT_RESUMED, "request" => &request.head.id,
                    "after" => after, "why" => &why, "runs" => progress.runs,
                    "offers" => progress.offered.len(),
                    "left_ms" => request.time_left().as_millis());
                None
            }
        }
    }

    /// Relays events from a target or another box until its part of the stream ends.
    async fn relay_source(
        &self,
        request: &AdmittedRequest,
        pool: &PoolId,
        progress: &mut Progress,
        stream: OpenStream,
        events: &mut EventSplitter,
        tx: &BodySender,
    ) -> RelayEnd {
        let OpenStream {
            head,
            body,
            conn,
            source,
            ..
        } = stream;
        let record = FirstEvent {
            pool,
            version: source.version(),
        };
        match source {
            StreamSource::Box { in_flight, .. } => {
                let end = self.relay_box(request, body, record, events, tx).await;
                drop((conn, in_flight));
                end
            }
            StreamSource::Target {
                target,
                mut in_flight,
            } => {
                let accepted_pause = self.accepted_pause(request, pool);
                let mut wait = TargetWait::new(
                    self.silent_engines.wait_for(&target, accepted_pause),
                    self.path_waits.wait_for(&target),
                );
                let end = self
                    .relay_target(
                        request,
                        pool,
                        progress,
                        TargetStream {
                            body,
                            wait: &mut wait,
                            in_flight: &mut in_flight,
                            record,
                        },
                        events,
                        tx,
                    )
                    .await;
                if let RelayEnd::Complete = end {
                    self.record_stream_pace(request, pool, progress, &in_flight);
                    self.return_connection(target.id.clone(), conn, &head);
                }
                end
            }
        }
    }

    /// Relays events from another box, which watches the target and resumes the stream itself.
    async fn relay_box(
        &self,
        request: &AdmittedRequest,
        mut body: StreamBody,
        record: FirstEvent<'_>,
        events: &mut EventSplitter,
        tx: &BodySender,
    ) -> RelayEnd {
        let mut record = Some(record);
        loop {
            let part = tokio::select! {
                part = body.next() => part,
                () = tx.closed() => return RelayEnd::CallerDisconnected,
                () = tokio::time::sleep_until(request.deadline) => return RelayEnd::DeadlineReached,
            };
            let complete = match take_events(part, events) {
                Ok(complete) => complete,
                Err(end) => return end,
            };
            if complete.is_empty() {
                continue;
            }
            self.record_first_event(request, record.take());
            if tx.send(complete).await.is_err() {
                return RelayEnd::CallerDisconnected;
            }
        }
    }

    /// Records the version that began a stream, once its first event has arrived.
    fn record_first_event(&self, request: &AdmittedRequest, record: Option<FirstEvent<'_>>) {
        if let Some(FirstEvent {
            pool,
            version: Some(version),
        }) = record
        {
            self.record_stream(request, pool, version);
        }
    }

    /// Relays events from one target.
    async fn relay_target(
        &self,
        request: &AdmittedRequest,
        pool: &PoolId,
        progress: &mut Progress,
        stream: TargetStream<'_>,
        events: &mut EventSplitter,
        tx: &BodySender,
    ) -> RelayEnd {
        let TargetStream {
            mut body,
            wait,
            in_flight,
            record,
        } = stream;
        let version = record.version;
        let mut record = Some(record);
        let mut is_doubted = false;
        loop {
            let may_ask = request.route.resumable && may_rerun(request, progress);
            let next = tokio::select! {
                // An event that has arrived proves that the engine is not silent.
                biased;
                part = body.next() => Next::Part(part),
                () = tx.closed() => return RelayEnd::CallerDisconnected,
                end = wait.end(is_doubted || !may_ask) => match end {
                    WaitEnd::Lost => return RelayEnd::Silent,
                    WaitEnd::Doubted => Next::Doubted(Doubt::Silent),
                },
                () = tokio::time::sleep_until(self.idle_deadline(request)) => {
                    if request.time_left().is_zero() {
                        return RelayEnd::DeadlineReached;
                    }
                    if !self.should_resume(request, pool, progress) {
                        continue;
                    }
                    Next::Doubted(Doubt::Slow)
                }
            };
            let part = match next {
                Next::Part(part) => part,
                Next::Doubted(doubt) => {
                    bind(progress, events, version);
                    let asked = self.hand_over(request, pool, progress, &mut body, events, tx);
                    match asked.await {
                        Handover::Kept(part) => part,
                        Handover::Moved { next, broken } => {
                            let end = Box::new(end_at_first(doubt, broken, events));
                            return RelayEnd::Moved { next, end };
                        }
                        Handover::CallerDisconnected => return RelayEnd::CallerDisconnected,
                        Handover::NobodyTakes(_) => {
                            is_doubted |= doubt == Doubt::Silent;
                            continue;
                        }
                    }
                }
            };
            if let None | Some(Ok(_)) = part {
                wait.heard();
                is_doubted = false;
            }
            let complete = match take_events(part, events) {
                Ok(complete) => complete,
                Err(end) => return end,
            };
            if complete.is_empty() {
                continue;
            }
            if record.is_some() {
                in_flight.prefill_done();
            }
            self.record_first_event(request, record.take());
            in_flight.record_events(count_events(&complete));
            wait.pause();
            if tx.send(complete).await.is_err() {
                return RelayEnd::CallerDisconnected;
            }
            wait.resume();
        }
    }
}

/// What happened next at the target of a stream.
enum Next {
    /// It sent this.
    Part(StreamPart),
    /// It is doubted.
    Doubted(Doubt),
}

/// Returns how a stream that goes on elsewhere ended at its doubted target, which broke it off as in `broken` or is silent.
fn end_at_first(doubt: Doubt, broken: Option<StreamPart>, events: &mut EventSplitter) -> RelayEnd {
    match (doubt, broken) {
        (_, Some(part)) => match take_events(part, events) {
            Ok(_) => RelayEnd::Silent,
            Err(end) => end,
        },
        (Doubt::Silent, None) => RelayEnd::Silent,
        (Doubt::Slow, None) => RelayEnd::Broken(NO_EVENT_IN_TIME.to_owned()),
    }
}

/// Binds a stream to the version of the targets that began it, once an event has passed.
fn bind(progress: &mut Progress, events: &EventSplitter, version: Option<VersionHash>) {
    if events.has_passed() && progress.binding == Binding::Any {
        progress.binding = version.map_or(Binding::Unknown, Binding::Version);
    }
}

/// The stream of a target, and what is recorded of it.
struct TargetStream<'a> {
    body: StreamBody,
    wait: &'a mut TargetWait,
    in_flight: &'a mut InFlightGuard,
    record: FirstEvent<'a>,
}

/// What is recorded when the first event of a source arrives.
struct FirstEvent<'a> {
    pool: &'a PoolId,
    version: Option<VersionHash>,
}

/// Returns the events that a part of a stream completes, or how the stream ended.
fn take_events(part: StreamPart, events: &mut EventSplitter) -> Result<Bytes, RelayEnd> {
    let data = match part {
        None if events.is_partial() => {
            return Err(RelayEnd::Broken("stream ended within an event".to_owned()));
        }
        None => return Err(RelayEnd::Complete),
        Some(Err(e)) => return Err(RelayEnd::Broken(format!("stream broke off: {e}"))),
        Some(Ok(data)) => data,
    };
    let complete = events.push(&data);
    match events.is_overlong() {
        true => Err(RelayEnd::Broken(OVERLONG_EVENT.to_owned())),
        false => Ok(complete),
    }
}
