//! What is known of kept parts, and when they may be fetched and freed.

mod common;

use common::{engine, name, store, target};
use proptest::prelude::*;
use rstest::rstest;
use sillpin_core::{Tokens, WeightVersion};
use sillpin_gateway::beliefs::{BoxEntry, Known, Named, View, Wanted};
use sillpin_gateway::control::{KeptChange, KeptKey, KeptList, KeptNews};
use sillpin_gateway::dialect::{EngineTime, PartId, Salt};
use sillpin_gateway::kept::directory::{BELIEF, Directory, Position};
use sillpin_gateway::kept::homes::{Place, homes};
use sillpin_gateway::kept::links::Links;
use sillpin_gateway::kept::retire::{MAX_FETCH_TIME, Retired, Retirements, Weights, place_of};
use sillpin_gateway::kept::salt::SaltParts;
use sillpin_gateway::peers::digest::{KeptWord, MAX_CHANGES};
use sillpin_platform::KvRevision;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

const STORE: SocketAddr = SocketAddr::V4(std::net::SocketAddrV4::new(
    std::net::Ipv4Addr::LOCALHOST,
    7,
));

fn key(part: &str) -> KeptKey {
    KeptKey {
        salt: Salt("m/1".to_owned()),
        part: PartId(part.to_owned()),
    }
}

fn list(epoch: u64, parts: &[&str]) -> KeptList {
    KeptList {
        epoch,
        next: 10,
        whole: parts.iter().map(|part| (key(part), Tokens(100))).collect(),
        partial: Vec::new(),
    }
}

fn news(epoch: u64, changes: Vec<KeptChange>) -> KeptNews {
    KeptNews {
        epoch,
        next: 11,
        lost: false,
        changes,
        clock: Some(EngineTime(5_000)),
    }
}

fn kept(directory: &Directory, part: &str) -> bool {
    directory.holds(STORE, &key(part), Tokens(100), Instant::now())
}

#[tokio::test(start_paused = true)]
async fn a_store_that_restarted_holds_nothing_until_it_is_listed() {
    let mut directory = Directory::default();
    let now = Instant::now();
    directory.take_list(STORE, list(1, &["a"]), now);
    assert!(kept(&directory, "a"));
    assert!(!directory.take_news(STORE, 10, news(2, Vec::new()), now, now));
    assert!(!kept(&directory, "a"), "it may be written anew");
    assert_eq!(directory.position(STORE), None, "so that it is listed");
}

#[tokio::test(start_paused = true)]
async fn an_older_copy_does_not_bring_back_a_life_of_the_store_that_is_over() {
    let mut directory = Directory::default();
    let before = Instant::now();
    tokio::time::advance(Duration::from_millis(10)).await;
    directory.take_list(STORE, list(2, &[]), Instant::now());
    directory.take_list(STORE, list(1, &["a"]), before);
    assert!(!kept(&directory, "a"));
}

#[tokio::test(start_paused = true)]
async fn what_a_silent_store_holds_is_not_believed_for_long() {
    let mut directory = Directory::default();
    directory.take_list(STORE, list(1, &["a"]), Instant::now());
    tokio::time::advance(BELIEF).await;
    assert!(!kept(&directory, "a"));
    let now = Instant::now();
    assert!(!directory.should_save(STORE, &key("b"), Tokens(100), now));
}

#[tokio::test(start_paused = true)]
async fn lost_events_ask_for_a_list() {
    let mut directory = Directory::default();
    let now = Instant::now();
    directory.take_list(STORE, list(1, &["a"]), now);
    let gap = KeptNews {
        lost: true,
        ..news(1, Vec::new())
    };
    assert!(!directory.take_news(STORE, 10, gap, now, now));
    assert_eq!(directory.position(STORE), None);
}

fn numbered(number: u64, part: &str) -> KeptChange {
    KeptChange {
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
    let news = KeptNews {
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
        let news = KeptNews {
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
    let changes: Vec<KeptChange> = (11..=160).map(|number| numbered(number, "b")).collect();
    let word = KeptWord {
        addr: STORE,
        since: 10,
        epoch: 1,
        next: 170,
        changes: changes.clone(),
    };
    let words = word.split();
    assert!(words.iter().all(|word| word.changes.len() <= MAX_CHANGES));
    let spans: Vec<(u64, u64)> = words.iter().map(|word| (word.since, word.next)).collect();
    assert_eq!(spans, [(10, 70), (70, 130), (130, 170)]);
    let told: Vec<KeptChange> = words.into_iter().flat_map(|word| word.changes).collect();
    assert_eq!(told, changes);
}

#[tokio::test(start_paused = true)]
async fn changes_keep_count_of_the_room() {
    let mut directory = Directory::default();
    let now = Instant::now();
    directory.take_list(STORE, list(1, &["a"]), now);
    let change = |part: &str, tokens| KeptChange {
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

#[tokio::test(start_paused = true)]
async fn a_part_is_asked_to_be_saved_once_at_a_time() {
    let mut directory = Directory::default();
    let now = Instant::now();
    directory.take_list(STORE, list(1, &["a"]), now);
    assert!(
        !directory.should_save(STORE, &key("a"), Tokens(100), now),
        "it is there"
    );
    assert!(directory.should_save(STORE, &key("b"), Tokens(100), now));
    assert!(!directory.should_save(STORE, &key("b"), Tokens(100), now));
}

/// A store lost its parts and was back within a second. A box that had not learned of it had sent a fetch of a part that waited in its
/// engine's queue; another box, which had, asked for the part to be saved anew, and the fetch got what was written so far.
#[tokio::test(start_paused = true)]
async fn nothing_is_saved_in_a_new_life_of_a_store_while_fetches_of_the_one_before_may_go_on() {
    let part = Tokens(100);
    let mut late = Directory::default();
    let mut quick = Directory::default();
    let start = Instant::now();
    late.take_list(STORE, list(1, &["a"]), start);
    quick.take_list(STORE, list(1, &["a"]), start);
    let mut fetches_until = start;
    for round in 0..60u32 {
        let now = Instant::now();
        if late.holds(STORE, &key("a"), part, now) {
            fetches_until = now + MAX_FETCH_TIME;
        }
        if round == 7 {
            assert!(!quick.take_news(STORE, 10, news(2, Vec::new()), now, now));
        }
        if round > 7 {
            quick.take_list(STORE, list(2, &[]), now);
            let saves = quick.should_save(STORE, &key("a"), part, now);
            assert!(!saves || now >= fetches_until, "after {:?}", now - start);
        }
        tokio::time::advance(Duration::from_millis(100)).await;
    }
    let now = Instant::now();
    assert!(
        !quick.should_save(STORE, &key("a"), part, now),
        "it was asked for"
    );
}

/// A store lost its parts and was back within a second, and a box started just then. It could not know that the store had held parts
/// before, nor that another box had just sent a fetch of one of them, and it asked for that part to be saved anew.
#[tokio::test(start_paused = true)]
async fn a_box_that_starts_saves_nothing_while_fetches_of_an_earlier_life_of_a_store_may_go_on() {
    let mut directory = Directory::default();
    directory.follow(STORE, Instant::now());
    tokio::time::advance(Duration::from_millis(300)).await;
    let found = Instant::now();
    let saves = |directory: &mut Directory| {
        let now = Instant::now();
        directory.take_list(STORE, list(2, &[]), now);
        directory.should_save(STORE, &key("a"), Tokens(100), now)
    };
    while found.elapsed() < BELIEF + MAX_FETCH_TIME {
        assert!(!saves(&mut directory), "after {:?}", found.elapsed());
        tokio::time::advance(Duration::from_millis(100)).await;
    }
    assert!(saves(&mut directory));
}

/// A partition cut a box off from a store, and the store restarted behind it seconds later. The box's calls had failed for so long
/// that any fetch would have been over; a box beyond the partition had believed in the earlier life until the restart.
#[tokio::test(start_paused = true)]
async fn calls_that_fail_do_not_show_that_a_life_of_a_store_is_over() {
    let mut directory = Directory::default();
    directory.take_list(STORE, list(1, &["a"]), Instant::now());
    directory.forget(STORE);
    tokio::time::advance(BELIEF + MAX_FETCH_TIME).await;
    let now = Instant::now();
    directory.take_list(STORE, list(2, &[]), now);
    assert!(!directory.should_save(STORE, &key("a"), Tokens(100), now));
    tokio::time::advance(BELIEF + MAX_FETCH_TIME).await;
    let now = Instant::now();
    directory.take_list(STORE, list(2, &[]), now);
    assert!(directory.should_save(STORE, &key("a"), Tokens(100), now));
}

/// A box's calls of a store failed for a moment, and the store was as before: parts are saved at once.
#[tokio::test(start_paused = true)]
async fn a_store_that_was_only_out_of_reach_is_written_at_once() {
    let mut directory = Directory::default();
    directory.take_list(STORE, list(1, &["a"]), Instant::now());
    directory.forget(STORE);
    tokio::time::advance(Duration::from_millis(400)).await;
    let now = Instant::now();
    directory.take_list(STORE, list(1, &["a"]), now);
    assert!(directory.should_save(STORE, &key("b"), Tokens(100), now));
}

/// An engine was asked to keep a part that many prompts share, and the store had no room for it just then. Prompts with that
/// part came several times a second, and each put the next try off anew: the part was kept only once they had ceased for a
/// while, and was read anew for each of them until then.
#[tokio::test(start_paused = true)]
async fn a_save_that_was_lost_is_asked_for_again_however_often_the_part_is_wanted() {
    let mut directory = Directory::default();
    let step = Duration::from_millis(400);
    let mut asked = Vec::new();
    for round in 0..10u32 {
        let now = Instant::now();
        directory.take_list(STORE, list(1, &[]), now);
        if directory.should_save(STORE, &key("b"), Tokens(100), now) {
            asked.push(step * round);
        }
        tokio::time::advance(step).await;
    }
    // The first time that SAVE_MEMORY is over, and again after as long.
    let ms = Duration::from_millis;
    assert_eq!(asked, [ms(0), ms(1_600), ms(3_200)]);
}

#[tokio::test(start_paused = true)]
async fn the_engines_clock_is_never_ahead() {
    let mut directory = Directory::default();
    let asked = Instant::now();
    directory.take_list(STORE, list(1, &[]), asked);
    tokio::time::advance(Duration::from_millis(900)).await;
    let answered = Instant::now();
    directory.take_news(STORE, 10, news(1, Vec::new()), asked, answered);
    let read = directory.engine_time(answered, Duration::ZERO);
    assert_eq!(
        read,
        Some(EngineTime(5_000)),
        "made at the answer, not when it was asked for"
    );
}

#[test]
fn small_parts_go_to_fast_stores_and_large_ones_to_roomy_ones() {
    let stores = [
        store("fast", 1, "za", 158_767, 0),
        store("roomy-1", 2, "za", 1_885_363, 6),
        store("roomy-2", 3, "zb", 1_885_363, 6),
    ];
    let first = |tokens, place| {
        let found = homes(&stores, &PartId("a".to_owned()), Tokens(tokens), place);
        found[0].id.to_string()
    };
    assert_eq!(first(531, Place::Last), "fast");
    assert!(first(5_000, Place::Last).starts_with("roomy"));
    assert!(
        first(13_300, Place::Last).starts_with("roomy"),
        "no store suits it"
    );
    assert_eq!(
        first(2_520, Place::Inner),
        "fast",
        "all prompts of its sessions have it"
    );
}

proptest! {
    #[test]
    fn equal_stores_share_parts_evenly(seed in 0u64..1_000) {
        let stores = [
            store("one", 2, "za", 1_885_363, 6),
            store("two", 3, "zb", 1_885_363, 6),
        ];
        let at_one = (0..1_000)
            .map(|i| PartId(format!("{seed}-{i}")))
            .filter(|part| homes(&stores, part, Tokens(5_000), Place::Last)[0].id.as_str() == "one")
            .count();
        // Six standard deviations of a fair split of 1,000.
        prop_assert!((405..=595).contains(&at_one), "{at_one} of 1,000");
    }
}

#[rstest]
#[case("m/1", Some((1, None)))]
#[case("m/12/acme", Some((12, Some("acme"))))]
#[case("m", None)]
#[case("m/x", None)]
#[case("m/1/acme/more", None)]
#[case("", None)]
fn salts_read_back(#[case] text: &str, #[case] expected: Option<(u64, Option<&str>)>) {
    let read = text.parse::<SaltParts>().ok();
    let seen = read.as_ref().map(|salt| {
        let wall = salt.wall.as_ref().map(|org| org.as_str());
        (salt.version.0, wall)
    });
    assert_eq!(seen, expected);
    if let Some(salt) = read {
        assert_eq!(salt.to_string(), text);
    }
}

/// `upgraded` of four engines serve version 2; one other box is known.
fn view(upgraded: usize, confirmed: Instant) -> View {
    let engines = (0..4).map(|i| {
        let mut engine = engine(&format!("e{i}"), "za");
        if i < upgraded {
            engine.served[0].version = WeightVersion(2);
        }
        (target(&format!("e{i}")), Arc::new(engine))
    });
    let wanted = Wanted::new(Named {
        version: WeightVersion(2),
        since: confirmed,
        witnessed: true,
    });
    View {
        entries: Arc::new(engines.collect()),
        wanted: Arc::new(HashMap::from([(name("m"), wanted)])),
        listed: Known {
            revision: KvRevision(1),
            confirmed: Some(confirmed),
            contact: Some(confirmed),
            content: 0,
        },
        boxes: Arc::new(vec![BoxEntry {
            id: name("box-2"),
            zone: name("za"),
            peers: STORE,
            gossip: STORE,
        }]),
        ..View::default()
    }
}

/// A store that is as full as it gets.
const FULL: f64 = 0.975;

fn old_weights() -> Weights {
    Weights {
        model: name("m"),
        version: WeightVersion(1),
    }
}

fn told(share: f64) -> Vec<Retired> {
    vec![Retired {
        weights: old_weights(),
        share,
    }]
}

#[tokio::test(start_paused = true)]
async fn parts_are_retired_in_step_with_the_engines_and_never_come_back() {
    let mut retirements = Retirements::default();
    let salt: SaltParts = "m/1".parse().unwrap();
    let parts: Vec<KeptKey> = (0..400).map(|i| key(&format!("p{i}"))).collect();
    let retired = |r: &Retirements| parts.iter().filter(|key| r.is_retired(&salt, key)).count();
    let now = Instant::now();
    retirements.update(&view(0, now), FULL, now);
    assert_eq!(retired(&retirements), 0);
    retirements.update(&view(2, now), FULL, now);
    let half = retired(&retirements);
    assert!((150..250).contains(&half), "{half} of 400");
    retirements.update(&view(1, now), FULL, now);
    assert_eq!(
        retired(&retirements),
        half,
        "an engine that went back brings no part back"
    );
    retirements.update(&view(4, now), FULL, now);
    assert_eq!(retired(&retirements), 400);
    let newer: SaltParts = "m/2".parse().unwrap();
    assert!(!retirements.is_retired(&newer, &parts[0]));
}

#[tokio::test(start_paused = true)]
async fn replaced_parts_stay_in_use_while_there_is_room_and_an_engine_for_them() {
    let mut retirements = Retirements::default();
    let salt: SaltParts = "m/1".parse().unwrap();
    let parts: Vec<KeptKey> = (0..400).map(|i| key(&format!("p{i}"))).collect();
    let retired = |r: &Retirements| parts.iter().filter(|key| r.is_retired(&salt, key)).count();
    let now = Instant::now();
    retirements.update(&view(3, now), 0.5, now);
    assert_eq!(retired(&retirements), 0);
    retirements.update(&view(3, now), 0.8, now);
    let some = retired(&retirements);
    assert!((100..280).contains(&some), "{some} of 400");
    retirements.update(&view(4, now), 0.5, now);
    assert_eq!(retired(&retirements), 400, "no engine serves them");
}

#[tokio::test(start_paused = true)]
async fn nothing_is_unused_while_a_box_may_still_fetch_it() {
    let mut retirements = Retirements::default();
    let start = Instant::now();
    retirements.update(&view(4, start), FULL, start);
    tokio::time::advance(Duration::from_millis(1_500)).await;
    let now = Instant::now();
    let old = old_weights();
    let unused = |r: &Retirements, now| r.unused_share(&old, &view(4, now), now);
    assert_eq!(
        unused(&retirements, now),
        0.0,
        "the other box has said nothing"
    );
    retirements.hear(name("box-2"), told(0.25), Duration::ZERO, now);
    assert_eq!(unused(&retirements, now), 0.25);
    retirements.hear(name("box-2"), told(1.0), Duration::ZERO, now);
    assert_eq!(unused(&retirements, now), 1.0);
}

#[tokio::test(start_paused = true)]
async fn a_box_tells_of_retired_parts_only_when_its_fetches_of_them_are_over() {
    let mut retirements = Retirements::default();
    let start = Instant::now();
    let told = |r: &Retirements| r.told(Instant::now()).first().map_or(0.0, |r| r.share);
    retirements.update(&view(2, start), FULL, start);
    assert_eq!(
        told(&retirements),
        0.0,
        "a fetch may have begun just before"
    );
    tokio::time::advance(MAX_FETCH_TIME).await;
    assert_eq!(told(&retirements), 0.5);
    let now = Instant::now();
    retirements.update(&view(4, now), FULL, now);
    assert_eq!(told(&retirements), 0.5);
    tokio::time::advance(MAX_FETCH_TIME).await;
    assert_eq!(told(&retirements), 1.0);
}

#[tokio::test(start_paused = true)]
async fn a_box_that_says_nothing_has_stopped_fetching_after_a_while() {
    let mut retirements = Retirements::default();
    let start = Instant::now();
    retirements.update(&view(4, start), FULL, start);
    assert!(retirements.may_fetch(&view(4, start), start));
    // Out of touch after 2.5 s, half a second of margin, and the last fetch.
    let rounds = (Duration::from_millis(3_100) + MAX_FETCH_TIME).as_millis() / 100;
    for _ in 0..rounds {
        tokio::time::advance(Duration::from_millis(100)).await;
        let now = Instant::now();
        retirements.update(&view(4, now), FULL, now);
        let unused = retirements.unused_share(&old_weights(), &view(4, now), now);
        // The other box, silent and out of touch since the start, applies the same rule to itself.
        let may_fetch = Retirements::default().may_fetch(&view(4, start), now);
        assert!(unused == 0.0 || !may_fetch, "after {:?}", now - start);
    }
    let now = Instant::now();
    assert_eq!(
        retirements.unused_share(&old_weights(), &view(4, now), now),
        1.0
    );
}

/// A box was started anew while engines changed to new weights. By then there was room in the stores again, so it used parts of
/// the replaced weights that the others had retired while the stores were full, and said so. The box that frees parts had known
/// them to be retired for long and went by that: it freed parts that the new box's engines were fetching.
#[tokio::test(start_paused = true)]
async fn what_a_box_that_started_anew_still_uses_is_not_freed() {
    let salt: SaltParts = "m/1".parse().unwrap();
    let parts: Vec<KeptKey> = (0..400).map(|i| key(&format!("p{i}"))).collect();
    let mut holder = Retirements::default();
    let mut started = Retirements::default();
    let step = Duration::from_millis(400);
    let roomy = 0.5;
    holder.update(&view(2, Instant::now()), FULL, Instant::now());
    tokio::time::advance(Duration::from_secs(8)).await;
    for round in 0..20u32 {
        let now = Instant::now();
        let view = view(2, now);
        started.update(&view, roomy, now);
        holder.update(&view, roomy, now);
        holder.hear(name("box-2"), started.told(now), Duration::ZERO, now);
        let unused = holder.unused_share(&old_weights(), &view, now);
        let used = |key: &&KeptKey| !started.is_retired(&salt, key);
        let freed = parts
            .iter()
            .filter(used)
            .filter(|key| place_of(key) < unused);
        assert_eq!(
            freed.count(),
            0,
            "in use and freed, after {:?}",
            step * round
        );
        tokio::time::advance(step).await;
    }
}

/// A box that was started anew, when there was room in the stores again, used parts that all others had retired. As long as it does
/// so nobody may free them, and the room stays taken.
#[tokio::test(start_paused = true)]
async fn a_box_that_started_anew_takes_over_what_others_have_retired() {
    let mut holder = Retirements::default();
    let mut started = Retirements::default();
    let start = Instant::now();
    holder.update(&view(2, start), FULL, start);
    tokio::time::advance(MAX_FETCH_TIME).await;
    let now = Instant::now();
    let view = view(2, now);
    let roomy = 0.5;
    started.update(&view, roomy, now);
    started.hear(name("box-1"), holder.told(now), Duration::ZERO, now);
    started.update(&view, roomy, now);
    tokio::time::advance(MAX_FETCH_TIME).await;
    let now = Instant::now();
    holder.update(&view, roomy, now);
    holder.hear(name("box-2"), started.told(now), Duration::ZERO, now);
    assert_eq!(holder.unused_share(&old_weights(), &view, now), 0.5);
}

/// A box that the store does not answer says so, and has stopped fetching: what it last used is no reason to keep parts.
#[tokio::test(start_paused = true)]
async fn a_box_that_says_that_it_is_out_of_touch_holds_nothing_back() {
    let mut holder = Retirements::default();
    let start = Instant::now();
    holder.update(&view(2, start), FULL, start);
    tokio::time::advance(Duration::from_secs(8)).await;
    let now = Instant::now();
    let silence = Duration::from_secs(8);
    assert!(!Retirements::default().may_fetch(&view(0, start), now));
    holder.hear(name("box-2"), told(0.0), silence, now);
    assert_eq!(holder.unused_share(&old_weights(), &view(2, now), now), 0.5);
}

#[tokio::test(start_paused = true)]
async fn without_the_store_boxes_fetch_on_only_if_none_of_them_reaches_it() {
    let mut retirements = Retirements::default();
    let start = Instant::now();
    tokio::time::advance(Duration::from_secs(5)).await;
    let now = Instant::now();
    let stale = view(0, start);
    assert!(
        !retirements.may_fetch(&stale, now),
        "the other box is not heard"
    );
    retirements.hear(name("box-2"), Vec::new(), Duration::ZERO, now);
    assert!(
        !retirements.may_fetch(&stale, now),
        "the other box reaches the store"
    );
    retirements.hear(name("box-2"), Vec::new(), Duration::from_secs(5), now);
    assert!(retirements.may_fetch(&stale, now));
}

#[test]
fn the_order_of_retirement_is_spread_over_all_parts() {
    let low = (0..1_000)
        .filter(|i| place_of(&key(&format!("p{i}"))) < 0.5)
        .count();
    assert!((400..600).contains(&low), "{low} of 1,000");
}

/// A long prompt, and a short one.
const LONG: Tokens = Tokens(9_000);
const SHORT: Tokens = Tokens(800);

/// When their first events are wanted.
const AIM: Duration = Duration::from_millis(500);

#[tokio::test(start_paused = true)]
async fn a_slow_store_gets_a_smaller_share_of_fetches_and_recovers() {
    let mut links = Links::default();
    assert_eq!(links.share(STORE, Instant::now()), 1.0);
    for _ in 0..60 {
        tokio::time::advance(Duration::from_millis(50)).await;
        links.note_read(LONG, Duration::from_millis(20));
        links.note_fetch(STORE, LONG, Duration::from_millis(900), AIM, Instant::now());
    }
    let slow = links.share(STORE, Instant::now());
    assert!(slow < 0.3, "{slow}");
    assert!(
        slow > 0.0,
        "some fetches go on, to notice that it is well again"
    );
    for _ in 0..200 {
        tokio::time::advance(Duration::from_millis(50)).await;
        links.note_fetch(STORE, LONG, Duration::from_millis(30), AIM, Instant::now());
    }
    assert_eq!(links.share(STORE, Instant::now()), 1.0);
}

#[tokio::test(start_paused = true)]
async fn a_fleet_that_is_slow_with_long_prompts_keeps_fetching() {
    let mut links = Links::default();
    for _ in 0..100 {
        links.note_read(SHORT, Duration::from_millis(20));
        links.note_read(LONG, Duration::from_millis(700));
        links.note_fetch(STORE, LONG, Duration::from_millis(800), AIM, Instant::now());
    }
    assert_eq!(links.share(STORE, Instant::now()), 1.0);
}

#[tokio::test(start_paused = true)]
async fn a_fetch_that_is_late_for_one_aim_is_in_time_for_a_longer_one() {
    let share_after = |aim: Duration| {
        let mut links = Links::default();
        for _ in 0..60 {
            links.note_read(LONG, Duration::from_millis(20));
            links.note_fetch(STORE, LONG, Duration::from_millis(500), aim, Instant::now());
        }
        links.share(STORE, Instant::now())
    };
    assert!(share_after(AIM) < 1.0);
    assert_eq!(share_after(AIM * 3), 1.0);
}
