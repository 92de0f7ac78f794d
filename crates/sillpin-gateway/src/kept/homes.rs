//! Which store keeps a part.
//!
//! Every box gives the same answer from the configuration alone, by rendezvous hashing over the
//! stores, weighted by their room: nothing is exchanged and nothing kept.

use crate::config::StoreSpec;
use crate::dialect::PartId;
use sillpin_core::{PoolId, Tokens};
use std::cmp::Ordering;
use xxhash_rust::xxh3::xxh3_64;

/// The last shared part of a prompt may take at most this share of a store's room, so that small fast
/// stores hold many small parts rather than a few large ones. From both sites: 158,767 tokens of a fast store
/// / 200 = 793, above a short session's 531 and below a long one's 5,000.
const LAST_PART_SHARE: u64 = 200;

/// A part that others follow may take this share: every prompt that has a later part has it too, so it is
/// fetched more often, and there are fewer of them. 158,767 / 25 = 6,350, the longest on both sites.
const INNER_PART_SHARE: u64 = 25;

/// Where a shared part stands in its prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Place {
    /// Other shared parts follow.
    Inner,
    /// It is the last shared part.
    Last,
}

/// Stores that may keep a part, the best first: those whose room suits its size and whose transfers
/// start soonest, each class in the part's own order.
pub fn homes<'a>(
    stores: &'a [StoreSpec],
    part: &PartId,
    tokens: Tokens,
    place: Place,
) -> Vec<&'a StoreSpec> {
    let max_share = match place {
        Place::Inner => INNER_PART_SHARE,
        Place::Last => LAST_PART_SHARE,
    };
    let managed = stores.iter().filter(|store| store.managed);
    let mut ranked: Vec<Ranked<'_>> = managed
        .map(|store| Ranked {
            suits: store.capacity.0 / max_share >= tokens.0,
            rank: weighted_rank(&store.id, part, store.capacity),
            store,
        })
        .collect();
    ranked.sort_by(Ranked::order);
    ranked.into_iter().map(|ranked| ranked.store).collect()
}

/// A store and what its place among the homes of a part follows from; reckoned once, since the order compares each many times.
struct Ranked<'a> {
    suits: bool,
    rank: f64,
    store: &'a StoreSpec,
}

impl Ranked<'_> {
    fn order(a: &Self, b: &Self) -> Ordering {
        let suited = b.suits.cmp(&a.suits);
        let class = match a.suits && b.suits {
            true => a.store.first.cmp(&b.store.first),
            // Where no store suits, the roomiest is best.
            false => b.store.capacity.cmp(&a.store.capacity),
        };
        suited.then(class).then(b.rank.total_cmp(&a.rank))
    }
}

/// Weighted rendezvous hashing: the largest rank wins, and each store wins in proportion to its room.
fn weighted_rank(store: &PoolId, part: &PartId, capacity: Tokens) -> f64 {
    let hash = hash_pair(store.as_str(), &part.0);
    capacity.0.max(1) as f64 / -unit(hash).ln()
}

/// A number in (0, 1) from a hash.
pub fn unit(hash: u64) -> f64 {
    const BITS: u32 = 53;
    let top = (hash >> (64 - BITS)) as f64;
    (top + 0.5) / (1u64 << BITS) as f64
}

/// Hash of two names, alike in every process.
pub fn hash_pair(a: &str, b: &str) -> u64 {
    let mut buf = Vec::with_capacity(a.len() + b.len() + 1);
    buf.extend_from_slice(a.as_bytes());
    buf.push(0);
    buf.extend_from_slice(b.as_bytes());
    xxh3_64(&buf)
}
