//! Weighted rendezvous hashing: all boxes rank the candidates of a key alike without exchanging
//! state.
//!
//! The paper "Saving another 100 TB of RAM with math and Rust" gives the load spread of a hash ring
//! with k points for each of N servers as CV = sqrt((N - 1) / (kN + 1)), and shows the memory that
//! the points take. Rendezvous hashing stores no points: keys are spread as if each were assigned
//! at random, at the price of one hash per candidate and lookup. `docs/MEASUREMENTS.md` compares
//! the two.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Hash of a candidate's name, computed once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct CandidateHash(u64);

impl CandidateHash {
    /// Hashes `name`.
    pub fn of(name: &str) -> Self {
        Self(xxh3_64_with_seed(name.as_bytes(), 0))
    }
}

/// Returns the score of a candidate of `weight` for `key`; the candidate with the highest score
/// wins. Its probability of winning is proportional to its weight.
pub fn score(key: u64, candidate: CandidateHash, weight: f64) -> f64 {
    let mixed = mix(key ^ candidate.0.rotate_left(32));
    let uniform = (mixed >> 11) as f64 / (1u64 << 53) as f64;
    -weight / uniform.max(f64::MIN_POSITIVE).ln()
}

/// Finalizer of MurmurHash3 (public domain constants).
fn mix(mut h: u64) -> u64 {
    h ^= h >> 33;
    h = h.wrapping_mul(0xff51_afd7_ed55_8ccd);
    h ^= h >> 33;
    h = h.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    h ^ (h >> 33)
}

/// Returns the indices of the `count` candidates with the highest scores for `key`, best first.
pub fn top(
    key: u64,
    candidates: impl IntoIterator<Item = (usize, CandidateHash, f64)>,
    count: usize,
) -> Vec<usize> {
    let mut best: Vec<(f64, usize)> = Vec::with_capacity(count + 1);
    for (index, hash, weight) in candidates {
        let score = score(key, hash, weight);
        let position = best.partition_point(|(other, _)| *other >= score);
        if position < count {
            best.insert(position, (score, index));
            best.truncate(count);
        }
    }
    best.into_iter().map(|(_, index)| index).collect()
}

/// Hashes a name to a key for [`score`].
pub fn key_of(name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), 1)
}
