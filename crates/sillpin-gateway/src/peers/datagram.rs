//! What boxes say to each other in datagrams.

use crate::beliefs::BoxEntry;
use crate::beliefs::wanted::NamedAge;
use crate::control::KeptChange;
use crate::dialect::EngineTime;
use crate::kept::directory::Position;
use crate::kept::retire::Retired;
use crate::place::work::{EngineWork, TargetHash};
use serde::{Deserialize, Serialize};
use sillpin_core::{BoxId, ModelId, TargetId, WeightVersion};
use sillpin_platform::KvRevision;
use std::net::SocketAddr;

/// Changes in one word about kept parts: more do not fit a datagram.
pub const MAX_CHANGES: usize = 60;

/// How far a box knows a prefix.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Extent {
    /// Revision up to which nothing is missing.
    pub revision: KvRevision,
    /// Hash of what it knows.
    pub content: u64,
    /// Since somebody asked the store and found this, in milliseconds.
    pub age_ms: Option<u64>,
}

/// How far a box knows a store of kept KV cache.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct KeptExtent {
    /// The store.
    pub addr: SocketAddr,
    /// Up to where its changes are known.
    pub position: Position,
    /// Since somebody asked the store and found this, in milliseconds.
    pub age_ms: u64,
}

/// What a box says of itself.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Digest {
    /// The box.
    pub from: BoxEntry,
    /// How far it knows what operators publish.
    pub operators: Extent,
    /// How far it knows the targets.
    pub targets: Extent,
    /// How far it knows the stores; told within a zone.
    pub stores: Vec<KeptExtent>,
    /// The engines' clock.
    pub clock: Option<EngineTime>,
    /// Its prompt work at engines.
    pub work: Vec<EngineWork>,
    /// Targets that it found replaced of late.
    pub replaced: Vec<TargetHash>,
    /// Weights that operators named, and how long ago: a box that has just started cannot read that in the store.
    pub named: Vec<NamedAge>,
    /// For how long it has been in touch with the platform's store, if it is.
    pub contact_ms: Option<u64>,
    /// Which parts it uses no more.
    pub retired: Vec<Retired>,
    /// Whether it is about to end.
    pub stopping: bool,
}

/// A datagram between boxes.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Datagram {
    /// How far a box knows what is published; sent in each round and at each change.
    Digest(Box<Digest>),
    /// What the holder of the weights duty does to an engine; sent at once to all.
    Loading(LoadNews),
    /// What a reader of a store has read; sent at once within the zone.
    Kept(KeptWord),
    /// What a box has under way at engines; sent many times a second while it changes.
    Work(WorkWord),
}

impl Datagram {
    /// Its kind, for metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Datagram::Digest(_) => "digest",
            Datagram::Loading(_) => "loading",
            Datagram::Kept(_) => "kept",
            Datagram::Work(_) => "work",
        }
    }
}

/// What a box has under way at engines.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WorkWord {
    /// The box.
    pub from: BoxId,
    /// Its work.
    pub work: Vec<EngineWork>,
    /// Targets that it found replaced of late.
    pub replaced: Vec<TargetHash>,
}

/// What becomes of an engine that gets new weights.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LoadNews {
    /// The engine.
    pub target: TargetId,
    /// The model.
    pub model: ModelId,
    /// The weights.
    pub version: WeightVersion,
    /// Whether it serves them now; otherwise it takes no requests for a while.
    pub done: bool,
}

/// Changes of a store's content.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct KeptWord {
    /// The store.
    pub addr: SocketAddr,
    /// The position before them.
    pub since: u64,
    /// The store's life.
    pub epoch: u64,
    /// The position behind them.
    pub next: u64,
    /// The changes in order.
    pub changes: Vec<KeptChange>,
}

impl KeptWord {
    /// The same in words of at most [`MAX_CHANGES`], each going on from the one before.
    pub fn split(self) -> Vec<Self> {
        let mut words: Vec<Self> = Vec::new();
        let mut since = self.since;
        for changes in self.changes.chunks(MAX_CHANGES) {
            let next = changes.last().map_or(since, |change| change.number);
            words.push(Self {
                addr: self.addr,
                since,
                epoch: self.epoch,
                next,
                changes: changes.to_vec(),
            });
            since = next;
        }
        if let Some(last) = words.last_mut() {
            last.next = self.next;
        }
        words
    }
}
