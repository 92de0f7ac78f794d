//! How long other boxes have known more than this one.

use sillpin_gateway::beliefs::Topic;
use sillpin_gateway::peers::lag::Lag;
use std::time::Duration;
use tokio::time::{Instant, advance};

const STEP: Duration = Duration::from_millis(400);

#[tokio::test(start_paused = true)]
async fn a_box_that_stays_behind_says_so_each_second() {
    let mut lag = Lag::default();
    let mut told = Vec::new();
    for _ in 0..7 {
        told.push(lag.behind(Topic::Operators, 1, Instant::now()));
        advance(STEP).await;
    }
    let due = told.iter().filter(|behind| behind.is_due);
    let said: Vec<u128> = due.map(|behind| behind.lasted.as_millis()).collect();
    assert_eq!(said, [1_200, 2_400]);
}

#[tokio::test(start_paused = true)]
async fn a_box_that_has_learned_something_starts_anew() {
    let mut lag = Lag::default();
    lag.behind(Topic::Operators, 1, Instant::now());
    advance(STEP * 3).await;
    let anew = lag.behind(Topic::Operators, 2, Instant::now());
    assert_eq!((anew.lasted, anew.is_due), (Duration::ZERO, false));
    advance(STEP * 3).await;
    let later = lag.behind(Topic::Operators, 2, Instant::now());
    assert_eq!((later.lasted, later.is_due), (STEP * 3, true));
}

#[tokio::test(start_paused = true)]
async fn the_store_is_doubted_once_until_the_box_learns_something() {
    let mut lag = Lag::default();
    lag.behind(Topic::Operators, 1, Instant::now());
    lag.set_doubted(Topic::Operators);
    advance(STEP).await;
    assert!(lag.behind(Topic::Operators, 1, Instant::now()).is_doubted);
    assert!(!lag.behind(Topic::Operators, 2, Instant::now()).is_doubted);
}
