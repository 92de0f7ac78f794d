//! The journal of calls that run at most once.
//!
//! Each claim is one record in the platform's service, created if absent. How the platform's responses
//! are interpreted:
//!
//! | response | meaning |
//! |---|---|
//! | created | the claim is ours |
//! | conflict | read the record: ours (an earlier attempt whose response was lost), released (take it over by compare-and-swap), or another request's |
//! | response lost | read back; if there is no record, create it again: it is the same record |
//! | refused, unreachable | nothing was written; retry until the deadline |
//!
//! An abandoned claim is released by replacing our record with a tombstone, or creating the tombstone
//! if there is no record: if a lost write of ours takes effect later, the tombstone makes it fail.

use crate::platform::Backoff;
use sillpin_core::{BoxId, Outcome, RequestId};
use sillpin_platform::{KvEntry, KvRevision, Platform, PlatformError, PlatformFault};
use sillpin_rpc::claims::{ClaimEnd, ClaimKey, ClaimRecord, ClaimReply, ClaimRequest, ClaimState};
use sillpin_telemetry::{event, events};
use slog::Logger;
use std::time::Duration;
use tokio::time::Instant;

/// Time limit for settling one claim.
pub const CLAIM_DEADLINE: Duration = Duration::from_millis(2_000);

/// Pause between two attempts to settle a claim.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// How long the keeper retries to write the end of a claim.
const END_DEADLINE: Duration = Duration::from_secs(1_800);

/// Journal of claims; clones share the platform's client.
#[derive(Clone)]
pub struct Journal<P> {
    platform: P,
    me: BoxId,
    log: Logger,
}

/// Result of one attempt to settle a claim.
enum Step {
    Settled(ClaimReply),
    Retry,
}

impl<P: Platform> Journal<P> {
    /// Creates the journal of box `me`, stored at `platform`.
    pub fn new(platform: P, me: BoxId, log: Logger) -> Self {
        Self { platform, me, log }
    }

    fn record(&self, request: RequestId, digest: &str, state: ClaimState) -> ClaimRecord {
        ClaimRecord {
            request,
            by: self.me.clone(),
            digest: digest.to_owned(),
            state,
        }
    }

    /// Claims a call. A claim that is not settled within [`CLAIM_DEADLINE`] is released in the background.
    pub async fn claim(&self, req: ClaimRequest) -> ClaimReply {
        let deadline = Instant::now() + CLAIM_DEADLINE;
        while Instant::now() < deadline {
            let step = tokio::time::timeout_at(deadline, self.try_claim(&req)).await;
            if let Ok(Step::Settled(reply)) = step {
                return reply;
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
        self.end(ClaimEnd {
            key: req.key,
            request: req.request,
            outcome: Outcome::NotRun,
        });
        ClaimReply::Unavailable
    }

    async fn try_claim(&self, req: &ClaimRequest) -> Step {
        let record = self.record(req.request, &req.digest, ClaimState::Claimed);
        match self.write(&req.key, &record, KvRevision::ABSENT).await {
            Ok(_) => Step::Settled(ClaimReply::Granted),
            Err(e) if e.fault == PlatformFault::Conflict => self.read_back(req, &record).await,
            Err(e) if e.fault == PlatformFault::AnswerLost => self.read_back(req, &record).await,
            Err(_) => Step::Retry,
        }
    }

    async fn read_back(&self, req: &ClaimRequest, ours: &ClaimRecord) -> Step {
        let Ok(Some(entry)) = self.platform.get(&req.key.path()).await else {
            return Step::Retry;
        };
        let Some(existing) = parse(&entry) else {
            return Step::Settled(ClaimReply::Taken(Outcome::Unknown));
        };
        if existing.state == ClaimState::Released {
            if existing.request == req.request {
                return Step::Settled(ClaimReply::Unavailable);
            }
            return self
                .take_over_released(&req.key, ours, entry.revision)
                .await;
        }
        if existing.request == req.request {
            return Step::Settled(ClaimReply::Granted);
        }
        if existing.digest != req.digest {
            return Step::Settled(ClaimReply::OtherCall);
        }
        let outcome = match existing.state {
            ClaimState::Ran => Outcome::Ran,
            ClaimState::Claimed | ClaimState::Released => Outcome::Unknown,
        };
        Step::Settled(ClaimReply::Taken(outcome))
    }

    async fn take_over_released(
        &self,
        key: &ClaimKey,
        ours: &ClaimRecord,
        revision: KvRevision,
    ) -> Step {
        match self.write(key, ours, revision).await {
            Ok(_) => Step::Settled(ClaimReply::Granted),
            Err(_) => Step::Retry,
        }
    }

    async fn write(
        &self,
        key: &ClaimKey,
        record: &ClaimRecord,
        expect: KvRevision,
    ) -> Result<KvRevision, PlatformError> {
        let text = serde_json::to_string(record).unwrap_or_default();
        self.platform.put(&key.path(), &text, expect, None).await
    }

    /// Writes the outcome of a claim in the background, with retries until the platform confirms it.
    pub fn end(&self, end: ClaimEnd) {
        let journal = self.clone();
        tokio::spawn(async move { journal.write_end(end).await });
    }

    /// Writes the outcome of a claim. If it is unknown, the record stays: the claim is never reused.
    pub async fn write_end(&self, end: ClaimEnd) {
        let state = match end.outcome {
            Outcome::Ran => ClaimState::Ran,
            Outcome::NotRun => ClaimState::Released,
            Outcome::Unknown => return,
        };
        let deadline = Instant::now() + END_DEADLINE;
        let mut backoff = Backoff::default();
        while Instant::now() < deadline {
            if self.try_end(&end, state).await {
                if state == ClaimState::Released {
                    event!(self.log, events::CLAIM_RELEASED, "request" => %end.request);
                }
                return;
            }
            tokio::time::sleep(backoff.next_wait()).await;
        }
    }

    async fn try_end(&self, end: &ClaimEnd, state: ClaimState) -> bool {
        let Ok(entry) = self.platform.get(&end.key.path()).await else {
            return false;
        };
        let Some(entry) = entry else {
            let tombstone = self.record(end.request, "", state);
            return self
                .write(&end.key, &tombstone, KvRevision::ABSENT)
                .await
                .is_ok();
        };
        let Some(existing) = parse(&entry) else {
            return true;
        };
        let both_released = existing.state == ClaimState::Released && state == ClaimState::Released;
        if existing.request != end.request && both_released {
            // A take-over of this tombstone may still be in transit: replacing it makes the take-over fail.
            let tombstone = self.record(end.request, "", state);
            return self
                .write(&end.key, &tombstone, entry.revision)
                .await
                .is_ok();
        }
        if existing.request != end.request || existing.state == state {
            return true;
        }
        let ended = ClaimRecord { state, ..existing };
        self.write(&end.key, &ended, entry.revision).await.is_ok()
    }
}

fn parse(entry: &KvEntry) -> Option<ClaimRecord> {
    serde_json::from_str(entry.value.as_deref()?).ok()
}
