//! Serves documents to other boxes, large ones in pieces.
//!
//! A box with a slow link can neither send a large document to a whole zone in parallel nor receive one
//! within a fixed time. So the receiving box requests a document piece by piece: each piece that
//! arrives is progress, a transfer whose receiver stops requesting pieces is dropped, and only a
//! few transfers run concurrently. Other boxes get a busy reply and query a box that has the document by
//! then, so the number of boxes that have it grows by a factor with each round.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::Instant;

/// Longest piece in bytes: 52 ms on a link of 10 Mbit/s.
pub const PIECE_LEN: usize = 64 << 10;

/// Largest number of concurrent transfers of documents longer than a piece. Without a limit, a
/// document of 0.9 MB took 12 s instead of 7 s to reach fifteen boxes over links of 10 Mbit/s.
const MAX_TRANSFERS: usize = 2;

/// Time without a request for a piece after which a transfer is dropped; requests normally follow
/// each other within milliseconds.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Id of the transfer of a large document. It is random, so a restarted box knows none of the
/// earlier ids.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TransferId(u64);

/// Reply of a box to a request for a document.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum DocumentReply {
    /// The box has nothing that the requester lacks.
    Nothing,
    /// Too many large documents are being transferred; query another box, or try again later.
    Busy,
    /// The complete document.
    Complete(Vec<u8>),
    /// The first piece of a large document.
    FirstPiece {
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
    last_request: Instant,
}

/// Large documents being transferred to other boxes; clones share them.
#[derive(Debug, Clone, Default)]
pub struct DocumentTransfers {
    in_progress: Arc<Mutex<HashMap<TransferId, Transfer>>>,
}

impl DocumentTransfers {
    /// Returns a document that fits one piece, or starts the transfer of a larger one unless too
    /// many are running.
    pub fn start(&self, document: Vec<u8>, now: Instant) -> DocumentReply {
        if document.len() <= PIECE_LEN {
            return DocumentReply::Complete(document);
        }
        let mut in_progress = self.in_progress.lock().unwrap_or_else(|e| e.into_inner());
        in_progress.retain(|_, transfer| now - transfer.last_request < IDLE_TIMEOUT);
        if in_progress.len() >= MAX_TRANSFERS {
            return DocumentReply::Busy;
        }
        let transfer = TransferId(rand::random());
        let len = document.len() as u64;
        let piece = document[..PIECE_LEN].to_vec();
        let document = Bytes::from(document);
        let last_request = now;
        in_progress.insert(
            transfer,
            Transfer {
                document,
                last_request,
            },
        );
        DocumentReply::FirstPiece {
            transfer,
            len,
            piece,
        }
    }

    /// Returns the piece of a document that begins at `offset`, or `None` if the transfer has ended
    /// or `offset` is beyond the document.
    pub fn piece_at(&self, transfer: TransferId, offset: u64, now: Instant) -> Option<Vec<u8>> {
        let mut in_progress = self.in_progress.lock().unwrap_or_else(|e| e.into_inner());
        let found = in_progress.get_mut(&transfer)?;
        found.last_request = now;
        let document = found.document.clone();
        let begin = usize::try_from(offset).ok()?;
        let end = document.len().min(begin.checked_add(PIECE_LEN)?);
        let piece = document.get(begin..end)?.to_vec();
        if end == document.len() {
            in_progress.remove(&transfer);
        }
        Some(piece)
    }
}
