//! Attempts that this box abandoned before the response: their targets may still run them, and crash.

use super::{Candidates, Fingerprint};
use crate::placement::work::IncarnationHash;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// Time after an attempt was abandoned, by its caller or at its timeout, in which a crash of the target counts for the request: the
/// target may still run it.
const ABANDONED_FOR: Duration = Duration::from_secs(2);

/// Maximum number of abandoned attempts that are recorded: more than a box abandons in that time.
const MAX_ABANDONED: usize = 512;

#[derive(Debug)]
struct Abandoned {
    candidates: Candidates,
    incarnation: IncarnationHash,
    at: Instant,
}

impl Abandoned {
    fn is_recent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) < ABANDONED_FOR
    }
}

/// Abandoned attempts, oldest first.
#[derive(Debug, Default)]
pub(super) struct AbandonedAttempts {
    attempts: VecDeque<Abandoned>,
}

impl AbandonedAttempts {
    /// Adds an attempt.
    pub(super) fn add(
        &mut self,
        candidates: Candidates,
        incarnation: IncarnationHash,
        now: Instant,
    ) {
        if self.attempts.len() >= MAX_ABANDONED {
            self.attempts.pop_front();
        }
        self.attempts.push_back(Abandoned {
            candidates,
            incarnation,
            at: now,
        });
    }

    /// Removes the attempts at a target, and returns what those abandoned shortly before it crashed consist of.
    pub(super) fn take(
        &mut self,
        incarnation: IncarnationHash,
        crash: Instant,
    ) -> Vec<Fingerprint> {
        let is_at_target = |attempt: &Abandoned| attempt.incarnation == incarnation;
        let recent = self
            .attempts
            .iter()
            .filter(|attempt| is_at_target(attempt) && attempt.is_recent(crash));
        let fingerprints = recent.flat_map(|attempt| attempt.candidates.iter().copied());
        let fingerprints = fingerprints.collect();
        self.attempts.retain(|attempt| !is_at_target(attempt));
        fingerprints
    }

    /// Returns whether there is a recent attempt at a target.
    pub(super) fn is_recent(&self, incarnation: IncarnationHash, now: Instant) -> bool {
        let mut attempts = self.attempts.iter();
        attempts.any(|attempt| attempt.incarnation == incarnation && attempt.is_recent(now))
    }

    /// Returns whether there are none.
    pub(super) fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }
}
