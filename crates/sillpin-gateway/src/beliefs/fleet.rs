//! The task that owns what the box knows of the fleet.

mod boxes;
mod departed;
mod evacuated;
mod sleep;
mod targets;

use self::boxes::BoxSeen;
use self::departed::Departures;
pub use self::targets::served;
use super::mirror::{Change, Mirror};
use super::{Evacuations, FleetMsg, FleetPort, Known, Named, Reading, Source, Topic, View, Wanted};
use crate::awake::Awake;
use crate::config::FleetConfig;
use crate::control::{DecodeError, Life, Published, TargetEntry};
use sillpin_core::{BoxId, ModelId, TargetId, WeightVersion};
use sillpin_platform::{KvEntry, KvRevision, StoreEra};
use sillpin_telemetry::{event, events};
use slog::Logger;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use xxhash_rust::xxh3::Xxh3;

/// Time after the last failed call to the store for which targets whose entries are missing are
/// kept. Targets write entries that expired while the store was unreachable again within about two
/// seconds of its return; the rest is a margin for reading them. An entry that disappears later was
/// removed.
const LAPSE_GRACE: Duration = Duration::from_millis(2_300);

/// A store that answered some box within this time counts as reachable, even if this box's call
/// failed. An entry expires after its target missed three heartbeats of 1.2 s.
const AWAY_SILENCE: Duration = Duration::from_secs(1);

/// Time without data from the store or from boxes that reach it, after which this box may have
/// missed when a change took place. Without a disturbance it reads the store itself after two
/// seconds at most.
const UNSEEN: Duration = Duration::from_secs(2);

/// Share of the listed targets that no planned change removes at one revision.
const MASS_LAPSE: f64 = 0.5;

/// Time between two checks of entries that wait for a deadline.
const SWEEP: Duration = Duration::from_millis(250);

/// Weights that an engine was last found to serve, which its entry may not show yet.
#[derive(Debug, Clone)]
struct Seen {
    life: Option<Life>,
    model: ModelId,
    version: WeightVersion,
}

/// What the box knows of the fleet; state without I/O.
pub struct Fleet<K> {
    me: BoxId,
    keys: K,
    log: Logger,
    operators: Mirror,
    listed: Mirror,
    config: Option<Arc<FleetConfig>>,
    wanted: HashMap<ModelId, Wanted>,
    evacuations: Evacuations,
    targets: HashMap<TargetId, Arc<TargetEntry>>,
    /// Targets whose entries disappeared while the store was unreachable, and until when they are
    /// kept.
    lapsed: HashMap<TargetId, Instant>,
    seen: HashMap<TargetId, Seen>,
    departures: Departures,
    /// Until when targets are cold, which means that they are warming up.
    cold: HashMap<TargetId, Instant>,
    boxes: HashMap<BoxId, BoxSeen>,
    awake: Awake,
    /// When the box last resumed, and for how long it had been suspended.
    woke: Option<(Instant, Duration)>,
    away: Option<Instant>,
    /// Era of the store; `None` until it is read.
    era: Option<StoreEra>,
    /// When the store was found to have been restored from a backup.
    restored: Option<Instant>,
    /// Whether the view has to be updated from the targets, or from the boxes.
    targets_changed: bool,
    boxes_changed: bool,
    view: View,
}

impl<K: Published> Fleet<K> {
    /// Creates the state of a box that knows nothing yet.
    pub fn new(me: BoxId, keys: K, log: Logger) -> Self {
        Self {
            me,
            keys,
            log,
            operators: Mirror::default(),
            listed: Mirror::default(),
            config: None,
            wanted: HashMap::new(),
            evacuations: Evacuations::default(),
            targets: HashMap::new(),
            lapsed: HashMap::new(),
            seen: HashMap::new(),
            departures: Departures::default(),
            cold: HashMap::new(),
            boxes: HashMap::new(),
            awake: Awake::default(),
            woke: None,
            away: None,
            era: None,
            restored: None,
            targets_changed: false,
            boxes_changed: false,
            view: View::default(),
        }
    }

    /// Uses `awake` as the source of the time of suspension.
    pub fn with_awake(self, awake: Awake) -> Self {
        Self { awake, ..self }
    }

    /// Handles messages until all handles are dropped.
    pub async fn run(mut self, mut port: FleetPort) {
        let mut sweep = tokio::time::interval(SWEEP);
        loop {
            tokio::select! {
                msg = port.rx.recv() => match msg {
                    Some(msg) => {
                        let mut is_known = self.apply(msg, Instant::now());
                        while let Ok(msg) = port.rx.try_recv() {
                            is_known &= self.apply(msg, Instant::now());
                        }
                        if is_known {
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
    fn is_known(&self, msg: &FleetMsg) -> bool {
        match msg {
            FleetMsg::Heard(entry) => {
                let known = self.boxes.get(&entry.id);
                known.is_some_and(|seen| seen.entry == *entry)
            }
            FleetMsg::StoreAway => true,
            _ => false,
        }
    }

    /// Returns the newest view.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Handles one message.
    pub fn handle(&mut self, msg: FleetMsg, now: Instant) {
        self.apply(msg, now);
        self.publish();
    }

    /// Handles one message without publishing. Returns whether it leaves the view unchanged.
    fn apply(&mut self, msg: FleetMsg, now: Instant) -> bool {
        let woke = self.wake(now);
        let is_known = self.is_known(&msg) && !woke;
        self.take(msg, now);
        is_known
    }

    fn take(&mut self, msg: FleetMsg, now: Instant) {
        match msg {
            FleetMsg::Read {
                topic,
                reading,
                asked,
                source,
            } => self.read(topic, reading, self.asked(asked), &source, now),
            FleetMsg::Passed {
                topic,
                after,
                before,
                reply,
                asked,
            } => {
                // A box that lacks earlier changes fetches a copy when it receives another box's
                // revision. A box with a lower revision but the same content lacks nothing:
                // revisions also count changes of other prefixes.
                let known = self.known(topic);
                let is_same = known.revision > KvRevision::ABSENT && before == Some(known.content);
                if known.revision >= after || is_same {
                    let (source, asked) = (Source::Passed, self.asked(asked));
                    self.read(topic, Reading::Changes(reply), asked, &source, now);
                }
            }
            FleetMsg::Confirmed {
                topic,
                content,
                revision,
                asked,
            } => self.confirmed(topic, content, revision, self.asked(asked)),
            FleetMsg::Named {
                model,
                named,
                source,
            } => self.want(model, named, &source, now),
            FleetMsg::Contact(since) => {
                self.operators.join_contact(self.asked(since));
                self.view.operators = self.operators.known();
            }
            FleetMsg::StoreAway => self.turned_away(now),
            FleetMsg::Registered(entries) => {
                for seen in self.boxes.values_mut() {
                    seen.registered = false;
                }
                self.register(entries);
                self.view.has_registered = true;
            }
            FleetMsg::RegisteredBefore(entries) => self.register(entries),
            FleetMsg::Joined(entry) => self.register(vec![entry]),
            FleetMsg::Heard(entry) => self.hear(entry, now),
            FleetMsg::Stopping(id) => self.forget(&id),
            FleetMsg::Serves {
                target,
                life,
                model,
                version,
            } => {
                let seen = Seen {
                    life,
                    model,
                    version,
                };
                self.serves(target, seen);
            }
        }
    }

    /// Drops entries whose deadline has passed. Returns whether the view changed.
    pub fn sweep(&mut self, now: Instant) -> bool {
        let woke = self.wake(now);
        let due = |at: &Instant| *at <= now;
        let gone: Vec<TargetId> = self
            .lapsed
            .iter()
            .filter(|(_, at)| due(at))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &gone {
            self.lapsed.remove(id);
            self.drop_target(id, "its entry was not written again after the platform store's outage");
        }
        let some_silent = self.forget_silent(now);
        let some_shown = self.departures.sweep(now);
        let some_ended = self.end_lost_evacuations(now);
        let changed = some_silent || some_shown || some_ended || !gone.is_empty();
        if changed {
            self.targets_changed = true;
            self.boxes_changed = true;
            self.publish();
        }
        changed || woke
    }

    /// Handles a failed call to the store. If other boxes reach the store, entries that disappear
    /// have been removed, not expired.
    fn turned_away(&mut self, now: Instant) {
        let confirmed = self.listed.known().confirmed;
        if confirmed.is_none_or(|at| now.saturating_duration_since(at) >= AWAY_SILENCE) {
            self.away = Some(now);
        }
    }

    fn known(&self, topic: Topic) -> Known {
        match topic {
            Topic::Operators => self.operators.known(),
            Topic::Targets => self.listed.known(),
        }
    }

    fn read(
        &mut self,
        topic: Topic,
        reading: Reading,
        asked: Instant,
        source: &Source,
        now: Instant,
    ) {
        self.see_era(reading.revision().era(), source, now);
        match topic {
            Topic::Operators => {
                // What a box finds at its start, or after a silence, may have been set long ago.
                let confirmed = self.operators.known().confirmed;
                let witnessed = confirmed.is_some_and(|at| asked.max(now) - at < UNSEEN);
                let changes = self.operators.take(reading, asked);
                let changed = !changes.is_empty();
                for change in changes {
                    self.operators_changed(change, witnessed, source, now);
                }
                if changed {
                    let entries = self.operators.entries();
                    self.operators.set_content(content_of(&entries));
                    self.view.copies.operators = entries;
                }
                self.view.operators = self.operators.known();
            }
            Topic::Targets => {
                // A copy is as old as the other box's read of the store; the store's own answer is
                // new.
                let read_at = match source {
                    Source::Store => now,
                    Source::Peer(_) | Source::Passed => asked.min(now),
                };
                let changes = self.listed.take(reading, asked);
                if !changes.is_empty() {
                    self.take_targets(changes, source, read_at, now);
                    self.view.copies.targets = self.listed.entries();
                    self.listed.set_content(self.targets_content());
                    self.targets_changed = true;
                }
                self.view.listed = self.listed.known();
            }
        }
    }

    /// Records the store's era. A newer one means that the store was restored from a backup, so that
    /// entries that disappear now may be written again.
    fn see_era(&mut self, era: StoreEra, source: &Source, now: Instant) {
        let before = self.era.unwrap_or(era);
        self.era = Some(before.max(era));
        if era <= before {
            return;
        }
        event!(self.log, events::STORE_RESTORED, "era" => era.0, "before" => before.0,
            "source" => source.to_string());
        self.restored = Some(now);
        self.away = Some(now);
    }

    fn confirmed(&mut self, topic: Topic, content: u64, revision: KvRevision, asked: Instant) {
        let mirror = match topic {
            Topic::Operators => &mut self.operators,
            Topic::Targets => &mut self.listed,
        };
        if mirror.known().content != content {
            return;
        }
        mirror.confirm(revision, asked);
        self.view.operators = self.operators.known();
        self.view.listed = self.listed.known();
    }

    /// Applies a change of what operators publish; `witnessed` if this box was receiving changes
    /// when it took place.
    fn operators_changed(
        &mut self,
        change: Change,
        witnessed: bool,
        source: &Source,
        now: Instant,
    ) {
        if let Some(zone) = self.keys.evacuation(change.key()) {
            match zone {
                Ok(zone) => self.evacuation_changed(zone, &change, source, now),
                Err(e) => self.undecodable(&e),
            }
            return;
        }
        // A configuration or a weights version that was deleted stays in force.
        let Change::Set(entry) = change else {
            return;
        };
        let value = entry.value.as_deref().unwrap_or_default();
        if self.keys.is_config(&entry.key) {
            match self.keys.config(&entry.key, value) {
                Ok(config) => self.adopt(config, &entry, source),
                Err(e) => self.undecodable(&e),
            }
        } else if self.keys.is_weights(&entry.key) {
            match self.keys.weights(&entry.key, value) {
                Ok(wanted) => {
                    let named = Named {
                        version: wanted.version,
                        since: now,
                        witnessed,
                    };
                    self.want(wanted.model, named, source, now);
                }
                Err(e) => self.undecodable(&e),
            }
        }
    }

    fn undecodable(&self, e: &DecodeError) {
        event!(self.log, events::VALUE_UNREADABLE, "key" => &e.key, "why" => &e.what);
    }

    /// Puts a configuration in force unless it is older than the one in force.
    fn adopt(&mut self, config: FleetConfig, entry: &KvEntry, source: &Source) {
        let in_force = self.config.as_ref().map(|config| config.version);
        if in_force >= Some(config.version) {
            return;
        }
        event!(self.log, events::CONFIG_IN_FORCE,
            "version" => config.version.0, "revision" => entry.revision.to_string(),
            "source" => source.to_string(), "routes" => config.routes.len(),
            "bytes" => entry.value.as_ref().map_or(0, String::len),
            "before" => in_force.map_or(0, |version| version.0));
        let config = Arc::new(config);
        self.config = Some(config.clone());
        self.view.config = Some(config);
    }

    /// Records that operators set a weights version, or an earlier time of the request.
    fn want(&mut self, model: ModelId, named: Named, source: &Source, now: Instant) {
        let wanted = self.wanted.get_mut(&model);
        let is_news = match wanted {
            Some(wanted) => wanted.note(named, now),
            None => {
                self.wanted.insert(model.clone(), Wanted::new(named));
                true
            }
        };
        if !is_news {
            return;
        }
        event!(self.log, events::WEIGHTS_WANTED,
            "model" => model.as_str(), "version" => named.version.0, "source" => source.to_string(),
            "age_ms" => now.saturating_duration_since(named.since).as_millis(),
            "witnessed" => named.witnessed);
        self.view.wanted = Arc::new(self.wanted.clone());
    }

    /// Updates the view. Done once for all queued messages: a change of weights brings hundreds.
    fn publish(&mut self) {
        if std::mem::take(&mut self.targets_changed) {
            self.publish_targets();
        }
        if std::mem::take(&mut self.boxes_changed) {
            self.publish_boxes();
        }
    }
}

/// Returns the hash of raw entries.
fn content_of(entries: &[KvEntry]) -> u64 {
    let mut hash = Xxh3::new();
    for entry in entries {
        let value = entry.value.as_deref().unwrap_or_default();
        // Lengths separate fields whose concatenation would be equal.
        for text in [&entry.key, value] {
            hash.update(&text.len().to_le_bytes());
            hash.update(text.as_bytes());
        }
    }
    hash.digest()
}
