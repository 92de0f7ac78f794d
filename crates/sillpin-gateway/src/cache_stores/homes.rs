//! Choice of the cache store for a part.
//!
//! Every box computes the same answer from the configuration alone, by rendezvous hashing over the
//! stores, weighted by their capacity. No state is exchanged or stored.

use crate::config::StoreSpec;
use crate::dialect::PartId;
use sillpin_core::{PoolId, Tokens};
use std::cmp::Ordering;
use xxhash_rust::xxh3::xxh3_64;

/// The last shared part of a prompt may take at most 1/200 of a store's capacity, so that small fast
/// stores hold many small parts rather than a few large ones. For a fast store of 158,767 tokens this is 793,
/// above a short session's 531 and below a long one's 5,000.
const LAST_PART_SHARE: u64 = 200;

/// A part that is followed by other shared parts may take 1/25: every prompt with one of the later parts contains it too, so
/// it is fetched more often, and there are fewer such parts. 158,767 / 25 = 6,350, the longest such part in use.
const INNER_PART_SHARE: u64 = 25;

/// Position of a shared part in its prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PartPosition {
    /// Followed by other shared parts.
    Inner,
    /// The last shared part.
    Last,
}

/// Returns the stores for a part, best first: by whether their capacity suits the part's size, then by the
/// start-up time of a transfer, then by the part's rendezvous rank.
pub fn homes<'a>(
    stores: &'a [StoreSpec],
    part: &PartId,
    tokens: Tokens,
    position: PartPosition,
) -> Vec<&'a StoreSpec> {
    let max_share = match position {
        PartPosition::Inner => INNER_PART_SHARE,
        PartPosition::Last => LAST_PART_SHARE,
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

/// A store with its sort key for one part; computed once per store, since sorting compares each store many times.
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
            // If the part is too large for the stores, the one of largest capacity comes first.
            false => b.store.capacity.cmp(&a.store.capacity),
        };
        suited.then(class).then(b.rank.total_cmp(&a.rank))
    }
}

/// Weighted rendezvous hashing: the largest rank wins, and each store wins in proportion to its capacity.
fn weighted_rank(store: &PoolId, part: &PartId, capacity: Tokens) -> f64 {
    let hash = hash_pair(store.as_str(), &part.0);
    capacity.0.max(1) as f64 / -to_unit_interval(hash).ln()
}

/// Maps a hash to a number in the open interval (0, 1).
pub fn to_unit_interval(hash: u64) -> f64 {
    const BITS: u32 = 53;
    let top = (hash >> (64 - BITS)) as f64;
    (top + 0.5) / (1u64 << BITS) as f64
}

/// Returns a hash of two names that is the same in every process.
pub fn hash_pair(a: &str, b: &str) -> u64 {
    let mut buf = Vec::with_capacity(a.len() + b.len() + 1);
    buf.extend_from_slice(a.as_bytes());
    buf.push(0);
    buf.extend_from_slice(b.as_bytes());
    xxh3_64(&buf)
}
