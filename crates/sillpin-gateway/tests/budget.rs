//! Number of retries that boxes make, each and all together.

mod common;

use common::name;
use proptest::prelude::*;
use rstest::rstest;
use sillpin_gateway::budget::RetryBudget;
use sillpin_gateway::settings::RetryRules;
use std::time::Duration;
use tokio::time::Instant;

const RULES: RetryRules = RetryRules {
    share: 0.2,
    slack: 54.0,
    window: Duration::from_secs(10),
};
proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// All boxes together stay within share x requests + slack in every window, even if some of them restart.
    #[test]
    fn the_budget_holds_over_all_boxes_and_restarts(
        steps in prop::collection::vec((0usize..7, 0u8..10, 5u64..60), 200..600),
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        let result: Result<(), TestCaseError> = runtime.block_on(async {
            const BOXES: usize = 7;
            let pool = name("llm");
            let mut budgets: Vec<RetryBudget> = Vec::new();
            budgets.resize_with(BOXES, RetryBudget::default);
            let mut requests: Vec<Instant> = Vec::new();
            let mut retries: Vec<Instant> = Vec::new();
            for (which, action, pause) in steps {
                tokio::time::advance(Duration::from_millis(pause)).await;
                let now = Instant::now();
                match action {
                    0 => budgets[which] = RetryBudget::default(),
                    1..=4 => {
                        budgets[which].record_request(&pool, &RULES, BOXES, now);
                        requests.push(now);
                    }
                    _ => {
                        if budgets[which].take(&pool, &RULES, BOXES, now) {
                            retries.push(now);
                        }
                    }
                }
                let in_window = |times: &[Instant], end: Instant| {
                    times.iter().filter(|at| **at <= end && end - **at < RULES.window).count() as f64
                };
                let asked = in_window(&requests, now);
                let before = now.checked_sub(RULES.window).map_or(0.0, |end| in_window(&requests, end));
                let allowed = RULES.share * asked.max(before) + RULES.slack;
                let made = in_window(&retries, now);
                prop_assert!(made <= allowed, "{made} of {allowed}");
            }
            Ok(())
        });
        result?;
    }
}

/// Guards against boxes that together exceed the limit: in a large fleet with few requests, all requests succeeded
/// for a while and then all failed for some seconds. Each of 59 boxes had saved up one retry more than its part of
/// the slack.
#[tokio::test(start_paused = true)]
async fn saved_up_retries_of_many_boxes_stay_within_the_window() {
    const BOXES: usize = 59;
    let rules = RetryRules {
        share: 0.2,
        slack: 54.0,
        window: Duration::from_secs(10),
    };
    let pool = name("llm");
    let mut budgets: Vec<RetryBudget> = (0..BOXES as u64).map(RetryBudget::seeded).collect();
    // Each box gets a request every two seconds; after a minute all fail.
    let (succeeding, failing) = (30, 5);
    let mut retries = 0;
    for round in 0..succeeding + failing {
        for budget in &mut budgets {
            budget.record_request(&pool, &rules, BOXES, Instant::now());
            // A request may be sent to two more targets.
            for _ in 0..2 {
                let is_retried =
                    round >= succeeding && budget.take(&pool, &rules, BOXES, Instant::now());
                retries += u32::from(is_retried);
            }
        }
        tokio::time::advance(Duration::from_secs(2)).await;
    }
    let requests = f64::from(failing) * BOXES as f64;
    let allowed = rules.share * requests + rules.slack;
    assert!(f64::from(retries) <= allowed, "{retries} of {allowed}");
}

/// Guards against boxes that can never retry because their part of the slack is less than one retry. All requests
/// fail for a minute; each box makes some retries, and together they make most of what they earn.
#[rstest]
#[case::a_part_below_one(59, 54.0)]
#[case::a_part_of_one_half(91, 54.0)]
#[case::a_part_above_one(91, 158.0)]
#[tokio::test(start_paused = true)]
async fn every_box_of_a_large_fleet_can_retry(#[case] boxes: usize, #[case] slack: f64) {
    let rules = RetryRules { slack, ..RULES };
    let pool = name("llm");
    let rounds = 60;
    let mut retries = vec![0; boxes];
    let mut budgets: Vec<RetryBudget> = (0..boxes as u64).map(RetryBudget::seeded).collect();
    for _ in 0..rounds {
        tokio::time::advance(Duration::from_secs(1)).await;
        for (budget, retries) in budgets.iter_mut().zip(&mut retries) {
            budget.record_request(&pool, &rules, boxes, Instant::now());
            *retries += u32::from(budget.take(&pool, &rules, boxes, Instant::now()));
        }
    }
    let total: u32 = retries.iter().sum();
    let share = rules.share * f64::from(rounds) * boxes as f64;
    assert!(f64::from(total) >= 0.6 * share, "{total} of {share}");
    let least = retries.iter().min().unwrap();
    assert!(*least >= 2, "{least} at one box");
}

/// Guards against granted retries that pile up. A granted retry is not taken when the unresponsive target responds after
/// all; if it did not expire, all boxes would have one in the end.
#[tokio::test(start_paused = true)]
async fn granted_retry_that_is_not_taken_expires() {
    const BOXES: usize = 91;
    let pool = name("llm");
    let mut ready = 0;
    for seed in 0..BOXES as u64 {
        let mut budget = RetryBudget::seeded(seed);
        for _ in 0..60 {
            budget.record_request(&pool, &RULES, BOXES, Instant::now());
            budget.has_retry(&pool, &RULES, BOXES, Instant::now());
            tokio::time::advance(Duration::from_secs(1)).await;
        }
        ready += u32::from(budget.has_retry(&pool, &RULES, BOXES, Instant::now()));
    }
    assert!(f64::from(ready) < RULES.slack * 0.5, "{ready} boxes");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(100))]

    /// The boxes of a large fleet stay within share x requests + slack in every window, whether requests succeed or
    /// fail, boxes restart, or a request is retried several times.
    #[test]
    fn the_budget_holds_over_the_boxes_of_a_large_fleet(
        boxes in prop::sample::select(vec![59usize, 91]),
        slack in prop::sample::select(vec![54.0, 158.0]),
        seed in any::<u32>(),
        phases in prop::collection::vec((1usize..15, any::<bool>(), 100u64..3_000, 1usize..4, 0usize..5), 4..12),
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        let result: Result<(), TestCaseError> = runtime.block_on(async {
            let rules = RetryRules { slack, ..RULES };
            let pool = name("llm");
            let mut seeds = u64::from(seed)..;
            let mut next = || RetryBudget::seeded(seeds.next().unwrap_or_default());
            let mut budgets: Vec<RetryBudget> = (0..boxes).map(|_| next()).collect();
            let mut rounds: Vec<(Instant, usize, usize)> = Vec::new();
            for (times, fails, pause, attempts, restarts) in phases {
                for _ in 0..times {
                    tokio::time::advance(Duration::from_millis(pause)).await;
                    let now = Instant::now();
                    for restart in 0..restarts {
                        budgets[(restart * 7 + rounds.len()) % boxes] = next();
                    }
                    let mut retries = 0;
                    for budget in &mut budgets {
                        budget.record_request(&pool, &rules, boxes, now);
                        for _ in 0..if fails { attempts } else { 0 } {
                            retries += usize::from(budget.take(&pool, &rules, boxes, now));
                        }
                    }
                    rounds.push((now, boxes, retries));
                    let within = |end: Instant| rounds.iter().filter(move |(at, ..)| *at <= end && end - *at < rules.window);
                    let requests = |end: Instant| within(end).map(|(_, requests, _)| *requests).sum::<usize>() as f64;
                    let before = now.checked_sub(rules.window).map_or(0.0, requests);
                    let allowed = rules.share * requests(now).max(before) + rules.slack;
                    let made = within(now).map(|(.., retries)| *retries).sum::<usize>() as f64;
                    prop_assert!(made <= allowed, "{made} of {allowed}");
                }
            }
            Ok(())
        });
        result?;
    }
}
