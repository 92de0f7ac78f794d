//! Slow start of cold targets: a target that has just started bears a few requests a second, falls over well above that, and looks free to every box
//! just then.

use super::shared_limit::SharedLimit;
use crate::config::WarmUp;
use crate::settings::WarmUpRules;
use sillpin_core::TargetId;
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;

/// The time in which requests at a cold target are counted.
pub const PERIOD: Duration = Duration::from_secs(1);

/// Targets that could not be reached, and since when they can be again: they may have started anew, which their entries tell later.
#[derive(Debug, Default)]
pub struct SlowStart {
    returned: HashMap<TargetId, Instant>,
}

impl SlowStart {
    /// A target can be reached again.
    pub fn returned(&mut self, target: &TargetId, now: Instant) {
        self.returned.insert(target.clone(), now);
    }

    /// Whether any target was out of reach and came back.
    pub fn has_any(&self) -> bool {
        !self.returned.is_empty()
    }

    /// Forgets targets that are not listed.
    pub fn follow(&mut self, is_listed: impl Fn(&TargetId) -> bool) {
        self.returned.retain(|id, _| is_listed(id));
    }

    /// Whether a target is cold, or may be; `told` is until when it is, as it says or operators let expect.
    pub fn is_cold(
        &self,
        target: &TargetId,
        told: Option<Instant>,
        warm_up: WarmUp,
        now: Instant,
    ) -> bool {
        let returned = self.returned.get(target);
        told.is_some_and(|until| now < until) || returned.is_some_and(|at| now < *at + warm_up.time)
    }
}

/// What all boxes together may send to a cold target.
pub fn limit(warm_up: WarmUp, rules: WarmUpRules) -> SharedLimit {
    let borne = warm_up.per_s * rules.overage + rules.slack;
    SharedLimit {
        whole: SharedLimit::whole_of(warm_up.per_s, borne),
        period: PERIOD,
        strict: true,
    }
}
