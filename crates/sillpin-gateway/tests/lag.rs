//! How long other boxes have known more than this one.

use sillpin_gateway::beliefs::{Known, Topic};
use sillpin_gateway::peers::datagram::Extent;
use sillpin_gateway::peers::lag::{Behind, Lag};
use sillpin_platform::KvRevision;
use std::time::Duration;
use tokio::time::{Instant, advance};

const STEP: Duration = Duration::from_millis(400);

/// This box knows what operators published up to `mine`, another box up to `theirs`.
fn behind(lag: &mut Lag, mine: u64, theirs: u64) -> Behind {
    let mine = Known {
        revision: KvRevision(mine),
        confirmed: None,
        contact: None,
        content: mine,
    };
    let theirs = Extent {
        revision: KvRevision(theirs),
        content: theirs,
        age_ms: None,
    };
    lag.behind(Topic::Operators, mine, theirs, Instant::now())
}

#[tokio::test(start_paused = true)]
async fn a_box_that_stays_behind_says_so_each_second() {
    let mut lag = Lag::default();
    let mut told = Vec::new();
    for _ in 0..7 {
        told.push(behind(&mut lag, 1, 2));
        advance(STEP).await;
    }
    let due = told.iter().filter(|behind| behind.is_due);
    let said: Vec<u128> = due.map(|behind| behind.lasted.as_millis()).collect();
    assert_eq!(said, [1_200, 2_400]);
}

#[tokio::test(start_paused = true)]
async fn a_box_that_has_learned_something_starts_anew() {
    let mut lag = Lag::default();
    behind(&mut lag, 1, 2);
    advance(STEP * 3).await;
    let anew = behind(&mut lag, 2, 3);
    assert_eq!((anew.lasted, anew.is_due), (Duration::ZERO, false));
    advance(STEP * 3).await;
    let later = behind(&mut lag, 2, 3);
    assert_eq!((later.lasted, later.is_due), (STEP * 3, true));
}

#[tokio::test(start_paused = true)]
async fn the_store_is_doubted_once_until_the_box_learns_something() {
    let mut lag = Lag::default();
    behind(&mut lag, 1, 2);
    lag.set_doubted(Topic::Operators);
    advance(STEP).await;
    assert!(behind(&mut lag, 1, 2).is_doubted);
    assert!(!behind(&mut lag, 2, 3).is_doubted);
}

/// Configurations were published in quick succession, and the store told a box of each well over a second late. Whenever it
/// learned of one it began to count anew, although others had long known the next, so it never turned to them, nor said that
/// it was behind.
#[tokio::test(start_paused = true)]
async fn a_box_that_learns_of_one_change_late_is_as_late_with_the_next() {
    let mut lag = Lag::default();
    let mut lasted = Vec::new();
    // Others know a new revision every 0.8 s, and this box each of them 1.6 s later.
    for round in 0..8u64 {
        let (mine, theirs) = (8 + round / 2, 10 + round / 2);
        lasted.push(behind(&mut lag, mine, theirs).lasted);
        advance(STEP).await;
    }
    let settled = [STEP * 2, STEP * 3, STEP * 2, STEP * 3];
    assert_eq!(lasted[4..], settled, "{lasted:?}");
}

/// What others had heard meanwhile from the store, without a change, is no change that the box lacks.
#[tokio::test(start_paused = true)]
async fn a_box_that_has_caught_up_is_not_behind_since_before() {
    let mut lag = Lag::default();
    behind(&mut lag, 1, 5);
    advance(STEP * 4).await;
    // It has learned what the others knew, as of an earlier revision of the store than theirs.
    let mine = Known {
        revision: KvRevision(4),
        confirmed: None,
        contact: None,
        content: 5,
    };
    let theirs = Extent {
        revision: KvRevision(9),
        content: 9,
        age_ms: None,
    };
    let anew = lag.behind(Topic::Operators, mine, theirs, Instant::now());
    assert_eq!(anew.lasted, Duration::ZERO);
}
