//! Measures what organisations request of each pool, and what is admitted.
//!
//! While a box refuses requests, it reports its largest organisations to the other boxes, so that
//! each box knows the demand of the whole fleet. The capacity of a pool is not configured: it is
//! what all boxes admit. Boxes that each estimated it from their own requests alone differed from
//! each other by a factor of two.

use super::work::{EngineWork, RowKind, TargetHash, Work};
use crate::config::Priority;
use sillpin_core::{OrgId, PoolId};
use sillpin_policy::fair_share::{FairShare, PrefillRate};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use tokio::time::Instant;

/// Time over which rates are averaged.
const AVERAGING_TIME: Duration = Duration::from_secs(3);

/// Demand is reported for this time after a refusal.
const REPORT_TIME: Duration = Duration::from_secs(5);

/// A pool counts as overloaded for this time after there was a standing queue. Without it, all that
/// organisations request above their shares would be admitted at once whenever the queue is short
/// for a moment.
const OVERLOAD_TIME: Duration = Duration::from_millis(500);

/// Maximum number of organisations that a box reports.
const MAX_REPORTED: usize = 16;

/// Least part of a box's demand on a pool from which an organisation is reported. It bounds the
/// number of different rows that hubs send when there are many small organisations.
const MIN_REPORTED_PART: f64 = 1.0 / 32.0;

/// Least part of the demand that counts as admitted: shares of a pool that has admitted nothing
/// could not grow again.
const MIN_ADMITTED_PART: f64 = 0.05;

/// Interval at which the division of a pool is computed again.
const DIVISION_INTERVAL: Duration = Duration::from_millis(200);

/// Demands below this are forgotten, in milliseconds per second.
const MIN_RATE: PrefillRate = PrefillRate(0.01);

/// Number of organisations of a pool from which those without demand are removed.
const MAX_KEPT: usize = 64;

/// Time for which requests of lower priority yield after one of higher priority was about to be
/// refused, and during which an admission of lower priority keeps a higher one from being refused.
/// Half of the half-life of the standing queue, so that a queue that drains ends it.
const YIELD_TIME: Duration = Duration::from_millis(250);

/// An average over the last [`AVERAGING_TIME`], with exponentially falling weights.
#[derive(Debug, Clone, Copy)]
struct Average {
    sum: f64,
    at: Instant,
}

impl Average {
    fn new(now: Instant) -> Self {
        Self { sum: 0.0, at: now }
    }

    fn add(&mut self, amount: f64, now: Instant) {
        self.sum = self.sum(now) + amount;
        self.at = now;
    }

    fn sum(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at);
        self.sum * (-age.as_secs_f64() / AVERAGING_TIME.as_secs_f64()).exp()
    }

    fn per_s(&self, now: Instant) -> f64 {
        self.sum(now) / AVERAGING_TIME.as_secs_f64()
    }
}

/// Requests of one organisation to one pool through this box.
#[derive(Debug, Clone, Copy)]
struct OrgUsage {
    requested_ms: Average,
    admitted_ms: Average,
    requests: Average,
}

impl OrgUsage {
    fn new(now: Instant) -> Self {
        let zero = Average::new(now);
        Self {
            requested_ms: zero,
            admitted_ms: zero,
            requests: zero,
        }
    }

    fn demand(&self, now: Instant) -> PrefillRate {
        PrefillRate(self.requested_ms.per_s(now))
    }

    /// What other boxes are told: work per second that is requested and admitted, and thousandths of
    /// requests per second. The fields of [`Work`] are only the places of the numbers in a row.
    fn row(&self, now: Instant) -> Work {
        Work {
            prefill_ms: self.requested_ms.per_s(now),
            tokens: self.admitted_ms.per_s(now),
            requests: self.requests.per_s(now) * 1000.0,
        }
    }
}

/// Requests that this box admitted to a pool with one priority.
#[derive(Debug, Clone, Copy)]
struct Admitted {
    ms: Average,
    /// Last admission of a request that goes behind a queue.
    queued_at: Option<Instant>,
}

/// The division of a pool at one time.
#[derive(Debug, Clone, Copy, Default)]
pub struct Division {
    /// The fair shares.
    pub shares: FairShare,
    /// Capacity that was divided.
    pub capacity: PrefillRate,
}

#[derive(Debug, Default)]
struct PoolUsage {
    organisations: HashMap<OrgId, OrgUsage>,
    admitted: BTreeMap<Priority, Admitted>,
    refused_at: Option<Instant>,
    /// When there was a standing queue.
    overloaded_at: Option<Instant>,
    /// Priority of the last request that was about to be refused, and until when lower ones yield.
    yield_to: Option<(Priority, Instant)>,
    division: Option<(Instant, Division)>,
}

/// A request, as far as it concerns the usage of a pool.
#[derive(Debug, Clone, Copy)]
pub struct Asked<'a> {
    /// Pool that it is for.
    pub pool: &'a PoolId,
    /// Organisation of its caller.
    pub organisation: Option<&'a OrgId>,
    /// Its priority.
    pub priority: Priority,
    /// Its prefill work in milliseconds.
    pub prefill_ms: f64,
}

/// What is known of a pool besides the requests of this box.
pub struct PoolFacts<'a, O> {
    /// Organisations of the configuration.
    pub organisations: O,
    /// Sums of the rows of all other boxes.
    pub reported_rows: &'a HashMap<TargetHash, Work>,
    /// Number of engines of the pool.
    pub engines: usize,
}

/// What organisations request of each pool, and what this box admits.
#[derive(Debug, Default)]
pub struct Usage {
    pools: HashMap<PoolId, PoolUsage>,
}

impl Usage {
    /// Records a request, whether it is admitted or not.
    pub fn record_request(&mut self, asked: Asked<'_>, now: Instant) {
        let pool = self.pool_mut(asked.pool);
        if let Some(org) = asked.organisation {
            let usage = pool.usage_mut(org, now);
            usage.requested_ms.add(asked.prefill_ms, now);
            usage.requests.add(1.0, now);
        }
    }

    /// Records that a request is admitted, and whether it goes behind a queue.
    pub fn record_admitted(&mut self, asked: Asked<'_>, is_queued: bool, now: Instant) {
        let pool = self.pool_mut(asked.pool);
        if let Some(org) = asked.organisation {
            let usage = pool.usage_mut(org, now);
            usage.admitted_ms.add(asked.prefill_ms, now);
        }
        let admitted = pool.admitted.entry(asked.priority).or_insert(Admitted {
            ms: Average::new(now),
            queued_at: None,
        });
        admitted.ms.add(asked.prefill_ms, now);
        if is_queued {
            admitted.queued_at = Some(now);
        }
    }

    /// Records that there is a standing queue.
    pub fn record_overload(&mut self, pool: &PoolId, now: Instant) {
        self.pool_mut(pool).overloaded_at = Some(now);
    }

    /// Returns whether there was a standing queue just now.
    pub fn is_overloaded(&self, pool: &PoolId, now: Instant) -> bool {
        let at = self.pools.get(pool).and_then(|pool| pool.overloaded_at);
        at.is_some_and(|at| now.saturating_duration_since(at) < OVERLOAD_TIME)
    }

    /// Records that a request is refused because of the load.
    pub fn record_refused(&mut self, pool: &PoolId, now: Instant) {
        self.pool_mut(pool).refused_at = Some(now);
    }

    /// Returns the rows for other boxes: the largest organisations of each pool that refused
    /// requests recently.
    pub fn updates_to_send(&self, now: Instant) -> Vec<EngineWork> {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < REPORT_TIME;
        let refusing = |pool: &&PoolUsage| pool.refused_at.is_some_and(is_recent);
        let pools = self.pools.iter().filter(|(_, pool)| refusing(pool));
        let mut rows: Vec<EngineWork> = pools
            .flat_map(|(id, pool)| pool.rows(id, now))
            .filter(|row| row.1 > 0)
            .collect();
        rows.sort_unstable_by_key(|row| std::cmp::Reverse(row.1));
        rows.truncate(MAX_REPORTED);
        rows
    }

    /// Returns an organisation's demand on a pool at all boxes.
    pub fn demand(
        &self,
        pool: &PoolId,
        org: &OrgId,
        reported_rows: &HashMap<TargetHash, Work>,
        now: Instant,
    ) -> PrefillRate {
        let own = self.pools.get(pool);
        let own = own.and_then(|pool| pool.organisations.get(org));
        let own = own.map_or(0.0, |usage| usage.demand(now).0);
        PrefillRate(own + peer_demand(pool, org, reported_rows))
    }

    /// Returns the fair division of a pool.
    pub fn division<'a, O>(
        &mut self,
        pool: &PoolId,
        facts: PoolFacts<'_, O>,
        now: Instant,
    ) -> Division
    where
        O: Iterator<Item = &'a OrgId>,
    {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < DIVISION_INTERVAL;
        let usage = self.pool_mut(pool);
        if let Some((_, division)) = usage.division.filter(|(at, _)| is_recent(*at)) {
            return division;
        }
        let division = usage.divide(pool, facts, now);
        usage.division = Some((now, division));
        division
    }

    /// Returns the part of the work that this box admitted recently that goes ahead of a request
    /// with this priority; 1 if all of it does.
    pub fn part_ahead(&self, pool: &PoolId, priority: Priority, now: Instant) -> f64 {
        let Some(pool) = self.pools.get(pool) else {
            return 1.0;
        };
        let (mut ahead, mut behind) = (0.0, 0.0);
        for (of, admitted) in &pool.admitted {
            match *of <= priority {
                true => ahead += admitted.ms.sum(now),
                false => behind += admitted.ms.sum(now),
            }
        }
        if behind <= 0.0 {
            return 1.0;
        }
        ahead / (ahead + behind)
    }

    /// Returns the more urgent priority to which a request yields: one of which a request was about
    /// to be refused just now.
    pub fn yields_to(&self, asked: Asked<'_>, now: Instant) -> Option<Priority> {
        let (priority, until) = self.pools.get(asked.pool)?.yield_to?;
        (priority < asked.priority && now < until).then_some(priority)
    }

    /// Decides whether a request that is about to be refused is admitted after all, since this box
    /// admitted requests of lower priority behind a queue just now. Those yield from now on.
    pub fn goes_before_lower(&mut self, asked: Asked<'_>, now: Instant) -> bool {
        let pool = self.pool_mut(asked.pool);
        let is_recent = |at: Instant| now.saturating_duration_since(at) < YIELD_TIME;
        let mut lower = pool.admitted.iter().filter(|(of, _)| **of > asked.priority);
        let was_admitted = lower.any(|(_, admitted)| admitted.queued_at.is_some_and(is_recent));
        let current = pool.yield_to.filter(|(_, until)| now < *until);
        let most_urgent = current.map_or(asked.priority, |(of, _)| of.min(asked.priority));
        pool.yield_to = Some((most_urgent, now + YIELD_TIME));
        was_admitted
    }

    fn pool_mut(&mut self, pool: &PoolId) -> &mut PoolUsage {
        self.pools.entry(pool.clone()).or_default()
    }
}

impl PoolUsage {
    fn usage_mut(&mut self, org: &OrgId, now: Instant) -> &mut OrgUsage {
        if self.organisations.len() > MAX_KEPT && !self.organisations.contains_key(org) {
            self.organisations
                .retain(|_, usage| usage.demand(now) > MIN_RATE);
        }
        self.organisations
            .entry(org.clone())
            .or_insert_with(|| OrgUsage::new(now))
    }

    /// Rows about the organisations that make up a relevant part of the demand.
    fn rows(&self, id: &PoolId, now: Instant) -> Vec<EngineWork> {
        let demands = self.organisations.values().map(|usage| usage.demand(now).0);
        let least = demands.sum::<f64>() * MIN_REPORTED_PART;
        let organisations = self.organisations.iter();
        let large = organisations.filter(|(_, usage)| usage.demand(now).0 >= least);
        large
            .map(|(org, usage)| EngineWork::at(row_hash(id, org), usage.row(now)))
            .collect()
    }

    /// Divides the capacity of the pool: what all boxes admitted.
    fn divide<'a, O>(&self, id: &PoolId, facts: PoolFacts<'_, O>, now: Instant) -> Division
    where
        O: Iterator<Item = &'a OrgId>,
    {
        let (mut demands, mut capacity) = (Vec::new(), 0.0);
        for org in facts.organisations {
            let row = facts.reported_rows.get(&row_hash(id, org));
            let peers = row.copied().unwrap_or_default();
            let own = self.organisations.get(org).map(|usage| usage.row(now));
            let total = own.unwrap_or_default().plus(peers);
            demands.push(PrefillRate(total.prefill_ms));
            capacity += total.tokens.min(total.prefill_ms);
        }
        let demand: f64 = demands.iter().map(|demand: &PrefillRate| demand.0).sum();
        let capacity = capacity.max(demand * MIN_ADMITTED_PART);
        let capacity = PrefillRate(capacity.min(facts.engines as f64 * 1000.0));
        Division {
            shares: FairShare::new(demands, capacity),
            capacity,
        }
    }
}

fn row_hash(pool: &PoolId, org: &OrgId) -> TargetHash {
    TargetHash::for_rows(pool.as_str(), RowKind::Usage(org))
}

/// Returns an organisation's demand on a pool at all other boxes, in milliseconds per second.
fn peer_demand(pool: &PoolId, org: &OrgId, reported_rows: &HashMap<TargetHash, Work>) -> f64 {
    let row = reported_rows.get(&row_hash(pool, org));
    row.map_or(0.0, |row| row.prefill_ms)
}
