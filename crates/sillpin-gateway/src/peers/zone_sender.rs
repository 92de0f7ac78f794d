//! Messages that a box of a large zone sends, as a member and as the hub.

use super::datagram::{Bulletin, Datagram, Report, Sums, ZoneUpdate, chunks};
use super::hub::{Hub, MAX_REPORT_INTERVAL, relay_children};
use super::roster::{Roster, RosterCache};
use super::sender::{GossipSender, sync_summary};
use crate::fleet_state::View;
use crate::placement::work::EngineWork;
use crate::releases::evidence::EvidenceScope;
use rand::seq::IndexedRandom;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Time between two reports of a box, and between two bulletins of the hub. The prefill of a prompt
/// takes 30 to 160 ms; choosing among few engines that differ from prompt to prompt compensates for
/// the missing data of other boxes.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(150);

/// Time between two summaries of a hub to the hubs of other zones: few prompts leave their zone.
const SUMMARY_INTERVAL: Duration = Duration::from_millis(300);

/// Time between two digests. They carry what bulletins don't, and repeat what got lost.
const DIGEST_INTERVAL: Duration = Duration::from_millis(800);

/// Number of boxes of each other zone that a hub's summary and digest go to, beside the last known
/// hub of that zone.
const ZONE_FAN_OUT: usize = 2;

/// Hub and roster, shared by the sending and the receiving task.
#[derive(Debug, Clone)]
pub struct ZoneGossip {
    hub: Arc<Mutex<Hub>>,
    /// Rosters of the own zone.
    pub rosters: RosterCache,
    /// Notified when something is to be sent immediately.
    pub urgent: Arc<Notify>,
}

impl ZoneGossip {
    /// Creates the shared state.
    pub fn new(hub: Hub, rosters: RosterCache) -> Self {
        Self {
            hub: Arc::new(Mutex::new(hub)),
            rosters,
            urgent: Arc::default(),
        }
    }

    /// Locks the hub's state.
    pub fn hub(&self) -> MutexGuard<'_, Hub> {
        self.hub.lock().unwrap_or_else(|e| e.into_inner())
    }
}

/// What this box has sent to its zone, and has yet to send.
#[derive(Debug, Default)]
pub struct ZoneSendState {
    pending: Vec<ZoneUpdate>,
    work: Vec<EngineWork>,
    report_sent: Option<Instant>,
    summary_sent: Option<Instant>,
    digest_sent: Option<Instant>,
}

impl ZoneSendState {
    /// Queues updates for the next report.
    pub fn push(&mut self, updates: impl IntoIterator<Item = ZoneUpdate>) {
        self.pending.extend(updates);
    }
}

/// Returns whether something last done at `last` is due again.
fn is_due(last: Option<Instant>, every: Duration, now: Instant) -> bool {
    last.is_none_or(|at| now - at >= every)
}

impl GossipSender {
    /// Reports to the hubs; as the hub also sends bulletins to the zone and summaries to other
    /// zones.
    pub(super) async fn send_zone_messages(
        &self,
        socket: &UdpSocket,
        state: &mut ZoneSendState,
        roster: &Roster,
    ) {
        let now = Instant::now();
        let view = self.fleet.view();
        self.send_report(socket, state, roster, &view, now).await;
        let sums = || Sums {
            work: Vec::new(),
            replaced: Vec::new(),
            operators_sync: sync_summary(view.operators_sync),
            targets_sync: sync_summary(view.targets_sync),
            retired: self.cache_stores.retirements().applied(),
            fatal: self.fatal.record().updates_to_send(now),
            limits: self
                .loads
                .signals(|signals| signals.limits.updates_to_send(now)),
            releases: self
                .releases
                .updates_to_send(&view, EvidenceScope::Fleet, now),
        };
        let bulletins = self.zone_gossip.hub().bulletins(sums, now);
        for bulletin in bulletins {
            self.send_bulletin(socket, bulletin, roster).await;
        }
        let due = is_due(state.summary_sent, SUMMARY_INTERVAL, now);
        if due || self.zone_gossip.hub().has_loads_for_other_zones() {
            state.summary_sent = Some(now);
            self.send_zone_summary(socket, roster, now).await;
        }
        if is_due(state.digest_sent, DIGEST_INTERVAL, now) {
            state.digest_sent = Some(now);
            self.send_digest(socket, roster, &view, now).await;
        }
    }

    async fn send_report(
        &self,
        socket: &UdpSocket,
        state: &mut ZoneSendState,
        roster: &Roster,
        view: &View,
        now: Instant,
    ) {
        self.loads.check_measurements(now);
        let work = self.loads.updates_to_send();
        let is_report_due = is_due(state.report_sent, MAX_REPORT_INTERVAL, now);
        let fatal = self.fatal.record().observed(now);
        let limits = self.loads.signals(|signals| signals.limits.observed(now));
        let releases = self.releases.updates_to_send(view, EvidenceScope::Own, now);
        let counts = releases.iter().any(|update| !update.evidence.is_empty());
        let has_no_updates =
            state.pending.is_empty() && fatal.is_empty() && limits.is_empty() && !counts;
        if work == state.work && has_no_updates && !is_report_due {
            return;
        }
        state.report_sent = Some(now);
        state.work = work.clone();
        self.loads.set_own_report(work.clone());
        let me = self.name;
        let hubs = self.hub_addrs(roster, now);
        let mut pieces = chunks(std::mem::take(&mut state.pending));
        if pieces.is_empty() {
            pieces.push(Vec::new());
        }
        for updates in pieces {
            let report = Report {
                from: me,
                work: work.clone(),
                replaced: self
                    .loads
                    .signals(|signals| signals.replaced.updates_to_send(now)),
                operators_sync: sync_summary(view.operators_sync),
                targets_sync: sync_summary(view.targets_sync),
                retired: self.cache_stores.retirements().applied(),
                fatal: fatal.clone(),
                limits: limits.clone(),
                releases: releases.clone(),
                updates,
            };
            self.zone_gossip.hub().apply_report(report.clone(), now);
            self.send(socket, &Datagram::Report(report), hubs.clone())
                .await;
        }
    }

    /// Returns the addresses of the hubs to report to.
    fn hub_addrs(&self, roster: &Roster, now: Instant) -> Vec<SocketAddr> {
        let hubs = self.zone_gossip.hub().report_recipients(&roster.zone, now);
        roster.addrs(&hubs)
    }

    async fn send_bulletin(&self, socket: &UdpSocket, bulletin: Bulletin, roster: &Roster) {
        if let Some(sums) = &bulletin.sums {
            self.loads
                .apply_zone_totals(sums.work.clone(), &bulletin.members);
        }
        let to = roster.addrs(relay_children(&bulletin.members, self.name));
        self.send(socket, &Datagram::Bulletin(bulletin), to).await;
    }

    async fn send_zone_summary(&self, socket: &UdpSocket, roster: &Roster, now: Instant) {
        let retired = || self.cache_stores.retirements().applied();
        let summary =
            self.zone_gossip
                .hub()
                .zone_summary(&self.me.zone, self.me.gossip, retired, now);
        let Some(mut summary) = summary else {
            return;
        };
        summary.fatal = self.fatal.record().updates_to_send(now);
        summary.limits = self
            .loads
            .signals(|signals| signals.limits.updates_to_send(now));
        summary.releases =
            self.releases
                .updates_to_send(&self.fleet.view(), EvidenceScope::Zone, now);
        let to = self.other_hubs(roster, now);
        self.send(socket, &Datagram::Zone(summary), to).await;
    }

    /// Returns addresses of boxes of other zones: the last known hubs, and the first boxes in the
    /// order, which may be hubs.
    fn other_hubs(&self, roster: &Roster, now: Instant) -> Vec<SocketAddr> {
        let mut to = Vec::new();
        for (zone, addrs) in &roster.others {
            to.extend(self.zone_gossip.hub().hub_of(zone, now));
            to.extend(addrs.iter().take(ZONE_FAN_OUT));
        }
        to.sort_unstable();
        to.dedup();
        to
    }

    async fn send_digest(&self, socket: &UdpSocket, roster: &Roster, view: &View, now: Instant) {
        let mut digest = Box::new(self.digest(view));
        let any = roster.zone.choose(&mut rand::rng()).copied();
        let any = roster.addrs(any.as_slice());
        self.send(socket, &Datagram::Digest(digest.clone()), any)
            .await;
        digest.stores.clear();
        // Reports and zone summaries have the counts.
        for update in &mut digest.releases {
            update.evidence.clear();
        }
        let mut to = self.hub_addrs(roster, now);
        if self.zone_gossip.hub().is_active() {
            to.extend(self.other_hubs(roster, now));
        }
        self.send(socket, &Datagram::Digest(digest), to).await;
    }
}
