//! Datagrams about streams between boxes.

use super::records::StreamRecord;
use super::version::{StreamKey, VersionHash};
use serde::{Deserialize, Serialize};
use sillpin_core::PoolId;

/// Largest number of records in one datagram: each takes up to 32 bytes.
pub const MAX_RECORDS: usize = 128;

/// A datagram about streams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StreamMessage {
    /// Versions that began streams.
    Records(Vec<StreamRecord>),
    /// Asks which version began a stream.
    Query(StreamQuery),
    /// The response.
    Answer {
        /// Number of the query.
        query: u64,
        /// What the box knows.
        known: Known,
    },
}

impl StreamMessage {
    /// Returns its kind, as a metric label.
    pub fn name(&self) -> &'static str {
        match self {
            StreamMessage::Records(_) => "stream",
            StreamMessage::Query(_) => "stream query",
            StreamMessage::Answer { .. } => "stream answer",
        }
    }
}

/// Asks which version began a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamQuery {
    /// Number by which the answer names the query.
    pub number: u64,
    /// The stream.
    pub key: StreamKey,
    /// The pool, if the stream's route has only one.
    pub pool: Option<PoolId>,
    /// Milliseconds for which the caller may have waited at most.
    pub window_ms: u32,
}

/// What a box knows of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Known {
    /// The version that began it.
    Version(VersionHash),
    /// The pool has had this version alone all the time.
    Sole(VersionHash),
    /// Nothing.
    Nothing,
}
