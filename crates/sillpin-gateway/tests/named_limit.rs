//! Tests of the limits that targets announce.

mod common;

use common::{engine, name};
use rstest::rstest;
use sillpin_core::RequestRate;
use sillpin_gateway::control::TargetEntry;
use sillpin_gateway::dialect::LimitSignal;
use sillpin_gateway::placement::signals::limit::{AnnouncedLimits, LimitObservation};
use sillpin_gateway::placement::work::IncarnationHash;
use std::time::Duration;
use tokio::time::{Instant, advance};

fn incarnation(id: &str) -> IncarnationHash {
    IncarnationHash::of(&TargetEntry {
        id: name(id),
        ..engine("i", "za")
    })
}

fn rate(text: &str) -> RequestRate {
    text.parse().unwrap()
}

/// A response with a limit to a request that was sent just now.
fn announcing(text: &str) -> LimitObservation {
    LimitObservation {
        sent: Instant::now(),
        announced: Some(LimitSignal::Rate(rate(text))),
        success: true,
    }
}

fn without_limit(sent: Instant, success: bool) -> LimitObservation {
    LimitObservation {
        sent,
        announced: None,
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
    let parsed = text.parse::<RequestRate>().ok();
    assert_eq!(parsed.map(RequestRate::per_s), per_s);
}

#[tokio::test(start_paused = true)]
async fn the_latest_limit_applies_whether_lower_or_higher() {
    let mut limits = AnnouncedLimits::default();
    for text in ["4", "1.5", "9", "0"] {
        advance(Duration::from_millis(100)).await;
        let change = limits.record_response(incarnation("a"), announcing(text), Instant::now());
        assert_eq!(change.unwrap().rate, Some(rate(text)));
        assert_eq!(limits.rate(incarnation("a")), Some(rate(text)));
    }
    assert_eq!(limits.rate(incarnation("b")), None);
    assert_eq!(limits.count(), 1);
}

#[tokio::test(start_paused = true)]
async fn only_a_success_of_a_later_request_ends_a_limit() {
    let mut limits = AnnouncedLimits::default();
    let before = Instant::now();
    advance(Duration::from_millis(10)).await;
    limits.record_response(incarnation("a"), announcing("2"), Instant::now());
    advance(Duration::from_millis(10)).await;
    let now = Instant::now();
    // A response that was overtaken, and an error that may come from a proxy in front of the
    // target.
    assert_eq!(
        limits.record_response(incarnation("a"), without_limit(before, true), now),
        None
    );
    assert_eq!(
        limits.record_response(incarnation("a"), without_limit(now, false), now),
        None
    );
    assert_eq!(limits.rate(incarnation("a")), Some(rate("2")));
    let end = limits
        .record_response(incarnation("a"), without_limit(now, true), now)
        .unwrap();
    assert_eq!((end.rate, end.before), (None, Some(rate("2"))));
    assert_eq!(limits.rate(incarnation("a")), None);
}

#[tokio::test(start_paused = true)]
async fn an_unreadable_limit_keeps_the_known_one_or_counts_as_low() {
    let mut limits = AnnouncedLimits::default();
    let unreadable = || LimitObservation {
        announced: Some(LimitSignal::Unreadable),
        ..without_limit(Instant::now(), true)
    };
    limits.record_response(incarnation("a"), announcing("6"), Instant::now());
    let change = limits.record_response(incarnation("a"), unreadable(), Instant::now());
    assert!(change.unwrap().unreadable);
    assert_eq!(limits.rate(incarnation("a")), Some(rate("6")));
    // The change is returned once, not with each response.
    assert_eq!(
        limits.record_response(incarnation("a"), unreadable(), Instant::now()),
        None
    );
    limits.record_response(incarnation("b"), unreadable(), Instant::now());
    assert_eq!(limits.rate(incarnation("b")), Some(rate("1")));
}

#[tokio::test(start_paused = true)]
async fn the_later_observation_wins_in_any_order() {
    let (mut one, mut other) = (AnnouncedLimits::default(), AnnouncedLimits::default());
    one.record_response(incarnation("a"), announcing("2"), Instant::now());
    let announced = one.updates_to_send(Instant::now());
    advance(Duration::from_millis(50)).await;
    let sent = Instant::now();
    one.record_response(incarnation("a"), without_limit(sent, true), sent);
    let end = one.updates_to_send(Instant::now());
    // The end arrives first, then the limit, with its age.
    other.record_response(
        incarnation("a"),
        announcing("2"),
        sent - Duration::from_millis(40),
    );
    other.apply_update(&end, sent);
    assert_eq!(other.rate(incarnation("a")), None);
    let late: Vec<_> = announced
        .into_iter()
        .map(|mut one| {
            one.age_ms += 50;
            one
        })
        .collect();
    other.apply_update(&late, sent);
    assert_eq!(other.rate(incarnation("a")), None);
}

#[tokio::test(start_paused = true)]
async fn observations_age_while_the_box_is_suspended() {
    let (mut one, mut other) = (AnnouncedLimits::default(), AnnouncedLimits::default());
    one.record_response(incarnation("a"), announcing("2"), Instant::now());
    advance(Duration::from_secs(1)).await;
    // The other box saw the end five seconds before this one, which had been suspended for ten,
    // resumed.
    other.record_response(incarnation("a"), announcing("2"), Instant::now());
    let sent = Instant::now() + Duration::from_millis(1);
    other.record_response(incarnation("a"), without_limit(sent, true), sent);
    let mut updates = other.updates_to_send(sent);
    updates[0].age_ms = 5_000;
    one.age(Duration::from_secs(10));
    advance(Duration::from_secs(6)).await;
    one.apply_update(&updates, Instant::now());
    assert_eq!(one.rate(incarnation("a")), None);
}

#[tokio::test(start_paused = true)]
async fn limits_of_unlisted_targets_are_removed() {
    let mut limits = AnnouncedLimits::default();
    limits.record_response(incarnation("a"), announcing("2"), Instant::now());
    limits.record_response(incarnation("b"), announcing("2"), Instant::now());
    advance(Duration::from_secs(60)).await;
    limits.retain_listed(|listed| listed == incarnation("a"), Instant::now());
    assert_eq!(limits.rate(incarnation("a")), Some(rate("2")));
    assert_eq!(limits.rate(incarnation("b")), None);
}

#[tokio::test(start_paused = true)]
async fn all_limits_are_sent_in_rotation_within_the_size_of_a_datagram() {
    let mut limits = AnnouncedLimits::default();
    for index in 0..300 {
        limits.record_response(
            incarnation(&format!("t{index}")),
            announcing("2"),
            Instant::now(),
        );
    }
    advance(Duration::from_secs(60)).await;
    let mut other = AnnouncedLimits::default();
    for _ in 0..300 / 16 + 1 {
        let updates = limits.updates_to_send(Instant::now());
        assert!(updates.len() <= 72);
        other.apply_update(&updates, Instant::now());
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
    #[case] announced: &str,
    #[case] total: u32,
    #[case] period_ms: u128,
) {
    let mut limits = AnnouncedLimits::default();
    limits.record_response(incarnation("a"), announcing(announced), Instant::now());
    let limit = limits.limit(incarnation("a"), Instant::now()).unwrap();
    assert_eq!((limit.total, limit.period.as_millis()), (total, period_ms));
}

#[tokio::test(start_paused = true)]
async fn an_ended_limit_is_lifted_in_steps() {
    let mut limits = AnnouncedLimits::default();
    limits.record_response(incarnation("a"), announcing("2"), Instant::now());
    advance(Duration::from_millis(10)).await;
    limits.record_response(
        incarnation("a"),
        without_limit(Instant::now(), true),
        Instant::now(),
    );
    let mut wholes = Vec::new();
    for _ in 0..4 {
        let limit = limits.limit(incarnation("a"), Instant::now());
        wholes.push(limit.map(|limit| limit.total));
        advance(Duration::from_secs(2)).await;
    }
    assert_eq!(wholes, [Some(14), Some(26), Some(50), None]);
}
