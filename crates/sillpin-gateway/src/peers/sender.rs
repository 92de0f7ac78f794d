//! Sends digests and updates, and decides when and to which boxes.

use super::datagram::{
    BoxHash, Datagram, Digest, StoreSyncSummary, SyncSummary, WeightLoadUpdate, WorkUpdate,
    ZoneUpdate,
};
use super::fetches::Fetches;
use super::millis;
use super::peer_client::PeerClient;
use super::receiver::GossipReceiver;
use super::roles::{self, SMALL_FLEET};
use super::stall::StallDetector;
use super::transmitter::Transmitter;
use super::wire::FleetKey;
use super::work_updates::{SharedLimit, UpdateSender};
use super::zone_sender::{REPORT_INTERVAL, ZoneGossip, ZoneSendState};
use crate::cache_stores::CacheStores;
use crate::fatal::FatalRequests;
use crate::fleet_state::desired::recent_ages;
use crate::fleet_state::transfers::Transfers;
use crate::fleet_state::{BoxEntry, FleetHandle, SyncState, View};
use crate::metrics::BoxMetrics;
use crate::placement::Loads;
use crate::placement::signals::leaving::TELL_TIME;
use crate::placement::work::EngineWork;
use crate::releases::ReleaseTracker;
use crate::releases::evidence::EvidenceScope;
use crate::reload::Settings;
use crate::streams::StreamVersions;
use crate::suspend_clock::SuspendClock;
use crate::tasks::Tasks;
use rand::seq::{IndexedRandom, IteratorRandom};
use slog::Logger;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::{Instant, MissedTickBehavior};
use tokio_util::sync::CancellationToken;

/// Time between two rounds. Changes are sent immediately; a round repeats them for boxes that
/// missed them and states how old the box's data is. The platform allows two seconds for a
/// configuration.
const ROUND_INTERVAL: Duration = Duration::from_millis(400);

/// Time between two updates about work at engines. The prefill of a prompt takes 30 to 160 ms, so
/// older updates describe work that is done.
const WORK_INTERVAL: Duration = Duration::from_millis(60);

/// Number of boxes of the own zone that a box sends to in each round: all of a zone without a hub.
const ZONE_FAN_OUT: usize = 32;

/// Number of boxes of other zones that a box of a small fleet sends to in each round.
const FOREIGN_FAN_OUT: usize = 3;

/// Number of boxes that a box repeats to in each round which targets are leaving, for those that were out of touch when all
/// were told.
const LEAVING_FAN_OUT: usize = 1;

/// Age up to which all boxes are told at once which targets are leaving.
const NEW_LEAVING: Duration = Duration::from_secs(1);

/// Number of boxes of each other zone that the [`CROSS_ZONE_SENDER`] sends to in each round.
const CROSS_ZONE_FAN_OUT: usize = 2;

/// Role of the one box of each zone that sends digests to other zones in a large fleet. The text is
/// hashed to choose the box.
const CROSS_ZONE_SENDER: &str = "speaker";

/// Sends digests and updates.
pub struct GossipSender {
    /// Key of the fleet.
    pub fleet_key: FleetKey,
    /// This box.
    pub me: BoxEntry,
    /// Settings; digests go to their seeds while no other box is known.
    pub settings: Settings,
    /// This box's state of the fleet.
    pub fleet: FleetHandle,
    /// Loads of targets.
    pub loads: Loads,
    /// Directory of stored parts.
    pub cache_stores: CacheStores,
    /// Time for which the box was suspended.
    pub suspend_clock: SuspendClock,
    /// Requests that crash the targets that run them.
    pub fatal: FatalRequests,
    /// Releases.
    pub releases: ReleaseTracker,
    /// Loads of weights that this box starts, for all boxes.
    pub updates: mpsc::Receiver<WeightLoadUpdate>,
    /// Updates that this box reads from stores, for its zone.
    pub zone_updates: mpsc::Receiver<ZoneUpdate>,
    /// Short id of this box.
    pub name: BoxHash,
    /// State of gossip in a large zone.
    pub zone_gossip: ZoneGossip,
    /// Transfers to this box in progress.
    pub transfers: Transfers,
    /// Cancelled when the box is shutting down.
    pub stopping: CancellationToken,
    /// Versions that began streams.
    pub streams: StreamVersions,
    /// Counts copies.
    pub metrics: BoxMetrics,
    /// Log.
    pub log: Logger,
}

impl GossipSender {
    /// Runs until the process ends.
    pub async fn run(self, socket: Arc<UdpSocket>, tasks: Tasks) {
        let update_limit = SharedLimit::default();
        let receiver = GossipReceiver {
            fleet_key: self.fleet_key,
            fleet: self.fleet.clone(),
            loads: self.loads.clone(),
            cache_stores: self.cache_stores.clone(),
            fatal: self.fatal.clone(),
            releases: self.releases.clone(),
            fetches: Fetches::default(),
            client: PeerClient {
                fleet_key: self.fleet_key,
                transfers: self.transfers.clone(),
                metrics: self.metrics.clone(),
                log: self.log.clone(),
            },
            lag: Arc::default(),
            transfers: self.transfers.clone(),
            stall: StallDetector::start(self.suspend_clock.clone(), &tasks),
            metrics: self.metrics.clone(),
            name: self.name,
            zone: self.me.zone.clone(),
            zone_gossip: self.zone_gossip.clone(),
            update_limit: update_limit.clone(),
            streams: self.streams.clone(),
            log: self.log.clone(),
        };
        tasks.essential("gossip receiver", receiver.run(socket.clone()));
        if self.settings.borrow().scheduling.immediate_updates {
            let updates = UpdateSender::new(&self, socket.clone(), update_limit);
            tasks.essential("work updates", updates.run());
        }
        self.run_sender(&socket).await;
    }

    async fn run_sender(mut self, socket: &UdpSocket) {
        let mut rounds = tokio::time::interval(ROUND_INTERVAL);
        rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut views = self.fleet.subscribe();
        let mut sent_content = Content::default();
        let mut work_due = Instant::now();
        let mut sent_work = Vec::new();
        let mut zone_state = ZoneSendState::default();
        let urgent = self.zone_gossip.urgent.clone();
        let limit_changed = self.loads.limit_changed.clone();
        let leaving_observed = self.loads.leaving_observed.clone();
        loop {
            let roster = self.zone_gossip.rosters.of(&views.borrow());
            let large = roster.is_large();
            let mut send_now = false;
            tokio::select! {
                () = tokio::time::sleep_until(work_due) => match large {
                    true => send_now = true,
                    false => {
                        work_due = Instant::now() + WORK_INTERVAL;
                        self.loads.check_measurements(Instant::now());
                        let work = self.loads.updates_to_send();
                        if work != sent_work {
                            sent_work = work.clone();
                            self.send_work(socket, work).await;
                        }
                    }
                },
                () = urgent.notified() => send_now = large,
                // A caller repeats a fatal request within a second, and each repetition costs a
                // target.
                () = self.fatal.observed.notified() => match large {
                    true => send_now = true,
                    false => self.round(socket, false).await,
                },
                // Until the other boxes receive the limit, they send to the target without one. In
                // a large zone the next report follows soon enough.
                () = limit_changed.notified(), if !large => self.round(socket, false).await,
                () = leaving_observed.notified() => self.send_leaving(socket, NEW_LEAVING, usize::MAX).await,
                _ = rounds.tick() => {
                    self.send_leaving(socket, TELL_TIME, LEAVING_FAN_OUT).await;
                    self.round(socket, large).await;
                }
                Ok(()) = views.changed() => {
                    let content = Content::of(&views.borrow_and_update());
                    if content != sent_content {
                        sent_content = content;
                        // In a large zone the hub's bulletin states that something has changed, and
                        // the box that read the change sends it.
                        match large {
                            true => send_now = true,
                            false => self.round(socket, false).await,
                        }
                    }
                }
                Some(update) = self.updates.recv() => match large {
                    true => {
                        zone_state.push([ZoneUpdate::WeightLoad(update)]);
                        while let Ok(update) = self.updates.try_recv() {
                            zone_state.push([ZoneUpdate::WeightLoad(update)]);
                        }
                        send_now = true;
                    }
                    false => self.send_load_update(socket, update).await,
                },
                Some(update) = self.zone_updates.recv() => match large {
                    true => zone_state.push(update.split()),
                    false => self.send_zone_update(socket, update).await,
                },
            }
            if send_now {
                work_due = Instant::now() + REPORT_INTERVAL;
                self.send_zone_messages(socket, &mut zone_state, &roster)
                    .await;
            }
        }
    }

    /// Sends all boxes an update about weights being loaded at an engine.
    async fn send_load_update(&self, socket: &UdpSocket, update: WeightLoadUpdate) {
        let all = self
            .fleet
            .view()
            .boxes
            .iter()
            .map(|peer| peer.gossip)
            .collect();
        self.send(socket, &Datagram::WeightLoad(update), all).await;
    }

    /// Sends the zone the changes read from a cache store. Changes of the platform store are
    /// fetched by boxes that lack them.
    async fn send_zone_update(&self, socket: &UdpSocket, update: ZoneUpdate) {
        let zone = self.zone_recipients(&self.fleet.view());
        for update in update.split() {
            if let ZoneUpdate::Store(update) = update {
                self.send(socket, &Datagram::Store(update), zone.clone())
                    .await;
            }
        }
    }

    /// Tells up to `fan_out` boxes which targets announced within `period` that they are leaving.
    async fn send_leaving(&self, socket: &UdpSocket, period: Duration, fan_out: usize) {
        let updates = self
            .loads
            .signals(|signals| signals.leaving.updates_to_send(period, Instant::now()));
        if updates.is_empty() {
            return;
        }
        let view = self.fleet.view();
        let to = view.boxes.iter().sample(&mut rand::rng(), fan_out);
        let to = to.into_iter().map(|peer| peer.gossip).collect();
        self.send(socket, &Datagram::Leaving(updates), to).await;
    }

    async fn round(&self, socket: &UdpSocket, large: bool) {
        let view = self.fleet.view();
        let stores = view.config.as_ref().map(|config| config.stores.as_slice());
        let fullness = self
            .cache_stores
            .lock()
            .fullness(stores.unwrap_or_default());
        {
            let mut retirements = self.cache_stores.retirements();
            retirements.add_suspended_time(self.suspend_clock.suspended());
            retirements.update(&view, fullness, Instant::now());
        }
        self.loads
            .signals(|signals| signals.add_suspended_time(self.suspend_clock.suspended()));
        if large {
            return;
        }
        let mut digest = Box::new(self.digest(&view));
        let foreign = self.foreign_recipients(&view);
        let zone = self.zone_recipients(&view);
        self.send(socket, &Datagram::Digest(digest.clone()), zone)
            .await;
        digest.stores.clear();
        digest.releases = self
            .releases
            .updates_to_send(&view, EvidenceScope::Zone, Instant::now());
        self.send(socket, &Datagram::Digest(digest), foreign).await;
    }

    /// Sends this box's work at engines to all boxes of a small fleet, otherwise to its zone and a
    /// few other boxes.
    async fn send_work(&self, socket: &UdpSocket, work: Vec<EngineWork>) {
        let view = self.fleet.view();
        let mut to = self.zone_recipients(&view);
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
            .signals(|signals| signals.replaced.updates_to_send(Instant::now()));
        let update = WorkUpdate {
            from,
            work,
            replaced,
        };
        self.send(socket, &Datagram::Work(update), to).await;
    }

    pub(super) async fn send(&self, socket: &UdpSocket, datagram: &Datagram, to: Vec<SocketAddr>) {
        let transmitter = Transmitter {
            fleet_key: self.fleet_key,
            metrics: &self.metrics,
            log: &self.log,
        };
        if let Some(encoded) = transmitter.encode(datagram, to) {
            encoded.send(socket).await;
        }
    }

    pub(super) fn digest(&self, view: &View) -> Digest {
        let now = Instant::now();
        self.loads.check_measurements(now);
        let directory = self.cache_stores.lock();
        let summary_of = |addr: SocketAddr| {
            Some(StoreSyncSummary {
                addr,
                position: directory.position(addr)?,
                age_ms: millis(now - directory.last_confirmed(addr)?),
            })
        };
        Digest {
            from: self.me.clone(),
            operators_sync: sync_summary(view.operators_sync),
            targets_sync: sync_summary(view.targets_sync),
            stores: directory
                .known()
                .into_iter()
                .filter_map(summary_of)
                .collect(),
            clock: directory.engine_time(now, Duration::ZERO),
            work: self.loads.updates_to_send(),
            replaced: self
                .loads
                .signals(|signals| signals.replaced.updates_to_send(now)),
            desired_ages: recent_ages(&view.desired, now),
            contact_ms: view
                .operators_sync
                .in_contact(now)
                .map(|at| millis(now - at)),
            retired: self.cache_stores.retirements().updates_to_send(now),
            fatal: self.fatal.record().updates_to_send(now),
            limits: self
                .loads
                .signals(|signals| signals.limits.updates_to_send(now)),
            releases: self.releases.updates_to_send(view, EvidenceScope::Own, now),
            stopping: self.stopping.is_cancelled(),
        }
    }

    /// Returns addresses of boxes of the own zone.
    fn zone_recipients(&self, view: &View) -> Vec<SocketAddr> {
        let zone = view.boxes.iter().filter(|peer| peer.zone == self.me.zone);
        let zone: Vec<SocketAddr> = zone.map(|peer| peer.gossip).collect();
        let picked = zone.sample(&mut rand::rng(), ZONE_FAN_OUT);
        picked.copied().collect()
    }

    /// Returns addresses of boxes of other zones to send to in this round; seeds if no box is
    /// known.
    fn foreign_recipients(&self, view: &View) -> Vec<SocketAddr> {
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
        if !roles::is_reader(view, &self.me, CROSS_ZONE_SENDER) {
            return Vec::new();
        }
        let mut zones: Vec<_> = others.iter().map(|peer| peer.zone.clone()).collect();
        zones.sort();
        zones.dedup();
        let mut picked = Vec::new();
        for zone in zones {
            let zone_boxes: Vec<&BoxEntry> =
                others.iter().copied().filter(|p| p.zone == zone).collect();
            picked.extend(
                zone_boxes
                    .sample(&mut rng, CROSS_ZONE_FAN_OUT)
                    .map(|peer| peer.gossip),
            );
        }
        picked
    }
}

/// Hashes of what a box sends immediately when it changes.
#[derive(Debug, Default, PartialEq, Eq)]
struct Content {
    operators: u64,
    targets: u64,
    release_phases: u64,
}

impl Content {
    fn of(view: &View) -> Self {
        Self {
            operators: view.operators_sync.content,
            targets: view.targets_sync.content,
            release_phases: view.releases.phases(),
        }
    }
}

/// Summarises the sync state of a prefix for other boxes.
pub(super) fn sync_summary(known: SyncState) -> SyncSummary {
    let age = known.confirmed.map(|at| at.elapsed());
    SyncSummary {
        revision: known.revision,
        content: known.content,
        age_ms: age.map(millis),
    }
}
