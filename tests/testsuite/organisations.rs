//! Isolation of organisations: cached blocks are not shared, and revoked keys are refused.

use sillpin_cli::ops::organisation;
use sillpin_load::caller::{CallResult, CompletionRequest, Usage, call};
use sillpin_testsuite::fleet::{MODEL, api_key};
use sillpin_testsuite::wait::until;
use sillpin_testsuite::{Fleet, FleetShape};

async fn usage(fleet: &Fleet, org: &str, prompt: &str) -> Usage {
    let request = CompletionRequest::new(&api_key(org), MODEL, prompt, 3);
    match call(&fleet.client, fleet.boxes[0].callers(), &request).await {
        CallResult::Answered { usage, .. } => usage,
        got => panic!("{got:?}"),
    }
}

#[tokio::test]
async fn identical_prompts_of_two_organisations_share_no_block() {
    let fleet = Fleet::start(FleetShape {
        engines: 1,
        ..FleetShape::default()
    })
    .await;
    let prompt = "Trip and damage history. ".repeat(1_000);
    usage(&fleet, "riders", &prompt).await;
    let same = usage(&fleet, "riders", &prompt).await;
    assert!(same.prompt_tokens_details.cached_tokens > 0, "{same:?}");
    let other = usage(&fleet, "mechanics", &prompt).await;
    assert_eq!(other.prompt_tokens_details.cached_tokens, 0);
    assert_eq!(other.prompt_tokens_details.imported_tokens, 0);
}

#[tokio::test]
async fn a_revoked_key_is_refused_and_its_open_stream_completes() {
    let fleet = Fleet::start(FleetShape::default()).await;
    let entry = fleet.boxes[0].callers();
    let (client, long) = (
        fleet.client.clone(),
        CompletionRequest::new(&api_key("mechanics"), MODEL, "long", 150),
    );
    let open = tokio::spawn(async move { call(&client, entry, &long).await });
    let org = "mechanics".parse().unwrap();
    organisation::revoke_keys(&fleet.platform_client(), org)
        .await
        .unwrap();
    until("the key to be refused", || async {
        let request = CompletionRequest::new(&api_key("mechanics"), MODEL, "refuse me", 2);
        match call(&fleet.client, entry, &request).await {
            CallResult::Refused { problem, .. } if problem.status == 401 => Some(()),
            _ => None,
        }
    })
    .await;
    assert!(open.await.unwrap().is_answered());
    assert!(
        usage(&fleet, "riders", "still here")
            .await
            .completion_tokens
            == 3
    );
}
