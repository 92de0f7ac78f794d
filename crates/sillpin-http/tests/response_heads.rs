//! Servers whose responses have spoilt heads.

use hyper::Method;
use rstest::rstest;
use sillpin_http::client::{Call, CallFault};
use sillpin_http::{Client, Sent};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Starts a server that answers each request with `response` and keeps connections open; counts connections.
fn start_server(response: String) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let addr = listener.local_addr().unwrap();
    let connections = Arc::<AtomicUsize>::default();
    let counted = connections.clone();
    std::thread::spawn(move || {
        for tcp in listener.incoming() {
            let (mut tcp, response) = (tcp.unwrap(), response.clone());
            counted.fetch_add(1, Ordering::Relaxed);
            std::thread::spawn(move || {
                let mut buf = [0; 4096];
                while tcp.read(&mut buf).is_ok_and(|len| len > 0) {
                    if tcp.write_all(response.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    (addr, connections)
}

async fn call(client: &Client, peer: SocketAddr) -> Result<serde_json::Value, CallFault> {
    let call = Call {
        step: "read",
        peer,
        method: Method::GET,
        path: "/",
        timeout: Duration::from_secs(2),
    };
    let result = client.call_json(call, None::<&()>).await;
    result.map_err(|e| {
        assert_eq!(e.sent, Sent::Maybe, "{e}");
        e.fault
    })
}

/// Guards against documents of the store, of engines and of cache stores that are taken from responses with spoilt heads.
#[rstest]
#[case::short_length_beside_chunks(
    "200 OK",
    "Content-Length: 1\r\nTransfer-Encoding: chunked",
    true
)]
#[case::length_beside_chunks("200 OK", "Transfer-Encoding: chunked\r\nContent-Length: 2", true)]
#[case::two_lengths("200 OK", "Content-Length: 1\r\nContent-Length: 2", false)]
#[case::no_number("200 OK", "Content-Length: 2x", false)]
#[case::unknown_coding("200 OK", "Transfer-Encoding: gzip, chunked", true)]
#[case::two_codings(
    "200 OK",
    "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
    true
)]
#[case::no_field("200 OK", "no field\r\nContent-Length: 2", false)]
#[case::blank_in_a_name("200 OK", "Content Length: 1\r\nContent-Length: 2", false)]
#[case::control_byte_in_a_name("200 OK", "X\u{1}: 1\r\nContent-Length: 2", false)]
#[case::control_byte_in_a_value("200 OK", "X: \u{1}\r\nContent-Length: 2", false)]
#[case::folded("200 OK", "X: a\r\n b\r\nContent-Length: 2", false)]
#[case::status_000("000 OK", "Content-Length: 2", false)]
#[case::status_600("600 OK", "Content-Length: 2", false)]
#[case::status_999("999 OK", "Content-Length: 2", false)]
#[case::other_protocol("101 Switching Protocols", "Content-Length: 2", false)]
#[tokio::test]
async fn a_response_with_a_spoilt_head_is_read(
    #[case] status: &str,
    #[case] lines: &str,
    #[case] is_chunked: bool,
) {
    let body = match is_chunked {
        true => "2\r\n[]\r\n0\r\n\r\n",
        false => "[]",
    };
    let (peer, connections) = start_server(format!("HTTP/1.1 {status}\r\n{lines}\r\n\r\n{body}"));
    let client = Client::default();
    for calls in 1..=3 {
        let result = call(&client, peer).await;
        let is_head = matches!(result, Err(CallFault::Head(_) | CallFault::Connection(_)));
        assert!(is_head, "{result:?}");
        assert_eq!(
            connections.load(Ordering::Relaxed),
            calls,
            "a connection is used again"
        );
    }
}

#[rstest]
#[case::same_length_twice("Content-Length: 2\r\nContent-Length: 2", "[]")]
#[case::extensions_and_trailers("Transfer-Encoding: Chunked", "2;a=b\r\n[]\r\n0;c\r\nX: y\r\n\r\n")]
#[tokio::test]
async fn a_sound_response_in_an_unusual_form_is_refused(#[case] lines: &str, #[case] body: &str) {
    let (peer, connections) = start_server(format!("HTTP/1.1 200\r\n{lines}\r\n\r\n{body}"));
    let client = Client::default();
    for _ in 0..3 {
        assert_eq!(call(&client, peer).await.unwrap(), serde_json::json!([]));
    }
    assert_eq!(connections.load(Ordering::Relaxed), 1);
}
