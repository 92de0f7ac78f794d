//! Limits that targets announce in responses: the rate of requests that a target accepts from all
//! boxes.
//!
//! An observation of a target is a rate, or that there is no limit any more, with the time at which
//! it was true. Of two observations the later one wins, so the path and order in which they arrive
//! do not matter. A limit ends only with a successful response without a limit, to a request that
//! was sent after the target last announced one: responses overtake each other, and errors and
//! refusals may come from a proxy in front of the target.

use crate::dialect::LimitSignal;
use crate::placement::shared_limit::SharedLimit;
use crate::placement::work::IncarnationHash;
use serde::{Deserialize, Serialize};
use sillpin_core::RequestRate;
use sillpin_telemetry::{event, events};
use slog::Logger;
use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::Duration;
use tokio::time::Instant;

/// Period over which requests to a target are counted against its limit.
const PERIOD: Duration = Duration::from_secs(4);

/// Load that a target can handle beyond its limit: this many times the limit, plus this many
/// requests, in each period.
const OVERAGE: f64 = 1.5;
const SLACK: f64 = 5.0;

/// A target that announces a lower limit, or zero, still gets one request in this time: only
/// responses show that a limit has ended.
pub const MAX_PERIOD: Duration = Duration::from_secs(5);

/// A limit that has ended is lifted in steps: it doubles immediately and after each step. Otherwise
/// all boxes would return at the same moment to a target that has just recovered.
const LIFT_STEP_TIME: Duration = Duration::from_secs(2);
const LIFT_STEPS: i32 = 3;

/// Used if a limit can't be parsed and none is known: the target is overloaded, and one request a
/// second shows when that is over.
const UNREADABLE_PER_S: f64 = 1.0;

/// Relative difference between two rates from which a change is logged and sent to other boxes
/// immediately.
const SIGNIFICANT_CHANGE: f64 = 0.1;

/// Time after a change for which a limit is in every message: several rounds of gossip.
const RECENT_CHANGE: Duration = Duration::from_secs(2);

/// Numbers of recently changed limits, and of others in rotation, per message. Each takes 13 bytes,
/// so a message has a kilobyte of them.
const RECENT_PER_MESSAGE: usize = 56;
const OTHERS_PER_MESSAGE: usize = 16;

/// Time after which the limit of an unlisted target is removed; its entry may arrive later than the
/// announcement of its limit.
const UNLISTED_RETENTION: Duration = Duration::from_secs(10);

/// Time for which an ended limit is stored, for boxes that receive updates late.
const ENDED_RETENTION: Duration = Duration::from_secs(60);

/// Maximum number of limits, more than a fleet has targets. Beyond it the oldest observations are
/// removed.
const MAX_LIMITS: usize = 2_048;

/// A target's limit in a message between boxes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitUpdate {
    /// Incarnation of the target.
    pub target: IncarnationHash,
    /// Limit of the target; `None` if it no longer has one.
    pub rate: Option<RequestRate>,
    /// Age of the observation in milliseconds.
    pub age_ms: u32,
}

/// A limit that started, changed or ended, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitChange {
    /// Incarnation of the target.
    pub target: IncarnationHash,
    /// Current limit.
    pub rate: Option<RequestRate>,
    /// Previous limit.
    pub before: Option<RequestRate>,
    /// Whether the target has started to announce a limit that can't be parsed.
    pub unreadable: bool,
}

/// The properties of a target's response that concern its limit.
#[derive(Debug, Clone, Copy)]
pub struct LimitObservation {
    /// When the request was sent.
    pub sent: Instant,
    /// Limit announced in the response.
    pub announced: Option<LimitSignal>,
    /// Whether the response is a success from the target itself.
    pub success: bool,
}

/// The latest observation of one target's limit.
#[derive(Debug, Clone, Copy)]
struct TargetLimit {
    rate: Option<RequestRate>,
    /// The last limit that was announced.
    last: Option<RequestRate>,
    at: Instant,
    /// When this box received the observation made at `at`; not adjusted for suspensions, because
    /// it is compared with the times at which requests were sent.
    received_at: Instant,
    changed_at: Instant,
    /// Whether the target's last response to this box had a limit that could not be parsed.
    unreadable: bool,
    /// When this box itself last observed a change.
    observed_at: Option<Instant>,
}

impl TargetLimit {
    fn update(&self, target: IncarnationHash, now: Instant) -> LimitUpdate {
        let age = now.saturating_duration_since(self.at).as_millis();
        LimitUpdate {
            target,
            rate: self.rate,
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
        }
    }
}

/// Limits of all targets that have one, or recently had.
#[derive(Debug, Default)]
pub struct AnnouncedLimits {
    known: BTreeMap<IncarnationHash, TargetLimit>,
    /// The last one sent in rotation.
    last_sent: Option<IncarnationHash>,
}

impl AnnouncedLimits {
    /// Records the limit in a response to this box; returns the change, if there is one.
    pub fn record_response(
        &mut self,
        target: IncarnationHash,
        observation: LimitObservation,
        now: Instant,
    ) -> Option<LimitChange> {
        let known = self.known.get(&target);
        let before = known.and_then(|known| known.rate);
        let (rate, at) = match observation.announced {
            Some(LimitSignal::Rate(rate)) => (Some(rate), now),
            Some(LimitSignal::Unreadable) => {
                let fallback = RequestRate::try_from(UNREADABLE_PER_S).ok();
                (before.or(fallback), now)
            }
            None => {
                let ends = known.is_some_and(|known| known.received_at < observation.sent);
                if before.is_none() || !observation.success || !ends {
                    return None;
                }
                (None, observation.sent)
            }
        };
        let was_unreadable = known.is_some_and(|known| known.unreadable);
        let is_unreadable = observation.announced == Some(LimitSignal::Unreadable);
        let change = self.store(target, rate, at, now);
        let known = self.known.get_mut(&target)?;
        known.unreadable = is_unreadable;
        if change.is_some() {
            known.observed_at = Some(now);
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

    /// Applies updates from another box; returns the changes.
    pub fn apply_update(&mut self, updates: &[LimitUpdate], now: Instant) -> Vec<LimitChange> {
        let mut changes = Vec::new();
        for update in updates {
            let age = Duration::from_millis(u64::from(update.age_ms));
            // An observation from before the start of this machine's clock is of no use.
            let Some(at) = now.checked_sub(age) else {
                continue;
            };
            let known = self.known.get(&update.target);
            let is_newer = known.map_or(update.rate.is_some(), |known| known.at < at);
            if is_newer {
                changes.extend(self.store(update.target, update.rate, at, now));
            }
        }
        changes
    }

    fn store(
        &mut self,
        target: IncarnationHash,
        rate: Option<RequestRate>,
        at: Instant,
        now: Instant,
    ) -> Option<LimitChange> {
        let known = self.known.entry(target).or_insert(TargetLimit {
            rate: None,
            last: None,
            at,
            received_at: now,
            changed_at: now,
            unreadable: false,
            observed_at: None,
        });
        let before = known.rate;
        known.rate = rate;
        known.last = rate.or(known.last);
        known.at = at;
        known.received_at = now;
        if !is_significant(before, rate) {
            return None;
        }
        known.changed_at = now;
        Some(LimitChange {
            target,
            rate,
            before,
            unreadable: false,
        })
    }

    /// Returns the current limit of a target.
    pub fn rate(&self, target: IncarnationHash) -> Option<RequestRate> {
        self.known.get(&target)?.rate
    }

    /// Returns whether no limit is stored.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Returns the limit on what all boxes together may send to a target.
    pub fn limit(&self, target: IncarnationHash, now: Instant) -> Option<SharedLimit> {
        let known = self.known.get(&target)?;
        if let Some(rate) = known.rate {
            return Some(limit(rate.per_s()));
        }
        let since_end = now.saturating_duration_since(known.received_at);
        let steps = (since_end.as_secs_f64() / LIFT_STEP_TIME.as_secs_f64()) as i32;
        let before = known.last?.per_s().max(1.0 / MAX_PERIOD.as_secs_f64());
        (steps < LIFT_STEPS).then(|| limit(before * 2f64.powi(steps + 1)))
    }

    /// Returns the number of targets with a current limit.
    pub fn count(&self) -> usize {
        let named = self.known.values().filter(|known| known.rate.is_some());
        named.count()
    }

    /// Ages all observations by the time for which the box was suspended, since those of others are
    /// newer.
    pub fn age(&mut self, time: Duration) {
        for known in self.known.values_mut() {
            known.at = known.at.checked_sub(time).unwrap_or(known.at);
        }
    }

    /// Removes limits of unlisted targets and limits that ended long ago.
    pub fn retain_listed(&mut self, is_listed: impl Fn(IncarnationHash) -> bool, now: Instant) {
        self.known.retain(|target, known| {
            let age = now.saturating_duration_since(known.at);
            let retention = match (is_listed(*target), known.rate) {
                (true, Some(_)) => return true,
                (true, None) => ENDED_RETENTION,
                (false, _) => UNLISTED_RETENTION,
            };
            age < retention
        });
        while self.known.len() > MAX_LIMITS {
            let oldest = self.known.iter().min_by_key(|(_, known)| known.at);
            let Some(oldest) = oldest.map(|(target, _)| *target) else {
                return;
            };
            self.known.remove(&oldest);
        }
    }

    /// Returns the changes that this box itself observed recently, to be forwarded by its hub.
    pub fn observed(&self, now: Instant) -> Vec<LimitUpdate> {
        let is_recent = |known: &&TargetLimit| {
            known
                .observed_at
                .is_some_and(|at| now.saturating_duration_since(at) < RECENT_CHANGE)
        };
        let recent = self.known.iter().filter(|(_, known)| is_recent(known));
        recent
            .take(RECENT_PER_MESSAGE)
            .map(|(target, known)| known.update(*target, now))
            .collect()
    }

    /// Returns the limits to send to other boxes: recent changes, and some of the others in
    /// rotation.
    pub fn updates_to_send(&mut self, now: Instant) -> Vec<LimitUpdate> {
        let is_recent =
            |known: &TargetLimit| now.saturating_duration_since(known.changed_at) < RECENT_CHANGE;
        let recent = self.known.iter().filter(|(_, known)| is_recent(known));
        let mut updates: Vec<LimitUpdate> = recent
            .take(RECENT_PER_MESSAGE)
            .map(|(target, known)| known.update(*target, now))
            .collect();
        let from = self.last_sent.map_or(Bound::Unbounded, Bound::Excluded);
        let following = self.known.range((from, Bound::Unbounded));
        let others = following.take(OTHERS_PER_MESSAGE);
        let others: Vec<LimitUpdate> = others
            .map(|(target, known)| known.update(*target, now))
            .collect();
        let has_more = others.len() == OTHERS_PER_MESSAGE;
        self.last_sent = others
            .last()
            .map(|update| update.target)
            .filter(|_| has_more);
        for update in others {
            if !updates.iter().any(|sent| sent.target == update.target) {
                updates.push(update);
            }
        }
        updates
    }
}

/// Returns the shared limit for a target that announces `per_s` requests a second.
fn limit(per_s: f64) -> SharedLimit {
    let per_s = per_s.max(1.0 / MAX_PERIOD.as_secs_f64());
    let requested = per_s * PERIOD.as_secs_f64();
    let (total, period) = match requested < 1.0 {
        true => (1, Duration::from_secs_f64(1.0 / per_s)),
        false => {
            let capacity = requested * OVERAGE + SLACK;
            (SharedLimit::total_of(requested, capacity), PERIOD)
        }
    };
    SharedLimit {
        total,
        period,
        strict: false,
    }
}

/// Returns whether the difference between two limits is significant.
fn is_significant(a: Option<RequestRate>, b: Option<RequestRate>) -> bool {
    let (Some(a), Some(b)) = (a, b) else {
        return a != b;
    };
    let (a, b) = (a.per_s(), b.per_s());
    (a - b).abs() > a.max(b) * SIGNIFICANT_CHANGE
}

/// Logs a change of the limit of `target`; `source` is where this box got it from.
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
