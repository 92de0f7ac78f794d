//! What a box knows of targets by their own words.

mod common;

use common::{engine, name};
use rstest::rstest;
use sillpin_gateway::control::{Life, TargetEntry};
use sillpin_gateway::dialect::{RetryAfter, TargetWords};
use sillpin_gateway::placement::signals::{SignalChange, SignalObservation, TargetSignals};
use sillpin_gateway::placement::work::IncarnationHash;
use std::time::Duration;
use tokio::time::{Instant, advance};

const SECOND: Duration = Duration::from_secs(1);

fn life_of(id: &str, life: u64) -> IncarnationHash {
    IncarnationHash::of(&TargetEntry {
        id: name(id),
        life: Some(Life(life)),
        ..engine("i", "za")
    })
}

fn refusal(retry_after: RetryAfter) -> SignalObservation {
    SignalObservation {
        sent: Instant::now(),
        signals: TargetWords {
            retry_after: Some(retry_after),
            ..TargetWords::default()
        },
        success: false,
        is_refusal: true,
    }
}

fn wait(seconds: f64) -> SignalObservation {
    refusal(RetryAfter::Wait(Duration::from_secs_f64(seconds)))
}

fn leaving() -> SignalObservation {
    SignalObservation {
        sent: Instant::now(),
        signals: TargetWords {
            leaving: true,
            ..TargetWords::default()
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
#[case::whole(wait(3.0), Some(3.0))]
#[case::a_fraction(wait(0.25), Some(0.25))]
#[case::none(wait(0.0), None)]
#[case::unreadable(refusal(RetryAfter::Unreadable), Some(1.0))]
#[case::huge(refusal(RetryAfter::Wait(Duration::MAX)), Some(2_592_000.0))]
#[case::in_a_success(SignalObservation { is_refusal: false, ..wait(3.0) }, None)]
#[tokio::test(start_paused = true)]
async fn a_target_wants_no_requests_for_as_long_as_its_refusal_says(
    #[case] said: SignalObservation,
    #[case] expected: Option<f64>,
) {
    let mut signals = TargetSignals::default();
    let target = life_of("i-1", 1);
    signals.record(target, said, Instant::now());
    assert_eq!(remaining(&signals, target), expected);
    assert_eq!(remaining(&signals, life_of("i-2", 1)), None);
    assert_eq!(remaining(&signals, life_of("i-1", 2)), None, "a new life");
}

#[tokio::test(start_paused = true)]
async fn of_several_times_the_one_that_ends_last_holds() {
    let mut signals = TargetSignals::default();
    let target = life_of("i-1", 1);
    let first = signals.record(target, wait(3.0), Instant::now());
    assert_eq!(first.len(), 1);
    advance(SECOND).await;
    assert!(signals.record(target, wait(0.5), Instant::now()).is_empty());
    assert!(signals.record(target, wait(0.0), Instant::now()).is_empty());
    let unreadable = refusal(RetryAfter::Unreadable);
    assert!(
        signals
            .record(target, unreadable, Instant::now())
            .is_empty()
    );
    assert_eq!(remaining(&signals, target), Some(2.0));
    signals.record(target, wait(4.0), Instant::now());
    assert_eq!(remaining(&signals, target), Some(4.0));
    advance(4 * SECOND).await;
    assert_eq!(remaining(&signals, target), None);
}

#[tokio::test(start_paused = true)]
async fn a_time_goes_on_while_the_box_is_suspended() {
    let mut signals = TargetSignals::default();
    let target = life_of("i-1", 1);
    signals.record(target, wait(3.0), Instant::now());
    signals.wake(2 * SECOND);
    assert_eq!(remaining(&signals, target), Some(1.0));
    signals.wake(2 * SECOND);
    assert_eq!(remaining(&signals, target), Some(1.0), "aged once");
    signals.wake(4 * SECOND);
    assert_eq!(remaining(&signals, target), None);
}

#[tokio::test(start_paused = true)]
async fn callers_are_kept_out_until_the_first_target_takes_requests() {
    let mut signals = TargetSignals::default();
    let [a, b, gone] = ["i-1", "i-2", "i-3"].map(|id| life_of(id, 1));
    let now = Instant::now();
    let kept_out = |signals: &TargetSignals, targets: &[IncarnationHash]| {
        let wait = signals.shortest_backoff(targets.iter().copied(), now);
        wait.map(|wait| wait.as_secs_f64())
    };
    signals.record(a, wait(3.0), now);
    assert_eq!(kept_out(&signals, &[a]), Some(3.0));
    assert_eq!(kept_out(&signals, &[a, b]), None, "one takes requests");
    assert_eq!(kept_out(&signals, &[]), None);
    signals.record(b, wait(0.5), now);
    signals.record(gone, leaving(), now);
    assert_eq!(kept_out(&signals, &[a, b, gone]), Some(0.5));
    assert_eq!(kept_out(&signals, &[gone]), None);
}

#[tokio::test(start_paused = true)]
async fn a_life_that_leaves_is_remembered_while_it_is_listed_and_a_while_after() {
    let mut signals = TargetSignals::default();
    let (gone, there) = (life_of("i-1", 1), life_of("i-2", 1));
    for target in [gone, there] {
        let changes = signals.record(target, leaving(), Instant::now());
        assert_eq!(changes, [SignalChange::Leaves]);
        assert!(signals.record(target, leaving(), Instant::now()).is_empty());
    }
    assert!(!signals.leaving.contains(life_of("i-1", 2)), "a new life");
    for _ in 0..120 {
        advance(SECOND).await;
        signals.retain_listed(|life| life == there, Instant::now());
        let is_recent = signals.leaving.contains(gone);
        assert!(signals.leaving.contains(there));
        if !is_recent {
            break;
        }
    }
    assert!(!signals.leaving.contains(gone));
    // Its entry lapses in an outage, and comes back.
    advance(20 * SECOND).await;
    signals.retain_listed(|_| false, Instant::now());
    signals.retain_listed(|life| life == there, Instant::now());
    assert!(signals.leaving.contains(there));
}
