//! History of the requests under which targets crashed; pure state without I/O.
//!
//! A single crash does not show which request caused it: each of the dozens that ran on the target is equally likely. So all of them
//! are recorded, and only a request under which [`KNOWN_AFTER`] targets crashed is refused. A request is cleared of a crash in three
//! cases: it was served since, another known request explains the crash, or other targets crashed at the same time.
//!
//! Boxes exchange their histories. Merging two of them takes the union of the crashed targets and the later of the times at which
//! the request was served, so the order, number and route of the reports do not matter.

use super::RequestFingerprint;
use crate::place::work::LifeHash;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Bound;
use std::time::Duration;
use tokio::time::Instant;

/// Number of crashes after which a request is refused. It is rare that a request ran beside a fatal one on two crashed targets, and
/// such a request is still served.
pub const KNOWN_AFTER: usize = 3;

/// Time after the last crash during which a fatal request is refused. Callers retry within seconds or minutes; each time that the
/// request is forgotten it costs three targets and what runs on them.
const FATAL_MEMORY: Duration = Duration::from_secs(3_600);

/// Retention time of a request under which fewer targets crashed: callers retry within seconds.
const SUSPECT_MEMORY: Duration = Duration::from_secs(60);

/// Maximum number of requests in the history; 200 bytes each. Beyond that, those with the fewest crashes are dropped, the oldest
/// first. 256 engines that crash together leave some thousand.
pub const MAX_REQUESTS: usize = 1_024;

/// Maximum number of crashes that are recorded for one request.
const MAX_ENDED: usize = 8;

/// Targets that crash within this time of each other count as crashed at the same time: boxes detect crashes within some ten
/// milliseconds and report them immediately. With a longer time, several fatal requests that each crash a target a second would
/// clear each other.
const SAME_MOMENT: Duration = Duration::from_millis(60);

/// If this many other targets crash at the same time, they have a common cause: a request crashes one target after the other.
const MASS_END: usize = 3;

/// Time after a change during which a request is part of every message: several gossip rounds.
const FRESH: Duration = Duration::from_secs(2);

/// Maximum numbers of requests in one message: those that changed recently, and in rotation those that are refused and the others.
/// 30 bytes each, so that a message takes a kilobyte of a datagram.
const FRESH_IN_WORD: usize = 24;
const FATAL_IN_WORD: usize = 6;
const OTHERS_IN_WORD: usize = 4;

/// Time after an attempt was abandoned, by its caller or at its timeout, in which a crash of the target counts for the request: the
/// target may still run it.
const LEFT_FOR: Duration = Duration::from_secs(2);

/// Maximum number of abandoned attempts that are recorded: more than a box abandons in that time.
const MAX_LEFT: usize = 512;

/// Crashes under one request, as boxes report them to each other. Ages are in milliseconds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// Targets that crashed under it, with the age of each crash.
    pub ended: Vec<(LifeHash, u32)>,
    /// Age of the last time that it was served.
    pub served: Option<u32>,
}

/// History of one request.
#[derive(Debug, Clone)]
struct Suspect {
    /// Targets that crashed under it, and when. Crashes that it is cleared of stay while there is capacity: another box may have
    /// recorded the same crash at a time slightly after the request was served.
    ended: BTreeMap<LifeHash, Instant>,
    served: Option<Instant>,
    changed: Instant,
    /// When this box last observed a change itself.
    found: Option<Instant>,
}

impl Suspect {
    fn new(now: Instant) -> Self {
        Self {
            ended: BTreeMap::new(),
            served: None,
            changed: now,
            found: None,
        }
    }

    /// Returns whether the request is cleared of a crash at `at`, since it was served later.
    fn is_cleared(&self, at: Instant) -> bool {
        self.served.is_some_and(|served| at <= served)
    }

    /// Returns the targets that crashed under it since it was last served.
    fn lives(&self) -> impl Iterator<Item = &LifeHash> {
        let ended = self.ended.iter();
        ended
            .filter(|(_, at)| !self.is_cleared(**at))
            .map(|(life, _)| life)
    }

    fn count(&self) -> usize {
        self.lives().count()
    }

    fn last(&self) -> Option<Instant> {
        self.ended.values().max().copied()
    }

    fn is_over(&self, now: Instant) -> bool {
        let memory = match self.count() >= KNOWN_AFTER {
            true => FATAL_MEMORY,
            false => SUSPECT_MEMORY,
        };
        let last = self.last().max(self.served);
        last.is_none_or(|at| now.saturating_duration_since(at) >= memory)
    }

    /// Records a crash, and returns whether it is new. Of two times for one crash the earlier is kept, as the more accurate one.
    fn add(&mut self, life: LifeHash, at: Instant) -> bool {
        if let Some(known) = self.ended.get_mut(&life) {
            *known = at.min(*known);
            return false;
        }
        if self.ended.len() >= MAX_ENDED && !self.make_room(at) {
            return false;
        }
        self.ended.insert(life, at);
        true
    }

    /// Drops a crash that it is cleared of, in favour of one at `at` that counts. Returns whether one was dropped.
    fn make_room(&mut self, at: Instant) -> bool {
        if self.is_cleared(at) {
            return false;
        }
        let cleared = self.ended.iter().filter(|(_, at)| self.is_cleared(**at));
        let oldest = cleared.min_by_key(|(_, at)| **at).map(|(life, _)| *life);
        oldest.is_some_and(|life| self.ended.remove(&life).is_some())
    }

    fn word(&self, fingerprint: RequestFingerprint, now: Instant) -> CrashReport {
        let age = |at: Instant| {
            let age = now.saturating_duration_since(at);
            u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
        };
        CrashReport {
            fingerprint,
            ended: self
                .ended
                .iter()
                .map(|(life, at)| (*life, age(*at)))
                .collect(),
            served: self.served.map(age),
        }
    }
}

/// An attempt that this box abandoned before the response.
#[derive(Debug)]
struct Left {
    fingerprint: RequestFingerprint,
    life: LifeHash,
    at: Instant,
}

/// Requests under which targets crashed.
#[derive(Debug, Default)]
pub struct Record {
    suspects: BTreeMap<RequestFingerprint, Suspect>,
    /// Attempts that this box abandoned before the response, oldest first.
    left: VecDeque<Left>,
    told_fatal: Option<RequestFingerprint>,
    told_other: Option<RequestFingerprint>,
}

impl Record {
    /// Records that a target crashed at `at` while it ran requests of this box. Returns those that are refused from now on.
    pub fn ended(
        &mut self,
        life: LifeHash,
        under: impl IntoIterator<Item = RequestFingerprint>,
        at: Instant,
        now: Instant,
    ) -> Vec<RequestFingerprint> {
        let mut prints = self.take_left(life, at);
        prints.extend(under);
        prints.sort_unstable();
        prints.dedup();
        prints.retain(|fingerprint| self.note(*fingerprint, life, at, now));
        self.bound(now);
        prints.retain(|fingerprint| self.refused_until(*fingerprint, now).is_some());
        prints
    }

    /// Removes the attempts that this box abandoned at a target, and returns the requests of those abandoned shortly before it
    /// crashed.
    fn take_left(&mut self, life: LifeHash, ended: Instant) -> Vec<RequestFingerprint> {
        let is_of = |left: &Left| left.life == life;
        let is_late = |left: &&Left| ended.saturating_duration_since(left.at) < LEFT_FOR;
        let late = self.left.iter().filter(|left| is_of(left)).filter(is_late);
        let prints = late.map(|left| left.fingerprint).collect();
        self.left.retain(|left| !is_of(left));
        prints
    }

    fn note(&mut self, fingerprint: RequestFingerprint, life: LifeHash, at: Instant, now: Instant) -> bool {
        let suspect = self.suspects.entry(fingerprint);
        let suspect = suspect.or_insert_with(|| Suspect::new(now));
        let is_new = suspect.add(life, at);
        if is_new {
            suspect.changed = now;
            suspect.found = Some(now);
        }
        is_new
    }

    /// Records that this box abandoned an attempt before the response: its target may still run it.
    pub fn left(&mut self, fingerprint: RequestFingerprint, life: LifeHash, now: Instant) {
        if self.left.len() >= MAX_LEFT {
            self.left.pop_front();
        }
        let at = now;
        self.left.push_back(Left { fingerprint, life, at });
    }

    /// Returns whether this box recently abandoned an attempt at a target.
    pub fn has_left(&self, life: LifeHash, now: Instant) -> bool {
        let is_late = |left: &Left| now.saturating_duration_since(left.at) < LEFT_FOR;
        self.left
            .iter()
            .any(|left| left.life == life && is_late(left))
    }

    /// Records that a request was served, which clears it of all earlier crashes.
    pub fn served(&mut self, fingerprint: RequestFingerprint, now: Instant) {
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.served = Some(now);
            suspect.changed = now;
            suspect.found = Some(now);
        }
    }

    /// Returns until when a request is refused, if it is known to be fatal.
    pub fn refused_until(&self, fingerprint: RequestFingerprint, now: Instant) -> Option<Instant> {
        let suspect = self.suspects.get(&fingerprint)?;
        let count = suspect.count();
        if count < KNOWN_AFTER {
            return None;
        }
        let is_explained = |life: &LifeHash| {
            let others = self.suspects.iter().filter(|(other, _)| **other != fingerprint);
            let mut there = others.filter(|(_, other)| other.ended.contains_key(life));
            there.any(|(_, other)| explains(other.count(), count))
        };
        let is_alone = |life: &&LifeHash| !is_explained(life) && !self.is_mass_end(suspect, life);
        let unexplained = suspect.lives().filter(is_alone).count();
        let until = suspect.last()? + FATAL_MEMORY;
        (unexplained >= KNOWN_AFTER && now < until).then_some(until)
    }

    /// Returns whether a target crashed together with others that did not run the request.
    fn is_mass_end(&self, suspect: &Suspect, life: &LifeHash) -> bool {
        let Some(at) = suspect.ended.get(life) else {
            return false;
        };
        let is_near = |other: &Instant| {
            other.saturating_duration_since(*at) < SAME_MOMENT
                && at.saturating_duration_since(*other) < SAME_MOMENT
        };
        let ended = self.suspects.values().flat_map(|other| &other.ended);
        let beside: BTreeSet<&LifeHash> = ended
            .filter(|(other, at)| is_near(at) && !suspect.ended.contains_key(*other))
            .map(|(other, _)| other)
            .collect();
        beside.len() >= MASS_END
    }

    /// Returns the number of crashes that count for a request.
    fn count(&self, fingerprint: RequestFingerprint) -> usize {
        self.suspects.get(&fingerprint).map_or(0, Suspect::count)
    }

    /// Applies reports from another box or from the platform store. Returns the requests that are refused from now on.
    pub fn hear(&mut self, words: &[CrashReport], now: Instant) -> Vec<RequestFingerprint> {
        let mut known = Vec::new();
        for (life, age) in words.iter().flat_map(|word| &word.ended) {
            let ended = now.checked_sub(Duration::from_millis(u64::from(*age)));
            if let Some(ended) = ended.filter(|_| !self.left.is_empty()) {
                for fingerprint in self.take_left(*life, ended) {
                    self.note(fingerprint, *life, ended, now);
                }
            }
        }
        for word in words {
            let before = self.refused_until(word.fingerprint, now);
            self.hear_one(word, now);
            let after = self.refused_until(word.fingerprint, now);
            if before.is_none() && after.is_some() {
                known.push(word.fingerprint);
            }
        }
        self.bound(now);
        known
    }

    fn hear_one(&mut self, word: &CrashReport, now: Instant) {
        let ago = |age: u32| now.checked_sub(Duration::from_millis(u64::from(age)));
        let known = self.suspects.get(&word.fingerprint).cloned();
        let mut suspect = known.unwrap_or_else(|| Suspect::new(now));
        let served = word.served.and_then(ago);
        // Boxes compute slightly different times for the same event.
        let mut is_news = served > suspect.served.map(|at| at + FRESH);
        suspect.served = suspect.served.max(served);
        for (life, age) in &word.ended {
            is_news |= ago(*age).is_some_and(|at| suspect.add(*life, at));
        }
        if is_news {
            suspect.changed = now;
        }
        if !suspect.is_over(now) {
            self.suspects.insert(word.fingerprint, suspect);
        }
    }

    /// Returns what this box itself observed recently, for the hubs of a large zone.
    pub fn found(&self, now: Instant) -> Vec<CrashReport> {
        let is_late = |suspect: &Suspect| {
            let found = suspect.found;
            found.is_some_and(|at| now.saturating_duration_since(at) < FRESH)
        };
        let found = self.suspects.iter().filter(|(_, suspect)| is_late(suspect));
        let found = found.take(FRESH_IN_WORD);
        found
            .map(|(fingerprint, suspect)| suspect.word(*fingerprint, now))
            .collect()
    }

    /// Returns the next reports to other boxes: recent changes, and the rest in rotation, for boxes that start or were partitioned.
    pub fn told(&mut self, now: Instant) -> Vec<CrashReport> {
        self.forget(now);
        let is_fresh = |suspect: &Suspect| now.saturating_duration_since(suspect.changed) < FRESH;
        let mut prints: Vec<RequestFingerprint> = self
            .suspects
            .iter()
            .filter(|(_, suspect)| is_fresh(suspect))
            .map(|(fingerprint, _)| *fingerprint)
            .collect();
        prints.sort_by_key(|fingerprint| std::cmp::Reverse(self.count(*fingerprint)));
        prints.truncate(FRESH_IN_WORD);
        let fatal = self.in_turn(self.told_fatal, FATAL_IN_WORD, |count| count >= KNOWN_AFTER);
        self.told_fatal = fatal.last().copied();
        let others = self.in_turn(self.told_other, OTHERS_IN_WORD, |count| count < KNOWN_AFTER);
        self.told_other = others.last().copied();
        prints.extend(fatal);
        prints.extend(others);
        prints.sort_unstable();
        prints.dedup();
        let word = |fingerprint: RequestFingerprint| Some(self.suspects.get(&fingerprint)?.word(fingerprint, now));
        prints.into_iter().filter_map(word).collect()
    }

    /// Returns the next requests after `after`, wrapping around at the end.
    fn in_turn(
        &self,
        after: Option<RequestFingerprint>,
        most: usize,
        takes: impl Fn(usize) -> bool,
    ) -> Vec<RequestFingerprint> {
        let begin = after.map_or(Bound::Unbounded, Bound::Excluded);
        let behind = self.suspects.range((begin, Bound::Unbounded));
        let taken =
            |(fingerprint, suspect): (&RequestFingerprint, &Suspect)| takes(suspect.count()).then_some(*fingerprint);
        behind
            .chain(self.suspects.iter())
            .filter_map(taken)
            .take(most)
            .collect()
    }

    /// Returns at most `most` requests with at least `count` crashes, for persistence: most crashes first, then newest first.
    pub fn worth_keeping(&self, count: usize, most: usize, now: Instant) -> Vec<CrashReport> {
        let enough = |(_, suspect): &(&RequestFingerprint, &Suspect)| suspect.count() >= count;
        let mut kept: Vec<_> = self.suspects.iter().filter(enough).collect();
        kept.sort_by_key(|(_, suspect)| std::cmp::Reverse((suspect.count(), suspect.changed)));
        kept.truncate(most);
        let word = |(fingerprint, suspect): (&RequestFingerprint, &Suspect)| suspect.word(*fingerprint, now);
        kept.into_iter().map(word).collect()
    }

    /// Returns whether this box itself observed the last change of a request.
    pub fn is_found_here(&self, fingerprint: RequestFingerprint) -> bool {
        let suspect = self.suspects.get(&fingerprint);
        suspect.is_some_and(|suspect| suspect.found == Some(suspect.changed))
    }

    /// Returns the number of requests in the history.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns whether the history contains no requests.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    fn forget(&mut self, now: Instant) {
        self.suspects.retain(|_, suspect| !suspect.is_over(now));
    }

    fn bound(&mut self, now: Instant) {
        if self.suspects.len() <= MAX_REQUESTS {
            return;
        }
        self.forget(now);
        let mut order: Vec<_> = self
            .suspects
            .iter()
            .map(|(fingerprint, suspect)| (suspect.count(), suspect.changed, *fingerprint))
            .collect();
        order.sort_unstable();
        let surplus = self.suspects.len().saturating_sub(MAX_REQUESTS);
        for (_, _, fingerprint) in order.into_iter().take(surplus) {
            self.suspects.remove(&fingerprint);
        }
    }
}

/// Returns whether a request with `others` crashes is a likelier cause of a crash than one with `own`. If both have the same number,
/// each may be sent once more, and the next crash distinguishes them.
fn explains(others: usize, own: usize) -> bool {
    others > own || (others == own && own == KNOWN_AFTER)
}
