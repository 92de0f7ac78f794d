//! Selects the requests that met no queue.
//!
//! Reports of other boxes' work arrive late, so an engine that seems idle when a prompt is sent often
//! has a queue. Under load most prompts meet one, and their times would make engines seem two to
//! four times slower than they are. A request is therefore used only when later reports show no
//! other prefill at its engine at the same time.

use super::StartSample;
use crate::placement::work::{IncarnationHash, ReportedPrefill, TargetHash};
use sillpin_core::{PoolId, Tokens};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// Time after the sending of a request until reports about that time have arrived. Later reports
/// are ignored: they show requests that were sent after it and did not delay it.
const REPORT_TIME: Duration = Duration::from_millis(350);

/// Prefill of other requests that is ignored, as a part of the own prefill and in milliseconds: rows
/// are in whole milliseconds.
const TOLERATED_SHARE: f64 = 0.1;
const TOLERATED_MS: f64 = 3.0;

/// Maximum number of watched requests; a box that hears no reports checks none.
const MAX_WATCHED: usize = 1_000;

/// A request that may turn out to have met no queue.
#[derive(Debug, Clone)]
pub struct WatchedRequest {
    /// Pool of the engine.
    pub pool: PoolId,
    /// The engine.
    pub engine: IncarnationHash,
    /// Hash of the engine's id.
    pub target: TargetHash,
    /// Prompt tokens that are not fetched.
    pub tokens: Tokens,
    /// The request's own part of the reported prefill work, in milliseconds.
    pub own_ms: f64,
    /// When it was sent.
    pub sent: Instant,
}

/// Identifies a watched request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct WatchId(u64);

#[derive(Debug)]
struct Watch {
    request: WatchedRequest,
    took: Option<Duration>,
    met_others: bool,
}

impl Watch {
    fn is_complete(&self, now: Instant) -> bool {
        self.took.is_some() && now - self.request.sent >= REPORT_TIME
    }

    /// Compares the reported prefill at the engine with this request's part of it.
    fn check(&mut self, reported: ReportedPrefill, now: Instant) {
        if now - self.request.sent > REPORT_TIME {
            return;
        }
        let own_ms = if reported.includes_own {
            self.request.own_ms
        } else {
            0.0
        };
        let tolerated_ms = TOLERATED_MS.max(self.request.own_ms * TOLERATED_SHARE);
        self.met_others |= reported.ms > own_ms + tolerated_ms;
    }
}

/// Requests that are being watched.
#[derive(Debug, Default)]
pub struct CleanStarts {
    watches: BTreeMap<WatchId, Watch>,
    next_id: u64,
}

impl CleanStarts {
    /// Watches a request that is being sent; `None` if there are too many.
    pub fn watch(&mut self, request: WatchedRequest) -> Option<WatchId> {
        if self.watches.len() >= MAX_WATCHED {
            return None;
        }
        let id = WatchId(self.next_id);
        self.next_id += 1;
        let watch = Watch {
            request,
            took: None,
            met_others: false,
        };
        self.watches.insert(id, watch);
        Some(id)
    }

    /// Records the time to the first event of a watched request.
    pub fn started(&mut self, id: WatchId, took: Duration) {
        if let Some(watch) = self.watches.get_mut(&id) {
            watch.took = Some(took);
        }
    }

    /// Ends a watch whose request has ended, unless its first event has come.
    pub fn ended(&mut self, id: WatchId) {
        if self.watches.get(&id).is_some_and(|w| w.took.is_none()) {
            self.watches.remove(&id);
        }
    }

    /// Checks all watched requests against reports, and returns those that met no queue.
    pub fn check(
        &mut self,
        reported: impl Fn(TargetHash) -> ReportedPrefill,
        now: Instant,
    ) -> Vec<(WatchedRequest, StartSample)> {
        for watch in self.watches.values_mut() {
            watch.check(reported(watch.request.target), now);
        }
        let complete = self
            .watches
            .extract_if(.., |_, watch| watch.is_complete(now));
        let clean = complete.filter(|(_, watch)| !watch.met_others);
        let sample = |(_, watch): (WatchId, Watch)| {
            let sample = StartSample {
                tokens: watch.request.tokens,
                queue_ms: 0.0,
                took: watch.took?,
            };
            Some((watch.request, sample))
        };
        clean.filter_map(sample).collect()
    }
}
