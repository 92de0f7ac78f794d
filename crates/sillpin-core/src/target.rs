//! What is known of the targets and boxes: the box list and the targets' own load reports.

use crate::ids::{BoxId, ModelId, PoolId, TargetId, WeightVersion, ZoneId};
use crate::newtype::word_type;
use crate::units::{BytesPerSec, Share, Tokens};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

word_type! {
    /// What a target does.
    pub enum TargetKind {
        /// A model engine (a runner).
        #[display("engine")]
        Engine,
        /// A plain service.
        #[display("service")]
        Service,
        /// A store of kept blocks.
        #[display("store")]
        Store,
        /// A store of weights.
        #[display("weights")]
        Weights,
    }
}

word_type! {
    /// Whether new work may go somewhere.
    pub enum Presence {
        /// It takes work.
        #[display("live")]
        Live,
        /// It finishes what it has and takes no new work.
        #[display("leaving")]
        Leaving,
    }
}

/// A target as the box list gives it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetEntry {
    /// Its name.
    pub id: TargetId,
    /// What it does.
    pub kind: TargetKind,
    /// The pool it belongs to.
    pub pool: PoolId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Whether the list has it live or leaving.
    pub presence: Presence,
    /// The model it serves, if it is an engine.
    pub model: Option<ModelId>,
    /// Rate of its link, if the list knows it.
    pub link_rate: Option<BytesPerSec>,
}

/// An entry box as the box list gives it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxEntry {
    /// Its name.
    pub id: BoxId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Where its keeper listens for peers.
    pub peer_addr: SocketAddr,
    /// Whether the list has it live or leaving.
    pub presence: Presence,
}

/// The platform's list of boxes and targets.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxList {
    /// Entry boxes.
    pub boxes: Vec<BoxEntry>,
    /// Targets of every kind.
    pub targets: Vec<TargetEntry>,
}

/// A target's own report of its load; it lags behind the truth.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Counts the target's reports; a higher one is newer.
    pub sequence: u64,
    /// Whether the target itself says that it is leaving.
    pub presence: Presence,
    /// Requests running.
    pub running: u32,
    /// Requests that it runs at once, or 0 if that is not limited.
    pub slots: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Prompt tokens of waiting requests that are still to be computed.
    pub waiting_tokens: Tokens,
    /// Weight version the target serves, if it is an engine.
    pub version: Option<WeightVersion>,
    /// Measured time to compute one block of a prompt, in microseconds.
    pub block_micros: u64,
    /// Blocks its cache can hold, if it is an engine.
    pub cache_blocks: u32,
    /// Part of its capacity in use, if it is a store.
    pub fill: Share,
}
