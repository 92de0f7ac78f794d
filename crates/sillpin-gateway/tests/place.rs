//! Tests of the choice among targets.

mod common;

use common::{anywhere, engine, name, store, target};
use rstest::rstest;
use sillpin_core::{ModelId, TargetId, Tokens, WeightVersion, ZoneId};
use sillpin_gateway::cache_stores::CacheStores;
use sillpin_gateway::cache_stores::isolation::{IsolatedSet, Sharing};
use sillpin_gateway::config::Priority;
use sillpin_gateway::config::{EngineSpec, FleetConfig};
use sillpin_gateway::control::{PartKey, StoreListing};
use sillpin_gateway::control::{Presence, TargetEntry};
use sillpin_gateway::dialect::{LimitSignal, Part, PartId, Prompt};
use sillpin_gateway::peers::datagram::{BoxHash, EngineUpdate, EngineUpdateContent};
use sillpin_gateway::placement::choose::PromptInputs;
use sillpin_gateway::placement::direct_work::ZoneScope;
use sillpin_gateway::placement::engine_speed::{PoolSpeed, StartSample};
use sillpin_gateway::placement::index::TargetIndex;
use sillpin_gateway::placement::limits::LimitContext;
use sillpin_gateway::placement::load::Outcome;
use sillpin_gateway::placement::parts::{Plan, PlanInputs, plan, salt};
use sillpin_gateway::placement::shared_limit::ShareGroup;
use sillpin_gateway::placement::signals::limit::LimitObservation;
use sillpin_gateway::placement::work::{EngineWork, IncarnationHash, TargetHash, Work};
use sillpin_gateway::placement::{ChoiceInputs, ChosenTarget, Loads, SoftwareFilter, choose};
use sillpin_gateway::settings::WarmUpRules;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

type Targets = HashMap<TargetId, Arc<TargetEntry>>;

fn targets(entries: Vec<TargetEntry>) -> Targets {
    let entry = |entry: TargetEntry| (entry.id.clone(), Arc::new(entry));
    entries.into_iter().map(entry).collect()
}

fn three() -> Targets {
    targets(vec![
        engine("e1", "za"),
        engine("e2", "zb"),
        engine("e3", "zc"),
    ])
}

struct Fixture {
    targets: Targets,
    loads: Loads,
    tried: Vec<TargetId>,
    max_in_flight: u32,
    body_len: usize,
    reported_late: bool,
}

impl Fixture {
    fn new(targets: Targets) -> Self {
        Self {
            targets,
            loads: Loads::default(),
            tried: Vec::new(),
            max_in_flight: 10,
            body_len: 0,
            reported_late: false,
        }
    }

    fn choose(&self, prompt: Option<PromptInputs<'_>>) -> Option<String> {
        let found = self.find(prompt);
        found.map(|chosen| chosen.target.id.to_string())
    }

    fn find(&self, prompt: Option<PromptInputs<'_>>) -> Option<ChosenTarget> {
        let zone: ZoneId = name("za");
        let choice = ChoiceInputs {
            targets: &TargetIndex::new(&self.targets),
            reported_late: self.reported_late,
            loads: &self.loads,
            pool: &name("llm"),
            zone: &zone,
            max_in_flight: self.max_in_flight,
            tried: &self.tried,
            body_len: self.body_len,
            prompt,
            residency: anywhere(),
            limit_context: Some(LimitContext {
                cold: &HashMap::new(),
                warm_up: None,
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
            streams: None,
            software: SoftwareFilter::Any,
            now: Instant::now(),
        };
        choose(&choice)
    }
}

#[tokio::test(start_paused = true)]
async fn the_own_zone_is_preferred_until_it_is_busy() {
    let fixture = Fixture::new(three());
    assert_eq!(fixture.choose(None).as_deref(), Some("e1"));
    let _busy: Vec<_> = (0..3)
        .map(|_| {
            fixture
                .loads
                .start(&target("e1"), Work::one(0.0, Tokens(0)))
        })
        .collect();
    assert_ne!(fixture.choose(None).as_deref(), Some("e1"));
}

#[tokio::test(start_paused = true)]
async fn tried_leaving_and_full_targets_are_no_candidates() {
    let mut leaving = engine("e2", "za");
    leaving.presence = Presence::Leaving;
    let entries = vec![engine("e1", "za"), leaving, engine("e3", "za")];
    let mut fixture = Fixture::new(targets(entries));
    fixture.tried = vec![target("e1")];
    assert_eq!(fixture.choose(None).as_deref(), Some("e3"));
    fixture.max_in_flight = 1;
    let _full = fixture
        .loads
        .start(&target("e3"), Work::one(0.0, Tokens(0)));
    assert_eq!(fixture.choose(None), None);
}

#[tokio::test(start_paused = true)]
async fn an_unreachable_target_is_in_cooldown_until_reachable() {
    let fixture = Fixture::new(three());
    fixture.loads.record(&target("e1"), Outcome::Unreachable);
    tokio::time::advance(Duration::from_secs(3)).await;
    assert_ne!(fixture.choose(None).as_deref(), Some("e1"));
    fixture.loads.record(&target("e1"), Outcome::Reachable);
    assert_eq!(fixture.choose(None).as_deref(), Some("e1"));
}

/// Guards against prompts to a loading engine, which refuses them: when it becomes reachable again,
/// it must still count as loading.
#[tokio::test(start_paused = true)]
async fn a_loading_engine_stays_in_cooldown_when_it_becomes_reachable() {
    let fixture = Fixture::new(three());
    fixture.loads.record(&target("e1"), Outcome::Unreachable);
    fixture.loads.record(&target("e1"), Outcome::Loading);
    tokio::time::advance(Duration::from_millis(400)).await;
    fixture.loads.record(&target("e1"), Outcome::Reachable);
    assert_ne!(fixture.choose(None).as_deref(), Some("e1"));
    fixture.loads.record(&target("e1"), Outcome::Loaded);
    assert_eq!(fixture.choose(None).as_deref(), Some("e1"));
}

/// Guards against requests to an engine that another box reports as loaded but that this box cannot
/// reach.
#[tokio::test(start_paused = true)]
async fn a_loaded_engine_stays_in_cooldown_until_it_is_reachable() {
    let fixture = Fixture::new(three());
    fixture.loads.record(&target("e1"), Outcome::Loading);
    fixture.loads.record(&target("e1"), Outcome::Unreachable);
    fixture.loads.record(&target("e1"), Outcome::Loaded);
    assert_ne!(fixture.choose(None).as_deref(), Some("e1"));
    fixture.loads.record(&target("e1"), Outcome::Reachable);
    assert_eq!(fixture.choose(None).as_deref(), Some("e1"));
}

/// A target without a model that fails its requests is reachable all the time, which must not end
/// its cooldown.
#[tokio::test(start_paused = true)]
async fn a_failing_target_stays_in_cooldown_when_it_becomes_reachable() {
    let fixture = Fixture::new(three());
    for _ in 0..10 {
        fixture.loads.record(&target("e1"), Outcome::Failed);
    }
    fixture.loads.record(&target("e1"), Outcome::Unreachable);
    fixture.loads.record(&target("e1"), Outcome::Reachable);
    let load = fixture.loads.get(&target("e1"));
    assert!(load.in_cooldown(Instant::now()));
}

/// Guards against requests that go from one unreachable target of a partitioned zone to the next, a
/// third of a second each, until they fail.
#[tokio::test(start_paused = true)]
async fn a_partitioned_zone_is_avoided_until_a_target_responds() {
    let mut entries = vec![engine("b1", "zb"), engine("b2", "zb"), engine("b3", "zb")];
    entries.push(engine("a1", "za"));
    let fixture = Fixture::new(targets(entries));
    let _busy: Vec<_> = (0..6)
        .map(|_| {
            fixture
                .loads
                .start(&target("a1"), Work::one(0.0, Tokens(0)))
        })
        .collect();
    let chosen = || fixture.choose(None).unwrap();
    assert!(
        chosen().starts_with('b'),
        "the target of the own zone is busy"
    );
    fixture.loads.record_reachability(&name("zb"), false);
    assert!(
        chosen().starts_with('b'),
        "one unreachable target is no partition"
    );
    fixture.loads.record_reachability(&name("zb"), false);
    assert_eq!(chosen(), "a1");
    fixture.loads.record_reachability(&name("zb"), true);
    assert!(chosen().starts_with('b'));
}

/// Guards against frequent retries at engines that load weights on the order of a partitioned
/// leader. With 59 boxes, each trying again every quarter of a second, these engines refused 470
/// requests in nine seconds.
#[tokio::test(start_paused = true)]
async fn repeated_refusals_lengthen_the_cooldown() {
    let fixture = Fixture::new(three());
    let mut refusals = 0;
    for _ in 0..20 {
        if fixture.choose(None).as_deref() == Some("e1") {
            fixture.loads.record(&target("e1"), Outcome::Refused);
            refusals += 1;
        }
        tokio::time::advance(Duration::from_millis(100)).await;
    }
    assert_eq!(refusals, 4, "in two seconds: at 0, 0.3, 0.8 and 1.8 s");
    tokio::time::advance(Duration::from_secs(1)).await;
    fixture.loads.record(&target("e1"), Outcome::Served);
    fixture.loads.record(&target("e1"), Outcome::Refused);
    tokio::time::advance(Duration::from_millis(260)).await;
    assert_eq!(
        fixture.choose(None).as_deref(),
        Some("e1"),
        "it served a request in between"
    );
}

#[tokio::test(start_paused = true)]
async fn the_only_target_is_used_even_in_cooldown() {
    let fixture = Fixture::new(targets(vec![engine("e1", "za")]));
    fixture.loads.record(&target("e1"), Outcome::Unreachable);
    assert_eq!(fixture.choose(None).as_deref(), Some("e1"));
}

#[tokio::test(start_paused = true)]
async fn a_target_that_fails_half_of_its_requests_gets_less() {
    let fixture = Fixture::new(three());
    for i in 0..20 {
        let outcome = if i % 2 == 0 {
            Outcome::Failed
        } else {
            Outcome::Served
        };
        fixture.loads.record(&target("e1"), outcome);
    }
    assert_ne!(fixture.choose(None).as_deref(), Some("e1"));
}

#[tokio::test(start_paused = true)]
async fn prompts_go_only_to_engines_with_allowed_weights() {
    let mut newer = engine("e2", "zb");
    newer.served[0].version = WeightVersion(2);
    let mut fixture = Fixture::new(targets(vec![engine("e1", "za"), newer]));
    let model = name("m");
    let prompt = |oldest| PromptInputs {
        model: &model,
        tokens: Tokens(9_000),
        latency_objective: Duration::from_millis(500),
        capacity: Tokens(41_000),
        desired: Some(WeightVersion(2)),
        oldest: WeightVersion(oldest),
        plans: &[],
    };
    let _busy: Vec<_> = (0..9)
        .map(|_| {
            fixture
                .loads
                .start(&target("e2"), Work::one(50.0, Tokens(0)))
        })
        .collect();
    assert_eq!(fixture.choose(Some(prompt(0))).as_deref(), Some("e1"));
    assert_eq!(fixture.choose(Some(prompt(2))).as_deref(), Some("e2"));
    fixture.tried = vec![target("e2")];
    assert_eq!(fixture.choose(Some(prompt(2))), None);
}

#[tokio::test(start_paused = true)]
async fn the_work_of_other_boxes_counts_until_it_expires() {
    let fixture = Fixture::new(three());
    let model = name("m");
    let prompt = || PromptInputs {
        model: &model,
        tokens: Tokens(9_000),
        latency_objective: Duration::from_millis(500),
        capacity: Tokens(41_000),
        desired: None,
        oldest: WeightVersion(0),
        plans: &[],
    };
    let work = vec![EngineWork(TargetHash::of(&target("e1")), 500, 9_000, 1)];
    fixture.loads.apply_update(name("box-2"), work);
    assert_ne!(fixture.choose(Some(prompt())).as_deref(), Some("e1"));
    tokio::time::advance(Duration::from_secs(2)).await;
    assert_eq!(fixture.choose(Some(prompt())).as_deref(), Some("e1"));
}

/// Returns a prompt of 9,000 tokens for engines with memory for 41,000.
fn long_prompt(model: &ModelId) -> PromptInputs<'_> {
    PromptInputs {
        model,
        tokens: Tokens(9_000),
        latency_objective: Duration::from_millis(500),
        capacity: Tokens(41_000),
        desired: None,
        oldest: WeightVersion(0),
        plans: &[],
    }
}

#[tokio::test(start_paused = true)]
async fn an_engine_without_free_memory_is_avoided() {
    let fixture = Fixture::new(targets(vec![engine("e1", "za"), engine("e2", "zb")]));
    let model = name("m");
    let chosen = || fixture.choose(Some(long_prompt(&model)));
    let memory_at_e1 = |tokens| vec![EngineWork(TargetHash::of(&target("e1")), 0, tokens, 1)];
    fixture
        .loads
        .apply_update(name("box-2"), memory_at_e1(20_000));
    assert_eq!(
        chosen().as_deref(),
        Some("e1"),
        "there is memory for one more"
    );
    fixture
        .loads
        .apply_update(name("box-2"), memory_at_e1(37_000));
    assert_eq!(chosen().as_deref(), Some("e2"));
}

#[tokio::test(start_paused = true)]
async fn a_long_body_stays_in_its_zone_unless_the_queue_is_long() {
    let mut fixture = Fixture::new(targets(vec![engine("e1", "za"), engine("e2", "zb")]));
    let model = name("m");
    let queue_at_e1 = |ms| vec![EngineWork(TargetHash::of(&target("e1")), ms, 0, 0)];
    fixture.loads.apply_update(name("box-2"), queue_at_e1(20));
    let chosen = |fixture: &Fixture| fixture.choose(Some(long_prompt(&model)));
    assert_eq!(chosen(&fixture).as_deref(), Some("e2"), "a short body");
    fixture.body_len = 18_000;
    assert_eq!(chosen(&fixture).as_deref(), Some("e1"));
    fixture.loads.apply_update(name("box-2"), queue_at_e1(60));
    assert_eq!(chosen(&fixture).as_deref(), Some("e2"));
}

#[rstest]
#[case(0, 5)]
#[case(1, 6)]
#[case(4, 9)]
#[case(5, 9)]
fn demoted_priorities_come_after_all_others_and_keep_their_order(
    #[case] own: u8,
    #[case] late: u8,
) {
    assert_eq!(Priority(own).demoted(), Priority(late));
}

#[tokio::test(start_paused = true)]
async fn a_dropped_guard_ends_its_request() {
    let loads = Loads::default();
    let mut guard = loads.start(&target("e1"), Work::one(100.0, Tokens(0)));
    assert_eq!(loads.get(&target("e1")).in_flight, 1);
    guard.prefill_done();
    assert_eq!(loads.get(&target("e1")).work.prefill_ms, 0.0);
    drop(guard);
    assert_eq!(loads.get(&target("e1")).in_flight, 0);
}

#[tokio::test(start_paused = true)]
async fn a_prompt_does_not_fit_while_memory_is_freed_too_slowly() {
    let fixture = Fixture::new(targets(vec![engine("e1", "za")]));
    let model = name("m");
    let has_memory = || fixture.find(Some(long_prompt(&model))).unwrap().has_memory;
    let work = |tokens| Work::one(0.0, Tokens(tokens));
    let small = fixture.loads.start(&target("e1"), work(25_000));
    assert!(has_memory(), "there is enough memory");
    let mut long = fixture.loads.start(&target("e1"), work(10_000));
    assert!(
        has_memory(),
        "memory is expected within 75 ms, the longest allowed wait"
    );
    long.prefill_done();
    tokio::time::advance(Duration::from_secs(3)).await;
    drop(long);
    let _again = fixture.loads.start(&target("e1"), work(10_000));
    assert!(!has_memory(), "requests hold their memory for seconds");
    drop(small);
    assert!(has_memory());
}

#[tokio::test(start_paused = true)]
async fn a_target_that_another_box_found_replaced_is_avoided_for_a_while() {
    let fixture = Fixture::new(three());
    let hash = IncarnationHash::of(&engine("e1", "za"));
    let observer = Loads::default();
    observer.signals(|signals| signals.replaced.record_observed(hash, Instant::now()));
    let updates = observer.signals(|signals| signals.replaced.updates_to_send(Instant::now()));
    fixture
        .loads
        .signals(|signals| signals.replaced.apply_update(&updates, Instant::now()));
    assert_ne!(fixture.choose(None).as_deref(), Some("e1"));
    let forwarded = fixture
        .loads
        .signals(|signals| signals.replaced.updates_to_send(Instant::now()));
    assert!(
        forwarded.is_empty(),
        "only the box that observed it sends it"
    );
    tokio::time::advance(Duration::from_secs(3)).await;
    fixture
        .loads
        .signals(|signals| signals.replaced.apply_update(&updates, Instant::now()));
    assert!(
        observer
            .signals(|signals| signals.replaced.updates_to_send(Instant::now()))
            .is_empty()
    );
    tokio::time::advance(Duration::from_secs(4)).await;
    assert_eq!(fixture.choose(None).as_deref(), Some("e1"));
}

/// Guards against fetches from other zones: if prompts consider only engines of their box's zone,
/// four of five parts are fetched from another zone. Such a fetch takes a store's link for twice as
/// long, so fetches are late already at 82 % of the capacity that the links have if all fetches
/// stay in their zone.
#[rstest]
#[case::engines_alike(0, 0, "zb")]
#[case::a_short_queue_there(0, 30, "zb")]
#[case::a_long_queue_there(0, 900, "za")]
#[tokio::test(start_paused = true)]
async fn a_prompt_goes_to_the_zone_of_its_parts_though_loads_are_stale(
    #[case] here_ms: u32,
    #[case] there_ms: u32,
    #[case] zone: &str,
) {
    let engines = |zone: &'static str| (0..9).map(move |i| engine(&format!("{zone}-{i}"), zone));
    let mut fixture = Fixture::new(targets(engines("za").chain(engines("zb")).collect()));
    fixture.reported_late = true;
    let work = |zone: &'static str, ms: u32| {
        engines(zone).map(move |e| EngineWork(TargetHash::of(&e.id), ms, 100, 1))
    };
    let totals = work("za", here_ms).chain(work("zb", there_ms)).collect();
    fixture.loads.apply_zone_totals(totals, &[]);
    let model = name("m");
    let plans = [(WeightVersion(1), plan_stored_in("zb"))];
    let prompt = PromptInputs {
        plans: &plans,
        ..long_prompt(&model)
    };
    let chosen = fixture.find(Some(prompt)).unwrap();
    assert_eq!(chosen.target.zone, name(zone));
    assert!(chosen.candidates <= 4 || here_ms + there_ms > 500);
}

/// Guards against waits behind busy engines while one that is known to be idle is not considered.
#[rstest]
#[case::updates_arrive(true, "za-7", false)]
#[case::updates_do_not_arrive(false, "", true)]
#[tokio::test(start_paused = true)]
async fn in_a_fresh_zone_all_engines_are_considered(
    #[case] is_fresh: bool,
    #[case] idle: &str,
    #[case] reported_late: bool,
) {
    let engines = |zone: &'static str| (0..9).map(move |i| engine(&format!("{zone}-{i}"), zone));
    let mut fixture = Fixture::new(targets(engines("za").chain(engines("zb")).collect()));
    fixture.reported_late = true;
    let peer = BoxHash::unranked_from_id(&name("box-2"));
    fixture.loads.set_zone_scope(Some(ZoneScope {
        zone: name("za"),
        peers: vec![peer],
        engines: engines("za").map(|e| TargetHash::of(&e.id)).collect(),
    }));
    let busy = engines("za").filter(|e| e.id != target("za-7"));
    let busy = busy.map(|e| EngineWork(TargetHash::of(&e.id), 200, 100, 1));
    if is_fresh {
        let update = EngineUpdate {
            from: peer,
            sequence: 1,
            content: EngineUpdateContent::Complete(busy.collect()),
        };
        fixture.loads.apply_engine_update(update, Instant::now());
    } else {
        fixture.loads.apply_zone_totals(busy.collect(), &[]);
    }
    let model = name("m");
    let mut chosen = BTreeSet::new();
    for _ in 0..8 {
        let found = fixture.find(Some(long_prompt(&model))).unwrap();
        assert_eq!(found.reported_late, reported_late);
        assert_eq!(found.candidates, if is_fresh { 9 } else { 2 });
        chosen.insert(found.target.id.clone());
    }
    assert!(!is_fresh || chosen == [target(idle)].into(), "{chosen:?}");
}

/// Guards against unused capacity while engines are replaced by cold ones in series: if a box with
/// a share of a cold engine's limit considers two other engines for most prompts, its share goes
/// unused.
#[tokio::test(start_paused = true)]
async fn a_box_with_stale_loads_considers_each_limited_engine_that_it_has_a_share_of() {
    for limited in 0..9 {
        let engines = || (0..9).map(|i| engine(&format!("za-{i}"), "za"));
        let mut fixture = Fixture::new(targets(engines().collect()));
        fixture.reported_late = true;
        let limited_engine = engines().nth(limited).unwrap();
        let busy = engines().filter(|e| e.id != limited_engine.id);
        let work = busy.map(|e| EngineWork(TargetHash::of(&e.id), 200, 100, 1));
        fixture.loads.apply_zone_totals(work.collect(), &[]);
        let observation = LimitObservation {
            sent: Instant::now(),
            announced: Some(LimitSignal::Rate("2".parse().unwrap())),
            success: true,
        };
        let hash = IncarnationHash::of(&limited_engine);
        let now = Instant::now();
        fixture
            .loads
            .signals(|signals| signals.limits.record_response(hash, observation, now));
        let model = name("m");
        let plans = [(WeightVersion(1), plan_stored_in("za"))];
        let prompt = || PromptInputs {
            plans: &plans,
            ..long_prompt(&model)
        };
        for _ in 0..8 {
            let chosen = fixture.find(Some(prompt())).unwrap();
            assert_eq!(chosen.target.id, limited_engine.id);
            fixture.loads.limits().record_sent(&limited_engine.id, now);
        }
        let chosen = fixture.find(Some(prompt())).unwrap();
        assert_ne!(chosen.target.id, limited_engine.id, "its share is used up");
    }
}

/// Returns the plan of a prompt whose shared part is in a store of `zone`.
fn plan_stored_in(zone: &str) -> Plan {
    let part = |id: &str, tokens| Part {
        id: PartId(id.to_owned()),
        tokens: Tokens(tokens),
    };
    let prompt = Prompt {
        model: name("m"),
        parts: vec![part("session", 5_000), part("own", 4_000)],
        tokens: Tokens(9_000),
        max_output: Tokens(10),
    };
    let store = store("s", 7, zone, 1_722_605, 6);
    let (cache_stores, now) = (CacheStores::default(), Instant::now());
    let salt = salt(
        &prompt,
        WeightVersion(1),
        Sharing::AllBut(IsolatedSet::NONE),
    );
    let key = PartKey {
        salt: salt.salt(),
        part: PartId("session".to_owned()),
    };
    let list = StoreListing {
        epoch: 1,
        next: 1,
        complete: vec![(key, Tokens(5_000))],
        partial: Vec::new(),
    };
    cache_stores.lock().apply_list(store.addr, list, now);
    let config = FleetConfig {
        stores: vec![store],
        ..FleetConfig::default()
    };
    let engine = EngineSpec {
        slots: 24,
        capacity: Tokens(41_000),
        token_bytes: 18_432,
        models: vec![name("m")],
    };
    let inputs = PlanInputs {
        config: &config,
        engine: &engine,
        cache_stores: &cache_stores,
        residency: anywhere(),
        in_contact: true,
        speed: PoolSpeed::default(),
        now,
    };
    plan(&prompt, &salt, &inputs)
}

/// Makes an engine four times slower than its pool, in the estimates of a box.
fn make_slow(loads: &Loads, slow: &TargetEntry) {
    let mut speeds = loads.speeds();
    speeds.enable();
    let now = Instant::now();
    let mut record = |engine: IncarnationHash, tokens: u64, factor: u32| {
        let sample = StartSample {
            tokens: Tokens(tokens),
            queue_ms: 0.0,
            took: Duration::from_secs_f64(tokens as f64 / 56_900.0) * factor,
        };
        speeds.record_start(&name("llm"), engine, sample, now);
    };
    let other = IncarnationHash::of(&engine("other", "za"));
    for _ in 0..20 {
        record(other, 800, 1);
        record(other, 9_000, 1);
    }
    for _ in 0..3 {
        record(IncarnationHash::of(slow), 9_000, 4);
    }
}

/// Guards against prompts that wait behind the queue of a slow engine as if it were a normal one, and
/// against changed decisions in small fleets.
#[rstest]
#[case::large_fleet(true, "e2", 100.0)]
#[case::small_fleet(false, "e1", 50.0)]
#[tokio::test(start_paused = true)]
async fn the_queue_of_a_slow_engine_counts_by_its_slowness(
    #[case] reported_late: bool,
    #[case] wanted: &str,
    #[case] queue_ms: f64,
) {
    let slow = engine("e1", "za");
    let mut fixture = Fixture::new(targets(vec![slow.clone(), engine("e2", "za")]));
    fixture.reported_late = reported_late;
    make_slow(&fixture.loads, &slow);
    let _queued = [
        fixture
            .loads
            .start(&slow.id, Work::one(50.0, Tokens(1_000))),
        fixture
            .loads
            .start(&target("e2"), Work::one(100.0, Tokens(1_000))),
    ];
    let model = name("m");
    let prompt = PromptInputs {
        model: &model,
        tokens: Tokens(9_000),
        latency_objective: Duration::from_millis(500),
        capacity: Tokens(41_000),
        desired: None,
        oldest: WeightVersion(1),
        plans: &[],
    };
    let chosen = fixture.find(Some(prompt)).unwrap();
    assert_eq!(chosen.target.id, target(wanted));
    assert!((chosen.queue_ms - queue_ms).abs() < 1e-6);
}

/// Guards against an idle slow engine that is preferred over an idle normal one because only its
/// queue counts.
#[tokio::test(start_paused = true)]
async fn the_own_prefill_counts_by_the_slowness_of_an_engine() {
    let slow = engine("e1", "za");
    let mut fixture = Fixture::new(targets(vec![slow.clone(), engine("e2", "za")]));
    fixture.reported_late = true;
    make_slow(&fixture.loads, &slow);
    let _queued = fixture
        .loads
        .start(&target("e2"), Work::one(60.0, Tokens(1_000)));
    let plans = [(WeightVersion(1), plan_stored_in("zb"))];
    let model = name("m");
    let prompt = PromptInputs {
        model: &model,
        tokens: Tokens(9_000),
        latency_objective: Duration::from_millis(500),
        capacity: Tokens(41_000),
        desired: None,
        oldest: WeightVersion(1),
        plans: &plans,
    };
    let chosen = fixture.find(Some(prompt)).unwrap();
    assert_eq!(chosen.target.id, target("e2"));
}
