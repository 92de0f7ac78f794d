//! The number of stream engines of a zone: it rises immediately and falls slowly.
//!
//! An engine that leaves the stream engines gets long prompts at once, and when it is needed again, new streams wait
//! until those are prefilled. So the number stays at the highest demand of the last seconds.

use super::ZoneDemand;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// Time for which the demand must have been lower before the number falls.
const FALL_DELAY: Duration = Duration::from_secs(2);

/// Time between two steps by which the number falls.
const FALL_INTERVAL: Duration = Duration::from_millis(500);

/// Time over which the growth of the demand is measured, and for which there is headroom.
const GROWTH_TIME: Duration = Duration::from_secs(1);

/// Shortest time over which a growth is measured; shorter ones are mostly noise.
const MIN_GROWTH_TIME: Duration = Duration::from_millis(400);

/// Time between two samples of the demand.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// Least headroom as a part of the demand. Load that varies by a third over some ten seconds grows by a fifth in a
/// second at most.
const MIN_HEADROOM: f64 = 0.1;

/// Largest headroom as a part of the demand. Streams live for a second or more, so a load that doubles at once adds at
/// most as many in a second. A larger growth is seen by a box that receives its first reports.
const MAX_HEADROOM: f64 = 1.0;

/// The number of stream engines of a zone.
#[derive(Debug, Default)]
pub struct ZoneCount {
    count: usize,
    /// When the number falls next, unless the demand rises before.
    next_fall: Option<Instant>,
    /// Streams in flight in the last second.
    samples: VecDeque<(Instant, f64)>,
}

impl ZoneCount {
    /// Returns the number of stream engines at the last update.
    pub fn count(&self) -> usize {
        self.count
    }

    /// Updates the number and returns it.
    pub fn update(&mut self, demand: &ZoneDemand, now: Instant) -> usize {
        // Streams start and end at random, which alone makes their number differ by about its square root.
        let growth = self.growth(demand.streams, now) - demand.streams.sqrt();
        let headroom = growth.clamp(demand.streams * MIN_HEADROOM, demand.streams * MAX_HEADROOM);
        let needed = demand.needed(headroom);
        // Fewer engines can be used: the others leave immediately.
        self.count = self.count.min(demand.usable.saturating_sub(1));
        if needed >= self.count {
            self.count = needed;
            self.next_fall = None;
            return self.count;
        }
        let mut next_fall = self.next_fall.unwrap_or(now + FALL_DELAY);
        while next_fall <= now && self.count > needed {
            self.count -= 1;
            next_fall += FALL_INTERVAL;
        }
        self.next_fall = Some(next_fall);
        self.count
    }

    /// Records the streams in flight and returns by how many they grow in a second.
    fn growth(&mut self, streams: f64, now: Instant) -> f64 {
        let last = self.samples.back();
        if last.is_none_or(|(at, _)| now - *at >= SAMPLE_INTERVAL) {
            self.samples.push_back((now, streams));
        }
        while self.samples.len() > 2 && now - self.samples[1].0 >= GROWTH_TIME {
            self.samples.pop_front();
        }
        let Some((at, before)) = self.samples.front() else {
            return 0.0;
        };
        let time = now - *at;
        if time < MIN_GROWTH_TIME {
            return 0.0;
        }
        (streams - before).max(0.0) * GROWTH_TIME.as_secs_f64() / time.as_secs_f64()
    }
}
