//! The journal of calls that run at most once.
//!
//! One record a claim, created if absent. How each answer of the platform is read:
//!
//! | answer | meaning |
//! |---|---|
//! | created | the claim is ours |
//! | conflict | read the record: ours (an earlier try whose answer was lost), released (take it over by CAS), or somebody else's |
//! | answer lost | read back; if nothing is there, create again: it is the same record |
//! | refused, unreachable | nothing happened; try again until the deadline |
//!
//! A claim that was given up is released by writing a tombstone over whatever is there of ours,
//! created if nothing is there: the late effect of a lost write then meets the tombstone and fails.

use crate::platform::Backoff;
use sillpin_core::{BoxId, Outcome, RequestId};
use sillpin_platform::{KvEntry, KvRevision, Platform, PlatformError, PlatformFault};
use sillpin_rpc::claims::{ClaimEnd, ClaimKey, ClaimRecord, ClaimReply, ClaimRequest, ClaimState};
use sillpin_telemetry::{event, events};
use slog::Logger;
use std::time::Duration;
use tokio::time::Instant;

/// Longest work at one claim.
pub const CLAIM_DEADLINE: Duration = Duration::from_millis(2_000);

/// Pause between two tries at a claim.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// How long the end of a claim is tried to be written.
const END_DEADLINE: Duration = Duration::from_secs(1_800);

/// The journal; clones share the platform's client.
#[derive(Clone)]
pub struct Journal<P> {
    platform: P,
    me: BoxId,
    log: Logger,
}

/// What one look at the platform settled.
enum Step {
    Settled(ClaimReply),
    Again,
}

impl<P: Platform> Journal<P> {
    /// A journal of `me` at `platform`.
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

    /// Claims a call. A claim that could not be settled in time is released in the background.
    pub async fn claim(&self, req: ClaimRequest) -> ClaimReply {
        let deadline = Instant::now() + CLAIM_DEADLINE;
        while Instant::now() < deadline {
            let step = tokio::time::timeout_at(deadline, self.try_claim(&req)).await;
            if let Ok(Step::Settled(reply)) = step {
                return reply;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
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
            Err(_) => Step::Again,
        }
    }

    async fn read_back(&self, req: &ClaimRequest, ours: &ClaimRecord) -> Step {
        let Ok(Some(entry)) = self.platform.get(&req.key.path()).await else {
            return Step::Again;
        };
        let Some(found) = parse(&entry) else {
            return Step::Settled(ClaimReply::Taken(Outcome::Unknown));
        };
        if found.state == ClaimState::Released {
            if found.request == req.request {
                return Step::Settled(ClaimReply::Unavailable);
            }
            return self.take_over(&req.key, ours, entry.revision).await;
        }
        if found.request == req.request {
            return Step::Settled(ClaimReply::Granted);
        }
        if found.digest != req.digest {
            return Step::Settled(ClaimReply::OtherCall);
        }
        let outcome = match found.state {
            ClaimState::Ran => Outcome::Ran,
            ClaimState::Claimed | ClaimState::Released => Outcome::Unknown,
        };
        Step::Settled(ClaimReply::Taken(outcome))
    }

    async fn take_over(&self, key: &ClaimKey, ours: &ClaimRecord, revision: KvRevision) -> Step {
        match self.write(key, ours, revision).await {
            Ok(_) => Step::Settled(ClaimReply::Granted),
            Err(_) => Step::Again,
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

    /// Writes what became of a claim, in the background, until the platform has it.
    pub fn end(&self, end: ClaimEnd) {
        let this = self.clone();
        tokio::spawn(async move { this.write_end(end).await });
    }

    /// Writes what became of a claim. An unknown outcome stays as it is: the claim is never reused.
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
        let Some(found) = parse(&entry) else {
            return true;
        };
        let both_released = found.state == ClaimState::Released && state == ClaimState::Released;
        if found.request != end.request && both_released {
            // A take-over of this tombstone may still be under way: write over it, so that it fails.
            let tombstone = self.record(end.request, "", state);
            return self
                .write(&end.key, &tombstone, entry.revision)
                .await
                .is_ok();
        }
        if found.request != end.request || found.state == state {
            return true;
        }
        let ended = ClaimRecord { state, ..found };
        self.write(&end.key, &ended, entry.revision).await.is_ok()
    }
}

fn parse(entry: &KvEntry) -> Option<ClaimRecord> {
    serde_json::from_str(entry.value.as_deref()?).ok()
}
