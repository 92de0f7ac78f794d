//! How soon a box that has just started knows what the stores hold.
//!
//! All of 71 boxes lost power for 1.5 s. After that the boxes waited for their zones' readers to tell them of full stores, which those told only
//! boxes drawn by lot, one in 0.8 s; after 1.7 s they listed the stores themselves. Until then every prompt was read whole: of what came in the second
//! after the power was back, half was answered late.

use crate::common::{TestKeys, entry, name};
use rstest::rstest;
use sillpin_core::TargetId;
use sillpin_gateway::beliefs::fleet::Fleet;
use sillpin_gateway::beliefs::{self, BoxEntry, FleetHandle, FleetMsg, Reading, Source, Topic};
use sillpin_gateway::control::{
    Control, ControlError, EngineReport, FreeOrder, OrderOutcome, StoreChanges, StoreListing,
    WeightsOrder,
};
use sillpin_gateway::dialect::EngineTime;
use sillpin_gateway::kept::Kept;
use sillpin_gateway::kept::reader::{self, Readers};
use sillpin_gateway::place::Loads;
use sillpin_platform::{KvRevision, Snapshot};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

const BOXES: usize = 71;

/// A store answers after this long.
const CALL: Duration = Duration::from_millis(10);

/// Listings that it answers at once; more are refused.
const AT_ONCE: usize = 12;

#[derive(Clone, Default)]
struct Store {
    under_way: Arc<AtomicUsize>,
    refused: Arc<AtomicUsize>,
}

fn refused(peer: SocketAddr) -> ControlError {
    ControlError {
        step: "a call",
        peer,
        what: "busy".to_owned(),
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
        let under_way = self.under_way.fetch_add(1, Ordering::Relaxed);
        tokio::time::sleep(CALL).await;
        self.under_way.fetch_sub(1, Ordering::Relaxed);
        if under_way >= AT_ONCE {
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

/// It learns who is registered.
async fn learn_boxes(fleet: &FleetHandle, index: usize) {
    let others = (0..BOXES).filter(|other| *other != index);
    let registered = others.map(box_entry).collect();
    fleet.tell(FleetMsg::RegisteredBefore(registered)).await;
}

/// It learns a configuration that names a store.
async fn learn_config(fleet: &FleetHandle) {
    let snapshot = Snapshot {
        entries: vec![entry("ops/config", "7", 5)],
        revision: KvRevision(5),
    };
    let msg = FleetMsg::Read {
        topic: Topic::Operators,
        reading: Reading::Whole(snapshot),
        asked: Instant::now(),
        source: Source::Store,
    };
    fleet.tell(msg).await;
}

/// All boxes start in the same moment and hear nothing of each other but who is registered. In a trial in which they learned that last, 100 boxes listed 13
/// stores at once, and two in three were refused.
#[rstest]
#[case::the_boxes_first(Duration::ZERO, Duration::from_millis(20))]
#[case::the_configuration_first(Duration::from_millis(20), Duration::ZERO)]
#[tokio::test(start_paused = true)]
async fn boxes_that_all_start_know_the_stores_within_half_a_second(
    #[case] boxes_after: Duration,
    #[case] config_after: Duration,
) {
    let store = Store::default();
    let addr: SocketAddr = ([127, 0, 0, 1], 7).into();
    let mut boxes = Vec::new();
    for index in 0..BOXES {
        let log = sillpin_telemetry::logs::discard();
        let (fleet, port) = beliefs::channel();
        let me = box_entry(index);
        tokio::spawn(Fleet::new(me.id.clone(), TestKeys, log.clone()).run(port));
        let (news, heard) = mpsc::channel(100);
        let kept = Kept::default();
        tokio::spawn(reader::run(Readers {
            control: store.clone(),
            me,
            kept: kept.clone(),
            loads: Loads::default(),
            fleet: fleet.clone(),
            news,
            log,
        }));
        boxes.push((kept, fleet, heard));
    }
    let began = Instant::now();
    let learning = async |fleet: &FleetHandle, index: usize, at: Duration| {
        if at == boxes_after {
            learn_boxes(fleet, index).await;
        }
        if at == config_after {
            learn_config(fleet).await;
        }
    };
    for at in [Duration::ZERO, Duration::from_millis(20)] {
        tokio::time::sleep_until(began + at).await;
        for (index, (_, fleet, _)) in boxes.iter().enumerate() {
            learning(fleet, index, at).await;
        }
    }
    // A fetch also needs to say until when it may last.
    let knows = |(kept, _, _): &(Kept, _, _)| {
        let directory = kept.lock();
        directory.is_known(addr, Instant::now()) && directory.has_clock()
    };
    while !boxes.iter().all(knows) {
        assert!(began.elapsed() < Duration::from_millis(500), "too late");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let refused = store.refused.load(Ordering::Relaxed);
    assert_eq!(refused, 0, "the store is not asked by too many at once");
}
