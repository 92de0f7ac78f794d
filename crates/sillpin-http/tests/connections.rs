//! A server that gets more connections than it may hold.

use sillpin_http::{Body, Connections, Server};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Connections that the server may hold.
const MAX: usize = 16;

/// Connections beyond the bound while others close.
const MARGIN: usize = 2;

/// Time after which a wait in these tests fails.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Starts a server that answers once `answers` is true.
async fn start(answers: watch::Receiver<bool>) -> (SocketAddr, Connections) {
    let connections = Connections::new(MAX);
    let server = Server::bind(([127, 0, 0, 1], 0).into()).await.unwrap();
    let addr = server.local_addr().unwrap();
    let server = server.http1_only().bounded_by(connections.clone());
    let handler = move |_| {
        let mut answers = answers.clone();
        async move {
            answers.wait_for(|answers| *answers).await.unwrap();
            hyper::Response::new(Body::full("well"))
        }
    };
    tokio::spawn(server.run(CancellationToken::new(), handler));
    (addr, connections)
}

async fn send(tcp: &mut TcpStream) {
    let sent = tcp.write_all(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    sent.await.unwrap();
}

/// Reads until "well"; false if the connection closes before.
async fn is_answered(tcp: &mut TcpStream) -> bool {
    let mut got = Vec::new();
    let reading = async {
        loop {
            let mut buf = [0; 512];
            match tcp.read(&mut buf).await {
                Ok(0) | Err(_) => return false,
                Ok(len) => got.extend_from_slice(&buf[..len]),
            }
            if got.ends_with(b"well") {
                return true;
            }
        }
    };
    tokio::time::timeout(TIMEOUT, reading).await.unwrap()
}

#[tokio::test]
async fn of_ten_times_the_connections_those_that_are_read_are_served_and_the_others_closed_unread()
{
    let (tx, answers) = watch::channel(false);
    let (addr, connections) = start(answers).await;
    let mut callers = Vec::new();
    for _ in 0..10 * MAX {
        let mut tcp = TcpStream::connect(addr).await.unwrap();
        // Fails if the server has closed it already.
        let _ = tcp.write_all(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n").await;
        callers.push(tcp);
    }
    tokio::time::timeout(TIMEOUT, async {
        while connections.refused() < 9 * MAX as u64 {
            tokio::task::yield_now().await;
        }
    })
    .await
    .unwrap();
    assert_eq!(connections.open(), MAX);
    tx.send_replace(true);
    let mut served = 0;
    for tcp in &mut callers {
        served += usize::from(is_answered(tcp).await);
    }
    assert_eq!(served, MAX);
}

#[tokio::test]
async fn a_connection_that_has_been_idle_is_closed_for_a_new_one() {
    let (_tx, answers) = watch::channel(true);
    let (addr, connections) = start(answers).await;
    let mut idle = Vec::new();
    for _ in 0..MAX {
        let mut tcp = TcpStream::connect(addr).await.unwrap();
        send(&mut tcp).await;
        assert!(is_answered(&mut tcp).await);
        idle.push(tcp);
    }
    let served = async {
        loop {
            let mut tcp = TcpStream::connect(addr).await.unwrap();
            let _ = tcp.write_all(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n").await;
            if is_answered(&mut tcp).await {
                return tcp;
            }
        }
    };
    let newest = tokio::time::timeout(TIMEOUT, served).await.unwrap();
    assert_eq!(connections.replaced(), 1);
    assert!(connections.open() <= MAX + MARGIN);
    let first = &mut idle[0];
    assert!(!is_answered(first).await, "the one that was idle longest");
    drop(newest);
    send(&mut idle[1]).await;
    assert!(is_answered(&mut idle[1]).await);
}
