//! The path of a request from the caller through the entry to an engine, and of its response back.

use sillpin_core::Outcome;
use sillpin_load::caller::{CallResult, CompletionRequest, call};
use sillpin_testsuite::fleet::{MODEL, api_key};
use sillpin_testsuite::{Fleet, FleetShape};

#[tokio::test]
async fn a_response_streams_from_engine_to_caller() {
    let fleet = Fleet::start(FleetShape::default()).await;
    let prompt = "The rider says the battery swap failed. ".repeat(400);
    let request = CompletionRequest::new(&api_key("riders"), MODEL, prompt, 20);
    let got = call(&fleet.client, fleet.boxes[0].callers(), &request).await;
    let CallResult::Answered { usage, request, .. } = got else {
        panic!("{got:?}");
    };
    assert_eq!(usage.completion_tokens, 20);
    assert_eq!(usage.prompt_tokens, 4_000);
    assert!(request.is_some());
}

#[tokio::test]
async fn an_unstreamed_response_is_one_document() {
    let fleet = Fleet::start(FleetShape::default()).await;
    let request = CompletionRequest {
        stream: false,
        ..CompletionRequest::new(&api_key("riders"), MODEL, "Is the fee paid?", 7)
    };
    let got = call(&fleet.client, fleet.boxes[0].callers(), &request).await;
    assert!(got.is_answered(), "{got:?}");
}

#[tokio::test]
async fn an_unknown_key_is_refused_as_not_run() {
    let fleet = Fleet::start(FleetShape::default()).await;
    let request = CompletionRequest::new("key-nobody", MODEL, "hello", 7);
    let got = call(&fleet.client, fleet.boxes[0].callers(), &request).await;
    let CallResult::Refused { problem, .. } = got else {
        panic!("{got:?}");
    };
    assert_eq!((problem.status, problem.outcome), (401, Outcome::NotRun));
}
