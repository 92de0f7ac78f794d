//! Interleavings of claims on one key: lost and late responses, refusals, slow calls, boxes that crash
//! before or after sending. In all of them the call runs at most once, and if all requests abandon it,
//! the key becomes free again.
//!
//! Sleeps only advance the paused clock, as part of the interleaving: no real time passes.
//!
//! `PROPTEST_CASES=100000 cargo test -p sillpin-keeper --test claims` tries more interleavings.

mod common;

use common::{CallBehaviour, ScriptedPlatform};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use sillpin_core::{Outcome, RequestId};
use sillpin_keeper::claims::Journal;
use sillpin_rpc::claims::{ClaimEnd, ClaimKey, ClaimReply, ClaimRequest};
use sillpin_telemetry::logs::discard;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

/// Number of interleavings tried in CI.
const CASES: u32 = 3_000;

/// What a box does with a granted claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Action {
    Send,
    SendAndCrash,
    CrashBeforeSending,
    Abandon,
}

/// One request for the call, with the behaviour of its calls to the platform.
#[derive(Debug, Clone)]
struct Attempt {
    starts_at: u64,
    behaviours: Vec<CallBehaviour>,
    action: Action,
}

fn behaviour() -> impl Strategy<Value = CallBehaviour> {
    prop_oneof![
        3 => Just(CallBehaviour::Normal),
        1 => Just(CallBehaviour::Refused),
        2 => Just(CallBehaviour::ResponseLost),
        2 => (0..8_000u64).prop_map(CallBehaviour::Late),
        1 => (0..2_500u64).prop_map(CallBehaviour::Slow),
    ]
}

fn attempt() -> impl Strategy<Value = Attempt> {
    let action = prop_oneof![
        3 => Just(Action::Send),
        1 => Just(Action::SendAndCrash),
        1 => Just(Action::CrashBeforeSending),
        2 => Just(Action::Abandon),
    ];
    (
        0..6_000u64,
        prop::collection::vec(behaviour(), 0..8),
        action,
    )
        .prop_map(|(starts_at, behaviours, action)| Attempt {
            starts_at,
            behaviours,
            action,
        })
}

fn key() -> ClaimKey {
    ClaimKey {
        org: "riders".parse().unwrap(),
        key_hash: "k".to_owned(),
    }
}

fn request() -> ClaimRequest {
    ClaimRequest {
        key: key(),
        request: RequestId::generate(),
        digest: "d".to_owned(),
    }
}

fn journal(platform: ScriptedPlatform) -> Journal<ScriptedPlatform> {
    Journal::new(platform, "box".parse().unwrap(), discard())
}

async fn run(attempt: Attempt, platform: ScriptedPlatform, executions: Arc<AtomicU32>) {
    tokio::time::sleep(Duration::from_millis(attempt.starts_at)).await;
    let journal = journal(platform.with_script(attempt.behaviours));
    let req = request();
    let end = |outcome| ClaimEnd {
        key: key(),
        request: req.request,
        outcome,
    };
    if journal.claim(req.clone()).await != ClaimReply::Granted {
        return;
    }
    match attempt.action {
        Action::Send => {
            executions.fetch_add(1, Ordering::Relaxed);
            journal.write_end(end(Outcome::Ran)).await;
        }
        Action::SendAndCrash => {
            executions.fetch_add(1, Ordering::Relaxed);
        }
        Action::CrashBeforeSending => {}
        Action::Abandon => journal.write_end(end(Outcome::NotRun)).await,
    }
}

/// Runs the attempts concurrently. Returns the number of executions and whether the key is free afterwards.
async fn run_all(attempts: Vec<Attempt>) -> (u32, bool) {
    let platform = ScriptedPlatform::new();
    let executions = Arc::new(AtomicU32::new(0));
    let runs = attempts
        .into_iter()
        .map(|a| run(a, platform.clone(), executions.clone()));
    futures::future::join_all(runs).await;
    tokio::time::sleep(Duration::from_secs(3_600)).await;
    let free = journal(platform).claim(request()).await == ClaimReply::Granted;
    (executions.load(Ordering::Relaxed), free)
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..Config::with_cases(std::env::var("PROPTEST_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(CASES))
    })]

    #[test]
    fn a_call_runs_at_most_once_and_an_abandoned_key_is_released(attempts in prop::collection::vec(attempt(), 1..5)) {
        let all_abandon = attempts.iter().all(|a| a.action == Action::Abandon);
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        let (executions, free) = runtime.block_on(run_all(attempts));
        prop_assert!(executions <= 1, "{executions} executions");
        prop_assert!(executions == 0 || !free, "the key of a call that ran was released");
        prop_assert!(free || !all_abandon, "all requests abandoned the call, but the key is not free");
    }
}
