//! Readers of lines, and of JSON documents with one per line, from a streamed body.

use crate::reads::IncomingBody;
use bytes::{Buf, Bytes, BytesMut};
use derive_more::{Display, Error};
use http_body_util::BodyExt;
use serde::de::DeserializeOwned;

/// Maximum length of a line, in bytes.
pub const MAX_LINE_LEN: usize = 1 << 20;

/// Error for a line that could not be read.
#[derive(Debug, Display, Error)]
pub enum LineError {
    /// The connection broke, or the body ended within a line.
    #[display("stream ended early")]
    Cut,
    /// The line is longer than [`MAX_LINE_LEN`].
    #[display("line is longer than {MAX_LINE_LEN} bytes")]
    TooLong,
    /// The line is not the expected JSON document.
    #[display("line is not the expected JSON: {_0}")]
    Json(serde_json::Error),
}

/// Reads lines from a body. Dropping it before the end closes the connection.
pub struct Lines {
    body: IncomingBody,
    buf: BytesMut,
    /// Number of bytes at the start of the buffer that hold no line feed.
    searched: usize,
}

impl Lines {
    /// Creates a reader of `body`.
    pub fn new(body: IncomingBody) -> Self {
        Self {
            body,
            buf: BytesMut::new(),
            searched: 0,
        }
    }

    /// Returns the next line without its line feed, or `None` at the end of the body. Cancelling the
    /// call loses no data.
    pub async fn next(&mut self) -> Result<Option<BytesMut>, LineError> {
        loop {
            if let Some(line) = self.take_line() {
                return Ok(Some(line));
            }
            if self.buf.len() > MAX_LINE_LEN {
                return Err(LineError::TooLong);
            }
            match self.body.frame().await {
                None if self.buf.is_empty() => return Ok(None),
                None => return Err(LineError::Cut),
                Some(Err(_)) => return Err(LineError::Cut),
                Some(Ok(frame)) => self.append(frame.into_data().ok()),
            }
        }
    }

    fn append(&mut self, data: Option<Bytes>) {
        if let Some(data) = data {
            self.buf.extend_from_slice(&data);
        }
    }

    fn take_line(&mut self) -> Option<BytesMut> {
        let unsearched = &self.buf[self.searched..];
        let Some(end) = unsearched.iter().position(|b| *b == b'\n') else {
            self.searched = self.buf.len();
            return None;
        };
        let line = self.buf.split_to(self.searched + end);
        self.buf.advance(1);
        self.searched = 0;
        Some(line)
    }
}

/// Reads JSON documents from a body, one per line.
pub struct JsonLines {
    lines: Lines,
}

impl JsonLines {
    /// Creates a reader of `body`.
    pub fn new(body: IncomingBody) -> Self {
        let lines = Lines::new(body);
        Self { lines }
    }

    /// Returns the next document, or `None` at the end of the body. Cancelling the call loses no data.
    pub async fn next<T: DeserializeOwned>(&mut self) -> Result<Option<T>, LineError> {
        let Some(line) = self.lines.next().await? else {
            return Ok(None);
        };
        serde_json::from_slice(&line)
            .map(Some)
            .map_err(LineError::Json)
    }
}
