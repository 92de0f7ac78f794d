//! Hands documents to other boxes, the large ones piece by piece.
//!
//! A box with a thin link can neither send a large document to a whole zone at once nor take one within a time fixed
//! beforehand. So a document goes in pieces that the asking box draws one after the other: each piece that comes is
//! progress, a box that draws none is forgotten, and only a few draw at once. The others are told that this box is busy, and ask
//! one that has the document by then: the number of boxes that have it grows by a factor with each round.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::Instant;

/// Longest piece in bytes: 52 ms of a link of 10 Mbit/s.
pub const PIECE_LEN: usize = 64 << 10;

/// Documents of more than a piece that are handed out at once. A document of 0.9 MB got from one box to fifteen over links of
/// 10 Mbit/s in 6.5 to 6.9 s with two or three, 6.9 to 7.3 s with one, 11.6 to 11.8 s without a limit (`thin_link.rs`, three runs each).
const MAX_LARGE: usize = 2;

/// A box that has drawn no piece for this long has given up: pieces follow each other within milliseconds.
const IDLE: Duration = Duration::from_secs(2);

/// Names a large document that is being handed out; drawn at random, so that a box that has started anew knows none.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TransferId(u64);

/// What a box answers when it is asked for a document.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Handout {
    /// It knows nothing that the asking box lacks.
    Nothing,
    /// Others draw large documents just now: ask another box, or later.
    Busy,
    /// All of it.
    Whole(Vec<u8>),
    /// The beginning of a large one.
    Begun {
        /// Names it in calls for more.
        transfer: TransferId,
        /// Its length in bytes.
        len: u64,
        /// The first piece.
        piece: Vec<u8>,
    },
}

#[derive(Debug)]
struct Transfer {
    document: Bytes,
    drawn: Instant,
}

/// Large documents that are being handed out; clones share them.
#[derive(Debug, Clone, Default)]
pub struct Handouts {
    under_way: Arc<Mutex<HashMap<TransferId, Transfer>>>,
}

impl Handouts {
    /// Hands out a document, or its beginning if too few draw already.
    pub fn offer(&self, document: Vec<u8>, now: Instant) -> Handout {
        if document.len() <= PIECE_LEN {
            return Handout::Whole(document);
        }
        let mut under_way = self.under_way.lock().unwrap_or_else(|e| e.into_inner());
        under_way.retain(|_, transfer| now - transfer.drawn < IDLE);
        if under_way.len() >= MAX_LARGE {
            return Handout::Busy;
        }
        let transfer = TransferId(rand::random());
        let len = document.len() as u64;
        let piece = document[..PIECE_LEN].to_vec();
        let document = Bytes::from(document);
        let drawn = now;
        under_way.insert(transfer, Transfer { document, drawn });
        Handout::Begun {
            transfer,
            len,
            piece,
        }
    }

    /// The piece of a document that begins at `offset`; `None` if the document is not handed out any more.
    pub fn draw(&self, transfer: TransferId, offset: u64, now: Instant) -> Option<Vec<u8>> {
        let mut under_way = self.under_way.lock().unwrap_or_else(|e| e.into_inner());
        let found = under_way.get_mut(&transfer)?;
        found.drawn = now;
        let document = found.document.clone();
        let begin = usize::try_from(offset).ok()?;
        let end = document.len().min(begin.checked_add(PIECE_LEN)?);
        let piece = document.get(begin..end)?.to_vec();
        if end == document.len() {
            under_way.remove(&transfer);
        }
        Some(piece)
    }
}
