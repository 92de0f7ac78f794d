//! Slow start of cold targets: what all boxes together send to one that has just started.
//!
//! A cold target bears a few requests a second and falls over well above that, and looks free to every box just then. The
//! limit holds for the fleet, so it is divided among boxes of the target's zone, without a word between them: each
//! takes its part by its rank among those that it knows to live. Boxes that still count some that have ended
//! give themselves less, never more, so views that lag behind ends add up to no more than the limit; for boxes that some
//! do not know yet there is a reserve ([`RESERVE`]), and a box that cannot know who lives takes no part ([`LONE_EVERY`]).
//!
//! Boxes of other zones send nothing there: what they know of the zone's boxes is older, and while a zone is cut off
//! each side would take the whole limit for its own.

use crate::beliefs::BoxEntry;
use crate::config::WarmUp;
use crate::control::TargetEntry;
use crate::kept::homes::hash_pair;
use crate::settings::WarmUpRules;
use rand::RngExt;
use sillpin_core::{BoxId, TargetId, ZoneId};
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Time in which the sendings of a box to one cold target are counted: the second of the limit, and a margin for connections that open at
/// different speeds.
const WINDOW: Duration = Duration::from_millis(1_050);

/// The limit is divided as if it were smaller by this factor. Boxes that start in the same moment may know each other up to one after the other, and
/// a connection that is slow to open brings a request into the next second.
const RESERVE: f64 = 2.0;

/// A box that cannot know who else lives sends to one cold target of its zone this seldom, and only if no warm one can take the request: 100 boxes of a
/// zone that all started anew send it five requests a second, beside the parts of those that did not.
const LONE_EVERY: Duration = Duration::from_secs(20);

/// And as much less often as it knows of more boxes in its zone.
const LONE_EVERY_BOX: Duration = Duration::from_millis(200);

/// After its start a box takes no part for so long: by then the others have read that it is registered, or heard it. They read who is registered
/// 0.7 s after their own start, and tell each other of newcomers at once.
pub const KNOWS_AFTER: Duration = Duration::from_secs(3);

/// What a box knows of those that share a limit with it.
#[derive(Debug, Clone, Copy)]
pub struct Crew<'a> {
    /// This box.
    pub me: &'a BoxId,
    /// Its zone.
    pub zone: &'a ZoneId,
    /// All others that live, as far as is known.
    pub others: &'a Arc<Vec<BoxEntry>>,
    /// Whether this box can know them: it has run for a while, has read who is registered and is in touch.
    pub is_known: bool,
}

/// What one decision needs to know of cold targets.
#[derive(Debug, Clone, Copy)]
pub struct Gate<'a> {
    /// Until when targets are cold, as they say or operators let expect.
    pub cold: &'a HashMap<TargetId, Instant>,
    /// What a cold target of the pool bears.
    pub warm_up: WarmUp,
    /// What is allowed beyond that.
    pub rules: WarmUpRules,
    /// Who shares the limit.
    pub crew: Crew<'a>,
}

impl Gate<'_> {
    /// Requests a second that the fleet's boxes divide among each other.
    fn divided(&self) -> u32 {
        let borne = self.warm_up.per_s;
        let limit = borne * self.rules.overage + self.rules.slack;
        borne.min(limit / RESERVE) as u32
    }
}

/// How a choice treats cold targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ColdUse {
    /// They get this box's part.
    Part,
    /// No warm target can take the request, and this box does not know its part.
    Lone,
}

/// What this box has sent to cold targets of late.
#[derive(Debug, Default)]
pub struct SlowStart {
    sent: HashMap<TargetId, VecDeque<Instant>>,
    /// Targets that could not be reached, and since when they can be again.
    returned: HashMap<TargetId, Instant>,
    /// This box's part at targets, for the boxes in `crew`.
    parts: HashMap<TargetId, u32>,
    crew: Arc<Vec<BoxEntry>>,
    lone: HashMap<TargetId, Lone>,
}

/// What this box sends to a cold target without knowing its part.
#[derive(Debug, Clone, Copy)]
struct Lone {
    every: Duration,
    /// When it may send the next request.
    from: Instant,
}

impl SlowStart {
    /// A target can be reached again: it may have started anew, which its entry tells later.
    pub fn returned(&mut self, target: &TargetId, now: Instant) {
        self.returned.insert(target.clone(), now);
    }

    /// Forgets targets that are not listed, and sendings that do not count any more.
    pub fn follow(&mut self, is_listed: impl Fn(&TargetId) -> bool, now: Instant) {
        self.returned.retain(|id, _| is_listed(id));
        self.parts.retain(|id, _| is_listed(id));
        self.lone.retain(|id, _| is_listed(id));
        self.sent
            .retain(|_, sent| sent.back().is_some_and(|at| now - *at < WINDOW));
    }

    /// Whether a target is cold, or may be.
    pub fn is_cold(&self, gate: &Gate<'_>, target: &TargetId, now: Instant) -> bool {
        let told = gate.cold.get(target).is_some_and(|until| now < *until);
        let returned = self.returned.get(target);
        told || returned.is_some_and(|at| now < *at + gate.warm_up.time)
    }

    /// Whether this box may send one more request to a target now.
    pub fn admits(
        &mut self,
        gate: &Gate<'_>,
        target: &TargetEntry,
        how: ColdUse,
        now: Instant,
    ) -> bool {
        if !self.is_cold(gate, &target.id, now) {
            return true;
        }
        if !gate.crew.is_known {
            let may = how == ColdUse::Lone && *gate.crew.zone == target.zone;
            return may && now >= self.lone_from(&gate.crew, &target.id, now);
        }
        let part = self.part(gate, target);
        (self.sent_of_late(&target.id, now) as u32) < part
    }

    /// Takes note that a request goes to a target.
    pub fn note_sent(&mut self, target: &TargetId, now: Instant) {
        self.sent_of_late(target, now);
        self.sent.entry(target.clone()).or_default().push_back(now);
        if let Some(lone) = self.lone.get_mut(target) {
            lone.from = now + lone.every;
        }
    }

    fn sent_of_late(&mut self, target: &TargetId, now: Instant) -> usize {
        let Some(sent) = self.sent.get_mut(target) else {
            return 0;
        };
        while sent.front().is_some_and(|at| now - *at >= WINDOW) {
            sent.pop_front();
        }
        sent.len()
    }

    /// When this box may send to a cold target without knowing its part. The first time is drawn, since all that start at once would else send at once.
    fn lone_from(&mut self, crew: &Crew<'_>, target: &TargetId, now: Instant) -> Instant {
        let first = || {
            let near = crew.others.iter().filter(|other| other.zone == *crew.zone);
            let every = LONE_EVERY.max(LONE_EVERY_BOX * near.count() as u32);
            let from = now + every.mul_f64(rand::rng().random());
            Lone { every, from }
        };
        self.lone.entry(target.clone()).or_insert_with(first).from
    }

    /// Requests that this box may send to a cold target in each second.
    fn part(&mut self, gate: &Gate<'_>, target: &TargetEntry) -> u32 {
        if !Arc::ptr_eq(&self.crew, gate.crew.others) {
            self.crew = gate.crew.others.clone();
            self.parts.clear();
        }
        let known = self.parts.get(&target.id).copied();
        known.unwrap_or_else(|| {
            let part = part(&gate.crew, target, gate.divided());
            self.parts.insert(target.id.clone(), part);
            part
        })
    }
}

/// The part of this box of `whole` requests at a target: boxes of the target's zone take one by one in the order of their ranks, until all are taken. If the
/// zone has no box, those of all zones do.
fn part(crew: &Crew<'_>, target: &TargetEntry, whole: u32) -> u32 {
    let of_zone = |zone: &ZoneId| *zone == target.zone;
    let near = crew.others.iter().filter(|other| of_zone(&other.zone));
    let near: Vec<&BoxEntry> = near.collect();
    let sharing: Vec<&BoxEntry> = match (of_zone(crew.zone), near.is_empty()) {
        (false, false) => return 0,
        (false, true) => crew.others.iter().collect(),
        (true, _) => near,
    };
    let rank = |id: &BoxId| (hash_pair(id.as_str(), target.id.as_str()), id.clone());
    let own = rank(crew.me);
    let ahead = sharing.iter().filter(|other| rank(&other.id) > own).count() as u32;
    let boxes = sharing.len() as u32 + 1;
    whole.saturating_sub(ahead).div_ceil(boxes)
}
