//! Messages between boxes that are too long for a datagram.

mod common;

use common::{engine, name, target};
use sillpin_core::{RequestRate, WeightVersion};
use sillpin_gateway::cache_stores::retire::{Retired, Weights};
use sillpin_gateway::control::ReleasePhase;
use sillpin_gateway::fatal::CrashReport;
use sillpin_gateway::fatal::fingerprint::Fingerprint;
use sillpin_gateway::fleet_state::BoxEntry;
use sillpin_gateway::fleet_state::desired::DesiredVersionAge;
use sillpin_gateway::peers::datagram::{
    Bulletin, Datagram, Digest, Sums, SyncSummary, ZoneSummary,
};
use sillpin_gateway::peers::oversize;
use sillpin_gateway::peers::wire::{FleetKey, MAX_DATAGRAM, decode};
use sillpin_gateway::placement::signals::limit::LimitUpdate;
use sillpin_gateway::placement::work::{EngineWork, IncarnationHash, TargetHash};
use sillpin_gateway::releases::ReleaseUpdate;
use sillpin_platform::KvRevision;
use std::net::SocketAddr;

/// Longest name, in bytes.
const MAX_NAME_LEN: usize = 256;

/// Largest numbers of items that boxes put into their messages, at the size to design for.
const ENGINES: u32 = 600;
const MODELS: u32 = 3;
const VERSIONS_PER_MODEL: u64 = 16;
const CRASH_REPORTS: u64 = 34;
const CRASHES: u32 = 8;
const LIMITS: u32 = 64;
const RELEASES: u64 = 32;

fn key() -> FleetKey {
    FleetKey::of(addr())
}

fn addr() -> SocketAddr {
    ([127, 0, 0, 1], 7).into()
}

fn long_name(number: impl std::fmt::Display) -> String {
    format!("{number:x>MAX_NAME_LEN$}")
}

fn sync() -> SyncSummary {
    SyncSummary {
        revision: KvRevision(u64::MAX),
        content: u64::MAX,
        age_ms: Some(1),
    }
}

fn hash(index: u32) -> TargetHash {
    TargetHash::of(&target(&format!("e-{index}")))
}

fn incarnation(index: u32) -> IncarnationHash {
    IncarnationHash::of(&engine(&format!("e-{index}"), "za"))
}

fn work() -> Vec<EngineWork> {
    let row = |index| EngineWork(hash(index), u32::MAX, u32::MAX, u32::MAX);
    (0..ENGINES).map(row).collect()
}

fn fatal() -> Vec<CrashReport> {
    let report = |index| CrashReport {
        fingerprint: Fingerprint(u64::MAX - index),
        crashes: (0..CRASHES)
            .map(|target| (incarnation(target), u32::MAX))
            .collect(),
        served: Some(u32::MAX),
    };
    (0..CRASH_REPORTS).map(report).collect()
}

fn limits() -> Vec<LimitUpdate> {
    let update = |index| LimitUpdate {
        target: incarnation(index),
        rate: Some("1234.5".parse::<RequestRate>().unwrap()),
        age_ms: u32::MAX,
    };
    (0..LIMITS).map(update).collect()
}

fn desired_ages() -> Vec<DesiredVersionAge> {
    let versions = |model| {
        (0..VERSIONS_PER_MODEL).map(move |version| DesiredVersionAge {
            model: name(&long_name(model)),
            version: WeightVersion(u64::MAX - version),
            age_ms: 60_000,
            witnessed: true,
        })
    };
    (0..MODELS).flat_map(versions).collect()
}

fn retired() -> Vec<Retired> {
    let retired = |model| Retired {
        weights: Weights {
            model: name(&long_name(model)),
            version: WeightVersion(u64::MAX),
        },
        share: 1.0,
    };
    (0..MODELS).map(retired).collect()
}

fn releases() -> Vec<ReleaseUpdate> {
    let update = |index| ReleaseUpdate {
        pool: name(&long_name(index)),
        revision: KvRevision(u64::MAX),
        age_ms: Some(1),
        phase: ReleasePhase::Running,
        is_recorded: false,
        evidence: Vec::new(),
    };
    (0..RELEASES).map(update).collect()
}

fn digest() -> Digest {
    Digest {
        from: BoxEntry {
            id: name(&long_name("b")),
            zone: name(&long_name("z")),
            peers: addr(),
            gossip: addr(),
            link_mbps: 1,
        },
        operators_sync: sync(),
        targets_sync: sync(),
        stores: Vec::new(),
        clock: None,
        work: work(),
        replaced: Vec::new(),
        desired_ages: desired_ages(),
        contact_ms: Some(1),
        retired: retired(),
        fatal: fatal(),
        limits: limits(),
        releases: releases(),
        stopping: false,
    }
}

fn sums() -> Sums {
    Sums {
        work: work(),
        replaced: Vec::new(),
        operators_sync: sync(),
        targets_sync: sync(),
        retired: retired(),
        fatal: fatal(),
        limits: limits(),
        releases: releases(),
    }
}

/// Returns the datagrams of a message as their receivers decode them.
fn relayed(message: &Datagram) -> Vec<Datagram> {
    let parts = oversize::encode(key(), message).unwrap();
    assert!(parts.bufs.iter().all(|buf| buf.len() <= MAX_DATAGRAM));
    assert!(!parts.is_truncated, "items are left out");
    let decoded = parts.bufs.iter().map(|buf| decode(key(), buf).unwrap());
    decoded.collect()
}

/// Guards against boxes that no longer hear of crashes and limits because another section of a message has grown.
#[test]
fn a_digest_with_all_sections_at_their_largest_is_not_sent() {
    let sent = relayed(&Datagram::Digest(Box::new(digest())));
    let digests: Vec<Digest> = sent
        .into_iter()
        .map(|datagram| match datagram {
            Datagram::Digest(digest) => *digest,
            other => panic!("{other:?}"),
        })
        .collect();
    let [urgent, ages, of_releases, rest] = &digests[..] else {
        panic!("{} datagrams", digests.len());
    };
    assert_eq!(urgent.fatal.len(), fatal().len());
    assert_eq!(urgent.limits.len(), limits().len());
    assert_eq!(urgent.contact_ms, Some(1));
    assert_eq!(ages.desired_ages.len(), desired_ages().len());
    assert_eq!(of_releases.releases.len(), releases().len());
    assert_eq!(rest.work, work());
    assert_eq!(rest.retired, retired());
    assert!(rest.fatal.is_empty() && urgent.work.is_empty());
}

#[test]
fn messages_of_a_hub_with_all_sections_at_their_largest_are_not_sent() {
    let bulletin = Bulletin {
        members: Vec::new(),
        sums: Some(sums()),
        updates: Vec::new(),
    };
    let summary = ZoneSummary {
        zone: name(&long_name("z")),
        from: addr(),
        work: work(),
        replaced: Vec::new(),
        retired: retired(),
        fatal: fatal(),
        limits: limits(),
        releases: releases(),
        load_updates: Vec::new(),
    };
    for message in [Datagram::Bulletin(bulletin), Datagram::Zone(summary)] {
        let sent = relayed(&message);
        let crashes: Vec<usize> = sent
            .iter()
            .map(|datagram| match datagram {
                Datagram::Bulletin(bulletin) => bulletin.sums.as_ref().unwrap().fatal.len(),
                Datagram::Zone(summary) => summary.fatal.len(),
                other => panic!("{other:?}"),
            })
            .collect();
        assert_eq!(crashes[0], fatal().len());
    }
}

#[test]
fn a_section_that_alone_is_too_long_keeps_the_others_from_arriving() {
    let mut digest = digest();
    for _ in 0..4 {
        digest.releases.extend(releases());
    }
    let parts = oversize::encode(key(), &Datagram::Digest(Box::new(digest))).unwrap();
    assert!(parts.is_truncated);
    let Datagram::Digest(urgent) = decode(key(), &parts.bufs[0]).unwrap() else {
        panic!("another datagram");
    };
    assert_eq!(urgent.fatal.len(), fatal().len());
}
