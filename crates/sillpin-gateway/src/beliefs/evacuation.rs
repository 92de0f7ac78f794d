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
                false
            }
            Entry::Vacant(free) => {
                free.insert(Evacuation {
                    revision,
                    since: now,
                });
                true
            }
        }
    }

    /// Takes note that the evacuation of a zone was taken back; what was known of it.
    pub fn end(&mut self, zone: &ZoneId) -> Option<Evacuation> {
        self.zones.remove(zone)
    }
}
