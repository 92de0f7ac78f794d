//! Which weights a prompt may run on, as versions are named one after the other.

use sillpin_core::WeightVersion;
use sillpin_gateway::beliefs::{Named, Wanted};
use sillpin_gateway::place::allowed::WeightsUse;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::{Instant, advance};

/// No request begins on weights that were replaced longer ago.
const LIMIT: Duration = Duration::from_secs(10);

fn version(number: u64) -> WeightVersion {
    WeightVersion(number)
}

fn named(number: u64) -> Named {
    Named {
        version: version(number),
        since: Instant::now(),
        witnessed: true,
    }
}

/// The oldest weights that a box in touch with the store may use, with one engine for each entry of `served`.
fn oldest(wanted: &Wanted, served: &[u64]) -> u64 {
    let long_ago = Instant::now() - Duration::from_secs(3_600);
    oldest_in_touch_since(Some(long_ago), wanted, served)
}

/// The same for a box that has been in touch with the store since a moment, or is not.
fn oldest_in_touch_since(in_touch: Option<Instant>, wanted: &Wanted, served: &[u64]) -> u64 {
    let now = Instant::now();
    let mut serving = BTreeMap::new();
    for number in served {
        *serving.entry(version(*number)).or_default() += 1;
    }
    let weights = WeightsUse {
        wanted: Some(wanted),
        serving: &serving,
        limit: LIMIT,
        in_touch,
        now,
    };
    weights.allowed().oldest.0
}

#[tokio::test(start_paused = true)]
async fn a_later_version_leaves_the_time_of_an_earlier_one_alone() {
    let mut wanted = Wanted::new(named(1));
    advance(Duration::from_secs(60)).await;
    wanted.note(named(2), Instant::now());
    advance(Duration::from_secs(4)).await;
    wanted.note(named(3), Instant::now());
    advance(Duration::from_millis(3_400)).await;
    assert_eq!(
        oldest(&wanted, &[1, 2, 3]),
        1,
        "version 2 was named 7.4 s ago"
    );
    advance(Duration::from_millis(200)).await;
    assert_eq!(
        oldest(&wanted, &[1, 2, 3]),
        2,
        "version 2 was named 7.6 s ago"
    );
    advance(Duration::from_secs(4)).await;
    assert_eq!(
        oldest(&wanted, &[1, 2, 3]),
        3,
        "version 3 was named 7.6 s ago"
    );
}

#[tokio::test(start_paused = true)]
async fn of_two_times_for_one_version_the_earlier_counts() {
    let start = Instant::now();
    let mut wanted = Wanted::new(named(1));
    advance(Duration::from_secs(5)).await;
    assert!(wanted.note(named(2), Instant::now()));
    let earlier = Named {
        since: start + Duration::from_secs(1),
        ..named(2)
    };
    assert!(wanted.note(earlier, Instant::now()));
    assert!(!wanted.note(named(2), Instant::now()));
    assert_eq!(wanted.find(version(2)), Some(&earlier));
    let unwitnessed = Named {
        since: start,
        witnessed: false,
        ..earlier
    };
    assert!(!wanted.note(unwitnessed, Instant::now()), "nobody saw it");
}

/// After the loss of all boxes nobody knows when weights were named that the store says are wanted.
#[tokio::test(start_paused = true)]
async fn weights_that_nobody_saw_being_named_are_judged_by_how_many_engines_serve_them() {
    let mut wanted = Wanted::new(Named {
        witnessed: false,
        ..named(2)
    });
    assert_eq!(
        oldest(&wanted, &[1, 1, 1, 2]),
        1,
        "they may have been named just now"
    );
    assert_eq!(
        oldest(&wanted, &[1, 1, 2, 2]),
        2,
        "they were named seconds ago"
    );
    advance(Duration::from_millis(7_600)).await;
    assert_eq!(oldest(&wanted, &[1, 1, 1, 2]), 2);
    assert!(
        wanted.note(named(2), Instant::now()),
        "a box that saw it turns up"
    );
    assert_eq!(oldest(&wanted, &[1, 1, 2, 2]), 1);
}

#[tokio::test(start_paused = true)]
async fn versions_of_long_ago_are_forgotten_but_not_that_older_weights_were_replaced() {
    let mut wanted = Wanted::new(named(1));
    for number in 2..200 {
        advance(Duration::from_secs(60)).await;
        wanted.note(named(number), Instant::now());
    }
    let ages: Vec<Duration> = wanted
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
        oldest(&wanted, &[1, 198, 199]),
        198,
        "version 199 was named just now"
    );
}

/// All engines served version 2 when versions 3 and 4 were named, and their loads were held up.
#[tokio::test(start_paused = true)]
async fn without_newer_engines_the_newest_are_used_to_the_end_of_their_time_and_no_longer() {
    let mut wanted = Wanted::new(named(2));
    advance(Duration::from_secs(60)).await;
    wanted.note(named(3), Instant::now());
    advance(Duration::from_secs(1)).await;
    wanted.note(named(4), Instant::now());
    advance(Duration::from_secs(7)).await;
    assert_eq!(
        oldest(&wanted, &[2, 2, 3]),
        3,
        "version 2 was replaced 8 s ago, version 3 7 s ago"
    );
    advance(Duration::from_secs(1)).await;
    assert_eq!(
        oldest(&wanted, &[2, 2, 3]),
        3,
        "9 s and 8 s ago, and nothing newer is served"
    );
    assert_eq!(
        oldest(&wanted, &[2, 2, 2]),
        2,
        "9 s ago, and nothing newer is served"
    );
    advance(Duration::from_millis(300)).await;
    assert_eq!(
        oldest(&wanted, &[2, 2, 2]),
        4,
        "a prompt may reach its engine too late"
    );
}

#[tokio::test(start_paused = true)]
async fn weights_are_not_to_blame_for_the_time_without_the_store() {
    let mut wanted = Wanted::new(named(1));
    advance(Duration::from_secs(60)).await;
    wanted.note(named(2), Instant::now());
    advance(Duration::from_secs(20)).await;
    assert_eq!(
        oldest_in_touch_since(None, &wanted, &[1, 1, 2]),
        0,
        "out of touch"
    );
    let back = Some(Instant::now());
    advance(Duration::from_secs(1)).await;
    assert_eq!(
        oldest_in_touch_since(back, &wanted, &[1, 1]),
        1,
        "nobody could load them"
    );
    assert_eq!(
        oldest_in_touch_since(back, &wanted, &[1, 1, 2]),
        2,
        "somebody could"
    );
    advance(Duration::from_secs(9)).await;
    assert_eq!(
        oldest_in_touch_since(back, &wanted, &[1, 1]),
        2,
        "there was time enough"
    );
}
