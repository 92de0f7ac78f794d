//! Splitting of streams into complete events.

use proptest::prelude::*;
use sillpin_gateway::front::events::{EventSplitter, MAX_EVENT_LEN};
use std::time::{Duration, Instant};

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// However a stream is split into chunks, complete events come out once and in order, and no incomplete one does.
    #[test]
    fn events_are_passed_on_complete(
        bodies in prop::collection::vec("[a-z ]{0,20}", 1..20),
        cuts in prop::collection::vec(1usize..9, 1..200),
        crlf in any::<bool>(),
        incomplete in "[a-z]{0,5}",
    ) {
        let end = if crlf { "\r\n" } else { "\n" };
        let event = |(id, body): (usize, &String)| format!("id: {id}{end}data: {body}{end}{end}");
        let complete: String = bodies.iter().enumerate().map(event).collect();
        let sent = format!("{complete}{incomplete}");
        let mut splitter = EventSplitter::default();
        let mut out = Vec::new();
        let mut left = sent.as_bytes();
        for cut in cuts.iter().cycle() {
            if left.is_empty() {
                break;
            }
            let (piece, tail) = left.split_at((*cut).min(left.len()));
            out.extend_from_slice(&splitter.push(piece));
            left = tail;
        }
        prop_assert_eq!(String::from_utf8(out).unwrap(), complete);
        prop_assert_eq!(splitter.is_partial(), !incomplete.is_empty());
        let last = (bodies.len() - 1).to_string();
        prop_assert_eq!(splitter.last_id(), Some(last.as_str()));
    }
}

#[test]
fn an_event_that_arrives_by_the_byte_is_searched_anew_for_each_byte() {
    const LIMIT: Duration = Duration::from_secs(5);
    let began = Instant::now();
    let mut splitter = EventSplitter::default();
    let mut len = 0;
    while !splitter.is_overlong() && began.elapsed() < LIMIT {
        splitter.push(b"x");
        len += 1;
    }
    assert!(len > MAX_EVENT_LEN, "{len} bytes in {LIMIT:?}");
}

#[test]
fn an_empty_line_that_arrives_in_parts_ends_an_event() {
    for text in ["data: a\n\n", "data: a\r\n\r\n"] {
        let mut splitter = EventSplitter::default();
        let events = text.bytes().map(|byte| splitter.push(&[byte]));
        let complete: Vec<_> = events.filter(|event| !event.is_empty()).collect();
        assert_eq!(complete, [text]);
    }
}
