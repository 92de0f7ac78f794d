//! Tests of immediate updates between boxes that send each other real datagrams.
//!
//! Guards against updates that are decided on but not sent, or not used by the receiving box, in
//! zones with and without a hub.

mod common;

use common::{TestKeys, entry, name, target};
use rstest::rstest;
use sillpin_core::{Tokens, ZoneId};
use sillpin_gateway::cache_stores::CacheStores;
use sillpin_gateway::config::{EngineSpec, FleetConfig, Pool};
use sillpin_gateway::control::{
    DecodeError, PublishedFormat, ReleaseOrder, ReleaseStatus, TargetEntry, WantedWeights,
};
use sillpin_gateway::fatal::FatalRequests;
use sillpin_gateway::fleet_state::fleet::Fleet;
use sillpin_gateway::fleet_state::transfers::Transfers;
use sillpin_gateway::fleet_state::{self, BoxEntry, FleetHandle, FleetMsg, Reading, Source, Topic};
use sillpin_gateway::metrics::BoxMetrics;
use sillpin_gateway::peers::datagram::BoxHash;
use sillpin_gateway::peers::hub::Hub;
use sillpin_gateway::peers::roster::RosterCache;
use sillpin_gateway::peers::sender::GossipSender;
use sillpin_gateway::peers::wire::FleetKey;
use sillpin_gateway::peers::zone_sender::ZoneGossip;
use sillpin_gateway::placement::Loads;
use sillpin_gateway::placement::work::{TargetHash, Work};
use sillpin_gateway::releases::ReleaseTracker;
use sillpin_gateway::settings::{BoxConfig, SCHEMA};
use sillpin_gateway::streams::{StreamVersions, register};
use sillpin_gateway::suspend_clock::SuspendClock;
use sillpin_gateway::tasks::Tasks;
use sillpin_platform::call::CallCounts;
use sillpin_platform::{KvRevision, Snapshot};
use sillpin_settings::{Sources, load};
use sillpin_telemetry::metrics::Metrics;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::runtime::{self, Runtime};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// Time limit of each wait.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Interval between reports of a box in a zone with a hub. An update that takes less was not sent by
/// way of the hub.
const REPORT_INTERVAL: Duration = Duration::from_millis(150);

/// The format of [`TestKeys`], with a configuration that has a pool of engines.
#[derive(Debug, Clone, Copy)]
struct EngineKeys;

impl PublishedFormat for EngineKeys {
    fn target_prefix(&self) -> &'static str {
        TestKeys.target_prefix()
    }
    fn operator_prefix(&self) -> &'static str {
        TestKeys.operator_prefix()
    }
    fn is_config(&self, key: &str) -> bool {
        TestKeys.is_config(key)
    }
    fn is_weights(&self, key: &str) -> bool {
        TestKeys.is_weights(key)
    }
    fn evacuation(&self, key: &str) -> Option<Result<ZoneId, DecodeError>> {
        TestKeys.evacuation(key)
    }
    fn target(&self, key: &str, value: &str) -> Result<TargetEntry, DecodeError> {
        TestKeys.target(key, value)
    }
    fn config(&self, key: &str, value: &str) -> Result<FleetConfig, DecodeError> {
        let engine = EngineSpec {
            slots: 24,
            capacity: Tokens(40_000),
            token_bytes: 18_432,
            models: vec![name("m")],
        };
        let pool = Pool {
            id: name("llm"),
            max_connections: 0,
            warm_up: None,
            engine: Some(engine),
        };
        Ok(FleetConfig {
            pools: vec![pool],
            stores: Vec::new(),
            ..TestKeys.config(key, value)?
        })
    }
    fn weights(&self, key: &str, value: &str) -> Result<WantedWeights, DecodeError> {
        TestKeys.weights(key, value)
    }
    fn release_pool(&self, key: &str) -> Option<Result<sillpin_core::PoolId, DecodeError>> {
        TestKeys.release_pool(key)
    }
    fn release(&self, key: &str, value: &str) -> Result<ReleaseOrder, DecodeError> {
        TestKeys.release(key, value)
    }
    fn release_status_key(&self, pool: &sillpin_core::PoolId) -> String {
        TestKeys.release_status_key(pool)
    }
    fn release_status(&self, key: &str, value: &str) -> Result<ReleaseStatus, DecodeError> {
        TestKeys.release_status(key, value)
    }
    fn encode_release_status(&self, status: &ReleaseStatus) -> String {
        TestKeys.encode_release_status(status)
    }
}

fn settings(immediate_updates: &str) -> BoxConfig {
    let text = format!(
        "[box]\nid = b\nzone = za\nip = 127.0.0.1\n\
         [listen]\ncallers = 127.0.0.1:0\nready = 127.0.0.1:0\n\
         peers = 127.0.0.1:0\ngossip-port = 0\nmetrics-port = 0\n\
         [platform]\naddr = 127.0.0.1:1\n[limits]\nmemory-mb = 64\ndescriptors = 1000\n\
         [scheduling]\nimmediate-updates = {immediate_updates}\n"
    );
    let sources = Sources {
        file: "box.ini",
        text: &text,
        flags: &[],
        env: &|_| None,
    };
    BoxConfig::from_loaded(&load(SCHEMA, &sources).unwrap()).unwrap()
}

/// A box that runs nothing but its fleet state and its gossip.
struct OneBox {
    entry: BoxEntry,
    loads: Loads,
    fleet: FleetHandle,
    metrics: BoxMetrics,
    /// Runs the box's tasks, so that all of them end with it.
    runtime: Option<Runtime>,
}

impl Drop for OneBox {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

impl OneBox {
    fn start(index: usize, immediate_updates: &str) -> Self {
        let log = sillpin_telemetry::logs::discard();
        let mut builder = runtime::Builder::new_multi_thread();
        let runtime = builder.worker_threads(1).enable_all().build().unwrap();
        let socket = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
        socket.set_nonblocking(true).unwrap();
        let entry = BoxEntry {
            id: name(&format!("b-{index}")),
            zone: name("za"),
            peers: ([127, 0, 0, 1], 9).into(),
            gossip: socket.local_addr().unwrap(),
            link_mbps: 1_000,
        };
        let (fleet, port) = fleet_state::channel();
        runtime.spawn(Fleet::new(entry.id.clone(), EngineKeys, log.clone()).run(port));
        let metrics = Metrics::new("sillpin-box", "b").unwrap();
        let tasks = Tasks::new(log.clone(), &metrics.meter(), Default::default());
        let metrics = BoxMetrics::new(&metrics.meter(), CallCounts::default());
        let loads = Loads::default();
        let hash = BoxHash::of(&entry);
        let (settings_tx, settings) = watch::channel(settings(immediate_updates));
        let (updates_tx, updates) = mpsc::channel(9);
        let (zone_updates_tx, zone_updates) = mpsc::channel(9);
        let fleet_key = FleetKey::of(([127, 0, 0, 1], 1).into());
        let socket = {
            let _context = runtime.enter();
            Arc::new(UdpSocket::from_std(socket).unwrap())
        };
        let gossip = GossipSender {
            fleet_key,
            name: hash,
            zone_gossip: ZoneGossip::new(Hub::new(hash), RosterCache::new(entry.clone())),
            me: entry.clone(),
            settings,
            fleet: fleet.clone(),
            loads: loads.clone(),
            cache_stores: CacheStores::default(),
            fatal: FatalRequests::new(log.clone()),
            releases: ReleaseTracker::new(0.1),
            suspend_clock: SuspendClock::default(),
            updates,
            zone_updates,
            transfers: Transfers::default(),
            stopping: Default::default(),
            streams: StreamVersions::new(
                fleet_key,
                entry.clone(),
                fleet.clone(),
                socket.clone(),
                register::channel().0,
                metrics.clone(),
                log.clone(),
            ),
            metrics: metrics.clone(),
            log,
        };
        runtime.spawn(async move {
            let _senders = (settings_tx, updates_tx, zone_updates_tx);
            gossip.run(socket, tasks).await;
        });
        Self {
            entry,
            loads,
            fleet,
            metrics,
            runtime: Some(runtime),
        }
    }

    /// Tells the box of all others, and of one engine.
    async fn tell(&self, others: Vec<BoxEntry>) {
        self.fleet.send(FleetMsg::Registered(others)).await;
        let published = [
            (Topic::Operators, entry("ops/config", "1", 1)),
            (Topic::Targets, entry("target/e1", "ready 1", 1)),
        ];
        for (topic, entry) in published {
            let snapshot = Snapshot {
                entries: vec![entry],
                revision: KvRevision(1),
            };
            let msg = FleetMsg::Read {
                topic,
                reading: Reading::Complete(snapshot),
                requested_at: Instant::now(),
                source: Source::Store,
            };
            self.fleet.send(msg).await;
        }
    }

    fn is_fresh(&self) -> bool {
        self.loads.is_own_zone_fresh(Instant::now())
    }

    /// Returns the prefill work of the other boxes at the engine, in milliseconds.
    fn peer_ms(&self) -> f64 {
        let work = self.loads.peer_work(Instant::now());
        let work = work.get(&TargetHash::of(&target("e1")));
        work.map_or(0.0, |work| work.prefill_ms)
    }
}

async fn start_zone(
    boxes: usize,
    immediate_updates: impl Fn(usize) -> &'static str,
) -> Vec<OneBox> {
    let mut all = Vec::new();
    for index in 0..boxes {
        all.push(OneBox::start(index, immediate_updates(index)));
    }
    for one in &all {
        let others = all.iter().filter(|other| other.entry != one.entry);
        one.tell(others.map(|other| other.entry.clone()).collect())
            .await;
    }
    all
}

async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let waiting = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    let waited = tokio::time::timeout(TIMEOUT, waiting).await;
    assert!(waited.is_ok(), "timed out waiting until {what}");
}

#[rstest]
#[tokio::test]
async fn boxes_learn_of_work_immediately(#[values(2, 4, 12)] boxes: usize) {
    let all = start_zone(boxes, |_| "auto").await;
    wait_until("the zone is fresh", || all.iter().all(OneBox::is_fresh)).await;
    let mut fastest = TIMEOUT;
    for _ in 0..5 {
        let began = Instant::now();
        let mut prompt = all[0]
            .loads
            .start(&target("e1"), Work::one(150.0, Tokens(9_000)));
        let others = || all.iter().skip(1);
        wait_until("all know the work", || {
            others().all(|one| one.peer_ms() == 150.0)
        })
        .await;
        prompt.prefill_done();
        wait_until("all know its end", || {
            others().all(|one| one.peer_ms() == 0.0)
        })
        .await;
        fastest = fastest.min(began.elapsed());
    }
    println!("{boxes} boxes knew of a start and an end after {fastest:?}");
    assert!(fastest < REPORT_INTERVAL, "{fastest:?}");
    let traffic = all[0].metrics.describe_peer_traffic();
    assert!(traffic.contains("engine sent"), "{traffic}");
    assert!(traffic.contains("engine received"), "{traffic}");
}

#[tokio::test]
async fn the_work_of_a_dead_box_is_dropped() {
    let mut all = start_zone(4, |_| "auto").await;
    wait_until("the zone is fresh", || all.iter().all(OneBox::is_fresh)).await;
    let work = Work::one(150.0, Tokens(9_000));
    let _prompt = all[3].loads.start(&target("e1"), work);
    wait_until("all know the work", || all[0].peer_ms() == 150.0).await;
    // The guard of the prompt stays, so only the box's silence shows that it has died.
    drop(all.remove(3));
    wait_until("the work of a dead box is dropped", || {
        all[0].peer_ms() == 0.0
    })
    .await;
}

/// Guards against a switch that does not switch, and against boxes that rely on updates of a box that
/// sends none.
#[rstest]
#[case::all_off(4, 4)]
#[case::half_off(4, 2)]
#[tokio::test]
async fn without_updates_of_all_boxes_the_zone_is_not_fresh(
    #[case] boxes: usize,
    #[case] off: usize,
) {
    let all = start_zone(boxes, |index| if index < off { "off" } else { "auto" }).await;
    let _prompt = all[0]
        .loads
        .start(&target("e1"), Work::one(150.0, Tokens(9_000)));
    wait_until("reports arrive", || {
        all[1..].iter().all(|one| one.peer_ms() == 150.0)
    })
    .await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(!all.iter().any(OneBox::is_fresh));
    let sent = |one: &OneBox| one.metrics.describe_peer_traffic().contains("engine sent");
    assert!(!all[..off].iter().any(sent));
}
