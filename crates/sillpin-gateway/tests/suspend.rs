//! Behaviour of a box after it was suspended. Its monotonic clock stood still, so its state seems as fresh as before.
//!
//! Without detection, a leader whose lease had expired would keep ordering engines along with its successor, and a
//! box would fetch parts that were freed because none of its messages arrived for seconds, and start prompts on
//! weights that were replaced too long ago.

mod common;

use common::memory_store::MemoryStore;
use common::{TestKeys, engine, entry, name};
use sillpin_gateway::cache_stores::retire::Retirements;
use sillpin_gateway::control::TargetEntry;
use sillpin_gateway::fleet_state::fleet::Fleet;
use sillpin_gateway::fleet_state::{BoxEntry, FleetMsg, Reading, Source, Topic};
use sillpin_gateway::pool::ConnectionPool;
use sillpin_gateway::suspend_clock::SuspendClock;
use sillpin_gateway::weights::election::Election;
use sillpin_platform::{KvRevision, Snapshot};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::Instant;

const SUSPENSION: Duration = Duration::from_secs(5);

fn fleet(suspend_clock: &SuspendClock) -> Fleet<TestKeys> {
    let log = sillpin_telemetry::logs::discard();
    Fleet::new(name("box-1"), TestKeys, log).with_suspend_clock(suspend_clock.clone())
}

fn read(topic: Topic, key: &str, value: &str, requested_at: Instant) -> FleetMsg {
    let revision = KvRevision(5);
    let entries = vec![entry(key, value, revision.0)];
    FleetMsg::Read {
        topic,
        reading: Reading::Complete(Snapshot { entries, revision }),
        requested_at,
        source: Source::Store,
    }
}

#[tokio::test(start_paused = true)]
async fn state_ages_by_the_suspended_time() {
    tokio::time::advance(Duration::from_secs(60)).await;
    let suspend_clock = SuspendClock::manual();
    let mut fleet = fleet(&suspend_clock);
    let now = Instant::now();
    fleet.handle(read(Topic::Targets, "target/i-1", "ready 1", now), now);
    fleet.handle(read(Topic::Operators, "ops/weights/m", "2", now), now);
    suspend_clock.suspend(SUSPENSION);
    let resumed = now + Duration::from_millis(1);
    assert!(fleet.sweep(resumed), "the view changes");
    let view = fleet.view();
    assert_eq!(view.targets_sync.confirmed, Some(now - SUSPENSION));
    assert_eq!(view.operators_sync.confirmed, Some(now - SUSPENSION));
    assert_eq!(view.desired[&name("m")].newest().since, now - SUSPENSION);
    assert_eq!(view.suspended, SUSPENSION);
    // A response to a request sent before the suspension does not make the state fresher.
    fleet.handle(read(Topic::Targets, "target/i-1", "ready 1", now), resumed);
    assert_eq!(fleet.view().targets_sync.confirmed, Some(now - SUSPENSION));
    let requested_at = resumed + Duration::from_millis(1);
    fleet.handle(
        read(Topic::Targets, "target/i-1", "ready 1", requested_at),
        requested_at,
    );
    assert_eq!(fleet.view().targets_sync.confirmed, Some(requested_at));
}

#[tokio::test(start_paused = true)]
async fn no_part_is_fetched_by_outdated_state_after_resume() {
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
    fleet.handle(FleetMsg::PeerSeen(other), now);
    assert!(retirements.may_fetch(fleet.view(), suspend_clock.suspended(), now));
    suspend_clock.suspend(SUSPENSION);
    let may_fetch = |retirements: &Retirements, fleet: &Fleet<TestKeys>, at| {
        retirements.may_fetch(fleet.view(), suspend_clock.suspended(), at)
    };
    assert!(
        !may_fetch(&retirements, &fleet, now),
        "before any task has run"
    );
    let resumed = now + Duration::from_millis(1);
    fleet.sweep(resumed);
    retirements.add_suspended_time(suspend_clock.suspended());
    assert!(
        !may_fetch(&retirements, &fleet, resumed),
        "the state is outdated"
    );
    let requested_at = resumed + Duration::from_millis(1);
    fleet.handle(
        read(Topic::Targets, "target/i-1", "ready 1", requested_at),
        requested_at,
    );
    assert!(
        may_fetch(&retirements, &fleet, requested_at),
        "the state was confirmed again"
    );
}

#[tokio::test(start_paused = true)]
async fn leader_whose_lease_expired_while_suspended_gives_no_orders() {
    let suspend_clock = SuspendClock::manual();
    let election = Election {
        platform: MemoryStore::default(),
        me: name("box-1"),
        min_order_gap: Duration::from_secs(3),
        long_poll: Duration::from_secs(25),
        suspend_clock: suspend_clock.clone(),
        log: sillpin_telemetry::logs::discard(),
    };
    let mut leadership = election.acquire().await.unwrap();
    assert!(leadership.may_order(suspend_clock.now()));
    suspend_clock.suspend(SUSPENSION);
    assert!(!leadership.may_order(suspend_clock.now()));
    assert!(
        election.renew(&mut leadership).await,
        "the lease of this store holds"
    );
    assert!(leadership.may_order(suspend_clock.now()));
}

#[test]
fn running_box_counts_no_suspended_time() {
    let suspend_clock = SuspendClock::default();
    let began = std::time::Instant::now();
    while began.elapsed() < Duration::from_millis(200) {
        assert_eq!(suspend_clock.suspended(), Duration::ZERO);
    }
}

#[tokio::test]
async fn connection_idle_while_suspended_is_not_reused() {
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
