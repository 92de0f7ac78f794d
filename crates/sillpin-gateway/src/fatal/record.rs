//! History of the requests under which targets crashed; pure state without I/O.
//!
//! A single crash does not show what caused it: each of the dozens of requests that ran on the target, and each part of their prompts,
//! is equally likely. So all of them are recorded, and only what at least three targets crashed under is refused. A request or part is
//! cleared of a crash in three cases: it was served since, another candidate with more crashes explains it, or other targets crashed
//! at the same time.
//!
//! Boxes exchange their histories. Merging two of them takes the union of the crashed targets and the later of the times at which
//! the request was served, so the order, number and route of the reports do not matter.

use super::abandoned::AbandonedAttempts;
use super::history::History;
use super::suspect::{CrashReport, FATAL_CRASHES, Suspect};
use super::verdict::{Judge, RequestCounts, Verdict};
use super::{Candidates, Fingerprint};
use crate::placement::work::IncarnationHash;
use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;
use tokio::time::Instant;

/// Maximum number of requests in the history; 200 bytes each. Beyond that, those with the fewest crashes are dropped, the oldest
/// first. 256 engines that crash together leave some thousand.
pub const MAX_REQUESTS: usize = 1_024;

/// Time after a change during which a request is part of every message: several gossip rounds.
const RECENT: Duration = Duration::from_secs(2);

/// Maximum numbers of requests and parts in one message: those that changed recently, of which so many are parts if there are also
/// enough requests, and in rotation those that are refused and the others.
/// 30 bytes each, so that a message takes a kilobyte of a datagram.
const MAX_RECENT: usize = 24;
const MAX_RECENT_PARTS: usize = 12;
const MAX_FATAL: usize = 6;
const MAX_OTHERS: usize = 4;

/// Time after a box served a request with a part for which it does not refuse the part.
const SOUND_TIME: Duration = Duration::from_millis(1_500);

/// Time for which it is kept when a part was served: reports of crashes arrive within seconds.
const SERVED_RETENTION: Duration = Duration::from_secs(10);

/// Maximum number of parts of which this is kept; 40 bytes each.
const MAX_SERVED_PARTS: usize = 2_048;

/// Time in which the numbers of recent requests halve.
const HALF_LIFE: Duration = Duration::from_secs(5);

/// Numbers of recent requests, of which older ones count less.
#[derive(Debug, Default)]
struct RecentRequests {
    counts: RequestCounts,
    updated: Option<Instant>,
}

impl RecentRequests {
    fn add(&mut self, more: RequestCounts, now: Instant) {
        let age = self.updated.map(|at| now.saturating_duration_since(at));
        let halvings = age.unwrap_or_default().as_secs_f64() / HALF_LIFE.as_secs_f64();
        let kept = 0.5_f64.powf(halvings);
        self.counts = RequestCounts {
            served: self.counts.served * kept + more.served,
            broken: self.counts.broken * kept + more.broken,
        };
        self.updated = Some(now);
    }
}

/// Requests, and parts of prompts, under which targets crashed.
#[derive(Debug, Default)]
pub struct CrashRecord {
    history: History,
    /// Attempts that this box abandoned before the response.
    abandoned: AbandonedAttempts,
    /// The requests and parts that are taken to be the cause of crashes.
    fatal: BTreeSet<Fingerprint>,
    /// Requests of this box lately.
    requests: RecentRequests,
    /// When this box last served a request with a part.
    served_parts: HashMap<Fingerprint, Instant>,
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
        let mut fingerprints = self.abandoned.take(incarnation, at);
        fingerprints.extend(under);
        let requests = fingerprints.iter().filter(|one| !one.is_part());
        let broken = requests.count() as f64;
        self.requests.add(
            RequestCounts {
                served: 0.0,
                broken,
            },
            now,
        );
        fingerprints.sort_unstable();
        fingerprints.dedup();
        fingerprints.retain(|fingerprint| self.add_crash(*fingerprint, incarnation, at, now));
        self.enforce_limit(now);
        fingerprints.retain(|fingerprint| self.becomes_fatal(*fingerprint, now));
        fingerprints
    }

    fn add_crash(
        &mut self,
        fingerprint: Fingerprint,
        incarnation: IncarnationHash,
        at: Instant,
        now: Instant,
    ) -> bool {
        let mut suspect = self.known(fingerprint, now);
        let is_new = suspect.add(incarnation, at);
        if is_new {
            suspect.changed = now;
            suspect.observed = Some(now);
        }
        self.history.insert(fingerprint, suspect);
        is_new
    }

    /// Returns what is known of a request or part.
    fn known(&self, fingerprint: Fingerprint, now: Instant) -> Suspect {
        let known = self.history.get(fingerprint).cloned();
        known.unwrap_or_else(|| Suspect::new(now))
    }

    /// Records that this box abandoned an attempt before the response: its target may still run it.
    pub fn record_abandoned(
        &mut self,
        candidates: impl Into<Candidates>,
        incarnation: IncarnationHash,
        now: Instant,
    ) {
        self.abandoned.add(candidates.into(), incarnation, now);
    }

    /// Returns whether this box recently abandoned an attempt at a target.
    pub fn has_abandoned(&self, incarnation: IncarnationHash, now: Instant) -> bool {
        self.abandoned.is_recent(incarnation, now)
    }

    /// Records that a request was served, which clears it and its parts of all earlier crashes.
    pub fn served(&mut self, candidates: impl Into<Candidates>, now: Instant) {
        let (served, broken) = (1.0, 0.0);
        self.requests.add(RequestCounts { served, broken }, now);
        for fingerprint in candidates.into().iter() {
            if fingerprint.is_part() {
                self.served_parts.insert(*fingerprint, now);
            }
            let suspect = self.history.get(*fingerprint);
            if let Some(suspect) = suspect.filter(|suspect| !suspect.is_clear()) {
                let suspect = suspect.clone().cleared(now, now);
                self.history.insert(*fingerprint, suspect);
            }
        }
        if self.served_parts.len() > MAX_SERVED_PARTS {
            self.forget_served_parts(now);
        }
    }

    /// Forgets the parts that were served long ago, or half of all if there are too many others.
    fn forget_served_parts(&mut self, now: Instant) {
        let oldest = now.checked_sub(SERVED_RETENTION);
        self.served_parts.retain(|_, at| Some(*at) > oldest);
        if self.served_parts.len() > MAX_SERVED_PARTS {
            let mut times: Vec<Instant> = self.served_parts.values().copied().collect();
            let (_, middle, _) = times.select_nth_unstable(MAX_SERVED_PARTS / 2);
            let middle = *middle;
            self.served_parts.retain(|_, at| *at > middle);
        }
    }

    /// Whether this box served a request with a part recently.
    fn is_sound(&self, part: Fingerprint, now: Instant) -> bool {
        let served = self.served_parts.get(&part);
        served.is_some_and(|at| now - *at < SOUND_TIME)
    }

    pub(super) fn judge(&self) -> Judge<'_> {
        Judge {
            history: &self.history,
            requests: self.requests.counts,
        }
    }

    /// Returns why a request is refused, if it or a part of its prompt is known to be fatal.
    pub fn refusal(&self, candidates: &[Fingerprint], now: Instant) -> Option<Verdict> {
        if self.history.is_empty() {
            return None;
        }
        // Parts that are refused only beside others, which this request lacks.
        let mut tied = Vec::new();
        for one in candidates {
            if tied.contains(one) || self.is_sound(*one, now) {
                continue;
            }
            let Some(verdict) = self.judge().verdict(*one, now) else {
                continue;
            };
            let mut companions = verdict.companions.iter();
            if companions.all(|one| candidates.contains(one)) {
                return Some(verdict);
            }
            tied.extend(verdict.companions.into_iter().filter(|one| one.is_part()));
        }
        None
    }

    /// Whether a part of a prompt is so likely to be fatal that a request with it is not sent a second time.
    pub fn has_suspect_part(&self, candidates: &[Fingerprint], now: Instant) -> bool {
        let mut parts = candidates.iter().filter(|one| !self.is_sound(**one, now));
        parts.any(|part| self.judge().is_suspect_part(*part))
    }

    /// Returns until when a request without a prompt is refused, if it is known to be fatal.
    pub fn refused_until(&self, fingerprint: Fingerprint, now: Instant) -> Option<Instant> {
        self.refusal(&[fingerprint], now)
            .map(|verdict| verdict.until)
    }

    /// Applies reports from another box or from the platform store. Returns the requests that are refused from now on.
    pub fn apply_update(&mut self, reports: &[CrashReport], now: Instant) -> Vec<Fingerprint> {
        let mut fatal = Vec::new();
        for (incarnation, age) in reports.iter().flat_map(|report| &report.crashes) {
            let crashed_at = now.checked_sub(Duration::from_millis(u64::from(*age)));
            if let Some(crashed_at) = crashed_at.filter(|_| !self.abandoned.is_empty()) {
                for fingerprint in self.abandoned.take(*incarnation, crashed_at) {
                    self.add_crash(fingerprint, *incarnation, crashed_at, now);
                }
            }
        }
        for report in reports {
            if self.apply_report(report, now) && self.becomes_fatal(report.fingerprint, now) {
                fatal.push(report.fingerprint);
            }
        }
        self.enforce_limit(now);
        fatal
    }

    /// Merges a report, and returns whether it was new.
    fn apply_report(&mut self, report: &CrashReport, now: Instant) -> bool {
        let time_before = |age: u32| now.checked_sub(Duration::from_millis(u64::from(age)));
        let mut suspect = self.known(report.fingerprint, now);
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
        // This box may have served it since, before it knew of the crash.
        let served_here = self.served_parts.get(&report.fingerprint).copied();
        if let Some(served) = served_here.filter(|_| served_here > suspect.served)
            && !suspect.is_clear()
        {
            suspect = suspect.cleared(served, now);
        }
        if !suspect.is_expired(now) {
            self.history.insert(report.fingerprint, suspect);
        }
        is_new
    }

    /// Judges a request or part anew, and returns whether it is taken to be the cause of crashes for the first time.
    fn becomes_fatal(&mut self, fingerprint: Fingerprint, now: Instant) -> bool {
        if self.judge().verdict(fingerprint, now).is_some() {
            return self.fatal.insert(fingerprint);
        }
        self.fatal.remove(&fingerprint);
        false
    }

    /// Returns what this box itself observed recently, for the hubs of a large zone.
    pub fn observed(&self, now: Instant) -> Vec<CrashReport> {
        let is_recent = |suspect: &Suspect| {
            let observed = suspect.observed;
            observed.is_some_and(|at| now.saturating_duration_since(at) < RECENT)
        };
        let observed = self.most_telling(is_recent);
        let report = |of: &Fingerprint| Some(self.history.get(*of)?.report(*of, now));
        observed.iter().filter_map(report).collect()
    }

    /// Returns some of the requests and parts: those with the most crashes first, and of these the ones that were never served.
    fn most_telling(&self, is_chosen: impl Fn(&Suspect) -> bool) -> Vec<Fingerprint> {
        let chosen = self.history.iter();
        let chosen = chosen.filter(|(_, suspect)| is_chosen(suspect));
        let rank = |suspect: &Suspect| (Reverse(suspect.crash_count()), suspect.served.is_some());
        let mut chosen: Vec<_> = chosen.map(|(one, suspect)| (rank(suspect), *one)).collect();
        chosen.sort_unstable();
        let ranked = chosen.into_iter().map(|(_, one)| one);
        let (mut parts, mut requests): (Vec<_>, Vec<_>) = ranked.partition(|one| one.is_part());
        parts.truncate(MAX_RECENT_PARTS.max(MAX_RECENT.saturating_sub(requests.len())));
        requests.truncate(MAX_RECENT - parts.len());
        parts.extend(requests);
        parts
    }

    /// Returns the next reports to other boxes: recent changes, and the rest in rotation, for boxes that start or were partitioned.
    pub fn updates_to_send(&mut self, now: Instant) -> Vec<CrashReport> {
        self.remove_expired(now);
        let is_recent = |suspect: &Suspect| now.saturating_duration_since(suspect.changed) < RECENT;
        let mut fingerprints = self.most_telling(is_recent);
        let fatal = self.next_after(self.last_fatal, MAX_FATAL, |count| count >= FATAL_CRASHES);
        self.last_fatal = fatal.last().copied();
        let others = self.next_after(self.last_other, MAX_OTHERS, |count| count < FATAL_CRASHES);
        self.last_other = others.last().copied();
        fingerprints.extend(fatal);
        fingerprints.extend(others);
        fingerprints.sort_unstable();
        fingerprints.dedup();
        let report = |of: Fingerprint| Some(self.history.get(of)?.report(of, now));
        fingerprints.into_iter().filter_map(report).collect()
    }

    /// Returns the next requests after `after`, wrapping around at the end.
    fn next_after(
        &self,
        after: Option<Fingerprint>,
        max: usize,
        takes: impl Fn(usize) -> bool,
    ) -> Vec<Fingerprint> {
        let following = self.history.after(after);
        let taken =
            |(key, suspect): (&Fingerprint, &Suspect)| takes(suspect.crash_count()).then_some(*key);
        following
            .chain(self.history.iter())
            .filter_map(taken)
            .take(max)
            .collect()
    }

    /// Returns at most `max` requests with at least `min_crashes` crashes, for persistence: most crashes first, then newest first.
    pub fn to_persist(&self, min_crashes: usize, max: usize, now: Instant) -> Vec<CrashReport> {
        let enough = |(one, suspect): &(&Fingerprint, &Suspect)| {
            suspect.crash_count() >= min_crashes && !self.is_sound(**one, now)
        };
        let mut top: Vec<_> = self.history.iter().filter(enough).collect();
        top.sort_by_key(|(_, suspect)| Reverse((suspect.crash_count(), suspect.changed)));
        top.truncate(max);
        let report = |(key, suspect): (&Fingerprint, &Suspect)| suspect.report(*key, now);
        top.into_iter().map(report).collect()
    }

    /// Returns the number of crashes under a request or part since it was last served.
    pub fn counted_crashes(&self, fingerprint: Fingerprint) -> usize {
        let suspect = self.history.get(fingerprint);
        suspect.map_or(0, Suspect::crash_count)
    }

    /// Returns whether this box itself observed the last change of a request.
    pub fn is_observed_here(&self, fingerprint: Fingerprint) -> bool {
        let suspect = self.history.get(fingerprint);
        suspect.is_some_and(|suspect| suspect.observed == Some(suspect.changed))
    }

    /// Returns the number of requests in the history.
    pub fn len(&self) -> usize {
        self.history.len()
    }

    /// Returns whether the history contains no requests.
    pub fn is_empty(&self) -> bool {
        self.history.is_empty()
    }

    fn remove_expired(&mut self, now: Instant) {
        self.history.retain(|suspect| !suspect.is_expired(now));
        let history = &self.history;
        self.fatal.retain(|one| history.get(*one).is_some());
    }

    fn enforce_limit(&mut self, now: Instant) {
        if self.history.len() <= MAX_REQUESTS {
            return;
        }
        self.remove_expired(now);
        let suspects = self.history.iter();
        let mut order: Vec<_> = suspects
            .map(|(fingerprint, suspect)| (suspect.crash_count(), suspect.changed, *fingerprint))
            .collect();
        order.sort_unstable();
        let surplus = self.history.len().saturating_sub(MAX_REQUESTS);
        for (_, _, fingerprint) in order.into_iter().take(surplus) {
            self.history.remove(fingerprint);
        }
    }
}
