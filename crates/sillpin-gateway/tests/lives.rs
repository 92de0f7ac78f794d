//! Targets that start again under their ids.
//!
//! A box remembers much of a target by its id: weights seen there, how it behaved, connections. When a target started again under its id, all
//! of that was believed of the new life too: weights that were seen only ever grew, so prompts went on to an engine that no longer
//! served what they named, and it refused them all.

mod common;

use common::{TestKeys, engine, entry, name, target};
use rstest::rstest;
use sillpin_core::Tokens;
use sillpin_core::{ModelId, TargetId, WeightVersion};
use sillpin_gateway::beliefs::fleet::{Fleet, served};
use sillpin_gateway::beliefs::{Copied, FleetMsg, Reading, Source, Topic};
use sillpin_gateway::control::{Life, TargetEntry};
use sillpin_gateway::place::Loads;
use sillpin_gateway::place::load::Outcome;
use sillpin_gateway::place::work::{LifeHash, Work};
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

/// The store says so, at a revision.
fn listed(entries: Vec<KvEntry>, revision: u64) -> FleetMsg {
    FleetMsg::Read {
        topic: Topic::Targets,
        reading: Reading::Whole(Snapshot {
            entries,
            revision: KvRevision(revision),
        }),
        asked: Instant::now(),
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
async fn weights_seen_in_an_earlier_life_are_not_believed_of_the_new_one() {
    let mut fleet = fleet();
    let now = Instant::now();
    fleet.handle(listed(vec![entry(E1, "ready 1 100", 3)], 3), now);
    fleet.handle(serves(100, 4), now);
    assert_eq!(version(&fleet), Some(WeightVersion(4)));
    fleet.handle(listed(vec![entry(E1, "ready 2 200", 4)], 4), now);
    assert_eq!(version(&fleet), Some(WeightVersion(2)));
}

#[rstest]
#[case::a_clock_that_went_on(100, 200)]
#[case::a_clock_that_went_back(200, 100)]
#[tokio::test(start_paused = true)]
async fn news_of_an_earlier_life_change_nothing(#[case] before: u64, #[case] now: u64) {
    let mut fleet = fleet();
    let at = Instant::now();
    let old = entry(E1, &format!("ready 1 {before}"), 3);
    let new = entry(E1, &format!("ready 1 {now}"), 4);
    fleet.handle(listed(vec![old.clone()], 3), at);
    fleet.handle(listed(vec![new], 4), at);
    fleet.handle(serves(before, 9), at);
    assert_eq!(version(&fleet), Some(WeightVersion(1)));
    // An answer of the store that is older than what is known.
    fleet.handle(listed(vec![old], 3), at);
    let life = fleet.view().targets[&target("e1")].life;
    assert_eq!(life, Some(Life(now)));
    fleet.handle(serves(now, 9), at);
    assert_eq!(version(&fleet), Some(WeightVersion(9)));
}

#[rstest]
#[case::a_copy(true)]
#[case::changes_that_the_zones_reader_passed_on(false)]
#[tokio::test(start_paused = true)]
async fn a_box_that_the_store_turns_away_learns_of_the_new_life(#[case] copied: bool) {
    let mut fleet = fleet();
    let now = Instant::now();
    fleet.handle(listed(vec![entry(E1, "ready 1 100", 3)], 3), now);
    fleet.handle(serves(100, 4), now);
    fleet.handle(FleetMsg::StoreAway, now);
    let changed = vec![entry(E1, "ready 1 200", 7)];
    let msg = match copied {
        true => FleetMsg::Read {
            topic: Topic::Targets,
            reading: Reading::Copied(Copied {
                changed,
                keys: vec![E1.to_owned()],
                revision: KvRevision(8),
            }),
            asked: now,
            source: Source::Peer(name("b-2")),
        },
        false => FleetMsg::Passed {
            topic: Topic::Targets,
            after: KvRevision(3),
            before: None,
            reply: WatchReply {
                changed,
                revision: KvRevision(8),
            },
            asked: now,
        },
    };
    fleet.handle(msg, now);
    assert_eq!(version(&fleet), Some(WeightVersion(1)));
    let life = fleet.view().targets[&target("e1")].life;
    assert_eq!(life, Some(Life(200)));
}

#[tokio::test(start_paused = true)]
async fn changes_that_go_on_from_more_than_is_known_are_left_alone() {
    let mut fleet = fleet();
    let now = Instant::now();
    fleet.handle(listed(vec![entry(E1, "ready 1 100", 3)], 3), now);
    let reply = WatchReply {
        changed: vec![entry("target/e2", "ready 1 5", 9)],
        revision: KvRevision(9),
    };
    let msg = FleetMsg::Passed {
        topic: Topic::Targets,
        after: KvRevision(6),
        before: None,
        reply,
        asked: now,
    };
    fleet.handle(msg, now);
    assert_eq!(fleet.view().listed.revision, KvRevision(3));
    assert!(!fleet.view().targets.contains_key(&target("e2")));
}

fn living(life: u64) -> HashMap<TargetId, Arc<TargetEntry>> {
    let entry = TargetEntry {
        life: Some(Life(life)),
        ..engine("e1", "za")
    };
    HashMap::from([(entry.id.clone(), Arc::new(entry))])
}

#[rstest]
#[case::out_of_reach(Outcome::Unreachable, 1)]
#[case::refusing(Outcome::Refused, 5)]
#[case::loading(Outcome::Loading, 1)]
#[case::failing(Outcome::Failed, 20)]
#[tokio::test(start_paused = true)]
async fn how_a_target_behaved_in_an_earlier_life_is_forgotten(
    #[case] outcome: Outcome,
    #[case] times: usize,
) {
    let (loads, e1) = (Loads::default(), target("e1"));
    loads.follow(&living(100));
    for _ in 0..times {
        loads.note_life(&e1, Some(Life(100)), outcome);
    }
    let ticket = loads.start(&e1, Work::one(10.0, Tokens(100)));
    assert!(loads.get(&e1).rests(Instant::now()));
    loads.follow(&living(200));
    assert!(!loads.get(&e1).rests(Instant::now()));
    assert_eq!(loads.get(&e1).failing(), 0.0);
    assert_eq!(loads.get(&e1).in_flight, 1, "it has not ended yet");
    // How what had been sent to the earlier life ends.
    for _ in 0..times {
        loads.note_life(&e1, Some(Life(100)), outcome);
    }
    assert!(!loads.get(&e1).rests(Instant::now()));
    drop(ticket);
    assert_eq!(loads.get(&e1).in_flight, 0);
}

#[test]
fn a_target_that_was_replaced_is_used_again_once_it_has_started_anew() {
    let of = |life| LifeHash::of(&living(life)[&target("e1")]);
    assert_ne!(of(100), of(200));
    let moved = TargetEntry {
        addr: ([127, 0, 0, 2], 9).into(),
        ..living(100)[&target("e1")].as_ref().clone()
    };
    assert_ne!(LifeHash::of(&moved), of(100));
}

#[tokio::test]
async fn a_connection_to_an_earlier_life_takes_no_request() {
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

/// Revisions count changes of all prefixes, and who reads the store knows the newest.
#[tokio::test(start_paused = true)]
async fn changes_go_on_from_the_same_content_whatever_its_revision() {
    let mut fleet = fleet();
    let now = Instant::now();
    fleet.handle(listed(vec![entry(E1, "ready 1 100", 3)], 3), now);
    let before = fleet.view().listed.content;
    let reply = WatchReply {
        changed: vec![entry("target/e2", "ready 1 5", 9)],
        revision: KvRevision(9),
    };
    let msg = FleetMsg::Passed {
        topic: Topic::Targets,
        after: KvRevision(6),
        before: Some(before),
        reply,
        asked: now,
    };
    fleet.handle(msg, now);
    assert!(fleet.view().targets.contains_key(&target("e2")));
}

/// A box that had just started took the last of several words for what follows from nothing, and told others that it knew the newest revision: they
/// copied from it, and 205 of 262 targets lapsed in all zones for twenty seconds.
#[rstest]
#[case::the_last_of_several_words(None)]
#[case::a_word_from_nothing(Some(0))]
#[tokio::test(start_paused = true)]
async fn a_box_that_knows_nothing_takes_no_changes(#[case] before: Option<u64>) {
    let mut fleet = fleet();
    let msg = FleetMsg::Passed {
        topic: Topic::Targets,
        after: KvRevision(300),
        before,
        reply: WatchReply {
            changed: vec![entry(E1, "ready 1 100", 301)],
            revision: KvRevision(301),
        },
        asked: Instant::now(),
    };
    fleet.handle(msg, Instant::now());
    assert_eq!(fleet.view().listed.revision, KvRevision::ABSENT);
    assert!(fleet.view().targets.is_empty());
}
