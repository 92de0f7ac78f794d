//! Which box reads what.
//!
//! Every call of the platform's store is priced, and a store of kept KV cache serves few readers at once.
//! So one box of each zone reads each thing, by rendezvous hashing over the boxes of the zone, and the others
//! learn from it. A box whose knowledge grows old reads by itself, whoever's turn it is: nothing has to
//! be agreed when a reader dies or is cut off.

use crate::beliefs::{BoxEntry, View};
use crate::cache_stores::homes::{hash_pair, to_unit_interval};
use sillpin_core::BoxId;
use std::time::Duration;
use tokio::time::Instant;

/// In a fleet of more boxes, one box of a zone speaks to other zones, since bytes between zones are priced, and the
/// registry is read less often. Today's fleets have 7 and 9 boxes, the grown ones 59 and 91.
pub const SMALL_FLEET: usize = 16;

/// Readers of one thing in a zone.
const READERS: usize = 1;

/// Knowledge older than this is too old to wait for the reader: a reader's own is up to 1.3 s old, and its
/// word takes one round more.
const OLD: Duration = Duration::from_millis(1_500);

/// Boxes lose patience one after the other, so that the first one's reading serves the rest.
const SPREAD: Duration = Duration::from_millis(500);

/// Whether this box is to read `thing` for its zone.
pub fn is_reader(view: &View, me: &BoxEntry, thing: &str) -> bool {
    is_among(view, me, thing, READERS, |_| true)
}

/// Whether this box is among the first `count` boxes of its zone, of those that are `alive`, to do `thing`.
pub fn is_among(
    view: &View,
    me: &BoxEntry,
    thing: &str,
    count: usize,
    alive: impl Fn(&BoxId) -> bool,
) -> bool {
    let rank = |id: &str| hash_pair(id, thing);
    let mine = rank(me.id.as_str());
    let zone = view.boxes.iter().filter(|peer| peer.zone == me.zone);
    let alive = zone.filter(|peer| alive(&peer.id));
    let before = alive.filter(|peer| rank(peer.id.as_str()) > mine).count();
    before < count
}

/// Whether this box is to read `thing` now, given which boxes live and when the thing was last known to be so.
pub fn should_read(
    view: &View,
    me: &BoxEntry,
    thing: &str,
    alive: impl Fn(&BoxId) -> bool,
    confirmed: Option<Instant>,
    now: Instant,
) -> bool {
    is_old(confirmed, patience(me, thing), now) || is_among(view, me, thing, READERS, alive)
}

/// How old a box lets its knowledge of `thing` grow before it reads by itself.
fn patience(me: &BoxEntry, thing: &str) -> Duration {
    OLD + SPREAD.mul_f64(to_unit_interval(hash_pair(me.id.as_str(), thing)))
}

fn is_old(confirmed: Option<Instant>, patience: Duration, now: Instant) -> bool {
    confirmed.is_none_or(|at| now.saturating_duration_since(at) > patience)
}

/// How often it is looked anew who reads: who reads changes when boxes come and go, and each look hashes a whole zone.
const LOOK_EVERY: Duration = Duration::from_secs(1);

/// Whether a box reads one thing, for boxes that ask often and of many things.
#[derive(Debug)]
pub struct Role {
    thing: String,
    patience: Duration,
    looked: Option<Instant>,
    is_reader: bool,
}

impl Role {
    /// The role of `me` for `thing`.
    pub fn new(me: &BoxEntry, thing: String) -> Self {
        Self {
            patience: patience(me, &thing),
            thing,
            looked: None,
            is_reader: false,
        }
    }

    /// Whether this box was the thing's reader when that was last looked at.
    pub fn is_reader(&self) -> bool {
        self.is_reader
    }

    /// Whether this box is to read now, given when the thing was last known to be so and which boxes live.
    pub fn should_read(
        &mut self,
        view: &View,
        me: &BoxEntry,
        alive: impl Fn(&BoxId) -> bool,
        confirmed: Option<Instant>,
        now: Instant,
    ) -> bool {
        if self.looked.is_none_or(|at| now - at >= LOOK_EVERY) {
            self.looked = Some(now);
            self.is_reader = is_among(view, me, &self.thing, READERS, alive);
        }
        self.is_reader || is_old(confirmed, self.patience, now)
    }
}
