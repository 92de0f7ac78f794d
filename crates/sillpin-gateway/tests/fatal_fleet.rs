//! A fatal request in whole fleets: it comes again and again at boxes drawn by lot, and ends a target wherever it is sent on. Boxes tell each other by the
//! ways that small and large zones have, and lose some of what they are told. Counted is how often it reaches a target later than boxes have to know
//! it, and how many targets end in all.

mod common;

use common::{engine, name};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use sillpin_core::BoxId;
use sillpin_gateway::control::TargetEntry;
use sillpin_gateway::fatal::{FatalWord, Record, RequestPrint};
use sillpin_gateway::peers::datagram::{BoxHash, Extent, Report, Sums};
use sillpin_gateway::peers::hub::{Hub, LARGE_ZONE, behind};
use sillpin_gateway::place::work::LifeHash;
use sillpin_platform::KvRevision;
use std::time::Duration;
use tokio::time::Instant;

/// One step of the play: what a box of a large zone reports and hears.
const STEP: Duration = Duration::from_millis(150);

/// Steps between two digests of a box, a small fleet's and a large one's, and between two words of a hub to other zones.
const SMALL_DIGEST: usize = 3;
const LARGE_DIGEST: usize = 6;
const ZONE_WORD: usize = 2;

/// Boxes of other zones that a box of a small fleet tells in a round.
const FOREIGN: usize = 3;

/// Part of the datagrams that get lost.
const LOST: f64 = 0.1;

/// How often the request reaches targets at most once boxes must know it.
const MOST_MORE: usize = 3;

const FATAL: RequestPrint = RequestPrint(7);

/// What becomes of some boxes while the request comes.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Trouble {
    None,
    /// A third of the boxes neither hears nor is heard for a while.
    CutOff,
    /// Half of the boxes start anew, and know nothing.
    StartAnew,
    /// The hubs end and do not come back.
    HubsEnd,
}

struct OneBox {
    zone: usize,
    name: BoxHash,
    hub: Hub,
    record: Record,
    cut: bool,
    dead: bool,
    began: usize,
}

impl OneBox {
    fn new(zone: usize, index: usize, began: usize) -> Self {
        let name = BoxHash::anywhere(&name::<BoxId>(&format!("z{zone}-{index}")));
        Self {
            zone,
            name,
            hub: Hub::new(name),
            record: Record::default(),
            cut: false,
            dead: false,
            began,
        }
    }
}

struct Fleet {
    boxes: Vec<OneBox>,
    rng: StdRng,
    step: usize,
}

fn extent() -> Extent {
    Extent {
        revision: KvRevision(1),
        content: 1,
        age_ms: Some(0),
    }
}

impl Fleet {
    /// Boxes spread over the zones in turn.
    fn new(count: usize, zones: usize, seed: u64) -> Self {
        let one = |index| OneBox::new(index % zones, index / zones, 0);
        Self {
            boxes: (0..count).map(one).collect(),
            rng: StdRng::seed_from_u64(seed),
            step: 0,
        }
    }

    fn is_large(&self) -> bool {
        self.boxes.iter().filter(|one| one.zone == 0).count() > LARGE_ZONE
    }

    /// A datagram from one box to another: whether it arrives.
    fn arrives(&mut self, from: usize, to: usize) -> bool {
        let reached = |one: &OneBox| !one.cut && !one.dead;
        let lost = self.rng.random_bool(LOST);
        from != to && reached(&self.boxes[from]) && reached(&self.boxes[to]) && !lost
    }

    fn tell(&mut self, from: usize, to: usize, words: &[FatalWord]) {
        if self.arrives(from, to) {
            self.boxes[to].record.hear(words, Instant::now());
        }
    }

    fn others(&self, from: usize, same_zone: bool) -> Vec<usize> {
        let zone = self.boxes[from].zone;
        let is_other = |to: &usize| *to != from && (self.boxes[*to].zone == zone) == same_zone;
        (0..self.boxes.len()).filter(is_other).collect()
    }

    async fn round(&mut self) {
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
        let words = self.boxes[from].record.told(Instant::now());
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
                let words = self.boxes[from].record.told(now);
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
        let report = Report {
            from: self.boxes[from].name,
            work: Vec::new(),
            replaced: Vec::new(),
            operators: extent(),
            targets: extent(),
            retired: Vec::new(),
            fatal: self.boxes[from].record.found(now),
            news: Vec::new(),
        };
        self.boxes[from].hub.report(report.clone(), now);
        for to in self.reports_to(from, now) {
            if self.arrives(from, to) {
                self.boxes[to].hub.report(report.clone(), now);
                self.boxes[to].record.hear(&report.fatal, now);
            }
        }
    }

    fn bulletins(&mut self, hub: usize, now: Instant) {
        if self.boxes[hub].dead {
            return;
        }
        let words = self.boxes[hub].record.told(now);
        let sums = || Sums {
            work: Vec::new(),
            replaced: Vec::new(),
            operators: extent(),
            targets: extent(),
            retired: Vec::new(),
            fatal: words.clone(),
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

    fn pass_on(&mut self, from: usize, members: &[BoxHash], words: &[FatalWord], now: Instant) {
        for next in behind(members, self.boxes[from].name) {
            let to = self.find(*next);
            if self.arrives(from, to) {
                self.boxes[to].hub.hear_bulletin(members, now);
                self.boxes[to].record.hear(words, now);
                self.pass_on(to, members, words, now);
            }
        }
    }

    fn begin(&mut self, trouble: Trouble) {
        let step = self.step;
        let hubs: Vec<bool> = self.boxes.iter().map(|one| one.hub.is_active()).collect();
        for (index, one) in self.boxes.iter_mut().enumerate() {
            match trouble {
                Trouble::None => {}
                Trouble::CutOff => one.cut = index % 3 == 0,
                Trouble::StartAnew if index % 2 == 0 => {
                    let place = one.name;
                    *one = OneBox::new(one.zone, 0, step);
                    one.name = place;
                    one.hub = Hub::new(place);
                }
                Trouble::StartAnew => {}
                Trouble::HubsEnd => one.dead |= hubs[index],
            }
        }
    }

    fn end_cuts(&mut self) {
        let step = self.step;
        for one in self.boxes.iter_mut().filter(|one| one.cut) {
            (one.cut, one.began) = (false, step);
        }
    }
}

fn life(number: usize) -> LifeHash {
    LifeHash::of(&TargetEntry {
        id: name(&format!("i-{number}")),
        ..engine("i", "za")
    })
}

/// Plays 40 s of a request that comes every 0.3 to 1.2 s: the targets that ended, and how many of them under boxes that were in touch so long that they
/// had to know it.
async fn play(
    count: usize,
    zones: usize,
    contact: Duration,
    trouble: Trouble,
    seed: u64,
) -> (usize, usize) {
    let steps = |time: Duration| (time.as_millis() / STEP.as_millis()) as usize;
    let mut fleet = Fleet::new(count, zones, seed);
    for _ in 0..20 {
        fleet.round().await;
    }
    let (mut ended, mut late, mut known) = (0, 0, None);
    let mut next = fleet.step;
    for step in 0..steps(Duration::from_secs(40)) {
        match step {
            5 | 25 => fleet.begin(trouble),
            45 => fleet.end_cuts(),
            _ => {}
        }
        fleet.round().await;
        if fleet.step < next {
            continue;
        }
        next = fleet.step + fleet.rng.random_range(2..8);
        let living: Vec<usize> = (0..count).filter(|at| !fleet.boxes[*at].dead).collect();
        let at = *living.choose(&mut fleet.rng).unwrap();
        let (now, step) = (Instant::now(), fleet.step);
        let one = &mut fleet.boxes[at];
        if one.record.refused_until(FATAL, now).is_some() {
            continue;
        }
        let in_touch = !one.cut && step - one.began > steps(contact);
        let must_know = known.is_some_and(|known| step - known > steps(contact));
        late += usize::from(in_touch && must_know);
        one.record.ended(life(ended), [FATAL], now, now);
        ended += 1;
        if ended == 3 {
            known = Some(step);
        }
    }
    (ended, late)
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn a_fatal_request_reaches_few_targets_in_fleets_of_any_size(
    #[values((7, 3, 3_000), (59, 3, 4_000), (295, 5, 5_000))] fleet: (usize, usize, u64),
    #[values(Trouble::None, Trouble::CutOff, Trouble::StartAnew, Trouble::HubsEnd)]
    trouble: Trouble,
    #[values(1, 2, 3)] seed: u64,
) {
    let (count, zones, contact) = fleet;
    let contact = Duration::from_millis(contact);
    let (ended, late) = play(count, zones, contact, trouble, seed).await;
    println!("{count} boxes, {trouble:?}: {ended} targets ended, {late} late");
    assert!(late <= MOST_MORE, "{late} times late");
}
