//! Looks in the background whether targets that could not be reached are back.
//!
//! A try at a machine without power costs a request a third of a second, so no request is used for it:
//! a target stays passed over until a connection to it has been opened.

use super::load::{Loads, Outcome};
use crate::beliefs::FleetHandle;
use crate::pool::{Conn, ConnectionPool};
use sillpin_core::TargetId;
use sillpin_telemetry::{event, events};
use slog::Logger;
use std::collections::HashSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Time between two tries, beside the time that a try takes.
const TRY_EVERY: Duration = Duration::from_millis(400);

/// Probes targets; clones share what is being probed.
#[derive(Clone)]
pub struct Prober {
    /// Loads of targets.
    pub loads: Loads,
    /// Connections to targets.
    pub pool: ConnectionPool,
    /// What is known of the fleet.
    pub fleet: FleetHandle,
    /// Log.
    pub log: Logger,
    /// Targets that are being probed.
    pub probed: Arc<Mutex<HashSet<TargetId>>>,
}

impl Prober {
    /// Passes a target over until it can be reached.
    pub fn start(&self, target: &TargetId, why: &str) {
        let mut probed = self.probed.lock().unwrap_or_else(|e| e.into_inner());
        if !probed.insert(target.clone()) {
            return;
        }
        event!(self.log, events::TARGET_UNREACHABLE, "target" => target.as_str(), "why" => why);
        self.loads.note(target, Outcome::Unreachable);
        tokio::spawn(self.clone().probe(target.clone()));
    }

    async fn probe(self, target: TargetId) {
        let back = loop {
            tokio::time::sleep(TRY_EVERY).await;
            let entry = self.fleet.view().targets.get(&target).cloned();
            let Some(entry) = entry else {
                break false;
            };
            if let Ok(conn) = Conn::open(&entry).await {
                self.loads.note_reach(&entry.zone, true);
                self.pool.put(target.clone(), conn, None).await;
                break true;
            }
        };
        let mut probed = self.probed.lock().unwrap_or_else(|e| e.into_inner());
        probed.remove(&target);
        if back {
            event!(self.log, events::TARGET_REACHABLE, "target" => target.as_str());
            self.loads.note(&target, Outcome::Reachable);
        }
    }
}
