//! Rounds of random faults on real processes: each round injects two faults while a workload runs, and
//! checks the guarantees from outside.
//!
//! The checkers use the responses that callers received and the counters of the stand-ins; only whether a
//! bundle is in force is read from the fleet's own status. With a mechanism disabled
//! (`sillpin_core::switches`), its checker must detect violations; the faults of each round are then those
//! against which the mechanism protects.

mod fault;
mod report;

use super::demo::{ORGANISATIONS, driver_config};
use fault::{FAULTS, Fault, faults_for};
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
pub use report::FaultReport;
use sillpin_core::switches::Mechanism;
use sillpin_core::{Outcome, Revision, TargetKind};
use sillpin_load::caller::CallResult;
use sillpin_load::driver::{self, RequestRecord};
use sillpin_load::workload::{Corpus, Event, Kind, Plan, Trace};
use sillpin_standin::engine::EngineFaults;
use sillpin_standin::fault::Faults as LinkFaults;
use sillpin_standin::platform::Faults as PlatformFaults;
use sillpin_standin::service::ServiceFaults;
use sillpin_standin::store::StoreFaults;
use sillpin_standin::weights::WeightCounters;
use sillpin_testsuite::{Fleet, FleetShape};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::watch;

/// Duration of a round's workload.
const ROUND_DURATION: Duration = Duration::from_millis(2_500);

/// Duration of a fault.
const FAULT_DURATION: Duration = Duration::from_millis(700);

/// Maximum number of polls of a box for an accepted bundle, 50 ms apart.
const MAX_POLLS: u32 = 100;

/// Runs `rounds` rounds with random faults, or with those for the disabled mechanism `off`. Calls
/// `report_progress` after each round.
pub async fn run(
    seed: u64,
    rounds: u32,
    off: Option<Mechanism>,
    report_progress: impl Fn(&str),
) -> FaultReport {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut report = FaultReport::default();
    for round in 0..rounds {
        let pair = off.map_or_else(|| [pick(&mut rng), pick(&mut rng)], faults_for);
        let round_seed = rng.random();
        Round::start(round_seed).await.run(pair, &mut report).await;
        report.rounds += 1;
        let violations = report.violations();
        report_progress(&format!(
            "round {round}: {} and {}; violations so far {violations}",
            pair[0], pair[1]
        ));
    }
    report
}

fn pick(rng: &mut ChaCha8Rng) -> Fault {
    FAULTS.choose(rng).copied().unwrap_or(Fault::PlatformOutage)
}

struct Round {
    fleet: Fleet,
    rng: ChaCha8Rng,
    balancer: watch::Sender<Vec<SocketAddr>>,
}

fn shape() -> FleetShape {
    let args = [
        "--cache-blocks",
        "40",
        "--block-ms",
        "4",
        "--step-ms",
        "4",
        "--gap-every",
        "10",
    ];
    FleetShape {
        zones: vec!["kariakoo", "msasani"],
        boxes: 2,
        engines: 3,
        services: 2,
        stores: 1,
        organisations: ORGANISATIONS.into(),
        engine_args: args.map(str::to_owned).into(),
        entry_settings: vec![
            "entry.drain-lag-ms=300",
            "limits.attempt-ms=600",
            "limits.silence-ms=900",
        ],
        proxies: true,
        ..FleetShape::default()
    }
}

impl Round {
    async fn start(seed: u64) -> Self {
        let fleet = Fleet::start(shape()).await;
        let callers = fleet.boxes.iter().map(|b| b.callers()).collect();
        Self {
            fleet,
            rng: ChaCha8Rng::seed_from_u64(seed),
            balancer: watch::Sender::new(callers),
        }
    }

    async fn run(mut self, pair: [Fault; 2], report: &mut FaultReport) {
        let trace = self.trace();
        let config = driver_config(self.balancer.subscribe());
        let config = driver::DriverConfig {
            timeout: Duration::from_secs(20),
            retry_unknown: true,
            ..config
        };
        let sending =
            tokio::spawn(
                async move { driver::run(&config, &trace, &Corpus::default(), |_| {}).await },
            );
        tokio::time::sleep(FAULT_DURATION / 2).await;
        let accepted = self
            .fleet
            .accept(&self.fleet.bundle("during"))
            .await
            .revision;
        for fault in pair {
            *report.injected.entry(fault.to_string()).or_default() += 1;
            self.inject(fault).await;
        }
        tokio::time::sleep(FAULT_DURATION).await;
        self.clear_faults().await;
        let records = sending.await.unwrap_or_default();
        self.check_responses(&records, report);
        self.check_calls(&records, report).await;
        self.check_bundle(accepted, report).await;
        self.check_loads(report).await;
    }

    fn trace(&mut self) -> Trace {
        let mut plan = |kind, rate, prompts| Plan {
            kind,
            seed: self.rng.random(),
            organisations: ORGANISATIONS.map(str::to_owned).into(),
            rate,
            length: ROUND_DURATION,
            prompts,
        };
        let mut events: Vec<Event> = Trace::make(&plan(Kind::Kerb, 25.0, 10)).events;
        events.extend(Trace::make(&plan(Kind::Planning, 8.0, 8)).events);
        events.sort_by_key(|event| event.at_us);
        Trace { events }
    }

    fn target(&mut self, kind: TargetKind) -> String {
        let of_kind = self.fleet.targets.values().filter(|t| t.entry.kind == kind);
        let names: Vec<String> = of_kind.map(|t| t.entry.id.to_string()).collect();
        names.choose(&mut self.rng).cloned().unwrap_or_default()
    }

    fn box_index(&mut self) -> usize {
        self.rng.random_range(0..self.fleet.boxes.len())
    }

    async fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::PlatformOutage | Fault::PlatformSlow | Fault::PlatformLosesResponses => {
                self.fleet.platform_faults(&platform_faults(fault)).await;
            }
            Fault::EngineKilled | Fault::EngineFrozen => {
                let name = self.target(TargetKind::Engine);
                let target = self
                    .fleet
                    .targets
                    .values_mut()
                    .find(|t| t.entry.id.as_str() == name);
                match target {
                    Some(target) if fault == Fault::EngineKilled => target.process.kill(),
                    Some(target) => target.process.pause(),
                    None => {}
                }
            }
            Fault::EngineCutsResponses | Fault::EngineLeaves | Fault::EngineMixesAttempts => {
                let faults = EngineFaults {
                    cut_at: (fault == Fault::EngineCutsResponses).then_some(3),
                    leaving: fault == Fault::EngineLeaves,
                    crossed: fault == Fault::EngineMixesAttempts,
                    ..EngineFaults::default()
                };
                let name = self.target(TargetKind::Engine);
                self.fleet.target_faults(&name, &faults).await;
            }
            Fault::ServiceBreaksResponses | Fault::ServiceSlow => {
                let faults = ServiceFaults {
                    break_answer: fault == Fault::ServiceBreaksResponses,
                    delay_ms: if fault == Fault::ServiceSlow {
                        2_000
                    } else {
                        0
                    },
                    ..ServiceFaults::default()
                };
                let name = self.target(TargetKind::Service);
                self.fleet.target_faults(&name, &faults).await;
            }
            Fault::EngineLinkCut => self.cut_link(TargetKind::Engine, true).await,
            Fault::ServiceRequestsLost => self.cut_link(TargetKind::Service, false).await,
            Fault::StoreCorruptsBlocks => {
                let faults = StoreFaults {
                    flip_bit: true,
                    careless: true,
                    ..StoreFaults::default()
                };
                self.fleet.target_faults("store-0", &faults).await;
            }
            Fault::KeeperFrozen => {
                let index = self.box_index();
                self.fleet.boxes[index].keeper.pause();
            }
            Fault::KeeperKilled => self.restart_keeper().await,
            Fault::EntryKilled | Fault::EntryStopped => self.stop_entry(fault).await,
            Fault::WeightsSwapped => {
                let bundle = self.fleet.bundle_with_version("swap", 2);
                let signed = self.fleet.sign(&bundle);
                let platform = self.fleet.platform_client();
                let _ = sillpin_cli::ops::bundle::accept(&platform, signed, "faults", None).await;
            }
        }
    }

    async fn cut_link(&mut self, kind: TargetKind, cut: bool) {
        let faults = LinkFaults {
            cut,
            lose_requests: !cut,
            ..LinkFaults::default()
        };
        let name = self.target(kind);
        self.fleet.proxy_faults(&name, &faults).await;
    }

    async fn restart_keeper(&mut self) {
        let index = self.box_index();
        let entry_box = &mut self.fleet.boxes[index];
        let (peer, entry) = (entry_box.peer(), entry_box.keeper.addr("entry"));
        let (id, zone) = (entry_box.id.clone(), entry_box.zone.to_string());
        entry_box.keeper.kill();
        let restarted =
            self.fleet
                .start_keeper_at(&id, &zone, &peer.to_string(), &entry.to_string());
        self.fleet.boxes[index].keeper = restarted;
    }

    /// Kills or terminates an entry; the balancer removes it 100 ms later.
    async fn stop_entry(&mut self, fault: Fault) {
        if self.fleet.boxes.len() < 3 {
            return;
        }
        let index = self.box_index();
        let entry = &mut self.fleet.boxes[index].entry;
        let stopped_addr = entry.addr("callers");
        if fault == Fault::EntryKilled {
            entry.kill();
        } else {
            entry.terminate();
        }
        let balancer = self.balancer.clone();
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(100)).await;
            balancer.send_modify(|entries| entries.retain(|entry| *entry != stopped_addr));
        });
    }

    async fn clear_faults(&mut self) {
        self.fleet.platform_faults(&PlatformFaults::default()).await;
        for entry_box in &self.fleet.boxes {
            entry_box.keeper.resume();
        }
        let names: Vec<(String, TargetKind)> = self
            .fleet
            .targets
            .values()
            .map(|t| (t.entry.id.to_string(), t.entry.kind))
            .collect();
        for (name, kind) in names {
            self.fleet.target(&name).process.resume();
            self.fleet.proxy_faults(&name, &LinkFaults::default()).await;
            match kind {
                TargetKind::Engine => {
                    self.fleet
                        .target_faults(&name, &EngineFaults::default())
                        .await
                }
                TargetKind::Service => {
                    self.fleet
                        .target_faults(&name, &ServiceFaults::default())
                        .await
                }
                TargetKind::Store => {
                    self.fleet
                        .target_faults(&name, &StoreFaults::default())
                        .await
                }
                TargetKind::Weights => {}
            }
        }
    }

    fn check_responses(&self, records: &[RequestRecord], report: &mut FaultReport) {
        let is_wrong =
            |r: &&RequestRecord| matches!(r.result, CallResult::Lost(_) | CallResult::Mixed(_));
        let wrong: Vec<&RequestRecord> = records.iter().filter(is_wrong).collect();
        for record in &wrong {
            eprintln!("lost, or the response to another request: {record:?}");
        }
        report.whole_own_answer.count(records.len(), wrong.len());
        let repeatable = || records.iter().filter(|record| record.once_key.is_none());
        let incomplete = repeatable().filter(|record| !record.result.is_answered());
        report
            .repeatable
            .count(repeatable().count(), incomplete.count());
        let unknown = records
            .iter()
            .filter(|record| record.result.outcome() == Some(Outcome::Unknown));
        report.unknown += unknown.count() as u64;
    }

    async fn check_calls(&self, records: &[RequestRecord], report: &mut FaultReport) {
        let executions = self.fleet.all_executions().await;
        let calls: Vec<&RequestRecord> = records
            .iter()
            .filter(|record| record.once_key.is_some())
            .collect();
        let count = |record: &RequestRecord| {
            let key = record.once_key.as_ref();
            key.and_then(|key| executions.get(key))
                .copied()
                .unwrap_or(0)
        };
        let twice = calls.iter().filter(|record| count(record) > 1).count();
        report.at_most_once.count(calls.len(), twice);
        let not_run: Vec<&&RequestRecord> =
            calls.iter().filter(|record| record.is_not_run()).collect();
        let ran_anyway = not_run.iter().filter(|record| count(record) > 0).count();
        report.not_run_is_true.count(not_run.len(), ran_anyway);
    }

    async fn check_bundle(&self, accepted: Revision, report: &mut FaultReport) {
        for entry_box in &self.fleet.boxes {
            let mut in_force = false;
            for _ in 0..MAX_POLLS {
                let status = self.fleet.status(entry_box).await;
                in_force = status.is_some_and(|status| status.revision >= accepted);
                if in_force {
                    break;
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
            report.bundle_in_force.count(1, usize::from(!in_force));
        }
    }

    async fn check_loads(&self, report: &mut FaultReport) {
        let addr = self.fleet.target("weights-0").process.addr("weights");
        let counted: Option<WeightCounters> =
            self.fleet.admin(addr, "/admin/counters", None::<&()>).await;
        let too_many = counted.is_none_or(|counted| counted.most_at_once > 3);
        report.loads_at_once.count(1, usize::from(too_many));
    }
}

fn platform_faults(fault: Fault) -> PlatformFaults {
    PlatformFaults {
        outage: fault == Fault::PlatformOutage,
        delay_ms: if fault == Fault::PlatformSlow { 400 } else { 0 },
        lose_answers: if fault == Fault::PlatformLosesResponses {
            5
        } else {
            0
        },
        ..PlatformFaults::default()
    }
}
