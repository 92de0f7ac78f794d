//! Processes datagrams received from other boxes.

mod zone;

use super::datagram::{BoxHash, Datagram, Digest, StoreSyncSummary, SyncSummary};
use super::fetches::{FetchKind, Fetches};
use super::lag::{LagStatus, LagTracker};
use super::peer_client::PeerClient;
use super::stall::StallDetector;
use super::wire::{self, FleetKey, MAX_DATAGRAM, WireError};
use super::work_updates::SharedLimit;
use super::zone_sender::ZoneGossip;
use crate::cache_stores::CacheStores;
use crate::cache_stores::directory::Directory;
use crate::fatal::FatalRequests;
use crate::fleet_state::desired::DesiredVersionAge;
use crate::fleet_state::transfers::Transfers;
use crate::fleet_state::{
    BoxEntry, DesiredVersion, FleetHandle, FleetMsg, PhaseUpdate, Source, SyncState, Topic,
};
use crate::metrics::BoxMetrics;
use crate::placement::Loads;
use crate::placement::signals::leaving::LeavingUpdate;
use crate::placement::signals::limit::{LimitUpdate, log_limit};
use crate::placement::work::IncarnationHash;
use crate::releases::evidence::EvidenceSource;
use crate::releases::{ReleaseTracker, ReleaseUpdate};
use crate::streams::StreamVersions;
use sillpin_core::ZoneId;
use sillpin_platform::KvRevision;
use sillpin_telemetry::{event, events};
use slog::Logger;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::Instant;

/// Wait after a socket error, since the socket may report the same one again immediately.
const ERROR_PAUSE: Duration = Duration::from_millis(20);

/// Transit time that is added to each age in a datagram.
const TRANSIT_TIME: Duration = Duration::from_millis(20);

/// Time for which a box that watches the store waits for the store's response before it repeats the
/// call. The response begins within milliseconds, or within 240 ms if the store is slow.
const STORE_HEAD_START: Duration = Duration::from_millis(300);

/// Time for which a box that receives bulletins waits for the zone's reader before it calls the
/// store: the changes follow in the datagrams after the one with the hub's revision.
const READER_HEAD_START: Duration = Duration::from_millis(50);

/// Lag from which other boxes are queried, if nothing has arrived from the store since the call to
/// it was repeated.
const STORE_RETRY_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Times at which boxes received the same change, or contacted the store, count as equal within
/// this. Each box watches the store, which notifies all of them within some ten milliseconds.
const TIME_TOLERANCE: Duration = Duration::from_millis(100);

/// Where a box that lags gets the missing changes.
enum NextStep {
    /// No action: the changes are being transferred.
    Wait,
    /// From the store, by a new call.
    Store,
    /// From the box that sent the digest.
    Box,
}

/// Processes datagrams from other boxes.
#[derive(Clone)]
pub struct GossipReceiver {
    /// Key of the fleet; datagrams of other fleets are dropped.
    pub fleet_key: FleetKey,
    /// This box's state of the fleet.
    pub fleet: FleetHandle,
    /// Loads of targets.
    pub loads: Loads,
    /// Directory of stored parts.
    pub cache_stores: CacheStores,
    /// Requests that crash the targets that run them.
    pub fatal: FatalRequests,
    /// Releases.
    pub releases: ReleaseTracker,
    /// Fetches from other boxes.
    pub fetches: Fetches,
    /// Fetches copies from boxes that have newer data.
    pub client: PeerClient,
    /// Since when other boxes have had newer data.
    pub lag: Arc<Mutex<LagTracker>>,
    /// Transfers to this box in progress.
    pub transfers: Transfers,
    /// Detects datagrams that were queued while the process was stalled.
    pub stall: StallDetector,
    /// Counts datagrams.
    pub metrics: BoxMetrics,
    /// Short id of this box.
    pub name: BoxHash,
    /// Zone of this box.
    pub zone: ZoneId,
    /// State of gossip in a large zone.
    pub zone_gossip: ZoneGossip,
    /// Limit of updates of work within the zone.
    pub update_limit: SharedLimit,
    /// Versions that began streams.
    pub streams: StreamVersions,
    /// Log.
    pub log: Logger,
}

impl GossipReceiver {
    /// Receives datagrams until the process ends.
    pub async fn run(self, socket: Arc<UdpSocket>) {
        let mut buf = vec![0; MAX_DATAGRAM];
        loop {
            let (len, from) = match socket.recv_from(&mut buf).await {
                Ok(received) => received,
                Err(e) => {
                    // An earlier datagram was sent to a box that has stopped; the socket remains
                    // usable.
                    event!(self.log, events::GOSSIP_FAILED, "why" => e.to_string());
                    tokio::time::sleep(ERROR_PAUSE).await;
                    continue;
                }
            };
            // What is stated about streams stays true while the process is stalled.
            if self.streams.receive(&buf[..len], from) || self.stall.is_stale() {
                continue;
            }
            match wire::decode(self.fleet_key, &buf[..len]) {
                Ok(datagram) => {
                    self.metrics.datagrams(datagram.name(), "received", 1, len);
                    if let Datagram::EngineUpdate(_) = &datagram {
                        self.update_limit
                            .lock()
                            .record_received(len, Instant::now());
                    }
                    if let Datagram::Bulletin(bulletin) = &datagram {
                        self.relay_bulletin(&socket, &buf[..len], bulletin).await;
                    }
                    self.handle(datagram).await;
                }
                // Boxes of another fleet may keep sending to an address that was theirs: counted,
                // not logged.
                Err(WireError::Foreign) => self.metrics.datagrams("foreign", "dropped", 1, len),
                Err(e) => event!(self.log, events::GOSSIP_FAILED, "why" => e.to_string()),
            }
        }
    }

    async fn handle(&self, datagram: Datagram) {
        match datagram {
            Datagram::Digest(digest) => self.apply_digest(*digest).await,
            Datagram::WeightLoad(update) => self.apply_load_update(update).await,
            Datagram::Store(update) => self.apply_store_update(update),
            Datagram::Work(update) => {
                self.loads.signals(|signals| {
                    signals
                        .replaced
                        .apply_update(&update.replaced, Instant::now())
                });
                self.loads.apply_update(update.from, update.work);
            }
            Datagram::Report(report) => self.apply_report(report).await,
            Datagram::Bulletin(bulletin) => self.apply_bulletin(bulletin).await,
            Datagram::Zone(summary) => self.apply_zone_summary(summary).await,
            Datagram::EngineUpdate(update) => {
                self.loads.apply_engine_update(update, Instant::now());
            }
            Datagram::Leaving(updates) => self.apply_leaving(&updates),
        }
    }

    async fn apply_digest(&self, digest: Digest) {
        if digest.stopping {
            self.fleet.send(FleetMsg::Stopping(digest.from.id)).await;
            return;
        }
        let now = Instant::now();
        let from = digest.from.id.clone();
        self.loads.apply_update(from.clone(), digest.work);
        self.loads
            .signals(|signals| signals.replaced.apply_update(&digest.replaced, now));
        self.fatal.apply_update(&digest.fatal);
        self.apply_limits(&digest.limits);
        let counts = match digest.from.zone == self.zone {
            true => EvidenceSource::Box(BoxHash::of(&digest.from)),
            false => EvidenceSource::Zone(digest.from.zone.clone()),
        };
        self.apply_releases(counts, &digest.releases, Source::Peer(from.clone()))
            .await;
        let data_age = digest.targets_sync.age_ms.map(Duration::from_millis);
        let data_age = data_age.unwrap_or(Duration::MAX);
        let retired = digest.retired;
        self.cache_stores
            .retirements()
            .apply_update(from, retired, data_age, now);
        self.cache_stores.lock().set_clock(digest.clock, now);
        self.announce_new_box(&digest.from);
        self.fleet
            .send(FleetMsg::PeerSeen(digest.from.clone()))
            .await;
        self.apply_desired(&digest.desired_ages, &digest.from, now)
            .await;
        self.apply_contact(digest.contact_ms, now).await;
        self.apply_sync_summary(Topic::Operators, digest.operators_sync, &digest.from)
            .await;
        self.apply_sync_summary(Topic::Targets, digest.targets_sync, &digest.from)
            .await;
        self.fetch_stores(&digest.stores, &digest.from);
    }

    /// Applies what other boxes heard of targets that are leaving.
    fn apply_leaving(&self, updates: &[LeavingUpdate]) {
        let new = self
            .loads
            .signals(|signals| signals.leaving.apply_update(updates, Instant::now()));
        for target in new {
            event!(self.log, events::TARGET_REPORTED_LEAVING, "target" => self.target_name(target));
        }
    }

    /// Returns the id of a target; empty if it is not listed yet.
    fn target_name(&self, target: IncarnationHash) -> String {
        let view = self.fleet.view();
        let mut listed = view.targets.values();
        let found = listed.find(|entry| IncarnationHash::of(entry) == target);
        found.map_or(String::new(), |entry| entry.id.as_str().to_owned())
    }

    /// Applies rate limits of targets that other boxes observed.
    fn apply_limits(&self, limits: &[LimitUpdate]) {
        if limits.is_empty() {
            return;
        }
        let changes = self
            .loads
            .signals(|signals| signals.limits.apply_update(limits, Instant::now()));
        if changes.is_empty() {
            return;
        }
        for change in changes {
            let name = self.target_name(change.target);
            log_limit(&self.log, &name, change, "other box");
        }
    }

    /// Applies what another box sent of releases: their phases, and counts of `counted_by`.
    async fn apply_releases(
        &self,
        counted_by: EvidenceSource,
        updates: &[ReleaseUpdate],
        source: Source,
    ) {
        let now = Instant::now();
        for update in updates {
            self.releases.store(counted_by.clone(), update, now);
            let phase = PhaseUpdate {
                pool: update.pool.clone(),
                revision: update.revision,
                since: update
                    .age_ms
                    .and_then(|age| now.checked_sub(Duration::from_millis(age))),
                phase: update.phase,
                is_recorded: update.is_recorded,
            };
            if self.fleet.view().releases.adds_information(&phase) {
                let msg = FleetMsg::ReleasePhase {
                    update: phase,
                    source: source.clone(),
                };
                self.fleet.send(msg).await;
            }
        }
    }

    /// Adds a box that is new to this one to the next bulletin, if this box is the hub: boxes that
    /// relay bulletins to it need its address.
    fn announce_new_box(&self, from: &BoxEntry) {
        let view = self.fleet.view();
        let is_known = view.boxes.iter().any(|peer| peer == from);
        if !is_known && from.zone == self.zone {
            self.zone_gossip.hub().add_box(from.clone());
        }
    }

    /// Applies another box's times at which weights versions were requested.
    async fn apply_desired(&self, ages: &[DesiredVersionAge], from: &BoxEntry, now: Instant) {
        let view = self.fleet.view();
        for age in ages {
            let Some(requested) = age.to_desired_version(now) else {
                continue;
            };
            // Times of boxes that received the same change differ by its transit time, and would
            // change the view in each round.
            let later = DesiredVersion {
                since: requested.since + TIME_TOLERANCE,
                ..requested
            };
            let desired = view.desired.get(&age.model);
            if desired.is_some_and(|desired| !desired.adds_information(&later)) {
                continue;
            }
            let msg = FleetMsg::DesiredVersion {
                model: age.model.clone(),
                desired: requested,
                source: Source::Peer(from.id.clone()),
            };
            self.fleet.send(msg).await;
        }
    }

    /// Applies how long another box has been in contact with the store: the store has been
    /// reachable since then.
    async fn apply_contact(&self, contact_ms: Option<u64>, now: Instant) {
        let contact = contact_ms.map(Duration::from_millis);
        let Some(since) = contact.and_then(|contact| now.checked_sub(contact)) else {
            return;
        };
        let own = self.fleet.view().operators_sync.contact;
        if own.is_some_and(|own| since + TIME_TOLERANCE < own) {
            self.fleet.send(FleetMsg::Contact(since)).await;
        }
    }

    /// Handles another box's state of a prefix: the same content confirms this box's, newer content
    /// is fetched.
    async fn apply_sync_summary(&self, topic: Topic, theirs: SyncSummary, from: &BoxEntry) {
        let Some(requested_at) = queried_at(theirs.age_ms) else {
            return;
        };
        let mine = self.fleet.view().known(topic);
        if mine.content == theirs.content && mine.confirmed.is_some() {
            if mine.confirmed < Some(requested_at) {
                let msg = FleetMsg::Confirmed {
                    topic,
                    content: theirs.content,
                    revision: theirs.revision,
                    requested_at,
                };
                self.fleet.send(msg).await;
            }
            return;
        }
        if !is_newer(mine, theirs) {
            return;
        }
        let lag_status = self.record_lag(topic, mine, theirs, from);
        match self.next_source(topic, &lag_status) {
            NextStep::Wait => {}
            NextStep::Store => self.retry_store(topic),
            NextStep::Box => self.fetch_from(from, topic, mine.revision),
        }
    }

    fn fetch_from(&self, from: &BoxEntry, topic: Topic, after: KvRevision) {
        let Some(fetch) = self.fetches.begin(FetchKind::Topic(topic), &from.id) else {
            return;
        };
        let (receiver, from) = (self.clone(), from.clone());
        tokio::spawn(async move {
            let copy = receiver
                .client
                .fetch_copy(&from, topic, after, &receiver.fleet);
            fetch.end(copy.await);
        });
    }

    /// Has the call to the store repeated on another connection. Once is enough: repeating it
    /// before the response begins would discard data that a full link delays.
    fn retry_store(&self, topic: Topic) {
        self.lag().set_store_retried(topic);
        self.transfers.request_retry(topic);
    }

    /// Records that another box has newer data, and logs it at intervals.
    fn record_lag(
        &self,
        topic: Topic,
        mine: SyncState,
        theirs: SyncSummary,
        from: &BoxEntry,
    ) -> LagStatus {
        let lag_status = self.lag().record(topic, mine, theirs, Instant::now());
        if lag_status.is_due {
            event!(self.log, events::STATE_OUTDATED,
                "what" => topic.name(), "for_ms" => lag_status.lasted.as_millis(),
                "peer" => from.id.as_str(),
                "revision" => mine.revision.to_string(), "theirs" => theirs.revision.to_string());
        }
        lag_status
    }

    fn lag(&self) -> MutexGuard<'_, LagTracker> {
        self.lag.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Returns where to get changes that others have had for some time. Changes already being
    /// transferred arrive sooner without another call. The store is preferred where this box
    /// watches it.
    fn next_source(&self, topic: Topic, lag_status: &LagStatus) -> NextStep {
        if self.transfers.is_in_progress(topic) {
            return NextStep::Wait;
        }
        if topic == Topic::Operators && self.loads.is_hub_responsive(Instant::now()) {
            return match lag_status.is_store_retried {
                false if lag_status.lasted < READER_HEAD_START => NextStep::Wait,
                false => NextStep::Store,
                true if lag_status.lasted >= STORE_RETRY_TIMEOUT => NextStep::Box,
                true => NextStep::Wait,
            };
        }
        let is_store_watched = topic == Topic::Operators && self.transfers.is_watched(topic);
        if !is_store_watched || lag_status.lasted >= STORE_RETRY_TIMEOUT {
            return NextStep::Box;
        }
        match lag_status.lasted >= STORE_HEAD_START && !lag_status.is_store_retried {
            true => NextStep::Store,
            false => NextStep::Wait,
        }
    }

    /// Fetches changes of stores for which another box has a later position than this one.
    fn fetch_stores(&self, theirs: &[StoreSyncSummary], from: &BoxEntry) {
        let lacking: Vec<SocketAddr> = {
            let mut directory = self.cache_stores.lock();
            let is_lacking = |theirs: &&StoreSyncSummary| lacks_changes(&mut directory, theirs);
            theirs.iter().filter(is_lacking).map(|of| of.addr).collect()
        };
        if lacking.is_empty() {
            return;
        }
        let Some(fetch) = self.fetches.begin(FetchKind::Stores, &from.id) else {
            return;
        };
        let (receiver, from) = (self.clone(), from.clone());
        tokio::spawn(async move {
            let copies = receiver
                .client
                .fetch_stores(&from, lacking, &receiver.cache_stores);
            fetch.end(copies.await);
        });
    }
}

/// Returns whether this box lacks changes of a store that another box knows. A box that lags may
/// have less although it queried the store no longer ago.
fn lacks_changes(directory: &mut Directory, theirs: &StoreSyncSummary) -> bool {
    let Some(requested_at) = queried_at(Some(theirs.age_ms)) else {
        return false;
    };
    let mine = directory.last_confirmed(theirs.addr);
    !directory.confirm(theirs.addr, theirs.position, requested_at) && mine < Some(requested_at)
}

/// Returns when the store was queried for data that is `age_ms` old in a datagram that has just
/// arrived.
fn queried_at(age_ms: Option<u64>) -> Option<Instant> {
    let age = Duration::from_millis(age_ms?) + TRANSIT_TIME;
    Instant::now().checked_sub(age)
}

/// Returns whether another box has a later revision of a prefix.
fn is_newer(mine: SyncState, theirs: SyncSummary) -> bool {
    mine.confirmed.is_none() || theirs.revision > mine.revision
}
