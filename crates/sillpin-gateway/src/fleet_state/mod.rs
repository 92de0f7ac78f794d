//! This box's state of the fleet: configuration, targets, desired weights and other boxes, each
//! with its revision, source and age.
//!
//! One task owns this state ([`fleet`]) and publishes a [`View`]. It gets data from readers of the
//! platform's store ([`reader`]) and from other boxes, so a box that the store refuses keeps
//! receiving changes. Within a process's lifetime a configuration is never replaced by an older
//! one.

pub mod desired;
pub mod evacuation;
pub mod fleet;
pub mod mirror;
pub mod reader;
pub mod releases;
pub mod transfers;

pub use self::desired::{DesiredVersion, DesiredVersions};
pub use self::evacuation::Evacuations;
use self::mirror::Mirror;
pub use self::mirror::STORE_TIMEOUT;
pub use self::releases::{PhaseUpdate, Release, Releases};
use crate::cache_stores::isolation::IsolatedOrganisations;
use crate::config::FleetConfig;
use crate::control::{Life, TargetEntry};
use crate::placement::index::TargetIndex;
use crate::releases::Cohort;
use crate::streams::{PoolVersions, RouteHistory};
use serde::{Deserialize, Serialize};
use sillpin_core::{BoxId, ModelId, PoolId, TargetId, WeightVersion, ZoneId};
use sillpin_platform::{KvEntry, KvRevision, Snapshot, WatchReply};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// Length of the fleet task's queue.
const QUEUE_LEN: usize = 256;

/// A prefix of the platform store that is mirrored completely.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Topic {
    /// What operators publish.
    Operators,
    /// Targets' entries.
    Targets,
}

impl Topic {
    /// Returns its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Topic::Operators => "operators",
            Topic::Targets => "targets",
        }
    }
}

/// Where data came from.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display)]
pub enum Source {
    /// The platform store.
    #[display("store")]
    Store,
    /// Another box.
    #[display("box {_0}")]
    Peer(BoxId),
    /// The box that reads the store for the zone, relayed by the hub.
    #[display("zone's reader")]
    Relayed,
    /// This box's own decision.
    #[display("this box")]
    Own,
}

/// Another box of the fleet, or this one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxEntry {
    /// Its id.
    pub id: BoxId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Address at which it serves other boxes' calls.
    pub peers: SocketAddr,
    /// Address at which it receives datagrams of other boxes.
    pub gossip: SocketAddr,
    /// Rate of its link in Mbit/s; zero if not set.
    #[serde(default)]
    pub link_mbps: u32,
}

/// Sync state of a mirrored prefix.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SyncState {
    /// Revision up to which nothing is missing.
    pub revision: KvRevision,
    /// When some box last queried the store and found this content.
    pub confirmed: Option<Instant>,
    /// Since when some box of the fleet has been in contact with the store without a gap of more
    /// than [`STORE_TIMEOUT`].
    pub contact: Option<Instant>,
    /// Hash of the content, without heartbeats; equal in boxes with the same content.
    pub content: u64,
}

/// A consistent snapshot of this box's state of the fleet.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// The configuration in force.
    pub config: Option<Arc<FleetConfig>>,
    /// When it came into force here.
    pub config_since: Option<Instant>,
    /// What earlier configurations said of routes.
    pub routes: RouteHistory,
    /// The organisations that it isolates.
    pub isolated: Arc<IsolatedOrganisations>,
    /// Sync state of what operators publish.
    pub operators_sync: SyncState,
    /// Targets that are listed, leaving ones included, with the weights that this box found them to
    /// serve.
    pub targets: Arc<HashMap<TargetId, Arc<TargetEntry>>>,
    /// These targets by pool and zone, without leaving ones, those of evacuated zones and those that releases exclude.
    pub index: Arc<TargetIndex>,
    /// Targets with the new version of a running release, by pool and zone, without leaving ones and those of
    /// evacuated zones.
    pub canaries: Arc<TargetIndex>,
    /// Targets exactly as their entries state.
    pub entries: Arc<HashMap<TargetId, Arc<TargetEntry>>>,
    /// Until when targets are cold, which means that they are warming up, as far as known.
    pub cold: Arc<HashMap<TargetId, Instant>>,
    /// Versions of the targets' software.
    pub versions: Arc<PoolVersions>,
    /// Sync state of the targets.
    pub targets_sync: SyncState,
    /// Zones that operators have evacuated.
    pub evacuations: Arc<Evacuations>,
    /// Releases that operators have ordered.
    pub releases: Arc<Releases>,
    /// Desired weights versions, by model.
    pub desired: Arc<HashMap<ModelId, DesiredVersions>>,
    /// Other boxes that are up, as far as known.
    pub boxes: Arc<Vec<BoxEntry>>,
    /// Whether this box has read the registered boxes in the platform store.
    pub has_registered: bool,
    /// Raw entries, for other boxes.
    pub copies: Copies,
    /// Total time of suspension of the box that the ages in this view account for.
    pub suspended: Duration,
}

/// Raw entries of the mirrored prefixes.
#[derive(Debug, Clone, Default)]
pub struct Copies {
    /// What operators publish.
    pub operators: Arc<Vec<Arc<KvEntry>>>,
    /// Targets' entries.
    pub targets: Arc<Vec<Arc<KvEntry>>>,
}

impl SyncState {
    /// Makes the data older by `time`, for which the box was suspended.
    fn add_suspended_time(&mut self, time: Duration) {
        // A time before the start of the box's clock can't be represented, so it counts as never
        // confirmed.
        self.confirmed = self.confirmed.and_then(|at| at.checked_sub(time));
        self.contact = self.contact.and_then(|at| at.checked_sub(time));
    }

    /// Returns since when this box has been in contact with the store, or `None` if it is not.
    pub fn in_contact(&self, now: Instant) -> Option<Instant> {
        let confirmed = self.confirmed?;
        let is_timed_out = now.saturating_duration_since(confirmed) >= STORE_TIMEOUT;
        self.contact.filter(|_| !is_timed_out)
    }
}

impl View {
    /// Returns whether all targets of a pool have the version of its release; no, while only a part of the targets is
    /// known.
    pub fn serves_alone(&self, pool: &PoolId) -> bool {
        let is_complete = self.targets_sync.revision > KvRevision::ABSENT;
        let (release, targets) = (self.releases.find(pool), self.index.pool(pool));
        let release = release.filter(|_| is_complete);
        release.zip(targets).is_some_and(|(release, targets)| {
            let version = Some(&release.order.version);
            let mut targets = targets.all();
            targets.all(|target| target.entry.software.as_ref() == version)
        })
    }

    /// Returns the targets that serve requests of a cohort.
    pub fn targets_of(&self, cohort: Cohort) -> &TargetIndex {
        match cohort {
            Cohort::Control => &self.index,
            Cohort::Canary => &self.canaries,
        }
    }

    /// Returns the number of boxes of the fleet, this one included.
    pub fn box_count(&self) -> usize {
        self.boxes.len() + 1
    }

    /// Returns whether a pool has targets and all of them are in evacuated zones.
    pub fn is_evacuated(&self, pool: &PoolId) -> bool {
        let of_pool = self.targets.values().filter(|target| target.pool == *pool);
        let mut zones = of_pool.map(|target| &target.zone).peekable();
        zones.peek().is_some() && zones.all(|zone| self.evacuations.contains(zone))
    }

    /// Returns the sync state of a prefix.
    pub fn known(&self, topic: Topic) -> SyncState {
        match topic {
            Topic::Operators => self.operators_sync,
            Topic::Targets => self.targets_sync,
        }
    }

    /// Returns what is known of a prefix beyond a revision.
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

/// Data read of a prefix.
#[derive(Debug)]
pub enum Reading {
    /// All of it.
    Complete(Snapshot),
    /// All of it, from a read that may be stale.
    Stale(Snapshot),
    /// The first entries in the order of keys. Nothing is known of the others.
    Part(Snapshot),
    /// The changes.
    Changes(WatchReply),
    /// What another box has beyond this one's revision.
    Copied(Copied),
}

impl Reading {
    /// Returns the revision up to which nothing is missing.
    pub fn revision(&self) -> KvRevision {
        match self {
            Reading::Complete(snapshot) | Reading::Stale(snapshot) => snapshot.revision,
            Reading::Part(_) => KvRevision::ABSENT,
            Reading::Changes(reply) => reply.revision,
            Reading::Copied(copied) => copied.revision,
        }
    }
}

/// What a box has of a prefix beyond the revision of the requesting box.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Copied {
    /// Entries written after that revision.
    pub changed: Vec<KvEntry>,
    /// All existing keys.
    pub keys: Vec<String>,
    /// Revision up to which nothing is missing.
    pub revision: KvRevision,
}

/// A message to the fleet task.
#[derive(Debug)]
pub enum FleetMsg {
    /// A prefix was read.
    Read {
        /// The prefix.
        topic: Topic,
        /// The data.
        reading: Reading,
        /// When it was requested; the data is at least as new as that.
        requested_at: Instant,
        /// Where it came from.
        source: Source,
    },
    /// The zone's reader read changes from the store, and they were relayed to this box.
    Relayed {
        /// The prefix.
        topic: Topic,
        /// The revision before them.
        after: KvRevision,
        /// Hash of the content before them.
        before: Option<u64>,
        /// The changes.
        reply: WatchReply,
        /// When the store was queried.
        requested_at: Instant,
    },
    /// Another box found that the content known here is still current.
    Confirmed {
        /// The prefix.
        topic: Topic,
        /// Content hash of that box.
        content: u64,
        /// Revision up to which nothing is missing.
        revision: KvRevision,
        /// When the store was queried.
        requested_at: Instant,
    },
    /// Another box knows a weights version that this one lacks, or an earlier time of the request.
    DesiredVersion {
        /// The model.
        model: ModelId,
        /// The version.
        desired: DesiredVersion,
        /// Where it came from.
        source: Source,
    },
    /// A phase of a release, from this box or another one.
    ReleasePhase {
        /// The phase.
        update: PhaseUpdate,
        /// Where it came from.
        source: Source,
    },
    /// Another box has been in contact with the store since then.
    Contact(Instant),
    /// A call of this box to the store failed.
    StoreUnreachable,
    /// All boxes that are registered in the store.
    Registered(Vec<BoxEntry>),
    /// Registered boxes from a read of the store that may be stale.
    RegisteredStale(Vec<BoxEntry>),
    /// A box of the zone that was new to the hub.
    BoxJoined(BoxEntry),
    /// A digest of a box arrived.
    PeerSeen(BoxEntry),
    /// A box is shutting down.
    Stopping(BoxId),
    /// An engine responded with other weights than its entry states.
    Serves {
        /// The engine.
        target: TargetId,
        /// The incarnation that responded.
        life: Option<Life>,
        /// The model.
        model: ModelId,
        /// The weights version.
        version: WeightVersion,
    },
}

/// Sends messages to the fleet task and gives access to its view.
#[derive(Debug, Clone)]
pub struct FleetHandle {
    tx: mpsc::Sender<FleetMsg>,
    view: watch::Receiver<Arc<View>>,
}

impl FleetHandle {
    /// Sends a message, waiting while the queue is full.
    pub async fn send(&self, msg: FleetMsg) {
        // The task ends only with the process.
        let _ = self.tx.send(msg).await;
    }

    /// Sends a message unless the queue is full; for messages that may be lost.
    pub fn try_send(&self, msg: FleetMsg) {
        let _ = self.tx.try_send(msg);
    }

    /// Returns the newest view.
    pub fn view(&self) -> Arc<View> {
        self.view.borrow().clone()
    }

    /// Returns a receiver that is notified of each new view.
    pub fn subscribe(&self) -> watch::Receiver<Arc<View>> {
        self.view.clone()
    }
}

/// The fleet task's ends of the channels.
pub struct FleetPort {
    rx: mpsc::Receiver<FleetMsg>,
    view: watch::Sender<Arc<View>>,
}

/// Creates a handle, and the channel ends for the fleet task.
pub fn channel() -> (FleetHandle, FleetPort) {
    let (tx, rx) = mpsc::channel(QUEUE_LEN);
    let (view_tx, view) = watch::channel(Arc::new(View::default()));
    (FleetHandle { tx, view }, FleetPort { rx, view: view_tx })
}
