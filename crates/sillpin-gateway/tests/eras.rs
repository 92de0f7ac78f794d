//! Tests of fleets in which only some boxes have seen the store's new era.
//!
//! The era of the platform store counts how many times it was restored from a backup.

mod common;

use common::TestKeys;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use sillpin_gateway::control::Presence;
use sillpin_gateway::fleet_state::fleet::Fleet;
use sillpin_gateway::fleet_state::mirror::Mirror;
use sillpin_gateway::fleet_state::{Copied, FleetMsg, Reading, Source, Topic};
use sillpin_platform::{KvEntry, KvRevision, Snapshot, StoreEra, WatchReply};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::{Instant, advance};

/// Number of targets' entries below the watched prefix.
const TARGETS: u64 = 6;

/// Longer than any restored entry is overridden.
const SETTLED: Duration = Duration::from_secs(20);

/// The platform store, which may be restored from a backup.
#[derive(Clone, Default)]
struct Store {
    era: u64,
    number: u64,
    /// Deleted keys have no value.
    entries: BTreeMap<String, KvEntry>,
}

impl Store {
    fn write(&mut self, key: &str, value: Option<&str>) {
        self.number += 1;
        let revision = self.revision();
        let entry = KvEntry {
            key: key.to_owned(),
            value: value.map(str::to_owned),
            revision,
        };
        self.entries.insert(key.to_owned(), entry);
    }

    fn revision(&self) -> KvRevision {
        KvRevision::in_era(StoreEra(self.era), self.number)
    }

    /// Returns all entries with the store's current era, as its responses have them.
    fn answered_entries(&self) -> impl Iterator<Item = KvEntry> + '_ {
        let era = StoreEra(self.era);
        self.entries.values().cloned().map(move |entry| KvEntry {
            revision: KvRevision::in_era(era, entry.revision.number()),
            ..entry
        })
    }

    fn restore(&mut self, backup: &Store) {
        let era = self.era + 1;
        *self = Store {
            era,
            ..backup.clone()
        };
    }

    /// Returns all existing entries.
    fn listing(&self) -> Snapshot {
        let entries = self
            .answered_entries()
            .filter(|entry| entry.value.is_some());
        Snapshot {
            entries: entries.collect(),
            revision: self.revision(),
        }
    }

    /// Returns what a watch from a revision yields; a listing if that history is lost.
    fn read(&self, after: KvRevision) -> Reading {
        let revision = self.revision();
        if after.era() != revision.era() || after > revision || after == KvRevision::ABSENT {
            return Reading::Complete(self.listing());
        }
        let changed = self
            .answered_entries()
            .filter(|entry| entry.revision > after);
        Reading::Changes(WatchReply {
            changed: changed.collect(),
            revision,
        })
    }
}

fn boxes(count: usize) -> Vec<Fleet<TestKeys>> {
    let log = sillpin_telemetry::logs::discard();
    let one = |index| Fleet::new(common::name(&format!("box-{index}")), TestKeys, log.clone());
    (0..count).map(one).collect()
}

fn read_store(fleet: &mut Fleet<TestKeys>, store: &Store) {
    let now = Instant::now();
    let msg = FleetMsg::Read {
        topic: Topic::Targets,
        reading: store.read(fleet.view().targets_sync.revision),
        requested_at: now,
        source: Source::Store,
    };
    fleet.handle(msg, now);
}

/// Copies what another box knows beyond this one, if anything.
fn apply_copy(
    to: &mut Fleet<TestKeys>,
    entries: &[impl std::borrow::Borrow<KvEntry>],
    revision: KvRevision,
) {
    let after = to.view().targets_sync.revision;
    if revision <= after {
        return;
    }
    let (changed, keys) = Mirror::since(entries, after);
    let now = Instant::now();
    let msg = FleetMsg::Read {
        topic: Topic::Targets,
        reading: Reading::Copied(Copied {
            changed,
            keys,
            revision,
        }),
        requested_at: now,
        source: Source::Peer(common::name("other")),
    };
    to.handle(msg, now);
}

fn fetch_copy(boxes: &mut [Fleet<TestKeys>], to: usize, from: usize) {
    let view = boxes[from].view();
    let (entries, revision) = (view.copies.targets.clone(), view.targets_sync.revision);
    apply_copy(&mut boxes[to], &entries, revision);
}

/// Returns the targets that take requests, as far as a box knows.
fn ready(fleet: &Fleet<TestKeys>) -> Vec<String> {
    let targets = fleet.view().targets.iter();
    let ready = targets.filter(|(_, entry)| entry.presence == Presence::Ready);
    let mut ids: Vec<String> = ready.map(|(id, _)| format!("target/{id}")).collect();
    ids.sort();
    ids
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn all_boxes_converge_to_the_store_whichever_of_them_saw_its_new_eras(
    #[values(2, 7, 40)] count: usize,
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut store = Store::default();
    let mut backup = store.clone();
    let mut boxes = boxes(count);
    for _ in 0..400 {
        advance(Duration::from_millis(rng.random_range(0..100))).await;
        let key = format!("target/e{}", rng.random_range(0..TARGETS));
        match rng.random_range(0..100) {
            0..10 => store.write(&key, Some("ready 1")),
            10..15 => store.write(&key, Some("leaving 1")),
            15..18 => store.write(&key, None),
            18..28 => store.write("other", Some("")),
            28 => backup = store.clone(),
            29 => store.restore(&backup),
            // Some boxes never reach the store.
            30..50 => read_store(&mut boxes[rng.random_range(0..count.div_ceil(2))], &store),
            _ => {
                let to = rng.random_range(0..count);
                fetch_copy(&mut boxes, to, rng.random_range(0..count));
            }
        }
    }
    // Targets write their current state again.
    for index in 0..TARGETS {
        let value = *["ready 1", "leaving 1"].choose(&mut rng).unwrap();
        store.write(&format!("target/e{index}"), Some(value));
    }
    read_store(&mut boxes[0], &store);
    (1..count).for_each(|to| fetch_copy(&mut boxes, to, 0));
    advance(SETTLED).await;
    for fleet in &mut boxes {
        fleet.sweep(Instant::now());
    }
    let listing = store.listing().entries;
    let ready_entries = listing
        .iter()
        .filter(|entry| entry.value.as_deref() == Some("ready 1"));
    let expected: Vec<String> = ready_entries.map(|entry| entry.key.clone()).collect();
    let is_unexpected = |id: &String| !expected.contains(id);
    for fleet in &boxes {
        let found = ready(fleet);
        assert!(
            !found.iter().any(is_unexpected),
            "found {found:?}, expected only {expected:?}"
        );
        assert_eq!(fleet.view().targets_sync.revision, store.revision());
    }
}

#[tokio::test(start_paused = true)]
async fn a_box_in_the_new_era_takes_nothing_from_one_in_the_old_era() {
    let mut store = Store::default();
    store.write("target/e1", Some("ready 1"));
    let backup = store.clone();
    (0..9).for_each(|_| store.write("other", Some("")));
    store.write("target/e2", Some("ready 1"));
    let mut boxes = boxes(2);
    boxes.iter_mut().for_each(|fleet| read_store(fleet, &store));
    store.restore(&backup);
    store.write("target/e1", Some("leaving 1"));
    read_store(&mut boxes[0], &store);
    fetch_copy(&mut boxes, 0, 1);
    assert_eq!(ready(&boxes[0]), ["target/e2"], "it may be written again");
    fetch_copy(&mut boxes, 1, 0);
    assert_eq!(ready(&boxes[1]), ["target/e2"]);
    advance(SETTLED).await;
    for fleet in &mut boxes {
        fleet.sweep(Instant::now());
        assert!(ready(fleet).is_empty());
    }
}
