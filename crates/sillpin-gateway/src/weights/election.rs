//! Election of the leader, the one box that orders engines.

use crate::fleet_state::desired::DesiredVersionAge;
use crate::suspend_clock::SuspendClock;
use serde::{Deserialize, Serialize};
use sillpin_core::{BoxId, Fence, TargetId, bounds};
use sillpin_platform::{KvRevision, LeaseId, Platform, PlatformError, PlatformFault, StoreEra};
use sillpin_telemetry::{event, events};
use slog::Logger;
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;

/// Key whose value is the leader's id.
pub const LEADER_KEY: &str = "sillpin/weights-holder";

/// Key of the record of engines that leaders ordered recently.
pub const ORDERED_KEY: &str = "sillpin/weights-ordered";

/// Time to live of the leader's lease. Short, since the failure of a leader delays a change of weights by
/// this long; three renewals fit in, each at a tenth of a call's cost.
const LEASE_TTL: Duration = Duration::from_millis(1_400);

/// Time between two renewals.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(400);

/// Last part of a lease in which no order is sent: an order may be in flight for this long.
const ORDER_CUTOFF: Duration = Duration::from_millis(500);

/// Time between two records while engines serve replaced weights. After the loss of all boxes the restored times of requests for
/// weights are too late by up to this and by the time without a leader; boxes stop sending to replaced weights 2.5 s before the
/// deadline. Each record is a call.
const RECORD_INTERVAL: Duration = Duration::from_secs(1);

/// Added to the wait before ordering an engine that another leader ordered, for orders in flight.
const TAKEOVER_MARGIN: Duration = Duration::from_millis(300);

/// Leadership held by this box.
#[derive(Debug)]
pub struct Leadership {
    /// The lease.
    pub lease: LeaseId,
    /// Fencing token, larger than that of all earlier leaders.
    pub fence: Fence,
    /// Time of [`SuspendClock::now`] after which no order is sent, unless the lease is renewed.
    pub orders_until: Instant,
    /// Engines that earlier leaders ordered, and until when no order is sent to each.
    others_until: HashMap<TargetId, Instant>,
    /// Engines that this leader ordered or is about to order.
    own_orders: HashMap<TargetId, OwnOrders>,
    /// Time until which no engine is ordered, since the store lost the record of earlier orders.
    record_lost_until: Option<Instant>,
    /// Era of the store whose orders the record covers until `record_lost_until`.
    recorded_era: StoreEra,
    /// Ages of the operators' requests for weights, for the record; initially as the previous leader wrote them.
    pub version_ages: Vec<DesiredVersionAge>,
    /// Revision of the record of orders.
    record: KvRevision,
    /// When the record was last written.
    recorded: Instant,
}

/// State of this leader's own orders to an engine.
#[derive(Debug, Default)]
struct OwnOrders {
    /// Whether an order may be sent at any time.
    pending: bool,
    /// When the call of the last order returned.
    last_returned: Option<Instant>,
}

impl OwnOrders {
    /// Returns the age of the last order, if one was or may have been sent.
    fn age(&self, now: Instant) -> Option<Duration> {
        match self.pending {
            true => Some(Duration::ZERO),
            false => self.last_returned.map(|at| now - at),
        }
    }
}

/// Record of the engines that were ordered recently, written before each order.
#[derive(Debug, Default, Serialize, Deserialize)]
struct Ordered {
    targets: Vec<TargetId>,
    /// Age of the last order to each engine of `targets`, in the same order, in milliseconds when this was written. At least that
    /// much of the wait between two leaders' orders has passed. Empty if a box of an earlier version wrote the record.
    #[serde(default, deserialize_with = "bounds::de::all_millis")]
    ages_ms: Vec<u64>,
    /// Age of the operators' requests for weights when this was written. Boxes exchange these; the record survives the loss of all
    /// boxes.
    #[serde(default)]
    named: Vec<DesiredVersionAge>,
    /// Era of the store whose orders the record covers. A store of a later era has lost the newest records.
    #[serde(default)]
    era: StoreEra,
}

impl Ordered {
    fn push(&mut self, target: TargetId, age: Duration) {
        self.targets.push(target);
        // Rounded down, so that no order counts as older than it is.
        self.ages_ms.push(age.as_millis() as u64);
    }

    /// Returns each engine with the age of the last order to it.
    fn entries(self) -> impl Iterator<Item = (TargetId, Duration)> {
        let ages = self.ages_ms.into_iter().chain(std::iter::repeat(0));
        let ages = ages.map(Duration::from_millis);
        self.targets.into_iter().zip(ages)
    }
}

impl Leadership {
    /// Returns whether an order may be sent at `now`, a time read from [`SuspendClock::now`].
    pub fn may_order(&self, now: Instant) -> bool {
        now < self.orders_until
    }

    /// Returns whether an engine may be ordered now: no order of another leader to it can be recent.
    pub fn may_order_target(&self, target: &TargetId, now: Instant) -> bool {
        let is_over = |until: &Instant| now >= *until;
        self.record_lost_until.as_ref().is_none_or(is_over)
            && self.others_until.get(target).is_none_or(is_over)
    }

    /// Returns the era of the store whose orders are all recorded.
    fn era(&self, now: Instant) -> StoreEra {
        match self.record_lost_until.is_some_and(|until| now < until) {
            true => self.recorded_era,
            false => KvRevision(self.fence.0).era(),
        }
    }

    /// Returns whether the record is due to be written again while engines serve replaced weights.
    pub fn is_record_due(&self, now: Instant) -> bool {
        now - self.recorded >= RECORD_INTERVAL
    }

    /// Records that no further order to an engine is pending, and when the last one returned, if any was sent.
    pub fn orders_ended(&mut self, target: &TargetId, last_returned: Option<Instant>) {
        if let Some(own_orders) = self.own_orders.get_mut(target) {
            own_orders.pending = false;
            own_orders.last_returned = own_orders.last_returned.max(last_returned);
        }
    }

    /// Records a renewal that was requested at `requested_at`, a time read from [`SuspendClock::now`].
    pub fn lease_renewed(&mut self, requested_at: Instant) {
        self.orders_until = requested_at + LEASE_TTL - ORDER_CUTOFF;
    }
}

/// Acquires, renews and resigns leadership.
#[derive(Clone)]
pub struct Election<P> {
    /// The platform store.
    pub platform: P,
    /// This box.
    pub me: BoxId,
    /// Minimum time between two leaders' orders to one engine.
    pub min_order_gap: Duration,
    /// Maximum time of one watch of the key by a box that is not the leader. Each watch costs a call, and another one to read the
    /// key after a watch without changes.
    pub long_poll: Duration,
    /// Clock that includes suspended time, in which a lease may have expired.
    pub suspend_clock: SuspendClock,
    /// Logger.
    pub log: Logger,
}

impl<P: Platform> Election<P> {
    /// Waits until there is no leader, and becomes the leader.
    ///
    /// Fails if the store does not answer or another box was faster.
    pub async fn acquire(&self) -> Result<Leadership, PlatformError> {
        let (held, at) = self.read_leader().await?;
        if held {
            self.wait_until_free(at).await?;
        }
        let requested_at = self.suspend_clock.now();
        let lease = self.platform.grant_lease(LEASE_TTL).await?;
        let absent = KvRevision::ABSENT;
        let put = self
            .platform
            .put(LEADER_KEY, self.me.as_str(), absent, Some(lease));
        let revision = put.await?;
        let (ordered, record) = self.take_record().await?;
        let now = Instant::now();
        let version_ages = ordered.named.clone();
        let recorded_era = ordered.era;
        let record_lost = recorded_era != revision.era();
        let record_lost_until = record_lost.then(|| now + self.order_hold_off());
        let recent = |age: Duration| self.order_hold_off().checked_sub(age);
        let others_until = ordered
            .entries()
            .filter_map(|(target, age)| Some((target, now + recent(age)?)))
            .collect();
        let mut leadership = Leadership {
            lease,
            fence: Fence(revision.0),
            orders_until: requested_at,
            others_until,
            own_orders: HashMap::new(),
            record_lost_until,
            recorded_era,
            version_ages,
            record,
            recorded: now,
        };
        leadership.lease_renewed(requested_at);
        event!(self.log, events::LEADERSHIP_ACQUIRED, "fence" => revision.0,
            "ordered_by_others" => leadership.others_until.len(), "record_lost" => record_lost);
        Ok(leadership)
    }

    /// Reads which engines the previous leader ordered, and rewrites the record: a previous leader that was
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

    /// Returns the time after an order during which other leaders do not order the engine.
    fn order_hold_off(&self) -> Duration {
        self.min_order_gap + TAKEOVER_MARGIN
    }

    async fn write_record(
        &self,
        ordered: &Ordered,
        expect: KvRevision,
    ) -> Result<KvRevision, PlatformError> {
        let text = serde_json::to_string(ordered).unwrap_or_default();
        self.platform.put(ORDERED_KEY, &text, expect, None).await
    }

    /// Records engines that are about to be ordered. If this fails, none of them may be ordered.
    pub async fn record(
        &self,
        leadership: &mut Leadership,
        targets: &[TargetId],
    ) -> Result<(), PlatformError> {
        for target in targets {
            leadership
                .own_orders
                .entry(target.clone())
                .or_default()
                .pending = true;
        }
        let now = Instant::now();
        let ordered = self.recent_orders(leadership, now);
        leadership.record = self.write_record(&ordered, leadership.record).await?;
        leadership.recorded = now;
        Ok(())
    }

    /// Returns the engines whose last order by any leader is recent, and drops the others from `leadership`.
    fn recent_orders(&self, leadership: &mut Leadership, now: Instant) -> Ordered {
        let order_hold_off = self.order_hold_off();
        let recent = |age: Duration| age < order_hold_off;
        leadership
            .own_orders
            .retain(|_, own_orders| own_orders.age(now).is_some_and(recent));
        leadership.others_until.retain(|_, until| now < *until);
        let mut ordered = Ordered {
            named: leadership.version_ages.clone(),
            era: leadership.era(now),
            ..Ordered::default()
        };
        for (target, own_orders) in &leadership.own_orders {
            ordered.push(target.clone(), own_orders.age(now).unwrap_or_default());
        }
        for (target, until) in &leadership.others_until {
            if !leadership.own_orders.contains_key(target) {
                ordered.push(target.clone(), order_hold_off.saturating_sub(*until - now));
            }
        }
        ordered
    }

    /// Returns whether there is a leader, and the store's revision from which to watch. The key's own revision does not
    /// work for that, since the store discards old history.
    async fn read_leader(&self) -> Result<(bool, KvRevision), PlatformError> {
        let snapshot = self.platform.snapshot(LEADER_KEY).await?;
        let held = snapshot.entries.iter().any(|entry| entry.key == LEADER_KEY);
        Ok((held, snapshot.revision))
    }

    async fn wait_until_free(&self, since: KvRevision) -> Result<(), PlatformError> {
        let mut after = since;
        loop {
            let reply = self
                .platform
                .watch(LEADER_KEY, after, self.long_poll)
                .await?;
            let is_leader_key = |key: &str| key == LEADER_KEY;
            let latest = reply
                .changed
                .iter()
                .rfind(|entry| is_leader_key(&entry.key));
            after = reply.revision;
            match latest {
                Some(entry) if entry.value.is_none() => return Ok(()),
                Some(_) => {}
                // The watch may have been cut off: read the key again.
                None => {
                    let (held, at) = self.read_leader().await?;
                    if !held {
                        return Ok(());
                    }
                    after = at;
                }
            }
        }
    }

    /// Renews the lease. Returns `false` if leadership is lost.
    pub async fn renew(&self, leadership: &mut Leadership) -> bool {
        let requested_at = self.suspend_clock.now();
        match self.platform.renew_lease(leadership.lease).await {
            Ok(()) => {
                leadership.lease_renewed(requested_at);
                true
            }
            Err(e) if e.fault == PlatformFault::LeaseLapsed => {
                event!(self.log, events::LEADERSHIP_LOST, "fence" => leadership.fence.0, "why" => "lease expired");
                false
            }
            Err(e) => {
                let expired = leadership.orders_until + ORDER_CUTOFF < self.suspend_clock.now();
                if expired {
                    event!(self.log, events::LEADERSHIP_LOST,
                        "fence" => leadership.fence.0, "why" => e.to_string());
                }
                !expired
            }
        }
    }

    /// Resigns before the box stops.
    pub async fn resign(&self, leadership: &Leadership) {
        let revision = KvRevision(leadership.fence.0);
        if let Err(e) = self.platform.delete(LEADER_KEY, revision).await {
            // The lease expires by itself.
            event!(self.log, events::LEADERSHIP_LOST, "fence" => leadership.fence.0, "why" => e.to_string());
        }
    }
}
