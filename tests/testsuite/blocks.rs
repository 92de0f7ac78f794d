//! Stored blocks are fetched instead of recomputed; freed or partly written blocks are never served.

use sillpin_load::caller::{CallResult, CompletionRequest, Usage, call};
use sillpin_standin::store::{StoreCounters, StoreFaults};
use sillpin_testsuite::fleet::{MODEL, api_key};
use sillpin_testsuite::wait::until;
use sillpin_testsuite::{Fleet, FleetShape};

/// Returns a prompt of at least ten blocks.
fn prompt(number: usize) -> String {
    format!("Submission pack {number}. ").repeat(2_200)
}

/// A fleet whose engines have caches of 12 blocks, so that prompts are evicted soon.
fn small_caches() -> FleetShape {
    let args = ["--cache-blocks", "12", "--block-ms", "5", "--step-ms", "2"];
    FleetShape {
        engine_args: args.map(str::to_owned).into(),
        ..FleetShape::default()
    }
}

async fn usage(fleet: &Fleet, number: usize) -> Usage {
    let request = CompletionRequest::new(&api_key("riders"), MODEL, prompt(number), 3);
    match call(&fleet.client, fleet.boxes[0].callers(), &request).await {
        CallResult::Answered { usage, .. } => usage,
        got => panic!("{got:?}"),
    }
}

async fn stored_blocks(fleet: &Fleet) -> u64 {
    let addr = fleet.target("store-0").process.addr("store");
    let counters: Option<StoreCounters> = fleet.admin(addr, "/admin/counters", None::<&()>).await;
    counters.unwrap_or_default().objects
}

/// Sends `count` prompts, so that both engines evict the first ones from their caches, and waits until
/// all are stored.
async fn fill_store(fleet: &Fleet, count: usize) {
    for number in 0..count {
        usage(fleet, number).await;
        until("the prompt to be stored", || async {
            (stored_blocks(fleet).await >= 10 * (number as u64 + 1)).then_some(())
        })
        .await;
    }
}

#[tokio::test]
async fn a_prompt_that_was_evicted_from_the_caches_is_fetched() {
    let fleet = Fleet::start(small_caches()).await;
    fill_store(&fleet, 6).await;
    let returned = usage(&fleet, 0).await;
    assert!(
        returned.prompt_tokens_details.imported_tokens >= 9_000,
        "{returned:?}"
    );
}

#[rstest::rstest]
#[case::a_bit_is_flipped(StoreFaults { flip_bit: true, ..StoreFaults::default() })]
#[case::transfers_are_cut(StoreFaults { truncate: true, ..StoreFaults::default() })]
#[tokio::test]
async fn a_corrupt_block_is_recomputed(#[case] faults: StoreFaults) {
    let fleet = Fleet::start(small_caches()).await;
    fill_store(&fleet, 6).await;
    fleet.target_faults("store-0", &faults).await;
    let returned = usage(&fleet, 0).await;
    assert_eq!(
        returned.prompt_tokens_details.imported_tokens, 0,
        "{returned:?}"
    );
}

#[tokio::test]
async fn a_killed_store_loses_no_response() {
    let mut fleet = Fleet::start(small_caches()).await;
    fill_store(&fleet, 6).await;
    let id = "store-0".parse().unwrap();
    fleet.targets.get_mut(&id).unwrap().process.kill();
    let returned = usage(&fleet, 0).await;
    assert_eq!(
        returned.prompt_tokens_details.imported_tokens, 0,
        "{returned:?}"
    );
}

#[tokio::test]
async fn a_full_store_is_freed_and_requests_are_served() {
    let mut shape = small_caches();
    let capacity = (25 * 16_384).to_string();
    shape.store_args = ["--capacity", &capacity].map(str::to_owned).into();
    let fleet = Fleet::start(shape).await;
    for number in 0..8 {
        usage(&fleet, number).await;
    }
    let first = stored_blocks(&fleet).await;
    assert!(first <= 25);
    until("blocks to be freed", || async {
        (stored_blocks(&fleet).await < first).then_some(())
    })
    .await;
    for number in 0..8 {
        usage(&fleet, number).await;
    }
}

#[tokio::test]
async fn the_directory_is_rebuilt_from_the_store_after_its_keeper_was_killed() {
    let mut fleet = Fleet::start(small_caches()).await;
    fill_store(&fleet, 6).await;
    let (peer, entry) = (fleet.boxes[0].peer(), fleet.boxes[0].keeper.addr("entry"));
    fleet.boxes[0].keeper.kill();
    let restarted = fleet.start_keeper_at(
        "kariakoo-0",
        "kariakoo",
        &peer.to_string(),
        &entry.to_string(),
    );
    fleet.boxes[0].keeper = restarted;
    until("the directory to be rebuilt", || async {
        let status = fleet.status(&fleet.boxes[0]).await?;
        (status.directory_blocks >= 60).then_some(())
    })
    .await;
    fleet.wait_ready(&fleet.boxes[0]).await;
    until("a stored prompt to be reused", || async {
        let found = usage(&fleet, 0).await.prompt_tokens_details;
        (found.imported_tokens + found.cached_tokens >= 9_000).then_some(())
    })
    .await;
}
