//! Measures what a request costs for the recognition of requests and parts of prompts that crash targets.

#![allow(
    missing_docs,
    reason = "criterion's macro generates a function without documentation"
)]

#[path = "../tests/common/mod.rs"]
mod common;

use common::crashes::{incarnation, prompt};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use hyper::Method;
use sillpin_gateway::dialect::Prompt;
use sillpin_gateway::fatal::{Candidates, CrashRecord, Fingerprint};
use std::hint::black_box;
use std::time::Duration;
use tokio::time::Instant;

/// Requests that broke off with each crash.
const BROKEN: u64 = 8;

/// Crashes after which the record is as full as it gets.
const CRASHES: u64 = 256;

const BODY: [u8; 9_200] = [0; 9_200];

fn shared_prompt(number: u64, parts: usize) -> Prompt {
    let shared = (0..parts).map(|index| format!("shared-{index}-{}", number % 40));
    let shared: Vec<String> = shared.collect();
    prompt(number, &shared)
}

fn candidates(number: u64, prompt: &Prompt) -> Candidates {
    let path = format!("/r/{number}");
    let request = Fingerprint::of("key", "host", &Method::POST, &path, &BODY);
    Candidates::of(request, Some(prompt))
}

/// Returns a record of many crashes, and a time after them.
fn full_record(parts: usize) -> (CrashRecord, Instant) {
    let (mut record, mut now) = (CrashRecord::default(), Instant::now());
    for crash in 0..CRASHES {
        let numbers = crash * BROKEN..(crash + 1) * BROKEN;
        let broken: Vec<Fingerprint> = numbers
            .flat_map(|number| candidates(number, &shared_prompt(number, parts)).to_vec())
            .collect();
        let target = incarnation(usize::try_from(crash).unwrap_or(usize::MAX));
        record.record_crash(target, broken, now, now);
        now += Duration::from_millis(200);
    }
    (record, now)
}

fn request(c: &mut Criterion) {
    let mut group = c.benchmark_group("fatal parts, one request");
    for parts in [1, 3, 10] {
        let (mut record, now) = full_record(parts);
        let prompt = shared_prompt(CRASHES * BROKEN, parts);
        group.bench_function(BenchmarkId::new("asked and served", parts), |b| {
            let mut number = CRASHES * BROKEN;
            b.iter(|| {
                number += 1;
                let candidates = candidates(number, &prompt);
                let verdict = record.refusal(&candidates, now);
                black_box(verdict);
                record.served(candidates, now);
            });
        });
        let (record, now) = full_record(parts);
        group.bench_function(BenchmarkId::new("asked, never served", parts), |b| {
            let mut number = CRASHES * BROKEN;
            b.iter(|| {
                number += 1;
                let candidates = candidates(number, &prompt);
                black_box(record.refusal(&candidates, now))
            });
        });
    }
    group.finish();
}

criterion_group!(benches, request);
criterion_main!(benches);
