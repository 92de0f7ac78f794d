//! Arms of a bundle: compared on live traffic, and stopped when they exceed the guard's thresholds.

use futures::future::join_all;
use sillpin_bundle::{Arm, Bundle};
use sillpin_core::Share;
use sillpin_core::block::BLOCK_BYTES;
use sillpin_load::caller::{CompletionRequest, call};
use sillpin_policy::set::PlacementKind;
use sillpin_testsuite::fleet::{MODEL, api_key};
use sillpin_testsuite::process::program;
use sillpin_testsuite::wait::until;
use sillpin_testsuite::{Fleet, FleetShape};
use std::process::Command;

/// Returns a bundle whose arm `trial` gets half of the prompts, with its arm changed by `change`.
fn with_trial(fleet: &Fleet, change: impl FnOnce(&mut Arm)) -> Bundle {
    let mut bundle = fleet.bundle("two arms");
    let mut arm = Arm {
        name: "trial".parse().unwrap(),
        share: Share::try_from(5_000).unwrap(),
        zones: fleet
            .shape
            .zones
            .iter()
            .map(|z| z.parse().unwrap())
            .collect(),
        policy: bundle.control.clone(),
    };
    change(&mut arm);
    bundle.arms.push(arm);
    bundle
}

/// Accepts a bundle and waits until it is in force on all boxes.
async fn accept(fleet: &Fleet, bundle: &Bundle) {
    let accepted = fleet.accept(bundle).await;
    for entry_box in &fleet.boxes {
        fleet.wait_revision(entry_box, accepted.revision).await;
    }
}

/// Sends `count` distinct prompts, numbered from `from`.
async fn send_many(fleet: &Fleet, from: usize, count: usize) {
    let requests: Vec<CompletionRequest> = (from..from + count)
        .map(|i| {
            CompletionRequest::new(
                &api_key("riders"),
                MODEL,
                format!("{}{i}", "x".repeat(BLOCK_BYTES)),
                2,
            )
        })
        .collect();
    let entry = fleet.boxes[0].callers();
    join_all(
        requests
            .iter()
            .map(|request| call(&fleet.client, entry, request)),
    )
    .await;
}

/// Runs `sillpin bundle compare`; returns its exit code and output.
fn compare(fleet: &Fleet, more: &[&str]) -> (Option<i32>, String) {
    let peer = fleet.boxes[0].peer().to_string();
    let args = ["bundle", "compare", "control", "trial", "--keeper", &peer];
    let out = Command::new(program("sillpin"))
        .args(args)
        .args(more)
        .output()
        .unwrap();
    (
        out.status.code(),
        String::from_utf8([out.stdout, out.stderr].concat()).unwrap(),
    )
}

#[tokio::test(flavor = "multi_thread")]
async fn two_equal_arms_are_compared_with_intervals() {
    let fleet = Fleet::start(FleetShape::default()).await;
    accept(&fleet, &with_trial(&fleet, |_| {})).await;
    let (code, text) = compare(&fleet, &[]);
    assert_eq!(code, Some(5), "{text}");
    let plot = fleet.dir().join("arms.svg").display().to_string();
    let mut sent = 0;
    let text = until("both arms' figures", || {
        sent += 100;
        let (from, fleet, plot) = (sent, &fleet, &plot);
        async move {
            send_many(fleet, from, 100).await;
            let (code, text) = compare(fleet, &["--plot", plot]);
            (code == Some(0)).then_some(text)
        }
    })
    .await;
    assert!(
        text.starts_with("revision 2: control against trial\nall zones: "),
        "{text}"
    );
    let figures = text.lines().filter(|line| line.starts_with("  ")).count();
    assert_eq!(
        figures, 8,
        "four figures for all zones and four for the one zone: {text}"
    );
    assert!(std::fs::read_to_string(&plot).unwrap().starts_with("<svg "));
    let (_, json) = compare(&fleet, &["--json"]);
    let json: serde_json::Value = serde_json::from_str(&json).unwrap();
    assert_eq!(json["a"], "control");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_arm_with_late_first_tokens_is_stopped_and_the_fleet_keeps_serving() {
    let fleet = Fleet::start(FleetShape {
        engines: 4,
        engine_args: ["--max-batch", "2", "--step-ms", "20"]
            .map(str::to_owned)
            .into(),
        ..FleetShape::default()
    })
    .await;
    let bundle = with_trial(&fleet, |arm| {
        arm.policy.placement.kind = PlacementKind::Rendezvous;
        arm.policy.placement.home_blocks = 1;
        arm.policy.limits.engine_queue_ms = 60_000;
    });
    accept(&fleet, &bundle).await;
    let mut sent = 0;
    let stopped = until("the arm to be stopped", || {
        sent += 60;
        let from = sent;
        let fleet = &fleet;
        async move {
            send_many(fleet, from, 60).await;
            let status = fleet.status(&fleet.boxes[0]).await?;
            status.stopped_arms.first().cloned()
        }
    })
    .await;
    assert_eq!(stopped.1.as_str(), "trial");
    let status = fleet.status(&fleet.boxes[0]).await.unwrap();
    assert_eq!(status.revision.0, 2);
    let got = fleet.ask(&fleet.boxes[0], "after the stop").await;
    assert!(got.is_answered(), "{got:?}");
}
