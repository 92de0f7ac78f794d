//! Tests of targets that restart under the same id.
//!
//! Guards against state of an earlier incarnation that is applied to the new one. A box keeps state
//! by a target's id: observed weights, failures, connections. If the observed weights version never
//! goes down, prompts go to a restarted engine that no longer serves the version required by them,
//! and it refuses them all.

mod common;

use common::{TestKeys, engine, entry, name, target};
use rstest::rstest;
use sillpin_core::Tokens;
use sillpin_core::{ModelId, TargetId, WeightVersion};
use sillpin_gateway::control::{Life, TargetEntry};
use sillpin_gateway::fleet_state::fleet::{Fleet, served};
use sillpin_gateway::fleet_state::{Copied, FleetMsg, Reading, Source, Topic};
use sillpin_gateway::placement::Loads;
use sillpin_gateway::placement::load::Outcome;
use sillpin_gateway::placement::work::{IncarnationHash, Work};
use sillpin_gateway::pool::{Conn, ConnectionPool};
use sillpin_platform::{KvEntry, KvRevision, Snapshot, WatchReply};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::Instant;

const E1: &str = "target/e1";

fn fleet() -> Fleet<TestKeys> {
    Fleet::new(name("me"), TestKeys, sillpin_telemetry::logs::discard())
}

/// Creates the message for a listing of the store at a revision.
fn listed(entries: Vec<KvEntry>, revision: u64) -> FleetMsg {
    FleetMsg::Read {
        topic: Topic::Targets,
        reading: Reading::Complete(Snapshot {
            entries,
            revision: KvRevision(revision),
        }),
        requested_at: Instant::now(),
        source: Source::Store,
    }
}

fn serves(life: u64, version: u64) -> FleetMsg {
    FleetMsg::Serves {
        target: target("e1"),
        life: Some(Life(life)),
        model: name("m"),
        version: WeightVersion(version),
    }
}

fn version(fleet: &Fleet<TestKeys>) -> Option<WeightVersion> {
    let model: ModelId = name("m");
    served(fleet.view().targets.get(&target("e1"))?, &model)
}

#[tokio::test(start_paused = true)]
async fn weights_observed_in_an_earlier_incarnation_do_not_count_for_the_new_one() {
    let mut fleet = fleet();
    let now = Instant::now();
    fleet.handle(listed(vec![entry(E1, "ready 1 100", 3)], 3), now);
    fleet.handle(serves(100, 4), now);
    assert_eq!(version(&fleet), Some(WeightVersion(4)));
    fleet.handle(listed(vec![entry(E1, "ready 2 200", 4)], 4), now);
    assert_eq!(version(&fleet), Some(WeightVersion(2)));
}

#[rstest]
#[case::a_clock_that_advanced(100, 200)]
#[case::a_clock_that_went_back(200, 100)]
#[tokio::test(start_paused = true)]
async fn messages_about_an_earlier_incarnation_change_nothing(
    #[case] before: u64,
    #[case] now: u64,
) {
    let mut fleet = fleet();
    let at = Instant::now();
    let old = entry(E1, &format!("ready 1 {before}"), 3);
    let new = entry(E1, &format!("ready 1 {now}"), 4);
    fleet.handle(listed(vec![old.clone()], 3), at);
    fleet.handle(listed(vec![new], 4), at);
    fleet.handle(serves(before, 9), at);
    assert_eq!(version(&fleet), Some(WeightVersion(1)));
    // A response of the store that is older than what is known.
    fleet.handle(listed(vec![old], 3), at);
    let life = fleet.view().targets[&target("e1")].life;
    assert_eq!(life, Some(Life(now)));
    fleet.handle(serves(now, 9), at);
    assert_eq!(version(&fleet), Some(WeightVersion(9)));
}

#[rstest]
#[case::a_copy(true)]
#[case::relayed_changes(false)]
#[tokio::test(start_paused = true)]
async fn a_box_refused_by_the_store_receives_the_new_incarnation(#[case] copied: bool) {
    let mut fleet = fleet();
    let now = Instant::now();
    fleet.handle(listed(vec![entry(E1, "ready 1 100", 3)], 3), now);
    fleet.handle(serves(100, 4), now);
    fleet.handle(FleetMsg::StoreUnreachable, now);
    let changed = vec![entry(E1, "ready 1 200", 7)];
    let msg = match copied {
        true => FleetMsg::Read {
            topic: Topic::Targets,
            reading: Reading::Copied(Copied {
                changed,
                keys: vec![E1.to_owned()],
                revision: KvRevision(8),
            }),
            requested_at: now,
            source: Source::Peer(name("b-2")),
        },
        false => FleetMsg::Relayed {
            topic: Topic::Targets,
            after: KvRevision(3),
            before: None,
            reply: WatchReply {
                changed,
                revision: KvRevision(8),
            },
            requested_at: now,
        },
    };
    fleet.handle(msg, now);
    assert_eq!(version(&fleet), Some(WeightVersion(1)));
    let life = fleet.view().targets[&target("e1")].life;
    assert_eq!(life, Some(Life(200)));
}

#[tokio::test(start_paused = true)]
async fn changes_after_an_unknown_revision_are_ignored() {
    let mut fleet = fleet();
    let now = Instant::now();
    fleet.handle(listed(vec![entry(E1, "ready 1 100", 3)], 3), now);
    let reply = WatchReply {
        changed: vec![entry("target/e2", "ready 1 5", 9)],
        revision: KvRevision(9),
    };
    let msg = FleetMsg::Relayed {
        topic: Topic::Targets,
        after: KvRevision(6),
        before: None,
        reply,
        requested_at: now,
    };
    fleet.handle(msg, now);
    assert_eq!(fleet.view().targets_sync.revision, KvRevision(3));
    assert!(!fleet.view().targets.contains_key(&target("e2")));
}

fn running(life: u64) -> HashMap<TargetId, Arc<TargetEntry>> {
    let entry = TargetEntry {
        life: Some(Life(life)),
        ..engine("e1", "za")
    };
    HashMap::from([(entry.id.clone(), Arc::new(entry))])
}

#[rstest]
#[case::unreachable(Outcome::Unreachable, 1)]
#[case::refusing(Outcome::Refused, 5)]
#[case::loading(Outcome::Loading, 1)]
#[case::failing(Outcome::Failed, 20)]
#[tokio::test(start_paused = true)]
async fn failures_of_an_earlier_incarnation_are_forgotten(
    #[case] outcome: Outcome,
    #[case] times: usize,
) {
    let (loads, e1) = (Loads::default(), target("e1"));
    loads.retain_listed(&running(100));
    for _ in 0..times {
        loads.record_for_incarnation(&e1, Some(Life(100)), outcome);
    }
    let ticket = loads.start(&e1, Work::one(10.0, Tokens(100)));
    assert!(loads.get(&e1).in_cooldown(Instant::now()));
    loads.retain_listed(&running(200));
    assert!(!loads.get(&e1).in_cooldown(Instant::now()));
    assert_eq!(loads.get(&e1).failure_rate(), 0.0);
    assert_eq!(loads.get(&e1).in_flight, 1, "it has not ended yet");
    // Results of requests sent to the earlier incarnation.
    for _ in 0..times {
        loads.record_for_incarnation(&e1, Some(Life(100)), outcome);
    }
    assert!(!loads.get(&e1).in_cooldown(Instant::now()));
    drop(ticket);
    assert_eq!(loads.get(&e1).in_flight, 0);
}

#[test]
fn a_replaced_target_is_used_again_after_its_restart() {
    let of = |life| IncarnationHash::of(&running(life)[&target("e1")]);
    assert_ne!(of(100), of(200));
    let moved = TargetEntry {
        addr: ([127, 0, 0, 2], 9).into(),
        ..running(100)[&target("e1")].as_ref().clone()
    };
    assert_ne!(IncarnationHash::of(&moved), of(100));
}

#[tokio::test]
async fn a_connection_to_an_earlier_incarnation_takes_no_request() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let of = |life| TargetEntry {
        life: Some(Life(life)),
        addr: listener.local_addr().unwrap(),
        ..engine("e1", "za")
    };
    let (old, new) = (of(100), of(200));
    let pool = ConnectionPool::default();
    let conn = Conn::open(&old).await.unwrap();
    let (_first, _) = listener.accept().await.unwrap();
    pool.put(old.id.clone(), conn, None).await;
    let _conn = pool.get(&new, Duration::from_secs(9)).await.unwrap();
    let second = tokio::time::timeout(Duration::from_secs(5), listener.accept()).await;
    assert!(second.is_ok(), "the request went out on the old connection");
}

/// Revisions count changes of all prefixes, and only the reader of the store knows the latest one.
#[tokio::test(start_paused = true)]
async fn changes_apply_to_the_same_content_at_any_revision() {
    let mut fleet = fleet();
    let now = Instant::now();
    fleet.handle(listed(vec![entry(E1, "ready 1 100", 3)], 3), now);
    let before = fleet.view().targets_sync.content;
    let reply = WatchReply {
        changed: vec![entry("target/e2", "ready 1 5", 9)],
        revision: KvRevision(9),
    };
    let msg = FleetMsg::Relayed {
        topic: Topic::Targets,
        after: KvRevision(6),
        before: Some(before),
        reply,
        requested_at: now,
    };
    fleet.handle(msg, now);
    assert!(fleet.view().targets.contains_key(&target("e2")));
}

/// Guards against changes that are applied without the content that they follow: a box that had
/// just started did so with the last of several messages and reported the latest revision. Other
/// boxes copied from it, and 205 of 262 targets expired in all zones for twenty seconds.
#[rstest]
#[case::the_last_of_several_messages(None)]
#[case::a_message_after_nothing(Some(0))]
#[tokio::test(start_paused = true)]
async fn a_box_that_knows_nothing_takes_no_changes(#[case] before: Option<u64>) {
    let mut fleet = fleet();
    let msg = FleetMsg::Relayed {
        topic: Topic::Targets,
        after: KvRevision(300),
        before,
        reply: WatchReply {
            changed: vec![entry(E1, "ready 1 100", 301)],
            revision: KvRevision(301),
        },
        requested_at: Instant::now(),
    };
    fleet.handle(msg, Instant::now());
    assert_eq!(fleet.view().targets_sync.revision, KvRevision::ABSENT);
    assert!(fleet.view().targets.is_empty());
}
