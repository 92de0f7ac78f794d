//! Tests of the refusal of requests that no target can start in time.

use rstest::rstest;
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
