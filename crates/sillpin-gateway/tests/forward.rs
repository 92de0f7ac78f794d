//! Which box gets a request that another cannot serve, and how much a box takes.

mod common;

use common::name;
use hyper::HeaderMap;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;
use sillpin_core::{BoxId, Outcome, PoolId, RegionId, ZoneId};
use sillpin_gateway::control::Life;
use sillpin_gateway::fleet_state::BoxEntry;
use sillpin_gateway::forward::boxes::{Avoidance, BoxChoice, ForwardBoxes, SearchScope};
use sillpin_gateway::forward::capacity::ForwardCapacity;
use sillpin_gateway::forward::head::{
    AnsweringTarget, FORWARD, ForwardHead, ForwardHeadError, ForwardResult, Unavailable,
};
use sillpin_gateway::peers::wire::FleetKey;
use sillpin_gateway::placement::residency::{Residency, ZoneRegions};
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;

fn entry(id: &str, zone: &str) -> BoxEntry {
    BoxEntry {
        id: name(id),
        zone: name(zone),
        peers: ([127, 0, 0, 1], 1).into(),
        gossip: ([127, 0, 0, 1], 2).into(),
        link_mbps: 0,
    }
}

/// A box in zone `za` of region `ra` that chooses among others.
struct Chooser {
    others: Vec<BoxEntry>,
    regions: ZoneRegions,
    homes: Vec<RegionId>,
    zone: ZoneId,
    state: ForwardBoxes,
    rng: StdRng,
}

impl Chooser {
    fn new(others: &[(&str, &str)]) -> Self {
        let regions = [("za", "ra"), ("zb", "ra"), ("zc", "rc")];
        Self {
            others: others.iter().map(|(id, zone)| entry(id, zone)).collect(),
            regions: regions
                .iter()
                .map(|(zone, region)| (name(zone), name(region)))
                .collect(),
            homes: Vec::new(),
            zone: name("za"),
            state: ForwardBoxes::default(),
            rng: StdRng::seed_from_u64(1),
        }
    }

    fn choose(&mut self, pool: &str, tried: &[BoxId]) -> Option<BoxId> {
        self.choose_by(pool, tried, ForwardBoxes::choose)
    }

    fn choose_last_resort(&mut self, pool: &str, tried: &[BoxId]) -> Option<BoxId> {
        self.choose_by(pool, tried, ForwardBoxes::choose_last_resort)
    }

    fn choose_by(
        &mut self,
        pool: &str,
        tried: &[BoxId],
        choose: impl Fn(&ForwardBoxes, &BoxChoice<'_>, &mut StdRng) -> Option<BoxEntry>,
    ) -> Option<BoxId> {
        let residency = Residency {
            route: &self.homes,
            organisation: &[],
            regions: &self.regions,
        };
        let pool: PoolId = name(pool);
        let choice = BoxChoice {
            boxes: &self.others,
            zone: &self.zone,
            pool: &pool,
            residency,
            tried,
            now: Instant::now(),
        };
        let chosen = choose(&self.state, &choice, &mut self.rng)?;
        Some(chosen.id)
    }

    fn avoid(&self, id: &str, pool: &str, why: Avoidance) {
        self.state
            .avoid(&name(id), &name(pool), why, Instant::now());
    }
}

#[tokio::test(start_paused = true)]
async fn boxes_of_the_own_zone_come_first_until_they_have_many_more_requests() {
    let mut chooser = Chooser::new(&[("own", "za"), ("other", "zb")]);
    let mut guards = Vec::new();
    let mut sent: HashMap<BoxId, usize> = HashMap::new();
    for _ in 0..20 {
        let chosen = chooser.choose("llm", &[]).unwrap();
        guards.push(chooser.state.start(&chosen));
        *sent.entry(chosen).or_default() += 1;
    }
    assert_eq!(sent[&name::<BoxId>("own")], 12);
    assert_eq!(sent[&name::<BoxId>("other")], 8);
    drop(guards);
    assert_eq!(chooser.choose("llm", &[]), Some(name("own")));
}

#[tokio::test(start_paused = true)]
async fn a_request_is_offered_to_each_box_once() {
    let mut chooser = Chooser::new(&[("a", "za"), ("b", "zb")]);
    let first = chooser.choose("llm", &[]).unwrap();
    let second = chooser.choose("llm", std::slice::from_ref(&first)).unwrap();
    assert_ne!(first, second);
    assert_eq!(chooser.choose("llm", &[first, second]), None);
}

#[rstest]
#[case::no_path(Avoidance::Unavailable(Unavailable::NoPath), true, 800)]
#[case::busy(Avoidance::Unavailable(Unavailable::Busy), false, 150)]
#[case::stopping(Avoidance::Unavailable(Unavailable::NotReady), false, 2_000)]
#[case::unreachable(Avoidance::Unreachable, false, 2_000)]
#[tokio::test(start_paused = true)]
async fn a_box_that_did_not_serve_a_request_is_avoided_for_a_while(
    #[case] why: Avoidance,
    #[case] only_pool: bool,
    #[case] for_ms: u64,
) {
    let mut chooser = Chooser::new(&[("a", "za")]);
    chooser.avoid("a", "llm", why);
    assert_eq!(chooser.choose("llm", &[]), None);
    assert_eq!(chooser.choose("app", &[]).is_some(), only_pool);
    tokio::time::advance(Duration::from_millis(for_ms)).await;
    assert!(chooser.choose("llm", &[]).is_some());
}

#[rstest]
#[case::no_limits(&[], &["a", "b"])]
#[case::home_is_the_other_region(&["rc"], &["a", "b", "c"])]
#[tokio::test(start_paused = true)]
async fn a_request_leaves_the_region_only_for_its_homes(
    #[case] homes: &[&str],
    #[case] allowed: &[&str],
) {
    let mut chooser = Chooser::new(&[("a", "za"), ("b", "zb"), ("c", "zc")]);
    chooser.homes = homes.iter().map(|home| name(home)).collect();
    let mut tried: Vec<BoxId> = Vec::new();
    while let Some(chosen) = chooser.choose("llm", &tried) {
        tried.push(chosen);
    }
    tried.sort();
    let allowed: Vec<BoxId> = allowed.iter().map(|id| name(id)).collect();
    assert_eq!(tried, allowed);
}

/// Boxes that learn only from answers find the one of many that reaches the targets, and ask the others seldom.
#[tokio::test(start_paused = true)]
async fn the_only_box_with_paths_is_found_among_many() {
    let ids: Vec<String> = (0..40).map(|index| format!("b-{index:02}")).collect();
    let others: Vec<(&str, &str)> = ids.iter().map(|id| (id.as_str(), "za")).collect();
    let mut chooser = Chooser::new(&others);
    let (mut served, mut asked) = (0, 0);
    for _ in 0..200 {
        let mut tried = Vec::new();
        while tried.len() < 3 {
            let Some(chosen) = chooser.choose("llm", &tried) else {
                break;
            };
            asked += 1;
            if chosen == name("b-17") {
                served += 1;
                break;
            }
            chooser.avoid(
                chosen.as_str(),
                "llm",
                Avoidance::Unavailable(Unavailable::NoPath),
            );
            tried.push(chosen);
        }
        tokio::time::advance(Duration::from_millis(20)).await;
    }
    assert!(served >= 120, "{served} of 200 served");
    assert!(asked <= 500, "{asked} boxes asked");
}

#[tokio::test]
async fn a_box_takes_as_many_requests_of_others_as_its_memory_and_descriptors_allow() {
    for (memory, descriptors, most) in [(64 << 20, 1_000, 250), (16 << 20, 4_100, 64)] {
        let capacity = ForwardCapacity::new(memory, descriptors);
        let mut permits = Vec::new();
        while let Some(permit) = capacity.reserve().await {
            permits.push(permit);
        }
        assert_eq!(permits.len(), most);
        permits.pop();
        assert!(capacity.reserve().await.is_some());
    }
}

#[tokio::test]
async fn a_box_whose_tasks_run_late_takes_no_requests_of_others() {
    let capacity = ForwardCapacity::new(64 << 20, 1_000);
    let busy = tokio::spawn(async {
        std::thread::sleep(Duration::from_millis(60));
    });
    assert!(capacity.reserve().await.is_none());
    busy.await.unwrap();
}

#[test]
fn headers_between_boxes_are_read_back_and_removed() {
    let fleet = FleetKey::of(([10, 0, 0, 1], 8_744).into());
    let head = ForwardHead {
        fleet,
        from: name("box-1"),
        waited_ms: 12,
        max_runs: 2,
        counted: true,
        version: None,
        last_resort: true,
        pool: Some(name("llm")),
    };
    let mut headers = HeaderMap::new();
    head.set(&mut headers);
    assert_eq!(ForwardHead::take(&mut headers, fleet), Ok(head.clone()));
    assert!(headers.is_empty());
    assert_eq!(
        ForwardHead::take(&mut headers, fleet),
        Err(ForwardHeadError::Missing(FORWARD))
    );
    head.set(&mut headers);
    let other = FleetKey::of(([10, 0, 0, 2], 8_744).into());
    assert_eq!(
        ForwardHead::take(&mut headers, other),
        Err(ForwardHeadError::Foreign)
    );
    let target = AnsweringTarget {
        id: "i-1".parse().unwrap(),
        life: Some(Life(7)),
    };
    for result in [
        ForwardResult::Target {
            version: None,
            target: Some(target),
        },
        ForwardResult::Target {
            version: None,
            target: None,
        },
        ForwardResult::Unavailable(Unavailable::Busy),
        ForwardResult::Refused {
            outcome: Outcome::Unknown,
            reason: "the engine’s answer broke off".to_owned(),
            retry_after_ms: None,
        },
    ] {
        let mut headers = HeaderMap::new();
        result.set(&mut headers);
        assert_eq!(ForwardResult::take(&mut headers), Ok(result));
    }
}

const NO_PATH: Avoidance = Avoidance::Unavailable(Unavailable::NoPath);

#[tokio::test(start_paused = true)]
async fn another_zone_is_asked_once_a_box_of_the_own_zone_has_no_path() {
    let mut chooser = Chooser::new(&[("own-1", "za"), ("own-2", "za"), ("other", "zb")]);
    let first = chooser.choose("llm", &[]).unwrap();
    assert!(first.as_str().starts_with("own"));
    chooser.avoid(first.as_str(), "llm", NO_PATH);
    assert_eq!(chooser.choose("llm", &[first]), Some(name("other")));
    assert!(
        chooser
            .choose("app", &[])
            .unwrap()
            .as_str()
            .starts_with("own")
    );
}

#[tokio::test(start_paused = true)]
async fn boxes_that_served_requests_or_were_named_come_before_unknown_ones() {
    let ids: Vec<String> = (0..20).map(|index| format!("b-{index:02}")).collect();
    let others: Vec<(&str, &str)> = ids.iter().map(|id| (id.as_str(), "za")).collect();
    let mut chooser = Chooser::new(&others);
    let (pool, now) = (name::<PoolId>("llm"), Instant::now());
    chooser.state.record_served(&name("b-03"), &pool, now);
    chooser.state.record_named(&name("b-07"), &pool, now);
    chooser.state.record_named(&name("b-11"), &pool, now);
    let known = ["b-03", "b-07", "b-11"];
    for _ in 0..100 {
        let chosen = chooser.choose("llm", &[]).unwrap();
        assert!(known.contains(&chosen.as_str()), "{chosen}");
    }
    chooser.avoid("b-07", "llm", NO_PATH);
    chooser.state.record_named(&name("b-07"), &pool, now);
    for _ in 0..100 {
        assert_ne!(chooser.choose("llm", &[]), Some(name("b-07")));
    }
}

/// Guards against asking all boxes of a fleet in vain while the one that reaches the targets is busy.
#[tokio::test(start_paused = true)]
async fn boxes_that_may_lack_a_path_are_asked_seldom_while_the_known_one_is_busy() {
    let ids: Vec<String> = (0..20).map(|index| format!("b-{index:02}")).collect();
    let others: Vec<(&str, &str)> = ids.iter().map(|id| (id.as_str(), "za")).collect();
    let mut chooser = Chooser::new(&others);
    let pool: PoolId = name("llm");
    chooser
        .state
        .record_served(&name("b-03"), &pool, Instant::now());
    chooser.avoid("b-03", "llm", Avoidance::Unavailable(Unavailable::Busy));
    for _ in 0..100 {
        assert_eq!(chooser.choose("llm", &[name("b-07")]), None);
    }
    let asked = (0..100).filter(|_| chooser.choose("llm", &[]).is_some());
    assert!((1..=40).contains(&asked.count()));
    tokio::time::advance(Duration::from_millis(150)).await;
    assert_eq!(chooser.choose("llm", &[name("b-07")]), Some(name("b-03")));
}

#[tokio::test(start_paused = true)]
async fn a_box_names_only_boxes_that_served_its_own_requests_recently() {
    let mut chooser = Chooser::new(&[("a", "za"), ("b", "za"), ("c", "za")]);
    let pool: PoolId = name("llm");
    chooser
        .state
        .record_served(&name("a"), &pool, Instant::now());
    chooser
        .state
        .record_named(&name("b"), &pool, Instant::now());
    chooser
        .state
        .record_served(&name("c"), &pool, Instant::now());
    chooser.avoid("c", "llm", NO_PATH);
    let mut named = || {
        let now = Instant::now();
        chooser.state.proven(&pool, now, &mut chooser.rng)
    };
    assert_eq!(named(), [name("a")]);
    tokio::time::advance(Duration::from_secs(5)).await;
    assert_eq!(named(), []);
}

#[tokio::test(start_paused = true)]
async fn a_zone_of_which_two_boxes_cannot_be_reached_is_left_alone_for_a_while() {
    let ids: Vec<String> = (0..20).map(|index| format!("b-{index:02}")).collect();
    let mut others: Vec<(&str, &str)> = ids.iter().map(|id| (id.as_str(), "zb")).collect();
    others.push(("own", "za"));
    let mut chooser = Chooser::new(&others);
    chooser.avoid("own", "llm", NO_PATH);
    let mut tried = Vec::new();
    while let Some(chosen) = chooser.choose("llm", &tried) {
        chooser.avoid(chosen.as_str(), "llm", Avoidance::Unreachable);
        tried.push(chosen);
    }
    assert_eq!(tried.len(), 2, "{tried:?}");
    assert_eq!(chooser.choose("llm", &[]), None);
    tokio::time::advance(Duration::from_secs(2)).await;
    assert!(chooser.choose("llm", &[]).is_some());
}

/// Boxes in six zones, most of which are cut off, each with few requests.
#[rstest]
#[case::three_zones(190)]
#[case::all_but_five_boxes(375)]
#[tokio::test(start_paused = true)]
async fn boxes_of_a_large_fleet_find_the_ones_that_reach_targets(#[case] cut: usize) {
    const BOXES: usize = 380;
    let ids: Vec<String> = (0..BOXES).map(|index| format!("b-{index:03}")).collect();
    let zones = ["za", "zd", "ze", "zf", "zg", "zb"];
    let zone_of = |index: usize| zones[index * zones.len() / BOXES];
    let all: Vec<(&str, &str)> = ids
        .iter()
        .enumerate()
        .map(|(index, id)| (id.as_str(), zone_of(index)))
        .collect();
    let mut choosers: Vec<Chooser> = (0..cut)
        .map(|index| {
            let mut others = all.clone();
            others.remove(index);
            let mut chooser = Chooser::new(&others);
            chooser.regions = zones.iter().map(|zone| (name(zone), name("ra"))).collect();
            chooser.zone = name(zone_of(index));
            chooser.rng = StdRng::seed_from_u64(index as u64);
            chooser
        })
        .collect();
    let pool: PoolId = name("llm");
    let mut served_by_round = Vec::new();
    for _ in 0..8 {
        let mut served = 0;
        for index in 0..cut {
            let mut tried: Vec<BoxId> = Vec::new();
            while tried.len() < 8 {
                let Some(chosen) = choosers[index].choose("llm", &tried) else {
                    break;
                };
                let number: usize = chosen.as_str()[2..].parse().unwrap();
                let now = Instant::now();
                if number >= cut {
                    choosers[index].state.record_served(&chosen, &pool, now);
                    served += 1;
                    break;
                }
                choosers[index].avoid(chosen.as_str(), "llm", NO_PATH);
                let asked = &mut choosers[number];
                for id in asked.state.proven(&pool, now, &mut asked.rng) {
                    choosers[index].state.record_named(&id, &pool, now);
                }
                tried.push(chosen);
            }
        }
        served_by_round.push(served as f64 / cut as f64);
        tokio::time::advance(Duration::from_millis(250)).await;
    }
    let late = &served_by_round[4..];
    assert!(
        late.iter().all(|share| *share >= 0.95),
        "{served_by_round:?}"
    );
}

#[tokio::test(start_paused = true)]
async fn boxes_that_reach_a_few_targets_are_the_last_resort_until_one_that_reaches_most_is_known() {
    let mut chooser = Chooser::new(&[("few", "za"), ("none", "za"), ("most", "zb")]);
    let pool: PoolId = name("llm");
    for id in ["few", "none"] {
        chooser.avoid(id, "llm", NO_PATH);
    }
    assert_eq!(chooser.choose_last_resort("llm", &[]), None);
    let now = Instant::now();
    chooser.state.record_few_paths(&name("few"), &pool, now);
    assert_eq!(chooser.choose_last_resort("llm", &[]), Some(name("few")));
    assert_eq!(chooser.choose_last_resort("llm", &[name("few")]), None);
    assert_eq!(chooser.choose_last_resort("app", &[]), None);
    chooser.avoid("few", "llm", Avoidance::Unreachable);
    assert_eq!(chooser.choose_last_resort("llm", &[]), None);

    let mut scope = |reaches_any| {
        let now = Instant::now();
        let state = &chooser.state;
        state.search_scope(&pool, reaches_any, now, &mut chooser.rng)
    };
    assert_eq!(scope(true), SearchScope::Full);
    chooser.state.record_failed_search(&pool, Instant::now());
    assert_ne!(scope(true), SearchScope::Full);
    chooser
        .state
        .record_named(&name("most"), &pool, Instant::now());
    assert_eq!(scope(true), SearchScope::Full);
}

#[tokio::test(start_paused = true)]
async fn a_box_without_any_path_goes_on_searching_while_it_knows_no_last_resort() {
    let mut chooser = Chooser::new(&[("a", "za"), ("b", "zb")]);
    let pool: PoolId = name("llm");
    chooser.state.record_failed_search(&pool, Instant::now());
    for _ in 0..100 {
        let state = &chooser.state;
        let scope = state.search_scope(&pool, false, Instant::now(), &mut chooser.rng);
        assert_eq!(scope, SearchScope::Full);
    }
}

/// A fleet in which no box reaches most targets, half of them a few, and one box with four requests a second.
#[tokio::test(start_paused = true)]
async fn few_boxes_are_asked_in_vain_where_none_reaches_most_targets() {
    let ids: Vec<String> = (0..58).map(|index| format!("b-{index:02}")).collect();
    let others: Vec<(&str, &str)> = ids.iter().map(|id| (id.as_str(), "za")).collect();
    let mut chooser = Chooser::new(&others);
    let pool: PoolId = name("llm");
    let (mut served, mut offers, mut sent) = (0, 0, 0);
    for request in 0..80 {
        let state = chooser.state.clone();
        let scope = state.search_scope(&pool, false, Instant::now(), &mut chooser.rng);
        let mut tried = Vec::new();
        let max = match scope {
            SearchScope::Full => 8,
            SearchScope::One => 1,
            SearchScope::Nothing => 0,
        };
        while tried.len() < max {
            let Some(asked) = chooser.choose("llm", &tried) else {
                break;
            };
            let number: usize = asked.as_str()[2..].parse().unwrap();
            if number.is_multiple_of(2) {
                state.record_few_paths(&asked, &pool, Instant::now());
            }
            chooser.avoid(asked.as_str(), "llm", NO_PATH);
            tried.push(asked);
        }
        if scope == SearchScope::Full {
            state.record_failed_search(&pool, Instant::now());
        }
        let last_resort = chooser.choose_last_resort("llm", &[]);
        if let Some(id) = &last_resort {
            state.record_few_paths(id, &pool, Instant::now());
        }
        if request >= 8 {
            sent += 1;
            offers += tried.len() + usize::from(last_resort.is_some());
            served += usize::from(last_resort.is_some());
        }
        tokio::time::advance(Duration::from_millis(250)).await;
    }
    assert_eq!(served, sent);
    assert!(offers * 5 <= sent * 6, "{offers} offers of {sent} requests");
}
