//! Hubs: boxes that aggregate and distribute the updates of a large zone.
//!
//! If each box of a zone sent its work in progress to all others, a zone of sixty boxes would carry
//! some ten thousand datagrams a second, and each box would spend most of its CPU time on reading
//! them. So each box reports to the first two boxes of its zone, ordered by hash. The first one,
//! the hub, adds the reports up, sends the sums out along a tree, and exchanges them with the hubs
//! of other zones. The second one receives the same reports and is the standby.
//!
//! There is no agreement protocol: a box is the hub while it is the first of the boxes whose
//! reports it receives, and stops when it receives a bulletin of a box that is ordered before it.
//! Two hubs at a time, or none for a second, only make the data older.

use super::datagram::{BoxHash, Bulletin, LoadNews, News, Report, Sums, ZoneWord, chunks};
use crate::beliefs::BoxEntry;
use crate::kept::retire::Retired;
use crate::place::work::{EngineWork, LifeHash, TargetHash, Work};
use sillpin_core::ZoneId;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Largest number of boxes of a zone without a hub. Up to here each box sends to all others, which
/// costs less than sending by way of a hub.
pub const LARGE_ZONE: usize = 8;

/// Time without a report after which a box is left out. Reports come at least every
/// [`REPORT_EVERY`].
const REPORT_TIME: Duration = Duration::from_millis(1_300);

/// Longest time between two reports of a box, also if nothing has changed.
pub const REPORT_EVERY: Duration = Duration::from_millis(400);

/// Time for which a bulletin is valid; several are sent within it.
pub const BULLETIN_TIME: Duration = Duration::from_millis(1_300);

/// Number of boxes to which each box relays a bulletin, and so the factor by which its outgoing
/// traffic grows. Sixty boxes are reached in four hops of a millisecond. With a fan-out of eight,
/// and uncompressed store changes, boxes with links of 20 Mbit/s stalled for seconds when weights
/// changed; the two causes were not tested separately.
const FAN_OUT: usize = 3;

/// Time for which a box that starts waits for a bulletin before it becomes the hub: several
/// bulletins.
const START_WAIT: Duration = Duration::from_millis(450);

/// Number of boxes that each box reports to: the hub and the standby.
const HUBS: usize = 2;

/// Largest number of times that the number of boxes reported to is doubled while no bulletin
/// arrives: enough for all of a zone of today's size.
const MAX_DOUBLINGS: u128 = 5;

/// Largest number of updates that wait for the next bulletin. Beyond that the oldest are dropped,
/// and boxes that lack them fetch copies.
const MAX_NEWS: usize = 4_096;

#[derive(Debug)]
struct Reported {
    at: Instant,
    work: Vec<EngineWork>,
}

#[derive(Debug)]
struct HeardZone {
    at: Instant,
    hub: SocketAddr,
    work: Vec<EngineWork>,
}

/// The most recently received bulletin.
#[derive(Debug)]
struct HeardBulletin {
    at: Instant,
    members: Vec<BoxHash>,
}

/// State of a box as the hub, or as a box that may become the hub.
#[derive(Debug)]
pub struct Hub {
    me: BoxHash,
    reports: BTreeMap<BoxHash, Reported>,
    zones: HashMap<ZoneId, HeardZone>,
    replaced: HashMap<LifeHash, Instant>,
    news: Vec<News>,
    loading: Vec<LoadNews>,
    bulletin: Option<HeardBulletin>,
    active: bool,
    began: Option<Instant>,
}

impl Hub {
    /// Creates the state of a box that has received nothing yet.
    pub fn new(me: BoxHash) -> Self {
        Self {
            me,
            reports: BTreeMap::new(),
            zones: HashMap::new(),
            replaced: HashMap::new(),
            news: Vec::new(),
            loading: Vec::new(),
            bulletin: None,
            active: false,
            began: None,
        }
    }

    /// Records a report, also this box's own.
    pub fn report(&mut self, report: Report, now: Instant) {
        let Report {
            from,
            work,
            replaced,
            news,
            ..
        } = report;
        self.reports.insert(from, Reported { at: now, work });
        self.find_replaced(&replaced, now);
        for news in news {
            if let News::Loading(loading) = &news {
                self.loading.push(loading.clone());
            }
            self.push(news);
        }
    }

    /// Records the summary of another zone's hub.
    pub fn zone_word(&mut self, word: ZoneWord, now: Instant) {
        self.find_replaced(&word.replaced, now);
        for loading in word.loading {
            self.push(News::Loading(loading));
        }
        let heard = HeardZone {
            at: now,
            hub: word.from,
            work: word.work,
        };
        self.zones.insert(word.zone, heard);
    }

    /// Adds a box of the zone that was new to this one to the next bulletin.
    pub fn join(&mut self, entry: BoxEntry) {
        self.push(News::Joined(entry));
    }

    fn push(&mut self, news: News) {
        if self.news.len() >= MAX_NEWS {
            self.news.remove(0);
        }
        self.news.push(news);
    }

    fn find_replaced(&mut self, replaced: &[LifeHash], now: Instant) {
        for target in replaced {
            self.replaced.entry(*target).or_insert(now);
        }
    }

    /// Records a received bulletin. An active hub stops if the sender is ordered before it.
    pub fn hear_bulletin(&mut self, members: &[BoxHash], now: Instant) {
        let Some(hub) = members.first() else {
            return;
        };
        self.active &= *hub >= self.me;
        self.bulletin = Some(HeardBulletin {
            at: now,
            members: members.to_vec(),
        });
    }

    /// Returns the members listed in the last bulletin, while it is valid.
    pub fn members(&self, now: Instant) -> Option<&[BoxHash]> {
        let heard = self.bulletin.as_ref();
        let fresh = heard.filter(|heard| now - heard.at < BULLETIN_TIME);
        fresh.map(|heard| heard.members.as_slice())
    }

    /// Returns the boxes that this box reports to. `all` lists the boxes of the zone, this one
    /// included, in order. While no bulletin arrives, the number grows, because the first boxes may
    /// have ended.
    pub fn report_to(&mut self, all: &[BoxHash], now: Instant) -> Vec<BoxHash> {
        let began = *self.began.get_or_insert(now);
        if let Some(members) = self.members(now) {
            // A box that does not report to the hub yet may be ordered before it.
            let mut first: Vec<BoxHash> = members.iter().take(HUBS).copied().collect();
            first.sort_unstable();
            return first;
        }
        let heard = self.bulletin.as_ref().map_or(began, |heard| heard.at);
        let silent = now - heard;
        let doublings = (silent.as_millis() / BULLETIN_TIME.as_millis()).min(MAX_DOUBLINGS) as u32;
        let count = HUBS * 2usize.pow(doublings);
        all.iter().take(count).copied().collect()
    }

    /// Returns whether this box is the hub now: the first of the boxes that report to it, which
    /// must be at least half of the zone's.
    fn is_hub(&mut self, now: Instant) -> bool {
        self.reports.retain(|_, told| now - told.at < REPORT_TIME);
        let reporting = self.reports.len();
        if self.active {
            return reporting > 1;
        }
        // A box that has just started may receive only its own report, or that of another box that
        // has just started.
        let began = *self.began.get_or_insert(now);
        let known = self.members(now).map(<[BoxHash]>::len);
        let enough = match known {
            Some(known) => reporting * 2 >= known,
            None => now - began >= START_WAIT,
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
            self.news.clear();
            return Vec::new();
        }
        let mut members = vec![self.me];
        members.extend(self.reports.keys().filter(|of| **of != self.me));
        self.hear_bulletin(&members, now);
        self.replaced.retain(|_, at| now - *at < REPORT_TIME);
        let sums = Sums {
            work: self.work(now),
            replaced: self.replaced.keys().copied().collect(),
            ..sums()
        };
        let mut bulletins = vec![Bulletin {
            members: members.clone(),
            sums: Some(sums),
            news: Vec::new(),
        }];
        let chunks = chunks(std::mem::take(&mut self.news)).into_iter();
        bulletins.extend(chunks.map(|news| Bulletin {
            members: members.clone(),
            sums: None,
            news,
        }));
        bulletins
    }

    /// Returns what this box sends to the hubs of other zones now, if it is the hub.
    pub fn word(
        &mut self,
        zone: &ZoneId,
        from: SocketAddr,
        retired: impl FnOnce() -> Vec<Retired>,
        now: Instant,
    ) -> Option<ZoneWord> {
        let loading = std::mem::take(&mut self.loading);
        if !self.is_hub(now) {
            return None;
        }
        let own = self.reports.values().map(|told| told.work.as_slice());
        Some(ZoneWord {
            zone: zone.clone(),
            from,
            work: add_up(own),
            replaced: self.replaced.keys().copied().collect(),
            retired: retired(),
            fatal: Vec::new(),
            limits: Vec::new(),
            loading,
        })
    }

    /// Returns whether there are loads of weights to send to the hubs of other zones immediately.
    pub fn has_loading(&self) -> bool {
        self.active && !self.loading.is_empty()
    }

    /// Returns whether there are loads of weights that have not been sent to the zone yet.
    pub fn has_loads(&self) -> bool {
        let is_load = |news: &News| matches!(news, News::Loading(_));
        self.active && self.news.iter().any(is_load)
    }

    /// Returns the address from which the hub of another zone last sent a summary.
    pub fn hub_of(&self, zone: &ZoneId, now: Instant) -> Option<SocketAddr> {
        let heard = self.zones.get(zone);
        let fresh = heard.filter(|heard| now - heard.at < BULLETIN_TIME);
        fresh.map(|heard| heard.hub)
    }

    /// Sums up the work of all boxes of the fleet at each engine, as far as reports and summaries
    /// arrive.
    fn work(&self, now: Instant) -> Vec<EngineWork> {
        let own = self.reports.values().map(|told| told.work.as_slice());
        let others = self.zones.values();
        let fresh = others.filter(|heard| now - heard.at < BULLETIN_TIME);
        add_up(own.chain(fresh.map(|heard| heard.work.as_slice())))
    }
}

/// Adds up several boxes' work at each engine.
fn add_up<'a>(told: impl Iterator<Item = &'a [EngineWork]>) -> Vec<EngineWork> {
    let mut sums: HashMap<TargetHash, Work> = HashMap::new();
    for work in told.flatten() {
        sums.entry(work.0).or_default().add(work.work());
    }
    let sums = sums.into_iter();
    sums.map(|(target, work)| EngineWork::at(target, work))
        .collect()
}

/// Returns the members to which `me` relays a bulletin: its children in the relay tree.
pub fn behind(members: &[BoxHash], me: BoxHash) -> &[BoxHash] {
    let Some(index) = members.iter().position(|member| *member == me) else {
        return &[];
    };
    let begin = (index * FAN_OUT + 1).min(members.len());
    let end = (begin + FAN_OUT).min(members.len());
    &members[begin..end]
}
