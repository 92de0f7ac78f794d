//! Which engines are ordered next.

use super::duty::{Duty, RENEW_EVERY, Tenure};
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

/// Engines of a fleet that are under way at once: three of 18 load at full speed, and one or two more end
/// their runs before the order.
const SHARE_AT_ONCE: f64 = 0.28;

/// Engines ordered at once at least.
const LEAST_AT_ONCE: usize = 3;

/// Engines under way at once, as a multiple of those that load: beside these, some do not answer. Other boxes pass over all
/// engines under way, so there may not be too many.
const MOST_UNDERWAY: usize = 2;

/// How often the holder looks for engines to order, beside changes of what it knows.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// Wait after the duty could not be taken.
const RETRY: Duration = Duration::from_millis(700);

/// How long an engine whose load failed is left alone.
const FAILED_REST: Duration = Duration::from_millis(800);

/// Boxes of a zone that wait for the duty. Each wait is a call of the platform's store, and all that wait wake at once
/// when the duty is free; a box that is not heard any more is replaced within seconds.
const CANDIDATES: usize = 3;

/// What the candidates wait for, in the choice of who they are.
const DUTY_ROLE: &str = "weights-duty";

/// How often a box that is no candidate looks whether it is one by now.
const CANDIDATE_CHECK: Duration = Duration::from_millis(500);

/// A box that started so recently has not heard the others yet and takes all that are registered to be alive.
const NEWCOMER: Duration = Duration::from_secs(3);

/// A box that was told of others and knows none yet waits for so long before it takes itself for the only one: it reads who is registered
/// within a second.
pub const ALONE: Duration = Duration::from_millis(1_200);

/// Time between two lines about engines that serve replaced weights.
const SAY_EVERY: Duration = Duration::from_secs(1);

/// Holds the duty whenever nobody else does.
pub struct Rollout<P, C> {
    /// This box.
    pub me: BoxEntry,
    /// How long it waits to hear of others, if it knows none.
    pub alone: Duration,
    /// The duty.
    pub duty: Duty<P>,
    /// Calls of engines.
    pub control: C,
    /// What is known of the fleet.
    pub fleet: FleetHandle,
    /// Loads of targets.
    pub loads: Loads,
    /// What is known of kept parts.
    pub kept: Kept,
    /// News for all boxes.
    pub news: mpsc::Sender<LoadNews>,
    /// Cancelled when the box is told to stop.
    pub stopping: CancellationToken,
    /// Log.
    pub log: Logger,
}

/// Loads that a holder has under way.
#[derive(Default)]
struct Underway {
    jobs: JoinSet<Loaded>,
    targets: HashMap<TargetId, Place>,
    resting: HashMap<TargetId, Instant>,
    /// Engines that did not answer when they were last tried.
    silent: HashSet<TargetId>,
    said: Option<Instant>,
}

impl Underway {
    /// Engines that load or are about to.
    fn loading(&self) -> usize {
        self.targets.values().filter(|p| p.is_taken()).count()
    }

    /// Takes note of a job that is over.
    fn ended(&mut self, loaded: &Loaded) {
        self.targets.remove(&loaded.target);
        match loaded.silent {
            true => self.silent.insert(loaded.target.clone()),
            false => self.silent.remove(&loaded.target),
        };
    }
}

impl<P: Platform, C: Control> Rollout<P, C> {
    /// Runs until the box is told to stop.
    pub async fn run(self) {
        let started = Instant::now();
        while !self.stopping.is_cancelled() {
            if !self.is_candidate(started, Instant::now()) {
                tokio::time::sleep(CANDIDATE_CHECK).await;
                continue;
            }
            let taken = tokio::select! {
                taken = self.duty.take() => taken,
                () = self.is_replaced(started) => continue,
                () = self.stopping.cancelled() => return,
            };
            match taken {
                Ok(tenure) => self.hold(tenure).await,
                Err(e) => {
                    event!(self.log, events::LEADERSHIP_NOT_ACQUIRED, "why" => e.to_string());
                    let pause = RETRY.mul_f64(rand::rng().random_range(0.5..1.5));
                    tokio::time::sleep(pause).await;
                }
            }
        }
    }

    /// Resolves when others are to wait for the duty in this box's place.
    async fn is_replaced(&self, started: Instant) {
        while self.is_candidate(started, Instant::now()) {
            tokio::time::sleep(CANDIDATE_CHECK).await;
        }
    }

    /// Whether this box is to wait for the duty. Safety does not hang on it: the lease decides who holds it.
    fn is_candidate(&self, started: Instant, now: Instant) -> bool {
        let newcomer = now - started < NEWCOMER;
        let view = self.fleet.view();
        // In a fleet that starts as a whole all boxes would take themselves for the first ones, until they know each other.
        if view.boxes.is_empty() && now - started < self.alone {
            return false;
        }
        let zone = view.boxes.iter().filter(|peer| peer.zone == self.me.zone);
        // Boxes of a large zone hear each other through a hub alone.
        let large = zone.count() >= LARGE_ZONE;
        let alive = |id: &BoxId| match newcomer {
            true => true,
            false if large => self.loads.may_live(id, now),
            false => self.loads.hears(id, now),
        };
        roles::is_among(&view, &self.me, DUTY_ROLE, CANDIDATES, alive)
    }

    /// Orders engines until the duty is lost or given up.
    async fn hold(&self, mut tenure: Tenure) {
        self.learn_named(&tenure.named).await;
        let mut underway = Underway::default();
        let mut look = tokio::time::interval(LOOK_EVERY);
        let mut renew = tokio::time::interval(RENEW_EVERY);
        // Jobs check this before each order: an order must not outlive the tenure.
        let (limit, until) = watch::channel(tenure.orders_until);
        let freer = Freer {
            control: self.control.clone(),
            kept: self.kept.clone(),
            fleet: self.fleet.clone(),
            until: until.clone(),
            awake: self.duty.awake.clone(),
            log: self.log.clone(),
        };
        // Ends with the tenure.
        let mut freeing = JoinSet::new();
        freeing.spawn(freer.run());
        loop {
            tokio::select! {
                _ = renew.tick() => {
                    if !self.duty.renew(&mut tenure).await {
                        return;
                    }
                    limit.send_replace(tenure.orders_until);
                }
                Some(done) = underway.jobs.join_next() => {
                    if let Ok(loaded) = done {
                        tenure.ended(&loaded.target, loaded.ordered);
                        self.loaded(loaded, &mut underway).await;
                    }
                }
                _ = look.tick() => {
                    if !self.order_more(&mut tenure, &until, &mut underway).await {
                        return;
                    }
                }
                () = self.stopping.cancelled() => {
                    underway.jobs.shutdown().await;
                    self.duty.give_up(&tenure).await;
                    return;
                }
            }
        }
    }

    /// Takes over when weights were named, as the holder before recorded it.
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
        // Boxes that miss the news see it in the engine's entry.
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

    /// Orders further engines; `false` if the duty is lost.
    async fn order_more(
        &self,
        tenure: &mut Tenure,
        until: &watch::Receiver<Instant>,
        underway: &mut Underway,
    ) -> bool {
        let now = Instant::now();
        underway.resting.retain(|_, at| now < *at);
        if !tenure.may_order(self.duty.awake.now()) {
            return true;
        }
        let view = self.fleet.view();
        underway.silent.retain(|id| view.targets.contains_key(id));
        self.say_outdated(&view, tenure, underway, now);
        let next = self.next_batch(&view, tenure, underway, now);
        let is_due = tenure.is_record_old(now) && !outdated(&view).is_empty();
        if next.is_empty() && !is_due {
            return true;
        }
        tenure.named = ages(&view.wanted, now);
        let ids: Vec<TargetId> = next.iter().map(|n| n.target.id.clone()).collect();
        if let Err(e) = self.duty.record(tenure, &ids).await {
            event!(self.log, events::LEADERSHIP_LOST, "fence" => tenure.fence.0, "why" => e.to_string());
            return false;
        }
        for outdated in next {
            self.start(outdated, tenure, until, underway);
        }
        true
    }

    /// Says now and then which engines serve replaced weights, and what they wait for.
    fn say_outdated(&self, view: &View, tenure: &Tenure, underway: &mut Underway, now: Instant) {
        if underway.said.is_some_and(|at| now - at < SAY_EVERY) {
            return;
        }
        let outdated = outdated(view);
        let Some(oldest) = outdated.first() else {
            return;
        };
        underway.said = Some(now);
        let left_alone = |o: &&Outdated| !tenure.may_order_target(&o.target.id, now);
        event!(self.log, events::WEIGHTS_OUTDATED,
            "model" => oldest.model.as_str(), "wanted" => oldest.version.0,
            "oldest" => oldest.serves.0, "engines" => outdated.len(),
            "loading" => underway.loading(),
            "silent" => underway.targets.len() - underway.loading(), "resting" => underway.resting.len(),
            "ordered_by_others" => outdated.iter().filter(left_alone).count());
    }

    /// Engines to be ordered now.
    fn next_batch(
        &self,
        view: &View,
        tenure: &Tenure,
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
            !known && tenure.may_order_target(id, now)
        };
        // A silent engine takes no place until it answers.
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
        tenure: &Tenure,
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
        // Boxes that miss the news are refused by the engine and go elsewhere.
        let _ = self.news.try_send(news);
        let place = Place::new(!underway.silent.contains(&target.id));
        underway.targets.insert(target.id.clone(), place.clone());
        let job = LoadJob {
            control: self.control.clone(),
            target,
            model,
            version,
            fleet: self.fleet.clone(),
            holder: self.duty.me.to_string(),
            fence: tenure.fence,
            place,
            until: until.clone(),
            awake: self.duty.awake.clone(),
            log: self.log.clone(),
        };
        underway.jobs.spawn(job.run());
    }
}

/// An engine that serves older weights than wanted.
struct Outdated {
    serves: WeightVersion,
    target: Arc<TargetEntry>,
    model: ModelId,
    version: WeightVersion,
}

/// Engines that serve older weights than wanted.
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
    // The oldest weights go first: each version has its own time to be replaced in.
    found.sort_by(|a, b| (a.serves, &a.target.id).cmp(&(b.serves, &b.target.id)));
    found
}
