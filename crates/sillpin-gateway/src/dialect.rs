//! Contents of requests and responses, independent of the platform's header names and formats.
//!
//! [`Dialect`] is implemented by the platform's adapter. It parses heads into these types and builds heads from them;
//! it makes no decisions.

use crate::config::Priority;
use crate::placement::signals::brittle::RefusalLimit;
use derive_more::{Display, Error, From, FromStr};
use hyper::http::request;
use hyper::{HeaderMap, StatusCode};
use rand::Rng;
use serde::{Deserialize, Serialize};
use sillpin_core::{ModelId, OrgId, RequestRate, TargetId, Tokens, WeightVersion, text_type};
use std::net::SocketAddr;
use std::time::Duration;

text_type!(
    /// Name of a part of a prompt.
    PartId
);

text_type!(
    /// Separates parts computed with different weights or for isolated organisations: a part is only found under the salt
    /// that it was stored under.
    Salt
);

/// Time on the clock that all engines and cache stores share, in milliseconds.
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
    /// The time `later` after this one.
    pub fn plus(self, later: Duration) -> Self {
        let ms = u64::try_from(later.as_millis()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(ms))
    }
}

/// A part of a prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    /// Name.
    pub id: PartId,
    /// Length.
    pub tokens: Tokens,
}

/// The prompt of a caller's request to a model, as described in the request's head.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prompt {
    /// The model.
    pub model: ModelId,
    /// The prompt's parts in order. The last one is used by this request or its session only.
    pub parts: Vec<Part>,
    /// Length of the prompt.
    pub tokens: Tokens,
    /// Maximum number of generated tokens.
    pub max_output: Tokens,
}

impl Prompt {
    /// Returns the parts that other requests may have too.
    pub fn shared_parts(&self) -> &[Part] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }
}

/// Head of a caller's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// Request id, unchanged; the target echoes it.
    pub id: String,
    /// Requested host, without a port.
    pub host: String,
    /// How long the caller waits; `None` if the head does not state it.
    pub timeout: Option<Duration>,
    /// The caller's API key.
    pub key: Option<String>,
    /// The prompt, if the request is for a model.
    pub prompt: Option<Prompt>,
    /// Id of the last event that the caller received of an earlier response.
    pub resume_after: Option<String>,
    /// Id of the caller's attempt whose response began the stream that it resumes, if it names one.
    pub resumes: Option<String>,
}

impl RequestHead {
    /// Returns the names of the prompt's shared parts, for logs.
    pub fn part_names(&self) -> String {
        let parts = self.prompt.iter().flat_map(Prompt::shared_parts);
        let names: Vec<&str> = parts.map(|part| part.id.0.as_str()).collect();
        names.join(",")
    }
}

/// Error in the head of a caller's request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum HeadError {
    /// There is no request id.
    #[display("request id missing")]
    NoId,
    /// There is no host, or more than one.
    #[display("host missing or ambiguous")]
    Host,
    /// A header cannot be parsed.
    #[display("header {_0} unreadable")]
    Header(#[error(not(source))] &'static str),
}

/// What the head of a request to a target contains in addition to the caller's headers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptHead {
    /// The only target that may run it.
    pub target: TargetId,
    /// Time that the target may take.
    pub time_left: Duration,
    /// Organisation of the caller.
    pub organisation: Option<OrgId>,
    /// Priority, for engines.
    pub priority: Option<Priority>,
    /// Directives for an engine.
    pub engine: Option<EngineDirectives>,
    /// Resume the stream after the event with this id.
    pub resume_after: Option<String>,
}

/// Directives that only an engine gets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineDirectives {
    /// The only version of the weights that may run the request.
    pub weights: WeightVersion,
    /// Salt under which the parts are fetched and saved.
    pub salt: Salt,
    /// Cache store to fetch each part from; `None`: don't fetch it.
    pub fetch: Vec<Option<SocketAddr>>,
    /// Fetches that have not completed by then are discarded.
    pub fetch_until: Option<EngineTime>,
    /// Cache store to save each part to; `None`: don't save it.
    pub save: Vec<Option<SocketAddr>>,
}

/// Head of a target's response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseHead {
    /// Id of the request that it responds to.
    pub request_id: Option<String>,
    /// Whether the target signed the response as its own.
    pub signed: bool,
    /// Whether the target states that it did not run the request.
    pub not_run: bool,
    /// The target that responded, if it names itself.
    pub target: Option<TargetId>,
    /// Version of the weights that computed the response.
    pub weights: Option<WeightVersion>,
    /// How long the target keeps an idle connection open.
    pub keep_idle: Option<Duration>,
    /// Whether the target closes the connection after this response.
    pub closes: bool,
    /// Whether the body is encoded, which means that an intermediary changed it.
    pub encoded: bool,
    /// What the target reports about itself.
    pub signals: ResponseSignals,
}

/// Why a response with another request's id does not count.
pub const OTHER_REQUEST: &str = "the answer is another request's";

impl ResponseHead {
    /// Whether the response is to the request with this id.
    pub fn is_for(&self, request_id: &str) -> bool {
        self.request_id.as_deref() == Some(request_id)
    }

    /// Checks that the response is to this request and, if it is a success, the target's own. The error is the reason.
    pub fn check(&self, request_id: &str, status: StatusCode) -> Result<(), &'static str> {
        if !self.is_for(request_id) {
            return Err(OTHER_REQUEST);
        }
        match status.is_success() && (!self.signed || self.encoded) {
            true => Err("a success that the target does not vouch for"),
            false => Ok(()),
        }
    }
}

/// What a target reports about itself in any response.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ResponseSignals {
    /// Its limit on the requests of all boxes together, if it names one.
    pub limit: Option<LimitSignal>,
    /// Whether it is leaving.
    pub leaving: bool,
    /// How long this box is to send it no requests, if it states that.
    pub retry_after: Option<RetryAfter>,
    /// How many refusals in a second it survives, if it states that.
    pub refusal_limit: Option<RefusalLimit>,
}

impl ResponseSignals {
    /// Returns how long one of `boxes` boxes, whose request the target refused, is to send it nothing.
    pub fn refusal_backoff(&self, boxes: usize, rng: &mut impl Rng) -> Option<RetryAfter> {
        let Some(limit) = self.refusal_limit else {
            return self.retry_after;
        };
        let wait = limit.backoff(boxes, rng);
        Some(RetryAfter::Wait(match self.retry_after {
            Some(RetryAfter::Wait(stated)) => stated.max(wait),
            Some(RetryAfter::Unreadable) | None => wait,
        }))
    }
}

/// How long a target is to get no requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryAfter {
    /// For this time.
    Wait(Duration),
    /// For a time that cannot be parsed.
    Unreadable,
}

/// Limit of a target on the requests of all boxes together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitSignal {
    /// Maximum rate.
    Rate(RequestRate),
    /// A limit that cannot be parsed.
    Unreadable,
}

/// Parses and builds HTTP heads in the platform's format. Makes no decisions.
pub trait Dialect: Clone + Send + Sync + 'static {
    /// Parses the head of a caller's request.
    fn read_request(&self, head: &request::Parts) -> Result<RequestHead, HeadError>;

    /// Builds the headers of a request to a target.
    fn write_request(&self, from: &HeaderMap, head: &AttemptHead) -> HeaderMap;

    /// Builds the headers of a request that is sent to another box, which handles it like a caller's. `timeout` is how long
    /// the box may take, `resume_after` the id of the last event that the caller has received.
    fn write_forwarded(
        &self,
        from: &HeaderMap,
        timeout: Duration,
        resume_after: Option<&str>,
    ) -> HeaderMap;

    /// Parses the head of a target's response.
    fn read_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseHead;

    /// Builds the headers of a target's response for the caller.
    fn write_response(&self, from: &HeaderMap) -> HeaderMap;

    /// Builds the headers of a response that the box creates itself; `retry_after` is the time after which the caller may retry.
    fn write_own_response(
        &self,
        request_id: Option<&str>,
        retry_after: Option<Duration>,
    ) -> HeaderMap;

    /// Whether `path` is that of the readiness check.
    fn is_ready_check(&self, path: &str) -> bool;
}
