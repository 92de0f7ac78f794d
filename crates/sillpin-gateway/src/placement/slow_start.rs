//! Slow start of cold targets: a target that has just started handles only a few requests a second
//! and fails well above that, but appears idle to every box.

use super::shared_limit::SharedLimit;
use crate::config::WarmUp;
use crate::settings::WarmUpRules;
use sillpin_core::TargetId;
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;

/// Period over which requests to a cold target are counted.
pub const PERIOD: Duration = Duration::from_secs(1);

/// Targets that could be reached again after a failure, with the time. They may have restarted,
/// which becomes visible in their entries only later.
#[derive(Debug, Default)]
pub struct SlowStart {
    returned: HashMap<TargetId, Instant>,
}

impl SlowStart {
    /// Records that a target can be reached again.
    pub fn record_return(&mut self, target: &TargetId, now: Instant) {
        self.returned.insert(target.clone(), now);
    }

    /// Returns whether any target became reachable again.
    pub fn has_any(&self) -> bool {
        !self.returned.is_empty()
    }

    /// Removes targets that are not listed.
    pub fn retain_listed(&mut self, is_listed: impl Fn(&TargetId) -> bool) {
        self.returned.retain(|id, _| is_listed(id));
    }

    /// Returns whether a target is cold or may be. `announced_until` is the end of its cold phase,
    /// as reported by the target or set by operators.
    pub fn is_cold(
        &self,
        target: &TargetId,
        announced_until: Option<Instant>,
        warm_up: WarmUp,
        now: Instant,
    ) -> bool {
        let returned = self.returned.get(target);
        announced_until.is_some_and(|until| now < until)
            || returned.is_some_and(|at| now < *at + warm_up.time)
    }
}

/// Returns the limit on what all boxes together may send to a cold target.
pub fn limit(warm_up: WarmUp, rules: WarmUpRules) -> SharedLimit {
    let capacity = warm_up.per_s * rules.overage + rules.slack;
    SharedLimit {
        total: SharedLimit::total_of(warm_up.per_s, capacity),
        period: PERIOD,
        strict: true,
    }
}
