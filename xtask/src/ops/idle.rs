//! What the control side costs while nothing is asked.

use super::procfs::{cpu_time, loopback_bytes, memory};
use serde::Serialize;
use sillpin_testsuite::{Fleet, FleetShape};
use std::time::Duration;

/// Time measured over.
const SPAN: Duration = Duration::from_secs(20);

/// Time before, for the start to be over.
const SETTLE: Duration = Duration::from_secs(5);

/// Cost of a keeper.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct IdleCost {
    /// Boxes.
    pub boxes: usize,
    /// Mean share of a core, in percent.
    pub cpu_percent: f64,
    /// Largest resident memory, in megabytes.
    pub memory_mb: f64,
    /// Bytes a second over the loopback link for each box: all that keepers, entries, targets and
    /// the platform send.
    pub bytes_per_sec: f64,
}

/// Starts nine boxes with the settings' defaults and measures them idle.
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
