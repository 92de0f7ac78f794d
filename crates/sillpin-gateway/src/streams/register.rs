//! Versions of each pool in the platform store, for boxes that all started anew.
//!
//! Boxes that start together have seen no earlier version of a pool and nobody to ask. So one box of each zone keeps the
//! versions whose streams may still be resumed under a key of the store: it adds a version when it appears, before boxes
//! begin streams at it ([`HOLD_TIME`](super::history::HOLD_TIME)), and removes one whose last target left so long ago
//! that nobody resumes its streams. A box that lacks the knowledge reads the key once; if it names one version alone, and
//! the box sees no other since, that version began all of the pool's streams.

use super::history::PoolVersions;
use crate::control::SoftwareVersion;
use crate::fleet_state::{BoxEntry, FleetHandle, View};
use crate::peers::roles;
use crate::placement::Loads;
use sillpin_core::{BoxId, PoolId};
use sillpin_platform::{KvEntry, KvRevision, Platform, PlatformError, PlatformFault, StoreEra};
use sillpin_telemetry::{event, events};
use slog::Logger;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, MissedTickBehavior, timeout};

/// Key of the versions.
pub const VERSIONS_KEY: &str = "sillpin/versions";

/// Interval at which a writer checks whether the stored versions are still right.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Time after a failed call before the next one.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which a request waits for a read of the store.
const READ_TIMEOUT: Duration = Duration::from_millis(300);

/// Shortest time between two reads.
const READ_INTERVAL: Duration = Duration::from_secs(5);

/// The same after a read that found no versions: those of a new fleet are about to be written.
const EMPTY_READ_INTERVAL: Duration = Duration::from_millis(300);

/// Number of boxes of a zone that write.
const WRITERS: usize = 1;

/// Number of requests for a read that wait at most.
const QUEUE_LEN: usize = 64;

/// Versions of each pool; `None` stands for targets that name none.
type Versions = BTreeMap<PoolId, BTreeSet<Option<SoftwareVersion>>>;

/// What a read of the store found.
#[derive(Debug, Clone, Default)]
pub struct Stored {
    /// When it was requested; `None` if nothing was read yet.
    pub read_at: Option<Instant>,
    versions: Versions,
}

impl Stored {
    /// Returns the only version of a pool, if it has one.
    pub fn only(&self, pool: &PoolId) -> Option<&Option<SoftwareVersion>> {
        let mut versions = self.versions.get(pool)?.iter();
        let only = versions.next()?;
        versions.next().is_none().then_some(only)
    }
}

/// Requests reads of the stored versions; clones share the task.
#[derive(Debug, Clone)]
pub struct RegisterHandle {
    tx: mpsc::Sender<oneshot::Sender<()>>,
    stored: watch::Receiver<Arc<Stored>>,
}

impl RegisterHandle {
    /// Returns what was read last.
    pub fn stored(&self) -> Arc<Stored> {
        self.stored.borrow().clone()
    }

    /// Requests a read unless one is due anyway, without waiting for it.
    pub fn request(&self) {
        let (done, _) = oneshot::channel();
        // A full queue means that a read is in progress.
        let _ = self.tx.try_send(done);
    }

    /// Reads the stored versions, or uses a recent read.
    pub async fn read(&self) {
        let (done, is_done) = oneshot::channel();
        if self.tx.try_send(done).is_ok() {
            // Without a result in time the caller knows no more than before.
            let _ = timeout(READ_TIMEOUT, is_done).await;
        }
    }
}

/// The task's ends of the channels.
pub struct RegisterPort {
    rx: mpsc::Receiver<oneshot::Sender<()>>,
    stored: watch::Sender<Arc<Stored>>,
}

/// Creates a handle, and the channel ends for the task.
pub fn channel() -> (RegisterHandle, RegisterPort) {
    let (tx, rx) = mpsc::channel(QUEUE_LEN);
    let (stored_tx, stored) = watch::channel(Arc::default());
    let port = RegisterPort {
        rx,
        stored: stored_tx,
    };
    (RegisterHandle { tx, stored }, port)
}

/// Reads and writes the stored versions.
pub struct VersionRegister<P> {
    /// The platform store.
    pub platform: P,
    /// This box.
    pub me: BoxEntry,
    /// State of the fleet.
    pub fleet: FleetHandle,
    /// Loads of targets, which show which boxes are up.
    pub loads: Loads,
    /// Log.
    pub log: Logger,
}

/// What a writer knows of the stored versions.
#[derive(Debug, Default)]
struct Written {
    /// The versions; `None` if they must be read.
    versions: Option<Versions>,
    era: StoreEra,
}

impl<P: Platform> VersionRegister<P> {
    /// Runs until the process ends.
    pub async fn run(self, port: RegisterPort) {
        let RegisterPort { mut rx, stored } = port;
        let mut views = self.fleet.subscribe();
        let mut known = Arc::<PoolVersions>::default();
        let mut written = Written::default();
        let mut checks = tokio::time::interval(CHECK_INTERVAL);
        checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let request = tokio::select! {
                request = rx.recv() => match request {
                    Some(request) => Some(request),
                    None => return,
                },
                Ok(()) = views.changed() => {
                    let versions = views.borrow_and_update().versions.clone();
                    if Arc::ptr_eq(&versions, &known) {
                        continue;
                    }
                    known = versions;
                    None
                }
                _ = checks.tick() => None,
            };
            match request {
                Some(request) => {
                    self.read(&stored).await;
                    // Fails if the request does not wait for it.
                    let _ = request.send(());
                }
                None => self.check(&mut written).await,
            }
        }
    }

    /// Reads the stored versions, unless a read since this box has been in contact with the store is recent enough.
    async fn read(&self, stored: &watch::Sender<Arc<Stored>>) {
        let now = Instant::now();
        let Some(contact) = self.fleet.view().targets_sync.in_contact(now) else {
            return;
        };
        let last = stored.borrow().clone();
        let interval = match last.versions.is_empty() {
            true => EMPTY_READ_INTERVAL,
            false => READ_INTERVAL,
        };
        let is_recent = |at: Instant| at >= contact && now - at < interval;
        if last.read_at.is_some_and(is_recent) {
            return;
        }
        match self.platform.get(VERSIONS_KEY).await {
            Ok(entry) => {
                let versions = entry.map(|entry| self.parse(&entry)).unwrap_or_default();
                stored.send_replace(Arc::new(Stored {
                    read_at: Some(now),
                    versions,
                }));
            }
            Err(e) => self.log_failure(&e),
        }
    }

    /// Writes the versions if this box writes for its zone and they have changed.
    async fn check(&self, written: &mut Written) {
        let view = self.fleet.view();
        let now = Instant::now();
        let alive = |id: &BoxId| self.loads.may_be_alive(id, now);
        let is_writer = roles::is_among_first(&view, &self.me, VERSIONS_KEY, WRITERS, alive);
        let era = view.targets_sync.revision.era();
        if era != written.era {
            // A store that was restored from a backup may lack versions.
            *written = Written {
                versions: None,
                era,
            };
        }
        if !is_writer || view.targets_sync.in_contact(now).is_none() {
            written.versions = None;
            return;
        }
        let is_right = |versions: &Versions| updated(versions, &view, now) == *versions;
        if written.versions.as_ref().is_some_and(is_right) {
            return;
        }
        match self.write(&view, now).await {
            Ok(versions) => written.versions = Some(versions),
            // Another box has written in between; the next check reads again.
            Err(e) if e.fault == PlatformFault::Conflict => {}
            Err(e) => {
                self.log_failure(&e);
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
        }
    }

    async fn write(&self, view: &View, now: Instant) -> Result<Versions, PlatformError> {
        let entry = self.platform.get(VERSIONS_KEY).await?;
        let before = entry.as_ref().map(|entry| self.parse(entry));
        let after = updated(&before.clone().unwrap_or_default(), view, now);
        if before.as_ref() != Some(&after) && !after.is_empty() {
            let text = serde_json::to_string(&after).unwrap_or_default();
            let expect = entry.map_or(KvRevision::ABSENT, |entry| entry.revision);
            self.platform.put(VERSIONS_KEY, &text, expect, None).await?;
        }
        Ok(after)
    }

    fn parse(&self, entry: &KvEntry) -> Versions {
        let text = entry.value.as_deref().unwrap_or_default();
        serde_json::from_str(text).unwrap_or_else(|e| {
            event!(self.log, events::VALUE_UNREADABLE, "key" => VERSIONS_KEY, "why" => e.to_string());
            Versions::new()
        })
    }

    fn log_failure(&self, e: &PlatformError) {
        event!(self.log, events::VERSIONS_NOT_STORED, "why" => e.to_string());
    }
}

/// Returns the versions to be stored, given those that are: versions that appeared are added, and those are removed whose streams
/// nobody resumes any more. Only pools are stored whose streams may be resumed.
fn updated(stored: &Versions, view: &View, now: Instant) -> Versions {
    let Some(config) = &view.config else {
        return stored.clone();
    };
    let mut updated = Versions::new();
    for route in config.routes.iter().filter(|route| route.resumable) {
        let window = view.routes.window(route.timeout);
        for share in &route.shares {
            let kept = stored.get(&share.pool).into_iter().flatten();
            let kept = kept.filter(|version| {
                let sync = &view.targets_sync;
                view.versions
                    .may_have_streams(&share.pool, version.as_ref(), window, sync, now)
            });
            let recent = view.versions.recent(&share.pool, window, now);
            let versions = updated.entry(share.pool.clone()).or_default();
            versions.extend(kept.cloned());
            versions.extend(recent.cloned());
        }
    }
    updated.retain(|_, versions| !versions.is_empty());
    updated
}
