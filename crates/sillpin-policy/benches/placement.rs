//! Time of one placement decision, by number of engines.

#![allow(
    missing_docs,
    reason = "the macro of the library writes a function without"
)]

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use sillpin_policy::placement::{Candidate, HeldBlocks, Request, StoredBlocks, rank};
use sillpin_policy::rendezvous::CandidateHash;
use sillpin_policy::set::PlacementPolicy;
use std::hint::black_box;
use std::time::Duration;

fn candidates(count: u64) -> Vec<Candidate> {
    let candidate = |number: u64| Candidate {
        hash: CandidateHash::of(&format!("engine-{number}")),
        wait: Duration::from_millis(number % 50),
        block_time: Duration::from_millis(20),
        distance: Duration::ZERO,
    };
    (0..count).map(candidate).collect()
}

fn placement(c: &mut Criterion) {
    let policy = PlacementPolicy::default();
    let mut rng = SmallRng::seed_from_u64(1);
    let mut group = c.benchmark_group("placement");
    for count in [18, 100, 600] {
        let candidates = candidates(count);
        let holders = [(3, HeldBlocks { blocks: 8 }), (7, HeldBlocks { blocks: 4 })];
        group.bench_with_input(BenchmarkId::from_parameter(count), &count, |b, _| {
            let mut home = 0u64;
            b.iter(|| {
                home = home.wrapping_add(0x9e37_79b9_7f4a_7c15);
                let req = Request {
                    home,
                    blocks: 20,
                    holders: &holders,
                    kept: StoredBlocks::default(),
                    turn: 0,
                };
                black_box(rank(&policy, &candidates, &req, &mut rng))
            });
        });
    }
    group.finish();
}

criterion_group!(benches, placement);
criterion_main!(benches);
