//! The outcome "not run" in a response is true: the service, which counts executions, has none.

use hyper::{Method, Request, StatusCode};
use rstest::rstest;
use sillpin_core::{Outcome, Problem};
use sillpin_http::Body;
use sillpin_http::body::read_json;
use sillpin_standin::fault::Faults;
use sillpin_standin::service::ServiceFaults;
use sillpin_testsuite::fleet::{SERVICE_POOL, api_key};
use sillpin_testsuite::{Fleet, FleetShape};

/// Sends a call with an idempotency key; returns the outcome reported to the caller and the number of
/// executions.
async fn outcome_and_executions(fleet: &Fleet, key: &str) -> (Option<Outcome>, u32) {
    let entry = fleet.boxes[0].callers();
    let req = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{entry}/services/{SERVICE_POOL}/swap"))
        .header("authorization", format!("Bearer {}", api_key("mechanics")))
        .header("idempotency-key", key)
        .body(Body::full("swap battery 12 at depot 3"))
        .unwrap();
    let outcome = match fleet.client.send("swap", entry, req).await {
        Ok(resp) if resp.status() == StatusCode::OK => Some(Outcome::Ran),
        Ok(resp) => {
            let problem: Option<Problem> = read_json(resp.into_body(), 1 << 16).await.ok();
            problem.map(|problem| problem.outcome)
        }
        Err(_) => None,
    };
    let executions = fleet.all_executions().await;
    (outcome, executions.get(key).copied().unwrap_or(0))
}

#[rstest]
#[case::before_connect(Faults { cut: true, ..Faults::default() })]
#[case::in_the_headers(Faults { cut_request_at: Some(30), ..Faults::default() })]
#[case::in_the_body(Faults { cut_request_at: Some(330), ..Faults::default() })]
#[case::in_the_response_head(Faults { cut_answer_at: Some(9), ..Faults::default() })]
#[case::requests_lost(Faults { lose_requests: true, ..Faults::default() })]
#[case::responses_lost(Faults { lose_answers: true, ..Faults::default() })]
#[tokio::test]
async fn the_outcome_reported_for_a_broken_call_is_true(#[case] faults: Faults) {
    let fleet = Fleet::start(FleetShape {
        proxies: true,
        services: 2,
        entry_settings: vec!["entry.drain-lag-ms=200", "limits.silence-ms=700"],
        ..FleetShape::default()
    })
    .await;
    for service in ["service-0", "service-1"] {
        fleet.proxy_faults(service, &faults).await;
    }
    for round in 0..3 {
        let (outcome, executions) = outcome_and_executions(&fleet, &format!("k{round}")).await;
        match outcome {
            Some(Outcome::NotRun) => assert_eq!(executions, 0),
            Some(Outcome::Ran) => assert_eq!(executions, 1),
            Some(Outcome::Unknown) => assert!(executions <= 1),
            None => panic!("no outcome was reported"),
        }
    }
}

#[tokio::test]
async fn a_response_cut_after_the_execution_is_never_not_run() {
    let fleet = Fleet::start(FleetShape::default()).await;
    let faults = ServiceFaults {
        break_answer: true,
        ..ServiceFaults::default()
    };
    fleet.target_faults("service-0", &faults).await;
    let (outcome, executions) = outcome_and_executions(&fleet, "k").await;
    assert_ne!(outcome, Some(Outcome::NotRun));
    assert_eq!(executions, 1);
}
