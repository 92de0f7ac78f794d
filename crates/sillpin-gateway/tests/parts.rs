//! Tests of where the parts of a prompt are fetched from and stored.

mod common;

use common::{anywhere, name, store};
use rstest::rstest;
use sillpin_core::{Tokens, WeightVersion, ZoneId};
use sillpin_gateway::cache_stores::CacheStores;
use sillpin_gateway::cache_stores::isolation::{IsolatedSet, Sharing};
use sillpin_gateway::config::{EngineSpec, FleetConfig, StoreSpec};
use sillpin_gateway::control::{PartKey, StoreListing};
use sillpin_gateway::dialect::{EngineDirectives, EngineTime, Part, PartId, Prompt};
use sillpin_gateway::placement::engine_speed::{PoolSpeed, PrefillRate};
use sillpin_gateway::placement::parts::{Plan, PlanInputs, plan, salt};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

const VERSION: WeightVersion = WeightVersion(1);

/// Returns a prompt of a first shared part, the last shared part, and a part of its own.
fn prompt() -> Prompt {
    let part = |id: &str, tokens| Part {
        id: PartId(id.to_owned()),
        tokens: Tokens(tokens),
    };
    Prompt {
        model: name("m"),
        parts: vec![part("first", 100), part("session", 500), part("own", 50)],
        tokens: Tokens(650),
        max_output: Tokens(10),
    }
}

/// Returns two equal stores in two zones.
fn stores() -> Vec<StoreSpec> {
    vec![
        store("s-a", 7, "za", 1_000_000, 1),
        store("s-b", 8, "zb", 1_000_000, 1),
    ]
}

/// Returns a plan made while the given stores hold `session`, and the instructions for an engine in
/// `zone`.
fn directives(in_a: bool, in_b: bool, zone: &str) -> (Plan, EngineDirectives) {
    let all = Sharing::AllBut(IsolatedSet::NONE);
    directives_of(all.clone(), all, (in_a, in_b), zone)
}

/// As [`directives`], for a part that `makers` share and a prompt of one of `users`.
fn directives_of(
    makers: Sharing,
    users: Sharing,
    (in_a, in_b): (bool, bool),
    zone: &str,
) -> (Plan, EngineDirectives) {
    let (prompt, stores, cache_stores) = (prompt(), stores(), CacheStores::default());
    let now = Instant::now();
    let held = salt(&prompt, VERSION, makers);
    let salt = salt(&prompt, VERSION, users);
    for (store, holds) in stores.iter().zip([in_a, in_b]) {
        let key = PartKey {
            salt: held.salt(),
            part: PartId("session".to_owned()),
        };
        let list = StoreListing {
            epoch: 1,
            next: 1,
            complete: holds.then_some((key, Tokens(500))).into_iter().collect(),
            partial: Vec::new(),
        };
        cache_stores.lock().apply_list(store.addr, list, now);
    }
    cache_stores.lock().set_clock(Some(EngineTime(0)), now);
    let config = FleetConfig {
        stores,
        ..FleetConfig::default()
    };
    let engine = EngineSpec {
        slots: 64,
        capacity: Tokens(40_000),
        token_bytes: 18_432,
        models: vec![name("m")],
    };
    let inputs = PlanInputs {
        config: &config,
        engine: &engine,
        cache_stores: &cache_stores,
        residency: anywhere(),
        in_contact: true,
        speed: PoolSpeed::default(),
        now,
    };
    let plan = plan(&prompt, &salt, &inputs);
    let zone: ZoneId = name(zone);
    let directives = plan.directives(VERSION, &zone, &mut cache_stores.lock(), FETCH_TIME, now);
    (plan, directives)
}

/// Time allowed for a fetch.
const FETCH_TIME: Duration = Duration::from_millis(700);

fn port(addr: Option<SocketAddr>) -> Option<u16> {
    addr.map(|addr| addr.port())
}

#[rstest]
#[case::both_near_a(true, true, "za", Some(7))]
#[case::both_near_b(true, true, "zb", Some(8))]
#[case::only_the_far_one(true, false, "zb", Some(7))]
#[tokio::test(start_paused = true)]
async fn a_part_is_fetched_from_the_nearest_store_that_holds_it(
    #[case] in_a: bool,
    #[case] in_b: bool,
    #[case] zone: &str,
    #[case] from: Option<u16>,
) {
    let (_, directives) = directives(in_a, in_b, zone);
    assert_eq!(port(directives.fetch[1]), from);
    assert_eq!(directives.save[1], None, "it is stored already");
}

#[rstest]
#[case::for_the_others(Sharing::AllBut("00000000000000ff".parse().unwrap()))]
#[case::for_the_isolated_one(Sharing::Only(name("acme")))]
#[tokio::test(start_paused = true)]
async fn a_part_was_fetched_that_was_stored_before_an_organisation_was_isolated(
    #[case] users: Sharing,
) {
    let makers = Sharing::AllBut(IsolatedSet::NONE);
    let (_, directives) = directives_of(makers, users, (true, true), "za");
    assert_eq!(port(directives.fetch[1]), None);
    assert_eq!(port(directives.save[1]), Some(7), "it is saved anew");
}

#[rstest]
#[case("za", 7)]
#[case("zb", 8)]
#[tokio::test(start_paused = true)]
async fn a_part_that_nobody_holds_is_saved_near_the_engine(#[case] zone: &str, #[case] at: u16) {
    let (plan, directives) = directives(false, false, zone);
    assert_eq!(directives.fetch, [None, None, None]);
    let saved: Vec<Option<u16>> = directives.save.iter().map(|addr| port(*addr)).collect();
    assert_eq!(
        saved,
        [Some(at), Some(at), None],
        "no other request shares the last part"
    );
    assert_eq!(
        plan.describe(&directives),
        "first:100:save,session:500:save"
    );
}

#[tokio::test(start_paused = true)]
async fn an_engine_of_a_third_zone_saves_to_either() {
    let (_, directives) = directives(false, false, "zc");
    assert!(directives.save[0].is_some() && directives.save[1].is_some());
}

/// Guards against plans that assume the engines of one deployment.
#[rstest]
#[case(36.7)]
#[case(110.0)]
#[tokio::test(start_paused = true)]
async fn the_time_of_a_prefill_follows_the_rate_of_the_pool(#[case] rate: f64) {
    let (mut plan, _) = directives(false, false, "za");
    plan.speed.rate = PrefillRate(rate);
    let expected = 650.0 / rate;
    assert!((plan.prompt_time_ms(&name("za")) - expected).abs() < 1e-6);
    assert!((plan.shared_cost(&name("za")) - 600.0 / rate).abs() < 1e-6);
}
