//! Reads and drops what remains of the body of a request that was refused before all of it had arrived.
//!
//! A connection that is closed with a part of a body unread is reset, which may destroy the refusal on its way, and ends
//! under the caller's next request.

use http_body_util::BodyExt;
use hyper::body::Body;
use sillpin_http::IncomingBody;
use std::time::Duration;

/// Longest rest that is read, in bytes. A longer one costs more than another connection.
const MAX_LEN: u64 = 1 << 20;

/// Longest time for which a rest is read.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Reads and drops the rest of a body in the background. Returns whether the connection can serve another request
/// afterwards, as far as is known now. The rest is not read if the caller waits to be told to send it.
pub(super) fn discard_rest(body: IncomingBody, awaits_continue: bool) -> bool {
    if body.is_end_stream() {
        return true;
    }
    if awaits_continue || body.size_hint().lower() > MAX_LEN {
        return false;
    }
    tokio::spawn(tokio::time::timeout(TIMEOUT, discard(body)));
    true
}

async fn discard(mut body: IncomingBody) {
    let mut len = 0;
    while let Some(Ok(frame)) = body.frame().await {
        len += frame.data_ref().map_or(0, |data| data.len() as u64);
        if len > MAX_LEN {
            return;
        }
    }
}
