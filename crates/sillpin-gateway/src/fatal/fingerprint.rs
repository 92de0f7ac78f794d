//! Fingerprints that identify identical requests.

use derive_more::Display;
use hyper::Method;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// Hash of everything that makes two requests the same to a target: caller, host, method, path and body. A request that is sent
/// again has another id, and may reach another box.
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
        Self(hash.digest())
    }
}
