//! Integration tests of the `sillpin` command line and of metrics, against a running fleet.

use sillpin_load::caller::{CallResult, CompletionRequest, call};
use sillpin_testsuite::fleet::{MODEL, api_key};
use sillpin_testsuite::process::program;
use sillpin_testsuite::wait::until;
use sillpin_testsuite::{Fleet, FleetShape};
use std::process::Command;

/// Runs `sillpin`; returns its exit code, standard output and standard error.
fn sillpin(args: &[&str]) -> (Option<i32>, String, String) {
    let out = Command::new(program("sillpin"))
        .args(args)
        .output()
        .unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (out.status.code(), text(out.stdout), text(out.stderr))
}

#[tokio::test(flavor = "multi_thread")]
async fn a_bundle_goes_from_new_to_in_force() {
    let fleet = Fleet::start_without_bundle(FleetShape::default()).await;
    let platform = fleet.platform.addr("platform").to_string();
    let peer = fleet.boxes[0].peer().to_string();
    let text = serde_json::to_string_pretty(&fleet.bundle("by-hand")).unwrap();
    let file = fleet.write("bundle.json", &text).display().to_string();
    let key = fleet.dir().join("key.pem").display().to_string();
    let (code, public, _) = sillpin(&["key", &key]);
    assert_eq!((code, public.trim().len()), (Some(0), 44));
    let (code, checked, _) = sillpin(&["bundle", "check", &file, "--json"]);
    assert_eq!(code, Some(0));
    assert!(
        checked.starts_with(r#"{"name":"by-hand","digest":""#),
        "{checked}"
    );
    let (code, signed, _) = sillpin(&["bundle", "sign", &file, &key]);
    assert_eq!(code, Some(0));
    let signed = fleet.write("signed.json", &signed).display().to_string();
    let accept = [
        "bundle",
        "accept",
        &signed,
        "--platform",
        &platform,
        "--operator",
        "asha",
    ];
    let (code, accepted, _) = sillpin(&accept);
    assert_eq!(code, Some(0));
    assert!(accepted.starts_with("revision 1 digest "), "{accepted}");
    let stale = [&accept[..], &["--expect", "0"]].concat();
    let (code, _, error) = sillpin(&stale);
    assert_eq!(code, Some(4));
    assert_eq!(error, "error: revision 1 is in force, not 0\n");
    fleet.accept(&fleet.bundle("trusted")).await;
    until("the trusted bundle to be in force", || async {
        let (_, rows, _) = sillpin(&["bundle", "status", "--keeper", &peer]);
        (rows == "kariakoo-0 revision 2 live\n").then_some(())
    })
    .await;
    let (code, log, _) = sillpin(&["bundle", "log", "--platform", &platform]);
    assert_eq!((code, log.lines().count()), (Some(0), 2));
}

#[tokio::test(flavor = "multi_thread")]
async fn status_and_explain_describe_a_served_request() {
    let fleet = Fleet::start(FleetShape {
        boxes: 2,
        ..FleetShape::default()
    })
    .await;
    let request =
        CompletionRequest::new(&api_key("riders"), MODEL, "Explain me. ".repeat(1_000), 3);
    let got = call(&fleet.client, fleet.boxes[0].callers(), &request).await;
    let CallResult::Answered {
        request: Some(request),
        ..
    } = got
    else {
        panic!("{got:?}");
    };
    let other = fleet.boxes[1].peer().to_string();
    let request = request.to_string();
    let explained = until("the record to arrive", || async {
        let (code, text, _) = sillpin(&["explain", &request, "--keeper", &other]);
        (code == Some(0)).then_some(text)
    })
    .await;
    assert!(
        explained.contains("taken by kariakoo-0 in kariakoo, organisation riders"),
        "{explained}"
    );
    assert!(explained.contains("(home): cost "), "{explained}");
    assert!(
        explained.contains("outcome ran, first token after "),
        "{explained}"
    );
    let (code, status, _) = sillpin(&["status", "--keeper", &other]);
    assert_eq!(code, Some(0));
    assert!(status.contains("revision 1 (first, digest "), "{status}");
    assert!(
        status.contains("engine-kariakoo-0 engine mfano-llm kariakoo"),
        "{status}"
    );
    let unknown = uuid::Uuid::now_v7().to_string();
    let (code, _, error) = sillpin(&["explain", &unknown, "--keeper", &other]);
    assert_eq!(code, Some(5));
    assert_eq!(
        error,
        format!("error: no box has a record of {unknown} (0 not reached)\n")
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn metrics_count_requests_by_organisation_and_arm() {
    let fleet = Fleet::start(FleetShape::default()).await;
    let http = fleet.boxes[0].entry.addr("http");
    let call = sillpin_http::client::Call {
        step: "read metrics",
        peer: http,
        method: hyper::Method::GET,
        path: "/metrics",
        timeout: std::time::Duration::from_secs(2),
    };
    let resp = fleet.client.call(call, None::<&()>).await.unwrap();
    let page = sillpin_http::read_limited(resp.into_body(), 1 << 20)
        .await
        .unwrap();
    let page = String::from_utf8(page.to_vec()).unwrap();
    let line = page
        .lines()
        .find(|line| line.starts_with("sillpin_requests_total"));
    let line = line.unwrap_or_else(|| panic!("{page}"));
    for label in [
        "organisation=\"riders\"",
        "arm=\"control\"",
        "outcome=\"ran\"",
        "revision=\"1\"",
    ] {
        assert!(line.contains(label), "{line}");
    }
    assert!(
        page.contains("sillpin_first_token_seconds_bucket"),
        "{page}"
    );
}
