//! Measures the cost of the keepers while the fleet gets no requests.

use super::procfs::{cpu_time, loopback_bytes, memory};
use serde::Serialize;
use sillpin_testsuite::{Fleet, FleetShape};
use std::time::Duration;

/// Duration of the measurement.
const SPAN: Duration = Duration::from_secs(20);

/// Time before the measurement in which the fleet finishes its start.
const SETTLE: Duration = Duration::from_secs(5);

/// Cost of an idle keeper.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct IdleCost {
    /// Number of boxes.
    pub boxes: usize,
    /// Mean processor usage of a keeper, in percent of a core.
    pub cpu_percent: f64,
    /// Largest resident memory of a keeper, in megabytes.
    pub memory_mb: f64,
    /// Bytes per second over the loopback interface, per box: everything that keepers, entries,
    /// targets and the platform send.
    pub bytes_per_sec: f64,
}

/// Starts nine boxes with default settings and measures their keepers without load.
pub async fn measure() -> IdleCost {
    let fleet = Fleet::start(FleetShape {
        zones: vec!["kariakoo", "msasani", "ubungo"],
        boxes: 3,
        engines: 6,
        services: 3,
        stores: 2,
        keeper_settings: Vec::new(),
        entry_settings: Vec::new(),
        ..FleetShape::default()
    })
    .await;
    tokio::time::sleep(SETTLE).await;
    let keepers: Vec<u32> = fleet.boxes.iter().map(|b| b.keeper.id()).collect();
    let cpu = |ids: &[u32]| ids.iter().map(|id| cpu_time(*id)).sum::<Duration>();
    let (cpu_before, bytes_before) = (cpu(&keepers), loopback_bytes());
    tokio::time::sleep(SPAN).await;
    let used = cpu(&keepers) - cpu_before;
    let sent = loopback_bytes() - bytes_before;
    let boxes = keepers.len();
    let largest = keepers.iter().map(|id| memory(*id)).max().unwrap_or(0);
    let per_box = |total: f64| total / boxes as f64 / SPAN.as_secs_f64();
    IdleCost {
        boxes,
        cpu_percent: 100.0 * per_box(used.as_secs_f64()),
        memory_mb: largest as f64 / 1e6,
        bytes_per_sec: per_box(sent as f64),
    }
}
