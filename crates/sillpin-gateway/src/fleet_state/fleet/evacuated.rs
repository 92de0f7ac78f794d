//! Evacuations of zones by operators.

use super::super::mirror::Change;
use super::Fleet;
use crate::control::{PublishedFormat, TargetEntry};
use crate::fleet_state::Source;
use sillpin_core::ZoneId;
use sillpin_telemetry::{event, events};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Time after the store recovers within which operators write again what it lost. An acknowledged
/// evacuation is not ended before: a zone that stays empty for too long costs only capacity.
pub(super) const REWRITE_TIMEOUT: Duration = Duration::from_secs(10);

impl<K: PublishedFormat> Fleet<K> {
    /// Applies the request for a zone's evacuation, or its revocation.
    pub(super) fn apply_evacuation(
        &mut self,
        zone: ZoneId,
        change: &Change,
        source: &Source,
        now: Instant,
    ) {
        match change {
            Change::Set(entry) => {
                if !self.evacuations.begin(zone.clone(), entry.revision, now) {
                    return;
                }
                event!(self.log, events::EVACUATION_BEGAN, "zone" => zone.as_str(),
                    "revision" => entry.revision.to_string(), "source" => source.to_string());
            }
            Change::Deleted(_) => match self.restored_at.map(|at| at + REWRITE_TIMEOUT) {
                Some(until) if now < until => return self.evacuations.keep_until(&zone, until),
                _ => self.end_evacuation(&zone, &source.to_string(), now),
            },
        }
        self.publish_evacuations();
    }

    fn end_evacuation(&mut self, zone: &ZoneId, source: &str, now: Instant) {
        let Some(ended) = self.evacuations.end(zone) else {
            return;
        };
        event!(self.log, events::EVACUATION_ENDED, "zone" => zone.as_str(),
            "revision" => ended.revision.to_string(), "source" => source,
            "age_ms" => now.saturating_duration_since(ended.since).as_millis());
        self.mark_cold(zone, now);
    }

    fn publish_evacuations(&mut self) {
        self.view.evacuations = Arc::new(self.evacuations.clone());
        self.changed_targets.add_all();
    }

    /// Ends evacuations that the store lost and operators have not written again. Returns whether
    /// there were any.
    pub(super) fn end_lost_evacuations(&mut self, now: Instant) -> bool {
        let expired = self.evacuations.expired(now);
        for zone in &expired {
            self.end_evacuation(zone, "not written again after the store was restored", now);
        }
        if !expired.is_empty() {
            self.publish_evacuations();
        }
        !expired.is_empty()
    }

    /// Marks the targets of a zone that takes requests again as warming up, since they may be cold
    /// and their entries state it only later. They had no requests, so they appear less loaded
    /// than all others.
    fn mark_cold(&mut self, zone: &ZoneId, now: Instant) {
        let Some(config) = self.config.clone() else {
            return;
        };
        let of_zone = self.targets.values().filter(|target| target.zone == *zone);
        let returning: Vec<Arc<TargetEntry>> = of_zone.cloned().collect();
        for target in returning {
            let pool = config.pool(&target.pool);
            if let Some(warm_up) = pool.and_then(|pool| pool.warm_up) {
                self.set_cold(&target.id, warm_up.time, now);
            }
        }
    }
}
