//! Tests of what a box knows of the fleet during outages and with outdated messages.

mod common;

use common::{TestKeys, entry, target};
use rstest::rstest;
use sillpin_core::{ModelId, WeightVersion};
use sillpin_gateway::config::ConfigVersion;
use sillpin_gateway::control::Presence;
use sillpin_gateway::fleet_state::fleet::{Fleet, served};
use sillpin_gateway::fleet_state::mirror::Mirror;
use sillpin_gateway::fleet_state::{
    BoxEntry, Copied, DesiredVersion, FleetMsg, Reading, Source, Topic,
};
use sillpin_platform::{KvEntry, KvRevision, Snapshot, WatchReply};
use std::time::Duration;
use tokio::time::Instant;

fn fleet() -> Fleet<TestKeys> {
    let log = sillpin_telemetry::logs::discard();
    Fleet::new(common::name("box-1"), TestKeys, log)
}

fn listing(topic: Topic, entries: Vec<KvEntry>, revision: u64, requested_at: Instant) -> FleetMsg {
    let revision = KvRevision(revision);
    FleetMsg::Read {
        topic,
        reading: Reading::Complete(Snapshot { entries, revision }),
        requested_at,
        source: Source::Store,
    }
}

fn changes(topic: Topic, changed: Vec<KvEntry>, revision: u64, requested_at: Instant) -> FleetMsg {
    let revision = KvRevision(revision);
    FleetMsg::Read {
        topic,
        reading: Reading::Changes(WatchReply { changed, revision }),
        requested_at,
        source: Source::Store,
    }
}

fn deleted(key: &str, revision: u64) -> KvEntry {
    KvEntry {
        value: None,
        ..entry(key, "", revision)
    }
}

fn version(fleet: &Fleet<TestKeys>) -> Option<ConfigVersion> {
    fleet.view().config.as_ref().map(|config| config.version)
}

#[tokio::test(start_paused = true)]
async fn a_configuration_is_never_replaced_by_an_older_one() {
    let mut fleet = fleet();
    let now = Instant::now();
    let newer = vec![entry("ops/config", "7", 5)];
    fleet.handle(listing(Topic::Operators, newer, 5, now), now);
    let older = vec![entry("ops/config", "3", 9)];
    fleet.handle(listing(Topic::Operators, older, 9, now), now);
    assert_eq!(version(&fleet), Some(ConfigVersion(7)));
}

#[tokio::test(start_paused = true)]
async fn an_unreadable_configuration_leaves_the_last_good_one_in_force() {
    let mut fleet = fleet();
    let now = Instant::now();
    let good = vec![entry("ops/config", "7", 5)];
    fleet.handle(listing(Topic::Operators, good, 5, now), now);
    let bad = vec![entry("ops/config", "{", 6)];
    fleet.handle(changes(Topic::Operators, bad, 6, now), now);
    assert_eq!(version(&fleet), Some(ConfigVersion(7)));
    let next = vec![entry("ops/config", "8", 7)];
    fleet.handle(changes(Topic::Operators, next, 7, now), now);
    assert_eq!(version(&fleet), Some(ConfigVersion(8)));
}

#[tokio::test(start_paused = true)]
async fn an_older_listing_changes_nothing() {
    let mut fleet = fleet();
    let now = Instant::now();
    let leaving = vec![entry("target/e1", "leaving 1", 8)];
    fleet.handle(listing(Topic::Targets, leaving, 8, now), now);
    let old = vec![entry("target/e1", "ready 1", 4)];
    fleet.handle(listing(Topic::Targets, old, 4, now), now);
    let known = &fleet.view().targets[&target("e1")];
    assert_eq!(known.presence, Presence::Leaving);
    assert_eq!(fleet.view().targets_sync.revision, KvRevision(8));
}

/// Returns what another box with these entries knows beyond `after`.
fn copied(
    topic: Topic,
    entries: &[KvEntry],
    after: u64,
    revision: u64,
    requested_at: Instant,
) -> FleetMsg {
    let (changed, keys) = Mirror::since(entries, KvRevision(after));
    let revision = KvRevision(revision);
    let copied = Copied {
        changed,
        keys,
        revision,
    };
    FleetMsg::Read {
        topic,
        reading: Reading::Copied(copied),
        requested_at,
        source: Source::Peer(common::name("box-2")),
    }
}

#[tokio::test(start_paused = true)]
async fn a_copy_contains_changed_and_deleted_entries() {
    let mut fleet = fleet();
    let now = Instant::now();
    let all: Vec<KvEntry> = (1..=4)
        .map(|i| entry(&format!("target/e{i}"), "ready 1", i))
        .collect();
    fleet.handle(listing(Topic::Targets, all.clone(), 4, now), now);
    let mut theirs = all;
    theirs.remove(0);
    theirs[0] = entry("target/e2", "leaving 1", 6);
    theirs.push(entry("target/e5", "ready 1", 7));
    let msg = copied(Topic::Targets, &theirs, 4, 7, now);
    if let FleetMsg::Read {
        reading: Reading::Copied(copied),
        ..
    } = &msg
    {
        assert_eq!(copied.changed.len(), 2, "only what changed is sent");
    }
    fleet.handle(msg, now);
    let mut known: Vec<String> = fleet
        .view()
        .targets
        .keys()
        .map(|id| id.to_string())
        .collect();
    known.sort();
    assert_eq!(known, ["e2", "e3", "e4", "e5"]);
    assert_eq!(
        fleet.view().targets[&target("e2")].presence,
        Presence::Leaving
    );
    assert_eq!(fleet.view().targets_sync.revision, KvRevision(7));
}

#[tokio::test(start_paused = true)]
async fn a_copy_made_before_a_key_was_written_does_not_remove_it() {
    let mut fleet = fleet();
    let now = Instant::now();
    let first = vec![entry("target/e1", "ready 1", 3)];
    fleet.handle(listing(Topic::Targets, first.clone(), 3, now), now);
    // The pages of a listing form no snapshot: an entry may be newer than the listing's revision.
    let later = vec![entry("target/e2", "ready 1", 9)];
    fleet.handle(changes(Topic::Targets, later, 5, now), now);
    fleet.handle(copied(Topic::Targets, &first, 3, 6, now), now);
    assert!(fleet.view().targets.contains_key(&target("e2")));
}

#[tokio::test(start_paused = true)]
async fn an_older_copy_changes_nothing() {
    let mut fleet = fleet();
    let now = Instant::now();
    let newer = vec![entry("target/e1", "ready 1", 8)];
    fleet.handle(listing(Topic::Targets, newer, 8, now), now);
    fleet.handle(copied(Topic::Targets, &[], 3, 6, now), now);
    assert!(fleet.view().targets.contains_key(&target("e1")));
    assert_eq!(fleet.view().targets_sync.revision, KvRevision(8));
}

#[tokio::test(start_paused = true)]
async fn a_change_received_twice_does_not_restore_a_target() {
    let mut fleet = fleet();
    let now = Instant::now();
    let both = vec![
        entry("target/e1", "ready 1", 3),
        entry("target/e2", "ready 1", 4),
    ];
    fleet.handle(listing(Topic::Targets, both, 4, now), now);
    let left = vec![deleted("target/e1", 6)];
    fleet.handle(changes(Topic::Targets, left, 6, now), now);
    let late = vec![entry("target/e1", "ready 1", 3)];
    fleet.handle(changes(Topic::Targets, late, 6, now), now);
    assert!(!fleet.view().targets.contains_key(&target("e1")));
}

#[tokio::test(start_paused = true)]
async fn a_removed_entry_removes_the_target_immediately_without_an_outage() {
    let mut fleet = fleet();
    let now = Instant::now();
    let all = (0..4).map(|i| entry(&format!("target/e{i}"), "ready 1", 4));
    fleet.handle(listing(Topic::Targets, all.collect(), 4, now), now);
    fleet.handle(
        changes(Topic::Targets, vec![deleted("target/e1", 5)], 5, now),
        now,
    );
    assert!(!fleet.view().targets.contains_key(&target("e1")));
}

#[tokio::test(start_paused = true)]
async fn entries_that_expire_in_an_outage_are_kept_until_their_grace_ends() {
    let mut fleet = fleet();
    let now = Instant::now();
    let both = vec![
        entry("target/e1", "ready 1", 3),
        entry("target/e2", "ready 1", 4),
    ];
    fleet.handle(listing(Topic::Targets, both, 4, now), now);
    fleet.handle(FleetMsg::StoreUnreachable, now);
    tokio::time::advance(Duration::from_secs(1)).await;
    let now = Instant::now();
    fleet.handle(listing(Topic::Targets, Vec::new(), 9, now), now);
    assert_eq!(fleet.view().targets.len(), 2, "both may still return");
    let back = vec![entry("target/e1", "ready 1", 10)];
    fleet.handle(changes(Topic::Targets, back, 10, now), now);
    tokio::time::advance(Duration::from_millis(2_400)).await;
    assert!(fleet.sweep(Instant::now()));
    let left: Vec<_> = fleet.view().targets.keys().cloned().collect();
    assert_eq!(left, [target("e1")]);
}

/// Guards against requests to a removed target: a box that the store had refused until 3.4 s before
/// took the removal of an entry for an expiry during that outage, and sent requests 2.3 s after it.
#[tokio::test(start_paused = true)]
async fn a_removal_long_after_the_stores_return_is_no_expiry() {
    let mut fleet = fleet();
    let now = Instant::now();
    let all = (0..4).map(|i| entry(&format!("target/e{i}"), "ready 1", 4));
    fleet.handle(listing(Topic::Targets, all.collect(), 4, now), now);
    fleet.handle(FleetMsg::StoreUnreachable, now);
    tokio::time::advance(Duration::from_millis(3_400)).await;
    let now = Instant::now();
    fleet.handle(
        changes(Topic::Targets, vec![deleted("target/e1", 5)], 5, now),
        now,
    );
    assert!(!fleet.view().targets.contains_key(&target("e1")));
}

#[tokio::test(start_paused = true)]
async fn a_leaving_target_gets_no_grace_in_an_outage() {
    let mut fleet = fleet();
    let now = Instant::now();
    let one = vec![entry("target/e1", "leaving 1", 3)];
    fleet.handle(listing(Topic::Targets, one, 3, now), now);
    fleet.handle(FleetMsg::StoreUnreachable, now);
    fleet.handle(listing(Topic::Targets, Vec::new(), 9, now), now);
    assert!(fleet.view().targets.is_empty());
}

#[tokio::test(start_paused = true)]
async fn weights_observed_in_a_response_count_until_the_entry_is_newer() {
    let mut fleet = fleet();
    let now = Instant::now();
    let one = vec![entry("target/e1", "ready 1", 3)];
    fleet.handle(listing(Topic::Targets, one, 3, now), now);
    let model: ModelId = common::name("m");
    let served_msg = FleetMsg::Serves {
        target: target("e1"),
        life: None,
        model: model.clone(),
        version: WeightVersion(2),
    };
    fleet.handle(served_msg, now);
    let seen = served(&fleet.view().targets[&target("e1")], &model);
    assert_eq!(seen, Some(WeightVersion(2)));
    let listed = served(&fleet.view().entries[&target("e1")], &model);
    assert_eq!(
        listed,
        Some(WeightVersion(1)),
        "entries stay as they were read"
    );
}

#[tokio::test(start_paused = true)]
async fn unresponsive_boxes_are_removed_unless_they_are_registered() {
    let mut fleet = fleet();
    let now = Instant::now();
    let peer = |id: &str| BoxEntry {
        id: common::name(id),
        zone: common::name("za"),
        peers: ([127, 0, 0, 1], 1).into(),
        gossip: ([127, 0, 0, 1], 2).into(),
        link_mbps: 0,
    };
    fleet.handle(FleetMsg::PeerSeen(peer("box-2")), now);
    fleet.handle(
        FleetMsg::Registered(vec![peer("box-3"), peer("box-1")]),
        now,
    );
    assert_eq!(fleet.view().box_count(), 3, "two others and this one");
    tokio::time::advance(Duration::from_secs(7)).await;
    fleet.sweep(Instant::now());
    let ids: Vec<_> = fleet
        .view()
        .boxes
        .iter()
        .map(|b| b.id.to_string())
        .collect();
    assert_eq!(ids, ["box-3"]);
}

#[tokio::test(start_paused = true)]
async fn contact_restarts_after_the_store_was_unresponsive() {
    let mut fleet = fleet();
    let start = Instant::now();
    let confirm = |fleet: &mut Fleet<TestKeys>, requested_at| {
        fleet.handle(
            listing(Topic::Operators, Vec::new(), 1, requested_at),
            requested_at,
        );
        fleet.view().operators_sync.in_contact(requested_at)
    };
    assert_eq!(fleet.view().operators_sync.in_contact(start), None);
    for seconds in [0, 2, 4] {
        let requested_at = start + Duration::from_secs(seconds);
        assert_eq!(confirm(&mut fleet, requested_at), Some(start));
    }
    let later = start + Duration::from_secs(7);
    assert_eq!(fleet.view().operators_sync.in_contact(later), None);
    let back = start + Duration::from_secs(9);
    assert_eq!(confirm(&mut fleet, back), Some(back));
    let others = start + Duration::from_secs(5);
    fleet.handle(FleetMsg::Contact(others), back);
    assert_eq!(fleet.view().operators_sync.in_contact(back), Some(others));
}

#[tokio::test(start_paused = true)]
async fn versions_found_at_the_start_are_not_witnessed() {
    let mut fleet = fleet();
    let start = Instant::now();
    let found = vec![entry("ops/weights/m", "2", 5)];
    fleet.handle(listing(Topic::Operators, found, 5, start), start);
    let later = start + Duration::from_secs(1);
    let entries = vec![entry("ops/weights/m", "3", 6)];
    fleet.handle(changes(Topic::Operators, entries, 6, later), later);
    let model: ModelId = common::name("m");
    let desired = fleet.view().desired[&model].clone();
    let seen = |version| desired.find(WeightVersion(version)).unwrap().witnessed;
    assert_eq!((seen(2), seen(3)), (false, true));
    let requested = DesiredVersion {
        version: WeightVersion(2),
        since: start,
        witnessed: true,
    };
    let msg = FleetMsg::DesiredVersion {
        model: model.clone(),
        desired: requested,
        source: Source::Peer(common::name("box-2")),
    };
    fleet.handle(msg, later);
    assert_eq!(
        fleet.view().desired[&model].find(WeightVersion(2)),
        Some(&requested)
    );
}

/// Guards against taking one lost call for an outage: the store answers all other boxes, and a
/// target's entry is removed in the same second. A box that takes this for an expiry during an
/// outage sends requests there for over two seconds more.
#[tokio::test(start_paused = true)]
async fn one_boxs_lost_call_is_no_outage_of_the_store() {
    let mut fleet = fleet();
    let now = Instant::now();
    let all = (0..4).map(|i| entry(&format!("target/e{i}"), "ready 1", 4));
    fleet.handle(listing(Topic::Targets, all.collect(), 4, now), now);
    for revision in 5..8u64 {
        tokio::time::advance(Duration::from_millis(400)).await;
        let now = Instant::now();
        let confirmation = FleetMsg::Confirmed {
            topic: Topic::Targets,
            content: fleet.view().targets_sync.content,
            revision: KvRevision(revision),
            requested_at: now,
        };
        fleet.handle(confirmation, now);
    }
    fleet.handle(FleetMsg::StoreUnreachable, Instant::now());
    tokio::time::advance(Duration::from_millis(100)).await;
    let now = Instant::now();
    let removed = vec![deleted("target/e1", 8)];
    fleet.handle(changes(Topic::Targets, removed, 8, now), now);
    assert!(!fleet.view().targets.contains_key(&target("e1")));
}

/// Guards against a grace period that failed calls restart: the store refuses one box for a long
/// time, and the box gets the changes from other boxes. If each of its own failed calls restarts
/// the time in which a removed entry may return, each target that leaves gets requests from that
/// box for two seconds more.
#[tokio::test(start_paused = true)]
async fn a_removal_read_by_another_box_is_no_expiry_while_this_box_is_refused() {
    let mut fleet = fleet();
    let now = Instant::now();
    let mut all: Vec<KvEntry> = (0..4)
        .map(|i| entry(&format!("target/e{i}"), "ready 1", 4))
        .collect();
    fleet.handle(listing(Topic::Targets, all.clone(), 4, now), now);
    for _ in 0..10 {
        tokio::time::advance(Duration::from_millis(400)).await;
        let now = Instant::now();
        fleet.handle(FleetMsg::StoreUnreachable, now);
        fleet.handle(copied(Topic::Targets, &all, 4, 4, now), now);
    }
    all.remove(1);
    let now = Instant::now();
    fleet.handle(copied(Topic::Targets, &all, 4, 9, now), now);
    assert!(!fleet.view().targets.contains_key(&target("e1")));
}

/// Guards against a grace period that starts too late: most entries expire while the store is
/// unreachable, and a box gets this from another one that queried the store 1.5 s before. If it
/// counts the targets' time to return from when it received it, it sends requests to stopped
/// targets 3.8 s after the store recovered.
#[tokio::test(start_paused = true)]
async fn the_grace_of_expired_entries_counts_from_the_read_of_the_store() {
    let mut fleet = fleet();
    let now = Instant::now();
    let all = (0..4).map(|i| entry(&format!("target/e{i}"), "ready 1", 4));
    fleet.handle(listing(Topic::Targets, all.collect(), 4, now), now);
    let requested_at = now + Duration::from_secs(5);
    tokio::time::advance(Duration::from_millis(6_500)).await;
    let now = Instant::now();
    fleet.handle(copied(Topic::Targets, &[], 4, 9, requested_at), now);
    assert_eq!(fleet.view().targets.len(), 4, "they may still return");
    tokio::time::advance(Duration::from_millis(900)).await;
    fleet.sweep(Instant::now());
    assert!(
        fleet.view().targets.is_empty(),
        "2.4 s after the store was queried"
    );
}

/// Guards against taking a request for weights as new after a suspension: all boxes are frozen for
/// 5 s, and version 2 is requested meanwhile. If each reports after it resumes that the version was
/// requested at that moment, version 1 is used for 5 s too long.
#[tokio::test(start_paused = true)]
async fn versions_found_after_a_suspension_are_not_witnessed() {
    let mut fleet = fleet();
    let start = Instant::now();
    let found = vec![entry("ops/weights/m", "1", 5)];
    fleet.handle(listing(Topic::Operators, found, 5, start), start);
    let resumed = start + Duration::from_secs(5);
    let entries = vec![entry("ops/weights/m", "2", 6)];
    fleet.handle(changes(Topic::Operators, entries, 6, resumed), resumed);
    let model: ModelId = common::name("m");
    let desired = fleet.view().desired[&model].clone();
    let second = desired.find(WeightVersion(2)).unwrap();
    assert!(
        !second.witnessed || second.since < resumed,
        "it may have been requested 5 s ago: {second:?}"
    );
}

#[rstest]
#[case::unreadable("neither")]
#[case::an_incarnation_that_is_no_number("ready 1 soon")]
#[tokio::test(start_paused = true)]
async fn an_unreadable_entry_removes_only_its_own_target(#[case] value: &str) {
    let mut fleet = fleet();
    let now = Instant::now();
    let two = vec![
        entry("target/e1", "ready 1", 3),
        entry("target/e2", "ready 1", 4),
    ];
    fleet.handle(listing(Topic::Targets, two, 4, now), now);
    let two = vec![
        entry("target/e1", value, 5),
        entry("target/e2", "ready 1", 4),
    ];
    fleet.handle(listing(Topic::Targets, two, 5, now), now);
    let listed: Vec<&str> = fleet.view().targets.keys().map(|id| id.as_str()).collect();
    assert_eq!(listed, ["e2"]);
}

fn is_evacuated(fleet: &Fleet<TestKeys>) -> bool {
    fleet.view().evacuations.contains(&common::name("za"))
}

/// Returns whether the index from which targets are chosen contains those of `za`.
fn takes_requests(fleet: &Fleet<TestKeys>) -> bool {
    fleet.view().index.pool(&common::name("llm")).is_some()
}

const EVACUATION: &str = "ops/evacuate/za";

/// Whichever way a box receives an evacuation and its end, the later one counts, and outdated
/// messages change nothing.
#[rstest]
#[case::watched(false)]
#[case::copied_from_another_box(true)]
#[tokio::test(start_paused = true)]
async fn an_evacuation_holds_until_its_end_is_received(#[case] is_copied: bool) {
    let mut fleet = fleet();
    let now = Instant::now();
    let engines = vec![entry("target/e1", "ready 1", 1)];
    fleet.handle(listing(Topic::Targets, engines, 1, now), now);
    let before = vec![entry("ops/config", "7", 2)];
    fleet.handle(listing(Topic::Operators, before.clone(), 2, now), now);
    assert!(takes_requests(&fleet));
    let mut during = before.clone();
    during.push(entry(EVACUATION, "{}", 5));
    let began = match is_copied {
        true => copied(Topic::Operators, &during, 2, 5, now),
        false => changes(Topic::Operators, vec![entry(EVACUATION, "{}", 5)], 5, now),
    };
    fleet.handle(began, now);
    assert!(is_evacuated(&fleet) && !takes_requests(&fleet));
    fleet.handle(copied(Topic::Operators, &before, 0, 4, now), now);
    assert!(is_evacuated(&fleet), "an older copy does not end it");
    let ended = match is_copied {
        true => copied(Topic::Operators, &before, 5, 8, now),
        false => changes(Topic::Operators, vec![deleted(EVACUATION, 8)], 8, now),
    };
    fleet.handle(ended, now);
    assert!(!is_evacuated(&fleet) && takes_requests(&fleet));
    let late = changes(Topic::Operators, vec![entry(EVACUATION, "{}", 5)], 8, now);
    fleet.handle(late, now);
    assert!(!is_evacuated(&fleet), "late messages do not restore it");
}

/// A store that has dropped its history is listed again: an evacuation missing from the listing was
/// revoked, one in the listing holds.
#[tokio::test(start_paused = true)]
async fn a_listing_begins_and_ends_evacuations() {
    let mut fleet = fleet();
    let now = Instant::now();
    let other = entry("ops/evacuate/zb", "", 3);
    let first = vec![entry(EVACUATION, "{}", 2), other.clone()];
    fleet.handle(listing(Topic::Operators, first, 3, now), now);
    assert!(is_evacuated(&fleet));
    let later = vec![other, entry("ops/evacuate/No\u{1}Zone", "{}", 6)];
    fleet.handle(listing(Topic::Operators, later, 9, now), now);
    assert!(!is_evacuated(&fleet));
    assert_eq!(
        fleet.view().evacuations.count(),
        1,
        "a key that names no zone does not count"
    );
}
