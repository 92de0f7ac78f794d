//! Which requests are alike.

use derive_more::Display;
use hyper::Method;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// Hash of what makes two requests the same to a target: whose they are, what they ask for, and their body. A request that comes again has another
/// id, and may come to another box.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
#[serde(transparent)]
pub struct RequestPrint(pub u64);

impl RequestPrint {
    /// The print of a request of `caller`.
    pub fn of(caller: &str, host: &str, method: &Method, path: &str, body: &[u8]) -> Self {
        let mut hash = Xxh3::new();
        let texts = [caller, host, method.as_str(), path].map(str::as_bytes);
        for bytes in texts.into_iter().chain([body]) {
            // Lengths keep apart what would read alike when joined.
            hash.update(&bytes.len().to_le_bytes());
            hash.update(bytes);
        }
        Self(hash.digest())
    }
}
