//! Measures the keepers at scale: many real keepers on loopback, the platform's stand-in with its
//! default rates, and targets that share a few addresses.

use super::procfs::{cpu_time, loopback_bytes, memory};
use serde::Serialize;
use sillpin_core::target::{BoxEntry, BoxList, Presence, TargetEntry, TargetKind};
use sillpin_core::{Revision, ZoneId};
use sillpin_standin::platform::Counters;
use sillpin_testsuite::fleet::{ENGINE_POOL, MODEL};
use sillpin_testsuite::{Fleet, FleetShape, Process};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Availability zones of the keepers and engines.
const ZONES: [&str; 6] = ["zone-a", "zone-b", "zone-c", "zone-d", "zone-e", "zone-f"];

/// Number of engines in the box list per keeper: 600 for 380.
const ENGINES_PER_KEEPER: f64 = 600.0 / 380.0;

/// Time for the keepers to discover each other, and duration of the measurement.
const SETTLE: Duration = Duration::from_secs(15);
const SPAN: Duration = Duration::from_secs(10);

/// Maximum wait for a revision to be in force.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Cost of the keepers at one fleet size.
#[derive(Debug, Clone, Serialize)]
pub struct ControlCost {
    /// Number of keepers.
    pub keepers: usize,
    /// Number of engines in the box list.
    pub engines: usize,
    /// Time from acceptance until every keeper has the revision, in milliseconds.
    pub in_force_ms: u64,
    /// The same time while a third of the keepers restart.
    pub in_force_restarts_ms: u64,
    /// Mean processor usage of a keeper, in percent of a core.
    pub cpu_percent: f64,
    /// Largest resident memory of a keeper, in megabytes.
    pub memory_mb: f64,
    /// Bytes per second over the loopback interface, per keeper: everything that keepers, targets and the
    /// platform send.
    pub bytes_per_sec: f64,
    /// Writes to the platform per second.
    pub platform_writes: f64,
    /// Reads from the platform per second.
    pub platform_reads: f64,
    /// Watches started per second.
    pub platform_watches: f64,
    /// Maximum number of calls to the platform within one second, the start included.
    pub platform_busiest_second: u64,
}

struct Keeper {
    id: String,
    zone: &'static str,
    process: Process,
}

/// Starts `count` keepers and measures their cost.
pub async fn measure(count: usize) -> ControlCost {
    let mut fleet = Fleet::start_without_bundle(FleetShape {
        zones: vec!["zone-a"],
        boxes: 0,
        engines: 6,
        services: 0,
        stores: 1,
        keeper_settings: Vec::new(),
        ..FleetShape::default()
    })
    .await;
    let mut keepers: Vec<Keeper> = (0..count).map(|number| start(&fleet, number)).collect();
    fleet.accept(&fleet.bundle("first")).await;
    let engines = (count as f64 * ENGINES_PER_KEEPER).round() as usize;
    fleet
        .publish_list(&box_list(&fleet, &keepers, engines))
        .await;
    tokio::time::sleep(SETTLE).await;
    let mut cost = measure_idle(&fleet, &keepers, engines).await;
    cost.in_force_ms = accept_and_wait(&fleet, &keepers).await.as_millis() as u64;
    cost.in_force_restarts_ms = accept_during_restarts(&mut fleet, &mut keepers, engines).await;
    cost.platform_busiest_second = counters(&fleet).await.busiest_second;
    cost
}

fn start(fleet: &Fleet, number: usize) -> Keeper {
    let zone = ZONES[number % ZONES.len()];
    let id = format!("{zone}-{number}");
    let process = fleet.start_keeper(&id, zone, "127.0.0.1:0");
    Keeper { id, zone, process }
}

/// Returns the box list: all keepers, and engines that share the addresses of the few real ones.
fn box_list(fleet: &Fleet, keepers: &[Keeper], engines: usize) -> BoxList {
    let boxes = keepers.iter().map(|keeper| BoxEntry {
        id: keeper.id.parse().expect("valid"),
        zone: keeper.zone.parse().expect("valid"),
        peer_addr: keeper.process.addr("peer"),
        presence: Presence::Live,
    });
    let real = fleet
        .targets
        .values()
        .filter(|t| t.entry.kind == TargetKind::Engine);
    let addrs: Vec<_> = real.map(|t| t.entry.addr).collect();
    let targets = (0..engines).map(|number| TargetEntry {
        id: format!("engine-{number}").parse().expect("valid"),
        kind: TargetKind::Engine,
        pool: ENGINE_POOL.parse().expect("valid"),
        zone: zone_of(number),
        addr: addrs[number % addrs.len()],
        presence: Presence::Live,
        model: MODEL.parse().ok(),
        link_rate: None,
    });
    BoxList {
        boxes: boxes.collect(),
        targets: targets.collect(),
    }
}

fn zone_of(number: usize) -> ZoneId {
    ZONES[number % ZONES.len()].parse().expect("valid")
}

async fn counters(fleet: &Fleet) -> Counters {
    let platform = fleet.platform.addr("platform");
    let counted = fleet.admin(platform, "/admin/counters", None::<&()>).await;
    counted.unwrap_or_default()
}

async fn measure_idle(fleet: &Fleet, keepers: &[Keeper], engines: usize) -> ControlCost {
    let ids: Vec<u32> = keepers.iter().map(|k| k.process.id()).collect();
    let cpu = || ids.iter().map(|id| cpu_time(*id)).sum::<Duration>();
    let (cpu_before, bytes_before) = (cpu(), loopback_bytes());
    let before = counters(fleet).await;
    let begun = Instant::now();
    tokio::time::sleep(SPAN).await;
    let span = begun.elapsed().as_secs_f64();
    let after = counters(fleet).await;
    let per_keeper = |total: f64| total / span / keepers.len() as f64;
    let rate = |after: u64, before: u64| (after - before) as f64 / span;
    let largest = ids.iter().map(|id| memory(*id)).max().unwrap_or(0);
    ControlCost {
        keepers: keepers.len(),
        engines,
        in_force_ms: 0,
        in_force_restarts_ms: 0,
        cpu_percent: 100.0 * per_keeper((cpu() - cpu_before).as_secs_f64()),
        memory_mb: largest as f64 / 1e6,
        bytes_per_sec: per_keeper((loopback_bytes() - bytes_before) as f64),
        platform_writes: rate(after.writes, before.writes),
        platform_reads: rate(after.reads, before.reads),
        platform_watches: rate(after.watches, before.watches),
        platform_busiest_second: 0,
    }
}

/// Accepts a bundle and returns the time until all keepers have it, at most [`TIMEOUT`].
async fn accept_and_wait(fleet: &Fleet, keepers: &[Keeper]) -> Duration {
    let begun = Instant::now();
    let accepted = fleet.accept(&fleet.bundle("next")).await.revision;
    let mut waits = JoinSet::new();
    for keeper in keepers {
        waits.spawn(wait_for(keeper.process.addr("peer"), accepted, begun));
    }
    waits.join_all().await.into_iter().max().unwrap_or_default()
}

/// Polls the status of a keeper every 100 ms until it has a revision. Returns the time since `begun`, or
/// [`TIMEOUT`].
async fn wait_for(peer: std::net::SocketAddr, revision: Revision, begun: Instant) -> Duration {
    while begun.elapsed() < TIMEOUT {
        let status = sillpin_cli::ops::fleet::status(peer).await;
        if status.is_ok_and(|status| status.revision >= revision) {
            return begun.elapsed();
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    TIMEOUT
}

/// Kills and restarts a third of the keepers, then immediately accepts a bundle. Returns the time until all
/// keepers have it, in milliseconds.
async fn accept_during_restarts(fleet: &mut Fleet, keepers: &mut [Keeper], engines: usize) -> u64 {
    let third = keepers.len() / 3;
    for keeper in &mut keepers[..third] {
        keeper.process.kill();
    }
    for keeper in &mut keepers[..third] {
        keeper.process = fleet.start_keeper(&keeper.id, keeper.zone, "127.0.0.1:0");
    }
    fleet.publish_list(&box_list(fleet, keepers, engines)).await;
    accept_and_wait(fleet, keepers).await.as_millis() as u64
}
