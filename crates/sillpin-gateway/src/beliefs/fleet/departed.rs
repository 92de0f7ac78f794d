//! Targets that left before the platform store was restored from a backup in which they had not
//! left yet.
//!
//! Until a target's entry is written again, the backup shows an earlier state of it. Within an era of
//! the store, its entries are valid.

use crate::control::{Life, Presence, TargetEntry};
use sillpin_core::TargetId;
use sillpin_platform::StoreEra;
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;

/// Time for which a target gets no requests if its entry was removed and a restored backup has it
/// again. The store drops an entry that is not renewed after some seconds, so an entry that still
/// exists by then is being renewed by its target.
const REVIVED_REST: Duration = Duration::from_secs(8);

/// Time for which departures are remembered: backups are some seconds old.
const MEMORY: Duration = Duration::from_secs(120);

/// How a target left.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum How {
    /// Its entry stated that it was leaving: this incarnation takes no more requests.
    SaidSo,
    /// Its entry was removed.
    Removed,
}

#[derive(Debug)]
struct Departure {
    life: Option<Life>,
    how: How,
    /// The era in which it left.
    era: StoreEra,
    at: Instant,
    /// Since when a restored backup of a later era lists it as taking requests.
    revived: Option<Instant>,
}

impl Departure {
    /// Returns whether the target counts as leaving although its entry says otherwise.
    fn hides(&self, now: Instant) -> bool {
        self.revived.is_some_and(|since| match self.how {
            How::SaidSo => true,
            How::Removed => now < since + REVIVED_REST,
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
    pub(super) fn listed(&mut self, target: &TargetEntry, era: StoreEra, now: Instant) {
        if target.presence == Presence::Leaving {
            return self.note(&target.id, target.life, How::SaidSo, era, now);
        }
        let Some(departure) = self.known.get_mut(&target.id) else {
            return;
        };
        if departure.life != target.life || departure.era == era {
            self.known.remove(&target.id);
            return;
        }
        departure.revived.get_or_insert(now);
    }

    /// Records that a target's entry was removed.
    pub(super) fn removed(&mut self, target: &TargetEntry, era: StoreEra, now: Instant) {
        let known = self.known.get(&target.id);
        let how = known
            .filter(|known| known.life == target.life)
            .map_or(How::Removed, |known| known.how);
        self.note(&target.id, target.life, how, era, now);
    }

    fn note(
        &mut self,
        target: &TargetId,
        life: Option<Life>,
        how: How,
        era: StoreEra,
        at: Instant,
    ) {
        let departure = Departure {
            life,
            how,
            era,
            at,
            revived: None,
        };
        self.known.insert(target.clone(), departure);
    }

    /// Returns whether a target counts as leaving although its entry says otherwise.
    pub(super) fn hides(&self, target: &TargetEntry, now: Instant) -> bool {
        let departure = self.known.get(&target.id);
        departure.is_some_and(|known| known.life == target.life && known.hides(now))
    }

    /// Forgets old departures. Returns whether some target no longer counts as leaving.
    pub(super) fn sweep(&mut self, now: Instant) -> bool {
        let mut shown = false;
        self.known.retain(|_, departure| match departure.revived {
            Some(_) => {
                let hides = departure.hides(now);
                shown |= !hides;
                hides
            }
            None => now.saturating_duration_since(departure.at) < MEMORY,
        });
        shown
    }
}
