//! How many connections of callers a box holds.
//!
//! The platform may hand a box the new connections of a whole zone, many times what it usually gets. Connections beyond what its
//! memory and descriptors bear are closed unread, so that their callers try other boxes. A box that cannot keep up with them says
//! that it is not ready until it can.

use crate::front::crowding::{Crowding, Sample};
use crate::metrics::observe_connections;
use crate::tasks::{Need, Tasks};
use opentelemetry::metrics::Meter;
use sillpin_http::Connections;
use sillpin_telemetry::{event, events};
use slog::Logger;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::runtime::Handle;
use tokio::time::Instant;

/// Callers' connections may take one part in `MEMORY_SHARE` of the process's memory, in bytes.
const MEMORY_SHARE: u64 = 4;

/// Memory of a connection that has a request, in bytes.
const MEMORY_PER_CONNECTION: u64 = 32 << 10;

/// Callers' connections may take one part in `DESCRIPTOR_SHARE` of the process's descriptors: each request needs others, to a target
/// and sometimes to another box.
const DESCRIPTOR_SHARE: usize = 4;

/// Interval at which closed connections are logged.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which a box judges whether it is crowded.
const CROWDING_INTERVAL: Duration = Duration::from_millis(100);

/// Creates the bound on callers' connections of a process with so much memory, in bytes, and so many descriptors.
pub(super) fn bound(memory: u64, descriptors: usize) -> Connections {
    let by_memory = memory / MEMORY_SHARE / MEMORY_PER_CONNECTION;
    let by_memory = usize::try_from(by_memory).unwrap_or(usize::MAX);
    Connections::new(by_memory.min(descriptors / DESCRIPTOR_SHARE).max(1))
}

/// Counts callers' connections, and logs when some are closed for want of room.
pub(super) fn watch(connections: &Connections, meter: &Meter, log: Logger, tasks: &Tasks) {
    observe_connections(meter, connections.clone());
    let connections = connections.clone();
    tasks.restart("log of connections", Need::Upkeep, move || {
        log_closed(connections.clone(), log.clone())
    });
}

async fn log_closed(connections: Connections, log: Logger) {
    let (mut refused, mut replaced) = (0, 0);
    loop {
        tokio::time::sleep(LOG_INTERVAL).await;
        let now = (connections.refused(), connections.replaced());
        if now != (refused, replaced) {
            event!(log, events::CONNECTIONS_CLOSED, "open" => connections.open(),
                "refused" => now.0 - refused, "replaced" => now.1 - replaced);
            (refused, replaced) = now;
        }
    }
}

/// Judges whether the box is crowded, and sets `is_crowded`.
pub(super) fn watch_crowding(
    connections: &Connections,
    is_crowded: Arc<AtomicBool>,
    log: Logger,
    tasks: &Tasks,
) {
    let connections = connections.clone();
    tasks.restart("crowding", Need::Upkeep, move || {
        judge_crowding(connections.clone(), is_crowded.clone(), log.clone())
    });
}

async fn judge_crowding(connections: Connections, is_crowded: Arc<AtomicBool>, log: Logger) {
    let runtime = Handle::current().metrics();
    let mut crowding = Crowding::default();
    loop {
        tokio::time::sleep(CROWDING_INTERVAL).await;
        let sample = Sample {
            at: Instant::now(),
            opened: connections.opened(),
            busy: runtime.worker_total_busy_duration(0),
        };
        let crowded = crowding.update(sample);
        if crowded != is_crowded.swap(crowded, Ordering::Relaxed) {
            event!(log, events::CROWDED, "crowded" => crowded, "open" => connections.open(),
                "usual_per_s" => crowding.usual());
        }
    }
}
