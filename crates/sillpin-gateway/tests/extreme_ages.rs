//! Numbers far out of range in messages of other boxes.
//!
//! Guards against arithmetic on them that overflows in a task that serves the whole box.

mod common;

use common::name;
use proptest::prelude::*;
use sillpin_core::{BoxId, Tokens};
use sillpin_gateway::cache_stores::directory::Position;
use sillpin_gateway::cache_stores::retire::{Retired, Retirements, Weights};
use sillpin_gateway::control::{PartChange, PartKey, ReleasePhase};
use sillpin_gateway::dialect::{EngineTime, PartId, Salt};
use sillpin_gateway::fleet_state::desired::DesiredVersionAge;
use sillpin_gateway::fleet_state::{BoxEntry, Topic};
use sillpin_gateway::peers::datagram::{
    Bulletin, Datagram, Digest, PublishedChanges, StoreListingUpdate, StoreUpdate, SyncSummary,
    ZoneUpdate,
};
use sillpin_gateway::peers::wire::{FleetKey, decode, encode};
use sillpin_gateway::releases::ReleaseUpdate;
use sillpin_gateway::releases::evidence::{Counts, RouteEvidence, RouteHash};
use sillpin_platform::KvRevision;
use sillpin_policy::release::{ResponseCounts, RouteComparison, regression};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

fn key() -> FleetKey {
    FleetKey::of(addr())
}

fn addr() -> SocketAddr {
    ([127, 0, 0, 1], 7).into()
}

fn relayed(datagram: &Datagram) -> Datagram {
    decode(key(), &encode(key(), datagram).unwrap()).unwrap()
}

fn number() -> impl Strategy<Value = u64> {
    prop_oneof![
        Just(0),
        Just(u64::from(u32::MAX)),
        Just(i64::MAX as u64),
        Just(i64::MAX as u64 + 1),
        Just(u64::MAX / 1_000),
        Just(u64::MAX),
        any::<u64>(),
    ]
}

fn real() -> impl Strategy<Value = f64> {
    prop_oneof![
        Just(f64::NAN),
        Just(f64::INFINITY),
        Just(-1.0),
        Just(f64::MAX),
        any::<f64>(),
    ]
}

fn count() -> impl Strategy<Value = u32> {
    prop_oneof![Just(u32::MAX), Just(1 << 31), any::<u32>()]
}

fn assert_safe(ms: u64) {
    let longest = Duration::from_millis(ms).checked_mul(u32::MAX);
    let until = longest.and_then(|longest| Instant::now().checked_add(longest));
    assert!(until.is_some(), "{ms} ms overflow");
}

fn weights() -> Weights {
    Weights {
        model: name("m0"),
        version: name("1"),
    }
}

fn evidence(counts: [u32; 6]) -> RouteEvidence {
    let [a, b, c, d, e, f] = counts;
    let responses = |failed, served| ResponseCounts { failed, served };
    RouteEvidence {
        route: RouteHash::of("r"),
        comparison: RouteComparison {
            control: responses(a, vec![b, c]),
            canary: responses(d, vec![e, f]),
        },
    }
}

fn digest(number: u64, share: f64, counts: [u32; 6]) -> Digest {
    let sync = SyncSummary {
        revision: KvRevision(number),
        content: number,
        age_ms: Some(number),
    };
    Digest {
        from: BoxEntry {
            id: name("box-2"),
            zone: name("za"),
            peers: addr(),
            gossip: addr(),
            link_mbps: u32::MAX,
        },
        operators_sync: sync,
        targets_sync: sync,
        stores: Vec::new(),
        clock: Some(EngineTime(number)),
        work: Vec::new(),
        replaced: Vec::new(),
        desired_ages: vec![DesiredVersionAge {
            model: name("m0"),
            version: name("1"),
            age_ms: number,
            witnessed: true,
        }],
        contact_ms: Some(number),
        retired: vec![Retired {
            weights: weights(),
            share,
        }],
        fatal: Vec::new(),
        limits: Vec::new(),
        releases: vec![ReleaseUpdate {
            pool: name("llm"),
            revision: KvRevision(number),
            age_ms: Some(number),
            phase: ReleasePhase::Running,
            is_recorded: false,
            evidence: vec![evidence(counts)],
        }],
        stopping: false,
    }
}

proptest! {
    #[test]
    fn a_digest_with_extreme_numbers_overflows(number in number(), share in real(), counts in prop::array::uniform6(count())) {
        let Datagram::Digest(digest) = relayed(&Datagram::Digest(Box::new(digest(number, share, counts)))) else {
            panic!("another datagram");
        };
        let now = Instant::now();
        let ages = [digest.operators_sync.age_ms, digest.targets_sync.age_ms, digest.contact_ms, digest.releases[0].age_ms];
        ages.into_iter().flatten().chain([digest.desired_ages[0].age_ms]).for_each(assert_safe);
        prop_assert!((0.0..=1.0).contains(&digest.retired[0].share));
        let _ = digest.desired_ages[0].to_desired_version(now);
        let mut retirements = Retirements::default();
        retirements.apply_update(name::<BoxId>("box-2"), digest.retired.clone(), Duration::MAX, now);
        prop_assert!(retirements.applied().iter().all(|one| one.share <= 1.0));
    }

    #[test]
    fn the_responses_that_boxes_count_overflow(all in prop::collection::vec(prop::array::uniform6(count()), 1..6)) {
        let mut counts = Counts::default();
        for one in &all {
            counts.add(&[evidence(*one)]);
        }
        let sum = counts.sum();
        prop_assert!(sum.control.total() >= sum.control.failed);
        let _ = regression(counts.comparisons());
    }

    #[test]
    fn updates_of_a_zone_with_extreme_numbers_overflow(number in number(), since in number(), tokens in number()) {
        let part = |name: &str| PartKey { salt: Salt("s".to_owned()), part: PartId(name.to_owned()) };
        let change = |at: u64| PartChange { number: number.wrapping_add(at), key: part("ab"), tokens: Some(Tokens(tokens)) };
        let updates = [
            ZoneUpdate::Store(StoreUpdate { addr: addr(), since, epoch: number, next: number, age_ms: number,
                changes: (0..3).map(change).collect() }),
            ZoneUpdate::StoreListing(StoreListingUpdate { addr: addr(), position: Position { epoch: number, next: number },
                age_ms: number, complete: vec![(part("a"), Tokens(tokens)), (part("b"), Tokens(tokens))] }),
            ZoneUpdate::Published(PublishedChanges { topic: Topic::Targets, after: KvRevision(number), before: None,
                changed: Vec::new(), revision: KvRevision(number), age_ms: number }),
        ];
        let bulletin = Bulletin { members: Vec::new(), sums: None, updates: updates.into() };
        let Datagram::Bulletin(bulletin) = relayed(&Datagram::Bulletin(bulletin)) else {
            panic!("another datagram");
        };
        for update in bulletin.updates {
            let (age_ms, tokens): (u64, Vec<Tokens>) = match update {
                ZoneUpdate::Store(update) => (update.age_ms, update.changes.iter().filter_map(|one| one.tokens).collect()),
                ZoneUpdate::StoreListing(update) => (update.age_ms, update.complete.iter().map(|(_, tokens)| *tokens).collect()),
                ZoneUpdate::Published(update) => (update.age_ms, Vec::new()),
                other => panic!("{other:?}"),
            };
            assert_safe(age_ms);
            let sum = tokens.iter().try_fold(0_u64, |sum, tokens| sum.checked_add(tokens.0));
            prop_assert!(sum.and_then(|sum| sum.checked_mul(1 << 20)).is_some());
        }
    }

    #[test]
    fn bytes_that_are_no_datagram_panic_the_receiver(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let mut datagram = encode(key(), &Datagram::Digest(Box::new(digest(1, 0.5, [1; 6])))).unwrap();
        datagram.truncate(8);
        datagram.extend(&bytes);
        let _ = decode(key(), &datagram);
    }
}
