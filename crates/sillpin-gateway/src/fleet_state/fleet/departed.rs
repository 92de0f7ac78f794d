//! Targets that left before the platform store was restored from a backup in which they had not
//! left yet.
//!
//! Until a target's entry is written again, the backup shows an earlier state of it. Within an era
//! of the store, its entries are valid.

use crate::control::{Life, Presence, TargetEntry};
use sillpin_core::TargetId;
use sillpin_platform::StoreEra;
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;

/// Time for which a target gets no requests if its entry was removed and a restored backup has it
/// again. The store drops an entry that is not renewed after some seconds, so an entry that still
/// exists by then is being renewed by its target.
const REVIVED_COOLDOWN: Duration = Duration::from_secs(8);

/// Time for which departures are remembered: backups are some seconds old.
const MAX_AGE: Duration = Duration::from_secs(120);

/// How a target left.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DepartureKind {
    /// Its entry stated that it was leaving: this incarnation takes no more requests.
    Announced,
    /// Its entry was removed.
    Removed,
}

#[derive(Debug)]
struct Departure {
    life: Option<Life>,
    kind: DepartureKind,
    /// The era in which it left.
    era: StoreEra,
    at: Instant,
    /// Since when a restored backup of a later era lists it as taking requests.
    revived_at: Option<Instant>,
}

impl Departure {
    /// Returns whether the target counts as leaving although its entry states otherwise.
    fn overrides_entry(&self, now: Instant) -> bool {
        self.revived_at.is_some_and(|since| match self.kind {
            DepartureKind::Announced => true,
            DepartureKind::Removed => now < since + REVIVED_COOLDOWN,
        })
    }
}

/// Targets that left recently.
#[derive(Debug, Default)]
pub(super) struct Departures {
    known: HashMap<TargetId, Departure>,
}

impl Departures {
    /// Records the presence in a target's entry, in an era of the store.
    pub(super) fn record_entry(&mut self, target: &TargetEntry, era: StoreEra, now: Instant) {
        if target.presence == Presence::Leaving {
            return self.record(&target.id, target.life, DepartureKind::Announced, era, now);
        }
        let Some(departure) = self.known.get_mut(&target.id) else {
            return;
        };
        if departure.life != target.life || departure.era == era {
            self.known.remove(&target.id);
            return;
        }
        departure.revived_at.get_or_insert(now);
    }

    /// Records that a target's entry was removed.
    pub(super) fn record_removal(&mut self, target: &TargetEntry, era: StoreEra, now: Instant) {
        let known = self.known.get(&target.id);
        let kind = known
            .filter(|known| known.life == target.life)
            .map_or(DepartureKind::Removed, |known| known.kind);
        self.record(&target.id, target.life, kind, era, now);
    }

    fn record(
        &mut self,
        target: &TargetId,
        life: Option<Life>,
        kind: DepartureKind,
        era: StoreEra,
        at: Instant,
    ) {
        let departure = Departure {
            life,
            kind,
            era,
            at,
            revived_at: None,
        };
        self.known.insert(target.clone(), departure);
    }

    /// Returns whether a target counts as leaving although its entry states otherwise.
    pub(super) fn overrides_entry(&self, target: &TargetEntry, now: Instant) -> bool {
        let departure = self.known.get(&target.id);
        departure.is_some_and(|known| known.life == target.life && known.overrides_entry(now))
    }

    /// Forgets old departures. Returns whether some target no longer counts as leaving.
    pub(super) fn sweep(&mut self, now: Instant) -> bool {
        let mut any_usable = false;
        self.known
            .retain(|_, departure| match departure.revived_at {
                Some(_) => {
                    let overrides_entry = departure.overrides_entry(now);
                    any_usable |= !overrides_entry;
                    overrides_entry
                }
                None => now.saturating_duration_since(departure.at) < MAX_AGE,
            });
        any_usable
    }
}
