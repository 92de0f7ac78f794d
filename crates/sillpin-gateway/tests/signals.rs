//! Tests of the signals that targets send in response headers.

mod common;

use common::{engine, name};
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;
use sillpin_gateway::control::{Life, TargetEntry};
use sillpin_gateway::dialect::{ResponseSignals, RetryAfter};
use sillpin_gateway::peers::datagram::{
    BoxHash, Datagram, EngineUpdate, EngineUpdateContent, WorkUpdate,
};
use sillpin_gateway::peers::wire::{self, FleetKey, WireError};
use sillpin_gateway::placement::signals::brittle::RefusalLimit;
use sillpin_gateway::placement::signals::leaving::{LeavingUpdate, TELL_TIME};
use sillpin_gateway::placement::signals::{SignalChange, SignalObservation, TargetSignals};
use sillpin_gateway::placement::work::IncarnationHash;
use std::time::Duration;
use tokio::time::{Instant, advance};

const SECOND: Duration = Duration::from_secs(1);

fn incarnation(id: &str, life: u64) -> IncarnationHash {
    IncarnationHash::of(&TargetEntry {
        id: name(id),
        life: Some(Life(life)),
        ..engine("i", "za")
    })
}

fn refusal(retry_after: RetryAfter) -> SignalObservation {
    SignalObservation {
        sent: Instant::now(),
        signals: ResponseSignals {
            retry_after: Some(retry_after),
            ..ResponseSignals::default()
        },
        success: false,
        is_refusal: true,
    }
}

fn backoff_of(seconds: f64) -> SignalObservation {
    refusal(RetryAfter::Wait(Duration::from_secs_f64(seconds)))
}

fn leaving() -> SignalObservation {
    SignalObservation {
        sent: Instant::now(),
        signals: ResponseSignals {
            leaving: true,
            ..ResponseSignals::default()
        },
        success: true,
        is_refusal: false,
    }
}

fn remaining(signals: &TargetSignals, target: IncarnationHash) -> Option<f64> {
    let remaining = signals.backoffs.remaining(target, Instant::now());
    remaining.map(|remaining| remaining.as_secs_f64())
}

#[rstest]
#[case::whole(backoff_of(3.0), Some(3.0))]
#[case::a_fraction(backoff_of(0.25), Some(0.25))]
#[case::none(backoff_of(0.0), None)]
#[case::unreadable(refusal(RetryAfter::Unreadable), Some(1.0))]
#[case::huge(refusal(RetryAfter::Wait(Duration::MAX)), Some(2_592_000.0))]
#[case::in_a_success(SignalObservation { is_refusal: false, ..backoff_of(3.0) }, None)]
#[tokio::test(start_paused = true)]
async fn a_refusal_starts_a_backoff_of_the_requested_length(
    #[case] observation: SignalObservation,
    #[case] expected: Option<f64>,
) {
    let mut signals = TargetSignals::default();
    let target = incarnation("i-1", 1);
    signals.record(target, observation, Instant::now());
    assert_eq!(remaining(&signals, target), expected);
    assert_eq!(remaining(&signals, incarnation("i-2", 1)), None);
    assert_eq!(
        remaining(&signals, incarnation("i-1", 2)),
        None,
        "another incarnation"
    );
}

#[tokio::test(start_paused = true)]
async fn the_backoff_that_ends_last_applies() {
    let mut signals = TargetSignals::default();
    let target = incarnation("i-1", 1);
    let first = signals.record(target, backoff_of(3.0), Instant::now());
    assert_eq!(first.len(), 1);
    advance(SECOND).await;
    assert!(
        signals
            .record(target, backoff_of(0.5), Instant::now())
            .is_empty()
    );
    assert!(
        signals
            .record(target, backoff_of(0.0), Instant::now())
            .is_empty()
    );
    let unreadable = refusal(RetryAfter::Unreadable);
    assert!(
        signals
            .record(target, unreadable, Instant::now())
            .is_empty()
    );
    assert_eq!(remaining(&signals, target), Some(2.0));
    signals.record(target, backoff_of(4.0), Instant::now());
    assert_eq!(remaining(&signals, target), Some(4.0));
    advance(4 * SECOND).await;
    assert_eq!(remaining(&signals, target), None);
}

#[tokio::test(start_paused = true)]
async fn a_backoff_runs_on_while_the_box_is_suspended() {
    let mut signals = TargetSignals::default();
    let target = incarnation("i-1", 1);
    signals.record(target, backoff_of(3.0), Instant::now());
    signals.add_suspended_time(2 * SECOND);
    assert_eq!(remaining(&signals, target), Some(1.0));
    signals.add_suspended_time(2 * SECOND);
    assert_eq!(
        remaining(&signals, target),
        Some(1.0),
        "shortened only once"
    );
    signals.add_suspended_time(4 * SECOND);
    assert_eq!(remaining(&signals, target), None);
}

#[tokio::test(start_paused = true)]
async fn the_shortest_backoff_of_the_remaining_targets_applies() {
    let mut signals = TargetSignals::default();
    let [a, b, leaving_target] = ["i-1", "i-2", "i-3"].map(|id| incarnation(id, 1));
    let now = Instant::now();
    let backoff = |signals: &TargetSignals, targets: &[IncarnationHash]| {
        let left = signals.shortest_backoff(targets.iter().copied(), now);
        left.map(|left| left.as_secs_f64())
    };
    signals.record(a, backoff_of(3.0), now);
    assert_eq!(backoff(&signals, &[a]), Some(3.0));
    assert_eq!(backoff(&signals, &[a, b]), None, "one accepts requests");
    assert_eq!(backoff(&signals, &[]), None);
    signals.record(b, backoff_of(0.5), now);
    signals.record(leaving_target, leaving(), now);
    assert_eq!(backoff(&signals, &[a, b, leaving_target]), Some(0.5));
    assert_eq!(backoff(&signals, &[leaving_target]), None);
}

#[tokio::test(start_paused = true)]
async fn a_leaving_incarnation_is_remembered_while_listed_and_for_a_time_after() {
    let mut signals = TargetSignals::default();
    let (unlisted, listed) = (incarnation("i-1", 1), incarnation("i-2", 1));
    for target in [unlisted, listed] {
        let changes = signals.record(target, leaving(), Instant::now());
        assert_eq!(changes, [SignalChange::ShuttingDown]);
        assert!(signals.record(target, leaving(), Instant::now()).is_empty());
    }
    assert!(
        !signals.leaving.contains(incarnation("i-1", 2)),
        "another incarnation"
    );
    for _ in 0..120 {
        advance(SECOND).await;
        signals.retain_listed(|life| life == listed, Instant::now());
        let is_remembered = signals.leaving.contains(unlisted);
        assert!(signals.leaving.contains(listed));
        if !is_remembered {
            break;
        }
    }
    assert!(!signals.leaving.contains(unlisted));
    // Its entry expires in an outage, and is listed again.
    advance(20 * SECOND).await;
    signals.retain_listed(|_| false, Instant::now());
    signals.retain_listed(|life| life == listed, Instant::now());
    assert!(signals.leaving.contains(listed));
}

/// Largest number of refusals by a full target in a second, from boxes that each have a request for it every 50 ms.
async fn most_refusals_in_a_second(boxes: usize, limit: Option<RefusalLimit>) -> usize {
    let target = incarnation("i-1", 1);
    let mut rng = StdRng::seed_from_u64(1);
    let mut fleet: Vec<TargetSignals> = (0..boxes).map(|_| TargetSignals::default()).collect();
    let mut refused = Vec::new();
    for _ in 0..20 * 30 {
        let now = Instant::now();
        for signals in &mut fleet {
            if signals.unavailable(now).contains(&target) {
                continue;
            }
            refused.push(now);
            let named = ResponseSignals {
                refusal_limit: limit,
                ..ResponseSignals::default()
            };
            let observed = SignalObservation {
                sent: now,
                signals: ResponseSignals {
                    retry_after: named.refusal_backoff(boxes, &mut rng),
                    ..named
                },
                success: false,
                is_refusal: true,
            };
            signals.record(target, observed, now);
        }
        advance(SECOND / 20).await;
    }
    let in_second_from = |from: &Instant| {
        let in_second = |at: &&Instant| **at >= *from && **at < *from + SECOND;
        refused.iter().filter(in_second).count()
    };
    refused.iter().map(in_second_from).max().unwrap_or_default()
}

#[rstest]
#[case::as_many_as_boxes(9, 9)]
#[case::more(9, 12)]
#[tokio::test(start_paused = true)]
async fn boxes_are_not_refused_more_often_than_a_brittle_target_survives(
    #[case] boxes: usize,
    #[case] limit: u32,
) {
    let without = most_refusals_in_a_second(boxes, None).await;
    assert!(without > 10 * limit as usize, "{without}");
    let most = most_refusals_in_a_second(boxes, Some(RefusalLimit(limit))).await;
    assert!(most <= limit as usize, "{most}");
}

#[test]
fn a_stated_backoff_that_is_longer_than_that_of_a_brittle_target_holds() {
    let signals = ResponseSignals {
        retry_after: Some(RetryAfter::Wait(SECOND * 20)),
        refusal_limit: Some(RefusalLimit(5)),
        ..ResponseSignals::default()
    };
    let wait = signals.refusal_backoff(9, &mut StdRng::seed_from_u64(1));
    assert_eq!(wait, Some(RetryAfter::Wait(SECOND * 20)));
}

/// What another box knows that got this update, after `wait` since it was sent.
async fn told_after(update: &[LeavingUpdate], wait: Duration) -> TargetSignals {
    advance(wait).await;
    let mut other = TargetSignals::default();
    other.leaving.apply_update(update, Instant::now());
    other
}

#[rstest]
#[case::at_once(Duration::ZERO, true)]
#[case::late(TELL_TIME - 2 * SECOND, true)]
#[case::too_late(TELL_TIME, false)]
#[tokio::test(start_paused = true)]
async fn other_boxes_are_told_for_a_while_that_a_target_leaves(
    #[case] wait: Duration,
    #[case] is_told: bool,
) {
    let mut signals = TargetSignals::default();
    let target = incarnation("i-1", 1);
    signals.record(target, leaving(), Instant::now());
    advance(wait).await;
    let told = signals.leaving.updates_to_send(TELL_TIME, Instant::now());
    let other = told_after(&told, SECOND).await;
    assert_eq!(other.leaving.contains(target), is_told);
    assert!(signals.leaving.contains(target), "known for longer here");
}

#[tokio::test(start_paused = true)]
async fn boxes_that_tell_each_other_do_not_renew_an_announcement() {
    let (mut one, mut other) = (TargetSignals::default(), TargetSignals::default());
    one.record(incarnation("i-1", 1), leaving(), Instant::now());
    let mut elapsed = Duration::ZERO;
    loop {
        let to_other = one.leaving.updates_to_send(TELL_TIME, Instant::now());
        other.leaving.apply_update(&to_other, Instant::now());
        let to_one = other.leaving.updates_to_send(TELL_TIME, Instant::now());
        one.leaving.apply_update(&to_one, Instant::now());
        if to_other.is_empty() && to_one.is_empty() {
            break;
        }
        assert!(elapsed < 2 * TELL_TIME, "told forever");
        advance(SECOND).await;
        elapsed += SECOND;
    }
    assert_eq!(elapsed, TELL_TIME);
}

#[tokio::test(start_paused = true)]
async fn announcements_age_while_the_box_is_suspended() {
    let mut signals = TargetSignals::default();
    signals.record(incarnation("i-1", 1), leaving(), Instant::now());
    advance(TELL_TIME).await;
    signals.record(incarnation("i-2", 1), leaving(), Instant::now());
    advance(SECOND).await;
    signals.add_suspended_time(TELL_TIME / 2);
    let told = signals.leaving.updates_to_send(TELL_TIME, Instant::now());
    let age_ms = (TELL_TIME / 2 + SECOND).as_millis() as u32;
    let target = incarnation("i-2", 1);
    assert_eq!(told, [LeavingUpdate { target, age_ms }]);
}

#[rstest]
#[case::too_old(30_000)]
#[case::beyond_any_clock(u32::MAX)]
#[tokio::test(start_paused = true)]
async fn an_old_announcement_is_not_taken_for_that_of_a_later_process(#[case] age_ms: u32) {
    let target = incarnation("i-1", 1);
    let other = told_after(&[LeavingUpdate { target, age_ms }], SECOND).await;
    assert!(!other.leaving.contains(target));
}

#[tokio::test(start_paused = true)]
async fn the_latest_announcements_fit_a_datagram() {
    let mut signals = TargetSignals::default();
    for index in 0..1_000 {
        let target = incarnation(&format!("i-{index}"), 1);
        signals.record(target, leaving(), Instant::now());
        advance(Duration::from_millis(1)).await;
    }
    let told = signals.leaving.updates_to_send(TELL_TIME, Instant::now());
    assert_eq!(told.len(), 128);
    assert_eq!(told[0].target, incarnation("i-999", 1));
    let fleet = FleetKey::of(([10, 0, 0, 1], 8_744).into());
    let buf = wire::encode(fleet, &Datagram::Leaving(told.clone())).unwrap();
    assert!(buf.len() < 1_400, "{} bytes", buf.len());
    let Ok(Datagram::Leaving(read)) = wire::decode(fleet, &buf) else {
        panic!("another datagram");
    };
    assert_eq!(read, told);
}

/// Guards against a variant before others, which boxes of the former build would take for another.
#[test]
fn boxes_of_the_former_build_take_no_datagram_for_another() {
    let fleet = FleetKey::of(([10, 0, 0, 1], 8_744).into());
    let work = WorkUpdate {
        from: name("b-1"),
        work: Vec::new(),
        replaced: Vec::new(),
    };
    let update = EngineUpdate {
        from: BoxHash::unranked_from_id(&name("b-1")),
        sequence: 1,
        content: EngineUpdateContent::Hello,
    };
    let datagrams = [
        (3, Datagram::Work(work)),
        (7, Datagram::EngineUpdate(update)),
        (8, Datagram::Leaving(Vec::new())),
    ];
    for (tag, datagram) in datagrams {
        let mut buf = wire::encode(fleet, &datagram).unwrap();
        assert_eq!(buf[8], tag, "{}", datagram.name());
        buf[8] = 9;
        let unknown = wire::decode(fleet, &buf);
        assert!(matches!(unknown, Err(WireError::Unreadable(_))));
    }
}
