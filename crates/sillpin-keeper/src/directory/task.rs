//! The task that owns the directory table.

use super::table::{DirectoryTable, ExportJob, FreeJob};
use crate::fleet::Published;
use crate::view::View;
use sillpin_core::{ArmName, BlockName, BoxId, TargetId};
use sillpin_policy::set::KeepingPolicy;
use sillpin_rpc::directory::{BlockHints, DirectoryUpdate, PromptUse};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

/// Maximum number of queued messages.
const QUEUE_LEN: usize = 1_024;

/// Size of the table.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DirectoryStats {
    /// Number of prompts.
    pub prompts: u64,
    /// Number of blocks, counted once for each holder and once for each stored object.
    pub blocks: u64,
}

/// Messages to the directory task; variants with a sender are queries.
pub enum DirectoryMsg {
    /// Updates of owned roots.
    Update(Vec<DirectoryUpdate>),
    /// Queries the hints for the blocks of a prompt.
    LookUp(Vec<BlockName>, oneshot::Sender<BlockHints>),
    /// An export ended.
    ExportEnded(ExportJob),
    /// Unpublishes the share of a store's objects with the lowest retention value.
    Free(TargetId, f64, oneshot::Sender<Vec<FreeJob>>),
    /// Queries the size of the table.
    Stats(oneshot::Sender<DirectoryStats>),
}

/// Sends messages to the directory task.
#[derive(Clone)]
pub struct DirectoryHandle {
    tx: mpsc::Sender<DirectoryMsg>,
}

impl DirectoryHandle {
    /// Sends a message to the task.
    pub async fn send(&self, msg: DirectoryMsg) {
        let _ = self.tx.send(msg).await;
    }

    /// Sends a query to the task and returns the reply, or `None` if the task has ended.
    pub async fn query<T>(
        &self,
        msg: impl FnOnce(oneshot::Sender<T>) -> DirectoryMsg,
    ) -> Option<T> {
        let (tx, rx) = oneshot::channel();
        self.send(msg(tx)).await;
        rx.await.ok()
    }
}

struct Task {
    me: BoxId,
    table: DirectoryTable,
    published: Published,
    exports: mpsc::Sender<ExportJob>,
}

/// Starts the task, which sends export jobs to `exports` and stops when its last handle is dropped.
pub fn start(me: BoxId, published: Published, exports: mpsc::Sender<ExportJob>) -> DirectoryHandle {
    let (tx, rx) = mpsc::channel(QUEUE_LEN);
    let task = Task {
        me,
        table: DirectoryTable::default(),
        published,
        exports,
    };
    tokio::spawn(task.run(rx));
    DirectoryHandle { tx }
}

impl Task {
    async fn run(mut self, mut rx: mpsc::Receiver<DirectoryMsg>) {
        while let Some(msg) = rx.recv().await {
            match msg {
                DirectoryMsg::Update(updates) => self.apply_updates(updates),
                DirectoryMsg::LookUp(blocks, tx) => drop(tx.send(self.table.look_up(&blocks))),
                DirectoryMsg::ExportEnded(job) => self.table.export_ended(&job),
                DirectoryMsg::Free(store, share, tx) => {
                    drop(tx.send(self.free(&store, share)));
                }
                DirectoryMsg::Stats(tx) => drop(tx.send(DirectoryStats {
                    prompts: self.table.prompts() as u64,
                    blocks: self.table.blocks() as u64,
                })),
            }
        }
    }

    fn apply_updates(&mut self, updates: Vec<DirectoryUpdate>) {
        let now = Instant::now();
        for update in updates {
            match update {
                DirectoryUpdate::Holder(change) => self.table.apply_change(change),
                DirectoryUpdate::Used(used) => self.record_use(used, now),
                DirectoryUpdate::Kept { root, objects } => self.table.publish(root, objects, now),
                DirectoryUpdate::Unpublished { root, objects } => {
                    self.table.unpublish(root, &objects, now);
                }
            }
        }
    }

    fn record_use(&mut self, used: PromptUse, now: Instant) {
        let view = self.published.view.borrow().clone();
        let Some(policy) = retention_policy(&view, &used.arm) else {
            return;
        };
        let is_first_owner = used
            .blocks
            .first()
            .is_some_and(|root| self.is_first_owner(&view, root));
        if let Some(job) = self.table.record_use(used, &policy, is_first_owner, now)
            && let Err(e) = self.exports.try_send(job)
        {
            self.table.export_ended(&e.into_inner());
        }
    }

    fn is_first_owner(&self, view: &View, root: &BlockName) -> bool {
        view.owners(root)
            .first()
            .is_some_and(|owner| owner.id == self.me)
    }

    fn free(&mut self, store: &TargetId, share: f64) -> Vec<FreeJob> {
        let view = self.published.view.borrow().clone();
        let me = self.me.clone();
        let is_first_owner = |root: &BlockName| {
            let owners = view.owners(root);
            owners.first().is_some_and(|owner| owner.id == me)
        };
        self.table
            .free_least(store, share, is_first_owner, Instant::now())
    }
}

/// Returns the retention policy of an arm of the bundle in force.
fn retention_policy(view: &View, arm: &ArmName) -> Option<KeepingPolicy> {
    let bundle = &view.in_force.as_ref()?.bundle;
    let of_arm = bundle.arms.iter().find(|a| a.name == *arm);
    let policy = of_arm.map_or(&bundle.control, |a| &a.policy);
    Some(policy.keeping.clone())
}
