//! Targets whose address is now used by another target.
//!
//! When a target stops, another may get its address, while its entry stays listed for a few
//! heartbeats. Whoever has the address responds that it is not the requested target. That is final
//! until the target starts again, which its entry then shows. Each box that had to find out by
//! itself would waste an attempt, so boxes inform each other.

use crate::placement::work::IncarnationHash;
use std::collections::{HashMap, HashSet};
use std::time::Duration;
use tokio::time::Instant;

/// Time for which a replaced target is stored: its entry expires three heartbeats after its last
/// write, and boxes read the entries every one to two seconds.
const RETENTION: Duration = Duration::from_secs(6);

/// Time for which this box sends its own observations to others: several rounds of gossip.
const SEND_TIME: Duration = Duration::from_secs(2);

/// Targets that are known to be replaced.
#[derive(Debug, Default)]
pub struct ReplacedTargets {
    expires_at: HashMap<IncarnationHash, Instant>,
    observed: HashMap<IncarnationHash, Instant>,
}

impl ReplacedTargets {
    /// Records that the current user of the address reported the replacement to this box.
    pub fn record_observed(&mut self, target: IncarnationHash, now: Instant) {
        self.observed.insert(target, now);
        self.apply_update(&[target], now);
    }

    /// Records replacements that other boxes observed.
    pub fn apply_update(&mut self, targets: &[IncarnationHash], now: Instant) {
        self.expires_at.retain(|_, expires_at| now < *expires_at);
        for target in targets {
            self.expires_at.entry(*target).or_insert(now + RETENTION);
        }
    }

    /// Returns the recent observations of this box, to be sent to others.
    pub fn updates_to_send(&mut self, now: Instant) -> Vec<IncarnationHash> {
        self.observed.retain(|_, at| now - *at < SEND_TIME);
        self.observed.keys().copied().collect()
    }

    /// Returns all targets that are known to be replaced.
    pub fn known(&self, now: Instant) -> HashSet<IncarnationHash> {
        let known = self
            .expires_at
            .iter()
            .filter(|(_, expires_at)| now < **expires_at);
        known.map(|(target, _)| *target).collect()
    }
}
