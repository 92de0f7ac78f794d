//! When parts of replaced weights are retired, and when nobody fetches them any more.

use crate::common::{engine, name, target};
use crate::{STORE, key};
use sillpin_core::WeightVersion;
use sillpin_gateway::beliefs::{BoxEntry, Known, Named, View, Wanted};
use sillpin_gateway::control::PartKey;
use sillpin_gateway::kept::retire::{MAX_FETCH_TIME, Retired, Retirements, Weights, place_of};
use sillpin_gateway::kept::salt::SaltParts;
use sillpin_platform::KvRevision;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// `upgraded` of four engines serve version 2; one other box is known.
fn view(upgraded: usize, confirmed: Instant) -> View {
    let engines = (0..4).map(|i| {
        let mut engine = engine(&format!("e{i}"), "za");
        if i < upgraded {
            engine.served[0].version = WeightVersion(2);
        }
        (target(&format!("e{i}")), Arc::new(engine))
    });
    let wanted = Wanted::new(Named {
        version: WeightVersion(2),
        since: confirmed,
        witnessed: true,
    });
    View {
        entries: Arc::new(engines.collect()),
        wanted: Arc::new(HashMap::from([(name("m"), wanted)])),
        listed: Known {
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

/// A store that is as full as it gets.
const FULL: f64 = 0.975;

fn old_weights() -> Weights {
    Weights {
        model: name("m"),
        version: WeightVersion(1),
    }
}

fn told(share: f64) -> Vec<Retired> {
    vec![Retired {
        weights: old_weights(),
        share,
    }]
}

#[tokio::test(start_paused = true)]
async fn parts_are_retired_in_step_with_the_engines_and_never_come_back() {
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
        "an engine that went back brings no part back"
    );
    retirements.update(&view(4, now), FULL, now);
    assert_eq!(retired(&retirements), 400);
    let newer: SaltParts = "m/2".parse().unwrap();
    assert!(!retirements.is_retired(&newer, &parts[0]));
}

#[tokio::test(start_paused = true)]
async fn replaced_parts_stay_in_use_while_there_is_room_and_an_engine_for_them() {
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
async fn nothing_is_unused_while_a_box_may_still_fetch_it() {
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
        "the other box has said nothing"
    );
    retirements.hear(name("box-2"), told(0.25), Duration::ZERO, now);
    assert_eq!(unused(&retirements, now), 0.25);
    retirements.hear(name("box-2"), told(1.0), Duration::ZERO, now);
    assert_eq!(unused(&retirements, now), 1.0);
}

#[tokio::test(start_paused = true)]
async fn a_box_tells_of_retired_parts_only_when_its_fetches_of_them_are_over() {
    let mut retirements = Retirements::default();
    let start = Instant::now();
    let told = |r: &Retirements| r.told(Instant::now()).first().map_or(0.0, |r| r.share);
    retirements.update(&view(2, start), FULL, start);
    assert_eq!(
        told(&retirements),
        0.0,
        "a fetch may have begun just before"
    );
    tokio::time::advance(MAX_FETCH_TIME).await;
    assert_eq!(told(&retirements), 0.5);
    let now = Instant::now();
    retirements.update(&view(4, now), FULL, now);
    assert_eq!(told(&retirements), 0.5);
    tokio::time::advance(MAX_FETCH_TIME).await;
    assert_eq!(told(&retirements), 1.0);
}

#[tokio::test(start_paused = true)]
async fn a_box_that_says_nothing_has_stopped_fetching_after_a_while() {
    let mut retirements = Retirements::default();
    let start = Instant::now();
    retirements.update(&view(4, start), FULL, start);
    assert!(retirements.may_fetch(&view(4, start), Duration::ZERO, start));
    // Out of touch after 2.5 s, half a second of margin, and the last fetch.
    let rounds = (Duration::from_millis(3_100) + MAX_FETCH_TIME).as_millis() / 100;
    for _ in 0..rounds {
        tokio::time::advance(Duration::from_millis(100)).await;
        let now = Instant::now();
        retirements.update(&view(4, now), FULL, now);
        let unused = retirements.unused_share(&old_weights(), &view(4, now), now);
        // The other box, silent and out of touch since the start, applies the same rule to itself.
        let may_fetch = Retirements::default().may_fetch(&view(4, start), Duration::ZERO, now);
        assert!(unused == 0.0 || !may_fetch, "after {:?}", now - start);
    }
    let now = Instant::now();
    assert_eq!(
        retirements.unused_share(&old_weights(), &view(4, now), now),
        1.0
    );
}

/// A box was started anew while engines changed to new weights. By then there was room in the stores again, so it used parts of
/// the replaced weights that the others had retired while the stores were full, and said so. The box that frees parts had known
/// them to be retired for long and went by that: it freed parts that the new box's engines were fetching.
#[tokio::test(start_paused = true)]
async fn what_a_box_that_started_anew_still_uses_is_not_freed() {
    let salt: SaltParts = "m/1".parse().unwrap();
    let parts: Vec<PartKey> = (0..400).map(|i| key(&format!("p{i}"))).collect();
    let mut holder = Retirements::default();
    let mut started = Retirements::default();
    let step = Duration::from_millis(400);
    let roomy = 0.5;
    holder.update(&view(2, Instant::now()), FULL, Instant::now());
    tokio::time::advance(Duration::from_secs(8)).await;
    for round in 0..20u32 {
        let now = Instant::now();
        let view = view(2, now);
        started.update(&view, roomy, now);
        holder.update(&view, roomy, now);
        holder.hear(name("box-2"), started.told(now), Duration::ZERO, now);
        let unused = holder.unused_share(&old_weights(), &view, now);
        let used = |key: &&PartKey| !started.is_retired(&salt, key);
        let freed = parts
            .iter()
            .filter(used)
            .filter(|key| place_of(key) < unused);
        assert_eq!(
            freed.count(),
            0,
            "in use and freed, after {:?}",
            step * round
        );
        tokio::time::advance(step).await;
    }
}

/// A box that was started anew, when there was room in the stores again, used parts that all others had retired. As long as it does
/// so nobody may free them, and the room stays taken.
#[tokio::test(start_paused = true)]
async fn a_box_that_started_anew_takes_over_what_others_have_retired() {
    let mut holder = Retirements::default();
    let mut started = Retirements::default();
    let start = Instant::now();
    holder.update(&view(2, start), FULL, start);
    tokio::time::advance(MAX_FETCH_TIME).await;
    let now = Instant::now();
    let view = view(2, now);
    let roomy = 0.5;
    started.update(&view, roomy, now);
    started.hear(name("box-1"), holder.told(now), Duration::ZERO, now);
    started.update(&view, roomy, now);
    tokio::time::advance(MAX_FETCH_TIME).await;
    let now = Instant::now();
    holder.update(&view, roomy, now);
    holder.hear(name("box-2"), started.told(now), Duration::ZERO, now);
    assert_eq!(holder.unused_share(&old_weights(), &view, now), 0.5);
}

/// A box that the store does not answer says so, and has stopped fetching: what it last used is no reason to keep parts.
#[tokio::test(start_paused = true)]
async fn a_box_that_says_that_it_is_out_of_touch_holds_nothing_back() {
    let mut holder = Retirements::default();
    let start = Instant::now();
    holder.update(&view(2, start), FULL, start);
    tokio::time::advance(Duration::from_secs(8)).await;
    let now = Instant::now();
    let silence = Duration::from_secs(8);
    assert!(!Retirements::default().may_fetch(&view(0, start), Duration::ZERO, now));
    holder.hear(name("box-2"), told(0.0), silence, now);
    assert_eq!(holder.unused_share(&old_weights(), &view(2, now), now), 0.5);
}

#[tokio::test(start_paused = true)]
async fn without_the_store_boxes_fetch_on_only_if_none_of_them_reaches_it() {
    let mut retirements = Retirements::default();
    let start = Instant::now();
    tokio::time::advance(Duration::from_secs(5)).await;
    let now = Instant::now();
    let stale = view(0, start);
    assert!(
        !retirements.may_fetch(&stale, Duration::ZERO, now),
        "the other box is not heard"
    );
    retirements.hear(name("box-2"), Vec::new(), Duration::ZERO, now);
    assert!(
        !retirements.may_fetch(&stale, Duration::ZERO, now),
        "the other box reaches the store"
    );
    retirements.hear(name("box-2"), Vec::new(), Duration::from_secs(5), now);
    assert!(retirements.may_fetch(&stale, Duration::ZERO, now));
}

#[test]
fn the_order_of_retirement_is_spread_over_all_parts() {
    let low = (0..1_000)
        .filter(|i| place_of(&key(&format!("p{i}"))) < 0.5)
        .count();
    assert!((400..600).contains(&low), "{low} of 1,000");
}

/// In a large zone a box hears few digests. Had it learned only from those what others retired, it might have gone on fetching parts that were
/// freed after five seconds because nobody was heard to use them.
#[tokio::test(start_paused = true)]
async fn what_a_hub_tells_is_retired_at_once() {
    let holder = {
        let mut holder = Retirements::default();
        holder.update(&view(4, Instant::now()), 0.0, Instant::now());
        holder
    };
    let mut other = Retirements::default();
    assert!(!other.has_any());
    other.learn(&holder.applied());
    assert_eq!(other.applied(), holder.applied());
    let salt = SaltParts {
        model: name("m"),
        version: WeightVersion(1),
        wall: None,
    };
    assert!(other.is_retired(&salt, &key("a")));
}
