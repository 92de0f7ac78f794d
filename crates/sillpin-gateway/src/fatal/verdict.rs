//! Which requests and parts are taken to be the cause of crashes.
//!
//! A crash is explained by whatever has more crashes than the other candidates for it. Requests share parts, so a part is the cause
//! of crashes under requests that have nothing else in common, while a part that is also in sound requests is cleared by these. Where
//! candidates have exactly the same crashes, it is not known which of them is the cause: only requests that have all of them are
//! refused.
//!
//! A part is in many requests at once, so several targets that crash together for another reason may all have run it. Its crashes
//! count only if they are spread over time.

use super::Fingerprint;
use super::history::History;
use super::suspect::{FATAL_CRASHES, FATAL_RETENTION, Suspect};
use crate::placement::work::IncarnationHash;
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::time::Instant;

/// Largest number of crashes from which a request or part is refused: one more each for a part that was served, and while many requests
/// break off.
pub(super) const MAX_CRASHES_NEEDED: usize = FATAL_CRASHES + 2;

/// Number of separate crashes under a part after which a request with it is not sent again after an attempt.
const SUSPECT_CRASHES: usize = 2;

/// Targets that crash within this time of each other count as crashed at the same time: boxes detect crashes within some ten
/// milliseconds and report them immediately. With a longer time, several fatal requests that each crash a target a second would
/// clear each other.
const SAME_TIME: Duration = Duration::from_millis(60);

/// If this many other targets crash at the same time, they have a common cause: a request crashes one target after the other.
const MASS_CRASH: usize = 3;

/// Time after the last crash during which a part is refused under which no more targets crashed than are needed for that. It may be
/// sound by then, or by chance: the next request with it decides.
const PART_RETENTION: Duration = Duration::from_secs(300);

/// Share of this box's requests that break off when their targets crash, beside those with the part in question, from which one more
/// crash is needed to refuse a part: sound parts that few requests have are then in several crashes by chance.
const HIGH_BROKEN_SHARE: f64 = 0.05;

/// Crashes under a part within this time of each other count as one.
const PART_CRASH_GAP: Duration = Duration::from_millis(100);

/// A request or part that is the cause of crashes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Verdict {
    /// The request or part.
    pub cause: Fingerprint,
    /// What has the same crashes: only requests that have all of these are refused.
    pub companions: Vec<Fingerprint>,
    /// Number of crashes that speak for it.
    pub crashes: usize,
    /// Until when requests are refused.
    pub until: Instant,
}

/// Decides about the requests and parts in a history.
pub(super) struct Judge<'a> {
    pub(super) history: &'a History,
    /// Requests of this box lately.
    pub(super) requests: RequestCounts,
}

/// Numbers of requests.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RequestCounts {
    /// Those that were served.
    pub(super) served: f64,
    /// Those that were broken off when their targets crashed.
    pub(super) broken: f64,
}

impl RequestCounts {
    /// Number of crashes from which a part is refused, if so many of the broken requests have it. One more is needed for a part that
    /// is known to have been served: sound parts are in crashes by chance, and few parts turn fatal.
    fn crashes_needed(self, with_part: usize, was_served: bool) -> usize {
        // These are crashes at all boxes, and the broken requests are those of this box: subtracting them hides a high share.
        let with_part = if was_served { 0 } else { with_part };
        let broken = (self.broken - with_part as f64).max(0.0);
        let is_high = broken > HIGH_BROKEN_SHARE * (broken + self.served);
        FATAL_CRASHES + usize::from(is_high) + usize::from(was_served)
    }
}

impl Judge<'_> {
    /// Returns the verdict on a request or part, if it is the cause of crashes.
    pub(super) fn verdict(&self, cause: Fingerprint, now: Instant) -> Option<Verdict> {
        let suspect = self.history.get(cause)?;
        let crashes = suspect.crash_count();
        if crashes < FATAL_CRASHES {
            return None;
        }
        let retention = match cause.is_part() && crashes <= FATAL_CRASHES {
            true => PART_RETENTION,
            false => FATAL_RETENTION,
        };
        let until = suspect.last_crash()? + retention;
        let unexplained = suspect.counted_crashes().filter(|(incarnation, at)| {
            !self.is_explained(cause, suspect, **incarnation)
                && !self.is_mass_crash(cause, suspect, **incarnation, **at)
        });
        let needed = match cause.is_part() {
            true => {
                let was_served = suspect.served.is_some();
                self.requests.crashes_needed(crashes, was_served)
            }
            false => FATAL_CRASHES,
        };
        let is_cause = now < until && self.separate(cause, unexplained) >= needed;
        is_cause.then(|| Verdict {
            cause,
            companions: self.companions(cause, suspect),
            crashes,
            until,
        })
    }

    /// Whether a part may be the cause of crashes: a request with it is not sent a second time.
    pub(super) fn is_suspect_part(&self, part: Fingerprint) -> bool {
        let Some(suspect) = self.history.get(part).filter(|_| part.is_part()) else {
            return false;
        };
        let counted = suspect.counted_crashes();
        let counted = counted
            .filter(|(incarnation, at)| !self.is_mass_crash(part, suspect, **incarnation, **at));
        self.separate(part, counted) >= SUSPECT_CRASHES
    }

    /// Whether another candidate is a likelier cause of a crash under `cause`: one with more crashes. Of parts with as many, one that
    /// was never served is likelier than one that was. If two requests have the same number, each may be sent once more, and the next
    /// crash distinguishes them.
    fn is_explained(
        &self,
        cause: Fingerprint,
        suspect: &Suspect,
        incarnation: IncarnationHash,
    ) -> bool {
        let own = suspect.crash_count();
        let is_tie_open = !cause.is_part() && own == FATAL_CRASHES;
        let is_likelier_part = |other: Fingerprint| {
            let is_served = |of: &Suspect| of.served.is_some();
            let other = self.history.get(other).filter(|_| other.is_part());
            cause.is_part() && is_served(suspect) && other.is_some_and(|other| !is_served(other))
        };
        let under = self.history.under(incarnation);
        let others = under.filter(|(_, other)| *other != cause);
        let mut likely = others.take_while(|(count, _)| *count >= own);
        likely.any(|(count, other)| count > own || is_tie_open || is_likelier_part(other))
    }

    /// Returns the candidates that have exactly the crashes of a part.
    fn companions(&self, cause: Fingerprint, suspect: &Suspect) -> Vec<Fingerprint> {
        if !cause.is_part() {
            return Vec::new();
        }
        let Some((first, _)) = suspect.counted_crashes().next() else {
            return Vec::new();
        };
        let count = suspect.crash_count();
        let has_same = |other: Fingerprint| {
            let other = self.history.get(other);
            other.is_some_and(|other| other.counted_targets().eq(suspect.counted_targets()))
        };
        let under = self.history.under(*first);
        let others = under.filter(|(crashes, other)| *crashes == count && *other != cause);
        let same = others.filter(|(_, other)| has_same(*other));
        let mut same: Vec<Fingerprint> = same.map(|(_, other)| other).collect();
        same.sort_unstable();
        same
    }

    /// Whether a target crashed together with several others: for a request, with others that did not run it.
    fn is_mass_crash(
        &self,
        cause: Fingerprint,
        suspect: &Suspect,
        incarnation: IncarnationHash,
        at: Instant,
    ) -> bool {
        let counts = |other: &IncarnationHash| {
            *other != incarnation && (cause.is_part() || !suspect.crashes.contains_key(other))
        };
        let mut others = self.history.crashed_near(at, SAME_TIME).filter(counts);
        let mut others_crashed = BTreeSet::new();
        others.any(|other| {
            others_crashed.insert(other);
            others_crashed.len() >= MASS_CRASH
        })
    }

    /// Number of these crashes; for a part, of those that are apart in time, or under one request: that was sent to one target after
    /// the other.
    fn separate<'b>(
        &self,
        cause: Fingerprint,
        crashes: impl Iterator<Item = (&'b IncarnationHash, &'b Instant)>,
    ) -> usize {
        if !cause.is_part() {
            return crashes.count();
        }
        let mut crashes: Vec<_> = crashes.collect();
        crashes.sort_unstable_by_key(|(_, at)| **at);
        let (mut count, mut last) = (0, None);
        for (incarnation, at) in crashes {
            let is_apart = last.is_none_or(|(last, last_at)| {
                *at - last_at >= PART_CRASH_GAP || self.is_one_request(last, incarnation)
            });
            if is_apart {
                count += 1;
                last = Some((incarnation, *at));
            }
        }
        count
    }

    /// Whether one request ran on both targets when they crashed.
    fn is_one_request(&self, one: &IncarnationHash, other: &IncarnationHash) -> bool {
        let under = self.history.under(*one);
        let mut requests = under.filter(|(_, request)| !request.is_part());
        requests.any(|(_, request)| {
            let suspect = self.history.get(request);
            suspect.is_some_and(|suspect| suspect.crashes.contains_key(other))
        })
    }
}
