//! Changes of a store's content, as boxes record them and send them to each other.

use crate::{STORE, key, list, update};
use sillpin_core::Tokens;
use sillpin_gateway::cache_stores::directory::{Directory, Position};
use sillpin_gateway::control::{PartChange, StoreChanges};
use sillpin_gateway::peers::datagram::{MAX_CHANGES, StoreUpdate};
use tokio::time::Instant;

fn numbered(number: u64, part: &str) -> PartChange {
    PartChange {
        number,
        key: key(part),
        tokens: Some(Tokens(10)),
    }
}

fn at(next: u64) -> Position {
    Position { epoch: 1, next }
}

#[tokio::test(start_paused = true)]
async fn only_changes_after_the_given_position_are_returned() {
    let mut directory = Directory::default();
    let now = Instant::now();
    directory.apply_list(STORE, list(1, &["a"]), now);
    let changes = (11..=15).map(|number| numbered(number, "b")).collect();
    let update = StoreChanges {
        next: 15,
        ..update(1, changes)
    };
    assert!(directory.apply_changes(STORE, 10, update, now, now));
    let numbers = |position| {
        let changes = directory.changes_after(STORE, position)?;
        Some(changes.iter().map(|change| change.number).collect())
    };
    assert_eq!(numbers(at(13)), Some(vec![14, 15]));
    assert_eq!(numbers(at(15)), Some(Vec::new()));
    assert_eq!(numbers(at(9)), None, "from before the list");
    let other_incarnation = Position { epoch: 2, next: 13 };
    assert_eq!(numbers(other_incarnation), None);
}

#[tokio::test(start_paused = true)]
async fn no_changes_are_returned_if_older_ones_were_dropped() {
    let mut directory = Directory::default();
    let now = Instant::now();
    directory.apply_list(STORE, list(1, &["a"]), now);
    for number in 11..=2_000 {
        let update = StoreChanges {
            next: number,
            ..update(1, vec![numbered(number, "b")])
        };
        assert!(directory.apply_changes(STORE, number - 1, update, now, now));
    }
    assert_eq!(directory.changes_after(STORE, at(1_000)), None);
    let oldest = (1_000..2_000).find(|from| directory.changes_after(STORE, at(*from)).is_some());
    let changes = directory.changes_after(STORE, at(oldest.unwrap())).unwrap();
    assert_eq!(
        changes.first().map(|c| c.number),
        oldest.map(|from| from + 1)
    );
    assert_eq!(changes.last().map(|c| c.number), Some(2_000));
}

#[test]
fn a_long_update_is_split_into_contiguous_ones() {
    let changes: Vec<PartChange> = (11..=160).map(|number| numbered(number, "b")).collect();
    let update = StoreUpdate {
        addr: STORE,
        since: 10,
        epoch: 1,
        next: 170,
        age_ms: 0,
        changes: changes.clone(),
    };
    let updates = update.split();
    assert!(
        updates
            .iter()
            .all(|update| update.changes.len() <= MAX_CHANGES)
    );
    let spans: Vec<(u64, u64)> = updates
        .iter()
        .map(|update| (update.since, update.next))
        .collect();
    assert_eq!(spans, [(10, 70), (70, 130), (130, 170)]);
    let sent: Vec<PartChange> = updates
        .into_iter()
        .flat_map(|update| update.changes)
        .collect();
    assert_eq!(sent, changes);
}

#[tokio::test(start_paused = true)]
async fn changes_update_the_used_capacity() {
    let mut directory = Directory::default();
    let now = Instant::now();
    directory.apply_list(STORE, list(1, &["a"]), now);
    let change = |part: &str, tokens| PartChange {
        number: 11,
        key: key(part),
        tokens,
    };
    let changes = vec![
        change("b", Some(Tokens(30))),
        change("b", Some(Tokens(50))),
        change("a", None),
        change("gone before", None),
    ];
    assert!(directory.apply_changes(STORE, 10, update(1, changes), now, now));
    assert_eq!(directory.used(STORE), Tokens(50));
}
