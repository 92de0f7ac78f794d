//! Fingerprints that identify identical requests, and parts that prompts share.

use crate::dialect::{Part, Prompt};
use derive_more::{Deref, Display};
use hyper::Method;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// Set in fingerprints of parts, and in no others.
const PART_BIT: u64 = 1 << 63;

/// Hash of a request or of a part of prompts. That of a request covers everything that makes two requests the same to a target:
/// caller, host, method, path and body; a request that is sent again has another id, and may reach another box. That of a part
/// covers its name.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Returns the fingerprint of a request from `caller`.
    pub fn of(caller: &str, host: &str, method: &Method, path: &str, body: &[u8]) -> Self {
        let mut hash = Xxh3::new();
        let texts = [caller, host, method.as_str(), path].map(str::as_bytes);
        for bytes in texts.into_iter().chain([body]) {
            // Lengths distinguish fields that would be equal when concatenated.
            hash.update(&bytes.len().to_le_bytes());
            hash.update(bytes);
        }
        Self(hash.digest() & !PART_BIT)
    }

    /// Returns the fingerprint of a part of a prompt.
    pub fn of_part(part: &Part) -> Self {
        Self(xxh3_64(part.id.0.as_bytes()) | PART_BIT)
    }

    /// Whether it is that of a part.
    pub fn is_part(self) -> bool {
        self.0 & PART_BIT != 0
    }
}

/// What may be the cause if a target crashes under a request: the request, and the parts of its prompt that others may have too.
/// Clones share it.
#[derive(Debug, Clone, Deref)]
pub struct Candidates(Arc<[Fingerprint]>);

impl Candidates {
    /// Returns those of a request with this fingerprint.
    pub fn of(request: Fingerprint, prompt: Option<&Prompt>) -> Self {
        let parts = prompt.into_iter().flat_map(Prompt::shared_parts);
        let parts = parts.map(Fingerprint::of_part);
        Self(std::iter::once(request).chain(parts).collect())
    }

    /// Returns the fingerprint of the request.
    pub fn request(&self) -> Fingerprint {
        // Never empty: the request comes first.
        self.0[0]
    }
}

impl From<Fingerprint> for Candidates {
    /// Returns those of a request without a prompt.
    fn from(request: Fingerprint) -> Self {
        Self::of(request, None)
    }
}
