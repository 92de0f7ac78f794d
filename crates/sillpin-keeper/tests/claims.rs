//! Interleavings of claims on one key: lost and late answers, refusals, slowness, boxes that die
//! before or after the send. Whatever happens, the call runs at most once, and where nobody died the
//! key comes free again.
//!
//! Every sleep here is a move of the paused clock, part of the interleaving: no time passes.
//!
//! `PROPTEST_CASES=100000 cargo test -p sillpin-keeper --test claims` runs longer.

mod common;

use common::{ScriptedPlatform, Weather};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use sillpin_core::{Outcome, RequestId};
use sillpin_keeper::claims::Journal;
use sillpin_rpc::claims::{ClaimEnd, ClaimKey, ClaimReply, ClaimRequest};
use sillpin_telemetry::logs::discard;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

/// Interleavings tried in CI.
const CASES: u32 = 3_000;

/// What a box does with a granted claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Then {
    Send,
    SendAndDie,
    DieBeforeSending,
    GiveUp,
}

/// One request for the call.
#[derive(Debug, Clone)]
struct Attempt {
    starts_at: u64,
    weather: Vec<Weather>,
    then: Then,
}

fn weather() -> impl Strategy<Value = Weather> {
    prop_oneof![
        3 => Just(Weather::Fair),
        1 => Just(Weather::Refused),
        2 => Just(Weather::AnswerLost),
        2 => (0..8_000u64).prop_map(Weather::Late),
        1 => (0..2_500u64).prop_map(Weather::Slow),
    ]
}

fn attempt() -> impl Strategy<Value = Attempt> {
    let then = prop_oneof![
        3 => Just(Then::Send),
        1 => Just(Then::SendAndDie),
        1 => Just(Then::DieBeforeSending),
        2 => Just(Then::GiveUp),
    ];
    (0..6_000u64, prop::collection::vec(weather(), 0..8), then).prop_map(
        |(starts_at, weather, then)| Attempt {
            starts_at,
            weather,
            then,
        },
    )
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
    let journal = journal(platform.through(attempt.weather));
    let req = request();
    let end = |outcome| ClaimEnd {
        key: key(),
        request: req.request,
        outcome,
    };
    if journal.claim(req.clone()).await != ClaimReply::Granted {
        return;
    }
    match attempt.then {
        Then::Send => {
            executions.fetch_add(1, Ordering::Relaxed);
            journal.write_end(end(Outcome::Ran)).await;
        }
        Then::SendAndDie => {
            executions.fetch_add(1, Ordering::Relaxed);
        }
        Then::DieBeforeSending => {}
        Then::GiveUp => journal.write_end(end(Outcome::NotRun)).await,
    }
}

/// Runs the attempts side by side; gives the executions and whether the key is free afterwards.
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
    fn a_call_runs_at_most_once_and_its_key_comes_free(attempts in prop::collection::vec(attempt(), 1..5)) {
        let nobody_sends_or_dies = attempts.iter().all(|a| a.then == Then::GiveUp);
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        let (executions, free) = runtime.block_on(run_all(attempts));
        prop_assert!(executions <= 1, "{executions} executions");
        prop_assert!(executions == 0 || !free, "the key of a call that ran came free");
        prop_assert!(free || !nobody_sends_or_dies, "nobody sent, and the key is not free");
    }
}
