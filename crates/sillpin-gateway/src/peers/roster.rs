//! Boxes of the fleet by zone, and of the own zone by short id.

use super::datagram::BoxHash;
use super::hub::LARGE_ZONE;
use crate::fleet_state::{BoxEntry, View};
use sillpin_core::ZoneId;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

/// Boxes of the fleet by zone, rebuilt when the fleet's boxes change.
#[derive(Debug)]
pub struct Roster {
    /// The boxes that it was built from.
    boxes: Arc<Vec<BoxEntry>>,
    /// Boxes of the own zone, this one included, in the order in which they become hubs.
    pub zone: Vec<BoxHash>,
    by_name: HashMap<BoxHash, usize>,
    /// Addresses of the boxes of each other zone, in the same order.
    pub others: Vec<(ZoneId, Vec<SocketAddr>)>,
}

impl Roster {
    fn new(boxes: Arc<Vec<BoxEntry>>, me: &BoxEntry) -> Self {
        let mut by_name = HashMap::new();
        let mut zone = vec![BoxHash::of(me)];
        let mut others: HashMap<ZoneId, Vec<(BoxHash, SocketAddr)>> = HashMap::new();
        for (index, peer) in boxes.iter().enumerate() {
            let name = BoxHash::of(peer);
            if peer.zone == me.zone {
                zone.push(name);
                by_name.insert(name, index);
            } else {
                let zone_boxes = others.entry(peer.zone.clone()).or_default();
                zone_boxes.push((name, peer.gossip));
            }
        }
        zone.sort_unstable();
        let sorted = |(zone, mut zone_boxes): (ZoneId, Vec<(BoxHash, SocketAddr)>)| {
            zone_boxes.sort_unstable();
            (zone, zone_boxes.into_iter().map(|(_, addr)| addr).collect())
        };
        Self {
            boxes,
            zone,
            by_name,
            others: others.into_iter().map(sorted).collect(),
        }
    }

    /// Returns whether the own zone uses a hub.
    pub fn is_large(&self) -> bool {
        self.zone.len() > LARGE_ZONE
    }

    /// Finds another box of the own zone.
    pub fn find(&self, name: BoxHash) -> Option<&BoxEntry> {
        self.by_name.get(&name).map(|index| &self.boxes[*index])
    }

    /// Returns gossip addresses of boxes of the own zone, without boxes unknown to this one and
    /// itself.
    pub fn addrs(&self, names: &[BoxHash]) -> Vec<SocketAddr> {
        let known = names.iter().filter_map(|name| self.find(*name));
        known.map(|peer| peer.gossip).collect()
    }
}

/// Caches the newest roster; clones share it.
#[derive(Debug, Clone)]
pub struct RosterCache {
    me: BoxEntry,
    newest: Arc<Mutex<Option<Arc<Roster>>>>,
}

impl RosterCache {
    /// Creates a cache for the box `me`.
    pub fn new(me: BoxEntry) -> Self {
        Self {
            me,
            newest: Arc::default(),
        }
    }

    /// Returns the roster of a view.
    pub fn of(&self, view: &View) -> Arc<Roster> {
        let mut newest = self.newest.lock().unwrap_or_else(|e| e.into_inner());
        let same = newest
            .as_ref()
            .filter(|roster| Arc::ptr_eq(&roster.boxes, &view.boxes));
        if let Some(roster) = same {
            return roster.clone();
        }
        let roster = Arc::new(Roster::new(view.boxes.clone(), &self.me));
        *newest = Some(roster.clone());
        roster
    }
}
