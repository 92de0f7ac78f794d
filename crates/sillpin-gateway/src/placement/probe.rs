//! Probes unreachable targets in the background.
//!
//! A connection attempt to a machine that is down takes a third of a second, so no request is used
//! for it: a target stays in cooldown until a probe has opened a connection.

use super::load::{Loads, Outcome};
use super::reach::ReachChange;
use crate::control::TargetEntry;
use crate::fleet_state::FleetHandle;
use crate::pool::{Conn, ConnectionPool};
use sillpin_core::{PoolId, TargetId};
use sillpin_telemetry::{event, events};
use slog::Logger;
use std::collections::HashSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::Instant;

/// Pause between two connection attempts.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);

/// Probes unreachable targets; clones share the set of probed targets.
#[derive(Clone)]
pub struct Prober {
    /// Loads of targets.
    pub loads: Loads,
    /// Pool of connections to targets.
    pub pool: ConnectionPool,
    /// This box's view of the fleet.
    pub fleet: FleetHandle,
    /// Log.
    pub log: Logger,
    /// Targets that are being probed.
    pub probed: Arc<Mutex<HashSet<TargetId>>>,
}

impl Prober {
    /// Puts a target into cooldown and probes it until it can be reached.
    pub fn start(&self, target: &Arc<TargetEntry>, why: &str) {
        let mut probed = self.probed.lock().unwrap_or_else(|e| e.into_inner());
        if !probed.insert(target.id.clone()) {
            return;
        }
        event!(self.log, events::TARGET_UNREACHABLE, "target" => target.id.as_str(), "why" => why);
        self.loads.record(&target.id, Outcome::Unreachable);
        self.loads.reach().record_failure(&target.pool, &target.id);
        self.update_reach(&target.pool);
        tokio::spawn(self.clone().probe(target.clone()));
    }

    async fn probe(self, target: Arc<TargetEntry>) {
        let id = &target.id;
        let is_back = loop {
            tokio::time::sleep(PROBE_INTERVAL).await;
            let entry = self.fleet.view().targets.get(id).cloned();
            let Some(entry) = entry else {
                break false;
            };
            if let Ok(conn) = Conn::open(&entry).await {
                self.loads.record_reachability(&entry.zone, true);
                self.pool.put(id.clone(), conn, None).await;
                break true;
            }
        };
        let mut probed = self.probed.lock().unwrap_or_else(|e| e.into_inner());
        probed.remove(id);
        self.loads.reach().record_success(&target.pool, id);
        if is_back {
            event!(self.log, events::TARGET_REACHABLE, "target" => id.as_str());
            self.loads.record(id, Outcome::Reachable);
        }
        drop(probed);
        self.update_reach(&target.pool);
    }

    /// Decides anew whether this box is cut off from a pool.
    fn update_reach(&self, pool: &PoolId) {
        let view = self.fleet.view();
        let of_pool = view.targets.values().filter(|entry| entry.pool == *pool);
        let listed = of_pool.map(|entry| &entry.id);
        let change = self.loads.reach().update(pool, listed, Instant::now());
        if let Some(change) = change {
            self.log_change(&change);
        }
    }

    fn log_change(&self, change: &ReachChange) {
        let (pool, unreachable, listed) = (change.pool.as_str(), change.unreachable, change.listed);
        match change.cut_off {
            true => event!(self.log, events::POOL_CUT_OFF, "pool" => pool,
                "unreachable" => unreachable, "listed" => listed),
            false => event!(self.log, events::POOL_REACHABLE, "pool" => pool,
                "unreachable" => unreachable, "listed" => listed),
        }
    }
}
