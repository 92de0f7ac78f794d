//! Boxes that start together in a fleet with more targets than fit a page of the store's listing.

mod common;

use common::memory_store::{MemoryStore, PAGE_LEN};
use common::{TestKeys, name};
use sillpin_gateway::fleet_state::fleet::Fleet;
use sillpin_gateway::fleet_state::reader::Reader;
use sillpin_gateway::fleet_state::transfers::Transfers;
use sillpin_gateway::fleet_state::{
    self, BoxEntry, Copied, FleetHandle, FleetMsg, Reading, Source, Topic,
};
use sillpin_gateway::placement::Loads;
use sillpin_platform::{KvRevision, Platform};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep};

/// Number of boxes of the zone.
const BOXES: usize = 40;

/// Number of targets.
const TARGETS: usize = 2_000;

/// Time after which the boxes know each other.
const REGISTERED: Duration = Duration::from_millis(700);

fn box_entry(index: usize) -> BoxEntry {
    let addr = ([127, 0, 0, 1], 7).into();
    BoxEntry {
        id: name(&format!("box-{index}")),
        zone: name("za"),
        peers: addr,
        gossip: addr,
        link_mbps: 20,
    }
}

/// A store with targets, and boxes that start together and read them.
async fn start(targets: usize) -> (MemoryStore, Vec<FleetHandle>) {
    let store = MemoryStore::default();
    for index in 0..targets {
        let key = format!("target/i-{index:05}");
        let put = store.put(&key, "ready 1", KvRevision::ABSENT, None);
        put.await.unwrap();
    }
    let mut boxes = Vec::new();
    for index in 0..BOXES {
        let (me, log) = (box_entry(index), sillpin_telemetry::logs::discard());
        let (fleet, port) = fleet_state::channel();
        tokio::spawn(Fleet::new(me.id.clone(), TestKeys, log.clone()).run(port));
        let reader = Reader {
            platform: store.clone(),
            topic: Topic::Targets,
            prefix: "target/",
            me,
            fleet: fleet.clone(),
            transfers: Transfers::default(),
            long_poll: Duration::from_secs(25),
            loads: Loads::default(),
            updates: mpsc::channel(1_000).0,
            log,
        };
        tokio::spawn(reader.run());
        boxes.push(fleet);
    }
    (store, boxes)
}

async fn register(boxes: &[FleetHandle]) {
    for (index, fleet) in boxes.iter().enumerate() {
        let others = (0..BOXES).filter(|other| *other != index);
        fleet
            .send(FleetMsg::Registered(others.map(box_entry).collect()))
            .await;
    }
}

fn known(fleet: &FleetHandle) -> usize {
    fleet.view().targets.len()
}

/// Guards against a start at which every box of a large fleet reads all targets: the store's link needed more than half
/// a minute for that.
#[tokio::test(start_paused = true)]
async fn few_boxes_read_a_long_listing_and_all_serve_with_its_first_page() {
    let (store, boxes) = start(TARGETS).await;
    sleep(Duration::from_millis(100)).await;
    for fleet in &boxes {
        assert_eq!(known(fleet), PAGE_LEN, "a box serves with the first page");
        assert_eq!(fleet.view().targets_sync.revision, KvRevision::ABSENT);
    }
    sleep(REGISTERED).await;
    register(&boxes).await;
    sleep(Duration::from_secs(5)).await;
    let (first_pages, long) = store.listings();
    assert_eq!(long, 3);
    assert!(first_pages <= 3 * BOXES, "{first_pages} first pages");
    let complete: Vec<&FleetHandle> = boxes.iter().filter(|f| known(f) == TARGETS).collect();
    assert_eq!(complete.len(), 3);
    // The others get copies from these.
    let view = complete[0].view();
    let revision = view.known(Topic::Targets).revision;
    for fleet in &boxes {
        let Copied { changed, keys, .. } = view.copy(Topic::Targets, KvRevision::ABSENT);
        let reading = Reading::Copied(Copied {
            changed,
            keys,
            revision,
        });
        let msg = FleetMsg::Read {
            topic: Topic::Targets,
            reading,
            requested_at: Instant::now(),
            source: Source::Relayed,
        };
        fleet.send(msg).await;
    }
    sleep(Duration::from_secs(1)).await;
    assert!(boxes.iter().all(|fleet| known(fleet) == TARGETS));
    assert_eq!(store.listings().1, 3);
}

/// Guards against a box that never learns the other targets because no copy reaches it.
#[tokio::test(start_paused = true)]
async fn a_box_without_a_copy_reads_a_long_listing_itself() {
    let (_store, boxes) = start(TARGETS).await;
    register(&boxes).await;
    sleep(Duration::from_secs(21)).await;
    assert!(boxes.iter().all(|fleet| known(fleet) == TARGETS));
}

/// Guards against requests to targets that left while a box had the first page only.
#[tokio::test(start_paused = true)]
async fn a_target_that_leaves_is_dropped_before_the_copy_arrives() {
    let (store, boxes) = start(TARGETS).await;
    register(&boxes).await;
    sleep(Duration::from_secs(1)).await;
    let key = "target/i-00007";
    let revision = store.get(key).await.unwrap().unwrap().revision;
    store.delete(key, revision).await.unwrap();
    sleep(Duration::from_secs(4)).await;
    let left = name("i-00007");
    let is_partial =
        |fleet: &&FleetHandle| fleet.view().known(Topic::Targets).revision == KvRevision::ABSENT;
    let partial: Vec<&FleetHandle> = boxes.iter().filter(is_partial).collect();
    assert!(partial.len() > BOXES / 2);
    for fleet in partial {
        assert!(!fleet.view().targets.contains_key(&left));
    }
}

/// Guards against a delay of the start where a listing fits a page.
#[tokio::test(start_paused = true)]
async fn a_short_listing_is_complete_at_once() {
    let (store, boxes) = start(PAGE_LEN).await;
    sleep(Duration::from_millis(100)).await;
    for fleet in &boxes {
        assert_eq!(known(fleet), PAGE_LEN);
        assert_ne!(fleet.view().targets_sync.revision, KvRevision::ABSENT);
    }
    assert_eq!(store.listings().1, 0);
}

/// Guards against a fleet that starts before its targets and whose boxes each read all entries as they are written: the
/// store's link was full for half a minute, and no box could read which others there are.
#[tokio::test(start_paused = true)]
async fn targets_are_not_polled_by_a_box_that_does_not_know_the_others() {
    let (store, boxes) = start(0).await;
    for index in 0..20 {
        sleep(Duration::from_millis(100)).await;
        let key = format!("target/i-{index:05}");
        let put = store.put(&key, "ready 1", KvRevision::ABSENT, None);
        put.await.unwrap();
    }
    let watches = store.waits().len();
    assert!(
        watches <= BOXES,
        "{watches} watches before the boxes know each other"
    );
    register(&boxes).await;
    sleep(Duration::from_millis(1_500)).await;
    // Without a hub, each box reads by itself when its data is too old.
    sleep(Duration::from_secs(3)).await;
    assert!(boxes.iter().all(|fleet| known(fleet) == 20));
}
