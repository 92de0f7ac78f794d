//! How boxes without paths to a pool's targets search for the ones that have them, in a simulated fleet.

mod common;

use common::name;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use sillpin_core::{BoxId, PoolId};
use sillpin_gateway::fleet_state::BoxEntry;
use sillpin_gateway::forward::boxes::{Avoidance, BoxChoice, ForwardBoxes};
use sillpin_gateway::forward::head::Unavailable;
use sillpin_gateway::placement::residency::{Residency, ZoneRegions};
use std::time::Duration;
use tokio::time::Instant;

const ZONES: [&str; 3] = ["za", "zb", "zc"];

/// A fleet of which some boxes reach the targets, and the others none.
struct Fleet {
    boxes: Vec<BoxEntry>,
    states: Vec<ForwardBoxes>,
    /// Whether a box reaches the targets, in the order of the boxes.
    is_whole: Vec<bool>,
    regions: ZoneRegions,
    pool: PoolId,
    rng: StdRng,
}

/// What became of a request.
struct Served {
    is_served: bool,
    offers: usize,
}

impl Fleet {
    /// Creates a fleet in which `whole` random boxes reach the targets, none of the first `cut` ones.
    fn new(count: usize, cut: usize, whole: usize, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut others: Vec<usize> = (cut..count).collect();
        others.shuffle(&mut rng);
        let mut is_whole = vec![false; count];
        others[..whole].iter().for_each(|at| is_whole[*at] = true);
        Self {
            boxes: (0..count).map(|at| entry(at, count)).collect(),
            states: (0..count).map(|_| ForwardBoxes::default()).collect(),
            is_whole,
            regions: ZONES.iter().map(|zone| (name(zone), name("ra"))).collect(),
            pool: name("llm"),
            rng,
        }
    }

    /// Offers a request of a box to others until one serves it or no further offer is allowed.
    fn request(&mut self, at: usize) -> Served {
        let state = self.states[at].clone();
        let mut tried: Vec<BoxId> = Vec::new();
        while state.may_offer(&self.pool, tried.len(), Instant::now()) {
            let Some(asked) = self.choose(at, &tried) else {
                break;
            };
            let to = index(&asked.id);
            tried.push(asked.id.clone());
            if self.is_whole[to] {
                state.record_served(&asked.id, &self.pool, Instant::now());
                return Served {
                    is_served: true,
                    offers: tried.len(),
                };
            }
            self.refuse(at, to);
        }
        Served {
            is_served: false,
            offers: tried.len(),
        }
    }

    fn choose(&mut self, at: usize, tried: &[BoxId]) -> Option<BoxEntry> {
        let own = &self.boxes[at];
        let others = self.boxes.iter().filter(|entry| entry.id != own.id);
        let others: Vec<BoxEntry> = others.cloned().collect();
        let choice = BoxChoice {
            boxes: &others,
            zone: &own.zone,
            pool: &self.pool,
            residency: Residency {
                route: &[],
                organisation: &[],
                regions: &self.regions,
            },
            tried,
            now: Instant::now(),
        };
        self.states[at].choose(&choice, &mut self.rng)
    }

    /// The box `by` tells the box `at` that it has no path, and names boxes that served its own requests.
    fn refuse(&mut self, at: usize, by: usize) {
        let now = Instant::now();
        let why = Avoidance::Unavailable(Unavailable::NoPath);
        let (state, by_id) = (&self.states[at], &self.boxes[by].id);
        state.avoid(by_id, &self.pool, why, now);
        for id in self.states[by].proven(&self.pool, now, &mut self.rng) {
            state.record_named(&id, &self.pool, now);
        }
    }
}

fn entry(at: usize, count: usize) -> BoxEntry {
    BoxEntry {
        id: name(&format!("b-{at:03}")),
        zone: name(ZONES[at * ZONES.len() / count]),
        peers: ([127, 0, 0, 1], 1).into(),
        gossip: ([127, 0, 0, 1], 2).into(),
        link_mbps: 0,
    }
}

fn index(id: &BoxId) -> usize {
    id.as_str()[2..].parse().unwrap()
}

/// Requests are refused although one of the boxes that the request's box has not asked reaches the targets.
#[rstest]
#[case::five_boxes_that_others_do_not_know(43, 12, 5, 2)]
#[case::one_of_33(33, 32, 1, 2)]
#[case::one_of_59(59, 58, 1, 4)]
#[tokio::test(start_paused = true)]
async fn no_request_is_refused_where_few_boxes_reach_the_targets(
    #[case] count: usize,
    #[case] cut: usize,
    #[case] whole: usize,
    #[case] rate: usize,
    #[values(1, 2, 3, 4, 5)] seed: u64,
) {
    let mut fleet = Fleet::new(count, cut, whole, seed);
    let mut callers: Vec<usize> = (0..cut).collect();
    let mut refused = 0;
    for _ in 0..rate {
        callers.shuffle(&mut fleet.rng);
        for at in &callers {
            refused += usize::from(!fleet.request(*at).is_served);
            let interval = Duration::from_secs(1) / (rate * cut) as u32;
            tokio::time::advance(interval).await;
        }
    }
    assert_eq!(refused, 0, "of {}", rate * cut);
}

/// While all targets of a pool are down, each request is offered to many boxes in vain.
#[rstest]
#[case::small_fleet(9, 4)]
#[case::deployment(59, 4)]
#[case::largest_fleet(380, 11)]
#[case::largest_fleet_under_load(380, 100)]
#[tokio::test(start_paused = true)]
async fn few_boxes_are_asked_in_vain_while_all_targets_are_down(
    #[case] count: usize,
    #[case] rate: usize,
) {
    const SEARCH: usize = 64;
    const SEARCHED_EACH_SECOND: usize = 16;
    let mut fleet = Fleet::new(count, count, 0, 1);
    let at = fleet.rng.random_range(0..count);
    let mut by_second = Vec::new();
    for _ in 0..6 {
        let mut offers = 0;
        for _ in 0..rate {
            offers += fleet.request(at).offers;
            tokio::time::advance(Duration::from_secs(1) / rate as u32).await;
        }
        by_second.push(offers);
    }
    println!("offers by second: {by_second:?}");
    let allowed = rate + SEARCHED_EACH_SECOND + 1;
    assert!(by_second[0] <= SEARCH + allowed, "{by_second:?}");
    let late = &by_second[4..];
    assert!(
        late.iter().all(|offers| *offers <= allowed),
        "{by_second:?}"
    );
}
