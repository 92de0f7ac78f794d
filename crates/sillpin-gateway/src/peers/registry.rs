//! Boxes registered in the platform store, each under a lease.
//!
//! The entry of a box that crashes expires with its lease. The number of registered boxes divides
//! what all boxes share: retries and connections.

use super::roles::SMALL_FLEET;
use crate::fleet_state::{BoxEntry, FleetHandle, FleetMsg};
use rand::RngExt;
use sillpin_platform::{KvRevision, LeaseId, Platform, PlatformError, PlatformFault};
use sillpin_telemetry::{event, events};
use slog::Logger;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// Prefix of registered boxes.
pub const BOX_PREFIX: &str = "sillpin/box/";

/// Time after which the entry of a stopped box expires.
const LEASE: Duration = Duration::from_secs(10);

/// Time between two renewals: three may fail before the lease expires.
const RENEW_INTERVAL: Duration = Duration::from_millis(2_500);

/// Round of the second read after a start: other boxes start at the same time, and have registered
/// by then. The first read may be stale, since it only provides boxes to query.
const SECOND_READ: u32 = 1;

/// Pause before that round: the boxes of a fleet that starts as a whole do so within 0.3 s, and
/// read much from the store until they know each other.
const FIRST_PAUSE: Duration = Duration::from_millis(700);

/// Number of rounds from one later read to the next; boxes also find each other by gossip.
const READ_ROUNDS: u32 = 3;

/// The same in a large fleet, where each read brings little and costs a call for each box; hubs
/// announce new boxes.
const LARGE_READ_ROUNDS: u32 = 16;

/// How a round reads the registered boxes.
#[derive(Debug, Clone, Copy)]
enum ReadKind {
    Skip,
    Stale,
    Complete,
}

/// Registers this box and reads which other boxes are registered.
#[derive(Clone)]
pub struct Registry<P> {
    /// The platform store.
    pub platform: P,
    /// This box.
    pub me: BoxEntry,
    /// The fleet task, which gets the registered boxes.
    pub fleet: FleetHandle,
    /// Cancelled when the box is shutting down.
    pub stopping: CancellationToken,
    /// Log.
    pub log: Logger,
}

impl<P: Platform> Registry<P> {
    /// Runs until the box is shutting down, then stops renewing its entry.
    pub async fn run(self) {
        let mut lease = None;
        let mut round: u32 = 0;
        while !self.stopping.is_cancelled() {
            let rounds = match self.fleet.view().box_count() <= SMALL_FLEET {
                true => READ_ROUNDS,
                false => LARGE_READ_ROUNDS,
            };
            let read = match round {
                0 => ReadKind::Stale,
                _ if round == SECOND_READ || round.is_multiple_of(rounds) => ReadKind::Complete,
                _ => ReadKind::Skip,
            };
            round += 1;
            lease = match self.round(lease, read).await {
                Ok(lease) => Some(lease),
                Err(e) => {
                    event!(self.log, events::REGISTRY_FAILED, "why" => e.to_string());
                    // An expired lease cannot be renewed; after any other error it may still be
                    // valid.
                    lease.filter(|_| e.fault != PlatformFault::LeaseLapsed)
                }
            };
            let pause = match round {
                SECOND_READ => FIRST_PAUSE,
                _ => RENEW_INTERVAL,
            };
            let pause = pause.mul_f64(rand::rng().random_range(0.8..1.0));
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                () = self.stopping.cancelled() => {}
            }
        }
    }

    async fn round(
        &self,
        lease: Option<LeaseId>,
        kind: ReadKind,
    ) -> Result<LeaseId, PlatformError> {
        let lease = match lease {
            Some(lease) => {
                self.platform.renew_lease(lease).await?;
                lease
            }
            None => self.register().await?,
        };
        let read = match kind {
            ReadKind::Skip => return Ok(lease),
            ReadKind::Stale => self.platform.stale_snapshot(BOX_PREFIX).await?,
            ReadKind::Complete => self.platform.snapshot(BOX_PREFIX).await?,
        };
        let texts = read
            .entries
            .iter()
            .filter_map(|entry| entry.value.as_deref());
        let boxes = texts.filter_map(|text| match serde_json::from_str(text) {
            Ok(entry) => Some(entry),
            Err(e) => {
                event!(self.log, events::VALUE_UNREADABLE, "key" => BOX_PREFIX, "why" => e.to_string());
                None
            }
        });
        let boxes: Vec<BoxEntry> = boxes.collect();
        let msg = match kind {
            ReadKind::Complete => FleetMsg::Registered(boxes),
            ReadKind::Stale | ReadKind::Skip => FleetMsg::RegisteredStale(boxes),
        };
        self.fleet.send(msg).await;
        Ok(lease)
    }

    async fn register(&self) -> Result<LeaseId, PlatformError> {
        let key = format!("{BOX_PREFIX}{}", self.me.id);
        let lease = self.platform.grant_lease(LEASE).await?;
        let value = serde_json::to_string(&self.me).unwrap_or_default();
        let absent = KvRevision::ABSENT;
        let created = self.platform.put(&key, &value, absent, Some(lease)).await;
        match created {
            Err(e) if e.fault == PlatformFault::Conflict => {}
            created => return created.map(|_| lease),
        }
        // The entry from before this box's restart has not expired yet.
        let known = self.platform.get(&key).await?;
        let expect = known.map_or(absent, |entry| entry.revision);
        self.platform.put(&key, &value, expect, Some(lease)).await?;
        Ok(lease)
    }
}
