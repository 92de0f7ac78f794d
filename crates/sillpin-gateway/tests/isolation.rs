//! Tests of which organisations share parts of prompts while operators isolate some of them.

mod common;

use common::name;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use sillpin_core::OrgId;
use sillpin_gateway::cache_stores::isolation::{IsolatedOrganisations, IsolatedSet, Sharing};
use sillpin_gateway::cache_stores::salt::SaltParts;
use sillpin_gateway::config::{FleetConfig, Organisation};
use std::collections::{HashMap, HashSet};
use std::sync::Arc;

const ORGS: [&str; 5] = ["a", "b", "c", "ab", "d"];

/// Returns an organisation.
fn org(id: &str, isolated: bool) -> Arc<Organisation> {
    Arc::new(Organisation {
        id: name(id),
        keys: vec![format!("key-{id}")],
        priority: None,
        isolated,
        regions: Vec::new(),
    })
}

/// Returns a configuration with these organisations; those with a `!` are isolated.
fn config(orgs: &str) -> FleetConfig {
    let parse = |text: &str| org(text.trim_end_matches('!'), text.ends_with('!'));
    FleetConfig {
        organisations: orgs.split_whitespace().map(parse).collect(),
        ..FleetConfig::default()
    }
}

fn set(orgs: &str) -> IsolatedSet {
    IsolatedOrganisations::of(&config(orgs)).set()
}

/// Returns a configuration in which each organisation is absent, open or isolated.
fn any_config(rng: &mut StdRng) -> FleetConfig {
    let mut organisations = Vec::new();
    for id in ORGS {
        if rng.random_bool(0.8) {
            organisations.push(org(id, rng.random_bool(0.3)));
        }
    }
    FleetConfig {
        organisations,
        ..FleetConfig::default()
    }
}

fn is_isolated(config: &FleetConfig, id: &OrgId) -> bool {
    let mut orgs = config.organisations.iter();
    orgs.any(|org| org.id == *id && org.isolated)
}

/// Boxes learn of configurations in order, late, and some of them not at all.
fn learn(known: &mut usize, newest: usize, rng: &mut StdRng) {
    if rng.random_bool(0.4) {
        *known = rng.random_range(*known..=newest);
    }
}

#[rstest]
fn a_box_used_parts_while_their_maker_or_user_was_isolated(
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
) {
    let mut rng = StdRng::seed_from_u64(seed);
    let configs: Vec<FleetConfig> = (0..200).map(|_| any_config(&mut rng)).collect();
    let mut boxes = [0; 4];
    let mut makers: HashMap<Sharing, HashSet<OrgId>> = HashMap::new();
    for newest in 0..configs.len() {
        for known in &mut boxes {
            learn(known, newest, &mut rng);
            let in_force = &configs[*known];
            // A request may have been admitted under an earlier configuration.
            let admitted = &configs[rng.random_range(known.saturating_sub(2)..=*known)];
            let Some(org) = admitted.organisations.choose(&mut rng) else {
                continue;
            };
            let sharing = IsolatedOrganisations::of(in_force).sharing(Some(org));
            let of_salt = makers.entry(sharing).or_default();
            let others = of_salt.iter().filter(|maker| **maker != org.id);
            let mut walled = others
                .filter(|maker| is_isolated(in_force, maker) || is_isolated(in_force, &org.id));
            assert_eq!(walled.next(), None, "{org:?} under {in_force:?}");
            of_salt.insert(org.id.clone());
        }
    }
    assert!(makers.values().any(|of| of.len() > 1), "some share parts");
}

#[rstest]
#[case::none("a b c", "")]
#[case::open_ones_change("a b! c", "b! d ab")]
#[case::another_order("a! b! c", "c b! a!")]
#[case::named_twice("a! a b", "a! b")]
fn a_change_of_open_organisations_lost_the_kept_memory(#[case] one: &str, #[case] other: &str) {
    assert_eq!(set(one), set(other));
}

#[rstest]
#[case::one_more("a! b", "a! b!")]
#[case::another("a! b", "a b!")]
#[case::names_run_together("a! b!", "ab!")]
#[case::none("a b", "a! b")]
fn sets_of_isolated_organisations_had_one_salt(#[case] one: &str, #[case] other: &str) {
    assert_ne!(set(one), set(other));
}

#[test]
fn one_that_is_named_twice_shared_parts_by_its_open_entry() {
    let config = config("a! a b");
    let open = config.organisations.iter().find(|org| !org.isolated);
    let sharing = IsolatedOrganisations::of(&config).sharing(open.map(Arc::as_ref));
    assert_eq!(sharing, Sharing::Only(name("a")));
}

#[rstest]
#[case("m/1", true)]
#[case("m/1/acme", true)]
#[case("m/1//00000000000000ff", true)]
#[case::no_set("m/1//0000000000000000", false)]
#[case::short("m/1//ff", false)]
#[case::capitals("m/1//00000000000000FF", false)]
#[case::empty("m/1//", false)]
#[case::organisation_and_set("m/1/acme/00000000000000ff", false)]
#[case::more("m/1//00000000000000ff/x", false)]
fn salts_of_sets_were_not_parsed_as_written(#[case] text: &str, #[case] is_salt: bool) {
    let salt = text.parse::<SaltParts>().ok().map(|salt| salt.to_string());
    assert_eq!(salt, is_salt.then(|| text.to_owned()));
}
