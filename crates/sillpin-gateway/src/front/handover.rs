//! Asks other targets to go on with a stream while its own is doubted.
//!
//! The stream stays open at its target until another one has sent the next event, or the target itself goes on.

use super::admit::AdmittedRequest;
use super::attempt::{AttemptOutcome, OpenStream};
use super::events::EventSplitter;
use super::progress::Progress;
use super::shared::Shared;
use super::stream_body::{StreamBody, StreamPart};
use crate::dialect::Dialect;
use sillpin_core::PoolId;
use sillpin_http::BodySender;
use sillpin_telemetry::{event, events};
use std::pin::pin;

/// How asking other targets ended.
pub(super) enum Handover {
    /// The first target sent this, or nobody goes on with a stream that the first target has ended so.
    Kept(StreamPart),
    /// Another target goes on.
    Moved {
        /// Its part of the stream.
        next: Box<OpenStream>,
        /// How the first target broke the stream off meanwhile, if it did.
        broken: Option<StreamPart>,
    },
    /// No other target goes on, for this reason; the first one is silent.
    NobodyTakes(String),
    /// The caller closed its connection.
    CallerDisconnected,
}

impl<D: Dialect> Shared<D> {
    /// Asks other targets to go on with a stream, and waits for its target `first` meanwhile.
    pub(super) async fn hand_over(
        &self,
        request: &AdmittedRequest,
        pool: &PoolId,
        progress: &mut Progress,
        first: &mut StreamBody,
        events: &EventSplitter,
        tx: &BodySender,
    ) -> Handover {
        progress.resume_after = events.last_id().map(str::to_owned);
        // What the attempts elsewhere show about their targets is not counted for the release.
        let assignment = progress.assignment.take();
        let end = {
            let mut search = pin!(self.resume_elsewhere(request, pool, progress));
            let mut broken = None;
            loop {
                tokio::select! {
                    biased;
                    part = first.next(), if broken.is_none() => match part {
                        Some(Ok(data)) => break Handover::Kept(Some(Ok(data))),
                        None if !events.is_partial() => break Handover::Kept(None),
                        part => broken = Some(part),
                    },
                    () = tx.closed() => break Handover::CallerDisconnected,
                    found = search.as_mut() => break match (found, broken) {
                        (Ok(next), broken) => Handover::Moved { next, broken },
                        (Err(_), Some(part)) => Handover::Kept(part),
                        (Err(why), None) => Handover::NobodyTakes(why),
                    },
                }
            }
        };
        progress.assignment = assignment;
        progress.drop_open();
        self.log_handover(request, progress, &end);
        end
    }

    /// Makes attempts until a target continues a stream. The error is the reason why none does.
    pub(super) async fn resume_elsewhere(
        &self,
        request: &AdmittedRequest,
        pool: &PoolId,
        progress: &mut Progress,
    ) -> Result<Box<OpenStream>, String> {
        match self.search(request, pool, progress).await? {
            AttemptOutcome::Streaming(stream) => Ok(stream),
            other => Err(format!("the answer is no stream: {}", other.name())),
        }
    }

    fn log_handover(&self, request: &AdmittedRequest, progress: &Progress, end: &Handover) {
        let after = progress.resume_after.as_deref().unwrap_or("start");
        let id = &request.head.id;
        match end {
            Handover::Kept(_) => self.metrics.resumption("not needed"),
            Handover::Moved { next, .. } => {
                self.metrics.resumption("resumed here");
                event!(self.log, events::STREAM_RESUMED, "request" => id,
                    "target" => next.source.name(), "after" => after);
            }
            Handover::NobodyTakes(why) => {
                self.metrics.resumption("nobody takes it");
                event!(self.log, events::STREAM_NOT_RESUMED, "request" => id, "after" => after,
                    "why" => why, "runs" => progress.runs, "offers" => progress.offered.len(),
                    "left_ms" => request.time_left().as_millis());
            }
            Handover::CallerDisconnected => {}
        }
    }
}
