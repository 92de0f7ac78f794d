//! History of the requests under which targets crashed; pure state without I/O.
//!
//! A single crash does not show which request caused it: each of the dozens that ran on the target is equally likely. So all of them
//! are recorded, and only a request under which [`FATAL_CRASHES`] targets crashed is refused. A request is cleared of a crash in three
//! cases: it was served since, another request with more crashes explains it, or other targets crashed at the same time.
//!
//! Boxes exchange their histories. Merging two of them takes the union of the crashed targets and the later of the times at which
//! the request was served, so the order, number and route of the reports do not matter.

use super::Fingerprint;
use crate::placement::work::IncarnationHash;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Bound;
use std::time::Duration;
use tokio::time::Instant;

/// Number of crashes after which a request is refused. It is rare that a request ran beside a fatal one on two crashed targets, and
/// such a request is still served.
pub const FATAL_CRASHES: usize = 3;

/// Time after the last crash during which a fatal request is refused. Callers retry within seconds or minutes; each time that the
/// request is forgotten it costs three targets and what runs on them.
const FATAL_RETENTION: Duration = Duration::from_secs(3_600);

/// Retention time of a request under which fewer targets crashed: callers retry within seconds.
const SUSPECT_RETENTION: Duration = Duration::from_secs(60);

/// Maximum number of requests in the history; 200 bytes each. Beyond that, those with the fewest crashes are dropped, the oldest
/// first. 256 engines that crash together leave some thousand.
pub const MAX_REQUESTS: usize = 1_024;

/// Maximum number of crashes that are recorded for one request.
const MAX_CRASHES: usize = 8;

/// Targets that crash within this time of each other count as crashed at the same time: boxes detect crashes within some ten
/// milliseconds and report them immediately. With a longer time, several fatal requests that each crash a target a second would
/// clear each other.
const SAME_TIME: Duration = Duration::from_millis(60);

/// If this many other targets crash at the same time, they have a common cause: a request crashes one target after the other.
const MASS_CRASH: usize = 3;

/// Time after a change during which a request is part of every message: several gossip rounds.
const RECENT: Duration = Duration::from_secs(2);

/// Maximum numbers of requests in one message: those that changed recently, and in rotation those that are refused and the others.
/// 30 bytes each, so that a message takes a kilobyte of a datagram.
const MAX_RECENT: usize = 24;
const MAX_FATAL: usize = 6;
const MAX_OTHERS: usize = 4;

/// Time after an attempt was abandoned, by its caller or at its timeout, in which a crash of the target counts for the request: the
/// target may still run it.
const ABANDONED_FOR: Duration = Duration::from_secs(2);

/// Maximum number of abandoned attempts that are recorded: more than a box abandons in that time.
const MAX_ABANDONED: usize = 512;

/// Crashes under one request, as boxes report them to each other. Ages are in milliseconds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Targets that crashed under it, with the age of each crash.
    pub crashes: Vec<(IncarnationHash, u32)>,
    /// Age of the last time that it was served.
    pub served: Option<u32>,
}

/// History of one request.
#[derive(Debug, Clone)]
struct Suspect {
    /// Targets that crashed under it, and when. Crashes that it is cleared of stay while there is capacity: another box may have
    /// recorded the same crash at a time slightly after the request was served.
    crashes: BTreeMap<IncarnationHash, Instant>,
    served: Option<Instant>,
    changed: Instant,
    /// When this box last observed a change itself.
    observed: Option<Instant>,
}

impl Suspect {
    fn new(now: Instant) -> Self {
        Self {
            crashes: BTreeMap::new(),
            served: None,
            changed: now,
            observed: None,
        }
    }

    /// Returns whether the request is cleared of a crash at `at`, since it was served later.
    fn is_cleared(&self, at: Instant) -> bool {
        self.served.is_some_and(|served| at <= served)
    }

    /// Returns the targets that crashed under it since it was last served.
    fn counted_crashes(&self) -> impl Iterator<Item = &IncarnationHash> {
        let crashes = self.crashes.iter();
        crashes
            .filter(|(_, at)| !self.is_cleared(**at))
            .map(|(incarnation, _)| incarnation)
    }

    fn crash_count(&self) -> usize {
        self.counted_crashes().count()
    }

    fn last_crash(&self) -> Option<Instant> {
        self.crashes.values().max().copied()
    }

    fn is_expired(&self, now: Instant) -> bool {
        let retention = match self.crash_count() >= FATAL_CRASHES {
            true => FATAL_RETENTION,
            false => SUSPECT_RETENTION,
        };
        let last_event = self.last_crash().max(self.served);
        last_event.is_none_or(|at| now.saturating_duration_since(at) >= retention)
    }

    /// Records a crash, and returns whether it is new. Of two times for one crash the earlier is kept, as the more accurate one.
    fn add(&mut self, incarnation: IncarnationHash, at: Instant) -> bool {
        if let Some(known) = self.crashes.get_mut(&incarnation) {
            *known = at.min(*known);
            return false;
        }
        if self.crashes.len() >= MAX_CRASHES && !self.evict_cleared(at) {
            return false;
        }
        self.crashes.insert(incarnation, at);
        true
    }

    /// Drops a crash that it is cleared of, in favour of one at `at` that counts. Returns whether one was dropped.
    fn evict_cleared(&mut self, at: Instant) -> bool {
        if self.is_cleared(at) {
            return false;
        }
        let cleared = self.crashes.iter().filter(|(_, at)| self.is_cleared(**at));
        let oldest = cleared
            .min_by_key(|(_, at)| **at)
            .map(|(incarnation, _)| *incarnation);
        oldest.is_some_and(|incarnation| self.crashes.remove(&incarnation).is_some())
    }

    fn report(&self, fingerprint: Fingerprint, now: Instant) -> CrashReport {
        let age = |at: Instant| {
            let age = now.saturating_duration_since(at);
            u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
        };
        CrashReport {
            fingerprint,
            crashes: self
                .crashes
                .iter()
                .map(|(incarnation, at)| (*incarnation, age(*at)))
                .collect(),
            served: self.served.map(age),
        }
    }
}

/// An attempt that this box abandoned before the response.
#[derive(Debug)]
struct Abandoned {
    fingerprint: Fingerprint,
    incarnation: IncarnationHash,
    at: Instant,
}

/// Requests under which targets crashed.
#[derive(Debug, Default)]
pub struct CrashRecord {
    suspects: BTreeMap<Fingerprint, Suspect>,
    /// Attempts that this box abandoned before the response, oldest first.
    abandoned: VecDeque<Abandoned>,
    /// The last fatal request, and the last other one, in the previous message.
    last_fatal: Option<Fingerprint>,
    last_other: Option<Fingerprint>,
}

impl CrashRecord {
    /// Records that a target crashed at `at` while it ran requests of this box. Returns those that are refused from now on.
    pub fn record_crash(
        &mut self,
        incarnation: IncarnationHash,
        under: impl IntoIterator<Item = Fingerprint>,
        at: Instant,
        now: Instant,
    ) -> Vec<Fingerprint> {
        let mut fingerprints = self.take_abandoned(incarnation, at);
        fingerprints.extend(under);
        fingerprints.sort_unstable();
        fingerprints.dedup();
        fingerprints.retain(|fingerprint| self.add_crash(*fingerprint, incarnation, at, now));
        self.enforce_limit(now);
        fingerprints.retain(|fingerprint| self.refused_until(*fingerprint, now).is_some());
        fingerprints
    }

    /// Removes the attempts that this box abandoned at a target, and returns the requests of those abandoned shortly before it
    /// crashed.
    fn take_abandoned(&mut self, incarnation: IncarnationHash, crash: Instant) -> Vec<Fingerprint> {
        let is_at_target = |attempt: &Abandoned| attempt.incarnation == incarnation;
        let is_recent = |one: &&Abandoned| crash.saturating_duration_since(one.at) < ABANDONED_FOR;
        let recent = self
            .abandoned
            .iter()
            .filter(|attempt| is_at_target(attempt))
            .filter(is_recent);
        let fingerprints = recent.map(|attempt| attempt.fingerprint).collect();
        self.abandoned.retain(|attempt| !is_at_target(attempt));
        fingerprints
    }

    fn add_crash(
        &mut self,
        fingerprint: Fingerprint,
        incarnation: IncarnationHash,
        at: Instant,
        now: Instant,
    ) -> bool {
        let suspect = self.suspects.entry(fingerprint);
        let suspect = suspect.or_insert_with(|| Suspect::new(now));
        let is_new = suspect.add(incarnation, at);
        if is_new {
            suspect.changed = now;
            suspect.observed = Some(now);
        }
        is_new
    }

    /// Records that this box abandoned an attempt before the response: its target may still run it.
    pub fn record_abandoned(
        &mut self,
        fingerprint: Fingerprint,
        incarnation: IncarnationHash,
        now: Instant,
    ) {
        if self.abandoned.len() >= MAX_ABANDONED {
            self.abandoned.pop_front();
        }
        let at = now;
        self.abandoned.push_back(Abandoned {
            fingerprint,
            incarnation,
            at,
        });
    }

    /// Returns whether this box recently abandoned an attempt at a target.
    pub fn has_abandoned(&self, incarnation: IncarnationHash, now: Instant) -> bool {
        let is_recent =
            |attempt: &Abandoned| now.saturating_duration_since(attempt.at) < ABANDONED_FOR;
        self.abandoned
            .iter()
            .any(|attempt| attempt.incarnation == incarnation && is_recent(attempt))
    }

    /// Records that a request was served, which clears it of all earlier crashes.
    pub fn served(&mut self, fingerprint: Fingerprint, now: Instant) {
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.served = Some(now);
            suspect.changed = now;
            suspect.observed = Some(now);
        }
    }

    /// Returns until when a request is refused, if it is known to be fatal.
    pub fn refused_until(&self, fingerprint: Fingerprint, now: Instant) -> Option<Instant> {
        let suspect = self.suspects.get(&fingerprint)?;
        let count = suspect.crash_count();
        if count < FATAL_CRASHES {
            return None;
        }
        let is_explained = |incarnation: &IncarnationHash| {
            let others = self
                .suspects
                .iter()
                .filter(|(other, _)| **other != fingerprint);
            let mut suspects = others.filter(|(_, other)| other.crashes.contains_key(incarnation));
            suspects.any(|(_, other)| explains(other.crash_count(), count))
        };
        let counts = |id: &&IncarnationHash| !is_explained(id) && !self.is_mass_crash(suspect, id);
        let unexplained = suspect.counted_crashes().filter(counts).count();
        let until = suspect.last_crash()? + FATAL_RETENTION;
        (unexplained >= FATAL_CRASHES && now < until).then_some(until)
    }

    /// Returns whether a target crashed together with others that did not run the request.
    fn is_mass_crash(&self, suspect: &Suspect, incarnation: &IncarnationHash) -> bool {
        let Some(at) = suspect.crashes.get(incarnation) else {
            return false;
        };
        let is_near = |other: &Instant| {
            other.saturating_duration_since(*at) < SAME_TIME
                && at.saturating_duration_since(*other) < SAME_TIME
        };
        let crashes = self.suspects.values().flat_map(|other| &other.crashes);
        let others_crashed: BTreeSet<&IncarnationHash> = crashes
            .filter(|(other, at)| is_near(at) && !suspect.crashes.contains_key(*other))
            .map(|(other, _)| other)
            .collect();
        others_crashed.len() >= MASS_CRASH
    }

    /// Returns the number of crashes that count for a request.
    fn crash_count(&self, fingerprint: Fingerprint) -> usize {
        self.suspects
            .get(&fingerprint)
            .map_or(0, Suspect::crash_count)
    }

    /// Applies reports from another box or from the platform store. Returns the requests that are refused from now on.
    pub fn apply_update(&mut self, reports: &[CrashReport], now: Instant) -> Vec<Fingerprint> {
        let mut fatal = Vec::new();
        for (incarnation, age) in reports.iter().flat_map(|report| &report.crashes) {
            let crashed_at = now.checked_sub(Duration::from_millis(u64::from(*age)));
            if let Some(crashed_at) = crashed_at.filter(|_| !self.abandoned.is_empty()) {
                for fingerprint in self.take_abandoned(*incarnation, crashed_at) {
                    self.add_crash(fingerprint, *incarnation, crashed_at, now);
                }
            }
        }
        for report in reports {
            let before = self.refused_until(report.fingerprint, now);
            self.apply_report(report, now);
            let after = self.refused_until(report.fingerprint, now);
            if before.is_none() && after.is_some() {
                fatal.push(report.fingerprint);
            }
        }
        self.enforce_limit(now);
        fatal
    }

    fn apply_report(&mut self, report: &CrashReport, now: Instant) {
        let time_before = |age: u32| now.checked_sub(Duration::from_millis(u64::from(age)));
        let known = self.suspects.get(&report.fingerprint).cloned();
        let mut suspect = known.unwrap_or_else(|| Suspect::new(now));
        let served = report.served.and_then(time_before);
        // Boxes compute slightly different times for the same event.
        let mut is_new = served > suspect.served.map(|at| at + RECENT);
        suspect.served = suspect.served.max(served);
        for (incarnation, age) in &report.crashes {
            is_new |= time_before(*age).is_some_and(|at| suspect.add(*incarnation, at));
        }
        if is_new {
            suspect.changed = now;
        }
        if !suspect.is_expired(now) {
            self.suspects.insert(report.fingerprint, suspect);
        }
    }

    /// Returns what this box itself observed recently, for the hubs of a large zone.
    pub fn observed(&self, now: Instant) -> Vec<CrashReport> {
        let is_recent = |suspect: &Suspect| {
            let observed = suspect.observed;
            observed.is_some_and(|at| now.saturating_duration_since(at) < RECENT)
        };
        let observed = self
            .suspects
            .iter()
            .filter(|(_, suspect)| is_recent(suspect));
        let observed = observed.take(MAX_RECENT);
        observed
            .map(|(fingerprint, suspect)| suspect.report(*fingerprint, now))
            .collect()
    }

    /// Returns the next reports to other boxes: recent changes, and the rest in rotation, for boxes that start or were partitioned.
    pub fn updates_to_send(&mut self, now: Instant) -> Vec<CrashReport> {
        self.remove_expired(now);
        let is_recent = |suspect: &Suspect| now.saturating_duration_since(suspect.changed) < RECENT;
        let mut fingerprints: Vec<Fingerprint> = self
            .suspects
            .iter()
            .filter(|(_, suspect)| is_recent(suspect))
            .map(|(fingerprint, _)| *fingerprint)
            .collect();
        fingerprints.sort_by_key(|fingerprint| std::cmp::Reverse(self.crash_count(*fingerprint)));
        fingerprints.truncate(MAX_RECENT);
        let fatal = self.next_after(self.last_fatal, MAX_FATAL, |count| count >= FATAL_CRASHES);
        self.last_fatal = fatal.last().copied();
        let others = self.next_after(self.last_other, MAX_OTHERS, |count| count < FATAL_CRASHES);
        self.last_other = others.last().copied();
        fingerprints.extend(fatal);
        fingerprints.extend(others);
        fingerprints.sort_unstable();
        fingerprints.dedup();
        let report = |of: Fingerprint| Some(self.suspects.get(&of)?.report(of, now));
        fingerprints.into_iter().filter_map(report).collect()
    }

    /// Returns the next requests after `after`, wrapping around at the end.
    fn next_after(
        &self,
        after: Option<Fingerprint>,
        max: usize,
        takes: impl Fn(usize) -> bool,
    ) -> Vec<Fingerprint> {
        let begin = after.map_or(Bound::Unbounded, Bound::Excluded);
        let following = self.suspects.range((begin, Bound::Unbounded));
        let taken =
            |(key, suspect): (&Fingerprint, &Suspect)| takes(suspect.crash_count()).then_some(*key);
        following
            .chain(self.suspects.iter())
            .filter_map(taken)
            .take(max)
            .collect()
    }

    /// Returns at most `max` requests with at least `min_crashes` crashes, for persistence: most crashes first, then newest first.
    pub fn to_persist(&self, min_crashes: usize, max: usize, now: Instant) -> Vec<CrashReport> {
        let enough = |(_, suspect): &(&Fingerprint, &Suspect)| suspect.crash_count() >= min_crashes;
        let mut top: Vec<_> = self.suspects.iter().filter(enough).collect();
        top.sort_by_key(|(_, suspect)| std::cmp::Reverse((suspect.crash_count(), suspect.changed)));
        top.truncate(max);
        let report = |(key, suspect): (&Fingerprint, &Suspect)| suspect.report(*key, now);
        top.into_iter().map(report).collect()
    }

    /// Returns whether this box itself observed the last change of a request.
    pub fn is_observed_here(&self, fingerprint: Fingerprint) -> bool {
        let suspect = self.suspects.get(&fingerprint);
        suspect.is_some_and(|suspect| suspect.observed == Some(suspect.changed))
    }

    /// Returns the number of requests in the history.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns whether the history contains no requests.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    fn remove_expired(&mut self, now: Instant) {
        self.suspects.retain(|_, suspect| !suspect.is_expired(now));
    }

    fn enforce_limit(&mut self, now: Instant) {
        if self.suspects.len() <= MAX_REQUESTS {
            return;
        }
        self.remove_expired(now);
        let mut order: Vec<_> = self
            .suspects
            .iter()
            .map(|(fingerprint, suspect)| (suspect.crash_count(), suspect.changed, *fingerprint))
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
    others > own || (others == own && own == FATAL_CRASHES)
}
