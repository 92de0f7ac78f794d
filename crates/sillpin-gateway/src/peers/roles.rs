//! Assignment of reads to boxes.
//!
//! Every call to the platform store is billed, and a cache store serves few readers concurrently. So one
//! box of each zone reads each resource, chosen by rendezvous hashing over the boxes of the zone,
//! and the other boxes get the data from it. A box whose data grows too old reads by itself, so no
//! agreement is needed when a reader stops or is cut off.

use crate::cache_stores::homes::{hash_pair, to_unit_interval};
use crate::fleet_state::{BoxEntry, View};
use sillpin_core::BoxId;
use std::time::Duration;
use tokio::time::Instant;

/// Largest number of boxes of a fleet in which every box sends to other zones. In a larger fleet
/// one box of each zone does, since traffic between zones is billed, and the registry is read less
/// often.
pub const SMALL_FLEET: usize = 16;

/// Number of readers of one resource in a zone.
const READERS: usize = 1;

/// Age of data from which a box no longer waits for the reader. The reader's own data is up to 1.3
/// s old, and takes one more round to arrive.
const MAX_AGE: Duration = Duration::from_millis(1_500);

/// Range over which the boxes' age limits are spread, so that the first box's read serves the
/// others.
const MAX_AGE_SPREAD: Duration = Duration::from_millis(500);

/// Returns whether this box is the reader of `resource` for its zone.
pub fn is_reader(view: &View, me: &BoxEntry, resource: &str) -> bool {
    is_among_first(view, me, resource, READERS, |_| true)
}

/// Returns whether this box ranks among the first `count` boxes of its zone that are `alive`, in
/// the order for `resource`.
pub fn is_among_first(
    view: &View,
    me: &BoxEntry,
    resource: &str,
    count: usize,
    alive: impl Fn(&BoxId) -> bool,
) -> bool {
    let rank = |id: &str| hash_pair(id, resource);
    let own_rank = rank(me.id.as_str());
    let zone = view.boxes.iter().filter(|peer| peer.zone == me.zone);
    let alive = zone.filter(|peer| alive(&peer.id));
    let ranked_higher = alive
        .filter(|peer| rank(peer.id.as_str()) > own_rank)
        .count();
    ranked_higher < count
}

/// Returns whether this box has to read `resource` now. `alive` returns whether a box is up,
/// `confirmed` is when the data was last found current.
pub fn should_read(
    view: &View,
    me: &BoxEntry,
    resource: &str,
    alive: impl Fn(&BoxId) -> bool,
    confirmed: Option<Instant>,
    now: Instant,
) -> bool {
    is_outdated(confirmed, max_age(me, resource), now)
        || is_among_first(view, me, resource, READERS, alive)
}

/// Returns the age of its data of `resource` from which a box reads by itself.
fn max_age(me: &BoxEntry, resource: &str) -> Duration {
    MAX_AGE + MAX_AGE_SPREAD.mul_f64(to_unit_interval(hash_pair(me.id.as_str(), resource)))
}

fn is_outdated(confirmed: Option<Instant>, max_age: Duration, now: Instant) -> bool {
    confirmed.is_none_or(|at| now.saturating_duration_since(at) > max_age)
}

/// Time between two checks of which box reads. The result changes only when boxes start and stop,
/// and each check hashes a whole zone.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Whether a box reads one resource, cached for boxes that check many resources often.
#[derive(Debug)]
pub struct Role {
    resource: String,
    max_age: Duration,
    checked: Option<Instant>,
    is_reader: bool,
}

impl Role {
    /// Creates the role of `me` for `resource`.
    pub fn new(me: &BoxEntry, resource: String) -> Self {
        Self {
            max_age: max_age(me, &resource),
            resource,
            checked: None,
            is_reader: false,
        }
    }

    /// Returns whether this box was the reader at the last check.
    pub fn is_reader(&self) -> bool {
        self.is_reader
    }

    /// Returns whether this box has to read now. `confirmed` is when the data was last found
    /// current, `alive` returns whether a box is up.
    pub fn should_read(
        &mut self,
        view: &View,
        me: &BoxEntry,
        alive: impl Fn(&BoxId) -> bool,
        confirmed: Option<Instant>,
        now: Instant,
    ) -> bool {
        if self.checked.is_none_or(|at| now - at >= CHECK_INTERVAL) {
            self.checked = Some(now);
            self.is_reader = is_among_first(view, me, &self.resource, READERS, alive);
        }
        self.is_reader || is_outdated(confirmed, self.max_age, now)
    }
}
