//! What callers get from engines that are asked for more than they can read.
//!
//! On a day on which twice as many users came for ten seconds, a third fewer prompts were served in time than of half as many, and nothing was refused: each
//! waited behind those before it until its caller left.

mod common;

use common::engines::{AIM, LARGE, Lag, PROMPT_MS, SMALL, STEP, Zone};
use rstest::rstest;
use sillpin_policy::overload::Expected;
use std::time::Duration;
use tokio::time::Instant;

/// Boxes, engines and how late boxes hear of each other.
type Fleet = (usize, usize, Lag);

const SMALL_FLEET: Fleet = (9, 18, SMALL);
const LARGE_ZONE: Fleet = (60, 51, LARGE);

/// The load that engines can just serve, as a part of what they can read.
const SERVED: f64 = 0.8;

const LENGTH: Duration = Duration::from_secs(10);

/// Callers give a prompt up after so long, and come back once after a refusal.
const PATIENCE: Duration = Duration::from_secs(2);

/// Waits after which callers come back, as parts of what they are told.
const SPREAD: [f64; 4] = [0.6, 0.9, 1.1, 1.4];

/// A caller who comes back.
struct Back {
    at: Instant,
    first: Instant,
}

#[derive(Debug, Default)]
struct Outcome {
    asked: usize,
    in_time: usize,
    refused: usize,
}

/// Plays `load` times what the engines can read.
async fn play((boxes, engines, lag): Fleet, load: f64, refuses: bool, seed: u64) -> Outcome {
    let mut zone = Zone::new(seed, boxes, engines, lag);
    let mut outcome = Outcome::default();
    let mut back: Vec<Back> = Vec::new();
    let began = Instant::now();
    let most_per_s = engines as f64 * 1000.0 / PROMPT_MS;
    let mut due = 0.0;
    while began.elapsed() < LENGTH {
        let waits = zone.step();
        outcome.in_time += waits.iter().filter(|wait| **wait <= AIM).count();
        let now = Instant::now();
        let mut callers: Vec<Instant> = back
            .extract_if(.., |caller| caller.at <= now)
            .map(|caller| caller.first)
            .collect();
        due += load * most_per_s * STEP.as_secs_f64();
        while due >= 1.0 {
            due -= 1.0;
            outcome.asked += 1;
            callers.push(now);
        }
        for first in callers {
            let placed = zone.place();
            let millis = |ms: f64| Duration::from_secs_f64(ms.max(0.0) / 1000.0);
            let (queue_ms, standing_ms) = zone.meets(&placed);
            let expected = Expected {
                waited: now - first,
                latency_objective: AIM,
                queue: millis(queue_ms),
                standing: millis(standing_ms),
                own: millis(PROMPT_MS),
            };
            match expected.refused_for(zone.draw()).filter(|_| refuses) {
                None => zone.send(placed, PATIENCE),
                Some(late) if first == now => {
                    let spread = SPREAD[outcome.asked % SPREAD.len()];
                    let at = now + late.max(Duration::from_millis(200)).mul_f64(spread);
                    back.push(Back { at, first });
                }
                Some(_) => outcome.refused += 1,
            }
        }
        tokio::time::advance(STEP).await;
    }
    outcome
}

/// What is served in time at what the engines can just serve, at `load`, and at `load` without refusals.
async fn compare(fleet: Fleet, load: f64, seed: u64) -> [Outcome; 3] {
    let served = play(fleet, SERVED, true, seed).await;
    let more = play(fleet, load, true, seed).await;
    let waiting = play(fleet, load, false, seed).await;
    println!("at what can be served {served:?}, at {load} {more:?}, without refusing {waiting:?}");
    [served, more, waiting]
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn what_is_served_in_time_does_not_fall_as_more_is_asked(
    #[values(1.0, 1.5, 2.0, 3.0, 6.0)] load: f64,
    #[values(1, 2, 3)] seed: u64,
) {
    let [served, more, _] = compare(SMALL_FLEET, load, seed).await;
    let least = 0.95 * served.in_time as f64;
    assert!(more.in_time as f64 >= least, "{more:?} after {served:?}");
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn what_is_served_in_time_does_not_fall_in_a_large_zone(
    #[values(1.0, 1.5, 2.0, 3.0)] load: f64,
    #[values(1, 2, 3)] seed: u64,
) {
    let [served, more, _] = compare(LARGE_ZONE, load, seed).await;
    let least = 0.95 * served.in_time as f64;
    assert!(more.in_time as f64 >= least, "{more:?} after {served:?}");
}

/// Without refusals the engines work for callers who have left or are late.
#[rstest]
#[tokio::test(start_paused = true)]
async fn without_refusals_the_more_is_asked_the_less_is_served(
    #[values(SMALL_FLEET, LARGE_ZONE)] fleet: Fleet,
    #[values(1.5, 2.0, 3.0)] load: f64,
) {
    let [served, more, waiting] = compare(fleet, load, 1).await;
    assert!(
        waiting.in_time * 2 < served.in_time,
        "the case is void: {waiting:?}"
    );
    assert!(more.in_time > waiting.in_time * 2, "{more:?}, {waiting:?}");
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn at_what_can_be_served_hardly_anything_is_refused(
    #[values(SMALL_FLEET, LARGE_ZONE)] fleet: Fleet,
    #[values(1, 2, 3)] seed: u64,
) {
    let served = play(fleet, SERVED, true, seed).await;
    println!("{served:?}");
    assert!(served.refused * 100 <= served.asked, "{served:?}");
}
