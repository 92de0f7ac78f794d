//! A box that was suspended: its steady clock stood still, and what it knew seems to be as fresh as before.
//!
//! A holder of the weights duty whose lease had run out meanwhile would go on ordering engines beside its successor; a box would fetch parts that were
//! freed because nobody heard of it for seconds, and begin prompts on weights that were replaced too long ago.

mod common;

use common::{MemoryStore, TestKeys, engine, entry, name};
use sillpin_gateway::suspend_clock::SuspendClock;
use sillpin_gateway::beliefs::fleet::Fleet;
use sillpin_gateway::beliefs::{BoxEntry, FleetMsg, Reading, Source, Topic};
use sillpin_gateway::control::TargetEntry;
use sillpin_gateway::kept::retire::Retirements;
use sillpin_gateway::pool::ConnectionPool;
use sillpin_gateway::weights::duty::Duty;
use sillpin_platform::{KvRevision, Snapshot};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::Instant;

const SLEEP: Duration = Duration::from_secs(5);

fn fleet(suspend_clock: &SuspendClock) -> Fleet<TestKeys> {
    let log = sillpin_telemetry::logs::discard();
    Fleet::new(name("box-1"), TestKeys, log).with_suspend_clock(suspend_clock.clone())
}

fn read(topic: Topic, key: &str, value: &str, asked: Instant) -> FleetMsg {
    let revision = KvRevision(5);
    let entries = vec![entry(key, value, revision.0)];
    FleetMsg::Read {
        topic,
        reading: Reading::Whole(Snapshot { entries, revision }),
        asked,
        source: Source::Store,
    }
}

#[tokio::test(start_paused = true)]
async fn what_a_box_knew_is_older_by_the_time_asleep() {
    tokio::time::advance(Duration::from_secs(60)).await;
    let suspend_clock = SuspendClock::manual();
    let mut fleet = fleet(&suspend_clock);
    let now = Instant::now();
    fleet.handle(read(Topic::Targets, "target/i-1", "ready 1", now), now);
    fleet.handle(read(Topic::Operators, "ops/weights/m", "2", now), now);
    suspend_clock.suspend(SLEEP);
    let woke = now + Duration::from_millis(1);
    assert!(fleet.sweep(woke), "the view changes");
    let view = fleet.view();
    assert_eq!(view.listed.confirmed, Some(now - SLEEP));
    assert_eq!(view.operators.confirmed, Some(now - SLEEP));
    assert_eq!(view.wanted[&name("m")].newest().since, now - SLEEP);
    assert_eq!(view.suspended, SLEEP);
    // The answer to a question from before tells no more than that.
    fleet.handle(read(Topic::Targets, "target/i-1", "ready 1", now), woke);
    assert_eq!(fleet.view().listed.confirmed, Some(now - SLEEP));
    let asked = woke + Duration::from_millis(1);
    fleet.handle(read(Topic::Targets, "target/i-1", "ready 1", asked), asked);
    assert_eq!(fleet.view().listed.confirmed, Some(asked));
}

#[tokio::test(start_paused = true)]
async fn a_box_that_wakes_fetches_nothing_by_what_it_knew() {
    tokio::time::advance(Duration::from_secs(60)).await;
    let suspend_clock = SuspendClock::manual();
    let mut fleet = fleet(&suspend_clock);
    let mut retirements = Retirements::default();
    let now = Instant::now();
    fleet.handle(read(Topic::Targets, "target/i-1", "ready 1", now), now);
    let other = BoxEntry {
        id: name("box-2"),
        zone: name("za"),
        peers: ([127, 0, 0, 1], 1).into(),
        gossip: ([127, 0, 0, 1], 2).into(),
        link_mbps: 0,
    };
    fleet.handle(FleetMsg::Heard(other), now);
    assert!(retirements.may_fetch(fleet.view(), suspend_clock.suspended(), now));
    suspend_clock.suspend(SLEEP);
    let may_fetch = |retirements: &Retirements, fleet: &Fleet<TestKeys>, at| {
        retirements.may_fetch(fleet.view(), suspend_clock.suspended(), at)
    };
    assert!(!may_fetch(&retirements, &fleet, now), "before any task ran");
    let woke = now + Duration::from_millis(1);
    fleet.sweep(woke);
    retirements.wake(suspend_clock.suspended());
    assert!(!may_fetch(&retirements, &fleet, woke), "known too long ago");
    let asked = woke + Duration::from_millis(1);
    fleet.handle(read(Topic::Targets, "target/i-1", "ready 1", asked), asked);
    assert!(may_fetch(&retirements, &fleet, asked), "known anew");
}

#[tokio::test(start_paused = true)]
async fn a_holder_that_wakes_after_its_lease_orders_nothing() {
    let suspend_clock = SuspendClock::manual();
    let duty = Duty {
        platform: MemoryStore::default(),
        me: name("box-1"),
        apart: Duration::from_secs(3),
        hold: Duration::from_secs(25),
        suspend_clock: suspend_clock.clone(),
        log: sillpin_telemetry::logs::discard(),
    };
    let mut tenure = duty.take().await.unwrap();
    assert!(tenure.may_order(suspend_clock.now()));
    suspend_clock.suspend(SLEEP);
    assert!(!tenure.may_order(suspend_clock.now()));
    assert!(
        duty.renew(&mut tenure).await,
        "the lease of this store holds"
    );
    assert!(tenure.may_order(suspend_clock.now()));
}

#[test]
fn a_box_that_runs_is_not_taken_for_suspended() {
    let suspend_clock = SuspendClock::default();
    let began = std::time::Instant::now();
    while began.elapsed() < Duration::from_millis(200) {
        assert_eq!(suspend_clock.suspended(), Duration::ZERO);
    }
}

#[tokio::test]
async fn a_connection_that_rested_through_the_time_asleep_is_not_used() {
    let suspend_clock = SuspendClock::manual();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let target = TargetEntry {
        addr: listener.local_addr().unwrap(),
        ..engine("i-1", "za")
    };
    let pool = ConnectionPool::new(suspend_clock.clone());
    let long = Duration::from_secs(30);
    let conn = pool.get(&target, long).await.unwrap();
    let _first = listener.accept().await.unwrap();
    pool.put(target.id.clone(), conn, Some(long)).await;
    let conn = pool.get(&target, long).await.unwrap();
    pool.put(target.id.clone(), conn, Some(long)).await;
    suspend_clock.suspend(Duration::from_secs(40));
    let _new = pool.get(&target, long).await.unwrap();
    let second = tokio::time::timeout(Duration::from_secs(5), listener.accept());
    assert!(second.await.is_ok(), "a new connection is opened");
}
