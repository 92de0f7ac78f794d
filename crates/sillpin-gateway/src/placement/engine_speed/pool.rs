//! Speed of the engines of one pool, from this box's measurements and those of other boxes.

use super::line::{Fit, Samples};
use super::{PoolSpeed, PrefillRate};
use crate::placement::work::Work;
use std::time::Duration;
use tokio::time::Instant;

/// Weight of the prior rate, in samples.
const PRIOR_WEIGHT: f64 = 1.0;

/// Largest factor between the prior and a learned rate: a wrong estimate may place prompts badly, but
/// must not make all of them seem late.
const MAX_RATE_FACTOR: f64 = 4.0;

/// Limit of the fixed time to the first event that is learned, in milliseconds.
const MAX_START_MS: f64 = 500.0;

/// Evidence, in samples, from which times of single engines are compared with the pool's.
const MIN_KNOWN_WEIGHT: f64 = 4.0;

/// Time for which the rates of other boxes are used before they are looked up again.
const PEER_REFRESH: Duration = Duration::from_millis(250);

/// Time for which a box shares its last measurement.
const SHARED_TIME: Duration = Duration::from_secs(120);

/// Smallest part of a pool's slots that can be its comfortable batch. Prefill for concurrent prompts
/// lengthens pauses as well, so the measured growth is an upper bound.
const MIN_BATCH_SHARE: f64 = 0.25;

/// Factor by which a token may take longer in a comfortable batch than in a batch of one.
const COMFORTABLE_FACTOR: f64 = 2.0;

/// Measurements of one pool.
#[derive(Debug)]
pub struct Pool {
    /// Times to the first event by prompt tokens.
    starts: Samples,
    start_fit: Fit,
    /// Pauses between events by concurrent requests.
    paces: Samples,
    pace_fit: Fit,
    /// Sums of other boxes: time, tokens and number of samples.
    peers: Work,
    peers_at: Option<Instant>,
    used_at: Instant,
}

impl Pool {
    /// Creates a pool without measurements.
    pub fn new(now: Instant) -> Self {
        Self {
            starts: Samples::new(1.0, 2.0),
            start_fit: Fit::default(),
            paces: Samples::new(2.0, 1.5),
            pace_fit: Fit::default(),
            peers: Work::default(),
            peers_at: None,
            used_at: now,
        }
    }

    /// Records the time from sending a prompt to its first event.
    pub fn record_start(&mut self, tokens: f64, ms: f64, now: Instant) {
        self.start_fit = self.starts.record(tokens, ms, now);
        self.used_at = now;
    }

    /// Records the mean pause between a stream's events and the concurrent requests.
    pub fn record_pace(&mut self, batch: f64, pause_ms: f64, now: Instant) {
        self.pace_fit = self.paces.record(batch, pause_ms, now);
        self.used_at = now;
    }

    /// Returns whether the rates of other boxes are to be looked up.
    pub fn needs_peers(&self, now: Instant) -> bool {
        self.peers_at.is_none_or(|at| now - at >= PEER_REFRESH)
    }

    /// Stores the sums of other boxes.
    pub fn set_peers(&mut self, sums: Work, now: Instant) {
        let is_usable = sums.prefill_ms >= 1.0 && sums.tokens >= 1.0;
        self.peers = if is_usable { sums } else { Work::default() };
        self.peers_at = Some(now);
        self.used_at = now;
    }

    /// Returns the time at which the pool was last used.
    pub fn used_at(&self) -> Instant {
        self.used_at
    }

    /// Returns the rate that this box measured, with its evidence in samples.
    fn own_rate(&self, now: Instant) -> Option<(f64, f64)> {
        let slope = self.start_fit.slope?;
        let weight = self.start_fit.slope_weight(now);
        Some((bounded_rate(1.0 / slope.max(f64::MIN_POSITIVE)), weight))
    }

    /// Returns the rate that other boxes measured, with its evidence in samples.
    fn peer_rate(&self) -> Option<(f64, f64)> {
        let is_known = self.peers.requests > 0.0;
        is_known.then(|| {
            let rate = self.peers.tokens / self.peers.prefill_ms;
            (bounded_rate(rate), self.peers.requests)
        })
    }

    /// Returns the evidence for the prefill rate, in samples.
    fn rate_weight(&self, now: Instant) -> f64 {
        let rates = [self.own_rate(now), self.peer_rate()];
        rates.iter().flatten().map(|(_, weight)| weight).sum()
    }

    /// Returns whether enough is known to compare single engines with the pool.
    pub fn is_known(&self, now: Instant) -> bool {
        self.rate_weight(now) >= MIN_KNOWN_WEIGHT && self.start_fit.weight(now) >= MIN_KNOWN_WEIGHT
    }

    /// Returns this box's measurements for other boxes: time, tokens and number of samples. They
    /// change only with a new measurement, since each change causes a message.
    pub fn own_sums(&self, now: Instant) -> Option<Work> {
        let measured_at = self.start_fit.at?;
        if now - measured_at >= SHARED_TIME {
            return None;
        }
        let (rate, weight) = self.own_rate(measured_at)?;
        let longest = self.start_fit.points.last()?.size;
        let tokens = longest * weight;
        Some(Work {
            prefill_ms: tokens / rate,
            tokens,
            requests: weight,
        })
    }

    /// Returns the estimated speed.
    pub fn speed(&self, now: Instant) -> PoolSpeed {
        let rate = self.rate(now);
        PoolSpeed {
            rate: PrefillRate(rate),
            start_ms: self.start_ms(rate, now),
        }
    }

    /// Returns the mean of all rates by evidence. The mean is geometric, since rates differ by factors.
    fn rate(&self, now: Instant) -> f64 {
        let prior = PrefillRate::PRIOR.0;
        let (mut sum, mut total) = (0.0, PRIOR_WEIGHT);
        for (rate, weight) in [self.own_rate(now), self.peer_rate()].into_iter().flatten() {
            sum += (rate / prior).ln() * weight;
            total += weight;
        }
        let rate = prior * (sum / total).exp();
        match self.start_fit.slope {
            Some(_) => rate,
            None => rate.max(self.least_rate(now)),
        }
    }

    /// Returns the least rate at which prompts of one length can have started as early as they did.
    fn least_rate(&self, now: Instant) -> f64 {
        let longest = self.start_fit.points.last();
        let rate = longest.map_or(0.0, |point| point.size / point.ms.max(f64::MIN_POSITIVE));
        bounded_rate(rate) * confidence(self.start_fit.weight(now))
    }

    /// Returns the fixed time to the first event, given the prefill rate.
    fn start_ms(&self, rate: f64, now: Instant) -> f64 {
        let fixed = self.start_fit.intercept(1.0 / rate).unwrap_or(0.0);
        fixed.clamp(0.0, MAX_START_MS) * confidence(self.start_fit.weight(now))
    }

    /// Returns the largest batch at which a token takes at most twice as long as in a batch of one.
    pub fn comfortable_batch(&self, slots: u32) -> u32 {
        let Some(slope) = self.pace_fit.slope.filter(|slope| *slope > 0.0) else {
            return slots;
        };
        let fixed = self.pace_fit.intercept(slope).unwrap_or(0.0).max(0.0);
        // From fixed + slope * batch = COMFORTABLE_FACTOR * (fixed + slope).
        let batch = COMFORTABLE_FACTOR + (COMFORTABLE_FACTOR - 1.0) * fixed / slope;
        let least = (f64::from(slots) * MIN_BATCH_SHARE).ceil();
        batch.max(least).min(f64::from(slots)) as u32
    }
}

fn confidence(weight: f64) -> f64 {
    weight / (weight + PRIOR_WEIGHT)
}

fn bounded_rate(rate: f64) -> f64 {
    let prior = PrefillRate::PRIOR.0;
    rate.clamp(prior / MAX_RATE_FACTOR, prior * MAX_RATE_FACTOR)
}
