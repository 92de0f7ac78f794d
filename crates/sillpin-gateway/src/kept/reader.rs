//! Tasks that read the stores' events, one for each store of the configuration.

use super::Kept;
use crate::beliefs::{BoxEntry, FleetHandle, View};
use crate::config::{FleetConfig, StoreSpec};
use crate::control::{Control, ControlError, KeptList, KeptNews};
use crate::kept::directory::Position;
use crate::peers::datagram::{KeptListing, KeptWord, MAX_CHANGES, News};
use crate::peers::roles::{Role, SMALL_FLEET};
use crate::place::Loads;
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

/// One store that the configuration names.
struct Followed {
    since: Instant,
    role: Role,
    reader: Option<AbortHandle>,
}

impl Followed {
    /// Whether its reader is at work.
    fn is_read(&self) -> bool {
        let reader = self.reader.as_ref();
        reader.is_some_and(|reader| !reader.is_finished())
    }
}

/// Follows the stores that the configuration names, and reads those whose turn is this box's. One task looks after all of
/// them: most boxes of a large zone read one store of dozens.
pub async fn run<C: Control>(readers: Readers<C>) {
    let mut followed: HashMap<SocketAddr, Followed> = HashMap::new();
    let mut config: Option<Arc<FleetConfig>> = None;
    let mut look = tokio::time::interval(TURN_CHECK);
    look.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        look.tick().await;
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
        for (addr, store) in followed.iter_mut().filter(|(_, store)| !store.is_read()) {
            if store.reader.take().is_some() {
                store.since = now;
            }
            let heard = self.kept.lock().heard(*addr);
            // In a large fleet the reader tells all others what it finds; they do not all list dozens of stores when they start.
            let heard = heard.or(large.then_some(store.since));
            let alive = |id: &BoxId| self.loads.may_live(id, now);
            if !store.role.should_read(view, &self.me, alive, heard, now) {
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
        while self.is_my_turn() {
            let asked = Instant::now();
            match self.read(asked).await {
                Ok(()) => {
                    if !reachable {
                        event!(self.log, events::KEPT_STORE_BACK, "store" => self.addr.to_string());
                    }
                    reachable = true;
                    tokio::time::sleep_until(asked + self.pause()).await;
                }
                Err(e) => {
                    self.kept.lock().forget(self.addr);
                    if reachable {
                        event!(self.log, events::KEPT_STORE_LOST,
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
            event!(self.log, events::KEPT_STORE_LISTED, "store" => self.addr.to_string(),
                "epoch" => list.epoch, "whole" => list.whole.len(), "partial" => list.partial.len());
            self.tell_listing(&list, asked);
            self.kept.lock().take_list(self.addr, list, asked);
            return Ok(());
        };
        let news = self
            .control
            .kept_news(self.addr, position.next, NEWS_WAIT)
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
            event!(self.log, events::KEPT_STORE_GAP, "store" => self.addr.to_string(),
                "epoch_before" => position.epoch, "epoch" => epoch, "lost" => lost);
        }
        Ok(())
    }
}
