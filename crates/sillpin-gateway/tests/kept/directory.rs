//! What a box believes of a store, and for how long.

use crate::{STORE, key, list, news};
use sillpin_core::Tokens;
use sillpin_gateway::control::KeptNews;
use sillpin_gateway::dialect::EngineTime;
use sillpin_gateway::kept::directory::{BELIEF, Directory};
use std::time::Duration;
use tokio::time::Instant;

fn kept(directory: &Directory, part: &str) -> bool {
    directory.holds(STORE, &key(part), Tokens(100), Instant::now())
}

#[tokio::test(start_paused = true)]
async fn a_store_that_restarted_holds_nothing_until_it_is_listed() {
    let mut directory = Directory::default();
    let now = Instant::now();
    directory.take_list(STORE, list(1, &["a"]), now);
    assert!(kept(&directory, "a"));
    assert!(!directory.take_news(STORE, 10, news(2, Vec::new()), now, now));
    assert!(!kept(&directory, "a"), "it may be written anew");
    assert_eq!(directory.position(STORE), None, "so that it is listed");
}

#[tokio::test(start_paused = true)]
async fn an_older_copy_does_not_bring_back_a_life_of_the_store_that_is_over() {
    let mut directory = Directory::default();
    let before = Instant::now();
    tokio::time::advance(Duration::from_millis(10)).await;
    directory.take_list(STORE, list(2, &[]), Instant::now());
    directory.take_list(STORE, list(1, &["a"]), before);
    assert!(!kept(&directory, "a"));
}

#[tokio::test(start_paused = true)]
async fn what_a_silent_store_holds_is_not_believed_for_long() {
    let mut directory = Directory::default();
    directory.take_list(STORE, list(1, &["a"]), Instant::now());
    tokio::time::advance(BELIEF).await;
    assert!(!kept(&directory, "a"));
    let now = Instant::now();
    assert!(!directory.should_save(STORE, &key("b"), Tokens(100), now));
}

#[tokio::test(start_paused = true)]
async fn lost_events_ask_for_a_list() {
    let mut directory = Directory::default();
    let now = Instant::now();
    directory.take_list(STORE, list(1, &["a"]), now);
    let gap = KeptNews {
        lost: true,
        ..news(1, Vec::new())
    };
    assert!(!directory.take_news(STORE, 10, gap, now, now));
    assert_eq!(directory.position(STORE), None);
}

#[tokio::test(start_paused = true)]
async fn a_part_is_asked_to_be_saved_once_at_a_time() {
    let mut directory = Directory::default();
    let now = Instant::now();
    directory.take_list(STORE, list(1, &["a"]), now);
    assert!(
        !directory.should_save(STORE, &key("a"), Tokens(100), now),
        "it is there"
    );
    assert!(directory.should_save(STORE, &key("b"), Tokens(100), now));
    assert!(!directory.should_save(STORE, &key("b"), Tokens(100), now));
}

/// An engine was asked to keep a part that many prompts share, and the store had no room for it just then. Prompts with that
/// part came several times a second, and each put the next try off anew: the part was kept only once they had ceased for a
/// while, and was read anew for each of them until then.
#[tokio::test(start_paused = true)]
async fn a_save_that_was_lost_is_asked_for_again_however_often_the_part_is_wanted() {
    let mut directory = Directory::default();
    let step = Duration::from_millis(400);
    let mut asked = Vec::new();
    for round in 0..10u32 {
        let now = Instant::now();
        directory.take_list(STORE, list(1, &[]), now);
        if directory.should_save(STORE, &key("b"), Tokens(100), now) {
            asked.push(step * round);
        }
        tokio::time::advance(step).await;
    }
    // The first time that SAVE_MEMORY is over, and again after as long.
    let ms = Duration::from_millis;
    assert_eq!(asked, [ms(0), ms(1_600), ms(3_200)]);
}

#[tokio::test(start_paused = true)]
async fn the_engines_clock_is_never_ahead() {
    let mut directory = Directory::default();
    let asked = Instant::now();
    directory.take_list(STORE, list(1, &[]), asked);
    tokio::time::advance(Duration::from_millis(900)).await;
    let answered = Instant::now();
    directory.take_news(STORE, 10, news(1, Vec::new()), asked, answered);
    let read = directory.engine_time(answered, Duration::ZERO);
    assert_eq!(
        read,
        Some(EngineTime(5_000)),
        "made at the answer, not when it was asked for"
    );
}
