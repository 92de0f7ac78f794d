//! Probes unreachable targets in the background, and surveys whether the targets of a pool can be reached.
//!
//! A connection attempt to a machine that is down takes a third of a second, so no request is used
//! for it: a target stays in cooldown until a probe has opened a connection.

use super::load::{Loads, Outcome};
use super::reach::ReachChange;
use crate::control::{Presence, TargetEntry};
use crate::fleet_state::{FleetHandle, View};
use crate::pool::{Conn, ConnectionPool, SendError};
use crate::tasks::Tasks;
use futures::future::{join, join_all};
use rand::seq::IndexedRandom;
use sillpin_core::{PoolId, TargetId};
use sillpin_telemetry::{event, events};
use slog::Logger;
use std::collections::HashSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::Instant;

/// Pause between two connection attempts.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);

/// Number of unreachable targets of a pool that are probed in each [`PROBE_INTERVAL`]; the pauses are longer if there
/// are more.
const PROBES_PER_INTERVAL: usize = 16;

/// Number of targets that a survey tries to connect to.
const SURVEY_LEN: usize = 8;

/// Time limit of a connection of a survey: with the time until a path is checked and the check itself, a cut is known
/// within a second.
const SURVEY_TIMEOUT: Duration = Duration::from_millis(200);

/// Probes unreachable targets; clones share the set of probed targets.
#[derive(Clone)]
pub struct Prober {
    /// Loads of targets.
    pub loads: Loads,
    /// Pool of connections to targets.
    pub pool: ConnectionPool,
    /// This box's view of the fleet.
    pub fleet: FleetHandle,
    /// Log.
    pub log: Logger,
    /// Targets that are being probed.
    pub probed: Arc<Mutex<HashSet<TargetId>>>,
    /// Supervises probes and surveys.
    pub tasks: Tasks,
}

impl Prober {
    /// Puts a target into cooldown and probes it until it can be reached.
    pub fn start(&self, target: &Arc<TargetEntry>, why: &str) {
        let mut probed = self.probed.lock().unwrap_or_else(|e| e.into_inner());
        if !probed.insert(target.id.clone()) {
            return;
        }
        drop(probed);
        event!(self.log, events::TARGET_UNREACHABLE, "target" => target.id.as_str(), "why" => why);
        self.loads.record(&target.id, Outcome::Unreachable);
        let needs_survey = self.loads.reach().record_failure(&target.pool, &target.id);
        self.update_reach(&target.pool);
        let (prober, probed) = (self.clone(), target.clone());
        let probe = move || prober.clone().probe(probed.clone());
        self.tasks.job("probe of a target", probe);
        if needs_survey {
            self.survey(&target.pool);
        }
    }

    /// Checks whether a target can be reached; if not, surveys its pool.
    pub async fn check(self, target: Arc<TargetEntry>) {
        if !self.connect(&target).await {
            self.survey(&target.pool);
        }
    }

    /// Surveys whether a pool's targets can be reached, repeatedly while this box is cut off from it.
    pub fn survey(&self, pool: &PoolId) {
        if self.loads.reach().begin_survey(pool, Instant::now()) {
            let (prober, pool) = (self.clone(), pool.clone());
            let survey = move || prober.clone().run_survey(pool.clone());
            self.tasks.job("survey of a pool", survey);
        }
    }

    async fn run_survey(self, pool: PoolId) {
        loop {
            let sample = self.sample(&pool);
            let reached = self.reached(&pool, &sample);
            let (connected, _) = join(
                join_all(sample.iter().map(|target| self.connect(target))),
                join_all(reached.iter().map(|target| self.connect(target))),
            )
            .await;
            let failed = connected.iter().filter(|connected| !**connected).count();
            let now = Instant::now();
            self.loads
                .reach()
                .record_survey(&pool, sample.len(), failed, now);
            self.update_reach(&pool);
            if !self.loads.reach().is_cut_off(&pool) {
                break;
            }
            self.avoid_lost_paths(&pool);
            tokio::time::sleep(PROBE_INTERVAL).await;
        }
        self.loads.reach().end_survey(&pool);
    }

    /// While this box reaches a few targets of a pool that it is cut off from, requests go to the others only if these
    /// can't take them.
    fn avoid_lost_paths(&self, pool: &PoolId) {
        let now = Instant::now();
        if !self.loads.reach().reaches_any(pool, now) {
            return;
        }
        let view = self.fleet.view();
        for target in view.targets.values().filter(|entry| entry.pool == *pool) {
            let is_reached = self.loads.reach().reaches(pool, &target.id, now);
            if !is_reached {
                self.loads.record(&target.id, Outcome::NoPath);
            }
        }
    }

    /// Returns random targets of a pool that accept new work.
    fn sample(&self, pool: &PoolId) -> Vec<Arc<TargetEntry>> {
        let view = self.fleet.view();
        let of_pool = view.targets.values();
        let of_pool: Vec<&Arc<TargetEntry>> = of_pool
            .filter(|entry| entry.pool == *pool && entry.presence == Presence::Ready)
            .collect();
        let sample = of_pool.sample(&mut rand::rng(), SURVEY_LEN);
        sample.map(|entry| Arc::clone(entry)).collect()
    }

    /// Returns targets that a survey reached recently, besides the sample, if this box is cut off from their pool. They
    /// don't count for the survey's result.
    fn reached(&self, pool: &PoolId, sample: &[Arc<TargetEntry>]) -> Vec<Arc<TargetEntry>> {
        let now = Instant::now();
        let (view, reach) = (self.fleet.view(), self.loads.reach());
        if !reach.is_cut_off(pool) {
            return Vec::new();
        }
        let in_sample = |id: &TargetId| sample.iter().any(|target| target.id == *id);
        let reached = view.targets.values();
        let reached =
            reached.filter(|entry| reach.reaches(pool, &entry.id, now) && !in_sample(&entry.id));
        reached.take(SURVEY_LEN).cloned().collect()
    }

    /// Tries to connect to a target. One that refuses is probed from then on. One that does not answer in time may be
    /// sound while this box's link is full, so it stays in use unless requests fail there.
    async fn connect(&self, target: &Arc<TargetEntry>) -> bool {
        match Conn::open_within(target, SURVEY_TIMEOUT).await {
            Ok(conn) => {
                let now = Instant::now();
                self.loads
                    .reach()
                    .record_success(&target.pool, &target.id, now);
                self.pool.put(target.id.clone(), conn, None).await;
                true
            }
            Err(e @ SendError::Refused { .. }) => {
                self.start(target, &e.to_string());
                false
            }
            Err(_) => {
                let mut reach = self.loads.reach();
                reach.record_timeout(&target.pool, &target.id);
                false
            }
        }
    }

    async fn probe(self, target: Arc<TargetEntry>) {
        let id = &target.id;
        let is_back = loop {
            tokio::time::sleep(self.probe_pause(&target.pool)).await;
            let entry = self.fleet.view().targets.get(id).cloned();
            let Some(entry) = entry else {
                break false;
            };
            if let Ok(conn) = Conn::open(&entry).await {
                self.loads.record_reachability(&entry.zone, true);
                self.pool.put(id.clone(), conn, None).await;
                break true;
            }
            self.loads.record(id, Outcome::Unreachable);
        };
        let mut probed = self.probed.lock().unwrap_or_else(|e| e.into_inner());
        probed.remove(id);
        self.loads
            .reach()
            .record_success(&target.pool, id, Instant::now());
        if is_back {
            event!(self.log, events::TARGET_REACHABLE, "target" => id.as_str());
            self.loads.record(id, Outcome::Reachable);
        }
        drop(probed);
        self.update_reach(&target.pool);
    }

    /// Returns the pause before the next probe of an unreachable target.
    fn probe_pause(&self, pool: &PoolId) -> Duration {
        let unreachable = self.loads.reach().unreachable_of(pool);
        PROBE_INTERVAL.mul_f64((unreachable as f64 / PROBES_PER_INTERVAL as f64).max(1.0))
    }

    /// Decides anew whether this box is cut off from a pool.
    fn update_reach(&self, pool: &PoolId) {
        let view = self.fleet.view();
        let of_pool = view.targets.values().filter(|entry| entry.pool == *pool);
        let listed = of_pool.map(|entry| &entry.id);
        let change = self.loads.reach().update(pool, listed, Instant::now());
        if let Some(change) = change {
            self.log_change(&change);
            if change.cut_off {
                self.survey_all(&view);
            }
        }
    }

    /// Surveys all pools: a box that has lost one has often lost the others.
    fn survey_all(&self, view: &View) {
        let pools: HashSet<&PoolId> = view.targets.values().map(|entry| &entry.pool).collect();
        for pool in pools {
            self.survey(pool);
        }
    }

    fn log_change(&self, change: &ReachChange) {
        let (pool, unreachable, listed) = (change.pool.as_str(), change.unreachable, change.listed);
        match change.cut_off {
            true => event!(self.log, events::POOL_CUT_OFF, "pool" => pool,
                "unreachable" => unreachable, "listed" => listed),
            false => event!(self.log, events::POOL_REACHABLE, "pool" => pool,
                "unreachable" => unreachable, "listed" => listed),
        }
    }
}
