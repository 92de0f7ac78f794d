//! Block names differ between organisations, weight versions, keys and texts.

use super::*;

fn scope(org: &str, version: u64) -> PromptScope {
    PromptScope {
        org: org.parse().unwrap(),
        model: "mfano".parse().unwrap(),
        adapter: None,
        version: WeightVersion(version),
    }
}

fn key() -> BlockKey {
    BlockKey::derive("secret")
}

#[test]
fn names_differ_by_organisation_version_and_key() {
    let prompt = "x".repeat(BLOCK_BYTES);
    let name = scope("a", 1).block_names(&key(), &prompt);
    assert_ne!(name, scope("b", 1).block_names(&key(), &prompt));
    assert_ne!(name, scope("a", 2).block_names(&key(), &prompt));
    assert_ne!(
        name,
        scope("a", 1).block_names(&BlockKey::derive("other"), &prompt)
    );
}

#[test]
fn prompts_share_exactly_their_common_blocks() {
    let shared = "x".repeat(2 * BLOCK_BYTES);
    let left = format!("{shared}{}", "l".repeat(BLOCK_BYTES));
    let right = format!("{shared}{}", "r".repeat(BLOCK_BYTES));
    let left = scope("a", 1).block_names(&key(), &left);
    let right = scope("a", 1).block_names(&key(), &right);
    assert_eq!(left.len(), 3);
    assert_eq!(left[..2], right[..2]);
    assert_ne!(left[2], right[2]);
}

#[test]
fn blocks_end_on_character_boundaries() {
    let prompt = "é".repeat(BLOCK_BYTES);
    assert_eq!(scope("a", 1).block_names(&key(), &prompt).len(), 2);
}

#[test]
fn home_hash_is_independent_of_the_weight_version() {
    let prompt = "x".repeat(3 * BLOCK_BYTES);
    assert_eq!(
        scope("a", 1).home_hash(&key(), &prompt, 2),
        scope("a", 2).home_hash(&key(), &prompt, 2)
    );
}

#[test]
fn names_round_trip_through_text() {
    let name = scope("a", 1).block_names(&key(), &"x".repeat(BLOCK_BYTES))[0];
    assert_eq!(name.to_string().parse(), Ok(name));
    assert_eq!("zz".parse::<BlockName>(), Err(InvalidBlockName));
}
