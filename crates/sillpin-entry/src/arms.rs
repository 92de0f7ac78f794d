//! Measures the arms of a rollout in this entry and checks them against the bundle's guard.
//!
//! Sums since the revision came into force are reported to the keeper for `sillpin bundle compare`.
//! The guard compares each arm with the control arm over the current and the previous window. On a
//! breach, the keeper is requested to stop the arm in this zone, and the arm's prompts return to
//! the control arm.

use crate::keeper_link::{KeeperLink, Report};
use crate::metrics::PromptWork;
use crate::settings::EntryConfig;
use crate::snapshot::Snapshot;
use hdrhistogram::Histogram;
use sillpin_bundle::bundle::CONTROL_ARM;
use sillpin_core::{ArmName, BoxId, Revision, ZoneId};
use sillpin_policy::guard::ArmSample;
use sillpin_rpc::arms::{ArmFigures, RatioSums};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// Maximum number of queued samples; further ones are dropped.
const QUEUE_LEN: usize = 4_096;

/// Length of a window. An arm is judged over the current window and the previous one.
const WINDOW_LEN: Duration = Duration::from_secs(20);

/// Interval at which the guard checks the arms.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Interval of the reports to the keeper.
const REPORT_INTERVAL: Duration = Duration::from_secs(2);

/// Significant digits that the histograms keep.
const SIGNIFICANT_DIGITS: u8 = 2;

/// The result of one request that was assigned to an arm.
#[derive(Debug, Clone)]
pub struct Sample {
    /// Revision of the bundle.
    pub revision: Revision,
    /// The arm.
    pub arm: ArmName,
    /// Measurements of a complete response; `None` if the request failed.
    pub completed: Option<Completed>,
}

/// Measurements of a complete response.
#[derive(Debug, Clone, Copy)]
pub struct Completed {
    /// Time to first token.
    pub first_token: Duration,
    /// Where the tokens of the prompt came from.
    pub work: PromptWork,
}

/// Sends samples to the task that sums them.
#[derive(Clone)]
pub struct ArmsHandle {
    tx: mpsc::Sender<Sample>,
}

impl ArmsHandle {
    /// Adds a sample; it is dropped if the queue is full.
    pub fn count(&self, sample: Sample) {
        let _ = self.tx.try_send(sample);
    }
}

/// Starts the task that sums samples, checks the guard and reports to the keeper.
pub fn start(
    cfg: &EntryConfig,
    snapshots: watch::Receiver<Arc<Snapshot>>,
    keeper: KeeperLink,
) -> ArmsHandle {
    let (tx, rx) = mpsc::channel(QUEUE_LEN);
    let task = ArmsTask {
        box_id: cfg.box_id.clone(),
        zone: cfg.zone.clone(),
        totals: HashMap::new(),
        snapshots,
        keeper,
        revision: Revision(0),
        current: HashMap::new(),
        previous: HashMap::new(),
    };
    tokio::spawn(task.run(rx));
    ArmsHandle { tx }
}

/// Sums over the requests of one arm.
struct Window {
    first_tokens: Histogram<u64>,
    failed: u32,
    computed: RatioSums,
    link_bytes: RatioSums,
}

impl Default for Window {
    fn default() -> Self {
        Self {
            first_tokens: micros_histogram(),
            failed: 0,
            computed: RatioSums::default(),
            link_bytes: RatioSums::default(),
        }
    }
}

impl Window {
    fn count(&mut self, completed: Option<&Completed>) {
        let Some(completed) = completed else {
            self.failed += 1;
            return;
        };
        let micros = completed.first_token.as_micros() as u64;
        self.first_tokens.saturating_record(micros);
        let work = &completed.work;
        let tokens = work.computed + work.cached + work.imported;
        self.computed.add(work.computed.0 as f64, tokens.0 as f64);
        self.link_bytes.add(work.link_bytes as f64, 1.0);
    }
}

/// Returns a histogram of microseconds up to ten minutes.
fn micros_histogram() -> Histogram<u64> {
    const MAX_MICROS: u64 = 600_000_000;
    let mut histogram = Histogram::new_with_bounds(1, MAX_MICROS, SIGNIFICANT_DIGITS);
    if let Ok(histogram) = &mut histogram {
        histogram.auto(false);
    }
    histogram.unwrap_or_else(|_| unreachable!("the bounds are constant and valid"))
}

/// The task that sums samples, checks the guard and reports to the keeper.
struct ArmsTask {
    box_id: BoxId,
    zone: ZoneId,
    /// Sums since the revision came into force.
    totals: HashMap<ArmName, Window>,
    snapshots: watch::Receiver<Arc<Snapshot>>,
    keeper: KeeperLink,
    revision: Revision,
    current: HashMap<ArmName, Window>,
    previous: HashMap<ArmName, Window>,
}

impl ArmsTask {
    async fn run(mut self, mut rx: mpsc::Receiver<Sample>) {
        let mut check = tokio::time::interval(CHECK_INTERVAL);
        let mut rotate = tokio::time::interval(WINDOW_LEN);
        let mut report = tokio::time::interval(REPORT_INTERVAL);
        loop {
            tokio::select! {
                sample = rx.recv() => match sample {
                    Some(sample) => self.count(sample),
                    None => return,
                },
                _ = check.tick() => self.check_guard(),
                _ = report.tick() => self.report(),
                _ = rotate.tick() => self.previous = std::mem::take(&mut self.current),
            }
        }
    }

    fn count(&mut self, sample: Sample) {
        if sample.revision > self.revision {
            self.revision = sample.revision;
            self.current.clear();
            self.previous.clear();
            self.totals.clear();
        }
        if sample.revision < self.revision {
            return;
        }
        let completed = sample.completed.as_ref();
        self.totals
            .entry(sample.arm.clone())
            .or_default()
            .count(completed);
        self.current.entry(sample.arm).or_default().count(completed);
    }

    /// Reports the sums since the revision came into force to the keeper.
    fn report(&self) {
        if self.totals.is_empty() {
            return;
        }
        let figures = self.totals.iter().map(|(arm, window)| ArmFigures {
            by: self.box_id.clone(),
            zone: self.zone.clone(),
            revision: self.revision,
            arm: arm.clone(),
            first_tokens: window
                .first_tokens
                .iter_recorded()
                .map(|value| (value.value_iterated_to(), value.count_at_value()))
                .collect(),
            failed: u64::from(window.failed),
            computed: window.computed,
            link_bytes: window.link_bytes,
        });
        self.keeper.report(Report::Arms(figures.collect()));
    }

    /// Returns an arm's sample over the current and the previous window.
    fn sample(&self, arm: &ArmName) -> ArmSample {
        let mut all = micros_histogram();
        let mut failed = 0;
        for window in [self.current.get(arm), self.previous.get(arm)]
            .into_iter()
            .flatten()
        {
            let _ = all.add(&window.first_tokens);
            failed += window.failed;
        }
        ArmSample {
            answered: all.len() as u32,
            failed,
            first_token_p95: Duration::from_micros(all.value_at_quantile(0.95)),
        }
    }

    /// Reports the arms that breach the guard of the bundle in force.
    fn check_guard(&self) {
        let snapshot = self.snapshots.borrow().clone();
        let Some(in_force) = snapshot.in_force.as_ref() else {
            return;
        };
        let Ok(control) = CONTROL_ARM.parse() else {
            return;
        };
        if in_force.revision != self.revision || in_force.bundle.arms.is_empty() {
            return;
        }
        let control = self.sample(&control);
        for arm in &in_force.bundle.arms {
            if in_force.stopped.contains(&arm.name) {
                continue;
            }
            let sample = self.sample(&arm.name);
            if let Some(breach) = in_force.bundle.guard.breach(&sample, &control) {
                let report = Report::StopArm(self.revision, arm.name.clone(), breach);
                self.keeper.report(report);
            }
        }
    }
}
