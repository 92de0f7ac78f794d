//! Whole events out of a stream's bytes.
//!
//! A target may stop partway through an event, so only whole events are passed on, and the id of the
//! last one is remembered for a resumption.

use bytes::{Bytes, BytesMut};

/// Longest event held back until it is whole.
pub const MAX_EVENT_LEN: usize = 256 << 10;

const ID_FIELD: &[u8] = b"id:";

/// Splits bytes into whole events and a rest.
#[derive(Debug, Default)]
pub struct EventSplitter {
    rest: BytesMut,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Goes on behind an event that was passed on before.
    pub fn after(last_id: Option<String>) -> Self {
        let rest = BytesMut::new();
        Self { rest, last_id }
    }

    /// Takes bytes and gives the whole events that are there now; empty if none is.
    pub fn push(&mut self, data: &[u8]) -> Bytes {
        self.rest.extend_from_slice(data);
        let end = end_of_last_event(&self.rest);
        let whole = self.rest.split_to(end).freeze();
        if let Some(id) = last_id(&whole) {
            self.last_id = Some(id);
        }
        whole
    }

    /// Whether an event has begun and is not whole.
    pub fn is_partial(&self) -> bool {
        !self.rest.is_empty()
    }

    /// Whether the event that has begun is too long to hold back.
    pub fn is_overlong(&self) -> bool {
        self.rest.len() > MAX_EVENT_LEN
    }

    /// Id of the last whole event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

/// Where the last empty line ends; 0 if there is none.
fn end_of_last_event(buf: &[u8]) -> usize {
    let mut end = buf.len();
    while end >= 2 {
        let line_ends = buf[end - 1] == b'\n';
        let before = &buf[..end - 1];
        if line_ends && (before.ends_with(b"\n") || before.ends_with(b"\n\r")) {
            return end;
        }
        end -= 1;
    }
    0
}

fn last_id(events: &[u8]) -> Option<String> {
    let lines = events.split(|b| *b == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(ID_FIELD));
    let id = ids.next_back()?;
    let text = std::str::from_utf8(id).ok()?;
    Some(text.trim().to_owned())
}
