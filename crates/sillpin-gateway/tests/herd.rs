//! What callers get from engines whose load each box hears of late.
//!
//! In a zone of 60 boxes before 51 engines, boxes heard of each other's work some 0.2 s late. All of them sent their
//! prompts to the engine that had looked freest, and those prompts waited behind each other while other engines stood idle.

mod common;

use common::{anywhere, engine, name, target};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use sillpin_core::{ModelId, PoolId, TargetId, Tokens, WeightVersion, ZoneId};
use sillpin_gateway::config::{EngineSpec, FleetConfig};
use sillpin_gateway::control::TargetEntry;
use sillpin_gateway::dialect::{Part, PartId, Prompt};
use sillpin_gateway::kept::Kept;
use sillpin_gateway::peers::datagram::BoxHash;
use sillpin_gateway::place::choose::PromptChoice;
use sillpin_gateway::place::index::TargetIndex;
use sillpin_gateway::place::parts::{Plan, PlanInputs, plan, salt};
use sillpin_gateway::place::work::{EngineWork, TargetHash, Work};
use sillpin_gateway::place::{Choice, Loads, Ticket, choose};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

const BOXES: usize = 60;
const ENGINES: usize = 51;

/// How long a prompt takes to be read.
const PROMPT_MS: f64 = 100.0;

const PROMPT: Tokens = Tokens(9_000);
const ROOM: Tokens = Tokens(40_000);
const AIM: Duration = Duration::from_millis(500);

/// Generating takes this long after the prompt, and holds its memory.
const GENERATED: Duration = Duration::from_millis(60);

/// Boxes hear of others' work so often, and each time what it was that long ago.
const HEARD_EVERY: Duration = Duration::from_millis(150);
const HEARD_LATE: Duration = Duration::from_millis(150);

const STEP: Duration = Duration::from_millis(5);
const LENGTH: Duration = Duration::from_secs(6);

/// A prompt at an engine.
struct Running {
    sent: Instant,
    left_ms: f64,
    ticket: Ticket,
}

#[derive(Default)]
struct Engine {
    queue: VecDeque<Running>,
    generating: Vec<(Instant, Ticket)>,
    held: usize,
}

impl Engine {
    /// Reads prompts for a step, one after the other, as long as its memory has room; gives how long each that began had waited.
    fn step(&mut self, now: Instant) -> Vec<Duration> {
        self.generating.retain(|(until, _)| now < *until);
        let room = (ROOM.0 / PROMPT.0) as usize;
        let mut ms = STEP.as_secs_f64() * 1000.0;
        let mut began = Vec::new();
        while let Some(running) = self.queue.front_mut() {
            if ms <= 0.0 || self.generating.len() >= room {
                break;
            }
            let read = running.left_ms.min(ms);
            running.left_ms -= read;
            ms -= read;
            if running.left_ms > 0.0 {
                break;
            }
            if let Some(mut done) = self.queue.pop_front() {
                done.ticket.prompt_done();
                began.push(now - done.sent);
                self.generating.push((now + GENERATED, done.ticket));
            }
        }
        self.held = self.generating.len();
        began
    }
}

/// The waits of all prompts of a zone, when each box hears of the others as hubs tell them.
async fn play(seed: u64, per_s: f64, heard_late: bool) -> Vec<Duration> {
    let mut rng = StdRng::seed_from_u64(seed);
    let zone: ZoneId = name("za");
    let pool: PoolId = name("llm");
    let model: ModelId = name("m");
    let entries = (0..ENGINES).map(|index| engine(&format!("e-{index}"), "za"));
    let targets: HashMap<TargetId, Arc<TargetEntry>> =
        entries.map(|e| (e.id.clone(), Arc::new(e))).collect();
    let index = TargetIndex::new(&targets);
    let boxes: Vec<Loads> = (0..BOXES).map(|_| Loads::default()).collect();
    let members: Vec<BoxHash> = (0..BOXES)
        .map(|index| BoxHash::anywhere(&name(&format!("b-{index}"))))
        .collect();
    let mut engines: BTreeMap<TargetId, Engine> = BTreeMap::new();
    let mut waits = Vec::new();
    let mut told: VecDeque<(Instant, Vec<EngineWork>)> = VecDeque::new();
    let (began, mut tell) = (Instant::now(), Instant::now());
    let mut due = 0.0;
    while began.elapsed() < LENGTH {
        let now = Instant::now();
        for engine in engines.values_mut() {
            waits.extend(engine.step(now));
        }
        if now >= tell {
            tell = now + HEARD_EVERY;
            told.push_back((now + HEARD_LATE, total(&boxes)));
            boxes.iter().for_each(|of| of.report(of.told()));
        }
        while told.front().is_some_and(|(at, _)| *at <= now) {
            let (_, work) = told.pop_front().unwrap();
            boxes
                .iter()
                .for_each(|of| of.hear_sums(work.clone(), &members));
        }
        due += per_s * STEP.as_secs_f64();
        while due >= 1.0 {
            due -= 1.0;
            let loads = &boxes[rng.random_range(0..BOXES)];
            let plans = [(WeightVersion(1), plan_of(rng.random()))];
            let choice = Choice {
                targets: &index,
                heard_late,
                loads,
                pool: &pool,
                zone: &zone,
                most_in_flight: 100,
                tried: &[],
                body_len: 9_000,
                prompt: Some(PromptChoice {
                    model: &model,
                    tokens: PROMPT,
                    aim: AIM,
                    room: ROOM,
                    wanted: None,
                    oldest: WeightVersion(0),
                    plans: &plans,
                }),
                residency: anywhere(),
                gate: None,
                now,
            };
            let chosen = choose(&choice).unwrap();
            let ticket = loads.start(&chosen.target.id, Work::one(PROMPT_MS, PROMPT));
            let running = Running {
                sent: now,
                left_ms: PROMPT_MS,
                ticket,
            };
            let at = engines.entry(chosen.target.id.clone()).or_default();
            at.queue.push_back(running);
        }
        tokio::time::advance(STEP).await;
    }
    waits
}

/// A prompt whose last shared part is named by `key`, and which no store keeps.
fn plan_of(key: u64) -> Plan {
    let part = |id: String, tokens| Part {
        id: PartId(id),
        tokens: Tokens(tokens),
    };
    let prompt = Prompt {
        model: name("m"),
        parts: vec![
            part(format!("{key:x}"), 5_000),
            part("own".to_owned(), 4_000),
        ],
        tokens: PROMPT,
        max_output: Tokens(10),
    };
    let engine = EngineSpec {
        slots: 24,
        room: ROOM,
        token_bytes: 18_432,
        models: vec![name("m")],
    };
    let inputs = PlanInputs {
        config: &FleetConfig::default(),
        engine: &engine,
        kept: &Kept::default(),
        residency: anywhere(),
        in_touch: true,
        now: Instant::now(),
    };
    plan(&prompt, &salt(&prompt, WeightVersion(1), None), &inputs)
}

/// Work of all boxes at each engine.
fn total(boxes: &[Loads]) -> Vec<EngineWork> {
    let mut sums: BTreeMap<usize, Work> = BTreeMap::new();
    for index in 0..ENGINES {
        let id = target(&format!("e-{index}"));
        for loads in boxes {
            sums.entry(index).or_default().add(loads.get(&id).work);
        }
    }
    let told = sums.into_iter();
    told.map(|(index, work)| EngineWork::at(TargetHash::of(&target(&format!("e-{index}"))), work))
        .collect()
}

fn in_time(waits: &[Duration]) -> f64 {
    waits.iter().filter(|wait| **wait <= AIM).count() as f64 / waits.len().max(1) as f64
}

/// At 67 and 84 in 100 of what the engines can read; figures of three seeds, by the least.
#[rstest]
#[case::well_loaded(340.0, 0.98, 0.92)]
#[case::nearly_full(430.0, 0.93, 0.66)]
#[tokio::test(start_paused = true)]
async fn prompts_begin_in_time_though_boxes_hear_of_each_other_late(
    #[case] per_s: f64,
    #[case] least: f64,
    #[case] before: f64,
    #[values(1, 2, 3)] seed: u64,
) {
    let waits = in_time(&play(seed, per_s, true).await);
    let looking_at_all = in_time(&play(seed, per_s, false).await);
    println!("in time {waits:.3}, with a look at all engines {looking_at_all:.3}");
    assert!(waits > least, "{waits}");
    assert!(
        looking_at_all < before + 0.03,
        "{looking_at_all}: the case is void"
    );
}
