//! Tests of the learned speeds of engines.
//!
//! Engines are modelled by a fixed time, a prefill rate and a step time; times have a noise of a few
//! percent, and some are long because of a queue that the box does not know of or short because the
//! engine has a part of the prompt cached.

mod common;

use common::{engine, name, target};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use sillpin_core::{PoolId, TargetId, Tokens};
use sillpin_gateway::control::{Life, TargetEntry};
use sillpin_gateway::front::events::count_events;
use sillpin_gateway::placement::Loads;
use sillpin_gateway::placement::engine_speed::{
    EngineSpeeds, PaceSample, PoolSpeed, PrefillRate, StartSample,
};
use sillpin_gateway::placement::load::MeasuredRequest;
use sillpin_gateway::placement::work::{EngineWork, IncarnationHash, RowKind, TargetHash, Work};
use std::time::Duration;
use tokio::time::{Instant, advance};

const SHORT: u64 = 827;
const LONG: u64 = 9_190;
const SEEDS: std::ops::Range<u64> = 0..20;

/// Prior rate times or divided by this is the limit of what is learned.
const MAX_FACTOR: f64 = 4.0;

fn pool() -> PoolId {
    name("llm")
}

fn incarnation(id: &str, life: u64) -> IncarnationHash {
    IncarnationHash::of(&TargetEntry {
        life: Some(Life(life)),
        ..engine(id, "za")
    })
}

fn enabled() -> EngineSpeeds {
    let mut speeds = EngineSpeeds::default();
    speeds.enable();
    speeds
}

/// Engines of one pool, and how measurements of them deviate.
#[derive(Clone, Copy)]
struct Model {
    rate: f64,
    fixed_ms: f64,
    /// Share of measurements that are `slow_factor` times as long.
    slow_share: f64,
    slow_factor: f64,
    /// Share of long prompts of which a random part is cached at the engine.
    cached_share: f64,
}

impl Model {
    fn clean(rate: f64, fixed_ms: f64) -> Self {
        Self {
            rate,
            fixed_ms,
            slow_share: 0.0,
            slow_factor: 1.0,
            cached_share: 0.0,
        }
    }

    fn sample(&self, tokens: u64, rng: &mut StdRng) -> StartSample {
        let is_cached = tokens == LONG && rng.random_bool(self.cached_share);
        let left = if is_cached {
            rng.random_range(0.1..0.9)
        } else {
            1.0
        };
        let is_slow = rng.random_bool(self.slow_share);
        let factor = if is_slow { self.slow_factor } else { 1.0 };
        let ms = self.fixed_ms + tokens as f64 * left / self.rate;
        StartSample {
            tokens: Tokens(tokens),
            queue_ms: 0.0,
            took: millis(ms * factor * rng.random_range(0.97..1.03)),
        }
    }
}

fn millis(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / 1000.0)
}

/// Records requests, of which every third is short, one each 0.2 s, as one box of a fleet sends them.
async fn record(speeds: &mut EngineSpeeds, model: Model, requests: usize, rng: &mut StdRng) {
    for index in 0..requests {
        let tokens = if index % 3 == 0 { SHORT } else { LONG };
        let sample = model.sample(tokens, rng);
        let engine = incarnation(&format!("e{}", index % 10), 1);
        speeds.record_start(&pool(), engine, sample, Instant::now());
        advance(Duration::from_millis(200)).await;
    }
}

fn rate_of(speeds: &EngineSpeeds) -> f64 {
    speeds.speed(&pool(), Instant::now()).rate.0
}

fn assert_within(value: f64, wanted: f64, share: f64, what: &str) {
    let error = (value / wanted - 1.0).abs();
    assert!(error < share, "{what}: {value:.1} instead of {wanted:.1}");
}

/// Guards against estimates for one deployment's engines: at other rates the queue and the time to
/// the first event were wrong by up to a factor of two.
#[rstest]
#[tokio::test(start_paused = true)]
async fn the_prefill_rate_converges_within_30_requests(
    #[values(36.7, 56.9, 69.8, 110.0)] rate: f64,
    #[values(0.0, 22.0, 110.0)] fixed_ms: f64,
    #[values(0.0, 0.25)] cached_share: f64,
) {
    for seed in SEEDS {
        let model = Model {
            slow_share: 0.15,
            slow_factor: 2.5,
            cached_share,
            ..Model::clean(rate, fixed_ms)
        };
        let mut speeds = enabled();
        record(&mut speeds, model, 30, &mut StdRng::seed_from_u64(seed)).await;
        let what = format!("seed {seed}");
        assert_within(rate_of(&speeds), rate, 0.15, &what);
        let now = Instant::now();
        let expected =
            speeds.start_ms(&pool(), now) + speeds.prefill_ms(&pool(), Tokens(LONG), now);
        let actual = fixed_ms + LONG as f64 / rate;
        assert_within(expected, actual, 0.15, &format!("{what}, long prompt"));
    }
}

/// Guards against a fixed time that counts as prefill: a rate from totals alone is less than half of
/// the real one at 110 ms.
#[tokio::test(start_paused = true)]
async fn the_fixed_time_is_separated_from_the_prefill() {
    let mut speeds = enabled();
    let model = Model::clean(69.8, 110.0);
    record(&mut speeds, model, 30, &mut StdRng::seed_from_u64(1)).await;
    assert_within(
        speeds.start_ms(&pool(), Instant::now()),
        110.0,
        0.15,
        "fixed time",
    );
}

/// Guards against a pool's speed that follows queues which the box does not know of.
#[rstest]
#[tokio::test(start_paused = true)]
async fn outliers_change_the_rate_by_less_than_a_tenth(
    #[values(36.7, 69.8)] rate: f64,
    #[values(22.0, 110.0)] fixed_ms: f64,
) {
    for seed in SEEDS {
        let clean = Model::clean(rate, fixed_ms);
        let with_outliers = Model {
            slow_share: 0.15,
            slow_factor: 2.5,
            ..clean
        };
        let mut estimates = Vec::new();
        for model in [clean, with_outliers] {
            let mut speeds = enabled();
            record(&mut speeds, model, 60, &mut StdRng::seed_from_u64(seed)).await;
            estimates.push(rate_of(&speeds));
        }
        assert_within(estimates[1], estimates[0], 0.1, &format!("seed {seed}"));
    }
}

/// Guards against a change of speed that old samples hide.
#[tokio::test(start_paused = true)]
async fn the_rate_follows_a_change_of_the_pool() {
    let (mut speeds, mut rng) = (enabled(), StdRng::seed_from_u64(2));
    record(&mut speeds, Model::clean(110.0, 22.0), 100, &mut rng).await;
    assert_within(rate_of(&speeds), 110.0, 0.1, "before");
    record(&mut speeds, Model::clean(36.7, 22.0), 100, &mut rng).await;
    assert_within(rate_of(&speeds), 36.7, 0.15, "20 s after the change");
}

/// Guards against a wrong rate or fixed time from prompts of one length only, which show just their
/// sum: what is expected of such prompts must be right.
#[rstest]
#[tokio::test(start_paused = true)]
async fn prompts_of_one_length_get_the_right_time(
    #[values(SHORT, LONG)] tokens: u64,
    #[values(36.7, 110.0)] rate: f64,
) {
    let (mut speeds, mut rng) = (enabled(), StdRng::seed_from_u64(3));
    let model = Model::clean(rate, 22.0);
    for _ in 0..30 {
        let sample = model.sample(tokens, &mut rng);
        speeds.record_start(&pool(), incarnation("e", 1), sample, Instant::now());
        advance(Duration::from_millis(200)).await;
    }
    let now = Instant::now();
    let expected = speeds.start_ms(&pool(), now) + speeds.prefill_ms(&pool(), Tokens(tokens), now);
    assert_within(
        expected,
        22.0 + tokens as f64 / rate,
        0.15,
        "time to the first event",
    );
}

/// Guards against samples with a known queue: its length is only roughly known.
#[tokio::test(start_paused = true)]
async fn requests_behind_a_queue_are_not_measured() {
    let mut speeds = enabled();
    for index in 0..40 {
        let tokens = if index % 2 == 0 { SHORT } else { LONG };
        let sample = StartSample {
            queue_ms: 50.0,
            ..Model::clean(10.0, 0.0).sample(tokens, &mut StdRng::seed_from_u64(index))
        };
        speeds.record_start(&pool(), incarnation("e", 1), sample, Instant::now());
    }
    assert_eq!(speeds.speed(&pool(), Instant::now()), PoolSpeed::default());
}

/// Guards against absurd samples that make all prompts seem late, or all engines idle.
#[rstest]
#[case::endless(|tokens| 60_000.0 + tokens as f64 * 10.0)]
#[case::no_time(|_| 0.0)]
#[case::shorter_for_long_prompts(|tokens| 10_000.0 - tokens as f64)]
#[tokio::test(start_paused = true)]
async fn what_is_learned_is_bounded(#[case] ms: fn(u64) -> f64) {
    let mut speeds = enabled();
    for index in 0..200 {
        let tokens = if index % 2 == 0 { SHORT } else { LONG };
        let sample = StartSample {
            tokens: Tokens(tokens),
            queue_ms: 0.0,
            took: millis(ms(tokens)),
        };
        speeds.record_start(&pool(), incarnation("e", 1), sample, Instant::now());
        speeds.record_pace(
            &pool(),
            pace(f64::from(index % 7), ms(tokens)),
            Instant::now(),
        );
        let now = Instant::now();
        let factor = rate_of(&speeds) / PrefillRate::PRIOR.0;
        assert!(
            (1.0 / MAX_FACTOR..=MAX_FACTOR).contains(&factor),
            "{factor}"
        );
        assert!((0.0..=500.0).contains(&speeds.start_ms(&pool(), now)));
        let slowness = speeds.slowness(incarnation("e", 1), now);
        assert!(
            (1.0 / MAX_FACTOR..=MAX_FACTOR).contains(&slowness),
            "{slowness}"
        );
        assert!((16..=64).contains(&speeds.comfortable_batch(&pool(), 64, now)));
    }
}

/// Records requests at one engine, every 0.2 s, until `done`, and returns the time that it took.
async fn record_until(
    speeds: &mut EngineSpeeds,
    engine: IncarnationHash,
    model: Model,
    rng: &mut StdRng,
    done: impl Fn(f64) -> bool,
) -> Duration {
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(20) {
        let sample = model.sample(LONG, rng);
        speeds.record_start(&pool(), engine, sample, Instant::now());
        if done(speeds.slowness(engine, Instant::now())) {
            break;
        }
        advance(Duration::from_millis(200)).await;
    }
    start.elapsed()
}

/// Guards against prompts that are placed at an engine that has become slow, and against an engine
/// that is avoided although it has recovered. Both an engine of which all is slower and one of which
/// just the prefill is slower are to be detected.
#[rstest]
#[tokio::test(start_paused = true)]
async fn a_slow_engine_is_detected_and_its_recovery(
    #[values(22.0, 110.0)] fixed_ms: f64,
    #[values(true, false)] is_fixed_time_slow: bool,
) {
    for seed in SEEDS {
        let (mut speeds, mut rng) = (enabled(), StdRng::seed_from_u64(seed));
        let normal = Model::clean(56.9, fixed_ms);
        record(&mut speeds, normal, 60, &mut rng).await;
        let slow = match is_fixed_time_slow {
            true => Model::clean(56.9 / 3.5, fixed_ms * 3.5),
            false => Model::clean(56.9 / 3.5, fixed_ms),
        };
        let engine = incarnation("e1", 1);
        let is_slow = |slowness| slowness > 2.0;
        let took = record_until(&mut speeds, engine, slow, &mut rng, is_slow).await;
        assert!(took < Duration::from_secs(1), "detected after {took:?}");
        advance(Duration::from_secs(5)).await;
        let _ = record_until(&mut speeds, engine, slow, &mut rng, is_slow).await;
        let is_normal = |slowness| (0.85..1.15).contains(&slowness);
        let took = record_until(&mut speeds, engine, normal, &mut rng, is_normal).await;
        assert!(took < Duration::from_secs(3), "normal after {took:?}");
    }
}

/// Guards against a slow engine that gets no prompts any more, so that nothing shows its recovery.
#[tokio::test(start_paused = true)]
async fn an_engine_without_requests_counts_as_normal_again() {
    let (mut speeds, mut rng) = (enabled(), StdRng::seed_from_u64(4));
    record(&mut speeds, Model::clean(56.9, 22.0), 60, &mut rng).await;
    let engine = incarnation("e1", 1);
    let slow = Model::clean(56.9 / 3.5, 22.0);
    record_until(&mut speeds, engine, slow, &mut rng, |slowness| {
        slowness > 2.0
    })
    .await;
    advance(Duration::from_secs(3)).await;
    assert_within(
        speeds.slowness(engine, Instant::now()),
        1.0,
        0.15,
        "slowness",
    );
}

/// Guards against one long time, most likely caused by an unknown queue, that makes an engine slow.
#[tokio::test(start_paused = true)]
async fn one_long_time_does_not_make_an_engine_slow() {
    let (mut speeds, mut rng) = (enabled(), StdRng::seed_from_u64(5));
    let normal = Model::clean(56.9, 22.0);
    record(&mut speeds, normal, 60, &mut rng).await;
    let engine = incarnation("e1", 1);
    for slow_factor in [10.0, 1.0, 10.0, 1.0] {
        let model = Model {
            slow_share: 1.0,
            slow_factor,
            ..normal
        };
        speeds.record_start(
            &pool(),
            engine,
            model.sample(LONG, &mut rng),
            Instant::now(),
        );
        let slowness = speeds.slowness(engine, Instant::now());
        assert!(slowness < 1.2, "{slowness} after a factor of {slow_factor}");
    }
}

/// Guards against lasting differences between engines of a pool that are ignored.
#[tokio::test(start_paused = true)]
async fn a_lasting_difference_is_learned() {
    let (mut speeds, mut rng) = (enabled(), StdRng::seed_from_u64(6));
    let (normal, slower) = (
        Model::clean(56.9, 22.0),
        Model::clean(56.9 / 1.3, 22.0 * 1.3),
    );
    record(&mut speeds, normal, 60, &mut rng).await;
    let engine = incarnation("other", 1);
    for _ in 0..10 {
        let sample = slower.sample(LONG, &mut rng);
        speeds.record_start(&pool(), engine, sample, Instant::now());
        record(&mut speeds, normal, 3, &mut rng).await;
    }
    let slowness = speeds.slowness(engine, Instant::now());
    assert_within(slowness, 1.3, 0.1, "slowness");
}

/// Guards against the slowness of an earlier incarnation that is applied to its successor, and
/// against estimates of engines that no longer exist.
#[tokio::test(start_paused = true)]
async fn a_new_incarnation_starts_without_estimates() {
    let (mut speeds, mut rng) = (enabled(), StdRng::seed_from_u64(7));
    record(&mut speeds, Model::clean(56.9, 22.0), 60, &mut rng).await;
    let (old, new) = (incarnation("e1", 1), incarnation("e1", 2));
    let slow = Model::clean(56.9 / 3.5, 22.0);
    record_until(&mut speeds, old, slow, &mut rng, |slowness| slowness > 2.0).await;
    assert_eq!(speeds.slowness(new, Instant::now()), 1.0);
    speeds.retain_listed(|engine| engine == new);
    assert_eq!(speeds.slowness(old, Instant::now()), 1.0);
}

/// Returns a stream of 40 events with a pause.
fn pace(batch: f64, pause_ms: f64) -> PaceSample {
    PaceSample {
        events: 40,
        took: millis(pause_ms * 39.0),
        batch,
    }
}

/// Guards against batches in which tokens take more than twice as long as alone, and against slots
/// that are left empty at engines whose steps don't depend on the batch.
#[rstest]
#[case::grows_with_the_batch(4.34, 0.151, 64, 30)]
#[case::constant(4.39, 0.0, 16, 16)]
#[case::grows_fast(1.0, 1.0, 64, 16)]
#[tokio::test(start_paused = true)]
async fn the_comfortable_batch_follows_the_step_time(
    #[case] fixed_ms: f64,
    #[case] request_ms: f64,
    #[case] slots: u32,
    #[case] wanted: u32,
) {
    for seed in SEEDS {
        let (mut speeds, mut rng) = (enabled(), StdRng::seed_from_u64(seed));
        for _ in 0..100 {
            let batch = f64::from(rng.random_range(1..=slots));
            let step = fixed_ms + request_ms * batch;
            let is_delayed = rng.random_bool(0.3);
            let delay = if is_delayed {
                rng.random_range(1.0..4.0)
            } else {
                1.0
            };
            let sample = pace(batch, step * 6.5 * delay * rng.random_range(0.97..1.03));
            speeds.record_pace(&pool(), sample, Instant::now());
            advance(Duration::from_millis(100)).await;
        }
        let batch = speeds.comfortable_batch(&pool(), slots, Instant::now());
        assert_within(
            f64::from(batch),
            f64::from(wanted),
            0.25,
            &format!("seed {seed}"),
        );
    }
}

/// Guards against a limit on batches without any evidence.
#[tokio::test(start_paused = true)]
async fn all_slots_are_comfortable_if_nothing_is_known() {
    let mut speeds = enabled();
    let now = Instant::now();
    assert_eq!(speeds.comfortable_batch(&pool(), 64, now), 64);
    for _ in 0..20 {
        speeds.record_pace(&pool(), pace(30.0, 50.0), now);
    }
    let batch = speeds.comfortable_batch(&pool(), 64, now);
    assert_eq!(batch, 64, "streams in batches of one size show no growth");
}

/// Returns the rows of a box that measured a rate.
async fn rows_of_box(rate: f64, seed: u64) -> Vec<EngineWork> {
    let (mut speeds, mut rng) = (enabled(), StdRng::seed_from_u64(seed));
    record(&mut speeds, Model::clean(rate, 22.0), 30, &mut rng).await;
    speeds.rows(Instant::now())
}

/// Guards against rows that change all the time: each change causes a message to other boxes.
#[tokio::test(start_paused = true)]
async fn rows_change_only_with_measurements() {
    let (mut speeds, mut rng) = (enabled(), StdRng::seed_from_u64(9));
    let model = Model::clean(110.0, 22.0);
    record(&mut speeds, model, 30, &mut rng).await;
    let rows = speeds.rows(Instant::now());
    assert_eq!(rows.len(), 1);
    advance(Duration::from_secs(60)).await;
    assert_eq!(speeds.rows(Instant::now()), rows);
    advance(Duration::from_secs(120)).await;
    assert_eq!(speeds.rows(Instant::now()), [], "an old measurement");
}

/// Guards against boxes with few requests that keep the prior rate.
#[tokio::test(start_paused = true)]
async fn a_box_without_requests_learns_from_others() {
    let loads = Loads::default();
    loads.speeds().enable();
    let before = loads.pool_speed(&pool(), Instant::now());
    assert_eq!(before, PoolSpeed::default());
    let mut reports = Vec::new();
    for seed in 1..4 {
        let rows = rows_of_box(110.0, seed).await;
        assert_eq!(rows.len(), 1, "one row for each pool");
        assert_eq!(rows[0].0, TargetHash::for_rows("llm", RowKind::Rates));
        reports.push((name(&format!("b{seed}")), rows));
    }
    for (from, rows) in reports {
        loads.apply_update(from, rows);
    }
    let speed = loads.pool_speed(&pool(), Instant::now());
    assert_within(speed.rate.0, 110.0, 0.15, "rate");
    assert_eq!(
        loads.updates_to_send(),
        [],
        "only own measurements are sent on"
    );
}

/// Guards against a changed behaviour of boxes on which the part is off.
#[tokio::test(start_paused = true)]
async fn nothing_is_learned_unless_it_is_enabled() {
    let loads = Loads::default();
    serve_many(&loads, true, 20.0).await;
    loads.apply_update(name("b1"), rows_of_box(110.0, 1).await);
    let now = Instant::now();
    assert_eq!(loads.pool_speed(&pool(), now), PoolSpeed::default());
    assert_eq!(loads.speeds().slowness(incarnation("e1", 1), now), 1.0);
    assert_eq!(loads.updates_to_send(), []);
}

/// Serves one prompt at an engine through the guard of requests in flight, as the front does.
async fn serve(loads: &Loads, id: &TargetId, tokens: u64, is_start_clean: bool, rate: f64) {
    let request = MeasuredRequest {
        pool: pool(),
        engine: incarnation(id.as_str(), 1),
        tokens: Tokens(tokens),
        queue_ms: 0.0,
        is_start_clean,
        sent: Instant::now(),
    };
    let guard = loads.start(id, Work::one(10.0, Tokens(tokens)));
    let mut guard = guard.measured(Some(request));
    advance(millis(22.0 + tokens as f64 / rate)).await;
    guard.prefill_done();
    for _ in 0..10 {
        guard.record_events(1);
        advance(Duration::from_millis(60)).await;
        loads.check_measurements(Instant::now());
    }
}

/// Serves short and long prompts in turn at one engine.
async fn serve_many(loads: &Loads, is_start_clean: bool, rate: f64) {
    for index in 0..30 {
        let tokens = if index % 2 == 0 { SHORT } else { LONG };
        serve(loads, &target("e1"), tokens, is_start_clean, rate).await;
    }
}

/// Guards against a guard that measures nothing, or measures prompts whose parts were fetched, and
/// against measurements that other boxes don't get.
#[rstest]
#[case::prefilled(true, 110.0, 1)]
#[case::fetched(false, PrefillRate::PRIOR.0, 0)]
#[tokio::test(start_paused = true)]
async fn requests_in_flight_are_measured(
    #[case] is_start_clean: bool,
    #[case] wanted: f64,
    #[case] rows: usize,
) {
    let loads = Loads::default();
    loads.speeds().enable();
    serve_many(&loads, is_start_clean, 110.0).await;
    let speed = loads.pool_speed(&pool(), Instant::now());
    assert_within(speed.rate.0, wanted, 0.15, "rate");
    loads.check_measurements(Instant::now());
    assert_eq!(loads.updates_to_send().len(), rows);
}

/// Prefill work that a request reports about itself.
const OWN_MS: f64 = 100.0;

/// Sends requests with no known queue to an engine, while reports arrive, and returns whether
/// anything was learned from them. The hub's totals have other prefill work at the engine from some
/// time after the sending of each request.
async fn learns_with_reports(includes_own: bool, others_ms: f64, from: Duration) -> bool {
    let loads = Loads::default();
    loads.speeds().enable();
    let id = target("e1");
    for index in 0..20 {
        let tokens = if index % 2 == 0 { SHORT } else { LONG };
        let sent = Instant::now();
        let request = MeasuredRequest {
            pool: pool(),
            engine: incarnation("e1", 1),
            tokens: Tokens(tokens),
            queue_ms: 0.0,
            is_start_clean: true,
            sent,
        };
        let guard = loads.start(&id, Work::one(OWN_MS, Tokens(tokens)));
        let mut guard = guard.measured(Some(request));
        while sent.elapsed() < Duration::from_millis(600) {
            advance(Duration::from_millis(30)).await;
            if sent.elapsed() >= Duration::from_millis(200) {
                guard.prefill_done();
            }
            let own_ms = if includes_own { OWN_MS } else { 0.0 };
            let others_ms = if sent.elapsed() >= from {
                others_ms
            } else {
                0.0
            };
            let work = Work::one(own_ms + others_ms, Tokens(tokens));
            loads.apply_zone_totals(vec![EngineWork::of(&id, work)], &[]);
            loads.check_measurements(Instant::now());
            loads.set_own_report(loads.updates_to_send());
        }
    }
    loads.pool_speed(&pool(), Instant::now()) != PoolSpeed::default()
}

/// Guards against two faults: requests that met a queue of which their box had not heard count as
/// prefilled slowly; and a box's own work, which a hub's totals still include when the request has
/// ended, is taken for that of another box, so that nothing is ever learned.
#[rstest]
#[case::no_other(false, 0.0, 0, true)]
#[case::own_work_in_the_totals(true, 0.0, 0, true)]
#[case::another_request_ahead(true, 100.0, 150, false)]
#[case::another_short_request(true, 20.0, 150, false)]
#[case::another_request_later(true, 100.0, 400, true)]
#[tokio::test(start_paused = true)]
async fn requests_that_met_an_unknown_queue_are_not_used(
    #[case] includes_own: bool,
    #[case] others_ms: f64,
    #[case] from_ms: u64,
    #[case] is_learned: bool,
) {
    let from = Duration::from_millis(from_ms);
    let learns = learns_with_reports(includes_own, others_ms, from).await;
    assert_eq!(learns, is_learned);
}

/// Guards against events that are counted by the packets in which they arrive.
#[rstest]
#[case::two_events(b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", 2)]
#[case::with_carriage_returns(b"id: 1\r\ndata: a\r\n\r\n", 1)]
#[case::none(b"", 0)]
fn complete_events_are_counted(#[case] events: &[u8], #[case] wanted: u32) {
    assert_eq!(count_events(events), wanted);
}
