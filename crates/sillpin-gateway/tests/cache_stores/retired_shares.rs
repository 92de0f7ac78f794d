//! Retired shares of versions whose numbers rise far.

use crate::common::{engine, name, target};
use crate::key;
use proptest::prelude::*;
use rstest::rstest;
use sillpin_core::WeightVersion;
use sillpin_gateway::cache_stores::retire::{MAX_FETCH_TIME, Retired, Retirements, Weights};
use sillpin_gateway::cache_stores::retired_shares::RetiredShares;
use sillpin_gateway::cache_stores::salt::SaltParts;
use sillpin_gateway::fleet_state::{DesiredVersion, DesiredVersions, View};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Used share of a store at which no parts are saved.
const FULL: f64 = 0.975;

/// Most steps that a box may keep of a model, and tell others.
const MAX_STEPS: usize = 12;

fn weights(version: u64) -> Weights {
    Weights {
        model: name("m"),
        version: WeightVersion(version),
    }
}

/// A view in which engines serve these versions.
fn view(desired: u64, serving: &[u64], now: Instant) -> View {
    let engines = serving.iter().enumerate().map(|(index, version)| {
        let mut engine = engine(&format!("e{index}"), "za");
        engine.served[0].version = WeightVersion(*version);
        (target(&format!("e{index}")), Arc::new(engine))
    });
    let desired = DesiredVersions::new(DesiredVersion {
        version: WeightVersion(desired),
        since: now,
        witnessed: true,
    });
    View {
        entries: Arc::new(engines.collect()),
        desired: Arc::new(HashMap::from([(name("m"), desired)])),
        ..View::default()
    }
}

fn is_retired(retirements: &Retirements, version: u64) -> bool {
    let salt: SaltParts = format!("m/{version}").parse().unwrap();
    retirements.is_retired(&salt, &key("p1"))
}

/// Guards against boxes that run out of memory, or send digests that are too long, once a version has risen far.
#[rstest]
#[case::date(20_261_206)]
#[case::largest(u64::MAX)]
#[tokio::test(start_paused = true)]
async fn a_version_that_rises_far_fills_memory_and_digests(#[case] desired: u64) {
    let mut retirements = Retirements::default();
    for serving in [
        [1, 1, 1],
        [1, 1, desired],
        [1, desired, desired],
        [desired; 3],
    ] {
        let now = Instant::now();
        retirements.update(&view(desired, &serving, now), FULL, now);
        tokio::time::advance(MAX_FETCH_TIME).await;
    }
    for version in [1, 2, desired - 1] {
        assert!(is_retired(&retirements, version), "{version}");
    }
    assert!(!is_retired(&retirements, desired));
    let now = Instant::now();
    retirements.update(&view(desired, &[desired; 3], now), FULL, now);
    let sent = retirements.updates_to_send(Instant::now());
    let whole = Retired {
        weights: weights(desired - 1),
        share: 1.0,
    };
    assert_eq!(sent, std::slice::from_ref(&whole));
    assert_eq!(retirements.applied(), [whole]);
}

/// Guards against digests that grow with each version until boxes no longer hear each other.
#[tokio::test(start_paused = true)]
async fn versions_that_rise_one_by_one_fill_memory_and_digests() {
    const LAST: u64 = 100_000;
    let mut retirements = Retirements::default();
    for version in 2..=LAST {
        let now = Instant::now();
        retirements.update(&view(version, &[version - 1, version], now), FULL, now);
        tokio::time::advance(Duration::from_millis(400)).await;
    }
    assert!(retirements.applied().len() <= MAX_STEPS);
    assert!(retirements.updates_to_send(Instant::now()).len() <= MAX_STEPS);
    assert!(is_retired(&retirements, 1) && is_retired(&retirements, LAST - 2));
    assert!(!is_retired(&retirements, LAST));
}

/// Guards against digests that grow with the versions that entries of engines name.
#[tokio::test(start_paused = true)]
async fn engines_that_all_serve_other_versions_fill_digests() {
    let serving: Vec<u64> = (1..=600).map(|index| index * 1_000).collect();
    let mut retirements = Retirements::default();
    let now = Instant::now();
    retirements.update(&view(700_000, &serving, now), FULL, now);
    assert!(retirements.applied().len() <= MAX_STEPS);
    // A version in use is never taken for retired.
    assert!(!is_retired(&retirements, 700_000));
}

proptest! {
    #[test]
    fn the_share_of_a_version_differs_from_the_largest_retired_for_it_or_a_later_one(
        retired in prop::collection::vec((1..9_u64, 0.0..1.0_f64), 0..12),
    ) {
        let mut shares = RetiredShares::default();
        for (version, share) in &retired {
            shares.retire(&weights(*version), *share);
        }
        for version in 0..10 {
            let later = retired.iter().filter(|(of, _)| *of >= version);
            let largest = later.map(|(_, share)| *share).fold(0.0, f64::max);
            prop_assert_eq!(shares.of(&weights(version)), largest);
        }
        let other = Weights { model: name("other"), version: WeightVersion(1) };
        prop_assert_eq!(shares.of(&other), 0.0);
        let sent: RetiredShares = shares.to_send().iter().collect();
        prop_assert_eq!(sent, shares);
    }
}
