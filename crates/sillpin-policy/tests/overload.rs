//! Which requests are refused since no target can begin them in time.

use rstest::rstest;
use sillpin_policy::overload::Expected;
use std::time::Duration;

fn expected(waited: u64, queue: u64, standing: u64, own: u64) -> Expected {
    Expected {
        waited: Duration::from_millis(waited),
        latency_objective: Duration::from_millis(500),
        queue: Duration::from_millis(queue),
        standing: Duration::from_millis(standing),
        own: Duration::from_millis(own),
    }
}

#[rstest]
#[case::nothing_waits(expected(0, 0, 0, 100), false, false)]
#[case::long_prompt_and_nothing_stands(expected(0, 10, 19, 2_000), false, false)]
#[case::late_caller_and_nothing_stands(expected(3_000, 10, 19, 100), false, false)]
#[case::a_long_queue_for_a_moment(expected(0, 500, 19, 100), false, false)]
#[case::a_short_queue_stands(expected(0, 70, 70, 100), false, false)]
#[case::within_the_range(expected(0, 100, 100, 100), true, false)]
#[case::a_long_queue_stands(expected(0, 200, 200, 100), true, true)]
#[case::a_short_request_behind_what_stands(expected(0, 200, 200, 10), false, false)]
#[case::a_short_request_behind_more_than_its_aim(expected(0, 600, 200, 10), true, true)]
#[case::late_caller_who_is_in_nobodys_way(expected(3_000, 10, 200, 100), false, false)]
#[case::late_caller_with_a_short_request(expected(3_000, 100, 200, 10), false, false)]
#[case::late_caller_and_a_short_queue_stands(expected(450, 30, 30, 100), true, true)]
fn a_request_is_refused_if_it_cannot_begin_in_time_behind_what_waits(
    #[case] expected: Expected,
    #[case] by_the_least_draw: bool,
    #[case] by_the_greatest: bool,
) {
    assert_eq!(expected.refused_for(0.0).is_some(), by_the_least_draw);
    assert_eq!(expected.refused_for(1.0).is_some(), by_the_greatest);
}

#[test]
fn a_refusal_says_how_late_the_request_would_have_been() {
    let late = expected(0, 200, 200, 100).refused_for(1.0);
    assert_eq!(late, Some(Duration::from_millis(220)));
}
