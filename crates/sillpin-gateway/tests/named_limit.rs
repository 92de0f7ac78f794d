//! What a box knows of limits that targets name.

mod common;

use common::{engine, name};
use rstest::rstest;
use sillpin_core::RequestRate;
use sillpin_gateway::control::TargetEntry;
use sillpin_gateway::dialect::LimitSignal;
use sillpin_gateway::place::words::limit::{Heard, NamedLimits};
use sillpin_gateway::place::work::LifeHash;
use std::time::Duration;
use tokio::time::{Instant, advance};

fn life(id: &str) -> LifeHash {
    LifeHash::of(&TargetEntry {
        id: name(id),
        ..engine("i", "za")
    })
}

fn rate(text: &str) -> RequestRate {
    text.parse().unwrap()
}

/// An answer to a request that was sent just now.
fn naming(text: &str) -> Heard {
    Heard {
        sent: Instant::now(),
        word: Some(LimitSignal::Rate(rate(text))),
        success: true,
    }
}

fn silent(sent: Instant, success: bool) -> Heard {
    Heard {
        sent,
        word: None,
        success,
    }
}

#[rstest]
#[case("1.8", Some(1.8))]
#[case(" 12 ", Some(12.0))]
#[case("0", Some(0.0))]
#[case("0.25", Some(0.25))]
#[case("", None)]
#[case("-1", None)]
#[case("NaN", None)]
#[case("inf", None)]
#[case("1,8", None)]
#[case("two", None)]
fn rates_are_decimal_numbers(#[case] text: &str, #[case] per_s: Option<f64>) {
    let read = text.parse::<RequestRate>().ok();
    assert_eq!(read.map(RequestRate::per_s), per_s);
}

#[tokio::test(start_paused = true)]
async fn the_last_limit_named_holds_whether_it_fell_or_rose() {
    let mut limits = NamedLimits::default();
    for text in ["4", "1.5", "9", "0"] {
        advance(Duration::from_millis(100)).await;
        let change = limits.answered(life("a"), naming(text), Instant::now());
        assert_eq!(change.unwrap().rate, Some(rate(text)));
        assert_eq!(limits.rate(life("a")), Some(rate(text)));
    }
    assert_eq!(limits.rate(life("b")), None);
    assert_eq!(limits.count(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_limit_ends_by_a_success_without_one_whose_request_was_sent_later() {
    let mut limits = NamedLimits::default();
    let before = Instant::now();
    advance(Duration::from_millis(10)).await;
    limits.answered(life("a"), naming("2"), Instant::now());
    advance(Duration::from_millis(10)).await;
    let now = Instant::now();
    // An answer that was overtaken, and a failure that something before the target may have made.
    assert_eq!(limits.answered(life("a"), silent(before, true), now), None);
    assert_eq!(limits.answered(life("a"), silent(now, false), now), None);
    assert_eq!(limits.rate(life("a")), Some(rate("2")));
    let ended = limits.answered(life("a"), silent(now, true), now).unwrap();
    assert_eq!((ended.rate, ended.before), (None, Some(rate("2"))));
    assert_eq!(limits.rate(life("a")), None);
}

#[tokio::test(start_paused = true)]
async fn a_limit_that_cannot_be_read_keeps_what_was_known_and_else_is_taken_for_a_small_one() {
    let mut limits = NamedLimits::default();
    let unreadable = || Heard {
        word: Some(LimitSignal::Unreadable),
        ..silent(Instant::now(), true)
    };
    limits.answered(life("a"), naming("6"), Instant::now());
    let change = limits.answered(life("a"), unreadable(), Instant::now());
    assert!(change.unwrap().unreadable);
    assert_eq!(limits.rate(life("a")), Some(rate("6")));
    // Said once, not with each answer.
    assert_eq!(
        limits.answered(life("a"), unreadable(), Instant::now()),
        None
    );
    limits.answered(life("b"), unreadable(), Instant::now());
    assert_eq!(limits.rate(life("b")), Some(rate("1")));
}

#[tokio::test(start_paused = true)]
async fn of_two_words_the_later_one_holds_in_whatever_order_they_come() {
    let (mut one, mut other) = (NamedLimits::default(), NamedLimits::default());
    one.answered(life("a"), naming("2"), Instant::now());
    let named = one.told(Instant::now());
    advance(Duration::from_millis(50)).await;
    let sent = Instant::now();
    one.answered(life("a"), silent(sent, true), sent);
    let ended = one.told(Instant::now());
    // The end first, then the naming, told with its age.
    other.answered(life("a"), naming("2"), sent - Duration::from_millis(40));
    other.hear(&ended, sent);
    assert_eq!(other.rate(life("a")), None);
    let late: Vec<_> = named
        .into_iter()
        .map(|mut one| {
            one.age_ms += 50;
            one
        })
        .collect();
    other.hear(&late, sent);
    assert_eq!(other.rate(life("a")), None);
}

#[tokio::test(start_paused = true)]
async fn what_a_box_knew_before_it_was_suspended_is_older_than_what_others_tell() {
    let (mut one, mut other) = (NamedLimits::default(), NamedLimits::default());
    one.answered(life("a"), naming("2"), Instant::now());
    advance(Duration::from_secs(1)).await;
    // The other box saw the end five seconds before this one woke: this one had stood still for ten.
    other.answered(life("a"), naming("2"), Instant::now());
    let sent = Instant::now() + Duration::from_millis(1);
    other.answered(life("a"), silent(sent, true), sent);
    let mut told = other.told(sent);
    told[0].age_ms = 5_000;
    one.age(Duration::from_secs(10));
    advance(Duration::from_secs(6)).await;
    one.hear(&told, Instant::now());
    assert_eq!(one.rate(life("a")), None);
}

#[tokio::test(start_paused = true)]
async fn limits_of_targets_that_are_gone_are_forgotten() {
    let mut limits = NamedLimits::default();
    limits.answered(life("a"), naming("2"), Instant::now());
    limits.answered(life("b"), naming("2"), Instant::now());
    advance(Duration::from_secs(60)).await;
    limits.follow(|listed| listed == life("a"), Instant::now());
    assert_eq!(limits.rate(life("a")), Some(rate("2")));
    assert_eq!(limits.rate(life("b")), None);
}

#[tokio::test(start_paused = true)]
async fn many_limits_are_told_in_turn_within_what_a_datagram_holds() {
    let mut limits = NamedLimits::default();
    for index in 0..300 {
        limits.answered(life(&format!("t{index}")), naming("2"), Instant::now());
    }
    advance(Duration::from_secs(60)).await;
    let mut other = NamedLimits::default();
    for _ in 0..300 / 16 + 1 {
        let word = limits.told(Instant::now());
        assert!(word.len() <= 72);
        other.hear(&word, Instant::now());
    }
    assert_eq!(other.count(), 300);
}

#[rstest]
#[case("0", 1, 5_000)]
#[case("0.1", 1, 5_000)]
#[case("0.22", 1, 4_545)]
#[case("0.25", 1, 4_000)]
#[case("1.8", 7, 4_000)]
#[case("10", 32, 4_000)]
#[case("50", 152, 4_000)]
#[tokio::test(start_paused = true)]
async fn a_limit_is_shared_as_whole_requests_with_a_reserve(
    #[case] named: &str,
    #[case] whole: u32,
    #[case] period_ms: u128,
) {
    let mut limits = NamedLimits::default();
    limits.answered(life("a"), naming(named), Instant::now());
    let limit = limits.limit(life("a"), Instant::now()).unwrap();
    assert_eq!((limit.whole, limit.period.as_millis()), (whole, period_ms));
}

#[tokio::test(start_paused = true)]
async fn a_limit_that_ended_is_lifted_step_by_step() {
    let mut limits = NamedLimits::default();
    limits.answered(life("a"), naming("2"), Instant::now());
    advance(Duration::from_millis(10)).await;
    limits.answered(life("a"), silent(Instant::now(), true), Instant::now());
    let mut wholes = Vec::new();
    for _ in 0..4 {
        let limit = limits.limit(life("a"), Instant::now());
        wholes.push(limit.map(|limit| limit.whole));
        advance(Duration::from_secs(2)).await;
    }
    assert_eq!(wholes, [Some(14), Some(26), Some(50), None]);
}
