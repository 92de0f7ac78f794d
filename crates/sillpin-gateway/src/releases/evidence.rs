//! Responses of both versions of a release, as counted by boxes and summed up by hubs.
//!
//! Counts only grow, and each message has all of them, so the latest message of a box replaces earlier ones, and lost
//! messages do no harm. The counts of a box that stopped remain.

use crate::control::ReleasePhase;
use crate::peers::datagram::BoxHash;
use serde::{Deserialize, Serialize};
use sillpin_core::bounds;
use sillpin_core::{PoolId, ZoneId};
use sillpin_platform::KvRevision;
use sillpin_policy::release::RouteComparison;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

/// Time for which a hub's sums are used. Without a hub, a box uses the counts that other boxes send it directly.
const SUMS_TIMEOUT: Duration = Duration::from_millis(1_300);

/// Largest number of routes in a message; the others of a pool are counted together with the last one.
const MAX_ROUTES: usize = 16;

/// Hash of a route's name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RouteHash(u32);

impl RouteHash {
    /// Returns the hash of a route's name.
    pub fn of(route: &str) -> Self {
        Self(xxh3_64(route.as_bytes()) as u32)
    }
}

/// Responses on one route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteEvidence {
    /// The route.
    pub route: RouteHash,
    /// Responses of both versions.
    pub comparison: RouteComparison,
}

/// A release in a message between boxes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseUpdate {
    /// The pool.
    pub pool: PoolId,
    /// Revision of the order.
    pub revision: KvRevision,
    /// Milliseconds since it was written; `None` if the sender does not know.
    #[serde(deserialize_with = "bounds::de::optional_millis")]
    pub age_ms: Option<u64>,
    /// Phase of the release.
    pub phase: ReleasePhase,
    /// Whether the platform store has this phase.
    pub is_recorded: bool,
    /// Responses counted by the sender, its zone or the fleet.
    pub evidence: Vec<RouteEvidence>,
}

/// Counts by route.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Counts {
    by_route: BTreeMap<RouteHash, RouteComparison>,
}

impl Counts {
    /// Returns the counts of a route, to add to them.
    pub fn route(&mut self, route: RouteHash) -> &mut RouteComparison {
        let is_full = self.by_route.len() >= MAX_ROUTES && !self.by_route.contains_key(&route);
        let last = self.by_route.keys().next_back().copied();
        let key = last.filter(|_| is_full).unwrap_or(route);
        self.by_route.entry(key).or_default()
    }

    /// Adds counts from a message.
    pub fn add(&mut self, evidence: &[RouteEvidence]) {
        for entry in evidence {
            self.route(entry.route).add(&entry.comparison);
        }
    }

    /// Returns the comparisons of all routes.
    pub fn comparisons(&self) -> impl Iterator<Item = &RouteComparison> {
        self.by_route.values()
    }

    /// Returns the sum over all routes.
    pub fn sum(&self) -> RouteComparison {
        let mut sum = RouteComparison::default();
        for comparison in self.by_route.values() {
            sum.add(comparison);
        }
        sum
    }

    fn to_evidence(&self) -> Vec<RouteEvidence> {
        let entry = |(route, comparison): (&RouteHash, &RouteComparison)| RouteEvidence {
            route: *route,
            comparison: comparison.clone(),
        };
        self.by_route.iter().map(entry).collect()
    }
}

/// Who sent counts.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum EvidenceSource {
    /// A box, about itself.
    Box(BoxHash),
    /// The hub of another zone, about its zone.
    Zone(ZoneId),
    /// The hub of this zone, about the fleet.
    Fleet,
}

/// Which counts a message is to contain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EvidenceScope {
    /// Those of this box.
    Own,
    /// Those of this box's zone; for its hub.
    Zone,
    /// Those of the fleet; for the hub.
    Fleet,
}

/// Counts of one release from all sources.
#[derive(Debug, Default)]
pub struct Evidence {
    /// Counts of this box.
    pub own: Counts,
    boxes: HashMap<BoxHash, Vec<RouteEvidence>>,
    zones: HashMap<ZoneId, Vec<RouteEvidence>>,
    fleet: Option<(Instant, Vec<RouteEvidence>)>,
}

impl Evidence {
    /// Stores counts from a message.
    pub fn store(&mut self, source: EvidenceSource, evidence: Vec<RouteEvidence>, now: Instant) {
        match source {
            EvidenceSource::Box(of) => {
                self.boxes.insert(of, evidence);
            }
            EvidenceSource::Zone(zone) => {
                self.zones.insert(zone, evidence);
            }
            EvidenceSource::Fleet => self.fleet = Some((now, evidence)),
        }
    }

    /// Returns the counts for a message of this box.
    pub fn message(&self, scope: EvidenceScope) -> Vec<RouteEvidence> {
        match scope {
            EvidenceScope::Own => self.own.to_evidence(),
            EvidenceScope::Zone => self.with_boxes().to_evidence(),
            EvidenceScope::Fleet => self.summed().to_evidence(),
        }
    }

    /// Returns the best counts that this box has of the whole fleet.
    pub fn known(&self, now: Instant) -> Counts {
        let fleet = self.fleet.as_ref();
        let recent = fleet.filter(|(at, _)| now.saturating_duration_since(*at) < SUMS_TIMEOUT);
        match recent {
            Some((_, evidence)) => {
                let mut counts = Counts::default();
                counts.add(evidence);
                counts
            }
            None => self.summed(),
        }
    }

    fn with_boxes(&self) -> Counts {
        let mut counts = self.own.clone();
        for evidence in self.boxes.values() {
            counts.add(evidence);
        }
        counts
    }

    fn summed(&self) -> Counts {
        let mut counts = self.with_boxes();
        for evidence in self.zones.values() {
            counts.add(evidence);
        }
        counts
    }
}
