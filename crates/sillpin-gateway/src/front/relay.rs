//! Streams, passed on event by event.
//!
//! A stream that breaks off goes on at another target if its route allows it, behind the last whole
//! event that the caller has; otherwise the caller's connection is cut, so that the answer cannot be
//! taken for a whole one.

use super::admit::Run;
use super::attempt::{Ended, OpenStream};
use super::drive::{Progress, may_repeat};
use super::events::EventSplitter;
use super::shared::Shared;
use crate::dialect::Dialect;
use crate::place::load::Outcome as Health;
use crate::place::work::LifeHash;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::header::CONTENT_LENGTH;
use sillpin_core::PoolId;
use sillpin_http::{Body, BodySender};
use sillpin_telemetry::{event, events};
use std::sync::Arc;
use tokio::time::Instant;

/// How one target's part of a stream ended.
enum Pumped {
    /// The stream is whole.
    Whole,
    /// The caller has gone.
    CallerGone,
    /// The request's time is over.
    TimeOver,
    /// The target broke off or fell silent.
    Broken(String),
}

impl<D: Dialect> Shared<D> {
    /// The answer to a stream's caller; its events follow in the background.
    pub fn relay(
        self: Arc<Self>,
        run: Run,
        pool: PoolId,
        progress: Progress,
        stream: OpenStream,
    ) -> Response<Body> {
        let (tx, body) = Body::channel();
        let mut resp = Response::new(body);
        *resp.status_mut() = stream.status;
        *resp.headers_mut() = self.dialect.write_answer(&stream.headers);
        // A resumed stream is as long as both its parts.
        resp.headers_mut().remove(CONTENT_LENGTH);
        self.metrics.head(run.arrival.elapsed());
        tokio::spawn(self.pump_all(run, pool, progress, stream, tx));
        resp
    }

    async fn pump_all(
        self: Arc<Self>,
        run: Run,
        pool: PoolId,
        mut progress: Progress,
        mut stream: OpenStream,
        tx: BodySender,
    ) {
        let mut events = EventSplitter::after(progress.resume_after.take());
        loop {
            let entry = stream.target.clone();
            let (target, life) = (entry.id.clone(), entry.life);
            let (id, waited) = (&run.demand.id, run.arrival.elapsed().as_millis());
            let why = match self
                .pump(&run, &pool, &progress, stream, &mut events, &tx)
                .await
            {
                Pumped::Whole => {
                    self.fatal.record().served(run.print, Instant::now());
                    self.metrics.answered(run.arrival.elapsed());
                    self.metrics.request(&run.route.name, "answered");
                    event!(self.log, events::STREAM_COMPLETE, "request" => id,
                        "target" => target.as_str(), "head_ms" => waited,
                        "whole_ms" => run.arrival.elapsed().as_millis());
                    return;
                }
                Pumped::CallerGone => {
                    self.fatal.sent(run.print, LifeHash::of(&entry)).end(true);
                    self.metrics.request(&run.route.name, "caller-gone");
                    event!(self.log, events::CALLER_DISCONNECTED, "request" => id,
                        "target" => target.as_str(),
                        "elapsed_ms" => run.arrival.elapsed().as_millis());
                    return;
                }
                Pumped::TimeOver => {
                    self.fatal.sent(run.print, LifeHash::of(&entry)).end(true);
                    "the request's time is over".to_owned()
                }
                Pumped::Broken(why) => {
                    self.broke_off(&run, &entry);
                    self.loads.note_life(&target, life, Health::Failed);
                    event!(self.log, events::ATTEMPT_INCOMPLETE, "request" => id,
                        "target" => target.as_str(), "outcome" => "broken", "why" => &why,
                        "elapsed_ms" => run.arrival.elapsed().as_millis());
                    match self
                        .resume(&run, &pool, &mut progress, &mut events, &tx)
                        .await
                    {
                        Some(next) => {
                            stream = next;
                            continue;
                        }
                        None => why,
                    }
                }
            };
            self.metrics.request(&run.route.name, "broken");
            event!(self.log, events::REQUEST_FAILED, "request" => id,
                "target" => target.as_str(), "outcome" => "ran", "why" => &why,
                "elapsed_ms" => run.arrival.elapsed().as_millis());
            tx.abort("the stream broke off").await;
            return;
        }
    }

    /// Finds another target for the rest of a stream.
    async fn resume(
        &self,
        run: &Run,
        pool: &PoolId,
        progress: &mut Progress,
        events: &mut EventSplitter,
        tx: &BodySender,
    ) -> Option<OpenStream> {
        while run.route.resumable && may_repeat(run, progress) {
            progress.resume_after = events.last_id().map(str::to_owned);
            let sending = self.next_sending(run, pool, progress);
            let ended = tokio::select! {
                ended = sending => ended,
                () = tx.closed() => return None,
            };
            if let Ok(Ended::Streaming(stream)) = ended {
                *events = EventSplitter::after(progress.resume_after.clone());
                event!(self.log, events::STREAM_RESUMED, "request" => &run.demand.id,
                    "target" => stream.target.id.as_str(),
                    "after" => progress.resume_after.as_deref().unwrap_or("start"));
                return Some(*stream);
            }
            if ended.is_err() || matches!(ended, Ok(Ended::Failed(_))) {
                return None;
            }
        }
        None
    }

    /// Passes on one target's events until its part of the stream ends.
    async fn pump(
        &self,
        run: &Run,
        pool: &PoolId,
        progress: &Progress,
        stream: OpenStream,
        events: &mut EventSplitter,
        tx: &BodySender,
    ) -> Pumped {
        let OpenStream {
            head,
            mut body,
            conn,
            mut ticket,
            target,
            ..
        } = stream;
        let mut first = true;
        loop {
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = tx.closed() => return Pumped::CallerGone,
                () = tokio::time::sleep_until(self.silence_until(run)) => {
                    if run.time_left().is_zero() {
                        return Pumped::TimeOver;
                    }
                    if self.should_resume(run, pool, progress) {
                        return Pumped::Broken("the target fell silent".to_owned());
                    }
                    continue;
                }
            };
            let data = match frame {
                None if events.is_partial() => {
                    return Pumped::Broken("ended within an event".to_owned());
                }
                None => {
                    self.keep(target.id.clone(), conn, &head);
                    return Pumped::Whole;
                }
                Some(Err(e)) => return Pumped::Broken(format!("broke off: {e}")),
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            };
            let whole = events.push(&data);
            if events.is_overlong() {
                return Pumped::Broken("an event is too long".to_owned());
            }
            if whole.is_empty() {
                continue;
            }
            if first {
                ticket.prompt_done();
                first = false;
            }
            if tx.send(whole).await.is_err() {
                return Pumped::CallerGone;
            }
        }
    }
}
