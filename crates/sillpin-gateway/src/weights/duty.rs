//! Who holds the duty to order engines.

use crate::awake::Awake;
use crate::beliefs::wanted::NamedAge;
use serde::{Deserialize, Serialize};
use sillpin_core::{BoxId, Fence, TargetId};
use sillpin_platform::{KvRevision, LeaseId, Platform, PlatformError, PlatformFault, StoreEra};
use sillpin_telemetry::{event, events};
use slog::Logger;
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;

/// Key of the holder.
pub const DUTY_KEY: &str = "sillpin/weights-holder";

/// Key of the engines that holders ordered of late.
pub const ORDERED_KEY: &str = "sillpin/weights-ordered";

/// Time to live of the holder's lease. Short, since a holder that dies holds up a change of weights by
/// this long; three renewals fit, each at a tenth of a call's price.
const LEASE: Duration = Duration::from_millis(1_400);

/// Time between two renewals.
pub const RENEW_EVERY: Duration = Duration::from_millis(400);

/// Nothing is ordered in the last part of a lease: an order may be under way this long.
const QUIET_END: Duration = Duration::from_millis(500);

/// Time between two records while engines serve replaced weights. After the loss of all boxes the times of namings are taken for later than they are by
/// this, and by the time without a holder; boxes stop sending to replaced weights 2.5 s before they must. Each record is a call.
const RECORD_EVERY: Duration = Duration::from_secs(1);

/// Added to the wait before an engine that another holder ordered, for orders on their way.
const TAKEOVER_MARGIN: Duration = Duration::from_millis(300);

/// The duty, held.
#[derive(Debug)]
pub struct Tenure {
    /// The lease.
    pub lease: LeaseId,
    /// Orders this holder's orders behind those of all before.
    pub fence: Fence,
    /// No order after this moment of [`Awake::now`], unless the lease is renewed.
    pub orders_until: Instant,
    /// Engines that holders before ordered, and until when each is left alone.
    others: HashMap<TargetId, Instant>,
    /// Engines that this holder ordered or is about to order.
    own: HashMap<TargetId, Own>,
    /// Until when all engines are left alone: the store lost which of them were ordered before.
    lost_until: Option<Instant>,
    /// The era whose orders the record has until then.
    recorded_era: StoreEra,
    /// When weights were named, for the record: what the holder before wrote at first.
    pub named: Vec<NamedAge>,
    /// Revision of the record of orders.
    record: KvRevision,
    /// When the record was written.
    recorded: Instant,
}

/// What a holder knows of its own orders to an engine.
#[derive(Debug, Default)]
struct Own {
    /// An order may go out at any time.
    underway: bool,
    /// When the last order had ended.
    last: Option<Instant>,
}

impl Own {
    /// How long ago the last order was, if there is or may be one.
    fn age(&self, now: Instant) -> Option<Duration> {
        match self.underway {
            true => Some(Duration::ZERO),
            false => self.last.map(|at| now - at),
        }
    }
}

/// Engines ordered of late, as recorded before each order.
#[derive(Debug, Default, Serialize, Deserialize)]
struct Ordered {
    targets: Vec<TargetId>,
    /// How long the last order to each was over when this was written, in milliseconds, in the order of `targets`;
    /// at least that much of the time between two holders' orders is over. None where a box of an earlier version wrote.
    #[serde(default)]
    ages_ms: Vec<u64>,
    /// How long ago weights had been named when this was written. Boxes tell each other; this outlives the loss of all.
    #[serde(default)]
    named: Vec<NamedAge>,
    /// The era of the store whose orders it has. A later one has lost what was recorded last.
    #[serde(default)]
    era: StoreEra,
}

impl Ordered {
    fn push(&mut self, target: TargetId, age: Duration) {
        self.targets.push(target);
        // Rounded down: an order is never taken for older than it is.
        self.ages_ms.push(age.as_millis() as u64);
    }

    /// Each engine with the age of the last order to it.
    fn entries(self) -> impl Iterator<Item = (TargetId, Duration)> {
        let ages = self.ages_ms.into_iter().chain(std::iter::repeat(0));
        let ages = ages.map(Duration::from_millis);
        self.targets.into_iter().zip(ages)
    }
}

impl Tenure {
    /// Whether an order may go out at this moment of [`Awake::now`].
    pub fn may_order(&self, now: Instant) -> bool {
        now < self.orders_until
    }

    /// Whether an engine may be ordered now: no other holder's order to it can be near.
    pub fn may_order_target(&self, target: &TargetId, now: Instant) -> bool {
        let is_over = |until: &Instant| now >= *until;
        self.lost_until.as_ref().is_none_or(is_over) && self.others.get(target).is_none_or(is_over)
    }

    /// The era whose orders are all recorded.
    fn era(&self, now: Instant) -> StoreEra {
        match self.lost_until.is_some_and(|until| now < until) {
            true => self.recorded_era,
            false => KvRevision(self.fence.0).era(),
        }
    }

    /// Whether the record says anew how long ago weights were named, while engines serve replaced ones.
    pub fn is_record_old(&self, now: Instant) -> bool {
        now - self.recorded >= RECORD_EVERY
    }

    /// Takes note that orders to an engine are over for now, and when the last one had ended, if any went out.
    pub fn ended(&mut self, target: &TargetId, last: Option<Instant>) {
        if let Some(own) = self.own.get_mut(target) {
            own.underway = false;
            own.last = own.last.max(last);
        }
    }

    /// Takes note of a renewal that was asked for at `asked` of [`Awake::now`].
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
    /// Least time between two holders' orders to one engine.
    pub apart: Duration,
    /// How long a box that is not the holder waits for news of the key. Each wait costs a call, and one more to look at the key
    /// after a wait without news.
    pub hold: Duration,
    /// Time asleep: a lease that ran out meanwhile allows nothing.
    pub awake: Awake,
    /// Log.
    pub log: Logger,
}

impl<P: Platform> Duty<P> {
    /// Waits until nobody holds the duty and takes it.
    pub async fn take(&self) -> Result<Tenure, PlatformError> {
        let (held, at) = self.look().await?;
        if held {
            self.wait_until_free(at).await?;
        }
        let asked = self.awake.now();
        let lease = self.platform.grant_lease(LEASE).await?;
        let absent = KvRevision::ABSENT;
        let put = self
            .platform
            .put(DUTY_KEY, self.me.as_str(), absent, Some(lease));
        let revision = put.await?;
        let (ordered, record) = self.take_record().await?;
        let now = Instant::now();
        let named = ordered.named.clone();
        let recorded_era = ordered.era;
        let is_lost = recorded_era != revision.era();
        let lost_until = is_lost.then(|| now + self.left_alone());
        let near = |age: Duration| self.left_alone().checked_sub(age);
        let others = ordered
            .entries()
            .filter_map(|(target, age)| Some((target, now + near(age)?)))
            .collect();
        let mut tenure = Tenure {
            lease,
            fence: Fence(revision.0),
            orders_until: asked,
            others,
            own: HashMap::new(),
            lost_until,
            recorded_era,
            named,
            record,
            recorded: now,
        };
        tenure.renewed(asked);
        event!(self.log, events::LEADERSHIP_ACQUIRED, "fence" => revision.0,
            "ordered_by_others" => tenure.others.len(), "record_lost" => is_lost);
        Ok(tenure)
    }

    /// Reads which engines the holder before ordered, and writes the record anew: a holder that was
    /// paused then fails to record, and so to order, any further engine.
    async fn take_record(&self) -> Result<(Ordered, KvRevision), PlatformError> {
        let entry = self.platform.get(ORDERED_KEY).await?;
        let expect = entry
            .as_ref()
            .map_or(KvRevision::ABSENT, |entry| entry.revision);
        let text = entry.and_then(|entry| entry.value).unwrap_or_default();
        let ordered: Ordered = match serde_json::from_str(&text) {
            Ok(ordered) => ordered,
            Err(_) if text.is_empty() => Ordered::default(),
            Err(e) => {
                event!(self.log, events::VALUE_UNREADABLE, "key" => ORDERED_KEY, "why" => e.to_string());
                Ordered::default()
            }
        };
        let record = self.write_record(&ordered, expect).await?;
        Ok((ordered, record))
    }

    /// How long after an order other holders leave the engine alone.
    fn left_alone(&self) -> Duration {
        self.apart + TAKEOVER_MARGIN
    }

    async fn write_record(
        &self,
        ordered: &Ordered,
        expect: KvRevision,
    ) -> Result<KvRevision, PlatformError> {
        let text = serde_json::to_string(ordered).unwrap_or_default();
        self.platform.put(ORDERED_KEY, &text, expect, None).await
    }

    /// Records engines that are about to be ordered. Without the record nothing may be ordered.
    pub async fn record(
        &self,
        tenure: &mut Tenure,
        targets: &[TargetId],
    ) -> Result<(), PlatformError> {
        for target in targets {
            tenure.own.entry(target.clone()).or_default().underway = true;
        }
        let now = Instant::now();
        let ordered = self.ordered_of_late(tenure, now);
        tenure.record = self.write_record(&ordered, tenure.record).await?;
        tenure.recorded = now;
        Ok(())
    }

    /// Engines whose last order, of whichever holder, is not long over; others are forgotten.
    fn ordered_of_late(&self, tenure: &mut Tenure, now: Instant) -> Ordered {
        let left_alone = self.left_alone();
        let near = |age: Duration| age < left_alone;
        tenure.own.retain(|_, own| own.age(now).is_some_and(near));
        tenure.others.retain(|_, until| now < *until);
        let mut ordered = Ordered {
            named: tenure.named.clone(),
            era: tenure.era(now),
            ..Ordered::default()
        };
        for (target, own) in &tenure.own {
            ordered.push(target.clone(), own.age(now).unwrap_or_default());
        }
        for (target, until) in &tenure.others {
            if !tenure.own.contains_key(target) {
                ordered.push(target.clone(), left_alone.saturating_sub(*until - now));
            }
        }
        ordered
    }

    /// Whether somebody holds the duty, and the revision from which a watch goes on. The key's own revision would not
    /// do: the store forgets its history after a while.
    async fn look(&self) -> Result<(bool, KvRevision), PlatformError> {
        let snapshot = self.platform.snapshot(DUTY_KEY).await?;
        let held = snapshot.entries.iter().any(|entry| entry.key == DUTY_KEY);
        Ok((held, snapshot.revision))
    }

    async fn wait_until_free(&self, since: KvRevision) -> Result<(), PlatformError> {
        let mut after = since;
        loop {
            let reply = self.platform.watch(DUTY_KEY, after, self.hold).await?;
            let of_key = |key: &str| key == DUTY_KEY;
            let last = reply.changed.iter().rfind(|entry| of_key(&entry.key));
            after = reply.revision;
            match last {
                Some(entry) if entry.value.is_none() => return Ok(()),
                Some(_) => {}
                // A watch may have been cut: look again.
                None => {
                    let (held, at) = self.look().await?;
                    if !held {
                        return Ok(());
                    }
                    after = at;
                }
            }
        }
    }

    /// Renews the lease; `false` if the duty is lost.
    pub async fn renew(&self, tenure: &mut Tenure) -> bool {
        let asked = self.awake.now();
        match self.platform.renew_lease(tenure.lease).await {
            Ok(()) => {
                tenure.renewed(asked);
                true
            }
            Err(e) if e.fault == PlatformFault::LeaseLapsed => {
                event!(self.log, events::LEADERSHIP_LOST, "fence" => tenure.fence.0, "why" => "lease lapsed");
                false
            }
            Err(e) => {
                let over = tenure.orders_until + QUIET_END < self.awake.now();
                if over {
                    event!(self.log, events::LEADERSHIP_LOST,
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
            event!(self.log, events::LEADERSHIP_LOST, "fence" => tenure.fence.0, "why" => e.to_string());
        }
    }
}
