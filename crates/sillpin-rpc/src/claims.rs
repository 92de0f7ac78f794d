//! Claims of calls that run at most once.
//!
//! The claim, created if absent in the platform's service, is the only right to send; a call that
//! was sent is never sent again. A claim that was not used is released by a tombstone, not by
//! deletion, so that the late effect of a lost write cannot claim the key for nobody.

use serde::{Deserialize, Serialize};
use sillpin_core::{BoxId, OrgId, Outcome, RequestId};

/// Prefix of claims in the platform's service.
pub const CLAIM_PREFIX: &str = "once/";

/// Names a call: the organisation and the hash of its idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimKey {
    /// The organisation.
    pub org: OrgId,
    /// BLAKE3 of the idempotency key, in hexadecimal.
    pub key_hash: String,
}

impl ClaimKey {
    /// The key in the platform's service.
    pub fn path(&self) -> String {
        format!("{CLAIM_PREFIX}{}/{}", self.org, self.key_hash)
    }
}

/// What stands under a claim's key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// The request that claims; also the token by which a lost answer is settled.
    pub request: RequestId,
    /// The box that claims.
    pub by: BoxId,
    /// BLAKE3 of the call's method, path and body, in hexadecimal.
    pub digest: String,
    /// How far it has come.
    pub state: ClaimState,
}

/// How far a claim has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimState {
    /// The call may have been sent.
    Claimed,
    /// The call was carried out.
    Ran,
    /// The call was not sent and the key is free.
    Released,
}

/// Asks for a claim.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The call.
    pub key: ClaimKey,
    /// The request.
    pub request: RequestId,
    /// BLAKE3 of the call's method, path and body, in hexadecimal.
    pub digest: String,
}

/// The answer to [`ClaimRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The call may be sent, once.
    Granted,
    /// Another request holds the claim; what may be said of the call.
    Taken(Outcome),
    /// The key was used for a different call.
    OtherCall,
    /// The platform did not settle it in time; the call must not be sent.
    Unavailable,
}

/// Tells what became of a claim.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ClaimEnd {
    /// The call.
    pub key: ClaimKey,
    /// The request.
    pub request: RequestId,
    /// Whether it was carried out. [`Outcome::NotRun`] releases the claim.
    pub outcome: Outcome,
}
