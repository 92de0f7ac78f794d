//! Hubs of a large zone.
//!
//! In a fleet of 295 boxes each box read some 800 datagrams a second, reckoned from what others sent: each told 35 others
//! of its work sixteen times a second, and half of a zone of each store's changes.

mod common;

use common::{name, target};
use proptest::prelude::*;
use rstest::rstest;
use sillpin_core::{BoxId, Tokens};
use sillpin_gateway::beliefs::BoxEntry;
use sillpin_gateway::control::{PartChange, PartKey};
use sillpin_gateway::dialect::{PartId, Salt};
use sillpin_gateway::peers::datagram::{
    BoxHash, Bulletin, Datagram, Extent, KeptWord, LoadNews, News, Report, Sums, ZoneWord,
};
use sillpin_gateway::peers::hub::{BULLETIN_TIME, Hub, behind};
use sillpin_gateway::peers::spread::TELL_EVERY;
use sillpin_gateway::peers::wire::{self, FleetKey};
use sillpin_gateway::place::work::{EngineWork, TargetHash};
use sillpin_platform::KvRevision;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::Instant;

/// Boxes of a zone of the largest fleet.
const ZONE: usize = 64;

/// Engines that each box has work at.
const ENGINES: usize = 5;

/// Rounds until a zone that starts as a whole has a hub, which waits whether there is one already.
const STARTED: usize = 8;

fn extent() -> Extent {
    Extent {
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

/// One box, as far as news go.
struct Member {
    hub: Hub,
    /// Sums of the newest bulletin, and when it came.
    sums: Option<(Instant, Vec<EngineWork>)>,
    news: usize,
    heard: usize,
    pending: Vec<News>,
}

/// Boxes of a zone that tell each other at once and lose nothing, except what goes to dead ones.
struct Zone {
    members: BTreeMap<BoxHash, Member>,
    dead: BTreeSet<BoxHash>,
}

impl Zone {
    fn new(count: usize) -> Self {
        let mut zone = Self {
            members: BTreeMap::new(),
            dead: BTreeSet::new(),
        };
        for index in 0..count {
            zone.join(index);
        }
        zone
    }

    fn join(&mut self, index: usize) -> BoxHash {
        let me = BoxHash::anywhere(&name::<BoxId>(&format!("za-{index}")));
        let member = Member {
            hub: Hub::new(me),
            sums: None,
            news: 0,
            heard: 0,
            pending: Vec::new(),
        };
        self.members.insert(me, member);
        me
    }

    fn living(&self) -> Vec<BoxHash> {
        let living = self.members.keys().filter(|of| !self.dead.contains(of));
        living.copied().collect()
    }

    /// All boxes report once, and hubs tell what they know.
    async fn round(&mut self) {
        tokio::time::advance(TELL_EVERY).await;
        let now = Instant::now();
        let all: Vec<BoxHash> = self.members.keys().copied().collect();
        for me in self.living() {
            let member = self.members.get_mut(&me).unwrap();
            let report = Report {
                from: me,
                work: (0..ENGINES).map(engine_work).collect(),
                replaced: Vec::new(),
                operators: extent(),
                targets: extent(),
                retired: Vec::new(),
                fatal: Vec::new(),
                limits: Vec::new(),
                news: std::mem::take(&mut member.pending),
            };
            let mut to = member.hub.report_to(&all, now);
            to.push(me);
            to.sort_unstable();
            to.dedup();
            for hub in to.iter().filter(|of| !self.dead.contains(of)) {
                let hub = self.members.get_mut(hub).unwrap();
                hub.heard += 1;
                hub.hub.report(report.clone(), now);
            }
        }
        for me in self.living() {
            let sums = || Sums {
                work: Vec::new(),
                replaced: Vec::new(),
                operators: extent(),
                targets: extent(),
                retired: Vec::new(),
                fatal: Vec::new(),
                limits: Vec::new(),
            };
            let bulletins = self.members.get_mut(&me).unwrap().hub.bulletins(sums, now);
            for bulletin in bulletins {
                self.pass_on(&bulletin, me, now);
            }
        }
    }

    fn pass_on(&mut self, bulletin: &Bulletin, from: BoxHash, now: Instant) {
        for next in behind(&bulletin.members, from) {
            if self.dead.contains(next) {
                continue;
            }
            let member = self.members.get_mut(next).unwrap();
            member.heard += 1;
            member.hub.hear_bulletin(&bulletin.members, now);
            member.news += bulletin.news.len();
            if let Some(sums) = &bulletin.sums {
                member.sums = Some((now, sums.work.clone()));
            }
            self.pass_on(bulletin, *next, now);
        }
    }

    fn hubs(&self) -> Vec<BoxHash> {
        let is_hub = |of: &BoxHash| self.members[of].hub.is_active();
        self.living().into_iter().filter(is_hub).collect()
    }

    /// Boxes that have heard no bulletin of late.
    fn uninformed(&self) -> usize {
        let now = Instant::now();
        let hubs = self.hubs();
        let is_old = |of: &&BoxHash| {
            let sums = self.members[*of].sums.as_ref();
            !hubs.contains(of) && sums.is_none_or(|(at, _)| now - *at > TELL_EVERY)
        };
        self.living().iter().filter(is_old).count()
    }
}

#[tokio::test(start_paused = true)]
async fn all_boxes_of_a_zone_learn_of_all_work_from_one() {
    let mut zone = Zone::new(ZONE);
    for _ in 0..STARTED {
        zone.round().await;
    }
    assert_eq!(zone.hubs(), [zone.living()[0]]);
    assert_eq!(zone.uninformed(), 0);
    let told = zone.members.values().filter_map(|m| m.sums.as_ref());
    for (_, work) in told {
        assert_eq!(work.len(), ENGINES);
        assert!(work.iter().all(|w| w.3 as usize == ZONE), "{work:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn what_a_box_hears_does_not_grow_with_its_zone() {
    let mut heard = Vec::new();
    for count in [16, 32, 64, 128] {
        let mut zone = Zone::new(count);
        for _ in 0..STARTED {
            zone.round().await;
        }
        zone.members
            .values_mut()
            .for_each(|member| member.heard = 0);
        const ROUNDS: usize = 40;
        for _ in 0..ROUNDS {
            zone.round().await;
        }
        let hubs: Vec<BoxHash> = zone.members.keys().take(2).copied().collect();
        let others = zone.members.iter().filter(|(of, _)| !hubs.contains(of));
        let most = others.map(|(_, m)| m.heard).max().unwrap();
        heard.push(most as f64 / ROUNDS as f64);
    }
    // Its own report and a bulletin in each round.
    assert!(heard.iter().all(|per_round| *per_round < 3.0), "{heard:?}");
}

#[rstest]
#[case::hub(1)]
#[case::hub_and_the_one_that_stands_by(2)]
#[case::several(6)]
#[tokio::test(start_paused = true)]
async fn another_box_takes_over_from_hubs_that_die(#[case] dead: usize) {
    let mut zone = Zone::new(ZONE);
    for _ in 0..STARTED {
        zone.round().await;
    }
    zone.dead = zone.living().into_iter().take(dead).collect();
    let killed = Instant::now();
    while zone.uninformed() > 0 || zone.hubs().is_empty() {
        zone.round().await;
        let waited = killed.elapsed();
        let most = match dead {
            1 => Duration::from_millis(1_700),
            _ => BULLETIN_TIME * 5,
        };
        assert!(waited < most, "{} uninformed", zone.uninformed());
    }
    assert_eq!(zone.hubs(), [zone.living()[0]]);
}

#[tokio::test(start_paused = true)]
async fn a_box_that_comes_first_by_name_takes_over_without_a_gap() {
    let mut zone = Zone::new(ZONE);
    for _ in 0..STARTED {
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
        let living = zone.living();
        let old = living.iter().filter(|of| **of != first);
        let now = Instant::now();
        let is_old = |of: &&BoxHash| {
            let sums = zone.members[*of].sums.as_ref();
            sums.is_some_and(|(at, _)| now - *at > TELL_EVERY * 2)
        };
        let hubs = zone.hubs();
        gaps += old.filter(is_old).filter(|of| !hubs.contains(of)).count();
    }
    assert_eq!(zone.hubs(), [first]);
    assert_eq!(gaps, 0);
}

#[tokio::test(start_paused = true)]
async fn news_reach_each_box_once_however_many_they_are() {
    let mut zone = Zone::new(ZONE);
    for _ in 0..STARTED {
        zone.round().await;
    }
    let news = |index: usize| {
        News::Loading(LoadNews {
            target: target(&format!("e-{index}")),
            life: None,
            model: name("m"),
            version: name("2"),
            done: false,
        })
    };
    let last = *zone.living().last().unwrap();
    const LOADS: usize = 512;
    zone.members.get_mut(&last).unwrap().pending = (0..LOADS).map(news).collect();
    zone.round().await;
    let hub = zone.hubs()[0];
    let others = zone.members.iter().filter(|(of, _)| **of != hub);
    for (of, member) in others {
        assert_eq!(member.news, LOADS, "{of:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn work_of_other_zones_is_added_while_their_hub_is_heard() {
    let mut zone = Zone::new(ZONE);
    for _ in 0..STARTED {
        zone.round().await;
    }
    let hub = zone.hubs()[0];
    let from = ([127, 0, 0, 1], 5).into();
    let word = ZoneWord {
        zone: name("zb"),
        from,
        work: vec![engine_work(0), engine_work(99)],
        replaced: Vec::new(),
        retired: Vec::new(),
        fatal: Vec::new(),
        limits: Vec::new(),
        loading: Vec::new(),
    };
    let state = &mut zone.members.get_mut(&hub).unwrap().hub;
    state.zone_word(word, Instant::now());
    assert_eq!(state.hub_of(&name("zb"), Instant::now()), Some(from));
    zone.round().await;
    let last = *zone.living().last().unwrap();
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
    assert_eq!(of(&zone, 99), None, "a zone that is not heard any more");
}

#[test]
fn boxes_with_fast_links_come_first() {
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
    assert_eq!(BoxHash::of(&one).placeless(), BoxHash::anywhere(&one.id));
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

fn word(changes: Vec<PartChange>) -> KeptWord {
    KeptWord {
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
    fn changes_of_stores_come_out_as_they_went_in(
        changes in prop::collection::vec((0..99_999_u64, "m/[0-9]", "[0-9a-f]{1,18}|[A-Z]{0,9}|0{1,5}", prop::option::of(0..20_000_u64)), 0..40)
    ) {
        let changes = changes.iter().map(|(n, salt, part, tokens)| change(*n, salt, part, *tokens));
        let word = word(changes.collect());
        let fleet = FleetKey::of(([127, 0, 0, 1], 1).into());
        let buf = wire::encode(fleet, &Datagram::Kept(word.clone())).unwrap();
        let Datagram::Kept(read) = wire::decode(fleet, &buf).unwrap() else {
            panic!("another kind");
        };
        prop_assert_eq!(read.changes, word.changes);
        prop_assert_eq!((read.since, read.epoch, read.next), (word.since, word.epoch, word.next));
    }
}

#[test]
fn a_change_of_a_store_takes_few_bytes() {
    let changes = (0..60).map(|i| {
        change(
            101 + i,
            "jeje434b02/2",
            &format!("{:08x}", i * 77_777_777),
            Some(5_000),
        )
    });
    let word = word(changes.collect());
    let fleet = FleetKey::of(([127, 0, 0, 1], 1).into());
    let len = wire::encode(fleet, &Datagram::Kept(word)).unwrap().len();
    // 30 bytes each with names as they are.
    assert!(len < 60 * 13, "{len}");
}
