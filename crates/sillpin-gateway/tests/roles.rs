//! Tests of the choice of boxes for tasks that only a few boxes of a zone do.

mod common;

use common::name;
use sillpin_core::BoxId;
use sillpin_gateway::fleet_state::{BoxEntry, View};
use sillpin_gateway::peers::roles::{DataState, is_among_first, should_read};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

const COUNT: usize = 3;

fn entry(id: &str, zone: &str) -> BoxEntry {
    let addr = ([127, 0, 0, 1], 7).into();
    BoxEntry {
        id: name(id),
        zone: name(zone),
        peers: addr,
        gossip: addr,
        link_mbps: 0,
    }
}

/// Eight boxes of two zones.
fn fleet() -> Vec<BoxEntry> {
    let of = |zone: &'static str| (0..4).map(move |i| entry(&format!("{zone}-{i}"), zone));
    of("za").chain(of("zb")).collect()
}

/// Returns the boxes of a zone that consider themselves chosen, if each box knows all others and
/// treats those in `crashed` as crashed.
fn chosen(zone: &str, crashed: &[BoxId]) -> Vec<BoxId> {
    let all = fleet();
    let mine = all.iter().filter(|me| me.zone == name(zone));
    let running = mine.filter(|me| !crashed.contains(&me.id));
    let is_chosen = |me: &&BoxEntry| {
        let others = all.iter().filter(|peer| peer.id != me.id).cloned();
        let view = View {
            boxes: Arc::new(others.collect()),
            ..View::default()
        };
        is_among_first(&view, me, "duty", COUNT, |id| !crashed.contains(id))
    };
    running.filter(is_chosen).map(|me| me.id.clone()).collect()
}

#[test]
fn as_many_boxes_of_each_zone_are_chosen_as_requested() {
    assert_eq!(chosen("za", &[]).len(), COUNT);
    assert_eq!(chosen("zb", &[]).len(), COUNT);
}

#[test]
fn a_crashed_box_is_replaced() {
    let before = chosen("za", &[]);
    let crashed = vec![before[0].clone()];
    let after = chosen("za", &crashed);
    assert_eq!(after.len(), COUNT);
    assert!(
        before[1..].iter().all(|id| after.contains(id)),
        "the other boxes stay chosen"
    );
}

#[test]
fn the_last_box_of_a_zone_is_always_chosen() {
    let crashed: Vec<BoxId> = (0..3).map(|i| name(&format!("za-{i}"))).collect();
    assert_eq!(chosen("za", &crashed), [name::<BoxId>("za-3")]);
}

/// Number of boxes of a large zone.
const ZONE: usize = 214;

/// Returns how many boxes of a large zone read a resource of which nobody has had news for `age`.
fn reading_after(age: Duration, is_relayed: bool) -> usize {
    let all: Vec<BoxEntry> = (0..ZONE).map(|i| entry(&format!("b-{i}"), "za")).collect();
    let confirmed = Instant::now();
    let reads = |me: &&BoxEntry| {
        let others = all.iter().filter(|peer| peer.id != me.id).cloned();
        let view = View {
            boxes: Arc::new(others.collect()),
            ..View::default()
        };
        let data = DataState {
            confirmed: Some(confirmed),
            is_relayed,
        };
        should_read(&view, me, "store", |_| true, data, confirmed + age)
    };
    all.iter().filter(reads).count()
}

/// Guards against a store that cannot recover since all boxes of a large zone read it together as soon as its reader
/// fails.
#[test]
fn a_failing_resource_is_read_by_few_boxes_at_first() {
    assert_eq!(reading_after(Duration::from_millis(1_000), true), 1);
    let at_first = reading_after(Duration::from_millis(2_000), true);
    assert!((2..12).contains(&at_first), "{at_first} boxes");
    let later = reading_after(Duration::from_millis(3_000), true);
    assert!((at_first..ZONE / 2).contains(&later), "{later} boxes");
}

/// Guards against boxes that rely on others for longer than a target that leaves goes on serving.
#[test]
fn all_boxes_read_a_resource_that_nobody_relays_any_more() {
    assert_eq!(reading_after(Duration::from_millis(4_600), true), ZONE);
    assert_eq!(reading_after(Duration::from_millis(2_001), false), ZONE);
}
