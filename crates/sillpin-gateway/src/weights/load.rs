//! Load of new weights by one engine: orders it and waits until the engine serves them.

use crate::control::{Control, EngineReport, Life, OrderOutcome, TargetEntry, WeightsOrder};
use crate::fleet_state::FleetHandle;
use crate::fleet_state::fleet::served;
use crate::suspend_clock::SuspendClock;
use sillpin_core::{Fence, ModelId, TargetId, WeightVersion};
use sillpin_telemetry::{event, events};
use slog::Logger;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Time between the announcement of a load, after which boxes send the engine no requests, and the order, so that most of its
/// runs end under the weights that they began on: a run takes 0.1 to 0.5 s.
const ANNOUNCE_LEAD: Duration = Duration::from_millis(250);

/// Delay of the first poll after an order: a load takes 0.76 s or more, and 23 % of polls after 0.9 s found it complete.
const FIRST_POLL_DELAY: Duration = Duration::from_millis(900);

/// Time between further polls: a load slot stays idle for up to this long. Each poll costs as much as a probe.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Delay after an order that was rejected in favour of another one: reports are some 0.1 to 0.3 s old, and do not show that other
/// order earlier.
const OVERTAKEN_DELAY: Duration = Duration::from_millis(250);

/// Delay after an order without an answer: calls that fail immediately are not repeated more often than this.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum wait for a load, or for an order to be accepted, before the job fails and its slot is free for other engines.
const LOAD_TIMEOUT: Duration = Duration::from_millis(4_000);

/// Result of a load.
#[derive(Debug)]
pub struct LoadResult {
    /// The engine.
    pub target: TargetId,
    /// The incarnation of the engine in its last report.
    pub incarnation: Option<Life>,
    /// The model.
    pub model: ModelId,
    /// The version that it serves now, if the load succeeded.
    pub version: Option<WeightVersion>,
    /// When the call of the last order returned, if any was sent.
    pub last_order: Option<Instant>,
    /// Whether the engine did not answer the last call for a report.
    pub unresponsive: bool,
}

/// Whether an engine occupies one of the slots for concurrent loads. An engine that had not answered occupies one
/// only when it carries out an order.
#[derive(Debug, Clone, Default)]
pub struct LoadSlot(Arc<AtomicBool>);

impl LoadSlot {
    /// Creates a slot that is occupied or not.
    pub fn new(occupied: bool) -> Self {
        Self(Arc::new(AtomicBool::new(occupied)))
    }

    /// Returns whether the slot is occupied.
    pub fn is_occupied(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    fn set(&self, occupied: bool) {
        self.0.store(occupied, Ordering::Relaxed);
    }
}

/// A load of new weights.
pub struct LoadJob<C> {
    /// Client for calls to engines.
    pub control: C,
    /// The engine.
    pub target: Arc<TargetEntry>,
    /// The model.
    pub model: ModelId,
    /// The version to load.
    pub version: WeightVersion,
    /// State of the fleet, for weights that operators request meanwhile.
    pub fleet: FleetHandle,
    /// The leader's id, for the order.
    pub leader: String,
    /// The leader's fencing token.
    pub fence: Fence,
    /// Its slot among the concurrent loads.
    pub slot: LoadSlot,
    /// Time of [`SuspendClock::now`] after which no order is sent.
    pub until: watch::Receiver<Instant>,
    /// Clock that includes suspended time.
    pub suspend_clock: SuspendClock,
    /// Logger.
    pub log: Logger,
}

/// Progress of a job.
struct Progress {
    /// The incarnation of the engine in its last report.
    incarnation: Option<Life>,
    /// The version to load: the one desired at the last order.
    version: WeightVersion,
    /// Time after which the job fails.
    until: Instant,
    /// When the call of the last order returned, if any was sent.
    last_order: Option<Instant>,
    /// Whether the engine accepted an order.
    accepted: bool,
    /// Whether the engine did not answer the last call for a report.
    unresponsive: bool,
}

impl Progress {
    /// Returns the time since the call of the last order returned, in milliseconds, or 0 without an order.
    fn ordered_ms(&self) -> u128 {
        self.last_order.map_or(0, |at| at.elapsed().as_millis())
    }
}

/// Next step of a job.
enum Step {
    /// The job is over; whether the engine serves the weights.
    Finished(bool),
    /// Poll the engine's report after this delay.
    Poll(Duration),
}

impl<C: Control> LoadJob<C> {
    /// Orders the load and waits until it is complete or has failed.
    pub async fn run(self) -> LoadResult {
        tokio::time::sleep(ANNOUNCE_LEAD).await;
        let mut progress = Progress {
            incarnation: self.target.life,
            version: self.version,
            until: Instant::now() + LOAD_TIMEOUT,
            last_order: None,
            accepted: false,
            unresponsive: false,
        };
        let done = self.load(&mut progress).await;
        LoadResult {
            target: self.target.id.clone(),
            incarnation: progress.incarnation,
            model: self.model.clone(),
            version: done.then_some(progress.version),
            last_order: progress.last_order,
            unresponsive: progress.unresponsive,
        }
    }

    async fn load(&self, progress: &mut Progress) -> bool {
        loop {
            let report = self.report().await;
            progress.unresponsive = report.is_none();
            self.record_incarnation(progress, report.as_ref());
            let next = match report {
                Some(report) => self.advance(progress, &report).await,
                // The engine continues a load that it accepted.
                None if progress.accepted => Step::Poll(POLL_INTERVAL),
                None => Step::Finished(false),
            };
            match next {
                Step::Finished(done) => return done,
                Step::Poll(_) if Instant::now() >= progress.until => break,
                Step::Poll(pause) => tokio::time::sleep(pause).await,
            }
        }
        event!(self.log, events::WEIGHTS_FAILED,
            "target" => self.target.id.as_str(), "version" => progress.version.0,
            "after_ms" => progress.ordered_ms());
        false
    }

    /// Records the engine's incarnation; an engine that restarted has lost the order.
    fn record_incarnation(&self, progress: &mut Progress, report: Option<&EngineReport>) {
        let incarnation = report
            .and_then(|report| report.life)
            .or(progress.incarnation);
        progress.accepted &= incarnation == progress.incarnation;
        progress.incarnation = incarnation;
    }

    /// Sends an order unless the engine serves the weights or is busy with a load.
    async fn advance(&self, progress: &mut Progress, report: &EngineReport) -> Step {
        if self.is_served(report, progress.version) {
            self.log_loaded(progress);
            return Step::Finished(true);
        }
        if report.busy {
            self.slot.set(true);
            return Step::Poll(POLL_INTERVAL);
        }
        if self.suspend_clock.now() >= *self.until.borrow() {
            return Step::Finished(false);
        }
        // Operators may have requested newer weights while an order was unanswered.
        progress.version = self.desired().max(self.version);
        self.order(progress, report.orders_taken).await
    }

    async fn order(&self, progress: &mut Progress, orders_taken: u64) -> Step {
        let order = WeightsOrder {
            target: self.target.id.clone(),
            model: self.model.clone(),
            version: progress.version,
            holder: self.leader.clone(),
            fence: self.fence,
            expected_orders: orders_taken,
        };
        let outcome = self.control.order(self.target.addr, &order).await;
        let now = Instant::now();
        progress.last_order = Some(now);
        let text = match &outcome {
            Ok(outcome) => outcome.to_string(),
            Err(e) => e.to_string(),
        };
        event!(self.log, events::WEIGHTS_ORDERED,
            "target" => self.target.id.as_str(), "model" => self.model.as_str(),
            "version" => order.version.0, "fence" => self.fence.0,
            "orders_taken" => orders_taken, "outcome" => text);
        match outcome {
            Ok(OrderOutcome::Already) => Step::Finished(true),
            Ok(OrderOutcome::Accepted) => {
                self.slot.set(true);
                progress.accepted = true;
                progress.until = now + LOAD_TIMEOUT;
                Step::Poll(FIRST_POLL_DELAY)
            }
            // Another order was accepted after the report was made.
            Ok(OrderOutcome::Overtaken) => Step::Poll(OVERTAKEN_DELAY),
            Ok(OrderOutcome::Refused) => Step::Finished(false),
            // The engine may have accepted the order nevertheless, or may accept it later: the next report shows it. The call's
            // timeout is longer than the age of reports, and of two orders that expect the same count the engine carries out one.
            Err(_) => Step::Poll(RETRY_DELAY),
        }
    }

    /// Returns the newest desired version, as known to this box.
    fn desired(&self) -> WeightVersion {
        let view = self.fleet.view();
        view.desired
            .get(&self.model)
            .map_or(self.version, |desired| desired.newest().version)
    }

    fn log_loaded(&self, progress: &Progress) {
        if progress.last_order.is_some() {
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
