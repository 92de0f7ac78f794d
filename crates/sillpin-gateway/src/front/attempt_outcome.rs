//! Outcomes of attempts, and what they consist of.

use super::body_memory::BufferedBody;
use super::refusal::Refusal;
use super::stream_body::StreamBody;
use crate::control::TargetEntry;
use crate::dialect::ResponseHead;
use crate::forward::boxes::ForwardGuard;
use crate::placement::InFlightGuard;
use crate::pool::Conn;
use crate::streams::VersionHash;
use hyper::{HeaderMap, StatusCode};
use sillpin_core::{BoxId, WeightVersion};
use std::sync::Arc;
use tokio::time::Instant;

/// Why a prompt was not sent to its engine.
pub(super) const SALT_OUTDATED: &str = "other organisations are isolated than when it was prepared";

/// Why a prompt was cancelled at its engine.
pub(super) const WEIGHTS_OUTDATED: &str = "its weights were replaced too long ago for it to begin";

/// Why an attempt ended at a target from which nothing arrives.
pub(super) const SILENT: &str = "the target is silent or out of reach";

/// Why an attempt ended at a target that did not answer in time.
pub(super) const NO_ANSWER_IN_TIME: &str = "no answer in time";

/// A complete response.
#[derive(Debug)]
pub struct CompleteResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: BufferedBody,
    /// The target that sent it to this box; `None` if another box passed it on.
    pub target: Option<Arc<TargetEntry>>,
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
    pub body: StreamBody,
    /// The connection; it is returned to the pool when the stream is complete.
    pub conn: Conn,
    /// Who sends it.
    pub source: StreamSource,
    /// When the request was sent there.
    pub sent: Instant,
}

/// Who sends a stream to this box.
pub enum StreamSource {
    /// A target.
    Target {
        /// The target.
        target: Arc<TargetEntry>,
        /// Counts the request as in flight there.
        in_flight: Box<InFlightGuard>,
    },
    /// Another box, which relays a target's stream.
    Box {
        /// The box.
        id: BoxId,
        /// Counts the request as in flight there.
        in_flight: ForwardGuard,
        /// Version of the target, if the box names it.
        version: Option<VersionHash>,
    },
}

impl StreamSource {
    /// Version of the target's software; `None` if it is not known.
    pub fn version(&self) -> Option<VersionHash> {
        match self {
            StreamSource::Target { target, .. } => Some(VersionHash::of(target)),
            StreamSource::Box { version, .. } => *version,
        }
    }

    /// Name of the target or box, for logs.
    pub fn name(&self) -> &str {
        match self {
            StreamSource::Target { target, .. } => target.id.as_str(),
            StreamSource::Box { id, .. } => id.as_str(),
        }
    }
}

/// Outcome of an attempt.
pub enum AttemptOutcome {
    /// No byte was sent to the target.
    Unsent(String),
    /// The target reported that it did not run the request.
    NotRun {
        /// Reason, for logs.
        reason: String,
        /// Weights that the target serves, if it reported them.
        weights: Option<WeightVersion>,
        /// Whether the request reached another target than intended, or a target with other weights than intended.
        misdirected: bool,
    },
    /// The target ran the request and responded with an error.
    Failed(CompleteResponse),
    /// The request may have run.
    Unknown(String),
    /// The request may have run, and its deadline has passed.
    TimedOut(String),
    /// The request was cancelled because its weights were replaced too long ago. It may have run; this does not count
    /// as a failure of the target.
    Cancelled,
    /// The engine was found silent, or the path to the target lost, before it responded. The request may have run.
    Silent,
    /// Another box refused the request, or failed to serve it.
    Refused(Refusal),
    /// The request ran, and the response is complete.
    Completed(CompleteResponse),
    /// The request runs, and its response is being streamed.
    Streaming(Box<OpenStream>),
}

impl AttemptOutcome {
    /// Name of the outcome in logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            AttemptOutcome::Unsent(_) => "unsent",
            AttemptOutcome::NotRun { .. } => "not-run",
            AttemptOutcome::Failed(_) => "failed",
            AttemptOutcome::Unknown(_) => "unknown",
            AttemptOutcome::TimedOut(_) => "timed-out",
            AttemptOutcome::Cancelled => "taken-back",
            AttemptOutcome::Silent => "silent",
            AttemptOutcome::Refused(_) => "refused",
            AttemptOutcome::Completed(_) => "answered",
            AttemptOutcome::Streaming(_) => "streaming",
        }
    }

    /// Reason of the outcome, for logs; empty for a success.
    pub fn reason(&self) -> &str {
        match self {
            AttemptOutcome::Unsent(reason)
            | AttemptOutcome::Unknown(reason)
            | AttemptOutcome::TimedOut(reason) => reason,
            AttemptOutcome::NotRun { reason, .. } => reason,
            AttemptOutcome::Cancelled => WEIGHTS_OUTDATED,
            AttemptOutcome::Silent => SILENT,
            AttemptOutcome::Refused(refusal) => &refusal.reason,
            AttemptOutcome::Failed(_) => "the target's own failure",
            AttemptOutcome::Completed(_) | AttemptOutcome::Streaming(_) => "",
        }
    }
}

/// Why a target that has not answered is doubted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Doubt {
    /// The engine was found silent, or the path to the target lost.
    Silent,
    /// Another target is expected to be faster.
    Slow,
}

impl Doubt {
    /// Outcome of an attempt that ends by this.
    pub fn outcome(self) -> AttemptOutcome {
        match self {
            Doubt::Silent => AttemptOutcome::Silent,
            Doubt::Slow => AttemptOutcome::TimedOut(NO_ANSWER_IN_TIME.to_owned()),
        }
    }
}
