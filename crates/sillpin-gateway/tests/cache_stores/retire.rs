//! When parts of replaced weights are retired, and from when on no box fetches them.

use crate::common::{engine, name, target};
use crate::{STORE, key};
use sillpin_core::WeightVersion;
use sillpin_gateway::cache_stores::isolation::{IsolatedSet, Sharing};
use sillpin_gateway::cache_stores::retire::{
    MAX_FETCH_TIME, Retired, Retirements, Weights, retirement_rank,
};
use sillpin_gateway::cache_stores::salt::SaltParts;
use sillpin_gateway::control::PartKey;
use sillpin_gateway::fleet_state::{BoxEntry, DesiredVersion, DesiredVersions, SyncState, View};
use sillpin_platform::KvRevision;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// A view in which `upgraded` of four engines serve version 2 and one other box is known.
fn view(upgraded: usize, confirmed: Instant) -> View {
    let engines = (0..4).map(|i| {
        let mut engine = engine(&format!("e{i}"), "za");
        if i < upgraded {
            engine.served[0].version = WeightVersion(2);
        }
        (target(&format!("e{i}")), Arc::new(engine))
    });
    let desired = DesiredVersions::new(DesiredVersion {
        version: WeightVersion(2),
        since: confirmed,
        witnessed: true,
    });
    View {
        entries: Arc::new(engines.collect()),
        desired: Arc::new(HashMap::from([(name("m"), desired)])),
        targets_sync: SyncState {
            revision: KvRevision(1),
            confirmed: Some(confirmed),
            contact: Some(confirmed),
            content: 0,
        },
        boxes: Arc::new(vec![BoxEntry {
            id: name("box-2"),
            zone: name("za"),
            peers: STORE,
            gossip: STORE,
            link_mbps: 0,
        }]),
        ..View::default()
    }
}

/// Used share of a store at which no parts are saved.
const FULL: f64 = 0.975;

fn old_weights() -> Weights {
    Weights {
        model: name("m"),
        version: WeightVersion(1),
    }
}

fn reported(share: f64) -> Vec<Retired> {
    vec![Retired {
        weights: old_weights(),
        share,
    }]
}

#[tokio::test(start_paused = true)]
async fn parts_are_retired_in_step_with_the_engines_and_are_never_used_again() {
    let mut retirements = Retirements::default();
    let salt: SaltParts = "m/1".parse().unwrap();
    let parts: Vec<PartKey> = (0..400).map(|i| key(&format!("p{i}"))).collect();
    let retired = |r: &Retirements| parts.iter().filter(|key| r.is_retired(&salt, key)).count();
    let now = Instant::now();
    retirements.update(&view(0, now), FULL, now);
    assert_eq!(retired(&retirements), 0);
    retirements.update(&view(2, now), FULL, now);
    let half = retired(&retirements);
    assert!((150..250).contains(&half), "{half} of 400");
    retirements.update(&view(1, now), FULL, now);
    assert_eq!(
        retired(&retirements),
        half,
        "an engine that returns to old weights reactivates no part"
    );
    retirements.update(&view(4, now), FULL, now);
    assert_eq!(retired(&retirements), 400);
    let newer: SaltParts = "m/2".parse().unwrap();
    assert!(!retirements.is_retired(&newer, &parts[0]));
}

#[tokio::test(start_paused = true)]
async fn replaced_parts_stay_in_use_while_there_is_capacity_and_an_engine_for_them() {
    let mut retirements = Retirements::default();
    let salt: SaltParts = "m/1".parse().unwrap();
    let parts: Vec<PartKey> = (0..400).map(|i| key(&format!("p{i}"))).collect();
    let retired = |r: &Retirements| parts.iter().filter(|key| r.is_retired(&salt, key)).count();
    let now = Instant::now();
    retirements.update(&view(3, now), 0.5, now);
    assert_eq!(retired(&retirements), 0);
    retirements.update(&view(3, now), 0.8, now);
    let some = retired(&retirements);
    assert!((100..280).contains(&some), "{some} of 400");
    retirements.update(&view(4, now), 0.5, now);
    assert_eq!(retired(&retirements), 400, "no engine serves them");
}

#[tokio::test(start_paused = true)]
async fn no_part_counts_as_unused_while_a_box_may_still_fetch_it() {
    let mut retirements = Retirements::default();
    let start = Instant::now();
    retirements.update(&view(4, start), FULL, start);
    tokio::time::advance(Duration::from_millis(1_500)).await;
    let now = Instant::now();
    let old = old_weights();
    let unused = |r: &Retirements, now| r.unused_share(&old, &view(4, now), now);
    assert_eq!(
        unused(&retirements, now),
        0.0,
        "the other box has sent no report"
    );
    retirements.apply_update(name("box-2"), reported(0.25), Duration::ZERO, now);
    assert_eq!(unused(&retirements, now), 0.25);
    retirements.apply_update(name("box-2"), reported(1.0), Duration::ZERO, now);
    assert_eq!(unused(&retirements, now), 1.0);
}

#[tokio::test(start_paused = true)]
async fn a_box_reports_retired_parts_only_when_its_fetches_of_them_are_over() {
    let mut retirements = Retirements::default();
    let start = Instant::now();
    let settled = |r: &Retirements| {
        r.updates_to_send(Instant::now())
            .first()
            .map_or(0.0, |r| r.share)
    };
    retirements.update(&view(2, start), FULL, start);
    assert_eq!(
        settled(&retirements),
        0.0,
        "a fetch may have begun just before"
    );
    tokio::time::advance(MAX_FETCH_TIME).await;
    assert_eq!(settled(&retirements), 0.5);
    let now = Instant::now();
    retirements.update(&view(4, now), FULL, now);
    assert_eq!(settled(&retirements), 0.5);
    tokio::time::advance(MAX_FETCH_TIME).await;
    assert_eq!(settled(&retirements), 1.0);
}

#[tokio::test(start_paused = true)]
async fn a_box_without_contact_stops_fetching_before_parts_are_freed() {
    let mut retirements = Retirements::default();
    let start = Instant::now();
    retirements.update(&view(4, start), FULL, start);
    assert!(retirements.may_fetch(&view(4, start), Duration::ZERO, start));
    // Out of contact after 2.5 s, half a second of margin, and the last fetch.
    let rounds = (Duration::from_millis(3_100) + MAX_FETCH_TIME).as_millis() / 100;
    for _ in 0..rounds {
        tokio::time::advance(Duration::from_millis(100)).await;
        let now = Instant::now();
        retirements.update(&view(4, now), FULL, now);
        let unused = retirements.unused_share(&old_weights(), &view(4, now), now);
        // The other box, without contact and without reports since the start, applies the same rule to itself.
        let may_fetch = Retirements::default().may_fetch(&view(4, start), Duration::ZERO, now);
        assert!(unused == 0.0 || !may_fetch, "after {:?}", now - start);
    }
    let now = Instant::now();
    assert_eq!(
        retirements.unused_share(&old_weights(), &view(4, now), now),
        1.0
    );
}

/// Guards against freeing parts that are being fetched: a box restarts during a change of weights, when the stores have free capacity
/// again, and uses and reports parts that the others retired while the stores were full. The leader ignored that report, since it
/// had known the parts to be retired for long.
#[tokio::test(start_paused = true)]
async fn parts_that_a_restarted_box_still_uses_are_not_freed() {
    let salt: SaltParts = "m/1".parse().unwrap();
    let parts: Vec<PartKey> = (0..400).map(|i| key(&format!("p{i}"))).collect();
    let mut leader = Retirements::default();
    let mut restarted = Retirements::default();
    let step = Duration::from_millis(400);
    let free_capacity = 0.5;
    leader.update(&view(2, Instant::now()), FULL, Instant::now());
    tokio::time::advance(Duration::from_secs(8)).await;
    for round in 0..20u32 {
        let now = Instant::now();
        let view = view(2, now);
        restarted.update(&view, free_capacity, now);
        leader.update(&view, free_capacity, now);
        leader.apply_update(
            name("box-2"),
            restarted.updates_to_send(now),
            Duration::ZERO,
            now,
        );
        let unused = leader.unused_share(&old_weights(), &view, now);
        let used = |key: &&PartKey| !restarted.is_retired(&salt, key);
        let freed = parts
            .iter()
            .filter(used)
            .filter(|key| retirement_rank(key) < unused);
        assert_eq!(
            freed.count(),
            0,
            "in use and freed, after {:?}",
            step * round
        );
        tokio::time::advance(step).await;
    }
}

/// Guards against capacity that is never freed: a box that restarts when the stores have free capacity uses parts that all others have
/// retired, and as long as it does so the parts cannot be freed.
#[tokio::test(start_paused = true)]
async fn a_restarted_box_takes_over_the_shares_that_others_have_retired() {
    let mut leader = Retirements::default();
    let mut restarted = Retirements::default();
    let start = Instant::now();
    leader.update(&view(2, start), FULL, start);
    tokio::time::advance(MAX_FETCH_TIME).await;
    let now = Instant::now();
    let view = view(2, now);
    let free_capacity = 0.5;
    restarted.update(&view, free_capacity, now);
    restarted.apply_update(
        name("box-1"),
        leader.updates_to_send(now),
        Duration::ZERO,
        now,
    );
    restarted.update(&view, free_capacity, now);
    tokio::time::advance(MAX_FETCH_TIME).await;
    let now = Instant::now();
    leader.update(&view, free_capacity, now);
    leader.apply_update(
        name("box-2"),
        restarted.updates_to_send(now),
        Duration::ZERO,
        now,
    );
    assert_eq!(leader.unused_share(&old_weights(), &view, now), 0.5);
}

/// A box without a response from the platform store reports that, and has stopped fetching: parts that it last used may be freed.
#[tokio::test(start_paused = true)]
async fn a_box_that_reports_lost_contact_does_not_block_freeing() {
    let mut leader = Retirements::default();
    let start = Instant::now();
    leader.update(&view(2, start), FULL, start);
    tokio::time::advance(Duration::from_secs(8)).await;
    let now = Instant::now();
    let idle_time = Duration::from_secs(8);
    assert!(!Retirements::default().may_fetch(&view(0, start), Duration::ZERO, now));
    leader.apply_update(name("box-2"), reported(0.0), idle_time, now);
    assert_eq!(leader.unused_share(&old_weights(), &view(2, now), now), 0.5);
}

#[tokio::test(start_paused = true)]
async fn without_the_platform_store_boxes_fetch_only_if_no_box_reaches_it() {
    let mut retirements = Retirements::default();
    let start = Instant::now();
    tokio::time::advance(Duration::from_secs(5)).await;
    let now = Instant::now();
    let stale = view(0, start);
    assert!(
        !retirements.may_fetch(&stale, Duration::ZERO, now),
        "no report from the other box"
    );
    retirements.apply_update(name("box-2"), Vec::new(), Duration::ZERO, now);
    assert!(
        !retirements.may_fetch(&stale, Duration::ZERO, now),
        "the other box reaches the store"
    );
    retirements.apply_update(name("box-2"), Vec::new(), Duration::from_secs(5), now);
    assert!(retirements.may_fetch(&stale, Duration::ZERO, now));
}

#[test]
fn the_order_of_retirement_is_spread_over_all_parts() {
    let low = (0..1_000)
        .filter(|i| retirement_rank(&key(&format!("p{i}"))) < 0.5)
        .count();
    assert!((400..600).contains(&low), "{low} of 1,000");
}

/// Guards against freeing parts in use in a large zone, where a box receives few digests: without the hub's update it might fetch parts
/// that are freed after five seconds because no report says that they are used.
#[tokio::test(start_paused = true)]
async fn shares_from_a_hub_are_retired_immediately() {
    let leader = {
        let mut leader = Retirements::default();
        leader.update(&view(4, Instant::now()), 0.0, Instant::now());
        leader
    };
    let mut other = Retirements::default();
    assert!(!other.has_any());
    other.apply_shares(&leader.applied());
    assert_eq!(other.applied(), leader.applied());
    let salt = SaltParts {
        model: name("m"),
        version: WeightVersion(1),
        sharing: Sharing::AllBut(IsolatedSet::NONE),
    };
    assert!(other.is_retired(&salt, &key("a")));
}
