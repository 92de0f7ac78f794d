//! What a box of a large zone tells, as a member and as the hub.

use super::datagram::{Bulletin, Datagram, News, Report, Sums, chunks};
use super::digest::{Gossip, extent};
use super::hub::{Hub, REPORT_EVERY, behind};
use super::roster::{Roster, Rosters};
use crate::beliefs::View;
use crate::place::work::EngineWork;
use rand::seq::IndexedRandom;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Time between two reports of a box, and between two bulletins of the hub. A prompt takes 30 to 160 ms to be read; what a
/// box does not know of others it makes up for by choosing among few engines that differ from prompt to prompt.
pub const TELL_EVERY: Duration = Duration::from_millis(150);

/// Time between two words of a hub to those of other zones: few prompts leave their zone.
const ZONE_EVERY: Duration = Duration::from_millis(300);

/// Time between two digests. They carry what bulletins do not, and bring back what got lost.
const DIGEST_EVERY: Duration = Duration::from_millis(800);

/// Boxes of each other zone that a hub's word and digest go to, beside the one that was last heard as its hub.
const ZONE_FAN_OUT: usize = 2;

/// Hub and roster, shared by what speaks and what hears.
#[derive(Debug, Clone)]
pub struct ZoneNews {
    hub: Arc<Mutex<Hub>>,
    /// The zone's boxes.
    pub rosters: Rosters,
    /// Something is to be told at once.
    pub urgent: Arc<Notify>,
}

impl ZoneNews {
    /// Nothing is known yet.
    pub fn new(hub: Hub, rosters: Rosters) -> Self {
        Self {
            hub: Arc::new(Mutex::new(hub)),
            rosters,
            urgent: Arc::default(),
        }
    }

    /// The hub's state.
    pub fn hub(&self) -> MutexGuard<'_, Hub> {
        self.hub.lock().unwrap_or_else(|e| e.into_inner())
    }
}

/// What this box has told its zone, and has yet to tell.
#[derive(Debug, Default)]
pub struct Spread {
    pending: Vec<News>,
    work: Vec<EngineWork>,
    reported: Option<Instant>,
    zone_told: Option<Instant>,
    digested: Option<Instant>,
}

impl Spread {
    /// Keeps news for the next report.
    pub fn push(&mut self, news: impl IntoIterator<Item = News>) {
        self.pending.extend(news);
    }
}

/// Whether something last done at `last` is due again.
fn is_due(last: Option<Instant>, every: Duration, now: Instant) -> bool {
    last.is_none_or(|at| now - at >= every)
}

impl Gossip {
    /// Reports to the hubs, and as the hub tells zone and other zones.
    pub(super) async fn spread(&self, socket: &UdpSocket, spread: &mut Spread, roster: &Roster) {
        let now = Instant::now();
        let view = self.fleet.view();
        self.report(socket, spread, roster, &view, now).await;
        let sums = || Sums {
            work: Vec::new(),
            replaced: Vec::new(),
            operators: extent(view.operators),
            targets: extent(view.listed),
            retired: self.kept.retirements().applied(),
            fatal: self.fatal.record().updates_to_send(now),
            limits: self.loads.words(|words| words.limits.updates_to_send(now)),
        };
        let bulletins = self.zone_news.hub().bulletins(sums, now);
        for bulletin in bulletins {
            self.send_bulletin(socket, bulletin, roster).await;
        }
        let due = is_due(spread.zone_told, ZONE_EVERY, now);
        if due || self.zone_news.hub().has_loading() {
            spread.zone_told = Some(now);
            self.tell_zones(socket, roster, now).await;
        }
        if is_due(spread.digested, DIGEST_EVERY, now) {
            spread.digested = Some(now);
            self.tell_digest(socket, roster, &view, now).await;
        }
    }

    async fn report(
        &self,
        socket: &UdpSocket,
        spread: &mut Spread,
        roster: &Roster,
        view: &View,
        now: Instant,
    ) {
        let work = self.loads.updates_to_send();
        let silent = is_due(spread.reported, REPORT_EVERY, now);
        let fatal = self.fatal.record().observed(now);
        let limits = self.loads.words(|words| words.limits.observed(now));
        let is_quiet = spread.pending.is_empty() && fatal.is_empty() && limits.is_empty();
        if work == spread.work && is_quiet && !silent {
            return;
        }
        spread.reported = Some(now);
        spread.work = work.clone();
        self.loads.report(work.clone());
        let me = self.name;
        let hubs = self.report_to(roster, now);
        let mut pieces = chunks(std::mem::take(&mut spread.pending));
        if pieces.is_empty() {
            pieces.push(Vec::new());
        }
        for news in pieces {
            let report = Report {
                from: me,
                work: work.clone(),
                replaced: self
                    .loads
                    .words(|words| words.replaced.updates_to_send(now)),
                operators: extent(view.operators),
                targets: extent(view.listed),
                retired: self.kept.retirements().applied(),
                fatal: fatal.clone(),
                limits: limits.clone(),
                news,
            };
            self.zone_news.hub().report(report.clone(), now);
            self.send(socket, &Datagram::Report(report), hubs.clone())
                .await;
        }
    }

    /// Where the hubs hear news.
    fn report_to(&self, roster: &Roster, now: Instant) -> Vec<SocketAddr> {
        let hubs = self.zone_news.hub().report_to(&roster.zone, now);
        roster.addrs(&hubs)
    }

    async fn send_bulletin(&self, socket: &UdpSocket, bulletin: Bulletin, roster: &Roster) {
        if let Some(sums) = &bulletin.sums {
            self.loads.hear_sums(sums.work.clone(), &bulletin.members);
        }
        let to = roster.addrs(behind(&bulletin.members, self.name));
        self.send(socket, &Datagram::Bulletin(bulletin), to).await;
    }

    async fn tell_zones(&self, socket: &UdpSocket, roster: &Roster, now: Instant) {
        let retired = || self.kept.retirements().applied();
        let word = self
            .zone_news
            .hub()
            .word(&self.me.zone, self.me.gossip, retired, now);
        let Some(mut word) = word else {
            return;
        };
        word.fatal = self.fatal.record().updates_to_send(now);
        word.limits = self.loads.words(|words| words.limits.updates_to_send(now));
        let to = self.other_hubs(roster, now);
        self.send(socket, &Datagram::Zone(word), to).await;
    }

    /// Where the hubs of other zones hear news: the ones that were heard last, and the first ones by name.
    fn other_hubs(&self, roster: &Roster, now: Instant) -> Vec<SocketAddr> {
        let mut to = Vec::new();
        for (zone, there) in &roster.others {
            to.extend(self.zone_news.hub().hub_of(zone, now));
            to.extend(there.iter().take(ZONE_FAN_OUT));
        }
        to.sort_unstable();
        to.dedup();
        to
    }

    async fn tell_digest(&self, socket: &UdpSocket, roster: &Roster, view: &View, now: Instant) {
        let mut digest = Box::new(self.digest(view));
        let any = roster.zone.choose(&mut rand::rng()).copied();
        let any = roster.addrs(any.as_slice());
        self.send(socket, &Datagram::Digest(digest.clone()), any)
            .await;
        digest.stores.clear();
        let mut to = self.report_to(roster, now);
        if self.zone_news.hub().is_active() {
            to.extend(self.other_hubs(roster, now));
        }
        self.send(socket, &Datagram::Digest(digest), to).await;
    }
}
