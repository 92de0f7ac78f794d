//! What each store holds, as far as its events tell.

use super::links::Links;
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

/// How long after the last reading a store's content counts as known. Readings wait less than a
/// second; a store takes longer than the rest to restart and write a part anew.
pub const BELIEF: Duration = Duration::from_millis(1_600);

/// Nothing is saved in a life of a store for so long after this box found that the one before was over: other boxes may have
/// believed in that one until then, and a fetch that they sent last may still wait in an engine's queue.
pub const NEW_LIFE: Duration = BELIEF.saturating_add(MAX_FETCH_TIME);

/// How long a save that was asked for is not asked for again: a part of 10,000 tokens is read in 180 ms
/// and written in 100.
pub const SAVE_MEMORY: Duration = Duration::from_millis(1_500);

/// Changes of a store that are kept for boxes that lack some: more than a busy store makes in the second that a box needs to notice.
const RECENT_CHANGES: usize = 400;

/// What one store holds.
#[derive(Debug, Default)]
struct StoreState {
    epoch: u64,
    next: u64,
    complete: HashMap<PartKey, Tokens>,
    used: Tokens,
    heard: Option<Instant>,
    recent: Recent,
}

/// The newest changes of a store, in order.
#[derive(Debug, Default)]
struct Recent {
    /// The position that they begin at.
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

    /// All changes after a position, if none is missing.
    fn after(&self, position: u64) -> Option<Vec<PartChange>> {
        let newer = |change: &&PartChange| change.number > position;
        let covers = self.since <= position;
        covers.then(|| self.changes.iter().filter(newer).cloned().collect())
    }
}

impl StoreState {
    fn set(&mut self, key: PartKey, tokens: Option<Tokens>) {
        let before = match tokens {
            Some(tokens) => {
                self.used += tokens;
                self.complete.insert(key, tokens)
            }
            None => self.complete.remove(&key),
        };
        let before = before.unwrap_or_default();
        self.used = Tokens(self.used.0.saturating_sub(before.0));
    }
}

/// The newest life of a store that this box has found.
#[derive(Debug, Default)]
struct Life {
    /// None was found yet.
    epoch: Option<u64>,
    /// When it was found that any earlier one was over. A call that failed does not show it: a store that is cut off from this
    /// box may serve others, and restart behind the cut.
    found: Option<Instant>,
}

/// A clock reading and when it was made.
#[derive(Debug, Clone, Copy)]
struct ClockReading {
    engine: EngineTime,
    at: Instant,
}

/// What all stores hold.
#[derive(Debug, Default)]
pub struct Directory {
    stores: HashMap<SocketAddr, StoreState>,
    asked: HashMap<(SocketAddr, PartKey), Instant>,
    lives: HashMap<SocketAddr, Life>,
    clock: Option<ClockReading>,
}

/// Where a reading of a store goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// The store's life.
    pub epoch: u64,
    /// The next change.
    pub next: u64,
}

impl Directory {
    /// From now on this box follows a store. It may have started, or been told of the store, just after a life of it ended that
    /// other boxes still believe in, so the first life that it finds counts as one that replaced another.
    pub fn follow(&mut self, addr: SocketAddr, now: Instant) {
        self.lives.entry(addr).or_default().found = Some(now);
    }

    /// A store was found in a life. Whatever one was before is over, if it is not the same.
    fn note_life(&mut self, addr: SocketAddr, epoch: u64, now: Instant) {
        let new = || Life {
            epoch: Some(epoch),
            found: None,
        };
        let life = self.lives.entry(addr).or_insert_with(new);
        if life.epoch != Some(epoch) {
            life.epoch = Some(epoch);
            life.found = Some(now);
        }
    }

    /// Whether fetches may go on that were sent for an earlier life of a store.
    fn is_new_life(&self, addr: SocketAddr, now: Instant) -> bool {
        let found = self.lives.get(&addr).and_then(|life| life.found);
        found.is_some_and(|at| now - at < NEW_LIFE)
    }

    /// Takes everything that a store holds, unless the store was asked since: an older copy may tell of a
    /// life of the store that is over.
    pub fn take_list(&mut self, addr: SocketAddr, list: StoreListing, asked: Instant) {
        if self.heard(addr) > Some(asked) {
            return;
        }
        // The store may have restarted between the question and the answer.
        self.note_life(addr, list.epoch, Instant::now());
        let mut state = StoreState {
            epoch: list.epoch,
            next: list.next,
            heard: Some(asked),
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

    /// Takes news since a position; `false` if they do not follow what is known, so that a list is needed.
    pub fn take_news(
        &mut self,
        addr: SocketAddr,
        since: u64,
        news: StoreChanges,
        asked: Instant,
        answered: Instant,
    ) -> bool {
        self.take_clock(news.clock, answered);
        self.note_life(addr, news.epoch, answered);
        let Some(state) = self.stores.get_mut(&addr) else {
            return false;
        };
        if news.lost || news.epoch != state.epoch || since > state.next {
            self.stores.remove(&addr);
            return false;
        }
        for change in news.changes {
            // Another box's word may have brought it before.
            if change.number > state.next {
                state.recent.push(change.clone());
                state.set(change.key, change.tokens);
            }
        }
        state.next = state.next.max(news.next);
        state.heard = state.heard.max(Some(asked));
        true
    }

    /// Changes after a position of this life of a store, if all of them are still known.
    pub fn changes_after(&self, addr: SocketAddr, position: Position) -> Option<Vec<PartChange>> {
        let state = self.stores.get(&addr)?;
        let same_life = state.epoch == position.epoch;
        same_life.then(|| state.recent.after(position.next))?
    }

    /// Whether changes that begin at a position of a life of a store go on from what is known.
    pub fn follows(&self, addr: SocketAddr, begin: Position) -> bool {
        let known = self.position(addr);
        known.is_some_and(|known| known.epoch == begin.epoch && begin.next <= known.next)
    }

    /// Another box found a store at a position; `false` if this box lacks something.
    pub fn confirm(&mut self, addr: SocketAddr, position: Position, asked: Instant) -> bool {
        let Some(state) = self.stores.get_mut(&addr) else {
            return false;
        };
        if state.epoch != position.epoch || state.next < position.next {
            return false;
        }
        if state.next == position.next {
            state.heard = state.heard.max(Some(asked));
        }
        true
    }

    /// When a store was last asked and found as it is known here.
    pub fn heard(&self, addr: SocketAddr) -> Option<Instant> {
        self.stores.get(&addr).and_then(|state| state.heard)
    }

    /// Stores that are known.
    pub fn known(&self) -> Vec<SocketAddr> {
        self.stores.keys().copied().collect()
    }

    /// The reading counts as made when it arrived, so it lags by the way here: deadlines come early
    /// rather than late.
    pub fn take_clock(&mut self, engine: Option<EngineTime>, at: Instant) {
        if let Some(engine) = engine {
            self.clock = Some(ClockReading { engine, at });
        }
    }

    /// Whether the engines' clock was ever read.
    pub fn has_clock(&self) -> bool {
        self.clock.is_some()
    }

    /// Forgets a store that cannot be read.
    pub fn forget(&mut self, addr: SocketAddr) {
        self.stores.remove(&addr);
    }

    /// Where to go on reading a store, if anything is known of it.
    pub fn position(&self, addr: SocketAddr) -> Option<Position> {
        let state = self.stores.get(&addr)?;
        Some(Position {
            epoch: state.epoch,
            next: state.next,
        })
    }

    /// Whether a store's content is known well enough to fetch and save.
    pub fn is_known(&self, addr: SocketAddr, now: Instant) -> bool {
        let heard = self.stores.get(&addr).and_then(|state| state.heard);
        heard.is_some_and(|at| now - at < BELIEF)
    }

    /// Whether a store holds a whole part of that length.
    pub fn holds(&self, addr: SocketAddr, key: &PartKey, tokens: Tokens, now: Instant) -> bool {
        if !self.is_known(addr, now) {
            return false;
        }
        let kept = self
            .stores
            .get(&addr)
            .and_then(|state| state.complete.get(key));
        kept.is_some_and(|kept| *kept >= tokens)
    }

    /// Tokens that whole parts take in a store.
    pub fn used(&self, addr: SocketAddr) -> Tokens {
        let state = self.stores.get(&addr);
        state.map(|state| state.used).unwrap_or_default()
    }

    /// Whether to ask for a save: the part is not there, no fetch for an earlier life of the store can meet the save, and nobody
    /// here asked a moment ago.
    pub fn should_save(
        &mut self,
        addr: SocketAddr,
        key: &PartKey,
        tokens: Tokens,
        now: Instant,
    ) -> bool {
        let may_keep = self.is_known(addr, now) && !self.is_new_life(addr, now);
        if !may_keep || self.holds(addr, key, tokens, now) {
            return false;
        }
        self.asked.retain(|_, at| now - *at < SAVE_MEMORY);
        match self.asked.entry((addr, key.clone())) {
            Entry::Occupied(_) => false,
            Entry::Vacant(unasked) => {
                unasked.insert(now);
                true
            }
        }
    }

    /// The moment `later` on the engines' clock, if it was read.
    pub fn engine_time(&self, now: Instant, later: Duration) -> Option<EngineTime> {
        let reading = self.clock?;
        Some(
            reading
                .engine
                .plus((now + later).saturating_duration_since(reading.at)),
        )
    }

    /// Used share of the fullest managed store.
    pub fn fullness(&self, stores: &[StoreSpec]) -> f64 {
        let managed = stores.iter().filter(|store| store.managed);
        let used = managed.map(|s| self.used(s.addr).0 as f64 / s.capacity.0.max(1) as f64);
        used.fold(0.0, f64::max)
    }

    /// All whole parts of a store.
    pub fn complete(&self, addr: SocketAddr) -> Vec<(PartKey, Tokens)> {
        let state = self.stores.get(&addr);
        let parts = state.map(|state| state.complete.iter());
        let copy = |(key, tokens): (&PartKey, &Tokens)| (key.clone(), *tokens);
        parts
            .map(|parts| parts.map(copy).collect())
            .unwrap_or_default()
    }
}

/// What is known of kept parts, shared between its readers and placement; clones share it.
#[derive(Debug, Clone, Default)]
pub struct Kept {
    directory: Arc<Mutex<Directory>>,
    retirements: Arc<Mutex<Retirements>>,
    links: Arc<Mutex<Links>>,
}

impl Kept {
    /// The directory. Held only for look-ups, never across a wait.
    pub fn lock(&self) -> MutexGuard<'_, Directory> {
        self.directory.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Which parts are retired.
    pub fn retirements(&self) -> MutexGuard<'_, Retirements> {
        self.retirements.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// How many fetches the stores bear.
    pub fn links(&self) -> MutexGuard<'_, Links> {
        self.links.lock().unwrap_or_else(|e| e.into_inner())
    }
}
