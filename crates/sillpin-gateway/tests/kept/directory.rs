//! What a box believes of a store, and for how long.

use crate::{STORE, key, list, news};
use sillpin_core::Tokens;
use sillpin_gateway::control::StoreChanges;
use sillpin_gateway::dialect::EngineTime;
use sillpin_gateway::kept::directory::{BELIEF, Directory};
use sillpin_gateway::kept::retire::MAX_FETCH_TIME;
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
    let gap = StoreChanges {
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

/// A store lost its parts and was back within a second. A box that had not learned of it had sent a fetch of a part that waited in its
/// engine's queue; another box, which had, asked for the part to be saved anew, and the fetch got what was written so far.
#[tokio::test(start_paused = true)]
async fn nothing_is_saved_in_a_new_life_of_a_store_while_fetches_of_the_one_before_may_go_on() {
    let part = Tokens(100);
    let mut late = Directory::default();
    let mut quick = Directory::default();
    let start = Instant::now();
    late.take_list(STORE, list(1, &["a"]), start);
    quick.take_list(STORE, list(1, &["a"]), start);
    let mut fetches_until = start;
    for round in 0..60u32 {
        let now = Instant::now();
        if late.holds(STORE, &key("a"), part, now) {
            fetches_until = now + MAX_FETCH_TIME;
        }
        if round == 7 {
            assert!(!quick.take_news(STORE, 10, news(2, Vec::new()), now, now));
        }
        if round > 7 {
            quick.take_list(STORE, list(2, &[]), now);
            let saves = quick.should_save(STORE, &key("a"), part, now);
            assert!(!saves || now >= fetches_until, "after {:?}", now - start);
        }
        tokio::time::advance(Duration::from_millis(100)).await;
    }
    let now = Instant::now();
    assert!(
        !quick.should_save(STORE, &key("a"), part, now),
        "it was asked for"
    );
}

/// A store lost its parts and was back within a second, and a box started just then. It could not know that the store had held parts
/// before, nor that another box had just sent a fetch of one of them, and it asked for that part to be saved anew.
#[tokio::test(start_paused = true)]
async fn a_box_that_starts_saves_nothing_while_fetches_of_an_earlier_life_of_a_store_may_go_on() {
    let mut directory = Directory::default();
    directory.follow(STORE, Instant::now());
    tokio::time::advance(Duration::from_millis(300)).await;
    let found = Instant::now();
    let saves = |directory: &mut Directory| {
        let now = Instant::now();
        directory.take_list(STORE, list(2, &[]), now);
        directory.should_save(STORE, &key("a"), Tokens(100), now)
    };
    while found.elapsed() < BELIEF + MAX_FETCH_TIME {
        assert!(!saves(&mut directory), "after {:?}", found.elapsed());
        tokio::time::advance(Duration::from_millis(100)).await;
    }
    assert!(saves(&mut directory));
}

/// A partition cut a box off from a store, and the store restarted behind it seconds later. The box's calls had failed for so long
/// that any fetch would have been over; a box beyond the partition had believed in the earlier life until the restart.
#[tokio::test(start_paused = true)]
async fn calls_that_fail_do_not_show_that_a_life_of_a_store_is_over() {
    let mut directory = Directory::default();
    directory.take_list(STORE, list(1, &["a"]), Instant::now());
    directory.forget(STORE);
    tokio::time::advance(BELIEF + MAX_FETCH_TIME).await;
    let now = Instant::now();
    directory.take_list(STORE, list(2, &[]), now);
    assert!(!directory.should_save(STORE, &key("a"), Tokens(100), now));
    tokio::time::advance(BELIEF + MAX_FETCH_TIME).await;
    let now = Instant::now();
    directory.take_list(STORE, list(2, &[]), now);
    assert!(directory.should_save(STORE, &key("a"), Tokens(100), now));
}

/// A box's calls of a store failed for a moment, and the store was as before: parts are saved at once.
#[tokio::test(start_paused = true)]
async fn a_store_that_was_only_out_of_reach_is_written_at_once() {
    let mut directory = Directory::default();
    directory.take_list(STORE, list(1, &["a"]), Instant::now());
    directory.forget(STORE);
    tokio::time::advance(Duration::from_millis(400)).await;
    let now = Instant::now();
    directory.take_list(STORE, list(1, &["a"]), now);
    assert!(directory.should_save(STORE, &key("b"), Tokens(100), now));
}
