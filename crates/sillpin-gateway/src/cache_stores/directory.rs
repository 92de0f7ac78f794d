//! Content of each cache store, as derived from its listings and change events.

use super::fetch_shares::FetchShares;
use super::retire::{MAX_FETCH_TIME, Retirements};
use crate::config::StoreSpec;
use crate::control::{PartChange, PartKey, StoreChanges, StoreListing};
use crate::dialect::EngineTime;
use serde::{Deserialize, Serialize};
use sillpin_core::Tokens;
use std::collections::hash_map::Entry;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::time::Instant;

/// Time after the last poll during which a store's content counts as known. A poll waits less than a
/// second; a store takes longer than the remainder to restart and write a part again.
pub const CONTENT_TTL: Duration = Duration::from_millis(1_600);

/// Time after this box detects a restart of a store during which nothing is saved there. Until the restart other boxes may have
/// used the content of the previous incarnation, and the last fetch that they sent may still wait in an engine's queue.
pub const RESTART_HOLD_OFF: Duration = CONTENT_TTL.saturating_add(MAX_FETCH_TIME);

/// Time during which a requested save is not requested again: a part of 10,000 tokens is computed in 180 ms
/// and written in 100 ms.
pub const SAVE_RETRY_INTERVAL: Duration = Duration::from_millis(1_500);

/// Recent changes of a store that are retained for boxes that missed some: more than a busy store makes in the second that a box
/// needs to detect the gap.
const RECENT_CHANGES: usize = 400;

/// Known content of one store.
#[derive(Debug, Default)]
struct StoreState {
    epoch: u64,
    next: u64,
    parts: HashMap<PartKey, Tokens>,
    used: Tokens,
    last_confirmed: Option<Instant>,
    recent: Recent,
}

/// The newest changes of a store, in order.
#[derive(Debug, Default)]
struct Recent {
    /// Position before the first of `changes`.
    since: u64,
    changes: VecDeque<PartChange>,
}

impl Recent {
    fn push(&mut self, change: PartChange) {
        if self.changes.len() == RECENT_CHANGES {
            let oldest = self.changes.pop_front();
            self.since = oldest.map_or(self.since, |oldest| oldest.number);
        }
        self.changes.push_back(change);
    }

    /// Returns all changes after a position, or `None` if some are no longer retained.
    fn after(&self, position: u64) -> Option<Vec<PartChange>> {
        let newer = |change: &&PartChange| change.number > position;
        let covers = self.since <= position;
        covers.then(|| self.changes.iter().filter(newer).cloned().collect())
    }
}

impl StoreState {
    fn set(&mut self, key: PartKey, tokens: Option<Tokens>) {
        let previous = match tokens {
            Some(tokens) => {
                self.used += tokens;
                self.parts.insert(key, tokens)
            }
            None => self.parts.remove(&key),
        };
        let previous = previous.unwrap_or_default();
        self.used = Tokens(self.used.0.saturating_sub(previous.0));
    }
}

/// The newest incarnation of a store that this box has detected.
#[derive(Debug, Default)]
struct Incarnation {
    /// Its epoch; `None` before the first answer of the store.
    epoch: Option<u64>,
    /// When this box detected that the previous incarnation had ended. A failed call does not prove that: a store that is
    /// partitioned from this box may serve others, and restart behind the partition.
    detected: Option<Instant>,
}

/// A reading of the engines' clock and the local time at which it was taken.
#[derive(Debug, Clone, Copy)]
struct ClockReading {
    engine: EngineTime,
    at: Instant,
}

/// Known content of all stores.
#[derive(Debug, Default)]
pub struct Directory {
    stores: HashMap<SocketAddr, StoreState>,
    recent_saves: HashMap<(SocketAddr, PartKey), Instant>,
    incarnations: HashMap<SocketAddr, Incarnation>,
    clock: Option<ClockReading>,
}

/// Position in a store's sequence of changes, from which the next poll continues.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// Epoch of the store's incarnation.
    pub epoch: u64,
    /// Number of the newest change that is applied.
    pub next: u64,
}

impl Directory {
    /// Starts to track a store. This box may have started, or received the configuration that names the store, just after a
    /// restart of the store that other boxes have not detected yet, so the first incarnation that it detects counts as a restart.
    pub fn track(&mut self, addr: SocketAddr, now: Instant) {
        self.incarnations.entry(addr).or_default().detected = Some(now);
    }

    /// Records the incarnation in which a store answered; a changed epoch counts as a restart.
    fn record_epoch(&mut self, addr: SocketAddr, epoch: u64, now: Instant) {
        let new = || Incarnation {
            epoch: Some(epoch),
            detected: None,
        };
        let incarnation = self.incarnations.entry(addr).or_insert_with(new);
        if incarnation.epoch != Some(epoch) {
            incarnation.epoch = Some(epoch);
            incarnation.detected = Some(now);
        }
    }

    /// Returns whether fetches sent to an earlier incarnation of a store may still run.
    fn restarted_recently(&self, addr: SocketAddr, now: Instant) -> bool {
        let detected = self
            .incarnations
            .get(&addr)
            .and_then(|incarnation| incarnation.detected);
        detected.is_some_and(|at| now - at < RESTART_HOLD_OFF)
    }

    /// Replaces the content of a store with a listing, unless data requested later is known: an older listing may be of an
    /// incarnation that has ended.
    pub fn apply_list(&mut self, addr: SocketAddr, list: StoreListing, requested_at: Instant) {
        if self.last_confirmed(addr) > Some(requested_at) {
            return;
        }
        // The store may have restarted between the request and the response.
        self.record_epoch(addr, list.epoch, Instant::now());
        let mut state = StoreState {
            epoch: list.epoch,
            next: list.next,
            last_confirmed: Some(requested_at),
            recent: Recent {
                since: list.next,
                ..Recent::default()
            },
            ..StoreState::default()
        };
        for (key, tokens) in list.complete {
            state.set(key, Some(tokens));
        }
        self.stores.insert(addr, state);
    }

    /// Applies changes after the position `since`. Returns `false` if they do not connect to the known content, so that a
    /// listing is needed.
    pub fn apply_changes(
        &mut self,
        addr: SocketAddr,
        since: u64,
        update: StoreChanges,
        requested_at: Instant,
        received_at: Instant,
    ) -> bool {
        self.set_clock(update.clock, received_at);
        self.record_epoch(addr, update.epoch, received_at);
        let Some(state) = self.stores.get_mut(&addr) else {
            return false;
        };
        if update.lost || update.epoch != state.epoch || since > state.next {
            self.stores.remove(&addr);
            return false;
        }
        for change in update.changes {
            // An update from another box may have delivered it already.
            if change.number > state.next {
                state.recent.push(change.clone());
                state.set(change.key, change.tokens);
            }
        }
        state.next = state.next.max(update.next);
        state.last_confirmed = state.last_confirmed.max(Some(requested_at));
        true
    }

    /// Returns the changes after a position, if it is of the current incarnation and all of them are still retained.
    pub fn changes_after(&self, addr: SocketAddr, position: Position) -> Option<Vec<PartChange>> {
        let state = self.stores.get(&addr)?;
        let same_incarnation = state.epoch == position.epoch;
        same_incarnation.then(|| state.recent.after(position.next))?
    }

    /// Returns whether changes that begin at a position connect to the known content without a gap.
    pub fn is_contiguous(&self, addr: SocketAddr, begin: Position) -> bool {
        let known = self.position(addr);
        known.is_some_and(|known| known.epoch == begin.epoch && begin.next <= known.next)
    }

    /// Applies another box's confirmation that a store is at a position. Returns `false` if this box lacks changes up to there.
    pub fn confirm(&mut self, addr: SocketAddr, position: Position, requested_at: Instant) -> bool {
        let Some(state) = self.stores.get_mut(&addr) else {
            return false;
        };
        if state.epoch != position.epoch || state.next < position.next {
            return false;
        }
        if state.next == position.next {
            state.last_confirmed = state.last_confirmed.max(Some(requested_at));
        }
        true
    }

    /// Returns when the last call that confirmed the known content of a store was sent.
    pub fn last_confirmed(&self, addr: SocketAddr) -> Option<Instant> {
        self.stores
            .get(&addr)
            .and_then(|state| state.last_confirmed)
    }

    /// Returns the stores whose content is known.
    pub fn known(&self) -> Vec<SocketAddr> {
        self.stores.keys().copied().collect()
    }

    /// Records a reading of the engines' clock. It counts as taken when it arrived, so it lags by the network delay, and
    /// deadlines derived from it are early rather than late.
    pub fn set_clock(&mut self, engine: Option<EngineTime>, at: Instant) {
        if let Some(engine) = engine {
            self.clock = Some(ClockReading { engine, at });
        }
    }

    /// Returns whether a reading of the engines' clock is known.
    pub fn has_clock(&self) -> bool {
        self.clock.is_some()
    }

    /// Removes the content of a store that cannot be read.
    pub fn forget(&mut self, addr: SocketAddr) {
        self.stores.remove(&addr);
    }

    /// Returns the position from which to continue polling a store, if its content is known.
    pub fn position(&self, addr: SocketAddr) -> Option<Position> {
        let state = self.stores.get(&addr)?;
        Some(Position {
            epoch: state.epoch,
            next: state.next,
        })
    }

    /// Returns whether a store's content was confirmed recently enough to fetch and save.
    pub fn is_known(&self, addr: SocketAddr, now: Instant) -> bool {
        let last_confirmed = self
            .stores
            .get(&addr)
            .and_then(|state| state.last_confirmed);
        last_confirmed.is_some_and(|at| now - at < CONTENT_TTL)
    }

    /// Returns whether a store holds a complete part of at least `tokens`.
    pub fn holds(&self, addr: SocketAddr, key: &PartKey, tokens: Tokens, now: Instant) -> bool {
        if !self.is_known(addr, now) {
            return false;
        }
        let held = self
            .stores
            .get(&addr)
            .and_then(|state| state.parts.get(key));
        held.is_some_and(|held| *held >= tokens)
    }

    /// Returns the number of tokens that complete parts occupy in a store.
    pub fn used(&self, addr: SocketAddr) -> Tokens {
        let state = self.stores.get(&addr);
        state.map(|state| state.used).unwrap_or_default()
    }

    /// Returns whether to request a save, and records the request: the part is missing, no fetch for an earlier incarnation of
    /// the store can run into the save, and this box has not requested it within [`SAVE_RETRY_INTERVAL`].
    pub fn should_save(
        &mut self,
        addr: SocketAddr,
        key: &PartKey,
        tokens: Tokens,
        now: Instant,
    ) -> bool {
        let may_save = self.is_known(addr, now) && !self.restarted_recently(addr, now);
        if !may_save || self.holds(addr, key, tokens, now) {
            return false;
        }
        self.recent_saves
            .retain(|_, at| now - *at < SAVE_RETRY_INTERVAL);
        match self.recent_saves.entry((addr, key.clone())) {
            Entry::Occupied(_) => false,
            Entry::Vacant(vacant) => {
                vacant.insert(now);
                true
            }
        }
    }

    /// Returns the time `later` after `now` on the engines' clock, if a reading of that clock is known.
    pub fn engine_time(&self, now: Instant, later: Duration) -> Option<EngineTime> {
        let reading = self.clock?;
        Some(
            reading
                .engine
                .plus((now + later).saturating_duration_since(reading.at)),
        )
    }

    /// Returns the used share of the fullest managed store.
    pub fn fullness(&self, stores: &[StoreSpec]) -> f64 {
        let managed = stores.iter().filter(|store| store.managed);
        let used = managed.map(|s| self.used(s.addr).0 as f64 / s.capacity.0.max(1) as f64);
        used.fold(0.0, f64::max)
    }

    /// Returns all complete parts of a store and their lengths.
    pub fn complete_parts(&self, addr: SocketAddr) -> Vec<(PartKey, Tokens)> {
        let state = self.stores.get(&addr);
        let parts = state.map(|state| state.parts.iter());
        let copy = |(key, tokens): (&PartKey, &Tokens)| (key.clone(), *tokens);
        parts
            .map(|parts| parts.map(copy).collect())
            .unwrap_or_default()
    }
}

/// State of the cache stores, shared by their readers and request placement; clones share it.
#[derive(Debug, Clone, Default)]
pub struct CacheStores {
    directory: Arc<Mutex<Directory>>,
    retirements: Arc<Mutex<Retirements>>,
    fetch_shares: Arc<Mutex<FetchShares>>,
}

impl CacheStores {
    /// Locks the directory. The guard is held only for look-ups, never across an `await`.
    pub fn lock(&self) -> MutexGuard<'_, Directory> {
        self.directory.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Locks the retirement state.
    pub fn retirements(&self) -> MutexGuard<'_, Retirements> {
        self.retirements.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Locks the fetch shares of the stores.
    pub fn fetch_shares(&self) -> MutexGuard<'_, FetchShares> {
        self.fetch_shares.lock().unwrap_or_else(|e| e.into_inner())
    }
}
