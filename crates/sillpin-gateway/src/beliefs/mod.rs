//! What the box knows of the fleet: configuration, targets, wanted weights and other boxes, each with
//! its revision, source and age.
//!
//! One task owns this knowledge ([`fleet`]) and publishes a [`View`]. It hears from readers of the
//! platform's store ([`reader`]) and from other boxes, so a box that the store turns away goes on
//! learning. Configurations never go back within a process's life.

pub mod evacuation;
pub mod fleet;
pub mod mirror;
pub mod reader;
pub mod transfers;
pub mod wanted;

pub use self::evacuation::Evacuations;
use self::mirror::Mirror;
pub use self::mirror::STORE_SILENCE;
pub use self::wanted::{Named, Wanted};
use crate::config::FleetConfig;
use crate::control::{Life, TargetEntry};
use crate::place::index::TargetIndex;
use serde::{Deserialize, Serialize};
use sillpin_core::{BoxId, ModelId, PoolId, TargetId, WeightVersion, ZoneId};
use sillpin_platform::{KvEntry, KvRevision, Snapshot, WatchReply};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// Messages that may wait for the fleet task.
const QUEUE_LEN: usize = 256;

/// A prefix of the platform's store that is mirrored whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Topic {
    /// What operators publish.
    Operators,
    /// Targets' entries.
    Targets,
}

impl Topic {
    /// Its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Topic::Operators => "operators",
            Topic::Targets => "targets",
        }
    }
}

/// Where knowledge came from.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display)]
pub enum Source {
    /// The platform's store.
    #[display("store")]
    Store,
    /// Another box.
    #[display("box {_0}")]
    Peer(BoxId),
    /// The box that reads the store for the zone, by way of the hub.
    #[display("zone's reader")]
    Passed,
}

/// Another box of the fleet, or this one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxEntry {
    /// Its name.
    pub id: BoxId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Where it answers calls of boxes.
    pub peers: SocketAddr,
    /// Where it hears news.
    pub gossip: SocketAddr,
    /// What its link carries, in Mbit/s; zero if it does not say.
    #[serde(default)]
    pub link_mbps: u32,
}

/// How far a mirrored prefix is known.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Known {
    /// Revision up to which nothing is missing.
    pub revision: KvRevision,
    /// When somebody last asked the store and found this.
    pub confirmed: Option<Instant>,
    /// Since when it has been so without a break of more than [`STORE_SILENCE`], for some box of the fleet.
    pub contact: Option<Instant>,
    /// Hash of what is known, alike in boxes that know the same; heartbeats do not change it.
    pub content: u64,
}

/// A consistent picture of what the box knows.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// The configuration in force.
    pub config: Option<Arc<FleetConfig>>,
    /// How far what operators publish is known.
    pub operators: Known,
    /// Targets that are listed, leaving ones included.
    pub targets: Arc<HashMap<TargetId, Arc<TargetEntry>>>,
    /// The same by pool and zone, without leaving ones and those of evacuated zones.
    pub index: Arc<TargetIndex>,
    /// Targets just as their entries say, without what this box learned besides.
    pub entries: Arc<HashMap<TargetId, Arc<TargetEntry>>>,
    /// Until when targets are cold, as far as is known.
    pub cold: Arc<HashMap<TargetId, Instant>>,
    /// How far targets are known.
    pub listed: Known,
    /// Zones that operators have evacuated.
    pub evacuations: Arc<Evacuations>,
    /// Wanted weights.
    pub wanted: Arc<HashMap<ModelId, Wanted>>,
    /// Other boxes that live, as far as known.
    pub boxes: Arc<Vec<BoxEntry>>,
    /// Whether this box has read in the platform's store who is registered.
    pub has_registered: bool,
    /// Raw entries, for other boxes.
    pub copies: Copies,
    /// How long the box had been suspended in all when this was last made older by it.
    pub suspended: Duration,
}

/// Raw entries of the mirrored prefixes.
#[derive(Debug, Clone, Default)]
pub struct Copies {
    /// What operators publish.
    pub operators: Arc<Vec<KvEntry>>,
    /// Targets' entries.
    pub targets: Arc<Vec<KvEntry>>,
}

impl Known {
    /// It is older by the time that the box was suspended.
    fn age(&mut self, time: Duration) {
        // What is older than the box's clock can tell was never confirmed.
        self.confirmed = self.confirmed.and_then(|at| at.checked_sub(time));
        self.contact = self.contact.and_then(|at| at.checked_sub(time));
    }

    /// Since when this box has been in touch with the store, if it is.
    pub fn in_touch(&self, now: Instant) -> Option<Instant> {
        let confirmed = self.confirmed?;
        let is_silent = now.saturating_duration_since(confirmed) >= STORE_SILENCE;
        self.contact.filter(|_| !is_silent)
    }
}

impl View {
    /// Boxes of the fleet, this one included.
    pub fn box_count(&self) -> usize {
        self.boxes.len() + 1
    }

    /// Whether a pool has targets and all of them are in evacuated zones.
    pub fn is_evacuated(&self, pool: &PoolId) -> bool {
        let of_pool = self.targets.values().filter(|target| target.pool == *pool);
        let mut zones = of_pool.map(|target| &target.zone).peekable();
        zones.peek().is_some() && zones.all(|zone| self.evacuations.covers(zone))
    }

    /// How far a prefix is known.
    pub fn known(&self, topic: Topic) -> Known {
        match topic {
            Topic::Operators => self.operators,
            Topic::Targets => self.listed,
        }
    }

    /// What is known of a prefix beyond a revision.
    pub fn copy(&self, topic: Topic, after: KvRevision) -> Copied {
        let entries = match topic {
            Topic::Operators => &self.copies.operators,
            Topic::Targets => &self.copies.targets,
        };
        let (changed, keys) = Mirror::since(entries, after);
        Copied {
            changed,
            keys,
            revision: self.known(topic).revision,
        }
    }
}

/// What was read of a prefix.
#[derive(Debug)]
pub enum Reading {
    /// All of it.
    Whole(Snapshot),
    /// All of it as it was a while ago.
    Glanced(Snapshot),
    /// What changed.
    Changes(WatchReply),
    /// What another box knows beyond what this one knew.
    Copied(Copied),
}

impl Reading {
    /// Revision up to which nothing is missing.
    pub fn revision(&self) -> KvRevision {
        match self {
            Reading::Whole(snapshot) | Reading::Glanced(snapshot) => snapshot.revision,
            Reading::Changes(reply) => reply.revision,
            Reading::Copied(copied) => copied.revision,
        }
    }
}

/// What a box knows of a prefix beyond a revision that the box which asks for it has reached.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Copied {
    /// Entries that were written after that revision.
    pub changed: Vec<KvEntry>,
    /// All keys that exist.
    pub keys: Vec<String>,
    /// Revision up to which nothing is missing.
    pub revision: KvRevision,
}

/// What the fleet task is told.
#[derive(Debug)]
pub enum FleetMsg {
    /// A prefix was read.
    Read {
        /// The prefix.
        topic: Topic,
        /// What was read.
        reading: Reading,
        /// When it was asked for: it is at least as new as that.
        asked: Instant,
        /// Who knew.
        source: Source,
    },
    /// A box of the zone read changes from the store.
    Passed {
        /// The prefix.
        topic: Topic,
        /// The revision before them.
        after: KvRevision,
        /// Hash of what was known before them.
        before: Option<u64>,
        /// What changed.
        reply: WatchReply,
        /// When the store was asked.
        asked: Instant,
    },
    /// Another box found what is known here still to be so.
    Confirmed {
        /// The prefix.
        topic: Topic,
        /// Hash of what that box knows.
        content: u64,
        /// Revision up to which nothing is missing.
        revision: KvRevision,
        /// When the store was asked.
        asked: Instant,
    },
    /// Another box knows of a version of weights, or better than this one when it was named.
    Named {
        /// The model.
        model: ModelId,
        /// The version.
        named: Named,
        /// Who knew.
        source: Source,
    },
    /// Another box has been in touch with the store since.
    Contact(Instant),
    /// The store did not answer this box.
    StoreAway,
    /// Boxes that are registered in the store.
    Registered(Vec<BoxEntry>),
    /// Boxes that were registered in the store a while ago.
    RegisteredBefore(Vec<BoxEntry>),
    /// A box of the zone that its hub hears and did not know.
    Joined(BoxEntry),
    /// A box was heard.
    Heard(BoxEntry),
    /// A box says that it stops.
    Stopping(BoxId),
    /// An engine answered with other weights than listed.
    Serves {
        /// The engine.
        target: TargetId,
        /// The life of it that answered.
        life: Option<Life>,
        /// The model.
        model: ModelId,
        /// The weights.
        version: WeightVersion,
    },
}

/// The way to the fleet task.
#[derive(Debug, Clone)]
pub struct FleetHandle {
    tx: mpsc::Sender<FleetMsg>,
    view: watch::Receiver<Arc<View>>,
}

impl FleetHandle {
    /// Tells the task, waiting while its queue is full.
    pub async fn tell(&self, msg: FleetMsg) {
        // The task ends only with the process.
        let _ = self.tx.send(msg).await;
    }

    /// Tells the task unless its queue is full; for hints that may be lost.
    pub fn hint(&self, msg: FleetMsg) {
        let _ = self.tx.try_send(msg);
    }

    /// The newest view.
    pub fn view(&self) -> Arc<View> {
        self.view.borrow().clone()
    }

    /// A receiver that wakes at each new view.
    pub fn subscribe(&self) -> watch::Receiver<Arc<View>> {
        self.view.clone()
    }
}

/// The ends that the fleet task keeps.
pub struct FleetPort {
    rx: mpsc::Receiver<FleetMsg>,
    view: watch::Sender<Arc<View>>,
}

/// A handle and the ends for the task behind it.
pub fn channel() -> (FleetHandle, FleetPort) {
    let (tx, rx) = mpsc::channel(QUEUE_LEN);
    let (view_tx, view) = watch::channel(Arc::new(View::default()));
    (FleetHandle { tx, view }, FleetPort { rx, view: view_tx })
}
