//! Tests of the properties of the decisions.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use sillpin_core::{PriorityClass, Share, ZoneId};
use sillpin_policy::admission::{Cost, FairQueue};
use sillpin_policy::arms::{ArmShare, arm_for};
use sillpin_policy::guard::{ArmSample, Breach, Guard};
use sillpin_policy::keeping::ReturnGaps;
use sillpin_policy::placement::{Candidate, HeldBlocks, Reason, Request, StoredBlocks, rank};
use sillpin_policy::rendezvous::{CandidateHash, top};
use sillpin_policy::set::{PlacementKind, PlacementPolicy};
use std::time::Duration;

const KEYS: u64 = 20_000;

fn candidates(count: usize) -> Vec<Candidate> {
    let names = (0..count).map(|i| format!("engine-{i}"));
    let candidate = |name: String| Candidate {
        hash: CandidateHash::of(&name),
        wait: Duration::ZERO,
        block_time: Duration::from_millis(20),
        distance: Duration::ZERO,
    };
    names.map(candidate).collect()
}

fn request(home: u64, blocks: u32, holders: &[(usize, HeldBlocks)]) -> Request<'_> {
    Request {
        home,
        blocks,
        holders,
        kept: StoredBlocks::default(),
        turn: 0,
    }
}

fn winner(key: u64, count: usize, weight: impl Fn(usize) -> f64) -> usize {
    let all = candidates(count);
    let all = all.iter().enumerate();
    top(key, all.map(|(i, c)| (i, c.hash, weight(i))), 1)[0]
}

#[test]
fn rendezvous_follows_the_weights() {
    let mut wins = [0; 3];
    for key in 0..KEYS {
        wins[winner(key.wrapping_mul(0x9e37_79b9_7f4a_7c15), 3, |i| {
            [1.0, 1.0, 2.0][i]
        })] += 1;
    }
    let share = f64::from(wins[2]) / KEYS as f64;
    assert!((0.48..0.52).contains(&share), "{wins:?}");
}

#[test]
fn a_removed_candidate_moves_only_its_own_keys() {
    for key in 0..KEYS {
        let before = winner(key, 10, |_| 1.0);
        let after = winner(key, 9, |_| 1.0);
        assert!(before == 9 || before == after);
    }
}

#[rstest]
#[case::no_hint_goes_home(0, 0, Reason::Home)]
#[case::holder_wins_over_home(8, 0, Reason::Holder)]
#[case::busy_holder_loses(8, 2_000, Reason::Home)]
fn scored_placement(#[case] held: u32, #[case] holder_wait_ms: u64, #[case] expected: Reason) {
    let mut all = candidates(20);
    let policy = PlacementPolicy {
        homes: 1,
        samples: 0,
        ..PlacementPolicy::default()
    };
    let home = winner(7, 20, |_| 1.0);
    let holder = (home + 1) % 20;
    all[holder].wait = Duration::from_millis(holder_wait_ms);
    let holders = [(holder, HeldBlocks { blocks: held })];
    let req = request(7, 10, &holders);
    let ranked = rank(&policy, &all, &req, &mut ChaCha8Rng::seed_from_u64(1));
    assert_eq!(ranked[0].reason, expected);
}

#[test]
fn stored_blocks_are_fetched_only_when_quicker() {
    let all = candidates(1);
    let policy = PlacementPolicy::default();
    for (fetch_ms, fetched) in [(1, 6), (30, 0)] {
        let kept = StoredBlocks {
            blocks: 6,
            fetch_time: Duration::from_millis(fetch_ms),
        };
        let req = Request {
            kept,
            ..request(7, 10, &[])
        };
        let ranked = rank(&policy, &all, &req, &mut ChaCha8Rng::seed_from_u64(1));
        assert_eq!(ranked[0].fetched, fetched);
    }
}

#[test]
fn round_robin_takes_turns() {
    let policy = PlacementPolicy {
        kind: PlacementKind::RoundRobin,
        ..PlacementPolicy::default()
    };
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let all = candidates(3);
    let turns = (0..4).map(|turn| {
        let req = Request {
            turn,
            ..request(7, 1, &[])
        };
        rank(&policy, &all, &req, &mut rng)[0].index
    });
    assert_eq!(turns.collect::<Vec<_>>(), [0, 1, 2, 0]);
}

#[test]
fn arms_take_their_share_in_their_zones_only() {
    let zone: ZoneId = "mall-road-hall".parse().unwrap();
    let other: ZoneId = "johar-hall".parse().unwrap();
    let name = "b".parse().unwrap();
    let zones = [zone.clone()];
    let arm = || ArmShare {
        name: &name,
        share: Share::try_from(2_500).unwrap(),
        zones: &zones,
    };
    let keys = || (0..KEYS).map(|k| k.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let in_arm = keys().filter(|k| arm_for([arm()], &zone, *k, |_| false).is_some());
    let share = in_arm.count() as f64 / KEYS as f64;
    assert!((0.24..0.26).contains(&share), "{share}");
    assert!(keys().all(|k| arm_for([arm()], &other, k, |_| false).is_none()));
    assert!(keys().all(|k| arm_for([arm()], &zone, k, |_| true).is_none()));
}

#[rstest]
#[case::too_few(10, 0, 900, None)]
#[case::late(100, 0, 400, Some(Breach::FirstToken))]
#[case::slightly_late(100, 0, 120, None)]
#[case::failing(100, 10, 100, Some(Breach::Failures))]
fn guard(
    #[case] answered: u32,
    #[case] failed: u32,
    #[case] p95_ms: u64,
    #[case] expected: Option<Breach>,
) {
    let control = ArmSample {
        answered: 1_000,
        failed: 0,
        first_token_p95: Duration::from_millis(100),
    };
    let arm = ArmSample {
        answered,
        failed,
        first_token_p95: Duration::from_millis(p95_ms),
    };
    assert_eq!(Guard::default().breach(&arm, &control), expected);
}

#[test]
fn return_gaps_estimate_the_chance_of_a_return() {
    let mut gaps = ReturnGaps::default();
    for _ in 0..100 {
        gaps.record_first_use();
        gaps.record_return(Duration::from_secs(60));
    }
    assert!(gaps.chance_of_return(Duration::from_secs(1)) > 0.45);
    assert!(gaps.chance_of_return(Duration::from_secs(600)) < 0.01);
}

/// Queue of requests that are identified by a name and a number.
type NumberedQueue = FairQueue<(&'static str, u32)>;

fn push_as(
    queue: &mut NumberedQueue,
    class: PriorityClass,
    org: &str,
    request: (&'static str, u32),
) {
    queue.push(class, org.parse().unwrap(), 100, Cost(10), request);
}

/// A queue in which one organisation has `count` normal requests.
fn noisy_queue(count: u32) -> NumberedQueue {
    let mut queue = NumberedQueue::default();
    for number in 0..count {
        push_as(
            &mut queue,
            PriorityClass::Normal,
            "noisy",
            ("noisy", number),
        );
    }
    queue
}

#[test]
fn a_noisy_organisation_delays_only_itself() {
    let mut queue = noisy_queue(100);
    push_as(&mut queue, PriorityClass::Normal, "quiet", ("quiet", 0));
    push_as(&mut queue, PriorityClass::Urgent, "noisy", ("urgent", 0));
    let order: Vec<_> = std::iter::from_fn(|| queue.pop()).take(3).collect();
    assert_eq!(order, [("urgent", 0), ("noisy", 0), ("quiet", 0)]);
}

#[test]
fn a_removed_request_frees_its_organisations_turn() {
    let mut queue = FairQueue::default();
    let class = PriorityClass::Normal;
    let first = queue.push(class, "a".parse().unwrap(), 100, Cost(50), 1);
    queue.push(class, "a".parse().unwrap(), 100, Cost(50), 2);
    assert_eq!(queue.remove(first), Some(1));
    assert_eq!(queue.remove(first), None);
    assert_eq!(queue.cost_before(class, &"b".parse().unwrap()), Cost(0));
    assert_eq!(queue.pop(), Some(2));
    assert!(queue.is_empty());
}

#[test]
fn a_request_served_early_does_not_delay_other_organisations() {
    let mut queue = noisy_queue(50);
    let last = queue.tickets().last().unwrap();
    assert_eq!(queue.take(last), Some(("noisy", 49)));
    push_as(&mut queue, PriorityClass::Normal, "quiet", ("quiet", 0));
    let order: Vec<_> = std::iter::from_fn(|| queue.pop()).take(2).collect();
    assert_eq!(order, [("noisy", 0), ("quiet", 0)]);
}
