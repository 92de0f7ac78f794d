//! Streams of which the beginning is read ahead.

use hyper::Method;
use sillpin_gateway::front::stream_body::{Begun, StreamBody};
use sillpin_http::Client;
use sillpin_http::client::Call;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const TIMEOUT: Duration = Duration::from_secs(10);

#[tokio::test]
async fn a_first_event_without_end_is_read_ahead_without_a_limit() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let peer = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut tcp, _) = listener.accept().await.unwrap();
        let _ = tcp.read(&mut [0; 4096]).await;
        let head = b"HTTP/1.1 200 OK\r\n\r\n";
        let mut sent = tcp.write_all(head).await;
        while sent.is_ok() {
            sent = tcp.write_all(&[b'x'; 16 << 10]).await;
        }
    });
    let call = Call {
        step: "stream",
        peer,
        method: Method::GET,
        path: "/",
        timeout: TIMEOUT,
    };
    let response = Client::default().call(call, None::<&()>).await.unwrap();
    let mut body = StreamBody::new(response.into_body());
    let begun = tokio::time::timeout(TIMEOUT, body.begin()).await;
    let expected = Begun::Broken("event exceeds the maximum length".to_owned());
    assert_eq!(begun, Ok(expected));
}
