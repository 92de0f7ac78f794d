//! Limits on what all boxes together send to one target.
//!
//! A limit of the fleet that each box, or each try, keeps by itself is exceeded as soon as there are several of them. So it is divided among the boxes of the
//! target's zone, without a word between them: each takes its part by its rank among those that it knows to live. Boxes that still count some that
//! have ended give themselves less, never more, so views that lag behind ends add up to no more than the limit; for boxes that some do not know yet
//! there is a reserve ([`RESERVE`]), and a box that cannot know who lives takes no part ([`UNSURE_EVERY`]).
//!
//! Boxes of other zones send nothing there: what they know of the zone's boxes is older, and while a zone is cut off each side would take the whole
//! limit for its own. Limits that are not strict are shared with the boxes of zones that have no such target, whose callers nobody else serves.
//!
//! Whatever is sent counts: first and second sendings, and streams that are resumed.

use crate::beliefs::BoxEntry;
use crate::cache_stores::homes::hash_pair;
use crate::control::TargetEntry;
use rand::RngExt;
use sillpin_core::{BoxId, TargetId, ZoneId};
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// What is borne beyond a limit is divided as if it were smaller by this factor. Boxes that start in the same moment may know each other up to one
/// after the other, and a connection that is slow to open brings a request into the next period.
const RESERVE: f64 = 2.0;

/// Added to the time in which sendings are counted, for connections that open at different speeds.
const OPENING: Duration = Duration::from_millis(50);

/// A box that cannot know who else lives sends to one limited target of its zone this seldom, and only if no other one can take the request: 100 boxes of a
/// zone that all started anew send it five requests a second, beside the parts of those that did not.
const UNSURE_EVERY: Duration = Duration::from_secs(20);

/// And as much less often as it knows of more boxes in its zone.
const UNSURE_EVERY_BOX: Duration = Duration::from_millis(200);

/// After its start a box takes no part for so long: by then the others have read that it is registered, or heard it. They read who is registered
/// 0.7 s after their own start, and tell each other of newcomers at once.
pub const KNOWS_AFTER: Duration = Duration::from_secs(3);

/// What a box knows of those that share a limit with it.
#[derive(Debug, Clone, Copy)]
pub struct Sharers<'a> {
    /// This box.
    pub me: &'a BoxId,
    /// Its zone.
    pub zone: &'a ZoneId,
    /// All others that live, as far as is known.
    pub others: &'a Arc<Vec<BoxEntry>>,
    /// Whether this box has run long enough to know the others and to be known by them, and has read who is registered.
    pub is_settled: bool,
    /// Whether this box is about to end: the others take over its part as soon as they hear of it, while callers go on for seconds on what they have open
    /// here.
    pub is_stopping: bool,
    /// Whether it is in touch with the platform's store, so that it hears who starts and ends.
    pub is_in_touch: bool,
    /// Zones that have targets of the pool.
    pub pool_zones: &'a [ZoneId],
}

impl Sharers<'_> {
    /// Whether this box takes its part of every limit.
    pub fn is_sure(&self) -> bool {
        self.is_settled && self.is_in_touch && !self.is_stopping
    }
}

/// What all boxes together may send to one target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SharedLimit {
    /// Requests in each period.
    pub whole: u32,
    /// The period.
    pub period: Duration,
    /// Whether only boxes of the target's zone take part, and only while they hear who starts and ends. Otherwise a box that is out of touch goes on
    /// with the others that it knew, and boxes of zones without a target of the pool take part as well.
    pub strict: bool,
}

impl SharedLimit {
    /// Of `wanted` requests in a period of which a target bears `borne`, as many as boxes may divide among each other.
    pub fn whole_of(wanted: f64, borne: f64) -> u32 {
        wanted.min(borne / RESERVE) as u32
    }
}

/// How a choice treats limited targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// They get this box's part.
    Part,
    /// No other target can take the request, and this box does not know its part.
    Unsure,
}

/// This box's place among those that share the limits of a target.
#[derive(Debug, Clone, Copy)]
struct Place {
    ahead: u32,
    boxes: u32,
}

impl Place {
    /// The part of `whole` requests: boxes take one by one in the order of their ranks, until all are taken.
    fn part(self, whole: u32) -> u32 {
        whole.saturating_sub(self.ahead).div_ceil(self.boxes.max(1))
    }
}

/// What this box sends to a limited target without knowing its part.
#[derive(Debug, Clone, Copy)]
struct Seldom {
    every: Duration,
    /// When it may send the next request.
    from: Instant,
}

/// What this box has sent to targets of late, and its part of what they may get.
#[derive(Debug, Default)]
pub struct SharedLimits {
    sent: HashMap<TargetId, VecDeque<Instant>>,
    /// This box's place at targets, for strict limits and others, among `others` and while the pools have targets in the zones that stand beside it.
    places: HashMap<(TargetId, bool), (Place, Vec<ZoneId>)>,
    others: Arc<Vec<BoxEntry>>,
    seldom: HashMap<TargetId, Seldom>,
    /// The longest time in which sendings are counted.
    longest: Duration,
}

impl SharedLimits {
    /// Sendings are remembered for `longest`, the longest period of any limit.
    pub fn new(longest: Duration) -> Self {
        Self {
            longest: longest + OPENING,
            ..Self::default()
        }
    }

    /// Forgets targets that are not listed, and sendings that do not count any more.
    pub fn follow(&mut self, is_listed: impl Fn(&TargetId) -> bool, now: Instant) {
        self.places.retain(|(id, _), _| is_listed(id));
        self.seldom.retain(|id, _| is_listed(id));
        let longest = self.longest;
        self.sent
            .retain(|_, sent| sent.back().is_some_and(|at| now - *at < longest));
    }

    /// Takes note that a request goes to a target.
    pub fn note_sent(&mut self, target: &TargetId, now: Instant) {
        let sent = self.sent.entry(target.clone()).or_default();
        while sent.front().is_some_and(|at| now - *at >= self.longest) {
            sent.pop_front();
        }
        sent.push_back(now);
        if let Some(seldom) = self.seldom.get_mut(target) {
            seldom.from = now + seldom.every;
        }
    }

    /// Whether this box may send one more request to a target with a limit now.
    pub fn admits(
        &mut self,
        sharers: &Sharers<'_>,
        target: &TargetEntry,
        limit: SharedLimit,
        how: Admission,
        now: Instant,
    ) -> bool {
        let Some(part) = self.part(sharers, target, limit) else {
            // Callers of a box that stops find another one; those of one that cannot know may not.
            let may = how == Admission::Unsure && !sharers.is_stopping;
            let is_near = *sharers.zone == target.zone;
            return may && is_near && now >= self.seldom_from(sharers, &target.id, now);
        };
        self.sent_within(&target.id, limit.period + OPENING, now) < part
    }

    /// When this box may send one more request to a target with a limit, unless others send it all that it may get.
    pub fn free_at(
        &mut self,
        sharers: &Sharers<'_>,
        target: &TargetEntry,
        limit: SharedLimit,
        now: Instant,
    ) -> Option<Instant> {
        let part = self.part(sharers, target, limit).filter(|part| *part > 0)?;
        let sent = self.sent.get(&target.id).into_iter().flatten();
        // Once the last but `part` is forgotten, there is room.
        let blocking = sent.rev().nth(part as usize - 1);
        Some(blocking.map_or(now, |at| *at + limit.period + OPENING))
    }

    /// This box's part of a limit in each period; `None`: it cannot know, or takes none any more.
    fn part(
        &mut self,
        sharers: &Sharers<'_>,
        target: &TargetEntry,
        limit: SharedLimit,
    ) -> Option<u32> {
        let hears = sharers.is_in_touch || !limit.strict;
        let takes_part = sharers.is_settled && !sharers.is_stopping && hears;
        takes_part.then(|| self.place(sharers, target, limit.strict).part(limit.whole))
    }

    fn sent_within(&self, target: &TargetId, time: Duration, now: Instant) -> u32 {
        let sent = self.sent.get(target).into_iter().flatten();
        let newest = sent.rev().take_while(|at| now - **at < time);
        newest.count() as u32
    }

    /// When this box may send to a limited target without knowing its part. The first time is drawn, since all that start at once would else send at
    /// once.
    fn seldom_from(&mut self, sharers: &Sharers<'_>, target: &TargetId, now: Instant) -> Instant {
        let first = || {
            let others = sharers.others.iter();
            let near = others.filter(|other| other.zone == *sharers.zone);
            let every = UNSURE_EVERY.max(UNSURE_EVERY_BOX * near.count() as u32);
            let from = now + every.mul_f64(rand::rng().random());
            Seldom { every, from }
        };
        self.seldom.entry(target.clone()).or_insert_with(first).from
    }

    /// This box's place among those that share a limit of a target.
    fn place(&mut self, sharers: &Sharers<'_>, target: &TargetEntry, strict: bool) -> Place {
        if !Arc::ptr_eq(&self.others, sharers.others) {
            self.others = sharers.others.clone();
            self.places.clear();
        }
        let key = (target.id.clone(), strict);
        let known = self.places.get(&key);
        if let Some((place, _)) = known.filter(|(_, zones)| zones == sharers.pool_zones) {
            return *place;
        }
        let place = place(sharers, target, strict);
        self.places
            .insert(key, (place, sharers.pool_zones.to_vec()));
        place
    }
}

/// The place of a box that takes no part.
const NO_PLACE: Place = Place {
    ahead: u32::MAX,
    boxes: 1,
};

/// A box's place among those that share a limit of a target, by rank. If the target's zone has no box, those of all zones share.
fn place(sharers: &Sharers<'_>, target: &TargetEntry, strict: bool) -> Place {
    let is_left_alone = |zone: &ZoneId| !strict && !sharers.pool_zones.contains(zone);
    let shares = |zone: &ZoneId| *zone == target.zone || is_left_alone(zone);
    let is_near = |zone: &ZoneId| *zone == target.zone;
    let others = sharers.others.iter();
    let zone_has_box = is_near(sharers.zone) || others.clone().any(|other| is_near(&other.zone));
    if zone_has_box && !shares(sharers.zone) {
        return NO_PLACE;
    }
    let sharing = others.filter(|other| !zone_has_box || shares(&other.zone));
    let rank = |id: &BoxId| (hash_pair(id.as_str(), target.id.as_str()), id.clone());
    let own = rank(sharers.me);
    let mut place = Place { ahead: 0, boxes: 1 };
    for other in sharing {
        place.boxes += 1;
        place.ahead += u32::from(rank(&other.id) > own);
    }
    place
}
