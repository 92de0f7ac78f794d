//! Stream engines: the engines of a zone that are kept free of long prefills while short prompts need them.
//!
//! An engine prefills a chunk of a prompt between two steps, so while long prompts wait for their prefill, each token
//! of every stream takes the time of a chunk. If a pool serves urgent short prompts with long responses and less
//! urgent long prompts, the long ones stall the streams of the short ones.
//!
//! All boxes order the engines of a zone in the same way. The first `k` of those that can be used are the zone's
//! stream engines, and `k` follows the number of short prompts in flight, which all boxes report
//! ([`RowKind::Streams`](super::work::RowKind)). Streams live for a second or more, so their number is a stable signal
//! although reports arrive up to 0.3 s late. Streams that slow down stay in flight for longer, which raises `k`.
//!
//! - [`count`]: the number of stream engines over time,
//! - [`long_prompts`]: how often a long prompt may use a stream engine,
//! - [`search`]: the choice among the engines.

pub mod count;
pub mod long_prompts;
pub mod search;

use super::index::IndexedTarget;
use super::stream_pace::expected_output;
use super::work::Work;
use crate::config::{EngineSpec, FleetConfig, Priority, Route};
use crate::dialect::Prompt;
use count::ZoneCount;
use long_prompts::LongPrompts;
use sillpin_core::{PoolId, Tokens, ZoneId};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// A prompt is short if its prefill takes less than this part of the shortest pause that callers accept: when it joins
/// a batch, it delays the other streams by less than their callers notice.
const SHORT_PREFILL_SHARE: f64 = 0.1;

/// Share of an engine's slots that streams may occupy. The rest is for streams that other boxes have started since
/// their last report.
const SLOT_SHARE: f64 = 0.75;

/// Share of an engine's memory that streams may occupy, for the same reason and because streams differ in length.
const MEMORY_SHARE: f64 = 0.8;

/// Share of an engine's slots and memory that streams may occupy while all stream engines are busy.
const FULL_SHARE: f64 = 0.9;

/// Smallest zone in which engines are reserved. In a smaller one, a single engine is more than a twelfth of the zone.
/// A twelfth is reserved as soon as there are short prompts: all boxes send there until they receive the first reports.
pub const MIN_ZONE_ENGINES: usize = 12;

/// Key of the order of a zone's engines, which is the same at all boxes.
const ORDER_KEY: u64 = 0x7374_7265_616d_7321;

/// Shortest time between two events about the stream engines of a pool.
const CHANGE_INTERVAL: Duration = Duration::from_secs(1);

/// How many streams an engine gets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fill {
    /// As many as it serves well.
    Comfortable,
    /// As many as have slots and memory.
    Full,
}

/// The two kinds of prompts that are kept apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PromptKind {
    /// Its prefill is too short for callers of other streams to notice.
    Short,
    /// All others.
    Long,
}

/// The properties of a pool and of its routes on which the stream engines depend.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StreamRules {
    /// Shortest pause between events that routes of the pool accept.
    pub max_event_gap: Duration,
    /// Number of requests that an engine runs concurrently.
    pub slots: u32,
    /// Memory of an engine.
    pub capacity: Tokens,
    /// Largest batch in which a token takes at most twice as long as alone; the number of slots if unknown.
    pub comfortable_batch: u32,
}

impl StreamRules {
    /// Returns the rules of a pool, or `None` if the configuration does not ask for stream engines: it does where
    /// routes of different priorities share a pool and one of them states which pauses its callers accept.
    pub fn of(config: &FleetConfig, pool: &PoolId, engine: &EngineSpec) -> Option<Self> {
        let uses_pool = |route: &&Arc<Route>| {
            let mut shares = route.shares.iter();
            shares.any(|share| share.pool == *pool && share.weight > 0)
        };
        let routes = || config.routes.iter().filter(uses_pool);
        let priorities: BTreeSet<Priority> = routes().map(|route| route.priority).collect();
        let max_event_gap = routes().filter_map(|route| route.max_event_gap).min()?;
        (priorities.len() > 1).then_some(Self {
            max_event_gap,
            slots: engine.slots,
            capacity: engine.capacity,
            comfortable_batch: engine.slots,
        })
    }

    /// Returns the same rules with a measured comfortable batch.
    pub fn with_comfortable_batch(self, comfortable_batch: u32) -> Self {
        Self {
            comfortable_batch,
            ..self
        }
    }

    /// Returns the kind of a prompt whose prefill takes `prefill_ms` if no part of it is stored. Stored parts don't
    /// count, since a fetch may be discarded.
    pub fn kind(&self, prefill_ms: f64) -> PromptKind {
        let max_event_gap_ms = self.max_event_gap.as_secs_f64() * 1000.0;
        match prefill_ms < max_event_gap_ms * SHORT_PREFILL_SHARE {
            true => PromptKind::Short,
            false => PromptKind::Long,
        }
    }

    /// Returns the memory of an engine that streams may occupy, in tokens.
    pub fn usable_memory(&self, fill: Fill) -> f64 {
        self.capacity.0 as f64
            * match fill {
                Fill::Comfortable => MEMORY_SHARE,
                Fill::Full => FULL_SHARE,
            }
    }

    /// Returns the number of streams that an engine gets, if each holds `stream_tokens` of memory.
    pub fn max_batch(&self, stream_tokens: f64, fill: Fill) -> f64 {
        let slots = f64::from(self.slots);
        let in_slots = match fill {
            Fill::Comfortable => (slots * SLOT_SHARE).min(f64::from(self.comfortable_batch)),
            Fill::Full => slots * FULL_SHARE,
        };
        let in_memory = self.usable_memory(fill) / stream_tokens.max(1.0);
        in_slots.min(in_memory).floor().max(1.0)
    }
}

/// Returns the work that a short prompt adds to the streams of its engine: the memory that its stream will hold.
pub fn stream_work(prompt: &Prompt) -> Work {
    let output = expected_output(prompt.max_output);
    Work::one(0.0, Tokens(prompt.tokens.0 + output as u64))
}

/// A prompt in a pool that has stream engines.
#[derive(Debug, Clone, Copy)]
pub struct StreamInputs {
    /// Rules of the pool.
    pub rules: StreamRules,
    /// Kind of the prompt.
    pub kind: PromptKind,
    /// Engine time of the prompt's prefill if no part of it is stored, in milliseconds.
    pub prefill_ms: f64,
    /// Number of boxes in the own zone.
    pub zone_boxes: usize,
    /// A random number, by which boxes that decide by the same reports choose different engines.
    pub draw: u64,
}

/// Stream engines of one pool.
#[derive(Debug, Default)]
struct PoolStreams {
    zones: BTreeMap<ZoneId, ZoneCount>,
    long_prompts: LongPrompts,
    /// Numbers in the last event, and its time.
    reported: Option<(Instant, Vec<usize>)>,
}

impl PoolStreams {
    fn counts(&self) -> Vec<usize> {
        self.zones.values().map(ZoneCount::count).collect()
    }
}

/// Numbers of stream engines of all pools and zones.
#[derive(Debug, Default)]
pub struct StreamEngines {
    pools: BTreeMap<PoolId, PoolStreams>,
}

impl StreamEngines {
    /// Updates the number of stream engines of a zone from the short prompts in flight there, and returns it.
    pub fn update(
        &mut self,
        pool: &PoolId,
        zone: &ZoneId,
        demand: &ZoneDemand,
        now: Instant,
    ) -> usize {
        let zones = &mut self.pool_mut(pool).zones;
        if !zones.contains_key(zone) {
            zones.insert(zone.clone(), ZoneCount::default());
        }
        zones
            .get_mut(zone)
            .map_or(0, |count| count.update(demand, now))
    }

    /// Removes the zones of a pool that are not `included`.
    pub fn retain_zones(&mut self, pool: &PoolId, included: impl Fn(&ZoneId) -> bool) {
        let zones = &mut self.pool_mut(pool).zones;
        zones.retain(|zone, _| included(zone));
    }

    /// Returns when long prompts used stream engines of a pool.
    pub fn long_prompts(&mut self, pool: &PoolId) -> &mut LongPrompts {
        &mut self.pool_mut(pool).long_prompts
    }

    fn pool_mut(&mut self, pool: &PoolId) -> &mut PoolStreams {
        if !self.pools.contains_key(pool) {
            self.pools.insert(pool.clone(), PoolStreams::default());
        }
        self.pools.entry(pool.clone()).or_default()
    }

    /// Returns the number of stream engines of each pool.
    pub fn counts(&self) -> impl Iterator<Item = (&PoolId, usize)> {
        let pools = self.pools.iter();
        pools.map(|(pool, streams)| (pool, streams.counts().iter().sum()))
    }

    /// Returns the numbers of stream engines of a pool by zone, if they have changed and an event about them is due.
    pub fn take_change(&mut self, pool: &PoolId, now: Instant) -> Option<String> {
        let streams = self.pools.get_mut(pool)?;
        let counts = streams.counts();
        let is_reported = match &streams.reported {
            Some((at, reported)) => *reported == counts || now - *at < CHANGE_INTERVAL,
            None => counts.iter().all(|count| *count == 0),
        };
        if is_reported {
            return None;
        }
        streams.reported = Some((now, counts));
        let zones = streams.zones.iter();
        let zones = zones.map(|(zone, count)| format!("{zone}:{}", count.count()));
        Some(zones.collect::<Vec<_>>().join(","))
    }
}

/// Short prompts in flight at the engines of a zone, and the engines that could serve them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ZoneDemand {
    /// Short prompts in flight.
    pub streams: f64,
    /// Number of streams that an engine serves well.
    pub batch: f64,
    /// Number of engines that can be used.
    pub usable: usize,
}

impl ZoneDemand {
    /// Sums up the streams at the engines of a zone, of which `usable` can be used.
    pub fn of(engines: impl Iterator<Item = Work>, usable: usize, rules: &StreamRules) -> Self {
        let streams = engines.fold(Work::default(), Work::plus);
        let stream_tokens = streams.tokens / streams.requests.max(1.0);
        Self {
            streams: streams.requests,
            batch: rules.max_batch(stream_tokens, Fill::Comfortable),
            usable,
        }
    }

    /// Returns the number of engines needed if `growth` more streams start than end. One engine is left for long
    /// prompts.
    pub fn needed(&self, growth: f64) -> usize {
        let engines = ((self.streams + growth) / self.batch).ceil() as usize;
        let least = match self.streams > 0.0 {
            true => self.usable.div_ceil(MIN_ZONE_ENGINES),
            false => 0,
        };
        engines.max(least).min(self.usable.saturating_sub(1))
    }
}

/// Sorts engines in the order in which they become stream engines. It is the same at all boxes.
pub fn sort(engines: &mut [&IndexedTarget]) {
    engines.sort_by_cached_key(|engine| std::cmp::Reverse(engine.home_rank(ORDER_KEY)));
}
