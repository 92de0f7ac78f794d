//! Hubs: boxes that aggregate and distribute the updates of a large zone.
//!
//! If each box of a zone sent its work in progress to all others, a zone of sixty boxes would carry
//! some ten thousand datagrams a second, and each box would spend most of its CPU time on reading
//! them. So each box sends reports to the first two boxes of its zone, ordered by hash. The first
//! one, the hub, adds the reports up, sends the sums as bulletins along a tree of the zone's boxes,
//! and as zone summaries to the hubs of other zones. The second one receives the same reports and
//! is the standby.
//!
//! There is no agreement protocol: a box is the hub while it is the first of the boxes whose
//! reports it receives, and stops when it receives a bulletin of a box that is ordered before it.
//! Two hubs at a time, or none for a second, only make the data older.

use super::datagram::{
    BoxHash, Bulletin, Report, Sums, WeightLoadUpdate, ZoneSummary, ZoneUpdate, chunks,
};
use crate::cache_stores::retire::Retired;
use crate::fleet_state::BoxEntry;
use crate::placement::work::{EngineWork, IncarnationHash, TargetHash, Work, add_rows};
use sillpin_core::ZoneId;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Largest number of boxes of a zone without a hub. Up to here each box sends to all others, which
/// costs less than sending by way of a hub.
pub const LARGE_ZONE: usize = 8;

/// Time without a report after which a box is left out. Reports come at least every
/// [`MAX_REPORT_INTERVAL`].
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_300);

/// Longest time between two reports of a box, also if nothing has changed.
pub const MAX_REPORT_INTERVAL: Duration = Duration::from_millis(400);

/// Time for which a bulletin is valid; several are sent within it.
pub const BULLETIN_TIMEOUT: Duration = Duration::from_millis(1_300);

/// Number of boxes to which each box relays a bulletin, and so the factor by which its outgoing
/// traffic grows. Sixty boxes are reached in four hops of a millisecond. With a fan-out of eight and
/// uncompressed store changes, boxes with links of 20 Mbit/s stalled for seconds when weights
/// changed; the two causes were not tested separately.
const FAN_OUT: usize = 3;

/// Time for which a box that starts waits for a bulletin before it becomes the hub: several
/// bulletins.
const START_WAIT: Duration = Duration::from_millis(450);

/// Number of boxes that each box reports to: the hub and the standby.
const HUB_COUNT: usize = 2;

/// Largest number of times that the number of boxes reported to is doubled while no bulletin
/// arrives: 2 boxes become 64, enough for a zone of sixty boxes.
const MAX_DOUBLINGS: u128 = 5;

/// Largest number of updates that wait for the next bulletin. Beyond that the oldest are dropped,
/// and boxes that lack them fetch copies.
const MAX_UPDATES: usize = 4_096;

#[derive(Debug)]
struct ReceivedReport {
    at: Instant,
    work: Vec<EngineWork>,
}

#[derive(Debug)]
struct ZoneRecord {
    at: Instant,
    hub: SocketAddr,
    work: Vec<EngineWork>,
}

/// The most recently received bulletin.
#[derive(Debug)]
struct ReceivedBulletin {
    at: Instant,
    members: Vec<BoxHash>,
}

/// State of a box as the hub, or as a box that may become the hub.
#[derive(Debug)]
pub struct Hub {
    me: BoxHash,
    reports: BTreeMap<BoxHash, ReceivedReport>,
    zones: HashMap<ZoneId, ZoneRecord>,
    replaced: HashMap<IncarnationHash, Instant>,
    updates: Vec<ZoneUpdate>,
    load_updates: Vec<WeightLoadUpdate>,
    bulletin: Option<ReceivedBulletin>,
    active: bool,
    started: Option<Instant>,
    /// Engines of the own zone whose work of other zones is stated in rows of its own.
    zone_engines: HashSet<TargetHash>,
}

impl Hub {
    /// Creates the state of a box that has received nothing yet.
    pub fn new(me: BoxHash) -> Self {
        Self {
            me,
            reports: BTreeMap::new(),
            zones: HashMap::new(),
            replaced: HashMap::new(),
            updates: Vec::new(),
            load_updates: Vec::new(),
            bulletin: None,
            active: false,
            started: None,
            zone_engines: HashSet::new(),
        }
    }

    /// Sets the engines of the own zone for which bulletins state the work of other zones apart;
    /// none if the zone's boxes don't need it.
    pub fn set_zone_engines(&mut self, engines: HashSet<TargetHash>) {
        self.zone_engines = engines;
    }

    /// Records a report, also this box's own.
    pub fn apply_report(&mut self, report: Report, now: Instant) {
        let Report {
            from,
            work,
            replaced,
            updates,
            ..
        } = report;
        self.reports.insert(from, ReceivedReport { at: now, work });
        self.record_replaced(&replaced, now);
        for update in updates {
            if let ZoneUpdate::WeightLoad(load) = &update {
                self.load_updates.push(load.clone());
            }
            self.push(update);
        }
    }

    /// Records the summary of another zone's hub.
    pub fn apply_zone_summary(&mut self, summary: ZoneSummary, now: Instant) {
        self.record_replaced(&summary.replaced, now);
        for load in summary.load_updates {
            self.push(ZoneUpdate::WeightLoad(load));
        }
        let record = ZoneRecord {
            at: now,
            hub: summary.from,
            work: summary.work,
        };
        self.zones.insert(summary.zone, record);
    }

    /// Adds a box of the zone that was new to this one to the next bulletin.
    pub fn add_box(&mut self, entry: BoxEntry) {
        self.push(ZoneUpdate::BoxJoined(entry));
    }

    fn push(&mut self, update: ZoneUpdate) {
        if self.updates.len() >= MAX_UPDATES {
            self.updates.remove(0);
        }
        self.updates.push(update);
    }

    fn record_replaced(&mut self, replaced: &[IncarnationHash], now: Instant) {
        for target in replaced {
            self.replaced.entry(*target).or_insert(now);
        }
    }

    /// Records a received bulletin. An active hub stops if the sender is ordered before it.
    pub fn record_bulletin(&mut self, members: &[BoxHash], now: Instant) {
        let Some(hub) = members.first() else {
            return;
        };
        self.active &= *hub >= self.me;
        self.bulletin = Some(ReceivedBulletin {
            at: now,
            members: members.to_vec(),
        });
    }

    /// Returns the members listed in the last bulletin, while it is valid.
    pub fn members(&self, now: Instant) -> Option<&[BoxHash]> {
        let last = self.bulletin.as_ref();
        let valid = last.filter(|last| now - last.at < BULLETIN_TIMEOUT);
        valid.map(|last| last.members.as_slice())
    }

    /// Returns the boxes that this box reports to. `all` lists the boxes of the zone, this one
    /// included, in order. While no bulletin arrives, the number grows, because the first boxes may
    /// have stopped.
    pub fn report_recipients(&mut self, all: &[BoxHash], now: Instant) -> Vec<BoxHash> {
        let started = *self.started.get_or_insert(now);
        if let Some(members) = self.members(now) {
            // A box that does not report to the hub yet may be ordered before it.
            let mut first: Vec<BoxHash> = members.iter().take(HUB_COUNT).copied().collect();
            first.sort_unstable();
            return first;
        }
        let last_received = self.bulletin.as_ref().map_or(started, |last| last.at);
        let idle_time = now - last_received;
        let doublings =
            (idle_time.as_millis() / BULLETIN_TIMEOUT.as_millis()).min(MAX_DOUBLINGS) as u32;
        let count = HUB_COUNT * 2usize.pow(doublings);
        all.iter().take(count).copied().collect()
    }

    /// Returns whether this box is the hub now: the first of the boxes that report to it, which
    /// must be at least half of the zone's.
    fn is_hub(&mut self, now: Instant) -> bool {
        self.reports
            .retain(|_, report| now - report.at < REPORT_TIMEOUT);
        let reporting = self.reports.len();
        if self.active {
            return reporting > 1;
        }
        // A box that has just started may receive only its own report, or that of another box that
        // has just started.
        let started = *self.started.get_or_insert(now);
        let known = self.members(now).map(<[BoxHash]>::len);
        let enough = match known {
            Some(known) => reporting * 2 >= known,
            None => now - started >= START_WAIT,
        };
        let first = self.reports.keys().next() == Some(&self.me);
        self.active = first && reporting > 1 && enough;
        self.active
    }

    /// Returns whether this box was the hub at the last check.
    pub fn is_active(&self) -> bool {
        self.active
    }

    /// Returns what this box sends to its zone now, if it is the hub.
    pub fn bulletins(&mut self, sums: impl FnOnce() -> Sums, now: Instant) -> Vec<Bulletin> {
        if !self.is_hub(now) {
            // The hub sends the same updates.
            self.updates.clear();
            return Vec::new();
        }
        let mut members = vec![self.me];
        members.extend(self.reports.keys().filter(|of| **of != self.me));
        self.record_bulletin(&members, now);
        self.replaced.retain(|_, at| now - *at < REPORT_TIMEOUT);
        let sums = Sums {
            work: self.work(now),
            replaced: self.replaced.keys().copied().collect(),
            ..sums()
        };
        let mut bulletins = vec![Bulletin {
            members: members.clone(),
            sums: Some(sums),
            updates: Vec::new(),
        }];
        let chunks = chunks(std::mem::take(&mut self.updates)).into_iter();
        bulletins.extend(chunks.map(|updates| Bulletin {
            members: members.clone(),
            sums: None,
            updates,
        }));
        bulletins
    }

    /// Returns what this box sends to the hubs of other zones now, if it is the hub.
    pub fn zone_summary(
        &mut self,
        zone: &ZoneId,
        from: SocketAddr,
        retired: impl FnOnce() -> Vec<Retired>,
        now: Instant,
    ) -> Option<ZoneSummary> {
        let load_updates = std::mem::take(&mut self.load_updates);
        if !self.is_hub(now) {
            return None;
        }
        let own = self.reports.values().map(|report| report.work.as_slice());
        Some(ZoneSummary {
            zone: zone.clone(),
            from,
            work: sum_work(own),
            replaced: self.replaced.keys().copied().collect(),
            retired: retired(),
            fatal: Vec::new(),
            limits: Vec::new(),
            releases: Vec::new(),
            load_updates,
        })
    }

    /// Returns whether there are loads of weights to send to the hubs of other zones immediately.
    pub fn has_loads_for_other_zones(&self) -> bool {
        self.active && !self.load_updates.is_empty()
    }

    /// Returns whether there are loads of weights that have not been sent to the zone yet.
    pub fn has_loads_for_zone(&self) -> bool {
        let is_load = |update: &ZoneUpdate| matches!(update, ZoneUpdate::WeightLoad(_));
        self.active && self.updates.iter().any(is_load)
    }

    /// Returns the address from which the hub of another zone last sent a summary.
    pub fn hub_of(&self, zone: &ZoneId, now: Instant) -> Option<SocketAddr> {
        let record = self.zones.get(zone);
        let valid = record.filter(|record| now - record.at < BULLETIN_TIMEOUT);
        valid.map(|record| record.hub)
    }

    /// Sums up the work of all boxes of the fleet at each engine, as far as reports and summaries
    /// arrive.
    fn work(&self, now: Instant) -> Vec<EngineWork> {
        let own = self.reports.values().map(|report| report.work.as_slice());
        let valid = self.work_of_other_zones(now);
        let mut work = sum_work(own.chain(valid));
        work.extend(self.other_zones_rows(now));
        work
    }

    fn work_of_other_zones(&self, now: Instant) -> impl Iterator<Item = &[EngineWork]> {
        let records = self.zones.values();
        let valid = records.filter(move |record| now - record.at < BULLETIN_TIMEOUT);
        valid.map(|record| record.work.as_slice())
    }

    /// Returns rows about the work that boxes of other zones have at engines of the own zone. Boxes
    /// that know the work of their own zone directly add it to that. The rows have hashes of their
    /// own, so they are no part of the sums.
    fn other_zones_rows(&self, now: Instant) -> Vec<EngineWork> {
        if self.zone_engines.is_empty() {
            return Vec::new();
        }
        let marker = EngineWork(TargetHash::other_zones_marker(), 0, 0, 1);
        let sums = sum_work(self.work_of_other_zones(now)).into_iter();
        let here = sums.filter(|row| self.zone_engines.contains(&row.0));
        let rows = here.map(|row| EngineWork(row.0.in_other_zones(), row.1, row.2, row.3));
        std::iter::once(marker).chain(rows).collect()
    }
}

/// Adds up several boxes' work at each engine.
fn sum_work<'a>(reports: impl Iterator<Item = &'a [EngineWork]>) -> Vec<EngineWork> {
    let mut sums: HashMap<TargetHash, Work> = HashMap::new();
    add_rows(&mut sums, reports.flatten());
    let sums = sums.into_iter();
    sums.map(|(target, work)| EngineWork::at(target, work))
        .collect()
}

/// Returns the members to which `me` relays a bulletin: its children in the relay tree.
pub fn relay_children(members: &[BoxHash], me: BoxHash) -> &[BoxHash] {
    let Some(index) = members.iter().position(|member| *member == me) else {
        return &[];
    };
    let begin = (index * FAN_OUT + 1).min(members.len());
    let end = (begin + FAN_OUT).min(members.len());
    &members[begin..end]
}
