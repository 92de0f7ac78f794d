//! Where the parts of a prompt come from and go to.

mod common;

use common::{anywhere, name, store};
use rstest::rstest;
use sillpin_core::{Tokens, WeightVersion, ZoneId};
use sillpin_gateway::config::{EngineSpec, FleetConfig, StoreSpec};
use sillpin_gateway::control::{PartKey, StoreListing};
use sillpin_gateway::dialect::{EngineDirectives, EngineTime, Part, PartId, Prompt};
use sillpin_gateway::kept::Kept;
use sillpin_gateway::place::parts::{Plan, PlanInputs, plan, salt};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

const VERSION: WeightVersion = WeightVersion(1);

/// A shared part that others follow, the last shared part, and the request's own.
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

/// Two stores that are alike, in two zones.
fn stores() -> Vec<StoreSpec> {
    vec![
        store("s-a", 7, "za", 1_000_000, 1),
        store("s-b", 8, "zb", 1_000_000, 1),
    ]
}

/// A plan made while the stores hold `session` as said, and what an engine in `zone` is told.
fn sending(in_a: bool, in_b: bool, zone: &str) -> (Plan, EngineDirectives) {
    let (prompt, stores, kept) = (prompt(), stores(), Kept::default());
    let now = Instant::now();
    let salt = salt(&prompt, VERSION, None);
    for (store, holds) in stores.iter().zip([in_a, in_b]) {
        let key = PartKey {
            salt: salt.salt(),
            part: PartId("session".to_owned()),
        };
        let list = StoreListing {
            epoch: 1,
            next: 1,
            complete: holds.then_some((key, Tokens(500))).into_iter().collect(),
            partial: Vec::new(),
        };
        kept.lock().take_list(store.addr, list, now);
    }
    kept.lock().take_clock(Some(EngineTime(0)), now);
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
        kept: &kept,
        residency: anywhere(),
        in_touch: true,
        now,
    };
    let plan = plan(&prompt, &salt, &inputs);
    let zone: ZoneId = name(zone);
    let sending = plan.sending(VERSION, &zone, &mut kept.lock(), FETCH_TIME, now);
    (plan, sending)
}

/// Time that a fetch gets.
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
    let (_, sending) = sending(in_a, in_b, zone);
    assert_eq!(port(sending.fetch[1]), from);
    assert_eq!(sending.save[1], None, "it is kept already");
}

#[rstest]
#[case("za", 7)]
#[case("zb", 8)]
#[tokio::test(start_paused = true)]
async fn a_part_that_nobody_holds_is_saved_near_the_engine(#[case] zone: &str, #[case] at: u16) {
    let (plan, sending) = sending(false, false, zone);
    assert_eq!(sending.fetch, [None, None, None]);
    let saved: Vec<Option<u16>> = sending.save.iter().map(|addr| port(*addr)).collect();
    assert_eq!(
        saved,
        [Some(at), Some(at), None],
        "the last is nobody else's"
    );
    assert_eq!(plan.describe(&sending), "first:100:save,session:500:save");
}

#[tokio::test(start_paused = true)]
async fn an_engine_of_a_third_zone_saves_to_either() {
    let (_, sending) = sending(false, false, "zc");
    assert!(sending.save[0].is_some() && sending.save[1].is_some());
}
