//! Choice of the store for a part, and parsing of salts.

use crate::common::store;
use proptest::prelude::*;
use rstest::rstest;
use sillpin_core::Tokens;
use sillpin_gateway::cache_stores::homes::{PartPosition, homes};
use sillpin_gateway::cache_stores::salt::SaltParts;
use sillpin_gateway::dialect::PartId;

#[test]
fn small_parts_go_to_fast_stores_and_large_ones_to_stores_of_large_capacity() {
    let stores = [
        store("fast", 1, "za", 158_767, 0),
        store("roomy-1", 2, "za", 1_885_363, 6),
        store("roomy-2", 3, "zb", 1_885_363, 6),
    ];
    let first = |tokens, place| {
        let found = homes(&stores, &PartId("a".to_owned()), Tokens(tokens), place);
        found[0].id.to_string()
    };
    assert_eq!(first(531, PartPosition::Last), "fast");
    assert!(first(5_000, PartPosition::Last).starts_with("roomy"));
    assert!(
        first(13_300, PartPosition::Last).starts_with("roomy"),
        "too large for every store"
    );
    assert_eq!(
        first(2_520, PartPosition::Inner),
        "fast",
        "all prompts of its sessions contain it"
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
            .filter(|part| homes(&stores, part, Tokens(5_000), PartPosition::Last)[0].id.as_str() == "one")
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
fn salts_are_parsed_and_formatted_alike(
    #[case] text: &str,
    #[case] expected: Option<(u64, Option<&str>)>,
) {
    let read = text.parse::<SaltParts>().ok();
    let seen = read.as_ref().map(|salt| {
        let isolated_org = salt.isolated_org().map(|org| org.as_str());
        (salt.version.0, isolated_org)
    });
    assert_eq!(seen, expected);
    if let Some(salt) = read {
        assert_eq!(salt.to_string(), text);
    }
}
