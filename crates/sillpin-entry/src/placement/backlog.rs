//! Estimates how long a request sent now would wait at an engine.
//!
//! Load reports lag and are read only at intervals. Between two reports the estimate decreases as
//! time passes and increases with what this entry sends. A new report replaces the estimate;
//! requests sent within the usual lag of reports are added, because the report does not include
//! them yet.

use sillpin_core::LoadReport;
use sillpin_core::block::BLOCK_TOKENS;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// Requests sent less than this time ago are assumed to be missing from a new report.
const REPORT_LAG: Duration = Duration::from_millis(700);

/// Weight of the newest run in the moving average of run times.
const RUN_WEIGHT: f64 = 0.1;

/// Initial value of the average run time.
const FIRST_RUN: Duration = Duration::from_secs(1);

/// Time for which an engine is in cooldown after a failed request.
const REST: Duration = Duration::from_secs(1);

/// The estimate for one engine.
#[derive(Debug)]
pub struct Backlog {
    work: Duration,
    at: Instant,
    sequence: Option<u64>,
    sent: VecDeque<(Instant, Duration)>,
    in_flight: u32,
    mean_run: Duration,
    rest_until: Option<Instant>,
}

impl Backlog {
    pub fn new(now: Instant) -> Self {
        Self {
            work: Duration::ZERO,
            at: now,
            sequence: None,
            sent: VecDeque::new(),
            in_flight: 0,
            mean_run: FIRST_RUN,
            rest_until: None,
        }
    }

    fn decay(&mut self, now: Instant) {
        self.work = self.work.saturating_sub(now - self.at);
        self.at = now;
        while self
            .sent
            .front()
            .is_some_and(|(at, _)| now - *at > REPORT_LAG)
        {
            self.sent.pop_front();
        }
    }

    /// Applies a load report, unless it was applied before.
    pub fn report(&mut self, load: &LoadReport, now: Instant) {
        if self.sequence == Some(load.sequence) {
            return;
        }
        self.sequence = Some(load.sequence);
        self.decay(now);
        let blocks = load.waiting_tokens.0.div_ceil(BLOCK_TOKENS);
        let reported = Duration::from_micros(blocks * load.block_micros);
        self.work = reported + self.sent.iter().map(|(_, work)| *work).sum::<Duration>();
    }

    /// Adds a request that was sent and takes `work` to process.
    pub fn sent(&mut self, work: Duration, now: Instant) {
        self.decay(now);
        self.work += work;
        self.sent.push_back((now, work));
        self.in_flight += 1;
    }

    /// Records that a request ended after `took`.
    pub fn done(&mut self, took: Duration, answered: bool, now: Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if answered {
            self.mean_run = self.mean_run.mul_f64(1.0 - RUN_WEIGHT) + took.mul_f64(RUN_WEIGHT);
        } else {
            self.rest_until = Some(now + REST);
        }
    }

    /// Returns whether a request failed within the cooldown time.
    pub fn is_resting(&self, now: Instant) -> bool {
        self.rest_until.is_some_and(|until| until > now)
    }

    /// Returns the wait of a request sent now: the time to process the prompts before it, and the
    /// wait for a slot if all slots are taken.
    pub fn wait(&mut self, load: &LoadReport, now: Instant) -> Duration {
        self.decay(now);
        let unseen = self.sent.len() as u32;
        let present = (load.running + load.waiting + unseen).max(self.in_flight);
        let beyond = (present + 1).saturating_sub(load.slots.max(1));
        let slots = load.slots.max(1);
        let for_slot = self.mean_run.mul_f64(f64::from(beyond) / f64::from(slots));
        if load.slots == 0 {
            return self.work;
        }
        self.work + for_slot
    }
}
