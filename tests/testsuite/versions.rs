//! A change of weights loses no response, has at most three engines load at the same time, and new
//! requests never use blocks of another weight version.

use futures::future::join_all;
use sillpin_load::caller::{CallResult, CompletionRequest, call};
use sillpin_standin::weights::WeightCounters;
use sillpin_testsuite::fleet::{MODEL, api_key};
use sillpin_testsuite::wait::until;
use sillpin_testsuite::{Fleet, FleetShape};

fn request(prompt: &str, tokens: u32) -> CompletionRequest {
    CompletionRequest::new(&api_key("riders"), MODEL, prompt, tokens)
}

/// Returns the weight version of each engine; `None` while one is unknown.
async fn versions(fleet: &Fleet) -> Option<Vec<u64>> {
    let status = fleet.status(&fleet.boxes[0]).await?;
    let engines = status.targets.iter().filter(|t| t.entry.model.is_some());
    engines
        .map(|t| Some(t.state.as_ref()?.load.as_ref()?.version?.0))
        .collect()
}

#[tokio::test]
async fn a_change_of_weights_under_load_loses_no_response_and_reuses_no_old_block() {
    let fleet = Fleet::start(FleetShape {
        zones: vec!["kariakoo", "msasani"],
        engines: 4,
        ..FleetShape::default()
    })
    .await;
    let prompt = "Bye-law pack. ".repeat(1_500);
    let entry = fleet.boxes[0].callers();
    assert!(
        call(&fleet.client, entry, &request(&prompt, 2))
            .await
            .is_answered()
    );
    fleet.accept(&fleet.bundle_with_version("swap", 2)).await;
    let client = fleet.client.clone();
    let load = tokio::spawn(async move {
        let mut all = Vec::new();
        for round in 0..20 {
            let requests: Vec<CompletionRequest> = (0..6)
                .map(|i| request(&format!("{round} {i}"), 20))
                .collect();
            let calls = requests.iter().map(|request| call(&client, entry, request));
            all.extend(join_all(calls).await);
        }
        all
    });
    until("all engines to serve version 2", || async {
        let versions = versions(&fleet).await?;
        versions.iter().all(|v| *v == 2).then_some(())
    })
    .await;
    for got in load.await.unwrap() {
        assert!(got.is_answered(), "{got:?}");
    }
    let addr = fleet.target("weights-0").process.addr("weights");
    let counted: Option<WeightCounters> = fleet.admin(addr, "/admin/counters", None::<&()>).await;
    let counted = counted.unwrap();
    assert!(counted.most_at_once <= 3, "{counted:?}");
    assert_eq!(counted.loads, 8);
    let got = call(&fleet.client, entry, &request(&prompt, 2)).await;
    let CallResult::Answered { usage, .. } = got else {
        panic!("{got:?}");
    };
    assert_eq!(usage.prompt_tokens_details.cached_tokens, 0);
    assert_eq!(usage.prompt_tokens_details.imported_tokens, 0);
}
