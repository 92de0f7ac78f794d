//! Polls the loads of the targets assigned to this keeper, and the cache events of the engines among
//! them.
//!
//! Two keepers of a target's zone poll its load; the first of them also follows its cache events and
//! sends them to the owners of the roots. It keeps the set of the engine's cached blocks, so that it
//! can send all of them again when the owners change.

use crate::fleet::{FleetHandle, FleetMsg, PollResult, Published};
use crate::router::RouterHandle;
use crate::settings::KeeperConfig;
use crate::view::View;
use sillpin_core::target::TargetEntry;
use sillpin_core::{BlockName, Bytes, Generation, TargetId, TargetKind};
use sillpin_http::Client;
use sillpin_rpc::directory::{DirectoryUpdate, HolderChange, StoredObject};
use sillpin_targets::{CacheEvents, Engine, HttpEngine, HttpStore, SealedObject, Store};
use sillpin_telemetry::{event, events};
use slog::Logger;
use std::collections::{HashMap, HashSet};
use std::time::Duration;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// How long a poll for cache events waits for an event.
const EVENTS_POLL_WAIT: Duration = Duration::from_secs(5);

/// Wait after a failed poll for cache events.
const EVENTS_BACKOFF: Duration = Duration::from_millis(500);

/// Number of objects requested from a store in one page.
const LIST_PAGE_LEN: usize = 1_000;

/// Pause between two pages of a store's objects.
const LIST_PAUSE: Duration = Duration::from_millis(100);

/// The second reader of a target is a standby: its poll interval is the first's times this factor.
const SECOND_READER_FACTOR: u32 = 4;

/// Dependencies of the readers.
#[derive(Clone)]
pub struct Readers {
    /// Settings of the keeper.
    pub cfg: KeeperConfig,
    /// Handle of the fleet task.
    pub fleet: FleetHandle,
    /// State that the fleet task publishes.
    pub published: Published,
    /// Sends directory updates to the owners of roots.
    pub router: RouterHandle,
    /// Connections to targets.
    pub client: Client,
    /// Logger.
    pub log: Logger,
}

/// A target assigned to this keeper, and whether this keeper is its first reader.
#[derive(Debug, Clone, PartialEq)]
struct Assignment {
    entry: TargetEntry,
    first: bool,
}

impl Readers {
    /// Starts and stops readers as the view changes, until `stop`.
    pub async fn run(self, stop: CancellationToken) {
        let mut running: HashMap<TargetId, (Assignment, CancellationToken)> = HashMap::new();
        let mut view = self.published.view.clone();
        loop {
            let assignments = self.assignments(&view.borrow_and_update());
            running.retain(|id, (assignment, token)| {
                let keep = assignments.get(id) == Some(assignment);
                if !keep {
                    token.cancel();
                }
                keep
            });
            for (id, assignment) in assignments {
                running.entry(id).or_insert_with(|| {
                    let token = stop.child_token();
                    self.clone().start(assignment.clone(), token.clone());
                    (assignment, token)
                });
            }
            tokio::select! {
                () = stop.cancelled() => return,
                changed = view.changed() => if changed.is_err() { return },
            }
        }
    }

    fn assignments(&self, view: &View) -> HashMap<TargetId, Assignment> {
        let mut assignments = HashMap::new();
        for target in &view.targets {
            let readers = view.readers(&target.entry);
            let own_rank = readers.iter().position(|b| b.id == self.cfg.box_id);
            if let Some(rank) = own_rank {
                let assignment = Assignment {
                    entry: target.entry.clone(),
                    first: rank == 0,
                };
                assignments.insert(target.entry.id.clone(), assignment);
            }
        }
        assignments
    }

    fn start(self, assignment: Assignment, stop: CancellationToken) {
        let mut every = self.cfg.load_every;
        if !assignment.first {
            every *= SECOND_READER_FACTOR;
        }
        let loads = self.clone().poll_loads(assignment.entry.clone(), every);
        tokio::spawn(run_until(stop.clone(), loads));
        match (assignment.first, assignment.entry.kind) {
            (true, TargetKind::Engine) => {
                tokio::spawn(run_until(stop, self.follow_cache_events(assignment.entry)));
            }
            (true, TargetKind::Store) => {
                tokio::spawn(run_until(stop, self.send_store_list(assignment.entry)));
            }
            _ => {}
        }
    }

    async fn poll_loads(self, entry: TargetEntry, every: Duration) {
        let engine = HttpEngine::new(self.client.clone());
        let mut every = tokio::time::interval(every);
        every.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            every.tick().await;
            if entry.kind == TargetKind::Weights {
                continue;
            }
            let result = match engine.load(entry.addr).await {
                Ok(load) => PollResult::Load(load),
                Err(_) => PollResult::Failed,
            };
            self.fleet
                .send(FleetMsg::Target(entry.id.clone(), result))
                .await;
        }
    }

    async fn follow_cache_events(self, entry: TargetEntry) {
        let engine = HttpEngine::new(self.client.clone());
        let mut cached = Cached::default();
        let mut view = self.published.view.clone();
        let mut members = members(&view.borrow_and_update());
        loop {
            let poll =
                engine.cache_events(entry.addr, cached.epoch, cached.sequence, EVENTS_POLL_WAIT);
            let reply = tokio::select! {
                reply = poll => reply,
                () = members_changed(&mut view, &mut members) => {
                    self.send_changes(&entry, cached.all_as_stored()).await;
                    continue;
                }
            };
            match reply {
                Ok(reply) => {
                    if cached.has_gap(&reply) {
                        event!(self.log, events::CACHE_EVENTS_LOST, "target" => %entry.id);
                    }
                    self.send_changes(&entry, cached.apply(reply)).await;
                }
                Err(_) => tokio::time::sleep(EVENTS_BACKOFF).await,
            }
        }
    }

    async fn send_changes(&self, entry: &TargetEntry, changes: Changes) {
        for (root, (stored, removed)) in changes {
            let change = HolderChange {
                root,
                target: entry.id.clone(),
                stored,
                removed,
            };
            self.router.send(DirectoryUpdate::Holder(change)).await;
        }
    }

    /// Sends the owners the list of the store's objects, at the start and whenever the live boxes change.
    async fn send_store_list(self, entry: TargetEntry) {
        let store = HttpStore::new(self.client.clone());
        let mut view = self.published.view.clone();
        let mut members = members(&view.borrow_and_update());
        loop {
            self.send_store_list_once(&store, &entry).await;
            members_changed(&mut view, &mut members).await;
        }
    }

    async fn send_store_list_once(&self, store: &HttpStore, entry: &TargetEntry) {
        let mut after: Option<(BlockName, Generation)> = None;
        while let Ok(page) = store.list(entry.addr, after, LIST_PAGE_LEN).await {
            let Some(last) = page.last() else { return };
            after = Some((last.block, last.generation));
            let mut by_root: HashMap<BlockName, Vec<StoredObject>> = HashMap::new();
            for object in page {
                let root = object.seal.root;
                by_root
                    .entry(root)
                    .or_default()
                    .push(stored_object(entry, object));
            }
            for (root, objects) in by_root {
                self.router
                    .send(DirectoryUpdate::Kept { root, objects })
                    .await;
            }
            tokio::time::sleep(LIST_PAUSE).await;
        }
    }
}

fn stored_object(entry: &TargetEntry, object: SealedObject) -> StoredObject {
    StoredObject {
        block: object.block,
        generation: object.generation,
        store: entry.id.clone(),
        addr: entry.addr,
        len: Bytes(object.seal.len.0),
        checksum: object.seal.checksum,
        link_rate: entry.link_rate,
    }
}

async fn run_until(stop: CancellationToken, work: impl Future<Output = ()>) {
    tokio::select! {
        () = stop.cancelled() => {}
        () = work => {}
    }
}

fn members(view: &View) -> HashSet<String> {
    let live = view.boxes.iter().filter(|b| b.live);
    live.map(|b| b.id.to_string()).collect()
}

/// Resolves when the live boxes differ from `known`, and updates `known`.
async fn members_changed(
    view: &mut watch::Receiver<std::sync::Arc<View>>,
    known: &mut HashSet<String>,
) {
    loop {
        if view.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
        let now = members(&view.borrow_and_update());
        if now != *known {
            *known = now;
            return;
        }
    }
}

/// Blocks stored and removed, by root.
type Changes = HashMap<BlockName, (Vec<BlockName>, Vec<BlockName>)>;

/// Blocks that an engine caches according to its events, with their roots.
#[derive(Default)]
struct Cached {
    epoch: u64,
    sequence: u64,
    roots: HashMap<BlockName, BlockName>,
}

impl Cached {
    fn has_gap(&self, reply: &CacheEvents) -> bool {
        let first = reply.events.first().map(|(sequence, _)| *sequence);
        reply.epoch == self.epoch && first.is_some_and(|first| first > self.sequence + 1)
    }

    /// Applies events and returns the changes. A new epoch of the engine starts with an empty cache.
    fn apply(&mut self, reply: CacheEvents) -> Changes {
        let mut changes = Changes::new();
        if reply.epoch != self.epoch {
            for (block, root) in self.roots.drain() {
                changes.entry(root).or_default().1.push(block);
            }
        }
        self.epoch = reply.epoch;
        self.sequence = reply.sequence;
        for (_, change) in reply.events {
            let (stored, removed) = changes.entry(change.root).or_default();
            if change.stored {
                self.roots.insert(change.block, change.root);
                stored.push(change.block);
                removed.retain(|block| *block != change.block);
            } else {
                self.roots.remove(&change.block);
                removed.push(change.block);
                stored.retain(|block| *block != change.block);
            }
        }
        changes
    }

    fn all_as_stored(&self) -> Changes {
        let mut changes = Changes::new();
        for (block, root) in &self.roots {
            changes.entry(*root).or_default().0.push(*block);
        }
        changes
    }
}
