//! Availability zones that operators have evacuated: no request goes to their targets until the evacuation is taken back.
//!
//! An evacuation is believed from when this box hears of it until it hears of its end, by whatever way, and also while the
//! platform's store is away: nobody can take it back then, and a zone that stays empty for too long costs capacity only.

use sillpin_core::ZoneId;
use sillpin_platform::KvRevision;
use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use tokio::time::Instant;

/// An evacuation in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Evacuation {
    /// Revision at which it was last asked for.
    pub revision: KvRevision,
    /// Since when this box has known of it.
    pub since: Instant,
    /// Until when it holds although its key is gone: the store may have lost it, and operators write it again.
    doubted: Option<Instant>,
}

/// Evacuations in force, by zone. Whatever zones operators name stand here, also those of no target.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Evacuations {
    zones: BTreeMap<ZoneId, Evacuation>,
}

impl Evacuations {
    /// Whether nothing may be sent to targets of a zone.
    pub fn covers(&self, zone: &ZoneId) -> bool {
        self.zones.contains_key(zone)
    }

    /// How many zones are evacuated.
    pub fn count(&self) -> usize {
        self.zones.len()
    }

    /// Takes note that a zone is evacuated; whether that is news.
    pub fn begin(&mut self, zone: ZoneId, revision: KvRevision, now: Instant) -> bool {
        match self.zones.entry(zone) {
            Entry::Occupied(mut known) => {
                known.get_mut().revision = revision;
                known.get_mut().doubted = None;
                false
            }
            Entry::Vacant(free) => {
                free.insert(Evacuation {
                    revision,
                    since: now,
                    doubted: None,
                });
                true
            }
        }
    }

    /// The key of an evacuation is gone, which means nothing before `until`.
    pub fn doubt(&mut self, zone: &ZoneId, until: Instant) {
        if let Some(known) = self.zones.get_mut(zone) {
            known.doubted = Some(until);
        }
    }

    /// Zones whose evacuation operators have not written again in time.
    pub fn due(&self, now: Instant) -> Vec<ZoneId> {
        let is_due = |known: &Evacuation| known.doubted.is_some_and(|until| until <= now);
        let due = self.zones.iter().filter(|(_, known)| is_due(known));
        due.map(|(zone, _)| zone.clone()).collect()
    }

    /// Takes note that the evacuation of a zone was taken back; what was known of it.
    pub fn end(&mut self, zone: &ZoneId) -> Option<Evacuation> {
        self.zones.remove(zone)
    }
}
