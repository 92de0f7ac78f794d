//! The choice among the targets of a pool: least expected wait, with affinity and zone as tie-breaks.

use super::load::{Load, Loads};
use super::parts::Plan;
use super::work::TargetHash;
use crate::beliefs::fleet::served;
use crate::control::{Presence, TargetEntry};
use crate::kept::homes::{hash_pair, unit};
use sillpin_core::{ModelId, PoolId, TargetId, Tokens, WeightVersion, ZoneId};
use std::collections::HashMap;
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
    pub targets: &'a HashMap<TargetId, Arc<TargetEntry>>,
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
    pub aim: Duration,
    /// Memory of one engine.
    pub room: Tokens,
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

/// The cheapest target, if any can take the request.
pub fn choose(choice: &Choice<'_>) -> Option<Chosen> {
    let homes = Homes::of(choice);
    let others = match choice.prompt {
        Some(_) => choice.loads.others(choice.now),
        None => HashMap::new(),
    };
    let replaced = choice.loads.replaced().known(choice.now);
    let mut candidates = 0;
    let mut best: Option<Chosen> = None;
    for target in choice.targets.values().filter(|t| is_candidate(choice, t)) {
        let mut load = choice.loads.get(&target.id);
        let hash = TargetHash::of(&target.id);
        if replaced.contains(&hash) {
            continue;
        }
        let theirs = others.get(&hash);
        load.work = load.work.plus(theirs.copied().unwrap_or_default());
        if load.in_flight >= choice.most_in_flight {
            continue;
        }
        let version = match &choice.prompt {
            Some(prompt) => match served(target, prompt.model) {
                Some(version) if version >= prompt.oldest => Some(version),
                _ => continue,
            },
            None => None,
        };
        candidates += 1;
        let cost_ms = cost(choice, target, &load, version, &homes);
        let rests = load.rests(choice.now);
        let chosen = Chosen {
            target: target.clone(),
            version,
            queue_ms: load.work.prompt_ms + memory_ms(choice, &load),
            cost_ms,
            candidates: 0,
            rests,
            fits: !rests && fits(choice, &load),
        };
        if best.as_ref().is_none_or(|best| chosen.is_better_than(best)) {
            best = Some(chosen);
        }
    }
    best.map(|best| Chosen { candidates, ..best })
}

fn is_candidate(choice: &Choice<'_>, target: &TargetEntry) -> bool {
    target.pool == *choice.pool
        && target.presence == Presence::Ready
        && !choice.tried.contains(&target.id)
}

fn cost(
    choice: &Choice<'_>,
    target: &TargetEntry,
    load: &Load,
    version: Option<WeightVersion>,
    homes: &Homes,
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
    ms + homes.away_ms(target)
}

/// Whether an engine has room for a prompt by the time that the prompt has been fetched and its turn comes.
fn fits(choice: &Choice<'_>, load: &Load) -> bool {
    let Some(prompt) = &choice.prompt else {
        return true;
    };
    memory_ms(choice, load) <= prompt.aim.as_secs_f64() * 1000.0 * ROOM_WAIT_AIM_PART
}

/// How long a prompt waits for room in an engine's memory, in milliseconds.
fn memory_ms(choice: &Choice<'_>, load: &Load) -> f64 {
    let Some(prompt) = &choice.prompt else {
        return 0.0;
    };
    let room = prompt.room.0.max(1) as f64;
    let lacking = load.work.tokens + prompt.tokens.0 as f64 - room * MEMORY_SHARE;
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

/// Order of the engines for a prompt, by rendezvous hashing over its last shared part.
struct Homes {
    position: HashMap<TargetId, usize>,
}

impl Homes {
    fn of(choice: &Choice<'_>) -> Self {
        let affinity = choice
            .prompt
            .as_ref()
            .and_then(|p| p.any_plan())
            .and_then(Plan::affinity);
        let Some(key) = affinity else {
            return Self {
                position: HashMap::new(),
            };
        };
        let targets = choice.targets.values().filter(|t| is_candidate(choice, t));
        let rank = |t: &Arc<TargetEntry>| unit(hash_pair(t.id.as_str(), &key.part.0));
        let mut ranked: Vec<(f64, &TargetId)> = targets.map(|t| (rank(t), &t.id)).collect();
        ranked.sort_by(|a, b| b.0.total_cmp(&a.0));
        let ids = ranked.into_iter().map(|(_, id)| id.clone());
        let position = ids.enumerate().map(|(index, id)| (id, index)).collect();
        Self { position }
    }

    /// What it costs to go elsewhere than home: nothing at the first engine, and more the further down
    /// the order, so that all boxes leave a busy home for the same other engine.
    fn away_ms(&self, target: &TargetEntry) -> f64 {
        let above = self.position.get(&target.id).copied().unwrap_or(0);
        HOME_MS * above as f64 / (1.0 + above as f64)
    }
}
