//! What a comparison says of figures that are known.

use sillpin_cli::ops::compare::compare;
use sillpin_core::Revision;
use sillpin_rpc::arms::{ArmFigures, RatioSums};

/// An arm with `count` answers, first tokens from `first_us` on, and a share of computed tokens.
fn figures(arm: &str, count: u64, first_us: u64, computed: f64) -> ArmFigures {
    let mut sums = RatioSums::default();
    let mut link_bytes = RatioSums::default();
    for number in 0..count {
        let jitter = (number % 7) as f64;
        sums.add(computed * 1_000.0 + jitter, 1_000.0);
        link_bytes.add(jitter, 1.0);
    }
    ArmFigures {
        by: "box".parse().unwrap(),
        zone: "kariakoo".parse().unwrap(),
        revision: Revision(2),
        arm: arm.parse().unwrap(),
        first_tokens: (0..count).map(|n| (first_us + 100 * n, 1)).collect(),
        failed: 0,
        computed: sums,
        link_bytes,
    }
}

#[test]
fn equal_arms_show_no_difference() {
    let both = [
        figures("control", 200, 10_000, 0.3),
        figures("trial", 200, 10_000, 0.3),
    ];
    let compared = compare(&both, Revision(2), &both[0].arm, &both[1].arm).unwrap();
    let whole = &compared.zones[0];
    assert_eq!(whole.samples, (200, 200));
    assert!(!whole.first_token_p50_ms.is_shown(), "{whole:?}");
    assert!(!whole.first_token_p95_ms.is_shown(), "{whole:?}");
    assert!(!whole.recomputed_share.is_shown(), "{whole:?}");
}

#[test]
fn a_later_and_costlier_arm_shows_it() {
    let both = [
        figures("control", 200, 10_000, 0.3),
        figures("trial", 200, 40_000, 0.5),
    ];
    let compared = compare(&both, Revision(2), &both[0].arm, &both[1].arm).unwrap();
    let whole = &compared.zones[0];
    assert!(whole.first_token_p95_ms.low > 0.0, "{whole:?}");
    assert!(whole.recomputed_share.low > 0.15, "{whole:?}");
    assert!(!whole.link_bytes.is_shown(), "{whole:?}");
}

#[test]
fn too_few_answers_are_refused() {
    let both = [
        figures("control", 200, 10_000, 0.3),
        figures("trial", 5, 10_000, 0.3),
    ];
    let refused = compare(&both, Revision(2), &both[0].arm, &both[1].arm).unwrap_err();
    assert_eq!(
        refused.to_string(),
        "arm trial has 5 answers under revision 2; 20 are needed"
    );
}
