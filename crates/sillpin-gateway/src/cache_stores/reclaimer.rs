//! Frees parts that are no longer used. Runs on the leader only.

use super::CacheStores;
use super::retire::{retirement_rank, salt_weights};
use super::salt::SaltParts;
use crate::config::StoreSpec;
use crate::control::{Control, FreeOrder, PartKey, PartialPart};
use crate::dialect::Salt;
use crate::fleet_state::{FleetHandle, View};
use crate::suspend_clock::SuspendClock;
use sillpin_telemetry::{event, events};
use slog::Logger;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Time between two rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(300);

/// Maximum number of parts freed by one call: about 4 KB of names.
const MAX_BATCH: usize = 100;

/// A store carries out an order within this time, or not at all.
const ORDER_TIMEOUT: Duration = Duration::from_millis(400);

/// Incomplete parts are freed within this time of the listing that shows them, or not at all: if a new save
/// completes one in between, boxes receive that event 60 ms later at the earliest, so no fetch of it can have
/// begun.
const PARTIAL_ORDER_TIMEOUT: Duration = Duration::from_millis(40);

/// Time after an order to free a part during which the order is not repeated.
const ORDER_RETRY_INTERVAL: Duration = Duration::from_secs(3);

/// Time between two listings of a store, in search of incomplete parts.
const LIST_INTERVAL: Duration = Duration::from_secs(7);

/// Frees parts while this box is the leader.
#[derive(Clone)]
pub struct Reclaimer<C> {
    /// Client for calls to stores.
    pub control: C,
    /// Content of the stores.
    pub cache_stores: CacheStores,
    /// State of the fleet.
    pub fleet: FleetHandle,
    /// Time of [`SuspendClock::now`] after which no order is sent.
    pub until: watch::Receiver<Instant>,
    /// Clock that includes suspended time.
    pub suspend_clock: SuspendClock,
    /// Logger.
    pub log: Logger,
}

#[derive(Default)]
struct ReclaimState {
    ordered: HashMap<(SocketAddr, PartKey), Instant>,
    /// Parts that were incomplete at the last listing of a store.
    partial: HashMap<SocketAddr, Vec<PartialPart>>,
    listed: HashMap<SocketAddr, Instant>,
}

impl<C: Control> Reclaimer<C> {
    /// Runs until the task is aborted, at the end of this box's leadership.
    pub async fn run(self) {
        let mut state = ReclaimState::default();
        let mut rounds = tokio::time::interval(ROUND_INTERVAL);
        loop {
            rounds.tick().await;
            let view = self.fleet.view();
            let Some(config) = view.config.clone() else {
                continue;
            };
            let now = Instant::now();
            state
                .ordered
                .retain(|_, at| now - *at < ORDER_RETRY_INTERVAL);
            for store in config.stores.iter().filter(|store| store.managed) {
                self.free_retired(store, &view, &mut state).await;
                self.free_partial(store, &mut state).await;
            }
        }
    }

    async fn free_retired(&self, store: &StoreSpec, view: &View, state: &mut ReclaimState) {
        let now = Instant::now();
        let unused = self.unused(store, view, now);
        let is_unordered = |key: &PartKey| !state.ordered.contains_key(&(store.addr, key.clone()));
        let keys: Vec<PartKey> = unused
            .into_iter()
            .filter(is_unordered)
            .take(MAX_BATCH)
            .collect();
        if keys.is_empty() {
            return;
        }
        let ordered_now = keys.iter().map(|key| ((store.addr, key.clone()), now));
        state.ordered.extend(ordered_now);
        self.order(
            store,
            keys,
            now,
            ORDER_TIMEOUT,
            "made under replaced weights",
        )
        .await;
    }

    /// Returns the parts of a store that no box fetches.
    fn unused(&self, store: &StoreSpec, view: &View, now: Instant) -> Vec<PartKey> {
        if !self.cache_stores.retirements().has_any() {
            return Vec::new();
        }
        let parts = self.cache_stores.lock().complete_parts(store.addr);
        let retirements = self.cache_stores.retirements();
        // Cached by salt: a store holds thousands of parts under a few salts.
        let mut shares: HashMap<Salt, f64> = HashMap::new();
        let share_of = |salt: &Salt| match salt.0.parse::<SaltParts>() {
            Ok(salt) => retirements.unused_share(&salt_weights(&salt), view, now),
            Err(_) => 0.0,
        };
        let mut unused = Vec::new();
        for (key, _) in parts {
            let share = match shares.get(&key.salt) {
                Some(share) => *share,
                None => {
                    let share = share_of(&key.salt);
                    shares.insert(key.salt.clone(), share);
                    share
                }
            };
            if share > 0.0 && retirement_rank(&key) < share {
                unused.push(key);
            }
        }
        unused
    }

    /// Frees incomplete parts that have not grown since the last listing: their writer has stopped.
    async fn free_partial(&self, store: &StoreSpec, state: &mut ReclaimState) {
        let now = Instant::now();
        let last = state.listed.get(&store.addr);
        if last.is_some_and(|at| now - *at < LIST_INTERVAL) {
            return;
        }
        state.listed.insert(store.addr, now);
        let list = match self.control.list_store(store.addr).await {
            Ok(list) => list,
            Err(e) => {
                event!(self.log, events::CACHE_STORE_UNREACHABLE,
                    "store" => store.addr.to_string(), "why" => &e.what);
                return;
            }
        };
        let before = state.partial.insert(store.addr, list.partial.clone());
        let before = before.unwrap_or_default();
        let stalled = list
            .partial
            .into_iter()
            .filter(|part| before.contains(part));
        let keys: Vec<PartKey> = stalled.map(|part| part.key).take(MAX_BATCH).collect();
        if !keys.is_empty() {
            self.order(store, keys, now, PARTIAL_ORDER_TIMEOUT, "incomplete")
                .await;
        }
    }

    /// Orders a store to free parts within `time` after `from`, the time at which they were found unused.
    async fn order(
        &self,
        store: &StoreSpec,
        keys: Vec<PartKey>,
        from: Instant,
        time: Duration,
        why: &'static str,
    ) {
        if self.suspend_clock.now() >= *self.until.borrow() {
            return;
        }
        let (position, until) = {
            let directory = self.cache_stores.lock();
            let until = directory.engine_time(from, time);
            (directory.position(store.addr), until)
        };
        let (Some(position), Some(until)) = (position, until) else {
            return;
        };
        let count = keys.len();
        let order = FreeOrder {
            keys,
            epoch: position.epoch,
            until,
        };
        match self.control.free(store.addr, &order).await {
            Ok(()) => event!(self.log, events::PARTS_FREED, "store" => store.addr.to_string(),
                "parts" => count, "epoch" => position.epoch, "why" => why),
            Err(e) => event!(self.log, events::PARTS_NOT_FREED,
                "store" => store.addr.to_string(), "parts" => count, "why" => &e.what),
        }
    }
}
