//! Measures one decision of a box: planning the parts of a prompt and selecting an engine.

#![allow(
    missing_docs,
    reason = "criterion's macro generates a function without documentation"
)]

#[path = "../tests/common/mod.rs"]
mod common;

use common::{anywhere, engine, name, store};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use sillpin_core::{TargetId, Tokens, WeightVersion};
use sillpin_gateway::cache_stores::CacheStores;
use sillpin_gateway::cache_stores::isolation::{IsolatedSet, Sharing};
use sillpin_gateway::config::{EngineSpec, FleetConfig};
use sillpin_gateway::control::TargetEntry;
use sillpin_gateway::dialect::{Part, PartId, Prompt};
use sillpin_gateway::placement::choose::PromptInputs;
use sillpin_gateway::placement::engine_speed::PoolSpeed;
use sillpin_gateway::placement::index::TargetIndex;
use sillpin_gateway::placement::parts::{PlanInputs, plan, salt};
use sillpin_gateway::placement::stream_engines::{PromptKind, StreamInputs, StreamRules};
use sillpin_gateway::placement::work::{EngineWork, Work};
use sillpin_gateway::placement::{ChoiceInputs, InFlightGuard, Loads, SoftwareFilter, choose};
use std::collections::HashMap;
use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Number of cache stores of the largest fleet, which has 256 engines.
const STORES: u16 = 58;

const ZONES: usize = 5;

fn engines(count: usize) -> HashMap<TargetId, Arc<TargetEntry>> {
    let one = |index: usize| engine(&format!("e-{index}"), &format!("z{}", index % ZONES));
    let all = (0..count).map(one);
    all.map(|entry| (entry.id.clone(), Arc::new(entry)))
        .collect()
}

fn prompt(number: u64) -> Prompt {
    let part = |id: String, tokens| Part {
        id: PartId(id),
        tokens: Tokens(tokens),
    };
    Prompt {
        model: name("m"),
        parts: vec![
            part(format!("first-{}", number % 4), 2_520),
            part(format!("session-{number}"), 5_000),
            part(format!("own-{number}"), 1_670),
        ],
        tokens: Tokens(9_190),
        max_output: Tokens(16),
    }
}

/// Starts a stream at each engine.
fn start_streams(
    loads: &Loads,
    targets: &HashMap<TargetId, Arc<TargetEntry>>,
) -> Vec<InFlightGuard> {
    let stream = Work::one(0.0, Tokens(1_000));
    let start = |id| loads.start_stream(id, stream, stream);
    targets.keys().map(start).collect()
}

fn stream_inputs(spec: &EngineSpec, number: u64) -> StreamInputs {
    let rules = StreamRules {
        max_event_gap: Duration::from_millis(800),
        slots: spec.slots,
        capacity: spec.capacity,
        comfortable_batch: spec.slots,
    };
    StreamInputs {
        rules,
        kind: PromptKind::Long,
        prefill_ms: 160.0,
        zone_boxes: 60,
        draw: number,
    }
}

fn decision(c: &mut Criterion) {
    let mut group = c.benchmark_group("gateway decision");
    let cases = [
        (256, true, false),
        (256, false, false),
        (600, true, false),
        (600, true, true),
    ];
    for (count, reported_late, has_streams) in cases {
        let targets = engines(count);
        let index = TargetIndex::new(&targets);
        let loads = Loads::default();
        let work = targets
            .keys()
            .map(|id| EngineWork::of(id, loads.get(id).work));
        loads.apply_zone_totals(work.collect(), &[]);
        let stores = (0..STORES).map(|i| store(&format!("s-{i}"), 1_000 + i, "z0", 249_828, 1));
        let config = FleetConfig {
            stores: stores.collect(),
            ..FleetConfig::default()
        };
        let spec = EngineSpec {
            slots: 24,
            capacity: Tokens(40_097),
            token_bytes: 18_432,
            models: vec![name("m")],
        };
        let (pool, zone, cache_stores) = (name("llm"), name("z0"), CacheStores::default());
        let mut number = 0;
        let label = match (reported_late, has_streams) {
            (true, true) => "few, stream engines",
            (true, false) => "few",
            (false, _) => "all",
        };
        let _streams = has_streams.then(|| start_streams(&loads, &targets));
        group.bench_function(BenchmarkId::new(label, count), |b| {
            b.iter(|| {
                number += 1;
                let (prompt, now) = (prompt(number), Instant::now());
                let inputs = PlanInputs {
                    config: &config,
                    engine: &spec,
                    cache_stores: &cache_stores,
                    residency: anywhere(),
                    in_contact: true,
                    speed: PoolSpeed::default(),
                    now,
                };
                let version = WeightVersion(1);
                let plans = [(
                    version,
                    plan(
                        &prompt,
                        &salt(&prompt, version, Sharing::AllBut(IsolatedSet::NONE)),
                        &inputs,
                    ),
                )];
                let choice = ChoiceInputs {
                    targets: &index,
                    reported_late,
                    loads: &loads,
                    pool: &pool,
                    zone: &zone,
                    max_in_flight: 100,
                    tried: &[],
                    body_len: 9_200,
                    prompt: Some(PromptInputs {
                        model: &prompt.model,
                        tokens: prompt.tokens,
                        latency_objective: Duration::from_millis(500),
                        capacity: spec.capacity,
                        desired: Some(version),
                        oldest: version,
                        plans: &plans,
                    }),
                    residency: anywhere(),
                    limit_context: None,
                    streams: has_streams.then(|| stream_inputs(&spec, number)),
                    software: SoftwareFilter::Any,
                    now,
                };
                black_box(choose(&choice).is_some())
            });
        });
    }
    group.finish();
}

criterion_group!(benches, decision);
criterion_main!(benches);
