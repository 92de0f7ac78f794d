//! A fleet whose boxes tell each other by the ways that small and large zones have, and lose some of what they are told.

use super::name;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use sillpin_core::BoxId;
use sillpin_gateway::peers::datagram::{BoxHash, Extent, Report, Sums};
use sillpin_gateway::peers::hub::{Hub, LARGE_ZONE, behind};
use sillpin_platform::KvRevision;
use std::time::Duration;
use tokio::time::Instant;

/// One step of the play: what a box of a large zone reports and hears.
pub const STEP: Duration = Duration::from_millis(150);

/// Steps between two digests of a box, a small fleet's and a large one's, and between two words of a hub to other zones.
const SMALL_DIGEST: usize = 3;
const LARGE_DIGEST: usize = 6;
const ZONE_WORD: usize = 2;

/// Boxes of other zones that a box of a small fleet tells in a round.
const FOREIGN: usize = 3;

/// Part of the datagrams that get lost.
const LOST: f64 = 0.1;

/// What a box knows and tells others.
pub trait Memory: Default {
    /// What boxes tell each other.
    type Word: Clone;
    /// What it found itself of late.
    fn observed(&mut self, now: Instant) -> Vec<Self::Word>;
    /// What it tells.
    fn updates_to_send(&mut self, now: Instant) -> Vec<Self::Word>;
    /// Takes what another box tells.
    fn apply_update(&mut self, words: &[Self::Word], now: Instant);
}

/// One box.
pub struct OneBox<M> {
    /// Its zone.
    pub zone: usize,
    /// Its name.
    pub name: BoxHash,
    /// Its hub.
    pub hub: Hub,
    /// What it knows.
    pub memory: M,
    /// Whether it neither hears nor is heard.
    pub cut: bool,
    /// Whether it has ended.
    pub dead: bool,
    /// The step at which it started, or was last cut off.
    pub began: usize,
}

impl<M: Memory> OneBox<M> {
    /// A box that knows nothing.
    pub fn new(zone: usize, index: usize, began: usize) -> Self {
        let name = BoxHash::anywhere(&name::<BoxId>(&format!("z{zone}-{index}")));
        Self {
            zone,
            name,
            hub: Hub::new(name),
            memory: M::default(),
            cut: false,
            dead: false,
            began,
        }
    }
}

/// Its boxes.
pub struct Fleet<M> {
    /// All boxes.
    pub boxes: Vec<OneBox<M>>,
    /// Luck.
    pub rng: StdRng,
    /// Steps played.
    pub step: usize,
}

fn extent() -> Extent {
    Extent {
        revision: KvRevision(1),
        content: 1,
        age_ms: Some(0),
    }
}

impl<M: Memory> Fleet<M> {
    /// Boxes spread over the zones in turn.
    pub fn new(count: usize, zones: usize, seed: u64) -> Self {
        let one = |index| OneBox::new(index % zones, index / zones, 0);
        Self {
            boxes: (0..count).map(one).collect(),
            rng: StdRng::seed_from_u64(seed),
            step: 0,
        }
    }

    /// Whether boxes hear each other through hubs.
    pub fn is_large(&self) -> bool {
        self.boxes.iter().filter(|one| one.zone == 0).count() > LARGE_ZONE
    }

    /// A datagram from one box to another: whether it arrives.
    fn arrives(&mut self, from: usize, to: usize) -> bool {
        let reached = |one: &OneBox<M>| !one.cut && !one.dead;
        let lost = self.rng.random_bool(LOST);
        from != to && reached(&self.boxes[from]) && reached(&self.boxes[to]) && !lost
    }

    fn tell(&mut self, from: usize, to: usize, words: &[M::Word]) {
        if self.arrives(from, to) {
            self.boxes[to].memory.apply_update(words, Instant::now());
        }
    }

    fn others(&self, from: usize, same_zone: bool) -> Vec<usize> {
        let zone = self.boxes[from].zone;
        let is_other = |to: &usize| *to != from && (self.boxes[*to].zone == zone) == same_zone;
        (0..self.boxes.len()).filter(is_other).collect()
    }

    /// Plays one step.
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
            if (self.step + from).is_multiple_of(SMALL_DIGEST) {
                self.digest(from);
            }
        }
    }

    fn digest(&mut self, from: usize) {
        let words = self.boxes[from].memory.updates_to_send(Instant::now());
        let foreign = self.others(from, false);
        let foreign: Vec<usize> = foreign.sample(&mut self.rng, FOREIGN).copied().collect();
        for to in self.others(from, true).into_iter().chain(foreign) {
            self.tell(from, to, &words);
        }
    }

    fn large_round(&mut self) {
        let now = Instant::now();
        for from in 0..self.boxes.len() {
            self.report(from, now);
            if (self.step + from).is_multiple_of(LARGE_DIGEST) {
                let words = self.boxes[from].memory.updates_to_send(now);
                let zone = self.others(from, true);
                let any = *zone.choose(&mut self.rng).unwrap();
                self.tell(from, any, &words);
                for hub in self.reports_to(from, now) {
                    self.tell(from, hub, &words);
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
        let hubs = self.boxes[from].hub.report_to(&all, now);
        hubs.into_iter().map(|hub| self.find(hub)).collect()
    }

    fn report(&mut self, from: usize, now: Instant) {
        if self.boxes[from].dead {
            return;
        }
        let found = self.boxes[from].memory.observed(now);
        let report = Report {
            from: self.boxes[from].name,
            work: Vec::new(),
            replaced: Vec::new(),
            operators: extent(),
            targets: extent(),
            retired: Vec::new(),
            fatal: Vec::new(),
            limits: Vec::new(),
            news: Vec::new(),
        };
        self.boxes[from].hub.report(report.clone(), now);
        for to in self.reports_to(from, now) {
            if self.arrives(from, to) {
                self.boxes[to].hub.report(report.clone(), now);
                self.boxes[to].memory.apply_update(&found, now);
            }
        }
    }

    fn bulletins(&mut self, hub: usize, now: Instant) {
        if self.boxes[hub].dead {
            return;
        }
        let words = self.boxes[hub].memory.updates_to_send(now);
        let sums = || Sums {
            work: Vec::new(),
            replaced: Vec::new(),
            operators: extent(),
            targets: extent(),
            retired: Vec::new(),
            fatal: Vec::new(),
            limits: Vec::new(),
        };
        for bulletin in self.boxes[hub].hub.bulletins(sums, now) {
            self.pass_on(hub, &bulletin.members, &words, now);
        }
        if self.boxes[hub].hub.is_active() && self.step.is_multiple_of(ZONE_WORD) {
            // The hubs of other zones are known from their words; here by what they are.
            let others = self.others(hub, false);
            let hubs = others
                .into_iter()
                .filter(|to| self.boxes[*to].hub.is_active());
            for to in hubs.collect::<Vec<_>>() {
                self.tell(hub, to, &words);
            }
        }
    }

    fn pass_on(&mut self, from: usize, members: &[BoxHash], words: &[M::Word], now: Instant) {
        for next in behind(members, self.boxes[from].name) {
            let to = self.find(*next);
            if self.arrives(from, to) {
                self.boxes[to].hub.hear_bulletin(members, now);
                self.boxes[to].memory.apply_update(words, now);
                self.pass_on(to, members, words, now);
            }
        }
    }
}
