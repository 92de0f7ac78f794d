//! How many fetches a slow store still gets.

use crate::STORE;
use sillpin_core::Tokens;
use sillpin_gateway::kept::links::Links;
use std::time::Duration;
use tokio::time::Instant;

/// A long prompt, and a short one.
const LONG: Tokens = Tokens(9_000);
const SHORT: Tokens = Tokens(800);

/// When their first events are wanted.
const AIM: Duration = Duration::from_millis(500);

#[tokio::test(start_paused = true)]
async fn a_slow_store_gets_a_smaller_share_of_fetches_and_recovers() {
    let mut links = Links::default();
    assert_eq!(links.share(STORE, Instant::now()), 1.0);
    for _ in 0..60 {
        tokio::time::advance(Duration::from_millis(50)).await;
        links.note_read(LONG, Duration::from_millis(20));
        links.note_fetch(STORE, LONG, Duration::from_millis(900), AIM, Instant::now());
    }
    let slow = links.share(STORE, Instant::now());
    assert!(slow < 0.3, "{slow}");
    assert!(
        slow > 0.0,
        "some fetches go on, to notice that it is well again"
    );
    for _ in 0..200 {
        tokio::time::advance(Duration::from_millis(50)).await;
        links.note_fetch(STORE, LONG, Duration::from_millis(30), AIM, Instant::now());
    }
    assert_eq!(links.share(STORE, Instant::now()), 1.0);
}

#[tokio::test(start_paused = true)]
async fn a_fleet_that_is_slow_with_long_prompts_keeps_fetching() {
    let mut links = Links::default();
    for _ in 0..100 {
        links.note_read(SHORT, Duration::from_millis(20));
        links.note_read(LONG, Duration::from_millis(700));
        links.note_fetch(STORE, LONG, Duration::from_millis(800), AIM, Instant::now());
    }
    assert_eq!(links.share(STORE, Instant::now()), 1.0);
}

#[tokio::test(start_paused = true)]
async fn a_fetch_that_is_late_for_one_aim_is_in_time_for_a_longer_one() {
    let share_after = |latency_objective: Duration| {
        let mut links = Links::default();
        for _ in 0..60 {
            links.note_read(LONG, Duration::from_millis(20));
            links.note_fetch(
                STORE,
                LONG,
                Duration::from_millis(500),
                latency_objective,
                Instant::now(),
            );
        }
        links.share(STORE, Instant::now())
    };
    assert!(share_after(AIM) < 1.0);
    assert_eq!(share_after(AIM * 3), 1.0);
}
