//! Tasks that poll the cache stores for changes, one for each store that this box polls. In a large fleet one box of each zone,
//! the zone's reader, polls a store and sends the results to the others.

use super::CacheStores;
use crate::cache_stores::directory::Position;
use crate::config::{FleetConfig, StoreSpec};
use crate::control::{Control, ControlError, StoreChanges, StoreListing};
use crate::fleet_state::{BoxEntry, FleetHandle, View};
use crate::peers::datagram::{MAX_CHANGES, StoreListingUpdate, StoreUpdate, ZoneUpdate};
use crate::peers::roles::{DataState, Role, SMALL_FLEET};
use crate::placement::Loads;
use rand::RngExt;
use rand::seq::IndexedRandom;
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

/// Maximum time that a store holds a poll open until changes arrive. The result counts as known from the start of the poll, and
/// other boxes poll the store themselves once their data is older than 1.5 s; waits below 200 ms cost as much as a probe.
const POLL_TIMEOUT: Duration = Duration::from_millis(500);

/// Minimum time between the starts of two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(150);

/// The same in a large fleet, whose dozens of stores change all the time: each poll is a call to the store and an update to a whole
/// zone, and prompts return after seconds.
const LARGE_POLL_INTERVAL: Duration = Duration::from_millis(400);

/// Interval at which a box checks whether to start polling a store.
const TURN_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// A box that has just started lists each store itself, after a random delay of at most this much times the number of boxes in the
/// fleet: all boxes may have started together, a store serves few clients concurrently, and each listing occupies it for some
/// milliseconds. If a box waited for the zone's reader instead, whole prompts would be recomputed meanwhile: when all of 71 boxes
/// restarted together, nothing was fetched for 1.7 s, and engines needed 3 s to prefill what had arrived in one.
const LIST_SPREAD: Duration = Duration::from_millis(4);

/// Time per store in which a box starts to read stores, on average, and the largest number that it starts at once. Until a
/// starting box knows the others, it is the reader of every store: all boxes of a large fleet together would list all
/// stores, whose number grows with the fleet too.
const START_INTERVAL: Duration = Duration::from_millis(50);
const MAX_STARTS: u32 = 4;

/// Number of stores that a box lists by itself after its start. The content of the others comes from boxes that list them:
/// otherwise the listings after a restart of all boxes would grow with boxes times stores.
const OWN_LISTINGS: usize = 16;

/// Growth of the known fleet from which a listing is scheduled again.
const RESCHEDULE_FACTOR: usize = 2;

/// Time after which a box that knows no other box assumes that it is the only one: it reads the registered boxes within some 20 ms
/// of its start.
const DISCOVERY_TIMEOUT: Duration = Duration::from_millis(250);

/// Delay after a failed poll.
const RETRY_DELAY: Duration = Duration::from_millis(400);

/// Dependencies of the tasks that poll stores.
pub struct Readers<C> {
    /// Client for calls to stores.
    pub control: C,
    /// This box.
    pub me: BoxEntry,
    /// State that the results update.
    pub cache_stores: CacheStores,
    /// State of the fleet.
    pub fleet: FleetHandle,
    /// Load and liveness of boxes.
    pub loads: Loads,
    /// Updates for the boxes of the zone.
    pub updates: mpsc::Sender<ZoneUpdate>,
    /// Logger.
    pub log: Logger,
}

/// When a box lists a store after its own start, unless another box sends the content first.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Listing {
    /// Not scheduled, since the number of boxes is not known yet.
    Unscheduled,
    /// Scheduled for this time, in a fleet of this many boxes.
    At(Instant, usize),
    /// Listed, or no longer needed.
    Done,
}

impl Listing {
    fn at(self) -> Option<Instant> {
        match self {
            Listing::At(at, _) => Some(at),
            Listing::Unscheduled | Listing::Done => None,
        }
    }

    fn no_sooner_than(self, earliest: Instant) -> Self {
        match self {
            Listing::At(at, boxes) => Listing::At(at.max(earliest), boxes),
            Listing::Unscheduled | Listing::Done => self,
        }
    }
}

/// A store that the configuration names.
struct TrackedStore {
    /// Since when this box waits for another box to send the content, while nothing is known.
    since: Instant,
    /// When this box lists the store after its own start.
    listing: Listing,
    role: Role,
    reader: Option<AbortHandle>,
}

impl TrackedStore {
    /// Returns whether its reader task runs.
    fn is_polled(&self) -> bool {
        let reader = self.reader.as_ref();
        reader.is_some_and(|reader| !reader.is_finished())
    }

    /// Schedules the listing after this box's start at random, as soon as the number of boxes is known.
    fn schedule_listing(&mut self, view: &View, now: Instant) {
        let is_known = !view.boxes.is_empty() || now - self.since >= DISCOVERY_TIMEOUT;
        let must_schedule = match self.listing {
            Listing::Unscheduled => is_known,
            Listing::At(_, boxes) => view.box_count() >= RESCHEDULE_FACTOR * boxes,
            Listing::Done => false,
        };
        if must_schedule {
            let spread = LIST_SPREAD * u32::try_from(view.box_count()).unwrap_or(u32::MAX);
            let at = now + spread.mul_f64(rand::rng().random());
            self.listing = Listing::At(at, view.box_count());
        }
        if self.listing != Listing::Unscheduled && self.is_polled() {
            self.listing = Listing::Done;
        }
    }
}

/// Limits how many readers a box starts.
#[derive(Debug)]
struct Starts {
    /// When the next one may start if none has been saved up.
    next: Instant,
}

impl Starts {
    fn new(now: Instant) -> Self {
        Self {
            next: Self::earliest(now),
        }
    }

    fn earliest(now: Instant) -> Instant {
        now.checked_sub(START_INTERVAL * MAX_STARTS).unwrap_or(now)
    }

    /// Returns whether a reader may start now, and counts it.
    fn take(&mut self, now: Instant) -> bool {
        self.next = self.next.max(Self::earliest(now));
        if self.next > now {
            return false;
        }
        self.next += START_INTERVAL;
        true
    }
}

/// Tracks the stores that the configuration names, and starts a reader for each one that this box is to poll. One task manages
/// them all, since most boxes of a large zone poll one store of dozens.
pub async fn run<C: Control>(readers: Readers<C>) {
    let mut tracked: HashMap<SocketAddr, TrackedStore> = HashMap::new();
    let mut config: Option<Arc<FleetConfig>> = None;
    let mut check = tokio::time::interval(TURN_CHECK_INTERVAL);
    check.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut views = readers.fleet.subscribe();
    let mut starts = Starts::new(Instant::now());
    loop {
        let listings = || tracked.values().map(|store| store.listing);
        let listing = listings().filter_map(Listing::at).min();
        let is_starting =
            config.is_none() || listings().any(|listing| listing == Listing::Unscheduled);
        tokio::select! {
            _ = check.tick() => {}
            // After the start nothing can be fetched before the stores' content is known, so act on each new view.
            Ok(()) = views.changed(), if is_starting => {}
            () = wait_until(listing) => {}
        }
        let view = readers.fleet.view();
        let same = |a: &Arc<FleetConfig>, b: &Arc<FleetConfig>| Arc::ptr_eq(a, b);
        let is_unchanged = match (&view.config, &config) {
            (Some(new), Some(old)) => same(new, old),
            (new, old) => new.is_none() && old.is_none(),
        };
        if !is_unchanged {
            config = view.config.clone();
            let stores = config.as_ref().map_or(&[][..], |config| &config.stores);
            readers.track(&mut tracked, stores);
        }
        readers.start_due(&mut tracked, &view, &mut starts);
    }
}

/// Waits until a time, or forever if there is none.
async fn wait_until(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}

impl<C: Control> Readers<C> {
    /// Starts to track stores that are new in the configuration, and drops those that it no longer names.
    fn track(&self, tracked: &mut HashMap<SocketAddr, TrackedStore>, stores: &[StoreSpec]) {
        let configured: HashSet<SocketAddr> = stores.iter().map(|store| store.addr).collect();
        tracked.retain(|addr, store| {
            if configured.contains(addr) {
                return true;
            }
            if let Some(reader) = &store.reader {
                reader.abort();
            }
            self.cache_stores.lock().forget(*addr);
            false
        });
        let own = stores.sample(&mut rand::rng(), OWN_LISTINGS);
        let own: HashSet<SocketAddr> = own.map(|store| store.addr).collect();
        for addr in configured {
            tracked.entry(addr).or_insert_with(|| {
                self.cache_stores.lock().track(addr, Instant::now());
                TrackedStore {
                    since: Instant::now(),
                    listing: match own.contains(&addr) {
                        true => Listing::Unscheduled,
                        false => Listing::Done,
                    },
                    role: Role::new(&self.me, addr.to_string()),
                    reader: None,
                }
            });
        }
    }

    /// Starts the readers of the stores that this box is to poll now.
    fn start_due(
        &self,
        tracked: &mut HashMap<SocketAddr, TrackedStore>,
        view: &View,
        starts: &mut Starts,
    ) {
        let now = Instant::now();
        let is_relayed = self.loads.is_hub_responsive(now);
        let large = view.box_count() > SMALL_FLEET;
        for (addr, store) in tracked.iter_mut() {
            store.schedule_listing(view, now);
            if store.listing == Listing::Unscheduled || store.is_polled() {
                continue;
            }
            if store.reader.take().is_some() {
                store.since = now;
            }
            let last_confirmed = self.cache_stores.lock().last_confirmed(*addr);
            if last_confirmed.is_some() {
                store.listing = Listing::Done;
            }
            let is_due = store.listing.at().is_some_and(|at| at <= now);
            // In a large fleet the zone's reader sends its results to all others; they do not all poll dozens of stores whenever
            // one is lost.
            let data = DataState {
                confirmed: last_confirmed.or(large.then_some(store.since)),
                is_relayed,
            };
            let alive = |id: &BoxId| self.loads.may_be_alive(id, now);
            let should_read = store.role.should_read(view, &self.me, alive, data, now)
                && (!is_relayed || store.role.is_substitute());
            if !(should_read || is_due) {
                continue;
            }
            if !starts.take(now) {
                store.listing = store.listing.no_sooner_than(starts.next);
                continue;
            }
            store.listing = Listing::Done;
            let reader = StoreReader {
                control: self.control.clone(),
                addr: *addr,
                role: Role::new(&self.me, addr.to_string()),
                me: self.me.clone(),
                fleet: self.fleet.clone(),
                loads: self.loads.clone(),
                updates: self.updates.clone(),
                cache_stores: self.cache_stores.clone(),
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
    updates: mpsc::Sender<ZoneUpdate>,
    cache_stores: CacheStores,
    log: Logger,
}

impl<C: Control> StoreReader<C> {
    /// Polls the store as long as this box is to poll it.
    async fn run(mut self) {
        let mut reachable = true;
        let mut polls: u32 = 0;
        while self.should_continue(polls) {
            polls += 1;
            let requested_at = Instant::now();
            match self.poll(requested_at).await {
                Ok(()) => {
                    if !reachable {
                        event!(self.log, events::CACHE_STORE_RECOVERED, "store" => self.addr.to_string());
                    }
                    reachable = true;
                    if !self.needs_clock(polls) {
                        tokio::time::sleep_until(requested_at + self.poll_interval()).await;
                    }
                }
                Err(e) => {
                    self.cache_stores.lock().forget(self.addr);
                    if reachable {
                        event!(self.log, events::CACHE_STORE_UNREACHABLE,
                            "store" => self.addr.to_string(), "why" => &e.what);
                    }
                    reachable = false;
                    // Not all boxes need to poll for its recovery.
                    if self.is_large_fleet() && !self.role.is_reader() {
                        return;
                    }
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    fn is_large_fleet(&self) -> bool {
        self.fleet.view().box_count() > SMALL_FLEET
    }

    fn poll_interval(&self) -> Duration {
        match self.is_large_fleet() {
            true => LARGE_POLL_INTERVAL,
            false => POLL_INTERVAL,
        }
    }

    /// Returns whether to send the result of a poll to the zone. In a large fleet a result without changes is sent too: while there
    /// is no fault, the other boxes have no other way to confirm the stores' content.
    fn should_send(&self, updates: &StoreChanges) -> bool {
        !updates.changes.is_empty() || self.is_large_fleet()
    }

    /// Returns whether to poll again after `polls` polls. The first poll is always made, even if the reason for it has passed.
    fn should_continue(&mut self, polls: u32) -> bool {
        polls == 0 || self.needs_clock(polls) || self.should_poll()
    }

    /// Returns whether to poll for changes right after the listing: a listing does not contain the engines' clock, without which
    /// nothing is fetched.
    fn needs_clock(&self, polls: u32) -> bool {
        polls == 1 && !self.cache_stores.lock().has_clock()
    }

    /// Returns whether this box polls for its zone, or its data is too old to wait for the box that does.
    fn should_poll(&mut self) -> bool {
        let (view, now) = (self.fleet.view(), Instant::now());
        let data = DataState {
            confirmed: self.cache_stores.lock().last_confirmed(self.addr),
            is_relayed: self.loads.is_hub_responsive(now),
        };
        let loads = &self.loads;
        let alive = |id: &BoxId| loads.may_be_alive(id, now);
        let should_read = self.role.should_read(&view, &self.me, alive, data, now);
        should_read && (!data.is_relayed || self.role.is_substitute())
    }

    /// Sends a listing to the zone if it is short; other boxes request a copy of a long one.
    fn send_listing(&self, list: &StoreListing, requested_at: Instant) {
        if !self.is_large_fleet() || list.complete.len() > MAX_CHANGES {
            return;
        }
        let listing = StoreListingUpdate {
            addr: self.addr,
            position: Position {
                epoch: list.epoch,
                next: list.next,
            },
            age_ms: requested_at.elapsed().as_millis() as u64,
            complete: list.complete.clone(),
        };
        // Boxes that miss it detect the gap from a digest.
        let _ = self.updates.try_send(ZoneUpdate::StoreListing(listing));
    }

    async fn poll(&self, requested_at: Instant) -> Result<(), ControlError> {
        let position = self.cache_stores.lock().position(self.addr);
        let Some(position) = position else {
            let list = self.control.list_store(self.addr).await?;
            event!(self.log, events::CACHE_STORE_LISTED, "store" => self.addr.to_string(),
                "epoch" => list.epoch, "whole" => list.complete.len(), "partial" => list.partial.len());
            self.send_listing(&list, requested_at);
            self.cache_stores
                .lock()
                .apply_list(self.addr, list, requested_at);
            return Ok(());
        };
        // A store holds few polls open. If boxes that only fill in for its reader took these places, the reader could not
        // poll, and all boxes would go on to fill in.
        let may_wait = self.role.is_reader() || !self.is_large_fleet();
        let wait = match may_wait && self.cache_stores.lock().has_clock() {
            true => POLL_TIMEOUT,
            false => Duration::ZERO,
        };
        let updates = self
            .control
            .store_changes(self.addr, position.next, wait)
            .await?;
        let (epoch, lost) = (updates.epoch, updates.lost);
        if !lost && self.should_send(&updates) {
            let update = StoreUpdate {
                addr: self.addr,
                since: position.next,
                epoch,
                next: updates.next,
                age_ms: requested_at.elapsed().as_millis() as u64,
                changes: updates.changes.clone(),
            };
            // Boxes that miss it detect the gap from a digest.
            let _ = self.updates.try_send(ZoneUpdate::Store(update));
        }
        if !self.cache_stores.lock().apply_changes(
            self.addr,
            position.next,
            updates,
            requested_at,
            Instant::now(),
        ) {
            event!(self.log, events::CACHE_STORE_EVENTS_LOST, "store" => self.addr.to_string(),
                "epoch_before" => position.epoch, "epoch" => epoch, "lost" => lost);
        }
        Ok(())
    }
}
