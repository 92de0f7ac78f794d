//! Limits that targets name: the requests a second that one takes of all boxes together, for as long as its answers say so.
//!
//! What a box hears of a target is one word: a rate, or that there is none any more, and when that was so. Of two words the later one holds, so it does
//! not matter by which way or in which order they come. A limit ends only by a success without one whose request was sent after the target last named
//! it: answers overtake each other, and failures and refusals may be made by something before the target.

use crate::dialect::LimitSignal;
use crate::place::shared_limit::SharedLimit;
use crate::place::work::LifeHash;
use serde::{Deserialize, Serialize};
use sillpin_core::RequestRate;
use sillpin_telemetry::{event, events};
use slog::Logger;
use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::Duration;
use tokio::time::Instant;

/// The time in which requests at a target are counted against the limit that it names.
const PERIOD: Duration = Duration::from_secs(4);

/// What a target bears beyond what it names: so many times that, and so many requests, in each period.
const OVERAGE: f64 = 1.5;
const SLACK: f64 = 5.0;

/// A target that names a lower limit, or takes nothing, gets one request in this time all the same: only answers tell that a limit has ended.
pub const MAX_PERIOD: Duration = Duration::from_secs(5);

/// A limit that ended is lifted step by step: it doubles at once and after each of these steps. All boxes would else come back to a target, which was in need
/// just now, in one moment.
const LIFT_STEP: Duration = Duration::from_secs(2);
const LIFT_STEPS: i32 = 3;

/// Taken for a limit that cannot be read, if none is known: the target needs to be spared, and one request a second tells when that is over.
const UNREADABLE_PER_S: f64 = 1.0;

/// Part of a rate by which another one differs if the change is worth a line in the log and a word at once.
const CHANGE: f64 = 0.1;

/// A limit is told by every word for so long after it changed: several rounds of news.
const FRESH: Duration = Duration::from_secs(2);

/// Limits in one word: those that changed, and the others in turn. 13 bytes each, so that a word takes a kilobyte of a datagram.
const FRESH_IN_WORD: usize = 56;
const OTHERS_IN_WORD: usize = 16;

/// A limit of a target that is not listed is forgotten after this: its entry may come later than the word of it.
const UNLISTED_MEMORY: Duration = Duration::from_secs(10);

/// An ended limit is remembered for so long, for boxes that hear late of it.
const ENDED_MEMORY: Duration = Duration::from_secs(60);

/// Limits that are remembered, more than a fleet has targets. Beyond that those go that were heard of the longest time ago.
const MAX_LIMITS: usize = 2_048;

/// What a box tells of one target's limit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitNews {
    /// The life of the target.
    pub target: LifeHash,
    /// Its limit; `None`: it names none any more.
    pub rate: Option<RequestRate>,
    /// How long ago that was so, in milliseconds.
    pub age_ms: u32,
}

/// A limit that began, changed or ended, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitChange {
    /// The life of the target.
    pub target: LifeHash,
    /// Its limit now.
    pub rate: Option<RequestRate>,
    /// Its limit before.
    pub before: Option<RequestRate>,
    /// Whether the target has begun to name one that cannot be read.
    pub unreadable: bool,
}

/// An answer of a target, as far as limits are concerned.
#[derive(Debug, Clone, Copy)]
pub struct Heard {
    /// When its request was sent.
    pub sent: Instant,
    /// What it says.
    pub word: Option<LimitSignal>,
    /// Whether it is a success that the target vouches for.
    pub success: bool,
}

/// What is known of one target's limit.
#[derive(Debug, Clone, Copy)]
struct Known {
    rate: Option<RequestRate>,
    /// The limit that it named last.
    last: Option<RequestRate>,
    at: Instant,
    /// When this box learned that it was so at `at`; not aged, to be compared with when its requests were sent.
    learned: Instant,
    changed: Instant,
    /// Whether the target's last answer to this box named a limit that could not be read.
    unreadable: bool,
    /// When this box last found a change itself.
    found: Option<Instant>,
}

impl Known {
    fn news(&self, target: LifeHash, now: Instant) -> LimitNews {
        let age = now.saturating_duration_since(self.at).as_millis();
        LimitNews {
            target,
            rate: self.rate,
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
        }
    }
}

/// Limits of all targets that name one, or did of late.
#[derive(Debug, Default)]
pub struct NamedLimits {
    known: BTreeMap<LifeHash, Known>,
    /// The last one told in turn.
    told: Option<LifeHash>,
}

impl NamedLimits {
    /// Takes what an answer to this box says; a change, if it is one.
    pub fn answered(
        &mut self,
        target: LifeHash,
        heard: Heard,
        now: Instant,
    ) -> Option<LimitChange> {
        let known = self.known.get(&target);
        let before = known.and_then(|known| known.rate);
        let (rate, at) = match heard.word {
            Some(LimitSignal::Rate(rate)) => (Some(rate), now),
            Some(LimitSignal::Unreadable) => {
                let careful = RequestRate::try_from(UNREADABLE_PER_S).ok();
                (before.or(careful), now)
            }
            None => {
                let ends = known.is_some_and(|known| known.learned < heard.sent);
                if before.is_none() || !heard.success || !ends {
                    return None;
                }
                (None, heard.sent)
            }
        };
        let was_unreadable = known.is_some_and(|known| known.unreadable);
        let is_unreadable = heard.word == Some(LimitSignal::Unreadable);
        let change = self.set(target, rate, at, now);
        let known = self.known.get_mut(&target)?;
        known.unreadable = is_unreadable;
        if change.is_some() {
            known.found = Some(now);
        }
        if !is_unreadable || was_unreadable {
            return change;
        }
        Some(LimitChange {
            target,
            rate,
            before,
            unreadable: true,
        })
    }

    /// Takes what another box tells; what changed by it.
    pub fn hear(&mut self, news: &[LimitNews], now: Instant) -> Vec<LimitChange> {
        let mut changes = Vec::new();
        for one in news {
            let age = Duration::from_millis(u64::from(one.age_ms));
            // What is older than this machine's clock is of no use.
            let Some(at) = now.checked_sub(age) else {
                continue;
            };
            let known = self.known.get(&one.target);
            let is_news = known.map_or(one.rate.is_some(), |known| known.at < at);
            if is_news {
                changes.extend(self.set(one.target, one.rate, at, now));
            }
        }
        changes
    }

    fn set(
        &mut self,
        target: LifeHash,
        rate: Option<RequestRate>,
        at: Instant,
        now: Instant,
    ) -> Option<LimitChange> {
        let known = self.known.entry(target).or_insert(Known {
            rate: None,
            last: None,
            at,
            learned: now,
            changed: now,
            unreadable: false,
            found: None,
        });
        let before = known.rate;
        known.rate = rate;
        known.last = rate.or(known.last);
        known.at = at;
        known.learned = now;
        if !differ(before, rate) {
            return None;
        }
        known.changed = now;
        Some(LimitChange {
            target,
            rate,
            before,
            unreadable: false,
        })
    }

    /// The limit that a target names, if it does.
    pub fn rate(&self, target: LifeHash) -> Option<RequestRate> {
        self.known.get(&target)?.rate
    }

    /// Whether no limit is remembered.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// What all boxes together may send to a target.
    pub fn limit(&self, target: LifeHash, now: Instant) -> Option<SharedLimit> {
        let known = self.known.get(&target)?;
        if let Some(rate) = known.rate {
            return Some(limit(rate.per_s()));
        }
        let lifted = now.saturating_duration_since(known.learned);
        let steps = (lifted.as_secs_f64() / LIFT_STEP.as_secs_f64()) as i32;
        let before = known.last?.per_s().max(1.0 / MAX_PERIOD.as_secs_f64());
        (steps < LIFT_STEPS).then(|| limit(before * 2f64.powi(steps + 1)))
    }

    /// How many targets name a limit.
    pub fn count(&self) -> usize {
        let named = self.known.values().filter(|known| known.rate.is_some());
        named.count()
    }

    /// Makes what is known older by the time that the box was suspended: what others tell is newer.
    pub fn age(&mut self, time: Duration) {
        for known in self.known.values_mut() {
            known.at = known.at.checked_sub(time).unwrap_or(known.at);
        }
    }

    /// Forgets limits of targets that are gone, and those that ended long ago.
    pub fn follow(&mut self, is_listed: impl Fn(LifeHash) -> bool, now: Instant) {
        self.known.retain(|target, known| {
            let age = now.saturating_duration_since(known.at);
            let memory = match (is_listed(*target), known.rate) {
                (true, Some(_)) => return true,
                (true, None) => ENDED_MEMORY,
                (false, _) => UNLISTED_MEMORY,
            };
            age < memory
        });
        while self.known.len() > MAX_LIMITS {
            let oldest = self.known.iter().min_by_key(|(_, known)| known.at);
            let Some(oldest) = oldest.map(|(target, _)| *target) else {
                return;
            };
            self.known.remove(&oldest);
        }
    }

    /// What this box found itself of late, for those that tell it on.
    pub fn found(&self, now: Instant) -> Vec<LimitNews> {
        let is_fresh = |known: &&Known| {
            known
                .found
                .is_some_and(|at| now.saturating_duration_since(at) < FRESH)
        };
        let fresh = self.known.iter().filter(|(_, known)| is_fresh(known));
        fresh
            .take(FRESH_IN_WORD)
            .map(|(target, known)| known.news(*target, now))
            .collect()
    }

    /// What this box tells others: what changed of late, and of the rest some in turn.
    pub fn told(&mut self, now: Instant) -> Vec<LimitNews> {
        let is_fresh = |known: &Known| now.saturating_duration_since(known.changed) < FRESH;
        let fresh = self.known.iter().filter(|(_, known)| is_fresh(known));
        let mut news: Vec<LimitNews> = fresh
            .take(FRESH_IN_WORD)
            .map(|(target, known)| known.news(*target, now))
            .collect();
        let from = self.told.map_or(Bound::Unbounded, Bound::Excluded);
        let behind = self.known.range((from, Bound::Unbounded));
        let others = behind.take(OTHERS_IN_WORD);
        let others: Vec<LimitNews> = others
            .map(|(target, known)| known.news(*target, now))
            .collect();
        let has_more = others.len() == OTHERS_IN_WORD;
        self.told = others.last().map(|one| one.target).filter(|_| has_more);
        for one in others {
            if !news.iter().any(|told| told.target == one.target) {
                news.push(one);
            }
        }
        news
    }
}

/// What all boxes together may send to a target that names `per_s` requests a second.
fn limit(per_s: f64) -> SharedLimit {
    let per_s = per_s.max(1.0 / MAX_PERIOD.as_secs_f64());
    let wanted = per_s * PERIOD.as_secs_f64();
    let (whole, period) = match wanted < 1.0 {
        true => (1, Duration::from_secs_f64(1.0 / per_s)),
        false => {
            let borne = wanted * OVERAGE + SLACK;
            (SharedLimit::whole_of(wanted, borne), PERIOD)
        }
    };
    SharedLimit {
        whole,
        period,
        strict: false,
    }
}

/// Whether two limits differ so far that it matters.
fn differ(a: Option<RequestRate>, b: Option<RequestRate>) -> bool {
    let (Some(a), Some(b)) = (a, b) else {
        return a != b;
    };
    let (a, b) = (a.per_s(), b.per_s());
    (a - b).abs() > a.max(b) * CHANGE
}

/// Logs a limit of `target` that began, changed or ended; `source` tells how this box knows.
pub fn log_limit(log: &Logger, target: &str, change: LimitChange, source: &'static str) {
    let text = |rate: Option<RequestRate>| rate.map_or(String::new(), |rate| rate.to_string());
    if change.unreadable {
        event!(log, events::LIMIT_UNREADABLE, "target" => target, "taken_for" => text(change.rate));
        return;
    }
    match change.rate {
        Some(rate) => event!(log, events::TARGET_LIMITED, "target" => target,
            "per_s" => rate.to_string(), "before" => text(change.before), "source" => source),
        None => event!(log, events::TARGET_UNLIMITED, "target" => target,
            "before" => text(change.before), "source" => source),
    }
}
