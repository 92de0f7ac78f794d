//! The duty to order engines: one holder at a time, and orders of two holders far apart.

mod common;

use common::{MemoryStore, name, target};
use sillpin_core::TargetId;
use sillpin_gateway::awake::Awake;
use sillpin_gateway::weights::election::{Election, ORDERED_KEY, Leadership};
use sillpin_platform::{KvRevision, Platform};
use std::time::Duration;
use tokio::time::Instant;

/// Least time between two holders' orders to one engine.
const MIN_ORDER_GAP: Duration = Duration::from_millis(3_000);

fn election(store: &MemoryStore, me: &str) -> Election<MemoryStore> {
    Election {
        platform: store.clone(),
        me: name(me),
        min_order_gap: MIN_ORDER_GAP,
        hold: Duration::from_secs(25),
        awake: Awake::manual(),
        log: sillpin_telemetry::logs::discard(),
    }
}

/// Records and orders an engine as a holder does, if it may.
async fn order(election: &Election<MemoryStore>, leadership: &mut Leadership, id: &TargetId) -> Option<Instant> {
    let now = Instant::now();
    if !leadership.may_order(now) || !leadership.may_order_target(id, now) {
        return None;
    }
    election.record(leadership, std::slice::from_ref(id)).await.ok()?;
    let now = Instant::now();
    leadership.may_order(now).then_some(now)
}

#[tokio::test(start_paused = true)]
async fn a_second_box_takes_the_duty_only_when_the_lease_is_over() {
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
    assert!(!leadership.may_order(now), "the first holder stopped before");
    assert!(successor.fence > leadership.fence);
}

#[tokio::test(start_paused = true)]
async fn a_box_waits_for_a_duty_that_was_taken_before_the_stores_history() {
    let store = MemoryStore::default();
    let first = election(&store, "box-1");
    let mut leadership = first.acquire().await.unwrap();
    store.forget_history();
    let second = election(&store, "box-2");
    let waiting = tokio::spawn(async move { second.acquire().await });
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    assert!(!waiting.is_finished(), "it does not ask again and again");
    assert!(first.renew(&mut leadership).await);
    waiting.await.unwrap().unwrap();
}

#[tokio::test(start_paused = true)]
async fn a_successor_goes_on_at_once_but_leaves_recorded_engines_alone() {
    let store = MemoryStore::default();
    let first = election(&store, "box-1");
    let mut leadership = first.acquire().await.unwrap();
    let ordered_at = order(&first, &mut leadership, &target("e1")).await.unwrap();
    // The first holder freezes here.
    let second = election(&store, "box-2");
    let mut successor = second.acquire().await.unwrap();
    assert!(order(&second, &mut successor, &target("e2")).await.is_some());
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
async fn a_holder_that_wakes_cannot_record_another_order() {
    let store = MemoryStore::default();
    let first = election(&store, "box-1");
    let mut leadership = first.acquire().await.unwrap();
    let second = election(&store, "box-2");
    second.acquire().await.unwrap();
    // Even if its clock had stood still, the record would stop it.
    leadership.lease_renewed(Instant::now());
    assert!(leadership.may_order(Instant::now()));
    assert_eq!(order(&first, &mut leadership, &target("e9")).await, None);
    assert!(!first.renew(&mut leadership).await);
}

#[tokio::test(start_paused = true)]
async fn a_third_holder_knows_what_the_first_ordered_a_moment_ago() {
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
async fn a_holder_without_the_store_stops_ordering_in_time() {
    let store = MemoryStore::default();
    let first = election(&store, "box-1");
    let mut leadership = first.acquire().await.unwrap();
    store.set_away(true);
    let lost_at = Instant::now();
    while first.renew(&mut leadership).await {
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert!(!leadership.may_order(Instant::now()));
    assert!(lost_at.elapsed() < Duration::from_secs(3));
}

#[tokio::test(start_paused = true)]
async fn the_duty_can_be_given_up() {
    let store = MemoryStore::default();
    let first = election(&store, "box-1");
    let leadership = first.acquire().await.unwrap();
    first.resign(&leadership).await;
    let began = Instant::now();
    election(&store, "box-2").acquire().await.unwrap();
    assert!(began.elapsed() < Duration::from_millis(200));
}

/// Renews until the engine may be ordered; how long that took.
async fn hold_off(election: &Election<MemoryStore>, leadership: &mut Leadership, id: &TargetId) -> Duration {
    let began = Instant::now();
    while order(election, leadership, id).await.is_none() {
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert!(election.renew(leadership).await);
    }
    began.elapsed()
}

/// Weights are named every few seconds and the box that orders the loads is killed. Its successor left alone for over
/// 3 s every engine that had been ordered within the last 4.4 s, on some days the whole fleet, although most of these
/// orders were seconds old.
#[tokio::test(start_paused = true)]
async fn a_successor_waits_only_for_what_is_left_of_the_time_after_each_order() {
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
    // The first holder dies here; its lease lapses 1.4 s later.
    let second = election(&store, "box-2");
    let mut successor = second.acquire().await.unwrap();
    let waited = hold_off(&second, &mut successor, &target("e1")).await;
    assert!(waited < Duration::from_millis(1_600), "waited {waited:?}");
    assert!(ordered_at.elapsed() > MIN_ORDER_GAP);
    assert!(!successor.may_order_target(&target("e2"), Instant::now()));
}

/// Two boxes that held the duty die one after the other. The second wrote the first one's engines down anew, and the
/// third left them alone as if they had just been ordered.
#[tokio::test(start_paused = true)]
async fn a_third_holder_does_not_begin_the_first_ones_time_anew() {
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

/// An engine that stayed silent was written down before each try, but no order went out: a successor may order it at
/// once.
#[tokio::test(start_paused = true)]
async fn an_engine_that_was_never_ordered_is_not_left_alone() {
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

/// Boxes are replaced one at a time: a record by a box of the version before names engines without times, and each
/// of them counts as ordered just now.
#[tokio::test(start_paused = true)]
async fn a_record_without_times_counts_from_the_taking() {
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
async fn a_holder_leaves_all_engines_alone_while_the_store_has_lost_which_were_ordered() {
    let store = MemoryStore::default();
    let first = election(&store, "box-1");
    let mut leadership = first.acquire().await.unwrap();
    let ordered_at = order(&first, &mut leadership, &target("e1")).await.unwrap();
    store.lose_all();
    assert!(!first.renew(&mut leadership).await, "its lease is lost");
    let second = election(&store, "box-2");
    let mut successor = second.acquire().await.unwrap();
    assert!(successor.fence > leadership.fence);
    // It writes the record, which the next one must not believe.
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
