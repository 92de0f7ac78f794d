//! Splits a stream's bytes into complete events.
//!
//! A stream may be cut off within an event, so only complete events are passed on, and the id of the last one is kept
//! for a resumption.

use bytes::{Bytes, BytesMut};

/// Maximum length of an incomplete event that is buffered, in bytes.
pub const MAX_EVENT_LEN: usize = 256 << 10;

/// Why a stream with a longer event is broken off.
pub(super) const OVERLONG_EVENT: &str = "event exceeds the maximum length";

const ID_FIELD: &[u8] = b"id:";

/// Splits bytes into complete events and a remainder.
#[derive(Debug, Default)]
pub struct EventSplitter {
    remainder: BytesMut,
    last_id: Option<String>,
    has_passed: bool,
}

impl EventSplitter {
    /// Continues after the event with id `last_id`, which was passed on before.
    pub fn after(last_id: Option<String>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// Appends bytes and returns the events that are complete now; empty if there are none.
    pub fn push(&mut self, data: &[u8]) -> Bytes {
        let end = append(&mut self.remainder, data);
        let complete = self.remainder.split_to(end).freeze();
        self.has_passed |= !complete.is_empty();
        if let Some(id) = last_id(&complete) {
            self.last_id = Some(id);
        }
        complete
    }

    /// Whether an event was complete.
    pub fn has_passed(&self) -> bool {
        self.has_passed
    }

    /// Whether an incomplete event is buffered.
    pub fn is_partial(&self) -> bool {
        !self.remainder.is_empty()
    }

    /// Whether the incomplete event exceeds [`MAX_EVENT_LEN`].
    pub fn is_overlong(&self) -> bool {
        self.remainder.len() > MAX_EVENT_LEN
    }

    /// Id of the last complete event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

/// Bytes at the end of an incomplete event that may belong to the empty line after it.
const MAX_EMPTY_LINE_PART: usize = 2;

/// Appends bytes to an incomplete event. Returns the end of the last event that is complete now; 0 if there is none.
pub(super) fn append(partial: &mut BytesMut, data: &[u8]) -> usize {
    let searched = partial.len().saturating_sub(MAX_EMPTY_LINE_PART);
    partial.extend_from_slice(data);
    match end_of_last_event(&partial[searched..]) {
        0 => 0,
        end => searched + end,
    }
}

/// Returns the end of the last empty line; 0 if there is none.
pub(super) fn end_of_last_event(buf: &[u8]) -> usize {
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

/// Returns the number of complete events, each of which ends with an empty line.
pub fn count_events(events: &[u8]) -> u32 {
    let lines = events.split(|b| *b == b'\n');
    let is_empty = |line: &&[u8]| line.is_empty() || *line == b"\r";
    // What follows the last line end is not a line.
    (lines.filter(is_empty).count() as u32).saturating_sub(1)
}

fn last_id(events: &[u8]) -> Option<String> {
    let lines = events.split(|b| *b == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(ID_FIELD));
    let id = ids.next_back()?;
    let text = std::str::from_utf8(id).ok()?;
    Some(text.trim().to_owned())
}
