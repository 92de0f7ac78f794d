//! Tests of the refusal of requests that no target can start in time.

use rstest::rstest;
use sillpin_policy::fair_share::Claim;
use sillpin_policy::overload::StartEstimate;
use std::time::Duration;

fn estimate(waited: u64, queue: u64, standing: u64, own: u64) -> StartEstimate {
    StartEstimate {
        waited: Duration::from_millis(waited),
        latency_objective: Duration::from_millis(500),
        queue: Duration::from_millis(queue),
        standing: Duration::from_millis(standing),
        own: Duration::from_millis(own),
    }
}

#[rstest]
#[case::nothing_waits(estimate(0, 0, 0, 100), false, false)]
#[case::long_prompt_and_nothing_stands(estimate(0, 10, 19, 2_000), false, false)]
#[case::late_caller_and_nothing_stands(estimate(3_000, 10, 19, 100), false, false)]
#[case::a_long_queue_for_a_moment(estimate(0, 500, 19, 100), false, false)]
#[case::a_short_queue_stands(estimate(0, 70, 70, 100), false, false)]
#[case::within_the_range(estimate(0, 100, 100, 100), true, false)]
#[case::a_long_queue_stands(estimate(0, 200, 200, 100), true, true)]
#[case::a_short_request_behind_what_stands(estimate(0, 200, 200, 10), false, false)]
#[case::a_short_request_behind_more_than_its_aim(estimate(0, 600, 200, 10), true, true)]
#[case::late_caller_who_is_in_nobodys_way(estimate(3_000, 10, 200, 100), false, false)]
#[case::late_caller_with_a_short_request(estimate(3_000, 100, 200, 10), false, false)]
#[case::late_caller_and_a_short_queue_stands(estimate(450, 30, 30, 100), true, true)]
fn a_request_is_refused_if_the_queue_makes_it_too_late(
    #[case] estimate: StartEstimate,
    #[case] with_the_lowest_draw: bool,
    #[case] with_the_highest_draw: bool,
) {
    assert_eq!(
        estimate.lateness_if_refused(0.0).is_some(),
        with_the_lowest_draw
    );
    assert_eq!(
        estimate.lateness_if_refused(1.0).is_some(),
        with_the_highest_draw
    );
}

#[test]
fn a_refusal_returns_how_late_the_request_would_have_been() {
    let late = estimate(0, 200, 200, 100).lateness_if_refused(1.0);
    assert_eq!(late, Some(Duration::from_millis(220)));
}

/// The queue from which a request with this claim is refused, in milliseconds.
fn shortest_refused_queue(claim: Claim, draw: f64) -> u64 {
    let refused = |queue: &u64| {
        let estimate = estimate(0, *queue, *queue, 100);
        estimate.lateness_by_claim(claim, draw).is_some()
    };
    (0..1_000).find(refused).unwrap()
}

#[rstest]
fn what_exceeds_a_share_is_refused_first_and_what_is_below_last(
    #[values(0.0, 0.5, 1.0)] draw: f64,
) {
    let usual = shortest_refused_queue(Claim::Usual, draw);
    assert!(shortest_refused_queue(Claim::Protected, draw) >= usual);
    assert!(shortest_refused_queue(Claim::Excess { part: 0.9 }, draw) < usual);
}

/// Guards against shares that do not grow while capacity is left, or do not shrink under overload.
#[test]
fn shares_grow_with_a_short_queue_and_shrink_with_a_long_one() {
    let gain = |standing| estimate(0, standing, standing, 100).share_gain();
    assert!(gain(20) > 1.5);
    assert!(gain(60) < gain(20));
    assert!(gain(130) < 1.0);
    assert!(gain(10_000) > 0.0);
}

/// Guards against shares that depend on how long a caller has waited.
#[test]
fn a_retry_gets_the_same_share() {
    let gain = |waited| estimate(waited, 60, 60, 100).share_gain();
    assert_eq!(gain(0), gain(450));
}

/// Guards against a change of the rule for requests that compete with nobody: later than 0.7 to 1.0
/// times the latency objective, by the caller's wait, twice the standing queue, the queue and 1.2
/// times the own work.
#[rstest]
fn a_usual_claim_is_judged_by_the_overload_rule_alone(
    #[values(0, 450)] waited: u64,
    #[values(10, 100)] own: u64,
    #[values(0.0, 0.5, 1.0)] draw: f64,
) {
    for queue in (20..600).step_by(7) {
        let other = if own < 20 { 0 } else { waited + 2 * queue };
        let start = (other + queue) as f64 + 1.2 * own as f64;
        let late = start - 500.0 * (0.7 + 0.3 * draw);
        let judged = estimate(waited, queue, queue, own).lateness_by_claim(Claim::Usual, draw);
        let judged = judged.map_or(0.0, |late| late.as_secs_f64() * 1000.0);
        assert!((judged - late.max(0.0)).abs() < 1e-3, "{judged} {late}");
    }
}
