//! Which weights a prompt may run on, as versions are named one after the other.

use sillpin_core::WeightVersion;
use sillpin_gateway::fleet_state::{DesiredVersion, DesiredVersions};
use sillpin_gateway::place::allowed::WeightsUse;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::{Instant, advance};

/// No request begins on weights that were replaced longer ago.
const LIMIT: Duration = Duration::from_secs(10);

fn version(number: u64) -> WeightVersion {
    WeightVersion(number)
}

fn named(number: u64) -> DesiredVersion {
    DesiredVersion {
        version: version(number),
        since: Instant::now(),
        witnessed: true,
    }
}

/// The oldest weights that a box in touch with the store may use, with one engine for each entry of `served`.
fn oldest(desired: &DesiredVersions, served: &[u64]) -> u64 {
    let long_ago = Instant::now() - Duration::from_secs(3_600);
    oldest_in_touch_since(Some(long_ago), desired, served)
}

/// The same for a box that has been in touch with the store since a moment, or is not.
fn oldest_in_touch_since(
    in_contact: Option<Instant>,
    desired: &DesiredVersions,
    served: &[u64],
) -> u64 {
    let now = Instant::now();
    let mut serving = BTreeMap::new();
    for number in served {
        *serving.entry(version(*number)).or_default() += 1;
    }
    let weights = WeightsUse {
        desired: Some(desired),
        serving: &serving,
        limit: LIMIT,
        in_contact,
        now,
    };
    weights.allowed().oldest.0
}

#[tokio::test(start_paused = true)]
async fn a_later_version_leaves_the_time_of_an_earlier_one_alone() {
    let mut desired = DesiredVersions::new(named(1));
    advance(Duration::from_secs(60)).await;
    desired.record(named(2), Instant::now());
    advance(Duration::from_secs(4)).await;
    desired.record(named(3), Instant::now());
    advance(Duration::from_millis(3_400)).await;
    assert_eq!(
        oldest(&desired, &[1, 2, 3]),
        1,
        "version 2 was named 7.4 s ago"
    );
    advance(Duration::from_millis(200)).await;
    assert_eq!(
        oldest(&desired, &[1, 2, 3]),
        2,
        "version 2 was named 7.6 s ago"
    );
    advance(Duration::from_secs(4)).await;
    assert_eq!(
        oldest(&desired, &[1, 2, 3]),
        3,
        "version 3 was named 7.6 s ago"
    );
}

#[tokio::test(start_paused = true)]
async fn of_two_times_for_one_version_the_earlier_counts() {
    let start = Instant::now();
    let mut desired = DesiredVersions::new(named(1));
    advance(Duration::from_secs(5)).await;
    assert!(desired.record(named(2), Instant::now()));
    let earlier = DesiredVersion {
        since: start + Duration::from_secs(1),
        ..named(2)
    };
    assert!(desired.record(earlier, Instant::now()));
    assert!(!desired.record(named(2), Instant::now()));
    assert_eq!(desired.find(version(2)), Some(&earlier));
    let unwitnessed = DesiredVersion {
        since: start,
        witnessed: false,
        ..earlier
    };
    assert!(desired.record(unwitnessed, Instant::now()));
    let merged = DesiredVersion {
        since: start,
        ..earlier
    };
    assert_eq!(
        desired.find(version(2)),
        Some(&merged),
        "a box had read it by then"
    );
}

/// After the loss of all boxes nobody knows when weights were named that the store says are wanted.
#[tokio::test(start_paused = true)]
async fn weights_that_nobody_saw_being_named_are_judged_by_how_many_engines_serve_them() {
    let mut desired = DesiredVersions::new(DesiredVersion {
        witnessed: false,
        ..named(2)
    });
    assert_eq!(
        oldest(&desired, &[1, 1, 1, 2]),
        1,
        "they may have been named just now"
    );
    assert_eq!(
        oldest(&desired, &[1, 1, 2, 2]),
        2,
        "they were named seconds ago"
    );
    advance(Duration::from_millis(7_600)).await;
    assert_eq!(oldest(&desired, &[1, 1, 1, 2]), 2);
    let seen = DesiredVersion {
        since: Instant::now() - Duration::from_secs(8),
        ..named(2)
    };
    assert!(
        desired.record(seen, Instant::now()),
        "a box that saw it turns up"
    );
    assert_eq!(oldest(&desired, &[1, 1, 1, 2]), 2);
}

#[tokio::test(start_paused = true)]
async fn once_a_box_that_saw_it_is_found_the_number_of_engines_does_not_matter() {
    let mut desired = DesiredVersions::new(DesiredVersion {
        witnessed: false,
        ..named(2)
    });
    assert_eq!(oldest(&desired, &[1, 1, 2, 2]), 2);
    let seen = DesiredVersion {
        since: Instant::now() - Duration::from_secs(1),
        ..named(2)
    };
    assert!(desired.record(seen, Instant::now()));
    assert_eq!(
        oldest(&desired, &[1, 1, 2, 2]),
        1,
        "it was named a second ago"
    );
}

#[tokio::test(start_paused = true)]
async fn versions_of_long_ago_are_forgotten_but_not_that_older_weights_were_replaced() {
    let mut desired = DesiredVersions::new(named(1));
    for number in 2..200 {
        advance(Duration::from_secs(60)).await;
        desired.record(named(number), Instant::now());
    }
    let ages: Vec<Duration> = desired
        .newer(version(1))
        .map(|n| n.since.elapsed())
        .collect();
    assert!(ages.len() < 16, "boxes tell each other all of them");
    assert_eq!(
        ages[0],
        Duration::from_secs(600),
        "far longer than any limit"
    );
    assert_eq!(
        oldest(&desired, &[1, 198, 199]),
        198,
        "version 199 was named just now"
    );
}

/// All engines served version 2 when versions 3 and 4 were named, and their loads were held up.
#[tokio::test(start_paused = true)]
async fn without_newer_engines_the_newest_are_used_to_the_end_of_their_time_and_no_longer() {
    let mut desired = DesiredVersions::new(named(2));
    advance(Duration::from_secs(60)).await;
    desired.record(named(3), Instant::now());
    advance(Duration::from_secs(1)).await;
    desired.record(named(4), Instant::now());
    advance(Duration::from_secs(7)).await;
    assert_eq!(
        oldest(&desired, &[2, 2, 3]),
        3,
        "version 2 was replaced 8 s ago, version 3 7 s ago"
    );
    advance(Duration::from_millis(900)).await;
    assert_eq!(
        oldest(&desired, &[2, 2, 3]),
        3,
        "8.9 s and 7.9 s ago, and nothing newer is served"
    );
    assert_eq!(
        oldest(&desired, &[2, 2, 2]),
        2,
        "8.9 s ago, and nothing newer is served"
    );
    advance(Duration::from_millis(200)).await;
    assert_eq!(
        oldest(&desired, &[2, 2, 2]),
        4,
        "a prompt may reach its engine too late"
    );
}

#[tokio::test(start_paused = true)]
async fn weights_are_not_to_blame_for_the_time_without_the_store() {
    let mut desired = DesiredVersions::new(named(1));
    advance(Duration::from_secs(60)).await;
    desired.record(named(2), Instant::now());
    advance(Duration::from_secs(20)).await;
    assert_eq!(
        oldest_in_touch_since(None, &desired, &[1, 1, 2]),
        0,
        "out of touch"
    );
    let back = Some(Instant::now());
    advance(Duration::from_secs(1)).await;
    assert_eq!(
        oldest_in_touch_since(back, &desired, &[1, 1]),
        1,
        "nobody could load them"
    );
    assert_eq!(
        oldest_in_touch_since(back, &desired, &[1, 1, 2]),
        2,
        "somebody could"
    );
    advance(Duration::from_secs(9)).await;
    assert_eq!(
        oldest_in_touch_since(back, &desired, &[1, 1]),
        2,
        "there was time enough"
    );
}

/// A box had started a moment after version 2 was named, so it knew that for 7 s; no box that had seen the naming was left. Then another, frozen until
/// then, found version 2 and said that it saw it being named just now. The first box believed it, and used version 1 for seven more seconds.
#[tokio::test(start_paused = true)]
async fn what_a_box_has_known_for_long_was_not_named_just_now() {
    let mut desired = DesiredVersions::new(DesiredVersion {
        witnessed: false,
        ..named(2)
    });
    advance(Duration::from_secs(7)).await;
    desired.record(named(2), Instant::now());
    let since = desired.newest().since;
    assert_eq!(
        since.elapsed(),
        Duration::from_secs(7),
        "it was in the store by then"
    );
    advance(Duration::from_secs(1)).await;
    assert_eq!(
        oldest(&desired, &[1, 1, 1, 2]),
        2,
        "version 2 has been known for 8 s"
    );
}

/// The store was away and has come back; a prompt was sent to the newest weights that are served just before the time after that was over. It waits
/// at its engine: nobody knew until when it could begin, and the box looked again after up to a second.
#[tokio::test(start_paused = true)]
async fn a_prompt_sent_after_the_stores_return_is_taken_back_in_time_too() {
    let mut desired = DesiredVersions::new(named(1));
    advance(Duration::from_secs(60)).await;
    desired.record(named(2), Instant::now());
    advance(Duration::from_secs(20)).await;
    let back = Instant::now();
    advance(Duration::from_millis(8_900)).await;
    let serving = BTreeMap::from([(version(1), 2)]);
    let weights = WeightsUse {
        desired: Some(&desired),
        serving: &serving,
        limit: LIMIT,
        in_contact: Some(back),
        now: Instant::now(),
    };
    assert_eq!(weights.allowed().oldest, version(1), "it may be sent");
    let begin_by = weights.begin_by(version(1));
    assert!(
        begin_by.is_some_and(|at| at < back + LIMIT),
        "it may wait at its engine: {begin_by:?}"
    );
}

/// No engine served the newest weights. Boxes sent prompts to the older ones up to the very moment at which they took them back: on a day of our own
/// 16 prompts were sent 4 to 84 ms before. They were lost, since they may have run; refused at once their callers would have come again.
#[tokio::test(start_paused = true)]
async fn a_prompt_that_may_be_sent_has_time_to_begin() {
    const LEAST: Duration = Duration::from_millis(200);
    let mut desired = DesiredVersions::new(named(1));
    advance(Duration::from_secs(60)).await;
    desired.record(named(2), Instant::now());
    let serving = BTreeMap::from([(version(1), 2)]);
    for _ in 0..200 {
        let weights = WeightsUse {
            desired: Some(&desired),
            serving: &serving,
            limit: LIMIT,
            in_contact: Some(Instant::now() - Duration::from_secs(3_600)),
            now: Instant::now(),
        };
        if weights.allowed().oldest == version(1) {
            let begin_by = weights.begin_by(version(1)).unwrap();
            let left = begin_by - Instant::now();
            let age = desired.newest().since.elapsed();
            assert!(left >= LEAST, "{left:?} after {age:?}");
        }
        advance(Duration::from_millis(50)).await;
    }
}

/// Prompts waited at an engine with old weights while the store was away. It came back, and another engine had newer weights: the prompts were taken back
/// within a second and lost, although the time without the store does not count and they had ten more seconds to begin.
#[tokio::test(start_paused = true)]
async fn the_stores_return_takes_back_no_prompt_that_was_sent_without_it() {
    let mut desired = DesiredVersions::new(named(1));
    advance(Duration::from_secs(60)).await;
    desired.record(named(2), Instant::now());
    advance(Duration::from_secs(20)).await;
    let serving = BTreeMap::from([(version(1), 1), (version(2), 1)]);
    let away = WeightsUse {
        desired: Some(&desired),
        serving: &serving,
        limit: LIMIT,
        in_contact: None,
        now: Instant::now(),
    };
    assert_eq!(away.allowed().oldest, version(0), "it may be sent");
    assert_eq!(away.begin_by(version(1)), None);
    let back = WeightsUse {
        in_contact: Some(Instant::now()),
        ..away
    };
    let begin_by = back.begin_by(version(1));
    assert!(
        begin_by.is_none_or(|at| at > Instant::now()),
        "it is taken back at once: {begin_by:?}"
    );
}
