//! Tests of the measurement of what organisations request, of the pace of streams, and of refusals
//! of prompts that cannot end in time.

mod common;

use common::name;
use rstest::rstest;
use sillpin_core::{OrgId, PoolId, Tokens};
use sillpin_gateway::config::{FleetConfig, Idempotency, Organisation, Priority, Route};
use sillpin_gateway::placement::Loads;
use sillpin_gateway::placement::fair_admission::{Applicant, Cause, Draws};
use sillpin_gateway::placement::stream_pace::{StreamPaces, expected_output};
use sillpin_gateway::placement::usage::{Asked, PoolFacts, Usage};
use sillpin_gateway::placement::work::EngineWork;
use sillpin_policy::ending::EndEstimate;
use sillpin_policy::overload::StartEstimate;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, advance};

const ENGINES: usize = 100;

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn pool() -> PoolId {
    name("llm")
}

fn org(index: usize) -> OrgId {
    name(&format!("org-{index}"))
}

fn asked<'a>(pool: &'a PoolId, org: &'a OrgId, prefill_ms: f64) -> Asked<'a> {
    Asked {
        pool,
        organisation: Some(org),
        priority: Priority(0),
        prefill_ms,
    }
}

/// Requests 10 prompts a second of each organisation for 10 s.
async fn request(usage: &mut Usage, organisations: &[(OrgId, f64)], admitted: bool) {
    for _ in 0..100 {
        for (org, prefill_ms) in organisations {
            let pool = pool();
            let asked = asked(&pool, org, *prefill_ms);
            usage.record_request(asked, Instant::now());
            if admitted {
                usage.record_admitted(asked, false, Instant::now());
            }
        }
        advance(millis(100)).await;
    }
}

fn demand(usage: &Usage, org: &OrgId, rows: &[EngineWork]) -> f64 {
    let rows = rows.iter().map(|row| (row.0, row.work())).collect();
    usage.demand(&pool(), org, &rows, Instant::now()).0
}

#[tokio::test(start_paused = true)]
async fn the_demand_is_averaged_over_seconds_and_forgotten() {
    let mut usage = Usage::default();
    request(&mut usage, &[(org(0), 50.0)], false).await;
    let measured = demand(&usage, &org(0), &[]);
    assert!((450.0..550.0).contains(&measured), "{measured}");
    advance(Duration::from_secs(9)).await;
    assert!(demand(&usage, &org(0), &[]) < 50.0);
    assert_eq!(demand(&usage, &org(1), &[]), 0.0);
}

/// Guards against traffic while there is no overload.
#[tokio::test(start_paused = true)]
async fn rows_are_sent_only_for_five_seconds_after_a_refusal() {
    let mut usage = Usage::default();
    request(&mut usage, &[(org(0), 50.0)], false).await;
    assert_eq!(usage.updates_to_send(Instant::now()), []);
    usage.record_refused(&pool(), Instant::now());
    assert_eq!(usage.updates_to_send(Instant::now()).len(), 1);
    advance(millis(4_900)).await;
    assert_eq!(usage.updates_to_send(Instant::now()).len(), 1);
    advance(millis(200)).await;
    assert_eq!(usage.updates_to_send(Instant::now()), []);
}

/// Guards against rows for each of many small organisations.
#[tokio::test(start_paused = true)]
async fn only_the_largest_organisations_are_sent() {
    let mut usage = Usage::default();
    let prefill_ms = |at| if at < 20 { 1.0 } else { 40.0 + at as f64 };
    let many: Vec<(OrgId, f64)> = (0..40).map(|at| (org(at), prefill_ms(at))).collect();
    request(&mut usage, &many, false).await;
    usage.record_refused(&pool(), Instant::now());
    let rows = usage.updates_to_send(Instant::now());
    assert_eq!(rows.len(), 16);
    assert!(demand(&Usage::default(), &org(39), &rows) > 0.0);
    assert_eq!(demand(&Usage::default(), &org(20), &rows), 0.0);
    request(&mut usage, &[(org(0), 1.0), (org(1), 500.0)], false).await;
    usage.record_refused(&pool(), Instant::now());
    let rows = usage.updates_to_send(Instant::now());
    assert_eq!(demand(&Usage::default(), &org(0), &rows), 0.0);
    assert!(demand(&Usage::default(), &org(1), &rows) > 0.0);
}

/// Guards against boxes that judge an organisation by the part of its demand that they see.
#[tokio::test(start_paused = true)]
async fn the_demand_is_the_sum_of_all_boxes() {
    let (mut one, mut other) = (Usage::default(), Usage::default());
    request(&mut one, &[(org(0), 50.0)], true).await;
    request(&mut other, &[(org(0), 100.0)], true).await;
    other.record_refused(&pool(), Instant::now());
    let rows = other.updates_to_send(Instant::now());
    let alone = demand(&one, &org(0), &[]);
    let of_other = demand(&other, &org(0), &[]);
    let sum = demand(&one, &org(0), &rows);
    assert!(
        (sum - alone - of_other).abs() < 2.0,
        "{alone} {of_other} {sum}"
    );
}

/// Guards against a box that divides nothing while it hears of no other.
#[tokio::test(start_paused = true)]
async fn without_rows_of_others_a_box_divides_what_it_measures() {
    let mut usage = Usage::default();
    request(&mut usage, &[(org(0), 100.0)], true).await;
    request(&mut usage, &[(org(0), 10.0), (org(1), 100.0)], false).await;
    let organisations = [org(0), org(1)];
    let facts = PoolFacts {
        organisations: organisations.iter(),
        reported_rows: &HashMap::new(),
        engines: ENGINES,
    };
    let division = usage.division(&pool(), facts, Instant::now());
    assert!(division.shares.level().is_some());
    assert!(division.capacity.0 < demand(&usage, &org(1), &[]));
}

/// Guards against shares that stay zero after a time in which nothing was admitted.
#[tokio::test(start_paused = true)]
async fn shares_can_grow_after_nothing_was_admitted() {
    let mut usage = Usage::default();
    request(&mut usage, &[(org(0), 10.0), (org(1), 100.0)], false).await;
    let organisations = [org(0), org(1)];
    let facts = PoolFacts {
        organisations: organisations.iter(),
        reported_rows: &HashMap::new(),
        engines: ENGINES,
    };
    let division = usage.division(&pool(), facts, Instant::now());
    assert!(division.shares.level().unwrap().0 > 0.0);
}

#[tokio::test(start_paused = true)]
async fn only_work_of_the_same_or_higher_priority_goes_ahead() {
    let (mut usage, pool, org, now) = (Usage::default(), pool(), org(0), Instant::now());
    assert_eq!(usage.part_ahead(&pool, Priority(0), now), 1.0);
    for (priority, prefill_ms) in [(0, 10.0), (1, 30.0), (2, 60.0)] {
        let asked = Asked {
            priority: Priority(priority),
            ..asked(&pool, &org, prefill_ms)
        };
        usage.record_admitted(asked, true, now);
    }
    let part = |priority| usage.part_ahead(&pool, Priority(priority), now);
    assert!((part(0) - 0.1).abs() < 1e-9);
    assert!((part(1) - 0.4).abs() < 1e-9);
    assert_eq!(part(2), 1.0);
}

/// Returns the decision about a prompt behind a queue of 200 ms.
fn decide(
    loads: &Loads,
    generation: Option<Duration>,
    left: Duration,
) -> Option<(Cause, Duration)> {
    let (pool, org, now) = (pool(), org(0), Instant::now());
    let (queue, own) = (millis(200), millis(100));
    let applicant = Applicant {
        asked: asked(&pool, &org, 100.0),
        is_first: true,
        start: StartEstimate {
            waited: Duration::ZERO,
            latency_objective: millis(2_000),
            queue,
            standing: queue,
            own,
        },
        end: EndEstimate {
            queue,
            prefill: own,
            generation,
            time_left: left,
        },
    };
    let draws = Draws {
        claim: 0.5,
        factor: 0.5,
    };
    let organisations = [org.clone()];
    let refused = loads.refuse_by_share(applicant, organisations.iter(), ENGINES, draws, now)?;
    let wait = refused.end.retry_after(refused.late, millis(200));
    Some((refused.cause, wait))
}

/// Guards against streams that occupy an engine until their deadline ends them.
#[rstest]
#[case::in_time(Some(1_000), 2_000, false)]
#[case::perhaps_late(Some(2_500), 2_000, false)]
#[case::far_too_late(Some(3_000), 2_000, true)]
#[case::the_queue_takes_the_time(Some(150), 250, true)]
#[case::the_pace_is_unknown(None, 250, false)]
#[tokio::test(start_paused = true)]
async fn a_prompt_that_cannot_end_in_time_is_refused_immediately(
    #[case] generation: Option<u64>,
    #[case] left: u64,
    #[case] is_refused: bool,
) {
    let started = Instant::now();
    let refused = decide(&Loads::default(), generation.map(millis), millis(left));
    assert!(started.elapsed() < millis(1));
    let cause = refused.map(|(cause, _)| cause);
    assert_eq!(cause, is_refused.then_some(Cause::CannotEnd));
    if let Some((_, wait)) = refused {
        assert!(wait < millis(left), "{wait:?}");
    }
}

fn pace(samples: &[u64]) -> Option<Duration> {
    let (mut paces, now) = (StreamPaces::default(), Instant::now());
    for ms in samples {
        paces.record(&pool(), Tokens(200), millis(*ms), now);
    }
    paces.per_token(&pool(), now)
}

/// Guards against refusals by the pace of a few streams, or of some that stalled.
#[tokio::test(start_paused = true)]
async fn the_pace_is_the_median_of_several_streams() {
    assert_eq!(expected_output(Tokens(200)), 100.0);
    assert_eq!(pace(&[600; 7]), None);
    assert_eq!(pace(&[600; 8]), Some(millis(6)));
    assert_eq!(
        pace(&[600, 600, 9_000, 600, 600, 9_000, 600, 600, 9_000]),
        Some(millis(6))
    );
    let mut paces = StreamPaces::default();
    for _ in 0..20 {
        paces.record(&pool(), Tokens(200), millis(600), Instant::now());
    }
    advance(Duration::from_secs(11)).await;
    assert_eq!(paces.per_token(&pool(), Instant::now()), None);
}

fn config(organisations: usize, priorities: &[u8]) -> FleetConfig {
    let route = |priority: &u8| {
        Arc::new(Route {
            name: format!("r-{priority}"),
            host: "h".to_owned(),
            prefix: "/".to_owned(),
            streaming: true,
            idempotency: Idempotency::AtMostOnce,
            resumable: false,
            timeout: millis(5_000),
            latency_objective: millis(500),
            event_timeout: millis(500),
            max_event_gap: None,
            priority: Priority(*priority),
            shares: Vec::new(),
            max_runs: 1,
            public: false,
            regions: Vec::new(),
        })
    };
    let organisation = |index| {
        Arc::new(Organisation {
            id: org(index),
            keys: Vec::new(),
            priority: None,
            isolated: false,
            regions: Vec::new(),
        })
    };
    FleetConfig {
        routes: priorities.iter().map(route).collect(),
        organisations: (0..organisations).map(organisation).collect(),
        ..FleetConfig::default()
    }
}

/// Guards against other decisions than before where nobody competes.
#[rstest]
#[case::no_organisations(0, &[0, 1], false)]
#[case::one_organisation_and_priority(1, &[1, 1], false)]
#[case::one_organisation_with_two_priorities(1, &[0, 1], true)]
#[case::two_organisations(2, &[1], true)]
fn admission_is_fair_only_where_somebody_competes(
    #[case] organisations: usize,
    #[case] priorities: &[u8],
    #[case] expected: bool,
) {
    assert_eq!(
        config(organisations, priorities).has_competition(),
        expected
    );
}
