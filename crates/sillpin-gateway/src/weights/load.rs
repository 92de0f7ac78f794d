//! One engine's load of new weights.

use crate::beliefs::fleet::served;
use crate::control::{Control, EngineReport, OrderOutcome, TargetEntry, WeightsOrder};
use sillpin_core::{Fence, ModelId, TargetId, WeightVersion};
use sillpin_telemetry::{event, events};
use slog::Logger;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Boxes send nothing to the engine from this long before the order, so that most of its runs end under
/// the weights that they began on: a run takes 0.1 to 0.5 s.
const NEWS_LEAD: Duration = Duration::from_millis(250);

/// First look after an order: a load takes 0.76 s.
const FIRST_LOOK: Duration = Duration::from_millis(800);

/// Time between further looks; each is priced as a probe.
const LOOK_EVERY: Duration = Duration::from_millis(250);

/// Longest wait for a load before it is ordered anew.
const GIVE_UP: Duration = Duration::from_millis(4_000);

/// An order that was lost shows in no report by then.
const LOST: Duration = Duration::from_millis(1_200);

/// How a load ended.
#[derive(Debug)]
pub struct Loaded {
    /// The engine.
    pub target: TargetId,
    /// The model.
    pub model: ModelId,
    /// What it serves now, if that is what was wanted.
    pub version: Option<WeightVersion>,
    /// When the last order had ended, if any went out.
    pub ordered: Option<Instant>,
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
    /// Who orders.
    pub holder: String,
    /// The holder's fence.
    pub fence: Fence,
    /// Nothing is ordered after this moment.
    pub until: watch::Receiver<Instant>,
    /// Log.
    pub log: Logger,
}

impl<C: Control> LoadJob<C> {
    /// Orders the load and waits until it is done.
    pub async fn run(self) -> Loaded {
        let mut ordered = None;
        let done = self.load(&mut ordered).await;
        Loaded {
            target: self.target.id.clone(),
            model: self.model.clone(),
            version: done.then_some(self.version),
            ordered,
        }
    }

    async fn load(&self, order_ended: &mut Option<Instant>) -> bool {
        tokio::time::sleep(NEWS_LEAD).await;
        let Some(report) = self.report().await else {
            return false;
        };
        if self.is_served(&report) {
            return true;
        }
        if report.busy {
            return self.wait(Instant::now() + GIVE_UP, false).await;
        }
        if Instant::now() >= *self.until.borrow() {
            return false;
        }
        let order = WeightsOrder {
            target: self.target.id.clone(),
            model: self.model.clone(),
            version: self.version,
            holder: self.holder.clone(),
            fence: self.fence,
            expected_orders: report.orders_taken,
        };
        let ordered = Instant::now();
        let outcome = self.control.order(self.target.addr, &order).await;
        *order_ended = Some(Instant::now());
        let text = match &outcome {
            Ok(outcome) => outcome.to_string(),
            Err(e) => e.to_string(),
        };
        event!(self.log, events::WEIGHTS_ORDERED,
            "target" => self.target.id.as_str(), "model" => self.model.as_str(),
            "version" => self.version.0, "fence" => self.fence.0,
            "orders_taken" => report.orders_taken, "outcome" => text);
        match outcome {
            Ok(OrderOutcome::Already) => true,
            Ok(OrderOutcome::Accepted) => self.wait(ordered + GIVE_UP, false).await,
            Ok(OrderOutcome::Overtaken) => self.wait(ordered + GIVE_UP, true).await,
            Ok(OrderOutcome::Refused) => false,
            // It may have been taken all the same, or be taken late.
            Err(_) => self.wait(ordered + GIVE_UP, true).await,
        }
    }

    /// Looks until the weights are served. With `may_be_lost`, an engine that is idle after a while has
    /// not got the order.
    async fn wait(&self, until: Instant, may_be_lost: bool) -> bool {
        let began = Instant::now();
        tokio::time::sleep(FIRST_LOOK).await;
        while Instant::now() < until {
            if let Some(report) = self.report().await {
                if self.is_served(&report) {
                    event!(self.log, events::WEIGHTS_LOADED,
                        "target" => self.target.id.as_str(), "version" => self.version.0,
                        "after_ms" => began.elapsed().as_millis());
                    return true;
                }
                if may_be_lost && !report.busy && began.elapsed() > LOST {
                    break;
                }
            }
            tokio::time::sleep(LOOK_EVERY).await;
        }
        event!(self.log, events::WEIGHTS_FAILED,
            "target" => self.target.id.as_str(), "version" => self.version.0,
            "after_ms" => began.elapsed().as_millis());
        false
    }

    async fn report(&self) -> Option<EngineReport> {
        let report = self.control.report(self.target.addr, &self.target.id).await;
        match report {
            Ok(report) => Some(report),
            Err(e) => {
                event!(self.log, events::ENGINE_SILENT,
                    "target" => self.target.id.as_str(), "why" => e.to_string());
                None
            }
        }
    }

    fn is_served(&self, report: &EngineReport) -> bool {
        let as_listed = TargetEntry {
            served: report.served.clone(),
            ..self.target.as_ref().clone()
        };
        served(&as_listed, &self.model) >= Some(self.version)
    }
}
