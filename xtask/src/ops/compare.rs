//! Compares policies on the same workload. Each run uses a new fleet, the runs of the sides are
//! interleaved, and the medians of several runs are reported.

use super::demo::{ORGANISATIONS, driver_config};
use serde::Serialize;
use sillpin_bundle::Bundle;
use sillpin_load::driver::{self, RequestRecord};
use sillpin_load::lower_bound;
use sillpin_load::report::{Report, median, summarize};
use sillpin_load::workload::{Corpus, Kind, Plan, Trace};
use sillpin_policy::set::{KeepingKind, PlacementKind, PlacementPolicy};
use sillpin_testsuite::{Fleet, FleetShape};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::sync::watch;

/// Duration of one run's workload.
const LENGTH: Duration = Duration::from_secs(12);

/// Capacity of each engine's prefix cache in blocks, and number of engines.
const CACHE_BLOCKS: usize = 100;
const ENGINES: usize = 6;

/// One side of a comparison.
#[derive(Debug, Clone)]
pub struct Side {
    /// Name in the report.
    pub name: &'static str,
    /// How engines are chosen.
    pub placement: PlacementKind,
    /// Which blocks are saved in cache stores.
    pub keeping: KeepingKind,
    /// Requests per second.
    pub rate: f64,
    /// Weight of the time to compute blocks.
    pub recompute_weight: u16,
    /// Number of leading blocks that determine a prompt's homes.
    pub home_blocks: u8,
    /// Factor by which the largest organisation's requests are multiplied.
    pub noise_factor: usize,
}

/// A comparison of several sides on the same workload.
pub struct Scenario {
    /// Kind of the workload.
    pub kind: Kind,
    /// Sides that are compared.
    pub sides: Vec<Side>,
    /// Rate of the stores' links, in bytes per second.
    pub link_rate: u64,
}

/// Results of a side: medians of its runs, with the lowest and highest.
#[derive(Debug, Clone, Serialize)]
pub struct SideReport {
    /// Name of the side.
    pub name: &'static str,
    /// Number of runs.
    pub runs: usize,
    /// Share of requests that got a complete response.
    pub answered_share: Spread,
    /// Median time to first token, in milliseconds.
    pub ttft_p50_ms: Spread,
    /// 95th percentile of the time to first token, in milliseconds.
    pub ttft_p95_ms: Spread,
    /// 95th percentile of the time to first token of the urgent class, in milliseconds.
    pub urgent_p95_ms: Spread,
    /// 95th percentile of the time to first token of all organisations but the largest, in milliseconds.
    pub others_p95_ms: Spread,
    /// 95th percentile of the time to a refusal, in milliseconds.
    pub refusal_p95_ms: Spread,
    /// Share of all prompt tokens that were computed.
    pub computed_share: Spread,
    /// Share of all prompt tokens that must be computed with any cache.
    pub compulsory_share: f64,
    /// Share that must be computed with one optimal cache (Belady) of all engines' total capacity.
    pub belady_share: f64,
    /// Bytes fetched from stores.
    pub link_bytes: Spread,
    /// Number of requests lost, run twice or given another request's response, in all runs.
    pub bad: u64,
}

/// Median, lowest and highest value of several runs.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Spread {
    /// Median of the runs.
    pub median: f64,
    /// Lowest value.
    pub low: f64,
    /// Highest value.
    pub high: f64,
}

impl Spread {
    fn of(figures: Vec<f64>) -> Self {
        let low = figures.iter().copied().fold(f64::INFINITY, f64::min);
        let high = figures.iter().copied().fold(f64::NEG_INFINITY, f64::max);
        Self {
            median: median(figures),
            low,
            high,
        }
    }
}

struct Run {
    report: Report,
    others_p95_ms: f64,
    refusal_p95_ms: f64,
}

fn side(name: &'static str, placement: PlacementKind, rate: f64) -> Side {
    Side {
        name,
        placement,
        keeping: KeepingKind::Learnt,
        rate,
        recompute_weight: PlacementPolicy::default().recompute_weight,
        home_blocks: PlacementPolicy::default().home_blocks,
        noise_factor: 1,
    }
}

fn baselines(rate: f64) -> Vec<Side> {
    vec![
        side("ours", PlacementKind::Scored, rate),
        side("rendezvous", PlacementKind::Rendezvous, rate),
        side("least-loaded", PlacementKind::LeastLoaded, rate),
        side("round-robin", PlacementKind::RoundRobin, rate),
        Side {
            name: "least-loaded-keeping-nothing",
            keeping: KeepingKind::Nothing,
            ..side("", PlacementKind::LeastLoaded, rate)
        },
    ]
}

/// Returns the scenario with a name, or `None` if there is none.
pub fn scenario(name: &str) -> Option<Scenario> {
    const PLANNING_RATE: f64 = 26.0;
    const KERB_RATE: f64 = 60.0;
    const LINK: u64 = 50_000_000;
    let (kind, sides, link_rate) = match name {
        "planning" => (Kind::Planning, baselines(PLANNING_RATE), LINK),
        "kerb" => {
            let mut sides = baselines(KERB_RATE);
            sides.push(side("ours-idle", PlacementKind::Scored, KERB_RATE / 15.0));
            (Kind::Kerb, sides, LINK)
        }
        "overload" => {
            let sides = vec![
                side("at-1", PlacementKind::Scored, PLANNING_RATE),
                side("at-3", PlacementKind::Scored, 3.0 * PLANNING_RATE),
                side("at-6", PlacementKind::Scored, 6.0 * PLANNING_RATE),
            ];
            (Kind::Planning, sides, LINK)
        }
        "noisy-organisation" => {
            let quiet = side("quiet", PlacementKind::Scored, PLANNING_RATE);
            let noisy = Side {
                name: "noisy",
                noise_factor: 10,
                ..quiet.clone()
            };
            (Kind::Planning, vec![quiet, noisy], LINK)
        }
        "recompute-weight" => {
            let weights = [("weight-50", 50), ("weight-200", 200), ("weight-800", 800)];
            let sides = weights.map(|(name, recompute_weight)| Side {
                recompute_weight,
                ..side(name, PlacementKind::Scored, PLANNING_RATE)
            });
            (Kind::Planning, sides.into(), LINK)
        }
        "home-blocks" => {
            let depths = [("home-4", 4), ("home-12", 12), ("home-32", 32)];
            let sides = depths.map(|(name, home_blocks)| Side {
                home_blocks,
                ..side(name, PlacementKind::Scored, PLANNING_RATE)
            });
            (Kind::Planning, sides.into(), LINK)
        }
        "slow-links" => {
            let fetching = side("slow-link", PlacementKind::Scored, PLANNING_RATE);
            let computing = Side {
                name: "keep-nothing",
                keeping: KeepingKind::Nothing,
                ..fetching.clone()
            };
            (Kind::Planning, vec![fetching, computing], LINK / 100)
        }
        _ => return None,
    };
    Some(Scenario {
        kind,
        sides,
        link_rate,
    })
}

/// Runs the sides of a scenario alternately, `repeats` times each. Calls `report_progress` after each run.
pub async fn run(
    scenario: &Scenario,
    repeats: u64,
    report_progress: impl Fn(&str),
) -> Vec<SideReport> {
    let mut runs: BTreeMap<usize, Vec<Run>> = BTreeMap::new();
    for repeat in 0..repeats {
        for (number, side) in scenario.sides.iter().enumerate() {
            let run = run_once(scenario, side, repeat + 1).await;
            report_progress(&format!(
                "run {repeat} of {}: {}",
                side.name,
                run.report.text()
            ));
            runs.entry(number).or_default().push(run);
        }
    }
    let sides = scenario.sides.iter().enumerate();
    sides
        .map(|(number, side)| summary(side, &runs[&number]))
        .collect()
}

fn summary(side: &Side, runs: &[Run]) -> SideReport {
    let spread = |figure: fn(&Run) -> f64| Spread::of(runs.iter().map(figure).collect());
    let median_of = |figure: fn(&Run) -> f64| median(runs.iter().map(figure).collect());
    SideReport {
        name: side.name,
        runs: runs.len(),
        answered_share: spread(|r| r.report.answered as f64 / r.report.sent.max(1) as f64),
        ttft_p50_ms: spread(|r| r.report.ttft_p50_ms),
        ttft_p95_ms: spread(|r| r.report.ttft_p95_ms),
        urgent_p95_ms: spread(|r| r.report.urgent_p95_ms),
        others_p95_ms: spread(|r| r.others_p95_ms),
        refusal_p95_ms: spread(|r| r.refusal_p95_ms),
        computed_share: spread(|r| r.report.recomputed_share),
        compulsory_share: median_of(|r| r.report.compulsory_share),
        belady_share: median_of(|r| r.report.belady_share),
        link_bytes: spread(|r| r.report.link_bytes as f64),
        bad: runs
            .iter()
            .map(|r| r.report.lost + r.report.doubled + r.report.mixed)
            .sum(),
    }
}

fn shape(scenario: &Scenario) -> FleetShape {
    let cache = CACHE_BLOCKS.to_string();
    let link = scenario.link_rate.to_string();
    let args = [
        "--cache-blocks",
        &cache,
        "--block-ms",
        "16",
        "--step-ms",
        "6",
        "--max-batch",
        "32",
    ];
    FleetShape {
        zones: vec!["kariakoo", "msasani", "ubungo"],
        boxes: 1,
        engines: ENGINES / 3,
        services: 3,
        stores: 2,
        organisations: ORGANISATIONS.into(),
        engine_args: args.map(str::to_owned).into(),
        store_args: ["--link-rate", &link].map(str::to_owned).into(),
        link_rate: scenario.link_rate,
        keeper_settings: Vec::new(),
        ..FleetShape::default()
    }
}

fn bundle(fleet: &Fleet, side: &Side) -> Bundle {
    let mut bundle = fleet.bundle(side.name);
    bundle.control.placement.kind = side.placement;
    bundle.control.placement.recompute_weight = side.recompute_weight;
    bundle.control.placement.home_blocks = side.home_blocks;
    bundle.control.keeping.kind = side.keeping;
    bundle
}

fn trace(scenario: &Scenario, side: &Side, seed: u64) -> Trace {
    let plan = Plan {
        kind: scenario.kind,
        seed,
        organisations: ORGANISATIONS.map(str::to_owned).into(),
        rate: side.rate,
        length: LENGTH,
        prompts: 60,
    };
    let mut trace = Trace::make(&plan);
    let noisy: Vec<_> = trace
        .events
        .iter()
        .filter(|e| e.organisation == ORGANISATIONS[0])
        .cloned()
        .collect();
    for copy in 1..side.noise_factor {
        let delay_us = 37_000 * copy as u64;
        trace.events.extend(noisy.iter().cloned().map(|mut event| {
            event.at_us += delay_us;
            event
        }));
    }
    trace.events.sort_by_key(|event| event.at_us);
    trace
}

async fn run_once(scenario: &Scenario, side: &Side, seed: u64) -> Run {
    let fleet = Fleet::start(shape(scenario)).await;
    let accepted = fleet.accept(&bundle(&fleet, side)).await;
    for entry_box in &fleet.boxes {
        fleet.wait_revision(entry_box, accepted.revision).await;
        fleet.wait_ready(entry_box).await;
    }
    let trace = trace(scenario, side, seed);
    let corpus = Corpus::default();
    let lower_bound = lower_bound::of(&trace, &corpus, ENGINES * CACHE_BLOCKS);
    let callers = fleet.boxes.iter().map(|b| b.callers()).collect();
    let (_balancer, entries) = watch::channel(callers);
    let records = driver::run(&driver_config(entries), &trace, &corpus, |_| {}).await;
    let executions = fleet.all_executions().await;
    let others: Vec<RequestRecord> = records
        .iter()
        .filter(|r| r.organisation != ORGANISATIONS[0])
        .cloned()
        .collect();
    Run {
        report: summarize(&records, Some(&lower_bound), &executions),
        others_p95_ms: summarize(&others, None, &BTreeMap::new()).ttft_p95_ms,
        refusal_p95_ms: sillpin_load::report::refusal_times(&records).value_at_quantile(0.95)
            as f64
            / 1_000.0,
    }
}
