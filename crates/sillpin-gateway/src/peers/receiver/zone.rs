//! Processes reports, bulletins and zone summaries of large zones.

use super::{GossipReceiver, queried_at};
use crate::cache_stores::directory::Position;
use crate::control::{StoreChanges, StoreListing};
use crate::fleet_state::{FleetMsg, Source, Topic};
use crate::peers::datagram::{
    Bulletin, PublishedChanges, Report, StoreListingUpdate, StoreUpdate, WeightLoadUpdate,
    ZoneSummary, ZoneUpdate,
};
use crate::peers::hub::relay_children;
use crate::placement::load::Outcome;
use crate::releases::evidence::EvidenceSource;
use sillpin_platform::WatchReply;
use tokio::net::UdpSocket;
use tokio::time::Instant;

impl GossipReceiver {
    /// Relays a bulletin unchanged to this box's children in the relay tree.
    pub(super) async fn relay_bulletin(&self, socket: &UdpSocket, buf: &[u8], bulletin: &Bulletin) {
        let roster = self.zone_gossip.rosters.of(&self.fleet.view());
        let to = roster.addrs(relay_children(&bulletin.members, self.name));
        self.metrics
            .datagrams("bulletin", "passed on", to.len(), buf.len());
        for peer in to {
            // A datagram that cannot be sent counts as lost; digests repeat its content.
            let _ = socket.send_to(buf, peer).await;
        }
    }

    pub(super) async fn apply_report(&self, report: Report) {
        for update in &report.updates {
            self.apply_update(update.clone()).await;
        }
        self.cache_stores
            .retirements()
            .apply_shares(&report.retired);
        self.fatal.apply_update(&report.fatal);
        self.apply_limits(&report.limits);
        let counted_by = EvidenceSource::Box(report.from);
        self.apply_releases(counted_by, &report.releases, Source::Relayed)
            .await;
        let roster = self.zone_gossip.rosters.of(&self.fleet.view());
        if let Some(from) = roster.find(report.from) {
            self.apply_sync_summary(Topic::Operators, report.operators_sync, from)
                .await;
            self.apply_sync_summary(Topic::Targets, report.targets_sync, from)
                .await;
        }
        self.zone_gossip.hub().apply_report(report, Instant::now());
        self.send_loads_early();
    }

    pub(super) async fn apply_bulletin(&self, bulletin: Bulletin) {
        let now = Instant::now();
        let Bulletin {
            members,
            sums,
            updates,
        } = bulletin;
        self.zone_gossip.hub().record_bulletin(&members, now);
        if let Some(sums) = sums {
            self.loads.apply_zone_totals(sums.work, &members);
            self.loads
                .signals(|signals| signals.replaced.apply_update(&sums.replaced, now));
            self.cache_stores.retirements().apply_shares(&sums.retired);
            self.fatal.apply_update(&sums.fatal);
            self.apply_limits(&sums.limits);
            self.apply_releases(EvidenceSource::Fleet, &sums.releases, Source::Relayed)
                .await;
            let roster = self.zone_gossip.rosters.of(&self.fleet.view());
            if let Some(hub) = members.first().and_then(|hub| roster.find(*hub)) {
                self.apply_sync_summary(Topic::Operators, sums.operators_sync, hub)
                    .await;
                self.apply_sync_summary(Topic::Targets, sums.targets_sync, hub)
                    .await;
            }
        }
        for update in updates {
            self.apply_update(update).await;
        }
    }

    pub(super) async fn apply_zone_summary(&self, summary: ZoneSummary) {
        for load in &summary.load_updates {
            self.apply_load_update(load.clone()).await;
        }
        self.cache_stores
            .retirements()
            .apply_shares(&summary.retired);
        self.fatal.apply_update(&summary.fatal);
        self.apply_limits(&summary.limits);
        let counted_by = EvidenceSource::Zone(summary.zone.clone());
        self.apply_releases(counted_by, &summary.releases, Source::Relayed)
            .await;
        self.zone_gossip
            .hub()
            .apply_zone_summary(summary, Instant::now());
        self.send_loads_early();
    }

    /// Sends loads of weights immediately, because boxes must stop sending requests to an engine
    /// that is about to load.
    fn send_loads_early(&self) {
        if self.zone_gossip.hub().has_loads_for_zone() {
            self.zone_gossip.urgent.notify_one();
        }
    }

    async fn apply_update(&self, update: ZoneUpdate) {
        match update {
            ZoneUpdate::Store(update) => self.apply_store_update(update),
            ZoneUpdate::WeightLoad(update) => self.apply_load_update(update).await,
            ZoneUpdate::Published(changes) => self.apply_published(changes).await,
            ZoneUpdate::StoreListing(listing) => self.apply_listing(listing),
            ZoneUpdate::BoxJoined(entry) => self.fleet.send(FleetMsg::BoxJoined(entry)).await,
        }
    }

    /// Applies a store's listing, unless the directory has reached its position in the same
    /// incarnation of the store.
    fn apply_listing(&self, listing: StoreListingUpdate) {
        let StoreListingUpdate {
            addr,
            position: Position { epoch, next },
            age_ms,
            complete,
        } = listing;
        let Some(requested_at) = queried_at(Some(age_ms)) else {
            return;
        };
        let mut directory = self.cache_stores.lock();
        let known = directory.position(addr);
        if known.is_some_and(|known| known.epoch == epoch && known.next >= next) {
            return;
        }
        let partial = Vec::new();
        let list = StoreListing {
            epoch,
            next,
            complete,
            partial,
        };
        directory.apply_list(addr, list, requested_at);
    }

    async fn apply_published(&self, changes: PublishedChanges) {
        let Some(requested_at) = queried_at(Some(changes.age_ms)) else {
            return;
        };
        let PublishedChanges {
            topic,
            after,
            before,
            changed,
            revision,
            ..
        } = changes;
        let reply = WatchReply { changed, revision };
        let msg = FleetMsg::Relayed {
            topic,
            after,
            before,
            reply,
            requested_at,
        };
        self.fleet.send(msg).await;
    }

    pub(super) async fn apply_load_update(&self, update: WeightLoadUpdate) {
        if !update.done {
            self.loads
                .record_for_incarnation(&update.target, update.life, Outcome::Loading);
            return;
        }
        self.loads
            .record_for_incarnation(&update.target, update.life, Outcome::Loaded);
        let msg = FleetMsg::Serves {
            target: update.target,
            life: update.life,
            model: update.model,
            version: update.version,
        };
        self.fleet.send(msg).await;
    }

    /// Applies changes of a store. The next digest shows whether any are missing.
    pub(super) fn apply_store_update(&self, update: StoreUpdate) {
        let Some(requested_at) = queried_at(Some(update.age_ms)) else {
            return;
        };
        let mut directory = self.cache_stores.lock();
        let begin = Position {
            epoch: update.epoch,
            next: update.since,
        };
        if !directory.is_contiguous(update.addr, begin) {
            return;
        }
        let store_changes = StoreChanges {
            epoch: update.epoch,
            next: update.next,
            lost: false,
            changes: update.changes,
            clock: None,
        };
        directory.apply_changes(
            update.addr,
            update.since,
            store_changes,
            requested_at,
            requested_at,
        );
    }
}
