//! How much slower an engine is than the other engines of its pool.
//!
//! A single long time is most likely caused by a queue that this box does not know of. An engine
//! counts as slow only if all of its last few times are long, and as normal again after the first
//! normal one or when the observations have expired.

use super::line::weighted_quantile;
use crate::placement::decay::weight_left;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// Number of latest observations that must all be slow.
const RECENT_LEN: usize = 3;

/// Least number of recent observations from which an engine may count as slow.
const MIN_RECENT: usize = 2;

/// Time for which an observation counts as recent. An engine that counts as slow gets few prompts,
/// so there may be none that shows its recovery.
const RECENT_TIME: Duration = Duration::from_millis(2_500);

/// Ratio to the expected time from which an observation is slow. Smaller ratios are lasting
/// differences between engines and are averaged.
const SLOW_RATIO: f64 = 1.6;

/// Limit of the slowness that is learned.
const MAX_SLOWNESS: f64 = 4.0;

/// Number of observations from which a lasting difference is estimated.
const USUAL_LEN: usize = 16;

/// Half-life of these observations.
const USUAL_HALF_LIFE: Duration = Duration::from_secs(10);

/// Weight, in observations, of the assumption that an engine is as fast as its pool.
const PRIOR_WEIGHT: f64 = 2.0;

#[derive(Debug, Clone, Copy)]
struct Observation {
    at: Instant,
    ratio: f64,
}

/// Slowness of one incarnation of an engine.
#[derive(Debug, Default)]
pub struct Slowness {
    recent: VecDeque<Observation>,
    usual: VecDeque<Observation>,
}

impl Slowness {
    /// Records the ratio of a measured time to the time expected of the pool's engines.
    pub fn record(&mut self, ratio: f64, now: Instant) {
        let observation = Observation { at: now, ratio };
        push_bounded(&mut self.recent, observation, RECENT_LEN);
        if ratio < SLOW_RATIO {
            push_bounded(&mut self.usual, observation, USUAL_LEN);
        }
    }

    /// Returns the ratio of the engine's times to those of its pool.
    pub fn ratio(&self, now: Instant) -> f64 {
        self.recent_ratio(now)
            .filter(|ratio| *ratio >= SLOW_RATIO)
            .unwrap_or_else(|| self.usual_ratio(now))
            .min(MAX_SLOWNESS)
    }

    /// Returns the smallest ratio of the latest observations, if there are enough recent ones.
    fn recent_ratio(&self, now: Instant) -> Option<f64> {
        let is_recent = |o: &&Observation| now.saturating_duration_since(o.at) < RECENT_TIME;
        let recent = self.recent.iter().filter(is_recent);
        if recent.clone().count() < MIN_RECENT {
            return None;
        }
        recent.map(|o| o.ratio).reduce(f64::min)
    }

    /// Returns the lasting ratio.
    fn usual_ratio(&self, now: Instant) -> f64 {
        let weighted = |o: &Observation| (o.ratio, weight_left(o.at, now, USUAL_HALF_LIFE));
        let observed = self.usual.iter().map(weighted);
        let all = observed.chain([(1.0, PRIOR_WEIGHT)]).collect();
        let ratio = weighted_quantile(all, 0.5).unwrap_or(1.0);
        ratio.max(1.0 / SLOW_RATIO)
    }
}

fn push_bounded(observations: &mut VecDeque<Observation>, new: Observation, len: usize) {
    if observations.len() == len {
        observations.pop_front();
    }
    observations.push_back(new);
}
