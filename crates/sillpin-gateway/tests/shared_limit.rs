//! Tests of the division of a target's limit among boxes.

mod common;

use common::{engine, name};
use rstest::rstest;
use sillpin_core::{BoxId, ZoneId};
use sillpin_gateway::control::TargetEntry;
use sillpin_gateway::fleet_state::BoxEntry;
use sillpin_gateway::placement::shared_limit::{Admission, ShareGroup, SharedLimit, SharedLimits};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

const PERIOD: Duration = Duration::from_secs(4);

fn limit(total: u32, strict: bool) -> SharedLimit {
    SharedLimit {
        total,
        period: PERIOD,
        strict,
    }
}

/// Returns boxes of zones `z0`, `z1` and so on, with the given number in each.
fn boxes(zones: &[usize]) -> Vec<BoxEntry> {
    let of_zone = |(zone, count): (usize, &usize)| {
        let one = move |index| BoxEntry {
            id: name::<BoxId>(&format!("b-{zone}-{index}")),
            zone: name::<ZoneId>(&format!("z{zone}")),
            peers: ([127, 0, 0, 1], 1).into(),
            gossip: ([127, 0, 0, 1], 2).into(),
            link_mbps: 0,
        };
        (0..*count).map(one).collect::<Vec<_>>()
    };
    zones.iter().enumerate().flat_map(of_zone).collect()
}

/// Returns how many requests each box may send to a target at one moment, in the order of the
/// boxes.
fn sent(
    all: &[BoxEntry],
    pool_zones: &[ZoneId],
    target: &TargetEntry,
    limit: SharedLimit,
    in_contact: bool,
) -> Vec<usize> {
    let now = Instant::now();
    let send = |me: &BoxEntry| {
        let others = all.iter().filter(|other| *other != me).cloned();
        let others = Arc::new(others.collect());
        let share_group = ShareGroup {
            me: &me.id,
            zone: &me.zone,
            others: &others,
            is_membership_known: true,
            is_stopping: false,
            is_in_contact: in_contact,
            pool_zones,
        };
        let mut shared = SharedLimits::new(PERIOD);
        let mut count = 0;
        while shared.admits(&share_group, target, limit, Admission::OwnShare, now) {
            shared.record_sent(&target.id, now);
            count += 1;
        }
        count
    };
    all.iter().map(send).collect()
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn shares_add_up_to_the_limit_in_the_targets_zone(
    #[values(1, 3, 7, 25, 59)] near: usize,
    #[values(1, 7, 152)] total: u32,
    #[values(true, false)] strict: bool,
) {
    let all = boxes(&[near, near, near]);
    let zones: Vec<ZoneId> = ["z0", "z1", "z2"].map(name).into();
    let sent = sent(&all, &zones, &engine("e", "z1"), limit(total, strict), true);
    assert_eq!(sent.iter().sum::<usize>(), total as usize);
    let elsewhere = sent[..near].iter().chain(&sent[2 * near..]);
    assert_eq!(elsewhere.sum::<usize>(), 0);
    let (least, most) = (
        sent[near..2 * near].iter().min(),
        sent[near..2 * near].iter().max(),
    );
    assert!(most.unwrap() - least.unwrap() <= 1);
}

/// No other box would serve the callers of a zone without targets.
#[tokio::test(start_paused = true)]
async fn boxes_of_zones_without_a_target_share_limits_that_are_not_strict() {
    let all = boxes(&[3, 3, 3]);
    let zones: Vec<ZoneId> = ["z0", "z1"].map(name).into();
    let shared = sent(&all, &zones, &engine("e", "z1"), limit(12, false), true);
    assert_eq!(shared, [0, 0, 0, 2, 2, 2, 2, 2, 2]);
    let strict = sent(&all, &zones, &engine("e", "z1"), limit(12, true), true);
    assert_eq!(strict, [0, 0, 0, 4, 4, 4, 0, 0, 0]);
}

#[tokio::test(start_paused = true)]
async fn a_zone_without_boxes_is_served_by_all_others() {
    let all = boxes(&[3, 0, 3]);
    let zones: Vec<ZoneId> = ["z0", "z1", "z2"].map(name).into();
    let sent = sent(&all, &zones, &engine("e", "z1"), limit(12, false), true);
    assert_eq!(sent, [2; 6]);
}

/// While the platform store is unreachable all boxes are out of contact, and still know the same
/// others.
#[tokio::test(start_paused = true)]
async fn a_box_out_of_contact_uses_the_boxes_that_it_knew_unless_the_limit_is_strict() {
    let all = boxes(&[3]);
    let zones: Vec<ZoneId> = vec![name("z0")];
    let target = engine("e", "z0");
    let shared = sent(&all, &zones, &target, limit(6, false), false);
    assert_eq!(shared, [2, 2, 2]);
    let strict = sent(&all, &zones, &target, limit(6, true), false);
    assert_eq!(strict, [0, 0, 0]);
}

#[tokio::test(start_paused = true)]
async fn a_box_may_send_again_when_its_share_is_free() {
    let all = boxes(&[2]);
    let others = Arc::new(vec![all[1].clone()]);
    let zones: Vec<ZoneId> = vec![name("z0")];
    let share_group = ShareGroup {
        me: &all[0].id,
        zone: &all[0].zone,
        others: &others,
        is_membership_known: true,
        is_stopping: false,
        is_in_contact: true,
        pool_zones: &zones,
    };
    let (target, limit) = (engine("e", "z0"), limit(4, false));
    let mut shared = SharedLimits::new(PERIOD);
    let start = Instant::now();
    for _ in 0..2 {
        shared.record_sent(&target.id, Instant::now());
        tokio::time::advance(Duration::from_secs(1)).await;
    }
    let now = Instant::now();
    assert!(!shared.admits(&share_group, &target, limit, Admission::OwnShare, now));
    let free = shared.free_at(&share_group, &target, limit, now).unwrap();
    assert!(free >= start + PERIOD && free < start + PERIOD + Duration::from_millis(200));
    tokio::time::advance(free - now).await;
    assert!(shared.admits(&share_group, &target, limit, Admission::OwnShare, free));
}
