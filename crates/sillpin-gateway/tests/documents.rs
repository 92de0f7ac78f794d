//! Tests of document transfers to other boxes.

use sillpin_gateway::peers::documents::{DocumentReply, DocumentTransfers, PIECE_LEN, TransferId};
use std::time::Duration;
use tokio::time::{Instant, advance};

fn document(len: usize) -> Vec<u8> {
    (0..len).map(|at| (at % 251) as u8).collect()
}

fn start_transfer(transfers: &DocumentTransfers, document: Vec<u8>) -> (TransferId, Vec<u8>) {
    match transfers.start(document, Instant::now()) {
        DocumentReply::FirstPiece {
            transfer, piece, ..
        } => (transfer, piece),
        other => panic!("no first piece: {other:?}"),
    }
}

fn fetch_rest(
    transfers: &DocumentTransfers,
    transfer: TransferId,
    received: &mut Vec<u8>,
    len: usize,
) {
    while received.len() < len {
        let piece = transfers.piece_at(transfer, received.len() as u64, Instant::now());
        received.extend(piece.unwrap());
    }
}

#[tokio::test(start_paused = true)]
async fn pieces_make_up_the_document() {
    let transfers = DocumentTransfers::default();
    let document_bytes = document(PIECE_LEN * 3 + 5);
    let (transfer, mut received) = start_transfer(&transfers, document_bytes.clone());
    fetch_rest(&transfers, transfer, &mut received, document_bytes.len());
    assert_eq!(received, document_bytes);
    let more = transfers.piece_at(transfer, 0, Instant::now());
    assert_eq!(more, None, "a completed transfer is dropped");
}

#[tokio::test(start_paused = true)]
async fn a_small_document_needs_no_transfer() {
    let transfers = DocumentTransfers::default();
    start_transfer(&transfers, document(PIECE_LEN + 1));
    start_transfer(&transfers, document(PIECE_LEN + 1));
    let small = transfers.start(document(PIECE_LEN), Instant::now());
    assert!(matches!(small, DocumentReply::Complete(bytes) if bytes == document(PIECE_LEN)));
}

#[tokio::test(start_paused = true)]
async fn a_third_box_gets_a_busy_reply_until_a_transfer_ends() {
    let transfers = DocumentTransfers::default();
    let len = PIECE_LEN * 2;
    let (first, mut received) = start_transfer(&transfers, document(len));
    start_transfer(&transfers, document(len));
    let third = transfers.start(document(len), Instant::now());
    assert!(matches!(third, DocumentReply::Busy));
    fetch_rest(&transfers, first, &mut received, len);
    start_transfer(&transfers, document(len));
}

#[tokio::test(start_paused = true)]
async fn an_idle_transfer_is_dropped_and_a_slow_one_is_not() {
    let transfers = DocumentTransfers::default();
    let len = PIECE_LEN * 4;
    let (slow, mut received) = start_transfer(&transfers, document(len));
    let (idle, _) = start_transfer(&transfers, document(len));
    for _ in 0..2 {
        advance(Duration::from_millis(1_500)).await;
        let piece = transfers.piece_at(slow, received.len() as u64, Instant::now());
        received.extend(piece.unwrap());
    }
    start_transfer(&transfers, document(len));
    assert_eq!(transfers.piece_at(idle, 0, Instant::now()), None);
    fetch_rest(&transfers, slow, &mut received, len);
    assert_eq!(received, document(len));
}

#[tokio::test(start_paused = true)]
async fn a_piece_beyond_the_end_is_none() {
    let transfers = DocumentTransfers::default();
    let (transfer, _) = start_transfer(&transfers, document(PIECE_LEN + 1));
    assert_eq!(transfers.piece_at(transfer, u64::MAX, Instant::now()), None);
}
