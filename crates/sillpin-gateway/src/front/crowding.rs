//! Whether this box gets many times its usual share of new connections and its thread cannot keep up with them.
//!
//! The platform chooses a box for each new connection and may choose the same one for most of a zone. Such a box says that it is not
//! ready, so that the platform hands new connections to others; it goes on serving the connections that it has.

use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// Time over which rates are measured.
const WINDOW: Duration = Duration::from_millis(500);

/// Time after its first connection for which a box learns its usual rate of new ones before it judges one.
const MIN_HISTORY: Duration = Duration::from_secs(10);

/// Time over which the usual rate is averaged.
const USUAL_TIME: Duration = Duration::from_secs(30);

/// New connections a second that count as usual at least.
const MIN_USUAL: f64 = 5.0;

/// Multiple of the usual rate from which a rate is unusual.
const UNUSUAL_FACTOR: f64 = 4.0;

/// Time for which the rate has to be unusual: callers whose connections were reset open new ones within less.
const SUSTAINED_TIME: Duration = Duration::from_millis(600);

/// Shares of the thread's time in use from which requests wait for it, and below which they do not.
const BUSY_SHARE: f64 = 0.4;
const CALM_SHARE: f64 = 0.3;

/// Time for which a box stays crowded at least, since the platform may choose it again at once, and for which it must have been calm
/// by then.
const MIN_CROWDED: Duration = Duration::from_secs(15);
const MIN_CALM: Duration = Duration::from_secs(1);

/// Totals since the process started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sample {
    /// When they were read.
    pub at: Instant,
    /// Connections of callers that were opened.
    pub opened: u64,
    /// Time for which the thread was in use.
    pub busy: Duration,
}

/// Rates over the window.
struct Rates {
    /// New connections a second.
    opened: f64,
    /// Share of the thread's time in use.
    busy: f64,
    /// Time since the sample before.
    since_last: Duration,
}

/// State of one box.
#[derive(Debug, Default)]
pub struct Crowding {
    /// When the first connection was known.
    started: Option<Instant>,
    window: VecDeque<Sample>,
    /// Usual new connections a second.
    usual: f64,
    /// Time over which that was averaged.
    learned: Duration,
    /// Since when the rate is unusual and the thread busy.
    unusual_since: Option<Instant>,
    /// Since when the box is crowded.
    since: Option<Instant>,
    calm_since: Option<Instant>,
}

impl Crowding {
    /// Adds a sample, and returns whether the box is crowded.
    pub fn update(&mut self, sample: Sample) -> bool {
        if self.started.is_none() && sample.opened > 0 {
            self.started = Some(sample.at);
        }
        if let Some(rates) = self.measure(sample) {
            self.judge(&rates, sample.at);
        }
        self.since.is_some()
    }

    /// Adds a sample to the window, and returns the rates over it once it is full.
    fn measure(&mut self, sample: Sample) -> Option<Rates> {
        let now = sample.at;
        while self.window.len() > 1 && now - self.window[1].at >= WINDOW {
            self.window.pop_front();
        }
        let oldest = self.window.front().copied();
        let last = self.window.back().map_or(now, |last| last.at);
        self.window.push_back(sample);
        let oldest = oldest.filter(|oldest| now - oldest.at >= WINDOW)?;
        let elapsed = (now - oldest.at).as_secs_f64();
        Some(Rates {
            opened: (sample.opened - oldest.opened) as f64 / elapsed,
            busy: sample.busy.saturating_sub(oldest.busy).as_secs_f64() / elapsed,
            since_last: now - last,
        })
    }

    fn judge(&mut self, rates: &Rates, now: Instant) {
        match self.since {
            Some(since) => self.end_if_calm(rates.busy, since, now),
            None if self.is_unusual(rates, now) => self.begin_if_sustained(now),
            None => {
                self.unusual_since = None;
                self.learn(rates);
            }
        }
    }

    /// Usual new connections a second.
    pub fn usual(&self) -> f64 {
        self.usual
    }

    fn is_unusual(&self, rates: &Rates, now: Instant) -> bool {
        let has_history = self.started.is_some_and(|at| now - at >= MIN_HISTORY);
        let is_unusual = rates.opened >= UNUSUAL_FACTOR * self.usual.max(MIN_USUAL);
        has_history && is_unusual && rates.busy >= BUSY_SHARE
    }

    fn begin_if_sustained(&mut self, now: Instant) {
        let unusual_since = *self.unusual_since.get_or_insert(now);
        if now - unusual_since >= SUSTAINED_TIME {
            self.since = Some(now);
            self.unusual_since = None;
        }
    }

    fn learn(&mut self, rates: &Rates) {
        let elapsed = rates.since_last;
        if self.started.is_none() || elapsed.is_zero() {
            return;
        }
        self.learned = (self.learned + elapsed).min(USUAL_TIME);
        let part = elapsed.div_duration_f64(self.learned);
        self.usual += (rates.opened - self.usual) * part;
    }

    fn end_if_calm(&mut self, busy: f64, since: Instant, now: Instant) {
        if busy >= CALM_SHARE {
            self.calm_since = None;
            return;
        }
        let calm_since = *self.calm_since.get_or_insert(now);
        if now - calm_since >= MIN_CALM && now - since >= MIN_CROWDED {
            self.since = None;
            self.calm_since = None;
        }
    }
}
