//! A call that must not be repeated runs at most once, and the outcome "not run" is true.

use futures::future::join_all;
use hyper::{Method, Request, StatusCode};
use sillpin_core::{Outcome, Problem};
use sillpin_http::Body;
use sillpin_http::body::read_json;
use sillpin_standin::platform::Faults;
use sillpin_standin::service::ServiceFaults;
use sillpin_testsuite::fleet::{EntryBox, SERVICE_POOL, api_key};
use sillpin_testsuite::wait::until;
use sillpin_testsuite::{Fleet, FleetShape};

/// Result of a service call at the caller.
#[derive(Debug, PartialEq)]
enum CallResult {
    Ran,
    Refused(u16, Outcome),
    NoResponse,
}

impl CallResult {
    fn outcome(&self) -> Option<Outcome> {
        match self {
            CallResult::Ran => Some(Outcome::Ran),
            CallResult::Refused(_, outcome) => Some(*outcome),
            CallResult::NoResponse => None,
        }
    }
}

/// Sends a service call with an idempotency key through a box.
async fn unlock(fleet: &Fleet, entry_box: &EntryBox, key: &str, body: &str) -> CallResult {
    let entry = entry_box.callers();
    let req = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{entry}/services/{SERVICE_POOL}/unlock"))
        .header("authorization", format!("Bearer {}", api_key("riders")))
        .header("idempotency-key", key)
        .body(Body::full(body.to_owned()))
        .unwrap();
    let Ok(resp) = fleet.client.send("unlock", entry, req).await else {
        return CallResult::NoResponse;
    };
    if resp.status() == StatusCode::OK {
        return CallResult::Ran;
    }
    let status = resp.status().as_u16();
    match read_json::<Problem, _>(resp.into_body(), 1 << 16).await {
        Ok(problem) => CallResult::Refused(status, problem.outcome),
        Err(_) => CallResult::NoResponse,
    }
}

/// Returns how often the services executed the call with this key.
async fn executions(fleet: &Fleet, key: &str) -> u32 {
    fleet.all_executions().await.get(key).copied().unwrap_or(0)
}

fn three_zones() -> FleetShape {
    FleetShape {
        zones: vec!["kariakoo", "msasani", "ubungo"],
        engines: 1,
        services: 3,
        stores: 0,
        ..FleetShape::default()
    }
}

#[tokio::test]
async fn concurrent_calls_with_one_key_in_three_zones_run_once() {
    let fleet = Fleet::start(three_zones()).await;
    for round in 0..10 {
        let key = format!("verdict-{round}");
        let calls = fleet
            .boxes
            .iter()
            .map(|b| unlock(&fleet, b, &key, "unlock 7"));
        let replies = join_all(calls).await;
        let ran = replies.iter().filter(|r| **r == CallResult::Ran).count();
        assert_eq!(ran, 1, "{replies:?}");
        let reported_not_run = replies.iter().any(|r| r.outcome() == Some(Outcome::NotRun));
        assert!(!reported_not_run, "the call was run: {replies:?}");
        assert_eq!(executions(&fleet, &key).await, 1);
    }
}

#[tokio::test]
async fn a_lost_response_of_the_platform_is_resolved_by_reading_back() {
    let fleet = Fleet::start(FleetShape::default()).await;
    let faults = Faults {
        lose_answers: 1,
        ..Faults::default()
    };
    fleet.platform_faults(&faults).await;
    let reply = unlock(&fleet, &fleet.boxes[0], "k", "unlock").await;
    assert_eq!(reply, CallResult::Ran);
    assert_eq!(executions(&fleet, "k").await, 1);
}

#[tokio::test]
async fn a_call_during_a_platform_outage_is_not_run_and_runs_afterwards() {
    let fleet = Fleet::start(FleetShape::default()).await;
    let outage = Faults {
        outage: true,
        ..Faults::default()
    };
    fleet.platform_faults(&outage).await;
    let reply = unlock(&fleet, &fleet.boxes[0], "k", "unlock").await;
    assert_eq!(reply, CallResult::Refused(503, Outcome::NotRun));
    assert_eq!(executions(&fleet, "k").await, 0);
    fleet.platform_faults(&Faults::default()).await;
    until("the call to run", || async {
        let reply = unlock(&fleet, &fleet.boxes[0], "k", "unlock").await;
        (reply == CallResult::Ran).then_some(())
    })
    .await;
    assert_eq!(executions(&fleet, "k").await, 1);
}

#[tokio::test]
async fn an_interrupted_call_is_unknown_and_is_not_repeated() {
    let fleet = Fleet::start(FleetShape::default()).await;
    let faults = ServiceFaults {
        delay_ms: 60_000,
        ..ServiceFaults::default()
    };
    fleet.target_faults("service-0", &faults).await;
    let first = unlock(&fleet, &fleet.boxes[0], "k", "unlock");
    let cut = async {
        until("the execution", || async {
            (executions(&fleet, "k").await == 1).then_some(())
        })
        .await;
        let id = i32::try_from(fleet.target("service-0").process.id()).unwrap();
        nix::sys::signal::kill(nix::unistd::Pid::from_raw(id), nix::sys::signal::SIGSTOP).unwrap();
        unlock(&fleet, &fleet.boxes[0], "k", "unlock").await
    };
    let (again, first) = tokio::select! {
        reply = cut => (reply, None),
        reply = first => (CallResult::NoResponse, Some(reply)),
    };
    assert_eq!(first, None, "a frozen service cannot have responded");
    assert_eq!(again, CallResult::Refused(409, Outcome::Unknown));
    fleet.target("service-0").process.resume();
    assert_eq!(executions(&fleet, "k").await, 1);
}

#[tokio::test]
async fn a_call_is_unknown_after_its_entry_was_killed() {
    let mut fleet = Fleet::start(FleetShape {
        boxes: 2,
        ..FleetShape::default()
    })
    .await;
    let faults = ServiceFaults {
        delay_ms: 60_000,
        ..ServiceFaults::default()
    };
    fleet.target_faults("service-0", &faults).await;
    let (client, entry) = (fleet.client.clone(), fleet.boxes[0].callers());
    let first = tokio::spawn(async move {
        let req = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{entry}/services/{SERVICE_POOL}/unlock"))
            .header("authorization", format!("Bearer {}", api_key("riders")))
            .header("idempotency-key", "k")
            .body(Body::full("unlock"))
            .unwrap();
        client.send("unlock", entry, req).await.is_ok()
    });
    until("the execution", || async {
        (executions(&fleet, "k").await == 1).then_some(())
    })
    .await;
    fleet.boxes[0].entry.kill();
    assert!(!first.await.unwrap());
    let again = unlock(&fleet, &fleet.boxes[1], "k", "unlock").await;
    assert_eq!(again, CallResult::Refused(409, Outcome::Unknown));
    assert_eq!(executions(&fleet, "k").await, 1);
}

#[tokio::test]
async fn a_keeper_paused_during_a_claim_releases_the_key() {
    let fleet = Fleet::start(FleetShape {
        boxes: 2,
        ..FleetShape::default()
    })
    .await;
    fleet.boxes[0].keeper.pause();
    let reply = unlock(&fleet, &fleet.boxes[0], "k", "unlock").await;
    assert_eq!(reply, CallResult::Refused(503, Outcome::NotRun));
    assert_eq!(executions(&fleet, "k").await, 0);
    fleet.boxes[0].keeper.resume();
    until("the key to be free", || async {
        let reply = unlock(&fleet, &fleet.boxes[1], "k", "unlock").await;
        (reply == CallResult::Ran).then_some(())
    })
    .await;
    assert_eq!(executions(&fleet, "k").await, 1);
}

#[tokio::test]
async fn an_unreachable_service_means_not_run_and_releases_the_key() {
    let mut fleet = Fleet::start(FleetShape {
        services: 2,
        ..FleetShape::default()
    })
    .await;
    let ids: Vec<_> = ["service-0", "service-1"]
        .map(|id| id.parse().unwrap())
        .into();
    for id in &ids {
        fleet.targets.get_mut(id).unwrap().process.kill();
    }
    let reply = unlock(&fleet, &fleet.boxes[0], "k", "unlock").await;
    assert_eq!(reply, CallResult::Refused(503, Outcome::NotRun));
    let replies = until("the claim to be released", || async {
        let reply = unlock(&fleet, &fleet.boxes[0], "k", "unlock").await;
        (reply == CallResult::Refused(503, Outcome::NotRun)).then_some(reply)
    });
    replies.await;
}

#[tokio::test]
async fn a_key_reused_for_another_call_is_refused() {
    let fleet = Fleet::start(FleetShape::default()).await;
    let entry_box = &fleet.boxes[0];
    assert_eq!(
        unlock(&fleet, entry_box, "k", "unlock 7").await,
        CallResult::Ran
    );
    let other = unlock(&fleet, entry_box, "k", "unlock 8").await;
    assert_eq!(other, CallResult::Refused(422, Outcome::NotRun));
    until("the first call to be recorded as run", || async {
        let again = unlock(&fleet, entry_box, "k", "unlock 7").await;
        (again == CallResult::Refused(409, Outcome::Ran)).then_some(())
    })
    .await;
    assert_eq!(executions(&fleet, "k").await, 1);
}
