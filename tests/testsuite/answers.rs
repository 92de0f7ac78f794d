//! Each caller receives the complete response to its own request, whatever fails at an engine.

use futures::future::join_all;
use rstest::rstest;
use sillpin_core::Outcome;
use sillpin_load::caller::{CallResult, CompletionRequest, call};
use sillpin_standin::engine::EngineFaults;
use sillpin_standin::fault::Faults;
use sillpin_testsuite::fleet::{MODEL, api_key};
use sillpin_testsuite::wait::until;
use sillpin_testsuite::{Fleet, FleetShape};

fn request(prompt: &str, tokens: u32) -> CompletionRequest {
    CompletionRequest::new(&api_key("riders"), MODEL, prompt, tokens)
}

/// One of two engines fails: callers still get complete responses, resumed at or retried on the other.
#[rstest]
#[case::cut_after_five_tokens(EngineFaults { cut_at: Some(5), ..EngineFaults::default() })]
#[case::cut_before_the_first_token(EngineFaults { cut_at: Some(0), ..EngineFaults::default() })]
#[case::no_end_mark(EngineFaults { no_end_mark: true, ..EngineFaults::default() })]
#[case::response_to_another_request(EngineFaults { crossed: true, ..EngineFaults::default() })]
#[case::leaving(EngineFaults { leaving: true, ..EngineFaults::default() })]
#[tokio::test]
async fn a_faulty_engine_loses_no_response(#[case] faults: EngineFaults) {
    let fleet = Fleet::start(FleetShape::default()).await;
    fleet.target_faults("engine-kariakoo-0", &faults).await;
    let requests: Vec<CompletionRequest> = (0..12)
        .map(|i| request(&format!("prompt {i}"), 12))
        .collect();
    let entry = fleet.boxes[0].callers();
    let calls = requests
        .iter()
        .map(|request| call(&fleet.client, entry, request));
    for got in join_all(calls).await {
        assert!(got.is_answered(), "{got:?}");
    }
}

/// The connections to all engines are cut at a given byte: the response is complete, or it is refused
/// with a true outcome.
#[rstest]
#[case::in_the_request(Faults { cut_request_at: Some(40), ..Faults::default() }, &[Outcome::Unknown, Outcome::NotRun])]
#[case::in_the_head(Faults { cut_answer_at: Some(10), ..Faults::default() }, &[Outcome::Unknown])]
#[case::after_the_head(Faults { cut_answer_at: Some(150), ..Faults::default() }, &[Outcome::Unknown])]
#[case::in_a_token(Faults { cut_answer_at: Some(400), ..Faults::default() }, &[Outcome::Unknown])]
#[case::no_connection(Faults { cut: true, ..Faults::default() }, &[Outcome::Unknown, Outcome::NotRun])]
#[tokio::test]
async fn a_connection_cut_at_any_byte_gives_a_true_outcome(
    #[case] faults: Faults,
    #[case] allowed: &[Outcome],
) {
    let fleet = Fleet::start(FleetShape {
        proxies: true,
        ..FleetShape::default()
    })
    .await;
    for engine in ["engine-kariakoo-0", "engine-kariakoo-1"] {
        fleet.proxy_faults(engine, &faults).await;
    }
    let got = call(
        &fleet.client,
        fleet.boxes[0].callers(),
        &request("break", 40),
    )
    .await;
    match &got {
        CallResult::Answered { .. } => {}
        CallResult::Refused { problem, .. } => {
            assert!(allowed.contains(&problem.outcome), "{got:?}")
        }
        CallResult::Lost(_) | CallResult::Mixed(_) => panic!("{got:?}"),
    }
}

#[tokio::test]
async fn an_engine_killed_during_a_stream_loses_no_response() {
    let mut fleet = Fleet::start(FleetShape::default()).await;
    let entry = fleet.boxes[0].callers();
    let client = fleet.client.clone();
    let calls: Vec<_> = (0..8)
        .map(|i| {
            let (client, request) = (client.clone(), request(&format!("kill {i}"), 100));
            tokio::spawn(async move { call(&client, entry, &request).await })
        })
        .collect();
    until("runs on both engines", || async {
        let status = fleet.status(&fleet.boxes[0]).await?;
        let running = |name: &str| {
            let target = status
                .targets
                .iter()
                .find(|t| t.entry.id.as_str() == name)?;
            Some(target.state.as_ref()?.load.as_ref()?.running)
        };
        let both = running("engine-kariakoo-0")? > 0 && running("engine-kariakoo-1")? > 0;
        both.then_some(())
    })
    .await;
    let id = "engine-kariakoo-0".parse().unwrap();
    fleet.targets.get_mut(&id).unwrap().process.kill();
    for got in join_all(calls).await {
        let got = got.unwrap();
        assert!(got.is_answered(), "{got:?}");
    }
}

#[tokio::test]
async fn a_caller_that_disconnects_cancels_its_run() {
    let fleet = Fleet::start(FleetShape {
        engines: 1,
        ..FleetShape::default()
    })
    .await;
    let entry = fleet.boxes[0].callers();
    let long = request("leave", 4_000);
    let running = || async {
        let status = fleet.status(&fleet.boxes[0]).await?;
        let engine = status.targets.iter().find(|t| t.entry.model.is_some())?;
        Some(engine.state.as_ref()?.load.as_ref()?.running)
    };
    let client = fleet.client.clone();
    let caller = tokio::spawn(async move { call(&client, entry, &long).await });
    until("the run", || async { running().await.filter(|n| *n == 1) }).await;
    caller.abort();
    until("the run's end", || async {
        running().await.filter(|n| *n == 0)
    })
    .await;
}

#[tokio::test]
async fn requests_at_a_frozen_engine_are_retried_at_another() {
    let fleet = Fleet::start(FleetShape {
        entry_settings: vec![
            "entry.drain-lag-ms=200",
            "limits.attempt-ms=500",
            "limits.silence-ms=500",
        ],
        ..FleetShape::default()
    })
    .await;
    fleet.target("engine-kariakoo-0").process.pause();
    let requests: Vec<CompletionRequest> = (0..6)
        .map(|i| request(&format!("frozen {i}"), 12))
        .collect();
    let entry = fleet.boxes[0].callers();
    let calls = requests
        .iter()
        .map(|request| call(&fleet.client, entry, request));
    for got in join_all(calls).await {
        assert!(got.is_answered(), "{got:?}");
    }
}
