//! Limits the updates of work within a zone.
//!
//! Each update goes to all boxes of the zone, so their number grows with the zone's boxes and its
//! requests. A box spaces its updates so that the limit holds. If updates have to wait for so long
//! that periodic reports are as good, or if more arrive than the limit, the box stops sending them
//! for some time.

use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// What a box sends, and receives, per second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MaxRates {
    /// Number of datagrams.
    pub datagrams: f64,
    /// Their bytes, without headers of UDP and IP.
    pub bytes: f64,
}

/// The limit of a box. A zone of 10 or 30 boxes uses two thirds of the bytes on average; with less
/// at the peaks of its load, the larger one had to stop sending a third of the time.
pub const MAX_RATES: MaxRates = MaxRates {
    datagrams: 600.0,
    bytes: 28_000.0,
};

/// Length of an update about one engine, in bytes.
const UPDATE_LEN: usize = 33;

/// Largest number of complete lists within [`WINDOW`].
const LISTS_IN_WINDOW: usize = 6;

/// Part of what lists leave of the limit up to which ends of requests are sent by themselves. Beyond
/// it they wait for the next other update or list, so that prefill work does not have to wait.
const ENDS_SHARE: f64 = 0.5;

/// Longest wait of updates at which the zone counts as fresh. Boxes consider all engines of a fresh
/// zone, and with older data many of them choose the same one.
const MAX_WAIT: Duration = Duration::from_millis(50);

/// Time for which all updates wait longer than that before the box stops: longer than a few requests
/// that arrive together. In a zone of 60 boxes at 0.8 times its capacity, 15 in 100 of what is
/// served in time was lost with 1 s.
const LATE_TIME: Duration = Duration::from_millis(500);

/// A box resumes only if its changes, sent without waits, would take less than this part of the
/// limit.
const RESUME_SHARE: f64 = 0.75;

/// Time for which datagrams are counted. In a second a box has few requests, and their number varies
/// too much to compare it with the limit.
const WINDOW: Duration = Duration::from_secs(2);

/// Shortest time for which a box stops sending.
const MIN_PAUSE: Duration = Duration::from_secs(5);

/// Longest time for which a box stops sending. The time is doubled whenever the box has to stop
/// again soon.
const MAX_PAUSE: Duration = Duration::from_secs(80);

/// Time without a stop after which the next pause is short again.
const STABLE_TIME: Duration = Duration::from_secs(30);

/// What a box sent within the last [`WINDOW`].
#[derive(Debug)]
struct Sent {
    max: MaxRates,
    updates: VecDeque<(Instant, usize, usize)>,
    datagrams: usize,
    bytes: usize,
    /// Datagrams and bytes of the last complete list, which are set aside for the next ones.
    list: (usize, usize),
}

impl Sent {
    fn drop_old(&mut self, now: Instant) {
        while let Some((at, datagrams, bytes)) = self.updates.front().copied() {
            if now - at < WINDOW {
                break;
            }
            self.updates.pop_front();
            self.datagrams -= datagrams;
            self.bytes -= bytes;
        }
    }

    /// Returns when an update to `peers` boxes may be sent, if updates may take `share` of what lists
    /// leave of the limit.
    fn ready_at(&mut self, peers: usize, share: f64, now: Instant) -> Instant {
        self.drop_old(now);
        let (mut datagrams, mut bytes) = (self.datagrams, self.bytes);
        let left = |max: f64, list: usize| {
            (max * WINDOW.as_secs_f64() - (LISTS_IN_WINDOW * list) as f64) * share
        };
        let max_datagrams = left(self.max.datagrams, self.list.0);
        let max_bytes = left(self.max.bytes, self.list.1);
        let is_ready = |datagrams: usize, bytes: usize| {
            (datagrams + peers) as f64 <= max_datagrams
                && (bytes + peers * UPDATE_LEN) as f64 <= max_bytes
        };
        let mut ready = now;
        for (at, old_datagrams, old_bytes) in &self.updates {
            if is_ready(datagrams, bytes) {
                break;
            }
            datagrams -= old_datagrams;
            bytes -= old_bytes;
            ready = *at + WINDOW;
        }
        match is_ready(datagrams, bytes) {
            true => ready,
            false => now + WINDOW,
        }
    }

    fn add(&mut self, datagrams: usize, bytes: usize, now: Instant) {
        self.drop_old(now);
        self.updates.push_back((now, datagrams, bytes));
        self.datagrams += datagrams;
        self.bytes += bytes;
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

    fn exceeds(&self, max: MaxRates) -> bool {
        let seconds = WINDOW.as_secs_f64();
        f64::from(self.datagrams) > max.datagrams * seconds
            || self.bytes as f64 > max.bytes * seconds
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
    max: MaxRates,
    recent: Sent,
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
        Self::new(MAX_RATES)
    }
}

impl UpdateLimit {
    /// Creates the limit of a box that has sent nothing yet.
    pub fn new(max: MaxRates) -> Self {
        Self {
            max,
            recent: Sent {
                max,
                updates: VecDeque::new(),
                datagrams: 0,
                bytes: 0,
                list: (0, 0),
            },
            received: WindowCount::default(),
            late_since: None,
            stopped_until: None,
            demand: None,
            sent: (0, 0),
            resumed: None,
            pause: MIN_PAUSE,
        }
    }

    /// Returns whether the box sends updates.
    pub fn is_sending(&self) -> bool {
        self.stopped_until.is_none()
    }

    /// Returns when the next update to `peers` boxes about prefill work may be sent, and when one only
    /// about ends of requests.
    pub fn ready_at(&mut self, peers: usize, now: Instant) -> (Instant, Instant) {
        let immediate = self.recent.ready_at(peers, 1.0, now);
        (immediate, self.recent.ready_at(peers, ENDS_SHARE, now))
    }

    /// Records a complete list that was sent, with its bytes in all.
    pub fn record_list(&mut self, datagrams: usize, bytes: usize) {
        self.recent.list = (datagrams, bytes);
        self.count(datagrams, bytes);
    }

    /// Records an update that was sent, with its bytes in all.
    pub fn record_sent(&mut self, datagrams: usize, bytes: usize, now: Instant) {
        self.recent.add(datagrams, bytes, now);
        self.count(datagrams, bytes);
    }

    fn count(&mut self, datagrams: usize, bytes: usize) {
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
        let max = self.max;
        per_s < RESUME_SHARE * max.datagrams && per_s * mean_len < RESUME_SHARE * max.bytes
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

    /// Stops or resumes, if it is time to. `waiting_since` is when the earliest change was recorded that
    /// waits to be sent.
    pub fn switch(&mut self, waiting_since: Option<Instant>, now: Instant) -> Option<Switch> {
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
        let late_since = self
            .late_since
            .or(waiting_since.map(|since| since + MAX_WAIT));
        let is_late = late_since.is_some_and(|since| now >= since + LATE_TIME);
        let switch = match (is_late, self.received.exceeds(self.max)) {
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
