//! Boxes registered in the platform's store, each under a lease.
//!
//! A box that ends without a word lapses; the number of registered boxes divides what all boxes share:
//! retries and connections.

use super::roles::SMALL_FLEET;
use crate::beliefs::{BoxEntry, FleetHandle, FleetMsg};
use rand::RngExt;
use sillpin_platform::{KvRevision, LeaseId, Platform, PlatformError, PlatformFault};
use sillpin_telemetry::{event, events};
use slog::Logger;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// Prefix of registered boxes.
pub const BOX_PREFIX: &str = "sillpin/box/";

/// A box that ended is gone from the list after this.
const LEASE: Duration = Duration::from_secs(10);

/// Time between two renewals: three may fail before the lease lapses.
const RENEW_EVERY: Duration = Duration::from_millis(2_500);

/// Round in which a box that starts reads for the second time who is there: others start at the same time, and have registered by
/// then. The first time a glance will do: it only tells whom to ask.
const WHOLE_READ: u32 = 1;

/// Time until then: boxes of a fleet that starts as a whole do so within 0.3 s, and read much for themselves until they know each other.
const FIRST_PAUSE: Duration = Duration::from_millis(700);

/// Later it reads in every so many rounds; boxes hear of each other besides.
const READ_ROUNDS: u32 = 3;

/// The same in a large fleet, where each reading tells little and all of them cost a call a box; hubs tell of boxes that come.
const LARGE_READ_ROUNDS: u32 = 16;

/// How a round reads who is registered.
#[derive(Debug, Clone, Copy)]
enum Read {
    Not,
    Glance,
    Whole,
}

/// Registers this box and reads who else is there.
pub struct Registry<P> {
    /// The platform's store.
    pub platform: P,
    /// This box.
    pub me: BoxEntry,
    /// Who is told.
    pub fleet: FleetHandle,
    /// Cancelled when the box is about to end.
    pub stopping: CancellationToken,
    /// Log.
    pub log: Logger,
}

impl<P: Platform> Registry<P> {
    /// Runs until the box is about to end, then gives up its entry.
    pub async fn run(self) {
        let mut lease = None;
        let mut round: u32 = 0;
        while !self.stopping.is_cancelled() {
            let rounds = match self.fleet.view().box_count() <= SMALL_FLEET {
                true => READ_ROUNDS,
                false => LARGE_READ_ROUNDS,
            };
            let read = match round {
                0 => Read::Glance,
                _ if round == WHOLE_READ || round.is_multiple_of(rounds) => Read::Whole,
                _ => Read::Not,
            };
            round += 1;
            lease = match self.round(lease, read).await {
                Ok(lease) => Some(lease),
                Err(e) => {
                    event!(self.log, events::REGISTRY_FAILED, "why" => e.to_string());
                    // A lapsed lease cannot be renewed; after any other fault it may still be ours.
                    lease.filter(|_| e.fault != PlatformFault::LeaseLapsed)
                }
            };
            let pause = match round {
                WHOLE_READ => FIRST_PAUSE,
                _ => RENEW_EVERY,
            };
            let pause = pause.mul_f64(rand::rng().random_range(0.8..1.0));
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                () = self.stopping.cancelled() => {}
            }
        }
    }

    async fn round(&self, lease: Option<LeaseId>, how: Read) -> Result<LeaseId, PlatformError> {
        let lease = match lease {
            Some(lease) => {
                self.platform.renew_lease(lease).await?;
                lease
            }
            None => self.register().await?,
        };
        let read = match how {
            Read::Not => return Ok(lease),
            Read::Glance => self.platform.stale_snapshot(BOX_PREFIX).await?,
            Read::Whole => self.platform.snapshot(BOX_PREFIX).await?,
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
        let msg = match how {
            Read::Whole => FleetMsg::Registered(boxes),
            Read::Glance | Read::Not => FleetMsg::RegisteredBefore(boxes),
        };
        self.fleet.tell(msg).await;
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
        // The entry of an earlier life of this box has not lapsed yet.
        let known = self.platform.get(&key).await?;
        let expect = known.map_or(absent, |entry| entry.revision);
        self.platform.put(&key, &value, expect, Some(lease)).await?;
        Ok(lease)
    }
}
