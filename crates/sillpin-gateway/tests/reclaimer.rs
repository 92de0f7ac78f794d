//! Which parts the leader frees, as observed by a store.

mod common;

use common::{TestKeys, entry, name};
use sillpin_core::{TargetId, Tokens};
use sillpin_gateway::cache_stores::CacheStores;
use sillpin_gateway::cache_stores::reclaimer::Reclaimer;
use sillpin_gateway::control::{
    Control, ControlError, EngineReport, FreeOrder, OrderOutcome, PartKey, PartialPart,
    StoreChanges, StoreListing, WeightsOrder,
};
use sillpin_gateway::dialect::{EngineTime, PartId, Salt};
use sillpin_gateway::fleet_state::fleet::Fleet;
use sillpin_gateway::fleet_state::{self, FleetMsg, Reading, Source, Topic};
use sillpin_gateway::suspend_clock::SuspendClock;
use sillpin_platform::{KvRevision, Snapshot};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// A store that returns one listing after the other, and records the orders to free parts.
#[derive(Clone)]
struct ListedStore {
    lists: Arc<Mutex<Vec<StoreListing>>>,
    listed: mpsc::UnboundedSender<Instant>,
    freed: mpsc::UnboundedSender<FreeOrder>,
}

impl Control for ListedStore {
    async fn report(&self, _: SocketAddr, _: &TargetId) -> Result<EngineReport, ControlError> {
        unreachable!("no engine is polled")
    }

    async fn order(&self, _: SocketAddr, _: &WeightsOrder) -> Result<OrderOutcome, ControlError> {
        unreachable!("no engine is ordered")
    }

    async fn store_changes(
        &self,
        _: SocketAddr,
        _: u64,
        _: Duration,
    ) -> Result<StoreChanges, ControlError> {
        unreachable!("the reclaimer does not poll for changes")
    }

    async fn list_store(&self, _: SocketAddr) -> Result<StoreListing, ControlError> {
        let mut lists = self.lists.lock().unwrap();
        let list = match lists.len() {
            1 => lists[0].clone(),
            _ => lists.remove(0),
        };
        self.listed.send(Instant::now()).unwrap();
        Ok(list)
    }

    async fn free(&self, _: SocketAddr, order: &FreeOrder) -> Result<(), ControlError> {
        self.freed.send(order.clone()).unwrap();
        Ok(())
    }
}

fn key(part: &str) -> PartKey {
    PartKey {
        salt: Salt("m/1".to_owned()),
        part: PartId(part.to_owned()),
    }
}

fn list(partial: &[(&str, u64)]) -> StoreListing {
    let partial = partial.iter().map(|(part, arrived)| PartialPart {
        key: key(part),
        arrived: Tokens(*arrived),
        reserved: Tokens(100),
    });
    StoreListing {
        epoch: 1,
        next: 10,
        complete: Vec::new(),
        partial: partial.collect(),
    }
}

#[tokio::test(start_paused = true)]
async fn only_stalled_parts_are_freed_and_only_shortly_after_the_listing() {
    let (fleet, port) = fleet_state::channel();
    let log = sillpin_telemetry::logs::discard();
    tokio::spawn(Fleet::new(name("box-1"), TestKeys, log.clone()).run(port));
    let start = Instant::now();
    let entries = vec![entry("ops/config", "1", 1)];
    let revision = KvRevision(1);
    let reading = FleetMsg::Read {
        topic: Topic::Operators,
        reading: Reading::Complete(Snapshot { entries, revision }),
        requested_at: start,
        source: Source::Store,
    };
    fleet.send(reading).await;
    let mut views = fleet.subscribe();
    let view = views.wait_for(|view| view.config.is_some()).await.unwrap();
    let addr = view.config.as_ref().unwrap().stores[0].addr;
    drop(view);
    let (listed, mut listings) = mpsc::unbounded_channel();
    let (freed, mut orders) = mpsc::unbounded_channel();
    let first = list(&[("stuck", 16), ("written", 16), ("gone", 0)]);
    let second = list(&[("stuck", 16), ("written", 32), ("new", 0)]);
    let control = ListedStore {
        lists: Arc::new(Mutex::new(vec![first, second])),
        listed,
        freed,
    };
    let cache_stores = CacheStores::default();
    cache_stores.lock().apply_list(addr, list(&[]), start);
    cache_stores.lock().set_clock(Some(EngineTime(0)), start);
    let (_limit, until) = watch::channel(start + Duration::from_secs(60));
    let reclaimer = Reclaimer {
        control,
        cache_stores,
        fleet,
        until,
        suspend_clock: SuspendClock::manual(),
        log,
    };
    tokio::spawn(reclaimer.run());
    listings.recv().await.unwrap();
    let at = listings.recv().await.unwrap();
    let order = orders.recv().await.unwrap();
    assert_eq!(order.keys, [key("stuck")]);
    let latest = EngineTime(0).plus(at - start + Duration::from_millis(60));
    assert!(
        order.until < latest,
        "a box may have received the event that it is complete"
    );
}
