//! The platform as sillpin sees it: a key-value service and the list of boxes and targets.
//!
//! [`Platform`] is the one interface; [`http`] is the adapter of the project's own stand-in, and [`call`] what
//! adapters share. Another wire format costs one
//! file. The service counts each call, and a waiting watch as one, so callers state in
//! `docs/CAPACITY.md` how often they call.

pub mod call;
pub mod http;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use sillpin_core::number_type;
use sillpin_core::target::BoxList;
use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

pub use http::HttpPlatform;

/// Longest value the service holds, in bytes.
pub const MAX_VALUE_LEN: usize = 1 << 20;

/// Keys asked for in one page of a listing.
const PAGE_LEN: usize = 500;

number_type!(
    /// Counts how often the service came back from a copy, and lost what was written since.
    StoreEra
);

/// A change of the service. Within an era each change takes the next number; a later era gives numbers out again, and all its changes come behind those
/// of earlier ones. Zero: the key does not exist.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct KvRevision(pub u64);

/// Bits of a revision that hold its number: a thousand changes a second for 30 years.
const NUMBER_BITS: u32 = 40;

impl KvRevision {
    /// Expected by a write that creates its key.
    pub const ABSENT: KvRevision = KvRevision(0);

    /// The change `number` of an era.
    pub fn in_era(era: StoreEra, number: u64) -> Self {
        Self(era.0 << NUMBER_BITS | number)
    }

    /// The era that it belongs to.
    pub fn era(self) -> StoreEra {
        StoreEra(self.0 >> NUMBER_BITS)
    }

    /// Its number in its era.
    pub fn number(self) -> u64 {
        self.0 & ((1 << NUMBER_BITS) - 1)
    }
}

impl fmt::Display for KvRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era() {
            StoreEra(0) => write!(f, "{}", self.number()),
            era => write!(f, "{era}:{}", self.number()),
        }
    }
}

/// A lease granted by the service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(from = "u64", into = "u64")]
#[display("{id}")]
pub struct LeaseId {
    /// Its name.
    pub id: u64,
    /// The era that it was granted in. In later ones it is over, also if the copy has it: what was written under it may be gone.
    pub era: StoreEra,
}

impl From<u64> for LeaseId {
    fn from(id: u64) -> Self {
        let era = StoreEra::default();
        Self { id, era }
    }
}

impl From<LeaseId> for u64 {
    fn from(lease: LeaseId) -> Self {
        lease.id
    }
}

/// One key with its value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvEntry {
    /// The key.
    pub key: String,
    /// The value; `None` in a watch when the key was deleted.
    pub value: Option<String>,
    /// The change that wrote it.
    pub revision: KvRevision,
}

/// What a watch saw.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchReply {
    /// Keys changed since, each once, in its newest state.
    pub changed: Vec<KvEntry>,
    /// Ask for changes after this one next time.
    pub revision: KvRevision,
}

/// All keys below a prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Snapshot {
    /// The keys, in order.
    pub entries: Vec<KvEntry>,
    /// A watch after this change misses nothing that the entries lack.
    pub revision: KvRevision,
}

/// What went wrong at the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum PlatformFault {
    /// It could not be reached; nothing took effect.
    #[display("out of reach")]
    Unreachable,
    /// It refused for now (rate or outage); nothing took effect.
    #[display("refused for now")]
    Refused,
    /// The answer was lost: a write may have taken effect.
    #[display("answer lost")]
    AnswerLost,
    /// A write's expectation did not hold; nothing took effect.
    #[display("changed by somebody else")]
    Conflict,
    /// The lease does not exist (any more).
    #[display("lease lapsed")]
    LeaseLapsed,
    /// A watch asked for changes that the service no longer remembers: list the keys again.
    #[display("history lost")]
    HistoryLost,
    /// The service did not understand.
    #[display("request not accepted")]
    Invalid,
}

impl PlatformFault {
    /// Its name in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            PlatformFault::Unreachable => "unreachable",
            PlatformFault::Refused => "refused",
            PlatformFault::AnswerLost => "answer-lost",
            PlatformFault::Conflict => "conflict",
            PlatformFault::LeaseLapsed => "absent",
            PlatformFault::HistoryLost => "history-lost",
            PlatformFault::Invalid => "invalid",
        }
    }
}

/// A call of the platform that failed, with its step and peer.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{step} at platform {peer}: {fault}")]
pub struct PlatformError {
    /// What was being done.
    pub step: &'static str,
    /// The platform's address.
    pub peer: SocketAddr,
    /// What went wrong.
    #[error(not(source))]
    pub fault: PlatformFault,
}

/// The platform's key-value service and box list.
pub trait Platform: Clone + Send + Sync + 'static {
    /// The value of a key, if it exists.
    fn get(&self, key: &str)
    -> impl Future<Output = Result<Option<KvEntry>, PlatformError>> + Send;

    /// Keys with a prefix, in order, at most `limit`, after `after`.
    fn list(
        &self,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
    ) -> impl Future<Output = Result<Vec<KvEntry>, PlatformError>> + Send;

    /// All keys with a prefix, and where a watch goes on from them.
    fn snapshot(
        &self,
        prefix: &str,
    ) -> impl Future<Output = Result<Snapshot, PlatformError>> + Send {
        async move {
            let mut entries: Vec<KvEntry> = Vec::new();
            loop {
                let after = entries.last().map(|entry| entry.key.clone());
                let page = self.list(prefix, after.as_deref(), PAGE_LEN).await?;
                let last = page.len() < PAGE_LEN;
                entries.extend(page);
                if last {
                    break;
                }
            }
            // Changes after the newest entry are seen by the watch, possibly a second time.
            let newest = entries.iter().map(|entry| entry.revision).max();
            let revision = newest.unwrap_or_default();
            Ok(Snapshot { entries, revision })
        }
    }

    /// The same as it was a while ago, some seconds at the most, at a fraction of the price; a watch from there brings the rest.
    fn glance(&self, prefix: &str) -> impl Future<Output = Result<Snapshot, PlatformError>> + Send {
        self.snapshot(prefix)
    }

    /// Writes a key if its revision is `expect` ([`KvRevision::ABSENT`]: create), under a lease if
    /// one is given.
    fn put(
        &self,
        key: &str,
        value: &str,
        expect: KvRevision,
        lease: Option<LeaseId>,
    ) -> impl Future<Output = Result<KvRevision, PlatformError>> + Send;

    /// Deletes a key if its revision is `expect`.
    fn delete(
        &self,
        key: &str,
        expect: KvRevision,
    ) -> impl Future<Output = Result<(), PlatformError>> + Send;

    /// Asks for a lease; its keys vanish when it lapses.
    fn grant_lease(
        &self,
        ttl: Duration,
    ) -> impl Future<Output = Result<LeaseId, PlatformError>> + Send;

    /// Renews a lease for its whole time.
    fn renew_lease(&self, lease: LeaseId)
    -> impl Future<Output = Result<(), PlatformError>> + Send;

    /// Waits up to `wait` for changes below `prefix` after `after`.
    fn watch(
        &self,
        prefix: &str,
        after: KvRevision,
        wait: Duration,
    ) -> impl Future<Output = Result<WatchReply, PlatformError>> + Send;

    /// Like [`Platform::watch`]. `arriving` is called when the answer begins to arrive: a large one takes a while over a thin
    /// link.
    fn watch_arriving(
        &self,
        prefix: &str,
        after: KvRevision,
        wait: Duration,
        arriving: impl FnOnce() + Send,
    ) -> impl Future<Output = Result<WatchReply, PlatformError>> + Send {
        async move {
            let reply = self.watch(prefix, after, wait).await;
            arriving();
            reply
        }
    }
}

/// A platform that also keeps a list of boxes and targets.
pub trait BoxLister: Platform {
    /// The list of boxes and targets.
    fn box_list(&self) -> impl Future<Output = Result<BoxList, PlatformError>> + Send;
}
