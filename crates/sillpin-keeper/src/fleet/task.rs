//! The task that owns the fleet table.

use super::messages::{FleetHandle, FleetMsg};
use super::table::{FleetTable, Identity};
use crate::view::View;
use sillpin_rpc::peer_link::FleetStatus;
use sillpin_telemetry::{event, events};
use slog::Logger;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// Maximum number of queued messages.
const QUEUE_LEN: usize = 1_024;

/// Interval between two heartbeats of this box.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Fleet state that the fleet task publishes to other tasks.
#[derive(Clone)]
pub struct Published {
    /// Boxes, targets and the bundle in force; notified when any of them changes.
    pub view: watch::Receiver<Arc<View>>,
    /// Stamp of the latest change of any item.
    pub stamp: watch::Receiver<u64>,
}

/// Interval at which the view is recomputed, which also detects unresponsive boxes.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(100);

struct Task {
    table: FleetTable,
    me: Identity,
    log: Logger,
    view: watch::Sender<Arc<View>>,
    stamp: watch::Sender<u64>,
    platform_responded: Option<Instant>,
}

/// Starts the task, which stops when its last handle is dropped.
pub fn start(me: Identity, log: Logger) -> (FleetHandle, Published) {
    let (tx, rx) = mpsc::channel(QUEUE_LEN);
    let table = FleetTable::new(me.clone(), Instant::now());
    let view = watch::Sender::new(Arc::new(table.view(Instant::now())));
    let stamp = watch::Sender::new(table.stamp());
    let published = Published {
        view: view.subscribe(),
        stamp: stamp.subscribe(),
    };
    let task = Task {
        table,
        me,
        log,
        view,
        stamp,
        platform_responded: None,
    };
    tokio::spawn(task.run(rx));
    (FleetHandle { tx }, published)
}

impl Task {
    async fn run(mut self, mut rx: mpsc::Receiver<FleetMsg>) {
        let mut heartbeat = tokio::time::interval(HEARTBEAT_INTERVAL);
        let mut publish = tokio::time::interval(PUBLISH_INTERVAL);
        loop {
            tokio::select! {
                msg = rx.recv() => match msg {
                    Some(msg) => self.handle(msg),
                    None => return,
                },
                _ = heartbeat.tick() => self.table.heartbeat(Instant::now()),
                _ = publish.tick() => self.publish(),
            }
            let stamp = self.table.stamp();
            self.stamp
                .send_if_modified(|old| std::mem::replace(old, stamp) != stamp);
        }
    }

    fn handle(&mut self, msg: FleetMsg) {
        let now = Instant::now();
        match msg {
            FleetMsg::Apply(items) => self.apply(items, now),
            FleetMsg::BoxList(list, at) => self.table.apply_box_list(list, at, now),
            FleetMsg::Bundle(accepted) => self.adopt(accepted, now),
            FleetMsg::Organisations(list, version) => {
                self.table.apply_organisations(list, version, now);
            }
            FleetMsg::Target(id, result) => {
                self.table.apply_poll(id, result, unix_time_ms(), now);
            }
            FleetMsg::StopArm(revision, arm, breach) => {
                let name = arm.to_string();
                if self.table.stop_arm(revision, arm, breach, now) {
                    event!(self.log, events::ARM_STOPPED, "arm" => name, "breach" => %breach);
                }
            }
            FleetMsg::Leave => self.table.set_leaving(now),
            FleetMsg::PlatformResponded => self.platform_responded = Some(now),
            FleetMsg::Digest(zone, tx) => drop(tx.send(self.table.digest(&zone))),
            FleetMsg::Exchange(digest, tx) => drop(tx.send(self.table.exchange(&digest))),
            FleetMsg::ItemsByHash(hashes, tx) => drop(tx.send(self.table.items_by_hash(&hashes))),
            FleetMsg::Update(known, tx) => drop(tx.send(self.table.update_since(known))),
            FleetMsg::Status(tx) => drop(tx.send(self.status(now))),
        }
    }

    fn apply(&mut self, items: Vec<sillpin_rpc::gossip::Item>, now: Instant) {
        let before = self.revision();
        for e in self.table.apply(items, now) {
            event!(self.log, events::BUNDLE_REFUSED, "from" => "peer", "error" => %e);
        }
        self.log_adoption(before, "peer");
    }

    fn adopt(&mut self, accepted: sillpin_bundle::Accepted, now: Instant) {
        let before = self.revision();
        let revision = accepted.revision;
        if let Err(e) = self.table.adopt(accepted, now) {
            event!(self.log, events::BUNDLE_REFUSED,
                "from" => "platform", "revision" => %revision, "error" => %e);
        }
        self.log_adoption(before, "platform");
    }

    fn revision(&self) -> sillpin_core::Revision {
        self.table
            .in_force()
            .map(|f| f.revision)
            .unwrap_or_default()
    }

    fn log_adoption(&self, before: sillpin_core::Revision, from: &'static str) {
        let revision = self.revision();
        if revision != before {
            event!(self.log, events::BUNDLE_IN_FORCE, "revision" => %revision, "from" => from);
        }
    }

    fn publish(&mut self) {
        let view = self.table.view(Instant::now());
        let before = self.view.borrow().clone();
        if views_equal(&before, &view) {
            return;
        }
        self.log_changes(&before, &view);
        self.view.send_replace(Arc::new(view));
    }

    fn log_changes(&self, before: &View, after: &View) {
        let live = |view: &View| -> BTreeMap<String, bool> {
            let boxes = view.boxes.iter();
            boxes.map(|b| (b.id.to_string(), b.live)).collect()
        };
        let (was, is) = (live(before), live(after));
        for (id, live) in &is {
            let was_live = was.get(id).copied().unwrap_or(false);
            match (was_live, *live) {
                (false, true) => event!(self.log, events::BOX_UP, "box" => id.as_str()),
                (true, false) => event!(self.log, events::BOX_DOWN, "box" => id.as_str()),
                _ => {}
            }
        }
        for target in &after.targets {
            let id = &target.entry.id;
            let was = before.target(id);
            let was_reachable = was.is_none_or(|t| t.reachable);
            let was_leaving = was.is_some_and(|t| t.leaving);
            if was_reachable && !target.reachable {
                event!(self.log, events::TARGET_DOWN, "target" => %id);
            }
            if !was_reachable && target.reachable {
                event!(self.log, events::TARGET_UP, "target" => %id);
            }
            if !was_leaving && target.leaving {
                event!(self.log, events::TARGET_LEAVING, "target" => %id);
            }
        }
    }

    fn status(&self, now: Instant) -> FleetStatus {
        let age = |since: Option<Instant>| since.map(|since| (now - since).as_millis() as u64);
        let accepted = self.table.accepted();
        let in_force = self.table.in_force();
        FleetStatus {
            by: self.me.box_id.clone(),
            zone: self.me.zone.clone(),
            revision: self.revision(),
            bundle: in_force.map(|in_force| in_force.bundle.name.clone()),
            digest: accepted.map(|a| a.bundle.digest.short().to_owned()),
            boxes: self.table.box_statuses(now),
            targets: self.table.target_views(),
            stopped_arms: self.table.stopped_arms(),
            platform_age_ms: age(self.platform_responded),
            box_list_age_ms: self
                .table
                .box_list_age(now)
                .map(|age| age.as_millis() as u64),
            directory_prompts: 0,
            directory_blocks: 0,
        }
    }
}

fn views_equal(a: &View, b: &View) -> bool {
    let revision = |view: &View| view.in_force.as_ref().map(|f| f.revision);
    a.boxes == b.boxes && a.targets == b.targets && revision(a) == revision(b)
}

fn unix_time_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
