//! Measures the time of one complete placement decision, by number of engines.

#![allow(
    missing_docs,
    reason = "criterion's macro generates a function without documentation"
)]

#[path = "../tests/support/engine.rs"]
mod engine;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use sillpin_core::{PriorityClass, WeightVersion};
use sillpin_entry::placement::PlaceRequest;
use sillpin_entry::placement::placer::Placer;
use sillpin_entry::snapshot::Snapshot;
use sillpin_rpc::directory::BlockHints;
use sillpin_rpc::entry_link::{FleetUpdate, TargetView};
use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

fn view(number: u32) -> TargetView {
    let id = format!("engine-{number}");
    let zone = format!("zone-{}", number % 6);
    engine::view(&id, &zone, number % 8, u64::from(number % 5))
}

fn request(home: u64) -> PlaceRequest {
    PlaceRequest {
        org: "riders".parse().unwrap(),
        class: PriorityClass::Normal,
        pool: "llm".parse().unwrap(),
        version: WeightVersion(1),
        home,
        blocks: 20,
        hints: BlockHints {
            holders: vec![
                ("engine-3".parse().unwrap(), 8),
                ("engine-7".parse().unwrap(), 4),
            ],
            kept: Vec::new(),
        },
        excluded: Vec::new(),
        is_retry: false,
        policy: Arc::default(),
        deadline: Instant::now() + Duration::from_secs(600),
    }
}

fn decision(c: &mut Criterion) {
    let mut group = c.benchmark_group("decision");
    for count in [18, 100, 600] {
        let update = FleetUpdate {
            complete: true,
            targets: (0..count).map(view).collect(),
            ..FleetUpdate::default()
        };
        let mut placer = Placer::new("zone-0".parse().unwrap());
        placer.apply_snapshot(
            &Arc::new(Snapshot::default().with_update(update)),
            Instant::now(),
        );
        group.bench_with_input(BenchmarkId::from_parameter(count), &count, |b, _| {
            let mut req = request(0);
            b.iter(|| {
                req.home = req.home.wrapping_add(0x9e37_79b9_7f4a_7c15);
                black_box(placer.choose(&req, Instant::now()).is_some())
            });
        });
    }
    group.finish();
}

criterion_group!(benches, decision);
criterion_main!(benches);
