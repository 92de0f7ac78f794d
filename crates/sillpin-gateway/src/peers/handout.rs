//! Serves documents to other boxes, large ones in pieces.
//!
//! A box with a slow link can neither send a large document to a whole zone at once nor receive one
//! within a fixed time. So the receiving box requests a document piece by piece: each piece that
//! arrives is progress, a transfer whose receiver stops requesting pieces is dropped, and only a
//! few transfers run at once. Other boxes get a busy reply and query a box that has the document by
//! then, so the number of boxes that have it grows by a factor with each round.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::Instant;

/// Longest piece in bytes: 52 ms on a link of 10 Mbit/s.
pub const PIECE_LEN: usize = 64 << 10;

/// Largest number of transfers of documents longer than a piece. A document of 0.9 MB reached
/// fifteen boxes from one over links of 10 Mbit/s in 6.5 to 6.9 s with two or three transfers, in
/// 6.9 to 7.3 s with one, in 11.6 to 11.8 s without a limit (`thin_link.rs`, three runs each).
const MAX_LARGE: usize = 2;

/// Time without a request for a piece after which a transfer is dropped; requests normally follow
/// each other within milliseconds.
const IDLE: Duration = Duration::from_secs(2);

/// Id of the transfer of a large document. It is random, so a restarted box knows none of the
/// earlier ids.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TransferId(u64);

/// Reply of a box to a request for a document.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Handout {
    /// The box has nothing that the requester lacks.
    Nothing,
    /// Too many large documents are being transferred; query another box, or try again later.
    Busy,
    /// The complete document.
    Whole(Vec<u8>),
    /// The first piece of a large document.
    Begun {
        /// Id of the transfer, for requests for more pieces.
        transfer: TransferId,
        /// Length of the document in bytes.
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

/// Large documents being transferred to other boxes; clones share them.
#[derive(Debug, Clone, Default)]
pub struct Handouts {
    under_way: Arc<Mutex<HashMap<TransferId, Transfer>>>,
}

impl Handouts {
    /// Returns a document that fits one piece, or starts the transfer of a larger one unless too
    /// many are running.
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

    /// Returns the piece of a document that begins at `offset`, or `None` if the transfer has ended
    /// or `offset` is beyond the document.
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
