//! A fatal request in whole fleets: it comes again and again at boxes drawn by lot, and ends a target wherever it is sent on. Boxes tell each other by the
//! ways that small and large zones have, and lose some of what they are told. Counted is how often it reaches a target later than boxes have to know
//! it, and how many targets end in all.

mod common;

use common::gossip::{Fleet, Memory, OneBox, STEP};
use common::{engine, name};
use rand::RngExt;
use rand::seq::IndexedRandom;
use rstest::rstest;
use sillpin_gateway::control::TargetEntry;
use sillpin_gateway::fatal::{CrashReport, CrashRecord, RequestFingerprint};
use sillpin_gateway::peers::hub::Hub;
use sillpin_gateway::place::work::LifeHash;
use std::time::Duration;
use tokio::time::Instant;

/// How often the request reaches targets at most once boxes must know it.
const MOST_MORE: usize = 3;

const FATAL: RequestFingerprint = RequestFingerprint(7);

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

impl Memory for CrashRecord {
    type Word = CrashReport;

    fn observed(&mut self, now: Instant) -> Vec<CrashReport> {
        CrashRecord::observed(self, now)
    }

    fn updates_to_send(&mut self, now: Instant) -> Vec<CrashReport> {
        CrashRecord::updates_to_send(self, now)
    }

    fn apply_update(&mut self, words: &[CrashReport], now: Instant) {
        CrashRecord::apply_update(self, words, now);
    }
}

/// The fleets of these tests.
trait Struck {
    /// Trouble begins.
    fn begin(&mut self, trouble: Trouble);
    /// Boxes that were cut off are so no more.
    fn end_cuts(&mut self);
}

impl Struck for Fleet<CrashRecord> {
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
    let mut fleet: Fleet<CrashRecord> = Fleet::new(count, zones, seed);
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
        if one.memory.refused_until(FATAL, now).is_some() {
            continue;
        }
        let in_touch = !one.cut && step - one.began > steps(contact);
        let must_know = known.is_some_and(|known| step - known > steps(contact));
        late += usize::from(in_touch && must_know);
        one.memory.ended(life(ended), [FATAL], now, now);
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
