//! What boxes say to each other in datagrams.

use super::packed::PackedWord;
use crate::beliefs::wanted::NamedAge;
use crate::beliefs::{BoxEntry, Topic};
use crate::control::{Life, PartChange, PartKey};
use crate::dialect::EngineTime;
use crate::fatal::FatalWord;
use crate::kept::directory::Position;
use crate::kept::homes::hash_pair;
use crate::kept::retire::Retired;
use crate::place::words::limit::LimitNews;
use crate::place::work::{EngineWork, LifeHash};
use serde::{Deserialize, Serialize};
use sillpin_core::{BoxId, ModelId, TargetId, Tokens, WeightVersion, ZoneId};
use sillpin_platform::{KvEntry, KvRevision};
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
    pub replaced: Vec<LifeHash>,
    /// Weights that operators named, and how long ago: a box that has just started cannot read that in the store.
    pub named: Vec<NamedAge>,
    /// For how long it has been in touch with the platform's store, if it is.
    pub contact_ms: Option<u64>,
    /// Which parts it uses no more.
    pub retired: Vec<Retired>,
    /// Requests under which targets ended.
    pub fatal: Vec<FatalWord>,
    /// Limits that targets name.
    pub limits: Vec<LimitNews>,
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
    /// What a box of a large zone tells the zone's hubs.
    Report(Report),
    /// What a hub tells its zone; passed on from box to box.
    Bulletin(Bulletin),
    /// What a hub tells those of other zones.
    Zone(ZoneWord),
}

impl Datagram {
    /// Its kind, for metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Datagram::Digest(_) => "digest",
            Datagram::Loading(_) => "loading",
            Datagram::Kept(_) => "kept",
            Datagram::Work(_) => "work",
            Datagram::Report(_) => "report",
            Datagram::Bulletin(_) => "bulletin",
            Datagram::Zone(_) => "zone",
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
    pub replaced: Vec<LifeHash>,
}

/// What becomes of an engine that gets new weights.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LoadNews {
    /// The engine.
    pub target: TargetId,
    /// The life of it that this is about.
    pub life: Option<Life>,
    /// The model.
    pub model: ModelId,
    /// The weights.
    pub version: WeightVersion,
    /// Whether it serves them now; otherwise it takes no requests for a while.
    pub done: bool,
}

/// All that a store holds; told if it is little, as after a start.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct KeptListing {
    /// The store.
    pub addr: SocketAddr,
    /// Where the reading of its changes goes on.
    pub position: Position,
    /// Since the store was asked, in milliseconds.
    pub age_ms: u64,
    /// Whole parts.
    pub complete: Vec<(PartKey, Tokens)>,
}

/// Changes of a store's content.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(into = "PackedWord", from = "PackedWord")]
pub struct KeptWord {
    /// The store.
    pub addr: SocketAddr,
    /// The position before them.
    pub since: u64,
    /// The store's life.
    pub epoch: u64,
    /// The position behind them.
    pub next: u64,
    /// Since the store was asked, in milliseconds.
    pub age_ms: u64,
    /// The changes in order.
    pub changes: Vec<PartChange>,
}

impl KeptWord {
    /// The same in words of at most [`MAX_CHANGES`], each going on from the one before.
    pub fn split(self) -> Vec<Self> {
        if self.changes.is_empty() {
            return vec![self];
        }
        let mut words: Vec<Self> = Vec::new();
        let mut since = self.since;
        for changes in self.changes.chunks(MAX_CHANGES) {
            let next = changes.last().map_or(since, |change| change.number);
            words.push(Self {
                addr: self.addr,
                since,
                epoch: self.epoch,
                next,
                age_ms: self.age_ms,
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

/// Short name of a box in news within its zone, in the order in which boxes become hubs and pass bulletins on: those with fast links
/// first, else as good as drawn at random.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BoxHash(u32);

impl BoxHash {
    /// Set for boxes that come last.
    const LAST: u32 = 1 << 31;

    /// The short name of a box.
    pub fn of(entry: &BoxEntry) -> Self {
        let first = Self::anywhere(&entry.id);
        match entry.link_mbps >= FAST_LINK_MBPS {
            true => first,
            false => Self(first.0 | Self::LAST),
        }
    }

    /// The same without its place in the order, for comparing with [`BoxHash::placeless`].
    pub fn anywhere(id: &BoxId) -> Self {
        Self(hash_pair(id.as_str(), "box") as u32 & !Self::LAST)
    }

    /// This name without its place in the order.
    pub fn placeless(self) -> Self {
        Self(self.0 & !Self::LAST)
    }
}

/// Links of this many Mbit/s carry the news of a large zone several times over beside the box's own requests; a hub and the first
/// boxes behind it send them on three times.
const FAST_LINK_MBPS: u32 = 100;

/// Something that all boxes of a zone are told once.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum News {
    /// What a reader of a store has read.
    Kept(KeptWord),
    /// What the holder of the weights duty does to an engine.
    Loading(LoadNews),
    /// What a reader of the platform's store has read.
    Published(PublishedWord),
    /// All that a store holds, as its reader has listed it.
    Listed(KeptListing),
    /// A box of the zone that the hub did not know.
    Joined(BoxEntry),
}

impl News {
    /// The same in pieces that fit a datagram.
    pub fn split(self) -> Vec<News> {
        match self {
            News::Kept(word) => word.split().into_iter().map(News::Kept).collect(),
            News::Published(word) => word.split().into_iter().map(News::Published).collect(),
            one @ (News::Loading(_) | News::Listed(_) | News::Joined(_)) => vec![one],
        }
    }
}

/// Bytes of news in one datagram, so that it stays well below the limit with all else that it says.
const NEWS_BYTES: u64 = 9_000;

/// News in as many pieces as fit one datagram each.
pub fn chunks(news: Vec<News>) -> Vec<Vec<News>> {
    let mut chunks: Vec<Vec<News>> = Vec::new();
    let mut room = 0;
    for news in news {
        // What cannot be measured cannot be written either, and is reported then.
        let len = bincode::serialized_size(&news).unwrap_or(NEWS_BYTES);
        match chunks.last_mut().filter(|_| len <= room) {
            Some(last) => {
                room -= len;
                last.push(news);
            }
            None => {
                room = NEWS_BYTES.saturating_sub(len);
                chunks.push(vec![news]);
            }
        }
    }
    chunks
}

/// Changes below a prefix of the platform's store.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PublishedWord {
    /// The prefix.
    pub topic: Topic,
    /// The revision before them: who knows less asks for a copy instead.
    pub after: KvRevision,
    /// Hash of what was known before them; of several words only the first has one.
    pub before: Option<u64>,
    /// What was written; entries without a value were deleted.
    pub changed: Vec<KvEntry>,
    /// Revision up to which nothing is missing.
    pub revision: KvRevision,
    /// Since the store was asked, in milliseconds.
    pub age_ms: u64,
}

impl PublishedWord {
    /// Entries in one word: some 200 bytes each.
    const MAX_ENTRIES: usize = 24;

    /// The same in words that fit a datagram, each going on from the one before.
    pub fn split(mut self) -> Vec<Self> {
        self.changed.sort_by_key(|entry| entry.revision);
        let mut words: Vec<Self> = Vec::new();
        let mut after = self.after;
        for changed in self.changed.chunks(Self::MAX_ENTRIES) {
            let revision = changed.last().map_or(after, |entry| entry.revision);
            words.push(Self {
                changed: changed.to_vec(),
                after,
                revision,
                ..self
            });
            after = revision;
            self.before = None;
        }
        if let Some(last) = words.last_mut() {
            last.revision = self.revision;
        }
        words
    }
}

/// What a box of a large zone tells the zone's hubs.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Report {
    /// The box.
    pub from: BoxHash,
    /// Its work at engines.
    pub work: Vec<EngineWork>,
    /// Targets that it found replaced of late.
    pub replaced: Vec<LifeHash>,
    /// How far it knows what operators publish.
    pub operators: Extent,
    /// How far it knows the targets.
    pub targets: Extent,
    /// Which parts it uses no more.
    pub retired: Vec<Retired>,
    /// Requests under which it saw targets end of late.
    pub fatal: Vec<FatalWord>,
    /// Limits that it saw targets name or end of late.
    pub limits: Vec<LimitNews>,
    /// What it has to tell the zone.
    pub news: Vec<News>,
}

/// What a hub tells its zone.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Bulletin {
    /// The boxes that the hub hears, the hub first: each passes the bulletin on to some of those behind it.
    pub members: Vec<BoxHash>,
    /// What the hub knows of all of them together; in one bulletin of each round.
    pub sums: Option<Sums>,
    /// News, in the order in which they came.
    pub news: Vec<News>,
}

/// What a hub knows of all boxes together.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Sums {
    /// Work of all boxes of the fleet at each engine.
    pub work: Vec<EngineWork>,
    /// Targets that were found replaced of late.
    pub replaced: Vec<LifeHash>,
    /// How far the hub knows what operators publish.
    pub operators: Extent,
    /// How far it knows the targets.
    pub targets: Extent,
    /// Which parts no box is to use any more.
    pub retired: Vec<Retired>,
    /// Requests under which targets ended.
    pub fatal: Vec<FatalWord>,
    /// Limits that targets name.
    pub limits: Vec<LimitNews>,
}

/// What a hub tells those of other zones.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ZoneWord {
    /// Its zone.
    pub zone: ZoneId,
    /// Where it hears news.
    pub from: SocketAddr,
    /// Work of the zone's boxes at each engine.
    pub work: Vec<EngineWork>,
    /// Targets that they found replaced of late.
    pub replaced: Vec<LifeHash>,
    /// Which parts it uses no more.
    pub retired: Vec<Retired>,
    /// Requests under which targets ended.
    pub fatal: Vec<FatalWord>,
    /// Limits that targets name.
    pub limits: Vec<LimitNews>,
    /// Loads of weights.
    pub loading: Vec<LoadNews>,
}
