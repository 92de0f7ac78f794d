//! Assignment of reads to boxes.
//!
//! Every call to the platform store is billed, and a cache store serves few readers at
//! once. So one box of each zone reads each resource, chosen by rendezvous hashing over the boxes
//! of the zone, and the other boxes get the data from it. A box whose data grows too old reads by
//! itself, so no agreement is needed when a reader ends or is cut off.

use crate::beliefs::{BoxEntry, View};
use crate::kept::homes::{hash_pair, unit};
use sillpin_core::BoxId;
use std::time::Duration;
use tokio::time::Instant;

/// Largest number of boxes of a fleet in which every box sends to other zones. In a larger fleet
/// one box of each zone does, since traffic between zones is billed, and the registry is read less
/// often. Today's fleets have 7 and 9 boxes, the planned larger ones 59 and 91.
pub const SMALL_FLEET: usize = 16;

/// Number of readers of one resource in a zone.
const READERS: usize = 1;

/// Age of data from which a box no longer waits for the reader. The reader's own data is up to 1.3
/// s old, and takes one more round to arrive.
const OLD: Duration = Duration::from_millis(1_500);

/// Range over which the boxes' age limits are spread, so that the first box's read serves the
/// others.
const SPREAD: Duration = Duration::from_millis(500);

/// Returns whether this box is the reader of `thing` for its zone.
pub fn is_reader(view: &View, me: &BoxEntry, thing: &str) -> bool {
    is_among(view, me, thing, READERS, |_| true)
}

/// Returns whether this box ranks among the first `count` boxes of its zone that are `alive`, in
/// the order for `thing`.
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

/// Returns whether this box has to read `thing` now. `alive` states which boxes are up, `confirmed`
/// when the data was last found current.
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

/// Returns the age of its data of `thing` from which a box reads by itself.
fn patience(me: &BoxEntry, thing: &str) -> Duration {
    OLD + SPREAD.mul_f64(unit(hash_pair(me.id.as_str(), thing)))
}

fn is_old(confirmed: Option<Instant>, patience: Duration, now: Instant) -> bool {
    confirmed.is_none_or(|at| now.saturating_duration_since(at) > patience)
}

/// Time between two checks which box reads: that only changes when boxes start and end, and each
/// check hashes a whole zone.
const LOOK_EVERY: Duration = Duration::from_secs(1);

/// Whether a box reads one resource, cached for boxes that check many resources often.
#[derive(Debug)]
pub struct Role {
    thing: String,
    patience: Duration,
    looked: Option<Instant>,
    is_reader: bool,
}

impl Role {
    /// Creates the role of `me` for `thing`.
    pub fn new(me: &BoxEntry, thing: String) -> Self {
        Self {
            patience: patience(me, &thing),
            thing,
            looked: None,
            is_reader: false,
        }
    }

    /// Returns whether this box was the reader at the last check.
    pub fn is_reader(&self) -> bool {
        self.is_reader
    }

    /// Returns whether this box has to read now. `confirmed` is when the data was last found
    /// current, `alive` states which boxes are up.
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
