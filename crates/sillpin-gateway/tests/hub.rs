//! Tests of hubs in a large zone.
//!
//! Guards against the number of datagrams without hubs: each box of a fleet of 295 boxes would
//! receive some 800 datagrams a second (computed, not measured), since each box sends its work
//! sixteen times a second to 35 others, and each store's changes to half of a zone.

mod common;

use common::{name, target};
use proptest::prelude::*;
use rstest::rstest;
use sillpin_core::{BoxId, Tokens};
use sillpin_gateway::control::{PartChange, PartKey};
use sillpin_gateway::dialect::{PartId, Salt};
use sillpin_gateway::fleet_state::BoxEntry;
use sillpin_gateway::peers::datagram::{
    BoxHash, Bulletin, Datagram, Report, StoreUpdate, Sums, SyncSummary, WeightLoadUpdate,
    ZoneSummary, ZoneUpdate,
};
use sillpin_gateway::peers::hub::{BULLETIN_TIMEOUT, Hub, relay_children};
use sillpin_gateway::peers::wire::{self, FleetKey};
use sillpin_gateway::peers::zone_sender::REPORT_INTERVAL;
use sillpin_gateway::placement::work::{EngineWork, TargetHash};
use sillpin_platform::KvRevision;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::Instant;

/// Number of boxes in a zone of the largest fleet.
const ZONE: usize = 64;

/// Number of engines at which each box has work.
const ENGINES: usize = 5;

/// Rounds until a zone that starts as a whole has a hub: boxes first wait for the bulletin of an
/// existing one.
const START_ROUNDS: usize = 8;

fn sync_summary() -> SyncSummary {
    SyncSummary {
        revision: KvRevision(1),
        content: 1,
        age_ms: Some(0),
    }
}

fn engine_work(engine: usize) -> EngineWork {
    EngineWork(
        TargetHash::of(&target(&format!("e-{engine}"))),
        100,
        9_000,
        1,
    )
}

/// One box, as far as updates are concerned.
struct Member {
    hub: Hub,
    /// Sums of the last bulletin, and when it arrived.
    sums: Option<(Instant, Vec<EngineWork>)>,
    updates: usize,
    received: usize,
    pending: Vec<ZoneUpdate>,
}

/// Boxes of a zone whose datagrams arrive immediately and without loss, except those to crashed
/// boxes.
struct Zone {
    members: BTreeMap<BoxHash, Member>,
    crashed: BTreeSet<BoxHash>,
}

impl Zone {
    fn new(count: usize) -> Self {
        let mut zone = Self {
            members: BTreeMap::new(),
            crashed: BTreeSet::new(),
        };
        for index in 0..count {
            zone.join(index);
        }
        zone
    }

    fn join(&mut self, index: usize) -> BoxHash {
        let me = BoxHash::unranked_from_id(&name::<BoxId>(&format!("za-{index}")));
        let member = Member {
            hub: Hub::new(me),
            sums: None,
            updates: 0,
            received: 0,
            pending: Vec::new(),
        };
        self.members.insert(me, member);
        me
    }

    fn running(&self) -> Vec<BoxHash> {
        let running = self.members.keys().filter(|of| !self.crashed.contains(of));
        running.copied().collect()
    }

    /// All boxes report once, and hubs send their bulletins.
    async fn round(&mut self) {
        tokio::time::advance(REPORT_INTERVAL).await;
        let now = Instant::now();
        let all: Vec<BoxHash> = self.members.keys().copied().collect();
        for me in self.running() {
            let member = self.members.get_mut(&me).unwrap();
            let report = Report {
                from: me,
                work: (0..ENGINES).map(engine_work).collect(),
                replaced: Vec::new(),
                operators_sync: sync_summary(),
                targets_sync: sync_summary(),
                retired: Vec::new(),
                fatal: Vec::new(),
                limits: Vec::new(),
                releases: Vec::new(),
                updates: std::mem::take(&mut member.pending),
            };
            let mut to = member.hub.report_recipients(&all, now);
            to.push(me);
            to.sort_unstable();
            to.dedup();
            for hub in to.iter().filter(|of| !self.crashed.contains(of)) {
                let hub = self.members.get_mut(hub).unwrap();
                hub.received += 1;
                hub.hub.apply_report(report.clone(), now);
            }
        }
        for me in self.running() {
            let sums = || Sums {
                work: Vec::new(),
                replaced: Vec::new(),
                operators_sync: sync_summary(),
                targets_sync: sync_summary(),
                retired: Vec::new(),
                fatal: Vec::new(),
                limits: Vec::new(),
                releases: Vec::new(),
            };
            let bulletins = self.members.get_mut(&me).unwrap().hub.bulletins(sums, now);
            for bulletin in bulletins {
                self.relay(&bulletin, me, now);
            }
        }
    }

    fn relay(&mut self, bulletin: &Bulletin, from: BoxHash, now: Instant) {
        for next in relay_children(&bulletin.members, from) {
            if self.crashed.contains(next) {
                continue;
            }
            let member = self.members.get_mut(next).unwrap();
            member.received += 1;
            member.hub.record_bulletin(&bulletin.members, now);
            member.updates += bulletin.updates.len();
            if let Some(sums) = &bulletin.sums {
                member.sums = Some((now, sums.work.clone()));
            }
            self.relay(bulletin, *next, now);
        }
    }

    fn hubs(&self) -> Vec<BoxHash> {
        let is_hub = |of: &BoxHash| self.members[of].hub.is_active();
        self.running().into_iter().filter(is_hub).collect()
    }

    /// Number of boxes that have received no bulletin recently.
    fn without_recent_bulletin(&self) -> usize {
        let now = Instant::now();
        let hubs = self.hubs();
        let is_old = |of: &&BoxHash| {
            let sums = self.members[*of].sums.as_ref();
            !hubs.contains(of) && sums.is_none_or(|(at, _)| now - *at > REPORT_INTERVAL)
        };
        self.running().iter().filter(is_old).count()
    }
}

#[tokio::test(start_paused = true)]
async fn the_hub_sends_all_work_to_all_boxes_of_its_zone() {
    let mut zone = Zone::new(ZONE);
    for _ in 0..START_ROUNDS {
        zone.round().await;
    }
    assert_eq!(zone.hubs(), [zone.running()[0]]);
    assert_eq!(zone.without_recent_bulletin(), 0);
    let sums = zone.members.values().filter_map(|m| m.sums.as_ref());
    for (_, work) in sums {
        assert_eq!(work.len(), ENGINES);
        assert!(work.iter().all(|w| w.3 as usize == ZONE), "{work:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn datagrams_received_by_a_box_do_not_grow_with_its_zone() {
    let mut received = Vec::new();
    for count in [16, 32, 64, 128] {
        let mut zone = Zone::new(count);
        for _ in 0..START_ROUNDS {
            zone.round().await;
        }
        zone.members
            .values_mut()
            .for_each(|member| member.received = 0);
        const ROUNDS: usize = 40;
        for _ in 0..ROUNDS {
            zone.round().await;
        }
        let hubs: Vec<BoxHash> = zone.members.keys().take(2).copied().collect();
        let others = zone.members.iter().filter(|(of, _)| !hubs.contains(of));
        let most = others.map(|(_, m)| m.received).max().unwrap();
        received.push(most as f64 / ROUNDS as f64);
    }
    // Its own report and a bulletin in each round.
    assert!(
        received.iter().all(|per_round| *per_round < 3.0),
        "{received:?}"
    );
}

#[rstest]
#[case::hub(1)]
#[case::hub_and_standby(2)]
#[case::several(6)]
#[tokio::test(start_paused = true)]
async fn another_box_takes_over_from_hubs_that_crash(#[case] crashed: usize) {
    let mut zone = Zone::new(ZONE);
    for _ in 0..START_ROUNDS {
        zone.round().await;
    }
    zone.crashed = zone.running().into_iter().take(crashed).collect();
    let killed = Instant::now();
    while zone.without_recent_bulletin() > 0 || zone.hubs().is_empty() {
        zone.round().await;
        let waited = killed.elapsed();
        let most = match crashed {
            1 => Duration::from_millis(1_700),
            _ => BULLETIN_TIMEOUT * 5,
        };
        assert!(
            waited < most,
            "{} boxes without a recent bulletin",
            zone.without_recent_bulletin()
        );
    }
    assert_eq!(zone.hubs(), [zone.running()[0]]);
}

#[tokio::test(start_paused = true)]
async fn a_box_ordered_first_takes_over_without_a_gap() {
    let mut zone = Zone::new(ZONE);
    for _ in 0..START_ROUNDS {
        zone.round().await;
    }
    let hub = zone.hubs()[0];
    let mut index = ZONE;
    let first = loop {
        let joined = zone.join(index);
        if joined < hub {
            break joined;
        }
        zone.members.remove(&joined);
        index += 1;
    };
    let mut gaps = 0;
    for _ in 0..20 {
        zone.round().await;
        let running = zone.running();
        let old = running.iter().filter(|of| **of != first);
        let now = Instant::now();
        let is_old = |of: &&BoxHash| {
            let sums = zone.members[*of].sums.as_ref();
            sums.is_some_and(|(at, _)| now - *at > REPORT_INTERVAL * 2)
        };
        let hubs = zone.hubs();
        gaps += old.filter(is_old).filter(|of| !hubs.contains(of)).count();
    }
    assert_eq!(zone.hubs(), [first]);
    assert_eq!(gaps, 0);
}

#[tokio::test(start_paused = true)]
async fn many_updates_reach_each_box_exactly_once() {
    let mut zone = Zone::new(ZONE);
    for _ in 0..START_ROUNDS {
        zone.round().await;
    }
    let updates = |index: usize| {
        ZoneUpdate::WeightLoad(WeightLoadUpdate {
            target: target(&format!("e-{index}")),
            life: None,
            model: name("m"),
            version: name("2"),
            done: false,
        })
    };
    let last = *zone.running().last().unwrap();
    const LOADS: usize = 512;
    zone.members.get_mut(&last).unwrap().pending = (0..LOADS).map(updates).collect();
    zone.round().await;
    let hub = zone.hubs()[0];
    let others = zone.members.iter().filter(|(of, _)| **of != hub);
    for (of, member) in others {
        assert_eq!(member.updates, LOADS, "{of:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn work_of_other_zones_is_added_while_their_summaries_arrive() {
    let mut zone = Zone::new(ZONE);
    for _ in 0..START_ROUNDS {
        zone.round().await;
    }
    let hub = zone.hubs()[0];
    let from = ([127, 0, 0, 1], 5).into();
    let summary = ZoneSummary {
        zone: name("zb"),
        from,
        work: vec![engine_work(0), engine_work(99)],
        replaced: Vec::new(),
        retired: Vec::new(),
        fatal: Vec::new(),
        limits: Vec::new(),
        releases: Vec::new(),
        load_updates: Vec::new(),
    };
    let state = &mut zone.members.get_mut(&hub).unwrap().hub;
    state.apply_zone_summary(summary, Instant::now());
    assert_eq!(state.hub_of(&name("zb"), Instant::now()), Some(from));
    zone.round().await;
    let last = *zone.running().last().unwrap();
    let of = |zone: &Zone, engine: usize| {
        let wanted = engine_work(engine).0;
        let (_, work) = zone.members[&last].sums.clone().unwrap();
        work.iter().find(|w| w.0 == wanted).map(|w| w.3 as usize)
    };
    assert_eq!(of(&zone, 0), Some(ZONE + 1));
    assert_eq!(of(&zone, 99), Some(1));
    for _ in 0..12 {
        zone.round().await;
    }
    assert_eq!(of(&zone, 0), Some(ZONE));
    assert_eq!(
        of(&zone, 99),
        None,
        "a zone whose summaries no longer arrive"
    );
}

#[test]
fn boxes_with_fast_links_are_ordered_first() {
    let addr = ([127, 0, 0, 1], 7).into();
    let entry = |index: usize, link_mbps| BoxEntry {
        id: name(&format!("za-{index}")),
        zone: name("za"),
        peers: addr,
        gossip: addr,
        link_mbps,
    };
    let slow = (0..50).map(|index| BoxHash::of(&entry(index, 20)));
    let fast = (50..55).map(|index| BoxHash::of(&entry(index, 200)));
    assert!(fast.max() < slow.min());
    let one = entry(1, 20);
    assert_eq!(
        BoxHash::of(&one).unranked(),
        BoxHash::unranked_from_id(&one.id)
    );
}

fn change(number: u64, salt: &str, part: &str, tokens: Option<u64>) -> PartChange {
    PartChange {
        number,
        key: PartKey {
            salt: Salt(salt.to_owned()),
            part: PartId(part.to_owned()),
        },
        tokens: tokens.map(Tokens),
    }
}

fn store_update(changes: Vec<PartChange>) -> StoreUpdate {
    StoreUpdate {
        addr: ([10, 1, 2, 3], 80).into(),
        since: 100,
        epoch: 7_530_062_620_152,
        next: 100_000,
        age_ms: 20,
        changes,
    }
}

proptest! {
    #[test]
    fn store_changes_survive_encoding_and_decoding(
        changes in prop::collection::vec((0..99_999_u64, "m/[0-9]", "[0-9a-f]{1,18}|[A-Z]{0,9}|0{1,5}", prop::option::of(0..20_000_u64)), 0..40)
    ) {
        let changes = changes.iter().map(|(n, salt, part, tokens)| change(*n, salt, part, *tokens));
        let update = store_update(changes.collect());
        let fleet = FleetKey::of(([127, 0, 0, 1], 1).into());
        let buf = wire::encode(fleet, &Datagram::Store(update.clone())).unwrap();
        let Datagram::Store(read) = wire::decode(fleet, &buf).unwrap() else {
            panic!("decoded another kind of datagram");
        };
        prop_assert_eq!(read.changes, update.changes);
        prop_assert_eq!((read.since, read.epoch, read.next), (update.since, update.epoch, update.next));
    }
}

#[test]
fn a_store_change_takes_few_bytes() {
    let changes = (0..60).map(|i| {
        change(
            101 + i,
            "jeje434b02/2",
            &format!("{:08x}", i * 77_777_777),
            Some(5_000),
        )
    });
    let update = store_update(changes.collect());
    let fleet = FleetKey::of(([127, 0, 0, 1], 1).into());
    let len = wire::encode(fleet, &Datagram::Store(update)).unwrap().len();
    // 30 bytes each without packing.
    assert!(len < 60 * 13, "{len}");
}
