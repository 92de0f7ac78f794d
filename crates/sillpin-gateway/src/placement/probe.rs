//! Probes unreachable targets in the background.
//!
//! A connection attempt to a machine that is down takes a third of a second, so no request is used
//! for it: a target stays in cooldown until a probe has opened a connection.

use super::load::{Loads, Outcome};
use crate::fleet_state::FleetHandle;
use crate::pool::{Conn, ConnectionPool};
use sillpin_core::TargetId;
use sillpin_telemetry::{event, events};
use slog::Logger;
use std::collections::HashSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;

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
    pub fn start(&self, target: &TargetId, why: &str) {
        let mut probed = self.probed.lock().unwrap_or_else(|e| e.into_inner());
        if !probed.insert(target.clone()) {
            return;
        }
        event!(self.log, events::TARGET_UNREACHABLE, "target" => target.as_str(), "why" => why);
        self.loads.record(target, Outcome::Unreachable);
        tokio::spawn(self.clone().probe(target.clone()));
    }

    async fn probe(self, target: TargetId) {
        let is_back = loop {
            tokio::time::sleep(PROBE_INTERVAL).await;
            let entry = self.fleet.view().targets.get(&target).cloned();
            let Some(entry) = entry else {
                break false;
            };
            if let Ok(conn) = Conn::open(&entry).await {
                self.loads.record_reachability(&entry.zone, true);
                self.pool.put(target.clone(), conn, None).await;
                break true;
            }
        };
        let mut probed = self.probed.lock().unwrap_or_else(|e| e.into_inner());
        probed.remove(&target);
        if is_back {
            event!(self.log, events::TARGET_REACHABLE, "target" => target.as_str());
            self.loads.record(&target, Outcome::Reachable);
        }
    }
}
