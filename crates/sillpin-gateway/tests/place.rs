//! Choices among targets, retry budgets, whole events.

mod common;

use common::{anywhere, engine, name, store, target};
use rstest::rstest;
use sillpin_core::{ModelId, TargetId, Tokens, WeightVersion, ZoneId};
use sillpin_gateway::config::Priority;
use sillpin_gateway::config::{EngineSpec, FleetConfig};
use sillpin_gateway::control::{PartKey, StoreListing};
use sillpin_gateway::control::{Presence, TargetEntry};
use sillpin_gateway::dialect::{LimitSignal, Part, PartId, Prompt};
use sillpin_gateway::kept::Kept;
use sillpin_gateway::place::choose::PromptChoice;
use sillpin_gateway::place::index::TargetIndex;
use sillpin_gateway::place::limits::Gate;
use sillpin_gateway::place::load::Outcome;
use sillpin_gateway::place::parts::{Plan, PlanInputs, plan, salt};
use sillpin_gateway::place::shared_limit::Sharers;
use sillpin_gateway::place::words::limit::Heard;
use sillpin_gateway::place::work::{EngineWork, LifeHash, TargetHash, Work};
use sillpin_gateway::place::{Choice, Chosen, Loads, choose};
use sillpin_gateway::settings::WarmUpRules;
use std::collections::HashMap;
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

struct Setting {
    targets: Targets,
    loads: Loads,
    tried: Vec<TargetId>,
    most_in_flight: u32,
    body_len: usize,
    heard_late: bool,
}

impl Setting {
    fn new(targets: Targets) -> Self {
        Self {
            targets,
            loads: Loads::default(),
            tried: Vec::new(),
            most_in_flight: 10,
            body_len: 0,
            heard_late: false,
        }
    }

    fn choose(&self, prompt: Option<PromptChoice<'_>>) -> Option<String> {
        let found = self.find(prompt);
        found.map(|chosen| chosen.target.id.to_string())
    }

    fn find(&self, prompt: Option<PromptChoice<'_>>) -> Option<Chosen> {
        let zone: ZoneId = name("za");
        let choice = Choice {
            targets: &TargetIndex::new(&self.targets),
            heard_late: self.heard_late,
            loads: &self.loads,
            pool: &name("llm"),
            zone: &zone,
            most_in_flight: self.most_in_flight,
            tried: &self.tried,
            body_len: self.body_len,
            prompt,
            residency: anywhere(),
            gate: Some(Gate {
                cold: &HashMap::new(),
                warm_up: None,
                rules: WarmUpRules {
                    overage: 1.5,
                    slack: 5.0,
                },
                sharers: Sharers {
                    me: &name("b"),
                    zone: &zone,
                    others: &Arc::default(),
                    is_settled: true,
                    is_stopping: false,
                    is_in_touch: true,
                    pool_zones: &[],
                },
            }),
            now: Instant::now(),
        };
        choose(&choice)
    }
}

#[tokio::test(start_paused = true)]
async fn the_own_zone_is_preferred_until_it_is_busy() {
    let setting = Setting::new(three());
    assert_eq!(setting.choose(None).as_deref(), Some("e1"));
    let _busy: Vec<_> = (0..3)
        .map(|_| {
            setting
                .loads
                .start(&target("e1"), Work::one(0.0, Tokens(0)))
        })
        .collect();
    assert_ne!(setting.choose(None).as_deref(), Some("e1"));
}

#[tokio::test(start_paused = true)]
async fn tried_leaving_and_full_targets_are_no_candidates() {
    let mut leaving = engine("e2", "za");
    leaving.presence = Presence::Leaving;
    let entries = vec![engine("e1", "za"), leaving, engine("e3", "za")];
    let mut setting = Setting::new(targets(entries));
    setting.tried = vec![target("e1")];
    assert_eq!(setting.choose(None).as_deref(), Some("e3"));
    setting.most_in_flight = 1;
    let _full = setting
        .loads
        .start(&target("e3"), Work::one(0.0, Tokens(0)));
    assert_eq!(setting.choose(None), None);
}

#[tokio::test(start_paused = true)]
async fn a_target_out_of_reach_rests_until_it_can_be_reached() {
    let setting = Setting::new(three());
    setting.loads.note(&target("e1"), Outcome::Unreachable);
    tokio::time::advance(Duration::from_secs(3)).await;
    assert_ne!(setting.choose(None).as_deref(), Some("e1"));
    setting.loads.note(&target("e1"), Outcome::Reachable);
    assert_eq!(setting.choose(None).as_deref(), Some("e1"));
}

/// An engine was out of reach for a moment and then ordered to load weights. A try at its address succeeded while it loaded, and
/// with that it no longer counted as loading: prompts went to it and were refused.
#[tokio::test(start_paused = true)]
async fn an_engine_that_loads_is_passed_over_though_it_can_be_reached() {
    let setting = Setting::new(three());
    setting.loads.note(&target("e1"), Outcome::Unreachable);
    setting.loads.note(&target("e1"), Outcome::Loading);
    tokio::time::advance(Duration::from_millis(400)).await;
    setting.loads.note(&target("e1"), Outcome::Reachable);
    assert_ne!(setting.choose(None).as_deref(), Some("e1"));
    setting.loads.note(&target("e1"), Outcome::Loaded);
    assert_eq!(setting.choose(None).as_deref(), Some("e1"));
}

/// Another box said that an engine had loaded its weights, and this box, which could not reach that engine, tried it with
/// requests again.
#[tokio::test(start_paused = true)]
async fn an_engine_that_has_loaded_is_passed_over_until_it_can_be_reached() {
    let setting = Setting::new(three());
    setting.loads.note(&target("e1"), Outcome::Loading);
    setting.loads.note(&target("e1"), Outcome::Unreachable);
    setting.loads.note(&target("e1"), Outcome::Loaded);
    assert_ne!(setting.choose(None).as_deref(), Some("e1"));
    setting.loads.note(&target("e1"), Outcome::Reachable);
    assert_eq!(setting.choose(None).as_deref(), Some("e1"));
}

/// A plain target that failed request after request can be reached all the time: that is no reason to try it sooner.
#[tokio::test(start_paused = true)]
async fn a_failing_target_rests_though_it_can_be_reached() {
    let setting = Setting::new(three());
    for _ in 0..10 {
        setting.loads.note(&target("e1"), Outcome::Failed);
    }
    setting.loads.note(&target("e1"), Outcome::Unreachable);
    setting.loads.note(&target("e1"), Outcome::Reachable);
    let load = setting.loads.get(&target("e1"));
    assert!(load.rests(Instant::now()));
}

/// On a day with a zone cut off, requests went from one silent target of that zone to the next, a third of a
/// second each, until they were given up.
#[tokio::test(start_paused = true)]
async fn a_zone_that_looks_cut_off_is_left_alone_until_something_answers_there() {
    let mut entries = vec![engine("b1", "zb"), engine("b2", "zb"), engine("b3", "zb")];
    entries.push(engine("a1", "za"));
    let setting = Setting::new(targets(entries));
    let _busy: Vec<_> = (0..6)
        .map(|_| {
            setting
                .loads
                .start(&target("a1"), Work::one(0.0, Tokens(0)))
        })
        .collect();
    let chosen = || setting.choose(None).unwrap();
    assert!(chosen().starts_with('b'), "the own target is busy");
    setting.loads.note_reach(&name("zb"), false);
    assert!(
        chosen().starts_with('b'),
        "one target out of reach is no cut"
    );
    setting.loads.note_reach(&name("zb"), false);
    assert_eq!(chosen(), "a1");
    setting.loads.note_reach(&name("zb"), true);
    assert!(chosen().starts_with('b'));
}

/// With 59 boxes, engines that loaded weights on the order of a holder cut off from the others refused 470
/// requests in nine seconds: each box came back every quarter of a second.
#[tokio::test(start_paused = true)]
async fn a_target_that_keeps_refusing_rests_longer_each_time() {
    let setting = Setting::new(three());
    let mut refusals = 0;
    for _ in 0..20 {
        if setting.choose(None).as_deref() == Some("e1") {
            setting.loads.note(&target("e1"), Outcome::Refused);
            refusals += 1;
        }
        tokio::time::advance(Duration::from_millis(100)).await;
    }
    assert_eq!(refusals, 4, "in two seconds: at 0, 0.3, 0.8 and 1.8 s");
    tokio::time::advance(Duration::from_secs(1)).await;
    setting.loads.note(&target("e1"), Outcome::Served);
    setting.loads.note(&target("e1"), Outcome::Refused);
    tokio::time::advance(Duration::from_millis(260)).await;
    assert_eq!(
        setting.choose(None).as_deref(),
        Some("e1"),
        "it served in between"
    );
}

#[tokio::test(start_paused = true)]
async fn the_last_target_is_used_even_if_it_rests() {
    let setting = Setting::new(targets(vec![engine("e1", "za")]));
    setting.loads.note(&target("e1"), Outcome::Unreachable);
    assert_eq!(setting.choose(None).as_deref(), Some("e1"));
}

#[tokio::test(start_paused = true)]
async fn a_target_that_fails_half_of_its_requests_gets_less() {
    let setting = Setting::new(three());
    for i in 0..20 {
        let outcome = if i % 2 == 0 {
            Outcome::Failed
        } else {
            Outcome::Served
        };
        setting.loads.note(&target("e1"), outcome);
    }
    assert_ne!(setting.choose(None).as_deref(), Some("e1"));
}

#[tokio::test(start_paused = true)]
async fn requests_of_weights_replaced_too_long_ago_go_to_new_ones_only() {
    let mut newer = engine("e2", "zb");
    newer.served[0].version = WeightVersion(2);
    let mut setting = Setting::new(targets(vec![engine("e1", "za"), newer]));
    let model = name("m");
    let prompt = |oldest| PromptChoice {
        model: &model,
        tokens: Tokens(9_000),
        latency_objective: Duration::from_millis(500),
        capacity: Tokens(41_000),
        wanted: Some(WeightVersion(2)),
        oldest: WeightVersion(oldest),
        plans: &[],
    };
    let _busy: Vec<_> = (0..9)
        .map(|_| {
            setting
                .loads
                .start(&target("e2"), Work::one(50.0, Tokens(0)))
        })
        .collect();
    assert_eq!(setting.choose(Some(prompt(0))).as_deref(), Some("e1"));
    assert_eq!(setting.choose(Some(prompt(2))).as_deref(), Some("e2"));
    setting.tried = vec![target("e2")];
    assert_eq!(setting.choose(Some(prompt(2))), None);
}

#[tokio::test(start_paused = true)]
async fn other_boxes_prompt_work_counts_for_a_while() {
    let setting = Setting::new(three());
    let model = name("m");
    let prompt = || PromptChoice {
        model: &model,
        tokens: Tokens(9_000),
        latency_objective: Duration::from_millis(500),
        capacity: Tokens(41_000),
        wanted: None,
        oldest: WeightVersion(0),
        plans: &[],
    };
    let work = vec![EngineWork(TargetHash::of(&target("e1")), 500, 9_000, 1)];
    setting.loads.hear(name("box-2"), work);
    assert_ne!(setting.choose(Some(prompt())).as_deref(), Some("e1"));
    tokio::time::advance(Duration::from_secs(2)).await;
    assert_eq!(setting.choose(Some(prompt())).as_deref(), Some("e1"));
}

/// A prompt of 9,000 tokens for engines with memory for 41,000.
fn long_prompt(model: &ModelId) -> PromptChoice<'_> {
    PromptChoice {
        model,
        tokens: Tokens(9_000),
        latency_objective: Duration::from_millis(500),
        capacity: Tokens(41_000),
        wanted: None,
        oldest: WeightVersion(0),
        plans: &[],
    }
}

#[tokio::test(start_paused = true)]
async fn an_engine_without_room_in_its_memory_is_left_alone() {
    let setting = Setting::new(targets(vec![engine("e1", "za"), engine("e2", "zb")]));
    let model = name("m");
    let chosen = || setting.choose(Some(long_prompt(&model)));
    let tokens_at_e1 = |tokens| vec![EngineWork(TargetHash::of(&target("e1")), 0, tokens, 1)];
    setting.loads.hear(name("box-2"), tokens_at_e1(20_000));
    assert_eq!(
        chosen().as_deref(),
        Some("e1"),
        "there is room for one more"
    );
    setting.loads.hear(name("box-2"), tokens_at_e1(37_000));
    assert_eq!(chosen().as_deref(), Some("e2"));
}

#[tokio::test(start_paused = true)]
async fn a_long_body_stays_in_its_zone_unless_the_queue_is_long() {
    let mut setting = Setting::new(targets(vec![engine("e1", "za"), engine("e2", "zb")]));
    let model = name("m");
    let queue_at_e1 = |ms| vec![EngineWork(TargetHash::of(&target("e1")), ms, 0, 0)];
    setting.loads.hear(name("box-2"), queue_at_e1(20));
    let chosen = |setting: &Setting| setting.choose(Some(long_prompt(&model)));
    assert_eq!(chosen(&setting).as_deref(), Some("e2"), "a short body");
    setting.body_len = 18_000;
    assert_eq!(chosen(&setting).as_deref(), Some("e1"));
    setting.loads.hear(name("box-2"), queue_at_e1(60));
    assert_eq!(chosen(&setting).as_deref(), Some("e2"));
}

#[rstest]
#[case(0, 5)]
#[case(1, 6)]
#[case(4, 9)]
#[case(5, 9)]
fn late_requests_go_behind_all_in_time_and_keep_their_order(#[case] own: u8, #[case] late: u8) {
    assert_eq!(Priority(own).demoted(), Priority(late));
}

#[tokio::test(start_paused = true)]
async fn a_ticket_ends_with_its_request() {
    let loads = Loads::default();
    let mut ticket = loads.start(&target("e1"), Work::one(100.0, Tokens(0)));
    assert_eq!(loads.get(&target("e1")).in_flight, 1);
    ticket.prompt_done();
    assert_eq!(loads.get(&target("e1")).work.prompt_ms, 0.0);
    drop(ticket);
    assert_eq!(loads.get(&target("e1")).in_flight, 0);
}

#[tokio::test(start_paused = true)]
async fn a_prompt_does_not_fit_while_memory_is_let_go_too_slowly() {
    let setting = Setting::new(targets(vec![engine("e1", "za")]));
    let model = name("m");
    let fits = || setting.find(Some(long_prompt(&model))).unwrap().fits;
    let work = |tokens| Work::one(0.0, Tokens(tokens));
    let small = setting.loads.start(&target("e1"), work(25_000));
    assert!(fits(), "there is room for it");
    let mut long = setting.loads.start(&target("e1"), work(10_000));
    assert!(fits(), "room comes within 75 ms, the most that it may wait");
    long.prompt_done();
    tokio::time::advance(Duration::from_secs(3)).await;
    drop(long);
    let _again = setting.loads.start(&target("e1"), work(10_000));
    assert!(!fits(), "requests hold their memory for seconds");
    drop(small);
    assert!(fits());
}

#[tokio::test(start_paused = true)]
async fn a_target_found_replaced_by_another_box_is_no_candidate_for_a_while() {
    let setting = Setting::new(three());
    let hash = LifeHash::of(&engine("e1", "za"));
    let finder = Loads::default();
    finder.words(|words| words.replaced.find(hash, Instant::now()));
    let told = finder.words(|words| words.replaced.told(Instant::now()));
    setting
        .loads
        .words(|words| words.replaced.hear(&told, Instant::now()));
    assert_ne!(setting.choose(None).as_deref(), Some("e1"));
    let heard = setting
        .loads
        .words(|words| words.replaced.told(Instant::now()));
    assert!(heard.is_empty(), "only who found it tells it");
    tokio::time::advance(Duration::from_secs(3)).await;
    setting
        .loads
        .words(|words| words.replaced.hear(&told, Instant::now()));
    assert!(
        finder
            .words(|words| words.replaced.told(Instant::now()))
            .is_empty()
    );
    tokio::time::advance(Duration::from_secs(4)).await;
    assert_eq!(setting.choose(None).as_deref(), Some("e1"));
}

/// Prompts that looked at engines of their box's zone alone fetched four parts of five from another zone. Each such fetch takes a store's link for
/// twice as long, and with 82 in 100 of what the links carry if all stay in their zone, 13,290 fetches of a day came too late.
#[rstest]
#[case::engines_alike(0, 0, "zb")]
#[case::a_short_queue_there(0, 30, "zb")]
#[case::a_long_queue_there(0, 900, "za")]
#[tokio::test(start_paused = true)]
async fn a_prompt_goes_where_its_parts_are_though_others_are_heard_late(
    #[case] here_ms: u32,
    #[case] there_ms: u32,
    #[case] zone: &str,
) {
    let engines = |zone: &'static str| (0..9).map(move |i| engine(&format!("{zone}-{i}"), zone));
    let mut setting = Setting::new(targets(engines("za").chain(engines("zb")).collect()));
    setting.heard_late = true;
    let work = |zone: &'static str, ms: u32| {
        engines(zone).map(move |e| EngineWork(TargetHash::of(&e.id), ms, 100, 1))
    };
    let told = work("za", here_ms).chain(work("zb", there_ms)).collect();
    setting.loads.hear_sums(told, &[]);
    let model = name("m");
    let plans = [(WeightVersion(1), plan_kept_in("zb"))];
    let prompt = PromptChoice {
        plans: &plans,
        ..long_prompt(&model)
    };
    let chosen = setting.find(Some(prompt)).unwrap();
    assert_eq!(chosen.target.zone, name(zone));
    assert!(chosen.candidates <= 4 || here_ms + there_ms > 500);
}

/// A day on which engines were replaced by cold ones in series went worse since cold engines had a limit. The likely cause, which the day's figures bear out and no
/// trace has shown: a box with a part of what such an engine may get looked at two others for most prompts, so that the part went unused.
#[tokio::test(start_paused = true)]
async fn a_box_that_hears_late_looks_at_each_limited_engine_of_which_it_has_a_part() {
    for limited in 0..9 {
        let engines = || (0..9).map(|i| engine(&format!("za-{i}"), "za"));
        let mut setting = Setting::new(targets(engines().collect()));
        setting.heard_late = true;
        let the_limited = engines().nth(limited).unwrap();
        let busy = engines().filter(|e| e.id != the_limited.id);
        let work = busy.map(|e| EngineWork(TargetHash::of(&e.id), 200, 100, 1));
        setting.loads.hear_sums(work.collect(), &[]);
        let heard = Heard {
            sent: Instant::now(),
            word: Some(LimitSignal::Rate("2".parse().unwrap())),
            success: true,
        };
        let life = LifeHash::of(&the_limited);
        let now = Instant::now();
        setting
            .loads
            .words(|words| words.limits.answered(life, heard, now));
        let model = name("m");
        let plans = [(WeightVersion(1), plan_kept_in("za"))];
        let prompt = || PromptChoice {
            plans: &plans,
            ..long_prompt(&model)
        };
        for _ in 0..8 {
            let chosen = setting.find(Some(prompt())).unwrap();
            assert_eq!(chosen.target.id, the_limited.id);
            setting.loads.limits().note_sent(&the_limited.id, now);
        }
        let chosen = setting.find(Some(prompt())).unwrap();
        assert_ne!(
            chosen.target.id, the_limited.id,
            "it has got all that it may"
        );
    }
}

/// A prompt whose shared part a store of `zone` holds.
fn plan_kept_in(zone: &str) -> Plan {
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
    let (kept, now) = (Kept::default(), Instant::now());
    let salt = salt(&prompt, WeightVersion(1), None);
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
    kept.lock().take_list(store.addr, list, now);
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
        kept: &kept,
        residency: anywhere(),
        in_touch: true,
        now,
    };
    plan(&prompt, &salt, &inputs)
}
