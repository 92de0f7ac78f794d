//! What callers get from engines whose load each box hears of late.
//!
//! In a zone of 60 boxes before 51 engines, boxes heard of each other's work some 0.2 s late. All of them sent their
//! prompts to the engine that had looked freest, and those prompts waited behind each other while other engines stood idle.

mod common;

use common::engines::{AIM, LARGE, Lag, STEP, Zone};
use rstest::rstest;
use std::time::Duration;
use tokio::time::Instant;

const BOXES: usize = 60;
const ENGINES: usize = 51;

const LENGTH: Duration = Duration::from_secs(6);

/// The waits of all prompts of a zone, when each box hears of the others as hubs tell them.
async fn play(seed: u64, per_s: f64, is_known: bool) -> Vec<Duration> {
    let lag = Lag { is_known, ..LARGE };
    let mut zone = Zone::new(seed, BOXES, ENGINES, lag);
    let mut waits = Vec::new();
    let began = Instant::now();
    let mut due = 0.0;
    while began.elapsed() < LENGTH {
        waits.extend(zone.step());
        due += per_s * STEP.as_secs_f64();
        while due >= 1.0 {
            due -= 1.0;
            let placed = zone.place();
            zone.send(placed, LENGTH);
        }
        tokio::time::advance(STEP).await;
    }
    waits
}

fn in_time(waits: &[Duration]) -> f64 {
    waits.iter().filter(|wait| **wait <= AIM).count() as f64 / waits.len().max(1) as f64
}

/// At 67 and 84 in 100 of what the engines can read; figures of three seeds, by the least.
#[rstest]
#[case::well_loaded(340.0, 0.98, 0.92)]
#[case::nearly_full(430.0, 0.93, 0.66)]
#[tokio::test(start_paused = true)]
async fn prompts_begin_in_time_though_boxes_hear_of_each_other_late(
    #[case] per_s: f64,
    #[case] least: f64,
    #[case] before: f64,
    #[values(1, 2, 3)] seed: u64,
) {
    let waits = in_time(&play(seed, per_s, true).await);
    let looking_at_all = in_time(&play(seed, per_s, false).await);
    println!("in time {waits:.3}, with a look at all engines {looking_at_all:.3}");
    assert!(waits > least, "{waits}");
    assert!(
        looking_at_all < before + 0.03,
        "{looking_at_all}: the case is void"
    );
}
