//! What a request says and what is said to a target, free of any spelling.
//!
//! [`Dialect`] is implemented by the adapter: it reads heads into these types and writes heads from
//! them, and decides nothing.

use crate::config::Priority;
use derive_more::{Display, Error, From, FromStr};
use hyper::http::request;
use hyper::{HeaderMap, StatusCode};
use serde::{Deserialize, Serialize};
use sillpin_core::{ModelId, OrgId, RequestRate, TargetId, Tokens, WeightVersion};
use std::net::SocketAddr;
use std::time::Duration;

/// Name of a part of a prompt.
#[derive(
    Debug,
    Clone,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Display,
    From,
    FromStr,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct PartId(pub String);

/// Keeps parts of different weights and walled organisations apart: a target finds a part only under
/// the salt it was made under.
#[derive(
    Debug,
    Clone,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Display,
    From,
    FromStr,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Salt(pub String);

/// A moment on the clock that all engines and stores share, in milliseconds.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Display,
    From,
    FromStr,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct EngineTime(pub u64);

impl EngineTime {
    /// The moment `later` after this one.
    pub fn plus(self, later: Duration) -> Self {
        let ms = u64::try_from(later.as_millis()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(ms))
    }
}

/// A part of a prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    /// Its name.
    pub id: PartId,
    /// Its length.
    pub tokens: Tokens,
}

/// What a caller's request to a model says of its prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prompt {
    /// The model.
    pub model: ModelId,
    /// The prompt's parts in order; the last belongs to this request or its session alone.
    pub parts: Vec<Part>,
    /// Length of the prompt.
    pub tokens: Tokens,
    /// Most tokens generated.
    pub max_output: Tokens,
}

/// What a caller's request says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Demand {
    /// Its id, echoed by the target and kept as it was sent.
    pub id: String,
    /// Host that it names, without a port.
    pub host: String,
    /// How long the caller will wait.
    pub patience: Option<Duration>,
    /// The caller's key.
    pub key: Option<String>,
    /// Its prompt, if it is for a model.
    pub prompt: Option<Prompt>,
    /// The last event that the caller has of an earlier answer.
    pub resume_after: Option<String>,
}

/// A head that cannot be served.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum HeadFault {
    /// It names no id.
    #[display("request id missing")]
    NoId,
    /// It names no host, or two.
    #[display("host missing or ambiguous")]
    Host,
    /// A header cannot be read.
    #[display("header {_0} unreadable")]
    Header(#[error(not(source))] &'static str),
}

/// One sending of a request to a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sending {
    /// Only this target may run it.
    pub target: TargetId,
    /// Time that the target may take.
    pub time_left: Duration,
    /// Whose request it is.
    pub organisation: Option<OrgId>,
    /// Urgency.
    pub priority: Option<Priority>,
    /// What only engines are told.
    pub engine: Option<EngineSending>,
    /// Go on after this event.
    pub resume_after: Option<String>,
}

/// What an engine is told beside the request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineSending {
    /// Only these weights may run it.
    pub weights: WeightVersion,
    /// Where its parts are found and kept.
    pub salt: Salt,
    /// Where to fetch each part from; empty: nowhere.
    pub fetch: Vec<Option<SocketAddr>>,
    /// Fetches not ended by then are thrown away.
    pub fetch_until: Option<EngineTime>,
    /// Where to keep each part; empty: nowhere.
    pub save: Vec<Option<SocketAddr>>,
}

/// What the head of a target's answer says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerHead {
    /// The request that it answers.
    pub request_id: Option<String>,
    /// Whether the target vouches for having made it.
    pub signed: bool,
    /// Whether the target did not run the request.
    pub not_run: bool,
    /// The target that answered, where it says so.
    pub target: Option<TargetId>,
    /// Weights that made the answer.
    pub weights: Option<WeightVersion>,
    /// How long the target keeps an idle connection.
    pub keep_idle: Option<Duration>,
    /// Whether the target ends the connection after this answer.
    pub closes: bool,
    /// Whether the body is encoded, so that it is not what the target made.
    pub encoded: bool,
    /// What the target says of itself.
    pub signals: TargetWords,
}

/// What a target says of itself beside its answer, whatever it answers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TargetWords {
    /// What it takes of all boxes together, if it names a limit.
    pub limit: Option<LimitWord>,
    /// Whether it leaves.
    pub leaving: bool,
    /// For how long it wants no requests from this box, if it says so.
    pub retry_after: Option<RetryAfter>,
}

/// For how long a target wants no requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryAfter {
    /// For so long.
    Wait(Duration),
    /// It names a time that cannot be read.
    Unreadable,
}

/// What a target says of the requests that it takes of all boxes together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitWord {
    /// No more than these.
    Rate(RequestRate),
    /// It names a limit that cannot be read.
    Unreadable,
}

/// Reads and writes heads. Decides nothing.
pub trait Dialect: Clone + Send + Sync + 'static {
    /// Reads the head of a caller's request.
    fn read_request(&self, head: &request::Parts) -> Result<Demand, HeadFault>;

    /// Headers of a request as the target gets it.
    fn write_request(&self, from: &HeaderMap, sending: &Sending) -> HeaderMap;

    /// Reads the head of a target's answer.
    fn read_answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerHead;

    /// Headers of a target's answer as the caller gets it.
    fn write_answer(&self, from: &HeaderMap) -> HeaderMap;

    /// Headers of an answer that the box makes itself; `retry_after` tells when to come back.
    fn write_own(&self, request_id: Option<&str>, retry_after: Option<Duration>) -> HeaderMap;

    /// Whether `path` asks whether this box is ready.
    fn is_ready_check(&self, path: &str) -> bool;
}
