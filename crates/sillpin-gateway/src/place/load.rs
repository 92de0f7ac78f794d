//! What this box has under way at each target, and how the target has behaved.

use super::held::HeldTime;
use super::limits::Limits;
use super::standing::{Queue, StandingQueue};
use super::words::Words;
use super::work::{EngineWork, LifeHash, Others, TargetHash, Work};
use crate::control::{Life, TargetEntry};
use crate::peers::datagram::BoxHash;
use sillpin_core::{BoxId, TargetId, ZoneId};
use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// How long a target that cannot be reached is passed over, unless a connection to it succeeds before. Its
/// entry lapses after three heartbeats, so this only bounds what a lost prober would cost.
const UNREACHABLE_REST: Duration = Duration::from_secs(15);

/// How long a target that refused is passed over at first: a full queue drains in less. Each refusal in a row
/// doubles it.
const REFUSAL_REST: Duration = Duration::from_millis(250);

/// Longest rest after refusals: a load of weights that this box did not hear of takes one to two seconds.
const MAX_REFUSAL_REST: Duration = Duration::from_millis(1_000);

/// How long an engine that loads weights is passed over, unless it is heard to be done before: its runs
/// end first, and the load takes 0.76 s, more while others load.
const LOADING_REST: Duration = Duration::from_millis(3_500);

/// Weight of the newest outcome in a target's failure share. About the last ten count.
const OUTCOME_WEIGHT: f64 = 0.1;

/// Failure share from which a target rests: several times the share of failures that plain services
/// show on a good day (0.14).
const FAILING: f64 = 0.4;

/// Outcomes seen before a failure share means something.
const MIN_OUTCOMES: u32 = 8;

/// How long a failing target rests before it is tried again.
const FAILING_REST: Duration = Duration::from_secs(3);

/// Until when a target is passed over while others are there, for each reason: what ends one is no end of another.
#[derive(Debug, Clone, Copy, Default)]
struct Rests {
    unreachable: Option<Instant>,
    refusing: Option<Instant>,
    loading: Option<Instant>,
    failing: Option<Instant>,
}

impl Rests {
    fn until(&self) -> Option<Instant> {
        let first = self.unreachable.max(self.refusing);
        first.max(self.loading).max(self.failing)
    }
}

/// What is known of one target.
#[derive(Debug, Clone, Copy, Default)]
pub struct Load {
    /// Requests under way from this box.
    pub in_flight: u32,
    /// Work of these requests, for engines.
    pub work: Work,
    rests: Rests,
    refusals: u32,
    failing: f64,
    outcomes: u32,
    /// The target's life that all but the requests under way are about.
    life: Option<Life>,
}

impl Load {
    /// Whether the target is passed over.
    pub fn rests(&self, now: Instant) -> bool {
        self.rests.until().is_some_and(|until| now < until)
    }

    /// Share of the last requests that failed.
    pub fn failing(&self) -> f64 {
        self.failing
    }

    fn outcome(&mut self, now: Instant, failed: bool) {
        let sample = if failed { 1.0 } else { 0.0 };
        self.failing += OUTCOME_WEIGHT * (sample - self.failing);
        self.outcomes = self.outcomes.saturating_add(1);
        if self.failing > FAILING && self.outcomes >= MIN_OUTCOMES {
            self.rests.failing = Some(now + FAILING_REST);
            self.failing = FAILING / 2.0;
        }
    }
}

/// How a sending ended, as far as it concerns the target's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It answered as it should.
    Served,
    /// It could not be reached.
    Unreachable,
    /// It can be reached again.
    Reachable,
    /// It did not run the request, and said so.
    Refused,
    /// It broke off, stayed silent, answered wrongly or failed.
    Failed,
    /// It loads weights and takes no requests meanwhile.
    Loading,
    /// It has loaded them.
    Loaded,
}

/// Targets of a zone out of reach one after the other, with none in reach between, that make the whole zone
/// look cut off.
const SUSPICIOUS: u32 = 2;

/// How long a zone that looks cut off is left alone before it is tried again.
const SUSPICION_TIME: Duration = Duration::from_secs(2);

/// Whether another zone can be reached, as far as this box has tried.
#[derive(Debug, Clone, Copy)]
struct Reach {
    failures: u32,
    failed: Instant,
}

/// What is known of all targets, locked.
pub type Table<'a> = MutexGuard<'a, HashMap<TargetId, Load>>;

/// Loads of all targets; clones share them.
#[derive(Debug, Clone, Default)]
pub struct Loads {
    table: Arc<Mutex<HashMap<TargetId, Load>>>,
    zones: Arc<Mutex<HashMap<ZoneId, Reach>>>,
    others: Arc<Mutex<Others>>,
    held: Arc<Mutex<HeldTime>>,
    standing: Arc<Mutex<StandingQueue>>,
    limits: Arc<Mutex<Limits>>,
    /// This box has found that a target names a limit, another one, or none any more.
    pub limit_found: Arc<Notify>,
}

impl Loads {
    /// What is known of all targets, for one decision.
    pub fn table(&self) -> Table<'_> {
        self.lock()
    }

    fn lock(&self) -> Table<'_> {
        self.table.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Work of this box at engines, for the others.
    pub fn updates_to_send(&self) -> Vec<EngineWork> {
        let table = self.lock();
        let working = table.iter().filter(|(_, load)| load.work.tokens >= 1.0);
        working
            .map(|(id, load)| EngineWork::of(id, load.work))
            .collect()
    }

    /// Takes what another box tells.
    pub fn apply_update(&self, from: BoxId, work: Vec<EngineWork>) {
        let mut others = self.others.lock().unwrap_or_else(|e| e.into_inner());
        others.apply_update(from, work, Instant::now());
    }

    /// This box reports its work to its hub.
    pub fn report(&self, work: Vec<EngineWork>) {
        let mut others = self.others.lock().unwrap_or_else(|e| e.into_inner());
        others.report(work);
    }

    /// Takes what the hub of a large zone tells of all boxes.
    pub fn hear_sums(&self, work: Vec<EngineWork>, members: &[BoxHash]) {
        let mut others = self.others.lock().unwrap_or_else(|e| e.into_inner());
        others.hear_sums(work, members, Instant::now());
    }

    /// Whether a box was heard of late.
    pub fn hears(&self, from: &BoxId, now: Instant) -> bool {
        let others = self.others.lock().unwrap_or_else(|e| e.into_inner());
        others.hears(from, now)
    }

    /// Whether the hub of a large zone is heard.
    pub fn hears_hub(&self, now: Instant) -> bool {
        let others = self.others.lock().unwrap_or_else(|e| e.into_inner());
        others.hears_hub(now)
    }

    /// Whether a box of the zone may live, as far as its hub tells.
    pub fn may_live(&self, id: &BoxId, now: Instant) -> bool {
        let others = self.others.lock().unwrap_or_else(|e| e.into_inner());
        others.may_live(id, now)
    }

    /// Work of all other boxes at each engine.
    pub fn others(&self, now: Instant) -> Arc<HashMap<TargetHash, Work>> {
        let others = self.others.lock().unwrap_or_else(|e| e.into_inner());
        others.sum(now)
    }

    /// Limits of targets, what they say of themselves, and what was sent to them.
    pub fn limits(&self) -> MutexGuard<'_, Limits> {
        self.limits.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Does something with what targets say of themselves. The lock is let go with the result.
    pub fn words<T>(&self, with: impl FnOnce(&mut Words) -> T) -> T {
        with(&mut self.limits().words)
    }

    /// How long a token of an engine's memory is held, in milliseconds.
    pub fn held_ms(&self) -> f64 {
        self.held.lock().unwrap_or_else(|e| e.into_inner()).ms()
    }

    /// An engine was chosen; what has stood at engines of late, in milliseconds.
    pub fn note_queue(&self, queue: Queue, now: Instant) -> f64 {
        let mut standing = self.standing.lock().unwrap_or_else(|e| e.into_inner());
        standing.note(queue, now)
    }

    fn note_held(&self, tokens: f64, time: Duration, now: Instant) {
        let mut held = self.held.lock().unwrap_or_else(|e| e.into_inner());
        held.note(tokens, time, now);
    }

    /// Takes note of whether a target of a zone could be reached.
    pub fn note_reach(&self, zone: &ZoneId, reached: bool) {
        let failed = Instant::now();
        let mut zones = self.zones.lock().unwrap_or_else(|e| e.into_inner());
        if reached {
            zones.remove(zone);
            return;
        }
        let reach = zones.entry(zone.clone()).or_insert(Reach {
            failures: 0,
            failed,
        });
        reach.failures += 1;
        reach.failed = failed;
    }

    /// Whether a zone looks cut off from this box.
    pub fn looks_cut_off(&self, zone: &ZoneId, now: Instant) -> bool {
        let zones = self.zones.lock().unwrap_or_else(|e| e.into_inner());
        let reach = zones.get(zone);
        reach.is_some_and(|r| r.failures >= SUSPICIOUS && now - r.failed < SUSPICION_TIME)
    }

    /// What is known of a target.
    pub fn get(&self, target: &TargetId) -> Load {
        self.lock().get(target).copied().unwrap_or_default()
    }

    /// Counts a request at a target until the ticket is dropped.
    pub fn start(&self, target: &TargetId, work: Work) -> Ticket {
        self.limits().note_sent(target, Instant::now());
        let mut table = self.lock();
        let load = table.entry(target.clone()).or_default();
        load.in_flight += 1;
        load.work.add(work);
        Ticket {
            loads: self.clone(),
            target: target.clone(),
            work,
            prompt_ms: work.prompt_ms,
            began: None,
        }
    }

    /// Takes note of how a sending ended.
    pub fn note(&self, target: &TargetId, outcome: Outcome) {
        self.note_life(target, None, outcome);
    }

    /// Takes note of how a sending to one life of a target ended, unless it is in another by now.
    pub fn note_life(&self, target: &TargetId, life: Option<Life>, outcome: Outcome) {
        let now = Instant::now();
        let mut table = self.lock();
        let load = table.entry(target.clone()).or_default();
        if life.is_some() && load.life.is_some() && life != load.life {
            return;
        }
        load.life = load.life.or(life);
        match outcome {
            Outcome::Served => {
                load.refusals = 0;
                load.outcome(now, false);
            }
            Outcome::Failed => load.outcome(now, true),
            Outcome::Refused => {
                let doubled = REFUSAL_REST * 2u32.pow(load.refusals.min(4));
                load.refusals += 1;
                let until = now + doubled.min(MAX_REFUSAL_REST);
                load.rests.refusing = load.rests.refusing.max(Some(until));
            }
            Outcome::Loading => load.rests.loading = Some(now + LOADING_REST),
            Outcome::Loaded => {
                load.refusals = 0;
                load.rests.refusing = None;
                load.rests.loading = None;
            }
            Outcome::Unreachable => load.rests.unreachable = Some(now + UNREACHABLE_REST),
            Outcome::Reachable => {
                if load.rests.unreachable.take().is_some() {
                    self.limits().slow_start.returned(target, now);
                }
            }
        }
    }

    /// Forgets targets that are not listed and have nothing under way, and how targets behaved in earlier lives. What was sent to an earlier
    /// life counts until it ends.
    pub fn follow(&self, targets: &HashMap<TargetId, Arc<TargetEntry>>) {
        let now = Instant::now();
        self.limits().follow(|id| targets.contains_key(id), now);
        let lives: HashSet<LifeHash> = targets.values().map(|entry| LifeHash::of(entry)).collect();
        let is_listed = |life| lives.contains(&life);
        self.words(|words| words.follow(is_listed, now));
        let mut table = self.lock();
        table.retain(|id, load| load.in_flight > 0 || targets.contains_key(id));
        for (id, load) in table.iter_mut() {
            let life = targets.get(id).and_then(|entry| entry.life);
            if life.is_none() || load.life == life {
                continue;
            }
            let restarted = load.life.is_some();
            load.life = life;
            if restarted {
                load.rests = Rests::default();
                load.refusals = 0;
                load.failing = 0.0;
                load.outcomes = 0;
            }
        }
    }
}

/// A request under way at a target.
#[derive(Debug)]
pub struct Ticket {
    loads: Loads,
    target: TargetId,
    work: Work,
    /// Time of the engine that its prompt was expected to take, in milliseconds.
    prompt_ms: f64,
    /// When its first event came.
    began: Option<Instant>,
}

impl Ticket {
    /// The prompt has been read: its work is no longer under way.
    pub fn prompt_done(&mut self) {
        let mut table = self.loads.lock();
        let done = Work {
            prompt_ms: self.work.prompt_ms,
            ..Work::default()
        };
        if let Some(load) = table.get_mut(&self.target) {
            load.work.take(done);
        }
        self.work.prompt_ms = 0.0;
        self.began = Some(Instant::now());
    }

    /// Takes note of how long the request held its engine's memory: from when its prompt began to be read.
    fn note_held(&self) {
        let Some(began) = self.began else {
            return;
        };
        let now = Instant::now();
        let reading = Duration::from_secs_f64(self.prompt_ms / 1000.0);
        self.loads
            .note_held(self.work.tokens, now - began + reading, now);
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.note_held();
        let mut table = self.loads.lock();
        if let Some(load) = table.get_mut(&self.target) {
            load.in_flight = load.in_flight.saturating_sub(1);
            load.work.take(self.work);
        }
    }
}
