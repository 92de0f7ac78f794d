//! What a box knows of targets by their own words.

mod common;

use common::{engine, name};
use rstest::rstest;
use sillpin_gateway::control::{Life, TargetEntry};
use sillpin_gateway::dialect::{ResponseSignals, RetryAfter};
use sillpin_gateway::place::words::{Change, Said, Words};
use sillpin_gateway::place::work::LifeHash;
use std::time::Duration;
use tokio::time::{Instant, advance};

const SECOND: Duration = Duration::from_secs(1);

fn life_of(id: &str, life: u64) -> LifeHash {
    LifeHash::of(&TargetEntry {
        id: name(id),
        life: Some(Life(life)),
        ..engine("i", "za")
    })
}

fn refusal(retry_after: RetryAfter) -> Said {
    Said {
        sent: Instant::now(),
        words: ResponseSignals {
            retry_after: Some(retry_after),
            ..ResponseSignals::default()
        },
        success: false,
        turned_away: true,
    }
}

fn wait(seconds: f64) -> Said {
    refusal(RetryAfter::Wait(Duration::from_secs_f64(seconds)))
}

fn leaving() -> Said {
    Said {
        sent: Instant::now(),
        words: ResponseSignals {
            leaving: true,
            ..ResponseSignals::default()
        },
        success: true,
        turned_away: false,
    }
}

fn left(words: &Words, target: LifeHash) -> Option<f64> {
    let left = words.backoffs.left(target, Instant::now());
    left.map(|left| left.as_secs_f64())
}

#[rstest]
#[case::whole(wait(3.0), Some(3.0))]
#[case::a_fraction(wait(0.25), Some(0.25))]
#[case::none(wait(0.0), None)]
#[case::unreadable(refusal(RetryAfter::Unreadable), Some(1.0))]
#[case::huge(refusal(RetryAfter::Wait(Duration::MAX)), Some(2_592_000.0))]
#[case::in_a_success(Said { turned_away: false, ..wait(3.0) }, None)]
#[tokio::test(start_paused = true)]
async fn a_target_wants_no_requests_for_as_long_as_its_refusal_says(
    #[case] said: Said,
    #[case] expected: Option<f64>,
) {
    let mut words = Words::default();
    let target = life_of("i-1", 1);
    words.take(target, said, Instant::now());
    assert_eq!(left(&words, target), expected);
    assert_eq!(left(&words, life_of("i-2", 1)), None);
    assert_eq!(left(&words, life_of("i-1", 2)), None, "a new life");
}

#[tokio::test(start_paused = true)]
async fn of_several_times_the_one_that_ends_last_holds() {
    let mut words = Words::default();
    let target = life_of("i-1", 1);
    let first = words.take(target, wait(3.0), Instant::now());
    assert_eq!(first.len(), 1);
    advance(SECOND).await;
    assert!(words.take(target, wait(0.5), Instant::now()).is_empty());
    assert!(words.take(target, wait(0.0), Instant::now()).is_empty());
    let unreadable = refusal(RetryAfter::Unreadable);
    assert!(words.take(target, unreadable, Instant::now()).is_empty());
    assert_eq!(left(&words, target), Some(2.0));
    words.take(target, wait(4.0), Instant::now());
    assert_eq!(left(&words, target), Some(4.0));
    advance(4 * SECOND).await;
    assert_eq!(left(&words, target), None);
}

#[tokio::test(start_paused = true)]
async fn a_time_goes_on_while_the_box_is_suspended() {
    let mut words = Words::default();
    let target = life_of("i-1", 1);
    words.take(target, wait(3.0), Instant::now());
    words.wake(2 * SECOND);
    assert_eq!(left(&words, target), Some(1.0));
    words.wake(2 * SECOND);
    assert_eq!(left(&words, target), Some(1.0), "aged once");
    words.wake(4 * SECOND);
    assert_eq!(left(&words, target), None);
}

#[tokio::test(start_paused = true)]
async fn callers_are_kept_out_until_the_first_target_takes_requests() {
    let mut words = Words::default();
    let [a, b, gone] = ["i-1", "i-2", "i-3"].map(|id| life_of(id, 1));
    let now = Instant::now();
    let kept_out = |words: &Words, targets: &[LifeHash]| {
        let wait = words.backed_off(targets.iter().copied(), now);
        wait.map(|wait| wait.as_secs_f64())
    };
    words.take(a, wait(3.0), now);
    assert_eq!(kept_out(&words, &[a]), Some(3.0));
    assert_eq!(kept_out(&words, &[a, b]), None, "one takes requests");
    assert_eq!(kept_out(&words, &[]), None);
    words.take(b, wait(0.5), now);
    words.take(gone, leaving(), now);
    assert_eq!(kept_out(&words, &[a, b, gone]), Some(0.5));
    assert_eq!(kept_out(&words, &[gone]), None);
}

#[tokio::test(start_paused = true)]
async fn a_life_that_leaves_is_remembered_while_it_is_listed_and_a_while_after() {
    let mut words = Words::default();
    let (gone, there) = (life_of("i-1", 1), life_of("i-2", 1));
    for target in [gone, there] {
        let changes = words.take(target, leaving(), Instant::now());
        assert_eq!(changes, [Change::Leaves]);
        assert!(words.take(target, leaving(), Instant::now()).is_empty());
    }
    assert!(!words.leaving.has(life_of("i-1", 2)), "a new life");
    for _ in 0..120 {
        advance(SECOND).await;
        words.follow(|life| life == there, Instant::now());
        let is_recent = words.leaving.has(gone);
        assert!(words.leaving.has(there));
        if !is_recent {
            break;
        }
    }
    assert!(!words.leaving.has(gone));
    // Its entry lapses in an outage, and comes back.
    advance(20 * SECOND).await;
    words.follow(|_| false, Instant::now());
    words.follow(|life| life == there, Instant::now());
    assert!(words.leaving.has(there));
}
