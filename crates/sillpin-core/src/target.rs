//! Targets and boxes: their entries in the platform's box list, and the load reports of targets.

use crate::ids::{BoxId, ModelId, PoolId, TargetId, WeightVersion, ZoneId};
use crate::newtype::string_enum;
use crate::units::{BytesPerSec, Share, Tokens};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

string_enum! {
    /// Kind of a target.
    pub enum TargetKind {
        /// A model engine, also called a runner.
        #[display("engine")]
        Engine,
        /// A service that runs no model.
        #[display("service")]
        Service,
        /// A store box, which stores KV cache blocks.
        #[display("store")]
        Store,
        /// A weight store.
        #[display("weights")]
        Weights,
    }
}

string_enum! {
    /// Whether a box or target accepts new work.
    pub enum Presence {
        /// It accepts new work.
        #[display("live")]
        Live,
        /// It finishes its current work and accepts no more.
        #[display("leaving")]
        Leaving,
    }
}

/// Entry of a target in the box list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetEntry {
    /// Id of the target.
    pub id: TargetId,
    /// Kind of the target.
    pub kind: TargetKind,
    /// Pool of the target.
    pub pool: PoolId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Address on which it listens.
    pub addr: SocketAddr,
    /// Its presence according to the box list.
    pub presence: Presence,
    /// Model that it serves, if it is an engine.
    pub model: Option<ModelId>,
    /// Rate of its network link, if the list contains it.
    pub link_rate: Option<BytesPerSec>,
}

/// Entry of a box in the box list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxEntry {
    /// Id of the box.
    pub id: BoxId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Address on which its keeper listens for peers.
    pub peer_addr: SocketAddr,
    /// Its presence according to the box list.
    pub presence: Presence,
}

/// The platform's list of boxes and targets.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxList {
    /// The boxes.
    pub boxes: Vec<BoxEntry>,
    /// The targets of all kinds.
    pub targets: Vec<TargetEntry>,
}

/// A target's report of its load. It may be outdated when it arrives.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Sequence number of the report; a higher one is newer.
    pub sequence: u64,
    /// Presence according to the target itself.
    pub presence: Presence,
    /// Number of running requests.
    pub running: u32,
    /// Maximum number of requests that it runs concurrently, or 0 if unlimited.
    pub slots: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Prompt tokens that queued requests still have to compute.
    pub waiting_tokens: Tokens,
    /// Weight version that the target serves, if it is an engine.
    pub version: Option<WeightVersion>,
    /// Measured time to compute one block of a prompt, in microseconds.
    pub block_micros: u64,
    /// Capacity of its cache in blocks, if it is an engine.
    pub cache_blocks: u32,
    /// Used share of its capacity, if it is a store.
    pub fill: Share,
}
