//! Which box gets a request that this box cannot serve.
//!
//! What other boxes reach is learned from their answers: one that has no path to the targets, or no room, is avoided for
//! a while, as is one that cannot be reached. Boxes of the own zone are preferred, those of other regions are used only
//! if the request may go there.

use super::head::Unavailable;
use crate::fleet_state::BoxEntry;
use crate::placement::residency::{Residency, ZoneRegions};
use derive_more::Display;
use rand::Rng;
use rand::seq::IndexedRandom;
use sillpin_core::{BoxId, PoolId, ZoneId};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::time::Instant;

/// Time for which a box without a path to a pool's targets gets no requests for it.
const NO_PATH_TIME: Duration = Duration::from_millis(800);

/// Time for which a busy box gets no requests.
const BUSY_TIME: Duration = Duration::from_millis(150);

/// Time for which a box that cannot be reached, or does not answer, gets no requests.
const UNREACHABLE_TIME: Duration = Duration::from_secs(2);

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

#[derive(Debug, Default)]
struct BoxState {
    /// Requests in flight there from this box.
    in_flight: u32,
    avoided_until: Option<Instant>,
    no_path_until: HashMap<PoolId, Instant>,
}

impl BoxState {
    fn is_available(&self, pool: &PoolId, now: Instant) -> bool {
        let is_over = |until: &Instant| *until <= now;
        self.avoided_until.as_ref().is_none_or(is_over)
            && self.no_path_until.get(pool).is_none_or(is_over)
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

/// State of other boxes, as far as requests sent to them tell; clones share it.
#[derive(Debug, Clone, Default)]
pub struct ForwardBoxes {
    states: Arc<Mutex<HashMap<BoxId, BoxState>>>,
}

impl ForwardBoxes {
    fn lock(&self) -> MutexGuard<'_, HashMap<BoxId, BoxState>> {
        self.states.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Chooses a box: of two random ones of the own zone and two of others, the one with the fewest requests in flight.
    pub fn choose(&self, choice: &BoxChoice<'_>, rng: &mut impl Rng) -> Option<BoxEntry> {
        let states = self.lock();
        let is_candidate = |entry: &&BoxEntry| {
            let state = states.get(&entry.id);
            choice.allows(entry)
                && !choice.tried.contains(&entry.id)
                && state.is_none_or(|state| state.is_available(choice.pool, choice.now))
        };
        let candidates = choice.boxes.iter().filter(is_candidate);
        let (own, others): (Vec<&BoxEntry>, Vec<&BoxEntry>) =
            candidates.partition(|entry| entry.zone == *choice.zone);
        let in_flight = |entry: &BoxEntry| states.get(&entry.id).map_or(0, |s| s.in_flight);
        let own = own.sample(rng, 2).min_by_key(|entry| in_flight(entry));
        let other = others.sample(rng, 2).min_by_key(|entry| in_flight(entry));
        let chosen = match (own, other) {
            (Some(own), Some(other)) => {
                match in_flight(own) > in_flight(other) + OWN_ZONE_ADVANTAGE {
                    true => other,
                    false => own,
                }
            }
            (own, other) => own.or(other)?,
        };
        Some(BoxEntry::clone(chosen))
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
                state.no_path_until.insert(pool.clone(), now + NO_PATH_TIME);
                return;
            }
            Avoidance::Unavailable(Unavailable::Busy) => BUSY_TIME,
            Avoidance::Unavailable(Unavailable::NotReady | Unavailable::NotAccepted)
            | Avoidance::Unreachable => UNREACHABLE_TIME,
        };
        state.avoided_until = state.avoided_until.max(Some(now + time));
    }

    /// Removes what is known of boxes that are no longer up.
    pub fn retain(&self, is_up: impl Fn(&BoxId) -> bool) {
        self.lock()
            .retain(|id, state| state.in_flight > 0 || is_up(id));
    }
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
