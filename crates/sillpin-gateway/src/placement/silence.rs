//! Decides which engines are silent: nothing arrives from them although their connections stay open.
//!
//! An engine that works through long prompts also sends nothing for a while, so a timeout alone is not evidence. A box
//! suspects an engine when a stream or a request there waits for longer than its callers accept, and nothing else has
//! arrived from that engine meanwhile. It then requests the engine's report, for which the engine needs no slot. An
//! engine that does not respond to that is silent. Boxes of a zone tell each other what they find.
//!
//! Nothing here does I/O. [`Silence::tick`] is called at short intervals and returns what is to be done.

mod engine;
mod run_clock;
mod zone;

use super::work::{EngineWork, IncarnationHash, TargetHash, Work};
use crate::cache_stores::homes::hash_pair;
use crate::control::TargetEntry;
use engine::{EngineState, MIN_PEERS, PendingReport, Wait};
use run_clock::RunClock;
use sillpin_core::{BoxId, PoolId, TargetId, ZoneId};
use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use zone::ZoneEvidence;

/// Interval of [`Silence::tick`]: an engine has to be out of use within 1.5 s of its last event, of which an accepted
/// pause of 0.8 s, the wait for the report and a report to the hub take 1.35 s.
pub const TICK: Duration = Duration::from_millis(25);

/// Time that an engine has to respond to a request for its report.
pub const REPORT_TIMEOUT: Duration = Duration::from_millis(250);

/// Maximum number of requests for reports in any [`ASK_WINDOW`].
const MAX_ASKS: usize = 4;

/// Window in which requests for reports are counted.
const ASK_WINDOW: Duration = Duration::from_secs(1);

/// Number of other boxes of the own zone that must share a finding if this box may be cut off.
const MIN_CONFIRMATIONS: f64 = 1.0;

/// An engine counts as heard, for the decision whether this box is cut off, for this time.
const HEARD_AGE: Duration = Duration::from_secs(2);

/// Time for which this process has run.
type RunTime = Duration;

/// An engine that boxes watch.
#[derive(Debug, Clone)]
pub struct WatchedEngine {
    /// Its entry.
    pub entry: Arc<TargetEntry>,
    /// Hash of its incarnation.
    pub incarnation: IncarnationHash,
    /// Hash of the rows by which boxes of the own zone report that they find it silent.
    pub rows: TargetHash,
    /// Shortest pause between events that routes of its pool accept.
    pub min_event_gap: Duration,
}

/// Input of [`Silence::tick`].
pub struct TickInputs<'a> {
    /// Id of this box.
    pub me: &'a BoxId,
    /// The watched engines.
    pub engines: &'a [WatchedEngine],
    /// Rows of all other boxes.
    pub reported_rows: &'a HashMap<TargetHash, Work>,
    /// Pools that this box is cut off from.
    pub cut_off_pools: &'a HashSet<PoolId>,
    /// Total time for which the box was suspended.
    pub suspended: Duration,
    /// Current time.
    pub now: Instant,
}

/// Why an engine is out of use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// It did not respond to this box's request for its report.
    Own,
    /// Other boxes of the zone find it silent, and this box has heard nothing from it.
    Peers,
}

/// What is to be done after a tick.
#[derive(Debug, Default)]
pub struct Decisions {
    /// Engines that are out of use from now on.
    pub found: Vec<(IncarnationHash, Evidence)>,
    /// Whether requests sent to an engine that was out of use already are lost too.
    pub lost_again: bool,
    /// Engines that are no longer watched and were out of use.
    pub forgotten: Vec<TargetId>,
    /// Engines whose report is to be requested.
    pub ask: Vec<IncarnationHash>,
    /// Engines to which a connection is to be opened.
    pub connect: Vec<IncarnationHash>,
}

/// Identifies something that waits for an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitId {
    engine: IncarnationHash,
    number: u64,
}

/// What this box has heard from which engine, and which engines are silent.
#[derive(Debug, Default)]
pub struct Silence {
    clock: RunClock,
    engines: HashMap<IncarnationHash, EngineState>,
    next_wait: u64,
    /// When reports were requested recently.
    asked: VecDeque<RunTime>,
    /// Zones from whose engines this box seems to be cut off.
    cut_off: HashSet<ZoneId>,
}

impl Silence {
    /// Begins to wait for an engine for which callers wait for at most `limit`. Returns `None` if the engine is not
    /// watched.
    pub fn begin(
        &mut self,
        engine: IncarnationHash,
        limit: Option<Duration>,
        now: Instant,
    ) -> Option<WaitId> {
        if limit.is_none() && !self.engines.contains_key(&engine) {
            return None;
        }
        let at = self.clock.at(now);
        self.next_wait += 1;
        let state = self.engines.entry(engine).or_default();
        let wait = Wait {
            since: Some(at),
            limit,
            findings: state.findings,
        };
        state.waits.insert(self.next_wait, wait);
        Some(WaitId {
            engine,
            number: self.next_wait,
        })
    }

    /// Records that nothing is expected for now, since the caller does not read.
    pub fn pause(&mut self, wait: WaitId) {
        if let Some(wait) = self.wait_mut(wait) {
            wait.since = None;
        }
    }

    /// Records that the next event is expected from now on.
    pub fn resume(&mut self, wait: WaitId, now: Instant) {
        let at = self.clock.at(now);
        if let Some(wait) = self.wait_mut(wait) {
            wait.since = Some(at);
        }
    }

    /// Ends a wait.
    pub fn end(&mut self, wait: WaitId) {
        if let Some(state) = self.engines.get_mut(&wait.engine) {
            state.waits.remove(&wait.number);
        }
    }

    /// Number of the engine's silence, if it was found since the wait began and goes on. A request that was sent to an
    /// engine out of use, because there is no other, is not lost by the earlier finding.
    pub fn found_silence(&self, wait: WaitId) -> Option<u64> {
        let state = self.engines.get(&wait.engine)?;
        if !state.is_silent {
            return None;
        }
        let wait = state.waits.get(&wait.number)?;
        let is_found = wait.limit.is_some() && wait.findings != state.findings;
        is_found.then_some(state.silences)
    }

    /// Whether the engine was found silent since the wait began, and its silence goes on.
    pub fn is_lost(&self, wait: WaitId) -> bool {
        self.found_silence(wait).is_some()
    }

    /// Records that something arrived from an engine, which is back in use. Returns whether it was out of use.
    pub fn heard(&mut self, engine: IncarnationHash, now: Instant) -> bool {
        let at = self.clock.at(now);
        let Some(state) = self.engines.get_mut(&engine) else {
            return false;
        };
        state.heard = Some(at);
        state.pending = None;
        state.unanswered = false;
        state.peers_overruled = state.peers >= MIN_PEERS;
        state.is_silent = false;
        state.out_of_use.take().is_some()
    }

    /// Records that an engine's report could not be requested, for a reason other than silence.
    pub fn not_asked(&mut self, engine: IncarnationHash) {
        if let Some(state) = self.engines.get_mut(&engine) {
            state.pending = None;
        }
    }

    /// Returns the rows by which this box reports the engines that it finds silent.
    pub fn rows(&self) -> impl Iterator<Item = EngineWork> {
        let unanswered = self.engines.values().filter(|state| state.unanswered);
        unanswered.filter_map(|state| Some(EngineWork(state.rows?, 0, 0, 1)))
    }

    /// Number of engines that are out of use.
    pub fn count(&self) -> usize {
        let states = self.engines.values();
        states.filter(|state| state.out_of_use.is_some()).count()
    }

    /// Whether this box seems to be cut off from the engines of a zone.
    pub fn is_cut_off(&self, zone: &ZoneId) -> bool {
        self.cut_off.contains(zone)
    }

    /// Decides which engines are silent and what is to be done about those that may be.
    pub fn tick(&mut self, inputs: &TickInputs<'_>) -> Decisions {
        let has_run = self.clock.tick(inputs.now);
        let at = self.clock.run;
        let forgotten = self.update_engines(inputs);
        let nothing = Decisions {
            forgotten,
            ..Decisions::default()
        };
        if self.clock.was_suspended(inputs.suspended) {
            self.restart(at, |_| true);
            return nothing;
        }
        self.discard_evidence_of_cuts(inputs, at);
        if !has_run || !self.has_evidence(at) {
            return nothing;
        }
        for state in self.engines.values_mut() {
            state.update_pending(at);
        }
        self.update_cut_off(inputs, at);
        Decisions {
            lost_again: self.find_lost_again(inputs, at),
            found: self.find_silent(inputs, at),
            ask: self.ask(inputs, at),
            connect: self.connect(inputs, at),
            ..nothing
        }
    }

    fn wait_mut(&mut self, wait: WaitId) -> Option<&mut Wait> {
        let state = self.engines.get_mut(&wait.engine)?;
        state.waits.get_mut(&wait.number)
    }

    fn restart(&mut self, at: RunTime, is_affected: impl Fn(IncarnationHash) -> bool) {
        for (engine, state) in &mut self.engines {
            if is_affected(*engine) {
                state.restart(at);
            }
        }
    }

    /// Discards the evidence against engines of pools that this box is cut off from: nothing arrives from them here,
    /// whatever they do, and other boxes are not to be told that they are silent.
    fn discard_evidence_of_cuts(&mut self, inputs: &TickInputs<'_>, at: RunTime) {
        if inputs.cut_off_pools.is_empty() {
            return;
        }
        let cut_off: HashSet<IncarnationHash> = inputs
            .engines
            .iter()
            .filter(|engine| inputs.cut_off_pools.contains(&engine.entry.pool))
            .map(|engine| engine.incarnation)
            .collect();
        self.restart(at, |engine| cut_off.contains(&engine));
    }

    /// Adds engines that are newly watched and removes others; returns the ids of those that were out of use.
    fn update_engines(&mut self, inputs: &TickInputs<'_>) -> Vec<TargetId> {
        for engine in inputs.engines {
            let state = self.engines.entry(engine.incarnation).or_default();
            if state.id.is_none() {
                state.id = Some(engine.entry.id.clone());
            }
            state.rows = Some(engine.rows);
            let peers = inputs.reported_rows.get(&engine.rows);
            state.set_peers(peers.map_or(0.0, |rows| rows.requests));
        }
        match self.engines.len() > inputs.engines.len() {
            true => self.forget_others(inputs.engines),
            false => Vec::new(),
        }
    }

    /// Removes engines that are not watched, once nothing waits for them.
    fn forget_others(&mut self, watched: &[WatchedEngine]) -> Vec<TargetId> {
        let watched: HashSet<IncarnationHash> =
            watched.iter().map(|engine| engine.incarnation).collect();
        let mut forgotten = Vec::new();
        self.engines.retain(|engine, state| {
            if watched.contains(engine) {
                return true;
            }
            if state.out_of_use.take().is_some() {
                forgotten.extend(state.id.clone());
            }
            state.pending = None;
            state.unanswered = false;
            state.peers = 0.0;
            !state.waits.is_empty()
        });
        forgotten
    }

    /// Whether there is anything to decide: most of the time there is not.
    fn has_evidence(&self, at: RunTime) -> bool {
        let is_open = |state: &EngineState| {
            state.pending.is_some()
                || state.out_of_use.is_some()
                || state.peers > 0.0
                || state.seems_silent(at)
        };
        !self.cut_off.is_empty() || self.engines.values().any(is_open)
    }

    /// Decides from which zones' engines this box is cut off. When that ends, the evidence collected meanwhile is
    /// discarded.
    fn update_cut_off(&mut self, inputs: &TickInputs<'_>, at: RunTime) {
        let mut zones: HashMap<&ZoneId, ZoneEvidence> = HashMap::new();
        for engine in inputs.engines {
            let zone = zones.entry(&engine.entry.zone).or_default();
            zone.listed += 1;
            let Some(state) = self.engines.get(&engine.incarnation) else {
                continue;
            };
            if state.seems_silent(at) {
                zone.silent += 1;
                zone.confirmed += usize::from(state.peers >= MIN_CONFIRMATIONS);
            } else {
                zone.heard += usize::from(state.was_heard_within(HEARD_AGE, at));
            }
        }
        for (zone, evidence) in zones {
            if evidence.is_mostly_silent() {
                match evidence.is_confirmed() {
                    true => self.cut_off.remove(zone),
                    false => self.cut_off.insert(zone.clone()),
                };
            } else if self.cut_off.remove(zone) {
                let engines = inputs.engines.iter();
                let of_zone: HashSet<IncarnationHash> = engines
                    .filter(|engine| engine.entry.zone == *zone)
                    .map(|engine| engine.incarnation)
                    .collect();
                self.restart(at, |engine| of_zone.contains(&engine));
            }
        }
    }

    fn find_silent(
        &mut self,
        inputs: &TickInputs<'_>,
        at: RunTime,
    ) -> Vec<(IncarnationHash, Evidence)> {
        let mut found = Vec::new();
        for engine in inputs.engines {
            let is_cut_off = self.is_cut_off(&engine.entry.zone);
            let Some(state) = self.engines.get_mut(&engine.incarnation) else {
                continue;
            };
            let evidence = match state.out_of_use {
                Some(_) => None,
                None if state.unanswered && !is_cut_off => Some(Evidence::Own),
                None => state
                    .is_silent_for_peers(engine.min_event_gap, at)
                    .then_some(Evidence::Peers),
            };
            if let Some(evidence) = evidence {
                state.out_of_use = Some(evidence);
                state.is_silent = true;
                state.findings += 1;
                state.silences += 1;
                found.push((engine.incarnation, evidence));
            }
        }
        found
    }

    /// Counts one more finding of engines that were out of use already, got requests because there was no other, and
    /// did not respond to these either.
    fn find_lost_again(&mut self, inputs: &TickInputs<'_>, at: RunTime) -> bool {
        let mut any = false;
        for engine in inputs.engines {
            let is_cut_off = self.is_cut_off(&engine.entry.zone);
            let Some(state) = self.engines.get_mut(&engine.incarnation) else {
                continue;
            };
            let is_known = state.out_of_use.is_some() && !is_cut_off;
            if is_known && state.newly_unanswered && state.is_overdue(at) {
                state.findings += 1;
                any = true;
            }
        }
        any
    }

    /// Returns the engines whose report is requested: those that are suspected and those found silent, which may
    /// respond again. Boxes start with different ones, so that together they ask many engines soon.
    fn ask(&mut self, inputs: &TickInputs<'_>, at: RunTime) -> Vec<IncarnationHash> {
        while self
            .asked
            .front()
            .is_some_and(|asked| at.saturating_sub(*asked) >= ASK_WINDOW)
        {
            self.asked.pop_front();
        }
        let mut candidates = Vec::new();
        for engine in inputs.engines {
            let Some(state) = self.engines.get(&engine.incarnation) else {
                continue;
            };
            if state.may_ask(at) && (state.unanswered || state.is_overdue(at)) {
                let rank = hash_pair(engine.entry.id.as_str(), inputs.me.as_str());
                candidates.push((state.asked, rank, engine.incarnation));
            }
        }
        candidates.sort_unstable();
        candidates.truncate(MAX_ASKS.saturating_sub(self.asked.len()));
        for (_, _, engine) in &candidates {
            self.asked.push_back(at);
            if let Some(state) = self.engines.get_mut(engine) {
                state.asked = Some(at);
                state.pending = Some(PendingReport { overdue_ticks: 0 });
            }
        }
        candidates
            .into_iter()
            .map(|(_, _, engine)| engine)
            .collect()
    }

    /// Returns the engines to which connections are opened: those that no box finds silent any more.
    fn connect(&mut self, inputs: &TickInputs<'_>, at: RunTime) -> Vec<IncarnationHash> {
        let mut connect = Vec::new();
        for engine in inputs.engines {
            let state = self.engines.get_mut(&engine.incarnation);
            if let Some(state) = state.filter(|state| state.may_connect(at)) {
                state.connected = Some(at);
                connect.push(engine.incarnation);
            }
        }
        connect
    }
}
