//! What is known of one possible cause of crashes: a request, or a part that prompts share.

use super::Fingerprint;
use crate::placement::work::IncarnationHash;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// Number of crashes after which a request is refused. It is rare that a request ran beside a fatal one on two crashed targets, and
/// such a request is still served.
pub const FATAL_CRASHES: usize = 3;

/// Time after the last crash during which a fatal request is refused. Callers retry within seconds or minutes; each time that the
/// request is forgotten it costs three targets and what runs on them.
pub const FATAL_RETENTION: Duration = Duration::from_secs(3_600);

/// Retention time of a request under which fewer targets crashed: callers retry within seconds.
const SUSPECT_RETENTION: Duration = Duration::from_secs(60);

/// Maximum number of crashes that are recorded for one request.
const MAX_CRASHES: usize = 8;

/// Crashes under one request or part, as boxes report them to each other. Ages are in milliseconds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The request or part.
    pub fingerprint: Fingerprint,
    /// Targets that crashed under it, with the age of each crash.
    pub crashes: Vec<(IncarnationHash, u32)>,
    /// Age of the last time that it was served.
    pub served: Option<u32>,
}

impl CrashReport {
    /// Number of crashes since it was last served.
    pub fn counted_crashes(&self) -> usize {
        let ages = self.crashes.iter().map(|(_, age)| *age);
        let is_counted = |age: &u32| self.served.is_none_or(|served| *age < served);
        ages.filter(is_counted).count()
    }
}

/// History of one request or part.
#[derive(Debug, Clone)]
pub(super) struct Suspect {
    /// Targets that crashed under it, and when. Crashes that it is cleared of stay while there is capacity: another box may have
    /// recorded the same crash at a time slightly after the request was served.
    pub(super) crashes: BTreeMap<IncarnationHash, Instant>,
    pub(super) served: Option<Instant>,
    pub(super) changed: Instant,
    /// When this box last observed a change itself.
    pub(super) observed: Option<Instant>,
}

impl Suspect {
    pub(super) fn new(now: Instant) -> Self {
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

    /// Returns it as this box, at `now`, learned that it was served.
    pub(super) fn cleared(mut self, served: Instant, now: Instant) -> Self {
        self.served = Some(served);
        self.changed = now;
        self.observed = Some(now);
        self
    }

    /// Returns the targets that crashed under it since it was last served, and when.
    pub(super) fn counted_crashes(&self) -> impl Iterator<Item = (&IncarnationHash, &Instant)> {
        let crashes = self.crashes.iter();
        crashes.filter(|(_, at)| !self.is_cleared(**at))
    }

    /// Returns the targets that crashed under it since it was last served.
    pub(super) fn counted_targets(&self) -> impl Iterator<Item = &IncarnationHash> {
        self.counted_crashes().map(|(incarnation, _)| incarnation)
    }

    /// Returns whether it is cleared of all crashes.
    pub(super) fn is_clear(&self) -> bool {
        self.counted_crashes().next().is_none()
    }

    pub(super) fn crash_count(&self) -> usize {
        self.counted_crashes().count()
    }

    pub(super) fn last_crash(&self) -> Option<Instant> {
        self.crashes.values().max().copied()
    }

    pub(super) fn is_expired(&self, now: Instant) -> bool {
        let retention = match self.crash_count() >= FATAL_CRASHES {
            true => FATAL_RETENTION,
            false => SUSPECT_RETENTION,
        };
        self.last_crash()
            .is_none_or(|at| now.saturating_duration_since(at) >= retention)
    }

    /// Records a crash, and returns whether it is new. Of two times for one crash the earlier is kept, as the more accurate one.
    pub(super) fn add(&mut self, incarnation: IncarnationHash, at: Instant) -> bool {
        if let Some(known) = self.crashes.get_mut(&incarnation) {
            *known = at.min(*known);
            return false;
        }
        if self.crashes.len() >= MAX_CRASHES && !self.evict_cleared(at) && !self.evict_oldest(at) {
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

    /// Drops the oldest crash in favour of one at `at`, if that is later: it has to explain the newest crashes. Returns whether one
    /// was dropped.
    fn evict_oldest(&mut self, at: Instant) -> bool {
        let oldest = self.crashes.iter().min_by_key(|(_, crash)| **crash);
        let Some((incarnation, _)) = oldest.filter(|(_, crash)| **crash < at) else {
            return false;
        };
        let incarnation = *incarnation;
        self.crashes.remove(&incarnation).is_some()
    }

    pub(super) fn report(&self, fingerprint: Fingerprint, now: Instant) -> CrashReport {
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
