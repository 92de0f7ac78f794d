//! What is known of requests under which targets ended; pure state.
//!
//! One ended target says nothing of the requests that it had: each of dozens is as likely to have been the reason as the others. So all of them are
//! noted, and only a request under which [`KNOWN_AFTER`] targets ended is sent to no more. Three things clear a request: it was served since, other
//! requests that are known already explain why its targets ended, or other targets ended at the same moment.
//!
//! Boxes tell each other what they noted. What two of them know together is the union of the ended targets and the later of the times at which the
//! request was served, so it does not matter in which order, how often or by which way they hear it.

use super::RequestPrint;
use crate::placement::work::IncarnationHash;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Bound;
use std::time::Duration;
use tokio::time::Instant;

/// Ended targets after which a request is sent to no more. A request that was beside another one on two targets that ended is rare, and is served.
pub const KNOWN_AFTER: usize = 3;

/// A request that ended targets is refused for so long after the last of them. Callers come back within seconds or minutes; each time that it is
/// forgotten it costs three targets and what runs on them.
const FATAL_MEMORY: Duration = Duration::from_secs(3_600);

/// A request under which fewer targets ended is remembered for so long: callers try again within seconds.
const SUSPECT_MEMORY: Duration = Duration::from_secs(60);

/// Requests that are remembered; 200 bytes each. Beyond that those go under which the fewest targets ended, the oldest first. 256 engines that end at once
/// leave some thousand.
pub const MAX_REQUESTS: usize = 1_024;

/// Ended targets that are remembered of one request.
const MAX_ENDED: usize = 8;

/// Targets that end within this time of each other end at the same moment: boxes find out within some ten milliseconds and tell each other at once. Longer, and
/// several fatal requests that each end a target a second would clear each other.
const SAME_MOMENT: Duration = Duration::from_millis(60);

/// If so many other targets end at the same moment, whatever ended them ended this one too: a request ends one target after the other.
const MASS_END: usize = 3;

/// A request is told by every word for so long after it changed: several rounds of news.
const FRESH: Duration = Duration::from_secs(2);

/// Requests in one word: those that changed, those that are refused and the others in turn. 30 bytes each, so that a word takes a kilobyte of a datagram.
const FRESH_IN_WORD: usize = 24;
const FATAL_IN_WORD: usize = 6;
const OTHERS_IN_WORD: usize = 4;

/// A request whose caller left, or whose time was over, may still be run: a target that ends within this time counts for it.
const LEFT_FOR: Duration = Duration::from_secs(2);

/// Such requests that are remembered: more than a box leaves in the time.
const MAX_LEFT: usize = 512;

/// What a box tells of one request. The ages are milliseconds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FatalWord {
    /// The request.
    pub print: RequestPrint,
    /// Targets that ended under it, and how long ago.
    pub ended: Vec<(IncarnationHash, u32)>,
    /// How long ago it was served.
    pub served: Option<u32>,
}

/// What is known of one request.
#[derive(Debug, Clone)]
struct Suspect {
    /// Targets that ended under it, and when. Those that it is cleared of stay while there is room: another box may have noted the same end a little
    /// later than it was served.
    ended: BTreeMap<IncarnationHash, Instant>,
    served: Option<Instant>,
    changed: Instant,
    /// When this box last noted something itself.
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

    /// Whether a target that ended at `at` did not end because of it: it was served since.
    fn is_cleared(&self, at: Instant) -> bool {
        self.served.is_some_and(|served| at <= served)
    }

    /// Targets that ended under it since it was last served.
    fn lives(&self) -> impl Iterator<Item = &IncarnationHash> {
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

    /// Notes an ended target; whether that is news. Of two times the earlier is nearer to the truth.
    fn add(&mut self, life: IncarnationHash, at: Instant) -> bool {
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

    /// Forgets an end that it is cleared of, for one at `at` that counts; whether there was any.
    fn make_room(&mut self, at: Instant) -> bool {
        if self.is_cleared(at) {
            return false;
        }
        let cleared = self.ended.iter().filter(|(_, at)| self.is_cleared(**at));
        let oldest = cleared.min_by_key(|(_, at)| **at).map(|(life, _)| *life);
        oldest.is_some_and(|life| self.ended.remove(&life).is_some())
    }

    fn word(&self, print: RequestPrint, now: Instant) -> FatalWord {
        let age = |at: Instant| {
            let age = now.saturating_duration_since(at);
            u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
        };
        FatalWord {
            print,
            ended: self
                .ended
                .iter()
                .map(|(life, at)| (*life, age(*at)))
                .collect(),
            served: self.served.map(age),
        }
    }
}

/// A sending that this box left before it had an answer.
#[derive(Debug)]
struct Left {
    print: RequestPrint,
    life: IncarnationHash,
    at: Instant,
}

/// Requests under which targets ended.
#[derive(Debug, Default)]
pub struct Record {
    suspects: BTreeMap<RequestPrint, Suspect>,
    /// Left by this box before there was an answer.
    left: VecDeque<Left>,
    told_fatal: Option<RequestPrint>,
    told_other: Option<RequestPrint>,
}

impl Record {
    /// A target ended at `at`, under requests of this box. Those that are known by it now are returned.
    pub fn ended(
        &mut self,
        life: IncarnationHash,
        under: impl IntoIterator<Item = RequestPrint>,
        at: Instant,
        now: Instant,
    ) -> Vec<RequestPrint> {
        let mut prints = self.take_left(life, at);
        prints.extend(under);
        prints.sort_unstable();
        prints.dedup();
        prints.retain(|print| self.note(*print, life, at, now));
        self.bound(now);
        prints.retain(|print| self.refused_until(*print, now).is_some());
        prints
    }

    /// Requests that this box left at a target shortly before it ended.
    fn take_left(&mut self, life: IncarnationHash, ended: Instant) -> Vec<RequestPrint> {
        let is_of = |left: &Left| left.life == life;
        let is_late = |left: &&Left| ended.saturating_duration_since(left.at) < LEFT_FOR;
        let late = self.left.iter().filter(|left| is_of(left)).filter(is_late);
        let prints = late.map(|left| left.print).collect();
        self.left.retain(|left| !is_of(left));
        prints
    }

    fn note(
        &mut self,
        print: RequestPrint,
        life: IncarnationHash,
        at: Instant,
        now: Instant,
    ) -> bool {
        let suspect = self.suspects.entry(print);
        let suspect = suspect.or_insert_with(|| Suspect::new(now));
        let is_new = suspect.add(life, at);
        if is_new {
            suspect.changed = now;
            suspect.found = Some(now);
        }
        is_new
    }

    /// This box left a sending before there was an answer: its target may still run it.
    pub fn left(&mut self, print: RequestPrint, life: IncarnationHash, now: Instant) {
        if self.left.len() >= MAX_LEFT {
            self.left.pop_front();
        }
        let at = now;
        self.left.push_back(Left { print, life, at });
    }

    /// Whether this box left a sending to a target of late.
    pub fn has_left(&self, life: IncarnationHash, now: Instant) -> bool {
        let is_late = |left: &Left| now.saturating_duration_since(left.at) < LEFT_FOR;
        self.left
            .iter()
            .any(|left| left.life == life && is_late(left))
    }

    /// A request was served: nothing ended because of it so far.
    pub fn served(&mut self, print: RequestPrint, now: Instant) {
        if let Some(suspect) = self.suspects.get_mut(&print) {
            suspect.served = Some(now);
            suspect.changed = now;
            suspect.found = Some(now);
        }
    }

    /// Until when a request is sent to no target, if it is one that ends them.
    pub fn refused_until(&self, print: RequestPrint, now: Instant) -> Option<Instant> {
        let suspect = self.suspects.get(&print)?;
        let count = suspect.count();
        if count < KNOWN_AFTER {
            return None;
        }
        let is_explained = |life: &IncarnationHash| {
            let others = self.suspects.iter().filter(|(other, _)| **other != print);
            let mut there = others.filter(|(_, other)| other.ended.contains_key(life));
            there.any(|(_, other)| explains(other.count(), count))
        };
        let is_alone =
            |life: &&IncarnationHash| !is_explained(life) && !self.is_mass_end(suspect, life);
        let unexplained = suspect.lives().filter(is_alone).count();
        let until = suspect.last()? + FATAL_MEMORY;
        (unexplained >= KNOWN_AFTER && now < until).then_some(until)
    }

    /// Whether a target ended together with others that did not have the request.
    fn is_mass_end(&self, suspect: &Suspect, life: &IncarnationHash) -> bool {
        let Some(at) = suspect.ended.get(life) else {
            return false;
        };
        let is_near = |other: &Instant| {
            other.saturating_duration_since(*at) < SAME_MOMENT
                && at.saturating_duration_since(*other) < SAME_MOMENT
        };
        let ended = self.suspects.values().flat_map(|other| &other.ended);
        let beside: BTreeSet<&IncarnationHash> = ended
            .filter(|(other, at)| is_near(at) && !suspect.ended.contains_key(*other))
            .map(|(other, _)| other)
            .collect();
        beside.len() >= MASS_END
    }

    /// Ended targets that count for a request.
    fn count(&self, print: RequestPrint) -> usize {
        self.suspects.get(&print).map_or(0, Suspect::count)
    }

    /// Takes what another box tells, or what was kept; requests that are known by it now are returned.
    pub fn hear(&mut self, words: &[FatalWord], now: Instant) -> Vec<RequestPrint> {
        let mut known = Vec::new();
        for (life, age) in words.iter().flat_map(|word| &word.ended) {
            let ended = now.checked_sub(Duration::from_millis(u64::from(*age)));
            if let Some(ended) = ended.filter(|_| !self.left.is_empty()) {
                for print in self.take_left(*life, ended) {
                    self.note(print, *life, ended, now);
                }
            }
        }
        for word in words {
            let before = self.refused_until(word.print, now);
            self.hear_one(word, now);
            let after = self.refused_until(word.print, now);
            if before.is_none() && after.is_some() {
                known.push(word.print);
            }
        }
        self.bound(now);
        known
    }

    fn hear_one(&mut self, word: &FatalWord, now: Instant) {
        let ago = |age: u32| now.checked_sub(Duration::from_millis(u64::from(age)));
        let known = self.suspects.get(&word.print).cloned();
        let mut suspect = known.unwrap_or_else(|| Suspect::new(now));
        let served = word.served.and_then(ago);
        // Boxes reckon the same moment a little differently.
        let mut is_news = served > suspect.served.map(|at| at + FRESH);
        suspect.served = suspect.served.max(served);
        for (life, age) in &word.ended {
            is_news |= ago(*age).is_some_and(|at| suspect.add(*life, at));
        }
        if is_news {
            suspect.changed = now;
        }
        if !suspect.is_over(now) {
            self.suspects.insert(word.print, suspect);
        }
    }

    /// What this box noted itself of late, for the hubs of a large zone.
    pub fn found(&self, now: Instant) -> Vec<FatalWord> {
        let is_late = |suspect: &Suspect| {
            let found = suspect.found;
            found.is_some_and(|at| now.saturating_duration_since(at) < FRESH)
        };
        let found = self.suspects.iter().filter(|(_, suspect)| is_late(suspect));
        let found = found.take(FRESH_IN_WORD);
        found
            .map(|(print, suspect)| suspect.word(*print, now))
            .collect()
    }

    /// What is told to other boxes: what changed of late, and the rest in turn, for boxes that start or were cut off.
    pub fn told(&mut self, now: Instant) -> Vec<FatalWord> {
        self.forget(now);
        let is_fresh = |suspect: &Suspect| now.saturating_duration_since(suspect.changed) < FRESH;
        let mut prints: Vec<RequestPrint> = self
            .suspects
            .iter()
            .filter(|(_, suspect)| is_fresh(suspect))
            .map(|(print, _)| *print)
            .collect();
        prints.sort_by_key(|print| std::cmp::Reverse(self.count(*print)));
        prints.truncate(FRESH_IN_WORD);
        let fatal = self.in_turn(self.told_fatal, FATAL_IN_WORD, |count| count >= KNOWN_AFTER);
        self.told_fatal = fatal.last().copied();
        let others = self.in_turn(self.told_other, OTHERS_IN_WORD, |count| count < KNOWN_AFTER);
        self.told_other = others.last().copied();
        prints.extend(fatal);
        prints.extend(others);
        prints.sort_unstable();
        prints.dedup();
        let word = |print: RequestPrint| Some(self.suspects.get(&print)?.word(print, now));
        prints.into_iter().filter_map(word).collect()
    }

    /// The next requests behind `after`, from the start again at the end.
    fn in_turn(
        &self,
        after: Option<RequestPrint>,
        most: usize,
        takes: impl Fn(usize) -> bool,
    ) -> Vec<RequestPrint> {
        let begin = after.map_or(Bound::Unbounded, Bound::Excluded);
        let behind = self.suspects.range((begin, Bound::Unbounded));
        let taken =
            |(print, suspect): (&RequestPrint, &Suspect)| takes(suspect.count()).then_some(*print);
        behind
            .chain(self.suspects.iter())
            .filter_map(taken)
            .take(most)
            .collect()
    }

    /// Requests under which at least `count` targets ended, as they are kept: those under which the most ended, the newest first.
    pub fn worth_keeping(&self, count: usize, most: usize, now: Instant) -> Vec<FatalWord> {
        let enough = |(_, suspect): &(&RequestPrint, &Suspect)| suspect.count() >= count;
        let mut kept: Vec<_> = self.suspects.iter().filter(enough).collect();
        kept.sort_by_key(|(_, suspect)| std::cmp::Reverse((suspect.count(), suspect.changed)));
        kept.truncate(most);
        let word = |(print, suspect): (&RequestPrint, &Suspect)| suspect.word(*print, now);
        kept.into_iter().map(word).collect()
    }

    /// Whether this box itself noted the last of what is known of a request.
    pub fn is_found_here(&self, print: RequestPrint) -> bool {
        let suspect = self.suspects.get(&print);
        suspect.is_some_and(|suspect| suspect.found == Some(suspect.changed))
    }

    /// Requests that are remembered.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether none is.
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
            .map(|(print, suspect)| (suspect.count(), suspect.changed, *print))
            .collect();
        order.sort_unstable();
        let surplus = self.suspects.len().saturating_sub(MAX_REQUESTS);
        for (_, _, print) in order.into_iter().take(surplus) {
            self.suspects.remove(&print);
        }
    }
}

/// Whether a request under which `others` targets ended is the likelier reason for an end than one under which `own` did. If as many ended under both,
/// each may be sent on once more, and the next end tells them apart.
fn explains(others: usize, own: usize) -> bool {
    others > own || (others == own && own == KNOWN_AFTER)
}
