//! Chooses the engines to order next, while this box is the leader.

use super::election::{Election, RENEW_EVERY, Leadership};
use super::load::{LoadJob, Loaded, Place};
use crate::beliefs::fleet::served;
use crate::beliefs::wanted::{NamedAge, ages};
use crate::beliefs::{BoxEntry, FleetHandle, FleetMsg, Source, View};
use crate::control::{Control, Presence, TargetEntry};
use crate::kept::Kept;
use crate::kept::freer::Freer;
use crate::peers::datagram::LoadNews;
use crate::peers::hub::LARGE_ZONE;
use crate::peers::roles;
use crate::place::Loads;
use crate::place::load::Outcome;
use rand::RngExt;
use sillpin_core::{BoxId, ModelId, TargetId, WeightVersion};
use sillpin_platform::Platform;
use sillpin_telemetry::{event, events};
use slog::Logger;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Share of the fleet's engines that are being changed concurrently: three of 18 load at full speed, and one or two more
/// finish their runs before the order.
const SHARE_AT_ONCE: f64 = 0.28;

/// Minimum number of concurrent loads.
const LEAST_AT_ONCE: usize = 3;

/// Maximum number of engines with a job, as a multiple of the concurrent loads: some engines do not answer. Other boxes send no
/// requests to any engine with a job, so the number is limited.
const MOST_UNDERWAY: usize = 2;

/// Interval at which the leader looks for engines to order.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// Delay after a failed attempt to become the leader.
const RETRY: Duration = Duration::from_millis(700);

/// Time during which an engine whose load failed gets no order.
const FAILED_REST: Duration = Duration::from_millis(800);

/// Number of boxes of a zone that stand for election. Each watch is a call to the platform store, and all watches return together
/// when leadership becomes free; a candidate that is no longer heard from is replaced within seconds.
const CANDIDATES: usize = 3;

/// Name of the leader's role in the hash that chooses the candidates.
const DUTY_ROLE: &str = "weights-duty";

/// Interval at which a box checks whether it is a candidate.
const CANDIDATE_CHECK: Duration = Duration::from_millis(500);

/// Time after its start during which a box assumes that all registered boxes are alive, since it has not heard from them yet.
const NEWCOMER: Duration = Duration::from_secs(3);

/// Time that a box configured with peers waits, while it knows no other box, before it assumes that it is the only one: it reads the
/// registered boxes within a second.
pub const DISCOVERY_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Time between two log records about engines that serve replaced weights.
const SAY_EVERY: Duration = Duration::from_secs(1);

/// Stands for election, and rolls out weights and frees parts while this box is the leader.
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
    /// State of kept parts.
    pub kept: Kept,
    /// Updates for all boxes.
    pub news: mpsc::Sender<LoadNews>,
    /// Cancelled when the box shuts down.
    pub stopping: CancellationToken,
    /// Logger.
    pub log: Logger,
}

/// Jobs of a leader, and engines that get no order now.
#[derive(Default)]
struct Underway {
    jobs: JoinSet<Loaded>,
    targets: HashMap<TargetId, Place>,
    resting: HashMap<TargetId, Instant>,
    /// Engines that did not answer at the last attempt.
    silent: HashSet<TargetId>,
    said: Option<Instant>,
}

impl Underway {
    /// Returns the number of engines that occupy a load slot.
    fn loading(&self) -> usize {
        self.targets.values().filter(|p| p.is_taken()).count()
    }

    /// Records the end of a job.
    fn ended(&mut self, loaded: &Loaded) {
        self.targets.remove(&loaded.target);
        match loaded.silent {
            true => self.silent.insert(loaded.target.clone()),
            false => self.silent.remove(&loaded.target),
        };
    }
}

impl<P: Platform, C: Control> Rollout<P, C> {
    /// Runs until the box shuts down.
    pub async fn run(self) {
        let started = Instant::now();
        while !self.stopping.is_cancelled() {
            if !self.is_candidate(started, Instant::now()) {
                tokio::time::sleep(CANDIDATE_CHECK).await;
                continue;
            }
            let taken = tokio::select! {
                taken = self.election.take() => taken,
                () = self.is_replaced(started) => continue,
                () = self.stopping.cancelled() => return,
            };
            match taken {
                Ok(leadership) => self.hold(leadership).await,
                Err(e) => {
                    event!(self.log, events::DUTY_NOT_TAKEN, "why" => e.to_string());
                    let pause = RETRY.mul_f64(rand::rng().random_range(0.5..1.5));
                    tokio::time::sleep(pause).await;
                }
            }
        }
    }

    /// Resolves when this box is no longer a candidate.
    async fn is_replaced(&self, started: Instant) {
        while self.is_candidate(started, Instant::now()) {
            tokio::time::sleep(CANDIDATE_CHECK).await;
        }
    }

    /// Returns whether this box is to stand for election. Safety does not depend on it: the lease decides who the leader is.
    fn is_candidate(&self, started: Instant, now: Instant) -> bool {
        let newcomer = now - started < NEWCOMER;
        let view = self.fleet.view();
        // If the whole fleet starts together, every box would consider itself a candidate until it knows the others.
        if view.boxes.is_empty() && now - started < self.discovery_timeout {
            return false;
        }
        let zone = view.boxes.iter().filter(|peer| peer.zone == self.me.zone);
        // Boxes of a large zone exchange liveness through a hub only.
        let large = zone.count() >= LARGE_ZONE;
        let alive = |id: &BoxId| match newcomer {
            true => true,
            false if large => self.loads.may_live(id, now),
            false => self.loads.hears(id, now),
        };
        roles::is_among(&view, &self.me, DUTY_ROLE, CANDIDATES, alive)
    }

    /// Orders engines until leadership is lost or resigned.
    async fn hold(&self, mut leadership: Leadership) {
        self.learn_named(&leadership.named).await;
        let mut underway = Underway::default();
        let mut look = tokio::time::interval(LOOK_EVERY);
        let mut renew = tokio::time::interval(RENEW_EVERY);
        // Jobs check this before each order, since no order may be in flight after leadership has ended.
        let (limit, until) = watch::channel(leadership.orders_until);
        let freer = Freer {
            control: self.control.clone(),
            kept: self.kept.clone(),
            fleet: self.fleet.clone(),
            until: until.clone(),
            awake: self.election.awake.clone(),
            log: self.log.clone(),
        };
        // Dropped, and so aborted, at the end of leadership.
        let mut freeing = JoinSet::new();
        freeing.spawn(freer.run());
        loop {
            tokio::select! {
                _ = renew.tick() => {
                    if !self.election.renew(&mut leadership).await {
                        return;
                    }
                    limit.send_replace(leadership.orders_until);
                }
                Some(done) = underway.jobs.join_next() => {
                    if let Ok(loaded) = done {
                        leadership.ended(&loaded.target, loaded.ordered);
                        self.loaded(loaded, &mut underway).await;
                    }
                }
                _ = look.tick() => {
                    if !self.order_more(&mut leadership, &until, &mut underway).await {
                        return;
                    }
                }
                () = self.stopping.cancelled() => {
                    underway.jobs.shutdown().await;
                    self.election.give_up(&leadership).await;
                    return;
                }
            }
        }
    }

    /// Applies the times at which operators requested weights, as the previous leader recorded them.
    async fn learn_named(&self, named: &[NamedAge]) {
        let now = Instant::now();
        for age in named {
            let Some(named) = age.named(now) else {
                continue;
            };
            let msg = FleetMsg::Named {
                model: age.model.clone(),
                named,
                source: Source::Store,
            };
            self.fleet.tell(msg).await;
        }
    }

    async fn loaded(&self, loaded: Loaded, underway: &mut Underway) {
        underway.ended(&loaded);
        let Some(version) = loaded.version else {
            let until = Instant::now() + FAILED_REST;
            underway.resting.insert(loaded.target, until);
            return;
        };
        let (target, life, model) = (loaded.target, loaded.life, loaded.model);
        self.loads.note_life(&target, life, Outcome::Loaded);
        let news = LoadNews {
            target: target.clone(),
            life,
            model: model.clone(),
            version,
            done: true,
        };
        // Boxes that miss this update see the new version in the engine's entry.
        let _ = self.news.try_send(news);
        self.fleet
            .tell(FleetMsg::Serves {
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
        underway: &mut Underway,
    ) -> bool {
        let now = Instant::now();
        underway.resting.retain(|_, at| now < *at);
        if !leadership.may_order(self.election.awake.now()) {
            return true;
        }
        let view = self.fleet.view();
        underway.silent.retain(|id| view.targets.contains_key(id));
        self.say_outdated(&view, leadership, underway, now);
        let next = self.next_batch(&view, leadership, underway, now);
        let is_due = leadership.is_record_old(now) && !outdated(&view).is_empty();
        if next.is_empty() && !is_due {
            return true;
        }
        leadership.named = ages(&view.wanted, now);
        let ids: Vec<TargetId> = next.iter().map(|n| n.target.id.clone()).collect();
        if let Err(e) = self.election.record(leadership, &ids).await {
            event!(self.log, events::DUTY_LOST, "fence" => leadership.fence.0, "why" => e.to_string());
            return false;
        }
        for outdated in next {
            self.start(outdated, leadership, until, underway);
        }
        true
    }

    /// Logs periodically how many engines serve replaced weights, and what they wait for.
    fn say_outdated(&self, view: &View, leadership: &Leadership, underway: &mut Underway, now: Instant) {
        if underway.said.is_some_and(|at| now - at < SAY_EVERY) {
            return;
        }
        let outdated = outdated(view);
        let Some(oldest) = outdated.first() else {
            return;
        };
        underway.said = Some(now);
        let left_alone = |o: &&Outdated| !leadership.may_order_target(&o.target.id, now);
        event!(self.log, events::WEIGHTS_OUTDATED,
            "model" => oldest.model.as_str(), "wanted" => oldest.version.0,
            "oldest" => oldest.serves.0, "engines" => outdated.len(),
            "loading" => underway.loading(),
            "silent" => underway.targets.len() - underway.loading(), "resting" => underway.resting.len(),
            "ordered_by_others" => outdated.iter().filter(left_alone).count());
    }

    /// Returns the engines to order now.
    fn next_batch(
        &self,
        view: &View,
        leadership: &Leadership,
        underway: &Underway,
        now: Instant,
    ) -> Vec<Outdated> {
        let engines = view
            .targets
            .values()
            .filter(|t| !t.served.is_empty())
            .count();
        let at_once = ((engines as f64 * SHARE_AT_ONCE) as usize).max(LEAST_AT_ONCE);
        let mut places = at_once.saturating_sub(underway.loading());
        let more = (at_once * MOST_UNDERWAY).saturating_sub(underway.targets.len());
        let may_order = |outdated: &Outdated| {
            let id = &outdated.target.id;
            let known = underway.targets.contains_key(id) || underway.resting.contains_key(id);
            !known && leadership.may_order_target(id, now)
        };
        // An engine that did not answer takes no slot until it does.
        let mut has_place = |outdated: &Outdated| {
            if underway.silent.contains(&outdated.target.id) {
                return true;
            }
            let free = places > 0;
            places = places.saturating_sub(1);
            free
        };
        let (silent, others): (Vec<_>, Vec<_>) = outdated(view)
            .into_iter()
            .filter(may_order)
            .filter(|outdated| has_place(outdated))
            .partition(|outdated| underway.silent.contains(&outdated.target.id));
        others.into_iter().chain(silent).take(more).collect()
    }

    fn start(
        &self,
        outdated: Outdated,
        leadership: &Leadership,
        until: &watch::Receiver<Instant>,
        underway: &mut Underway,
    ) {
        let Outdated {
            target,
            model,
            version,
            ..
        } = outdated;
        self.loads
            .note_life(&target.id, target.life, Outcome::Loading);
        let news = LoadNews {
            target: target.id.clone(),
            life: target.life,
            model: model.clone(),
            version,
            done: false,
        };
        // If a box misses this update, the engine refuses its requests and the box sends them elsewhere.
        let _ = self.news.try_send(news);
        let place = Place::new(!underway.silent.contains(&target.id));
        underway.targets.insert(target.id.clone(), place.clone());
        let job = LoadJob {
            control: self.control.clone(),
            target,
            model,
            version,
            fleet: self.fleet.clone(),
            holder: self.election.me.to_string(),
            fence: leadership.fence,
            place,
            until: until.clone(),
            awake: self.election.awake.clone(),
            log: self.log.clone(),
        };
        underway.jobs.spawn(job.run());
    }
}

/// An engine that serves older weights than operators want.
struct Outdated {
    serves: WeightVersion,
    target: Arc<TargetEntry>,
    model: ModelId,
    version: WeightVersion,
}

/// Returns the engines that serve older weights than operators want, oldest weights first.
fn outdated(view: &View) -> Vec<Outdated> {
    let ready = view
        .targets
        .values()
        .filter(|t| t.presence == Presence::Ready);
    let mut found = Vec::new();
    for target in ready {
        for (model, wanted) in view.wanted.iter() {
            let Some(serves) = served(target, model) else {
                continue;
            };
            let newest = wanted.newest().version;
            if serves < newest {
                found.push(Outdated {
                    serves,
                    target: target.clone(),
                    model: model.clone(),
                    version: newest,
                });
            }
        }
    }
    // Oldest weights first: each version has its own deadline to be replaced.
    found.sort_by(|a, b| (a.serves, &a.target.id).cmp(&(b.serves, &b.target.id)));
    found
}
