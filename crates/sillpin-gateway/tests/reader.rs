//! How a box reads what operators publish from the platform's store.

mod common;

use common::{MemoryStore, TestKeys, name};
use sillpin_gateway::beliefs::fleet::Fleet;
use sillpin_gateway::beliefs::reader::Reader;
use sillpin_gateway::beliefs::transfers::Transfers;
use sillpin_gateway::beliefs::{self, BoxEntry, FleetHandle, FleetMsg, Topic, View};
use sillpin_gateway::config::ConfigVersion;
use sillpin_gateway::peers::roles;
use sillpin_gateway::place::Loads;
use sillpin_platform::{KvRevision, Platform};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

const PREFIX: &str = "ops/";
const CONFIG: &str = "ops/config";

/// Time between two words of the box that reads for the zone.
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

/// A box that does not read for its zone, and hears from the one that does that nothing has changed.
struct World {
    store: MemoryStore,
    fleet: FleetHandle,
    transfers: Transfers,
    reading: BoxEntry,
    confirming: JoinHandle<()>,
}

impl World {
    async fn start() -> Self {
        let store = MemoryStore::default();
        let put = store.put(CONFIG, "1", KvRevision::ABSENT, None);
        put.await.unwrap();
        let (reading, me) = roles();
        let log = sillpin_telemetry::logs::discard();
        let (fleet, port) = beliefs::channel();
        tokio::spawn(Fleet::new(me.id.clone(), TestKeys, log.clone()).run(port));
        fleet.tell(FleetMsg::Heard(reading.clone())).await;
        let transfers = Transfers::default();
        let reader = Reader {
            platform: store.clone(),
            topic: Topic::Operators,
            prefix: PREFIX,
            me,
            fleet: fleet.clone(),
            transfers: transfers.clone(),
            hold: Duration::from_secs(25),
            loads: Loads::default(),
            news: mpsc::channel(1).0,
            log,
        };
        tokio::spawn(reader.run());
        let confirming = tokio::spawn(confirm(fleet.clone(), reading.clone()));
        let world = Self {
            store,
            fleet,
            transfers,
            reading,
            confirming,
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

    /// Waits until a version is in force, and gives how long that took.
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

/// Says again and again that what the box knows was found so just now.
async fn confirm(fleet: FleetHandle, reading: BoxEntry) {
    loop {
        let known = fleet.view().operators;
        fleet.tell(FleetMsg::Heard(reading.clone())).await;
        fleet
            .tell(FleetMsg::Confirmed {
                topic: Topic::Operators,
                content: known.content,
                revision: known.revision,
                asked: Instant::now(),
            })
            .await;
        sleep(ROUND).await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_box_that_does_not_read_for_its_zone_hears_of_a_change_from_the_store() {
    let world = World::start().await;
    let before = world.store.waits().len();
    sleep(Duration::from_secs(100)).await;
    let waits = world.store.waits();
    assert!(waits.len() - before <= 5, "few calls: {waits:?}");
    world.publish(2).await;
    let took = world.wait_for(2).await;
    assert!(took < Duration::from_millis(50), "took {took:?}");
}

/// The box's turn to read comes while a change arrives: to begin anew would throw away what has come.
#[tokio::test(start_paused = true)]
async fn a_change_that_is_arriving_is_not_begun_again() {
    let world = World::start().await;
    let transfer = Duration::from_secs(4);
    world.store.set_transfer_time(transfer);
    world.publish(2).await;
    sleep(Duration::from_millis(500)).await;
    assert!(world.transfers.is_under_way(Topic::Operators));
    let before = world.store.waits().len();
    let stopping = FleetMsg::Stopping(world.reading.id.clone());
    world.fleet.tell(stopping).await;
    world.transfers.doubt(Topic::Operators);
    sleep(Duration::from_secs(2)).await;
    assert_eq!(world.store.waits().len(), before, "no other call");
    assert!(world.transfers.is_under_way(Topic::Operators));
    let took = world.wait_for(2).await;
    assert!(took < Duration::from_secs(2), "took {took:?} more");
}

/// The connection on which the box waits has gone silent, and another box tells of a change.
#[tokio::test(start_paused = true)]
async fn a_box_whose_store_says_nothing_asks_again_when_others_know_more() {
    let world = World::start().await;
    world.store.set_unresponsive(true);
    world.transfers.doubt(Topic::Operators);
    sleep(ROUND).await;
    world.store.set_unresponsive(false);
    world.publish(2).await;
    sleep(Duration::from_secs(2)).await;
    let version = |view: &View| view.config.as_ref().map(|config| config.version);
    assert_eq!(version(&world.fleet.view()), Some(ConfigVersion(1)));
    world.transfers.doubt(Topic::Operators);
    let took = world.wait_for(2).await;
    assert!(took < Duration::from_millis(500), "took {took:?}");
}

/// A box that waits for a change finds out within a moment that it has to read for its zone.
#[tokio::test(start_paused = true)]
async fn a_box_that_waits_reads_for_its_zone_once_the_reader_has_gone() {
    let world = World::start().await;
    let before = world.store.waits().len();
    world.confirming.abort();
    let stopping = FleetMsg::Stopping(world.reading.id.clone());
    world.fleet.tell(stopping).await;
    sleep(Duration::from_secs(10)).await;
    let read = world.store.waits().len() - before;
    assert!(read >= 10, "a box alone reads often: {read} times");
}

#[tokio::test(start_paused = true)]
async fn what_operators_publish_is_listed_again_only_if_the_store_has_forgotten() {
    let world = World::start().await;
    world.store.set_unreachable(true);
    sleep(Duration::from_secs(30)).await;
    world.store.set_unreachable(false);
    world.publish(2).await;
    let took = world.wait_for(2).await;
    assert!(took < Duration::from_secs(5), "took {took:?}");
    world.store.forget_history();
    world.transfers.doubt(Topic::Operators);
    sleep(Duration::from_secs(1)).await;
    world.publish(3).await;
    let took = world.wait_for(3).await;
    assert!(took < Duration::from_millis(50), "took {took:?}");
}

/// What a box glances at when it starts may be old: until something confirms it, the box fetches no part and turns nobody away for good. After
/// all of 71 boxes had lost power, the first watch confirmed it when its wait of 0.5 s was over, and 260 long prompts were read whole meanwhile.
#[tokio::test(start_paused = true)]
async fn what_a_box_finds_when_it_starts_is_confirmed_at_once() {
    let store = MemoryStore::default();
    let put = store.put(CONFIG, "1", KvRevision::ABSENT, None);
    put.await.unwrap();
    let log = sillpin_telemetry::logs::discard();
    let (fleet, port) = beliefs::channel();
    let me = entry("box-a");
    tokio::spawn(Fleet::new(me.id.clone(), TestKeys, log.clone()).run(port));
    let reader = Reader {
        platform: store.clone(),
        topic: Topic::Operators,
        prefix: PREFIX,
        me,
        fleet: fleet.clone(),
        transfers: Transfers::default(),
        hold: Duration::from_secs(25),
        loads: Loads::default(),
        news: mpsc::channel(1).0,
        log,
    };
    let began = Instant::now();
    tokio::spawn(reader.run());
    let mut views = fleet.subscribe();
    let confirmed = views.wait_for(|view| view.operators.confirmed.is_some());
    confirmed.await.unwrap();
    assert!(began.elapsed() < Duration::from_millis(50));
    sleep(Duration::from_secs(2)).await;
    let short = store.waits().into_iter().filter(|wait| *wait < ROUND);
    assert_eq!(short.count(), 1, "only the first watch does not wait");
}
