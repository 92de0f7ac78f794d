//! Reads complete request bodies within limits of length and time.

use super::Failure;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::StatusCode;
use hyper::body::Body as _;
use sillpin_http::IncomingBody;
use sillpin_http::{ReadError, read_limited};
use std::time::Duration;

/// Limits on the bytes and time spent on reading the rest of a refused body.
const DISCARD_LEN: usize = 64 << 20;
const DISCARD_TIME: Duration = Duration::from_secs(5);

/// Reads a complete body of at most `limit` bytes that arrives within `time`.
pub async fn read(body: IncomingBody, limit: usize, time: Duration) -> Result<Bytes, Failure> {
    let too_long = || Failure::too_long(format!("the body is longer than {limit} bytes"));
    if body.size_hint().lower() > limit as u64 {
        tokio::spawn(discard(body));
        return Err(too_long());
    }
    let slow = || {
        let detail = format!("the body did not arrive within {} ms", time.as_millis());
        Failure::refused(
            StatusCode::REQUEST_TIMEOUT,
            "slow-sender",
            "Request too slow",
            detail,
        )
    };
    let read = tokio::time::timeout(time, read_limited(body, limit)).await;
    match read.map_err(|_| slow())? {
        Ok(bytes) => Ok(bytes),
        Err(ReadError::TooLong { .. }) => Err(too_long()),
        Err(_) => Err(Failure::bad_request("the body was cut off")),
    }
}

/// Reads and discards the rest of a body, within limits, so that a caller that is still sending
/// receives its response instead of a connection reset.
async fn discard(mut body: IncomingBody) {
    let mut left = DISCARD_LEN;
    let work = async {
        while let Some(Ok(frame)) = body.frame().await {
            let len = frame.data_ref().map_or(0, Bytes::len);
            left = left.saturating_sub(len);
            if left == 0 {
                return;
            }
        }
    };
    let _ = tokio::time::timeout(DISCARD_TIME, work).await;
}
