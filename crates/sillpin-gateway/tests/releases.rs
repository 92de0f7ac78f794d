//! What a box knows of releases, and the counts that boxes send each other.

mod common;

use common::{TestKeys, name};
use proptest::prelude::*;
use sillpin_gateway::control::ReleasePhase;
use sillpin_gateway::fleet_state::fleet::Fleet;
use sillpin_gateway::fleet_state::{BoxEntry, FleetMsg, PhaseUpdate, Reading, Source, Topic};
use sillpin_gateway::peers::datagram::BoxHash;
use sillpin_gateway::placement::index::PoolTargets;
use sillpin_gateway::releases::RouteEvidence;
use sillpin_gateway::releases::evidence::{Evidence, EvidenceScope, EvidenceSource, RouteHash};
use sillpin_platform::{KvEntry, KvRevision, Snapshot, StoreEra, WatchReply};
use std::time::Duration;
use tokio::time::{Instant, advance};

const KEY: &str = "ops/release/llm";

fn fleet() -> Fleet<TestKeys> {
    let log = sillpin_telemetry::logs::discard();
    Fleet::new(name("box-1"), TestKeys, log)
}

fn entry(value: Option<&str>, revision: KvRevision) -> KvEntry {
    KvEntry {
        key: KEY.to_owned(),
        value: value.map(str::to_owned),
        revision,
    }
}

fn read(fleet: &mut Fleet<TestKeys>, reading: Reading) {
    read_topic(fleet, Topic::Operators, reading);
}

fn read_targets(fleet: &mut Fleet<TestKeys>, reading: Reading) {
    read_topic(fleet, Topic::Targets, reading);
}

/// Returns the entry of a ready target with a version of its software.
fn target_entry(id: &str, software: &str) -> KvEntry {
    KvEntry {
        key: format!("target/{id}"),
        value: Some(format!("ready 1 0 {software}")),
        revision: KvRevision(6),
    }
}

fn read_topic(fleet: &mut Fleet<TestKeys>, topic: Topic, reading: Reading) {
    let now = Instant::now();
    let msg = FleetMsg::Read {
        topic,
        reading,
        requested_at: now,
        source: Source::Store,
    };
    fleet.handle(msg, now);
}

fn change(fleet: &mut Fleet<TestKeys>, value: Option<&str>, revision: KvRevision) {
    let changed = vec![entry(value, revision)];
    read(fleet, Reading::Changes(WatchReply { changed, revision }));
}

fn list(fleet: &mut Fleet<TestKeys>, entries: Vec<KvEntry>, revision: KvRevision) {
    read(fleet, Reading::Complete(Snapshot { entries, revision }));
}

fn tell(fleet: &mut Fleet<TestKeys>, phase: ReleasePhase, revision: KvRevision) {
    let update = PhaseUpdate {
        pool: name("llm"),
        revision,
        since: None,
        phase,
        is_recorded: false,
    };
    let source = Source::Relayed;
    fleet.handle(FleetMsg::ReleasePhase { update, source }, Instant::now());
}

fn phase(fleet: &Fleet<TestKeys>) -> Option<ReleasePhase> {
    let release = fleet.view().releases.find(&name("llm"));
    release.map(|release| release.phase)
}

/// Returns a fleet that has just received an order at revision 5.
fn with_order() -> Fleet<TestKeys> {
    let mut fleet = fleet();
    list(&mut fleet, Vec::new(), KvRevision(4));
    change(&mut fleet, Some("v2 30"), KvRevision(5));
    fleet
}

/// Guards against a box that starts a release anew that was rolled back before the box started.
#[tokio::test(start_paused = true)]
async fn the_phase_of_an_order_from_before_the_start_is_unknown() {
    let mut fleet = fleet();
    list(
        &mut fleet,
        vec![entry(Some("v2 30"), KvRevision(3))],
        KvRevision(4),
    );
    assert_eq!(phase(&fleet), Some(ReleasePhase::Unknown));
    assert_eq!(phase(&with_order()), Some(ReleasePhase::Running));
}

/// Guards against boxes that are late or were cut off and revive a release that has ended.
#[tokio::test(start_paused = true)]
async fn a_phase_is_never_replaced_by_an_earlier_one() {
    let mut fleet = with_order();
    tell(&mut fleet, ReleasePhase::RolledBack, KvRevision(5));
    tell(&mut fleet, ReleasePhase::Running, KvRevision(5));
    assert_eq!(phase(&fleet), Some(ReleasePhase::RolledBack));
    tell(&mut fleet, ReleasePhase::Succeeded, KvRevision(5));
    assert_eq!(phase(&fleet), Some(ReleasePhase::Succeeded));
}

/// Guards against the end of an earlier release that ends the current one.
#[tokio::test(start_paused = true)]
async fn a_phase_of_another_order_is_ignored() {
    let mut fleet = with_order();
    change(&mut fleet, Some("v3 30"), KvRevision(9));
    tell(&mut fleet, ReleasePhase::RolledBack, KvRevision(5));
    assert_eq!(phase(&fleet), Some(ReleasePhase::Running));
}

/// Guards against a release that goes on after its order was withdrawn.
#[tokio::test(start_paused = true)]
async fn a_withdrawn_order_ends_its_release() {
    let mut fleet = with_order();
    change(&mut fleet, None, KvRevision(6));
    assert_eq!(phase(&fleet), Some(ReleasePhase::RolledBack));
    tell(&mut fleet, ReleasePhase::Succeeded, KvRevision(5));
    assert_eq!(phase(&fleet), Some(ReleasePhase::RolledBack));
}

/// Guards against an order that a restored store lacks and that counts as withdrawn, or as another one when it is
/// written again.
#[tokio::test(start_paused = true)]
async fn a_release_goes_on_when_a_restored_store_has_lost_its_order() {
    let mut fleet = with_order();
    let since = fleet.view().releases.find(&name("llm")).map(|r| r.since);
    advance(Duration::from_secs(5)).await;
    let restored = |number| KvRevision::in_era(StoreEra(1), number);
    list(&mut fleet, Vec::new(), restored(2));
    assert_eq!(phase(&fleet), Some(ReleasePhase::Running));
    change(&mut fleet, Some("v2 30"), restored(3));
    assert_eq!(phase(&fleet), Some(ReleasePhase::Running));
    let release = fleet.view().releases.find(&name("llm")).cloned();
    assert_eq!(
        release.map(|r| (Some(r.since), r.revision)),
        Some((since, restored(3)))
    );
}

/// Guards against a box that knows the first page of targets only, finds none with another version on it, and takes the
/// new version for the one that serves.
#[tokio::test(start_paused = true)]
async fn a_part_of_the_targets_does_not_show_that_a_version_serves_alone() {
    let mut fleet = with_order();
    let pool = name("llm");
    let is_served_by = |fleet: &Fleet<TestKeys>| {
        let view = fleet.view();
        let serving = view.index.pool(&pool).map_or(0, PoolTargets::len);
        let canaries = view.canaries.pool(&pool).map_or(0, PoolTargets::len);
        (serving, canaries)
    };
    let new = target_entry("e-1", "v2");
    let (entries, revision) = (vec![new.clone()], KvRevision(6));
    let part = Snapshot { entries, revision };
    read_targets(&mut fleet, Reading::Part(part));
    assert_eq!(is_served_by(&fleet), (0, 1));
    assert!(!fleet.view().serves_alone(&pool));
    let entries = vec![new, target_entry("e-2", "v1")];
    read_targets(
        &mut fleet,
        Reading::Complete(Snapshot { entries, revision }),
    );
    assert_eq!(is_served_by(&fleet), (1, 1));
    assert!(!fleet.view().serves_alone(&pool));
}

/// Guards against an order that names the version of all targets and withholds them.
#[tokio::test(start_paused = true)]
async fn a_version_that_all_targets_have_serves_alone() {
    let mut fleet = with_order();
    let (entries, revision) = (vec![target_entry("e-1", "v2")], KvRevision(6));
    read_targets(
        &mut fleet,
        Reading::Complete(Snapshot { entries, revision }),
    );
    assert!(fleet.view().serves_alone(&name("llm")));
}

/// Guards against counts that arrive twice, in another order or not at all, and that are added up more than once.
#[tokio::test(start_paused = true)]
async fn repeated_messages_count_once() {
    let now = Instant::now();
    let counted = |failed: u32| {
        let mut evidence = Evidence::default();
        let comparison = evidence.own.route(RouteHash::of("talk"));
        (0..failed).for_each(|_| comparison.canary.record_failed());
        evidence.message(EvidenceScope::Own)
    };
    let mut hub = Evidence::default();
    hub.own.route(RouteHash::of("talk")).canary.record_failed();
    let [a, b] = ["a", "b"].map(|id| {
        let addr = ([127, 0, 0, 1], 9).into();
        EvidenceSource::Box(BoxHash::of(&BoxEntry {
            id: name(id),
            zone: name("za"),
            peers: addr,
            gossip: addr,
            link_mbps: 0,
        }))
    });
    hub.store(a.clone(), counted(1), now);
    hub.store(a.clone(), counted(3), now);
    hub.store(b, counted(4), now);
    for _ in 0..2 {
        hub.store(EvidenceSource::Zone(name("zb")), counted(10), now);
    }
    assert_eq!(hub.known(now).sum().canary.failed, 18);
    let failed = |evidence: &[RouteEvidence]| evidence[0].comparison.canary.failed;
    assert_eq!(failed(&hub.message(EvidenceScope::Own)), 1);
    assert_eq!(failed(&hub.message(EvidenceScope::Zone)), 8);
    assert_eq!(failed(&hub.message(EvidenceScope::Fleet)), 18);
    let mut member = Evidence::default();
    member.store(
        EvidenceSource::Fleet,
        hub.message(EvidenceScope::Fleet),
        now,
    );
    assert_eq!(member.known(now).sum().canary.failed, 18);
    // Without a hub, a box has only what other boxes sent it.
    let later = now + Duration::from_secs(2);
    assert_eq!(member.known(later).sum().canary.failed, 0);
}

proptest! {
    /// Guards against messages that outgrow a datagram in pools with many routes.
    #[test]
    fn counts_of_many_routes_fit_a_message(routes in 1usize..200) {
        let mut evidence = Evidence::default();
        for route in 0..routes {
            let comparison = evidence.own.route(RouteHash::of(&format!("route-{route}")));
            for ms in 0..24 {
                comparison.canary.record_served(Duration::from_millis(1 << (ms / 2)));
                comparison.control.record_served(Duration::from_millis(1 << (ms / 2)));
            }
        }
        let message = evidence.message(EvidenceScope::Own);
        let len = bincode::serialized_size(&message).expect("encodable");
        prop_assert!(len < 4_000, "{len} bytes");
        let total = evidence.own.sum().canary.total();
        prop_assert_eq!(total as usize, routes * 24);
    }
}
