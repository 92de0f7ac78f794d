//! Work at engines of the own zone that the zone's other boxes sent when it changed.
//!
//! Sums of a hub describe work that is 0.2 to 0.3 s old, which is longer than most prompts take to
//! prefill. The direct rows of the zone's boxes replace their part of these sums. Work that boxes of
//! other zones have at the zone's engines still comes from the hub, which states it in rows of
//! [`TargetHash::in_other_zones`].

use super::work::{EngineWork, REPORT_LIFETIME, TargetHash, Work, add_rows};
use crate::peers::datagram::{BoxHash, EngineUpdate, EngineUpdateContent};
use sillpin_core::ZoneId;
use std::collections::{HashMap, HashSet};
use tokio::time::Instant;

/// One in this many of the zone's boxes may be missing in a fresh zone, rounded to the nearest
/// number of boxes: a box that has just stopped, or whose link is broken, must not make all others
/// choose by old data.
const MISSING_DIVISOR: usize = 8;

/// The zone that direct updates are about.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneScope {
    /// The own zone.
    pub zone: ZoneId,
    /// The other boxes of the zone.
    pub peers: Vec<BoxHash>,
    /// The zone's targets.
    pub engines: HashSet<TargetHash>,
}

/// What one box sent.
#[derive(Debug)]
struct PeerRows {
    heard: Instant,
    sequence: u32,
    /// Whether a complete list has arrived, so that `rows` is all of the box's work.
    is_complete: bool,
    rows: Vec<EngineWork>,
}

impl PeerRows {
    fn replace(&mut self, row: EngineWork) {
        self.rows.retain(|known| known.0 != row.0);
        if !row.is_zero() {
            self.rows.push(row);
        }
    }
}

/// Returns whether a sequence number comes after another; numbers wrap around.
fn is_later(sequence: u32, than: u32) -> bool {
    (1..=i32::MAX as u32).contains(&sequence.wrapping_sub(than))
}

/// Rows of the zone's other boxes. Without a scope, nothing is kept and nothing is fresh.
#[derive(Debug, Default)]
pub struct DirectWork {
    scope: Option<ZoneScope>,
    /// The zone's other boxes, without their place in the order of hubs.
    listed: HashSet<BoxHash>,
    peers: HashMap<BoxHash, PeerRows>,
}

impl DirectWork {
    /// Sets the zone that updates are about; `None` if direct updates are not used.
    pub fn set_scope(&mut self, scope: Option<ZoneScope>) {
        let peers = scope.iter().flat_map(|scope| &scope.peers);
        self.listed = peers.map(|peer| peer.unranked()).collect();
        self.peers.retain(|peer, _| self.listed.contains(peer));
        self.scope = scope;
    }

    /// Returns the own zone, if direct updates are used.
    pub fn zone(&self) -> Option<&ZoneId> {
        self.scope.as_ref().map(|scope| &scope.zone)
    }

    /// Returns whether a hash is that of a target of the own zone.
    pub fn is_engine_of_zone(&self, hash: TargetHash) -> bool {
        let scope = self.scope.as_ref();
        scope.is_some_and(|scope| scope.engines.contains(&hash))
    }

    /// Applies what a box sent, unless a later datagram of the box has arrived before.
    pub fn apply(&mut self, update: EngineUpdate, now: Instant) {
        let from = update.from.unranked();
        if !self.listed.contains(&from) {
            return;
        }
        // After a long silence the box's clock may have been set back.
        if self.peers.contains_key(&from) && !self.is_heard(from, now) {
            self.peers.remove(&from);
        }
        let rows = self.peers.entry(from).or_insert_with(|| PeerRows {
            heard: now,
            sequence: update.sequence.wrapping_sub(1),
            is_complete: false,
            rows: Vec::new(),
        });
        if !is_later(update.sequence, rows.sequence) {
            return;
        }
        (rows.heard, rows.sequence) = (now, update.sequence);
        match update.content {
            EngineUpdateContent::Changed(changed) => {
                changed.into_iter().for_each(|row| rows.replace(row));
            }
            EngineUpdateContent::Complete(all) => (rows.is_complete, rows.rows) = (true, all),
            // The sender does not send this box its changes, so rows that it sent before are old.
            EngineUpdateContent::Hello => {
                rows.is_complete = false;
                rows.rows.clear();
            }
            EngineUpdateContent::Stopped => {
                self.peers.remove(&from);
            }
        }
    }

    fn recent(&self, peer: BoxHash, now: Instant) -> Option<&PeerRows> {
        let rows = self.peers.get(&peer.unranked());
        rows.filter(|rows| now - rows.heard < REPORT_LIFETIME)
    }

    /// Returns whether a box takes part in direct updates: one of its datagrams arrived recently.
    pub fn is_heard(&self, peer: BoxHash, now: Instant) -> bool {
        self.recent(peer, now).is_some()
    }

    /// Returns whether all of a box's work is known directly.
    pub fn arrives_from(&self, peer: BoxHash, now: Instant) -> bool {
        self.recent(peer, now).is_some_and(|rows| rows.is_complete)
    }

    /// Returns whether the work of nearly all live boxes of a zone is known directly.
    pub fn is_fresh(&self, zone: &ZoneId, is_live: impl Fn(BoxHash) -> bool, now: Instant) -> bool {
        if self.zone() != Some(zone) {
            return false;
        }
        let live = self.listed.iter().filter(|peer| is_live(**peer));
        let (mut count, mut missing) = (0, 0);
        for peer in live {
            count += 1;
            missing += usize::from(!self.arrives_from(*peer, now));
        }
        missing <= (count + MISSING_DIVISOR / 2) / MISSING_DIVISOR
    }

    /// Returns the rows of all boxes whose work is known, as far as they are about the zone's
    /// targets.
    pub fn rows(&self, now: Instant) -> impl Iterator<Item = &EngineWork> {
        let known = self
            .peers
            .values()
            .filter(move |rows| rows.is_complete && now - rows.heard < REPORT_LIFETIME);
        let rows = known.flat_map(|rows| &rows.rows);
        rows.filter(|row| self.is_engine_of_zone(row.0))
    }

    /// Returns a hub's totals with the work at the own zone's engines replaced by what the zone's
    /// boxes sent directly, plus what the hub states that other zones have there. All other rows
    /// stay.
    pub fn merged_with_hub(
        &self,
        totals: &HashMap<TargetHash, Work>,
        now: Instant,
    ) -> HashMap<TargetHash, Work> {
        let mut merged = totals.clone();
        let engines = self.scope.iter().flat_map(|scope| &scope.engines);
        for engine in engines {
            match totals.get(&engine.in_other_zones()) {
                Some(work) => merged.insert(*engine, *work),
                None => merged.remove(engine),
            };
        }
        add_rows(&mut merged, self.rows(now));
        merged
    }
}
