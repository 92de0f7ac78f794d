//! Tests of stream engines under load.
//!
//! Guards against streams that stall while their engine prefills long prompts: without engines for streams, 23 in 100
//! of the most urgent requests of a deployment were not served in time, since each token waited for a chunk of a long
//! prompt.

mod common;

use common::engines::{DIRECT, THROUGH_HUBS};
use common::stream_model::{Deployment, Kind, StreamZone, Tally};
use rstest::rstest;
use std::time::Duration;

const fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A zone of 47 engines whose steps take the same time whatever the size of the batch.
const FIRST: Deployment = Deployment {
    boxes: 9,
    delay: THROUGH_HUBS,
    engines: 47,
    slots: 16,
    memory: 43_416,
    step_ms: 4.39,
    step_ms_per_request: 0.0,
    prefill_per_ms: 69.8,
    chunk: 2_048,
    first_event_ms: 110.0,
    slowness: 1.0,
    slow_phases: 2.5,
    short: Kind {
        per_s: 74.0,
        tokens: 827,
        output: 294,
        priority: 0,
        latency_objective: millis(400),
        max_event_gap: millis(400),
        deadline: millis(15_000),
    },
    long: Kind {
        per_s: 148.0,
        tokens: 9_190,
        output: 49,
        priority: 1,
        latency_objective: millis(600),
        max_event_gap: millis(400),
        deadline: millis(5_000),
    },
};

/// A zone of 30 engines whose steps grow with the batch, a third of them slower.
const SECOND: Deployment = Deployment {
    boxes: 29,
    delay: THROUGH_HUBS,
    engines: 30,
    slots: 64,
    memory: 45_102,
    step_ms: 4.34,
    step_ms_per_request: 0.151,
    prefill_per_ms: 36.7,
    chunk: 4_096,
    first_event_ms: 22.0,
    slowness: 1.3,
    slow_phases: 1.0,
    short: Kind {
        per_s: 106.0,
        tokens: 827,
        output: 292,
        priority: 0,
        latency_objective: millis(800),
        max_event_gap: millis(800),
        deadline: millis(15_000),
    },
    long: Kind {
        per_s: 46.0,
        tokens: 9_190,
        output: 54,
        priority: 2,
        latency_objective: millis(2_000),
        max_event_gap: millis(800),
        deadline: millis(5_000),
    },
};

/// Results of a simulation: both kinds, and the number of engines that got requests.
type Results = (Tally, Tally, usize);

async fn simulate(
    of: Deployment,
    is_on: bool,
    load: impl Fn(f64) -> (f64, f64),
    is_lost: impl Fn(f64, usize) -> bool,
    seed: u64,
) -> Results {
    let mut zone = StreamZone::new(of, is_on, seed);
    zone.run(load, is_lost).await;
    let (short, long) = (zone.short, zone.long);
    println!(
        "stream engines {is_on}: short {:.3} {short:?}, long {:.3} {long:?}",
        short.share(),
        long.share()
    );
    (short, long, zone.used_engines())
}

/// Simulates the load with stream engines, and without.
async fn compare(
    of: Deployment,
    load: impl Fn(f64) -> (f64, f64),
    is_lost: impl Fn(f64, usize) -> bool,
    seed: u64,
) -> [Results; 2] {
    let on = simulate(of, true, &load, &is_lost, seed).await;
    let off = simulate(of, false, &load, &is_lost, seed).await;
    [on, off]
}

fn none_lost(_: f64, _: usize) -> bool {
    false
}

/// Guards against a shortage of capacity that affects the streams in progress: the share of short prompts in time fell
/// by up to a quarter.
#[rstest]
#[tokio::test(start_paused = true)]
async fn short_prompts_are_in_time_though_long_ones_exceed_the_capacity(
    #[values(FIRST, SECOND)] of: Deployment,
    #[values(1.0, 2.0, 4.0)] times: f64,
    #[values(1, 2)] seed: u64,
) {
    let long = times * of.prefill_capacity() / of.long.per_s;
    let (normal, ..) = simulate(of, true, |_| (1.0, 1.0), none_lost, seed).await;
    let [(on, ..), (off, ..)] = compare(of, |_| (1.0, long), none_lost, seed).await;
    assert!(on.share() >= normal.share() - 0.02, "{on:?}, {normal:?}");
    assert!(off.share() < normal.share() - 0.02, "no stalls: {off:?}");
}

/// The same in a small fleet, where boxes report to each other directly and consider all engines.
#[rstest]
#[tokio::test(start_paused = true)]
async fn short_prompts_are_in_time_in_a_small_fleet(#[values(1, 2)] seed: u64) {
    let of = Deployment {
        delay: DIRECT,
        ..FIRST
    };
    let long = 2.0 * of.prefill_capacity() / of.long.per_s;
    let [(on, ..), (off, ..)] = compare(of, |_| (1.0, long), none_lost, seed).await;
    assert!(on.share() >= 0.98, "{on:?}");
    assert!(off.share() < 0.96, "no stalls: {off:?}");
}

/// A burst of long prompts, then one of short prompts.
#[rstest]
#[tokio::test(start_paused = true)]
async fn a_burst_of_short_prompts_is_served(
    #[values(FIRST, SECOND)] of: Deployment,
    #[values(1, 2)] seed: u64,
) {
    let burst = |s: f64| match s {
        s if (1.5..8.0).contains(&s) => (1.0, 2.3),
        s if (8.0..11.5).contains(&s) => (1.9, 1.0),
        _ => (1.0, 1.0),
    };
    let [(on, ..), (off, ..)] = compare(of, burst, none_lost, seed).await;
    assert!(on.share() >= 0.97, "{on:?}");
    assert!(off.share() < 0.97, "no stalls: {off:?}");
}

/// Guards against lost engines that are not replaced by the next ones.
#[rstest]
#[tokio::test(start_paused = true)]
async fn a_quarter_of_the_engines_is_lost(
    #[values(FIRST, SECOND)] of: Deployment,
    #[values(1, 2)] seed: u64,
) {
    let lost = |s: f64, at: usize| s > 3.5 && at.is_multiple_of(4);
    let [(on, ..), (off, ..)] = compare(of, |_| (1.0, 1.0), lost, seed).await;
    assert!(on.share() >= 0.98, "{on:?}");
    assert!(off.share() < 0.98, "no stalls: {off:?}");
}

/// Guards against engines that stay reserved, or free of streams, though there is only one kind of prompts.
#[rstest]
#[case(FIRST, 5.0)]
#[case(SECOND, 2.3)]
#[tokio::test(start_paused = true)]
async fn short_prompts_alone_use_all_engines(
    #[case] of: Deployment,
    #[case] times: f64,
    #[values(1, 2)] seed: u64,
) {
    let [(on, _, used), (off, ..)] = compare(of, |_| (times, 0.0), none_lost, seed).await;
    assert!(on.share() >= off.share() - 0.02, "{on:?}, {off:?}");
    assert!(used == of.engines, "{used}");
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn long_prompts_alone_use_all_engines(
    #[values(FIRST, SECOND)] of: Deployment,
    #[values(1, 2)] seed: u64,
) {
    let [(_, on, used), (_, off, _)] = compare(of, |_| (0.0, 1.0), none_lost, seed).await;
    assert_eq!(on, off);
    assert!(used == of.engines, "{used}");
}
