//! Targets that had left before the platform's store came back from a copy in which they had not.
//!
//! Until it is written again, a copy says of them what was so before. Within an era the store's word counts.

use crate::control::{Life, Presence, TargetEntry};
use sillpin_core::TargetId;
use sillpin_platform::StoreEra;
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;

/// A target whose entry was removed and that a copy has again gets nothing for so long: the store drops an entry that nobody writes after some
/// seconds, and one that is there by then is written by its target.
const REVIVED_REST: Duration = Duration::from_secs(8);

/// Departures are remembered for so long: copies are some seconds old.
const MEMORY: Duration = Duration::from_secs(120);

/// How a target left.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum How {
    /// Its entry said so: this life takes nothing any more.
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
    /// Since when the copy of a later era has it as one that takes requests.
    revived: Option<Instant>,
}

impl Departure {
    /// Whether the target is taken for one that leaves, against its entry.
    fn hides(&self, now: Instant) -> bool {
        self.revived.is_some_and(|since| match self.how {
            How::SaidSo => true,
            How::Removed => now < since + REVIVED_REST,
        })
    }
}

/// Targets that left of late.
#[derive(Debug, Default)]
pub(super) struct Departures {
    known: HashMap<TargetId, Departure>,
}

impl Departures {
    /// A target's entry says so much, in an era of the store.
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

    /// A target's entry was removed.
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

    /// Whether a target is taken for one that leaves, against its entry.
    pub(super) fn hides(&self, target: &TargetEntry, now: Instant) -> bool {
        let departure = self.known.get(&target.id);
        departure.is_some_and(|known| known.life == target.life && known.hides(now))
    }

    /// Forgets departures of long ago; whether some target is hidden no more.
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
