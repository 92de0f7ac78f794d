//! Sends the boxes of the own zone changes of this box's work at the zone's engines immediately.
//!
//! Prompts are prefilled in less time than periodic reports take, so boxes that place prompts by
//! such reports send too many to some engines while others are idle. Updates state absolute values,
//! so a lost one is repaired by the next about the same engine or by the next complete list.

use super::datagram::{BoxHash, Datagram, EngineUpdate, EngineUpdateContent};
use super::roster::Roster;
use super::sender::GossipSender;
use super::transmitter::Transmitter;
use super::update_limit::{Switch, UpdateLimit};
use super::wire::FleetKey;
use super::zone_sender::ZoneGossip;
use crate::fleet_state::{FleetHandle, View};
use crate::metrics::BoxMetrics;
use crate::placement::Loads;
use crate::placement::direct_work::ZoneScope;
use crate::placement::work::TargetHash;
use crate::suspend_clock::SuspendClock;
use sillpin_core::{TargetId, ZoneId};
use sillpin_telemetry::{event, events};
use slog::Logger;
use std::collections::HashSet;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, SystemTime};
use tokio::net::UdpSocket;
use tokio::time::{Instant, MissedTickBehavior};

/// Largest number of boxes of a zone with immediate updates: each update goes to all of them.
pub const MAX_BOXES: usize = 64;

/// Time between two complete lists.
pub const LIST_INTERVAL: Duration = Duration::from_millis(400);

/// Number of lists for each of which boxes that were not heard get one [`Hello`]. Boxes without this
/// code log each datagram that they can't read, so they get few.
///
/// [`Hello`]: EngineUpdateContent::Hello
const LISTS_PER_HELLO: u32 = 3;

/// The limit, shared by the sending and the receiving task.
#[derive(Debug, Clone, Default)]
pub struct SharedLimit(Arc<Mutex<UpdateLimit>>);

impl SharedLimit {
    /// Locks the limit.
    pub fn lock(&self) -> MutexGuard<'_, UpdateLimit> {
        self.0.lock().unwrap_or_else(|e| e.into_inner())
    }
}

/// Sends updates.
pub struct UpdateSender {
    fleet_key: FleetKey,
    zone: ZoneId,
    name: BoxHash,
    fleet: FleetHandle,
    loads: Loads,
    zone_gossip: ZoneGossip,
    suspend_clock: SuspendClock,
    metrics: BoxMetrics,
    log: Logger,
    socket: Arc<UdpSocket>,
    limit: SharedLimit,
    sequence: u32,
    lists: u32,
    suspended: Duration,
    scope: Option<ZoneScope>,
    /// The zone's engines, while updates about them are sent.
    engines: Vec<TargetId>,
}

impl UpdateSender {
    /// Creates the sender of a box that sends datagrams from `socket`.
    pub fn new(gossip: &GossipSender, socket: Arc<UdpSocket>, limit: SharedLimit) -> Self {
        Self {
            fleet_key: gossip.fleet_key,
            zone: gossip.me.zone.clone(),
            name: gossip.name,
            fleet: gossip.fleet.clone(),
            loads: gossip.loads.clone(),
            zone_gossip: gossip.zone_gossip.clone(),
            suspend_clock: gossip.suspend_clock.clone(),
            metrics: gossip.metrics.clone(),
            log: gossip.log.clone(),
            socket,
            limit,
            sequence: first_sequence(),
            lists: 0,
            suspended: gossip.suspend_clock.suspended(),
            scope: None,
            engines: Vec::new(),
        }
    }

    /// Runs until the process ends.
    pub async fn run(mut self) {
        let mut views = self.fleet.subscribe();
        let mut lists = tokio::time::interval(LIST_INTERVAL);
        lists.set_missed_tick_behavior(MissedTickBehavior::Delay);
        self.update_scope(&views.borrow_and_update().clone());
        loop {
            let peers = self.scope.as_ref().map_or(0, |scope| scope.peers.len());
            let (immediate, batched) = self.limit.lock().ready_at(peers, Instant::now());
            let is_sending = peers > 0 && self.limit.lock().is_sending();
            let changes = self.loads.work_changes.clone();
            tokio::select! {
                Ok(()) = views.changed() => {
                    let view = views.borrow_and_update().clone();
                    self.update_scope(&view);
                }
                _ = lists.tick() => self.tick().await,
                () = changes.wait_until_due(immediate, batched), if is_sending => self.send_changes().await,
            }
        }
    }

    /// Updates the zone's boxes and engines from a view.
    fn update_scope(&mut self, view: &View) {
        let roster = self.zone_gossip.rosters.of(view);
        let engines = engines_of_zone(view, &self.zone);
        let scope = zone_scope(&self.zone, self.name, &roster, &engines);
        if scope == self.scope {
            return;
        }
        self.engines = match &scope {
            Some(_) => engines,
            None => Vec::new(),
        };
        let hashes = scope.as_ref().map(|scope| scope.engines.clone());
        let hashes = hashes.unwrap_or_default();
        self.zone_gossip.hub().set_zone_engines(hashes);
        self.loads.set_zone_scope(scope.clone());
        self.scope = scope;
    }

    /// Sends the complete list, after checks of the limit and of the box's clock.
    async fn tick(&mut self) {
        self.drop_rows_after_suspension();
        self.switch().await;
        if !self.limit.lock().is_sending() {
            let unsent = self.loads.work_changes.discard() * self.peers().len();
            self.limit.lock().record_unsent(unsent);
            return;
        }
        let (heard, silent) = self.peers_by_contact();
        let work = self.loads.work_at(&self.engines);
        let working = work.into_iter().filter(|row| !row.is_zero());
        let list = EngineUpdateContent::Complete(working.collect());
        self.send(list, &heard).await;
        if self.lists.is_multiple_of(LISTS_PER_HELLO) {
            self.send(EngineUpdateContent::Hello, &silent).await;
        }
        self.lists = self.lists.wrapping_add(1);
    }

    /// Stops or resumes, if it is time to.
    async fn switch(&mut self) {
        let waiting_since = self.loads.work_changes.immediate_since();
        let switch = self.limit.lock().switch(waiting_since, Instant::now());
        let Some(switch) = switch else {
            return;
        };
        event!(self.log, events::WORK_UPDATES_SWITCHED, "why" => switch.reason());
        if switch != Switch::Resumed {
            self.send(EngineUpdateContent::Stopped, &self.peers()).await;
        }
    }

    /// Drops the rows of other boxes after a suspension, which the runtime's clock does not include.
    fn drop_rows_after_suspension(&mut self) {
        let suspended = self.suspend_clock.suspended();
        if suspended > self.suspended {
            self.loads.set_zone_scope(None);
            self.loads.set_zone_scope(self.scope.clone());
        }
        self.suspended = suspended;
    }

    async fn send_changes(&mut self) {
        let now = Instant::now();
        let changed = self.loads.work_changes.take();
        if let Some(since) = changed.immediate_since {
            self.limit.lock().record_wait(now - since, now);
        }
        self.switch().await;
        if !self.limit.lock().is_sending() {
            return;
        }
        let (heard, _) = self.peers_by_contact();
        let rows = self.loads.work_at(&changed.targets);
        self.send(EngineUpdateContent::Changed(rows), &heard).await;
    }

    fn peers(&self) -> Vec<BoxHash> {
        let scope = self.scope.as_ref();
        scope.map_or(Vec::new(), |scope| scope.peers.clone())
    }

    /// Returns the boxes of the zone that send updates, and the others.
    fn peers_by_contact(&self) -> (Vec<BoxHash>, Vec<BoxHash>) {
        let peers = self.peers();
        let heard = self.loads.heard_directly(&peers, Instant::now());
        peers.into_iter().partition(|peer| heard.contains(peer))
    }

    async fn send(&mut self, content: EngineUpdateContent, to: &[BoxHash]) {
        let roster = self.zone_gossip.rosters.of(&self.fleet.view());
        let to = roster.addrs(to);
        if to.is_empty() {
            return;
        }
        self.sequence = self.sequence.wrapping_add(1);
        let is_list = matches!(content, EngineUpdateContent::Complete(_));
        let datagram = Datagram::EngineUpdate(EngineUpdate {
            from: self.name,
            sequence: self.sequence,
            content,
        });
        let transmitter = Transmitter {
            fleet_key: self.fleet_key,
            metrics: &self.metrics,
            log: &self.log,
        };
        let Some(encoded) = transmitter.encode(&datagram, to) else {
            return;
        };
        let (count, bytes) = encoded.size();
        match is_list {
            true => self.limit.lock().record_list(count, bytes),
            false => self.limit.lock().record_sent(count, bytes, Instant::now()),
        }
        encoded.send(&self.socket).await;
    }
}

/// Returns the sequence number before a box's first datagram: the low bits of the time in
/// milliseconds. A box sends less than one update per millisecond, so the numbers after a restart are
/// higher than those before it.
fn first_sequence() -> u32 {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since_epoch.map_or(0, |time| time.as_millis() as u32)
}

/// Returns the engines of a zone.
fn engines_of_zone(view: &View, zone: &ZoneId) -> Vec<TargetId> {
    let Some(config) = &view.config else {
        return Vec::new();
    };
    let is_engine = |pool| config.pool(pool).is_some_and(|pool| pool.engine.is_some());
    let of_zone = view.targets.values().filter(|entry| entry.zone == *zone);
    let engines = of_zone.filter(|entry| is_engine(&entry.pool));
    let mut engines: Vec<TargetId> = engines.map(|entry| entry.id.clone()).collect();
    engines.sort_unstable();
    engines
}

/// Returns what immediate updates of a zone are about; `None` if the zone has no engines, or too many
/// boxes.
fn zone_scope(
    zone: &ZoneId,
    me: BoxHash,
    roster: &Roster,
    engines: &[TargetId],
) -> Option<ZoneScope> {
    if engines.is_empty() || roster.zone.len() > MAX_BOXES {
        return None;
    }
    let peers = roster.zone.iter().filter(|peer| **peer != me);
    let engines: HashSet<TargetHash> = engines.iter().map(TargetHash::of).collect();
    Some(ZoneScope {
        zone: zone.clone(),
        peers: peers.copied().collect(),
        engines,
    })
}
