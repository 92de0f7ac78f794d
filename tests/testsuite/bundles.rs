//! An accepted bundle is in force everywhere within seconds and never reverts.

use sillpin_bundle::{SignedBundle, SignerKey};
use sillpin_cli::ExitStatus;
use sillpin_cli::ops::bundle::accept;
use sillpin_core::Revision;
use sillpin_standin::platform::Faults;
use sillpin_testsuite::wait::until;
use sillpin_testsuite::{Fleet, FleetShape};
use std::time::Duration;
use tokio::time::Instant;

/// Time limit for an accepted bundle to be in force on all boxes.
const ROLLOUT_LIMIT: Duration = Duration::from_secs(5);

fn nine_boxes() -> FleetShape {
    FleetShape {
        zones: vec!["kariakoo", "msasani", "ubungo"],
        boxes: 3,
        engines: 1,
        stores: 0,
        ..FleetShape::default()
    }
}

#[tokio::test]
async fn an_accepted_bundle_is_in_force_on_all_boxes_within_seconds() {
    let fleet = Fleet::start(nine_boxes()).await;
    let accepted = fleet.accept(&fleet.bundle("second")).await;
    let since = Instant::now();
    for entry_box in &fleet.boxes {
        fleet.wait_revision(entry_box, accepted.revision).await;
    }
    assert!(since.elapsed() < ROLLOUT_LIMIT, "{:?}", since.elapsed());
}

#[tokio::test]
async fn of_two_concurrent_operators_one_wins_and_the_other_gets_a_conflict() {
    let fleet = Fleet::start(FleetShape::default()).await;
    let platform = fleet.platform_client();
    let (left, right) = (
        fleet.sign(&fleet.bundle("left")),
        fleet.sign(&fleet.bundle("right")),
    );
    let (left, right) = tokio::join!(
        accept(&platform, left, "asha", Some(Revision(1))),
        accept(&platform, right, "juma", Some(Revision(1))),
    );
    let (winner, loser, name) = match (left, right) {
        (Ok(won), Err(lost)) => (won, lost, "asha"),
        (Err(lost), Ok(won)) => (won, lost, "juma"),
        both => panic!("{both:?}"),
    };
    assert_eq!(winner.revision, Revision(2));
    assert_eq!(loser.status, ExitStatus::Conflict);
    assert!(
        loser.to_string().contains(name) || loser.to_string().contains("revision 2"),
        "{loser}"
    );
}

#[tokio::test]
async fn an_acceptance_whose_response_was_lost_is_resolved() {
    let fleet = Fleet::start(FleetShape::default()).await;
    let faults = Faults {
        lose_answers: 1,
        ..Faults::default()
    };
    fleet.platform_faults(&faults).await;
    let accepted = fleet.accept(&fleet.bundle("second")).await;
    assert_eq!(accepted.revision, Revision(2));
    fleet.wait_revision(&fleet.boxes[0], Revision(2)).await;
}

#[tokio::test]
async fn a_bundle_spreads_by_gossip_when_the_platform_fails_right_after() {
    let fleet = Fleet::start(nine_boxes()).await;
    let accepted = fleet.accept(&fleet.bundle("second")).await;
    until("one box to have it", || async {
        for entry_box in &fleet.boxes {
            let status = fleet.status(entry_box).await?;
            if status.revision == accepted.revision {
                return Some(());
            }
        }
        None
    })
    .await;
    let outage = Faults {
        outage: true,
        ..Faults::default()
    };
    fleet.platform_faults(&outage).await;
    for entry_box in &fleet.boxes {
        fleet.wait_revision(entry_box, accepted.revision).await;
    }
}

#[tokio::test]
async fn a_new_box_without_the_platform_gets_the_bundle_from_its_peers() {
    let mut fleet = Fleet::start(nine_boxes()).await;
    let accepted = fleet.accept(&fleet.bundle("second")).await;
    for entry_box in &fleet.boxes {
        fleet.wait_revision(entry_box, accepted.revision).await;
    }
    let outage = Faults {
        outage: true,
        ..Faults::default()
    };
    fleet.platform_faults(&outage).await;
    fleet.start_box("kariakoo-new", "kariakoo");
    let new = fleet.boxes.last().unwrap();
    fleet.wait_revision(new, accepted.revision).await;
    fleet.wait_ready(new).await;
}

#[tokio::test]
async fn a_new_box_with_an_outdated_peer_does_not_restore_an_old_bundle() {
    let mut fleet = Fleet::start(FleetShape {
        boxes: 3,
        stores: 0,
        ..FleetShape::default()
    })
    .await;
    fleet.boxes[0].keeper.pause();
    let accepted = fleet.accept(&fleet.bundle("second")).await;
    for entry_box in &fleet.boxes[1..] {
        fleet.wait_revision(entry_box, accepted.revision).await;
    }
    fleet.boxes[0].keeper.resume();
    fleet.start_box("kariakoo-new", "kariakoo");
    for entry_box in &fleet.boxes {
        fleet.wait_revision(entry_box, accepted.revision).await;
    }
    for _ in 0..20 {
        for entry_box in &fleet.boxes {
            let status = fleet.status(entry_box).await.unwrap();
            assert_eq!(status.revision, accepted.revision);
        }
    }
}

#[tokio::test]
async fn a_bundle_of_an_untrusted_signer_is_not_in_force() {
    let fleet = Fleet::start(FleetShape::default()).await;
    let text = serde_json::to_string(&fleet.bundle("evil")).unwrap();
    let signed = SignedBundle::sign(&text, &SignerKey::generate()).unwrap();
    let forged = accept(&fleet.platform_client(), signed, "mallory", None)
        .await
        .unwrap();
    assert_eq!(forged.revision, Revision(2));
    let good = fleet.accept(&fleet.bundle("good")).await;
    fleet.wait_revision(&fleet.boxes[0], good.revision).await;
    let status = fleet.status(&fleet.boxes[0]).await.unwrap();
    assert_eq!(status.bundle.as_deref(), Some("good"));
}

#[tokio::test]
async fn an_entry_without_a_bundle_refuses_as_not_run() {
    let fleet = Fleet::start_without_bundle(FleetShape::default()).await;
    let got = fleet.ask(&fleet.boxes[0], "too early").await;
    assert_eq!(
        got.outcome(),
        Some(sillpin_core::Outcome::NotRun),
        "{got:?}"
    );
}
