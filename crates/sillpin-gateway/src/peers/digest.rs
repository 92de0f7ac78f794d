//! Who is told what, and when.

use super::asker::Asker;
use super::datagram::{BoxHash, Datagram, Digest, Extent, KeptExtent, LoadNews, News, WorkWord};
use super::ear::Ear;
use super::millis;
use super::roles::{self, SMALL_FLEET};
use super::spread::{Spread, TELL_EVERY, ZoneNews};
use super::stall::StallGuard;
use super::wire::{self, FleetKey};
use crate::beliefs::transfers::Transfers;
use crate::beliefs::wanted::ages;
use crate::beliefs::{BoxEntry, FleetHandle, Known, View};
use crate::fatal::Fatal;
use crate::kept::Kept;
use crate::metrics::BoxMetrics;
use crate::place::Loads;
use crate::place::work::EngineWork;
use crate::reload::Settings;
use crate::suspend_clock::SuspendClock;
use rand::seq::IndexedRandom;
use sillpin_telemetry::{event, events};
use slog::Logger;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::{Instant, MissedTickBehavior};
use tokio_util::sync::CancellationToken;

/// Time between two rounds. Changes are told at once; a round repeats them for who missed them, and tells
/// how old the box's knowledge is. The platform allows two seconds for a configuration.
const ROUND: Duration = Duration::from_millis(400);

/// Time between two words about work at engines. A prompt is read in 30 to 160 ms, so older words tell of work that is
/// done. Measured: see `docs/MEASUREMENTS.md`.
const WORK_ROUND: Duration = Duration::from_millis(60);

/// Boxes of the own zone told in each round: all of a zone of today's size and of the grown ones.
const ZONE_FAN_OUT: usize = 32;

/// Boxes of other zones told in each round by a box of a small fleet.
const FOREIGN_FAN_OUT: usize = 3;

/// Boxes of each other zone told in each round by a box that speaks for a large zone.
const SPEAKER_FAN_OUT: usize = 2;

/// What the box that speaks for a zone does, in the choice of who does it.
const SPEAKER: &str = "speaker";

/// Sends digests and news.
pub struct Gossip {
    /// The fleet.
    pub fleet_key: FleetKey,
    /// This box.
    pub me: BoxEntry,
    /// Settings; they name boxes to tell when none is known.
    pub settings: Settings,
    /// What the box knows.
    pub fleet: FleetHandle,
    /// Loads of targets.
    pub loads: Loads,
    /// What is known of kept parts.
    pub kept: Kept,
    /// Time asleep.
    pub suspend_clock: SuspendClock,
    /// Requests that end the targets that run them.
    pub fatal: Fatal,
    /// News of this box's own orders, for all boxes.
    pub news: mpsc::Receiver<LoadNews>,
    /// News of what this box reads, for its zone.
    pub words: mpsc::Receiver<News>,
    /// Its short name.
    pub name: BoxHash,
    /// How the news of a large zone spread.
    pub zone_news: ZoneNews,
    /// What is on its way to this box.
    pub transfers: Transfers,
    /// Cancelled when the box is about to end.
    pub stopping: CancellationToken,
    /// Counts copies.
    pub metrics: BoxMetrics,
    /// Log.
    pub log: Logger,
}

impl Gossip {
    /// Runs until the process ends.
    pub async fn run(self, socket: UdpSocket) {
        let socket = Arc::new(socket);
        let ear = Ear {
            fleet_key: self.fleet_key,
            fleet: self.fleet.clone(),
            loads: self.loads.clone(),
            kept: self.kept.clone(),
            fatal: self.fatal.clone(),
            asking: Arc::default(),
            asker: Asker {
                fleet_key: self.fleet_key,
                transfers: self.transfers.clone(),
                metrics: self.metrics.clone(),
                log: self.log.clone(),
            },
            lag: Arc::default(),
            transfers: self.transfers.clone(),
            stall: StallGuard::start(self.suspend_clock.clone()),
            metrics: self.metrics.clone(),
            name: self.name,
            zone: self.me.zone.clone(),
            zone_news: self.zone_news.clone(),
            log: self.log.clone(),
        };
        tokio::spawn(ear.hear(socket.clone()));
        self.speak(&socket).await;
    }

    async fn speak(mut self, socket: &UdpSocket) {
        let mut rounds = tokio::time::interval(ROUND);
        rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut views = self.fleet.subscribe();
        let mut told = (0, 0);
        let mut work_due = Instant::now();
        let mut work_told = Vec::new();
        let mut spread = Spread::default();
        let urgent = self.zone_news.urgent.clone();
        let limit_found = self.loads.limit_found.clone();
        loop {
            let roster = self.zone_news.rosters.of(&views.borrow());
            let large = roster.is_large();
            let mut at_once = false;
            tokio::select! {
                () = tokio::time::sleep_until(work_due) => match large {
                    true => at_once = true,
                    false => {
                        work_due = Instant::now() + WORK_ROUND;
                        let work = self.loads.told();
                        if work != work_told {
                            work_told = work.clone();
                            self.tell_work(socket, work).await;
                        }
                    }
                },
                () = urgent.notified() => at_once = large,
                // Callers come back within a second, and each time it costs a target.
                () = self.fatal.found.notified() => match large {
                    true => at_once = true,
                    false => self.round(socket, false).await,
                },
                // Until they hear of it, all boxes send the target what they like. In a large zone reports follow each other fast enough.
                () = limit_found.notified(), if !large => self.round(socket, false).await,
                _ = rounds.tick() => self.round(socket, large).await,
                Ok(()) = views.changed() => {
                    let content = contents(&views.borrow_and_update());
                    if content != told {
                        told = content;
                        // In a large zone the hub tells that something has changed, and who read it what that is.
                        match large {
                            true => at_once = true,
                            false => self.round(socket, false).await,
                        }
                    }
                }
                Some(news) = self.news.recv() => match large {
                    true => {
                        spread.push([News::Loading(news)]);
                        while let Ok(news) = self.news.try_recv() {
                            spread.push([News::Loading(news)]);
                        }
                        at_once = true;
                    }
                    false => self.tell_loading(socket, news).await,
                },
                Some(word) = self.words.recv() => match large {
                    true => spread.push(word.split()),
                    false => self.tell_kept(socket, word).await,
                },
            }
            if at_once {
                work_due = Instant::now() + TELL_EVERY;
                self.spread(socket, &mut spread, &roster).await;
            }
        }
    }

    /// Tells all boxes what is done to an engine.
    async fn tell_loading(&self, socket: &UdpSocket, news: LoadNews) {
        let all = self
            .fleet
            .view()
            .boxes
            .iter()
            .map(|peer| peer.gossip)
            .collect();
        self.send(socket, &Datagram::Loading(news), all).await;
    }

    /// Tells the zone what was read of a store. What is published is asked for by boxes that lack it.
    async fn tell_kept(&self, socket: &UdpSocket, news: News) {
        let zone = self.zone(&self.fleet.view());
        for news in news.split() {
            if let News::Kept(word) = news {
                self.send(socket, &Datagram::Kept(word), zone.clone()).await;
            }
        }
    }

    async fn round(&self, socket: &UdpSocket, large: bool) {
        let view = self.fleet.view();
        let stores = view.config.as_ref().map(|config| config.stores.as_slice());
        let fullness = self.kept.lock().fullness(stores.unwrap_or_default());
        {
            let mut retirements = self.kept.retirements();
            retirements.wake(self.suspend_clock.suspended());
            retirements.update(&view, fullness, Instant::now());
        }
        self.loads
            .words(|words| words.wake(self.suspend_clock.suspended()));
        if large {
            return;
        }
        let mut digest = Box::new(self.digest(&view));
        let foreign = self.foreign(&view);
        let zone = self.zone(&view);
        self.send(socket, &Datagram::Digest(digest.clone()), zone)
            .await;
        digest.stores.clear();
        self.send(socket, &Datagram::Digest(digest), foreign).await;
    }

    /// Tells of this box's work at engines: all boxes of a small fleet; else its zone and a few others.
    async fn tell_work(&self, socket: &UdpSocket, work: Vec<EngineWork>) {
        let view = self.fleet.view();
        let mut to = self.zone(&view);
        let others = view.boxes.iter().filter(|peer| peer.zone != self.me.zone);
        let others: Vec<SocketAddr> = others.map(|peer| peer.gossip).collect();
        let fan_out = match view.box_count() <= SMALL_FLEET {
            true => others.len(),
            false => FOREIGN_FAN_OUT,
        };
        to.extend(others.sample(&mut rand::rng(), fan_out).copied());
        let from = self.me.id.clone();
        let replaced = self
            .loads
            .words(|words| words.replaced.told(Instant::now()));
        let word = WorkWord {
            from,
            work,
            replaced,
        };
        self.send(socket, &Datagram::Work(word), to).await;
    }

    pub(super) async fn send(&self, socket: &UdpSocket, datagram: &Datagram, to: Vec<SocketAddr>) {
        if to.is_empty() {
            return;
        }
        let buf = match wire::encode(self.fleet_key, datagram) {
            Ok(buf) => buf,
            Err(e) => {
                event!(self.log, events::GOSSIP_FAILED, "why" => e.to_string());
                return;
            }
        };
        self.metrics
            .datagrams(datagram.name(), "sent", to.len(), buf.len());
        for peer in to {
            // A datagram that cannot be sent is lost like any other; the next round follows.
            let _ = socket.send_to(&buf, peer).await;
        }
    }

    pub(super) fn digest(&self, view: &View) -> Digest {
        let now = Instant::now();
        let directory = self.kept.lock();
        let extent_of = |addr: SocketAddr| {
            Some(KeptExtent {
                addr,
                position: directory.position(addr)?,
                age_ms: millis(now - directory.heard(addr)?),
            })
        };
        Digest {
            from: self.me.clone(),
            operators: extent(view.operators),
            targets: extent(view.listed),
            stores: directory
                .known()
                .into_iter()
                .filter_map(extent_of)
                .collect(),
            clock: directory.engine_time(now, Duration::ZERO),
            work: self.loads.told(),
            replaced: self.loads.words(|words| words.replaced.told(now)),
            named: ages(&view.wanted, now),
            contact_ms: view.operators.in_touch(now).map(|at| millis(now - at)),
            retired: self.kept.retirements().told(now),
            fatal: self.fatal.record().told(now),
            limits: self.loads.words(|words| words.limits.told(now)),
            stopping: self.stopping.is_cancelled(),
        }
    }

    /// Boxes of the own zone.
    fn zone(&self, view: &View) -> Vec<SocketAddr> {
        let zone = view.boxes.iter().filter(|peer| peer.zone == self.me.zone);
        let zone: Vec<SocketAddr> = zone.map(|peer| peer.gossip).collect();
        let picked = zone.sample(&mut rand::rng(), ZONE_FAN_OUT);
        picked.copied().collect()
    }

    /// Boxes of other zones that are told in this round; seeds if no box is known.
    fn foreign(&self, view: &View) -> Vec<SocketAddr> {
        if view.boxes.is_empty() {
            let port = self.me.gossip.port();
            let cfg = self.settings.borrow();
            let seeds = cfg
                .seeds
                .iter()
                .map(|seed| SocketAddr::new(seed.ip(), port));
            return seeds.filter(|seed| *seed != self.me.gossip).collect();
        }
        let others = view.boxes.iter().filter(|peer| peer.zone != self.me.zone);
        let others: Vec<&BoxEntry> = others.collect();
        let mut rng = rand::rng();
        if view.box_count() <= SMALL_FLEET {
            let picked = others.sample(&mut rng, FOREIGN_FAN_OUT);
            return picked.map(|peer| peer.gossip).collect();
        }
        if !roles::is_reader(view, &self.me, SPEAKER) {
            return Vec::new();
        }
        let mut zones: Vec<_> = others.iter().map(|peer| peer.zone.clone()).collect();
        zones.sort();
        zones.dedup();
        let mut picked = Vec::new();
        for zone in zones {
            let there: Vec<&BoxEntry> = others.iter().copied().filter(|p| p.zone == zone).collect();
            picked.extend(
                there
                    .sample(&mut rng, SPEAKER_FAN_OUT)
                    .map(|peer| peer.gossip),
            );
        }
        picked
    }
}

/// Hashes of what is published, as a box knows it.
fn contents(view: &View) -> (u64, u64) {
    (view.operators.content, view.listed.content)
}

/// How far a prefix is known, for others.
pub(super) fn extent(known: Known) -> Extent {
    let age = known.confirmed.map(|at| at.elapsed());
    Extent {
        revision: known.revision,
        content: known.content,
        age_ms: age.map(millis),
    }
}
