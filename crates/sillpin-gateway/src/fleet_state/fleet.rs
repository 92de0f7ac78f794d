//! The task that owns this box's state of the fleet.

mod boxes;
mod changes;
mod departed;
mod evacuated;
mod operators;
mod released;
mod suspension;
mod targets;

use self::boxes::PeerState;
use self::changes::{ChangedTargets, TargetsContent};
use self::departed::Departures;
use self::operators::content_hash;
pub use self::targets::served;
use super::mirror::Mirror;
use super::{
    DesiredVersions, Evacuations, FleetMsg, FleetPort, Reading, Releases, Source, SyncState, Topic,
    View,
};
use crate::config::FleetConfig;
use crate::control::{Life, PublishedFormat, TargetEntry};
use crate::streams::PoolVersions;
use crate::suspend_clock::SuspendClock;
use sillpin_core::{BoxId, ModelId, PoolId, TargetId, WeightVersion};
use sillpin_platform::{KvRevision, StoreEra};
use sillpin_telemetry::{event, events};
use slog::Logger;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Time after the last failed call to the store for which targets whose entries are missing are
/// kept. Targets write entries that expired while the store was unreachable again within about two
/// seconds of its recovery; the rest is a margin for reading them. An entry that disappears later was
/// removed.
const EXPIRY_GRACE: Duration = Duration::from_millis(2_300);

/// A store that answered some box within this time counts as reachable, even if this box's call
/// failed. An entry expires after its target missed three heartbeats of 1.2 s.
const REACHABLE_TIME: Duration = Duration::from_secs(1);

/// Time without data from the store or from boxes that reach it, after which this box may have
/// missed when a change took place. Without a disturbance it reads the store itself after two
/// seconds at most.
const UNOBSERVED_TIME: Duration = Duration::from_secs(2);

/// If more than this share of the listed targets disappears at one revision, their entries are
/// taken to have expired: no planned change removes as many.
const MASS_EXPIRY_SHARE: f64 = 0.5;

/// Time between two checks of entries that wait for a deadline.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// Weights that an engine was last found to serve, which its entry may not show yet.
#[derive(Debug, Clone)]
struct ObservedWeights {
    life: Option<Life>,
    model: ModelId,
    version: WeightVersion,
}

/// This box's state of the fleet, without I/O.
pub struct Fleet<K> {
    me: BoxId,
    keys: K,
    log: Logger,
    operators_mirror: Mirror,
    targets_mirror: Mirror,
    config: Option<Arc<FleetConfig>>,
    desired: HashMap<ModelId, DesiredVersions>,
    evacuations: Evacuations,
    releases: Releases,
    /// Pools whose succeeded release excludes no targets any more.
    settled: Vec<PoolId>,
    targets: HashMap<TargetId, Arc<TargetEntry>>,
    /// Targets whose entries disappeared while the store was unreachable, and until when they are
    /// kept.
    expired: HashMap<TargetId, Instant>,
    observed_weights: HashMap<TargetId, ObservedWeights>,
    departures: Departures,
    /// Until when targets are cold, which means that they are warming up.
    cold: HashMap<TargetId, Instant>,
    boxes: HashMap<BoxId, PeerState>,
    suspend_clock: SuspendClock,
    /// When the box last resumed, and for how long it had been suspended.
    resumed: Option<(Instant, Duration)>,
    unreachable_at: Option<Instant>,
    /// Era of the store; `None` until it is read.
    era: Option<StoreEra>,
    /// When the store was found to have been restored from a backup.
    restored_at: Option<Instant>,
    /// Targets from which the view has to be updated.
    changed_targets: ChangedTargets,
    /// Hash of the targets' entries.
    targets_content: TargetsContent,
    /// Versions of the targets' software.
    versions: PoolVersions,
    /// Whether the view has to be updated from the versions.
    versions_changed: bool,
    /// Whether the view has to be updated from the boxes.
    boxes_changed: bool,
    view: View,
}

impl<K: PublishedFormat> Fleet<K> {
    /// Creates the state of a box that has received nothing yet.
    pub fn new(me: BoxId, keys: K, log: Logger) -> Self {
        Self {
            me,
            keys,
            log,
            operators_mirror: Mirror::default(),
            targets_mirror: Mirror::default(),
            config: None,
            desired: HashMap::new(),
            evacuations: Evacuations::default(),
            releases: Releases::default(),
            settled: Vec::new(),
            targets: HashMap::new(),
            expired: HashMap::new(),
            observed_weights: HashMap::new(),
            departures: Departures::default(),
            cold: HashMap::new(),
            boxes: HashMap::new(),
            suspend_clock: SuspendClock::default(),
            resumed: None,
            unreachable_at: None,
            era: None,
            restored_at: None,
            changed_targets: ChangedTargets::default(),
            targets_content: TargetsContent::default(),
            versions: PoolVersions::default(),
            versions_changed: false,
            boxes_changed: false,
            view: View::default(),
        }
    }

    /// Uses `suspend_clock` as the source of the time of suspension.
    pub fn with_suspend_clock(self, suspend_clock: SuspendClock) -> Self {
        Self {
            suspend_clock,
            ..self
        }
    }

    /// Handles messages until all handles are dropped.
    pub async fn run(mut self, mut port: FleetPort) {
        let mut sweep = tokio::time::interval(SWEEP_INTERVAL);
        loop {
            tokio::select! {
                msg = port.rx.recv() => match msg {
                    Some(msg) => {
                        let mut is_unchanged = self.apply_message(msg, Instant::now());
                        while let Ok(msg) = port.rx.try_recv() {
                            is_unchanged &= self.apply_message(msg, Instant::now());
                        }
                        if is_unchanged {
                            continue;
                        }
                        self.publish();
                    }
                    None => return,
                },
                _ = sweep.tick() => if !self.sweep(Instant::now()) {
                    continue;
                },
            }
            port.view.send_replace(Arc::new(self.view.clone()));
        }
    }

    /// Returns whether a message leaves the view unchanged. Digests of other boxes arrive many
    /// times a second, and each new view wakes all tasks that wait for one.
    fn leaves_view_unchanged(&self, msg: &FleetMsg) -> bool {
        match msg {
            FleetMsg::PeerSeen(entry) => {
                let known = self.boxes.get(&entry.id);
                known.is_some_and(|peer| peer.entry == *entry)
            }
            FleetMsg::StoreUnreachable => true,
            _ => false,
        }
    }

    /// Returns the newest view.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Handles one message.
    pub fn handle(&mut self, msg: FleetMsg, now: Instant) {
        self.apply_message(msg, now);
        self.publish();
    }

    /// Handles one message without publishing. Returns whether it leaves the view unchanged.
    fn apply_message(&mut self, msg: FleetMsg, now: Instant) -> bool {
        let resumed = self.apply_suspension(now);
        let is_unchanged = self.leaves_view_unchanged(&msg) && !resumed;
        self.dispatch(msg, now);
        is_unchanged
    }

    fn dispatch(&mut self, msg: FleetMsg, now: Instant) {
        match msg {
            FleetMsg::Read {
                topic,
                reading,
                requested_at,
                source,
            } => self.apply_reading(
                topic,
                reading,
                self.adjust_for_suspension(requested_at),
                &source,
                now,
            ),
            FleetMsg::Relayed {
                topic,
                after,
                before,
                reply,
                requested_at,
            } => {
                // A box that lacks earlier changes fetches a copy when it receives another box's
                // revision. A box with a lower revision but the same content lacks nothing:
                // revisions also count changes of other prefixes.
                let known = self.known(topic);
                let is_same = known.revision > KvRevision::ABSENT && before == Some(known.content);
                if known.revision >= after || is_same {
                    let (source, requested_at) =
                        (Source::Relayed, self.adjust_for_suspension(requested_at));
                    self.apply_reading(topic, Reading::Changes(reply), requested_at, &source, now);
                }
            }
            FleetMsg::Confirmed {
                topic,
                content,
                revision,
                requested_at,
            } => self.apply_confirmation(
                topic,
                content,
                revision,
                self.adjust_for_suspension(requested_at),
            ),
            FleetMsg::DesiredVersion {
                model,
                desired,
                source,
            } => self.record_desired(model, desired, &source, now),
            FleetMsg::ReleasePhase { update, source } => self.apply_phase(&update, &source, now),
            FleetMsg::Contact(since) => {
                self.operators_mirror
                    .extend_contact(self.adjust_for_suspension(since));
                self.view.operators_sync = self.operators_mirror.known();
            }
            FleetMsg::StoreUnreachable => self.record_failed_call(now),
            FleetMsg::Registered(entries) => {
                for peer in self.boxes.values_mut() {
                    peer.registered = false;
                }
                self.register(entries);
                self.view.has_registered = true;
            }
            FleetMsg::RegisteredStale(entries) => self.register(entries),
            FleetMsg::BoxJoined(entry) => self.register(vec![entry]),
            FleetMsg::PeerSeen(entry) => self.peer_seen(entry, now),
            FleetMsg::Stopping(id) => self.remove_peer(&id),
            FleetMsg::Serves {
                target,
                life,
                model,
                version,
            } => {
                let found = ObservedWeights {
                    life,
                    model,
                    version,
                };
                self.record_served(target, found);
            }
        }
    }

    /// Drops entries whose deadline has passed. Returns whether the view changed.
    pub fn sweep(&mut self, now: Instant) -> bool {
        let resumed = self.apply_suspension(now);
        let due = |at: &Instant| *at <= now;
        let overdue: Vec<TargetId> = self
            .expired
            .iter()
            .filter(|(_, at)| due(at))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &overdue {
            self.expired.remove(id);
            self.drop_target(
                id,
                "its entry was not written again after the platform store's outage",
            );
        }
        let any_removed = self.remove_unresponsive_peers(now);
        let any_usable = self.departures.sweep(now);
        let any_ended = self.end_lost_evacuations(now);
        let any_settled = self.settle_releases(now);
        let changed = any_removed || any_usable || any_ended || any_settled || !overdue.is_empty();
        if changed {
            self.changed_targets.add_all();
            self.boxes_changed = true;
            self.publish();
        }
        let any_warm = self.remove_warm(now);
        changed || resumed || any_warm
    }

    /// Handles a failed call to the store. If other boxes reach the store, entries that disappear
    /// have been removed, not expired.
    fn record_failed_call(&mut self, now: Instant) {
        let confirmed = self.targets_mirror.known().confirmed;
        if confirmed.is_none_or(|at| now.saturating_duration_since(at) >= REACHABLE_TIME) {
            self.unreachable_at = Some(now);
        }
    }

    fn known(&self, topic: Topic) -> SyncState {
        match topic {
            Topic::Operators => self.operators_mirror.known(),
            Topic::Targets => self.targets_mirror.known(),
        }
    }

    fn apply_reading(
        &mut self,
        topic: Topic,
        reading: Reading,
        requested_at: Instant,
        source: &Source,
        now: Instant,
    ) {
        self.record_era(reading.revision().era(), source, now);
        match topic {
            Topic::Operators => {
                // What a box reads at its start, or after a gap, may have been set long ago.
                let confirmed = self.operators_mirror.known().confirmed;
                let witnessed =
                    confirmed.is_some_and(|at| requested_at.max(now) - at < UNOBSERVED_TIME);
                let changes = self.operators_mirror.apply(reading, requested_at);
                let changed = !changes.is_empty();
                for change in changes {
                    let key = change.key().to_owned();
                    self.contained(&key, |fleet| {
                        fleet.apply_operator_change(change, witnessed, source, now);
                    });
                }
                if changed {
                    let entries = self.operators_mirror.entries();
                    self.operators_mirror.set_content(content_hash(&entries));
                    self.view.copies.operators = entries;
                }
                self.view.operators_sync = self.operators_mirror.known();
            }
            Topic::Targets => {
                // A copy is as old as the other box's read of the store; the store's own response
                // is new.
                let read_at = match source {
                    Source::Store | Source::Own => now,
                    Source::Peer(_) | Source::Relayed => requested_at.min(now),
                };
                let changes = self.targets_mirror.apply(reading, requested_at);
                if !changes.is_empty() {
                    self.apply_targets(changes, source, read_at, now);
                    self.view.copies.targets = self.targets_mirror.entries();
                    self.targets_mirror.set_content(self.targets_content.hash());
                }
                self.view.targets_sync = self.targets_mirror.known();
            }
        }
    }

    /// Records the store's era. A newer one means that the store was restored from a backup, so
    /// that entries that disappear now may be written again.
    fn record_era(&mut self, era: StoreEra, source: &Source, now: Instant) {
        let before = self.era.unwrap_or(era);
        self.era = Some(before.max(era));
        if era <= before {
            return;
        }
        event!(self.log, events::STORE_RESTORED, "era" => era.0, "before" => before.0,
            "source" => source.to_string());
        self.restored_at = Some(now);
        self.unreachable_at = Some(now);
    }

    fn apply_confirmation(
        &mut self,
        topic: Topic,
        content: u64,
        revision: KvRevision,
        requested_at: Instant,
    ) {
        let mirror = match topic {
            Topic::Operators => &mut self.operators_mirror,
            Topic::Targets => &mut self.targets_mirror,
        };
        if mirror.known().content != content {
            return;
        }
        mirror.confirm(revision, requested_at);
        self.view.operators_sync = self.operators_mirror.known();
        self.view.targets_sync = self.targets_mirror.known();
    }

    /// Updates the view. Done once for all queued messages: a change of weights brings hundreds.
    fn publish(&mut self) {
        self.publish_targets();
        if std::mem::take(&mut self.versions_changed) {
            self.view.versions = Arc::new(self.versions.clone());
        }
        if std::mem::take(&mut self.boxes_changed) {
            self.publish_boxes();
        }
    }
}
