//! Tests of the weights on which a prompt may run while operators request new versions.

use sillpin_core::WeightVersion;
use sillpin_gateway::fleet_state::{DesiredVersion, DesiredVersions};
use sillpin_gateway::placement::allowed::WeightsInputs;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::{Instant, advance};

/// No request starts on weights that were replaced longer ago.
const LIMIT: Duration = Duration::from_secs(10);

fn version(number: u64) -> WeightVersion {
    WeightVersion(number)
}

fn requested(number: u64) -> DesiredVersion {
    DesiredVersion {
        version: version(number),
        since: Instant::now(),
        witnessed: true,
    }
}

/// Returns the oldest weights that a box in contact with the store may use, with one engine for
/// each entry of `served`.
fn oldest(desired: &DesiredVersions, served: &[u64]) -> u64 {
    let long_ago = Instant::now() - Duration::from_secs(3_600);
    oldest_in_contact_since(Some(long_ago), desired, served)
}

/// The same for a box that has been in contact with the store since `in_contact`, or is not.
fn oldest_in_contact_since(
    in_contact: Option<Instant>,
    desired: &DesiredVersions,
    served: &[u64],
) -> u64 {
    let now = Instant::now();
    let mut serving = BTreeMap::new();
    for number in served {
        *serving.entry(version(*number)).or_default() += 1;
    }
    let weights = WeightsInputs {
        desired: Some(desired),
        serving: &serving,
        limit: LIMIT,
        in_contact,
        now,
    };
    weights.allowed().oldest.0
}

#[tokio::test(start_paused = true)]
async fn a_later_version_does_not_change_the_age_of_an_earlier_one() {
    let mut desired = DesiredVersions::new(requested(1));
    advance(Duration::from_secs(60)).await;
    desired.record(requested(2), Instant::now());
    advance(Duration::from_secs(4)).await;
    desired.record(requested(3), Instant::now());
    advance(Duration::from_millis(3_400)).await;
    assert_eq!(
        oldest(&desired, &[1, 2, 3]),
        1,
        "version 2 was requested 7.4 s ago"
    );
    advance(Duration::from_millis(200)).await;
    assert_eq!(
        oldest(&desired, &[1, 2, 3]),
        2,
        "version 2 was requested 7.6 s ago"
    );
    advance(Duration::from_secs(4)).await;
    assert_eq!(
        oldest(&desired, &[1, 2, 3]),
        3,
        "version 3 was requested 7.6 s ago"
    );
}

#[tokio::test(start_paused = true)]
async fn of_two_times_for_one_version_the_earlier_counts() {
    let start = Instant::now();
    let mut desired = DesiredVersions::new(requested(1));
    advance(Duration::from_secs(5)).await;
    assert!(desired.record(requested(2), Instant::now()));
    let earlier = DesiredVersion {
        since: start + Duration::from_secs(1),
        ..requested(2)
    };
    assert!(desired.record(earlier, Instant::now()));
    assert!(!desired.record(requested(2), Instant::now()));
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
        "a box had read it by that time"
    );
}

/// If all boxes were lost, none knows when the desired weights in the store were requested.
#[tokio::test(start_paused = true)]
async fn the_age_of_unwitnessed_weights_is_judged_by_the_engines_that_serve_them() {
    let mut desired = DesiredVersions::new(DesiredVersion {
        witnessed: false,
        ..requested(2)
    });
    assert_eq!(
        oldest(&desired, &[1, 1, 1, 2]),
        1,
        "they may have been requested just now"
    );
    assert_eq!(
        oldest(&desired, &[1, 1, 2, 2]),
        2,
        "they were requested seconds ago"
    );
    advance(Duration::from_millis(7_600)).await;
    assert_eq!(oldest(&desired, &[1, 1, 1, 2]), 2);
    let seen = DesiredVersion {
        since: Instant::now() - Duration::from_secs(8),
        ..requested(2)
    };
    assert!(
        desired.record(seen, Instant::now()),
        "a box that witnessed it is found"
    );
    assert_eq!(oldest(&desired, &[1, 1, 1, 2]), 2);
}

#[tokio::test(start_paused = true)]
async fn a_witnessed_age_overrides_the_number_of_engines() {
    let mut desired = DesiredVersions::new(DesiredVersion {
        witnessed: false,
        ..requested(2)
    });
    assert_eq!(oldest(&desired, &[1, 1, 2, 2]), 2);
    let seen = DesiredVersion {
        since: Instant::now() - Duration::from_secs(1),
        ..requested(2)
    };
    assert!(desired.record(seen, Instant::now()));
    assert_eq!(
        oldest(&desired, &[1, 1, 2, 2]),
        1,
        "it was requested a second ago"
    );
}

#[tokio::test(start_paused = true)]
async fn old_versions_are_removed_but_their_replacement_is_not_forgotten() {
    let mut desired = DesiredVersions::new(requested(1));
    for number in 2..200 {
        advance(Duration::from_secs(60)).await;
        desired.record(requested(number), Instant::now());
    }
    let ages: Vec<Duration> = desired
        .newer(version(1))
        .map(|n| n.since.elapsed())
        .collect();
    assert!(ages.len() < 16, "boxes send each other all of them");
    assert_eq!(
        ages[0],
        Duration::from_secs(600),
        "far longer than any limit"
    );
    assert_eq!(
        oldest(&desired, &[1, 198, 199]),
        198,
        "version 199 was requested just now"
    );
}

/// All engines serve version 2 when versions 3 and 4 are requested, and their loads are delayed.
#[tokio::test(start_paused = true)]
async fn without_newer_engines_the_newest_weights_are_used_until_their_limit() {
    let mut desired = DesiredVersions::new(requested(2));
    advance(Duration::from_secs(60)).await;
    desired.record(requested(3), Instant::now());
    advance(Duration::from_secs(1)).await;
    desired.record(requested(4), Instant::now());
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
async fn time_without_the_store_does_not_count() {
    let mut desired = DesiredVersions::new(requested(1));
    advance(Duration::from_secs(60)).await;
    desired.record(requested(2), Instant::now());
    advance(Duration::from_secs(20)).await;
    assert_eq!(
        oldest_in_contact_since(None, &desired, &[1, 1, 2]),
        0,
        "out of contact"
    );
    let back = Some(Instant::now());
    advance(Duration::from_secs(1)).await;
    assert_eq!(
        oldest_in_contact_since(back, &desired, &[1, 1]),
        1,
        "no box could load newer ones"
    );
    assert_eq!(
        oldest_in_contact_since(back, &desired, &[1, 1, 2]),
        2,
        "newer ones were loaded"
    );
    advance(Duration::from_secs(9)).await;
    assert_eq!(
        oldest_in_contact_since(back, &desired, &[1, 1]),
        2,
        "there was enough time"
    );
}

/// Guards against use of replaced weights after a wrong report. A box that started just after
/// version 2 was requested has known it for 7 s, and no box that witnessed the request is left.
/// Then another box, frozen until then, finds version 2 and reports that it was requested just now.
/// If the first box accepts this, it uses version 1 for seven more seconds.
#[tokio::test(start_paused = true)]
async fn a_version_known_for_long_is_not_taken_as_new() {
    let mut desired = DesiredVersions::new(DesiredVersion {
        witnessed: false,
        ..requested(2)
    });
    advance(Duration::from_secs(7)).await;
    desired.record(requested(2), Instant::now());
    let since = desired.newest().since;
    assert_eq!(
        since.elapsed(),
        Duration::from_secs(7),
        "it was in the store by that time"
    );
    advance(Duration::from_secs(1)).await;
    assert_eq!(
        oldest(&desired, &[1, 1, 1, 2]),
        2,
        "version 2 has been known for 8 s"
    );
}

/// Guards against a prompt that starts too late: after an outage of the store, it is sent to the
/// newest served weights just before the time allowed after the outage is over. It waits at its
/// engine without a known limit, and the box checks it only up to a second later.
#[tokio::test(start_paused = true)]
async fn a_prompt_sent_after_an_outage_is_withdrawn_in_time() {
    let mut desired = DesiredVersions::new(requested(1));
    advance(Duration::from_secs(60)).await;
    desired.record(requested(2), Instant::now());
    advance(Duration::from_secs(20)).await;
    let back = Instant::now();
    advance(Duration::from_millis(8_900)).await;
    let serving = BTreeMap::from([(version(1), 2)]);
    let weights = WeightsInputs {
        desired: Some(&desired),
        serving: &serving,
        limit: LIMIT,
        in_contact: Some(back),
        now: Instant::now(),
    };
    assert_eq!(weights.allowed().oldest, version(1), "it may be sent");
    let latest_start = weights.latest_start(version(1));
    assert!(
        latest_start.is_some_and(|at| at < back + LIMIT),
        "it may wait at its engine: {latest_start:?}"
    );
}

/// Guards against prompts that are cancelled soon after they were sent: no engine serves the newest
/// weights, and boxes sent prompts to older ones 4 to 84 ms before the moment at which they
/// cancelled them. Such prompts were lost, since they may have run; refused immediately, their
/// callers would have sent them again.
#[tokio::test(start_paused = true)]
async fn a_prompt_that_may_be_sent_has_time_to_start() {
    const MIN_TIME: Duration = Duration::from_millis(200);
    let mut desired = DesiredVersions::new(requested(1));
    advance(Duration::from_secs(60)).await;
    desired.record(requested(2), Instant::now());
    let serving = BTreeMap::from([(version(1), 2)]);
    for _ in 0..200 {
        let weights = WeightsInputs {
            desired: Some(&desired),
            serving: &serving,
            limit: LIMIT,
            in_contact: Some(Instant::now() - Duration::from_secs(3_600)),
            now: Instant::now(),
        };
        if weights.allowed().oldest == version(1) {
            let latest_start = weights.latest_start(version(1)).unwrap();
            let left = latest_start - Instant::now();
            let age = desired.newest().since.elapsed();
            assert!(left >= MIN_TIME, "{left:?} after {age:?}");
        }
        advance(Duration::from_millis(50)).await;
    }
}

/// Guards against prompts that are cancelled without need: they wait at an engine with old weights
/// during an outage of the store. When it ends and another engine has newer weights, they must not
/// be cancelled, since time without the store does not count and they have ten more seconds to
/// start.
#[tokio::test(start_paused = true)]
async fn the_end_of_an_outage_withdraws_no_prompt_sent_during_it() {
    let mut desired = DesiredVersions::new(requested(1));
    advance(Duration::from_secs(60)).await;
    desired.record(requested(2), Instant::now());
    advance(Duration::from_secs(20)).await;
    let serving = BTreeMap::from([(version(1), 1), (version(2), 1)]);
    let in_outage = WeightsInputs {
        desired: Some(&desired),
        serving: &serving,
        limit: LIMIT,
        in_contact: None,
        now: Instant::now(),
    };
    assert_eq!(in_outage.allowed().oldest, version(0), "it may be sent");
    assert_eq!(in_outage.latest_start(version(1)), None);
    let back = WeightsInputs {
        in_contact: Some(Instant::now()),
        ..in_outage
    };
    let latest_start = back.latest_start(version(1));
    assert!(
        latest_start.is_none_or(|at| at > Instant::now()),
        "it is withdrawn immediately: {latest_start:?}"
    );
}
