//! Reads the box list, the log of bundles and the organisations from the platform's service.
//!
//! Two keepers of each zone do it; the others learn by gossip. So the service sees a fixed number
//! of calls for each zone, however many boxes the zone has. After a failure a reader waits longer
//! each time, with jitter, so that the service's return meets no herd.

use crate::fleet::{FleetHandle, FleetMsg, Published};
use crate::settings::KeeperConfig;
use rand::RngExt;
use sillpin_bundle::Accepted;
use sillpin_bundle::signed::REVISION_PREFIX;
use sillpin_platform::{BoxLister, KvEntry, KvRevision, PlatformError};
use sillpin_rpc::gossip::{ItemVersion, ORGANISATIONS_KEY};
use sillpin_telemetry::{event, events};
use slog::Logger;
use std::time::Duration;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// How long a watch waits.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// Longest wait between two tries after failures.
const MAX_BACKOFF: Duration = Duration::from_secs(10);

/// First wait after a failure.
const MIN_BACKOFF: Duration = Duration::from_millis(250);

/// Longest wait before the first call, in times between two readings of the box list.
const MAX_START_PAUSE: f64 = 1.5;

/// How often a keeper that is no reader looks whether it has become one.
const ROLE_CHECK: Duration = Duration::from_millis(500);

/// Waits that grow with each failure, with jitter.
#[derive(Debug, Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// The wait after one more failure: between half and the whole of a doubling bound.
    pub fn next_wait(&mut self) -> Duration {
        let doubled = MIN_BACKOFF * 2u32.pow(self.failures.min(10));
        self.failures += 1;
        let most = doubled.min(MAX_BACKOFF);
        most.mul_f64(rand::rng().random_range(0.5..1.0))
    }

    /// Forgets the failures.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Whether the last try failed.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }
}

/// A random wait before the first call, so that a fleet that starts as a whole meets the service
/// spread out, and learns from its peers before most of it has asked.
fn start_pause(cfg: &KeeperConfig) -> Duration {
    cfg.list_every
        .mul_f64(MAX_START_PAUSE * rand::rng().random_range(0.0..1.0))
}

/// What the readers share.
#[derive(Clone)]
pub struct Reader<P> {
    /// The platform.
    pub platform: P,
    /// Settings.
    pub cfg: KeeperConfig,
    /// The fleet task.
    pub fleet: FleetHandle,
    /// What it publishes.
    pub published: Published,
    /// Log.
    pub log: Logger,
    /// Ends the readers.
    pub stop: CancellationToken,
}

impl<P: BoxLister> Reader<P> {
    /// Starts all readers.
    pub fn start(self) {
        tokio::spawn(self.clone().read_box_list());
        tokio::spawn(self.clone().watch(REVISION_PREFIX));
        tokio::spawn(self.watch(ORGANISATIONS_KEY));
    }

    /// Waits until this keeper is to read `task` for its zone, or knows nobody who is.
    async fn my_turn(&self, task: &str) {
        loop {
            let view = self.published.view.borrow().clone();
            let readers = view.zone_readers(&self.cfg.zone, task);
            if readers.is_empty() || readers.iter().any(|b| b.id == self.cfg.box_id) {
                return;
            }
            tokio::time::sleep(ROLE_CHECK).await;
        }
    }

    /// Resolves when other keepers of the zone are to read `task`, so that a waiting watch is given
    /// up: the service counts it.
    async fn turn_lost(&self, task: &str) {
        loop {
            tokio::time::sleep(ROLE_CHECK).await;
            let view = self.published.view.borrow().clone();
            let readers = view.zone_readers(&self.cfg.zone, task);
            if !readers.is_empty() && readers.iter().all(|b| b.id != self.cfg.box_id) {
                return;
            }
        }
    }

    async fn read_box_list(self) {
        let mut backoff = Backoff::default();
        let work = async {
            tokio::time::sleep(start_pause(&self.cfg)).await;
            loop {
                self.my_turn("box list").await;
                let asked = Instant::now();
                let read = self.platform.box_list().await;
                let wait = self.after(&read, &mut backoff, self.cfg.list_every).await;
                if let Ok(list) = read {
                    self.fleet.tell(FleetMsg::BoxList(list, asked)).await;
                }
                tokio::time::sleep(wait).await;
            }
        };
        tokio::select! {
            () = self.stop.cancelled() => {}
            () = work => {}
        }
    }

    /// What to wait before the next call, and what to say of this one.
    async fn after<T>(
        &self,
        read: &Result<T, PlatformError>,
        backoff: &mut Backoff,
        pause: Duration,
    ) -> Duration {
        match read {
            Ok(_) => {
                self.fleet.tell(FleetMsg::PlatformAnswered).await;
                if backoff.is_failing() {
                    event!(self.log, events::PLATFORM_RECOVERED);
                }
                backoff.reset();
                pause
            }
            Err(e) => {
                if !backoff.is_failing() {
                    event!(self.log, events::PLATFORM_FAILED, "error" => %e);
                }
                backoff.next_wait()
            }
        }
    }

    async fn watch(self, prefix: &'static str) {
        let mut backoff = Backoff::default();
        let mut after = KvRevision::ABSENT;
        let work = async {
            tokio::time::sleep(start_pause(&self.cfg)).await;
            loop {
                self.my_turn(prefix).await;
                let seen = tokio::select! {
                    seen = self.platform.watch(prefix, after, WATCH_WAIT) => seen,
                    () = self.turn_lost(prefix) => continue,
                };
                let wait = self.after(&seen, &mut backoff, Duration::ZERO).await;
                if let Ok(seen) = seen {
                    after = seen.revision;
                    self.take(seen.changed).await;
                }
                tokio::time::sleep(wait).await;
            }
        };
        tokio::select! {
            () = self.stop.cancelled() => {}
            () = work => {}
        }
    }

    async fn take(&self, changed: Vec<KvEntry>) {
        for entry in changed {
            let Some(text) = &entry.value else { continue };
            let msg = if entry.key == ORGANISATIONS_KEY {
                let version = ItemVersion(entry.revision.0);
                serde_json::from_str(text).map(|list| FleetMsg::Organisations(list, version))
            } else {
                serde_json::from_str::<Accepted>(text).map(FleetMsg::Bundle)
            };
            match msg {
                Ok(msg) => self.fleet.tell(msg).await,
                Err(e) => event!(self.log, events::BUNDLE_REFUSED,
                    "from" => "platform", "key" => &entry.key, "error" => %e),
            }
        }
    }
}
