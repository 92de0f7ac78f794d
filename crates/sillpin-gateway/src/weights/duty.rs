//! Who holds the duty to order engines.

use sillpin_core::{BoxId, Fence};
use sillpin_platform::{KvRevision, LeaseId, Platform, PlatformError, PlatformFault};
use sillpin_telemetry::{event, events};
use slog::Logger;
use std::time::Duration;
use tokio::time::Instant;

/// Key of the holder.
pub const DUTY_KEY: &str = "sillpin/weights-holder";

/// Time to live of the holder's lease. Short, since a holder that dies holds up a change of weights by
/// this long; three renewals fit.
const LEASE: Duration = Duration::from_millis(2_000);

/// Time between two renewals.
pub const RENEW_EVERY: Duration = Duration::from_millis(600);

/// Nothing is ordered in the last part of a lease: an order may be under way this long.
const QUIET_END: Duration = Duration::from_millis(700);

/// Added to the wait of a new holder, for clocks of different speed and orders on their way.
const TAKEOVER_MARGIN: Duration = Duration::from_millis(200);

/// How long a box that is not the holder waits for news of the key.
const WATCH_WAIT: Duration = Duration::from_secs(8);

/// The duty, held.
#[derive(Debug)]
pub struct Tenure {
    /// The lease.
    pub lease: LeaseId,
    /// Orders this holder's orders behind those of all before.
    pub fence: Fence,
    /// No order before this moment.
    pub orders_from: Instant,
    /// No order after this moment, unless the lease is renewed.
    pub orders_until: Instant,
}

impl Tenure {
    /// Whether an order may go out now.
    pub fn may_order(&self, now: Instant) -> bool {
        self.orders_from <= now && now < self.orders_until
    }

    /// Takes note of a renewal that was asked for at `asked`.
    pub fn renewed(&mut self, asked: Instant) {
        self.orders_until = asked + LEASE - QUIET_END;
    }
}

/// Takes and gives up the duty.
#[derive(Clone)]
pub struct Duty<P> {
    /// The platform's store.
    pub platform: P,
    /// This box.
    pub me: BoxId,
    /// Least time between two holders' orders.
    pub apart: Duration,
    /// Log.
    pub log: Logger,
}

impl<P: Platform> Duty<P> {
    /// Waits until nobody holds the duty and takes it.
    pub async fn take(&self) -> Result<Tenure, PlatformError> {
        let entry = self.platform.get(DUTY_KEY).await?;
        if let Some(entry) = entry {
            self.wait_until_free(entry.revision).await?;
        }
        let asked = Instant::now();
        let lease = self.platform.grant_lease(LEASE).await?;
        let absent = KvRevision::ABSENT;
        let put = self
            .platform
            .put(DUTY_KEY, self.me.as_str(), absent, Some(lease));
        let revision = put.await?;
        let mut tenure = Tenure {
            lease,
            fence: Fence(revision.0),
            orders_from: Instant::now() + self.apart.saturating_sub(QUIET_END) + TAKEOVER_MARGIN,
            orders_until: asked,
        };
        tenure.renewed(asked);
        event!(self.log, events::DUTY_TAKEN, "fence" => revision.0);
        Ok(tenure)
    }

    async fn wait_until_free(&self, since: KvRevision) -> Result<(), PlatformError> {
        let mut after = since;
        loop {
            let reply = self.platform.watch(DUTY_KEY, after, WATCH_WAIT).await?;
            let of_key = |key: &str| key == DUTY_KEY;
            let last = reply.changed.iter().rfind(|entry| of_key(&entry.key));
            match last {
                Some(entry) if entry.value.is_none() => return Ok(()),
                Some(_) => {}
                // A watch may have been cut: look again.
                None if self.platform.get(DUTY_KEY).await?.is_none() => return Ok(()),
                None => {}
            }
            after = reply.revision;
        }
    }

    /// Renews the lease; `false` if the duty is lost.
    pub async fn renew(&self, tenure: &mut Tenure) -> bool {
        let asked = Instant::now();
        match self.platform.renew_lease(tenure.lease).await {
            Ok(()) => {
                tenure.renewed(asked);
                true
            }
            Err(e) if e.fault == PlatformFault::LeaseLapsed => {
                event!(self.log, events::DUTY_LOST, "fence" => tenure.fence.0, "why" => "lease lapsed");
                false
            }
            Err(e) => {
                let over = tenure.orders_until + QUIET_END < Instant::now();
                if over {
                    event!(self.log, events::DUTY_LOST,
                        "fence" => tenure.fence.0, "why" => e.to_string());
                }
                !over
            }
        }
    }

    /// Gives the duty up before the box ends.
    pub async fn give_up(&self, tenure: &Tenure) {
        let revision = KvRevision(tenure.fence.0);
        if let Err(e) = self.platform.delete(DUTY_KEY, revision).await {
            // The lease lapses by itself.
            event!(self.log, events::DUTY_LOST, "fence" => tenure.fence.0, "why" => e.to_string());
        }
    }
}
