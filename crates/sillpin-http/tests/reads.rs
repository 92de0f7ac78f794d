//! Servers that send bytes which belong to no response without end.

use hyper::Method;
use rstest::rstest;
use sillpin_http::Client;
use sillpin_http::client::Call;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::time::Duration;
use tokio::time::Instant;

/// Number of bytes that are written at once.
const BLOCK_LEN: usize = 64 << 10;

/// Time-out of a call.
const TIMEOUT: Duration = Duration::from_millis(800);

/// Interval of a timer on the client's thread, and how late it may fire.
const TICK: Duration = Duration::from_millis(10);
const MAX_DELAY: Duration = Duration::from_millis(100);

/// Starts a server that sends `start` and then `piece` until its peer closes the connection.
fn start_server(start: String, piece: &str) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let addr = listener.local_addr().unwrap();
    let block = piece.repeat(BLOCK_LEN / piece.len());
    std::thread::spawn(move || {
        for tcp in listener.incoming() {
            let (mut tcp, start, block) = (tcp.unwrap(), start.clone(), block.clone());
            std::thread::spawn(move || {
                let _ = tcp.read(&mut [0; 4096]);
                let mut sent = tcp.write_all(start.as_bytes());
                while sent.is_ok() {
                    sent = tcp.write_all(block.as_bytes());
                }
            });
        }
    });
    addr
}

const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

#[rstest]
#[case::interim_responses(String::new(), "HTTP/1.1 100 Continue\r\n\r\n")]
#[case::empty_lines(String::new(), "\r\n")]
#[case::zeros_of_a_size(CHUNKED.to_owned(), "0")]
#[case::blanks_after_a_size(format!("{CHUNKED}f"), " ")]
#[case::extension(format!("{CHUNKED}f;"), "e")]
#[case::data(format!("{CHUNKED}ffffffff\r\n"), "x")]
#[tokio::test]
async fn a_server_that_sends_bytes_without_end_stops_the_clients_timers(
    #[case] start: String,
    #[case] piece: &str,
) {
    let peer = start_server(start, piece);
    let client = Client::default();
    let call = Call {
        step: "read",
        peer,
        method: Method::GET,
        path: "/",
        timeout: TIMEOUT,
    };
    let ticking = tokio::spawn(async {
        let mut slowest = Duration::ZERO;
        let began = Instant::now();
        while began.elapsed() < 2 * TIMEOUT {
            let tick = Instant::now();
            tokio::time::sleep(TICK).await;
            slowest = slowest.max(tick.elapsed() - TICK);
        }
        slowest
    });
    let began = Instant::now();
    let result: Result<serde_json::Value, _> = client.call_json(call, None::<&()>).await;
    assert!(result.is_err());
    assert!(
        began.elapsed() <= TIMEOUT + MAX_DELAY,
        "{:?}",
        began.elapsed()
    );
    let slowest = ticking.await.unwrap();
    assert!(slowest <= MAX_DELAY, "a timer was {slowest:?} late");
}

#[tokio::test]
async fn a_body_in_short_chunks_is_cut_off() {
    const LEN: usize = 400_000;
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let peer = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut tcp, _) = listener.accept().unwrap();
        let _ = tcp.read(&mut [0; 4096]);
        let chunks = "00000008\r\n01234567\r\n".repeat(LEN / 8);
        tcp.write_all(format!("{CHUNKED}{chunks}0\r\n\r\n").as_bytes())
            .unwrap();
    });
    let call = Call {
        step: "read",
        peer,
        method: Method::GET,
        path: "/",
        timeout: TIMEOUT,
    };
    let response = Client::default().call(call, None::<&()>).await.unwrap();
    let body = sillpin_http::read_limited(response.into_body(), LEN).await;
    assert_eq!(body.unwrap().len(), LEN);
}
