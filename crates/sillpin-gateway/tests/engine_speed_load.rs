//! Tests of the learned speeds of engines under load: many boxes whose reports are late, so that
//! most requests meet queues that their box does not know of.

mod common;

use common::engines::plan_with_speed;
use common::{anywhere, engine, name};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use sillpin_core::{PoolId, TargetId, Tokens, WeightVersion, ZoneId};
use sillpin_gateway::control::TargetEntry;
use sillpin_gateway::peers::datagram::BoxHash;
use sillpin_gateway::placement::choose::PromptInputs;
use sillpin_gateway::placement::engine_speed::{PoolSpeed, PrefillRate, StartSample};
use sillpin_gateway::placement::index::TargetIndex;
use sillpin_gateway::placement::load::MeasuredRequest;
use sillpin_gateway::placement::standing::Queue;
use sillpin_gateway::placement::work::{EngineWork, IncarnationHash, TargetHash, Work};
use sillpin_gateway::placement::{
    ChoiceInputs, ChosenTarget, InFlightGuard, Loads, SoftwareFilter, choose,
};
use sillpin_policy::overload::StartEstimate;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, advance};

const BOXES: usize = 40;
const ENGINES: usize = 40;
const SHORT: u64 = 827;
const LONG: u64 = 9_190;
const STEP: Duration = Duration::from_millis(5);
const REPORT_EVERY: Duration = Duration::from_millis(150);
const REPORT_LATE: Duration = Duration::from_millis(150);
const LATENCY_OBJECTIVE: Duration = Duration::from_millis(800);

/// Share of prompts that are short.
const SHORT_SHARE: f64 = 0.4;

/// Time for which a request runs after its first event.
const GENERATION: Duration = Duration::from_millis(300);

/// Time after which a caller gives up.
const TIMEOUT: Duration = Duration::from_secs(5);

/// What engines of the simulated pool do.
#[derive(Clone, Copy)]
struct Model {
    rate: f64,
    fixed_ms: f64,
    /// Share of the engines that take `slow_factor` times as long.
    slow_share: f64,
    slow_factor: f64,
}

struct QueuedPrompt {
    sent: Instant,
    tokens: u64,
    left_ms: f64,
    guard: InFlightGuard,
}

/// An engine that prefills prompts one by one, short ones first.
struct Engine {
    speed: f64,
    queue: VecDeque<QueuedPrompt>,
    starting: VecDeque<(Instant, QueuedPrompt)>,
    running: VecDeque<(Instant, InFlightGuard)>,
}

impl Engine {
    fn push(&mut self, prompt: QueuedPrompt) {
        let is_behind = |other: &QueuedPrompt| prompt.tokens < other.tokens;
        let position = self.queue.iter().skip(1).position(is_behind);
        let at = position.map_or(self.queue.len(), |position| position + 1);
        self.queue.insert(at, prompt);
    }

    /// Simulates a step and returns the number of prompts that started in time.
    fn step(&mut self, fixed: Duration, now: Instant) -> usize {
        let mut in_time = 0;
        self.queue.retain(|prompt| now < prompt.sent + TIMEOUT);
        let mut ms = STEP.as_secs_f64() * 1000.0 * self.speed;
        while let Some(prompt) = self.queue.front_mut() {
            let done = prompt.left_ms.min(ms);
            prompt.left_ms -= done;
            ms -= done;
            if prompt.left_ms > 0.0 {
                break;
            }
            let finished = self.queue.pop_front().unwrap();
            self.starting.push_back((now + fixed, finished));
        }
        while self.starting.front().is_some_and(|(at, _)| *at <= now) {
            let (_, mut prompt) = self.starting.pop_front().unwrap();
            prompt.guard.prefill_done();
            in_time += usize::from(now - prompt.sent <= LATENCY_OBJECTIVE);
            self.running.push_back((now + GENERATION, prompt.guard));
        }
        self.running.retain(|(until, _)| now < *until);
        in_time
    }
}

struct Fleet {
    model: Model,
    index: TargetIndex,
    boxes: Vec<Loads>,
    members: Vec<BoxHash>,
    engines: BTreeMap<TargetId, Engine>,
    reports: VecDeque<(Instant, Vec<EngineWork>)>,
    next_report: Instant,
    rng: StdRng,
    sent: usize,
    refused: usize,
    in_time: usize,
}

impl Fleet {
    fn new(model: Model, is_learning: bool, seed: u64) -> Self {
        let entries = (0..ENGINES).map(|index| engine(&format!("e-{index}"), "za"));
        let targets: HashMap<TargetId, Arc<TargetEntry>> =
            entries.map(|e| (e.id.clone(), Arc::new(e))).collect();
        let slow = (ENGINES as f64 * model.slow_share) as usize;
        let engine = |index| Engine {
            speed: if index < slow {
                1.0 / model.slow_factor
            } else {
                1.0
            },
            queue: VecDeque::new(),
            starting: VecDeque::new(),
            running: VecDeque::new(),
        };
        let boxes: Vec<Loads> = (0..BOXES).map(|_| Loads::default()).collect();
        if is_learning {
            boxes.iter().for_each(|of| of.speeds().enable());
        }
        Self {
            model,
            index: TargetIndex::new(&targets),
            boxes,
            members: (0..BOXES)
                .map(|index| BoxHash::unranked_from_id(&name(&format!("b-{index}"))))
                .collect(),
            engines: (0..ENGINES)
                .map(|index| (name(&format!("e-{index}")), engine(index)))
                .collect(),
            reports: VecDeque::new(),
            next_report: Instant::now(),
            rng: StdRng::seed_from_u64(seed),
            sent: 0,
            refused: 0,
            in_time: 0,
        }
    }

    /// Returns the number of prompts in a millisecond that the engines can just prefill.
    fn capacity(&self) -> f64 {
        let tokens = SHORT_SHARE * SHORT as f64 + (1.0 - SHORT_SHARE) * LONG as f64;
        let speed: f64 = self.engines.values().map(|engine| engine.speed).sum();
        speed * self.model.rate / tokens
    }

    fn step(&mut self) {
        let now = Instant::now();
        let fixed = Duration::from_secs_f64(self.model.fixed_ms / 1000.0);
        let engines = self.engines.values_mut();
        self.in_time += engines.map(|engine| engine.step(fixed, now)).sum::<usize>();
        if now >= self.next_report {
            self.next_report = now + REPORT_EVERY;
            let mut totals: HashMap<TargetHash, Work> = HashMap::new();
            for of in &self.boxes {
                of.check_measurements(now);
                let rows = of.updates_to_send();
                rows.iter()
                    .for_each(|row| totals.entry(row.0).or_default().add(row.work()));
                of.set_own_report(rows);
            }
            let rows = totals
                .iter()
                .map(|(hash, work)| EngineWork::at(*hash, *work));
            self.reports.push_back((now + REPORT_LATE, rows.collect()));
        }
        while self.reports.front().is_some_and(|(at, _)| *at <= now) {
            let (_, rows) = self.reports.pop_front().unwrap();
            let boxes = self.boxes.iter();
            boxes.for_each(|of| of.apply_zone_totals(rows.clone(), &self.members));
        }
    }

    fn choose(&mut self, at: usize, tokens: u64, speed: PoolSpeed) -> (ChosenTarget, f64) {
        let plan = plan_with_speed(self.rng.random(), Tokens(tokens), speed);
        let prefill_ms = plan.prompt_time_ms(&name("za"));
        let (pool, zone, model): (PoolId, ZoneId, _) = (name("llm"), name("za"), name("m"));
        let plans = [(WeightVersion(1), plan)];
        let choice = ChoiceInputs {
            targets: &self.index,
            reported_late: true,
            loads: &self.boxes[at],
            pool: &pool,
            zone: &zone,
            max_in_flight: 1_000,
            tried: &[],
            body_len: 9_000,
            prompt: Some(PromptInputs {
                model: &model,
                tokens: Tokens(tokens),
                latency_objective: LATENCY_OBJECTIVE,
                capacity: Tokens(1_000_000),
                desired: None,
                oldest: WeightVersion(0),
                plans: &plans,
            }),
            residency: anywhere(),
            limit_context: None,
            streams: None,
            software: SoftwareFilter::Any,
            now: Instant::now(),
        };
        (choose(&choice).unwrap(), prefill_ms)
    }

    /// Places a prompt, as the front does, or refuses it.
    fn serve(&mut self, tokens: u64) {
        let (now, at) = (Instant::now(), self.rng.random_range(0..BOXES));
        let speed = self.boxes[at].pool_speed(&name("llm"), now);
        let (chosen, prefill_ms) = self.choose(at, tokens, speed);
        let queue = Queue::reported(chosen.queue_ms, true);
        let standing_ms = self.boxes[at].record_queue(None, queue, now);
        let millis = |ms: f64| Duration::from_secs_f64(ms / 1000.0);
        let expected = StartEstimate {
            waited: Duration::ZERO,
            latency_objective: LATENCY_OBJECTIVE,
            queue: millis(queue.expected_ms),
            standing: millis(standing_ms),
            own: millis(prefill_ms * chosen.slowness),
        };
        self.sent += 1;
        if expected.lateness_if_refused(self.rng.random()).is_some() {
            self.refused += 1;
            return;
        }
        let measured = MeasuredRequest {
            pool: name("llm"),
            engine: IncarnationHash::of(&chosen.target),
            tokens: Tokens(tokens),
            queue_ms: chosen.queue_ms,
            is_start_clean: true,
            sent: now,
        };
        let guard = self.boxes[at].start(&chosen.target.id, Work::one(prefill_ms, Tokens(tokens)));
        let prompt = QueuedPrompt {
            sent: now,
            tokens,
            left_ms: tokens as f64 / self.model.rate,
            guard: guard.measured(Some(measured)),
        };
        self.engines
            .get_mut(&chosen.target.id)
            .unwrap()
            .push(prompt);
    }

    /// Simulates a load relative to the capacity.
    async fn run(&mut self, load: f64, time: Duration) {
        let (started, mut due) = (Instant::now(), 0.0);
        while started.elapsed() < time {
            self.step();
            due += load * self.capacity() * STEP.as_secs_f64() * 1000.0;
            while due >= 1.0 {
                due -= 1.0;
                let is_short = self.rng.random_bool(SHORT_SHARE);
                self.serve(if is_short { SHORT } else { LONG });
            }
            advance(STEP).await;
        }
    }

    /// Returns the estimates of all boxes, by increasing rate.
    fn speeds(&self) -> Vec<PoolSpeed> {
        let speed = |of: &Loads| of.pool_speed(&name("llm"), Instant::now());
        let mut speeds: Vec<PoolSpeed> = self.boxes.iter().map(speed).collect();
        speeds.sort_by(|a, b| a.rate.0.total_cmp(&b.rate.0));
        speeds
    }
}

const ALL_EQUAL: Model = Model {
    rate: 56.9,
    fixed_ms: 22.0,
    slow_share: 0.0,
    slow_factor: 1.0,
};

/// Guards against queues that a box does not know of and that count as slow prefill: at twice the
/// capacity the estimate was a quarter of the rate, and boxes refused more than they had to.
#[rstest]
#[tokio::test(start_paused = true)]
async fn a_learned_rate_stays_right_under_overload(
    #[values(36.7, 69.8, 110.0)] rate: f64,
    #[values(22.0, 110.0)] fixed_ms: f64,
    #[values(0.8, 1.0, 2.0)] load: f64,
    #[values(1, 2)] seed: u64,
) {
    let model = Model {
        rate,
        fixed_ms,
        ..ALL_EQUAL
    };
    let mut fleet = Fleet::new(model, true, seed);
    fleet.run(0.5, Duration::from_secs(8)).await;
    fleet.run(load, Duration::from_secs(10)).await;
    let speeds = fleet.speeds();
    let (lowest, highest) = (speeds[0].rate.0, speeds[BOXES - 1].rate.0);
    println!("{rate} {fixed_ms} load {load}: {lowest:.1} to {highest:.1}");
    assert!(lowest > rate * 0.85, "{lowest}");
    assert!(highest < rate * 1.15, "{highest}");
}

/// Guards against estimates that are worse than the prior: boxes that start under overload measure
/// few requests without a queue.
#[rstest]
#[tokio::test(start_paused = true)]
async fn boxes_that_start_under_overload_keep_a_usable_rate(
    #[values(36.7, 69.8, 110.0)] rate: f64,
    #[values(22.0, 110.0)] fixed_ms: f64,
    #[values(0.8, 1.5)] load: f64,
    #[values(1, 2)] seed: u64,
) {
    let model = Model {
        rate,
        fixed_ms,
        ..ALL_EQUAL
    };
    let mut fleet = Fleet::new(model, true, seed);
    fleet.run(load, Duration::from_secs(10)).await;
    let speeds = fleet.speeds();
    let (lowest, highest) = (speeds[0].rate.0, speeds[BOXES - 1].rate.0);
    println!("start {rate} {fixed_ms} load {load}: {lowest:.1} to {highest:.1}");
    let PrefillRate(prior) = PrefillRate::PRIOR;
    assert!(lowest > rate.min(prior) * 0.7, "{lowest}");
    assert!(highest < rate.max(prior) * 1.3, "{highest}");
}

/// Guards against a wrong estimate that makes boxes refuse everything, so that nothing corrects it.
#[rstest]
#[tokio::test(start_paused = true)]
async fn a_wrong_estimate_is_corrected_and_most_is_served(
    #[values(0.5, 1.5)] load: f64,
    #[values(1, 2)] seed: u64,
) {
    let mut fleet = Fleet::new(ALL_EQUAL, true, seed);
    for of in &fleet.boxes {
        for index in 0..50 {
            let tokens = if index % 2 == 0 { SHORT } else { LONG };
            let sample = StartSample {
                tokens: Tokens(tokens),
                queue_ms: 0.0,
                took: Duration::from_millis(500 + tokens),
            };
            let engine = IncarnationHash::of(&engine("other", "za"));
            let mut speeds = of.speeds();
            speeds.record_start(&name("llm"), engine, sample, Instant::now());
        }
    }
    assert!(fleet.speeds()[BOXES - 1].rate.0 < ALL_EQUAL.rate / 3.0);
    fleet.run(load, Duration::from_secs(10)).await;
    let served = fleet.in_time as f64 / (fleet.sent as f64 / load.max(1.0));
    let speeds = fleet.speeds();
    println!(
        "wrong load {load}: {served:.3} in time, {:?} to {:?}",
        speeds[0],
        speeds[BOXES - 1]
    );
    assert!(served > 0.8, "{served}");
    fleet.run(0.5, Duration::from_secs(30)).await;
    let speeds = fleet.speeds();
    let (lowest, highest) = (speeds[0].rate.0, speeds[BOXES - 1].rate.0);
    println!("wrong load {load}: {lowest} to {highest}");
    assert!(lowest > ALL_EQUAL.rate * 0.85, "{lowest}");
    assert!(highest < ALL_EQUAL.rate * 1.15, "{highest}");
}

/// Guards against learned speeds that make a fleet serve less: fewer prompts in time than with the
/// prior rate, at engines of the rate that the prior assumes and at others, some of them slow.
#[rstest]
#[case::as_assumed(56.9, 0.0, 1.0)]
#[case::slower(36.7, 0.0, 1.0)]
#[case::faster(110.0, 0.0, 1.0)]
#[case::a_third_slower(36.7, 0.33, 1.3)]
#[case::some_slow(56.9, 0.1, 3.5)]
#[tokio::test(start_paused = true)]
async fn learned_speeds_serve_as_much_in_time(
    #[case] rate: f64,
    #[case] slow_share: f64,
    #[case] slow_factor: f64,
    #[values(0.9, 1.5)] load: f64,
    #[values(1, 2)] seed: u64,
) {
    let model = Model {
        rate,
        slow_share,
        slow_factor,
        ..ALL_EQUAL
    };
    let mut in_time = Vec::new();
    for is_learning in [false, true] {
        let mut fleet = Fleet::new(model, is_learning, seed);
        fleet.run(0.5, Duration::from_secs(8)).await;
        (fleet.sent, fleet.in_time) = (0, 0);
        fleet.run(load, Duration::from_secs(10)).await;
        println!(
            "learning {is_learning} {rate} {slow_share} {slow_factor} load {load}: {} of {} in time, {} refused",
            fleet.in_time, fleet.sent, fleet.refused
        );
        in_time.push(fleet.in_time as f64);
    }
    assert!(in_time[1] >= in_time[0] * 0.95, "{in_time:?}");
}
