//! One engine's load of new weights.

use crate::awake::Awake;
use crate::beliefs::FleetHandle;
use crate::beliefs::fleet::served;
use crate::control::{Control, EngineReport, Life, OrderOutcome, TargetEntry, WeightsOrder};
use sillpin_core::{Fence, ModelId, TargetId, WeightVersion};
use sillpin_telemetry::{event, events};
use slog::Logger;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Boxes send nothing to the engine from this long before the order, so that most of its runs end under
/// the weights that they began on: a run takes 0.1 to 0.5 s.
const NEWS_LEAD: Duration = Duration::from_millis(250);

/// First look after an order: a load takes 0.76 s, and of 1,151 looks after 0.9 s 23 in 100 found it done.
const FIRST_LOOK: Duration = Duration::from_millis(900);

/// Time between further looks: a place stands empty for up to this long. Each is priced as a probe.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// Pause after an order that came behind another: reports are some 0.1 to 0.3 s old, and do not show that one before.
const OVERTAKEN: Duration = Duration::from_millis(250);

/// Pause after an order without an answer: calls that fail at once are not repeated more often than this.
const AGAIN: Duration = Duration::from_millis(100);

/// Longest wait for a load, or for an order to be accepted, before other engines are let go first.
const GIVE_UP: Duration = Duration::from_millis(4_000);

/// How a load ended.
#[derive(Debug)]
pub struct Loaded {
    /// The engine.
    pub target: TargetId,
    /// The life that it was last found in.
    pub life: Option<Life>,
    /// The model.
    pub model: ModelId,
    /// What it serves now, if that is what was wanted.
    pub version: Option<WeightVersion>,
    /// When the last order had ended, if any went out.
    pub ordered: Option<Instant>,
    /// Whether the engine did not answer.
    pub silent: bool,
}

/// Whether an engine counts among those that load at once. An engine that was silent takes one
/// when it carries an order out.
#[derive(Debug, Clone, Default)]
pub struct Place(Arc<AtomicBool>);

impl Place {
    /// A place that is taken or not.
    pub fn new(taken: bool) -> Self {
        Self(Arc::new(AtomicBool::new(taken)))
    }

    /// Whether it is taken.
    pub fn is_taken(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    fn set(&self, taken: bool) {
        self.0.store(taken, Ordering::Relaxed);
    }
}

/// A load of new weights.
pub struct LoadJob<C> {
    /// Calls of engines.
    pub control: C,
    /// The engine.
    pub target: Arc<TargetEntry>,
    /// The model.
    pub model: ModelId,
    /// The weights.
    pub version: WeightVersion,
    /// What is known of the fleet, for weights that are named meanwhile.
    pub fleet: FleetHandle,
    /// Who orders.
    pub holder: String,
    /// The holder's fence.
    pub fence: Fence,
    /// Its place among the engines that load.
    pub place: Place,
    /// Nothing is ordered after this moment of [`Awake::now`].
    pub until: watch::Receiver<Instant>,
    /// Time asleep.
    pub awake: Awake,
    /// Log.
    pub log: Logger,
}

/// How far a job is.
struct Progress {
    /// The life that the engine was last found in.
    life: Option<Life>,
    /// The weights to be loaded: those wanted at the last order.
    version: WeightVersion,
    /// The job ends without success after this moment.
    until: Instant,
    /// When the last order had ended, if any went out.
    ordered: Option<Instant>,
    /// Whether the engine said that it carries an order out.
    accepted: bool,
    /// Whether the engine did not answer when it was last asked for a report.
    silent: bool,
}

impl Progress {
    /// How long ago the last order had ended, in milliseconds.
    fn ordered_ms(&self) -> u128 {
        self.ordered.map_or(0, |at| at.elapsed().as_millis())
    }
}

/// What an engine is to be asked next.
enum Next {
    /// Nothing: the job is over, and the weights are served or not.
    Over(bool),
    /// For a report, after a while.
    Look(Duration),
}

impl<C: Control> LoadJob<C> {
    /// Orders the load and waits until it is done.
    pub async fn run(self) -> Loaded {
        tokio::time::sleep(NEWS_LEAD).await;
        let mut progress = Progress {
            life: self.target.life,
            version: self.version,
            until: Instant::now() + GIVE_UP,
            ordered: None,
            accepted: false,
            silent: false,
        };
        let done = self.load(&mut progress).await;
        Loaded {
            target: self.target.id.clone(),
            life: progress.life,
            model: self.model.clone(),
            version: done.then_some(progress.version),
            ordered: progress.ordered,
            silent: progress.silent,
        }
    }

    async fn load(&self, progress: &mut Progress) -> bool {
        loop {
            let report = self.report().await;
            progress.silent = report.is_none();
            self.take_life(progress, report.as_ref());
            let next = match report {
                Some(report) => self.proceed(progress, &report).await,
                // A load that is under way goes on.
                None if progress.accepted => Next::Look(LOOK_EVERY),
                None => Next::Over(false),
            };
            match next {
                Next::Over(done) => return done,
                Next::Look(_) if Instant::now() >= progress.until => break,
                Next::Look(pause) => tokio::time::sleep(pause).await,
            }
        }
        event!(self.log, events::WEIGHTS_FAILED,
            "target" => self.target.id.as_str(), "version" => progress.version.0,
            "after_ms" => progress.ordered_ms());
        false
    }

    /// An engine that started again has forgotten the order.
    fn take_life(&self, progress: &mut Progress, report: Option<&EngineReport>) {
        let life = report.and_then(|report| report.life).or(progress.life);
        progress.accepted &= life == progress.life;
        progress.life = life;
    }

    /// Waits while the engine loads, and orders when it does not.
    async fn proceed(&self, progress: &mut Progress, report: &EngineReport) -> Next {
        if self.is_served(report, progress.version) {
            self.say_loaded(progress);
            return Next::Over(true);
        }
        if report.busy {
            self.place.set(true);
            return Next::Look(LOOK_EVERY);
        }
        if self.awake.now() >= *self.until.borrow() {
            return Next::Over(false);
        }
        // Operators may have named further weights while an order went unanswered.
        progress.version = self.wanted().max(self.version);
        self.order(progress, report.orders_taken).await
    }

    async fn order(&self, progress: &mut Progress, orders_taken: u64) -> Next {
        let order = WeightsOrder {
            target: self.target.id.clone(),
            model: self.model.clone(),
            version: progress.version,
            holder: self.holder.clone(),
            fence: self.fence,
            expected_orders: orders_taken,
        };
        let outcome = self.control.order(self.target.addr, &order).await;
        let now = Instant::now();
        progress.ordered = Some(now);
        let text = match &outcome {
            Ok(outcome) => outcome.to_string(),
            Err(e) => e.to_string(),
        };
        event!(self.log, events::WEIGHTS_ORDERED,
            "target" => self.target.id.as_str(), "model" => self.model.as_str(),
            "version" => order.version.0, "fence" => self.fence.0,
            "orders_taken" => orders_taken, "outcome" => text);
        match outcome {
            Ok(OrderOutcome::Already) => Next::Over(true),
            Ok(OrderOutcome::Accepted) => {
                self.place.set(true);
                progress.accepted = true;
                progress.until = now + GIVE_UP;
                Next::Look(FIRST_LOOK)
            }
            // The report was older than an order that came before.
            Ok(OrderOutcome::Overtaken) => Next::Look(OVERTAKEN),
            Ok(OrderOutcome::Refused) => Next::Over(false),
            // It may have been taken all the same, or be taken late: the next report tells. The call's timeout is longer
            // than reports are old, and of two orders that expect the same count the engine carries out one.
            Err(_) => Next::Look(AGAIN),
        }
    }

    /// The version that operators want now, as far as this box knows.
    fn wanted(&self) -> WeightVersion {
        let view = self.fleet.view();
        view.wanted
            .get(&self.model)
            .map_or(self.version, |wanted| wanted.newest().version)
    }

    fn say_loaded(&self, progress: &Progress) {
        if progress.ordered.is_some() {
            event!(self.log, events::WEIGHTS_LOADED,
                "target" => self.target.id.as_str(), "version" => progress.version.0,
                "after_ms" => progress.ordered_ms());
        }
    }

    async fn report(&self) -> Option<EngineReport> {
        let report = self.control.report(self.target.addr, &self.target.id).await;
        match report {
            Ok(report) => Some(report),
            Err(e) => {
                event!(self.log, events::ENGINE_REPORT_FAILED,
                    "target" => self.target.id.as_str(), "why" => e.to_string());
                None
            }
        }
    }

    fn is_served(&self, report: &EngineReport, version: WeightVersion) -> bool {
        let as_listed = TargetEntry {
            served: report.served.clone(),
            ..self.target.as_ref().clone()
        };
        served(&as_listed, &self.model) >= Some(version)
    }
}
