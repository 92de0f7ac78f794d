//! Limits on what all boxes together send to one target.
//!
//! A fleet-wide limit that each box, or each attempt, applied on its own would be exceeded as soon
//! as there are several. So the limit is divided among the boxes of the target's zone without
//! communication: each takes its share by its rank among the boxes that it knows to be alive. Boxes
//! that still count others that have stopped take less, never more, so the shares add up to no more
//! than the limit while such views lag. For boxes that some do not know yet there is a reserve
//! (`RESERVE_FACTOR`), and a box that can't know which boxes are alive takes no share
//! (`UNKNOWN_SHARE_INTERVAL`).
//!
//! Boxes of other zones send nothing there: their knowledge of the zone's boxes is older, and if a
//! zone is partitioned each side would take the whole limit. Limits that are not strict are also
//! shared with the boxes of zones that have no target of the pool, whose callers no other box
//! serves.
//!
//! All attempts count: first ones, retries, and resumed streams.

use crate::cache_stores::homes::hash_pair;
use crate::control::TargetEntry;
use crate::fleet_state::BoxEntry;
use rand::RngExt;
use sillpin_core::{BoxId, TargetId, ZoneId};
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// A limit is capped at the load that the target can handle divided by this factor. Boxes that
/// start at the same moment may not all know each other yet, and a connection that opens slowly
/// moves a request into the next period.
const RESERVE_FACTOR: f64 = 2.0;

/// Added to the time in which requests are counted, for differences in the time to open
/// connections.
const CONNECT_ALLOWANCE: Duration = Duration::from_millis(50);

/// Time between requests to one limited target in its zone from a box that can't know which boxes
/// are alive, if no other target can take the request: if 100 boxes of a zone all restart, they
/// send it five requests a second, besides the shares of boxes that did not restart.
const UNKNOWN_SHARE_INTERVAL: Duration = Duration::from_secs(20);

/// Interval per other known box of the zone, which replaces [`UNKNOWN_SHARE_INTERVAL`] if their sum
/// is longer.
const UNKNOWN_SHARE_INTERVAL_PER_BOX: Duration = Duration::from_millis(200);

/// Time after its start in which a box takes no share: by then other boxes have read that it is
/// registered or received a message from it. They read the registrations 0.7 s after their own
/// start, and announce new boxes to each other immediately.
pub const MEMBERSHIP_DELAY: Duration = Duration::from_secs(3);

/// What a box knows about the boxes that share a limit with it.
#[derive(Debug, Clone, Copy)]
pub struct ShareGroup<'a> {
    /// Id of this box.
    pub me: &'a BoxId,
    /// Zone of this box.
    pub zone: &'a ZoneId,
    /// All other boxes that are known to be alive.
    pub others: &'a Arc<Vec<BoxEntry>>,
    /// Whether this box has run long enough for it and the others to know each other, and has read
    /// the registrations.
    pub is_membership_known: bool,
    /// Whether this box is about to stop: the others take over its share as soon as they know,
    /// while callers continue for seconds on connections that are open here.
    pub is_stopping: bool,
    /// Whether this box is in contact with the platform store, from which it reads which boxes
    /// start and stop.
    pub is_in_contact: bool,
    /// Zones that have targets of the pool.
    pub pool_zones: &'a [ZoneId],
}

impl ShareGroup<'_> {
    /// Returns whether this box takes its share of every limit.
    pub fn knows_share(&self) -> bool {
        self.is_membership_known && self.is_in_contact && !self.is_stopping
    }
}

/// Limit on what all boxes together may send to one target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SharedLimit {
    /// Number of requests in each period.
    pub total: u32,
    /// Length of the period.
    pub period: Duration,
    /// Whether only boxes of the target's zone take a share, and only while they are in contact
    /// with the platform store. Otherwise a box out of contact continues with the boxes that it knew,
    /// and boxes of zones without a target of the pool take a share as well.
    pub strict: bool,
}

impl SharedLimit {
    /// Returns how many of `requested` requests in a period boxes may divide among each other, if the
    /// target can handle `capacity`.
    pub fn total_of(requested: f64, capacity: f64) -> u32 {
        requested.min(capacity / RESERVE_FACTOR) as u32
    }
}

/// How a choice treats limited targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// They get this box's share.
    OwnShare,
    /// No other target can take the request, and this box does not know its share.
    UnknownShare,
}

/// This box's rank among the boxes that share a limit of a target.
#[derive(Debug, Clone, Copy)]
struct ShareRank {
    ahead: u32,
    boxes: u32,
}

impl ShareRank {
    /// Returns this box's share of `total` requests, which are dealt out one by one by rank.
    fn share(self, total: u32) -> u32 {
        total.saturating_sub(self.ahead).div_ceil(self.boxes.max(1))
    }
}

/// Pacing of requests to a limited target at which this box does not know its share.
#[derive(Debug, Clone, Copy)]
struct PacedSending {
    interval: Duration,
    /// When the next request may be sent.
    from: Instant,
}

/// Recent requests of this box to each target, and its rank for the limits of the target.
#[derive(Debug, Default)]
pub struct SharedLimits {
    sent: HashMap<TargetId, VecDeque<Instant>>,
    /// Rank of this box at targets, for strict limits and others. Valid for `others`, and while the
    /// pool has targets in the zones that are stored with the rank.
    ranks: HashMap<(TargetId, bool), (ShareRank, Vec<ZoneId>)>,
    others: Arc<Vec<BoxEntry>>,
    paced: HashMap<TargetId, PacedSending>,
    /// Longest time for which requests are counted.
    max_period: Duration,
}

impl SharedLimits {
    /// Creates the state for limits whose longest period is `max_period`.
    pub fn new(max_period: Duration) -> Self {
        Self {
            max_period: max_period + CONNECT_ALLOWANCE,
            ..Self::default()
        }
    }

    /// Removes targets that are not listed, and requests that no longer count.
    pub fn retain_listed(&mut self, is_listed: impl Fn(&TargetId) -> bool, now: Instant) {
        self.ranks.retain(|(id, _), _| is_listed(id));
        self.paced.retain(|id, _| is_listed(id));
        let max_period = self.max_period;
        self.sent
            .retain(|_, sent| sent.back().is_some_and(|at| now - *at < max_period));
    }

    /// Records that a request is sent to a target.
    pub fn record_sent(&mut self, target: &TargetId, now: Instant) {
        let sent = self.sent.entry(target.clone()).or_default();
        while sent.front().is_some_and(|at| now - *at >= self.max_period) {
            sent.pop_front();
        }
        sent.push_back(now);
        if let Some(paced) = self.paced.get_mut(target) {
            paced.from = now + paced.interval;
        }
    }

    /// Returns whether this box may send one more request to a limited target now.
    pub fn admits(
        &mut self,
        group: &ShareGroup<'_>,
        target: &TargetEntry,
        limit: SharedLimit,
        admission: Admission,
        now: Instant,
    ) -> bool {
        let Some(share) = self.share(group, target, limit) else {
            // Callers of a box that stops can use another one; callers of a box out of contact may
            // not be able to.
            let may = admission == Admission::UnknownShare && !group.is_stopping;
            let is_near = *group.zone == target.zone;
            return may && is_near && now >= self.paced_from(group, &target.id, now);
        };
        self.sent_within(&target.id, limit.period + CONNECT_ALLOWANCE, now) < share
    }

    /// Returns when this box may send one more request to a limited target; `None` if it has no
    /// share.
    pub fn free_at(
        &mut self,
        group: &ShareGroup<'_>,
        target: &TargetEntry,
        limit: SharedLimit,
        now: Instant,
    ) -> Option<Instant> {
        let share = self
            .share(group, target, limit)
            .filter(|share| *share > 0)?;
        let sent = self.sent.get(&target.id).into_iter().flatten();
        // The box is below its share once all but the last `share - 1` requests have expired.
        let blocking_send = sent.rev().nth(share as usize - 1);
        Some(blocking_send.map_or(now, |at| *at + limit.period + CONNECT_ALLOWANCE))
    }

    /// Returns this box's share of a limit in each period; `None` if it can't know it or is
    /// stopping.
    fn share(
        &mut self,
        group: &ShareGroup<'_>,
        target: &TargetEntry,
        limit: SharedLimit,
    ) -> Option<u32> {
        let is_informed = group.is_in_contact || !limit.strict;
        let takes_share = group.is_membership_known && !group.is_stopping && is_informed;
        takes_share.then(|| self.rank(group, target, limit.strict).share(limit.total))
    }

    fn sent_within(&self, target: &TargetId, time: Duration, now: Instant) -> u32 {
        let sent = self.sent.get(target).into_iter().flatten();
        let newest = sent.rev().take_while(|at| now - **at < time);
        newest.count() as u32
    }

    /// Returns when this box may send to a limited target without knowing its share. The first time
    /// is random, since boxes that start together would otherwise send together.
    fn paced_from(&mut self, group: &ShareGroup<'_>, target: &TargetId, now: Instant) -> Instant {
        let first = || {
            let others = group.others.iter();
            let near = others.filter(|other| other.zone == *group.zone);
            let interval =
                UNKNOWN_SHARE_INTERVAL.max(UNKNOWN_SHARE_INTERVAL_PER_BOX * near.count() as u32);
            let from = now + interval.mul_f64(rand::rng().random());
            PacedSending { interval, from }
        };
        self.paced.entry(target.clone()).or_insert_with(first).from
    }

    /// Returns this box's rank among those that share a limit of a target, cached.
    fn rank(&mut self, group: &ShareGroup<'_>, target: &TargetEntry, strict: bool) -> ShareRank {
        if !Arc::ptr_eq(&self.others, group.others) {
            self.others = group.others.clone();
            self.ranks.clear();
        }
        let key = (target.id.clone(), strict);
        let cached = self.ranks.get(&key);
        if let Some((share_rank, _)) = cached.filter(|(_, zones)| zones == group.pool_zones) {
            return *share_rank;
        }
        let share_rank = share_rank(group, target, strict);
        self.ranks
            .insert(key, (share_rank, group.pool_zones.to_vec()));
        share_rank
    }
}

/// The rank of a box that gets no share.
const NO_SHARE: ShareRank = ShareRank {
    ahead: u32::MAX,
    boxes: 1,
};

/// Computes a box's rank among those that share a limit of a target. If the target's zone has no
/// box, the boxes of all zones share it.
fn share_rank(group: &ShareGroup<'_>, target: &TargetEntry, strict: bool) -> ShareRank {
    let has_no_targets = |zone: &ZoneId| !strict && !group.pool_zones.contains(zone);
    let shares = |zone: &ZoneId| *zone == target.zone || has_no_targets(zone);
    let is_near = |zone: &ZoneId| *zone == target.zone;
    let others = group.others.iter();
    let zone_has_box = is_near(group.zone) || others.clone().any(|other| is_near(&other.zone));
    if zone_has_box && !shares(group.zone) {
        return NO_SHARE;
    }
    let sharing = others.filter(|other| !zone_has_box || shares(&other.zone));
    let order = |id: &BoxId| (hash_pair(id.as_str(), target.id.as_str()), id.clone());
    let own = order(group.me);
    let mut share_rank = ShareRank { ahead: 0, boxes: 1 };
    for other in sharing {
        share_rank.boxes += 1;
        share_rank.ahead += u32::from(order(&other.id) > own);
    }
    share_rank
}
