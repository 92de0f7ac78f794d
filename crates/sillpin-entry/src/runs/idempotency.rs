//! Claims of calls that run at most once.

use super::Call;
use crate::app::App;
use crate::front::Failure;
use crate::keeper_link::Report;
use hyper::StatusCode;
use sillpin_core::switches::{Mechanism, is_off};
use sillpin_core::{OrgId, Outcome, RequestId};
use sillpin_rpc::claims::{ClaimEnd, ClaimKey, ClaimReply, ClaimRequest};
use sillpin_targets::Engine;
use std::time::Duration;

/// Retry-After if a claim cannot be made.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// The right to send a call once. Dropping it reports the outcome to the keeper unless that is
/// unknown; a call that was not sent releases the claim.
pub struct Claim {
    key: ClaimKey,
    request: RequestId,
    keeper: crate::keeper_link::KeeperLink,
    outcome: Outcome,
}

/// The call to claim.
pub struct ClaimedCall<'a> {
    /// The organisation.
    pub org: &'a OrgId,
    /// The idempotency key.
    pub key: &'a str,
    /// The request.
    pub request: RequestId,
    /// BLAKE3 hash of the call, in hexadecimal.
    pub digest: &'a str,
}

impl Claim {
    /// Claims a call. Must be called before any part of it is sent.
    pub async fn acquire<E: Engine>(app: &App<E>, call: ClaimedCall<'_>) -> Result<Self, Failure> {
        let key = ClaimKey {
            org: call.org.clone(),
            key_hash: blake3::hash(call.key.as_bytes()).to_hex().to_string(),
        };
        let request = call.request;
        let claim = Self {
            key: key.clone(),
            request,
            keeper: app.keeper.clone(),
            outcome: Outcome::NotRun,
        };
        let req = ClaimRequest {
            key,
            request,
            digest: call.digest.to_owned(),
        };
        if is_off(Mechanism::Claim) {
            return Ok(claim);
        }
        match app.keeper.claim(req).await {
            ClaimReply::Granted => Ok(claim),
            ClaimReply::Unavailable => {
                let detail = "the call could not be claimed";
                Err(Failure::unavailable(detail, RETRY_AFTER))
            }
            ClaimReply::Taken(outcome) => {
                claim.disarm();
                Err(Failure::already_sent(outcome))
            }
            ClaimReply::OtherCall => {
                claim.disarm();
                let detail = "this idempotency key was used for another call";
                let status = StatusCode::UNPROCESSABLE_ENTITY;
                Err(Failure::refused(
                    status,
                    "other-call",
                    "Key used before",
                    detail,
                ))
            }
        }
    }

    /// Drops the claim without a report to the keeper, because another request holds it.
    fn disarm(mut self) {
        self.outcome = Outcome::Unknown;
    }

    /// Records that the call may be executed from now on.
    pub fn set_unknown(&mut self) {
        self.outcome = Outcome::Unknown;
    }

    /// Records that the call was not executed: the target was not reached, or refused it.
    pub fn set_not_run(&mut self) {
        self.outcome = Outcome::NotRun;
    }

    /// Records that the call was executed.
    pub fn set_ran(&mut self) {
        self.outcome = Outcome::Ran;
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        if self.outcome != Outcome::Unknown {
            self.keeper.report(Report::EndClaim(ClaimEnd {
                key: self.key.clone(),
                request: self.request,
                outcome: self.outcome,
            }));
        }
    }
}

/// Claims a model request if it carries an idempotency key.
pub(super) async fn claim<E: Engine>(app: &App<E>, call: &Call) -> Result<Option<Claim>, Failure> {
    let Some(key) = &call.idempotency_key else {
        return Ok(None);
    };
    let claimed = ClaimedCall {
        org: &call.org,
        key,
        request: call.request,
        digest: &call.digest,
    };
    Claim::acquire(app, claimed).await.map(Some)
}
