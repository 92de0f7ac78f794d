//! Tests of the rules of stream engines: which prompts are short, how many engines are reserved, and which engine a
//! prompt gets.

mod common;

use common::engines::plan_without_stored_parts;
use common::{anywhere, engine, name, target};
use rstest::rstest;
use sillpin_core::{PoolId, TargetId, Tokens, WeightVersion, ZoneId};
use sillpin_gateway::config::{EngineSpec, FleetConfig, Idempotency, Priority, Route, Share};
use sillpin_gateway::control::TargetEntry;
use sillpin_gateway::placement::choose::PromptInputs;
use sillpin_gateway::placement::engine_speed::PrefillRate;
use sillpin_gateway::placement::index::TargetIndex;
use sillpin_gateway::placement::limits::LimitContext;
use sillpin_gateway::placement::load::Outcome;
use sillpin_gateway::placement::shared_limit::ShareGroup;
use sillpin_gateway::placement::standing::Queue;
use sillpin_gateway::placement::stream_engines::count::ZoneCount;
use sillpin_gateway::placement::stream_engines::long_prompts::{LongPrompts, interval};
use sillpin_gateway::placement::stream_engines::{
    Fill, PromptKind, StreamEngines, StreamInputs, StreamRules, ZoneDemand, sort,
};
use sillpin_gateway::placement::work::Work;
use sillpin_gateway::placement::{
    ChoiceInputs, ChosenTarget, InFlightGuard, Loads, SoftwareFilter, choose,
};
use sillpin_gateway::settings::WarmUpRules;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

const SHORT: Tokens = Tokens(827);
const LONG: Tokens = Tokens(9_190);
const STREAM: Tokens = Tokens(1_000);

const RULES: StreamRules = StreamRules {
    max_event_gap: Duration::from_millis(800),
    slots: 16,
    capacity: Tokens(45_000),
    comfortable_batch: 16,
};

#[rstest]
#[case::first(400, 11.8, PromptKind::Short)]
#[case::first(400, 131.7, PromptKind::Long)]
#[case::second(800, 22.5, PromptKind::Short)]
#[case::second(800, 250.4, PromptKind::Long)]
fn a_prompt_is_short_if_it_delays_streams_little(
    #[case] max_event_gap_ms: u64,
    #[case] prefill_ms: f64,
    #[case] kind: PromptKind,
) {
    let rules = StreamRules {
        max_event_gap: Duration::from_millis(max_event_gap_ms),
        ..RULES
    };
    assert_eq!(rules.kind(prefill_ms), kind);
}

#[rstest]
#[case::slots(16, 43_416, 16, 12.0)]
#[case::memory(64, 45_102, 64, 32.0)]
#[case::pace(64, 450_000, 30, 30.0)]
fn the_comfortable_batch_is_the_smallest_limit(
    #[case] slots: u32,
    #[case] capacity: u64,
    #[case] comfortable_batch: u32,
    #[case] expected: f64,
) {
    let rules = StreamRules {
        slots,
        capacity: Tokens(capacity),
        ..RULES
    };
    let rules = rules.with_comfortable_batch(comfortable_batch);
    assert_eq!(rules.max_batch(1_119.0, Fill::Comfortable), expected);
}

fn route(priority: u8, max_event_gap: Option<u64>, pool: &str) -> Arc<Route> {
    Arc::new(Route {
        name: "r".to_owned(),
        host: "h".to_owned(),
        prefix: "/".to_owned(),
        streaming: true,
        idempotency: Idempotency::Idempotent,
        resumable: false,
        timeout: Duration::from_secs(5),
        latency_objective: Duration::from_millis(500),
        event_timeout: Duration::from_secs(1),
        max_event_gap: max_event_gap.map(Duration::from_millis),
        priority: Priority(priority),
        shares: vec![Share {
            pool: name(pool),
            weight: 1,
        }],
        max_runs: 1,
        public: true,
        regions: Vec::new(),
    })
}

/// Guards against engines that are reserved where the configuration does not ask for it.
#[rstest]
#[case::both(vec![route(0, Some(800), "llm"), route(2, Some(400), "llm")], Some(400))]
#[case::one_states_a_pause(vec![route(0, None, "llm"), route(2, Some(800), "llm")], Some(800))]
#[case::no_pause(vec![route(0, None, "llm"), route(2, None, "llm")], None)]
#[case::one_priority(vec![route(1, Some(800), "llm"), route(1, Some(400), "llm")], None)]
#[case::other_pool(vec![route(0, Some(800), "llm"), route(2, Some(400), "other")], None)]
fn the_configuration_asks_for_stream_engines(
    #[case] routes: Vec<Arc<Route>>,
    #[case] max_event_gap_ms: Option<u64>,
) {
    let config = FleetConfig {
        routes,
        ..FleetConfig::default()
    };
    let engine = EngineSpec {
        slots: 16,
        capacity: Tokens(45_000),
        token_bytes: 1,
        models: vec![name("m")],
    };
    let rules = StreamRules::of(&config, &name("llm"), &engine);
    let max_event_gap = max_event_gap_ms.map(Duration::from_millis);
    assert_eq!(rules.map(|rules| rules.max_event_gap), max_event_gap);
}

fn demand(streams: f64, usable: usize) -> ZoneDemand {
    ZoneDemand {
        streams,
        batch: 12.0,
        usable,
    }
}

/// Guards against a number that follows each dip of the demand: engines that leave get long prompts at once.
#[tokio::test(start_paused = true)]
async fn the_number_rises_at_once_and_falls_slowly() {
    let mut count = ZoneCount::default();
    assert_eq!(count.update(&demand(100.0, 30), Instant::now()), 10);
    assert_eq!(count.update(&demand(120.0, 30), Instant::now()), 11);
    for _ in 0..19 {
        tokio::time::advance(Duration::from_millis(100)).await;
        assert_eq!(count.update(&demand(60.0, 30), Instant::now()), 11);
    }
    for expected in [11, 10, 9, 8, 7, 6, 6] {
        assert_eq!(count.update(&demand(60.0, 30), Instant::now()), expected);
        tokio::time::advance(Duration::from_millis(500)).await;
    }
}

/// Guards against streams that find no engine while their number grows. Its square root may be chance and does not count
/// as growth.
#[rstest]
#[case::all_of_it(4.0, 15)]
#[case::a_doubling(10.0, 24)]
#[tokio::test(start_paused = true)]
async fn growth_within_a_second_is_reserved_in_advance(
    #[case] streams_per_step: f64,
    #[case] expected: usize,
) {
    let mut count = ZoneCount::default();
    for step in 0..=10 {
        let streams = 100.0 + streams_per_step * f64::from(step);
        count.update(&demand(streams, 40), Instant::now());
        tokio::time::advance(Duration::from_millis(100)).await;
    }
    assert_eq!(count.count(), expected);
}

/// Guards against a zone in which long prompts are served nowhere.
#[tokio::test(start_paused = true)]
async fn one_engine_is_left_for_long_prompts() {
    let mut count = ZoneCount::default();
    assert_eq!(count.update(&demand(10_000.0, 30), Instant::now()), 29);
    assert_eq!(count.update(&demand(10_000.0, 20), Instant::now()), 19);
    assert_eq!(count.update(&demand(0.0, 0), Instant::now()), 0);
}

/// Guards against long prompts that take more of the stream engines than allowed because each box decides on its own,
/// and against all boxes sending one at the moment at which the other engines become busy.
#[tokio::test(start_paused = true)]
async fn boxes_together_send_few_long_prompts_to_stream_engines() {
    const BOXES: usize = 29;
    const ENGINES: usize = 10;
    const PREFILL_MS: f64 = 250.0;
    let interval = interval(PREFILL_MS, ENGINES, BOXES);
    let mut boxes: Vec<LongPrompts> = (0..BOXES).map(|_| LongPrompts::default()).collect();
    let draw = |step: usize, at: usize| (step * 31 + at * 17) as f64 % 29.0 / 29.0;
    let (mut sent, mut sent_at_first) = (0, 0);
    for step in 0..6_000 {
        let now = Instant::now();
        for (at, of) in boxes.iter_mut().enumerate() {
            if of.may_send(interval, draw(step, at), now) {
                of.record_sent(draw(step, at), now);
                sent += 1;
                sent_at_first += usize::from(step < 30);
            }
        }
        tokio::time::advance(Duration::from_millis(10)).await;
    }
    let share = f64::from(sent) * PREFILL_MS / (60_000.0 * ENGINES as f64);
    assert!((0.15..=0.22).contains(&share), "{share}");
    assert!(sent_at_first <= 5, "{sent_at_first}");
}

struct Fixture {
    index: TargetIndex,
    loads: Loads,
    cold: HashMap<TargetId, Instant>,
    reported_late: bool,
    guards: Vec<InFlightGuard>,
    draw: u64,
}

impl Fixture {
    fn new(engines: &[(&str, usize)], reported_late: bool) -> Self {
        let ids = engines.iter().flat_map(|(zone, count)| {
            (0..*count).map(move |index| engine(&format!("{zone}-{index}"), zone))
        });
        let targets: HashMap<TargetId, Arc<TargetEntry>> = ids
            .map(|entry| (entry.id.clone(), Arc::new(entry)))
            .collect();
        Self {
            index: TargetIndex::new(&targets),
            loads: Loads::default(),
            cold: HashMap::new(),
            reported_late,
            guards: Vec::new(),
            draw: 0,
        }
    }

    /// Returns the ids of a zone's engines in the order in which they become stream engines.
    fn ordered(&self, zone: &str) -> Vec<String> {
        let pool = self.index.pool(&name("llm")).unwrap();
        let mut engines: Vec<_> = pool.of_zone(&name(zone)).iter().collect();
        sort(&mut engines);
        let ids = engines.iter().map(|engine| engine.entry.id.to_string());
        ids.collect()
    }

    /// Starts streams at an engine whose prefill is done.
    fn start_streams(&mut self, id: &str, count: usize) {
        for _ in 0..count {
            let stream = Work::one(0.0, STREAM);
            let guard = self
                .loads
                .start_stream(&target(id), Work::one(0.0, SHORT), stream);
            self.guards.push(guard);
        }
    }

    fn start_long(&mut self, id: &str, prefill_ms: f64) {
        let guard = self.loads.start(&target(id), Work::one(prefill_ms, LONG));
        self.guards.push(guard);
    }

    /// Records that a long prompt is sent to a stream engine.
    fn record_long_sent(&self) {
        let mut state = self.loads.stream_engines();
        let long_prompts = state.long_prompts(&name("llm"));
        long_prompts.record_sent(0.5, Instant::now());
    }

    fn choose(&mut self, tokens: Tokens) -> ChosenTarget {
        self.draw += 1;
        let prefill_ms = PrefillRate::PRIOR.ms(tokens);
        let streams = StreamInputs {
            rules: RULES,
            kind: RULES.kind(prefill_ms),
            prefill_ms,
            zone_boxes: 1,
            draw: self.draw.wrapping_mul(0x9e37_79b9_7f4a_7c15),
        };
        self.choose_with(tokens, Some(streams))
    }

    fn choose_with(&self, tokens: Tokens, streams: Option<StreamInputs>) -> ChosenTarget {
        let (pool, zone): (PoolId, ZoneId) = (name("llm"), name("za"));
        let plans = [(
            WeightVersion(1),
            plan_without_stored_parts(self.draw, tokens),
        )];
        let choice = ChoiceInputs {
            targets: &self.index,
            reported_late: self.reported_late,
            loads: &self.loads,
            pool: &pool,
            zone: &zone,
            max_in_flight: 1_000,
            tried: &[],
            body_len: 900,
            prompt: Some(PromptInputs {
                model: &name("m"),
                tokens,
                latency_objective: Duration::from_millis(800),
                capacity: RULES.capacity,
                desired: None,
                oldest: WeightVersion(0),
                plans: &plans,
            }),
            residency: anywhere(),
            limit_context: Some(LimitContext {
                cold: &self.cold,
                warm_up: Some(sillpin_gateway::config::WarmUp {
                    time: Duration::from_secs(3),
                    per_s: 10.0,
                }),
                rules: WarmUpRules {
                    overage: 1.5,
                    slack: 5.0,
                },
                share_group: ShareGroup {
                    me: &name("b"),
                    zone: &zone,
                    others: &Arc::default(),
                    is_membership_known: true,
                    is_stopping: false,
                    is_in_contact: true,
                    pool_zones: &[],
                },
            }),
            streams,
            software: SoftwareFilter::Any,
            now: Instant::now(),
        };
        choose(&choice).unwrap()
    }

    /// Returns the engines that `count` prompts get; none of them is sent.
    fn chosen(&mut self, tokens: Tokens, count: usize) -> BTreeSet<String> {
        let ids = (0..count).map(|_| self.choose(tokens).target.id.to_string());
        ids.collect()
    }
}

fn set(ids: &[String]) -> BTreeSet<String> {
    ids.iter().cloned().collect()
}

/// With 20 streams, and 2 more as headroom, two engines of 12 streams are needed.
#[rstest]
#[tokio::test(start_paused = true)]
async fn kinds_of_prompts_use_different_engines(#[values(false, true)] reported_late: bool) {
    let mut fixture = Fixture::new(&[("za", 16)], reported_late);
    let order = fixture.ordered("za");
    fixture.start_streams(&order[9], 10);
    fixture.start_streams(&order[12], 10);
    assert_eq!(fixture.chosen(SHORT, 50), set(&order[..2]));
    let long = fixture.chosen(LONG, 200);
    assert!(long.is_disjoint(&set(&order[..2])), "{long:?}");
    // Engines that run many streams get no long prompts while others can start them.
    assert!(!long.contains(&order[9]) && !long.contains(&order[12]));
}

/// Guards against a set of engines that differs between boxes with the same reports, and against streams that are
/// counted only by the box that sent them.
#[rstest]
#[tokio::test(start_paused = true)]
async fn other_boxes_learn_of_streams(#[values(false, true)] reported_late: bool) {
    let mut sender = Fixture::new(&[("za", 16)], reported_late);
    let order = sender.ordered("za");
    sender.start_streams(&order[5], 30);
    let mut receiver = Fixture::new(&[("za", 16)], reported_late);
    let rows = sender.loads.updates_to_send();
    assert_eq!(rows.len(), 2);
    receiver.loads.apply_update(name("b-1"), rows);
    assert_eq!(receiver.chosen(SHORT, 50), set(&order[..3]));
    sender.guards.clear();
    assert!(sender.loads.updates_to_send().is_empty());
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn engines_that_cannot_be_used_are_replaced(#[values(false, true)] reported_late: bool) {
    let mut fixture = Fixture::new(&[("za", 16)], reported_late);
    let order = fixture.ordered("za");
    fixture.start_streams(&order[15], 20);
    assert_eq!(fixture.chosen(SHORT, 50), set(&order[..2]));
    fixture.loads.record(&target(&order[0]), Outcome::Loading);
    assert_eq!(fixture.chosen(SHORT, 50), set(&order[1..3]));
    let warm = Instant::now() + Duration::from_secs(3);
    fixture.cold.insert(target(&order[1]), warm);
    assert_eq!(fixture.chosen(SHORT, 50), set(&order[2..4]));
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn a_full_zone_uses_stream_engines_of_other_zones(
    #[values(false, true)] reported_late: bool,
) {
    let mut fixture = Fixture::new(&[("za", 16), ("zb", 16)], reported_late);
    let (own, other) = (fixture.ordered("za"), fixture.ordered("zb"));
    for id in &own {
        fixture.start_streams(id, 12);
    }
    fixture.start_streams(&other[5], 3);
    assert_eq!(fixture.chosen(SHORT, 50), set(&other[..2]));
}

/// Guards against long prompts that stall streams while other engines could serve them, and against stream engines
/// that stay idle while long prompts would be late.
#[rstest]
#[tokio::test(start_paused = true)]
async fn a_late_long_prompt_may_use_an_idle_stream_engine(
    #[values(false, true)] reported_late: bool,
) {
    let mut fixture = Fixture::new(&[("za", 16)], reported_late);
    let order = fixture.ordered("za");
    fixture.start_streams(&order[0], 20);
    for id in &order[2..] {
        fixture.start_long(id, 1_500.0);
    }
    assert!(!fixture.choose(LONG).is_stream_engine);
    // One box and two engines: one prompt of 161 ms in 0.4 s on average.
    tokio::time::advance(Duration::from_millis(450)).await;
    let chosen = fixture.choose(LONG);
    assert!(chosen.is_stream_engine);
    fixture.record_long_sent();
    assert!(!fixture.choose(LONG).is_stream_engine);
    // While both run a long prompt, neither gets another.
    fixture.start_long(&order[0], 100.0);
    fixture.start_long(&order[1], 100.0);
    tokio::time::advance(Duration::from_millis(450)).await;
    assert!(!fixture.choose(LONG).is_stream_engine);
}

/// Guards against a single engine that is a large part of its zone.
#[rstest]
#[tokio::test(start_paused = true)]
async fn nothing_is_reserved_in_a_small_zone(#[values(false, true)] reported_late: bool) {
    let mut fixture = Fixture::new(&[("za", 11)], reported_late);
    fixture.start_streams("za-3", 30);
    for _ in 0..50 {
        let long = fixture.choose(LONG);
        assert_eq!(long.target.id, fixture.choose_with(LONG, None).target.id);
        assert!(!fixture.choose(SHORT).is_stream_engine);
    }
}

/// Guards against refusals of one kind because of a shortage at the engines of the other.
#[tokio::test(start_paused = true)]
async fn the_kinds_have_separate_standing_queues() {
    let loads = Loads::default();
    let now = Instant::now();
    let busy = Queue::reported(900.0, false);
    for _ in 0..50 {
        loads.record_queue(Some(PromptKind::Long), busy, now);
    }
    let idle = Queue::reported(0.0, false);
    assert_eq!(loads.record_queue(Some(PromptKind::Short), idle, now), 0.0);
    assert_eq!(loads.record_queue(None, idle, now), 0.0);
    assert!(loads.record_queue(Some(PromptKind::Long), busy, now) > 800.0);
}

#[tokio::test(start_paused = true)]
async fn changes_are_reported_at_most_once_a_second() {
    let mut state = StreamEngines::default();
    let (pool, zone): (PoolId, ZoneId) = (name("llm"), name("za"));
    let mut update = |streams| {
        state.update(&pool, &zone, &demand(streams, 30), Instant::now());
        state.take_change(&pool, Instant::now())
    };
    assert_eq!(update(0.0), None);
    assert_eq!(update(20.0).as_deref(), Some("za:3"));
    assert_eq!(update(100.0), None);
    tokio::time::advance(Duration::from_secs(1)).await;
    assert!(update(100.0).is_some());
    tokio::time::advance(Duration::from_secs(1)).await;
    assert_eq!(update(100.0), None);
}
