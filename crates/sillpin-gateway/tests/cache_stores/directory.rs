//! How long the content of a store counts as known, and when parts are saved.

use crate::{STORE, key, list, update};
use sillpin_core::Tokens;
use sillpin_gateway::cache_stores::directory::{CONTENT_TTL, Directory};
use sillpin_gateway::cache_stores::retire::MAX_FETCH_TIME;
use sillpin_gateway::control::StoreChanges;
use sillpin_gateway::dialect::EngineTime;
use std::time::Duration;
use tokio::time::Instant;

fn holds(directory: &Directory, part: &str) -> bool {
    directory.holds(STORE, &key(part), Tokens(100), Instant::now())
}

#[tokio::test(start_paused = true)]
async fn a_store_that_restarted_holds_nothing_until_it_is_listed() {
    let mut directory = Directory::default();
    let now = Instant::now();
    directory.apply_list(STORE, list(1, &["a"]), now);
    assert!(holds(&directory, "a"));
    assert!(!directory.apply_changes(STORE, 10, update(2, Vec::new()), now, now));
    assert!(!holds(&directory, "a"), "it may be written again");
    assert_eq!(directory.position(STORE), None, "a listing is needed");
}

#[tokio::test(start_paused = true)]
async fn an_older_listing_does_not_restore_an_ended_incarnation() {
    let mut directory = Directory::default();
    let before = Instant::now();
    tokio::time::advance(Duration::from_millis(10)).await;
    directory.apply_list(STORE, list(2, &[]), Instant::now());
    directory.apply_list(STORE, list(1, &["a"]), before);
    assert!(!holds(&directory, "a"));
}

#[tokio::test(start_paused = true)]
async fn the_content_of_an_unresponsive_store_expires() {
    let mut directory = Directory::default();
    directory.apply_list(STORE, list(1, &["a"]), Instant::now());
    tokio::time::advance(CONTENT_TTL).await;
    assert!(!holds(&directory, "a"));
    let now = Instant::now();
    assert!(!directory.should_save(STORE, &key("b"), Tokens(100), now));
}

#[tokio::test(start_paused = true)]
async fn lost_events_require_a_listing() {
    let mut directory = Directory::default();
    let now = Instant::now();
    directory.apply_list(STORE, list(1, &["a"]), now);
    let gap = StoreChanges {
        lost: true,
        ..update(1, Vec::new())
    };
    assert!(!directory.apply_changes(STORE, 10, gap, now, now));
    assert_eq!(directory.position(STORE), None);
}

#[tokio::test(start_paused = true)]
async fn a_pending_save_is_not_requested_again() {
    let mut directory = Directory::default();
    let now = Instant::now();
    directory.apply_list(STORE, list(1, &["a"]), now);
    assert!(
        !directory.should_save(STORE, &key("a"), Tokens(100), now),
        "it is there"
    );
    assert!(directory.should_save(STORE, &key("b"), Tokens(100), now));
    assert!(!directory.should_save(STORE, &key("b"), Tokens(100), now));
}

/// Guards against a retry time that each request for a save restarts: a store without free capacity dropped the save of a part
/// that several prompts a second needed, each of them postponed the retry, and the part was recomputed for all of them.
#[tokio::test(start_paused = true)]
async fn a_lost_save_is_requested_again_even_if_the_part_is_needed_often() {
    let mut directory = Directory::default();
    let step = Duration::from_millis(400);
    let mut requested = Vec::new();
    for round in 0..10u32 {
        let now = Instant::now();
        directory.apply_list(STORE, list(1, &[]), now);
        if directory.should_save(STORE, &key("b"), Tokens(100), now) {
            requested.push(step * round);
        }
        tokio::time::advance(step).await;
    }
    // The first round after SAVE_RETRY_INTERVAL has passed, and again after as long.
    let ms = Duration::from_millis;
    assert_eq!(requested, [ms(0), ms(1_600), ms(3_200)]);
}

#[tokio::test(start_paused = true)]
async fn the_estimate_of_the_engines_clock_is_never_ahead() {
    let mut directory = Directory::default();
    let requested_at = Instant::now();
    directory.apply_list(STORE, list(1, &[]), requested_at);
    tokio::time::advance(Duration::from_millis(900)).await;
    let received_at = Instant::now();
    directory.apply_changes(STORE, 10, update(1, Vec::new()), requested_at, received_at);
    let read = directory.engine_time(received_at, Duration::ZERO);
    assert_eq!(
        read,
        Some(EngineTime(5_000)),
        "taken when the response arrived, not at the request"
    );
}

/// Guards against a fetch of an incomplete part: a store restarts within a second and loses its parts, a fetch by a box that has not
/// detected this waits in an engine's queue, and another box requests a save of the same part.
#[tokio::test(start_paused = true)]
async fn nothing_is_saved_after_a_restart_while_fetches_from_before_may_run() {
    let part = Tokens(100);
    let mut unaware = Directory::default();
    let mut aware = Directory::default();
    let start = Instant::now();
    unaware.apply_list(STORE, list(1, &["a"]), start);
    aware.apply_list(STORE, list(1, &["a"]), start);
    let mut fetches_until = start;
    for round in 0..60u32 {
        let now = Instant::now();
        if unaware.holds(STORE, &key("a"), part, now) {
            fetches_until = now + MAX_FETCH_TIME;
        }
        if round == 7 {
            assert!(!aware.apply_changes(STORE, 10, update(2, Vec::new()), now, now));
        }
        if round > 7 {
            aware.apply_list(STORE, list(2, &[]), now);
            let saves = aware.should_save(STORE, &key("a"), part, now);
            assert!(!saves || now >= fetches_until, "after {:?}", now - start);
        }
        tokio::time::advance(Duration::from_millis(100)).await;
    }
    let now = Instant::now();
    assert!(
        !aware.should_save(STORE, &key("a"), part, now),
        "it was requested already"
    );
}

/// Guards against the same failure by a box that starts just after the restart: it cannot know of the earlier incarnation or of
/// another box's fetch from it, and requests a save of the same part.
#[tokio::test(start_paused = true)]
async fn a_box_that_starts_saves_nothing_while_fetches_from_an_earlier_incarnation_may_run() {
    let mut directory = Directory::default();
    directory.track(STORE, Instant::now());
    tokio::time::advance(Duration::from_millis(300)).await;
    let found = Instant::now();
    let saves = |directory: &mut Directory| {
        let now = Instant::now();
        directory.apply_list(STORE, list(2, &[]), now);
        directory.should_save(STORE, &key("a"), Tokens(100), now)
    };
    while found.elapsed() < CONTENT_TTL + MAX_FETCH_TIME {
        assert!(!saves(&mut directory), "after {:?}", found.elapsed());
        tokio::time::advance(Duration::from_millis(100)).await;
    }
    assert!(saves(&mut directory));
}

/// Guards against taking failed calls for a restart: a store is partitioned from this box and restarts seconds later. This box's
/// fetches are over by then, but a box on the store's side used the earlier incarnation until the restart.
#[tokio::test(start_paused = true)]
async fn failed_calls_do_not_count_as_a_restart_of_the_store() {
    let mut directory = Directory::default();
    directory.apply_list(STORE, list(1, &["a"]), Instant::now());
    directory.forget(STORE);
    tokio::time::advance(CONTENT_TTL + MAX_FETCH_TIME).await;
    let now = Instant::now();
    directory.apply_list(STORE, list(2, &[]), now);
    assert!(!directory.should_save(STORE, &key("a"), Tokens(100), now));
    tokio::time::advance(CONTENT_TTL + MAX_FETCH_TIME).await;
    let now = Instant::now();
    directory.apply_list(STORE, list(2, &[]), now);
    assert!(directory.should_save(STORE, &key("a"), Tokens(100), now));
}

/// Guards against needless waiting when calls to a store fail briefly but the store does not
/// restart.
#[tokio::test(start_paused = true)]
async fn parts_are_saved_immediately_in_a_store_that_was_only_unreachable() {
    let mut directory = Directory::default();
    directory.apply_list(STORE, list(1, &["a"]), Instant::now());
    directory.forget(STORE);
    tokio::time::advance(Duration::from_millis(400)).await;
    let now = Instant::now();
    directory.apply_list(STORE, list(1, &["a"]), now);
    assert!(directory.should_save(STORE, &key("b"), Tokens(100), now));
}
