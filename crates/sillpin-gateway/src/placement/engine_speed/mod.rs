//! Learned speeds of engines.
//!
//! Addresses pools of engines of any speed, and engines that differ from each other or become slow.
//! For each pool the prefill rate, the fixed time to the first event and the effect of concurrent
//! requests on the pause between events are estimated from this box's own requests; prefill rates
//! are also shared with other boxes. For each engine its slowness relative to the pool is
//! estimated.
//!
//! - [`clean`]: requests that met no queue,
//! - [`line`]: robust separation of fixed time and time for each unit,
//! - [`pool`]: estimates of one pool,
//! - [`slowness`]: slowness of one engine.

pub mod clean;
pub mod line;
pub mod pool;
pub mod slowness;

use super::work::{EngineWork, IncarnationHash, ReportedPrefill, RowKind, TargetHash, Work};
use clean::{CleanStarts, WatchId, WatchedRequest};
use derive_more::{Display, FromStr};
use pool::Pool;
use sillpin_core::{PoolId, Tokens};
use slowness::Slowness;
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;

/// Longest known queue, in milliseconds, with which a request is measured.
pub const MAX_QUEUE_MS: f64 = 2.0;

/// An engine's slowness is measured only with prompts whose prefill takes at least this part of the
/// fixed time: the start of a shorter prompt says little about the engine.
const MIN_PREFILL_SHARE: f64 = 0.3;

/// Smallest number of events from which the pause between events is measured.
const MIN_EVENTS: u32 = 8;

/// Time after which the estimates of a pool that gets no requests are dropped.
const POOL_LIFETIME: Duration = Duration::from_secs(600);

/// Number of prompt tokens that an engine prefills in a millisecond.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Display, FromStr)]
pub struct PrefillRate(pub f64);

impl PrefillRate {
    /// Rate that is assumed before anything is learned.
    pub const PRIOR: Self = Self(56.9);

    /// Returns the time to prefill tokens, in milliseconds.
    pub fn ms(self, tokens: Tokens) -> f64 {
        tokens.0 as f64 / self.0
    }
}

/// Estimated speed of a pool's engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PoolSpeed {
    /// Prefill rate.
    pub rate: PrefillRate,
    /// Time to the first event besides queue and prefill, in milliseconds.
    pub start_ms: f64,
}

impl Default for PoolSpeed {
    fn default() -> Self {
        Self {
            rate: PrefillRate::PRIOR,
            start_ms: 0.0,
        }
    }
}

impl PoolSpeed {
    /// Returns the time to the first event of a prompt without a queue, in milliseconds.
    fn first_event_ms(&self, tokens: Tokens) -> f64 {
        self.start_ms + self.rate.ms(tokens)
    }

    /// Returns whether a prompt is long enough to measure an engine's slowness.
    fn shows_slowness(&self, tokens: Tokens) -> bool {
        self.rate.ms(tokens) >= self.start_ms * MIN_PREFILL_SHARE
    }
}

/// How long an engine took to send the first event of a response.
#[derive(Debug, Clone, Copy)]
pub struct StartSample {
    /// Prompt tokens that were not fetched: at most these were prefilled.
    pub tokens: Tokens,
    /// Known queue when the prompt was sent, in milliseconds.
    pub queue_ms: f64,
    /// Time from sending the prompt to the first event.
    pub took: Duration,
}

/// The events of a stream.
#[derive(Debug, Clone, Copy)]
pub struct PaceSample {
    /// Number of events.
    pub events: u32,
    /// Time from the first to the last event.
    pub took: Duration,
    /// Number of concurrent requests at the engine, including this one.
    pub batch: f64,
}

/// Estimates of all pools and engines.
#[derive(Debug, Default)]
pub struct EngineSpeeds {
    enabled: bool,
    pools: HashMap<PoolId, Pool>,
    engines: HashMap<IncarnationHash, Slowness>,
    clean_starts: CleanStarts,
}

impl EngineSpeeds {
    /// Enables learning; without it, all estimates are the prior ones.
    pub fn enable(&mut self) {
        self.enabled = true;
    }

    /// Returns whether speeds are learned.
    pub fn is_enabled(&self) -> bool {
        self.enabled
    }

    /// Watches a request that is being sent without a known queue; `None` without learning.
    pub fn watch(&mut self, request: WatchedRequest) -> Option<WatchId> {
        self.enabled.then(|| self.clean_starts.watch(request))?
    }

    /// Records the time to the first event of a watched request.
    pub fn started(&mut self, id: WatchId, took: Duration) {
        self.clean_starts.started(id, took);
    }

    /// Ends the watch of a request that has ended without an event.
    pub fn ended(&mut self, id: WatchId) {
        self.clean_starts.ended(id);
    }

    /// Checks watched requests against the reports of other boxes, and records the starts of those
    /// that met no queue.
    pub fn check(&mut self, reported: impl Fn(TargetHash) -> ReportedPrefill, now: Instant) {
        for (request, sample) in self.clean_starts.check(reported, now) {
            self.record_start(&request.pool, request.engine, sample, now);
        }
    }

    /// Records the start of a response.
    pub fn record_start(
        &mut self,
        pool: &PoolId,
        engine: IncarnationHash,
        sample: StartSample,
        now: Instant,
    ) {
        if !self.enabled || sample.queue_ms > MAX_QUEUE_MS || sample.tokens.0 == 0 {
            return;
        }
        self.pools
            .retain(|_, pool| now - pool.used_at() < POOL_LIFETIME);
        let ms = sample.took.as_secs_f64() * 1000.0;
        let pool = pool_mut(&mut self.pools, pool, now);
        let speed = pool.speed(now);
        if pool.is_known(now) && speed.shows_slowness(sample.tokens) {
            let ratio = ms / speed.first_event_ms(sample.tokens).max(1.0);
            self.engines.entry(engine).or_default().record(ratio, now);
        }
        pool.record_start(sample.tokens.0 as f64, ms, now);
    }

    /// Records the events of a stream.
    pub fn record_pace(&mut self, pool: &PoolId, sample: PaceSample, now: Instant) {
        if !self.enabled || sample.events < MIN_EVENTS {
            return;
        }
        let pauses = f64::from(sample.events - 1);
        let pause_ms = sample.took.as_secs_f64() * 1000.0 / pauses;
        pool_mut(&mut self.pools, pool, now).record_pace(sample.batch.max(1.0), pause_ms, now);
    }

    /// Returns the estimated speed of a pool's engines.
    pub fn speed(&self, pool: &PoolId, now: Instant) -> PoolSpeed {
        let known = self.pools.get(pool).filter(|_| self.enabled);
        known.map_or_else(PoolSpeed::default, |pool| pool.speed(now))
    }

    /// Returns the time to prefill tokens at an engine of a pool, in milliseconds.
    pub fn prefill_ms(&self, pool: &PoolId, tokens: Tokens, now: Instant) -> f64 {
        self.speed(pool, now).rate.ms(tokens)
    }

    /// Returns the time to the first event besides queue and prefill, in milliseconds.
    pub fn start_ms(&self, pool: &PoolId, now: Instant) -> f64 {
        self.speed(pool, now).start_ms
    }

    /// Returns how much longer an engine takes than others of its pool; 1 if nothing is known.
    pub fn slowness(&self, engine: IncarnationHash, now: Instant) -> f64 {
        let known = self.engines.get(&engine).filter(|_| self.enabled);
        known.map_or(1.0, |slowness| slowness.ratio(now))
    }

    /// Returns the largest batch, up to `slots`, at which a token takes at most twice as long as in a
    /// batch of one; `slots` if nothing is known.
    pub fn comfortable_batch(&self, pool: &PoolId, slots: u32, _now: Instant) -> u32 {
        let known = self.pools.get(pool).filter(|_| self.enabled);
        known.map_or(slots, |pool| pool.comfortable_batch(slots))
    }

    /// Returns the rows with this box's measurements, one for each pool that it has measured.
    pub fn rows(&self, now: Instant) -> Vec<EngineWork> {
        let row = |(id, pool): (&PoolId, &Pool)| {
            let hash = TargetHash::for_rows(id.as_str(), RowKind::Rates);
            pool.own_sums(now).map(|sums| EngineWork::at(hash, sums))
        };
        self.pools.iter().filter_map(row).collect()
    }

    /// Returns whether the measurements of other boxes for a pool are to be looked up.
    pub fn needs_peers(&self, pool: &PoolId, now: Instant) -> bool {
        self.enabled && self.pools.get(pool).is_none_or(|p| p.needs_peers(now))
    }

    /// Stores the sums of the rows of other boxes for a pool.
    pub fn set_peers(&mut self, pool: &PoolId, sums: Work, now: Instant) {
        if self.enabled {
            pool_mut(&mut self.pools, pool, now).set_peers(sums, now);
        }
    }

    /// Returns the prefill rate of each pool.
    pub fn rates(&self, now: Instant) -> Vec<(PoolId, PrefillRate)> {
        let rate = |(id, pool): (&PoolId, &Pool)| (id.clone(), pool.speed(now).rate);
        self.pools.iter().map(rate).collect()
    }

    /// Removes engines that are not listed, including earlier incarnations.
    pub fn retain_listed(&mut self, is_listed: impl Fn(IncarnationHash) -> bool) {
        self.engines.retain(|engine, _| is_listed(*engine));
    }
}

fn pool_mut<'a>(pools: &'a mut HashMap<PoolId, Pool>, id: &PoolId, now: Instant) -> &'a mut Pool {
    pools.entry(id.clone()).or_insert_with(|| Pool::new(now))
}
