//! Simulates a zone of engines that prefill prompts one by one, and boxes whose reports of their
//! work arrive late.

use super::{anywhere, engine, name, target};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sillpin_core::{PoolId, TargetId, Tokens, WeightVersion, ZoneId};
use sillpin_gateway::cache_stores::CacheStores;
use sillpin_gateway::cache_stores::isolation::{IsolatedSet, Sharing};
use sillpin_gateway::config::{EngineSpec, FleetConfig};
use sillpin_gateway::control::TargetEntry;
use sillpin_gateway::dialect::{Part, PartId, Prompt};
use sillpin_gateway::peers::datagram::{BoxHash, Datagram, EngineUpdate, EngineUpdateContent};
use sillpin_gateway::peers::update_limit::{Switch, UpdateLimit};
use sillpin_gateway::peers::wire::{self, FleetKey};
use sillpin_gateway::peers::work_updates::LIST_INTERVAL;
use sillpin_gateway::placement::choose::PromptInputs;
use sillpin_gateway::placement::direct_work::ZoneScope;
use sillpin_gateway::placement::engine_speed::PoolSpeed;
use sillpin_gateway::placement::index::TargetIndex;
use sillpin_gateway::placement::parts::{Plan, PlanInputs, plan, salt};
use sillpin_gateway::placement::standing::Queue;
use sillpin_gateway::placement::work::{EngineWork, TargetHash, Work};
use sillpin_gateway::placement::{
    ChoiceInputs, ChosenTarget, InFlightGuard, Loads, SoftwareFilter, choose,
};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Time to prefill a prompt, in milliseconds.
pub const PREFILL_MS: f64 = 100.0;

pub const PROMPT: Tokens = Tokens(9_000);
pub const MEMORY: Tokens = Tokens(40_000);
pub const LATENCY_OBJECTIVE: Duration = Duration::from_millis(500);

/// Time to generate the response after the prefill, during which the prompt's memory is held.
pub const GENERATION: Duration = Duration::from_millis(60);

/// Delay of the boxes' reports about their work.
#[derive(Debug, Clone, Copy)]
pub struct ReportDelay {
    /// Interval between reports.
    pub every: Duration,
    /// Age of a report when it arrives.
    pub late: Duration,
    /// Whether boxes choose as in a large fleet, where reports are known to be late.
    pub is_known: bool,
    /// Whether boxes also send each other changes of their work immediately.
    pub immediate: Immediate,
}

/// How boxes send each other changes of their work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Immediate {
    /// They don't.
    Off,
    /// Each change is sent when it is due.
    Unlimited,
    /// As far as the limit of datagrams and bytes allows.
    Limited,
}

/// Each box sends its work to all others.
pub const DIRECT: ReportDelay = ReportDelay {
    every: Duration::from_millis(60),
    late: Duration::from_millis(5),
    is_known: false,
    immediate: Immediate::Off,
};

/// Hubs send the totals to all boxes.
pub const THROUGH_HUBS: ReportDelay = ReportDelay {
    every: Duration::from_millis(150),
    late: Duration::from_millis(150),
    is_known: true,
    immediate: Immediate::Off,
};

/// Hubs send the totals to all boxes, and boxes send each other changes of their work within one
/// step.
pub const IMMEDIATE: ReportDelay = ReportDelay {
    immediate: Immediate::Unlimited,
    ..THROUGH_HUBS
};

/// The same within the limit of datagrams and bytes.
pub const LIMITED: ReportDelay = ReportDelay {
    immediate: Immediate::Limited,
    ..THROUGH_HUBS
};

/// Share of updates between boxes that get lost.
const LOST_UPDATES: f64 = 0.01;

pub const STEP: Duration = Duration::from_millis(5);

/// A prompt at an engine.
struct QueuedPrompt {
    sent: Instant,
    /// When its caller gives up.
    expires_at: Instant,
    remaining_ms: f64,
    guard: InFlightGuard,
}

#[derive(Default)]
struct Engine {
    queue: VecDeque<QueuedPrompt>,
    generating: Vec<(Instant, InFlightGuard)>,
    held: usize,
}

impl Engine {
    /// Prefills prompts for one step, one by one, while there is memory. Returns the waits of the
    /// prompts that started.
    fn step(&mut self, now: Instant) -> Vec<Duration> {
        self.generating.retain(|(expires_at, _)| now < *expires_at);
        self.queue.retain(|prompt| now < prompt.expires_at);
        let capacity = (MEMORY.0 / PROMPT.0) as usize;
        let mut ms = STEP.as_secs_f64() * 1000.0;
        let mut started = Vec::new();
        while let Some(prompt) = self.queue.front_mut() {
            if ms <= 0.0 || self.generating.len() >= capacity {
                break;
            }
            let prefilled_ms = prompt.remaining_ms.min(ms);
            prompt.remaining_ms -= prefilled_ms;
            ms -= prefilled_ms;
            if prompt.remaining_ms > 0.0 {
                break;
            }
            if let Some(mut finished) = self.queue.pop_front() {
                finished.guard.prefill_done();
                started.push(now - finished.sent);
                self.generating.push((now + GENERATION, finished.guard));
            }
        }
        self.held = self.generating.len();
        started
    }
}

/// A zone with its boxes and engines.
pub struct Zone {
    index: TargetIndex,
    boxes: Vec<Loads>,
    members: Vec<BoxHash>,
    engines: BTreeMap<TargetId, Engine>,
    reports: VecDeque<(Instant, Vec<EngineWork>)>,
    next_report: Instant,
    rng: StdRng,
    delay: ReportDelay,
    updates: Vec<Updates>,
    /// Datagrams of immediate updates that boxes sent, and their bytes.
    pub updates_sent: (usize, usize),
}

/// Immediate updates of one box.
struct Updates {
    sequence: u32,
    next_list: Instant,
    limit: UpdateLimit,
}

impl Zone {
    /// Creates a zone with the given numbers of boxes and engines.
    pub fn new(seed: u64, boxes: usize, engines: usize, delay: ReportDelay) -> Self {
        let entries = (0..engines).map(|index| engine(&format!("e-{index}"), "za"));
        let targets: HashMap<TargetId, Arc<TargetEntry>> =
            entries.map(|e| (e.id.clone(), Arc::new(e))).collect();
        let name_of = |index| BoxHash::unranked_from_id(&name(&format!("b-{index}")));
        let members: Vec<BoxHash> = (0..boxes).map(name_of).collect();
        let all: Vec<Loads> = (0..boxes).map(|_| Loads::default()).collect();
        if delay.immediate != Immediate::Off {
            for (at, loads) in all.iter().enumerate() {
                let mut peers = members.clone();
                peers.remove(at);
                loads.set_zone_scope(Some(ZoneScope {
                    zone: name("za"),
                    peers,
                    engines: targets.keys().map(TargetHash::of).collect(),
                }));
            }
        }
        let updates_of = |index| Updates {
            sequence: 0,
            next_list: Instant::now() + LIST_INTERVAL.mul_f64(f64::from(index) / boxes as f64),
            limit: UpdateLimit::default(),
        };
        Self {
            index: TargetIndex::new(&targets),
            boxes: all,
            members,
            updates: (0..boxes as u32).map(updates_of).collect(),
            updates_sent: (0, 0),
            engines: BTreeMap::new(),
            reports: VecDeque::new(),
            next_report: Instant::now(),
            rng: StdRng::seed_from_u64(seed),
            delay,
        }
    }

    /// Simulates one step of the engines and of the reports from hubs. Returns the waits of the
    /// prompts that started.
    pub fn step(&mut self) -> Vec<Duration> {
        let now = Instant::now();
        if self.delay.immediate != Immediate::Off {
            (0..self.boxes.len()).for_each(|at| self.send_updates(at, now));
        }
        let engines = self.engines.values_mut();
        let waits = engines.flat_map(|engine| engine.step(now)).collect();
        if now >= self.next_report {
            self.next_report = now + self.delay.every;
            self.reports
                .push_back((now + self.delay.late, self.total()));
            self.boxes
                .iter()
                .for_each(|of| of.set_own_report(of.updates_to_send()));
        }
        while self.reports.front().is_some_and(|(at, _)| *at <= now) {
            let Some((_, work)) = self.reports.pop_front() else {
                break;
            };
            let boxes = self.boxes.iter();
            boxes.for_each(|of| of.apply_zone_totals(work.clone(), &self.members));
        }
        waits
    }

    /// Sends the updates of a box that are due to all others. They describe the end of the last step,
    /// so they are one step old when they arrive.
    fn send_updates(&mut self, at: usize, now: Instant) {
        let waiting_since = self.boxes[at].work_changes.immediate_since();
        let switch = self.updates[at].limit.switch(waiting_since, now);
        if self.delay.immediate == Immediate::Limited
            && switch.is_some_and(|s| s != Switch::Resumed)
        {
            self.send_update(at, EngineUpdateContent::Stopped, now);
        }
        let changes = self.boxes[at].work_changes.clone();
        if self.delay.immediate == Immediate::Limited && !self.updates[at].limit.is_sending() {
            let others = self.boxes.len() - 1;
            self.updates[at]
                .limit
                .record_unsent(changes.discard() * others);
            return;
        }
        if now >= self.updates[at].next_list {
            self.updates[at].next_list += LIST_INTERVAL;
            let work = self.boxes[at].updates_to_send();
            self.send_update(at, EngineUpdateContent::Complete(work), now);
        }
        let (immediate, batched) = match self.delay.immediate {
            Immediate::Limited => self.updates[at].limit.ready_at(self.members.len() - 1, now),
            _ => (now, now),
        };
        if changes.due(immediate, batched).is_none_or(|due| due > now) {
            return;
        }
        let taken = changes.take();
        if let Some(since) = taken.immediate_since {
            self.updates[at].limit.record_wait(now - since, now);
        }
        let rows = self.boxes[at].work_at(&taken.targets);
        self.send_update(at, EngineUpdateContent::Changed(rows), now);
    }

    fn send_update(&mut self, at: usize, content: EngineUpdateContent, now: Instant) {
        let updates = &mut self.updates[at];
        updates.sequence += 1;
        let update = EngineUpdate {
            from: self.members[at],
            sequence: updates.sequence,
            content,
        };
        let fleet = FleetKey::new(Some("test"), "127.0.0.1:1".parse().unwrap());
        let datagram = Datagram::EngineUpdate(update.clone());
        let len = wire::encode(fleet, &datagram).unwrap().len();
        let others = self.boxes.len() - 1;
        match update.content {
            EngineUpdateContent::Complete(_) => updates.limit.record_list(others, others * len),
            _ => updates.limit.record_sent(others, others * len, now),
        }
        self.updates_sent.0 += others;
        self.updates_sent.1 += others * len;
        for to in (0..self.boxes.len()).filter(|to| *to != at) {
            self.updates[to].limit.record_received(len, now);
            if !self.rng.random_bool(LOST_UPDATES) {
                self.boxes[to].apply_engine_update(update.clone(), now);
            }
        }
    }

    /// Returns the share of boxes to which the zone is fresh.
    pub fn fresh_share(&self) -> f64 {
        let now = Instant::now();
        let fresh = self.boxes.iter().filter(|of| of.is_own_zone_fresh(now));
        fresh.count() as f64 / self.boxes.len() as f64
    }

    /// Returns a random box and the engine that it chooses for a prompt.
    pub fn place(&mut self) -> (usize, ChosenTarget) {
        let at = self.rng.random_range(0..self.boxes.len());
        let plans = [(
            WeightVersion(1),
            plan_without_stored_parts(self.rng.random(), PROMPT),
        )];
        let (pool, zone): (PoolId, ZoneId) = (name("llm"), name("za"));
        let model = name("m");
        let choice = ChoiceInputs {
            targets: &self.index,
            reported_late: self.delay.is_known,
            loads: &self.boxes[at],
            pool: &pool,
            zone: &zone,
            max_in_flight: 1_000,
            tried: &[],
            body_len: 9_000,
            prompt: Some(PromptInputs {
                model: &model,
                tokens: PROMPT,
                latency_objective: LATENCY_OBJECTIVE,
                capacity: MEMORY,
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
        (at, choose(&choice).unwrap())
    }

    /// Returns a random number from 0 to 1.
    pub fn draw(&mut self) -> f64 {
        self.rng.random()
    }

    /// Returns the queue expected at the engine that a box chose, and the average queue at the
    /// engines that the box chose recently, in milliseconds.
    pub fn queues(&self, (at, chosen): &(usize, ChosenTarget)) -> (f64, f64) {
        let queue = Queue::reported(chosen.queue_ms, chosen.reported_late);
        let standing_ms = self.boxes[*at].record_queue(None, queue, Instant::now());
        (queue.expected_ms, standing_ms)
    }

    /// Sends a prompt to the engine that was chosen for it; its caller gives up after `timeout`.
    pub fn send(&mut self, (at, chosen): (usize, ChosenTarget), timeout: Duration) {
        let now = Instant::now();
        let work = Work::one(PREFILL_MS, PROMPT);
        let prompt = QueuedPrompt {
            sent: now,
            expires_at: now + timeout,
            remaining_ms: PREFILL_MS,
            guard: self.boxes[at].start(&chosen.target.id, work),
        };
        let engine = self.engines.entry(chosen.target.id.clone()).or_default();
        engine.queue.push_back(prompt);
    }

    /// Returns the work of all boxes at each engine.
    fn total(&self) -> Vec<EngineWork> {
        let of = |id: TargetId| {
            let mut sum = Work::default();
            for loads in &self.boxes {
                sum.add(loads.get(&id).work);
            }
            EngineWork::at(TargetHash::of(&id), sum)
        };
        let ids = (0..self.index.pool(&name("llm")).map_or(0, |pool| pool.len()))
            .map(|index| target(&format!("e-{index}")));
        let marker = EngineWork(TargetHash::other_zones_marker(), 0, 0, 1);
        let has_marker = self.delay.immediate != Immediate::Off;
        ids.map(of).chain(has_marker.then_some(marker)).collect()
    }
}

/// Returns the plan of a prompt whose last shared part is `key`, with no part in a store.
pub fn plan_without_stored_parts(key: u64, tokens: Tokens) -> Plan {
    plan_of_parts(key, tokens, Tokens(tokens.0 / 2), PoolSpeed::default())
}

/// Returns the same plan for a pool of any speed; the last part is 4 of 9 tokens.
pub fn plan_with_speed(key: u64, length: Tokens, speed: PoolSpeed) -> Plan {
    plan_of_parts(key, length, Tokens(length.0 * 4 / 9), speed)
}

fn plan_of_parts(key: u64, length: Tokens, own: Tokens, speed: PoolSpeed) -> Plan {
    let part = |id: String, tokens| Part {
        id: PartId(id),
        tokens: Tokens(tokens),
    };
    let own = own.0;
    let prompt = Prompt {
        model: name("m"),
        parts: vec![
            part(format!("{key:x}"), length.0 - own),
            part("own".to_owned(), own),
        ],
        tokens: length,
        max_output: Tokens(10),
    };
    let engine = EngineSpec {
        slots: 24,
        capacity: MEMORY,
        token_bytes: 18_432,
        models: vec![name("m")],
    };
    let inputs = PlanInputs {
        config: &FleetConfig::default(),
        engine: &engine,
        cache_stores: &CacheStores::default(),
        residency: anywhere(),
        in_contact: true,
        speed,
        now: Instant::now(),
    };
    plan(
        &prompt,
        &salt(
            &prompt,
            WeightVersion(1),
            Sharing::AllBut(IsolatedSet::NONE),
        ),
        &inputs,
    )
}
