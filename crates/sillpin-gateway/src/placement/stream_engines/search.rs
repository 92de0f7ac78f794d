//! The choice of an engine for a prompt in a pool that has stream engines.

use super::{Fill, MIN_ZONE_ENGINES, PromptKind, StreamInputs, ZoneDemand, long_prompts, sort};
use crate::cache_stores::homes::to_unit_interval;
use crate::fleet_state::fleet::served;
use crate::placement::choose::{ChosenTarget, Search};
use crate::placement::index::{IndexedTarget, PoolTargets};
use crate::placement::standing::Queue;
use crate::placement::work::{TargetHash, Work};
use sillpin_core::ZoneId;
use sillpin_policy::overload::PREFILL_FACTOR;
use std::collections::HashSet;
use std::time::Duration;

/// Number of engines considered at a time for a short prompt if reports are late. The better one of two random engines
/// keeps the engines' loads nearly equal, while all boxes would send to the engine with the least reported load.
const FIRST_ENGINES: usize = 2;

/// A long prompt may use a stream engine if its prefill takes less than this part of the shortest pause that callers
/// accept: other steps add to the pause, and an engine may be slow for a while.
const MAX_PREFILL_SHARE: f64 = 1.0 / 3.0;

/// An engine that has left the stream engines gets long prompts again when it runs fewer streams than this part of
/// what it serves well.
const MAX_DRAINED_SHARE: f64 = 0.25;

/// Stream engines of all zones.
type Reserved = HashSet<TargetHash>;

impl Search<'_> {
    /// Returns the best engine for a prompt of a pool that has stream engines.
    pub(in crate::placement) fn best_by_kind(
        &self,
        pool: &PoolTargets,
        streams: &StreamInputs,
    ) -> Option<ChosenTarget> {
        let reserved = self.reserved(pool, streams);
        let found = match streams.kind {
            PromptKind::Short => self.best_for_short(pool, streams, &reserved),
            PromptKind::Long => self.best_for_long(pool, streams, &reserved),
        }?;
        let is_stream_engine = reserved.contains(&TargetHash::of(&found.target.id));
        Some(ChosenTarget {
            kind: Some(streams.kind),
            is_stream_engine,
            ..found
        })
    }

    /// Returns the stream engines of all zones that are large enough.
    fn reserved(&self, pool: &PoolTargets, streams: &StreamInputs) -> Reserved {
        let is_large = |zone: &ZoneId| pool.of_zone(zone).len() >= MIN_ZONE_ENGINES;
        let mut state = self.choice.loads.stream_engines();
        state.retain_zones(self.choice.pool, is_large);
        drop(state);
        let mut reserved = Reserved::new();
        for zone in pool.zone_names.iter().filter(|zone| is_large(zone)) {
            self.reserve(zone, pool.of_zone(zone), streams, &mut reserved);
        }
        reserved
    }

    fn reserve(
        &self,
        zone: &ZoneId,
        engines: &[IndexedTarget],
        streams: &StreamInputs,
        reserved: &mut Reserved,
    ) {
        let (choice, rules) = (self.choice, &streams.rules);
        let mut usable: Vec<&IndexedTarget> =
            engines.iter().filter(|at| self.is_usable(at)).collect();
        let at_engines = engines.iter().map(|at| self.streams_at(at));
        let demand = ZoneDemand::of(at_engines, usable.len(), rules);
        let mut state = choice.loads.stream_engines();
        let count = state.update(choice.pool, zone, &demand, choice.now);
        drop(state);
        sort(&mut usable);
        reserved.extend(usable.iter().take(count).map(|engine| engine.hash));
    }

    /// Returns the short prompts that all boxes have in flight at an engine.
    fn streams_at(&self, engine: &IndexedTarget) -> Work {
        let id = &engine.entry.id;
        let own = self.table.get(id).map(|load| load.streams);
        let others = self.peer_work.get(&engine.streams).copied();
        own.unwrap_or_default().plus(others.unwrap_or_default())
    }

    /// Returns the work that all boxes have at an engine.
    fn work_at(&self, engine: &IndexedTarget) -> Work {
        let own = self.table.get(&engine.entry.id).map(|load| load.work);
        let others = self.peer_work.get(&engine.hash).copied();
        own.unwrap_or_default().plus(others.unwrap_or_default())
    }

    /// Returns whether an engine takes prompts now: engines in cooldown, cold ones, and those that serve old weights
    /// are replaced by the next ones in the order.
    fn is_usable(&self, engine: &IndexedTarget) -> bool {
        let (choice, entry) = (self.choice, &engine.entry);
        let prompt = choice.prompt.as_ref();
        let serves = prompt.is_some_and(|prompt| {
            served(entry, prompt.model).is_some_and(|version| version >= prompt.oldest)
        });
        let load = self.table.get(&entry.id);
        let in_cooldown = load.is_some_and(|load| load.in_cooldown(choice.now));
        let context = choice.limit_context.as_ref();
        let cold = context.filter(|context| context.warm_up.is_some());
        let is_cold = cold.and_then(|context| context.cold.get(&entry.id));
        let is_cold = is_cold.is_some_and(|until| choice.now < *until);
        serves && !in_cooldown && !is_cold && !self.unavailable.contains(&engine.incarnation)
    }

    /// A short prompt goes to a stream engine of the own zone, or else of another one, that has free capacity. If there
    /// is none, it goes to an engine that runs no long prompt, then to a stream engine that has any slots and memory
    /// left, and otherwise to any engine.
    fn best_for_short(
        &self,
        pool: &PoolTargets,
        streams: &StreamInputs,
        reserved: &Reserved,
    ) -> Option<ChosenTarget> {
        let choice = self.choice;
        let is_reserved = |engine: &&IndexedTarget| reserved.contains(&engine.hash);
        let is_reachable = |engine: &&IndexedTarget| {
            !choice
                .loads
                .seems_partitioned(&engine.entry.zone, choice.now)
        };
        let own = || pool.of_zone(choice.zone).iter();
        let in_own = || own().filter(is_reserved);
        let in_others = || {
            let others = pool.of_other_zones(choice.zone);
            others.filter(is_reserved).filter(is_reachable)
        };
        let without_long = || own().filter(|engine| !self.runs_long_prompt(engine));
        self.best_with_room(in_own(), streams, Fill::Comfortable)
            .or_else(|| self.best_with_room(in_others(), streams, Fill::Comfortable))
            .or_else(|| self.best_with_room(without_long(), streams, Fill::Comfortable))
            .or_else(|| self.best_with_room(in_own(), streams, Fill::Full))
            .or_else(|| self.best_among(pool, |_| true))
    }

    fn runs_long_prompt(&self, engine: &IndexedTarget) -> bool {
        self.work_at(engine).requests >= self.streams_at(engine).requests + 1.0
    }

    /// Returns the best engine that has room. If reports are late, two random ones are considered: all boxes would
    /// send to the only one that has room according to the reports.
    fn best_with_room<'t>(
        &self,
        engines: impl Iterator<Item = &'t IndexedTarget>,
        streams: &StreamInputs,
        fill: Fill,
    ) -> Option<ChosenTarget> {
        let mut engines: Vec<&IndexedTarget> = engines.collect();
        engines.sort_by_cached_key(|engine| engine.home_rank(streams.draw));
        if !self.choice.reported_late {
            return self.first_to_start(&engines, streams, fill);
        }
        let first = &engines[..engines.len().min(FIRST_ENGINES)];
        self.first_to_start(first, streams, fill)
    }

    /// Returns the engine with room at which a short prompt starts first.
    fn first_to_start(
        &self,
        engines: &[&IndexedTarget],
        streams: &StreamInputs,
        fill: Fill,
    ) -> Option<ChosenTarget> {
        let free = engines
            .iter()
            .filter(|engine| self.has_room(engine, streams, fill));
        let found = free.filter_map(|engine| self.candidate(engine, 0));
        let found: Vec<ChosenTarget> = found.filter(|found| found.has_memory).collect();
        let candidates = found.len();
        let best = found
            .into_iter()
            .min_by(|a, b| self.start_cost(a).total_cmp(&self.start_cost(b)))?;
        Some(ChosenTarget { candidates, ..best })
    }

    /// Returns the cost of an engine without the prefill work that is done by now if reports are late. Otherwise the
    /// prefills of a few short prompts would count for more than the number of streams.
    fn start_cost(&self, found: &ChosenTarget) -> f64 {
        let queue = Queue::reported(found.queue_ms, self.choice.reported_late);
        found.cost_ms - found.queue_ms + queue.certain_ms
    }

    /// Returns whether an engine has room for one more stream. Long prompts that it still runs, because it has become a
    /// stream engine just now, count with their memory.
    fn has_room(&self, engine: &IndexedTarget, streams: &StreamInputs, fill: Fill) -> bool {
        let (work, at_engine) = (self.work_at(engine), self.streams_at(engine));
        let prompt_tokens = self.choice.prompt.as_ref().map_or(0, |p| p.tokens.0) as f64;
        let stream_tokens = match at_engine.requests >= 1.0 {
            true => at_engine.tokens / at_engine.requests,
            false => prompt_tokens,
        };
        let long_tokens = (work.tokens - at_engine.requests * prompt_tokens).max(0.0);
        let held = long_tokens + at_engine.tokens + stream_tokens;
        let running = work.requests.max(at_engine.requests);
        let max_batch = streams.rules.max_batch(stream_tokens, fill);
        held <= streams.rules.usable_memory(fill) && running < max_batch
    }

    /// A long prompt goes to one of the other engines, if possible to one that runs few streams. If it would miss its
    /// latency objective there, it may use a stream engine that prefills no other long prompt.
    fn best_for_long(
        &self,
        pool: &PoolTargets,
        streams: &StreamInputs,
        reserved: &Reserved,
    ) -> Option<ChosenTarget> {
        let is_other = |engine: &&IndexedTarget| !reserved.contains(&engine.hash);
        let is_in_time = |found: &ChosenTarget| self.is_in_time(found, streams);
        let drained =
            |engine: &&IndexedTarget| is_other(engine) && self.is_drained(engine, streams);
        let found = self.best_among(pool, drained);
        if found.as_ref().is_some_and(is_in_time) {
            return found;
        }
        let others = self.best_among(pool, is_other);
        if others.as_ref().is_some_and(is_in_time) {
            return others;
        }
        self.idle_stream_engine(pool, streams, reserved).or(others)
    }

    /// Returns whether an engine runs few streams. One that was a stream engine until a moment ago runs many.
    fn is_drained(&self, engine: &IndexedTarget, streams: &StreamInputs) -> bool {
        let at_engine = self.streams_at(engine);
        let stream_tokens = at_engine.tokens / at_engine.requests.max(1.0);
        let max_batch = streams.rules.max_batch(stream_tokens, Fill::Comfortable);
        at_engine.requests <= max_batch * MAX_DRAINED_SHARE
    }

    /// Returns whether a prompt can start at an engine within its latency objective.
    fn is_in_time(&self, found: &ChosenTarget, streams: &StreamInputs) -> bool {
        let queue = Queue::reported(found.queue_ms, self.choice.reported_late);
        let start_ms = queue.expected_ms + streams.prefill_ms * PREFILL_FACTOR;
        let latency_objective = self.choice.prompt.as_ref().map(|p| p.latency_objective);
        let start = Duration::from_secs_f64(start_ms.max(0.0) / 1000.0);
        !found.in_cooldown && latency_objective.is_some_and(|objective| start <= objective)
    }

    /// Returns a stream engine of the own zone that may prefill a long prompt.
    fn idle_stream_engine(
        &self,
        pool: &PoolTargets,
        streams: &StreamInputs,
        reserved: &Reserved,
    ) -> Option<ChosenTarget> {
        let choice = self.choice;
        let own = pool.of_zone(choice.zone).iter();
        let own: Vec<&IndexedTarget> = own.filter(|at| reserved.contains(&at.hash)).collect();
        let max_event_gap_ms = streams.rules.max_event_gap.as_secs_f64() * 1000.0;
        if own.is_empty() || streams.prefill_ms >= max_event_gap_ms * MAX_PREFILL_SHARE {
            return None;
        }
        let interval = long_prompts::interval(streams.prefill_ms, own.len(), streams.zone_boxes);
        let draw = to_unit_interval(streams.draw);
        let mut state = choice.loads.stream_engines();
        let long_prompts = state.long_prompts(choice.pool);
        if !long_prompts.may_send(interval, draw, choice.now) {
            return None;
        }
        drop(state);
        let idle = |engine: &&&IndexedTarget| {
            let prefill_ms = self.work_at(engine).prefill_ms;
            !self.runs_long_prompt(engine) && streams.rules.kind(prefill_ms) == PromptKind::Short
        };
        let mut idle: Vec<&IndexedTarget> = own.iter().filter(idle).copied().collect();
        idle.sort_by_cached_key(|engine| engine.home_rank(streams.draw));
        let mut found = idle.iter().filter_map(|engine| self.candidate(engine, 0));
        found.find(|found| found.has_memory)
    }
}
