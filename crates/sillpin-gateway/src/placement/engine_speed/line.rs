//! Robust fit of a line through samples of a size and a time.
//!
//! Samples are grouped by size. Each group is represented by quantiles, and the slope is a weighted
//! median of the slopes between groups. Neither is moved by a minority of wrong samples, and a
//! constant part of the times does not affect the slope.

use crate::placement::decay::weight_left;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

/// Time in which a sample loses half of its weight against newer ones of its group.
const SAMPLE_HALF_LIFE: Duration = Duration::from_secs(10);

/// Time in which the evidence of samples is halved while no new ones arrive. It is longer than
/// [`SAMPLE_HALF_LIFE`], because under overload no clean samples arrive for a while, and just then
/// the estimate is needed.
const EVIDENCE_HALF_LIFE: Duration = Duration::from_secs(60);

/// Samples older than this are removed.
const MAX_AGE: Duration = Duration::from_secs(300);

/// Number of samples kept in each group.
const GROUP_LEN: usize = 24;

/// Number of samples from which a group is used: fewer have no meaningful quantile.
const MIN_GROUP_LEN: usize = 5;

/// Quantile of times that represents a group. Below the median, because queueing that a box does not
/// know of makes more samples too long than cached prompts make samples too short.
const QUANTILE: f64 = 0.4;

#[derive(Debug, Clone, Copy)]
struct Sample {
    at: Instant,
    size: f64,
    ms: f64,
}

/// Samples, grouped by size.
#[derive(Debug)]
pub struct Samples {
    groups: BTreeMap<i32, VecDeque<Sample>>,
    /// Number of groups for each doubling of the size.
    groups_per_doubling: f64,
    /// Smallest ratio of the sizes of two groups between which a slope is measured.
    min_ratio: f64,
}

/// Representative of a group of samples.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Point {
    /// Typical size.
    pub size: f64,
    /// Typical time, in milliseconds.
    pub ms: f64,
    /// Evidence, in samples.
    pub weight: f64,
}

/// The fit of samples at one time.
#[derive(Debug, Clone, Default)]
pub struct Fit {
    /// The groups that have enough samples, by increasing size.
    pub points: Vec<Point>,
    /// Milliseconds for each unit of size; `None` if no two groups differ enough in size.
    pub slope: Option<f64>,
    /// When the fit was made; `None` without samples.
    pub at: Option<Instant>,
}

impl Samples {
    /// Creates an empty set of samples.
    pub fn new(groups_per_doubling: f64, min_ratio: f64) -> Self {
        Self {
            groups: BTreeMap::new(),
            groups_per_doubling,
            min_ratio,
        }
    }

    /// Adds a sample and returns the new fit.
    pub fn record(&mut self, size: f64, ms: f64, now: Instant) -> Fit {
        let group = (size.max(1.0).log2() * self.groups_per_doubling).floor() as i32;
        let samples = self.groups.entry(group).or_default();
        if samples.len() == GROUP_LEN {
            samples.pop_front();
        }
        samples.push_back(Sample { at: now, size, ms });
        self.groups.retain(|_, samples| {
            samples.retain(|sample| now - sample.at < MAX_AGE);
            !samples.is_empty()
        });
        self.fit(now)
    }

    fn fit(&self, now: Instant) -> Fit {
        let points: Vec<Point> = self
            .groups
            .values()
            .filter_map(|samples| point(samples, now))
            .collect();
        Fit {
            slope: slope(&points, self.min_ratio),
            points,
            at: Some(now),
        }
    }
}

impl Fit {
    /// Returns the evidence for the slope, in samples: those besides the largest group.
    pub fn slope_weight(&self, now: Instant) -> f64 {
        if self.slope.is_none() {
            return 0.0;
        }
        let weights = self.points.iter().map(|point| point.weight);
        let largest = weights.clone().fold(0.0, f64::max);
        (weights.sum::<f64>() - largest) * self.weight_left(now)
    }

    /// Returns the evidence of all groups, in samples.
    pub fn weight(&self, now: Instant) -> f64 {
        let weights = self.points.iter().map(|point| point.weight);
        weights.sum::<f64>() * self.weight_left(now)
    }

    /// Returns the time at size zero if each unit of size takes `slope` milliseconds.
    pub fn intercept(&self, slope: f64) -> Option<f64> {
        let rest = |point: &Point| (point.ms - point.size * slope, point.weight);
        weighted_quantile(self.points.iter().map(rest).collect(), 0.5)
    }

    fn weight_left(&self, now: Instant) -> f64 {
        self.at
            .map_or(0.0, |at| weight_left(at, now, EVIDENCE_HALF_LIFE))
    }
}

/// Returns the representative of a group, or `None` if it has too few samples.
fn point(samples: &VecDeque<Sample>, now: Instant) -> Option<Point> {
    if samples.len() < MIN_GROUP_LEN {
        return None;
    }
    let weight = |sample: &Sample| weight_left(sample.at, now, SAMPLE_HALF_LIFE);
    let sizes = samples.iter().map(|s| (s.size, weight(s))).collect();
    let times = samples.iter().map(|s| (s.ms, weight(s))).collect();
    Some(Point {
        size: weighted_quantile(sizes, QUANTILE)?,
        ms: weighted_quantile(times, QUANTILE)?,
        weight: samples
            .iter()
            .map(|s| weight_left(s.at, now, EVIDENCE_HALF_LIFE))
            .sum(),
    })
}

/// Returns the weighted median of the slopes between points; those between distant points count
/// more, since errors of the times affect them less.
fn slope(points: &[Point], min_ratio: f64) -> Option<f64> {
    let mut slopes = Vec::new();
    for (index, low) in points.iter().enumerate() {
        for high in &points[index + 1..] {
            if high.size < low.size * min_ratio {
                continue;
            }
            let distance = high.size - low.size;
            let weight = low.weight.min(high.weight) * distance;
            slopes.push(((high.ms - low.ms) / distance, weight));
        }
    }
    weighted_quantile(slopes, 0.5)
}

/// Returns a quantile of values with weights; `None` if there are no values.
pub fn weighted_quantile(mut values: Vec<(f64, f64)>, quantile: f64) -> Option<f64> {
    values.sort_by(|a, b| a.0.total_cmp(&b.0));
    let total: f64 = values.iter().map(|(_, weight)| weight).sum();
    let mut sum = 0.0;
    for (value, weight) in &values {
        sum += weight;
        if sum >= total * quantile {
            return Some(*value);
        }
    }
    values.last().map(|(value, _)| *value)
}
