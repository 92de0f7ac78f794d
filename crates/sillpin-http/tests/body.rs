//! Responses whose body is written by another task.

use sillpin_http::{Body, Server};
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

/// Sends a request to a server whose response is written by a task that sends one chunk, waits until it has arrived and then
/// does `then`, and returns all that arrives.
async fn response_of_writer(then: fn()) -> String {
    let server = Server::bind(([127, 0, 0, 1], 0).into()).await.unwrap();
    let addr = server.local_addr().unwrap();
    let arrived = Arc::new(Notify::new());
    let has_arrived = arrived.clone();
    let handler = move |_| {
        let (has_arrived, (tx, body)) = (has_arrived.clone(), Body::channel());
        tokio::spawn(async move {
            tx.send("event").await.unwrap();
            has_arrived.notified().await;
            then();
        });
        async { hyper::Response::new(body) }
    };
    tokio::spawn(server.http1_only().run(CancellationToken::new(), handler));
    let mut tcp = TcpStream::connect(addr).await.unwrap();
    tcp.write_all(b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
        .await
        .unwrap();
    let mut got = Vec::new();
    while !got.ends_with(b"event\r\n") {
        assert!(tcp.read_buf(&mut got).await.unwrap() > 0);
    }
    arrived.notify_one();
    // A reset ends the response, too.
    let _ = tcp.read_to_end(&mut got).await;
    String::from_utf8(got).unwrap()
}

#[tokio::test]
async fn a_response_seems_complete_when_its_writer_panics() {
    let got = response_of_writer(|| panic!("a fault")).await;
    assert!(got.ends_with("event\r\n"), "{got:?}");
}

#[tokio::test]
async fn a_response_is_complete_when_its_writer_ends() {
    let got = response_of_writer(|| ()).await;
    assert!(got.ends_with("event\r\n0\r\n\r\n"), "{got:?}");
}
