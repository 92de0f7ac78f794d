//! What is known of one engine, and what follows from it.

use super::{Evidence, REPORT_TIMEOUT, RunTime};
use crate::placement::work::TargetHash;
use sillpin_core::TargetId;
use std::collections::HashMap;
use std::time::Duration;

/// Number of ticks for which a request for a report stays pending after its time is over. A response may have arrived
/// already: a busy runtime needs a few rounds to pass it from the socket to the task that waits for it.
const OVERDUE_TICKS: u32 = 2;

/// Minimum time between two requests for the report of one engine.
const ASK_INTERVAL: Duration = Duration::from_secs(1);

/// Number of other boxes of the own zone whose finding is enough.
pub(super) const MIN_PEERS: f64 = 2.0;

/// Minimum time between two connection attempts to an engine that other boxes no longer find silent.
const CONNECT_INTERVAL: Duration = Duration::from_millis(400);

/// A stream or request that waits for an engine.
#[derive(Debug)]
pub(super) struct Wait {
    /// Since when nothing has arrived for it; `None` while its caller does not read, so that nothing is expected.
    pub since: Option<RunTime>,
    /// Longest time that its callers accept; `None` if its route names none.
    pub limit: Option<Duration>,
    /// Findings of the engine when the wait began.
    pub findings: u64,
}

/// A request for an engine's report that has no response yet.
#[derive(Debug, Clone, Copy)]
pub(super) struct PendingReport {
    /// Number of ticks since its time was over.
    pub overdue_ticks: u32,
}

/// What is known of one engine.
#[derive(Debug, Default)]
pub(super) struct EngineState {
    pub id: Option<TargetId>,
    pub rows: Option<TargetHash>,
    pub waits: HashMap<u64, Wait>,
    pub heard: Option<RunTime>,
    pub asked: Option<RunTime>,
    pub pending: Option<PendingReport>,
    /// The last request for its report had no response, and nothing has arrived since.
    pub unanswered: bool,
    /// That was noticed in this tick.
    pub newly_unanswered: bool,
    /// Number of other boxes of the own zone that find it silent.
    pub peers: f64,
    /// Something arrived from it while other boxes found it silent; their findings do not count until they end.
    pub peers_overruled: bool,
    pub out_of_use: Option<Evidence>,
    /// Whether it was found silent and nothing has arrived since, also while it is not watched.
    pub is_silent: bool,
    /// How often it was found silent, or found again in one silence.
    pub findings: u64,
    /// Number of its silences that were found.
    pub silences: u64,
    pub connected: Option<RunTime>,
}

impl EngineState {
    /// Whether something waits for the engine for longer than accepted, and nothing else has arrived meanwhile.
    pub(super) fn is_overdue(&self, at: RunTime) -> bool {
        self.waits.values().any(|wait| {
            let since = wait.since.map(|since| self.heard.max(Some(since)));
            match (since.flatten(), wait.limit) {
                (Some(since), Some(limit)) => at.saturating_sub(since) >= limit,
                _ => false,
            }
        })
    }

    pub(super) fn seems_silent(&self, at: RunTime) -> bool {
        self.unanswered || self.is_overdue(at)
    }

    pub(super) fn was_heard_within(&self, time: Duration, at: RunTime) -> bool {
        self.heard
            .is_some_and(|heard| at.saturating_sub(heard) < time)
    }

    pub(super) fn set_peers(&mut self, peers: f64) {
        self.peers = peers;
        if peers < MIN_PEERS {
            self.peers_overruled = false;
        }
    }

    /// Whether the findings of other boxes count: they do if this box has heard nothing for as long as the others.
    pub(super) fn is_silent_for_peers(&self, min_event_gap: Duration, at: RunTime) -> bool {
        self.peers >= MIN_PEERS
            && !self.peers_overruled
            && !self.was_heard_within(min_event_gap + REPORT_TIMEOUT, at)
    }

    pub(super) fn update_pending(&mut self, at: RunTime) {
        self.newly_unanswered = false;
        let Some(pending) = &mut self.pending else {
            return;
        };
        let asked = self.asked.unwrap_or(at);
        if at.saturating_sub(asked) < REPORT_TIMEOUT {
            return;
        }
        if pending.overdue_ticks == OVERDUE_TICKS {
            self.pending = None;
            self.unanswered = true;
            self.newly_unanswered = true;
            return;
        }
        pending.overdue_ticks += 1;
    }

    pub(super) fn may_ask(&self, at: RunTime) -> bool {
        let is_due = self
            .asked
            .is_none_or(|asked| at.saturating_sub(asked) >= ASK_INTERVAL);
        is_due && self.pending.is_none()
    }

    pub(super) fn may_connect(&self, at: RunTime) -> bool {
        let is_due = self
            .connected
            .is_none_or(|connected| at.saturating_sub(connected) >= CONNECT_INTERVAL);
        self.out_of_use.is_some() && !self.unanswered && self.peers < MIN_PEERS && is_due
    }

    /// Discards the evidence against the engine: all waits start anew.
    pub(super) fn restart(&mut self, at: RunTime) {
        self.pending = None;
        self.unanswered = false;
        self.heard = self.heard.map(|_| at);
        for wait in self.waits.values_mut() {
            wait.since = wait.since.map(|_| at);
        }
    }
}
