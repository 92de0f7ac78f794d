//! Headers of a request that one box sends to another, and of its response.

use crate::control::{Life, TargetEntry};
use crate::peers::wire::FleetKey;
use crate::streams::VersionHash;
use derive_more::{Display, Error};
use hyper::HeaderMap;
use hyper::header::{HeaderName, HeaderValue};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use sillpin_core::{BoxId, Outcome, PoolId, TargetId, bounds};
use std::time::Duration;

/// Header of a forwarded request, with a [`ForwardHead`] as JSON.
pub const FORWARD: &str = "sillpin-forward";

/// Upper bound of the length of [`FORWARD`] with its value, in bytes.
pub const MAX_FORWARD_LEN: usize = 1_024;

/// Header of the response to a forwarded request, with a [`ForwardResult`] as JSON.
pub const RESULT: &str = "sillpin-forward-result";

/// Header of the response of a box that has no path to the targets, with a [`NamedBoxes`] as JSON.
pub const NAMED: &str = "sillpin-forward-boxes";

/// What a box states about a request that it sends to another box.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardHead {
    /// Key of the fleet; boxes of other fleets refuse the request.
    pub fleet: FleetKey,
    /// The box that sends it.
    pub from: BoxId,
    /// Milliseconds since the request's head arrived at that box.
    #[serde(deserialize_with = "bounds::de::millis")]
    pub waited_ms: u64,
    /// Maximum number of targets that may run it.
    #[serde(deserialize_with = "bounds::de::count")]
    pub max_runs: u32,
    /// Whether the box has counted the request for its retry budget.
    pub counted: bool,
    /// Version that began the stream which the request resumes, if the box knows it.
    pub version: Option<VersionHash>,
    /// Whether no box was found that reaches most targets, so that one that reaches a few is to serve it.
    #[serde(default)]
    pub last_resort: bool,
    /// Pool that the request is for, so that a box without a path to it says so at once.
    #[serde(default)]
    pub pool: Option<PoolId>,
}

/// Why a box does not serve a forwarded request that another box may serve.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum Unavailable {
    /// It does not reach the targets either.
    #[display("no path to the targets")]
    NoPath,
    /// It has a path to the targets, and serves as many requests of other boxes as it can.
    #[display("busy")]
    Busy,
    /// It is stopping, or has no configuration yet.
    #[display("not ready")]
    NotReady,
    /// It cannot read the header: it belongs to another fleet, or runs another build.
    #[display("header not accepted")]
    NotAccepted,
}

/// Who answered a forwarded request, and how.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ForwardResult {
    /// The response is a target's.
    Target {
        /// Version of the target, if the response is a stream that may be resumed.
        version: Option<VersionHash>,
        /// The target, so that the other box can record its signals; boxes of former builds don't name it.
        #[serde(default)]
        target: Option<AnsweringTarget>,
    },
    /// The request did not run; another box may serve it.
    Unavailable(Unavailable),
    /// The box refuses the request, or it failed.
    Refused {
        /// Whether the request ran.
        outcome: Outcome,
        /// Reason, for the caller and for logs.
        reason: String,
        /// Milliseconds after which the caller may retry; `None` if it should not.
        #[serde(default, deserialize_with = "bounds::de::optional_millis")]
        retry_after_ms: Option<u64>,
    },
}

/// The incarnation of a target that sent a response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnsweringTarget {
    /// Its id.
    pub id: TargetId,
    /// Its incarnation, if it reports one.
    pub life: Option<Life>,
}

impl AnsweringTarget {
    /// Returns the incarnation that an entry describes.
    pub fn of(target: &TargetEntry) -> Self {
        Self {
            id: target.id.clone(),
            life: target.life,
        }
    }
}

/// A header between boxes that cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum ForwardHeadError {
    /// It is absent or occurs twice.
    #[display("header {_0} missing or ambiguous")]
    Missing(#[error(not(source))] &'static str),
    /// It is not valid.
    #[display("header {_0} unreadable")]
    Unreadable(#[error(not(source))] &'static str),
    /// The request is another fleet's.
    #[display("request of another fleet")]
    Foreign,
}

/// Boxes that reach the targets of a request, as far as the box that names them knows. It names itself if it reaches a
/// few of them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct NamedBoxes(pub Vec<BoxId>);

impl NamedBoxes {
    /// Removes the header from a response and parses it. Without a readable one, no boxes are named.
    pub fn take(headers: &mut HeaderMap) -> Self {
        take(headers, NAMED).unwrap_or_default()
    }

    /// Sets the header of a response, unless no boxes are named.
    pub fn set(&self, headers: &mut HeaderMap) {
        if !self.0.is_empty() {
            set(headers, NAMED, self);
        }
    }
}

impl ForwardHead {
    /// Removes the header from a request and parses it.
    pub fn take(headers: &mut HeaderMap, fleet: FleetKey) -> Result<Self, ForwardHeadError> {
        let head: Self = take(headers, FORWARD)?;
        match head.fleet == fleet {
            true => Ok(head),
            false => Err(ForwardHeadError::Foreign),
        }
    }

    /// Sets the header of a request.
    pub fn set(&self, headers: &mut HeaderMap) {
        set(headers, FORWARD, self);
    }

    /// Time since the request's head arrived at the first box.
    pub fn waited(&self) -> Duration {
        Duration::from_millis(self.waited_ms)
    }
}

impl ForwardResult {
    /// Removes the header from a response and parses it.
    pub fn take(headers: &mut HeaderMap) -> Result<Self, ForwardHeadError> {
        take(headers, RESULT)
    }

    /// Sets the header of a response.
    pub fn set(&self, headers: &mut HeaderMap) {
        set(headers, RESULT, self);
    }
}

fn take<T: DeserializeOwned>(
    headers: &mut HeaderMap,
    name: &'static str,
) -> Result<T, ForwardHeadError> {
    let mut values = headers.get_all(name).iter();
    let (Some(value), None) = (values.next(), values.next()) else {
        return Err(ForwardHeadError::Missing(name));
    };
    let parsed = serde_json::from_slice(value.as_bytes());
    headers.remove(name);
    parsed.map_err(|_| ForwardHeadError::Unreadable(name))
}

/// Sets a header to a document. One with bytes that a header may not have is omitted, and the other box refuses the
/// message.
fn set<T: Serialize>(headers: &mut HeaderMap, name: &'static str, document: &T) {
    let text = serde_json::to_vec(document).unwrap_or_default();
    match HeaderValue::from_bytes(&text) {
        Ok(value) => {
            headers.insert(HeaderName::from_static(name), value);
        }
        Err(_) => {
            headers.remove(name);
        }
    }
}
