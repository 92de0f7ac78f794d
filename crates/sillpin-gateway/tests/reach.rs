//! Which targets a box reaches: cuts that refuse, cuts that are quiet, and quiet that is no cut.

mod common;

use common::{engine, name};
use sillpin_core::{PoolId, TargetId};
use sillpin_gateway::control::TargetEntry;
use sillpin_gateway::placement::reach::Reach;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

const POOL: &str = "llm";

fn ids(count: usize) -> Vec<TargetId> {
    (0..count)
        .map(|index| name(&format!("e-{index}")))
        .collect()
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn target(id: &str) -> Arc<TargetEntry> {
    Arc::new(engine(id, "za"))
}

/// Decides anew, and returns whether the box is cut off from the pool.
fn is_cut_off(reach: &mut Reach, listed: &[TargetId]) -> bool {
    let pool: PoolId = name(POOL);
    reach.update(&pool, listed.iter(), Instant::now());
    reach.is_cut_off(&pool)
}

#[test]
fn a_box_that_reaches_less_than_half_of_a_pool_is_cut_off_until_it_reaches_half() {
    let (mut reach, targets, pool) = (Reach::default(), ids(4), name::<PoolId>(POOL));
    for (failed, cut_off) in [(0, false), (1, false), (2, true)] {
        reach.record_failure(&pool, &targets[failed]);
        assert_eq!(is_cut_off(&mut reach, &targets), cut_off, "{failed}");
    }
    reach.record_success(&pool, &targets[0], Instant::now());
    assert!(!is_cut_off(&mut reach, &targets));
    assert_eq!(reach.unreachable_of(&pool), 2);
}

#[test]
fn targets_that_are_no_longer_listed_do_not_count() {
    let (mut reach, targets, pool) = (Reach::default(), ids(4), name::<PoolId>(POOL));
    targets[..3].iter().for_each(|id| {
        reach.record_failure(&pool, id);
    });
    assert!(is_cut_off(&mut reach, &targets));
    assert!(!is_cut_off(&mut reach, &targets[2..]));
}

#[test]
fn a_survey_of_a_large_pool_is_enough() {
    let (mut reach, targets, pool) = (Reach::default(), ids(600), name::<PoolId>(POOL));
    assert!(
        !reach.record_failure(&pool, &targets[0]),
        "one target may be down"
    );
    assert!(
        reach.record_failure(&pool, &targets[1]),
        "two call for a survey"
    );
    assert!(!is_cut_off(&mut reach, &targets));
    reach.record_survey(&pool, 8, 8, Instant::now());
    assert!(is_cut_off(&mut reach, &targets));
    reach.record_survey(&pool, 8, 4, Instant::now());
    assert!(!is_cut_off(&mut reach, &targets));
}

#[tokio::test(start_paused = true)]
async fn a_quiet_pool_is_checked_while_a_request_waits_there() {
    let mut reach = Reach::default();
    reach.begin_wait(&target("e-0"), Instant::now());
    tokio::time::advance(ms(200)).await;
    assert!(reach.take_overdue(Instant::now()).is_empty());
    tokio::time::advance(ms(60)).await;
    let overdue = reach.take_overdue(Instant::now());
    assert_eq!(overdue.len(), 1);
    tokio::time::advance(ms(400)).await;
    assert!(
        reach.take_overdue(Instant::now()).is_empty(),
        "checked a moment ago"
    );
    tokio::time::advance(ms(150)).await;
    assert_eq!(reach.take_overdue(Instant::now()).len(), 1);
}

#[tokio::test(start_paused = true)]
async fn an_engine_that_is_silent_for_a_second_beside_others_is_no_cut() {
    let mut reach = Reach::default();
    let (silent, other) = (target("e-0"), target("e-1"));
    let wait = reach.begin_wait(&silent, Instant::now());
    for _ in 0..12 {
        tokio::time::advance(ms(100)).await;
        reach.record_heard(&other.pool, Instant::now());
        assert!(reach.take_overdue(Instant::now()).is_empty());
        assert!(!reach.is_lost(&wait, Instant::now()));
    }
}

#[tokio::test(start_paused = true)]
async fn requests_are_given_up_only_if_the_path_is_lost() {
    let (mut reach, targets) = (Reach::default(), ids(2));
    let waiting = target("e-0");
    let wait = reach.begin_wait(&waiting, Instant::now());
    tokio::time::advance(ms(2_000)).await;
    assert!(
        !reach.is_lost(&wait, Instant::now()),
        "the engine may be busy"
    );
    reach.record_survey(&waiting.pool, 2, 2, Instant::now());
    assert!(is_cut_off(&mut reach, &targets));
    assert!(reach.is_lost(&wait, Instant::now()));
    reach.record_heard(&waiting.pool, Instant::now());
    assert!(
        !reach.is_lost(&wait, Instant::now()),
        "an open connection still works"
    );
    reach.end_wait(&wait);
    tokio::time::advance(ms(2_000)).await;
    assert!(!reach.is_lost(&wait, Instant::now()));
}

#[tokio::test(start_paused = true)]
async fn one_survey_of_a_pool_runs_at_a_time_and_not_too_often() {
    let (mut reach, pool) = (Reach::default(), name::<PoolId>(POOL));
    assert!(reach.begin_survey(&pool, Instant::now()));
    assert!(!reach.begin_survey(&pool, Instant::now()));
    reach.record_survey(&pool, 8, 0, Instant::now());
    reach.end_survey(&pool);
    assert!(!reach.begin_survey(&pool, Instant::now()));
    tokio::time::advance(ms(400)).await;
    assert!(reach.begin_survey(&pool, Instant::now()));
}

#[tokio::test(start_paused = true)]
async fn a_box_that_is_cut_off_knows_the_few_targets_that_it_reaches() {
    let (mut reach, targets, pool) = (Reach::default(), ids(9), name::<PoolId>(POOL));
    assert!(reach.begin_survey(&pool, Instant::now()));
    reach.record_success(&pool, &targets[0], Instant::now());
    reach.record_success(&pool, &targets[1], Instant::now());
    reach.record_survey(&pool, 8, 6, Instant::now());
    assert!(is_cut_off(&mut reach, &targets));
    reach.record_timeout(&pool, &targets[1]);
    let now = Instant::now();
    assert!(reach.reaches_any(&pool, now));
    assert!(reach.reaches(&pool, &targets[0], now));
    assert!(!reach.reaches(&pool, &targets[1], now));
    tokio::time::advance(ms(1_000)).await;
    reach.record_failure(&pool, &targets[0]);
    assert!(!reach.reaches_any(&pool, Instant::now()));
    reach.record_success(&pool, &targets[0], Instant::now());
    tokio::time::advance(ms(2_000)).await;
    assert!(!reach.reaches_any(&pool, Instant::now()));
}
