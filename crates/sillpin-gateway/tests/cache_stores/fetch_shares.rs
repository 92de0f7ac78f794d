//! Share of prompts that fetch from a store with a slow link.

use crate::STORE;
use sillpin_core::Tokens;
use sillpin_gateway::cache_stores::fetch_shares::FetchShares;
use std::time::Duration;
use tokio::time::Instant;

/// A long prompt, and a short one.
const LONG: Tokens = Tokens(9_000);
const SHORT: Tokens = Tokens(800);

/// Latency objective for the first event of their responses.
const LATENCY_OBJECTIVE: Duration = Duration::from_millis(500);

#[tokio::test(start_paused = true)]
async fn a_slow_store_gets_a_smaller_share_of_fetches_and_recovers() {
    let mut fetch_shares = FetchShares::default();
    assert_eq!(fetch_shares.share(STORE, Instant::now()), 1.0);
    for _ in 0..60 {
        tokio::time::advance(Duration::from_millis(50)).await;
        fetch_shares.record_prefill(LONG, Duration::from_millis(20));
        fetch_shares.record_fetch(
            STORE,
            LONG,
            Duration::from_millis(900),
            LATENCY_OBJECTIVE,
            Instant::now(),
        );
    }
    let slow = fetch_shares.share(STORE, Instant::now());
    assert!(slow < 0.3, "{slow}");
    assert!(slow > 0.0, "some fetches continue, to detect its recovery");
    for _ in 0..200 {
        tokio::time::advance(Duration::from_millis(50)).await;
        fetch_shares.record_fetch(
            STORE,
            LONG,
            Duration::from_millis(30),
            LATENCY_OBJECTIVE,
            Instant::now(),
        );
    }
    assert_eq!(fetch_shares.share(STORE, Instant::now()), 1.0);
}

#[tokio::test(start_paused = true)]
async fn fetches_continue_if_all_long_prompts_are_slow() {
    let mut fetch_shares = FetchShares::default();
    for _ in 0..100 {
        fetch_shares.record_prefill(SHORT, Duration::from_millis(20));
        fetch_shares.record_prefill(LONG, Duration::from_millis(700));
        fetch_shares.record_fetch(
            STORE,
            LONG,
            Duration::from_millis(800),
            LATENCY_OBJECTIVE,
            Instant::now(),
        );
    }
    assert_eq!(fetch_shares.share(STORE, Instant::now()), 1.0);
}

#[tokio::test(start_paused = true)]
async fn lateness_of_a_fetch_depends_on_the_latency_objective() {
    let share_after = |latency_objective: Duration| {
        let mut fetch_shares = FetchShares::default();
        for _ in 0..60 {
            fetch_shares.record_prefill(LONG, Duration::from_millis(20));
            fetch_shares.record_fetch(
                STORE,
                LONG,
                Duration::from_millis(500),
                latency_objective,
                Instant::now(),
            );
        }
        fetch_shares.share(STORE, Instant::now())
    };
    assert!(share_after(LATENCY_OBJECTIVE) < 1.0);
    assert_eq!(share_after(LATENCY_OBJECTIVE * 3), 1.0);
}
