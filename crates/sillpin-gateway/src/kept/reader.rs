//! Tasks that read the stores' events, one for each store of the configuration.

use super::Kept;
use crate::beliefs::{BoxEntry, FleetHandle, View};
use crate::config::{FleetConfig, StoreSpec};
use crate::control::{Control, ControlError, KeptList, KeptNews};
use crate::kept::directory::Position;
use crate::peers::datagram::{KeptListing, KeptWord, MAX_CHANGES, News};
use crate::peers::roles::{Role, SMALL_FLEET};
use crate::place::Loads;
use rand::RngExt;
use sillpin_core::BoxId;
use sillpin_telemetry::{event, events};
use slog::Logger;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::{Instant, MissedTickBehavior};

/// How long a reading waits for changes. What it finds is as old as the moment it began, and other boxes lose
/// patience with knowledge older than 1.5 s; waits below 200 ms cost as much as a probe.
const NEWS_WAIT: Duration = Duration::from_millis(500);

/// Least time between two readings.
const READ_PAUSE: Duration = Duration::from_millis(150);

/// The same in a large fleet, whose dozens of stores change all the time: each reading is a call of the store and news for a whole zone,
/// and prompts come back after seconds.
const LARGE_READ_PAUSE: Duration = Duration::from_millis(400);

/// How often a box looks whether a store that it does not read is its turn.
const TURN_CHECK: Duration = Duration::from_millis(200);

/// A box of a large fleet that has just started lists each store itself, after a draw of at most this much for each box of the fleet: boxes may all have
/// started, a store serves few readers at once, and each listing holds it up for some milliseconds. If a box waited for the zone's reader instead, prompts
/// would be read whole meanwhile: after all of 71 boxes had lost power, nothing was fetched for 1.7 s, and engines read for 3 s what had come in one.
const LIST_SPREAD: Duration = Duration::from_millis(4);

/// A box that knows no other is alone if it still knows none after this: it reads who is registered within some 20 ms of its start.
const ALONE: Duration = Duration::from_millis(250);

/// Wait after a failed reading.
const RETRY_PAUSE: Duration = Duration::from_millis(400);

/// What readers of stores use.
pub struct Readers<C> {
    /// Calls of stores.
    pub control: C,
    /// This box.
    pub me: BoxEntry,
    /// Who is told.
    pub kept: Kept,
    /// What is known of the fleet.
    pub fleet: FleetHandle,
    /// Which boxes live.
    pub loads: Loads,
    /// News for the boxes of the zone.
    pub news: mpsc::Sender<News>,
    /// Log.
    pub log: Logger,
}

/// When a box lists a store at its start, unless it is told before.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Listing {
    /// It does not know how many others do so as well.
    Unplanned,
    /// At this moment.
    At(Instant),
    /// It has, or was told.
    Done,
}

impl Listing {
    fn at(self) -> Option<Instant> {
        match self {
            Listing::At(at) => Some(at),
            Listing::Unplanned | Listing::Done => None,
        }
    }
}

/// One store that the configuration names.
struct Followed {
    /// Since when it is waited for others to tell of it, while nothing is known.
    since: Instant,
    /// When this box lists it itself at its start.
    listing: Listing,
    role: Role,
    reader: Option<AbortHandle>,
}

impl Followed {
    /// Whether its reader is at work.
    fn is_read(&self) -> bool {
        let reader = self.reader.as_ref();
        reader.is_some_and(|reader| !reader.is_finished())
    }

    /// Draws when this box lists the store at its start, as soon as it knows how many others do.
    fn plan_listing(&mut self, view: &View, now: Instant) {
        let is_known = !view.boxes.is_empty() || now - self.since >= ALONE;
        if self.listing == Listing::Unplanned && is_known {
            let spread = LIST_SPREAD * u32::try_from(view.box_count()).unwrap_or(u32::MAX);
            self.listing = Listing::At(now + spread.mul_f64(rand::rng().random()));
        }
        if self.listing != Listing::Unplanned && self.is_read() {
            self.listing = Listing::Done;
        }
    }
}

/// Follows the stores that the configuration names, and reads those whose turn is this box's. One task looks after all of
/// them: most boxes of a large zone read one store of dozens.
pub async fn run<C: Control>(readers: Readers<C>) {
    let mut followed: HashMap<SocketAddr, Followed> = HashMap::new();
    let mut config: Option<Arc<FleetConfig>> = None;
    let mut look = tokio::time::interval(TURN_CHECK);
    look.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut views = readers.fleet.subscribe();
    loop {
        let plans = || followed.values().map(|store| store.listing);
        let listing = plans().filter_map(Listing::at).min();
        let is_starting = config.is_none() || plans().any(|plan| plan == Listing::Unplanned);
        tokio::select! {
            _ = look.tick() => {}
            // At the start nothing can be fetched before the stores are known.
            Ok(()) = views.changed(), if is_starting => {}
            () = reached(listing) => {}
        }
        let view = readers.fleet.view();
        let same = |a: &Arc<FleetConfig>, b: &Arc<FleetConfig>| Arc::ptr_eq(a, b);
        let is_same = match (&view.config, &config) {
            (Some(new), Some(old)) => same(new, old),
            (new, old) => new.is_none() && old.is_none(),
        };
        if !is_same {
            config = view.config.clone();
            let stores = config.as_ref().map_or(&[][..], |config| &config.stores);
            readers.follow(&mut followed, stores);
        }
        readers.start_due(&mut followed, &view);
    }
}

/// Waits for a moment, if there is one.
async fn reached(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}

impl<C: Control> Readers<C> {
    /// Begins to follow stores that were not named before, and forgets those that are not named any more.
    fn follow(&self, followed: &mut HashMap<SocketAddr, Followed>, stores: &[StoreSpec]) {
        let named: HashSet<SocketAddr> = stores.iter().map(|store| store.addr).collect();
        followed.retain(|addr, store| {
            if named.contains(addr) {
                return true;
            }
            if let Some(reader) = &store.reader {
                reader.abort();
            }
            self.kept.lock().forget(*addr);
            false
        });
        for addr in named {
            followed.entry(addr).or_insert_with(|| {
                self.kept.lock().follow(addr, Instant::now());
                Followed {
                    since: Instant::now(),
                    listing: Listing::Unplanned,
                    role: Role::new(&self.me, addr.to_string()),
                    reader: None,
                }
            });
        }
    }

    /// Starts the readers of stores whose turn is this box's.
    fn start_due(&self, followed: &mut HashMap<SocketAddr, Followed>, view: &View) {
        let now = Instant::now();
        let large = view.box_count() > SMALL_FLEET;
        for (addr, store) in followed.iter_mut() {
            store.plan_listing(view, now);
            if store.listing == Listing::Unplanned || store.is_read() {
                continue;
            }
            let lists = store.listing.at().is_some_and(|at| at <= now);
            if lists {
                store.listing = Listing::Done;
            }
            if store.reader.take().is_some() {
                store.since = now;
            }
            let heard = self.kept.lock().heard(*addr);
            let lists = lists && heard.is_none();
            // In a large fleet the reader tells all others what it finds; they do not all read dozens of stores whenever one is lost.
            let heard = heard.or(large.then_some(store.since));
            let alive = |id: &BoxId| self.loads.may_live(id, now);
            if !store.role.should_read(view, &self.me, alive, heard, now) && !lists {
                continue;
            }
            let reader = StoreReader {
                control: self.control.clone(),
                addr: *addr,
                role: Role::new(&self.me, addr.to_string()),
                me: self.me.clone(),
                fleet: self.fleet.clone(),
                loads: self.loads.clone(),
                news: self.news.clone(),
                kept: self.kept.clone(),
                log: self.log.clone(),
            };
            store.reader = Some(tokio::spawn(reader.run()).abort_handle());
        }
    }
}

struct StoreReader<C> {
    control: C,
    addr: SocketAddr,
    role: Role,
    me: BoxEntry,
    fleet: FleetHandle,
    loads: Loads,
    news: mpsc::Sender<News>,
    kept: Kept,
    log: Logger,
}

impl<C: Control> StoreReader<C> {
    /// Reads while it is this box's turn.
    async fn run(mut self) {
        let mut reachable = true;
        let mut readings: u32 = 0;
        while self.goes_on(readings) {
            readings += 1;
            let asked = Instant::now();
            match self.read(asked).await {
                Ok(()) => {
                    if !reachable {
                        event!(self.log, events::CACHE_STORE_RECOVERED, "store" => self.addr.to_string());
                    }
                    reachable = true;
                    if !self.should_ask_clock(readings) {
                        tokio::time::sleep_until(asked + self.pause()).await;
                    }
                }
                Err(e) => {
                    self.kept.lock().forget(self.addr);
                    if reachable {
                        event!(self.log, events::CACHE_STORE_UNREACHABLE,
                            "store" => self.addr.to_string(), "why" => &e.what);
                    }
                    reachable = false;
                    // The others need not all find out when it is back.
                    if self.is_large_fleet() && !self.role.is_reader() {
                        return;
                    }
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    fn is_large_fleet(&self) -> bool {
        self.fleet.view().box_count() > SMALL_FLEET
    }

    fn pause(&self) -> Duration {
        match self.is_large_fleet() {
            true => LARGE_READ_PAUSE,
            false => READ_PAUSE,
        }
    }

    /// Whether the zone is told of a reading. In a large fleet also of one that found nothing: boxes hear of the stores in no
    /// other way while all goes well.
    fn has_news(&self, news: &KeptNews) -> bool {
        !news.changes.is_empty() || self.is_large_fleet()
    }

    /// Whether there is one more reading after so many. What the first one was begun for may not last until it is made.
    fn goes_on(&mut self, readings: u32) -> bool {
        readings == 0 || self.should_ask_clock(readings) || self.is_my_turn()
    }

    /// A listing does not tell the engines' clock, without which nothing is fetched: the first changes do.
    fn should_ask_clock(&self, readings: u32) -> bool {
        readings == 1 && !self.kept.lock().has_clock()
    }

    /// Whether this box reads for its zone, or knows too little to wait for whoever does.
    fn is_my_turn(&mut self) -> bool {
        let (view, now) = (self.fleet.view(), Instant::now());
        let heard = self.kept.lock().heard(self.addr);
        let loads = &self.loads;
        let alive = |id: &BoxId| loads.may_live(id, now);
        self.role.should_read(&view, &self.me, alive, heard, now)
    }

    /// Tells the zone what a store holds, if it is little: others ask for a copy else.
    fn tell_listing(&self, list: &KeptList, asked: Instant) {
        if !self.is_large_fleet() || list.whole.len() > MAX_CHANGES {
            return;
        }
        let listing = KeptListing {
            addr: self.addr,
            position: Position {
                epoch: list.epoch,
                next: list.next,
            },
            age_ms: asked.elapsed().as_millis() as u64,
            whole: list.whole.clone(),
        };
        // Boxes that miss it see in a digest that they lack something.
        let _ = self.news.try_send(News::Listed(listing));
    }

    async fn read(&self, asked: Instant) -> Result<(), ControlError> {
        let position = self.kept.lock().position(self.addr);
        let Some(position) = position else {
            let list = self.control.kept_list(self.addr).await?;
            event!(self.log, events::CACHE_STORE_LISTED, "store" => self.addr.to_string(),
                "epoch" => list.epoch, "whole" => list.whole.len(), "partial" => list.partial.len());
            self.tell_listing(&list, asked);
            self.kept.lock().take_list(self.addr, list, asked);
            return Ok(());
        };
        let wait = match self.kept.lock().has_clock() {
            true => NEWS_WAIT,
            false => Duration::ZERO,
        };
        let news = self
            .control
            .kept_news(self.addr, position.next, wait)
            .await?;
        let (epoch, lost) = (news.epoch, news.lost);
        if !lost && self.has_news(&news) {
            let word = KeptWord {
                addr: self.addr,
                since: position.next,
                epoch,
                next: news.next,
                age_ms: asked.elapsed().as_millis() as u64,
                changes: news.changes.clone(),
            };
            // Boxes that miss it see in a digest that they lack something.
            let _ = self.news.try_send(News::Kept(word));
        }
        if !self
            .kept
            .lock()
            .take_news(self.addr, position.next, news, asked, Instant::now())
        {
            event!(self.log, events::CACHE_STORE_EVENTS_LOST, "store" => self.addr.to_string(),
                "epoch_before" => position.epoch, "epoch" => epoch, "lost" => lost);
        }
        Ok(())
    }
}
