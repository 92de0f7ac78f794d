//! A simulated fleet whose boxes communicate as in small and in large zones, with lost datagrams.

use super::name;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use sillpin_core::BoxId;
use sillpin_gateway::peers::datagram::{BoxHash, Report, Sums, SyncSummary};
use sillpin_gateway::peers::hub::{Hub, LARGE_ZONE, relay_children};
use sillpin_platform::KvRevision;
use std::time::Duration;
use tokio::time::Instant;

/// Time between two steps of the simulation, in which a box of a large zone reports and receives a
/// bulletin.
pub const STEP: Duration = Duration::from_millis(150);

/// Steps between two digests of a box in a small and in a large fleet, and between two summaries of
/// a hub to other zones.
const SMALL_DIGEST_STEPS: usize = 3;
const LARGE_DIGEST_STEPS: usize = 6;
const SUMMARY_STEPS: usize = 2;

/// Number of boxes of other zones that a box of a small fleet sends to in a round.
const FOREIGN: usize = 3;

/// Share of datagrams that get lost.
const LOST: f64 = 0.1;

/// What a box knows and sends to others.
pub trait Memory: Default {
    /// The messages that boxes send each other.
    type Message: Clone;
    /// Returns what the box itself observed recently.
    fn observed(&mut self, now: Instant) -> Vec<Self::Message>;
    /// Returns what the box sends.
    fn updates_to_send(&mut self, now: Instant) -> Vec<Self::Message>;
    /// Applies what another box sent.
    fn apply_update(&mut self, messages: &[Self::Message], now: Instant);
}

/// One box.
pub struct OneBox<M> {
    /// Number of its zone.
    pub zone: usize,
    /// Its short id.
    pub name: BoxHash,
    /// Its hub state.
    pub hub: Hub,
    /// What it knows.
    pub memory: M,
    /// Whether it can neither send nor receive.
    pub cut: bool,
    /// Whether it has crashed.
    pub crashed: bool,
    /// The step at which it started, or was last cut off.
    pub began: usize,
}

impl<M: Memory> OneBox<M> {
    /// Creates a box that knows nothing.
    pub fn new(zone: usize, index: usize, began: usize) -> Self {
        let name = BoxHash::unranked_from_id(&name::<BoxId>(&format!("z{zone}-{index}")));
        Self {
            zone,
            name,
            hub: Hub::new(name),
            memory: M::default(),
            cut: false,
            crashed: false,
            began,
        }
    }
}

/// A fleet of simulated boxes.
pub struct Fleet<M> {
    /// All boxes.
    pub boxes: Vec<OneBox<M>>,
    /// Source of randomness.
    pub rng: StdRng,
    /// Number of steps simulated so far.
    pub step: usize,
}

fn sync_summary() -> SyncSummary {
    SyncSummary {
        revision: KvRevision(1),
        content: 1,
        age_ms: Some(0),
    }
}

impl<M: Memory> Fleet<M> {
    /// Creates boxes spread over the zones in turn.
    pub fn new(count: usize, zones: usize, seed: u64) -> Self {
        let one = |index| OneBox::new(index % zones, index / zones, 0);
        Self {
            boxes: (0..count).map(one).collect(),
            rng: StdRng::seed_from_u64(seed),
            step: 0,
        }
    }

    /// Returns whether boxes communicate through hubs.
    pub fn is_large(&self) -> bool {
        self.boxes.iter().filter(|one| one.zone == 0).count() > LARGE_ZONE
    }

    /// Returns whether a datagram from one box to another arrives.
    fn arrives(&mut self, from: usize, to: usize) -> bool {
        let reached = |one: &OneBox<M>| !one.cut && !one.crashed;
        let lost = self.rng.random_bool(LOST);
        from != to && reached(&self.boxes[from]) && reached(&self.boxes[to]) && !lost
    }

    fn send(&mut self, from: usize, to: usize, messages: &[M::Message]) {
        if self.arrives(from, to) {
            self.boxes[to].memory.apply_update(messages, Instant::now());
        }
    }

    fn others(&self, from: usize, same_zone: bool) -> Vec<usize> {
        let zone = self.boxes[from].zone;
        let is_other = |to: &usize| *to != from && (self.boxes[*to].zone == zone) == same_zone;
        (0..self.boxes.len()).filter(is_other).collect()
    }

    /// Simulates one step.
    pub async fn round(&mut self) {
        tokio::time::advance(STEP).await;
        self.step += 1;
        match self.is_large() {
            true => self.large_round(),
            false => self.small_round(),
        }
    }

    fn small_round(&mut self) {
        for from in 0..self.boxes.len() {
            if (self.step + from).is_multiple_of(SMALL_DIGEST_STEPS) {
                self.digest(from);
            }
        }
    }

    fn digest(&mut self, from: usize) {
        let messages = self.boxes[from].memory.updates_to_send(Instant::now());
        let foreign = self.others(from, false);
        let foreign: Vec<usize> = foreign.sample(&mut self.rng, FOREIGN).copied().collect();
        for to in self.others(from, true).into_iter().chain(foreign) {
            self.send(from, to, &messages);
        }
    }

    fn large_round(&mut self) {
        let now = Instant::now();
        for from in 0..self.boxes.len() {
            self.report(from, now);
            if (self.step + from).is_multiple_of(LARGE_DIGEST_STEPS) {
                let messages = self.boxes[from].memory.updates_to_send(now);
                let zone = self.others(from, true);
                let any = *zone.choose(&mut self.rng).unwrap();
                self.send(from, any, &messages);
                for hub in self.reports_to(from, now) {
                    self.send(from, hub, &messages);
                }
            }
        }
        for hub in 0..self.boxes.len() {
            self.bulletins(hub, now);
        }
    }

    fn zone_names(&self, zone: usize) -> Vec<BoxHash> {
        let there = self.boxes.iter().filter(|one| one.zone == zone);
        let mut names: Vec<BoxHash> = there.map(|one| one.name).collect();
        names.sort_unstable();
        names
    }

    fn find(&self, name: BoxHash) -> usize {
        let found = self.boxes.iter().position(|one| one.name == name);
        found.unwrap()
    }

    fn reports_to(&mut self, from: usize, now: Instant) -> Vec<usize> {
        let all = self.zone_names(self.boxes[from].zone);
        let hubs = self.boxes[from].hub.report_recipients(&all, now);
        hubs.into_iter().map(|hub| self.find(hub)).collect()
    }

    fn report(&mut self, from: usize, now: Instant) {
        if self.boxes[from].crashed {
            return;
        }
        let found = self.boxes[from].memory.observed(now);
        let report = Report {
            from: self.boxes[from].name,
            work: Vec::new(),
            replaced: Vec::new(),
            operators_sync: sync_summary(),
            targets_sync: sync_summary(),
            retired: Vec::new(),
            fatal: Vec::new(),
            limits: Vec::new(),
            releases: Vec::new(),
            updates: Vec::new(),
        };
        self.boxes[from].hub.apply_report(report.clone(), now);
        for to in self.reports_to(from, now) {
            if self.arrives(from, to) {
                self.boxes[to].hub.apply_report(report.clone(), now);
                self.boxes[to].memory.apply_update(&found, now);
            }
        }
    }

    fn bulletins(&mut self, hub: usize, now: Instant) {
        if self.boxes[hub].crashed {
            return;
        }
        let messages = self.boxes[hub].memory.updates_to_send(now);
        let sums = || Sums {
            work: Vec::new(),
            replaced: Vec::new(),
            operators_sync: sync_summary(),
            targets_sync: sync_summary(),
            retired: Vec::new(),
            fatal: Vec::new(),
            limits: Vec::new(),
            releases: Vec::new(),
        };
        for bulletin in self.boxes[hub].hub.bulletins(sums, now) {
            self.relay(hub, &bulletin.members, &messages, now);
        }
        if self.boxes[hub].hub.is_active() && self.step.is_multiple_of(SUMMARY_STEPS) {
            // In a real fleet the hubs of other zones are known from their summaries.
            let others = self.others(hub, false);
            let hubs = others
                .into_iter()
                .filter(|to| self.boxes[*to].hub.is_active());
            for to in hubs.collect::<Vec<_>>() {
                self.send(hub, to, &messages);
            }
        }
    }

    fn relay(&mut self, from: usize, members: &[BoxHash], messages: &[M::Message], now: Instant) {
        for next in relay_children(members, self.boxes[from].name) {
            let to = self.find(*next);
            if self.arrives(from, to) {
                self.boxes[to].hub.record_bulletin(members, now);
                self.boxes[to].memory.apply_update(messages, now);
                self.relay(to, members, messages, now);
            }
        }
    }
}
