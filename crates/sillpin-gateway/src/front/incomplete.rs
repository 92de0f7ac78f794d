//! The record of responses that callers do not get whole.

use super::admit::AdmittedRequest;
use super::drain::StoppingEnd;
use super::progress::Progress;
use super::shared::Shared;
use crate::dialect::Dialect;
use derive_more::Display;
use sillpin_telemetry::{event, events};

/// Why a caller's connection is closed before its response is complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum EndReason {
    /// The target, or the box that sent the stream, broke it off, and no other target goes on with it.
    #[display("broken off")]
    BrokenOff,
    /// The target is silent for longer than a sound one, and no other goes on with it.
    #[display("target silent")]
    Silent,
    /// The request reached its deadline.
    #[display("deadline")]
    Deadline,
    /// The box stopped, and its grace period was over.
    #[display("box stopped")]
    BoxStopped,
}

/// A response that ends before it is complete.
pub struct IncompleteResponse<'a> {
    /// Why.
    pub reason: EndReason,
    /// What happened last, for the log.
    pub why: &'a str,
    /// Target or box that sent it.
    pub source: &'a str,
    /// Id of the last event that the caller got.
    pub last_event: &'a str,
}

impl<D: Dialect> Shared<D> {
    /// Logs and counts a response that ends before it is complete. Its request was read in full.
    pub(super) fn record_incomplete(
        &self,
        request: &AdmittedRequest,
        progress: &Progress,
        end: &IncompleteResponse<'_>,
    ) {
        self.metrics.request(&request.route.name, "broken");
        self.metrics.incomplete(&end.reason.to_string());
        let view = self.fleet.view();
        let in_force = view.config.as_ref().map_or(0, |config| config.version.0);
        let since = view.config_since;
        let offered: Vec<&str> = progress.offered.iter().map(|id| id.as_str()).collect();
        event!(self.log, events::RESPONSE_INCOMPLETE, "request" => &request.head.id,
            "route" => &request.route.name, "reason" => end.reason.to_string(),
            "why" => end.why, "target" => end.source, "offered" => offered.join(","),
            "last_event" => end.last_event, "runs" => progress.runs,
            "boxes" => progress.boxes.len(), "forwarded" => request.forwarded.is_some(),
            "config" => request.config.version.0, "config_in_force" => in_force,
            "in_force_for_ms" => since.map_or(0, |at| at.elapsed().as_millis()),
            "elapsed_ms" => request.arrival.elapsed().as_millis(),
            "left_ms" => request.time_left().as_millis());
        let (id, read) = (&request.head.id, request.read);
        self.record_stopping_end(id, read, StoppingEnd::Incomplete, end.why);
    }
}
