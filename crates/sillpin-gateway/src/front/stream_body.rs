//! The body of a stream, of which the beginning can be read ahead.

use super::events::{MAX_EVENT_LEN, OVERLONG_EVENT, append, end_of_last_event};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use sillpin_http::IncomingBody;
use tokio::time::Instant;

/// Data of a stream, its end, or the error by which it broke off.
pub type StreamPart = Option<Result<Bytes, hyper::Error>>;

/// How a stream began.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Begun {
    /// With an event.
    Event,
    /// It ended without an event.
    Ended,
    /// It broke off before its first event was complete.
    Broken(String),
}

/// The body of a stream.
#[derive(Debug)]
pub struct StreamBody {
    /// What was read ahead.
    ahead: BytesMut,
    /// What followed that: the end, or an error.
    end: Option<StreamPart>,
    rest: IncomingBody,
    opened: Instant,
}

impl StreamBody {
    /// Creates the body from a response's.
    pub fn new(rest: IncomingBody) -> Self {
        Self {
            ahead: BytesMut::new(),
            end: None,
            rest,
            opened: Instant::now(),
        }
    }

    /// When the head of the stream arrived.
    pub fn opened(&self) -> Instant {
        self.opened
    }

    /// Returns the next data; `None` at the end. Loses nothing if it is dropped while it waits.
    pub async fn next(&mut self) -> StreamPart {
        if !self.ahead.is_empty() {
            return Some(Ok(self.ahead.split().freeze()));
        }
        match self.end.take() {
            Some(end) => end,
            None => self.read().await,
        }
    }

    /// Reads ahead until the first event is complete, and returns how the stream begins. Loses nothing if it is dropped
    /// while it waits.
    pub async fn begin(&mut self) -> Begun {
        let mut is_begun = end_of_last_event(&self.ahead) > 0;
        while !is_begun {
            if self.ahead.len() > MAX_EVENT_LEN {
                return Begun::Broken(OVERLONG_EVENT.to_owned());
            }
            match self.read().await {
                Some(Ok(data)) => is_begun = append(&mut self.ahead, &data) > 0,
                None if self.ahead.is_empty() => {
                    self.end = Some(None);
                    return Begun::Ended;
                }
                None => return Begun::Broken("stream ended within an event".to_owned()),
                Some(Err(e)) => return Begun::Broken(format!("stream broke off: {e}")),
            }
        }
        Begun::Event
    }

    async fn read(&mut self) -> StreamPart {
        let frame = self.rest.frame().await?;
        Some(frame.map(|frame| frame.into_data().unwrap_or_default()))
    }
}
