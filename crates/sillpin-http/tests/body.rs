//! Responses whose body is written by another task.

use hyper::Response;
use hyper::header::CONTENT_LENGTH;
use rstest::rstest;
use sillpin_http::{Body, BodySender, Server};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

/// Sends a request to a server whose response, of this length if it names one, is written by a task that sends one chunk, waits until it
/// has arrived and then does `then`, and returns all that arrives.
async fn response_of_writer(len: Option<u64>, then: fn(BodySender)) -> String {
    let server = Server::bind(([127, 0, 0, 1], 0).into()).await.unwrap();
    let addr = server.local_addr().unwrap();
    let arrived = Arc::new(Notify::new());
    let has_arrived = arrived.clone();
    let handler = move |_| {
        let (has_arrived, (tx, body)) = (has_arrived.clone(), Body::channel());
        tokio::spawn(async move {
            tx.send("event").await.unwrap();
            has_arrived.notified().await;
            then(tx);
        });
        let mut resp = Response::new(body);
        if let Some(len) = len {
            resp.headers_mut().insert(CONTENT_LENGTH, len.into());
        }
        async { resp }
    };
    tokio::spawn(server.http1_only().run(CancellationToken::new(), handler));
    let mut tcp = TcpStream::connect(addr).await.unwrap();
    tcp.write_all(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        .await
        .unwrap();
    let mut got = Vec::new();
    while !String::from_utf8_lossy(&got).contains("event") {
        assert!(tcp.read_buf(&mut got).await.unwrap() > 0);
    }
    arrived.notify_one();
    // A reset ends the response, too. A connection that stays open has had its whole response.
    let rest = tokio::time::timeout(IDLE, tcp.read_to_end(&mut got)).await;
    let open = if rest.is_err() { " and open" } else { "" };
    let got = String::from_utf8(got).unwrap();
    let (_, body) = got.split_once("\r\n\r\n").unwrap();
    format!("{body}{open}")
}

/// Time without data after which a connection counts as idle.
const IDLE: Duration = Duration::from_millis(500);

const LEN: Option<u64> = Some(10);

#[rstest]
#[case::chunked(None, "5\r\nevent\r\n")]
#[case::length_delimited(LEN, "event")]
#[tokio::test]
async fn a_response_seems_complete_when_its_writer_panics(
    #[case] len: Option<u64>,
    #[case] body: &str,
) {
    let got = response_of_writer(len, |_tx| panic!("a fault")).await;
    assert_eq!(got, body);
}

#[rstest]
#[case::chunked(None, "5\r\nevent\r\n")]
#[case::length_delimited(LEN, "event")]
#[tokio::test]
async fn a_response_seems_complete_when_its_writer_ends_without_finishing_it(
    #[case] len: Option<u64>,
    #[case] body: &str,
) {
    let got = response_of_writer(len, drop).await;
    assert_eq!(got, body);
}

#[rstest]
#[case::chunked(None, "5\r\nevent\r\n0\r\n\r\n and open")]
#[case::length_delimited(Some(5), "event and open")]
#[tokio::test]
async fn a_response_is_incomplete_although_its_writer_finished_it(
    #[case] len: Option<u64>,
    #[case] body: &str,
) {
    let got = response_of_writer(len, BodySender::finish).await;
    assert_eq!(got, body);
}
