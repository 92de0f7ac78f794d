//! Tests of how the lag behind other boxes is measured.

use sillpin_gateway::fleet_state::{SyncState, Topic};
use sillpin_gateway::peers::datagram::SyncSummary;
use sillpin_gateway::peers::lag::{LagStatus, LagTracker};
use sillpin_platform::KvRevision;
use std::time::Duration;
use tokio::time::{Instant, advance};

const STEP: Duration = Duration::from_millis(400);

/// Records that this box knows what operators published up to `mine`, another box up to `theirs`.
fn record_lag(lag: &mut LagTracker, mine: u64, theirs: u64) -> LagStatus {
    let mine = SyncState {
        revision: KvRevision(mine),
        confirmed: None,
        contact: None,
        content: mine,
    };
    let theirs = SyncSummary {
        revision: KvRevision(theirs),
        content: theirs,
        age_ms: None,
    };
    lag.record(Topic::Operators, mine, theirs, Instant::now())
}

#[tokio::test(start_paused = true)]
async fn a_lasting_lag_is_logged_each_second() {
    let mut lag = LagTracker::default();
    let mut statuses = Vec::new();
    for _ in 0..7 {
        statuses.push(record_lag(&mut lag, 1, 2));
        advance(STEP).await;
    }
    let due = statuses.iter().filter(|status| status.is_due);
    let logged: Vec<u128> = due.map(|status| status.lasted.as_millis()).collect();
    assert_eq!(logged, [1_200, 2_400]);
}

#[tokio::test(start_paused = true)]
async fn a_change_that_arrives_resets_the_lag() {
    let mut lag = LagTracker::default();
    record_lag(&mut lag, 1, 2);
    advance(STEP * 3).await;
    let after_change = record_lag(&mut lag, 2, 3);
    assert_eq!(
        (after_change.lasted, after_change.is_due),
        (Duration::ZERO, false)
    );
    advance(STEP * 3).await;
    let later = record_lag(&mut lag, 2, 3);
    assert_eq!((later.lasted, later.is_due), (STEP * 3, true));
}

#[tokio::test(start_paused = true)]
async fn the_store_is_retried_once_until_a_change_arrives() {
    let mut lag = LagTracker::default();
    record_lag(&mut lag, 1, 2);
    lag.set_store_retried(Topic::Operators);
    advance(STEP).await;
    assert!(record_lag(&mut lag, 1, 2).is_store_retried);
    assert!(!record_lag(&mut lag, 2, 3).is_store_retried);
}

/// Guards against a lag that is never logged: configurations are published in quick succession, and
/// the store sends each of them to one box well over a second late. If each one that arrives resets
/// the lag, although other boxes have long known the next, the box never fetches from them and
/// never logs its lag.
#[tokio::test(start_paused = true)]
async fn a_late_change_does_not_reset_the_lag_of_the_next() {
    let mut lag = LagTracker::default();
    let mut lasted = Vec::new();
    // Other boxes know a new revision every 0.8 s, this box knows each of them 1.6 s later.
    for round in 0..8u64 {
        let (mine, theirs) = (8 + round / 2, 10 + round / 2);
        lasted.push(record_lag(&mut lag, mine, theirs).lasted);
        advance(STEP).await;
    }
    let settled = [STEP * 2, STEP * 3, STEP * 2, STEP * 3];
    assert_eq!(lasted[4..], settled, "{lasted:?}");
}

/// Revisions that other boxes reached without a change of content are not changes that this box
/// lacks.
#[tokio::test(start_paused = true)]
async fn a_box_that_has_caught_up_starts_with_no_lag() {
    let mut lag = LagTracker::default();
    record_lag(&mut lag, 1, 5);
    advance(STEP * 4).await;
    // It has received what the other boxes knew, at an earlier revision of the store than theirs.
    let mine = SyncState {
        revision: KvRevision(4),
        confirmed: None,
        contact: None,
        content: 5,
    };
    let theirs = SyncSummary {
        revision: KvRevision(9),
        content: 9,
        age_ms: None,
    };
    let after_change = lag.record(Topic::Operators, mine, theirs, Instant::now());
    assert_eq!(after_change.lasted, Duration::ZERO);
}
