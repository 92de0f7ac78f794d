//! How soon a box that has just started knows the content of the stores.
//!
//! Guards against slow recovery after a power loss of 1.5 s at all of 71 boxes: the boxes waited for their zones' readers, which sent the
//! listings of full stores to one random box in 0.8 s, and listed the stores themselves only after 1.7 s. Until then every prompt was
//! recomputed in full; half of the requests that arrived in the second after the power returned got late responses.

use crate::common::{TestKeys, entry, name};
use rstest::rstest;
use sillpin_core::TargetId;
use sillpin_gateway::cache_stores::CacheStores;
use sillpin_gateway::cache_stores::reader::{self, Readers};
use sillpin_gateway::control::{
    Control, ControlError, EngineReport, FreeOrder, OrderOutcome, StoreChanges, StoreListing,
    WeightsOrder,
};
use sillpin_gateway::dialect::EngineTime;
use sillpin_gateway::fleet_state::fleet::Fleet;
use sillpin_gateway::fleet_state::{self, BoxEntry, FleetHandle, FleetMsg, Reading, Source, Topic};
use sillpin_gateway::peers::datagram::{BoxHash, ZoneUpdate};
use sillpin_gateway::peers::zone_sender::REPORT_INTERVAL;
use sillpin_gateway::placement::Loads;
use sillpin_platform::{KvRevision, Snapshot};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::sync::{Notify, mpsc};
use tokio::time::{Instant, timeout};

const BOXES: usize = 71;

/// Response time of the store.
const CALL: Duration = Duration::from_millis(10);

/// Maximum number of concurrent listings; further ones are refused.
const MAX_CONCURRENT: usize = 12;

#[derive(Clone, Default)]
struct Store {
    running: Arc<AtomicUsize>,
    refused: Arc<AtomicUsize>,
    listed: Arc<AtomicUsize>,
    /// Notified of each listing.
    listing: Arc<Notify>,
    is_failing: bool,
}

impl Store {
    /// Returns the number of listings that were requested.
    fn listed(&self) -> usize {
        self.listed.load(Ordering::Relaxed)
    }

    /// Waits until this many listings were requested.
    async fn wait_for_listings(&self, count: usize) {
        while self.listed() < count {
            self.listing.notified().await;
        }
    }
}

fn refused(peer: SocketAddr) -> ControlError {
    ControlError {
        step: "a call",
        peer,
        what: "busy".to_owned(),
        responded: true,
    }
}

impl Control for Store {
    async fn report(&self, addr: SocketAddr, _: &TargetId) -> Result<EngineReport, ControlError> {
        Err(refused(addr))
    }

    async fn order(
        &self,
        addr: SocketAddr,
        _: &WeightsOrder,
    ) -> Result<OrderOutcome, ControlError> {
        Err(refused(addr))
    }

    async fn store_changes(
        &self,
        _: SocketAddr,
        since: u64,
        wait: Duration,
    ) -> Result<StoreChanges, ControlError> {
        tokio::time::sleep(wait).await;
        Ok(StoreChanges {
            epoch: 1,
            next: since,
            lost: false,
            changes: Vec::new(),
            clock: Some(EngineTime(5_000)),
        })
    }

    async fn list_store(&self, addr: SocketAddr) -> Result<StoreListing, ControlError> {
        self.listed.fetch_add(1, Ordering::Relaxed);
        self.listing.notify_one();
        let running = self.running.fetch_add(1, Ordering::Relaxed);
        tokio::time::sleep(CALL).await;
        self.running.fetch_sub(1, Ordering::Relaxed);
        if running >= MAX_CONCURRENT || self.is_failing {
            self.refused.fetch_add(1, Ordering::Relaxed);
            return Err(refused(addr));
        }
        Ok(StoreListing {
            epoch: 1,
            next: 1,
            complete: Vec::new(),
            partial: Vec::new(),
        })
    }

    async fn free(&self, addr: SocketAddr, _: &FreeOrder) -> Result<(), ControlError> {
        Err(refused(addr))
    }
}

fn box_entry(index: usize) -> BoxEntry {
    BoxEntry {
        id: name(&format!("box-{index}")),
        zone: name(["za", "zb", "zc"][index % 3]),
        peers: ([127, 0, 0, 1], 1).into(),
        gossip: ([127, 0, 0, 1], 2).into(),
        link_mbps: 10,
    }
}

/// Gives a box the list of registered boxes.
async fn send_boxes(fleet: &FleetHandle, index: usize) {
    let others = (0..BOXES).filter(|other| *other != index);
    let registered = others.map(box_entry).collect();
    fleet.send(FleetMsg::RegisteredStale(registered)).await;
}

/// Gives a box a configuration that names a number of stores.
async fn send_config(fleet: &FleetHandle, stores: u16) {
    let snapshot = Snapshot {
        entries: vec![entry("ops/config", &format!("7 {stores}"), 5)],
        revision: KvRevision(5),
    };
    let msg = FleetMsg::Read {
        topic: Topic::Operators,
        reading: Reading::Complete(snapshot),
        requested_at: Instant::now(),
        source: Source::Store,
    };
    fleet.send(msg).await;
}

/// A box that reads stores.
struct TestBox {
    store: Store,
    fleet: FleetHandle,
    cache_stores: CacheStores,
    loads: Loads,
    /// Keeps the queue of updates for the zone open.
    _updates: mpsc::Receiver<ZoneUpdate>,
}

/// Starts a box that reads `store`.
fn start_box(index: usize, store: &Store) -> TestBox {
    let log = sillpin_telemetry::logs::discard();
    let (fleet, port) = fleet_state::channel();
    let me = box_entry(index);
    tokio::spawn(Fleet::new(me.id.clone(), TestKeys, log.clone()).run(port));
    let (updates, received) = mpsc::channel(100);
    let (cache_stores, loads) = (CacheStores::default(), Loads::default());
    tokio::spawn(reader::run(Readers {
        control: store.clone(),
        me,
        cache_stores: cache_stores.clone(),
        loads: loads.clone(),
        fleet: fleet.clone(),
        updates,
        log,
    }));
    TestBox {
        store: store.clone(),
        fleet,
        cache_stores,
        loads,
        _updates: received,
    }
}

/// All boxes start together and receive nothing but the list of registered boxes. Guards against concurrent listings: when boxes
/// received that list last, 100 boxes listed 13 stores immediately, and two in three listings were refused.
#[rstest]
#[case::the_boxes_first(Duration::ZERO, Duration::from_millis(20))]
#[case::the_configuration_first(Duration::from_millis(20), Duration::ZERO)]
#[tokio::test(start_paused = true)]
async fn boxes_that_start_together_know_the_stores_within_half_a_second(
    #[case] boxes_after: Duration,
    #[case] config_after: Duration,
) {
    let store = Store::default();
    let addr: SocketAddr = ([127, 0, 0, 1], 7).into();
    let boxes: Vec<TestBox> = (0..BOXES).map(|index| start_box(index, &store)).collect();
    let began = Instant::now();
    let send_due = async |fleet: &FleetHandle, index: usize, at: Duration| {
        if at == boxes_after {
            send_boxes(fleet, index).await;
        }
        if at == config_after {
            send_config(fleet, 1).await;
        }
    };
    for at in [Duration::ZERO, Duration::from_millis(20)] {
        tokio::time::sleep_until(began + at).await;
        for (index, of) in boxes.iter().enumerate() {
            send_due(&of.fleet, index, at).await;
        }
    }
    // A fetch also needs the engines' clock, for its deadline.
    let knows = |of: &TestBox| {
        let directory = of.cache_stores.lock();
        directory.is_known(addr, Instant::now()) && directory.has_clock()
    };
    while !boxes.iter().all(knows) {
        assert!(began.elapsed() < Duration::from_millis(500), "too late");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let refused = store.refused.load(Ordering::Relaxed);
    assert_eq!(refused, 0, "too many concurrent listings");
}

/// Guards against a fleet that starts as a whole and whose boxes each list all stores at once, before they know each
/// other: the stores refused nearly all connections of 985 boxes, and no box could read any of them.
#[tokio::test(start_paused = true)]
async fn a_box_that_knows_no_others_yet_lists_a_few_stores_at_a_time() {
    const STORES: u16 = 88;
    /// Time in which a starting box reads which others there are.
    const DISCOVERY: Duration = Duration::from_millis(700);
    let store = Store::default();
    let only = start_box(0, &store);
    send_config(&only.fleet, STORES).await;
    let too_many = timeout(DISCOVERY, store.wait_for_listings(21)).await;
    let listed = store.listed();
    assert!(too_many.is_err() && listed >= 4, "{listed} listings");
    // A box without others has to read all of them.
    let all = store.wait_for_listings(usize::from(STORES));
    let all = timeout(Duration::from_secs(5), all).await;
    assert!(all.is_ok(), "{} listings", store.listed());
}

/// Guards against a store that fails and is called by every box of a large zone, so that it cannot recover: the zone's
/// reader and the boxes that replace it are enough.
#[tokio::test(start_paused = true)]
async fn a_store_that_fails_is_called_by_few_boxes_of_a_zone_with_a_hub() {
    let mut boxes = Vec::new();
    for index in 0..BOXES {
        let store = Store {
            is_failing: true,
            ..Store::default()
        };
        let started = start_box(index, &store);
        send_boxes(&started.fleet, index).await;
        send_config(&started.fleet, 1).await;
        boxes.push(started);
    }
    let members: Vec<BoxHash> = (0..BOXES).map(|i| BoxHash::of(&box_entry(i))).collect();
    let mut bulletins = tokio::time::interval(REPORT_INTERVAL);
    let mut after_start = Vec::new();
    for round in 0..100 {
        bulletins.tick().await;
        for of in &boxes {
            of.loads.apply_zone_totals(Vec::new(), &members);
        }
        // Each box has tried it once by then.
        if round == 11 {
            after_start = boxes.iter().map(|of| of.store.listed()).collect();
        }
    }
    let calling = boxes.iter().zip(&after_start);
    let calling = calling.filter(|(of, before)| of.store.listed() > **before);
    let count = calling.count();
    assert!((3..=12).contains(&count), "{count} boxes");
}
