//! Memory of responses that callers read slowly or not at all.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use sillpin_gateway::front::body_memory::{BodyError, BodyMemory};
use sillpin_http::Body;
use std::time::Duration;
use tokio::time::advance;

/// Memory for bodies.
const LIMIT: usize = 1 << 20;

/// Length of a response.
const LEN: usize = 100_000;

fn memory() -> BodyMemory {
    BodyMemory::new(LIMIT, sillpin_telemetry::logs::discard())
}

async fn response(memory: &BodyMemory, id: usize) -> Result<Body, BodyError> {
    let body = Full::new(Bytes::from(vec![id as u8; LEN]));
    let buffered = memory.read(body, LEN).await?;
    Ok(memory.response_body(&format!("r-{id}"), buffered))
}

/// Reads one piece; `None` if the body ended with an error.
async fn piece(body: &mut Body) -> Option<Bytes> {
    let frame = body.frame().await.expect("more pieces");
    frame.ok()?.into_data().ok()
}

/// Guards against callers that stop reading and use up a box's memory.
#[tokio::test(start_paused = true)]
async fn responses_that_nobody_reads_are_dropped_for_others() {
    let memory = memory();
    let mut held = Vec::new();
    for id in 0..500 {
        advance(Duration::from_millis(100)).await;
        held.push(response(&memory, id).await.expect("memory"));
        assert!(memory.used() <= LIMIT, "{} bytes", memory.used());
    }
    let mut complete = 0;
    for mut body in held {
        complete += usize::from(piece(&mut body).await.is_some());
    }
    assert_eq!(complete, LIMIT / LEN);
}

/// Guards against callers that read, though slowly, and lose their response to others that do not read.
#[tokio::test(start_paused = true)]
async fn the_response_that_was_not_read_for_longest_is_dropped_first() {
    let memory = memory();
    let mut slow = response(&memory, 0).await.expect("memory");
    let mut held = Vec::new();
    let mut received = Vec::new();
    for id in 1..30 {
        advance(Duration::from_millis(600)).await;
        if received.len() < LEN {
            received.extend(piece(&mut slow).await.expect("not dropped"));
        }
        held.push(response(&memory, id).await.expect("memory"));
    }
    assert_eq!(received, vec![0; LEN]);
}

/// Guards against the loss of responses that are being read while many arrive at once.
#[tokio::test(start_paused = true)]
async fn a_response_is_not_dropped_while_its_caller_reads() {
    let memory = memory();
    let mut held = Vec::new();
    for id in 0..LIMIT / LEN {
        held.push(response(&memory, id).await.expect("memory"));
    }
    let refused = response(&memory, 99).await;
    assert_eq!(refused.err(), Some(BodyError::NoMemory));
    for body in &mut held {
        assert!(piece(body).await.is_some());
    }
}

/// Guards against memory that stays reserved after a caller has read its response, or has gone.
#[tokio::test(start_paused = true)]
async fn memory_of_ended_responses_is_used_again() {
    let memory = memory();
    for id in 0..100 {
        let mut body = response(&memory, id).await.expect("memory");
        if id % 2 == 0 {
            let read = body.collect().await.expect("complete").to_bytes();
            assert_eq!(read, vec![id as u8; LEN]);
        } else {
            piece(&mut body).await.expect("a piece");
        }
    }
    assert!(memory.used() <= LIMIT);
}
