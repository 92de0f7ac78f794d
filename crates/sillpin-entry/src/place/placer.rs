//! Decisions over the snapshot and the backlogs. No I/O: the clock is passed in.

use super::backlog::Backlog;
use super::task::{PlaceRequest, Placed};
use crate::snapshot::{Snapshot, Target};
use rand::rngs::SmallRng;
use rand::{SeedableRng, rng};
use sillpin_core::{LoadReport, PoolId, TargetId, TargetKind, WeightVersion, ZoneId};
use sillpin_policy::placement::{self, Candidate, Holding, Kept, Scored};
use sillpin_rpc::directory::KeptObject;
use sillpin_rpc::records::CandidateRecord;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Added to the cost of engines of another availability zone: the way there and back.
const FOREIGN_ZONE: Duration = Duration::from_millis(3);

/// Assumed rate of a store's link when the box list does not give it, in bytes a second.
const DEFAULT_LINK_RATE: f64 = 50e6;

/// How long an engine's own word on its version counts for more than its load reports.
const TRUST_SAID: Duration = Duration::from_secs(3);

/// Candidates kept in a decision record.
const RECORDED: usize = 6;

/// Backlogs of all engines and the state of the decisions.
pub(super) struct Placer {
    pub(super) snapshot: Arc<Snapshot>,
    zone: ZoneId,
    backlogs: HashMap<TargetId, Backlog>,
    said_versions: HashMap<TargetId, (WeightVersion, Instant)>,
    rng: SmallRng,
    turn: usize,
}

/// The best engine for a request, and whether its queue is short enough.
pub(super) struct Choice {
    pub(super) placed: Placed,
    pub(super) wait: Duration,
    pub(super) work: Duration,
}

impl Placer {
    pub(super) fn new(zone: ZoneId) -> Self {
        Self {
            snapshot: Arc::default(),
            zone,
            backlogs: HashMap::new(),
            said_versions: HashMap::new(),
            rng: SmallRng::from_rng(&mut rng()),
            turn: 0,
        }
    }

    /// Takes in a snapshot.
    pub(super) fn update(&mut self, snapshot: Arc<Snapshot>, now: Instant) {
        self.backlogs
            .retain(|id, _| snapshot.targets.contains_key(id));
        for (id, target) in &snapshot.targets {
            if let Some(load) = &target.load {
                self.backlog(id, now).report(load, now);
            }
        }
        self.snapshot = snapshot;
    }

    /// An engine itself said which version it serves.
    pub(super) fn serves(&mut self, target: TargetId, version: WeightVersion, now: Instant) {
        self.said_versions.insert(target, (version, now));
    }

    /// The version that an engine serves: its own word while that is fresh, else its last report.
    fn version(&self, target: &Target, now: Instant) -> Option<WeightVersion> {
        let said = self.said_versions.get(&target.entry.id);
        let fresh = said.filter(|(_, at)| now - *at < TRUST_SAID);
        fresh.map_or_else(|| target.version(), |(version, _)| Some(*version))
    }

    fn backlog(&mut self, id: &TargetId, now: Instant) -> &mut Backlog {
        self.backlogs
            .entry(id.clone())
            .or_insert_with(|| Backlog::new(now))
    }

    /// Engines that could take a request, in the order of their names.
    fn engines(&self, req: &PlaceRequest, now: Instant) -> Vec<(Target, LoadReport)> {
        let resting = |id: &TargetId| self.backlogs.get(id).is_some_and(|b| b.is_resting(now));
        let usable = self.snapshot.usable(&req.pool, TargetKind::Engine);
        let fitting = usable.filter(|target| {
            self.version(target, now) == Some(req.version)
                && !req.excluded.contains(&target.entry.id)
        });
        let mut engines: Vec<(Target, LoadReport)> = fitting
            .filter_map(|target| Some((target.clone(), target.load.clone()?)))
            .collect();
        engines.sort_by(|a, b| a.0.entry.id.cmp(&b.0.entry.id));
        let any_rested = engines.iter().any(|(target, _)| !resting(&target.entry.id));
        if any_rested {
            engines.retain(|(target, _)| !resting(&target.entry.id));
        }
        engines
    }

    /// Decides for a request; `None` if no engine could take it at all.
    pub(super) fn choose(&mut self, req: &PlaceRequest, now: Instant) -> Option<Choice> {
        let engines = self.engines(req, now);
        let candidates: Vec<Candidate> = engines
            .iter()
            .map(|(target, load)| Candidate {
                hash: target.hash,
                wait: self.backlog(&target.entry.id, now).wait(load, now),
                block_time: Duration::from_micros(load.block_micros),
                distance: self.distance(target),
            })
            .collect();
        let holders: Vec<(usize, Holding)> = req
            .hints
            .holders
            .iter()
            .filter_map(|(id, blocks)| {
                let index = engines.iter().position(|(t, _)| t.entry.id == *id)?;
                Some((index, Holding { blocks: *blocks }))
            })
            .collect();
        self.turn += 1;
        let request = placement::Request {
            home: req.home,
            blocks: req.blocks,
            holders: &holders,
            kept: kept(&req.hints.kept),
            turn: self.turn,
        };
        let ranked = placement::rank(&req.policy.placement, &candidates, &request, &mut self.rng);
        let best = *ranked.first()?;
        let records = ranked
            .iter()
            .take(RECORDED)
            .map(|s| record(&engines[s.index].0, s));
        let target = &engines[best.index].0;
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

    fn distance(&self, target: &Target) -> Duration {
        if target.entry.zone == self.zone {
            return Duration::ZERO;
        }
        FOREIGN_ZONE
    }

    /// Engines of a pool that could take requests of a version: how much work they do at once.
    pub(super) fn capacity(&self, pool: &PoolId, version: WeightVersion) -> u32 {
        let engines = self.snapshot.usable(pool, TargetKind::Engine);
        engines.filter(|t| t.version() == Some(version)).count() as u32
    }

    /// A request is sent to `target`.
    pub(super) fn sent(&mut self, target: &TargetId, work: Duration, now: Instant) {
        self.backlog(target, now).sent(work, now);
    }

    /// A request at `target` ended.
    pub(super) fn done(&mut self, target: &TargetId, took: Duration, answered: bool, now: Instant) {
        if let Some(backlog) = self.backlogs.get_mut(target) {
            backlog.done(took, answered, now);
        }
    }
}

fn kept(objects: &[KeptObject]) -> Kept {
    let Some(first) = objects.first() else {
        return Kept::default();
    };
    let rate = first
        .link_rate
        .map_or(DEFAULT_LINK_RATE, |rate| rate.0 as f64);
    Kept {
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
