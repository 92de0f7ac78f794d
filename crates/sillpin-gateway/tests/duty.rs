//! The duty to order engines: one holder at a time, and orders of two holders far apart.

mod common;

use common::{MemoryStore, name, target};
use sillpin_core::TargetId;
use sillpin_gateway::weights::duty::{Duty, Tenure};
use std::time::Duration;
use tokio::time::Instant;

/// Least time between two holders' orders to one engine.
const APART: Duration = Duration::from_millis(3_000);

fn duty(store: &MemoryStore, me: &str) -> Duty<MemoryStore> {
    Duty {
        platform: store.clone(),
        me: name(me),
        apart: APART,
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
    store.set_away(true);
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
