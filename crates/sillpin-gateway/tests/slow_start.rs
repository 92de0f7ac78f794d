//! What whole fleets send to cold targets.
//!
//! A target that has just started bears 11 requests a second and falls over well above that, and looked free to every box. On a day on which many users
//! came at once just after a zone had been evacuated, 71 boxes together sent single targets more than 21 in a second.

mod common;

use common::{engine, name};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use sillpin_core::{BoxId, TargetId, ZoneId};
use sillpin_gateway::config::WarmUp;
use sillpin_gateway::control::TargetEntry;
use sillpin_gateway::fleet_state::BoxEntry;
use sillpin_gateway::place::limits::{Gate, Limits};
use sillpin_gateway::place::shared_limit::{Admission, KNOWS_AFTER, Sharers};
use sillpin_gateway::settings::WarmUpRules;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

const ZONES: usize = 3;

const WARM_UP: WarmUp = WarmUp {
    time: Duration::from_secs(3),
    per_s: 11.0,
};

const RULES: WarmUpRules = WarmUpRules {
    overage: 1.5,
    slack: 5.0,
};

/// Requests that may arrive at one cold target in any second.
const MOST: usize = 21;

const STEP: Duration = Duration::from_millis(20);

/// Boxes hear of each other every so many steps.
const HEAR_STEPS: u32 = 10;
const SECOND: Duration = Duration::from_secs(1);

/// All targets stay cold for as long as the play lasts.
const LENGTH: Duration = Duration::from_secs(12);

/// A request goes out up to so many milliseconds after its target was chosen: a connection has to be opened.
const OPENING_MS: u64 = 60;

/// A box is known to others up to so long after its start: part of the datagrams gets lost.
const HEARD_AFTER_MS: std::ops::Range<u64> = 10..2_500;

/// A box that ended is known to others up to so long after: its lease has to lapse.
const FORGOTTEN_AFTER_MS: std::ops::Range<u64> = 0..10_000;

/// What becomes of some boxes while the targets are cold.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Trouble {
    None,
    /// Half of the boxes start anew in the same moment, under their names.
    StartAnew,
    /// Half of the boxes end, and others come in their place under new names.
    Replaced,
    /// A third of the boxes hears nothing any more, and half of the others end.
    CutOff,
    /// All boxes start anew, none knows another.
    AllStart,
    /// Nine of ten boxes are told to stop in the same moment, and go on with what their callers have open.
    Stop,
}

/// One box, and what it believes of others.
struct OneBox {
    entry: BoxEntry,
    began: Instant,
    ended: Option<Instant>,
    cut_since: Option<Instant>,
    stopping: Option<Instant>,
    others: Arc<Vec<BoxEntry>>,
    state: Limits,
}

struct Fleet {
    boxes: Vec<OneBox>,
    /// When each box, by its index, knows of the start and of the end of each other.
    lags: HashMap<(usize, usize), (Duration, Duration)>,
    rng: StdRng,
}

fn box_entry(zone: usize, text: &str) -> BoxEntry {
    BoxEntry {
        id: name::<BoxId>(text),
        zone: name(&format!("z{zone}")),
        peers: ([127, 0, 0, 1], 1).into(),
        gossip: ([127, 0, 0, 1], 2).into(),
        link_mbps: 0,
    }
}

impl Fleet {
    fn new(count: usize, seed: u64, long_ago: Instant) -> Self {
        let one = |index| OneBox {
            entry: box_entry(index % ZONES, &format!("b-{index}")),
            began: long_ago,
            ended: None,
            cut_since: None,
            stopping: None,
            others: Arc::default(),
            state: Limits::default(),
        };
        Self {
            boxes: (0..count).map(one).collect(),
            lags: HashMap::new(),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    fn some(&mut self, part: f64) -> Vec<usize> {
        let all: Vec<usize> = (0..self.boxes.len()).collect();
        let count = (all.len() as f64 * part) as usize;
        all.sample(&mut self.rng, count).copied().collect()
    }

    fn strike(&mut self, trouble: Trouble, now: Instant) {
        let half = self.some(0.5);
        match trouble {
            Trouble::None => {}
            Trouble::StartAnew => half.iter().for_each(|index| self.start_anew(*index, now)),
            Trouble::AllStart => {
                (0..self.boxes.len()).for_each(|index| self.start_anew(index, now))
            }
            Trouble::Replaced => {
                for index in half {
                    self.boxes[index].ended = Some(now);
                    let entry = box_entry(index % ZONES, &format!("n-{index}"));
                    self.boxes.push(OneBox {
                        entry,
                        began: now,
                        ended: None,
                        cut_since: None,
                        stopping: None,
                        others: Arc::default(),
                        state: Limits::default(),
                    });
                }
            }
            Trouble::Stop => {
                for index in self.some(0.9) {
                    self.boxes[index].stopping = Some(now);
                }
            }
            Trouble::CutOff => {
                for index in self.some(0.33) {
                    self.boxes[index].cut_since = Some(now);
                }
                for index in half {
                    if self.boxes[index].cut_since.is_none() {
                        self.boxes[index].ended = Some(now);
                    }
                }
            }
        }
    }

    fn start_anew(&mut self, index: usize, now: Instant) {
        let one = &mut self.boxes[index];
        one.began = now;
        one.state = Limits::default();
        one.others = Arc::default();
    }

    /// What a box knows of the others by now.
    fn learn(&mut self, of: usize, now: Instant) {
        if self.boxes[of].cut_since.is_some() {
            return;
        }
        let mut known = Vec::new();
        for other in 0..self.boxes.len() {
            let rng = &mut self.rng;
            let (start, end) = *self.lags.entry((of, other)).or_insert_with(|| {
                let mut ms = |range| Duration::from_millis(rng.random_range(range));
                (ms(HEARD_AFTER_MS), ms(FORGOTTEN_AFTER_MS))
            });
            let one = &self.boxes[other];
            // Whoever started later has to hear of all; the others know of it once they heard it.
            let from = one.began.max(self.boxes[of].began) + start;
            // A box that stops tells so; half of the words are as late as those of starts.
            let stops = one.stopping.is_some_and(|at| now >= at + start / 2);
            let is_known = now >= from && !stops && one.ended.is_none_or(|at| now < at + end);
            if other != of && is_known {
                known.push(one.entry.clone());
            }
        }
        if *self.boxes[of].others != known {
            self.boxes[of].others = Arc::new(known);
        }
    }
}

fn cold_targets(count: usize) -> Vec<TargetEntry> {
    let one = |index: usize| engine(&format!("e-{index}"), &format!("z{}", index % ZONES));
    (0..count).map(one).collect()
}

/// Every box sends to every cold target as soon as it may. The most that arrive at one target in any second, and how many arrive at all.
async fn play(count: usize, trouble: Trouble, seed: u64, is_limited: bool) -> (usize, usize) {
    let targets = cold_targets(ZONES);
    tokio::time::advance(Duration::from_secs(60)).await;
    let began = Instant::now();
    let mut fleet = Fleet::new(count, seed, began - Duration::from_secs(60));
    let strikes = began + Duration::from_secs(4);
    let cold: HashMap<TargetId, Instant> = targets
        .iter()
        .map(|target| (target.id.clone(), began + LENGTH * 2))
        .collect();
    let mut sent: HashMap<TargetId, Vec<Instant>> = HashMap::new();
    let (mut struck, mut step) = (false, 0u32);
    while began.elapsed() < LENGTH {
        let now = Instant::now();
        if now >= strikes && !struck {
            struck = true;
            fleet.strike(trouble, now);
        }
        for of in 0..fleet.boxes.len() {
            if fleet.boxes[of].ended.is_some() {
                continue;
            }
            if step.is_multiple_of(HEAR_STEPS) {
                fleet.learn(of, now);
            }
            let one = &mut fleet.boxes[of];
            let (others, zone): (_, ZoneId) = (one.others.clone(), one.entry.zone.clone());
            let in_contact = one
                .cut_since
                .is_none_or(|at| now < at + Duration::from_secs(3));
            let gate = Gate {
                cold: &cold,
                warm_up: Some(WARM_UP),
                rules: RULES,
                sharers: Sharers {
                    me: &one.entry.id,
                    zone: &zone,
                    others: &others,
                    is_settled: now >= one.began + KNOWS_AFTER,
                    is_stopping: one.stopping.is_some(),
                    is_in_touch: in_contact,
                    pool_zones: &[],
                },
            };
            for target in &targets {
                let admits = |state: &mut Limits, how| state.admits(&gate, target, how, now);
                let lone = !gate.sharers.is_sure();
                while !is_limited
                    || admits(&mut one.state, Admission::Part)
                    || (lone && admits(&mut one.state, Admission::Unsure))
                {
                    one.state.note_sent(&target.id, now);
                    let opened = Duration::from_millis(fleet.rng.random_range(0..=OPENING_MS));
                    sent.entry(target.id.clone())
                        .or_default()
                        .push(now + opened);
                    if !is_limited {
                        break;
                    }
                }
            }
        }
        step += 1;
        tokio::time::advance(STEP).await;
    }
    let most = sent.values_mut().map(|at| most_in_a_second(at)).max();
    let all = sent.values().map(Vec::len).sum();
    (most.unwrap_or_default(), all)
}

/// The most of these moments that lie in any one second.
fn most_in_a_second(moments: &mut [Instant]) -> usize {
    moments.sort_unstable();
    let mut first = 0;
    let mut most = 0;
    for (index, at) in moments.iter().enumerate() {
        while *at - moments[first] > SECOND {
            first += 1;
        }
        most = most.max(index + 1 - first);
    }
    most
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn a_fleet_sends_a_cold_target_no_more_than_it_bears(
    #[values(7, 71, 295)] boxes: usize,
    #[values(
        Trouble::None,
        Trouble::StartAnew,
        Trouble::Replaced,
        Trouble::CutOff,
        Trouble::AllStart,
        Trouble::Stop
    )]
    trouble: Trouble,
    #[values(1, 2)] seed: u64,
) {
    let (most, all) = play(boxes, trouble, seed, true).await;
    println!("most in a second {most}, in all {all}");
    assert!(most <= MOST, "{most} in a second");
    if trouble == Trouble::None {
        let borne = LENGTH.as_secs_f64() * WARM_UP.per_s * ZONES as f64;
        assert!(all as f64 > borne * 0.6, "{all} of {borne}: too careful");
    }
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn without_the_limit_every_fleet_overloads_cold_targets(#[values(7, 71, 295)] boxes: usize) {
    let (most, _) = play(boxes, Trouble::None, 1, false).await;
    assert!(most > MOST, "the checker sees nothing: {most}");
}
