//! An orderly shutdown interrupts no request, and a leaving target gets no new requests.

use futures::future::join_all;
use sillpin_core::Presence;
use sillpin_load::caller::{CompletionRequest, call};
use sillpin_standin::engine::EngineFaults;
use sillpin_standin::platform::Faults;
use sillpin_testsuite::fleet::{MODEL, api_key};
use sillpin_testsuite::wait::until;
use sillpin_testsuite::{Fleet, FleetShape};

fn request(prompt: String, tokens: u32) -> CompletionRequest {
    CompletionRequest::new(&api_key("riders"), MODEL, prompt, tokens)
}

#[tokio::test]
async fn a_stopped_entry_finishes_every_stream_and_exits() {
    let mut fleet = Fleet::start(FleetShape {
        boxes: 2,
        ..FleetShape::default()
    })
    .await;
    let entry = fleet.boxes[0].callers();
    let client = fleet.client.clone();
    let calls: Vec<_> = (0..20)
        .map(|i| {
            let (client, request) = (client.clone(), request(format!("drain {i}"), 150));
            tokio::spawn(async move { call(&client, entry, &request).await })
        })
        .collect();
    until("all runs", || async {
        let status = fleet.status(&fleet.boxes[0]).await?;
        let loads = status
            .targets
            .iter()
            .filter_map(|t| t.state.as_ref()?.load.as_ref());
        (loads.map(|load| load.running).sum::<u32>() >= 16).then_some(())
    })
    .await;
    fleet.boxes[0].entry.terminate();
    fleet.boxes[0].entry.terminate();
    for got in join_all(calls).await {
        let got = got.unwrap();
        assert!(got.is_answered(), "{got:?}");
    }
    let entry = &mut fleet.boxes[0].entry;
    loop {
        if let Some(status) = entry.ended().unwrap() {
            assert!(status.success());
            break;
        }
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn an_entry_reports_not_ready_before_it_stops_accepting() {
    let fleet = Fleet::start(FleetShape {
        entry_settings: vec!["entry.drain-lag-ms=3000"],
        ..FleetShape::default()
    })
    .await;
    let entry_box = &fleet.boxes[0];
    entry_box.entry.terminate();
    until("the entry to be not ready", || async {
        let call = sillpin_http::client::Call {
            step: "read readiness",
            peer: entry_box.callers(),
            method: hyper::Method::GET,
            path: "/readyz",
            timeout: std::time::Duration::from_secs(1),
        };
        let readiness = fleet.client.call(call, None::<&()>).await;
        readiness.err()?.status().filter(|s| s.as_u16() == 503)
    })
    .await;
    let got = fleet.ask(entry_box, "still accepted").await;
    assert!(got.is_answered(), "{got:?}");
}

#[tokio::test]
async fn a_stopped_keeper_interrupts_no_request() {
    let mut fleet = Fleet::start(FleetShape::default()).await;
    let entry = fleet.boxes[0].callers();
    let (client, long) = (
        fleet.client.clone(),
        request("keeper stops".to_owned(), 150),
    );
    let running = tokio::spawn(async move { call(&client, entry, &long).await });
    fleet.boxes[0].keeper.terminate();
    while fleet.boxes[0].keeper.ended().unwrap().is_none() {
        tokio::task::yield_now().await;
    }
    let later = fleet.ask(&fleet.boxes[0], "without a keeper").await;
    assert!(later.is_answered(), "{later:?}");
    let got = running.await.unwrap();
    assert!(got.is_answered(), "{got:?}");
}

/// Where the presence `Leaving` of the engine is published.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Source {
    List,
    LoadReport,
}

#[rstest::rstest]
#[case::the_box_list(Source::List)]
#[case::its_load_report_while_the_box_list_is_late(Source::LoadReport)]
#[tokio::test]
async fn a_leaving_engine_gets_no_new_requests(#[case] source: Source) {
    let fleet = Fleet::start(FleetShape {
        zones: vec!["kariakoo", "msasani"],
        engines: 1,
        ..FleetShape::default()
    })
    .await;
    let lag = Faults {
        list_lag_ms: 10_000,
        ..Faults::default()
    };
    match source {
        Source::List => {
            let mut list = fleet.box_list();
            let leaving = list
                .targets
                .iter_mut()
                .find(|t| t.id.as_str() == "engine-kariakoo-0");
            leaving.unwrap().presence = Presence::Leaving;
            fleet.publish_list(&list).await;
        }
        Source::LoadReport => {
            fleet.platform_faults(&lag).await;
            let faults = EngineFaults {
                leaving: true,
                ..EngineFaults::default()
            };
            fleet.target_faults("engine-kariakoo-0", &faults).await;
        }
    }
    for entry_box in &fleet.boxes {
        until("the box to see the engine as leaving", || async {
            let status = fleet.status(entry_box).await?;
            let leaving = status.targets.iter().filter(|t| t.leaving).count();
            (leaving == 1).then_some(())
        })
        .await;
    }
    let requests: Vec<CompletionRequest> = (0..20)
        .map(|i| request(format!("leaving {i}"), 2))
        .collect();
    let calls = requests.iter().enumerate().map(|(i, request)| {
        let entry = fleet.boxes[i % 2].callers();
        call(&fleet.client, entry, request)
    });
    for got in join_all(calls).await {
        assert!(got.is_answered(), "{got:?}");
    }
}
