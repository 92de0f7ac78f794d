//! Reads the loads of the targets that this keeper is responsible for, and the cache events of
//! the engines among them.
//!
//! Two keepers of a target's zone read its load; the first of them also follows its cache events
//! and hands them to the owners of the roots. It keeps the engine's cached blocks, so that it can
//! tell everything again when the owners change.

use crate::fleet::{FleetHandle, FleetMsg, Published, TargetReading};
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

/// How long a call for cache events waits for one.
const EVENTS_WAIT: Duration = Duration::from_secs(5);

/// Wait after a failed call for cache events.
const EVENTS_BACKOFF: Duration = Duration::from_millis(500);

/// Objects asked of a store at a time.
const LIST_PAGE: usize = 1_000;

/// Pause between two pages of a store's objects.
const LIST_PAUSE: Duration = Duration::from_millis(100);

/// The second reader of a target stands by: it reads less often than the first by this factor.
const SECOND_READER_FACTOR: u32 = 4;

/// What the readers share.
#[derive(Clone)]
pub struct Readers {
    /// Settings.
    pub cfg: KeeperConfig,
    /// The fleet task.
    pub fleet: FleetHandle,
    /// What it publishes.
    pub published: Published,
    /// Carries news to the owners of roots.
    pub router: RouterHandle,
    /// Connections to targets.
    pub client: Client,
    /// Log.
    pub log: Logger,
}

/// What this keeper does for a target.
#[derive(Debug, Clone, PartialEq)]
struct Duty {
    entry: TargetEntry,
    first: bool,
}

impl Readers {
    /// Starts and ends readers as the view changes, until `stop`.
    pub async fn run(self, stop: CancellationToken) {
        let mut running: HashMap<TargetId, (Duty, CancellationToken)> = HashMap::new();
        let mut view = self.published.view.clone();
        loop {
            let duties = self.duties(&view.borrow_and_update());
            running.retain(|id, (duty, token)| {
                let keep = duties.get(id) == Some(duty);
                if !keep {
                    token.cancel();
                }
                keep
            });
            for (id, duty) in duties {
                running.entry(id).or_insert_with(|| {
                    let token = stop.child_token();
                    self.clone().start(duty.clone(), token.clone());
                    (duty, token)
                });
            }
            tokio::select! {
                () = stop.cancelled() => return,
                changed = view.changed() => if changed.is_err() { return },
            }
        }
    }

    fn duties(&self, view: &View) -> HashMap<TargetId, Duty> {
        let mut duties = HashMap::new();
        for target in &view.targets {
            let readers = view.readers(&target.entry);
            let mine = readers.iter().position(|b| b.id == self.cfg.box_id);
            if let Some(place) = mine {
                let duty = Duty {
                    entry: target.entry.clone(),
                    first: place == 0,
                };
                duties.insert(target.entry.id.clone(), duty);
            }
        }
        duties
    }

    fn start(self, duty: Duty, stop: CancellationToken) {
        let mut every = self.cfg.load_every;
        if !duty.first {
            every *= SECOND_READER_FACTOR;
        }
        let loads = self.clone().read_loads(duty.entry.clone(), every);
        tokio::spawn(until(stop.clone(), loads));
        match (duty.first, duty.entry.kind) {
            (true, TargetKind::Engine) => {
                tokio::spawn(until(stop, self.follow_cache(duty.entry)));
            }
            (true, TargetKind::Store) => {
                tokio::spawn(until(stop, self.list_store(duty.entry)));
            }
            _ => {}
        }
    }

    async fn read_loads(self, entry: TargetEntry, every: Duration) {
        let engine = HttpEngine::new(self.client.clone());
        let mut every = tokio::time::interval(every);
        every.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            every.tick().await;
            if entry.kind == TargetKind::Weights {
                continue;
            }
            let reading = match engine.load(entry.addr).await {
                Ok(load) => TargetReading::Load(load),
                Err(_) => TargetReading::Failed,
            };
            self.fleet
                .tell(FleetMsg::Target(entry.id.clone(), reading))
                .await;
        }
    }

    async fn follow_cache(self, entry: TargetEntry) {
        let engine = HttpEngine::new(self.client.clone());
        let mut cached = Cached::default();
        let mut view = self.published.view.clone();
        let mut members = members(&view.borrow_and_update());
        loop {
            let asked = engine.cache_events(entry.addr, cached.epoch, cached.sequence, EVENTS_WAIT);
            let reply = tokio::select! {
                reply = asked => reply,
                () = members_changed(&mut view, &mut members) => {
                    self.tell(&entry, cached.all()).await;
                    continue;
                }
            };
            match reply {
                Ok(reply) => {
                    if cached.has_gap(&reply) {
                        event!(self.log, events::CACHE_EVENTS_LOST, "target" => %entry.id);
                    }
                    self.tell(&entry, cached.take(reply)).await;
                }
                Err(_) => tokio::time::sleep(EVENTS_BACKOFF).await,
            }
        }
    }

    async fn tell(&self, entry: &TargetEntry, changes: Changes) {
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

    /// Tells the owners what the store holds, at first and whenever the boxes change.
    async fn list_store(self, entry: TargetEntry) {
        let store = HttpStore::new(self.client.clone());
        let mut view = self.published.view.clone();
        let mut members = members(&view.borrow_and_update());
        loop {
            self.list_once(&store, &entry).await;
            members_changed(&mut view, &mut members).await;
        }
    }

    async fn list_once(&self, store: &HttpStore, entry: &TargetEntry) {
        let mut after: Option<(BlockName, Generation)> = None;
        while let Ok(page) = store.list(entry.addr, after, LIST_PAGE).await {
            let Some(last) = page.last() else { return };
            after = Some((last.block, last.generation));
            let mut by_root: HashMap<BlockName, Vec<StoredObject>> = HashMap::new();
            for object in page {
                let root = object.seal.root;
                by_root.entry(root).or_default().push(kept(entry, object));
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

fn kept(entry: &TargetEntry, object: SealedObject) -> StoredObject {
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

async fn until(stop: CancellationToken, work: impl Future<Output = ()>) {
    tokio::select! {
        () = stop.cancelled() => {}
        () = work => {}
    }
}

fn members(view: &View) -> HashSet<String> {
    let live = view.boxes.iter().filter(|b| b.live);
    live.map(|b| b.id.to_string()).collect()
}

/// Resolves when the boxes in use are others than `known`, which is brought up to date.
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

/// What an engine caches, as its events say.
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

    /// Takes events in and says what they change. An engine's new life holds nothing of before.
    fn take(&mut self, reply: CacheEvents) -> Changes {
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

    fn all(&self) -> Changes {
        let mut changes = Changes::new();
        for (block, root) in &self.roots {
            changes.entry(*root).or_default().0.push(*block);
        }
        changes
    }
}
