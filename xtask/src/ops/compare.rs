//! Policies compared on the same workload: each run on a fresh fleet, runs interleaved, medians of
//! several.

use super::demo::{ORGANISATIONS, drive_for};
use serde::Serialize;
use sillpin_bundle::Bundle;
use sillpin_load::driver::{self, Row};
use sillpin_load::lower_bound;
use sillpin_load::report::{Report, median, sum_up};
use sillpin_load::workload::{Corpus, Kind, Plan, Trace};
use sillpin_policy::set::{KeepingKind, PlacementKind, PlacementPolicy};
use sillpin_testsuite::{Fleet, FleetShape};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::sync::watch;

/// Length of one run's workload.
const LENGTH: Duration = Duration::from_secs(12);

/// Blocks that each engine caches, and engines.
const CACHE_BLOCKS: usize = 100;
const ENGINES: usize = 6;

/// One side of a comparison.
#[derive(Debug, Clone)]
pub struct Side {
    /// Its name.
    pub name: &'static str,
    /// How engines are chosen.
    pub placement: PlacementKind,
    /// What is kept.
    pub keeping: KeepingKind,
    /// Requests a second.
    pub rate: f64,
    /// Weight of recomputed work.
    pub recompute_weight: u16,
    /// Leading blocks that decide a prompt's homes.
    pub home_blocks: u8,
    /// Factor by which the largest organisation's part is multiplied.
    pub noise: usize,
}

/// A comparison.
pub struct Scenario {
    /// The workload.
    pub kind: Kind,
    /// Its sides.
    pub sides: Vec<Side>,
    /// Rate of the stores' links, in bytes a second.
    pub link_rate: u64,
}

/// Medians of a side, with the lowest and highest run.
#[derive(Debug, Clone, Serialize)]
pub struct SideReport {
    /// Its name.
    pub name: &'static str,
    /// Runs.
    pub runs: usize,
    /// Answered over sent.
    pub answered_share: Spread,
    /// Median time to first token, in milliseconds.
    pub ttft_p50_ms: Spread,
    /// 95th percentile of the time to first token, in milliseconds.
    pub ttft_p95_ms: Spread,
    /// The same of the urgent class.
    pub urgent_p95_ms: Spread,
    /// The same of all organisations but the largest.
    pub others_p95_ms: Spread,
    /// 95th percentile of the time to a refusal, in milliseconds.
    pub refusal_p95_ms: Spread,
    /// Tokens computed over tokens of all prompts.
    pub computed_share: Spread,
    /// Part of that which no cache could avoid.
    pub compulsory_share: f64,
    /// The same for a cache as large as all engines' that knows the future.
    pub belady_share: f64,
    /// Bytes fetched from stores.
    pub link_bytes: Spread,
    /// Requests lost, doubled or mixed in all runs.
    pub bad: u64,
}

/// Median, lowest and highest of some runs.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Spread {
    /// Median.
    pub median: f64,
    /// Lowest.
    pub low: f64,
    /// Highest.
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
        noise: 1,
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

/// The scenario of a name.
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
                noise: 10,
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

/// Runs a scenario `repeats` times, its sides in turn; `say` gets its progress.
pub async fn run(scenario: &Scenario, repeats: u64, say: impl Fn(&str)) -> Vec<SideReport> {
    let mut runs: BTreeMap<usize, Vec<Run>> = BTreeMap::new();
    for repeat in 0..repeats {
        for (number, side) in scenario.sides.iter().enumerate() {
            let run = run_once(scenario, side, repeat + 1).await;
            say(&format!(
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
    let floor = |figure: fn(&Run) -> f64| median(runs.iter().map(figure).collect());
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
        compulsory_share: floor(|r| r.report.compulsory_share),
        belady_share: floor(|r| r.report.belady_share),
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
    for copy in 1..side.noise {
        let late = 37_000 * copy as u64;
        trace.events.extend(noisy.iter().cloned().map(|mut event| {
            event.at_us += late;
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
    let floor = lower_bound::of(&trace, &corpus, ENGINES * CACHE_BLOCKS);
    let callers = fleet.boxes.iter().map(|b| b.callers()).collect();
    let (_balancer, entries) = watch::channel(callers);
    let rows = driver::run(&drive_for(entries), &trace, &corpus, |_| {}).await;
    let executions = fleet.all_executions().await;
    let others: Vec<Row> = rows
        .iter()
        .filter(|r| r.organisation != ORGANISATIONS[0])
        .cloned()
        .collect();
    Run {
        report: sum_up(&rows, Some(&floor), &executions),
        others_p95_ms: sum_up(&others, None, &BTreeMap::new()).ttft_p95_ms,
        refusal_p95_ms: sillpin_load::report::refusals(&rows).value_at_quantile(0.95) as f64
            / 1_000.0,
    }
}
