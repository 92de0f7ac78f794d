//! Which engines are ordered next.

use super::duty::{Duty, RENEW_EVERY, Tenure};
use super::load::{LoadJob, Loaded};
use crate::beliefs::fleet::served;
use crate::beliefs::{FleetHandle, FleetMsg, View};
use crate::control::{Control, Presence, TargetEntry};
use crate::peers::digest::LoadNews;
use crate::place::Loads;
use crate::place::load::Outcome;
use rand::RngExt;
use sillpin_core::{ModelId, TargetId, WeightVersion};
use sillpin_platform::Platform;
use sillpin_telemetry::{event, events};
use slog::Logger;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Engines that load at once: beyond three, each load takes longer.
const MOST_AT_ONCE: usize = 3;

/// How often the holder looks for engines to order, beside changes of what it knows.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// Wait after the duty could not be taken.
const RETRY: Duration = Duration::from_millis(700);

/// How long an engine whose load failed is left alone.
const FAILED_REST: Duration = Duration::from_millis(800);

/// Holds the duty whenever nobody else does.
pub struct Rollout<P, C> {
    /// The duty.
    pub duty: Duty<P>,
    /// Calls of engines.
    pub control: C,
    /// What is known of the fleet.
    pub fleet: FleetHandle,
    /// Loads of targets.
    pub loads: Loads,
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
    targets: Vec<TargetId>,
    resting: HashMap<TargetId, Instant>,
}

impl<P: Platform, C: Control> Rollout<P, C> {
    /// Runs until the box is told to stop.
    pub async fn run(self) {
        while !self.stopping.is_cancelled() {
            let taken = tokio::select! {
                taken = self.duty.take() => taken,
                () = self.stopping.cancelled() => return,
            };
            match taken {
                Ok(tenure) => self.hold(tenure).await,
                Err(e) => {
                    event!(self.log, events::DUTY_NOT_TAKEN, "why" => e.to_string());
                    let pause = RETRY.mul_f64(rand::rng().random_range(0.5..1.5));
                    tokio::time::sleep(pause).await;
                }
            }
        }
    }

    /// Orders engines until the duty is lost or given up.
    async fn hold(&self, mut tenure: Tenure) {
        let mut underway = Underway::default();
        let mut look = tokio::time::interval(LOOK_EVERY);
        let mut renew = tokio::time::interval(RENEW_EVERY);
        // Jobs check this before each order: an order must not outlive the tenure.
        let (limit, until) = watch::channel(tenure.orders_until);
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
                        self.loaded(loaded, &mut underway).await;
                    }
                }
                _ = look.tick() => self.order_more(&tenure, &until, &mut underway).await,
                () = self.stopping.cancelled() => {
                    underway.jobs.shutdown().await;
                    self.duty.give_up(&tenure).await;
                    return;
                }
            }
        }
    }

    async fn loaded(&self, loaded: Loaded, underway: &mut Underway) {
        underway.targets.retain(|id| *id != loaded.target);
        let Some(version) = loaded.version else {
            let until = Instant::now() + FAILED_REST;
            underway.resting.insert(loaded.target, until);
            return;
        };
        self.loads.note(&loaded.target, Outcome::Loaded);
        let (target, model) = (loaded.target, loaded.model);
        let news = LoadNews {
            target: target.clone(),
            model: model.clone(),
            version,
            done: true,
        };
        // Boxes that miss the news see it in the engine's entry.
        let _ = self.news.try_send(news);
        self.fleet
            .tell(FleetMsg::Serves {
                target,
                model,
                version,
            })
            .await;
    }

    async fn order_more(
        &self,
        tenure: &Tenure,
        until: &watch::Receiver<Instant>,
        underway: &mut Underway,
    ) {
        let now = Instant::now();
        underway.resting.retain(|_, at| now < *at);
        if !tenure.may_order(now) {
            return;
        }
        let view = self.fleet.view();
        for (target, model, version) in outdated(&view) {
            if underway.jobs.len() >= MOST_AT_ONCE {
                return;
            }
            let known = underway.targets.contains(&target.id);
            if known || underway.resting.contains_key(&target.id) {
                continue;
            }
            self.loads.note(&target.id, Outcome::Loading);
            let news = LoadNews {
                target: target.id.clone(),
                model: model.clone(),
                version,
                done: false,
            };
            // Boxes that miss the news are refused by the engine and go elsewhere.
            let _ = self.news.try_send(news);
            underway.targets.push(target.id.clone());
            let job = LoadJob {
                control: self.control.clone(),
                target,
                model,
                version,
                holder: self.duty.me.to_string(),
                fence: tenure.fence,
                until: until.clone(),
                log: self.log.clone(),
            };
            underway.jobs.spawn(job.run());
        }
    }
}

/// Engines that serve older weights than wanted.
fn outdated(view: &View) -> Vec<(Arc<TargetEntry>, ModelId, WeightVersion)> {
    let ready = view
        .targets
        .values()
        .filter(|t| t.presence == Presence::Ready);
    let mut found = Vec::new();
    for target in ready {
        for (model, wanted) in view.wanted.iter() {
            if served(target, model).is_some_and(|version| version < wanted.version) {
                found.push((target.clone(), model.clone(), wanted.version));
            }
        }
    }
    found.sort_by(|a, b| a.0.id.cmp(&b.0.id));
    found
}
