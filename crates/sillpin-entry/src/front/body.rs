//! Bodies of requests, read whole within limits.

use super::Failure;
use bytes::Bytes;
use hyper::StatusCode;
use hyper::body::{Body as _, Incoming};
use sillpin_http::{ReadError, read_limited};
use std::time::Duration;

/// Reads a body of at most `limit` bytes that arrives within `time`.
pub async fn read(body: Incoming, limit: usize, time: Duration) -> Result<Bytes, Failure> {
    let too_long = || Failure::too_long(format!("the body is longer than {limit} bytes"));
    if body.size_hint().lower() > limit as u64 {
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
