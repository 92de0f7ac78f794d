//! Which boxes are told of a stream, and asked about it.
//!
//! All boxes compute them from the stream's key. Each ranks the boxes it knows, and takes the first two of its own zone
//! and the first two of the others. Two boxes that know the same others have at least two holders in common, wherever
//! they are: the two first of all are among the holders of each. A zone that is cut off has two holders of its streams.

use super::version::StreamKey;
use crate::fleet_state::BoxEntry;
use sillpin_core::ZoneId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of holders in the own zone, and in the others.
const HOLDERS: usize = 2;

/// The same while boxes know a stream's version by its pool's versions.
const SPARE_HOLDERS: usize = 1;

/// Number of further boxes that are asked if the holders do not know a stream.
const FURTHER: usize = 8;

/// Largest number of other boxes that are all asked: the one that began the stream is among them.
const ASK_ALL: usize = 16;

/// Returns the `count` first of some boxes in the order in which a stream's record is kept at them.
fn first<'a>(
    boxes: impl Iterator<Item = &'a BoxEntry>,
    key: StreamKey,
    count: usize,
) -> Vec<&'a BoxEntry> {
    let mut first: Vec<(u64, &BoxEntry)> = Vec::with_capacity(count + 1);
    for entry in boxes {
        let rank = xxh3_64_with_seed(entry.id.as_str().as_bytes(), key.fold());
        if first.len() == count && first.last().is_some_and(|(last, _)| rank <= *last) {
            continue;
        }
        let at = first.partition_point(|(higher, _)| *higher > rank);
        first.insert(at, (rank, entry));
        first.truncate(count);
    }
    first.into_iter().map(|(_, entry)| entry).collect()
}

/// Returns the `count` first boxes of a zone and the `count` first of all others.
fn first_of_both<'a>(
    boxes: &'a [BoxEntry],
    zone: &ZoneId,
    key: StreamKey,
    count: usize,
) -> (Vec<&'a BoxEntry>, Vec<&'a BoxEntry>) {
    let own = boxes.iter().filter(|entry| entry.zone == *zone);
    let others = boxes.iter().filter(|entry| entry.zone != *zone);
    (first(own, key, count), first(others, key, count))
}

/// Returns the boxes that a box in `zone` tells of a stream.
pub fn holders<'a>(boxes: &'a [BoxEntry], zone: &ZoneId, key: StreamKey) -> Vec<&'a BoxEntry> {
    let (own, others) = first_of_both(boxes, zone, key, HOLDERS);
    own.into_iter().chain(others).collect()
}

/// Returns the boxes that a box in `zone` tells of a stream whose version others know by the pool's versions: they need the
/// record only if this box does not answer once the pool has another version, or the route other pools.
pub fn spare_holders<'a>(
    boxes: &'a [BoxEntry],
    zone: &ZoneId,
    key: StreamKey,
) -> Vec<&'a BoxEntry> {
    let (own, others) = first_of_both(boxes, zone, key, SPARE_HOLDERS);
    own.into_iter().chain(others).collect()
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
    let (own, others) = first_of_both(boxes, zone, key, HOLDERS + FURTHER / 2);
    let holders = own.iter().take(HOLDERS).chain(others.iter().take(HOLDERS));
    let next = own.iter().skip(HOLDERS).chain(others.iter().skip(HOLDERS));
    (holders.copied().collect(), next.copied().collect())
}
