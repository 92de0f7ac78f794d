//! Tests of the estimate of how long requests hold an engine's memory.

use rstest::rstest;
use sillpin_gateway::placement::hold_time::HoldTime;
use std::time::Duration;
use tokio::time::Instant;

#[rstest]
#[case::before_anything_ended(&[], 300.0, 1.0)]
#[case::a_slow_engine(&[2_000; 40], 2_000.0, 70.0)]
#[case::twice_as_fast(&[1_000; 40], 1_000.0, 50.0)]
#[tokio::test(start_paused = true)]
async fn the_mean_hold_time_follows_the_samples(
    #[case] held: &[u64],
    #[case] expected: f64,
    #[case] within: f64,
) {
    let mut mean = HoldTime::default();
    for ms in held {
        tokio::time::advance(Duration::from_millis(100)).await;
        mean.record(9_000.0, Duration::from_millis(*ms), Instant::now());
    }
    let ms = mean.ms();
    assert!((ms - expected).abs() <= within, "{ms}");
}

#[tokio::test(start_paused = true)]
async fn old_samples_lose_their_weight() {
    let mut mean = HoldTime::default();
    for ms in [2_000; 200].into_iter().chain([500; 200]) {
        tokio::time::advance(Duration::from_millis(100)).await;
        mean.record(9_000.0, Duration::from_millis(ms), Instant::now());
    }
    let ms = mean.ms();
    assert!((ms - 500.0).abs() < 80.0, "{ms}");
}
