//! The choice among the targets of a pool: least expected wait, with affinity and zone as tie-breaks.
//!
//! In a large fleet a box hears of what others send some 0.2 s late, in which a zone's boxes send more prompts than the zone has
//! engines. If all of them took the engine that looked freest, it would get them all. So a prompt looks at a few engines first, drawn by its own
//! key, and at more only if none of those is free.

use super::index::{Indexed, PoolTargets, TargetIndex};
use super::limits::Gate;
use super::load::{Load, Loads, Table};
use super::parts::Plan;
use super::residency::Residency;
use super::shared_limit::Admission;
use super::work::{LifeHash, TargetHash, Work};
use crate::beliefs::fleet::served;
use crate::control::TargetEntry;
use crate::kept::homes::{hash_pair, unit};
use sillpin_core::{ModelId, PoolId, TargetId, Tokens, WeightVersion, ZoneId};
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// What a request under way at an engine adds to the next one's expected time, in milliseconds: an
/// engine's step grows by 0.1 ms with each, and one request's steps are a few dozen.
const IN_FLIGHT_MS: f64 = 2.0;

/// Share of an engine's memory that requests may take together before the next one waits: the rest is for what they
/// generate.
const MEMORY_SHARE: f64 = 0.9;

/// Part of the aim that a prompt may be expected to wait for memory at an engine that counts as one with room: its parts
/// are fetched meanwhile. Engines with room go first. Measured, worth of days with trouble, against fixed parts of the
/// memory: with aims of 0.3 to 0.5 s 0.644, where 0.9 of it gave 0.635 and 1.25 gave 0.649; with aims of 1.2 s, hard days,
/// 0.657, where 0.9 gave 0.652. Differences below 0.02 are noise.
const ROOM_WAIT_AIM_PART: f64 = 0.15;

/// What one request under way at a plain target adds, in milliseconds: its work is 30 to 60 ms and a
/// target runs six at once.
const PLAIN_IN_FLIGHT_MS: f64 = 12.0;

/// Advantage of a prompt's home over other engines, in milliseconds. An engine keeps what it read for a second or
/// two and a session is back after twelve, so its home saves one fetch in eight. Measured: 5 and 15 alike, 40 worse.
const HOME_MS: f64 = 15.0;

/// Price of another zone, in milliseconds: the way is longer.
const FOREIGN_ZONE_MS: f64 = 8.0;

/// Price of a request's bytes between zones, in milliseconds a byte: 27 ms for a long prompt of 18 KB, less than a
/// queue that matters. Measured: twice that no better.
const FOREIGN_BYTE_MS: f64 = 0.0015;

/// Price of weights that are being replaced: such answers lose a fifth of their credit after a while.
/// Small against a queue, so that the first engines with new weights are not flooded.
const OLD_WEIGHTS_MS: f64 = 60.0;

/// Price of a target that failed all of its last requests.
const FAILING_MS: f64 = 400.0;

/// Price of a zone that looks cut off: each try there takes a third of a second and most likely fails.
const CUT_OFF_MS: f64 = 1_500.0;

/// Price of a target that is passed over; it is taken only when no other is there.
const RESTING_MS: f64 = 10_000.0;

/// What is asked for.
pub struct Choice<'a> {
    /// All targets.
    pub targets: &'a TargetIndex,
    /// Whether other boxes' work is heard so late that a prompt looks at few engines first.
    pub heard_late: bool,
    /// Their loads.
    pub loads: &'a Loads,
    /// The pool.
    pub pool: &'a PoolId,
    /// The zone of this box.
    pub zone: &'a ZoneId,
    /// Requests that this box may have under way at one target.
    pub most_in_flight: u32,
    /// Targets that had the request already.
    pub tried: &'a [TargetId],
    /// Length of the request's body in bytes.
    pub body_len: usize,
    /// The request's prompt, for engines.
    pub prompt: Option<PromptChoice<'a>>,
    /// Where it may go.
    pub residency: Residency<'a>,
    /// What limited targets get.
    pub gate: Option<Gate<'a>>,
    /// Now.
    pub now: Instant,
}

/// What is asked of an engine.
pub struct PromptChoice<'a> {
    /// The model.
    pub model: &'a ModelId,
    /// Length of the prompt.
    pub tokens: Tokens,
    /// Time within which its first event is wanted.
    pub latency_objective: Duration,
    /// Memory of one engine.
    pub capacity: Tokens,
    /// Weights that are wanted.
    pub wanted: Option<WeightVersion>,
    /// Engines with older weights than these are no candidates.
    pub oldest: WeightVersion,
    /// Where the prompt's parts are, for each version of weights that engines serve.
    pub plans: &'a [(WeightVersion, Plan)],
}

impl PromptChoice<'_> {
    /// Where the prompt's parts are for a version of weights.
    pub fn plan(&self, version: WeightVersion) -> Option<&Plan> {
        let found = self.plans.iter().find(|(of, _)| *of == version);
        found.map(|(_, plan)| plan)
    }

    fn any_plan(&self) -> Option<&Plan> {
        self.plans.first().map(|(_, plan)| plan)
    }
}

/// A target and why it was chosen.
#[derive(Debug, Clone)]
pub struct Chosen {
    /// The target.
    pub target: Arc<TargetEntry>,
    /// Weights that it serves, for engines.
    pub version: Option<WeightVersion>,
    /// Prompt work ahead of it there, and the wait for memory, in milliseconds.
    pub queue_ms: f64,
    /// Its expected time and prices in milliseconds.
    pub cost_ms: f64,
    /// Targets that could have taken the request.
    pub candidates: usize,
    /// Whether it is passed over while others are there.
    pub rests: bool,
    /// Whether it has room for the request.
    pub fits: bool,
}

impl Chosen {
    /// Order of preference: targets with room first, then the cheapest.
    fn is_better_than(&self, other: &Chosen) -> bool {
        match self.fits == other.fits {
            true => self.cost_ms < other.cost_ms,
            false => self.fits,
        }
    }
}

/// Engines of the own zone that a prompt looks at first, where work is heard late. Of 51 engines behind 60 boxes that hear
/// of each other 0.15 to 0.3 s late, at 84 in 100 of what they can read, 95 in 100 prompts begin within 0.5 s with a look at two, 92 with
/// three, 66 with all (`herd.rs`, three seeds).
const FIRST_LOOK: usize = 2;

/// Engines of the own zone, and as many of all others, that are looked at next.
const SECOND_LOOK: usize = 4;

/// A prompt looks further if it would wait for longer than this many aims: it is late then anyway. With half of an aim fewer begin in time
/// (0.86 instead of 0.91 at 94 in 100 of what engines can read, same test), since what looks free elsewhere looks so to all.
const FURTHER_AIMS: f64 = 1.0;

/// The cheapest target, if any can take the request.
pub fn choose(choice: &Choice<'_>) -> Option<Chosen> {
    let found = choose_with(choice, Admission::Part);
    match &choice.gate {
        Some(gate) if !gate.sharers.is_sure() => {
            found.or_else(|| choose_with(choice, Admission::Unsure))
        }
        _ => found,
    }
}

fn choose_with(choice: &Choice<'_>, admission: Admission) -> Option<Chosen> {
    let pool = choice.targets.pool(choice.pool)?;
    let search = Search::new(choice, admission);
    if choice.prompt.is_none() || !choice.heard_late {
        return search.best_of(&search.ranked(pool.all.iter()), usize::MAX);
    }
    search.look_wider(pool)
}

/// The better of two.
fn better(a: Option<Chosen>, b: Option<Chosen>) -> Option<Chosen> {
    match (a, b) {
        (Some(a), Some(b)) => Some(if b.is_better_than(&a) { b } else { a }),
        (a, b) => a.or(b),
    }
}

/// What one choice needs besides what is asked.
struct Search<'a> {
    choice: &'a Choice<'a>,
    admission: Admission,
    others: Arc<HashMap<TargetHash, Work>>,
    /// Targets that get nothing from this box, by their own words.
    closed: HashSet<LifeHash>,
    /// Hash of the prompt's last shared part, for its homes.
    key: Option<u64>,
    table: Table<'a>,
}

impl<'a> Search<'a> {
    fn new(choice: &'a Choice<'a>, admission: Admission) -> Self {
        let affinity = choice
            .prompt
            .as_ref()
            .and_then(|p| p.any_plan())
            .and_then(Plan::affinity);
        let closed = choice.loads.words(|words| words.closed(choice.now));
        Self {
            others: match choice.prompt {
                Some(_) => choice.loads.others(choice.now),
                None => Arc::default(),
            },
            closed,
            key: affinity.map(|key| hash_pair(&key.part.0, "")),
            table: choice.loads.table(),
            choice,
            admission,
        }
    }

    /// Targets with their place in the order of the prompt's homes. All boxes leave a busy home for the same other engine.
    fn ranked<'t>(&self, targets: impl Iterator<Item = &'t Indexed>) -> Vec<&'t Indexed> {
        let mut targets: Vec<&Indexed> = targets.collect();
        if let Some(key) = self.key {
            targets.sort_by_cached_key(|target| std::cmp::Reverse(target.rank(key)));
        }
        targets
    }

    /// The zone whose stores hold most of the prompt, if it is not the own one. A fetch from another zone takes a store's link for twice as
    /// long, and what all fetches together take of the links decides how long each waits.
    fn parts_zone(&self) -> Option<&ZoneId> {
        let prompt = self.choice.prompt.as_ref()?;
        let (_, newest) = prompt.plans.last()?;
        newest.main_zone().filter(|zone| *zone != self.choice.zone)
    }

    /// Two engines of the own zone and of the one where the prompt's parts are, then a few more of all zones, and all if none of those takes requests.
    fn look_wider(&self, pool: &PoolTargets) -> Option<Chosen> {
        let own = self.ranked(pool.of_zone(self.choice.zone).iter());
        let near_parts = self
            .parts_zone()
            .map(|zone| self.ranked(pool.of_zone(zone).iter()));
        let near_parts = near_parts.and_then(|near| self.best_of(&near, FIRST_LOOK));
        let first = better(self.best_of(&own, FIRST_LOOK), near_parts);
        let first = better(first, self.best_of(&self.limited(&own), usize::MAX));
        if first.as_ref().is_some_and(|found| self.is_soon(found)) {
            return first;
        }
        let others = self.ranked(pool.of_others(self.choice.zone));
        let own_few = self.best_of(&own, SECOND_LOOK);
        let others_few = self.best_of(&others, SECOND_LOOK);
        let second = better(own_few, others_few);
        if second.as_ref().is_some_and(|found| !found.rests) {
            return second;
        }
        let all: Vec<&Indexed> = own.into_iter().chain(others).collect();
        self.best_of(&all, usize::MAX)
    }

    /// Those of the targets that are limited. Few boxes have a part of what one may get, and two engines drawn for a prompt are seldom the ones where its
    /// box has it.
    fn limited<'t>(&self, targets: &[&'t Indexed]) -> Vec<&'t Indexed> {
        let Some(gate) = &self.choice.gate else {
            return Vec::new();
        };
        let limits = self.choice.loads.limits();
        if !limits.has_any(gate) {
            return Vec::new();
        }
        let is_limited =
            |target: &&&Indexed| limits.is_limited(gate, &target.entry, self.choice.now);
        targets.iter().filter(is_limited).copied().collect()
    }

    /// Whether a prompt need not look further than at an engine that was found.
    fn is_soon(&self, found: &Chosen) -> bool {
        let latency_objective = self
            .choice
            .prompt
            .as_ref()
            .map_or(0.0, |p| millis(p.latency_objective));
        !found.rests && found.queue_ms <= latency_objective * FURTHER_AIMS
    }

    /// The best of the first targets that can take the request, of which `most` are not passed over.
    fn best_of(&self, targets: &[&Indexed], most: usize) -> Option<Chosen> {
        let (mut candidates, mut active) = (0, 0);
        let mut best: Option<Chosen> = None;
        for (place, target) in targets.iter().enumerate() {
            if active == most {
                break;
            }
            let Some(found) = self.candidate(target, place) else {
                continue;
            };
            candidates += 1;
            active += usize::from(!found.rests);
            if best.as_ref().is_none_or(|best| found.is_better_than(best)) {
                best = Some(found);
            }
        }
        best.map(|best| Chosen { candidates, ..best })
    }

    /// Whether a target's limits let this box send it one more request.
    fn is_admitted(&self, entry: &TargetEntry) -> bool {
        let Some(gate) = &self.choice.gate else {
            return true;
        };
        let mut limits = self.choice.loads.limits();
        limits.admits(gate, entry, self.admission, self.choice.now)
    }

    /// A target that can take the request, and what that costs; `place` is its place among the prompt's homes.
    fn candidate(&self, target: &Indexed, place: usize) -> Option<Chosen> {
        let (choice, entry) = (self.choice, &target.entry);
        if choice.tried.contains(&entry.id) || self.closed.contains(&target.life) {
            return None;
        }
        if !choice.residency.allows(&entry.zone) {
            return None;
        }
        if !self.is_admitted(entry) {
            return None;
        }
        let mut load = self.table.get(&entry.id).copied().unwrap_or_default();
        if load.in_flight >= choice.most_in_flight {
            return None;
        }
        let theirs = self.others.get(&target.hash);
        load.work = load.work.plus(theirs.copied().unwrap_or_default());
        let version = match &choice.prompt {
            Some(prompt) => Some(served(entry, prompt.model).filter(|v| *v >= prompt.oldest)?),
            None => None,
        };
        let away = self.key.map_or(0, |_| place);
        let rests = load.rests(choice.now);
        Some(Chosen {
            target: entry.clone(),
            version,
            queue_ms: load.work.prompt_ms + memory_ms(choice, &load),
            cost_ms: cost(choice, entry, &load, version, away),
            candidates: 0,
            rests,
            fits: !rests && fits(choice, &load),
        })
    }
}

fn cost(
    choice: &Choice<'_>,
    target: &TargetEntry,
    load: &Load,
    version: Option<WeightVersion>,
    away: usize,
) -> f64 {
    let mut ms = load.failing() * FAILING_MS;
    if load.rests(choice.now) {
        ms += RESTING_MS;
    }
    if target.zone != *choice.zone {
        ms += FOREIGN_ZONE_MS + choice.body_len as f64 * FOREIGN_BYTE_MS;
        if choice.loads.looks_cut_off(&target.zone, choice.now) {
            ms += CUT_OFF_MS;
        }
    }
    let Some(prompt) = &choice.prompt else {
        return ms + f64::from(load.in_flight) * PLAIN_IN_FLIGHT_MS + spread(target);
    };
    ms += load.work.requests * IN_FLIGHT_MS + load.work.prompt_ms + memory_ms(choice, load);
    let plan = version.and_then(|version| prompt.plan(version));
    ms += plan.map_or(0.0, |plan| plan.shared_cost(&target.zone));
    if version < prompt.wanted {
        ms += OLD_WEIGHTS_MS;
    }
    ms + away_ms(away)
}

/// Whether an engine has room for a prompt by the time that the prompt has been fetched and its turn comes.
fn fits(choice: &Choice<'_>, load: &Load) -> bool {
    let Some(prompt) = &choice.prompt else {
        return true;
    };
    memory_ms(choice, load) <= millis(prompt.latency_objective) * ROOM_WAIT_AIM_PART
}

/// How long a prompt waits for room in an engine's memory, in milliseconds.
fn memory_ms(choice: &Choice<'_>, load: &Load) -> f64 {
    let Some(prompt) = &choice.prompt else {
        return 0.0;
    };
    let capacity = prompt.capacity.0.max(1) as f64;
    let lacking = load.work.tokens + prompt.tokens.0 as f64 - capacity * MEMORY_SHARE;
    if lacking <= 0.0 {
        return 0.0;
    }
    // What is held is let go evenly over the time that it is held.
    choice.loads.held_ms() * lacking / load.work.tokens.max(lacking)
}

/// Breaks ties between plain targets alike in every decision of one process.
fn spread(target: &TargetEntry) -> f64 {
    unit(hash_pair(target.id.as_str(), ""))
}

/// What it costs to go elsewhere than home: nothing at the first engine, and more the further down the order.
fn away_ms(place: usize) -> f64 {
    HOME_MS * place as f64 / (1.0 + place as f64)
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}
