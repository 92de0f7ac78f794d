//! The interface for callers: limits and errors, HTTP/1.1 and HTTP/2, plain services.

use hyper::{Method, Request, StatusCode};
use rstest::rstest;
use sillpin_core::{Outcome, Problem};
use sillpin_http::body::read_json;
use sillpin_http::{Body, read_limited};
use sillpin_testsuite::fleet::{SERVICE_POOL, api_key};
use sillpin_testsuite::{Fleet, FleetShape};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Sends a request and returns the status and problem document of its response.
async fn problem_of(fleet: &Fleet, req: Request<Body>) -> (u16, Problem) {
    let entry = fleet.boxes[0].callers();
    let resp = fleet.client.send("ask", entry, req).await.unwrap();
    let status = resp.status().as_u16();
    (status, read_json(resp.into_body(), 1 << 16).await.unwrap())
}

fn post(fleet: &Fleet, path: &str, body: impl Into<bytes::Bytes>) -> Request<Body> {
    let entry = fleet.boxes[0].callers();
    Request::builder()
        .method(Method::POST)
        .uri(format!("http://{entry}{path}"))
        .header("authorization", format!("Bearer {}", api_key("riders")))
        .body(Body::full(body))
        .unwrap()
}

#[tokio::test]
async fn requests_that_cannot_be_served_are_refused_clearly() {
    let fleet = Fleet::start(FleetShape {
        entry_settings: vec![
            "entry.drain-lag-ms=0",
            "limits.body-bytes=60000",
            "limits.blocks=3",
        ],
        ..FleetShape::default()
    })
    .await;
    let long_body = "x".repeat(70_000);
    let long_prompt = format!(r#"{{"model":"mfano","prompt":"{}"}}"#, "x".repeat(20_000));
    let cases: [(&str, bytes::Bytes, u16, &str); 9] = [
        (
            "/v1/completions",
            "{".into(),
            400,
            "the body is not the expected JSON",
        ),
        (
            "/v1/completions",
            vec![0xff, 0xfe].into(),
            400,
            "the body is not UTF-8",
        ),
        (
            "/v1/completions",
            r#"{"model":"mfano","prompt":""}"#.into(),
            400,
            "prompt must not be empty",
        ),
        (
            "/v1/completions",
            r#"{"model":"mfano","prompt":"a","max_tokens":0}"#.into(),
            400,
            "max_tokens must be from 1 to 8192",
        ),
        (
            "/v1/completions",
            r#"{"model":"other","prompt":"a"}"#.into(),
            404,
            "no pool serves model other",
        ),
        (
            "/v1/completions",
            long_body.into(),
            413,
            "the body is longer than 60000 bytes",
        ),
        (
            "/v1/completions",
            long_prompt.into(),
            413,
            "the prompt has more than 3 blocks",
        ),
        (
            "/services/nobody/x",
            "".into(),
            404,
            "no pool of services is named nobody",
        ),
        (
            "/v2/other",
            "".into(),
            404,
            "nothing is served at /v2/other",
        ),
    ];
    for (path, body, status, detail) in cases {
        let (got, problem) = problem_of(&fleet, post(&fleet, path, body)).await;
        assert_eq!(
            (got, problem.outcome),
            (status, Outcome::NotRun),
            "{problem:?}"
        );
        assert!(problem.detail.starts_with(detail), "{problem:?}");
    }
}

#[rstest]
#[case("sillpin-priority", "soon")]
#[case("sillpin-deadline-ms", "0")]
#[case("sillpin-deadline-ms", "-1")]
#[case("idempotency-key", "")]
#[tokio::test]
async fn bad_headers_are_refused(#[case] name: &str, #[case] value: &str) {
    let fleet = Fleet::start(FleetShape::default()).await;
    let mut req = post(
        &fleet,
        "/v1/completions",
        r#"{"model":"mfano","prompt":"a"}"#,
    );
    let name: hyper::header::HeaderName = name.parse().unwrap();
    req.headers_mut().insert(name, value.parse().unwrap());
    let (status, problem) = problem_of(&fleet, req).await;
    assert_eq!(
        (status, problem.outcome),
        (400, Outcome::NotRun),
        "{problem:?}"
    );
}

#[tokio::test]
async fn a_slow_request_body_is_refused() {
    let fleet = Fleet::start(FleetShape {
        entry_settings: vec!["entry.drain-lag-ms=0", "limits.body-ms=200"],
        ..FleetShape::default()
    })
    .await;
    let mut tcp = TcpStream::connect(fleet.boxes[0].callers()).await.unwrap();
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {}\r\ncontent-length: 100\r\n\r\n{{",
        api_key("riders")
    );
    tcp.write_all(head.as_bytes()).await.unwrap();
    let mut response = vec![0; 64];
    let read = tokio::time::timeout(Duration::from_secs(5), tcp.read(&mut response)).await;
    let len = read.unwrap().unwrap();
    assert!(
        response[..len].starts_with(b"HTTP/1.1 408"),
        "{:?}",
        String::from_utf8_lossy(&response)
    );
}

#[tokio::test]
async fn http_2_without_tls_is_accepted() {
    let fleet = Fleet::start(FleetShape::default()).await;
    let mut tcp = TcpStream::connect(fleet.boxes[0].callers()).await.unwrap();
    let preface = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00";
    tcp.write_all(preface).await.unwrap();
    let mut frame = [0; 9];
    tcp.read_exact(&mut frame).await.unwrap();
    const SETTINGS: u8 = 4;
    assert_eq!(frame[3], SETTINGS);
}

#[tokio::test]
async fn a_service_call_is_forwarded_with_body_path_and_headers() {
    let fleet = Fleet::start(FleetShape::default()).await;
    let body = "swap ".repeat(100_000);
    let req = post(
        &fleet,
        &format!("/services/{SERVICE_POOL}/swaps?depot=3"),
        body.clone(),
    );
    let entry = fleet.boxes[0].callers();
    let resp = fleet.client.send("swap", entry, req).await.unwrap();
    assert_eq!(resp.status(), StatusCode::OK);
    assert!(resp.headers().contains_key("sillpin-request-id"));
    let echoed = read_limited(resp.into_body(), 1 << 20).await.unwrap();
    assert_eq!(echoed, body);
}

#[tokio::test]
async fn a_chat_request_gets_a_chat_document() {
    let fleet = Fleet::start(FleetShape::default()).await;
    let body =
        r#"{"model":"mfano","max_tokens":3,"messages":[{"role":"user","content":"Habari"}]}"#;
    let entry = fleet.boxes[0].callers();
    let req = post(&fleet, "/v1/chat/completions", body);
    let resp = fleet.client.send("chat", entry, req).await.unwrap();
    let document: serde_json::Value = read_json(resp.into_body(), 1 << 16).await.unwrap();
    assert_eq!(document["object"], "chat.completion");
    assert_eq!(document["choices"][0]["message"]["role"], "assistant");
    assert_eq!(document["usage"]["completion_tokens"], 3);
}
