//! Reads the box list, the log of bundles and the organisations from the platform's service.
//!
//! Two keepers of each zone do so; the others receive the state by gossip. The service thus gets a
//! fixed number of calls from each zone, however many boxes the zone has. Readers back off
//! exponentially with jitter after failures, so that a recovering service gets no thundering herd.

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

/// How long a watch waits for a change.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// Maximum wait between two attempts after failures.
const MAX_BACKOFF: Duration = Duration::from_secs(10);

/// Bound of the wait after the first failure.
const MIN_BACKOFF: Duration = Duration::from_millis(250);

/// Maximum wait before the first call, in intervals between two reads of the box list.
const MAX_START_DELAY: f64 = 1.5;

/// Interval at which a keeper checks whether it is a reader of its zone.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Exponential backoff with jitter.
#[derive(Debug, Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Records a failure and returns the wait after it: between half of a bound that doubles, and the bound.
    pub fn next_wait(&mut self) -> Duration {
        let doubled = MIN_BACKOFF * 2u32.pow(self.failures.min(10));
        self.failures += 1;
        let bound = doubled.min(MAX_BACKOFF);
        bound.mul_f64(rand::rng().random_range(0.5..1.0))
    }

    /// Resets the backoff after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Returns whether the last attempt failed.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }
}

/// Returns a random wait before the first call. When a whole fleet starts at once, this spreads the
/// calls to the service, and most keepers receive the state from peers before they call.
fn start_delay(cfg: &KeeperConfig) -> Duration {
    cfg.list_every
        .mul_f64(MAX_START_DELAY * rand::rng().random_range(0.0..1.0))
}

/// Dependencies of the readers.
#[derive(Clone)]
pub struct Reader<P> {
    /// Client of the platform's service.
    pub platform: P,
    /// Settings of the keeper.
    pub cfg: KeeperConfig,
    /// Handle of the fleet task.
    pub fleet: FleetHandle,
    /// State that the fleet task publishes.
    pub published: Published,
    /// Logger.
    pub log: Logger,
    /// Stops the readers.
    pub stop: CancellationToken,
}

impl<P: BoxLister> Reader<P> {
    /// Starts all readers.
    pub fn start(self) {
        tokio::spawn(self.clone().read_box_list());
        tokio::spawn(self.clone().watch(REVISION_PREFIX));
        tokio::spawn(self.watch(ORGANISATIONS_KEY));
    }

    /// Waits until this keeper is a reader of `task` for its zone, or no reader is known.
    async fn wait_for_reader_role(&self, task: &str) {
        loop {
            let view = self.published.view.borrow().clone();
            let readers = view.zone_readers(&self.cfg.zone, task);
            if readers.is_empty() || readers.iter().any(|b| b.id == self.cfg.box_id) {
                return;
            }
            tokio::time::sleep(ROLE_CHECK_INTERVAL).await;
        }
    }

    /// Resolves when this keeper is no longer a reader of `task` for its zone. The pending watch is then
    /// cancelled, because it counts towards the service's number of watches.
    async fn reader_role_lost(&self, task: &str) {
        loop {
            tokio::time::sleep(ROLE_CHECK_INTERVAL).await;
            let view = self.published.view.borrow().clone();
            let readers = view.zone_readers(&self.cfg.zone, task);
            if !readers.is_empty() && readers.iter().all(|b| b.id != self.cfg.box_id) {
                return;
            }
        }
    }

    async fn read_box_list(self) {
        let mut backoff = Backoff::default();
        let read_loop = async {
            tokio::time::sleep(start_delay(&self.cfg)).await;
            loop {
                self.wait_for_reader_role("box list").await;
                let requested_at = Instant::now();
                let result = self.platform.box_list().await;
                let wait = self
                    .record_result(&result, &mut backoff, self.cfg.list_every)
                    .await;
                if let Ok(list) = result {
                    self.fleet.send(FleetMsg::BoxList(list, requested_at)).await;
                }
                tokio::time::sleep(wait).await;
            }
        };
        tokio::select! {
            () = self.stop.cancelled() => {}
            () = read_loop => {}
        }
    }

    /// Logs and reports the result of a call. Returns the wait before the next call.
    async fn record_result<T>(
        &self,
        result: &Result<T, PlatformError>,
        backoff: &mut Backoff,
        pause: Duration,
    ) -> Duration {
        match result {
            Ok(_) => {
                self.fleet.send(FleetMsg::PlatformResponded).await;
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
        let read_loop = async {
            tokio::time::sleep(start_delay(&self.cfg)).await;
            loop {
                self.wait_for_reader_role(prefix).await;
                let reply = tokio::select! {
                    reply = self.platform.watch(prefix, after, WATCH_WAIT) => reply,
                    () = self.reader_role_lost(prefix) => continue,
                };
                let wait = self
                    .record_result(&reply, &mut backoff, Duration::ZERO)
                    .await;
                if let Ok(reply) = reply {
                    after = reply.revision;
                    self.apply_changes(reply.changed).await;
                }
                tokio::time::sleep(wait).await;
            }
        };
        tokio::select! {
            () = self.stop.cancelled() => {}
            () = read_loop => {}
        }
    }

    async fn apply_changes(&self, changed: Vec<KvEntry>) {
        for entry in changed {
            let Some(text) = &entry.value else { continue };
            let msg = if entry.key == ORGANISATIONS_KEY {
                let version = ItemVersion(entry.revision.0);
                serde_json::from_str(text).map(|list| FleetMsg::Organisations(list, version))
            } else {
                serde_json::from_str::<Accepted>(text).map(FleetMsg::Bundle)
            };
            match msg {
                Ok(msg) => self.fleet.send(msg).await,
                Err(e) => event!(self.log, events::BUNDLE_REFUSED,
                    "from" => "platform", "key" => &entry.key, "error" => %e),
            }
        }
    }
}
