//! Crashes by request and part, indexed by target and time, so that a verdict does not read all of them.

use super::Fingerprint;
use super::suspect::Suspect;
use crate::placement::work::IncarnationHash;
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops::Bound;
use std::time::Duration;
use tokio::time::Instant;

/// Requests and parts under which targets crashed.
#[derive(Debug, Default)]
pub(super) struct History {
    suspects: BTreeMap<Fingerprint, Suspect>,
    /// What ran on a target when it crashed, cleared of that or not; what has the most crashes comes last.
    by_target: HashMap<IncarnationHash, BTreeSet<(usize, Fingerprint)>>,
    /// When targets crashed, with the number of requests and parts that have a crash at that time: boxes' times differ slightly.
    by_time: BTreeMap<(Instant, IncarnationHash), usize>,
}

impl History {
    pub(super) fn get(&self, of: Fingerprint) -> Option<&Suspect> {
        self.suspects.get(&of)
    }

    /// Returns all, by fingerprint.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&Fingerprint, &Suspect)> {
        self.suspects.iter()
    }

    /// Returns those after a fingerprint; all without one.
    pub(super) fn after(
        &self,
        after: Option<Fingerprint>,
    ) -> impl Iterator<Item = (&Fingerprint, &Suspect)> {
        let begin = after.map_or(Bound::Unbounded, Bound::Excluded);
        self.suspects.range((begin, Bound::Unbounded))
    }

    pub(super) fn len(&self) -> usize {
        self.suspects.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Sets what is known of a request or part.
    pub(super) fn insert(&mut self, of: Fingerprint, suspect: Suspect) {
        let known = self.suspects.get(&of);
        let is_indexed = known.is_some_and(|known| {
            known.crashes == suspect.crashes && known.crash_count() == suspect.crash_count()
        });
        if !is_indexed {
            self.remove(of);
            self.index(of, &suspect);
        }
        self.suspects.insert(of, suspect);
    }

    pub(super) fn remove(&mut self, of: Fingerprint) {
        let Some(suspect) = self.suspects.remove(&of) else {
            return;
        };
        let count = suspect.crash_count();
        for (incarnation, at) in &suspect.crashes {
            if let Some(under) = self.by_target.get_mut(incarnation) {
                under.remove(&(count, of));
                if under.is_empty() {
                    self.by_target.remove(incarnation);
                }
            }
            self.forget_time(*at, *incarnation);
        }
    }

    /// Keeps what `keeps` returns true for.
    pub(super) fn retain(&mut self, keeps: impl Fn(&Suspect) -> bool) {
        let suspects = self.suspects.iter();
        let dropped = suspects.filter(|(_, suspect)| !keeps(suspect));
        let dropped: Vec<Fingerprint> = dropped.map(|(of, _)| *of).collect();
        for of in dropped {
            self.remove(of);
        }
    }

    fn index(&mut self, of: Fingerprint, suspect: &Suspect) {
        let count = suspect.crash_count();
        for (incarnation, at) in &suspect.crashes {
            let under = self.by_target.entry(*incarnation).or_default();
            under.insert((count, of));
            *self.by_time.entry((*at, *incarnation)).or_default() += 1;
        }
    }

    fn forget_time(&mut self, at: Instant, incarnation: IncarnationHash) {
        if let Entry::Occupied(mut count) = self.by_time.entry((at, incarnation)) {
            *count.get_mut() -= 1;
            if *count.get() == 0 {
                count.remove();
            }
        }
    }

    /// Returns what ran on a target when it crashed, with its number of crashes: the most first.
    pub(super) fn under(
        &self,
        incarnation: IncarnationHash,
    ) -> impl Iterator<Item = (usize, Fingerprint)> {
        let under = self.by_target.get(&incarnation);
        under.into_iter().flatten().rev().copied()
    }

    /// Returns the targets that crashed less than `within` before or after a time; some several times.
    pub(super) fn crashed_near(
        &self,
        at: Instant,
        within: Duration,
    ) -> impl Iterator<Item = IncarnationHash> {
        let begin = at.checked_sub(within);
        let begin = begin.map_or(Bound::Unbounded, |begin| {
            Bound::Included((begin, IncarnationHash::MIN))
        });
        let end = Bound::Excluded((at + within, IncarnationHash::MIN));
        let near = self.by_time.range((begin, end));
        near.filter(move |((other, _), _)| at.saturating_duration_since(*other) < within)
            .map(|((_, incarnation), _)| *incarnation)
    }
}
