//! Runs a complete fleet under a workload. Meanwhile a bundle is accepted, and an engine and a box are
//! killed. Results are counted from outside.

use super::overhead::{self, Measurement, Overhead};
use sillpin_core::TargetKind;
use sillpin_load::driver::{self, DriverConfig, RequestRecord};
use sillpin_load::lower_bound;
use sillpin_load::report::{Report, summarize};
use sillpin_load::workload::{Corpus, Event, Kind, Plan, Trace};
use sillpin_testsuite::fleet::{MODEL, SERVICE_POOL, api_key};
use sillpin_testsuite::wait::until;
use sillpin_testsuite::{Fleet, FleetShape};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Organisations, by descending number of requests.
pub const ORGANISATIONS: [&str; 10] = [
    "head-office",
    "city-plans",
    "riders",
    "mechanics",
    "west-depot",
    "east-depot",
    "old-town",
    "harbour",
    "uplands",
    "airport",
];

/// Duration of the workload.
const LENGTH: Duration = Duration::from_secs(30);

/// Capacity of each engine's prefix cache, in blocks.
const CACHE_BLOCKS: usize = 60;

/// Results of the demo.
#[derive(Debug, Clone, serde::Serialize)]
pub struct DemoReport {
    /// Results of the workload.
    #[serde(flatten)]
    pub report: Report,
    /// Time from acceptance until the bundle is in force on every box, in milliseconds.
    pub bundle_in_force_ms: u64,
    /// Median latency that an entry adds to a call, in microseconds.
    pub entry_overhead_p50_us: i64,
    /// 99th percentile of the latency that an entry adds to a call, in microseconds.
    pub entry_overhead_p99_us: i64,
}

impl DemoReport {
    /// Returns whether requests were lost, run twice or given another request's response.
    pub fn is_bad(&self) -> bool {
        self.report.lost + self.report.doubled + self.report.mixed > 0
    }

    /// Formats the report as readable text.
    pub fn text(&self) -> String {
        format!(
            "{}bundle in force everywhere after {} ms\nan entry adds {} us (median), {} us (99th percentile)\n",
            self.report.text(),
            self.bundle_in_force_ms,
            self.entry_overhead_p50_us,
            self.entry_overhead_p99_us,
        )
    }
}

/// Returns the shape of the demo's fleet.
pub fn shape() -> FleetShape {
    let cache = CACHE_BLOCKS.to_string();
    let args = [
        "--cache-blocks",
        &cache,
        "--block-ms",
        "8",
        "--step-ms",
        "6",
        "--gap-every",
        "50",
    ];
    FleetShape {
        zones: vec!["kariakoo", "msasani", "ubungo"],
        boxes: 3,
        engines: 6,
        services: 3,
        stores: 2,
        organisations: ORGANISATIONS.into(),
        engine_args: args.map(str::to_owned).into(),
        entry_settings: vec!["entry.drain-lag-ms=500"],
        keeper_settings: vec!["keeper.gossip-ms=500"],
        ..FleetShape::default()
    }
}

/// Returns the demo's workload: the workloads of both users, merged.
pub fn trace(length: Duration) -> Trace {
    let plan = |kind, seed, rate, prompts| Plan {
        kind,
        seed,
        organisations: ORGANISATIONS.map(str::to_owned).into(),
        rate,
        length,
        prompts,
    };
    let mut events: Vec<Event> = Trace::make(&plan(Kind::Planning, 11, 22.0, 110)).events;
    events.extend(Trace::make(&plan(Kind::Kerb, 12, 22.0, 90)).events);
    events.sort_by_key(|event| event.at_us);
    Trace { events }
}

/// Runs the demo with prompts built from `documents`; `report_progress` is called with each step.
pub async fn run(documents: Vec<String>, report_progress: impl Fn(&str)) -> DemoReport {
    report_progress(
        "starting 3 zones with 3 entry boxes each, 18 engines, 3 services, 2 stores, the platform",
    );
    let mut fleet = Fleet::start(shape()).await;
    report_progress("measuring the latency that an entry adds");
    let overhead = measure_overhead(&fleet).await;
    let trace = trace(LENGTH);
    let corpus = Corpus::of(documents);
    let lower_bound = lower_bound::of(&trace, &corpus, 18 * CACHE_BLOCKS);
    let callers: Vec<SocketAddr> = fleet.boxes.iter().map(|b| b.callers()).collect();
    let (balancer, entries) = watch::channel(callers);
    let config = driver_config(entries);
    let ended = AtomicUsize::new(0);
    let sending = driver::run(&config, &trace, &corpus, |count| {
        ended.store(count, Ordering::Relaxed)
    });
    let events = inject_events(&mut fleet, &balancer, &report_progress, &ended);
    let (records, bundle_in_force): (Vec<RequestRecord>, Duration) = tokio::join!(sending, events);
    let executions = fleet.all_executions().await;
    DemoReport {
        report: summarize(&records, Some(&lower_bound), &executions),
        bundle_in_force_ms: bundle_in_force.as_millis() as u64,
        entry_overhead_p50_us: overhead.p50_us,
        entry_overhead_p99_us: overhead.p99_us,
    }
}

/// Returns how a workload is sent to the fleet's `entries`.
pub fn driver_config(entries: watch::Receiver<Vec<SocketAddr>>) -> DriverConfig {
    let keys = ORGANISATIONS.map(|org| (org.to_owned(), api_key(org)));
    DriverConfig {
        entries,
        keys: keys.into(),
        model: MODEL.to_owned(),
        service_pool: SERVICE_POOL.to_owned(),
        timeout: Duration::from_secs(60),
        retry_unknown: false,
    }
}

async fn measure_overhead(fleet: &Fleet) -> Overhead {
    let engines = fleet
        .targets
        .values()
        .filter(|t| t.entry.kind == TargetKind::Engine);
    let measurement = Measurement {
        entry: fleet.boxes[0].callers(),
        key: api_key(ORGANISATIONS[0]),
        engines: engines.map(|t| t.entry.addr).collect(),
        rate: 200,
        calls: 1_000,
    };
    overhead::measure(&measurement).await
}

/// Accepts a bundle, then kills an engine, then a box, while the workload is sent. Returns the time until
/// the bundle was in force.
async fn inject_events(
    fleet: &mut Fleet,
    balancer: &watch::Sender<Vec<SocketAddr>>,
    report_progress: &impl Fn(&str),
    ended: &AtomicUsize,
) -> Duration {
    tokio::time::sleep(LENGTH / 3).await;
    let in_force = accept_and_wait(fleet).await;
    report_progress(&format!("bundle in force everywhere after {in_force:?}"));
    tokio::time::sleep(LENGTH / 6).await;
    let engine = "engine-msasani-0".parse().expect("valid");
    fleet
        .targets
        .get_mut(&engine)
        .expect("started")
        .process
        .kill();
    report_progress(&format!(
        "killed an engine; {} requests have ended",
        ended.load(Ordering::Relaxed)
    ));
    tokio::time::sleep(LENGTH / 6).await;
    let killed = fleet.boxes.last_mut().expect("started");
    killed.entry.kill();
    killed.keeper.kill();
    let killed_addr = killed.callers();
    report_progress(&format!(
        "killed an entry box; {} requests have ended",
        ended.load(Ordering::Relaxed)
    ));
    tokio::time::sleep(Duration::from_secs(1)).await;
    balancer.send_modify(|entries| entries.retain(|entry| *entry != killed_addr));
    in_force
}

/// Accepts a bundle and returns the time until it is in force on every box.
pub async fn accept_and_wait(fleet: &Fleet) -> Duration {
    let begun = Instant::now();
    let accepted = fleet.accept(&fleet.bundle("second")).await;
    until("the bundle to be in force", || async {
        for entry_box in &fleet.boxes {
            let status = fleet.status(entry_box).await?;
            if status.revision < accepted.revision {
                return None;
            }
        }
        Some(())
    })
    .await;
    begun.elapsed()
}
