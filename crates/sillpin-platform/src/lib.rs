//! Interface to the platform: its key-value service and its list of boxes and targets.
//!
//! [`Platform`] is the only interface; [`http`] is the adapter for the project's own stand-in, and
//! [`call`] is shared by all adapters. Another wire format needs one more adapter file. The service
//! counts every call, and a waiting watch as one; `docs/CAPACITY.md` states how often each caller
//! calls it.

pub mod call;
pub mod http;
pub mod query;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use sillpin_core::number_type;
use sillpin_core::target::BoxList;
use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

pub use http::HttpPlatform;

/// Longest value that the service accepts, in bytes.
pub const MAX_VALUE_LEN: usize = 1 << 20;

/// Keys requested per page of a listing.
const PAGE_LEN: usize = 500;

number_type!(
    /// Number of times that the service was restored from a backup; each restore loses the writes
    /// since that backup.
    StoreEra
);

/// Revision of a change in the service. Within an era each change takes the next number. A later
/// era reuses numbers, and all its revisions compare greater than those of earlier eras. Zero: the
/// key does not exist.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct KvRevision(pub u64);

/// Bits of a revision that hold its number: enough for one that begins at a time in milliseconds and rises by any step.
const NUMBER_BITS: u32 = 48;

/// Largest number of a revision.
const MAX_NUMBER: u64 = (1 << NUMBER_BITS) - 1;

impl KvRevision {
    /// Expected revision of a key that does not exist; a write with it creates the key.
    pub const ABSENT: KvRevision = KvRevision(0);

    /// The largest revision.
    pub const MAX: KvRevision = KvRevision(u64::MAX);

    /// Returns the revision of the change `number` in `era`.
    ///
    /// Numbers beyond the range become the largest, so that they do not change the era.
    pub fn in_era(era: StoreEra, number: u64) -> Self {
        let era = era.0.min(u64::MAX >> NUMBER_BITS);
        Self(era << NUMBER_BITS | number.min(MAX_NUMBER))
    }

    /// Returns the era of the revision.
    pub fn era(self) -> StoreEra {
        StoreEra(self.0 >> NUMBER_BITS)
    }

    /// Returns the number of the revision within its era.
    pub fn number(self) -> u64 {
        self.0 & MAX_NUMBER
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

/// Id of a lease granted by the service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(from = "u64", into = "u64")]
#[display("{id}")]
pub struct LeaseId {
    /// Its number in the service.
    pub id: u64,
    /// The era in which it was granted. It is invalid in later eras even if the restored backup
    /// contains it, since keys written under it may be lost.
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

/// A key with its value and revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvEntry {
    /// The key.
    pub key: String,
    /// The value; `None` in a watch when the key was deleted.
    pub value: Option<String>,
    /// The revision that last changed it.
    pub revision: KvRevision,
}

/// Result of a watch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchReply {
    /// Keys that changed, each once with its latest state.
    pub changed: Vec<KvEntry>,
    /// Revision after which the next watch continues.
    pub revision: KvRevision,
}

/// All keys with a prefix.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// The entries, ordered by key.
    pub entries: Vec<KvEntry>,
    /// Revision from which a watch returns every change that the entries don't include.
    pub revision: KvRevision,
}

/// Cause of a failed platform call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum PlatformFault {
    /// The platform could not be reached; nothing took effect.
    #[display("out of reach")]
    Unreachable,
    /// The platform refused temporarily (rate limit or outage); nothing took effect.
    #[display("temporarily refused")]
    Refused,
    /// The response was lost: a write may have taken effect.
    #[display("response lost")]
    AnswerLost,
    /// A key did not have the expected revision; nothing took effect.
    #[display("changed by another writer")]
    Conflict,
    /// The lease does not exist or has expired.
    #[display("lease expired")]
    LeaseLapsed,
    /// The service no longer has the changes requested by a watch: list the keys again.
    #[display("requested changes no longer available")]
    HistoryLost,
    /// The service rejected the request, or its response was malformed.
    #[display("request rejected")]
    Invalid,
}

impl PlatformFault {
    /// Returns the name of the fault for metrics and logs.
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

/// A failed call of the platform, with its step and peer.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{step} at platform {peer}: {fault}")]
pub struct PlatformError {
    /// The operation that failed.
    pub step: &'static str,
    /// The platform's address.
    pub peer: SocketAddr,
    /// The cause.
    #[error(not(source))]
    pub fault: PlatformFault,
}

/// The first page of a listing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FirstPage {
    /// Its keys, and the revision from which a watch of them continues.
    pub snapshot: Snapshot,
    /// Whether there are no other pages.
    pub is_complete: bool,
}

/// The platform's key-value service and box list.
pub trait Platform: Clone + Send + Sync + 'static {
    /// Returns the entry of a key, or `None` if it does not exist.
    fn get(&self, key: &str)
    -> impl Future<Output = Result<Option<KvEntry>, PlatformError>> + Send;

    /// Returns at most `limit` keys with a prefix, in order, starting after the key `after`.
    fn list(
        &self,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
    ) -> impl Future<Output = Result<Vec<KvEntry>, PlatformError>> + Send;

    /// Returns all keys with a prefix, and the revision from which a watch continues.
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
            // The watch returns all changes after the newest entry; some may be returned twice.
            let newest = entries.iter().map(|entry| entry.revision).max();
            let revision = newest.unwrap_or_default();
            Ok(Snapshot { entries, revision })
        }
    }

    /// Like [`Platform::snapshot`], but the result may be a few seconds old and costs the service much
    /// less. A watch from its revision returns the later changes.
    fn stale_snapshot(
        &self,
        prefix: &str,
    ) -> impl Future<Output = Result<Snapshot, PlatformError>> + Send {
        self.snapshot(prefix)
    }

    /// Starts [`Platform::stale_snapshot`]: returns its first page, and whether that is all.
    fn stale_first_page(
        &self,
        prefix: &str,
    ) -> impl Future<Output = Result<FirstPage, PlatformError>> + Send {
        async move {
            Ok(FirstPage {
                snapshot: self.stale_snapshot(prefix).await?,
                is_complete: true,
            })
        }
    }

    /// Completes [`Platform::stale_snapshot`] after its first page.
    fn stale_other_pages(
        &self,
        _prefix: &str,
        first: Snapshot,
    ) -> impl Future<Output = Result<Snapshot, PlatformError>> + Send {
        async move { Ok(first) }
    }

    /// Writes a key if its revision is `expect`, under a lease if one is given. With
    /// [`KvRevision::ABSENT`] the key is created.
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

    /// Grants a lease; keys written under it are deleted when it expires.
    fn grant_lease(
        &self,
        ttl: Duration,
    ) -> impl Future<Output = Result<LeaseId, PlatformError>> + Send;

    /// Renews a lease for its full time to live.
    fn renew_lease(&self, lease: LeaseId)
    -> impl Future<Output = Result<(), PlatformError>> + Send;

    /// Waits up to `wait` for changes after `after` to keys with a prefix.
    fn watch(
        &self,
        prefix: &str,
        after: KvRevision,
        wait: Duration,
    ) -> impl Future<Output = Result<WatchReply, PlatformError>> + Send;

    /// Like [`Platform::watch`], but calls `on_response` when the response begins to arrive, since a large
    /// one takes time over a slow link.
    fn watch_with_callback(
        &self,
        prefix: &str,
        after: KvRevision,
        wait: Duration,
        on_response: impl FnOnce() + Send,
    ) -> impl Future<Output = Result<WatchReply, PlatformError>> + Send {
        async move {
            let reply = self.watch(prefix, after, wait).await;
            on_response();
            reply
        }
    }
}

/// A platform that also provides a list of boxes and targets.
pub trait BoxLister: Platform {
    /// Returns the list of boxes and targets.
    fn box_list(&self) -> impl Future<Output = Result<BoxList, PlatformError>> + Send;
}
