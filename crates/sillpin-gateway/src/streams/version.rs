//! Short ids of versions and streams, for messages between boxes.

use crate::control::{SoftwareVersion, TargetEntry};
use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};
use sillpin_core::PoolId;
use xxhash_rust::xxh3::{xxh3_64, xxh3_128};

/// Separates the parts of what is hashed; it occurs in no id.
const SEPARATOR: &str = "\n";

/// Hash of a pool and a version of its targets' software.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Display,
    FromStr,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct VersionHash(u64);

impl VersionHash {
    /// Returns the hash of a version, or of a target that names none.
    pub fn new(pool: &PoolId, software: Option<&SoftwareVersion>) -> Self {
        let (is_named, name) = software.map_or(("", ""), |software| ("named", &software.0));
        let text = [pool.as_str(), is_named, name].join(SEPARATOR);
        Self(xxh3_64(text.as_bytes()))
    }

    /// Returns the hash of a target's version.
    pub fn of(target: &TargetEntry) -> Self {
        Self::new(&target.pool, target.software.as_ref())
    }
}

/// Hash of a caller and the id of its attempt that began a stream. Other organisations cannot name it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[display("{:016x}{:016x}", _0[0], _0[1])]
#[serde(transparent)]
pub struct StreamKey([u64; 2]);

impl StreamKey {
    /// Returns the key of the stream that began with attempt `id` of `caller`.
    pub fn new(caller: &str, id: &str) -> Self {
        let hash = xxh3_128([caller, id].join(SEPARATOR).as_bytes());
        Self([(hash >> 64) as u64, hash as u64])
    }

    /// Returns a number that depends on all of the key.
    pub fn fold(self) -> u64 {
        self.0[0] ^ self.0[1]
    }
}
