//! Decides how much traffic a release gets, and when it is rolled back.
//!
//! A release moves a pool's traffic onto targets with another version of their software. Until it has succeeded, the
//! new version may get only a fraction of the pool's requests over the whole release, because it may fail at any
//! time: at once, later, only under full load, or on one route. So the schedule spends part of that fraction on a
//! canary phase and on a short load test, and saves the rest for the cutover, in which the earlier version's last
//! requests end.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Largest fraction of a pool's requests that the schedule is made for; a larger allowance is not used.
const MAX_ALLOWANCE: f64 = 0.4;

/// Fraction of the release's duration at which it may succeed. The rest of the duration is for the write that ends
/// the release, and for what boxes learn late.
pub const CUTOVER_END: f64 = 0.8;

/// Request fraction of the canary phase, as a multiple of the allowance.
const CANARY_FRACTION: f64 = 0.3;

/// Request fraction of the step before the load test.
const STEP_FRACTION: f64 = 0.25;

/// Lengths of the step before the load test, of the load test and of the cutover, as multiples of the allowance in
/// fractions of the duration.
const STEP_LENGTH: f64 = 0.15;
const LOAD_TEST_LENGTH: f64 = 0.25;
const CUTOVER_LENGTH: f64 = 0.2;

/// Time for which the cutover goes on while the release's success is being written, in the same unit. By then the
/// allowance is used up.
const CUTOVER_OVERRUN: f64 = 0.2;

/// Time from the load test to the cutover, as a fraction of the duration, in which boxes receive each other's counts
/// of the load test.
const EVALUATION_LENGTH: f64 = 0.1;

/// What a release does at one moment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReleaseStep {
    /// Fraction of the pool's requests for the new version.
    pub fraction: f64,
    /// Whether the release may be declared successful.
    pub may_succeed: bool,
}

/// Schedule of a release.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReleaseSchedule {
    duration: Duration,
    allowance: f64,
}

impl ReleaseSchedule {
    /// Creates the schedule of a release that is to end within `duration` and may send `allowance` (0 to 1) of the
    /// pool's requests to the new version before it succeeds.
    pub fn new(duration: Duration, allowance: f64) -> Self {
        let allowance = allowance.clamp(0.0, MAX_ALLOWANCE);
        Self {
            duration,
            allowance,
        }
    }

    /// Returns the step at a time since the release was ordered.
    pub fn step(&self, elapsed: Duration) -> ReleaseStep {
        let position = elapsed.as_secs_f64() / self.duration.as_secs_f64().max(f64::MIN_POSITIVE);
        let canary = CANARY_FRACTION * self.allowance;
        let cutover = CUTOVER_END - CUTOVER_LENGTH * self.allowance;
        let evaluation = cutover - EVALUATION_LENGTH;
        let load_test = evaluation - LOAD_TEST_LENGTH * self.allowance;
        let step = load_test - STEP_LENGTH * self.allowance;
        let overrun = CUTOVER_END + CUTOVER_OVERRUN * self.allowance;
        // Each phase lasts until the next one begins.
        let phases = [
            (overrun, 0.0),
            (cutover, 1.0),
            (evaluation, canary),
            (load_test, 1.0),
            (step, STEP_FRACTION),
        ];
        let phase = phases.into_iter().find(|(from, _)| position >= *from);
        ReleaseStep {
            fraction: phase.map_or(canary, |(_, fraction)| fraction),
            may_succeed: position >= CUTOVER_END,
        }
    }

    /// Returns the time until the release has to have ended.
    pub fn duration(&self) -> Duration {
        self.duration
    }
}

/// Assigns requests of one box to the new version.
///
/// Each request earns the current fraction, and a whole unit sends one request to the new version. The unit saved at
/// the start is random, so that over all boxes, and also over boxes that restart, the new version gets the fractions
/// of the schedule on average, however few requests each box has. A box whose traffic rises towards the end stays
/// within the allowance of its own requests, those of the rest of the release included.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Exposure {
    allowance: f64,
    saved: f64,
    /// Requests that may go to the new version beyond those sent.
    left: f64,
}

impl Exposure {
    /// Creates the state of a box that starts; `draw` is a random number from 0 to 1.
    pub fn new(allowance: f64, draw: f64) -> Self {
        Self {
            allowance,
            saved: draw,
            left: draw,
        }
    }

    /// Counts a request of the pool, and returns whether it goes to the new version.
    pub fn assign(&mut self, fraction: f64) -> bool {
        self.saved = (self.saved + fraction).min(2.0);
        self.left += self.allowance / CUTOVER_END;
        let is_exposed = self.saved >= 1.0 && self.left >= 1.0;
        if is_exposed {
            self.saved -= 1.0;
            self.left -= 1.0;
        }
        is_exposed
    }
}

/// Number of latency classes.
const CLASSES: usize = 24;

/// Latency classes per doubling of the latency.
const CLASSES_PER_DOUBLING: f64 = 2.0;

/// Responses of one version on one route.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResponseCounts {
    /// Error responses.
    pub failed: u32,
    /// Complete responses by latency class; higher classes that are all zero are left out.
    pub served: Vec<u32>,
}

impl ResponseCounts {
    /// Counts an error response.
    pub fn record_failed(&mut self) {
        self.failed += 1;
    }

    /// Counts a complete response, or one that did not arrive in the time it was given.
    pub fn record_served(&mut self, latency: Duration) {
        let ms = (latency.as_secs_f64() * 1000.0).max(1.0);
        let class = ((ms.log2() * CLASSES_PER_DOUBLING) as usize).min(CLASSES - 1);
        if self.served.len() <= class {
            self.served.resize(class + 1, 0);
        }
        self.served[class] += 1;
    }

    /// Adds the counts of another box, zone or route.
    pub fn add(&mut self, other: &ResponseCounts) {
        self.failed = self.failed.saturating_add(other.failed);
        if self.served.len() < other.served.len() {
            self.served.resize(other.served.len(), 0);
        }
        for (sum, count) in self.served.iter_mut().zip(&other.served) {
            *sum = sum.saturating_add(*count);
        }
    }

    /// Returns the number of responses.
    pub fn total(&self) -> u32 {
        self.failed.saturating_add(self.complete())
    }

    fn complete(&self) -> u32 {
        self.at_least(0)
    }

    /// Returns the number of complete responses of `class` and higher ones.
    fn at_least(&self, class: usize) -> u32 {
        let counts = self.served.iter().skip(class);
        counts.fold(0, |sum, count| sum.saturating_add(*count))
    }

    /// Returns the first class that counts as slow for another version: above that of nearly all responses by a margin
    /// for caches that are still cold.
    fn slow_class(&self) -> usize {
        const UNUSUAL: f64 = 0.05;
        const MARGIN: usize = 1;
        let fraction = |class: usize| f64::from(self.at_least(class)) / f64::from(self.complete());
        let usual = (0..CLASSES).find(|class| fraction(*class) <= UNUSUAL);
        usual.unwrap_or(CLASSES) + MARGIN
    }
}

/// Responses of both versions on one route.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteComparison {
    /// Responses of the version that the pool has served so far.
    pub control: ResponseCounts,
    /// Responses of the new version.
    pub canary: ResponseCounts,
}

impl RouteComparison {
    /// Adds the counts of another box, zone or route.
    pub fn add(&mut self, other: &RouteComparison) {
        self.control.add(&other.control);
        self.canary.add(&other.canary);
    }
}

/// Why a release is rolled back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum Regression {
    /// More requests fail.
    #[display("failures")]
    Failures,
    /// More responses are slow.
    #[display("latency")]
    Latency,
}

/// Smallest difference between the versions' fractions of failed or slow responses for a rollback.
const MIN_DIFFERENCE: f64 = 0.1;

/// Logarithm of the probability at which an excess counts as chance. The comparison is repeated many times during a
/// release, on each route.
const CHANCE: f64 = 8.0;

/// Responses of the earlier version below which its rates are not used, as a divisor would be too uncertain.
const MIN_CONTROL: u32 = 20;

/// Returns whether the new version is worse on any route.
pub fn regression<'a>(routes: impl Iterator<Item = &'a RouteComparison>) -> Option<Regression> {
    let mut routes = routes.filter(|route| route.control.total() >= MIN_CONTROL);
    routes.find_map(route_regression)
}

fn route_regression(route: &RouteComparison) -> Option<Regression> {
    let RouteComparison { control, canary } = route;
    let failures = is_excess(
        (canary.failed, canary.total()),
        (control.failed, control.total()),
    );
    if failures {
        return Some(Regression::Failures);
    }
    if control.complete() < MIN_CONTROL {
        return None;
    }
    let slow = control.slow_class();
    let is_slower = is_excess(
        (canary.at_least(slow), canary.complete()),
        (control.at_least(slow), control.complete()),
    );
    is_slower.then_some(Regression::Latency)
}

/// Returns whether `events` of `total` responses of the new version are more than the rate of the earlier version
/// and chance explain, by Bernstein's inequality, which holds for few events too.
fn is_excess((events, total): (u32, u32), (control_events, control_total): (u32, u32)) -> bool {
    let (events, total) = (f64::from(events), f64::from(total));
    let expected_rate = (f64::from(control_events) + 1.0) / (f64::from(control_total) + 2.0);
    let expected = total * expected_rate;
    // The earlier version's own rate is a sample too.
    let control_scale = 1.0 + total / f64::from(control_total);
    let variance = expected * (1.0 - expected_rate) * control_scale;
    let by_chance = (2.0 * CHANCE * variance).sqrt() + CHANCE / 3.0;
    events > expected + total * MIN_DIFFERENCE && events > expected + by_chance
}

/// Smallest number of responses of the new version for a success, unless the pool has too few requests for that.
const MIN_RESPONSES: u32 = 20;

/// Number of responses of the earlier version from which the new one has to have [`MIN_RESPONSES`].
const BUSY_CONTROL: u32 = 400;

/// Returns whether the new version has responded often enough to succeed, given the pool's traffic.
pub fn has_enough_responses<'a>(routes: impl Iterator<Item = &'a RouteComparison>) -> bool {
    let mut sum = RouteComparison::default();
    for route in routes {
        sum.add(route);
    }
    sum.canary.total() >= MIN_RESPONSES || sum.control.total() < BUSY_CONTROL
}
