//! Tasks that log a box's traffic and drop state that is no longer needed.

use crate::dialect::Dialect;
use crate::front::Shared;
use crate::metrics::BoxMetrics;
use sillpin_core::BoxId;
use sillpin_platform::call::{CallCount, CallCounts, CallTotals};
use sillpin_telemetry::{event, events};
use slog::Logger;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::MissedTickBehavior;

/// Interval at which connections that have been idle for too long are closed.
const PRUNE_INTERVAL: Duration = Duration::from_secs(1);

/// Interval of the log lines about calls of the platform store and about traffic between boxes.
const TRAFFIC_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Logs periodically the number of calls of the platform store, which are charged for, and the traffic between boxes.
pub(super) async fn log_traffic(counts: CallCounts, metrics: BoxMetrics, log: Logger) {
    let mut every = tokio::time::interval(TRAFFIC_LOG_INTERVAL);
    every.tick().await;
    loop {
        every.tick().await;
        let of = |count: &CallCount| {
            let CallTotals { calls, bytes } = count.totals;
            format!("{} {}: {calls} ({bytes} bytes)", count.step, count.outcome)
        };
        let calls: Vec<String> = counts.all().iter().map(of).collect();
        event!(log, events::STORE_CALLS, "calls" => calls.join(", "));
        event!(log, events::PEER_TRAFFIC, "datagrams" => metrics.describe_peer_traffic());
    }
}

/// Drops connections to boxes that are no longer up, and what is known of them.
fn prune_boxes<D: Dialect>(shared: &Shared<D>) {
    let view = shared.fleet.view();
    let find = |id: &BoxId| view.boxes.iter().find(|entry| entry.id == *id);
    shared.box_connections.prune(find);
    shared.forward_boxes.retain(|id| find(id).is_some());
}

/// Drops state of targets that are no longer listed, and of earlier incarnations of those that are.
pub(super) async fn prune<D: Dialect>(shared: Arc<Shared<D>>) {
    let mut every = tokio::time::interval(PRUNE_INTERVAL);
    every.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut views = shared.fleet.subscribe();
    let mut known = Arc::default();
    loop {
        let due = tokio::select! {
            _ = every.tick() => true,
            Ok(()) = views.changed() => false,
        };
        let targets = views.borrow_and_update().targets.clone();
        if let Some(config) = &shared.fleet.view().config {
            shared.service_times.prune(config);
        }
        if due || !Arc::ptr_eq(&known, &targets) {
            shared
                .pool
                .prune(|id| targets.get(id).map(|entry| &**entry));
            shared.loads.retain_listed(&targets);
            known = targets;
            prune_boxes(&shared);
        }
    }
}
