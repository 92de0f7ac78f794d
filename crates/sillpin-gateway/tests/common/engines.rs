//! A zone of engines that read prompts one after the other, behind boxes that hear of each other's work late.

use super::{anywhere, engine, name, target};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sillpin_core::{PoolId, TargetId, Tokens, WeightVersion, ZoneId};
use sillpin_gateway::config::{EngineSpec, FleetConfig};
use sillpin_gateway::control::TargetEntry;
use sillpin_gateway::dialect::{Part, PartId, Prompt};
use sillpin_gateway::kept::Kept;
use sillpin_gateway::peers::datagram::BoxHash;
use sillpin_gateway::place::choose::PromptChoice;
use sillpin_gateway::place::index::TargetIndex;
use sillpin_gateway::place::parts::{Plan, PlanInputs, plan, salt};
use sillpin_gateway::place::standing::Queue;
use sillpin_gateway::place::work::{EngineWork, TargetHash, Work};
use sillpin_gateway::place::{Choice, Chosen, Loads, Ticket, choose};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// How long a prompt takes to be read.
pub const PROMPT_MS: f64 = 100.0;

pub const PROMPT: Tokens = Tokens(9_000);
pub const ROOM: Tokens = Tokens(40_000);
pub const AIM: Duration = Duration::from_millis(500);

/// Generating takes this long after the prompt, and holds its memory.
pub const GENERATED: Duration = Duration::from_millis(60);

/// How late boxes hear of each other's work.
#[derive(Debug, Clone, Copy)]
pub struct Lag {
    /// They hear so often.
    pub every: Duration,
    /// And each time what it was that long ago.
    pub late: Duration,
    /// Whether they choose as boxes of a large fleet, who know that they hear late.
    pub is_known: bool,
}

/// Each box tells all others.
pub const SMALL: Lag = Lag {
    every: Duration::from_millis(60),
    late: Duration::from_millis(5),
    is_known: false,
};

/// Hubs tell them.
pub const LARGE: Lag = Lag {
    every: Duration::from_millis(150),
    late: Duration::from_millis(150),
    is_known: true,
};

pub const STEP: Duration = Duration::from_millis(5);

/// A prompt at an engine.
struct Running {
    sent: Instant,
    /// When its caller gives it up.
    until: Instant,
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
        self.queue.retain(|running| now < running.until);
        let capacity = (ROOM.0 / PROMPT.0) as usize;
        let mut ms = STEP.as_secs_f64() * 1000.0;
        let mut began = Vec::new();
        while let Some(running) = self.queue.front_mut() {
            if ms <= 0.0 || self.generating.len() >= capacity {
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

/// The zone.
pub struct Zone {
    index: TargetIndex,
    boxes: Vec<Loads>,
    members: Vec<BoxHash>,
    engines: BTreeMap<TargetId, Engine>,
    told: VecDeque<(Instant, Vec<EngineWork>)>,
    tell: Instant,
    rng: StdRng,
    lag: Lag,
}

impl Zone {
    /// So many boxes before so many engines.
    pub fn new(seed: u64, boxes: usize, engines: usize, lag: Lag) -> Self {
        let entries = (0..engines).map(|index| engine(&format!("e-{index}"), "za"));
        let targets: HashMap<TargetId, Arc<TargetEntry>> =
            entries.map(|e| (e.id.clone(), Arc::new(e))).collect();
        let name_of = |index| BoxHash::anywhere(&name(&format!("b-{index}")));
        Self {
            index: TargetIndex::new(&targets),
            boxes: (0..boxes).map(|_| Loads::default()).collect(),
            members: (0..boxes).map(name_of).collect(),
            engines: BTreeMap::new(),
            told: VecDeque::new(),
            tell: Instant::now(),
            rng: StdRng::seed_from_u64(seed),
            lag,
        }
    }

    /// Plays a step of engines and of what boxes hear of each other, as hubs tell them; how long each prompt that began had waited.
    pub fn step(&mut self) -> Vec<Duration> {
        let now = Instant::now();
        let engines = self.engines.values_mut();
        let waits = engines.flat_map(|engine| engine.step(now)).collect();
        if now >= self.tell {
            self.tell = now + self.lag.every;
            self.told.push_back((now + self.lag.late, self.total()));
            self.boxes.iter().for_each(|of| of.report(of.told()));
        }
        while self.told.front().is_some_and(|(at, _)| *at <= now) {
            let Some((_, work)) = self.told.pop_front() else {
                break;
            };
            let boxes = self.boxes.iter();
            boxes.for_each(|of| of.hear_sums(work.clone(), &self.members));
        }
        waits
    }

    /// A box drawn by lot, and the engine that it chooses for a prompt.
    pub fn place(&mut self) -> (usize, Chosen) {
        let at = self.rng.random_range(0..self.boxes.len());
        let plans = [(WeightVersion(1), plan_of(self.rng.random()))];
        let (pool, zone): (PoolId, ZoneId) = (name("llm"), name("za"));
        let model = name("m");
        let choice = Choice {
            targets: &self.index,
            heard_late: self.lag.is_known,
            loads: &self.boxes[at],
            pool: &pool,
            zone: &zone,
            most_in_flight: 1_000,
            tried: &[],
            body_len: 9_000,
            prompt: Some(PromptChoice {
                model: &model,
                tokens: PROMPT,
                latency_objective: AIM,
                capacity: ROOM,
                wanted: None,
                oldest: WeightVersion(0),
                plans: &plans,
            }),
            residency: anywhere(),
            gate: None,
            now: Instant::now(),
        };
        (at, choose(&choice).unwrap())
    }

    /// A number from 0 to 1.
    pub fn draw(&mut self) -> f64 {
        self.rng.random()
    }

    /// What a prompt meets at the engine that a box chose for it, and what has stood at those that it chose of late, in milliseconds.
    pub fn meets(&self, (at, chosen): &(usize, Chosen)) -> (f64, f64) {
        let queue = Queue::heard(chosen.queue_ms, self.lag.is_known);
        let standing_ms = self.boxes[*at].note_queue(queue, Instant::now());
        (queue.met_ms, standing_ms)
    }

    /// Sends a prompt to the engine that was chosen for it; its caller gives it up after `patience`.
    pub fn send(&mut self, (at, chosen): (usize, Chosen), patience: Duration) {
        let now = Instant::now();
        let work = Work::one(PROMPT_MS, PROMPT);
        let running = Running {
            sent: now,
            until: now + patience,
            left_ms: PROMPT_MS,
            ticket: self.boxes[at].start(&chosen.target.id, work),
        };
        let engine = self.engines.entry(chosen.target.id.clone()).or_default();
        engine.queue.push_back(running);
    }

    /// Work of all boxes at each engine.
    fn total(&self) -> Vec<EngineWork> {
        let of = |id: TargetId| {
            let mut sum = Work::default();
            for loads in &self.boxes {
                sum.add(loads.get(&id).work);
            }
            EngineWork::at(TargetHash::of(&id), sum)
        };
        let ids = (0..self
            .index
            .pool(&name("llm"))
            .map_or(0, |pool| pool.all.len()))
            .map(|index| target(&format!("e-{index}")));
        ids.map(of).collect()
    }
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
        capacity: ROOM,
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
