//! Maps a caller's API key to its organisation. Only hashes of the keys are stored.

use super::Failure;
use crate::snapshot::Snapshot;
use hyper::{HeaderMap, StatusCode, header};
use sillpin_core::OrgId;

/// Returns the organisation whose key the request carries.
///
/// The key is hashed before the lookup, so the response time does not reveal how much of a guessed
/// key was right. The hashes are compared in constant time.
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
    let found = snapshot.orgs_by_key_hash.get_key_value(hash.as_bytes());
    let same = |candidate: &[u8; 32]| blake3::Hash::from_bytes(*candidate) == hash;
    let found = found.filter(|(candidate, _)| same(candidate));
    found
        .map(|(_, org)| org.clone())
        .ok_or_else(|| refused("the key is not known"))
}
