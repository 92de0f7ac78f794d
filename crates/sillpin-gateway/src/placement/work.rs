//! Work of this box and of other boxes at engines.

use super::direct_work::DirectWork;
use crate::cache_stores::homes::hash_pair;
use crate::control::TargetEntry;
use crate::peers::datagram::BoxHash;
use serde::{Deserialize, Serialize};
use sillpin_core::{BoxId, OrgId, TargetId, Tokens, ZoneId};
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// The load that requests put on an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Work {
    /// Prefill work that is not done yet, in milliseconds of engine time.
    pub prefill_ms: f64,
    /// Memory in tokens.
    pub tokens: f64,
    /// Number of requests.
    pub requests: f64,
}

impl Work {
    /// Returns the work of one request.
    pub fn one(prefill_ms: f64, tokens: Tokens) -> Self {
        Self {
            prefill_ms,
            tokens: tokens.0 as f64,
            requests: 1.0,
        }
    }

    /// Adds other work.
    pub fn add(&mut self, other: Self) {
        self.prefill_ms += other.prefill_ms;
        self.tokens += other.tokens;
        self.requests += other.requests;
    }

    /// Subtracts work that is done.
    pub fn subtract(&mut self, other: Self) {
        self.prefill_ms = (self.prefill_ms - other.prefill_ms).max(0.0);
        self.tokens = (self.tokens - other.tokens).max(0.0);
        self.requests = (self.requests - other.requests).max(0.0);
    }

    /// Returns the sum of this work and `other`.
    pub fn plus(mut self, other: Self) -> Self {
        self.add(other);
        self
    }
}

/// Time for which another box's report of its work is used: three rounds of gossip.
pub(super) const REPORT_LIFETIME: Duration = Duration::from_millis(1_300);

/// A hub sends a message every 0.15 s; after this time without one it may have stopped.
const HUB_TIMEOUT: Duration = Duration::from_millis(600);

/// Hash of a target's id, used in messages between boxes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TargetHash(u32);

/// What a row of [`EngineWork`] is about. Boxes send each other rows of several kinds under hashes
/// that differ, so hubs add them up without knowing the kinds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RowKind<'a> {
    /// Short prompts in flight at an engine, named by its id: tokens and number.
    Streams,
    /// Prefill times that were measured in a pool, named by its id: milliseconds, tokens and number.
    Rates,
    /// Work that an organisation asks of a pool per second: milliseconds requested, milliseconds admitted,
    /// and thousandths of requests.
    Usage(&'a OrgId),
    /// Boxes of a zone that find an engine silent: their number.
    Silent(&'a ZoneId),
}

impl TargetHash {
    /// Returns the hash of a target's id.
    pub fn of(target: &TargetId) -> Self {
        Self(hash_pair(target.as_str(), "load") as u32)
    }

    /// Returns the hash for rows of a kind about an engine or pool.
    pub fn for_rows(name: &str, kind: RowKind<'_>) -> Self {
        let salt = match kind {
            RowKind::Streams => "streams".to_owned(),
            RowKind::Rates => "rates".to_owned(),
            RowKind::Usage(org) => format!("usage {org}"),
            RowKind::Silent(zone) => format!("silent {zone}"),
        };
        Self(hash_pair(name, &salt) as u32)
    }

    /// Row with which a hub states that its sums have rows of [`TargetHash::in_other_zones`]. An
    /// engine without such a row then has no work of other zones.
    pub fn other_zones_marker() -> Self {
        Self(hash_pair("", "other zones") as u32)
    }

    /// Returns the hash for rows about the part of an engine's work that boxes of other zones
    /// reported.
    pub fn in_other_zones(self) -> Self {
        Self(hash_pair(&self.0.to_string(), "other zones") as u32)
    }
}

/// Hash of one incarnation of a target at one address, used in messages between boxes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct IncarnationHash(u32);

impl IncarnationHash {
    /// The lowest hash.
    pub(crate) const MIN: Self = Self(0);

    /// Returns the hash of the incarnation that an entry describes.
    pub fn of(target: &TargetEntry) -> Self {
        let life = target.life.map_or(0, |life| life.0);
        let address_and_life = format!("{} {life}", target.addr);
        Self(hash_pair(target.id.as_str(), &address_and_life) as u32)
    }
}

/// Work of one box at an engine: prefill work in whole milliseconds, memory in tokens, and
/// requests. A tuple, since it is sent several times a second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineWork(pub TargetHash, pub u32, pub u32, pub u32);

impl EngineWork {
    /// Creates a report of `work` at `target`.
    pub fn of(target: &TargetId, work: Work) -> Self {
        Self::at(TargetHash::of(target), work)
    }

    /// Creates a report of `work` at the target with this hash.
    pub fn at(target: TargetHash, work: Work) -> Self {
        let (ms, tokens) = (work.prefill_ms as u32, work.tokens as u32);
        Self(target, ms, tokens, work.requests as u32)
    }

    /// Returns whether there is no work.
    pub fn is_zero(self) -> bool {
        (self.1, self.2, self.3) == (0, 0, 0)
    }

    /// Returns the reported work.
    pub fn work(self) -> Work {
        Work {
            prefill_ms: f64::from(self.1),
            tokens: f64::from(self.2),
            requests: f64::from(self.3),
        }
    }
}

/// Adds rows to the sums for their hashes.
pub fn add_rows<'a>(
    sums: &mut HashMap<TargetHash, Work>,
    rows: impl Iterator<Item = &'a EngineWork>,
) {
    for row in rows {
        sums.entry(row.0).or_default().add(row.work());
    }
}

#[derive(Debug)]
struct BoxReport {
    at: Instant,
    work: Vec<EngineWork>,
}

/// Total work of all boxes, as the hub of a large zone sent it.
#[derive(Debug)]
struct HubReport {
    at: Instant,
    totals: Arc<HashMap<TargetHash, Work>>,
    members: HashSet<BoxHash>,
    /// The own work that was subtracted from the totals.
    subtracted: Vec<EngineWork>,
}

/// Prefill work at an engine, as last reported.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReportedPrefill {
    /// Milliseconds of engine time.
    pub ms: f64,
    /// Whether the work of this box is included.
    pub includes_own: bool,
}

/// Work that other boxes have in flight.
#[derive(Debug, Default)]
pub struct PeerWork {
    box_reports: HashMap<BoxId, BoxReport>,
    hub_report: Option<HubReport>,
    /// What this box last reported to its hub.
    own_report: Vec<EngineWork>,
    /// What the boxes of the zone sent when it changed.
    pub direct: DirectWork,
}

impl PeerWork {
    /// Stores the work that a box reported.
    pub fn apply_update(&mut self, from: BoxId, work: Vec<EngineWork>, now: Instant) {
        self.box_reports
            .retain(|_, report| now - report.at < REPORT_LIFETIME);
        self.box_reports.insert(from, BoxReport { at: now, work });
    }

    /// Stores what this box reported to its hub, which the hub includes in its totals.
    pub fn set_own_report(&mut self, work: Vec<EngineWork>) {
        self.own_report = work;
    }

    /// Stores a hub's totals of the work of all boxes, including this one, and the boxes of the
    /// zone from which the hub receives messages.
    pub fn apply_zone_totals(&mut self, work: Vec<EngineWork>, members: &[BoxHash], now: Instant) {
        let mut totals: HashMap<TargetHash, Work> = work.iter().map(|w| (w.0, w.work())).collect();
        for own in &self.own_report {
            if let Some(total) = totals.get_mut(&own.0) {
                total.subtract(own.work());
            }
        }
        self.hub_report = Some(HubReport {
            at: now,
            totals: Arc::new(totals),
            members: members.iter().map(|of| of.unranked()).collect(),
            subtracted: self.own_report.clone(),
        });
    }

    fn hub_report(&self, now: Instant) -> Option<&HubReport> {
        let hub_report = self.hub_report.as_ref();
        hub_report.filter(|hub_report| now - hub_report.at < REPORT_LIFETIME)
    }

    /// Returns whether a recent message came from a box, directly or through the hub.
    pub fn has_recent_report(&self, from: &BoxId, now: Instant) -> bool {
        let report = self.box_reports.get(from);
        let direct = report.is_some_and(|report| now - report.at < REPORT_LIFETIME);
        let hub_report = self.hub_report(now);
        direct
            || hub_report.is_some_and(|hub_report| {
                hub_report
                    .members
                    .contains(&BoxHash::unranked_from_id(from))
            })
    }

    /// Returns whether the last message from a hub is recent enough for the hub to be considered
    /// alive.
    pub fn is_hub_responsive(&self, now: Instant) -> bool {
        let hub_report = self.hub_report.as_ref();
        hub_report.is_some_and(|hub_report| now - hub_report.at < HUB_TIMEOUT)
    }

    /// Returns whether a box of the zone may be alive: the hub receives its messages, or there is
    /// no hub.
    pub fn may_be_alive(&self, id: &BoxId, now: Instant) -> bool {
        let hub_report = self.hub_report(now);
        hub_report
            .is_none_or(|hub_report| hub_report.members.contains(&BoxHash::unranked_from_id(id)))
    }

    /// Returns whether direct updates arrive from nearly all live boxes of a zone, and the work of
    /// other zones at its engines is known as far as a hub reports it.
    pub fn is_fresh(&self, zone: &ZoneId, now: Instant) -> bool {
        let hub_report = self.hub_report(now);
        let knows_other_zones = hub_report.is_none_or(|hub_report| {
            let marker = TargetHash::other_zones_marker();
            hub_report.totals.contains_key(&marker)
        });
        let is_live =
            |peer: BoxHash| hub_report.is_none_or(|hub_report| hub_report.members.contains(&peer));
        knows_other_zones && self.direct.is_fresh(zone, is_live, now)
    }

    /// Returns the prefill work at an engine according to the last reports. In a hub's totals it is
    /// not known which report of this box they include, so its work stays in them.
    fn reported_prefill(
        &self,
        target: TargetHash,
        totals: &HashMap<TargetHash, Work>,
        now: Instant,
    ) -> ReportedPrefill {
        let hub_report = self.hub_report(now);
        let own = hub_report.iter().flat_map(|report| &report.subtracted);
        let own = own.filter(|row| row.0 == target).map(|row| row.work());
        let others_ms = totals.get(&target).map_or(0.0, |work| work.prefill_ms);
        ReportedPrefill {
            ms: others_ms + own.map(|work| work.prefill_ms).sum::<f64>(),
            includes_own: hub_report.is_some(),
        }
    }

    /// Returns a function that looks up the prefill work at an engine according to the last reports.
    pub fn reported_prefills(&self, now: Instant) -> impl Fn(TargetHash) -> ReportedPrefill {
        let totals = self.engine_totals(now);
        move |target| self.reported_prefill(target, &totals, now)
    }

    /// Returns the sums of the rows that other boxes reported, from the hub or else from the boxes
    /// themselves. Rows that are not about the work at an engine are the same as in
    /// [`PeerWork::engine_totals`], which costs more.
    pub fn reported_totals(&self, now: Instant) -> Arc<HashMap<TargetHash, Work>> {
        if let Some(hub_report) = self.hub_report(now) {
            return hub_report.totals.clone();
        }
        let mut totals = HashMap::new();
        let reports = self.recent_reports(now);
        add_rows(&mut totals, reports.flat_map(|(_, report)| &report.work));
        Arc::new(totals)
    }

    fn recent_reports(&self, now: Instant) -> impl Iterator<Item = (&BoxId, &BoxReport)> {
        let reports = self.box_reports.iter();
        reports.filter(move |(_, report)| now - report.at < REPORT_LIFETIME)
    }

    /// Returns the work of all other boxes at each engine, from the hub or else from the boxes
    /// themselves. While the own zone is fresh, the work of its boxes at its engines is what they
    /// sent directly.
    pub fn engine_totals(&self, now: Instant) -> Arc<HashMap<TargetHash, Work>> {
        let zone = self.direct.zone();
        if !zone.is_some_and(|zone| self.is_fresh(zone, now)) {
            return self.reported_totals(now);
        }
        if let Some(hub_report) = self.hub_report(now) {
            return Arc::new(self.direct.merged_with_hub(&hub_report.totals, now));
        }
        let mut totals: HashMap<TargetHash, Work> = HashMap::new();
        for (from, report) in self.recent_reports(now) {
            let from = BoxHash::unranked_from_id(from);
            let is_replaced = self.direct.arrives_from(from, now);
            let rows = report.work.iter();
            let kept = rows.filter(|row| !is_replaced || !self.direct.is_engine_of_zone(row.0));
            add_rows(&mut totals, kept);
        }
        add_rows(&mut totals, self.direct.rows(now));
        Arc::new(totals)
    }
}
