//! Comparisons of two arms with known figures.

use sillpin_cli::ops::compare::compare;
use sillpin_core::Revision;
use sillpin_rpc::arms::{ArmFigures, RatioSums};

/// Figures of an arm with `count` responses, times to first token from `first_us` microseconds on, and
/// the share `computed` of computed tokens.
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
    let overall = &compared.zones[0];
    assert_eq!(overall.samples, (200, 200));
    assert!(!overall.first_token_p50_ms.is_significant(), "{overall:?}");
    assert!(!overall.first_token_p95_ms.is_significant(), "{overall:?}");
    assert!(!overall.recomputed_share.is_significant(), "{overall:?}");
}

#[test]
fn a_slower_and_costlier_arm_shows_a_difference() {
    let both = [
        figures("control", 200, 10_000, 0.3),
        figures("trial", 200, 40_000, 0.5),
    ];
    let compared = compare(&both, Revision(2), &both[0].arm, &both[1].arm).unwrap();
    let overall = &compared.zones[0];
    assert!(overall.first_token_p95_ms.low > 0.0, "{overall:?}");
    assert!(overall.recomputed_share.low > 0.15, "{overall:?}");
    assert!(!overall.link_bytes.is_significant(), "{overall:?}");
}

#[test]
fn too_few_samples_are_refused() {
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
