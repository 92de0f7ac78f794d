//! Placement decisions from the engines and their backlogs. There is no I/O, and the time is a
//! parameter.

use super::backlog::Backlog;
use super::task::{PlaceRequest, Placed};
use crate::snapshot::{Snapshot, Target};
use rand::rngs::SmallRng;
use rand::{SeedableRng, rng};
use sillpin_core::{LoadReport, PoolId, TargetId, TargetKind, WeightVersion, ZoneId};
use sillpin_policy::placement::{self, Candidate, HeldBlocks, Scored, StoredBlocks};
use sillpin_rpc::directory::StoredObject;
use sillpin_rpc::records::CandidateRecord;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Cost added for engines in another availability zone: the round trip.
const OTHER_ZONE_DELAY: Duration = Duration::from_millis(3);

/// Link rate of a store in bytes per second, if the box list does not give it.
const DEFAULT_LINK_RATE: f64 = 50e6;

/// Time for which a version that an engine itself returned takes precedence over its load reports.
const OBSERVED_VERSION_TTL: Duration = Duration::from_secs(3);

/// Maximum number of candidates in a decision record.
const MAX_RECORDED: usize = 6;

/// Engines with their backlogs, and the state that decisions need.
pub struct Placer {
    zone: ZoneId,
    engines: HashMap<PoolId, Vec<Engine>>,
    observed_versions: HashMap<TargetId, (WeightVersion, Instant)>,
    rng: SmallRng,
    /// Number of decisions so far, for round-robin placement.
    turn: usize,
}

/// The engine chosen for a request.
pub struct Choice {
    /// The engine and the stored blocks to fetch.
    pub placed: Placed,
    /// Estimated wait at the engine.
    pub wait: Duration,
    /// Time that the engine needs for the prompt, including fetches.
    pub work: Duration,
}

/// An engine that may receive new requests.
struct Engine {
    target: Target,
    load: LoadReport,
    backlog: Backlog,
}

impl Engine {
    fn candidate(&mut self, zone: &ZoneId, now: Instant) -> Candidate {
        let is_same_zone = self.target.entry.zone == *zone;
        Candidate {
            hash: self.target.hash,
            wait: self.backlog.estimate_wait(&self.load, now),
            block_time: Duration::from_micros(self.load.block_micros),
            distance: if is_same_zone {
                Duration::ZERO
            } else {
                OTHER_ZONE_DELAY
            },
        }
    }
}

impl Placer {
    /// Creates a placer without engines for an entry in `zone`.
    pub fn new(zone: ZoneId) -> Self {
        Self {
            zone,
            engines: HashMap::new(),
            observed_versions: HashMap::new(),
            rng: SmallRng::from_rng(&mut rng()),
            turn: 0,
        }
    }

    /// Replaces the engines by those of a snapshot and applies their load reports.
    pub fn apply_snapshot(&mut self, snapshot: &Arc<Snapshot>, now: Instant) {
        let mut backlogs = self.take_backlogs();
        for target in snapshot.targets.values() {
            let is_engine = target.entry.kind == TargetKind::Engine;
            let load = target
                .load
                .clone()
                .filter(|_| is_engine && target.is_usable());
            let Some(load) = load else { continue };
            let previous = backlogs.remove(&target.entry.id);
            let mut backlog = previous.unwrap_or_else(|| Backlog::new(now));
            backlog.apply_report(&load, now);
            let engine = Engine {
                target: target.clone(),
                load,
                backlog,
            };
            let pool = target.entry.pool.clone();
            self.engines.entry(pool).or_default().push(engine);
        }
        for engines in self.engines.values_mut() {
            engines.sort_by(|a, b| a.target.entry.id.cmp(&b.target.entry.id));
        }
    }

    fn take_backlogs(&mut self) -> HashMap<TargetId, Backlog> {
        let engines = self.engines.drain().flat_map(|(_, engines)| engines);
        engines
            .map(|engine| (engine.target.entry.id.clone(), engine.backlog))
            .collect()
    }

    /// Records the version that an engine itself returned.
    pub fn observe_version(&mut self, target: TargetId, version: WeightVersion, now: Instant) {
        self.observed_versions.insert(target, (version, now));
    }

    /// Returns the version that an engine serves: the one that it returned itself if that is
    /// recent, else the one in its last load report.
    fn version(&self, target: &Target, now: Instant) -> Option<WeightVersion> {
        let observed = self.observed_versions.get(&target.entry.id);
        let recent = observed.filter(|(_, at)| now - *at < OBSERVED_VERSION_TTL);
        recent.map_or_else(|| target.version(), |(version, _)| Some(*version))
    }

    fn backlog(&mut self, id: &TargetId) -> Option<&mut Backlog> {
        let mut engines = self.engines.values_mut().flatten();
        let found = engines.find(|engine| engine.target.entry.id == *id);
        found.map(|engine| &mut engine.backlog)
    }

    /// Returns the engines that could run a request, as indexes into the pool's engines, ordered by
    /// name. Engines in cooldown are left out if there are others.
    fn eligible(&self, req: &PlaceRequest, now: Instant) -> Vec<usize> {
        let Some(engines) = self.engines.get(&req.pool) else {
            return Vec::new();
        };
        let is_eligible = |engine: &Engine| {
            self.version(&engine.target, now) == Some(req.version)
                && !req.excluded.contains(&engine.target.entry.id)
        };
        let all = engines.iter().enumerate();
        let mut eligible: Vec<usize> = all
            .filter(|(_, e)| is_eligible(e))
            .map(|(i, _)| i)
            .collect();
        let not_in_cooldown = |index: &usize| !engines[*index].backlog.in_cooldown(now);
        if eligible.iter().any(not_in_cooldown) {
            eligible.retain(not_in_cooldown);
        }
        eligible
    }

    /// Chooses an engine for a request; `None` if no engine can run it.
    pub fn choose(&mut self, req: &PlaceRequest, now: Instant) -> Option<Choice> {
        let eligible = self.eligible(req, now);
        let zone = &self.zone;
        let engines = self.engines.get_mut(&req.pool)?;
        let candidates: Vec<Candidate> = eligible
            .iter()
            .map(|index| engines[*index].candidate(zone, now))
            .collect();
        let index_of = |id: &TargetId| {
            eligible
                .iter()
                .position(|i| engines[*i].target.entry.id == *id)
        };
        let hinted = req.hints.holders.iter();
        let holders: Vec<(usize, HeldBlocks)> = hinted
            .filter_map(|(id, blocks)| Some((index_of(id)?, HeldBlocks { blocks: *blocks })))
            .collect();
        self.turn += 1;
        let request = placement::Request {
            home: req.home,
            blocks: req.blocks,
            holders: &holders,
            kept: stored_blocks(&req.hints.kept),
            turn: self.turn,
        };
        let ranked = placement::rank(&req.policy.placement, &candidates, &request, &mut self.rng);
        let best = *ranked.first()?;
        let recorded = ranked.iter().take(MAX_RECORDED);
        let records = recorded.map(|s| record(&engines[eligible[s.index]].target, s));
        let target = &engines[eligible[best.index]].target;
        let until = (best.held + best.fetched) as usize;
        let imports = req.hints.kept.get(best.held as usize..until);
        Some(Choice {
            placed: Placed {
                target: target.entry.id.clone(),
                addr: target.entry.addr,
                imports: imports.map(<[_]>::to_vec).unwrap_or_default(),
                candidates: records.collect(),
            },
            wait: candidates[best.index].wait,
            work: best.compute + best.fetch,
        })
    }

    /// Returns the number of engines of a pool that serve a version, so how many prompts are
    /// processed at the same time.
    pub fn capacity(&self, pool: &PoolId, version: WeightVersion) -> u32 {
        let engines = self.engines.get(pool).into_iter().flatten();
        engines
            .filter(|e| e.target.version() == Some(version))
            .count() as u32
    }

    /// Adds a request that was sent to `target` to its backlog.
    pub fn record_sent(&mut self, target: &TargetId, work: Duration, now: Instant) {
        if let Some(backlog) = self.backlog(target) {
            backlog.add_sent(work, now);
        }
    }

    /// Records that a request at `target` ended.
    pub fn record_ended(
        &mut self,
        target: &TargetId,
        duration: Duration,
        completed: bool,
        now: Instant,
    ) {
        if let Some(backlog) = self.backlog(target) {
            backlog.record_ended(duration, completed, now);
        }
    }
}

/// Returns the number of stored blocks and the time to fetch one of them.
fn stored_blocks(objects: &[StoredObject]) -> StoredBlocks {
    let Some(first) = objects.first() else {
        return StoredBlocks::default();
    };
    let rate = first
        .link_rate
        .map_or(DEFAULT_LINK_RATE, |rate| rate.0 as f64);
    StoredBlocks {
        blocks: objects.len() as u32,
        fetch_time: Duration::from_secs_f64(first.len.0 as f64 / rate.max(1.0)),
    }
}

fn record(target: &Target, scored: &Scored) -> CandidateRecord {
    CandidateRecord {
        target: target.entry.id.clone(),
        reason: scored.reason,
        wait_us: scored.wait.as_micros() as u64,
        compute_us: scored.compute.as_micros() as u64,
        fetch_us: scored.fetch.as_micros() as u64,
        held: scored.held,
        fetched: scored.fetched,
        cost: scored.cost,
    }
}
