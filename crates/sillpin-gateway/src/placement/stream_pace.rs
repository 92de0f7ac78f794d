//! Learns how long engines of a pool take per generated token, from streams that were complete.
//!
//! The number of generated tokens is not known, so half of the maximum is assumed, as in the
//! estimates that use the pace. Streams that their deadline ended are not included, which makes the
//! pace faster than it is: estimates err on the side of serving a request.

use sillpin_core::{PoolId, Tokens};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

/// Number of streams that the pace is learned from. The median of these is used: streams that stall
/// or end early change it little.
const MAX_SAMPLES: usize = 63;

/// Number of streams from which the pace counts as known.
const MIN_SAMPLES: usize = 8;

/// Age after which a stream tells nothing about the current load.
const MAX_AGE: Duration = Duration::from_secs(10);

/// Paces of pools.
#[derive(Debug, Default)]
pub struct StreamPaces {
    pools: HashMap<PoolId, VecDeque<(Instant, Duration)>>,
}

/// Returns the number of tokens that a response is expected to have.
pub fn expected_output(max_output: Tokens) -> f64 {
    max_output.0 as f64 / 2.0
}

impl StreamPaces {
    /// Records a complete stream whose events came within `time`.
    pub fn record(&mut self, pool: &PoolId, max_output: Tokens, time: Duration, now: Instant) {
        let tokens = expected_output(max_output);
        if tokens < 1.0 {
            return;
        }
        let samples = self.pools.entry(pool.clone()).or_default();
        if samples.len() >= MAX_SAMPLES {
            samples.pop_front();
        }
        samples.push_back((now, time.div_f64(tokens)));
    }

    /// Returns the time per generated token; `None` if too little is known.
    pub fn per_token(&self, pool: &PoolId, now: Instant) -> Option<Duration> {
        let samples = self.pools.get(pool)?;
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < MAX_AGE;
        let recent = samples.iter().filter(|(at, _)| is_recent(at));
        let mut paces: Vec<Duration> = recent.map(|(_, pace)| *pace).collect();
        if paces.len() < MIN_SAMPLES {
            return None;
        }
        let middle = paces.len() / 2;
        let (_, median, _) = paces.select_nth_unstable(middle);
        Some(*median)
    }
}
