//! How long a request sent now would wait at an engine.
//!
//! Load reports lag and are read only now and then, so between two reports the estimate shrinks as
//! time passes and grows with what this entry sends itself. A new report replaces it, plus what was
//! sent within the reports' usual lag and so is not in it yet.

use sillpin_core::LoadReport;
use sillpin_core::block::BLOCK_TOKENS;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// Sends younger than this are taken as not yet in a report that has just come.
const REPORT_LAG: Duration = Duration::from_millis(700);

/// Weight of the newest run in the mean length of runs.
const RUN_WEIGHT: f64 = 0.1;

/// First guess of a run's length.
const FIRST_RUN: Duration = Duration::from_secs(1);

/// Failures after which an engine rests, and for how long.
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

    /// Takes in a report, if it is a new one.
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

    /// A request was sent that costs `work`.
    pub fn sent(&mut self, work: Duration, now: Instant) {
        self.decay(now);
        self.work += work;
        self.sent.push_back((now, work));
        self.in_flight += 1;
    }

    /// A request ended after `took`.
    pub fn done(&mut self, took: Duration, answered: bool, now: Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if answered {
            self.mean_run = self.mean_run.mul_f64(1.0 - RUN_WEIGHT) + took.mul_f64(RUN_WEIGHT);
        } else {
            self.rest_until = Some(now + REST);
        }
    }

    /// Whether it failed a moment ago.
    pub fn is_resting(&self, now: Instant) -> bool {
        self.rest_until.is_some_and(|until| until > now)
    }

    /// The wait of a request sent now: the prompt work before it, and the wait for a slot when all
    /// are taken.
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
