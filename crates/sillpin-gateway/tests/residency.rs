//! Tests that requests, and the stored parts of their prompts, do not leave their regions.

mod common;

use common::{engine, name, store};
use rstest::rstest;
use sillpin_core::{RegionId, TargetId, Tokens, WeightVersion, ZoneId};
use sillpin_gateway::cache_stores::CacheStores;
use sillpin_gateway::cache_stores::isolation::{IsolatedSet, Sharing};
use sillpin_gateway::config::{EngineSpec, FleetConfig};
use sillpin_gateway::control::{PartKey, StoreListing, TargetEntry};
use sillpin_gateway::dialect::{Part, PartId, Prompt};
use sillpin_gateway::placement::engine_speed::PoolSpeed;
use sillpin_gateway::placement::index::TargetIndex;
use sillpin_gateway::placement::parts::{PlanInputs, plan, salt};
use sillpin_gateway::placement::residency::{Residency, ZoneRegion, ZoneRegions};
use sillpin_gateway::placement::{ChoiceInputs, Loads, SoftwareFilter, choose};
use std::collections::HashMap;
use std::sync::Arc;
use tokio::time::Instant;

fn regions(names: &[&str]) -> Vec<RegionId> {
    names.iter().map(|text| name(text)).collect()
}

/// Zones `za` and `zb` in `east`, `zc` in `west`, `zd` in `north`.
fn zones() -> ZoneRegions {
    let texts = ["za/east", "zb/east", "zc/west", "zd/north"];
    let parsed = texts.map(|text| text.parse::<ZoneRegion>().unwrap());
    parsed.into_iter().map(|z| (z.zone, z.region)).collect()
}

#[rstest]
#[case::none_named(&[], &[], "za zb zc zd ze")]
#[case::the_routes(&["west"], &[], "zc")]
#[case::the_organisations(&[], &["east", "west"], "za zb zc")]
#[case::both_apply(&["east", "north"], &["east", "west"], "za zb")]
#[case::none_left(&["north"], &["west"], "")]
#[case::no_such_region(&["south"], &[], "")]
fn zones_are_allowed_by_their_region(
    #[case] route: &[&str],
    #[case] organisation: &[&str],
    #[case] allowed: &str,
) {
    let (route, organisation, zones) = (regions(route), regions(organisation), zones());
    let residency = Residency {
        route: &route,
        organisation: &organisation,
        regions: &zones,
    };
    let all = ["za", "zb", "zc", "zd", "ze"];
    let found = all.into_iter().filter(|zone| residency.allows(&name(zone)));
    assert_eq!(found.collect::<Vec<_>>().join(" "), allowed);
}

#[rstest]
#[case("za")]
#[case("za/")]
#[case("/east")]
#[case("za/Ea\u{1}st")]
fn a_zone_without_a_region_is_refused(#[case] text: &str) {
    assert!(text.parse::<ZoneRegion>().is_err());
}

/// The only engine of the region is the busiest of all, and is chosen nevertheless; if there is
/// none, no engine is chosen.
#[rstest]
#[case::a_busy_one(&["west"], Some("e-zc"))]
#[case::none(&["south"], None)]
#[tokio::test(start_paused = true)]
async fn a_request_goes_to_targets_of_its_regions_only(
    #[case] route: &[&str],
    #[case] chosen: Option<&str>,
    #[values(false, true)] reported_late: bool,
) {
    let entries = ["za", "zb", "zc"].map(|zone| engine(&format!("e-{zone}"), zone));
    let targets: HashMap<TargetId, Arc<TargetEntry>> = entries
        .into_iter()
        .map(|entry| (entry.id.clone(), Arc::new(entry)))
        .collect();
    let loads = Loads::default();
    let _busy: Vec<_> = (0..9)
        .map(|_| loads.start(&name("e-zc"), Default::default()))
        .collect();
    let (route, zones, zone): (_, _, ZoneId) = (regions(route), zones(), name("za"));
    let choice = ChoiceInputs {
        targets: &TargetIndex::new(&targets),
        reported_late,
        loads: &loads,
        pool: &name("llm"),
        zone: &zone,
        max_in_flight: 10,
        tried: &[],
        body_len: 0,
        prompt: None,
        residency: Residency {
            route: &route,
            organisation: &[],
            regions: &zones,
        },
        limit_context: None,
        streams: None,
        software: SoftwareFilter::Any,
        now: Instant::now(),
    };
    let found = choose(&choice).map(|found| found.target.id.to_string());
    assert_eq!(found.as_deref(), chosen);
}

/// A part is neither fetched from a store of another region nor saved there, though that store
/// holds it and has the most free capacity.
#[tokio::test(start_paused = true)]
async fn stored_parts_stay_in_the_regions_of_their_prompt() {
    let now = Instant::now();
    let (near, far) = (
        store("near", 7, "za", 10_000, 1),
        store("far", 8, "zc", 90_000, 1),
    );
    let config = FleetConfig {
        stores: vec![near.clone(), far.clone()],
        ..FleetConfig::default()
    };
    let parts = [("kept", 500), ("own", 100)].map(|(id, tokens)| Part {
        id: PartId(id.to_owned()),
        tokens: Tokens(tokens),
    });
    let prompt = Prompt {
        model: name("m"),
        parts: parts.to_vec(),
        tokens: Tokens(600),
        max_output: Tokens(10),
    };
    let salt = salt(
        &prompt,
        WeightVersion(1),
        Sharing::AllBut(IsolatedSet::NONE),
    );
    let key = PartKey {
        salt: salt.salt(),
        part: PartId("kept".to_owned()),
    };
    let cache_stores = CacheStores::default();
    for (addr, complete) in [(near.addr, vec![]), (far.addr, vec![(key, Tokens(500))])] {
        let list = StoreListing {
            epoch: 1,
            next: 1,
            complete,
            partial: vec![],
        };
        cache_stores.lock().apply_list(addr, list, now);
    }
    let engine = EngineSpec {
        slots: 8,
        capacity: Tokens(10_000),
        token_bytes: 1,
        models: vec![name("m")],
    };
    let (east, zones) = (regions(&["east"]), zones());
    let plan_within = |route: &[RegionId]| {
        let inputs = PlanInputs {
            config: &config,
            engine: &engine,
            cache_stores: &cache_stores,
            residency: Residency {
                route,
                organisation: &[],
                regions: &zones,
            },
            in_contact: true,
            speed: PoolSpeed::default(),
            now,
        };
        let part = plan(&prompt, &salt, &inputs).shared.remove(0);
        let names = |stores: &[sillpin_gateway::config::StoreSpec]| {
            stores
                .iter()
                .map(|store| store.id.to_string())
                .collect::<Vec<_>>()
        };
        (names(&part.sources), names(&part.homes))
    };
    assert_eq!(plan_within(&[]).0, ["far"]);
    assert_eq!(plan_within(&east), (vec![], vec!["near".to_owned()]));
}
