//! Frees parts that nobody uses any more. Run by the holder of the fleet's duty.

use super::Kept;
use super::retire::{place_of, weights_of};
use super::salt::SaltParts;
use crate::awake::Awake;
use crate::beliefs::{FleetHandle, View};
use crate::config::StoreSpec;
use crate::control::{Control, FreeOrder, KeptKey, PartialPart};
use crate::dialect::Salt;
use sillpin_telemetry::{event, events};
use slog::Logger;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Time between two rounds.
const ROUND: Duration = Duration::from_millis(300);

/// Parts freed by one call: about 4 KB of names.
const BATCH: usize = 100;

/// A store carries an order out within this time or not at all.
const ORDER_TIME: Duration = Duration::from_millis(400);

/// Parts that broke off are freed within this time of the listing that shows them, or not at all: one that a
/// new save completes in between is told to boxes 60 ms later at the earliest (`events_lag_ms` of both sites), so
/// that no fetch of it can have begun.
const PARTIAL_ORDER_TIME: Duration = Duration::from_millis(40);

/// How long parts that were ordered to be freed are not ordered again.
const ORDERED_MEMORY: Duration = Duration::from_secs(3);

/// Time between two listings of a store, for parts that broke off.
const LIST_EVERY: Duration = Duration::from_secs(7);

/// Frees parts while this box holds the duty.
pub struct Freer<C> {
    /// Calls of stores.
    pub control: C,
    /// What the stores hold.
    pub kept: Kept,
    /// What is known of the fleet.
    pub fleet: FleetHandle,
    /// Nothing is ordered after this moment of [`Awake::now`].
    pub until: watch::Receiver<Instant>,
    /// Time asleep.
    pub awake: Awake,
    /// Log.
    pub log: Logger,
}

#[derive(Default)]
struct Memory {
    ordered: HashMap<(SocketAddr, KeptKey), Instant>,
    /// Parts that were not whole at the last listing of a store.
    partial: HashMap<SocketAddr, Vec<PartialPart>>,
    listed: HashMap<SocketAddr, Instant>,
}

impl<C: Control> Freer<C> {
    /// Runs until the task is ended with the tenure.
    pub async fn run(self) {
        let mut memory = Memory::default();
        let mut rounds = tokio::time::interval(ROUND);
        loop {
            rounds.tick().await;
            let view = self.fleet.view();
            let Some(config) = view.config.clone() else {
                continue;
            };
            let now = Instant::now();
            memory.ordered.retain(|_, at| now - *at < ORDERED_MEMORY);
            for store in config.stores.iter().filter(|store| store.managed) {
                self.free_retired(store, &view, &mut memory).await;
                self.free_partial(store, &mut memory).await;
            }
        }
    }

    async fn free_retired(&self, store: &StoreSpec, view: &View, memory: &mut Memory) {
        let now = Instant::now();
        let unused = self.unused(store, view, now);
        let fresh = |key: &KeptKey| !memory.ordered.contains_key(&(store.addr, key.clone()));
        let keys: Vec<KeptKey> = unused.into_iter().filter(fresh).take(BATCH).collect();
        if keys.is_empty() {
            return;
        }
        let noted = keys.iter().map(|key| ((store.addr, key.clone()), now));
        memory.ordered.extend(noted);
        self.order(store, keys, now, ORDER_TIME, "made under replaced weights")
            .await;
    }

    /// Parts of a store that no box fetches.
    fn unused(&self, store: &StoreSpec, view: &View, now: Instant) -> Vec<KeptKey> {
        if !self.kept.retirements().has_any() {
            return Vec::new();
        }
        let whole = self.kept.lock().whole(store.addr);
        let retirements = self.kept.retirements();
        // A store holds thousands of parts under a few salts.
        let mut shares: HashMap<Salt, f64> = HashMap::new();
        let share_of = |salt: &Salt| match salt.0.parse::<SaltParts>() {
            Ok(salt) => retirements.unused_share(&weights_of(&salt), view, now),
            Err(_) => 0.0,
        };
        let mut unused = Vec::new();
        for (key, _) in whole {
            let share = match shares.get(&key.salt) {
                Some(share) => *share,
                None => {
                    let share = share_of(&key.salt);
                    shares.insert(key.salt.clone(), share);
                    share
                }
            };
            if share > 0.0 && place_of(&key) < share {
                unused.push(key);
            }
        }
        unused
    }

    /// Frees parts of which nothing more has arrived since the last listing: whoever wrote them has gone.
    async fn free_partial(&self, store: &StoreSpec, memory: &mut Memory) {
        let now = Instant::now();
        let last = memory.listed.get(&store.addr);
        if last.is_some_and(|at| now - *at < LIST_EVERY) {
            return;
        }
        memory.listed.insert(store.addr, now);
        let list = match self.control.kept_list(store.addr).await {
            Ok(list) => list,
            Err(e) => {
                event!(self.log, events::CACHE_STORE_UNREACHABLE,
                    "store" => store.addr.to_string(), "why" => &e.what);
                return;
            }
        };
        let before = memory.partial.insert(store.addr, list.partial.clone());
        let before = before.unwrap_or_default();
        let stuck = list
            .partial
            .into_iter()
            .filter(|part| before.contains(part));
        let keys: Vec<KeptKey> = stuck.map(|part| part.key).take(BATCH).collect();
        if !keys.is_empty() {
            self.order(store, keys, now, PARTIAL_ORDER_TIME, "broke off")
                .await;
        }
    }

    /// Orders a store to free parts within `time` of the moment `from` at which they were found unused.
    async fn order(
        &self,
        store: &StoreSpec,
        keys: Vec<KeptKey>,
        from: Instant,
        time: Duration,
        why: &'static str,
    ) {
        if self.awake.now() >= *self.until.borrow() {
            return;
        }
        let (position, until) = {
            let directory = self.kept.lock();
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
