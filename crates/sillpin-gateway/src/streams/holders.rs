//! Which boxes are told of a stream, and asked about it.
//!
//! All boxes compute them from the stream's key. Each ranks the boxes it knows, and takes the first two of its own zone
//! and the first two of the others. Two boxes that know the same others have at least two holders in common, wherever
//! they are: the two first of all are among the holders of each. A zone that is cut off has two holders of its streams.

use super::version::StreamKey;
use crate::fleet_state::BoxEntry;
use sillpin_core::ZoneId;
use std::cmp::Reverse;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of holders in the own zone, and in the others.
const HOLDERS: usize = 2;

/// Number of further boxes that are asked if the holders do not know a stream.
const FURTHER: usize = 8;

/// Largest number of other boxes that are all asked: the one that began the stream is among them.
const ASK_ALL: usize = 16;

/// Boxes in the order in which a stream's record is kept at them.
struct Ranked<'a> {
    own: Vec<&'a BoxEntry>,
    others: Vec<&'a BoxEntry>,
}

fn ranked<'a>(boxes: &'a [BoxEntry], zone: &ZoneId, key: StreamKey) -> Ranked<'a> {
    let rank = |entry: &&BoxEntry| {
        let id = entry.id.as_str().as_bytes();
        Reverse(xxh3_64_with_seed(id, key.fold()))
    };
    let (mut own, mut others): (Vec<&BoxEntry>, Vec<&BoxEntry>) =
        boxes.iter().partition(|entry| entry.zone == *zone);
    own.sort_by_cached_key(rank);
    others.sort_by_cached_key(rank);
    Ranked { own, others }
}

/// Returns the boxes that a box in `zone` tells of a stream.
pub fn holders<'a>(boxes: &'a [BoxEntry], zone: &ZoneId, key: StreamKey) -> Vec<&'a BoxEntry> {
    let Ranked { own, others } = ranked(boxes, zone, key);
    let own = own.into_iter().take(HOLDERS);
    own.chain(others.into_iter().take(HOLDERS)).collect()
}

/// Returns the boxes that a box in `zone` asks about a stream, and those that it asks next.
pub fn asked<'a>(
    boxes: &'a [BoxEntry],
    zone: &ZoneId,
    key: StreamKey,
) -> (Vec<&'a BoxEntry>, Vec<&'a BoxEntry>) {
    if boxes.len() <= ASK_ALL {
        return (boxes.iter().collect(), Vec::new());
    }
    let Ranked { own, others } = ranked(boxes, zone, key);
    let first = own.iter().take(HOLDERS).chain(others.iter().take(HOLDERS));
    let next = own.iter().skip(HOLDERS).take(FURTHER / 2);
    let next = next.chain(others.iter().skip(HOLDERS).take(FURTHER / 2));
    (first.copied().collect(), next.copied().collect())
}
