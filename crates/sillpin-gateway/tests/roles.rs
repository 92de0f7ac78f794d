//! Which boxes do what only a few of a zone need to do.

mod common;

use common::name;
use sillpin_core::BoxId;
use sillpin_gateway::beliefs::{BoxEntry, View};
use sillpin_gateway::peers::roles::is_among;
use std::sync::Arc;

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

/// Who of a zone is among the first, when each box knows all others and takes `dead` for gone.
fn chosen(zone: &str, dead: &[BoxId]) -> Vec<BoxId> {
    let all = fleet();
    let mine = all.iter().filter(|me| me.zone == name(zone));
    let alive = mine.filter(|me| !dead.contains(&me.id));
    let is_chosen = |me: &&BoxEntry| {
        let others = all.iter().filter(|peer| peer.id != me.id).cloned();
        let view = View {
            boxes: Arc::new(others.collect()),
            ..View::default()
        };
        is_among(&view, me, "duty", COUNT, |id| !dead.contains(id))
    };
    alive.filter(is_chosen).map(|me| me.id.clone()).collect()
}

#[test]
fn as_many_boxes_of_each_zone_are_chosen_as_asked() {
    assert_eq!(chosen("za", &[]).len(), COUNT);
    assert_eq!(chosen("zb", &[]).len(), COUNT);
}

#[test]
fn a_box_that_is_not_heard_is_replaced() {
    let before = chosen("za", &[]);
    let dead = vec![before[0].clone()];
    let after = chosen("za", &dead);
    assert_eq!(after.len(), COUNT);
    assert!(
        before[1..].iter().all(|id| after.contains(id)),
        "the others stay"
    );
}

#[test]
fn the_last_box_of_a_zone_is_always_chosen() {
    let dead: Vec<BoxId> = (0..3).map(|i| name(&format!("za-{i}"))).collect();
    assert_eq!(chosen("za", &dead), [name::<BoxId>("za-3")]);
}
