//! Claims of calls that run at most once.
//!
//! A call may be sent only by the request that created its claim in the platform's service, and is
//! never sent again after that. An unused claim is released by writing a tombstone rather than by
//! deleting it: if a write whose response was lost takes effect late, it cannot recreate the claim
//! for a request that no longer exists.

use serde::{Deserialize, Serialize};
use sillpin_core::{BoxId, OrgId, Outcome, RequestId};

/// Prefix of claims in the platform's service.
pub const CLAIM_PREFIX: &str = "once/";

/// Identifies a call by its organisation and the hash of its idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimKey {
    /// The organisation.
    pub org: OrgId,
    /// BLAKE3 of the idempotency key, in hexadecimal.
    pub key_hash: String,
}

impl ClaimKey {
    /// Returns the claim's key in the platform's service.
    pub fn path(&self) -> String {
        format!("{CLAIM_PREFIX}{}/{}", self.org, self.key_hash)
    }
}

/// Value stored under a claim's key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// The claiming request; after a lost response it shows whether the write took effect.
    pub request: RequestId,
    /// The claiming box.
    pub by: BoxId,
    /// BLAKE3 of the call's method, path and body, in hexadecimal.
    pub digest: String,
    /// State of the claim.
    pub state: ClaimState,
}

/// State of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimState {
    /// The call may have been sent.
    Claimed,
    /// The call was carried out.
    Ran,
    /// The call was not sent; the key may be claimed again.
    Released,
}

/// Request for a claim.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The call.
    pub key: ClaimKey,
    /// The claiming request.
    pub request: RequestId,
    /// BLAKE3 of the call's method, path and body, in hexadecimal.
    pub digest: String,
}

/// Response to a [`ClaimRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The call may be sent, once.
    Granted,
    /// Another request holds the claim; contains the outcome of its call.
    Taken(Outcome),
    /// The key was used for a different call.
    OtherCall,
    /// The platform did not confirm the claim in time; the call must not be sent.
    Unavailable,
}

/// Report of the outcome of a claimed call.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ClaimEnd {
    /// The call.
    pub key: ClaimKey,
    /// The claiming request.
    pub request: RequestId,
    /// Whether the call was carried out. [`Outcome::NotRun`] releases the claim.
    pub outcome: Outcome,
}
