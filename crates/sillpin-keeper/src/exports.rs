//! Orders engines to write blocks to stores, within each store's share of the link, and frees objects
//! when a store fills up.
//!
//! Life cycle of an object: the engine writes and seals it, then it is published to the owners of its
//! root. To free it, it is unpublished at the owners and, once every reader that may have received a
//! reference has finished its fetch ([`PIN_TIME`]), freed at the store.

use crate::directory::{DirectoryHandle, DirectoryMsg, ExportJob, FreeJob};
use crate::fleet::Published;
use crate::router::RouterHandle;
use crate::view::{TargetInfo, View};
use opentelemetry::KeyValue;
use opentelemetry::trace::{Span, SpanKind};
use sillpin_core::{BlockName, Generation, Share, TargetId, TargetKind};
use sillpin_http::Client;
use sillpin_policy::rendezvous::{self, CandidateHash};
use sillpin_policy::set::KeepingPolicy;
use sillpin_rpc::directory::{DirectoryUpdate, StoredObject};
use sillpin_rpc::entry_link::TargetView;
use sillpin_targets::{Engine, ExportOrder, HttpEngine, HttpStore, ObjectRef, Store};
use sillpin_telemetry::traces::Traces;
use sillpin_telemetry::{event, events};
use slog::Logger;
use std::collections::HashMap;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Maximum number of queued exports; further ones are dropped.
pub const QUEUE_LEN: usize = 512;

/// Maximum time from a reader's look-up to the end of its fetch.
pub const PIN_TIME: Duration = Duration::from_secs(8);

/// Interval at which the fill of the stores is checked.
const FREE_INTERVAL: Duration = Duration::from_secs(2);

/// Share of a full store's objects that is freed in addition to the share above the high-water mark.
const EXTRA_FREE_SHARE: f64 = 0.05;

/// Dependencies of the export task.
pub struct Exports {
    /// State that the fleet task publishes.
    pub published: Published,
    /// This keeper's part of the directory.
    pub directory: DirectoryHandle,
    /// Sends directory updates to the owners of roots.
    pub router: RouterHandle,
    /// Handle of the fleet task, which provides the fill of stores.
    pub fleet: crate::fleet::FleetHandle,
    /// Connections to targets.
    pub client: Client,
    /// Tracer for the spans of transfers.
    pub traces: Traces,
    /// Logger.
    pub log: Logger,
}

impl Exports {
    /// Runs the task until `stop`.
    pub async fn run(self, mut jobs: mpsc::Receiver<ExportJob>, stop: CancellationToken) {
        let mut link_free_at: HashMap<TargetId, Instant> = HashMap::new();
        let mut free = tokio::time::interval(FREE_INTERVAL);
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                _ = free.tick() => self.free_full_stores().await,
                job = jobs.recv() => match job {
                    Some(job) => self.export(job, &mut link_free_at).await,
                    None => return,
                },
            }
        }
    }

    async fn export(&self, job: ExportJob, link_free_at: &mut HashMap<TargetId, Instant>) {
        let view = self.published.view.borrow().clone();
        let store = choose_store(&view, &job.root);
        if let (Some(store), Some(policy)) = (store, control_policy(&view)) {
            let free_at = link_free_at.get(&store.entry.id).copied();
            tokio::time::sleep_until(free_at.unwrap_or_else(Instant::now)).await;
            let written = self.run_export(&job, store).await;
            let boxes = view.boxes.iter().filter(|b| b.live).count().max(1);
            let rate = (policy.export_rate.0 / boxes as u64).max(1);
            let pause = Duration::from_secs_f64(written as f64 / rate as f64);
            link_free_at.insert(store.entry.id.clone(), Instant::now() + pause);
        }
        self.directory.send(DirectoryMsg::ExportEnded(job)).await;
    }

    /// Orders an export and publishes the sealed objects. Returns the number of bytes written.
    async fn run_export(&self, job: &ExportJob, store: &TargetInfo) -> u64 {
        let generations = job
            .blocks
            .iter()
            .map(|block| (*block, Generation(rand::random())));
        let order = ExportOrder {
            root: job.root,
            blocks: generations.collect(),
            store: store.entry.id.clone(),
            addr: store.entry.addr,
        };
        let mut span = self.traces.span("transfer", SpanKind::Client, None);
        span.set_attribute(KeyValue::new("store", store.entry.id.to_string()));
        span.set_attribute(KeyValue::new("blocks", order.blocks.len() as i64));
        let exported = HttpEngine::new(self.client.clone())
            .export(job.engine, &order)
            .await;
        let exported = match exported {
            Ok(exported) => exported,
            Err(e) => {
                event!(self.log, events::EXPORT_FAILED, "store" => %store.entry.id, "error" => %e);
                return 0;
            }
        };
        let written = exported.objects.iter().map(|o| o.len.0).sum();
        event!(self.log, events::BLOCKS_STORED, "blocks" => exported.objects.len(), "bytes" => written);
        let objects = exported
            .objects
            .into_iter()
            .map(|o| stored_object(o, store))
            .collect();
        let root = job.root;
        self.router
            .send(DirectoryUpdate::Kept { root, objects })
            .await;
        written
    }

    async fn free_full_stores(&self) {
        let view = self.published.view.borrow().clone();
        let Some(policy) = control_policy(&view) else {
            return;
        };
        let status = self.fleet.query(crate::fleet::FleetMsg::Status).await;
        let targets = status.map(|status| status.targets).unwrap_or_default();
        for store in targets.iter().filter(|t| t.entry.kind == TargetKind::Store) {
            let excess = fill(store).fraction() - policy.high_water.fraction();
            if excess > 0.0 {
                self.free(store, excess + EXTRA_FREE_SHARE).await;
            }
        }
    }

    async fn free(&self, store: &TargetView, share: f64) {
        let id = store.entry.id.clone();
        let jobs = self
            .directory
            .query(|tx| DirectoryMsg::Free(id, share, tx))
            .await;
        for job in jobs.unwrap_or_default() {
            let update = DirectoryUpdate::Unpublished {
                root: job.root,
                objects: job.objects.clone(),
            };
            self.router.send(update).await;
            tokio::spawn(free_after_pin_time(
                self.client.clone(),
                self.log.clone(),
                job,
            ));
        }
    }
}

async fn free_after_pin_time(client: Client, log: Logger, job: FreeJob) {
    tokio::time::sleep(PIN_TIME).await;
    let store = HttpStore::new(client);
    let count = job.objects.len();
    for (block, generation) in job.objects {
        let _ = store.free(job.addr, block, generation).await;
    }
    event!(log, events::BLOCKS_FREED, "store" => %job.addr, "blocks" => count);
}

fn fill(store: &TargetView) -> Share {
    let load = store.state.as_ref().and_then(|state| state.load.as_ref());
    load.map(|load| load.fill).unwrap_or_default()
}

fn control_policy(view: &View) -> Option<KeepingPolicy> {
    let in_force = view.in_force.as_ref()?;
    Some(in_force.bundle.control.keeping.clone())
}

/// Returns the store for a root. Keepers that see the same stores choose the same one.
fn choose_store<'a>(view: &'a View, root: &BlockName) -> Option<&'a TargetInfo> {
    let stores: Vec<&TargetInfo> = view.usable(TargetKind::Store).collect();
    let hashes = stores.iter().enumerate().map(|(index, store)| {
        let hash = CandidateHash::of(store.entry.id.as_str());
        (index, hash, 1.0)
    });
    let best = rendezvous::top(root.placement_hash(), hashes, 1);
    best.first().map(|index| stores[*index])
}

fn stored_object(object: ObjectRef, store: &TargetInfo) -> StoredObject {
    StoredObject {
        block: object.block,
        generation: object.generation,
        store: object.store,
        addr: object.addr,
        len: object.len,
        checksum: object.checksum,
        link_rate: store.entry.link_rate,
    }
}
