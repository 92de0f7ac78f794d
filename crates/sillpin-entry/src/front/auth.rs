//! From a caller's key to its organisation. Only hashes of keys are known here.

use super::Failure;
use crate::snapshot::Snapshot;
use hyper::{HeaderMap, StatusCode, header};
use sillpin_core::OrgId;

/// The organisation whose key the request carries.
///
/// The key is hashed before it is looked up, so the time taken tells nothing of how much of a guess
/// was right; and the hashes are compared by a function that takes the same time for all inputs.
pub fn organisation(headers: &HeaderMap, snapshot: &Snapshot) -> Result<OrgId, Failure> {
    let refused = |detail: &str| {
        Failure::refused(
            StatusCode::UNAUTHORIZED,
            "unauthorised",
            "Key not accepted",
            detail,
        )
    };
    let value = headers.get(header::AUTHORIZATION);
    let value = value.ok_or_else(|| refused("header authorization is missing"))?;
    let key = value
        .to_str()
        .ok()
        .and_then(|text| text.strip_prefix("Bearer "));
    let key = key.ok_or_else(|| refused("header authorization is not `Bearer KEY`"))?;
    let hash = blake3::hash(key.trim().as_bytes());
    let found = snapshot.keys.get_key_value(hash.as_bytes());
    let same = |known: &[u8; 32]| blake3::Hash::from_bytes(*known) == hash;
    let found = found.filter(|(known, _)| same(known));
    found
        .map(|(_, org)| org.clone())
        .ok_or_else(|| refused("the key is not known"))
}
