//! Time to apply one changed target entry, by the number of targets of the fleet.

#![allow(
    missing_docs,
    reason = "criterion's macro generates a function without documentation"
)]

#[path = "../tests/common/mod.rs"]
mod common;

use common::{TestKeys, name};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use sillpin_gateway::fleet_state::fleet::Fleet;
use sillpin_gateway::fleet_state::{FleetMsg, Reading, Source, Topic};
use sillpin_platform::{KvEntry, KvRevision, Snapshot, WatchReply};
use tokio::time::Instant;

/// Numbers of targets: a zone's worth of engines, the whole fleet, and twice that.
const TARGETS: [u64; 3] = [256, 10_000, 20_000];

fn read(fleet: &mut Fleet<TestKeys>, reading: Reading) {
    let now = Instant::now();
    let msg = FleetMsg::Read {
        topic: Topic::Targets,
        reading,
        requested_at: now,
        source: Source::Store,
    };
    fleet.handle(msg, now);
}

fn entry(number: u64, revision: u64, weights: u64) -> KvEntry {
    KvEntry {
        key: format!("target/i-{number}"),
        value: Some(format!("ready {weights}")),
        revision: KvRevision(revision),
    }
}

fn target_change(c: &mut Criterion) {
    let mut group = c.benchmark_group("target_change");
    for targets in TARGETS {
        let log = sillpin_telemetry::logs::discard();
        let mut fleet = Fleet::new(name("box-1"), TestKeys, log);
        let entries = (0..targets).map(|number| entry(number, 1, 1)).collect();
        let revision = KvRevision(1);
        read(
            &mut fleet,
            Reading::Complete(Snapshot { entries, revision }),
        );
        let mut revision = 1;
        group.bench_function(BenchmarkId::from_parameter(targets), |b| {
            b.iter(|| {
                revision += 1;
                // Readers hold the view that was published last.
                let view = fleet.view().clone();
                let changed = vec![entry(revision % targets, revision, revision)];
                let revision = KvRevision(revision);
                read(
                    &mut fleet,
                    Reading::Changes(WatchReply { changed, revision }),
                );
                view
            });
        });
    }
    group.finish();
}

criterion_group!(benches, target_change);
criterion_main!(benches);
