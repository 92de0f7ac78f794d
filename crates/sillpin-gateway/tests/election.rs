//! Election of the leader: one leader at a time, and a minimum time between the orders of two leaders to one engine.

mod common;

use common::memory_store::MemoryStore;
use common::{name, target};
use sillpin_core::TargetId;
use sillpin_gateway::suspend_clock::SuspendClock;
use sillpin_gateway::weights::election::{Election, Leadership, ORDERED_KEY};
use sillpin_platform::{KvRevision, Platform};
use std::time::Duration;
use tokio::time::Instant;

/// Minimum time between two leaders' orders to one engine.
const MIN_ORDER_GAP: Duration = Duration::from_millis(3_000);

fn election(store: &MemoryStore, me: &str) -> Election<MemoryStore> {
    Election {
        platform: store.clone(),
        me: name(me),
        min_order_gap: MIN_ORDER_GAP,
        long_poll: Duration::from_secs(25),
        suspend_clock: SuspendClock::manual(),
        log: sillpin_telemetry::logs::discard(),
    }
}

/// Records and orders an engine as a leader does, if it may. Returns the time of the order.
async fn order(
    election: &Election<MemoryStore>,
    leadership: &mut Leadership,
    id: &TargetId,
) -> Option<Instant> {
    let now = Instant::now();
    if !leadership.may_order(now) || !leadership.may_order_target(id, now) {
        return None;
    }
    election
        .record(leadership, std::slice::from_ref(id))
        .await
        .ok()?;
    let now = Instant::now();
    leadership.may_order(now).then_some(now)
}

#[tokio::test(start_paused = true)]
async fn a_second_box_becomes_leader_only_after_the_lease_has_expired() {
    let store = MemoryStore::default();
    let first = election(&store, "box-1");
    let mut leadership = first.acquire().await.unwrap();
    let second = election(&store, "box-2");
    let waiting = tokio::spawn(async move { second.acquire().await });
    for _ in 0..20 {
        tokio::time::sleep(Duration::from_millis(300)).await;
        assert!(first.renew(&mut leadership).await);
        assert!(!waiting.is_finished());
    }
    let successor = waiting.await.unwrap().unwrap();
    let now = Instant::now();
    assert!(
        !leadership.may_order(now),
        "the first leader stopped before"
    );
    assert!(successor.fence > leadership.fence);
}

#[tokio::test(start_paused = true)]
async fn a_box_waits_for_a_leader_that_was_elected_before_the_stores_history() {
    let store = MemoryStore::default();
    let first = election(&store, "box-1");
    let mut leadership = first.acquire().await.unwrap();
    store.forget_history();
    let second = election(&store, "box-2");
    let waiting = tokio::spawn(async move { second.acquire().await });
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    assert!(!waiting.is_finished(), "it does not poll");
    assert!(first.renew(&mut leadership).await);
    waiting.await.unwrap().unwrap();
}

#[tokio::test(start_paused = true)]
async fn a_successor_orders_immediately_except_recorded_engines() {
    let store = MemoryStore::default();
    let first = election(&store, "box-1");
    let mut leadership = first.acquire().await.unwrap();
    let ordered_at = order(&first, &mut leadership, &target("e1")).await.unwrap();
    // The first leader freezes here.
    let second = election(&store, "box-2");
    let mut successor = second.acquire().await.unwrap();
    assert!(
        order(&second, &mut successor, &target("e2"))
            .await
            .is_some()
    );
    assert_eq!(order(&second, &mut successor, &target("e1")).await, None);
    let mut again = None;
    while again.is_none() {
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert!(second.renew(&mut successor).await);
        again = order(&second, &mut successor, &target("e1")).await;
    }
    assert!(again.unwrap() - ordered_at > MIN_ORDER_GAP);
}

#[tokio::test(start_paused = true)]
async fn a_leader_that_resumes_after_its_lease_cannot_record_another_order() {
    let store = MemoryStore::default();
    let first = election(&store, "box-1");
    let mut leadership = first.acquire().await.unwrap();
    let second = election(&store, "box-2");
    second.acquire().await.unwrap();
    // Even if its clock had stopped, it could not write the record.
    leadership.lease_renewed(Instant::now());
    assert!(leadership.may_order(Instant::now()));
    assert_eq!(order(&first, &mut leadership, &target("e9")).await, None);
    assert!(!first.renew(&mut leadership).await);
}

#[tokio::test(start_paused = true)]
async fn a_third_leader_knows_which_engines_the_first_ordered_recently() {
    let store = MemoryStore::default();
    let first = election(&store, "box-1");
    let mut leadership = first.acquire().await.unwrap();
    order(&first, &mut leadership, &target("e1")).await.unwrap();
    let second = election(&store, "box-2");
    let mut successor = second.acquire().await.unwrap();
    order(&second, &mut successor, &target("e2")).await.unwrap();
    let third = election(&store, "box-3");
    let successor = third.acquire().await.unwrap();
    let now = Instant::now();
    assert!(!successor.may_order_target(&target("e1"), now));
    assert!(!successor.may_order_target(&target("e2"), now));
    assert!(successor.may_order_target(&target("e3"), now));
}

#[tokio::test(start_paused = true)]
async fn a_leader_without_the_store_stops_ordering_in_time() {
    let store = MemoryStore::default();
    let first = election(&store, "box-1");
    let mut leadership = first.acquire().await.unwrap();
    store.set_unreachable(true);
    let lost_at = Instant::now();
    while first.renew(&mut leadership).await {
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert!(!leadership.may_order(Instant::now()));
    assert!(lost_at.elapsed() < Duration::from_secs(3));
}

#[tokio::test(start_paused = true)]
async fn a_leader_can_resign() {
    let store = MemoryStore::default();
    let first = election(&store, "box-1");
    let leadership = first.acquire().await.unwrap();
    first.resign(&leadership).await;
    let began = Instant::now();
    election(&store, "box-2").acquire().await.unwrap();
    assert!(began.elapsed() < Duration::from_millis(200));
}

/// Renews until the engine may be ordered. Returns the time that this took.
async fn hold_off(
    election: &Election<MemoryStore>,
    leadership: &mut Leadership,
    id: &TargetId,
) -> Duration {
    let began = Instant::now();
    while order(election, leadership, id).await.is_none() {
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert!(election.renew(leadership).await);
    }
    began.elapsed()
}

/// Guards against a needless wait when the leader is killed while new weights are requested every few seconds: its successor did not
/// order, for over 3 s, any engine that had been ordered within the last 4.4 s, which could be the whole fleet, although most of
/// these orders were seconds old.
#[tokio::test(start_paused = true)]
async fn a_successor_waits_only_for_the_remaining_time_after_each_order() {
    let store = MemoryStore::default();
    let first = election(&store, "box-1");
    let mut leadership = first.acquire().await.unwrap();
    let ordered_at = order(&first, &mut leadership, &target("e1")).await.unwrap();
    leadership.orders_ended(&target("e1"), Some(ordered_at));
    while ordered_at.elapsed() < Duration::from_millis(1_900) {
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert!(first.renew(&mut leadership).await);
    }
    order(&first, &mut leadership, &target("e2")).await.unwrap();
    // The first leader crashes here; its lease expires 1.4 s later.
    let second = election(&store, "box-2");
    let mut successor = second.acquire().await.unwrap();
    let waited = hold_off(&second, &mut successor, &target("e1")).await;
    assert!(waited < Duration::from_millis(1_600), "waited {waited:?}");
    assert!(ordered_at.elapsed() > MIN_ORDER_GAP);
    assert!(!successor.may_order_target(&target("e2"), Instant::now()));
}

/// Guards against restarting the wait when two leaders crash one after the other: the second rewrote the record of the first one's
/// engines, and the third treated them as if they had just been ordered.
#[tokio::test(start_paused = true)]
async fn a_third_leader_does_not_restart_the_wait_after_the_first_ones_orders() {
    let store = MemoryStore::default();
    let first = election(&store, "box-1");
    let mut leadership = first.acquire().await.unwrap();
    order(&first, &mut leadership, &target("e1")).await.unwrap();
    let second = election(&store, "box-2");
    let mut successor = second.acquire().await.unwrap();
    let took_at = Instant::now();
    while took_at.elapsed() < Duration::from_millis(2_500) {
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert!(second.renew(&mut successor).await);
    }
    order(&second, &mut successor, &target("e2")).await.unwrap();
    let third = election(&store, "box-3");
    let mut successor = third.acquire().await.unwrap();
    let waited = hold_off(&third, &mut successor, &target("e1")).await;
    assert!(waited < Duration::from_millis(1_000), "waited {waited:?}");
    assert!(!successor.may_order_target(&target("e2"), Instant::now()));
}

/// An unresponsive engine is recorded before each attempt, but if no order was sent, a successor may order it immediately.
#[tokio::test(start_paused = true)]
async fn an_engine_that_was_never_ordered_may_be_ordered_immediately() {
    let store = MemoryStore::default();
    let first = election(&store, "box-1");
    let mut leadership = first.acquire().await.unwrap();
    order(&first, &mut leadership, &target("e1")).await.unwrap();
    leadership.orders_ended(&target("e1"), None);
    order(&first, &mut leadership, &target("e2")).await.unwrap();
    let second = election(&store, "box-2");
    let successor = second.acquire().await.unwrap();
    assert!(successor.may_order_target(&target("e1"), Instant::now()));
    assert!(!successor.may_order_target(&target("e2"), Instant::now()));
}

/// Boxes are upgraded one at a time: a record by a box of the previous version has no ages, and each of its engines counts as
/// ordered just now.
#[tokio::test(start_paused = true)]
async fn a_record_without_ages_counts_from_the_election() {
    let store = MemoryStore::default();
    let absent = KvRevision::ABSENT;
    let text = r#"{"targets":["e1"]}"#;
    store.put(ORDERED_KEY, text, absent, None).await.unwrap();
    let holder = election(&store, "box-1");
    let mut successor = holder.acquire().await.unwrap();
    let waited = hold_off(&holder, &mut successor, &target("e1")).await;
    assert!(waited > MIN_ORDER_GAP, "waited {waited:?}");
}

#[tokio::test(start_paused = true)]
async fn a_leader_orders_no_engine_for_a_while_after_the_store_lost_the_record() {
    let store = MemoryStore::default();
    let first = election(&store, "box-1");
    let mut leadership = first.acquire().await.unwrap();
    let ordered_at = order(&first, &mut leadership, &target("e1")).await.unwrap();
    store.restore_empty();
    assert!(!first.renew(&mut leadership).await, "its lease is lost");
    let second = election(&store, "box-2");
    let mut successor = second.acquire().await.unwrap();
    assert!(successor.fence > leadership.fence);
    // It writes the record, which the next leader must not rely on.
    second.record(&mut successor, &[]).await.unwrap();
    second.resign(&successor).await;
    let third = election(&store, "box-3");
    let mut successor = third.acquire().await.unwrap();
    hold_off(&third, &mut successor, &target("e1")).await;
    assert!(ordered_at.elapsed() > MIN_ORDER_GAP);
    let fourth = election(&store, "box-4");
    third.resign(&successor).await;
    let successor = fourth.acquire().await.unwrap();
    assert!(successor.may_order_target(&target("e2"), Instant::now()));
}
