//! Chooses among the targets of a pool: the least expected wait, with affinity and zone as
//! tie-breaks.
//!
//! In a large fleet, reports of what other boxes send arrive about 0.2 s late. In that time the
//! boxes of a zone send more prompts than the zone has engines, and if all of them chose the engine
//! with the least reported load, it would get all of these prompts. So a prompt first considers a few
//! engines, selected by a hash of the prompt, and further ones only if all of those are busy. While
//! the boxes of the own zone send each other their work immediately, all of its engines are
//! considered.

use super::index::{IndexedTarget, PoolTargets, TargetIndex};
use super::limits::LimitContext;
use super::load::{Load, LoadTable, Loads};
use super::parts::Plan;
use super::residency::Residency;
use super::shared_limit::Admission;
use super::stream_engines::{PromptKind, StreamInputs};
use super::work::{IncarnationHash, TargetHash, Work};
use crate::cache_stores::homes::{hash_pair, to_unit_interval};
use crate::control::{SoftwareVersion, TargetEntry};
use crate::fleet_state::fleet::served;
use sillpin_core::{ModelId, PoolId, TargetId, Tokens, WeightVersion, ZoneId};
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// What each request in flight at an engine adds to the next one's expected time, in milliseconds:
/// each makes a step of the engine 0.1 ms longer, and a request takes a few dozen steps.
const MS_PER_REQUEST: f64 = 2.0;

/// Share of an engine's memory that requests may occupy before the next one waits; the rest is for
/// the tokens that they generate.
const USABLE_MEMORY_SHARE: f64 = 0.9;

/// Longest expected wait for memory, as a part of the latency objective, at which an engine still
/// counts as one with free memory: the prompt's parts are fetched meanwhile. Engines with free
/// memory are preferred. With objectives of 0.3 to 0.5 s and of 1.2 s, limits at a fixed share of
/// the memory gave results that differ by no more than noise.
const MAX_MEMORY_WAIT_FACTOR: f64 = 0.15;

/// What each request in flight at a target without a model adds, in milliseconds: its work takes 30
/// to 60 ms, and a target runs six concurrently.
const PLAIN_MS_PER_REQUEST: f64 = 12.0;

/// Advantage of a prompt's home over other engines, in milliseconds. An engine holds a prefilled
/// prompt for one or two seconds and a session's next request comes after twelve, so the home saves
/// one fetch in eight. Results were equal with 5 and 15 ms, and worse with 40 ms.
const HOME_ADVANTAGE_MS: f64 = 15.0;

/// Cost of another zone in milliseconds, for the longer network path.
const OTHER_ZONE_MS: f64 = 8.0;

/// Cost of sending a request's body to another zone, in milliseconds per byte: 27 ms for a long
/// prompt of 18 KB, less than a queue that matters.
const OTHER_ZONE_MS_PER_BYTE: f64 = 0.0015;

/// Cost of weights that are being replaced, since responses from them are worth less. Small
/// compared with a queue, so that the first engines with new weights are not flooded.
const OLD_WEIGHTS_MS: f64 = 60.0;

/// Cost of a target whose recent requests all failed.
const FAILING_MS: f64 = 400.0;

/// Cost of a zone that seems to be partitioned: each attempt there takes a third of a second and most
/// likely fails.
const PARTITIONED_MS: f64 = 1_500.0;

/// Cost of a target in cooldown; such a target is chosen only if there is no other.
const COOLDOWN_MS: f64 = 10_000.0;

/// A request to place, and the state on which the choice depends.
pub struct ChoiceInputs<'a> {
    /// Index of all targets.
    pub targets: &'a TargetIndex,
    /// Whether reports of other boxes' work arrive so late that only a few engines are considered
    /// first.
    pub reported_late: bool,
    /// Loads of the targets.
    pub loads: &'a Loads,
    /// Pool in which a target is chosen.
    pub pool: &'a PoolId,
    /// Zone of this box.
    pub zone: &'a ZoneId,
    /// Maximum number of requests that this box may have in flight at one target.
    pub max_in_flight: u32,
    /// Targets to which the request was sent before.
    pub tried: &'a [TargetId],
    /// Length of the request's body in bytes.
    pub body_len: usize,
    /// The request's prompt, if it is for an engine.
    pub prompt: Option<PromptInputs<'a>>,
    /// Regions in which the request may be served.
    pub residency: Residency<'a>,
    /// State needed to apply the limits of targets; `None` applies no limits.
    pub limit_context: Option<LimitContext<'a>>,
    /// Properties of the prompt in a pool that has stream engines; `None` reserves no engines.
    pub streams: Option<StreamInputs>,
    /// Versions of software that may get the request.
    pub software: SoftwareFilter<'a>,
    /// Current time.
    pub now: Instant,
}

/// Versions of software that may get a request.
#[derive(Debug, Clone, Copy, Default)]
pub enum SoftwareFilter<'a> {
    /// All.
    #[default]
    Any,
    /// One; `None` stands for targets that name none.
    Only(Option<&'a SoftwareVersion>),
    /// All but these.
    Except(&'a [Option<SoftwareVersion>]),
}

impl SoftwareFilter<'_> {
    /// Returns whether a target with this version may get the request.
    pub fn allows(&self, software: Option<&SoftwareVersion>) -> bool {
        match self {
            SoftwareFilter::Any => true,
            SoftwareFilter::Only(version) => software == *version,
            SoftwareFilter::Except(versions) => {
                !versions.iter().any(|version| version.as_ref() == software)
            }
        }
    }
}

/// The properties of a prompt on which the choice of an engine depends.
pub struct PromptInputs<'a> {
    /// Model that the prompt is for.
    pub model: &'a ModelId,
    /// Length of the prompt.
    pub tokens: Tokens,
    /// Time within which the first event of the response should come.
    pub latency_objective: Duration,
    /// Memory of one engine.
    pub capacity: Tokens,
    /// Newest weights version that operators request.
    pub desired: Option<WeightVersion>,
    /// Engines with older weights are not considered.
    pub oldest: WeightVersion,
    /// Sources of the prompt's parts, for each weights version that engines serve.
    pub plans: &'a [(WeightVersion, Plan)],
}

impl PromptInputs<'_> {
    /// Returns the sources of the prompt's parts for a weights version.
    pub fn plan(&self, version: WeightVersion) -> Option<&Plan> {
        let found = self.plans.iter().find(|(of, _)| *of == version);
        found.map(|(_, plan)| plan)
    }

    fn any_plan(&self) -> Option<&Plan> {
        self.plans.first().map(|(_, plan)| plan)
    }
}

/// The chosen target, with the estimates behind the choice.
#[derive(Debug, Clone)]
pub struct ChosenTarget {
    /// The chosen target.
    pub target: Arc<TargetEntry>,
    /// Weights version that the target serves, if it is an engine.
    pub version: Option<WeightVersion>,
    /// Prefill work ahead of the request at the target plus the wait for memory, in milliseconds.
    pub queue_ms: f64,
    /// Part of it that is the wait for memory.
    pub memory_ms: f64,
    /// How much longer the target takes for a prefill than others of its pool.
    pub slowness: f64,
    /// Expected time plus the added costs, in milliseconds.
    pub cost_ms: f64,
    /// Number of targets that could have taken the request.
    pub candidates: usize,
    /// Whether the target is in cooldown, so that it is used only if there is no other.
    pub in_cooldown: bool,
    /// Whether the target has enough memory for the request.
    pub has_memory: bool,
    /// Kind of the prompt in a pool that has stream engines.
    pub kind: Option<PromptKind>,
    /// Whether the target is a stream engine.
    pub is_stream_engine: bool,
    /// Whether the reports of other boxes' work at the target are late.
    pub reported_late: bool,
}

impl ChosenTarget {
    /// Orders targets: those with enough memory first, then by cost.
    fn is_better_than(&self, other: &ChosenTarget) -> bool {
        match self.has_memory == other.has_memory {
            true => self.cost_ms < other.cost_ms,
            false => self.has_memory,
        }
    }
}

/// Number of engines of the own zone considered first if other boxes' work is reported late. With
/// reports 0.15 to 0.3 s late, at 84 % of the prefill capacity, 95 % of prompts start within 0.5 s
/// if two engines are considered, and 66 % if all are (`tests/herd.rs`).
const FIRST_ENGINES: usize = 2;

/// Number of engines of the own zone, and of all other zones, that are considered next.
const SECOND_ENGINES: usize = 4;

/// More engines are considered if the prompt would wait for longer than its latency objective times
/// this factor: it is late then anyway. With half the objective fewer prompts start in time (0.86
/// instead of 0.91 in the same test at 94 % of the prefill capacity), because an engine that is
/// reported as idle is reported so to all boxes.
const MAX_WAIT_FACTOR: f64 = 1.0;

/// Returns the target with the lowest cost, or `None` if no target can take the request.
pub fn choose(choice: &ChoiceInputs<'_>) -> Option<ChosenTarget> {
    let found = choose_with(choice, Admission::OwnShare);
    match &choice.limit_context {
        Some(context) if !context.share_group.knows_share() => {
            found.or_else(|| choose_with(choice, Admission::UnknownShare))
        }
        _ => found,
    }
}

fn choose_with(choice: &ChoiceInputs<'_>, admission: Admission) -> Option<ChosenTarget> {
    let pool = choice.targets.pool(choice.pool)?;
    let search = Search::new(choice, admission);
    match &choice.streams {
        Some(streams) => search.best_by_kind(pool, streams),
        None => search.best_among(pool, |_| true),
    }
}

/// Returns the better of two choices.
fn better(a: Option<ChosenTarget>, b: Option<ChosenTarget>) -> Option<ChosenTarget> {
    match (a, b) {
        (Some(a), Some(b)) => Some(if b.is_better_than(&a) { b } else { a }),
        (a, b) => a.or(b),
    }
}

/// The request, with state that is computed once per choice.
pub(super) struct Search<'a> {
    pub(super) choice: &'a ChoiceInputs<'a>,
    admission: Admission,
    /// Whether the work of the own zone's boxes is known without delay.
    is_fresh: bool,
    pub(super) peer_work: Arc<HashMap<TargetHash, Work>>,
    /// Targets that accept nothing from this box, according to their own responses.
    pub(super) unavailable: HashSet<IncarnationHash>,
    /// Hash of the prompt's last shared part, which determines its homes.
    key: Option<u64>,
    pub(super) table: LoadTable<'a>,
}

impl<'a> Search<'a> {
    fn new(choice: &'a ChoiceInputs<'a>, admission: Admission) -> Self {
        let affinity_key = choice
            .prompt
            .as_ref()
            .and_then(|p| p.any_plan())
            .and_then(Plan::affinity_key);
        let unavailable = choice
            .loads
            .signals(|signals| signals.unavailable(choice.now));
        Self {
            is_fresh: choice.loads.is_fresh(choice.zone, choice.now),
            peer_work: match choice.prompt {
                Some(_) => choice.loads.peer_work(choice.now),
                None => Arc::default(),
            },
            unavailable,
            key: affinity_key.map(|key| hash_pair(&key.part.0, "")),
            table: choice.loads.table(),
            choice,
            admission,
        }
    }

    /// Returns targets in the order in which they are homes of the prompt. The order is the same at
    /// all boxes, so they all leave a busy home for the same other engine.
    fn ranked<'t>(
        &self,
        targets: impl Iterator<Item = &'t IndexedTarget>,
    ) -> Vec<&'t IndexedTarget> {
        let mut targets: Vec<&IndexedTarget> = targets.collect();
        if let Some(key) = self.key {
            targets.sort_by_cached_key(|target| std::cmp::Reverse(target.home_rank(key)));
        }
        targets
    }

    /// Returns the zone whose stores hold most of the prompt, unless it is the own zone. A fetch
    /// from another zone takes a store's link for twice as long, and the total load of the links
    /// decides how long each fetch waits.
    fn stored_parts_zone(&self) -> Option<&ZoneId> {
        let prompt = self.choice.prompt.as_ref()?;
        let (_, newest) = prompt.plans.last()?;
        newest.main_zone().filter(|zone| *zone != self.choice.zone)
    }

    /// Returns the best of the `included` targets.
    pub(super) fn best_among(
        &self,
        pool: &PoolTargets,
        included: impl Fn(&&IndexedTarget) -> bool,
    ) -> Option<ChosenTarget> {
        if self.choice.prompt.is_none() || !self.choice.reported_late {
            let targets = self.ranked(pool.all().filter(included));
            return self.best_of(&targets, usize::MAX);
        }
        self.best_of_widening(pool, included)
    }

    /// Considers two engines of the own zone, or all if it is fresh, and two of the zone that holds
    /// the prompt's parts, then a few more of all zones, then all if the best of those is in
    /// cooldown.
    fn best_of_widening(
        &self,
        pool: &PoolTargets,
        included: impl Fn(&&IndexedTarget) -> bool,
    ) -> Option<ChosenTarget> {
        let of_zone = |zone| self.ranked(pool.of_zone(zone).iter().filter(&included));
        let own = of_zone(self.choice.zone);
        let near_parts = self.stored_parts_zone().map(of_zone);
        let near_parts = near_parts.and_then(|near| self.best_of(&near, FIRST_ENGINES));
        let (own_first, own_second) = match self.is_fresh {
            true => (usize::MAX, usize::MAX),
            false => (FIRST_ENGINES, SECOND_ENGINES),
        };
        let first = better(self.best_of(&own, own_first), near_parts);
        let first = better(first, self.best_of(&self.limited_only(&own), usize::MAX));
        if first
            .as_ref()
            .is_some_and(|found| self.is_good_enough(found))
        {
            return first;
        }
        let others = self.ranked(pool.of_other_zones(self.choice.zone).filter(&included));
        let own_best = self.best_of(&own, own_second);
        let others_best = self.best_of(&others, SECOND_ENGINES);
        let second = better(own_best, others_best);
        if second.as_ref().is_some_and(|found| !found.in_cooldown) {
            return second;
        }
        let all: Vec<&IndexedTarget> = own.into_iter().chain(others).collect();
        self.best_of(&all, usize::MAX)
    }

    /// Returns those of the targets that are limited. Few boxes have a share of a target's limit,
    /// and two engines selected for a prompt are rarely those at which its box has one.
    fn limited_only<'t>(&self, targets: &[&'t IndexedTarget]) -> Vec<&'t IndexedTarget> {
        let Some(context) = &self.choice.limit_context else {
            return Vec::new();
        };
        let limits = self.choice.loads.limits();
        if !limits.has_any(context) {
            return Vec::new();
        }
        let is_limited =
            |target: &&&IndexedTarget| limits.is_limited(context, &target.entry, self.choice.now);
        targets.iter().filter(is_limited).copied().collect()
    }

    /// Returns whether a choice is good enough to consider no more engines.
    fn is_good_enough(&self, found: &ChosenTarget) -> bool {
        let latency_objective = self
            .choice
            .prompt
            .as_ref()
            .map_or(0.0, |p| millis(p.latency_objective));
        !found.in_cooldown && found.queue_ms <= latency_objective * MAX_WAIT_FACTOR
    }

    /// Returns the best of the first targets that can take the request, with at most
    /// `max_available` targets that are not in cooldown.
    fn best_of(&self, targets: &[&IndexedTarget], max_available: usize) -> Option<ChosenTarget> {
        let (mut candidates, mut available) = (0, 0);
        let mut best: Option<ChosenTarget> = None;
        for (position, target) in targets.iter().enumerate() {
            if available == max_available {
                break;
            }
            let Some(found) = self.candidate(target, position) else {
                continue;
            };
            candidates += 1;
            available += usize::from(!found.in_cooldown);
            if best.as_ref().is_none_or(|best| found.is_better_than(best)) {
                best = Some(found);
            }
        }
        best.map(|best| ChosenTarget { candidates, ..best })
    }

    /// Returns whether a target's limits let this box send it one more request.
    fn is_admitted(&self, entry: &TargetEntry) -> bool {
        let Some(context) = &self.choice.limit_context else {
            return true;
        };
        let mut limits = self.choice.loads.limits();
        limits.admits(context, entry, self.admission, self.choice.now)
    }

    /// Returns the slowness of an engine; 1 in small fleets, which use no learned speeds.
    fn slowness(&self, target: &IndexedTarget) -> f64 {
        let choice = self.choice;
        if choice.prompt.is_none() || !choice.reported_late {
            return 1.0;
        }
        let speeds = choice.loads.speeds();
        speeds.slowness(target.incarnation, choice.now)
    }

    /// Returns a target with its cost, or `None` if it can't take the request. `position` is its
    /// position among the prompt's homes.
    pub(super) fn candidate(
        &self,
        target: &IndexedTarget,
        position: usize,
    ) -> Option<ChosenTarget> {
        let (choice, entry) = (self.choice, &target.entry);
        if choice.tried.contains(&entry.id) || self.unavailable.contains(&target.incarnation) {
            return None;
        }
        if !choice.residency.allows(&entry.zone) || !choice.software.allows(entry.software.as_ref())
        {
            return None;
        }
        if !self.is_admitted(entry) {
            return None;
        }
        let mut load = self.table.get(&entry.id).copied().unwrap_or_default();
        if load.in_flight >= choice.max_in_flight {
            return None;
        }
        let peer_work = self.peer_work.get(&target.hash);
        load.work = load.work.plus(peer_work.copied().unwrap_or_default());
        let slowness = self.slowness(target);
        load.work.prefill_ms *= slowness;
        let version = match &choice.prompt {
            Some(prompt) => Some(served(entry, prompt.model).filter(|v| *v >= prompt.oldest)?),
            None => None,
        };
        let position = self.key.map_or(0, |_| position);
        let in_cooldown = load.in_cooldown(choice.now);
        Some(ChosenTarget {
            target: entry.clone(),
            version,
            queue_ms: load.work.prefill_ms + memory_ms(choice, &load),
            memory_ms: memory_ms(choice, &load),
            slowness,
            cost_ms: cost(choice, entry, &load, version, position, slowness),
            candidates: 0,
            in_cooldown,
            has_memory: !in_cooldown && has_memory(choice, &load),
            kind: None,
            is_stream_engine: false,
            reported_late: choice.reported_late && !(self.is_fresh && entry.zone == *choice.zone),
        })
    }
}

fn cost(
    choice: &ChoiceInputs<'_>,
    target: &TargetEntry,
    load: &Load,
    version: Option<WeightVersion>,
    position: usize,
    slowness: f64,
) -> f64 {
    let mut ms = load.failure_rate() * FAILING_MS;
    if load.in_cooldown(choice.now) {
        ms += COOLDOWN_MS;
    }
    if target.zone != *choice.zone {
        ms += OTHER_ZONE_MS + choice.body_len as f64 * OTHER_ZONE_MS_PER_BYTE;
        if choice.loads.seems_partitioned(&target.zone, choice.now) {
            ms += PARTITIONED_MS;
        }
    }
    let Some(prompt) = &choice.prompt else {
        return ms + f64::from(load.in_flight) * PLAIN_MS_PER_REQUEST + tie_break(target);
    };
    ms += load.work.requests * MS_PER_REQUEST + load.work.prefill_ms + memory_ms(choice, load);
    let plan = version.and_then(|version| prompt.plan(version));
    ms += plan.map_or(0.0, |plan| plan.shared_cost(&target.zone));
    ms += plan.map_or(0.0, |plan| plan.prompt_time_ms(&target.zone)) * (slowness - 1.0);
    if version < prompt.desired {
        ms += OLD_WEIGHTS_MS;
    }
    ms + position_ms(position)
}

/// Returns whether an engine will have memory for a prompt soon enough.
fn has_memory(choice: &ChoiceInputs<'_>, load: &Load) -> bool {
    let Some(prompt) = &choice.prompt else {
        return true;
    };
    memory_ms(choice, load) <= millis(prompt.latency_objective) * MAX_MEMORY_WAIT_FACTOR
}

/// Returns the expected wait for memory at an engine, in milliseconds.
fn memory_ms(choice: &ChoiceInputs<'_>, load: &Load) -> f64 {
    let Some(prompt) = &choice.prompt else {
        return 0.0;
    };
    let capacity = prompt.capacity.0.max(1) as f64;
    let missing = load.work.tokens + prompt.tokens.0 as f64 - capacity * USABLE_MEMORY_SHARE;
    if missing <= 0.0 {
        return 0.0;
    }
    // Memory is assumed to be freed evenly over the time for which it is held.
    choice.loads.memory_hold_ms() * missing / load.work.tokens.max(missing)
}

/// Breaks ties between targets without a model, the same way in all decisions of a process.
fn tie_break(target: &TargetEntry) -> f64 {
    to_unit_interval(hash_pair(target.id.as_str(), ""))
}

/// Returns the cost of not using the home: zero for the first engine, increasing with the position.
fn position_ms(position: usize) -> f64 {
    HOME_ADVANTAGE_MS * position as f64 / (1.0 + position as f64)
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}
