//! Availability zones that operators have evacuated: no request goes to their targets until the
//! evacuation is revoked.
//!
//! An evacuation is in force from when this box receives it until it receives its end, from the
//! store or another box. It also stays in force while the platform store is unreachable: operators
//! cannot revoke it then, and a zone that stays empty for too long costs only capacity.

use sillpin_core::ZoneId;
use sillpin_platform::KvRevision;
use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use tokio::time::Instant;

/// An evacuation in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Evacuation {
    /// Revision at which it was last requested.
    pub revision: KvRevision,
    /// Since when this box has known of it.
    pub since: Instant,
    /// Until when it holds although its key is missing: the store may have lost the key, and
    /// operators write it again.
    kept_until: Option<Instant>,
}

/// Evacuations in force, by zone. They include all zones that operators name, also zones without
/// targets.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Evacuations {
    zones: BTreeMap<ZoneId, Evacuation>,
}

impl Evacuations {
    /// Returns whether a zone is evacuated, so that no request may go to its targets.
    pub fn contains(&self, zone: &ZoneId) -> bool {
        self.zones.contains_key(zone)
    }

    /// Returns the number of evacuated zones.
    pub fn count(&self) -> usize {
        self.zones.len()
    }

    /// Records that a zone is evacuated. Returns whether it was not before.
    pub fn begin(&mut self, zone: ZoneId, revision: KvRevision, now: Instant) -> bool {
        match self.zones.entry(zone) {
            Entry::Occupied(mut evacuation) => {
                evacuation.get_mut().revision = revision;
                evacuation.get_mut().kept_until = None;
                false
            }
            Entry::Vacant(vacant) => {
                vacant.insert(Evacuation {
                    revision,
                    since: now,
                    kept_until: None,
                });
                true
            }
        }
    }

    /// Records that the key of an evacuation is missing; the evacuation holds until `until`.
    pub fn keep_until(&mut self, zone: &ZoneId, until: Instant) {
        if let Some(evacuation) = self.zones.get_mut(zone) {
            evacuation.kept_until = Some(until);
        }
    }

    /// Returns zones whose evacuation operators have not written again in time.
    pub fn expired(&self, now: Instant) -> Vec<ZoneId> {
        let is_expired =
            |evacuation: &Evacuation| evacuation.kept_until.is_some_and(|until| until <= now);
        let expired = self
            .zones
            .iter()
            .filter(|(_, evacuation)| is_expired(evacuation));
        expired.map(|(zone, _)| zone.clone()).collect()
    }

    /// Records that the evacuation of a zone was revoked, and returns it.
    pub fn end(&mut self, zone: &ZoneId) -> Option<Evacuation> {
        self.zones.remove(zone)
    }
}
