//! What may truthfully be said about a request that did not get its whole answer.

use crate::ids::RequestId;
use crate::newtype::word_type;
use serde::{Deserialize, Serialize};

/// Media type of a [`Problem`] (RFC 9457).
pub const PROBLEM_MEDIA_TYPE: &str = "application/problem+json";

word_type! {
    /// Whether the request was carried out.
    pub enum Outcome {
        /// No target has begun it, and none will.
        #[display("not-run")]
        NotRun,
        /// It may or may not have been carried out.
        #[display("unknown")]
        Unknown,
        /// A target carried it out.
        #[display("ran")]
        Ran,
    }
}

/// An error answer: a problem document of RFC 9457 with the outcome.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Short machine-readable name of the problem.
    #[serde(rename = "type")]
    pub kind: String,
    /// The same in words.
    pub title: String,
    /// HTTP status.
    pub status: u16,
    /// What happened to this request in particular.
    pub detail: String,
    /// Whether the request was carried out.
    pub outcome: Outcome,
    /// The request, for `sillpin explain`.
    pub request_id: Option<RequestId>,
    /// When asking again may help, in seconds; also sent as `Retry-After`.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub retry_after: Option<u64>,
}
