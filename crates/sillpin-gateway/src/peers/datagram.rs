//! Contents of the datagrams that boxes send each other.

use super::packed::PackedStoreUpdate;
use crate::cache_stores::directory::Position;
use crate::cache_stores::homes::hash_pair;
use crate::cache_stores::retire::Retired;
use crate::control::{Life, PartChange, PartKey};
use crate::dialect::EngineTime;
use crate::fatal::CrashReport;
use crate::fleet_state::desired::DesiredVersionAge;
use crate::fleet_state::{BoxEntry, Topic};
use crate::placement::signals::leaving::LeavingUpdate;
use crate::placement::signals::limit::LimitUpdate;
use crate::placement::work::{EngineWork, IncarnationHash};
use crate::releases::ReleaseUpdate;
use serde::{Deserialize, Serialize};
use sillpin_core::{BoxId, ModelId, TargetId, Tokens, WeightVersion, ZoneId, bounds};
use sillpin_platform::{KvEntry, KvRevision};
use std::net::SocketAddr;

/// Largest number of changes of stored parts in one message, so that it fits a datagram.
pub const MAX_CHANGES: usize = 60;

/// Sync state of a prefix, as sent to other boxes.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct SyncSummary {
    /// Revision up to which nothing is missing.
    pub revision: KvRevision,
    /// Hash of the known content.
    pub content: u64,
    /// Milliseconds since some box queried the store and found this content.
    #[serde(deserialize_with = "bounds::de::optional_millis")]
    pub age_ms: Option<u64>,
}

/// Sync state of a cache store, as sent to other boxes.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct StoreSyncSummary {
    /// Address of the store.
    pub addr: SocketAddr,
    /// Position up to which its changes are known.
    pub position: Position,
    /// Milliseconds since some box queried the store and found this position.
    #[serde(deserialize_with = "bounds::de::millis")]
    pub age_ms: u64,
}

/// State that a box sends to others periodically.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Digest {
    /// The sending box.
    pub from: BoxEntry,
    /// Its sync state of what operators publish.
    pub operators_sync: SyncSummary,
    /// Its sync state of the targets.
    pub targets_sync: SyncSummary,
    /// Its sync state of the stores; sent within a zone only.
    pub stores: Vec<StoreSyncSummary>,
    /// The engines' clock.
    pub clock: Option<EngineTime>,
    /// Its prompt work in progress at engines.
    pub work: Vec<EngineWork>,
    /// Target incarnations that it recently found replaced.
    pub replaced: Vec<IncarnationHash>,
    /// Desired weights versions, and how long ago. A box that has just started cannot read these
    /// times in the store.
    pub desired_ages: Vec<DesiredVersionAge>,
    /// Milliseconds for which it has been in contact with the platform store; `None` if it is not.
    #[serde(deserialize_with = "bounds::de::optional_millis")]
    pub contact_ms: Option<u64>,
    /// Which stored parts it no longer uses.
    pub retired: Vec<Retired>,
    /// Requests during which targets crashed.
    pub fatal: Vec<CrashReport>,
    /// Rate limits that targets report.
    pub limits: Vec<LimitUpdate>,
    /// Releases, with the responses that the sender counted, or its zone in a message to another zone.
    pub releases: Vec<ReleaseUpdate>,
    /// Whether it is shutting down.
    pub stopping: bool,
}

/// A datagram between boxes.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Datagram {
    /// State and sync state of a box; sent in each round and on each change.
    Digest(Box<Digest>),
    /// The weights leader loads weights at an engine; sent to all boxes immediately.
    WeightLoad(WeightLoadUpdate),
    /// Changes that the reader of a store has read; sent within the zone immediately.
    Store(StoreUpdate),
    /// A box's work in progress at engines; sent many times a second while it changes.
    Work(WorkUpdate),
    /// From a box of a large zone to the zone's hubs.
    Report(Report),
    /// From a hub to its zone; relayed from box to box.
    Bulletin(Bulletin),
    /// From a hub to the hubs of other zones.
    Zone(ZoneSummary),
    /// From a box to all others of its zone when its work at an engine changes.
    EngineUpdate(EngineUpdate),
    /// Targets that announced that they are leaving; sent to all boxes when a box hears it, then to
    /// one box in each round. Former builds drop it.
    Leaving(Vec<LeavingUpdate>),
}

impl Datagram {
    /// Returns its kind, as a metric label.
    pub fn name(&self) -> &'static str {
        match self {
            Datagram::Digest(_) => "digest",
            Datagram::WeightLoad(_) => "loading",
            Datagram::Store(_) => "kept",
            Datagram::Work(_) => "work",
            Datagram::Report(_) => "report",
            Datagram::Bulletin(_) => "bulletin",
            Datagram::Zone(_) => "zone",
            Datagram::EngineUpdate(_) => "engine",
            Datagram::Leaving(_) => "leaving",
        }
    }
}

/// A box's work in progress at engines.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WorkUpdate {
    /// The sending box.
    pub from: BoxId,
    /// Its work.
    pub work: Vec<EngineWork>,
    /// Target incarnations that it recently found replaced.
    pub replaced: Vec<IncarnationHash>,
}

/// A box's work at engines of its own zone, sent when it changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineUpdate {
    /// The sending box.
    pub from: BoxHash,
    /// Number that increases with each datagram of the box and wraps around. It begins with the
    /// low bits of the box's start time in milliseconds.
    pub sequence: u32,
    /// What it states.
    pub content: EngineUpdateContent,
}

/// What an [`EngineUpdate`] states.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EngineUpdateContent {
    /// The work at some engines; an engine with no work has a row of zeros.
    Changed(Vec<EngineWork>),
    /// The work at all engines of the zone.
    Complete(Vec<EngineWork>),
    /// Nothing but that the sender takes part; sent to boxes that it has not heard from.
    Hello,
    /// The sender stops sending updates, so its rows must not be used any longer.
    Stopped,
}

/// Weights are being loaded at an engine, or have been.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WeightLoadUpdate {
    /// The engine.
    pub target: TargetId,
    /// The incarnation of the engine that this is about.
    pub life: Option<Life>,
    /// The model.
    pub model: ModelId,
    /// The weights version.
    pub version: WeightVersion,
    /// Whether the engine serves this version now. If not, it is loading it and takes no requests
    /// until it is done.
    pub done: bool,
}

/// All that a store holds; sent if it is little, as after a start.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StoreListingUpdate {
    /// Address of the store.
    pub addr: SocketAddr,
    /// Position from which its changes are to be read.
    pub position: Position,
    /// Milliseconds since the store was queried.
    #[serde(deserialize_with = "bounds::de::millis")]
    pub age_ms: u64,
    /// Complete stored parts.
    pub complete: Vec<(PartKey, Tokens)>,
}

/// Changes of the content of a cache store.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(into = "PackedStoreUpdate", from = "PackedStoreUpdate")]
pub struct StoreUpdate {
    /// Address of the store.
    pub addr: SocketAddr,
    /// Position before the changes.
    pub since: u64,
    /// Incarnation of the store.
    pub epoch: u64,
    /// Position after the changes.
    pub next: u64,
    /// Milliseconds since the store was queried.
    #[serde(deserialize_with = "bounds::de::millis")]
    pub age_ms: u64,
    /// The changes, in order.
    pub changes: Vec<PartChange>,
}

impl StoreUpdate {
    /// Splits this into messages of at most [`MAX_CHANGES`], each of which begins where the
    /// previous one ends.
    pub fn split(self) -> Vec<Self> {
        if self.changes.is_empty() {
            return vec![self];
        }
        let mut messages: Vec<Self> = Vec::new();
        let mut since = self.since;
        for changes in self.changes.chunks(MAX_CHANGES) {
            let next = changes.last().map_or(since, |change| change.number);
            messages.push(Self {
                addr: self.addr,
                since,
                epoch: self.epoch,
                next,
                age_ms: self.age_ms,
                changes: changes.to_vec(),
            });
            since = next;
        }
        if let Some(last) = messages.last_mut() {
            last.next = self.next;
        }
        messages
    }
}

/// Short id of a box for messages within its zone. Its order is the order in which boxes become
/// hubs and relay bulletins: boxes with fast links first, otherwise pseudo-random.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BoxHash(u32);

impl BoxHash {
    /// Bit set for boxes that are ordered last.
    const LAST: u32 = 1 << 31;

    /// Returns the short id of a box.
    pub fn of(entry: &BoxEntry) -> Self {
        let ranked = Self::unranked_from_id(&entry.id);
        match entry.link_mbps >= FAST_LINK_MBPS {
            true => ranked,
            false => Self(ranked.0 | Self::LAST),
        }
    }

    /// Returns the id without its place in the order, for comparison with [`BoxHash::unranked`].
    pub fn unranked_from_id(id: &BoxId) -> Self {
        Self(hash_pair(id.as_str(), "box") as u32 & !Self::LAST)
    }

    /// Returns this id without its place in the order.
    pub fn unranked(self) -> Self {
        Self(self.0 & !Self::LAST)
    }
}

/// Link rate in Mbit/s that carries the updates of a large zone several times over beside the box's
/// own requests. A hub and the first boxes after it send them three times.
const FAST_LINK_MBPS: u32 = 100;

/// Something that all boxes of a zone are sent once.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum ZoneUpdate {
    /// Changes that the reader of a store has read.
    Store(StoreUpdate),
    /// The weights leader loads weights at an engine.
    WeightLoad(WeightLoadUpdate),
    /// Changes that a reader of the platform store has read.
    Published(PublishedChanges),
    /// All that a store holds, as listed by its reader.
    StoreListing(StoreListingUpdate),
    /// A box of the zone that was new to the hub.
    BoxJoined(BoxEntry),
}

impl ZoneUpdate {
    /// Splits this into pieces that fit a datagram.
    pub fn split(self) -> Vec<ZoneUpdate> {
        match self {
            ZoneUpdate::Store(u) => u.split().into_iter().map(ZoneUpdate::Store).collect(),
            ZoneUpdate::Published(u) => u.split().into_iter().map(ZoneUpdate::Published).collect(),
            single @ (ZoneUpdate::WeightLoad(_)
            | ZoneUpdate::StoreListing(_)
            | ZoneUpdate::BoxJoined(_)) => vec![single],
        }
    }
}

/// Bytes of updates in one datagram, well below [`MAX_DATAGRAM`](super::wire::MAX_DATAGRAM)
/// together with the datagram's other content.
const MAX_UPDATE_BYTES: u64 = 9_000;

/// Groups updates so that each group fits one datagram.
pub fn chunks(updates: Vec<ZoneUpdate>) -> Vec<Vec<ZoneUpdate>> {
    let mut chunks: Vec<Vec<ZoneUpdate>> = Vec::new();
    let mut free_bytes = 0;
    for update in updates {
        // An update whose size cannot be computed cannot be encoded either; the encoder reports
        // that.
        let len = bincode::serialized_size(&update).unwrap_or(MAX_UPDATE_BYTES);
        match chunks.last_mut().filter(|_| len <= free_bytes) {
            Some(last) => {
                free_bytes -= len;
                last.push(update);
            }
            None => {
                free_bytes = MAX_UPDATE_BYTES.saturating_sub(len);
                chunks.push(vec![update]);
            }
        }
    }
    chunks
}

/// Changes below a prefix of the platform store.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PublishedChanges {
    /// The prefix.
    pub topic: Topic,
    /// Revision before the changes. A box with an older revision fetches a copy instead.
    pub after: KvRevision,
    /// Hash of the content before the changes; after a split, only the first message has one.
    pub before: Option<u64>,
    /// The changed entries; those without a value were deleted.
    pub changed: Vec<KvEntry>,
    /// Revision up to which nothing is missing.
    pub revision: KvRevision,
    /// Milliseconds since the store was queried.
    #[serde(deserialize_with = "bounds::de::millis")]
    pub age_ms: u64,
}

impl PublishedChanges {
    /// Entries in one message: some 200 bytes each.
    const MAX_ENTRIES: usize = 24;

    /// Splits this into messages that fit a datagram, each of which begins where the previous one
    /// ends.
    pub fn split(mut self) -> Vec<Self> {
        self.changed.sort_by_key(|entry| entry.revision);
        let mut messages: Vec<Self> = Vec::new();
        let mut after = self.after;
        for changed in self.changed.chunks(Self::MAX_ENTRIES) {
            let revision = changed.last().map_or(after, |entry| entry.revision);
            messages.push(Self {
                changed: changed.to_vec(),
                after,
                revision,
                ..self
            });
            after = revision;
            self.before = None;
        }
        if let Some(last) = messages.last_mut() {
            last.revision = self.revision;
        }
        messages
    }
}

/// What a box of a large zone sends to the zone's hubs.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Report {
    /// The sending box.
    pub from: BoxHash,
    /// Its work in progress at engines.
    pub work: Vec<EngineWork>,
    /// Target incarnations that it recently found replaced.
    pub replaced: Vec<IncarnationHash>,
    /// Its sync state of what operators publish.
    pub operators_sync: SyncSummary,
    /// Its sync state of the targets.
    pub targets_sync: SyncSummary,
    /// Which stored parts it no longer uses.
    pub retired: Vec<Retired>,
    /// Requests during which it recently observed crashes of targets.
    pub fatal: Vec<CrashReport>,
    /// Rate limits that it recently observed targets set or lift.
    pub limits: Vec<LimitUpdate>,
    /// Releases, with the responses that it counted.
    pub releases: Vec<ReleaseUpdate>,
    /// Updates for the zone.
    pub updates: Vec<ZoneUpdate>,
}

/// What a hub sends to its zone.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Bulletin {
    /// The boxes that report to the hub, the hub first: each passes the bulletin on to the ones
    /// that [`relay_children`](super::hub::relay_children) returns.
    pub members: Vec<BoxHash>,
    /// Aggregated state of all boxes; in one bulletin of each round.
    pub sums: Option<Sums>,
    /// Updates, in the order in which the hub received them.
    pub updates: Vec<ZoneUpdate>,
}

/// State of all boxes, aggregated by a hub.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Sums {
    /// Work in progress of all boxes of the fleet at each engine.
    pub work: Vec<EngineWork>,
    /// Target incarnations that were recently found replaced.
    pub replaced: Vec<IncarnationHash>,
    /// The hub's sync state of what operators publish.
    pub operators_sync: SyncSummary,
    /// The hub's sync state of the targets.
    pub targets_sync: SyncSummary,
    /// Which stored parts no box may use any more.
    pub retired: Vec<Retired>,
    /// Requests during which targets crashed.
    pub fatal: Vec<CrashReport>,
    /// Rate limits that targets report.
    pub limits: Vec<LimitUpdate>,
    /// Releases, with the responses that the fleet counted.
    pub releases: Vec<ReleaseUpdate>,
}

/// What a hub sends to the hubs of other zones.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ZoneSummary {
    /// Its zone.
    pub zone: ZoneId,
    /// Address at which it receives datagrams.
    pub from: SocketAddr,
    /// Work in progress of the zone's boxes at each engine.
    pub work: Vec<EngineWork>,
    /// Target incarnations that they recently found replaced.
    pub replaced: Vec<IncarnationHash>,
    /// Which stored parts the zone no longer uses.
    pub retired: Vec<Retired>,
    /// Requests during which targets crashed.
    pub fatal: Vec<CrashReport>,
    /// Rate limits that targets report.
    pub limits: Vec<LimitUpdate>,
    /// Releases, with the responses that the zone counted.
    pub releases: Vec<ReleaseUpdate>,
    /// Loads of weights at engines.
    pub load_updates: Vec<WeightLoadUpdate>,
}
