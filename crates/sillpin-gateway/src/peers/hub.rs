//! Hubs: boxes that gather and spread the news of a large zone.
//!
//! If each box of a zone told all others what it has under way, a zone of sixty boxes would carry some ten thousand
//! datagrams a second, and each box would spend most of its processor on reading them. So each box reports to the
//! first two boxes of its zone, by hash. The first one, the hub, adds the reports up and sends the sums out along a tree,
//! and exchanges them with the hubs of other zones. The second one is told the same and stands by.
//!
//! Nothing is agreed: a box is the hub while it is the first of the boxes whose reports it hears, and leaves off when
//! it hears a better one. Two at a time, or none for a second, cost freshness only.

use super::datagram::{BoxHash, Bulletin, LoadNews, News, Report, Sums, ZoneWord, chunks};
use crate::beliefs::BoxEntry;
use crate::cache_stores::retire::Retired;
use crate::place::work::{EngineWork, LifeHash, TargetHash, Work};
use sillpin_core::ZoneId;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// In a zone of more boxes, hubs spread the news. Up to here each box tells all others, which costs less than the way
/// over a hub.
pub const LARGE_ZONE: usize = 8;

/// A box that has not reported for this long is left out: reports come at least every [`REPORT_EVERY`].
const REPORT_TIME: Duration = Duration::from_millis(1_300);

/// A box reports at least this often, also if it has nothing to tell.
pub const REPORT_EVERY: Duration = Duration::from_millis(400);

/// A bulletin counts for so long: several are sent in the time.
pub const BULLETIN_TIME: Duration = Duration::from_millis(1_300);

/// Boxes that each box passes a bulletin on to, and so how many times what it is told each sends: sixty are reached in four steps of
/// a millisecond. With eight, and changes of stores unpacked, boxes with
/// links of 20 Mbit/s stood still for seconds when weights changed; which of the two did it was not tried apart.
const FAN_OUT: usize = 3;

/// A box that starts waits for so long whether it hears a hub before it becomes one: several bulletins.
const START_WAIT: Duration = Duration::from_millis(450);

/// Boxes that each box reports to: the hub, and one that takes over.
const HUBS: usize = 2;

/// So often the boxes that are reported to are doubled at most while none answers: that is all of a zone of today's size.
const MAX_DOUBLINGS: u128 = 5;

/// News that wait for the next bulletin; beyond that the oldest go, and boxes that lack them ask for copies.
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

/// The newest bulletin that was heard.
#[derive(Debug)]
struct HeardBulletin {
    at: Instant,
    members: Vec<BoxHash>,
}

/// What a box knows as a hub, or as one that may become the hub.
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
    /// Knows nothing yet.
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

    /// Takes a report, this box's own among them.
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

    /// Takes the word of another zone's hub.
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

    /// A box of the zone was heard for the first time.
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

    /// Takes note of a bulletin: a hub leaves off for a better one.
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

    /// Members of the newest bulletin, while it counts.
    pub fn members(&self, now: Instant) -> Option<&[BoxHash]> {
        let heard = self.bulletin.as_ref();
        let fresh = heard.filter(|heard| now - heard.at < BULLETIN_TIME);
        fresh.map(|heard| heard.members.as_slice())
    }

    /// Who this box reports to, of the zone's boxes `all` with itself, in order. While no bulletin is heard, more and more of them:
    /// the first ones may be gone.
    pub fn report_to(&mut self, all: &[BoxHash], now: Instant) -> Vec<BoxHash> {
        let began = *self.began.get_or_insert(now);
        if let Some(members) = self.members(now) {
            // A box that the hub does not hear yet may come before it.
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

    /// Whether this box is the hub now: the first of those that report to it, which are half of the zone's at least.
    fn is_hub(&mut self, now: Instant) -> bool {
        self.reports.retain(|_, told| now - told.at < REPORT_TIME);
        let reporting = self.reports.len();
        if self.active {
            return reporting > 1;
        }
        // A box that has just started may report to itself alone, or with another that has.
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

    /// Whether this box was the hub when that was last looked at.
    pub fn is_active(&self) -> bool {
        self.active
    }

    /// What this box tells its zone now, if it is the hub.
    pub fn bulletins(&mut self, sums: impl FnOnce() -> Sums, now: Instant) -> Vec<Bulletin> {
        if !self.is_hub(now) {
            // The hub tells the same.
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

    /// What this box tells the hubs of other zones now, if it is the hub.
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

    /// Whether there are loads to tell the hubs of other zones at once.
    pub fn has_loading(&self) -> bool {
        self.active && !self.loading.is_empty()
    }

    /// Whether there are loads that the zone has not been told of.
    pub fn has_loads(&self) -> bool {
        let is_load = |news: &News| matches!(news, News::Loading(_));
        self.active && self.news.iter().any(is_load)
    }

    /// Where the hub of another zone was last heard.
    pub fn hub_of(&self, zone: &ZoneId, now: Instant) -> Option<SocketAddr> {
        let heard = self.zones.get(zone);
        let fresh = heard.filter(|heard| now - heard.at < BULLETIN_TIME);
        fresh.map(|heard| heard.hub)
    }

    /// Work of all boxes of the fleet at each engine, as far as this one hears.
    fn work(&self, now: Instant) -> Vec<EngineWork> {
        let own = self.reports.values().map(|told| told.work.as_slice());
        let others = self.zones.values();
        let fresh = others.filter(|heard| now - heard.at < BULLETIN_TIME);
        add_up(own.chain(fresh.map(|heard| heard.work.as_slice())))
    }
}

/// The sum of several boxes' work at each engine.
fn add_up<'a>(told: impl Iterator<Item = &'a [EngineWork]>) -> Vec<EngineWork> {
    let mut sums: HashMap<TargetHash, Work> = HashMap::new();
    for work in told.flatten() {
        sums.entry(work.0).or_default().add(work.work());
    }
    let sums = sums.into_iter();
    sums.map(|(target, work)| EngineWork::at(target, work))
        .collect()
}

/// Whom a member passes a bulletin on to.
pub fn behind(members: &[BoxHash], me: BoxHash) -> &[BoxHash] {
    let Some(index) = members.iter().position(|member| *member == me) else {
        return &[];
    };
    let begin = (index * FAN_OUT + 1).min(members.len());
    let end = (begin + FAN_OUT).min(members.len());
    &members[begin..end]
}
