//! Simulates a zone whose engines prefill a chunk of a prompt between two steps of their batch, under two kinds of
//! prompts, with boxes whose reports arrive late.

use super::engines::{ReportDelay, plan_without_stored_parts};
use super::{anywhere, engine, name, target};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sillpin_core::{PoolId, TargetId, Tokens, WeightVersion, ZoneId};
use sillpin_gateway::control::TargetEntry;
use sillpin_gateway::peers::datagram::BoxHash;
use sillpin_gateway::placement::choose::PromptInputs;
use sillpin_gateway::placement::engine_speed::PrefillRate;
use sillpin_gateway::placement::index::TargetIndex;
use sillpin_gateway::placement::load::Outcome as Health;
use sillpin_gateway::placement::standing::Queue;
use sillpin_gateway::placement::stream_engines::{PromptKind, StreamInputs, StreamRules};
use sillpin_gateway::placement::work::{EngineWork, TargetHash, Work};
use sillpin_gateway::placement::{
    ChoiceInputs, ChosenTarget, InFlightGuard, Loads, SoftwareFilter, choose,
};
use sillpin_policy::overload::StartEstimate;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

const STEP: Duration = Duration::from_millis(5);

/// Tokens in an event of a stream.
const EVENT_TOKENS: u32 = 6;

/// Requests that arrive in this time are counted; the load starts before and ends after it.
pub const COUNTED_FROM: f64 = 4.0;
pub const COUNTED_UNTIL: f64 = 12.0;
const LOAD_UNTIL: f64 = 14.0;

/// A kind of prompts.
#[derive(Debug, Clone, Copy)]
pub struct Kind {
    /// Requests per second in the zone.
    pub per_s: f64,
    pub tokens: u64,
    /// Tokens that are generated.
    pub output: u32,
    pub priority: u8,
    pub latency_objective: Duration,
    pub max_event_gap: Duration,
    pub deadline: Duration,
}

/// A zone of a deployment.
#[derive(Debug, Clone, Copy)]
pub struct Deployment {
    pub boxes: usize,
    pub delay: ReportDelay,
    pub engines: usize,
    pub slots: u32,
    pub memory: u64,
    /// Duration of a step, and what each running request adds to it.
    pub step_ms: f64,
    pub step_ms_per_request: f64,
    pub prefill_per_ms: f64,
    pub chunk: u64,
    pub first_event_ms: f64,
    /// Slowness of every third engine.
    pub slowness: f64,
    /// Slowness of all engines for 0.6 s at a time, 15 in 100 of the time.
    pub slow_phases: f64,
    pub short: Kind,
    pub long: Kind,
}

impl Deployment {
    /// Returns how many long prompts per second the engines prefill if they do nothing else.
    pub fn prefill_capacity(&self) -> f64 {
        self.engines as f64 * self.prefill_per_ms * 1000.0 / self.long.tokens as f64
    }
}

/// How requests of a kind ended.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Tally {
    pub requested: usize,
    pub in_time: usize,
    pub refused: usize,
}

impl Tally {
    pub fn share(&self) -> f64 {
        self.in_time as f64 / self.requested.max(1) as f64
    }
}

struct Request {
    kind: Kind,
    is_short: bool,
    is_counted: bool,
    arrived_ms: f64,
    prefill_left: u64,
    generated: u32,
    last_event_ms: f64,
    /// Whether no event has been late so far.
    in_time: bool,
    guard: InFlightGuard,
}

impl Request {
    fn memory(&self) -> u64 {
        self.kind.tokens + u64::from(self.kind.output)
    }

    /// Generates a token; returns whether it was the last one.
    fn generate(&mut self, now_ms: f64, first_event_ms: f64) -> bool {
        if self.generated == 0 {
            self.last_event_ms = now_ms + first_event_ms;
            self.in_time = self.last_event_ms - self.arrived_ms <= ms(self.kind.latency_objective);
        }
        self.generated += 1;
        let is_last = self.generated == self.kind.output;
        if self.generated > 1 && (is_last || self.generated.is_multiple_of(EVENT_TOKENS)) {
            let gap_ms = now_ms + first_event_ms - self.last_event_ms;
            self.in_time &= gap_ms <= ms(self.kind.max_event_gap);
            self.last_event_ms += gap_ms;
        }
        is_last
    }
}

#[derive(Default)]
struct Engine {
    clock_ms: f64,
    waiting: Vec<Request>,
    running: Vec<Request>,
    slow_until_ms: f64,
    is_lost: bool,
    /// Whether a request was ever sent to it.
    is_used: bool,
}

impl Engine {
    /// Removes requests whose callers have given up.
    fn expire(&mut self) {
        let now_ms = self.clock_ms;
        let is_live = |r: &Request| now_ms - r.arrived_ms < ms(r.kind.deadline);
        self.waiting.retain(is_live);
        self.running.retain(is_live);
    }

    /// Returns the most urgent request that may be prefilled. Requests that have started are preferred among equals.
    fn next_prefill(&mut self, of: &Deployment) -> Option<usize> {
        let is_started = |r: &Request| r.prefill_left < r.kind.tokens;
        let waiting = self.waiting.iter().enumerate();
        let (index, next) = waiting.min_by_key(|(_, r)| (r.kind.priority, !is_started(r)))?;
        let (memory, priority) = (next.memory(), next.kind.priority);
        let started = |at: &Self| -> (u64, usize) {
            let waiting = at.waiting.iter().filter(|r| is_started(r));
            let all: Vec<u64> = waiting.chain(&at.running).map(Request::memory).collect();
            (all.iter().sum(), all.len())
        };
        let fits = |at: &Self| {
            let (held, slots) = started(at);
            held + memory <= of.memory && slots < of.slots as usize
        };
        while !is_started(&self.waiting[index]) && !fits(self) {
            self.evict_below(priority)?;
        }
        Some(index)
    }

    /// Evicts a less urgent request from memory, which is prefilled again.
    fn evict_below(&mut self, priority: u8) -> Option<()> {
        let is_less_urgent = |r: &Request| r.kind.priority > priority;
        let mut waiting = self.waiting.iter_mut().filter(|r| is_less_urgent(r));
        if let Some(started) = waiting.find(|r| r.prefill_left < r.kind.tokens) {
            started.prefill_left = started.kind.tokens;
            return Some(());
        }
        let running = self.running.iter().rposition(is_less_urgent)?;
        let mut evicted = self.running.remove(running);
        evicted.prefill_left = evicted.kind.tokens;
        self.waiting.push(evicted);
        Some(())
    }

    /// Prefills one chunk and runs one step of the batch; returns the requests that ended.
    fn iterate(&mut self, of: &Deployment, slowness: f64) -> Vec<Request> {
        self.expire();
        let prefill = self.next_prefill(of);
        let mut took_ms = 0.0;
        if let Some(index) = prefill {
            let chunk = self.waiting[index].prefill_left.min(of.chunk);
            self.waiting[index].prefill_left -= chunk;
            took_ms += chunk as f64 / of.prefill_per_ms;
        }
        if !self.running.is_empty() {
            took_ms += of.step_ms + of.step_ms_per_request * self.running.len() as f64;
        }
        self.clock_ms += took_ms * slowness;
        if let Some(index) = prefill.filter(|index| self.waiting[*index].prefill_left == 0) {
            let mut request = self.waiting.remove(index);
            request.guard.prefill_done();
            self.running.push(request);
        }
        let now_ms = self.clock_ms;
        let ended = self
            .running
            .extract_if(.., |r| r.generate(now_ms, of.first_event_ms));
        ended.collect()
    }
}

/// A zone with its boxes and engines.
pub struct StreamZone {
    of: Deployment,
    /// Whether engines are reserved for short prompts.
    has_stream_engines: bool,
    index: TargetIndex,
    boxes: Vec<Loads>,
    members: Vec<BoxHash>,
    engines: Vec<Engine>,
    reports: VecDeque<(Instant, Vec<EngineWork>)>,
    next_report: Instant,
    started: Instant,
    rng: StdRng,
    pub short: Tally,
    pub long: Tally,
}

impl StreamZone {
    pub fn new(of: Deployment, has_stream_engines: bool, seed: u64) -> Self {
        let entries = (0..of.engines).map(|index| engine(&format!("e-{index}"), "za"));
        let targets: HashMap<TargetId, Arc<TargetEntry>> =
            entries.map(|e| (e.id.clone(), Arc::new(e))).collect();
        let name_of = |index| BoxHash::unranked_from_id(&name(&format!("b-{index}")));
        Self {
            of,
            has_stream_engines,
            index: TargetIndex::new(&targets),
            boxes: (0..of.boxes).map(|_| Loads::default()).collect(),
            members: (0..of.boxes).map(name_of).collect(),
            engines: (0..of.engines).map(|_| Engine::default()).collect(),
            reports: VecDeque::new(),
            next_report: Instant::now(),
            started: Instant::now(),
            rng: StdRng::seed_from_u64(seed),
            short: Tally::default(),
            long: Tally::default(),
        }
    }

    /// Simulates the load, multiplied for short and long prompts by what `load` returns for a time in seconds, until
    /// all requests have ended. Engines for which `is_lost` returns true at a time fail.
    pub async fn run(
        &mut self,
        load: impl Fn(f64) -> (f64, f64),
        is_lost: impl Fn(f64, usize) -> bool,
    ) {
        let drained = LOAD_UNTIL + self.of.short.deadline.as_secs_f64();
        while self.now_ms() < drained * 1000.0 {
            let seconds = self.now_ms() / 1000.0;
            self.exchange_reports();
            for index in 0..self.engines.len() {
                self.set_lost(index, is_lost(seconds, index));
                self.run_engine(index);
            }
            let (short, long) = match seconds < LOAD_UNTIL {
                true => load(seconds),
                false => (0.0, 0.0),
            };
            for _ in 0..self.arrivals(self.of.short.per_s * short) {
                self.request(true);
            }
            for _ in 0..self.arrivals(self.of.long.per_s * long) {
                self.request(false);
            }
            if seconds > LOAD_UNTIL && self.is_idle() {
                break;
            }
            tokio::time::advance(STEP).await;
        }
    }

    fn is_idle(&self) -> bool {
        let mut engines = self.engines.iter();
        engines.all(|at| at.waiting.is_empty() && at.running.is_empty())
    }

    fn now_ms(&self) -> f64 {
        ms(self.started.elapsed())
    }

    /// Returns a random number of arrivals in a step, on average as many as the rate requires.
    fn arrivals(&mut self, per_s: f64) -> usize {
        const DRAWS: usize = 20;
        let probability = (per_s * STEP.as_secs_f64() / DRAWS as f64).min(1.0);
        (0..DRAWS)
            .filter(|_| self.rng.random_bool(probability))
            .count()
    }

    fn set_lost(&mut self, index: usize, is_lost: bool) {
        if is_lost && !self.engines[index].is_lost {
            self.engines[index].waiting.clear();
            self.engines[index].running.clear();
            let id = target(&format!("e-{index}"));
            let boxes = self.boxes.iter();
            boxes.for_each(|of| of.record(&id, Health::Unreachable));
        }
        self.engines[index].is_lost = is_lost;
    }

    fn run_engine(&mut self, index: usize) {
        let now_ms = self.now_ms();
        let of = self.of;
        let engine = &mut self.engines[index];
        while engine.clock_ms <= now_ms {
            if engine.waiting.is_empty() && engine.running.is_empty() {
                engine.clock_ms = now_ms + ms(STEP);
                break;
            }
            // A phase of 0.6 s in each 4 s makes 15 in 100.
            if now_ms > engine.slow_until_ms + 600.0 && self.rng.random_bool(0.0015) {
                engine.slow_until_ms = now_ms + 600.0;
            }
            let mut slowness = if index.is_multiple_of(3) {
                of.slowness
            } else {
                1.0
            };
            if now_ms < engine.slow_until_ms {
                slowness *= of.slow_phases;
            }
            for request in engine.iterate(&of, slowness) {
                if request.is_counted && request.in_time {
                    tally(&mut self.short, &mut self.long, request.is_short).in_time += 1;
                }
            }
        }
    }

    fn exchange_reports(&mut self) {
        let now = Instant::now();
        if now >= self.next_report {
            self.next_report = now + self.of.delay.every;
            let mut sums: HashMap<TargetHash, Work> = HashMap::new();
            for of in &self.boxes {
                let work = of.updates_to_send();
                for row in &work {
                    sums.entry(row.0).or_default().add(row.work());
                }
                of.set_own_report(work);
            }
            let rows = sums.into_iter().map(|(of, work)| EngineWork::at(of, work));
            self.reports
                .push_back((now + self.of.delay.late, rows.collect()));
        }
        while let Some((_, work)) = self.reports.pop_front_if(|(at, _)| *at <= now) {
            let boxes = self.boxes.iter();
            boxes.for_each(|of| of.apply_zone_totals(work.clone(), &self.members));
        }
    }

    /// Places a request, or refuses it if the overload rule says so.
    fn request(&mut self, is_short: bool) {
        let kind = if is_short {
            self.of.short
        } else {
            self.of.long
        };
        let arrived_ms = self.now_ms();
        let seconds = arrived_ms / 1000.0;
        let is_counted = (COUNTED_FROM..COUNTED_UNTIL).contains(&seconds);
        let at = self.rng.random_range(0..self.boxes.len());
        let chosen = self.choose(at, kind);
        let is_refused = self.is_refused(at, kind, &chosen);
        let tally = tally(&mut self.short, &mut self.long, is_short);
        tally.requested += usize::from(is_counted);
        tally.refused += usize::from(is_counted && is_refused);
        let index: usize = name(chosen.target.id.as_str().trim_start_matches("e-"));
        if is_refused || self.engines[index].is_lost {
            return;
        }
        let guard = self.start(at, kind, &chosen);
        self.engines[index].is_used = true;
        self.engines[index].waiting.push(Request {
            kind,
            is_short,
            is_counted,
            arrived_ms,
            prefill_left: kind.tokens,
            generated: 0,
            last_event_ms: 0.0,
            in_time: true,
            guard,
        });
    }

    fn choose(&mut self, at: usize, kind: Kind) -> ChosenTarget {
        let tokens = Tokens(kind.tokens);
        let plan = plan_without_stored_parts(self.rng.random(), tokens);
        let (pool, zone): (PoolId, ZoneId) = (name("llm"), name("za"));
        let prompt = PromptInputs {
            model: &name("m"),
            tokens,
            latency_objective: kind.latency_objective,
            capacity: Tokens(self.of.memory),
            desired: None,
            oldest: WeightVersion(0),
            plans: &[(WeightVersion(1), plan)],
        };
        let rules = StreamRules {
            max_event_gap: self.of.short.max_event_gap.min(self.of.long.max_event_gap),
            slots: self.of.slots,
            capacity: Tokens(self.of.memory),
            comfortable_batch: self.of.slots,
        };
        let prefill_ms = PrefillRate::PRIOR.ms(tokens);
        let streams = StreamInputs {
            rules,
            kind: rules.kind(prefill_ms),
            prefill_ms,
            zone_boxes: self.boxes.len(),
            draw: self.rng.random(),
        };
        let choice = ChoiceInputs {
            targets: &self.index,
            reported_late: self.of.delay.is_known,
            loads: &self.boxes[at],
            pool: &pool,
            zone: &zone,
            max_in_flight: 1_000,
            tried: &[],
            body_len: 9_000,
            prompt: Some(prompt),
            residency: anywhere(),
            limit_context: None,
            streams: self.has_stream_engines.then_some(streams),
            software: SoftwareFilter::Any,
            now: Instant::now(),
        };
        choose(&choice).unwrap()
    }

    fn is_refused(&mut self, at: usize, kind: Kind, chosen: &ChosenTarget) -> bool {
        let queue = Queue::reported(chosen.queue_ms, self.of.delay.is_known);
        let standing_ms = self.boxes[at].record_queue(chosen.kind, queue, Instant::now());
        let millis = |ms: f64| Duration::from_secs_f64(ms / 1000.0);
        let estimate = StartEstimate {
            waited: Duration::ZERO,
            latency_objective: kind.latency_objective,
            queue: millis(queue.expected_ms),
            standing: millis(standing_ms),
            own: millis(PrefillRate::PRIOR.ms(Tokens(kind.tokens))),
        };
        estimate.lateness_if_refused(self.rng.random()).is_some()
    }

    fn start(&mut self, at: usize, kind: Kind, chosen: &ChosenTarget) -> InFlightGuard {
        let loads = &self.boxes[at];
        if chosen.kind == Some(PromptKind::Long) && chosen.is_stream_engine {
            let mut state = loads.stream_engines();
            let long_prompts = state.long_prompts(&chosen.target.pool);
            long_prompts.record_sent(self.rng.random(), Instant::now());
        }
        let tokens = Tokens(kind.tokens);
        let stream = match chosen.kind {
            Some(PromptKind::Short) => Work::one(0.0, Tokens(kind.tokens + u64::from(kind.output))),
            _ => Work::default(),
        };
        let work = Work::one(PrefillRate::PRIOR.ms(tokens), tokens);
        loads.start_stream(&chosen.target.id, work, stream)
    }

    /// Returns the number of engines that got requests.
    pub fn used_engines(&self) -> usize {
        self.engines.iter().filter(|at| at.is_used).count()
    }
}

fn tally<'a>(short: &'a mut Tally, long: &'a mut Tally, is_short: bool) -> &'a mut Tally {
    if is_short { short } else { long }
}

fn ms(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}
