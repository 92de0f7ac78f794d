//! Tests of what a whole fleet sends to cold targets.
//!
//! Guards against overload of cold targets. A target that has just started can handle 11 requests a
//! second and fails well above that, but appears idle to every box. Under load just after the
//! evacuation of a zone, 71 boxes together sent single targets more than 21 requests in a second.

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
use sillpin_gateway::placement::limits::{LimitContext, Limits};
use sillpin_gateway::placement::shared_limit::{Admission, MEMBERSHIP_DELAY, ShareGroup};
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

/// Maximum number of requests that may arrive at one cold target in any second.
const MAX_PER_SECOND: usize = 21;

const STEP: Duration = Duration::from_millis(20);

/// Number of steps between two updates of what boxes know of each other.
const VIEW_STEPS: u32 = 10;
const SECOND: Duration = Duration::from_secs(1);

/// Length of a simulation; all targets stay cold.
const LENGTH: Duration = Duration::from_secs(12);

/// Longest time from the choice of a target to the request, in milliseconds: a connection has to be
/// opened.
const OPENING_MS: u64 = 60;

/// Time after its start at which a box is known to others: some datagrams get lost.
const DISCOVERED_AFTER_MS: std::ops::Range<u64> = 10..2_500;

/// Time after its end at which a box is removed by others: its lease has to expire.
const REMOVED_AFTER_MS: std::ops::Range<u64> = 0..10_000;

/// What happens to some boxes while the targets are cold.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// Half of the boxes restart at the same moment with their ids.
    Restart,
    /// Half of the boxes stop, and others replace them with new ids.
    Replaced,
    /// A third of the boxes no longer receives anything, and half of the others stop.
    Partition,
    /// All boxes restart, and none knows another.
    RestartAll,
    /// Nine of ten boxes begin to stop at the same moment, and go on with their callers' open
    /// connections.
    Stop,
}

/// A box, with the others that it knows.
struct SimulatedBox {
    entry: BoxEntry,
    started_at: Instant,
    ended_at: Option<Instant>,
    partitioned_at: Option<Instant>,
    stopping_at: Option<Instant>,
    others: Arc<Vec<BoxEntry>>,
    state: Limits,
}

struct Fleet {
    boxes: Vec<SimulatedBox>,
    /// When each box, by its index, detects the start and the end of each other.
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
        let one = |index| SimulatedBox {
            entry: box_entry(index % ZONES, &format!("b-{index}")),
            started_at: long_ago,
            ended_at: None,
            partitioned_at: None,
            stopping_at: None,
            others: Arc::default(),
            state: Limits::default(),
        };
        Self {
            boxes: (0..count).map(one).collect(),
            lags: HashMap::new(),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    fn sample(&mut self, part: f64) -> Vec<usize> {
        let all: Vec<usize> = (0..self.boxes.len()).collect();
        let count = (all.len() as f64 * part) as usize;
        all.sample(&mut self.rng, count).copied().collect()
    }

    fn inject(&mut self, fault: Fault, now: Instant) {
        let half = self.sample(0.5);
        match fault {
            Fault::None => {}
            Fault::Restart => half.iter().for_each(|index| self.restart_box(*index, now)),
            Fault::RestartAll => {
                (0..self.boxes.len()).for_each(|index| self.restart_box(index, now))
            }
            Fault::Replaced => {
                for index in half {
                    self.boxes[index].ended_at = Some(now);
                    let entry = box_entry(index % ZONES, &format!("n-{index}"));
                    self.boxes.push(SimulatedBox {
                        entry,
                        started_at: now,
                        ended_at: None,
                        partitioned_at: None,
                        stopping_at: None,
                        others: Arc::default(),
                        state: Limits::default(),
                    });
                }
            }
            Fault::Stop => {
                for index in self.sample(0.9) {
                    self.boxes[index].stopping_at = Some(now);
                }
            }
            Fault::Partition => {
                for index in self.sample(0.33) {
                    self.boxes[index].partitioned_at = Some(now);
                }
                for index in half {
                    if self.boxes[index].partitioned_at.is_none() {
                        self.boxes[index].ended_at = Some(now);
                    }
                }
            }
        }
    }

    fn restart_box(&mut self, index: usize, now: Instant) {
        let one = &mut self.boxes[index];
        one.started_at = now;
        one.state = Limits::default();
        one.others = Arc::default();
    }

    /// Updates the boxes that a box knows.
    fn update_view(&mut self, of: usize, now: Instant) {
        if self.boxes[of].partitioned_at.is_some() {
            return;
        }
        let mut known = Vec::new();
        for other in 0..self.boxes.len() {
            let rng = &mut self.rng;
            let (start, end) = *self.lags.entry((of, other)).or_insert_with(|| {
                let mut ms = |range| Duration::from_millis(rng.random_range(range));
                (ms(DISCOVERED_AFTER_MS), ms(REMOVED_AFTER_MS))
            });
            let one = &self.boxes[other];
            // A box detects all others after its own start, and later ones after theirs.
            let from = one.started_at.max(self.boxes[of].started_at) + start;
            // A box that stops announces it; half of the announcements are as late as those of
            // starts.
            let stops = one.stopping_at.is_some_and(|at| now >= at + start / 2);
            let is_known = now >= from && !stops && one.ended_at.is_none_or(|at| now < at + end);
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

/// Every box sends to every cold target as soon as it may. Returns the maximum number of requests
/// that arrive at one target in any second, and the number of all requests.
async fn simulate(count: usize, fault: Fault, seed: u64, is_limited: bool) -> (usize, usize) {
    let targets = cold_targets(ZONES);
    tokio::time::advance(Duration::from_secs(60)).await;
    let started_at = Instant::now();
    let mut fleet = Fleet::new(count, seed, started_at - Duration::from_secs(60));
    let fault_at = started_at + Duration::from_secs(4);
    let cold: HashMap<TargetId, Instant> = targets
        .iter()
        .map(|target| (target.id.clone(), started_at + LENGTH * 2))
        .collect();
    let mut sent: HashMap<TargetId, Vec<Instant>> = HashMap::new();
    let (mut is_injected, mut step) = (false, 0u32);
    while started_at.elapsed() < LENGTH {
        let now = Instant::now();
        if now >= fault_at && !is_injected {
            is_injected = true;
            fleet.inject(fault, now);
        }
        for of in 0..fleet.boxes.len() {
            if fleet.boxes[of].ended_at.is_some() {
                continue;
            }
            if step.is_multiple_of(VIEW_STEPS) {
                fleet.update_view(of, now);
            }
            let one = &mut fleet.boxes[of];
            let (others, zone): (_, ZoneId) = (one.others.clone(), one.entry.zone.clone());
            let in_contact = one
                .partitioned_at
                .is_none_or(|at| now < at + Duration::from_secs(3));
            let context = LimitContext {
                cold: &cold,
                warm_up: Some(WARM_UP),
                rules: RULES,
                share_group: ShareGroup {
                    me: &one.entry.id,
                    zone: &zone,
                    others: &others,
                    is_membership_known: now >= one.started_at + MEMBERSHIP_DELAY,
                    is_stopping: one.stopping_at.is_some(),
                    is_in_contact: in_contact,
                    pool_zones: &[],
                },
            };
            for target in &targets {
                let admits =
                    |state: &mut Limits, admission| state.admits(&context, target, admission, now);
                let knows_no_share = !context.share_group.knows_share();
                while !is_limited
                    || admits(&mut one.state, Admission::OwnShare)
                    || (knows_no_share && admits(&mut one.state, Admission::UnknownShare))
                {
                    one.state.record_sent(&target.id, now);
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

/// Returns the maximum number of these moments in any one second.
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
async fn a_fleet_does_not_overload_cold_targets(
    #[values(7, 71, 295)] boxes: usize,
    #[values(
        Fault::None,
        Fault::Restart,
        Fault::Replaced,
        Fault::Partition,
        Fault::RestartAll,
        Fault::Stop
    )]
    fault: Fault,
    #[values(1, 2)] seed: u64,
) {
    let (most, all) = simulate(boxes, fault, seed, true).await;
    println!("most in a second {most}, in all {all}");
    assert!(most <= MAX_PER_SECOND, "{most} in a second");
    if fault == Fault::None {
        let capacity = LENGTH.as_secs_f64() * WARM_UP.per_s * ZONES as f64;
        assert!(
            all as f64 > capacity * 0.6,
            "{all} of {capacity} requests sent: too few"
        );
    }
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn without_the_limit_every_fleet_overloads_cold_targets(#[values(7, 71, 295)] boxes: usize) {
    let (most, _) = simulate(boxes, Fault::None, 1, false).await;
    assert!(
        most > MAX_PER_SECOND,
        "the test does not cause overload: {most}"
    );
}
