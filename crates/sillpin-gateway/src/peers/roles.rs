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

/// Number of boxes that read a resource at the age limit, beside its reader.
const FIRST_READERS: usize = 3;

/// Time in which the number of boxes that read an outdated resource doubles: enough for one read
/// and its relaying, which ends the need of all others.
const RANK_DELAY: Duration = Duration::from_millis(400);

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
    rank(view, me, resource, alive) < count
}

/// Returns the number of boxes of the zone that are `alive` and come before this one in the order
/// for `resource`.
fn rank(view: &View, me: &BoxEntry, resource: &str, alive: impl Fn(&BoxId) -> bool) -> usize {
    let rank = |id: &str| hash_pair(id, resource);
    let own_rank = rank(me.id.as_str());
    let zone = view.boxes.iter().filter(|peer| peer.zone == me.zone);
    let alive = zone.filter(|peer| alive(&peer.id));
    alive
        .filter(|peer| rank(peer.id.as_str()) > own_rank)
        .count()
}

/// What a box has of a resource, and whether it can get more without reading it.
#[derive(Debug, Clone, Copy)]
pub struct DataState {
    /// When the data was last found current.
    pub confirmed: Option<Instant>,
    /// Whether the zone's hub relays what other boxes read. Then a failing resource is tried by a
    /// few boxes at first and by more of them the longer it fails. If all boxes of a large zone
    /// tried it together, it could not recover under their load.
    pub is_relayed: bool,
}

/// Returns whether this box has to read `resource` now. `alive` returns whether a box is up.
pub fn should_read(
    view: &View,
    me: &BoxEntry,
    resource: &str,
    alive: impl Fn(&BoxId) -> bool,
    data: DataState,
    now: Instant,
) -> bool {
    let rank = rank(view, me, resource, alive);
    rank < READERS || is_outdated(data, max_age(me, resource), rank, now)
}

/// Returns the age of its data of `resource` from which a box reads by itself.
fn max_age(me: &BoxEntry, resource: &str) -> Duration {
    MAX_AGE + MAX_AGE_SPREAD.mul_f64(to_unit_interval(hash_pair(me.id.as_str(), resource)))
}

fn is_outdated(data: DataState, max_age: Duration, rank: usize, now: Instant) -> bool {
    let Some(at) = data.confirmed else {
        return true;
    };
    let delay = match data.is_relayed {
        true => rank_delay(rank),
        false => Duration::ZERO,
    };
    now.saturating_duration_since(at) > max_age + delay
}

/// Returns the time by which a box waits longer than the first ones in the order for a resource.
fn rank_delay(rank: usize) -> Duration {
    let position = (rank + 1) as f64 / FIRST_READERS as f64;
    RANK_DELAY.mul_f64(position.log2().max(0.0))
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
    /// Number of boxes that come before this one.
    rank: usize,
}

impl Role {
    /// Creates the role of `me` for `resource`.
    pub fn new(me: &BoxEntry, resource: String) -> Self {
        Self {
            max_age: max_age(me, &resource),
            resource,
            checked: None,
            rank: usize::MAX,
        }
    }

    /// Returns whether this box was the reader at the last check.
    pub fn is_reader(&self) -> bool {
        self.rank < READERS
    }

    /// Returns whether this box was one of those that replace the reader at the last check.
    pub fn is_substitute(&self) -> bool {
        self.rank <= FIRST_READERS
    }

    /// Returns whether this box has to read now. `alive` returns whether a box is up.
    pub fn should_read(
        &mut self,
        view: &View,
        me: &BoxEntry,
        alive: impl Fn(&BoxId) -> bool,
        data: DataState,
        now: Instant,
    ) -> bool {
        if self.checked.is_none_or(|at| now - at >= CHECK_INTERVAL) {
            self.checked = Some(now);
            self.rank = rank(view, me, &self.resource, alive);
        }
        self.is_reader() || is_outdated(data, self.max_age, self.rank, now)
    }
}
