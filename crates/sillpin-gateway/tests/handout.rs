//! Documents handed out to other boxes, the large ones piece by piece.

use sillpin_gateway::peers::handout::{Handout, Handouts, PIECE_LEN, TransferId};
use std::time::Duration;
use tokio::time::{Instant, advance};

fn document(len: usize) -> Vec<u8> {
    (0..len).map(|at| (at % 251) as u8).collect()
}

fn begin(handouts: &Handouts, document: Vec<u8>) -> (TransferId, Vec<u8>) {
    match handouts.offer(document, Instant::now()) {
        Handout::Begun {
            transfer, piece, ..
        } => (transfer, piece),
        other => panic!("not begun: {other:?}"),
    }
}

fn draw_rest(handouts: &Handouts, transfer: TransferId, drawn: &mut Vec<u8>, len: usize) {
    while drawn.len() < len {
        let piece = handouts.draw(transfer, drawn.len() as u64, Instant::now());
        drawn.extend(piece.unwrap());
    }
}

#[tokio::test(start_paused = true)]
async fn pieces_make_up_the_document() {
    let handouts = Handouts::default();
    let whole = document(PIECE_LEN * 3 + 5);
    let (transfer, mut drawn) = begin(&handouts, whole.clone());
    draw_rest(&handouts, transfer, &mut drawn, whole.len());
    assert_eq!(drawn, whole);
    let more = handouts.draw(transfer, 0, Instant::now());
    assert_eq!(more, None, "a document that was drawn whole is forgotten");
}

#[tokio::test(start_paused = true)]
async fn a_small_document_goes_at_once_whoever_draws() {
    let handouts = Handouts::default();
    begin(&handouts, document(PIECE_LEN + 1));
    begin(&handouts, document(PIECE_LEN + 1));
    let small = handouts.offer(document(PIECE_LEN), Instant::now());
    assert!(matches!(small, Handout::Whole(bytes) if bytes == document(PIECE_LEN)));
}

#[tokio::test(start_paused = true)]
async fn a_third_box_is_told_to_ask_elsewhere_until_one_has_drawn_all() {
    let handouts = Handouts::default();
    let len = PIECE_LEN * 2;
    let (first, mut drawn) = begin(&handouts, document(len));
    begin(&handouts, document(len));
    let third = handouts.offer(document(len), Instant::now());
    assert!(matches!(third, Handout::Busy));
    draw_rest(&handouts, first, &mut drawn, len);
    begin(&handouts, document(len));
}

#[tokio::test(start_paused = true)]
async fn a_box_that_draws_no_more_is_forgotten_and_one_that_is_slow_is_not() {
    let handouts = Handouts::default();
    let len = PIECE_LEN * 4;
    let (slow, mut drawn) = begin(&handouts, document(len));
    let (gone, _) = begin(&handouts, document(len));
    for _ in 0..2 {
        advance(Duration::from_millis(1_500)).await;
        let piece = handouts.draw(slow, drawn.len() as u64, Instant::now());
        drawn.extend(piece.unwrap());
    }
    begin(&handouts, document(len));
    assert_eq!(handouts.draw(gone, 0, Instant::now()), None);
    draw_rest(&handouts, slow, &mut drawn, len);
    assert_eq!(drawn, document(len));
}

#[tokio::test(start_paused = true)]
async fn a_piece_beyond_the_end_is_none() {
    let handouts = Handouts::default();
    let (transfer, _) = begin(&handouts, document(PIECE_LEN + 1));
    assert_eq!(handouts.draw(transfer, u64::MAX, Instant::now()), None);
}
