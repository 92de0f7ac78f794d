//! Tests of the refusal of requests whose responses cannot end in time.

use rstest::rstest;
use sillpin_policy::ending::EndEstimate;
use std::time::Duration;

const SHORTEST: Duration = Duration::from_millis(200);

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn estimate(queue: u64, prefill: u64, generation: Option<u64>, left: u64) -> EndEstimate {
    EndEstimate {
        queue: millis(queue),
        prefill: millis(prefill),
        generation: generation.map(millis),
        time_left: millis(left),
    }
}

/// Guards against refusals of requests that are only likely to be late, or of which too little is known.
#[rstest]
#[case::in_time(estimate(100, 100, Some(1_000), 2_000), false)]
#[case::late_by_less_than_the_margin(estimate(800, 100, Some(2_000), 2_000), false)]
#[case::late_by_far(estimate(1_200, 100, Some(2_000), 2_000), true)]
#[case::only_the_generation_is_too_long(estimate(0, 100, Some(3_000), 2_000), true)]
#[case::the_pace_is_unknown(estimate(9_000, 100, None, 2_000), false)]
fn a_request_is_refused_if_it_is_very_likely_not_to_end(
    #[case] estimate: EndEstimate,
    #[case] refused: bool,
) {
    assert_eq!(estimate.cannot_end(), refused);
}

/// Guards against callers that return when their requests cannot be served any more.
#[rstest]
#[case::the_wait_fits(estimate(900, 100, Some(400), 2_000), 900, 900)]
#[case::the_wait_is_shortened(estimate(3_000, 100, Some(400), 2_000), 3_000, 1_500)]
#[case::without_a_pace(estimate(3_000, 100, None, 2_000), 3_000, 1_900)]
#[case::no_time_fits(estimate(3_000, 100, Some(2_500), 2_000), 3_000, 200)]
#[case::nearly_no_time_left(estimate(3_000, 100, Some(2_500), 100), 3_000, 50)]
fn a_retry_can_still_be_in_time(
    #[case] estimate: EndEstimate,
    #[case] wait: u64,
    #[case] expected: u64,
) {
    let wait = estimate.retry_after(millis(wait), SHORTEST);
    assert_eq!(wait, millis(expected));
}
