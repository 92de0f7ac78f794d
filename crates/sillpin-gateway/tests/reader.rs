//! Tests of how a box reads what operators publish from the platform store.

mod common;

use common::memory_store::MemoryStore;
use common::{TestKeys, name};
use sillpin_gateway::config::ConfigVersion;
use sillpin_gateway::fleet_state::fleet::Fleet;
use sillpin_gateway::fleet_state::reader::Reader;
use sillpin_gateway::fleet_state::transfers::Transfers;
use sillpin_gateway::fleet_state::{self, BoxEntry, FleetHandle, FleetMsg, Topic, View};
use sillpin_gateway::peers::roles;
use sillpin_gateway::placement::Loads;
use sillpin_platform::{KvRevision, Platform};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

const PREFIX: &str = "ops/";
const CONFIG: &str = "ops/config";

/// Time between two confirmations by the box that reads for the zone.
const ROUND: Duration = Duration::from_millis(200);

fn entry(id: &str) -> BoxEntry {
    let addr = ([127, 0, 0, 1], 7).into();
    BoxEntry {
        id: name(id),
        zone: name("za"),
        peers: addr,
        gossip: addr,
        link_mbps: 0,
    }
}

/// Two boxes of a zone: the one that reads for it, and the other.
fn roles() -> (BoxEntry, BoxEntry) {
    let (a, b) = (entry("box-a"), entry("box-b"));
    let view = View {
        boxes: Arc::new(vec![b.clone()]),
        ..View::default()
    };
    match roles::is_reader(&view, &a, PREFIX) {
        true => (a, b),
        false => (b, a),
    }
}

/// A box that does not read for its zone, and to which the reader confirms that nothing has
/// changed.
struct World {
    store: MemoryStore,
    fleet: FleetHandle,
    transfers: Transfers,
    reader_box: BoxEntry,
    confirm_task: JoinHandle<()>,
}

impl World {
    async fn start() -> Self {
        let store = MemoryStore::default();
        let put = store.put(CONFIG, "1", KvRevision::ABSENT, None);
        put.await.unwrap();
        let (reader_box, me) = roles();
        let log = sillpin_telemetry::logs::discard();
        let (fleet, port) = fleet_state::channel();
        tokio::spawn(Fleet::new(me.id.clone(), TestKeys, log.clone()).run(port));
        fleet.send(FleetMsg::PeerSeen(reader_box.clone())).await;
        let transfers = Transfers::default();
        let reader = Reader {
            platform: store.clone(),
            topic: Topic::Operators,
            prefix: PREFIX,
            me,
            fleet: fleet.clone(),
            transfers: transfers.clone(),
            long_poll: Duration::from_secs(25),
            loads: Loads::default(),
            updates: mpsc::channel(1).0,
            log,
        };
        tokio::spawn(reader.run());
        let confirm_task = tokio::spawn(confirm(fleet.clone(), reader_box.clone()));
        let world = Self {
            store,
            fleet,
            transfers,
            reader_box,
            confirm_task,
        };
        world.wait_for(1).await;
        sleep(ROUND * 5).await;
        world
    }

    async fn publish(&self, version: u64) {
        let known = self.store.get(CONFIG).await.unwrap().unwrap();
        let value = version.to_string();
        let put = self.store.put(CONFIG, &value, known.revision, None);
        put.await.unwrap();
    }

    /// Waits until a version is in force and returns how long that took.
    async fn wait_for(&self, version: u64) -> Duration {
        let began = Instant::now();
        let mut views = self.fleet.subscribe();
        let in_force = |view: &Arc<View>| {
            let config = view.config.as_ref();
            config.is_some_and(|config| config.version == ConfigVersion(version))
        };
        let waited = tokio::time::timeout(Duration::from_secs(60), views.wait_for(in_force));
        assert!(waited.await.is_ok(), "version {version} in force");
        began.elapsed()
    }
}

/// Confirms repeatedly that what the box knows is current.
async fn confirm(fleet: FleetHandle, reader_box: BoxEntry) {
    loop {
        let known = fleet.view().operators_sync;
        fleet.send(FleetMsg::PeerSeen(reader_box.clone())).await;
        fleet
            .send(FleetMsg::Confirmed {
                topic: Topic::Operators,
                content: known.content,
                revision: known.revision,
                requested_at: Instant::now(),
            })
            .await;
        sleep(ROUND).await;
    }
}

#[tokio::test(start_paused = true)]
async fn the_store_notifies_a_box_that_does_not_read_for_its_zone() {
    let world = World::start().await;
    let before = world.store.waits().len();
    sleep(Duration::from_secs(100)).await;
    let waits = world.store.waits();
    assert!(waits.len() - before <= 5, "few calls: {waits:?}");
    world.publish(2).await;
    let took = world.wait_for(2).await;
    assert!(took < Duration::from_millis(50), "took {took:?}");
}

/// The box becomes the zone's reader while a change is being transferred: another call would
/// discard what has arrived.
#[tokio::test(start_paused = true)]
async fn a_transfer_in_progress_is_not_restarted() {
    let world = World::start().await;
    let transfer = Duration::from_secs(4);
    world.store.set_transfer_time(transfer);
    world.publish(2).await;
    sleep(Duration::from_millis(500)).await;
    assert!(world.transfers.is_in_progress(Topic::Operators));
    let before = world.store.waits().len();
    let stopping = FleetMsg::Stopping(world.reader_box.id.clone());
    world.fleet.send(stopping).await;
    world.transfers.request_retry(Topic::Operators);
    sleep(Duration::from_secs(2)).await;
    assert_eq!(world.store.waits().len(), before, "no other call");
    assert!(world.transfers.is_in_progress(Topic::Operators));
    let took = world.wait_for(2).await;
    assert!(took < Duration::from_secs(2), "took {took:?} more");
}

/// The connection on which the box waits is broken, and another box reports a newer revision.
#[tokio::test(start_paused = true)]
async fn a_silent_store_is_called_again_when_other_boxes_are_ahead() {
    let world = World::start().await;
    world.store.set_unresponsive(true);
    world.transfers.request_retry(Topic::Operators);
    sleep(ROUND).await;
    world.store.set_unresponsive(false);
    world.publish(2).await;
    sleep(Duration::from_secs(2)).await;
    let version = |view: &View| view.config.as_ref().map(|config| config.version);
    assert_eq!(version(&world.fleet.view()), Some(ConfigVersion(1)));
    world.transfers.request_retry(Topic::Operators);
    let took = world.wait_for(2).await;
    assert!(took < Duration::from_millis(500), "took {took:?}");
}

/// A box that waits for a change notices within a moment that it has to read for its zone.
#[tokio::test(start_paused = true)]
async fn a_waiting_box_polls_once_the_zones_reader_has_stopped() {
    let world = World::start().await;
    let before = world.store.waits().len();
    world.confirm_task.abort();
    let stopping = FleetMsg::Stopping(world.reader_box.id.clone());
    world.fleet.send(stopping).await;
    sleep(Duration::from_secs(10)).await;
    let read = world.store.waits().len() - before;
    assert!(read >= 10, "a single box polls often: {read} times");
}

#[tokio::test(start_paused = true)]
async fn operators_values_are_listed_again_only_if_the_store_has_lost_its_history() {
    let world = World::start().await;
    world.store.set_unreachable(true);
    sleep(Duration::from_secs(30)).await;
    world.store.set_unreachable(false);
    world.publish(2).await;
    let took = world.wait_for(2).await;
    assert!(took < Duration::from_secs(5), "took {took:?}");
    world.store.forget_history();
    world.transfers.request_retry(Topic::Operators);
    sleep(Duration::from_secs(1)).await;
    world.publish(3).await;
    let took = world.wait_for(3).await;
    assert!(took < Duration::from_millis(50), "took {took:?}");
}

/// What a box reads at its start may be stale: until it is confirmed, the box fetches no part and
/// refuses no request permanently. Guards against a late confirmation: after all of 71 boxes had
/// lost power, the first watch confirmed it only at the end of its wait of 0.5 s, and 260 long
/// prompts were recomputed completely meanwhile.
#[tokio::test(start_paused = true)]
async fn a_stale_first_read_is_confirmed_immediately() {
    let store = MemoryStore::default();
    let put = store.put(CONFIG, "1", KvRevision::ABSENT, None);
    put.await.unwrap();
    let log = sillpin_telemetry::logs::discard();
    let (fleet, port) = fleet_state::channel();
    let me = entry("box-a");
    tokio::spawn(Fleet::new(me.id.clone(), TestKeys, log.clone()).run(port));
    let reader = Reader {
        platform: store.clone(),
        topic: Topic::Operators,
        prefix: PREFIX,
        me,
        fleet: fleet.clone(),
        transfers: Transfers::default(),
        long_poll: Duration::from_secs(25),
        loads: Loads::default(),
        updates: mpsc::channel(1).0,
        log,
    };
    let began = Instant::now();
    tokio::spawn(reader.run());
    let mut views = fleet.subscribe();
    let confirmed = views.wait_for(|view| view.operators_sync.confirmed.is_some());
    confirmed.await.unwrap();
    assert!(began.elapsed() < Duration::from_millis(50));
    sleep(Duration::from_secs(2)).await;
    let short = store.waits().into_iter().filter(|wait| *wait < ROUND);
    assert_eq!(short.count(), 1, "only the first watch does not wait");
}
