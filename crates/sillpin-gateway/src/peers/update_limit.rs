//! Limits the updates of work within a zone.
//!
//! Each update goes to all boxes of the zone, so their number grows with the zone's boxes and its
//! requests. A box spaces its updates so that the limit holds. If updates have to wait for so long
//! that periodic reports are as good, or if more arrive than the limit, the box stops sending them
//! for some time.

use std::time::Duration;
use tokio::time::Instant;

/// Number of datagrams that a box sends, and receives, per second.
pub const MAX_DATAGRAMS: f64 = 600.0;

/// Bytes of datagrams that a box sends, and receives, per second.
pub const MAX_BYTES: f64 = 12_000.0;

/// Part of the limit that may be used at once; the rest is available evenly over time. Both together
/// are the limit of any second.
const BURST_SHARE: f64 = 0.2;

/// Longest wait of updates at which the zone counts as fresh. Boxes consider all engines of a fresh
/// zone, and with older data many of them choose the same one.
const MAX_WAIT: Duration = Duration::from_millis(50);

/// Time for which all updates wait longer than that before the box stops: longer than a few requests
/// that arrive together. In a zone of 60 boxes at 0.8 times its capacity, 15 in 100 of what is
/// served in time was lost with 1 s.
const LATE_TIME: Duration = Duration::from_millis(200);

/// A box resumes only if its changes, sent without waits, would take less than this part of the
/// limit.
const RESUME_SHARE: f64 = 0.75;

/// Time for which received datagrams are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Shortest time for which a box stops sending.
const MIN_PAUSE: Duration = Duration::from_secs(5);

/// Longest time for which a box stops sending. The time is doubled whenever the box has to stop
/// again soon.
const MAX_PAUSE: Duration = Duration::from_secs(80);

/// Time without a stop after which the next pause is short again.
const STABLE_TIME: Duration = Duration::from_secs(30);

/// Amounts that a box may still send.
#[derive(Debug)]
struct Budget {
    datagrams: f64,
    bytes: f64,
    at: Option<Instant>,
}

impl Budget {
    const FULL: Self = Self {
        datagrams: MAX_DATAGRAMS * BURST_SHARE,
        bytes: MAX_BYTES * BURST_SHARE,
        at: None,
    };

    fn refill(&mut self, now: Instant) {
        let elapsed = self.at.map_or(Duration::ZERO, |at| now - at).as_secs_f64();
        let part = elapsed * (1.0 - BURST_SHARE);
        self.datagrams = (self.datagrams + MAX_DATAGRAMS * part).min(Self::FULL.datagrams);
        self.bytes = (self.bytes + MAX_BYTES * part).min(Self::FULL.bytes);
        self.at = Some(now);
    }

    /// Returns when an update to `peers` boxes may be sent. Its length is not known yet, so an update
    /// may exceed the budget of bytes, and the following ones wait for longer.
    fn ready_at(&mut self, peers: usize, now: Instant) -> Instant {
        self.refill(now);
        let needed = (peers as f64).min(Self::FULL.datagrams);
        let datagrams = (needed - self.datagrams) / MAX_DATAGRAMS;
        let bytes = -self.bytes / MAX_BYTES;
        let wait = datagrams.max(bytes).max(0.0) / (1.0 - BURST_SHARE);
        now + Duration::from_secs_f64(wait)
    }

    fn take(&mut self, datagrams: usize, bytes: usize, now: Instant) {
        self.refill(now);
        self.datagrams -= datagrams as f64;
        self.bytes -= bytes as f64;
    }
}

/// Counts in the current window.
#[derive(Debug, Default)]
struct WindowCount {
    start: Option<Instant>,
    datagrams: u32,
    bytes: usize,
}

impl WindowCount {
    fn add(&mut self, bytes: usize, now: Instant) {
        if self.start.is_none_or(|start| now - start >= WINDOW) {
            *self = Self {
                start: Some(now),
                ..Self::default()
            };
        }
        self.datagrams += 1;
        self.bytes += bytes;
    }

    fn exceeds_limit(&self) -> bool {
        f64::from(self.datagrams) > MAX_DATAGRAMS || self.bytes as f64 > MAX_BYTES
    }
}

/// Why a box stopped or resumed sending updates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Switch {
    /// Its updates waited for too long because of the limit.
    StoppedSending,
    /// It received more than the limit.
    StoppedReceiving,
    /// It resumes after a pause.
    Resumed,
}

impl Switch {
    /// Returns a text for the log.
    pub fn reason(self) -> &'static str {
        match self {
            Switch::StoppedSending => "stopped: more changes than the limit allows to send",
            Switch::StoppedReceiving => "stopped: more updates received than the limit",
            Switch::Resumed => "resumed",
        }
    }
}

/// Decides when updates may be sent, and whether they are sent at all.
#[derive(Debug)]
pub struct UpdateLimit {
    budget: Budget,
    received: WindowCount,
    /// Since when all updates have waited for too long.
    late_since: Option<Instant>,
    /// The end of the pause, while the box has stopped.
    stopped_until: Option<Instant>,
    /// Start of the pause or of its last extension, and the datagrams that would have been sent since.
    demand: Option<(Instant, usize)>,
    /// Datagrams sent so far, and their bytes.
    sent: (usize, usize),
    resumed: Option<Instant>,
    pause: Duration,
}

impl Default for UpdateLimit {
    fn default() -> Self {
        Self {
            budget: Budget::FULL,
            received: WindowCount::default(),
            late_since: None,
            stopped_until: None,
            demand: None,
            sent: (0, 0),
            resumed: None,
            pause: MIN_PAUSE,
        }
    }
}

impl UpdateLimit {
    /// Returns whether the box sends updates.
    pub fn is_sending(&self) -> bool {
        self.stopped_until.is_none()
    }

    /// Returns when the next update to `peers` boxes may be sent.
    pub fn ready_at(&mut self, peers: usize, now: Instant) -> Instant {
        self.budget.ready_at(peers, now)
    }

    /// Records datagrams that were sent, with their bytes in all.
    pub fn record_sent(&mut self, datagrams: usize, bytes: usize, now: Instant) {
        self.budget.take(datagrams, bytes, now);
        self.sent.0 += datagrams;
        self.sent.1 += bytes;
    }

    /// Records datagrams that would have been sent if the box had not stopped.
    pub fn record_unsent(&mut self, datagrams: usize) {
        if let Some((_, unsent)) = &mut self.demand {
            *unsent += datagrams;
        }
    }

    /// Returns whether the changes since the pause began would have taken little of the limit.
    fn is_demand_low(&self, now: Instant) -> bool {
        let Some((since, unsent)) = self.demand else {
            return true;
        };
        let per_s = unsent as f64 / (now - since).as_secs_f64().max(1.0);
        let mean_len = self.sent.1 as f64 / self.sent.0.max(1) as f64;
        per_s < RESUME_SHARE * MAX_DATAGRAMS && per_s * mean_len < RESUME_SHARE * MAX_BYTES
    }

    /// Records for how long changes waited before they were sent.
    pub fn record_wait(&mut self, wait: Duration, now: Instant) {
        match wait > MAX_WAIT {
            true => self.late_since = self.late_since.or(Some(now)),
            false => self.late_since = None,
        }
    }

    /// Records a received datagram.
    pub fn record_received(&mut self, bytes: usize, now: Instant) {
        self.received.add(bytes, now);
    }

    /// Stops or resumes, if it is time to.
    pub fn switch(&mut self, now: Instant) -> Option<Switch> {
        if let Some(until) = self.stopped_until {
            if now < until {
                return None;
            }
            if !self.is_demand_low(now) {
                self.stopped_until = Some(now + self.pause);
                self.demand = Some((now, 0));
                return None;
            }
            self.stopped_until = None;
            self.demand = None;
            self.resumed = Some(now);
            self.late_since = None;
            self.received = WindowCount::default();
            return Some(Switch::Resumed);
        }
        let is_late = self
            .late_since
            .is_some_and(|since| now - since >= LATE_TIME);
        let switch = match (is_late, self.received.exceeds_limit()) {
            (true, _) => Switch::StoppedSending,
            (false, true) => Switch::StoppedReceiving,
            (false, false) => return None,
        };
        self.pause = match self.resumed {
            Some(resumed) if now - resumed < STABLE_TIME => (self.pause * 2).min(MAX_PAUSE),
            _ => MIN_PAUSE,
        };
        self.stopped_until = Some(now + self.pause);
        self.demand = Some((now, 0));
        Some(switch)
    }
}
