//! Tests of the schedule and the judgement of releases, on simulated traffic.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use sillpin_policy::release::{
    CUTOVER_END, Exposure, Regression, ReleaseSchedule, RouteComparison, has_enough_responses,
    regression,
};
use std::time::Duration;

/// Duration of the simulated releases.
const DURATION: Duration = Duration::from_secs(12);

/// Fraction of requests that the new version may get.
const ALLOWANCE: f64 = 0.1;

/// Requests that it may get beyond that from all boxes together.
const SLACK: f64 = 50.0;

/// How a version responds to a request: the probability of an error, and the factor of slowness with its probability.
#[derive(Debug, Clone, Copy)]
struct Version {
    failure_rate: f64,
    slow_rate: f64,
    slow_factor: f64,
}

const GOOD: Version = Version {
    failure_rate: 0.0,
    slow_rate: 0.0,
    slow_factor: 1.0,
};

const FAILING: Version = Version {
    failure_rate: 0.3,
    ..GOOD
};

const SLOW: Version = Version {
    slow_rate: 0.4,
    slow_factor: 4.0,
    ..GOOD
};

/// When the new version is as given; otherwise it is good.
#[derive(Debug, Clone, Copy)]
enum When {
    Always,
    Later,
    UnderLoad,
    OnOneRoute,
}

/// A pool's route: requests per second, and failure rate of any version.
#[derive(Debug, Clone, Copy)]
struct Route {
    per_s: f64,
    failure_rate: f64,
}

const ROUTES: [Route; 3] = [
    Route {
        per_s: 120.0,
        failure_rate: 0.004,
    },
    Route {
        per_s: 84.0,
        failure_rate: 0.14,
    },
    Route {
        per_s: 250.0,
        failure_rate: 0.004,
    },
];

/// Number of boxes, whose counts arrive late.
const BOXES: usize = 71;

/// Age of the counts that a box decides by.
const HEARD_LATE: Duration = Duration::from_millis(700);

/// Length of a step of the simulation.
const STEP: Duration = Duration::from_millis(100);

/// How a simulated release ended.
#[derive(Debug, PartialEq)]
struct Ended {
    /// When it was rolled back, and why; `None` if it may succeed.
    rolled_back: Option<(Duration, Regression)>,
    /// Fraction of all requests that the new version would have got by the end.
    exposed: f64,
    /// Requests that the new version got after its 50th bad response by more than the time that a rollback may take.
    sent_late: u32,
}

/// Time from the 50th bad response within which no box may send to the new version.
const ROLLBACK_TIME: Duration = Duration::from_secs(5);

fn play(seed: u64, new: Version, when: When) -> Ended {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let schedule = ReleaseSchedule::new(DURATION, ALLOWANCE);
    let mut boxes: Vec<Exposure> = (0..BOXES)
        .map(|_| Exposure::new(ALLOWANCE, rng.random()))
        .collect();
    let mut counts = vec![RouteComparison::default(); ROUTES.len()];
    let mut history = Vec::new();
    let (mut all, mut exposed, mut bad, mut sent_late) = (0u32, 0u32, 0u32, 0u32);
    let mut fiftieth = None;
    let mut rolled_back = None;
    let mut elapsed = Duration::ZERO;
    while elapsed < DURATION {
        let step = schedule.step(elapsed);
        for (number, route) in ROUTES.iter().enumerate() {
            let expected = route.per_s * STEP.as_secs_f64();
            let arrivals = expected as u32 + u32::from(rng.random_bool(expected.fract()));
            for _ in 0..arrivals {
                all += 1;
                let of_box = rng.random_range(0..BOXES);
                if rolled_back.is_some_and(|(at, _)| elapsed >= at) {
                    continue;
                }
                let is_canary = boxes[of_box].assign(step.fraction);
                let is_bad_now = match when {
                    When::Always => true,
                    When::Later => elapsed > DURATION / 3,
                    When::UnderLoad => step.fraction > 0.4,
                    When::OnOneRoute => number == 0,
                };
                let version = match is_canary && is_bad_now {
                    true => new,
                    false => GOOD,
                };
                let fails =
                    rng.random_bool(route.failure_rate) || rng.random_bool(version.failure_rate);
                let is_slow = rng.random_bool(version.slow_rate);
                let usual = 40.0 * rng.random_range(0.5f64..1.5) * rng.random_range(0.6f64..1.6);
                let factor = if is_slow { version.slow_factor } else { 1.0 };
                let counts = match is_canary {
                    true => &mut counts[number].canary,
                    false => &mut counts[number].control,
                };
                match fails {
                    true => counts.record_failed(),
                    false => counts.record_served(Duration::from_secs_f64(usual * factor / 1000.0)),
                }
                if is_canary {
                    exposed += 1;
                    bad += u32::from(fails || is_slow);
                    fiftieth = fiftieth.or((bad >= 50).then_some(elapsed));
                    let is_late = fiftieth.is_some_and(|at| elapsed > at + ROLLBACK_TIME);
                    sent_late += u32::from(is_late);
                }
            }
        }
        history.push(counts.clone());
        let heard = history
            .len()
            .checked_sub((HEARD_LATE.as_millis() / STEP.as_millis()) as usize);
        let heard = heard.and_then(|at| history.get(at));
        if let (None, Some(heard)) = (&rolled_back, heard)
            && let Some(why) = regression(heard.iter())
        {
            rolled_back = Some((elapsed, why));
        }
        elapsed += STEP;
    }
    Ended {
        rolled_back,
        exposed: f64::from(exposed) / f64::from(all),
        sent_late,
    }
}

/// Fraction of requests that the new version may have got at most, with the slack.
fn limit() -> f64 {
    let all: f64 = ROUTES.iter().map(|route| route.per_s).sum::<f64>() * DURATION.as_secs_f64();
    ALLOWANCE + SLACK / all
}

/// Guards against a judgement that takes chance for a regression.
#[test]
fn a_good_version_is_not_rolled_back_by_chance() {
    for seed in 0..200 {
        let ended = play(seed, GOOD, When::Always);
        assert_eq!(ended.rolled_back, None, "seed {seed}");
        assert!(ended.exposed <= limit(), "seed {seed}: {}", ended.exposed);
    }
}

/// Guards against a bad version that gets more requests than allowed, or gets them after it was known to be bad.
#[rstest]
#[case::failing_at_once(FAILING, When::Always)]
#[case::failing_later(FAILING, When::Later)]
#[case::failing_under_load(FAILING, When::UnderLoad)]
#[case::failing_on_one_route(FAILING, When::OnOneRoute)]
#[case::slow_at_once(SLOW, When::Always)]
#[case::slow_later(SLOW, When::Later)]
#[case::slow_under_load(SLOW, When::UnderLoad)]
fn a_bad_version_is_rolled_back_within_its_allowance(#[case] new: Version, #[case] when: When) {
    for seed in 0..40 {
        let ended = play(seed, new, when);
        let success = DURATION.mul_f64(CUTOVER_END);
        let rolled_back = ended.rolled_back.map(|(at, _)| at);
        assert!(
            rolled_back.is_some_and(|at| at <= DURATION),
            "seed {seed}: {ended:?}"
        );
        // Load that comes only at the end is noticed only then.
        if !matches!(when, When::UnderLoad) {
            assert!(rolled_back < Some(success), "seed {seed}: {ended:?}");
        }
        assert!(ended.exposed <= limit(), "seed {seed}: {ended:?}");
        assert_eq!(ended.sent_late, 0, "seed {seed}");
    }
}

#[rstest]
#[case(0.02)]
#[case(0.05)]
#[case(0.1)]
#[case(0.3)]
#[case(1.0)]
fn a_schedule_reaches_the_whole_load_within_its_allowance(#[case] allowance: f64) {
    const STEPS: u32 = 100_000;
    let schedule = ReleaseSchedule::new(DURATION, allowance);
    let steps = (0..STEPS).map(|at| schedule.step(DURATION * at / STEPS));
    let exposed: f64 = steps.clone().map(|step| step.fraction).sum::<f64>() / f64::from(STEPS);
    assert!(exposed <= allowance, "{exposed}");
    let mut before_success = steps.take_while(|step| !step.may_succeed);
    assert!(before_success.any(|step| step.fraction == 1.0));
    let after_cutover = DURATION.mul_f64(CUTOVER_END + 0.001);
    assert!(schedule.step(after_cutover).may_succeed);
}

/// Guards against boxes that each round up their part, and against boxes that start anew with a part of their own.
#[rstest]
#[case::few_boxes(7, 40.0)]
#[case::many_boxes(295, 3.0)]
#[case::boxes_with_few_requests(985, 0.28)]
fn all_boxes_together_keep_to_the_allowance(#[case] boxes: usize, #[case] per_s: f64) {
    for seed in 0..50 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let schedule = ReleaseSchedule::new(DURATION, ALLOWANCE);
        let mut state: Vec<Exposure> = (0..boxes)
            .map(|_| Exposure::new(ALLOWANCE, rng.random()))
            .collect();
        let (mut all, mut exposed) = (0u32, 0u32);
        let step_s = STEP.as_secs_f64();
        let mut elapsed = Duration::ZERO;
        while elapsed < DURATION {
            for of_box in &mut state {
                // Each box restarts several times, without knowledge of its counts.
                if rng.random_bool(0.02) {
                    *of_box = Exposure::new(ALLOWANCE, rng.random());
                }
                let fraction = schedule.step(elapsed).fraction;
                let expected = per_s * step_s;
                let arrivals = expected as u32 + u32::from(rng.random_bool(expected.fract()));
                for _ in 0..arrivals {
                    all += 1;
                    exposed += u32::from(of_box.assign(fraction));
                }
            }
            elapsed += STEP;
        }
        let limit = ALLOWANCE * f64::from(all) + SLACK;
        assert!(
            f64::from(exposed) <= limit,
            "seed {seed}: {exposed} of {all}"
        );
    }
}

#[test]
fn a_busy_pool_needs_responses_of_the_new_version_for_a_success() {
    let mut route = RouteComparison::default();
    assert!(
        has_enough_responses([&route].into_iter()),
        "a pool without requests"
    );
    for _ in 0..1_000 {
        route.control.record_served(Duration::from_millis(10));
    }
    assert!(!has_enough_responses([&route].into_iter()));
    for _ in 0..20 {
        route.canary.record_served(Duration::from_millis(10));
    }
    assert!(has_enough_responses([&route].into_iter()));
}
