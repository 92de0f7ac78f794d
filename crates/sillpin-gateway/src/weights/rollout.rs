//! Chooses the engines to order next, while this box is the leader.

use super::election::{Election, Leadership, RENEW_INTERVAL};
use super::load::{LoadJob, LoadResult, LoadSlot};
use crate::cache_stores::CacheStores;
use crate::cache_stores::reclaimer::Reclaimer;
use crate::control::{Control, Presence, TargetEntry};
use crate::fleet_state::desired::{DesiredVersionAge, recent_ages};
use crate::fleet_state::fleet::served;
use crate::fleet_state::{BoxEntry, FleetHandle, FleetMsg, Source, View};
use crate::peers::datagram::WeightLoadUpdate;
use crate::peers::hub::LARGE_ZONE;
use crate::peers::roles;
use crate::placement::Loads;
use crate::placement::load::Outcome;
use rand::RngExt;
use sillpin_core::{BoxId, ModelId, TargetId, WeightVersion};
use sillpin_platform::Platform;
use sillpin_telemetry::{event, events};
use slog::Logger;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::{self, JoinError, JoinSet};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Share of the fleet's engines that are being changed concurrently: three of 18 load at full speed, and one or two more
/// finish their runs before the order.
const CONCURRENT_SHARE: f64 = 0.28;

/// Minimum number of concurrent loads.
const MIN_CONCURRENT: usize = 3;

/// Maximum number of engines with a job, as a multiple of the concurrent loads: some engines do not answer. Other boxes send no
/// requests to any engine with a job, so the number is limited.
const MAX_JOBS_FACTOR: usize = 2;

/// Interval at which the leader checks which engines to order.
const SCAN_INTERVAL: Duration = Duration::from_millis(100);

/// Delay after a failed attempt to become the leader, and before parts are freed again after a panic.
const RETRY_DELAY: Duration = Duration::from_millis(700);

/// Time during which an engine whose load failed gets no order.
const FAILURE_COOLDOWN: Duration = Duration::from_millis(800);

/// Number of boxes of a zone that stand for election. Each watch is a call to the platform store, and all watches return together
/// when leadership becomes free; a candidate whose reports stop is replaced within seconds.
const CANDIDATES: usize = 3;

/// Name of the leader's role in the hash that chooses the candidates.
const LEADER_ROLE: &str = "weights-duty";

/// Interval at which a box checks whether it is a candidate.
const CANDIDATE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Time after its start during which a box assumes that all registered boxes are alive, since it has no reports from them yet.
const START_UP_TIME: Duration = Duration::from_secs(3);

/// Time that a box configured with peers waits, while it knows no other box, before it assumes that it is the only one: it reads the
/// registered boxes within a second.
pub const DISCOVERY_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Time between two log records about engines that serve replaced weights.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Stands for election, and rolls out weights and frees parts while this box is the leader.
#[derive(Clone)]
pub struct Rollout<P, C> {
    /// This box.
    pub me: BoxEntry,
    /// Time to wait for other boxes to become known, if there are none.
    pub discovery_timeout: Duration,
    /// Election of the leader.
    pub election: Election<P>,
    /// Client for calls to engines.
    pub control: C,
    /// State of the fleet.
    pub fleet: FleetHandle,
    /// Load of targets and liveness of boxes.
    pub loads: Loads,
    /// State of the cache stores.
    pub cache_stores: CacheStores,
    /// Updates for all boxes.
    pub updates: mpsc::Sender<WeightLoadUpdate>,
    /// Cancelled when the box shuts down.
    pub stopping: CancellationToken,
    /// Logger.
    pub log: Logger,
}

/// Jobs of a leader, and engines that get no order now.
#[derive(Default)]
struct ActiveLoads {
    jobs: JoinSet<LoadResult>,
    /// The engine of each job.
    by_job: HashMap<task::Id, TargetId>,
    targets: HashMap<TargetId, LoadSlot>,
    cooldown: HashMap<TargetId, Instant>,
    /// Engines that did not answer at the last attempt.
    unresponsive: HashSet<TargetId>,
    logged: Option<Instant>,
}

impl ActiveLoads {
    /// Returns the number of engines that occupy a load slot.
    fn loading(&self) -> usize {
        self.targets.values().filter(|p| p.is_occupied()).count()
    }

    /// Records that a job panicked, and returns its engine, which gets other orders later.
    fn load_panicked(&mut self, e: &JoinError) -> Option<TargetId> {
        let target = self.by_job.remove(&e.id())?;
        self.targets.remove(&target);
        let until = Instant::now() + FAILURE_COOLDOWN;
        self.cooldown.insert(target.clone(), until);
        Some(target)
    }

    /// Records the end of a job.
    fn load_ended(&mut self, job: task::Id, result: &LoadResult) {
        self.by_job.remove(&job);
        self.targets.remove(&result.target);
        match result.unresponsive {
            true => self.unresponsive.insert(result.target.clone()),
            false => self.unresponsive.remove(&result.target),
        };
    }
}

impl<P: Platform, C: Control> Rollout<P, C> {
    /// Runs until the box shuts down.
    pub async fn run(self) {
        let started = Instant::now();
        while !self.stopping.is_cancelled() {
            if !self.is_candidate(started, Instant::now()) {
                tokio::time::sleep(CANDIDATE_CHECK_INTERVAL).await;
                continue;
            }
            let taken = tokio::select! {
                taken = self.election.acquire() => taken,
                () = self.candidacy_ended(started) => continue,
                () = self.stopping.cancelled() => return,
            };
            match taken {
                Ok(leadership) => self.lead(leadership).await,
                Err(e) => {
                    event!(self.log, events::LEADERSHIP_NOT_ACQUIRED, "why" => e.to_string());
                    let pause = RETRY_DELAY.mul_f64(rand::rng().random_range(0.5..1.5));
                    tokio::time::sleep(pause).await;
                }
            }
        }
    }

    /// Resolves when this box is no longer a candidate.
    async fn candidacy_ended(&self, started: Instant) {
        while self.is_candidate(started, Instant::now()) {
            tokio::time::sleep(CANDIDATE_CHECK_INTERVAL).await;
        }
    }

    /// Returns whether this box is cut off from the engines of some pool, so that it cannot order them.
    fn is_cut_off(&self) -> bool {
        let view = self.fleet.view();
        let is_engine = |target: &&Arc<TargetEntry>| !target.served.is_empty();
        let mut engines = view.targets.values().filter(is_engine);
        let reach = self.loads.reach();
        reach.cut_off().next().is_some() && engines.any(|engine| reach.is_cut_off(&engine.pool))
    }

    /// Returns whether this box is to stand for election. Safety does not depend on it: the lease decides who the leader is.
    fn is_candidate(&self, started: Instant, now: Instant) -> bool {
        if self.is_cut_off() {
            return false;
        }
        let is_starting = now - started < START_UP_TIME;
        let view = self.fleet.view();
        // If the whole fleet starts together, every box would consider itself a candidate until it knows the others.
        if view.boxes.is_empty() && now - started < self.discovery_timeout {
            return false;
        }
        let zone = view.boxes.iter().filter(|peer| peer.zone == self.me.zone);
        // Boxes of a large zone exchange liveness through a hub only.
        let large = zone.count() >= LARGE_ZONE;
        let alive = |id: &BoxId| match is_starting {
            true => true,
            false if large => self.loads.may_be_alive(id, now),
            false => self.loads.has_recent_report(id, now),
        };
        roles::is_among_first(&view, &self.me, LEADER_ROLE, CANDIDATES, alive)
    }

    /// Orders engines until leadership is lost or resigned.
    async fn lead(&self, mut leadership: Leadership) {
        self.apply_recorded_versions(&leadership.version_ages).await;
        let mut active = ActiveLoads::default();
        let mut scan = tokio::time::interval(SCAN_INTERVAL);
        let mut renew = tokio::time::interval(RENEW_INTERVAL);
        // Jobs check this before each order, since no order may be in flight after leadership has ended.
        let (limit, until) = watch::channel(leadership.orders_until);
        let reclaimer = Reclaimer {
            control: self.control.clone(),
            cache_stores: self.cache_stores.clone(),
            fleet: self.fleet.clone(),
            until: until.clone(),
            suspend_clock: self.election.suspend_clock.clone(),
            log: self.log.clone(),
        };
        // Dropped, and so aborted, at the end of leadership.
        let mut freeing = JoinSet::new();
        freeing.spawn(reclaimer.clone().run());
        loop {
            tokio::select! {
                _ = renew.tick() => {
                    if !self.election.renew(&mut leadership).await {
                        return;
                    }
                    limit.send_replace(leadership.orders_until);
                }
                Some(done) = active.jobs.join_next_with_id() => match done {
                    Ok((job, result)) => {
                        leadership.orders_ended(&result.target, result.last_order);
                        active.load_ended(job, &result);
                        self.finish_load(result, &mut active).await;
                    }
                    // Its last order may have returned until now.
                    Err(e) => if let Some(target) = active.load_panicked(&e) {
                        leadership.orders_ended(&target, Some(Instant::now()));
                    },
                },
                Some(_) = freeing.join_next() => {
                    let reclaimer = reclaimer.clone();
                    freeing.spawn(async move {
                        tokio::time::sleep(RETRY_DELAY).await;
                        reclaimer.run().await;
                    });
                }
                _ = scan.tick() => {
                    if self.is_cut_off() {
                        return self.resign(leadership, active).await;
                    }
                    if !self.order_more(&mut leadership, &until, &mut active).await {
                        return;
                    }
                }
                () = self.stopping.cancelled() => {
                    return self.resign(leadership, active).await;
                }
            }
        }
    }

    /// Ends all jobs and gives leadership up, so that another box can take over at once.
    async fn resign(&self, leadership: Leadership, mut active: ActiveLoads) {
        active.jobs.shutdown().await;
        self.election.resign(&leadership).await;
    }

    /// Applies the times at which operators requested weights, as the previous leader recorded them.
    async fn apply_recorded_versions(&self, version_ages: &[DesiredVersionAge]) {
        let now = Instant::now();
        for age in version_ages {
            let Some(desired) = age.to_desired_version(now) else {
                continue;
            };
            let msg = FleetMsg::DesiredVersion {
                model: age.model.clone(),
                desired,
                source: Source::Store,
            };
            self.fleet.send(msg).await;
        }
    }

    async fn finish_load(&self, result: LoadResult, active: &mut ActiveLoads) {
        let Some(version) = result.version else {
            let until = Instant::now() + FAILURE_COOLDOWN;
            active.cooldown.insert(result.target, until);
            return;
        };
        let (target, life, model) = (result.target, result.incarnation, result.model);
        self.loads
            .record_for_incarnation(&target, life, Outcome::Loaded);
        let update = WeightLoadUpdate {
            target: target.clone(),
            life,
            model: model.clone(),
            version,
            done: true,
        };
        // Boxes that miss this update see the new version in the engine's entry.
        let _ = self.updates.try_send(update);
        self.fleet
            .send(FleetMsg::Serves {
                target,
                life,
                model,
                version,
            })
            .await;
    }

    /// Orders further engines. Returns `false` if leadership is lost.
    async fn order_more(
        &self,
        leadership: &mut Leadership,
        until: &watch::Receiver<Instant>,
        active: &mut ActiveLoads,
    ) -> bool {
        let now = Instant::now();
        active.cooldown.retain(|_, at| now < *at);
        if !leadership.may_order(self.election.suspend_clock.now()) {
            return true;
        }
        let view = self.fleet.view();
        active
            .unresponsive
            .retain(|id| view.targets.contains_key(id));
        self.log_outdated(&view, leadership, active, now);
        let next = self.next_batch(&view, leadership, active, now);
        let is_due = leadership.is_record_due(now) && !outdated(&view).is_empty();
        if next.is_empty() && !is_due {
            return true;
        }
        leadership.version_ages = recent_ages(&view.desired, now);
        let ids: Vec<TargetId> = next.iter().map(|n| n.target.id.clone()).collect();
        if let Err(e) = self.election.record(leadership, &ids).await {
            event!(self.log, events::LEADERSHIP_LOST, "fence" => leadership.fence.0, "why" => e.to_string());
            return false;
        }
        for outdated in next {
            self.start(outdated, leadership, until, active);
        }
        true
    }

    /// Logs periodically how many engines serve replaced weights, and what they wait for.
    fn log_outdated(
        &self,
        view: &View,
        leadership: &Leadership,
        active: &mut ActiveLoads,
        now: Instant,
    ) {
        if active.logged.is_some_and(|at| now - at < LOG_INTERVAL) {
            return;
        }
        let outdated = outdated(view);
        let Some(oldest) = outdated.first() else {
            return;
        };
        active.logged = Some(now);
        let is_held_off = |o: &&Outdated| !leadership.may_order_target(&o.target.id, now);
        event!(self.log, events::WEIGHTS_OUTDATED,
            "model" => oldest.model.as_str(), "wanted" => oldest.version.0,
            "oldest" => oldest.serves.0, "engines" => outdated.len(),
            "loading" => active.loading(),
            "silent" => active.targets.len() - active.loading(), "resting" => active.cooldown.len(),
            "ordered_by_others" => outdated.iter().filter(is_held_off).count());
    }

    /// Returns the engines to order now.
    fn next_batch(
        &self,
        view: &View,
        leadership: &Leadership,
        active: &ActiveLoads,
        now: Instant,
    ) -> Vec<Outdated> {
        let engines = view
            .targets
            .values()
            .filter(|t| !t.served.is_empty())
            .count();
        let max_concurrent = ((engines as f64 * CONCURRENT_SHARE) as usize).max(MIN_CONCURRENT);
        let mut free_slots = max_concurrent.saturating_sub(active.loading());
        let max_new = (max_concurrent * MAX_JOBS_FACTOR).saturating_sub(active.targets.len());
        let may_order = |outdated: &Outdated| {
            let id = &outdated.target.id;
            let is_excluded = active.targets.contains_key(id) || active.cooldown.contains_key(id);
            !is_excluded && leadership.may_order_target(id, now)
        };
        // An engine that did not answer takes no slot until it does.
        let mut has_slot = |outdated: &Outdated| {
            if active.unresponsive.contains(&outdated.target.id) {
                return true;
            }
            let free = free_slots > 0;
            free_slots = free_slots.saturating_sub(1);
            free
        };
        let (unresponsive, others): (Vec<_>, Vec<_>) = outdated(view)
            .into_iter()
            .filter(may_order)
            .filter(|outdated| has_slot(outdated))
            .partition(|outdated| active.unresponsive.contains(&outdated.target.id));
        others
            .into_iter()
            .chain(unresponsive)
            .take(max_new)
            .collect()
    }

    fn start(
        &self,
        outdated: Outdated,
        leadership: &Leadership,
        until: &watch::Receiver<Instant>,
        active: &mut ActiveLoads,
    ) {
        let Outdated {
            target,
            model,
            version,
            ..
        } = outdated;
        self.loads
            .record_for_incarnation(&target.id, target.life, Outcome::Loading);
        let update = WeightLoadUpdate {
            target: target.id.clone(),
            life: target.life,
            model: model.clone(),
            version,
            done: false,
        };
        // If a box misses this update, the engine refuses its requests and the box sends them elsewhere.
        let _ = self.updates.try_send(update);
        let slot = LoadSlot::new(!active.unresponsive.contains(&target.id));
        active.targets.insert(target.id.clone(), slot.clone());
        let job = LoadJob {
            control: self.control.clone(),
            target,
            model,
            version,
            fleet: self.fleet.clone(),
            leader: self.election.me.to_string(),
            fence: leadership.fence,
            slot,
            until: until.clone(),
            suspend_clock: self.election.suspend_clock.clone(),
            log: self.log.clone(),
        };
        let target = job.target.id.clone();
        let job = active.jobs.spawn(job.run());
        active.by_job.insert(job.id(), target);
    }
}

/// An engine that serves older weights than the desired ones.
struct Outdated {
    serves: WeightVersion,
    target: Arc<TargetEntry>,
    model: ModelId,
    version: WeightVersion,
}

/// Returns the engines that serve older weights than the desired ones, oldest weights first.
fn outdated(view: &View) -> Vec<Outdated> {
    let ready = view
        .targets
        .values()
        .filter(|t| t.presence == Presence::Ready);
    let mut outdated = Vec::new();
    for target in ready {
        for (model, desired) in view.desired.iter() {
            let Some(serves) = served(target, model) else {
                continue;
            };
            let newest = desired.newest().version;
            if serves < newest {
                outdated.push(Outdated {
                    serves,
                    target: target.clone(),
                    model: model.clone(),
                    version: newest,
                });
            }
        }
    }
    // Oldest weights first: each version has its own deadline to be replaced.
    outdated.sort_by(|a, b| (a.serves, &a.target.id).cmp(&(b.serves, &b.target.id)));
    outdated
}
