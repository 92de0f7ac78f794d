//! Tests of the fair division of a capacity among organisations.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;
use sillpin_policy::fair_share::{Claim, FairShare, PrefillRate, Standing};

const PRECISION: f64 = 1e-6;

fn divide(demands: &[f64], capacity: f64) -> FairShare {
    FairShare::new(
        demands.iter().copied().map(PrefillRate),
        PrefillRate(capacity),
    )
}

fn shares(demands: &[f64], capacity: f64) -> Vec<f64> {
    let division = divide(demands, capacity);
    let of = |demand: &f64| division.share(PrefillRate(*demand)).0;
    demands.iter().map(of).collect()
}

#[rstest]
#[case::enough_for_all(&[10.0, 20.0], 40.0, &[10.0, 20.0])]
#[case::exactly_enough(&[10.0, 20.0], 30.0, &[10.0, 20.0])]
#[case::the_larger_gets_the_rest(&[10.0, 100.0], 40.0, &[10.0, 30.0])]
#[case::equal_demands(&[30.0, 30.0, 30.0], 60.0, &[20.0, 20.0, 20.0])]
#[case::what_the_smallest_leaves(&[3.0, 30.0, 300.0], 33.0, &[3.0, 15.0, 15.0])]
#[case::no_capacity(&[3.0, 30.0], 0.0, &[0.0, 0.0])]
#[case::alone(&[300.0], 33.0, &[300.0])]
#[case::alone_besides_idle_ones(&[0.0, 300.0], 33.0, &[0.0, 300.0])]
fn a_capacity_is_divided(#[case] demands: &[f64], #[case] capacity: f64, #[case] expected: &[f64]) {
    assert_eq!(shares(demands, capacity), expected);
}

/// Guards against a preference for organisations where none requests more than its share.
#[test]
fn without_excess_no_organisation_is_preferred() {
    let division = divide(&[10.0, 20.0], 40.0);
    assert_eq!(division.standing(PrefillRate(10.0)), Standing::Unlimited);
    assert_eq!(Standing::Unlimited.claim(1.0, 0.99), Claim::Usual);
}

/// Guards against an organisation that gets nothing as soon as it exceeds its share.
#[test]
fn only_what_exceeds_the_share_is_refused_first() {
    let division = divide(&[10.0, 120.0], 40.0);
    assert_eq!(division.standing(PrefillRate(10.0)), Standing::Below);
    let above = division.standing(PrefillRate(120.0));
    assert_eq!(above, Standing::Above { part: 0.25 });
    assert_eq!(above.claim(1.0, 0.2), Claim::Usual);
    assert_eq!(above.claim(1.0, 0.3), Claim::Excess { part: 0.25 });
    assert_eq!(above.claim(1.5, 0.3), Claim::Usual);
    assert_eq!(Standing::Below.claim(1.0, 0.99), Claim::Protected);
}

fn demands() -> impl Strategy<Value = Vec<f64>> {
    prop::collection::vec(0.0..5_000.0, 2..40)
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn nobody_gets_more_than_requested(demands in demands(), capacity in 0.0..50_000.0) {
        for (share, demand) in shares(&demands, capacity).iter().zip(&demands) {
            prop_assert!(share <= demand);
            prop_assert!(*share >= 0.0);
        }
    }

    #[test]
    fn the_sum_is_the_capacity_or_the_demand(
        demands in prop::collection::vec(0.1..5_000.0, 2..40),
        capacity in 0.0..50_000.0,
    ) {
        let demand: f64 = demands.iter().sum();
        let sum: f64 = shares(&demands, capacity).iter().sum();
        prop_assert!((sum - demand.min(capacity)).abs() < PRECISION * demand.max(1.0));
    }

    #[test]
    fn those_who_request_more_get_no_less(demands in demands(), capacity in 0.0..50_000.0) {
        let mut sorted = demands;
        sorted.sort_by(f64::total_cmp);
        let shares = shares(&sorted, capacity);
        prop_assert!(shares.is_sorted());
    }

    #[test]
    fn more_capacity_takes_nothing_from_anybody(
        demands in demands(),
        capacity in 0.0..50_000.0,
        added in 0.0..5_000.0,
    ) {
        let before = shares(&demands, capacity);
        let after = shares(&demands, capacity + added);
        for (before, after) in before.iter().zip(&after) {
            prop_assert!(*after >= before - PRECISION);
        }
    }

    /// What an organisation requests beyond the level changes nothing for the others.
    #[test]
    fn requesting_more_than_the_level_gains_nothing(
        demands in prop::collection::vec(0.1..5_000.0, 2..40),
        factor in 1.0..100.0,
    ) {
        let capacity = demands.iter().sum::<f64>() / 2.0;
        let before = shares(&demands, capacity);
        let level = divide(&demands, capacity).level().unwrap().0;
        let largest = demands.iter().position(|demand| *demand >= level).unwrap();
        let mut more = demands.clone();
        more[largest] *= factor;
        let after = shares(&more, capacity);
        for (before, after) in before.iter().zip(&after) {
            prop_assert!((after - before).abs() < PRECISION * level.max(1.0));
        }
    }
}
