//! Zones that operators evacuate.

use super::super::mirror::Change;
use super::Fleet;
use crate::beliefs::Source;
use crate::control::{PublishedFormat, TargetEntry};
use sillpin_core::ZoneId;
use sillpin_telemetry::{event, events};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// What operators wrote and the store lost is written again within this time of its return. Nothing acknowledged is given up before: a zone that stays
/// empty for too long costs capacity only.
const WRITTEN_AGAIN: Duration = Duration::from_secs(10);

impl<K: PublishedFormat> Fleet<K> {
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
            Change::Gone(_) => match self.restored.map(|at| at + WRITTEN_AGAIN) {
                Some(until) if now < until => return self.evacuations.doubt(&zone, until),
                _ => self.end_evacuation(&zone, &source.to_string(), now),
            },
        }
        self.show_evacuations();
    }

    fn end_evacuation(&mut self, zone: &ZoneId, source: &str, now: Instant) {
        let Some(ended) = self.evacuations.end(zone) else {
            return;
        };
        event!(self.log, events::EVACUATION_ENDED, "zone" => zone.as_str(),
            "revision" => ended.revision.to_string(), "source" => source,
            "age_ms" => now.saturating_duration_since(ended.since).as_millis());
        self.return_cold(zone, now);
    }

    fn show_evacuations(&mut self) {
        self.view.evacuations = Arc::new(self.evacuations.clone());
        self.targets_changed = true;
    }

    /// Ends evacuations that the store lost and operators have not written again; whether there were any.
    pub(super) fn end_lost_evacuations(&mut self, now: Instant) -> bool {
        let due = self.evacuations.due(now);
        for zone in &due {
            self.end_evacuation(zone, "not written again", now);
        }
        if !due.is_empty() {
            self.show_evacuations();
        }
        !due.is_empty()
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
