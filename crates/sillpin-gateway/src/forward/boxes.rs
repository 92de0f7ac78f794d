//! Which box gets a request that this box cannot serve.
//!
//! What other boxes reach is learned from their answers. One that served a request of a pool comes first for the next
//! ones; one that has no path to the targets, or no room, is avoided for a while, as is one that cannot be reached. A box
//! without a path names boxes that served its own requests, and itself if it reaches a few targets: such boxes are the
//! last resort, for requests for which no box was found that reaches most. A busy box has a path: while the known ones are
//! busy, requests wait for them, since boxes without a path would be asked in vain. Boxes of the own zone are preferred
//! unless one of them is known to have no path: zones are often cut off as a whole. Boxes of other regions are used only
//! if the request may go there.

use super::head::Unavailable;
use super::search_budget::SearchBudget;
use crate::fleet_state::BoxEntry;
use crate::placement::residency::{Residency, ZoneRegions};
use derive_more::Display;
use rand::seq::IndexedRandom;
use rand::{Rng, RngExt};
use sillpin_core::{BoxId, PoolId, ZoneId};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::time::Instant;

/// Time for which a box without a path to a pool's targets gets no requests for it.
const NO_PATH_TIME: Duration = Duration::from_millis(800);

/// Time after a box served a request of a pool for which it is taken to reach the pool's targets: several requests of a
/// seldom used pool.
const PROVEN_TIME: Duration = Duration::from_secs(5);

/// Number of boxes that a request is offered to, over all attempts, without taking from the budget, while a box is known
/// that reaches the pool. One without a path says so within a round trip.
const FREE_OFFERS: usize = 8;

/// Number of boxes known to reach a pool from which no others are looked for.
const ENOUGH_PROVEN: usize = 3;

/// Share of the requests for which another box is looked for, while fewer are known.
const EXPLORED_SHARE: f64 = 0.25;

/// Time after a search that found no box in which a share of the requests looks for one, by one offer each, while this box
/// or others reach a few targets. What one box finds, others learn when they ask it.
const SEARCH_PAUSE: Duration = Duration::from_secs(30);
const PAUSED_SHARE: f64 = 0.1;

/// Maximum number of boxes that are named to a box that asks for a path.
pub const MAX_NAMED: usize = 3;

/// Time for which a busy box gets no requests.
const BUSY_TIME: Duration = Duration::from_millis(150);

/// Time for which a box that cannot be reached, or does not answer, gets no requests.
const UNREACHABLE_TIME: Duration = Duration::from_secs(2);

/// Number of boxes of another zone that cannot be reached from which the others of that zone are left alone as well: the
/// zone is probably partitioned from this box.
const ZONE_UNREACHABLE: usize = 2;

/// Number of requests by which a box of the own zone may have more of them in flight than one of another zone, and is
/// still preferred.
const OWN_ZONE_ADVANTAGE: u32 = 4;

/// Why a box is avoided.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Avoidance {
    /// It said that it does not serve the request.
    Unavailable(Unavailable),
    /// It cannot be reached, or did not answer.
    #[display("cannot be reached")]
    Unreachable,
}

/// What is known of a box's paths to the targets of a pool.
#[derive(Debug, Clone, Copy)]
enum PathState {
    /// It served a request then.
    Served(Instant),
    /// Another box named it then, as one that served its requests.
    Named(Instant),
    /// It has no path, and is avoided until then.
    NoPath(Instant),
}

#[derive(Debug, Default)]
struct BoxState {
    /// Requests in flight there from this box.
    in_flight: u32,
    avoided_until: Option<Instant>,
    /// Until when it is taken to be busy.
    busy_until: Option<Instant>,
    /// Until when it is taken to be out of reach.
    unreachable_until: Option<Instant>,
    paths: HashMap<PoolId, PathState>,
    /// When it last said that it reaches a few targets, by pool.
    few_paths: HashMap<PoolId, Instant>,
}

impl BoxState {
    fn lacks_path(&self, pool: &PoolId, now: Instant) -> bool {
        matches!(self.paths.get(pool), Some(PathState::NoPath(until)) if now < *until)
    }

    fn is_avoided(&self, now: Instant) -> bool {
        self.avoided_until.is_some_and(|until| now < until)
    }

    /// Whether it is avoided for no other reason than that it is busy.
    fn is_only_busy(&self, now: Instant) -> bool {
        self.is_avoided(now) && self.avoided_until == self.busy_until
    }

    fn is_available(&self, pool: &PoolId, now: Instant) -> bool {
        !self.is_avoided(now) && !self.lacks_path(pool, now)
    }

    /// Whether it reaches a few of the pool's targets.
    fn has_few_paths(&self, pool: &PoolId, now: Instant) -> bool {
        let said = self.few_paths.get(pool);
        said.is_some_and(|at| now - *at < PROVEN_TIME)
    }

    /// Whether it is taken to reach the pool's targets.
    fn is_proven(&self, pool: &PoolId, now: Instant) -> bool {
        match self.paths.get(pool) {
            Some(PathState::Served(at) | PathState::Named(at)) => now - *at < PROVEN_TIME,
            Some(PathState::NoPath(_)) | None => false,
        }
    }

    /// Whether it served a request of this box recently.
    fn has_served(&self, pool: &PoolId, now: Instant) -> bool {
        matches!(self.paths.get(pool), Some(PathState::Served(at)) if now - *at < PROVEN_TIME)
    }
}

/// Input of a choice.
#[derive(Debug, Clone, Copy)]
pub struct BoxChoice<'a> {
    /// Other boxes that are up.
    pub boxes: &'a [BoxEntry],
    /// Zone of this box.
    pub zone: &'a ZoneId,
    /// Pool of the request.
    pub pool: &'a PoolId,
    /// Regions that the request may reach.
    pub residency: Residency<'a>,
    /// Boxes that the request was offered to.
    pub tried: &'a [BoxId],
    /// Current time.
    pub now: Instant,
}

impl BoxChoice<'_> {
    /// Whether the request may be sent to a box: to one in the region of this box, or where it may be served. Without
    /// limits of its own, a request does not leave the region.
    fn allows(&self, entry: &BoxEntry) -> bool {
        let regions: &ZoneRegions = self.residency.regions;
        let is_limited =
            !self.residency.route.is_empty() || !self.residency.organisation.is_empty();
        regions.get(&entry.zone) == regions.get(self.zone)
            || (is_limited && self.residency.allows(&entry.zone))
    }
}

/// How many boxes that may reach most targets a request is offered to, within the bound of [`ForwardBoxes::may_offer`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SearchScope {
    /// As many as a request may be.
    Full,
    /// One.
    One,
    /// None.
    Nothing,
}

/// State of other boxes, as far as requests sent to them tell; clones share it.
#[derive(Debug, Clone, Default)]
pub struct ForwardBoxes {
    states: Arc<Mutex<HashMap<BoxId, BoxState>>>,
    /// When a search last found no box, by pool.
    failed_searches: Arc<Mutex<HashMap<PoolId, Instant>>>,
    budget: Arc<Mutex<SearchBudget>>,
}

impl ForwardBoxes {
    fn lock(&self) -> MutexGuard<'_, HashMap<BoxId, BoxState>> {
        self.states.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Chooses a box, among those known to reach the pool if there are any; `None` while these are busy, but for a share of
    /// the requests. Of two random ones of the own zone and two of others, the one with the fewest requests in flight.
    pub fn choose(&self, choice: &BoxChoice<'_>, rng: &mut impl Rng) -> Option<BoxEntry> {
        let states = self.lock();
        let partitioned = partitioned_zones(choice, &states);
        let is_candidate = |entry: &&BoxEntry| {
            let state = states.get(&entry.id);
            choice.allows(entry)
                && !partitioned.contains(&&entry.zone)
                && !choice.tried.contains(&entry.id)
                && state.is_none_or(|state| state.is_available(choice.pool, choice.now))
        };
        let candidates: Vec<&BoxEntry> = choice.boxes.iter().filter(is_candidate).collect();
        let is_proven = |entry: &&BoxEntry| {
            let state = states.get(&entry.id);
            state.is_some_and(|state| state.is_proven(choice.pool, choice.now))
        };
        let (proven, unknown): (Vec<&BoxEntry>, Vec<&BoxEntry>) =
            candidates.into_iter().partition(is_proven);
        let explores = proven.len() < ENOUGH_PROVEN
            && choice.tried.is_empty()
            && rng.random_bool(EXPLORED_SHARE);
        let waits = proven.is_empty() && busy_until(choice, &states).is_some();
        let chosen = match proven.is_empty() || (explores && !unknown.is_empty()) {
            false => pick(&proven, choice, &states, true, rng),
            true if waits && !explores => None,
            true => {
                let prefers_own_zone = !is_path_lacked_in_zone(choice, &states);
                pick(&unknown, choice, &states, prefers_own_zone, rng)
            }
        };
        chosen.cloned()
    }

    /// Returns when the first of the boxes that are known to reach the pool, and are busy, may take requests again.
    pub fn busy_until(&self, choice: &BoxChoice<'_>) -> Option<Instant> {
        busy_until(choice, &self.lock())
    }

    /// Chooses a box that reaches a few targets of the pool, the one of two random ones of the own zone and two of others
    /// with the fewest requests in flight.
    pub fn choose_last_resort(
        &self,
        choice: &BoxChoice<'_>,
        rng: &mut impl Rng,
    ) -> Option<BoxEntry> {
        let states = self.lock();
        let is_candidate = |entry: &&BoxEntry| {
            let state = states.get(&entry.id);
            choice.allows(entry)
                && !choice.tried.contains(&entry.id)
                && state.is_some_and(|state| {
                    state.has_few_paths(choice.pool, choice.now) && !state.is_avoided(choice.now)
                })
        };
        let candidates: Vec<&BoxEntry> = choice.boxes.iter().filter(is_candidate).collect();
        pick(&candidates, choice, &states, true, rng).cloned()
    }

    /// Returns how many boxes that may reach most targets of a pool the next request is offered to. `reaches_any` tells
    /// whether this box reaches a few itself.
    pub fn search_scope(
        &self,
        pool: &PoolId,
        reaches_any: bool,
        now: Instant,
        rng: &mut impl Rng,
    ) -> SearchScope {
        let failed = self.lock_failed_searches().get(pool).copied();
        let is_paused = failed.is_some_and(|at| now - at < SEARCH_PAUSE);
        if !is_paused || self.knows_proven(pool, now) {
            return SearchScope::Full;
        }
        if !reaches_any && !self.has_last_resort(pool, now) {
            return SearchScope::Full;
        }
        match rng.random_bool(PAUSED_SHARE) {
            true => SearchScope::One,
            false => SearchScope::Nothing,
        }
    }

    /// Whether a request that was offered to `offered` boxes may be offered to one more that may reach most targets. Offers
    /// are taken from a budget of this box, but for a request's first, and for its first few while a box is known that
    /// reaches the pool.
    pub fn may_offer(&self, pool: &PoolId, offered: usize, now: Instant) -> bool {
        let is_free = offered == 0 || (offered < FREE_OFFERS && self.knows_proven(pool, now));
        is_free || self.lock_budget().take(pool, now)
    }

    fn lock_budget(&self) -> MutexGuard<'_, SearchBudget> {
        self.budget.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn knows_proven(&self, pool: &PoolId, now: Instant) -> bool {
        let states = self.lock();
        states.values().any(|state| state.is_proven(pool, now))
    }

    fn has_last_resort(&self, pool: &PoolId, now: Instant) -> bool {
        let states = self.lock();
        states.values().any(|state| state.has_few_paths(pool, now))
    }

    /// Records that no box was found that serves a request of a pool.
    pub fn record_failed_search(&self, pool: &PoolId, now: Instant) {
        if self.knows_proven(pool, now) {
            return;
        }
        self.lock_failed_searches().insert(pool.clone(), now);
    }

    fn lock_failed_searches(&self) -> MutexGuard<'_, HashMap<PoolId, Instant>> {
        self.failed_searches
            .lock()
            .unwrap_or_else(|e| e.into_inner())
    }

    /// Records that a box reaches a few targets of a pool.
    pub fn record_few_paths(&self, id: &BoxId, pool: &PoolId, now: Instant) {
        let mut states = self.lock();
        let state = states.entry(id.clone()).or_default();
        state.few_paths.insert(pool.clone(), now);
    }

    /// Records that a box served a request of a pool, or failed to after it had reached a target.
    pub fn record_served(&self, id: &BoxId, pool: &PoolId, now: Instant) {
        let mut states = self.lock();
        let state = states.entry(id.clone()).or_default();
        state.paths.insert(pool.clone(), PathState::Served(now));
        drop(states);
        self.lock_failed_searches().remove(pool);
    }

    /// Records that another box named a box as one that served its requests. What this box has found itself in the last
    /// while counts more.
    pub fn record_named(&self, id: &BoxId, pool: &PoolId, now: Instant) {
        let mut states = self.lock();
        let state = states.entry(id.clone()).or_default();
        if !state.lacks_path(pool, now) && !state.has_served(pool, now) {
            state.paths.insert(pool.clone(), PathState::Named(now));
        }
    }

    /// Returns some boxes that served requests of this box, for another box without a path to the pool's targets.
    pub fn proven(&self, pool: &PoolId, now: Instant, rng: &mut impl Rng) -> Vec<BoxId> {
        let states = self.lock();
        let served = states
            .iter()
            .filter(|(_, state)| state.has_served(pool, now) && state.is_available(pool, now));
        let served: Vec<&BoxId> = served.map(|(id, _)| id).collect();
        let sample = served.sample(rng, MAX_NAMED);
        sample.map(|id| BoxId::clone(id)).collect()
    }

    /// Counts a request as in flight at a box until the guard is dropped.
    pub fn start(&self, to: &BoxId) -> ForwardGuard {
        self.lock().entry(to.clone()).or_default().in_flight += 1;
        ForwardGuard {
            boxes: self.clone(),
            to: to.clone(),
        }
    }

    /// Avoids a box for a while: for one pool if it has no path to that pool's targets, else for all.
    pub fn avoid(&self, id: &BoxId, pool: &PoolId, why: Avoidance, now: Instant) {
        let mut states = self.lock();
        let state = states.entry(id.clone()).or_default();
        let time = match why {
            Avoidance::Unavailable(Unavailable::NoPath) => {
                let until = now + NO_PATH_TIME;
                state.paths.insert(pool.clone(), PathState::NoPath(until));
                return;
            }
            Avoidance::Unavailable(Unavailable::Busy) => BUSY_TIME,
            Avoidance::Unavailable(Unavailable::NotReady | Unavailable::NotAccepted)
            | Avoidance::Unreachable => UNREACHABLE_TIME,
        };
        let until = Some(now + time);
        state.avoided_until = state.avoided_until.max(until);
        if why == Avoidance::Unavailable(Unavailable::Busy) {
            state.busy_until = until;
        }
        if why == Avoidance::Unreachable {
            state.unreachable_until = until;
        }
    }

    /// Removes what is known of boxes that are no longer up.
    pub fn retain(&self, is_up: impl Fn(&BoxId) -> bool) {
        self.lock()
            .retain(|id, state| state.in_flight > 0 || is_up(id));
    }
}

/// Returns the other zones of which several boxes cannot be reached.
fn partitioned_zones<'a>(
    choice: &BoxChoice<'a>,
    states: &HashMap<BoxId, BoxState>,
) -> Vec<&'a ZoneId> {
    let mut unreachable: HashMap<&ZoneId, usize> = HashMap::new();
    for entry in choice
        .boxes
        .iter()
        .filter(|entry| entry.zone != *choice.zone)
    {
        let until = states
            .get(&entry.id)
            .and_then(|state| state.unreachable_until);
        if until.is_some_and(|until| choice.now < until) {
            *unreachable.entry(&entry.zone).or_default() += 1;
        }
    }
    let many = unreachable
        .into_iter()
        .filter(|(_, count)| *count >= ZONE_UNREACHABLE);
    many.map(|(zone, _)| zone).collect()
}

/// Returns when the first of the boxes that are known to reach the pool, and are only busy, may take requests again.
fn busy_until(choice: &BoxChoice<'_>, states: &HashMap<BoxId, BoxState>) -> Option<Instant> {
    let allowed = choice.boxes.iter().filter(|entry| choice.allows(entry));
    let allowed = allowed.filter_map(|entry| states.get(&entry.id));
    let busy = allowed.filter(|state| state.is_proven(choice.pool, choice.now));
    let until =
        busy.filter_map(|state| state.busy_until.filter(|_| state.is_only_busy(choice.now)));
    until.min()
}

/// Whether a box of the own zone is known to have no path to the pool's targets.
fn is_path_lacked_in_zone(choice: &BoxChoice<'_>, states: &HashMap<BoxId, BoxState>) -> bool {
    let own_zone = choice
        .boxes
        .iter()
        .filter(|entry| entry.zone == *choice.zone);
    let mut states = own_zone.filter_map(|entry| states.get(&entry.id));
    states.any(|state| state.lacks_path(choice.pool, choice.now))
}

/// Picks one of the candidates: of two random ones of the own zone and two of others, the one with the fewest requests
/// in flight.
fn pick<'a>(
    candidates: &[&'a BoxEntry],
    choice: &BoxChoice<'_>,
    states: &HashMap<BoxId, BoxState>,
    prefers_own_zone: bool,
    rng: &mut impl Rng,
) -> Option<&'a BoxEntry> {
    let (own, others): (Vec<&BoxEntry>, Vec<&BoxEntry>) = candidates
        .iter()
        .partition(|entry| entry.zone == *choice.zone);
    let in_flight = |entry: &BoxEntry| states.get(&entry.id).map_or(0, |state| state.in_flight);
    let mut least = |of: &[&'a BoxEntry]| {
        let sample = of.sample(rng, 2).copied();
        sample.min_by_key(|entry| in_flight(entry))
    };
    let (own, other) = (least(&own), least(&others));
    let (Some(own), Some(other)) = (own, other) else {
        return own.or(other);
    };
    let is_own = prefers_own_zone && in_flight(own) <= in_flight(other) + OWN_ZONE_ADVANTAGE;
    Some(if is_own { own } else { other })
}

/// A request in flight at another box.
#[derive(Debug)]
pub struct ForwardGuard {
    boxes: ForwardBoxes,
    to: BoxId,
}

impl Drop for ForwardGuard {
    fn drop(&mut self) {
        if let Some(state) = self.boxes.lock().get_mut(&self.to) {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
    }
}
