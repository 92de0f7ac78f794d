//! Zones that operators evacuate.

use super::super::mirror::Change;
use super::Fleet;
use crate::beliefs::Source;
use crate::control::{Published, TargetEntry};
use sillpin_core::ZoneId;
use sillpin_telemetry::{event, events};
use std::sync::Arc;
use tokio::time::Instant;

impl<K: Published> Fleet<K> {
    /// The evacuation of a zone was asked for, or taken back.
    pub(super) fn evacuation_changed(
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
            Change::Gone(_) => {
                let Some(ended) = self.evacuations.end(&zone) else {
                    return;
                };
                event!(self.log, events::EVACUATION_ENDED, "zone" => zone.as_str(),
                    "revision" => ended.revision.to_string(), "source" => source.to_string(),
                    "age_ms" => now.saturating_duration_since(ended.since).as_millis());
                self.return_cold(&zone, now);
            }
        }
        self.view.evacuations = Arc::new(self.evacuations.clone());
        self.targets_changed = true;
    }

    /// Targets of a zone that takes requests again may be cold, and their entries say so later. They had nothing to do, so that they look
    /// freer than all others.
    fn return_cold(&mut self, zone: &ZoneId, now: Instant) {
        let Some(config) = self.config.clone() else {
            return;
        };
        let of_zone = self.targets.values().filter(|target| target.zone == *zone);
        let returning: Vec<Arc<TargetEntry>> = of_zone.cloned().collect();
        for target in returning {
            let pool = config.pool(&target.pool);
            if let Some(warm_up) = pool.and_then(|pool| pool.warm_up) {
                self.warms_up(&target.id, warm_up.time, now);
            }
        }
    }
}
