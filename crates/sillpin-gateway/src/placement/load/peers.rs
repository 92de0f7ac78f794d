//! What boxes tell each other about their work at engines.

use super::Loads;
use crate::peers::datagram::{BoxHash, EngineUpdate};
use crate::placement::direct_work::ZoneScope;
use crate::placement::engine_speed::PoolSpeed;
use crate::placement::work::{EngineWork, PeerWork, RowKind, TargetHash, Work};
use sillpin_core::{BoxId, PoolId, TargetId, ZoneId};
use std::collections::{HashMap, HashSet};
use std::sync::{Arc, MutexGuard};
use tokio::time::Instant;

impl Loads {
    /// Returns this box's work at engines, and what else it reports of them and of organisations, to
    /// be sent to other boxes.
    pub fn updates_to_send(&self) -> Vec<EngineWork> {
        let table = self.lock();
        let working = table.iter().filter(|(_, load)| load.work.tokens >= 1.0);
        let working = working.map(|(id, load)| EngineWork::of(id, load.work));
        let streaming = table
            .iter()
            .filter(|(_, load)| load.streams.requests >= 1.0);
        let streams = streaming.map(|(id, load)| {
            let row = TargetHash::for_rows(id.as_str(), RowKind::Streams);
            EngineWork::at(row, load.streams)
        });
        let mut rows: Vec<EngineWork> = working.chain(streams).collect();
        drop(table);
        rows.extend(self.speeds().rows(Instant::now()));
        rows.extend(self.usage().updates_to_send(Instant::now()));
        rows.extend(self.silence().rows());
        rows
    }

    /// Returns this box's work at some targets, with rows of zeros for those without work.
    pub fn work_at(&self, targets: &[TargetId]) -> Vec<EngineWork> {
        let table = self.lock();
        let work = |id| table.get(id).map_or(Work::default(), |load| load.work);
        let rows = targets.iter().map(|id| EngineWork::of(id, work(id)));
        rows.collect()
    }

    /// Sets the zone whose boxes send their work directly; `None` if they don't.
    pub fn set_zone_scope(&self, scope: Option<ZoneScope>) {
        let engines = scope.as_ref().map(|scope| scope.engines.clone());
        self.work_changes.set_engines(engines.unwrap_or_default());
        self.peer_table().direct.set_scope(scope);
    }

    /// Applies what a box of the zone sent of its work.
    pub fn apply_engine_update(&self, update: EngineUpdate, now: Instant) {
        self.peer_table().direct.apply(update, now);
    }

    /// Returns those of the boxes from which direct updates arrived recently.
    pub fn heard_directly(&self, peers: &[BoxHash], now: Instant) -> HashSet<BoxHash> {
        let peer_work = self.peer_table();
        let heard = |peer: &&BoxHash| peer_work.direct.is_heard(**peer, now);
        peers.iter().filter(heard).copied().collect()
    }

    /// Returns whether the work of nearly all live boxes of a zone is known without delay.
    pub fn is_fresh(&self, zone: &ZoneId, now: Instant) -> bool {
        self.peer_table().is_fresh(zone, now)
    }

    /// Returns whether the own zone is fresh, if direct updates are used.
    pub fn is_own_zone_fresh(&self, now: Instant) -> bool {
        let peer_work = self.peer_table();
        let zone = peer_work.direct.zone();
        zone.is_some_and(|zone| peer_work.is_fresh(zone, now))
    }

    fn peer_table(&self) -> MutexGuard<'_, PeerWork> {
        self.peer_work.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Learns from requests that met no queue according to the reports of other boxes. Called before each of this box's
    /// reports.
    pub fn check_measurements(&self, now: Instant) {
        let peer_work = self.peer_table();
        self.speeds().check(peer_work.reported_prefills(now), now);
    }

    /// Returns the speed of a pool's engines, as measured by this box and by others.
    pub fn pool_speed(&self, pool: &PoolId, now: Instant) -> PoolSpeed {
        let needs_peers = self.speeds().needs_peers(pool, now);
        if needs_peers {
            let row = TargetHash::for_rows(pool.as_str(), RowKind::Rates);
            let sums = self.reported_rows(now).get(&row).copied();
            self.speeds().set_peers(pool, sums.unwrap_or_default(), now);
        }
        self.speeds().speed(pool, now)
    }

    /// Returns the number of requests in flight at a target, those of other boxes included.
    pub(super) fn requests_at(&self, target: &TargetId, now: Instant) -> f64 {
        let own = self.get(target).work.requests;
        let peers = self.peer_work(now);
        own + peers
            .get(&TargetHash::of(target))
            .map_or(0.0, |work| work.requests)
    }

    /// Stores the work that another box reported.
    pub fn apply_update(&self, from: BoxId, work: Vec<EngineWork>) {
        self.peer_table().apply_update(from, work, Instant::now());
    }

    /// Stores the work that this box reported to its hub.
    pub fn set_own_report(&self, work: Vec<EngineWork>) {
        self.peer_table().set_own_report(work);
    }

    /// Stores the total work of all boxes from the hub of a large zone.
    pub fn apply_zone_totals(&self, work: Vec<EngineWork>, members: &[BoxHash]) {
        self.peer_table()
            .apply_zone_totals(work, members, Instant::now());
    }

    /// Returns whether a box, or the hub on its behalf, sent a message recently.
    pub fn has_recent_report(&self, from: &BoxId, now: Instant) -> bool {
        self.peer_table().has_recent_report(from, now)
    }

    /// Returns whether the hub of a large zone sent a message recently.
    pub fn is_hub_responsive(&self, now: Instant) -> bool {
        self.peer_table().is_hub_responsive(now)
    }

    /// Returns whether a box of the zone may be alive, according to the zone's hub.
    pub fn may_be_alive(&self, id: &BoxId, now: Instant) -> bool {
        self.peer_table().may_be_alive(id, now)
    }

    /// Returns the sums of the rows of all other boxes; those about the work at engines are as old as reports are.
    pub fn reported_rows(&self, now: Instant) -> Arc<HashMap<TargetHash, Work>> {
        self.peer_table().reported_totals(now)
    }

    /// Returns the work of all other boxes at each engine.
    pub fn peer_work(&self, now: Instant) -> Arc<HashMap<TargetHash, Work>> {
        self.peer_table().engine_totals(now)
    }
}
