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
const MEAN_RUN_WEIGHT: f64 = 0.1;

/// Initial value of the average run time.
const INITIAL_MEAN_RUN: Duration = Duration::from_secs(1);

/// Time for which an engine is in cooldown after a failed request.
const COOLDOWN: Duration = Duration::from_secs(1);

/// The estimate for one engine.
#[derive(Debug)]
pub struct Backlog {
    /// Estimated time to process the prompts that wait at the engine, at `updated_at`.
    queued_work: Duration,
    updated_at: Instant,
    /// Sequence number of the last load report applied.
    sequence: Option<u64>,
    /// Time and work of the requests sent within `REPORT_LAG`.
    recent_sends: VecDeque<(Instant, Duration)>,
    /// Requests sent by this entry that have not ended.
    in_flight: u32,
    /// Moving average of the time from sending a request to its end.
    mean_run: Duration,
    cooldown_until: Option<Instant>,
}

impl Backlog {
    pub fn new(now: Instant) -> Self {
        Self {
            queued_work: Duration::ZERO,
            updated_at: now,
            sequence: None,
            recent_sends: VecDeque::new(),
            in_flight: 0,
            mean_run: INITIAL_MEAN_RUN,
            cooldown_until: None,
        }
    }

    /// Subtracts the time since the last update from the queued work.
    fn advance(&mut self, now: Instant) {
        self.queued_work = self.queued_work.saturating_sub(now - self.updated_at);
        self.updated_at = now;
        while self
            .recent_sends
            .front()
            .is_some_and(|(at, _)| now - *at > REPORT_LAG)
        {
            self.recent_sends.pop_front();
        }
    }

    /// Applies a load report, unless it was applied before.
    pub fn apply_report(&mut self, load: &LoadReport, now: Instant) {
        if self.sequence == Some(load.sequence) {
            return;
        }
        self.sequence = Some(load.sequence);
        self.advance(now);
        let blocks = load.waiting_tokens.0.div_ceil(BLOCK_TOKENS);
        let reported = Duration::from_micros(blocks * load.block_micros);
        self.queued_work = reported
            + self
                .recent_sends
                .iter()
                .map(|(_, work)| *work)
                .sum::<Duration>();
    }

    /// Adds a request that was sent and takes `work` to process.
    pub fn add_sent(&mut self, work: Duration, now: Instant) {
        self.advance(now);
        self.queued_work += work;
        self.recent_sends.push_back((now, work));
        self.in_flight += 1;
    }

    /// Records that a request ended after `duration`.
    pub fn record_ended(&mut self, duration: Duration, completed: bool, now: Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if completed {
            self.mean_run =
                self.mean_run.mul_f64(1.0 - MEAN_RUN_WEIGHT) + duration.mul_f64(MEAN_RUN_WEIGHT);
        } else {
            self.cooldown_until = Some(now + COOLDOWN);
        }
    }

    /// Returns whether a request failed within the cooldown time.
    pub fn in_cooldown(&self, now: Instant) -> bool {
        self.cooldown_until.is_some_and(|until| until > now)
    }

    /// Returns the wait of a request sent now: the time to process the prompts before it, and the
    /// wait for a slot if all slots are taken.
    pub fn estimate_wait(&mut self, load: &LoadReport, now: Instant) -> Duration {
        self.advance(now);
        let unreported = self.recent_sends.len() as u32;
        let present = (load.running + load.waiting + unreported).max(self.in_flight);
        let excess = (present + 1).saturating_sub(load.slots.max(1));
        let slots = load.slots.max(1);
        let slot_wait = self.mean_run.mul_f64(f64::from(excess) / f64::from(slots));
        if load.slots == 0 {
            return self.queued_work;
        }
        self.queued_work + slot_wait
    }
}
