//! What is certain about the execution of a request whose response was not complete.

use crate::ids::RequestId;
use crate::newtype::string_enum;
use serde::{Deserialize, Serialize};

/// Media type of a [`Problem`] (RFC 9457).
pub const PROBLEM_MEDIA_TYPE: &str = "application/problem+json";

string_enum! {
    /// Whether the request was carried out.
    pub enum Outcome {
        /// No target has started it, and none will.
        #[display("not-run")]
        NotRun,
        /// It may have been carried out or not.
        #[display("unknown")]
        Unknown,
        /// A target carried it out.
        #[display("ran")]
        Ran,
    }
}

/// Body of an error response: an RFC 9457 problem document with the outcome.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Machine-readable type of the problem.
    #[serde(rename = "type")]
    pub kind: String,
    /// Human-readable summary of the type.
    pub title: String,
    /// HTTP status code.
    pub status: u16,
    /// Explanation specific to this request.
    pub detail: String,
    /// Whether the request was carried out.
    pub outcome: Outcome,
    /// Id of the request, for `sillpin explain`.
    pub request_id: Option<RequestId>,
    /// Time after which a retry may succeed, in seconds; also sent as `Retry-After`.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub retry_after: Option<u64>,
}
