//! The duty to order engines: one holder at a time, and orders of two holders far apart.

mod common;

use common::{MemoryStore, name, target};
use sillpin_core::TargetId;
use sillpin_gateway::suspend_clock::SuspendClock;
use sillpin_gateway::weights::duty::{Duty, ORDERED_KEY, Tenure};
use sillpin_platform::{KvRevision, Platform};
use std::time::Duration;
use tokio::time::Instant;

/// Least time between two holders' orders to one engine.
const APART: Duration = Duration::from_millis(3_000);

fn duty(store: &MemoryStore, me: &str) -> Duty<MemoryStore> {
    Duty {
        platform: store.clone(),
        me: name(me),
        apart: APART,
        hold: Duration::from_secs(25),
        suspend_clock: SuspendClock::manual(),
        log: sillpin_telemetry::logs::discard(),
    }
}

/// Records and orders an engine as a holder does, if it may.
async fn order(duty: &Duty<MemoryStore>, tenure: &mut Tenure, id: &TargetId) -> Option<Instant> {
    let now = Instant::now();
    if !tenure.may_order(now) || !tenure.may_order_target(id, now) {
        return None;
    }
    duty.record(tenure, std::slice::from_ref(id)).await.ok()?;
    let now = Instant::now();
    tenure.may_order(now).then_some(now)
}

#[tokio::test(start_paused = true)]
async fn a_second_box_takes_the_duty_only_when_the_lease_is_over() {
    let store = MemoryStore::default();
    let first = duty(&store, "box-1");
    let mut tenure = first.take().await.unwrap();
    let second = duty(&store, "box-2");
    let waiting = tokio::spawn(async move { second.take().await });
    for _ in 0..20 {
        tokio::time::sleep(Duration::from_millis(300)).await;
        assert!(first.renew(&mut tenure).await);
        assert!(!waiting.is_finished());
    }
    let taken = waiting.await.unwrap().unwrap();
    let now = Instant::now();
    assert!(!tenure.may_order(now), "the first holder stopped before");
    assert!(taken.fence > tenure.fence);
}

#[tokio::test(start_paused = true)]
async fn a_box_waits_for_a_duty_that_was_taken_before_the_stores_history() {
    let store = MemoryStore::default();
    let first = duty(&store, "box-1");
    let mut tenure = first.take().await.unwrap();
    store.forget_history();
    let second = duty(&store, "box-2");
    let waiting = tokio::spawn(async move { second.take().await });
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    assert!(!waiting.is_finished(), "it does not ask again and again");
    assert!(first.renew(&mut tenure).await);
    waiting.await.unwrap().unwrap();
}

#[tokio::test(start_paused = true)]
async fn a_successor_goes_on_at_once_but_leaves_recorded_engines_alone() {
    let store = MemoryStore::default();
    let first = duty(&store, "box-1");
    let mut tenure = first.take().await.unwrap();
    let ordered_at = order(&first, &mut tenure, &target("e1")).await.unwrap();
    // The first holder freezes here.
    let second = duty(&store, "box-2");
    let mut taken = second.take().await.unwrap();
    assert!(order(&second, &mut taken, &target("e2")).await.is_some());
    assert_eq!(order(&second, &mut taken, &target("e1")).await, None);
    let mut again = None;
    while again.is_none() {
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert!(second.renew(&mut taken).await);
        again = order(&second, &mut taken, &target("e1")).await;
    }
    assert!(again.unwrap() - ordered_at > APART);
}

#[tokio::test(start_paused = true)]
async fn a_holder_that_wakes_cannot_record_another_order() {
    let store = MemoryStore::default();
    let first = duty(&store, "box-1");
    let mut tenure = first.take().await.unwrap();
    let second = duty(&store, "box-2");
    second.take().await.unwrap();
    // Even if its clock had stood still, the record would stop it.
    tenure.renewed(Instant::now());
    assert!(tenure.may_order(Instant::now()));
    assert_eq!(order(&first, &mut tenure, &target("e9")).await, None);
    assert!(!first.renew(&mut tenure).await);
}

#[tokio::test(start_paused = true)]
async fn a_third_holder_knows_what_the_first_ordered_a_moment_ago() {
    let store = MemoryStore::default();
    let first = duty(&store, "box-1");
    let mut tenure = first.take().await.unwrap();
    order(&first, &mut tenure, &target("e1")).await.unwrap();
    let second = duty(&store, "box-2");
    let mut taken = second.take().await.unwrap();
    order(&second, &mut taken, &target("e2")).await.unwrap();
    let third = duty(&store, "box-3");
    let taken = third.take().await.unwrap();
    let now = Instant::now();
    assert!(!taken.may_order_target(&target("e1"), now));
    assert!(!taken.may_order_target(&target("e2"), now));
    assert!(taken.may_order_target(&target("e3"), now));
}

#[tokio::test(start_paused = true)]
async fn a_holder_without_the_store_stops_ordering_in_time() {
    let store = MemoryStore::default();
    let first = duty(&store, "box-1");
    let mut tenure = first.take().await.unwrap();
    store.set_unreachable(true);
    let lost_at = Instant::now();
    while first.renew(&mut tenure).await {
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert!(!tenure.may_order(Instant::now()));
    assert!(lost_at.elapsed() < Duration::from_secs(3));
}

#[tokio::test(start_paused = true)]
async fn the_duty_can_be_given_up() {
    let store = MemoryStore::default();
    let first = duty(&store, "box-1");
    let tenure = first.take().await.unwrap();
    first.give_up(&tenure).await;
    let began = Instant::now();
    duty(&store, "box-2").take().await.unwrap();
    assert!(began.elapsed() < Duration::from_millis(200));
}

/// Renews until the engine may be ordered; how long that took.
async fn left_alone(duty: &Duty<MemoryStore>, tenure: &mut Tenure, id: &TargetId) -> Duration {
    let began = Instant::now();
    while order(duty, tenure, id).await.is_none() {
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert!(duty.renew(tenure).await);
    }
    began.elapsed()
}

/// Weights are named every few seconds and the box that orders the loads is killed. Its successor left alone for over
/// 3 s every engine that had been ordered within the last 4.4 s, on some days the whole fleet, although most of these
/// orders were seconds old.
#[tokio::test(start_paused = true)]
async fn a_successor_waits_only_for_what_is_left_of_the_time_after_each_order() {
    let store = MemoryStore::default();
    let first = duty(&store, "box-1");
    let mut tenure = first.take().await.unwrap();
    let ordered_at = order(&first, &mut tenure, &target("e1")).await.unwrap();
    tenure.ended(&target("e1"), Some(ordered_at));
    while ordered_at.elapsed() < Duration::from_millis(1_900) {
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert!(first.renew(&mut tenure).await);
    }
    order(&first, &mut tenure, &target("e2")).await.unwrap();
    // The first holder dies here; its lease lapses 1.4 s later.
    let second = duty(&store, "box-2");
    let mut taken = second.take().await.unwrap();
    let waited = left_alone(&second, &mut taken, &target("e1")).await;
    assert!(waited < Duration::from_millis(1_600), "waited {waited:?}");
    assert!(ordered_at.elapsed() > APART);
    assert!(!taken.may_order_target(&target("e2"), Instant::now()));
}

/// Two boxes that held the duty die one after the other. The second wrote the first one's engines down anew, and the
/// third left them alone as if they had just been ordered.
#[tokio::test(start_paused = true)]
async fn a_third_holder_does_not_begin_the_first_ones_time_anew() {
    let store = MemoryStore::default();
    let first = duty(&store, "box-1");
    let mut tenure = first.take().await.unwrap();
    order(&first, &mut tenure, &target("e1")).await.unwrap();
    let second = duty(&store, "box-2");
    let mut taken = second.take().await.unwrap();
    let took_at = Instant::now();
    while took_at.elapsed() < Duration::from_millis(2_500) {
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert!(second.renew(&mut taken).await);
    }
    order(&second, &mut taken, &target("e2")).await.unwrap();
    let third = duty(&store, "box-3");
    let mut taken = third.take().await.unwrap();
    let waited = left_alone(&third, &mut taken, &target("e1")).await;
    assert!(waited < Duration::from_millis(1_000), "waited {waited:?}");
    assert!(!taken.may_order_target(&target("e2"), Instant::now()));
}

/// An engine that stayed silent was written down before each try, but no order went out: a successor may order it at
/// once.
#[tokio::test(start_paused = true)]
async fn an_engine_that_was_never_ordered_is_not_left_alone() {
    let store = MemoryStore::default();
    let first = duty(&store, "box-1");
    let mut tenure = first.take().await.unwrap();
    order(&first, &mut tenure, &target("e1")).await.unwrap();
    tenure.ended(&target("e1"), None);
    order(&first, &mut tenure, &target("e2")).await.unwrap();
    let second = duty(&store, "box-2");
    let taken = second.take().await.unwrap();
    assert!(taken.may_order_target(&target("e1"), Instant::now()));
    assert!(!taken.may_order_target(&target("e2"), Instant::now()));
}

/// Boxes are replaced one at a time: a record by a box of the version before names engines without times, and each
/// of them counts as ordered just now.
#[tokio::test(start_paused = true)]
async fn a_record_without_times_counts_from_the_taking() {
    let store = MemoryStore::default();
    let absent = KvRevision::ABSENT;
    let text = r#"{"targets":["e1"]}"#;
    store.put(ORDERED_KEY, text, absent, None).await.unwrap();
    let holder = duty(&store, "box-1");
    let mut taken = holder.take().await.unwrap();
    let waited = left_alone(&holder, &mut taken, &target("e1")).await;
    assert!(waited > APART, "waited {waited:?}");
}

#[tokio::test(start_paused = true)]
async fn a_holder_leaves_all_engines_alone_while_the_store_has_lost_which_were_ordered() {
    let store = MemoryStore::default();
    let first = duty(&store, "box-1");
    let mut tenure = first.take().await.unwrap();
    let ordered_at = order(&first, &mut tenure, &target("e1")).await.unwrap();
    store.restore_empty();
    assert!(!first.renew(&mut tenure).await, "its lease is lost");
    let second = duty(&store, "box-2");
    let mut taken = second.take().await.unwrap();
    assert!(taken.fence > tenure.fence);
    // It writes the record, which the next one must not believe.
    second.record(&mut taken, &[]).await.unwrap();
    second.give_up(&taken).await;
    let third = duty(&store, "box-3");
    let mut taken = third.take().await.unwrap();
    left_alone(&third, &mut taken, &target("e1")).await;
    assert!(ordered_at.elapsed() > APART);
    let fourth = duty(&store, "box-4");
    third.give_up(&taken).await;
    let taken = fourth.take().await.unwrap();
    assert!(taken.may_order_target(&target("e2"), Instant::now()));
}
