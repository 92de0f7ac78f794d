//! Changes of what a store keeps, as boxes count and tell them.

use crate::{STORE, key, list, news};
use sillpin_core::Tokens;
use sillpin_gateway::control::{PartChange, StoreChanges};
use sillpin_gateway::kept::directory::{Directory, Position};
use sillpin_gateway::peers::datagram::{KeptWord, MAX_CHANGES};
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
async fn a_box_that_lacks_some_changes_gets_just_these() {
    let mut directory = Directory::default();
    let now = Instant::now();
    directory.take_list(STORE, list(1, &["a"]), now);
    let changes = (11..=15).map(|number| numbered(number, "b")).collect();
    let news = StoreChanges {
        next: 15,
        ..news(1, changes)
    };
    assert!(directory.take_news(STORE, 10, news, now, now));
    let numbers = |position| {
        let changes = directory.changes_after(STORE, position)?;
        Some(changes.iter().map(|change| change.number).collect())
    };
    assert_eq!(numbers(at(13)), Some(vec![14, 15]));
    assert_eq!(numbers(at(15)), Some(Vec::new()));
    assert_eq!(numbers(at(9)), None, "from before the list");
    let other_life = Position { epoch: 2, next: 13 };
    assert_eq!(numbers(other_life), None);
}

#[tokio::test(start_paused = true)]
async fn changes_that_were_forgotten_are_not_passed_over() {
    let mut directory = Directory::default();
    let now = Instant::now();
    directory.take_list(STORE, list(1, &["a"]), now);
    for number in 11..=2_000 {
        let news = StoreChanges {
            next: number,
            ..news(1, vec![numbered(number, "b")])
        };
        assert!(directory.take_news(STORE, number - 1, news, now, now));
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
fn a_long_word_is_told_in_several_that_go_on_from_each_other() {
    let changes: Vec<PartChange> = (11..=160).map(|number| numbered(number, "b")).collect();
    let word = KeptWord {
        addr: STORE,
        since: 10,
        epoch: 1,
        next: 170,
        age_ms: 0,
        changes: changes.clone(),
    };
    let words = word.split();
    assert!(words.iter().all(|word| word.changes.len() <= MAX_CHANGES));
    let spans: Vec<(u64, u64)> = words.iter().map(|word| (word.since, word.next)).collect();
    assert_eq!(spans, [(10, 70), (70, 130), (130, 170)]);
    let told: Vec<PartChange> = words.into_iter().flat_map(|word| word.changes).collect();
    assert_eq!(told, changes);
}

#[tokio::test(start_paused = true)]
async fn changes_keep_count_of_the_room() {
    let mut directory = Directory::default();
    let now = Instant::now();
    directory.take_list(STORE, list(1, &["a"]), now);
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
    assert!(directory.take_news(STORE, 10, news(1, changes), now, now));
    assert_eq!(directory.used(STORE), Tokens(50));
}
