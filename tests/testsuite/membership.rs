//! Failed boxes and targets are out of use within seconds, and in use again soon after they return.

use sillpin_core::Presence;
use sillpin_standin::platform::Faults;
use sillpin_testsuite::wait::until;
use sillpin_testsuite::{Fleet, FleetShape};
use std::time::Duration;
use tokio::time::Instant;

/// Time limit for a failed box or target to be out of use.
const REMOVAL_LIMIT: Duration = Duration::from_secs(3);
/// Time limit for a returned box to be in use.
const RETURN_LIMIT: Duration = Duration::from_secs(5);

fn shape() -> FleetShape {
    FleetShape {
        boxes: 3,
        stores: 0,
        keeper_settings: vec!["keeper.gossip-ms=500", "keeper.dead-after-ms=2000"],
        ..FleetShape::default()
    }
}

/// Returns `Some` if box number `seen_by` reports the box `id` with this state.
async fn box_is(fleet: &Fleet, seen_by: usize, id: &str, live: bool) -> Option<()> {
    let status = fleet.status(&fleet.boxes[seen_by]).await?;
    let found = status.boxes.iter().find(|b| b.id.as_str() == id)?;
    (found.live == live).then_some(())
}

#[tokio::test]
async fn a_frozen_keeper_is_out_of_use_in_three_seconds_and_back_in_five() {
    let fleet = Fleet::start(shape()).await;
    until("all boxes to be seen", || {
        box_is(&fleet, 0, "kariakoo-2", true)
    })
    .await;
    fleet.boxes[2].keeper.pause();
    let frozen = Instant::now();
    until("the box to be out of use", || {
        box_is(&fleet, 0, "kariakoo-2", false)
    })
    .await;
    assert!(frozen.elapsed() < REMOVAL_LIMIT, "{:?}", frozen.elapsed());
    fleet.boxes[2].keeper.resume();
    let resumed = Instant::now();
    until("the box to be in use", || {
        box_is(&fleet, 0, "kariakoo-2", true)
    })
    .await;
    assert!(resumed.elapsed() < RETURN_LIMIT, "{:?}", resumed.elapsed());
}

#[tokio::test]
async fn a_killed_engine_is_out_of_use_in_three_seconds_on_every_box() {
    let mut fleet = Fleet::start(shape()).await;
    let id = "engine-kariakoo-0".parse().unwrap();
    fleet.targets.get_mut(&id).unwrap().process.kill();
    let killed = Instant::now();
    for entry_box in &fleet.boxes {
        until("the engine to be out of reach", || async {
            let status = fleet.status(entry_box).await?;
            let found = status.targets.iter().find(|t| t.entry.id == id)?;
            (!found.state.as_ref()?.reachable).then_some(())
        })
        .await;
    }
    assert!(killed.elapsed() < REMOVAL_LIMIT, "{:?}", killed.elapsed());
}

#[tokio::test]
async fn a_fleet_without_the_platform_keeps_serving() {
    let fleet = Fleet::start(shape()).await;
    let outage = Faults {
        outage: true,
        ..Faults::default()
    };
    fleet.platform_faults(&outage).await;
    for round in 0..10 {
        let entry_box = &fleet.boxes[round % 3];
        let got = fleet.ask(entry_box, &format!("cut off {round}")).await;
        assert!(got.is_answered(), "{got:?}");
    }
}

#[tokio::test]
async fn a_target_that_left_and_returned_at_the_same_address_gets_requests_again() {
    let fleet = Fleet::start(FleetShape {
        engines: 1,
        stores: 0,
        ..FleetShape::default()
    })
    .await;
    let mut list = fleet.box_list();
    for target in list.targets.iter_mut().filter(|t| t.model.is_some()) {
        target.presence = Presence::Leaving;
    }
    fleet.publish_list(&list).await;
    until("requests to be refused", || async {
        let got = fleet.ask(&fleet.boxes[0], "nobody").await;
        (!got.is_answered()).then_some(())
    })
    .await;
    fleet.publish().await;
    fleet.wait_ready(&fleet.boxes[0]).await;
}
