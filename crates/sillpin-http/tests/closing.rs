//! A server that closes connections on which a request has arrived and was not read yet.
//!
//! The tests write from the server's own thread, so that the request is in the kernel's buffer when the server closes.

use sillpin_http::{Body, Connections, Server};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

/// Time after which a wait in these tests fails.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Time without a request after which a connection may be closed for a new one, with a margin.
const IDLE: Duration = Duration::from_millis(1_100);

/// Connections that the server may hold.
const MAX: usize = 8;

/// Number of trials where the order of events is random.
const ROUNDS: usize = 12;

/// A request with a body.
const REQUEST: &[u8] = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody";

/// Starts a server that holds `max` connections; the task ends when it has stopped.
async fn start(max: usize) -> (SocketAddr, CancellationToken, JoinHandle<()>) {
    let server = Server::bind(([127, 0, 0, 1], 0).into()).await.unwrap();
    let addr = server.local_addr().unwrap();
    let server = server.http1_only().bounded_by(Connections::new(max));
    let stop = CancellationToken::new();
    let handler = |_| async { hyper::Response::new(Body::full("well")) };
    let task = tokio::spawn(server.run(stop.clone(), handler));
    (addr, stop, task)
}

/// Reads until the connection closes or "well" has arrived, and returns all that arrived.
async fn response(mut tcp: TcpStream) -> (String, TcpStream) {
    let reading = tokio::task::spawn_blocking(move || {
        let mut got = Vec::new();
        let mut buf = [0; 512];
        while !got.ends_with(b"well") {
            match tcp.read(&mut buf) {
                Ok(0) | Err(_) => break,
                Ok(len) => got.extend_from_slice(&buf[..len]),
            }
        }
        (String::from_utf8_lossy(&got).into_owned(), tcp)
    });
    tokio::time::timeout(TIMEOUT, reading)
        .await
        .unwrap()
        .unwrap()
}

/// Opens a connection and exchanges a request over it.
async fn kept_connection(addr: SocketAddr) -> TcpStream {
    let mut tcp = TcpStream::connect(addr).unwrap();
    tcp.write_all(REQUEST).unwrap();
    let (got, tcp) = response(tcp).await;
    assert!(got.ends_with("well"), "{got:?}");
    tcp
}

fn assert_last_response(got: &str) {
    assert!(got.starts_with("HTTP/1.1 200"), "{got:?}");
    assert!(got.contains("connection: close"), "{got:?}");
    assert!(got.ends_with("well"), "{got:?}");
}

#[tokio::test]
async fn a_request_on_a_kept_connection_gets_no_response_when_the_server_stops() {
    let (addr, stop, task) = start(MAX).await;
    let mut tcp = kept_connection(addr).await;
    tcp.write_all(REQUEST).unwrap();
    stop.cancel();
    assert_last_response(&response(tcp).await.0);
    tokio::time::timeout(TIMEOUT, task).await.unwrap().unwrap();
}

#[tokio::test]
async fn a_request_whose_head_arrives_in_two_parts_gets_no_response_when_the_server_stops() {
    let (addr, stop, task) = start(MAX).await;
    let mut tcp = kept_connection(addr).await;
    tcp.write_all(&REQUEST[..20]).unwrap();
    stop.cancel();
    tokio::task::yield_now().await;
    tcp.write_all(&REQUEST[20..]).unwrap();
    assert_last_response(&response(tcp).await.0);
    tokio::time::timeout(TIMEOUT, task).await.unwrap().unwrap();
}

#[tokio::test]
async fn a_request_on_a_connection_that_is_not_accepted_yet_gets_no_response_when_the_server_stops()
{
    let (addr, stop, task) = start(MAX).await;
    tokio::task::yield_now().await;
    let mut tcp = TcpStream::connect(addr).unwrap();
    tcp.write_all(REQUEST).unwrap();
    stop.cancel();
    assert_last_response(&response(tcp).await.0);
    tokio::time::timeout(TIMEOUT, task).await.unwrap().unwrap();
}

/// Makes the clock that connections are measured by pass `time`.
async fn advance(time: Duration) {
    tokio::time::pause();
    tokio::time::advance(time).await;
    tokio::time::resume();
}

#[tokio::test]
async fn a_request_gets_no_response_when_its_connection_is_closed_for_a_new_one() {
    // Whether the server notices the request or the new connection first is random.
    for _ in 0..ROUNDS {
        let (addr, _stop, _task) = start(MAX).await;
        let mut kept = Vec::new();
        for _ in 0..MAX {
            kept.push(kept_connection(addr).await);
        }
        advance(IDLE).await;
        let mut longest_idle = kept.remove(0);
        let newest = TcpStream::connect(addr).unwrap();
        longest_idle.write_all(REQUEST).unwrap();
        let (got, _) = response(longest_idle).await;
        assert!(got.ends_with("well"), "{got:?}");
        drop(newest);
    }
}

#[tokio::test]
async fn idle_connections_stay_open_when_the_server_stops() {
    let (addr, stop, task) = start(MAX).await;
    let (kept, unused) = (
        kept_connection(addr).await,
        TcpStream::connect(addr).unwrap(),
    );
    stop.cancel();
    tokio::time::timeout(TIMEOUT, task).await.unwrap().unwrap();
    for tcp in [kept, unused] {
        assert_eq!(response(tcp).await.0, "");
    }
}
