//! The task that owns the table.

use super::table::{DirectoryTable, ExportJob, FreeJob};
use crate::fleet::Published;
use crate::view::View;
use sillpin_core::{ArmName, BlockName, BoxId, TargetId};
use sillpin_policy::set::KeepingPolicy;
use sillpin_rpc::directory::{BlockHints, DirectoryUpdate, PromptUse};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

/// Messages that may wait.
const QUEUE_LEN: usize = 1_024;

/// Size of the table.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DirectoryStats {
    /// Prompts known.
    pub prompts: u64,
    /// Blocks known.
    pub blocks: u64,
}

/// What can be said to and asked of the directory task.
pub enum DirectoryMsg {
    /// News of owned roots.
    Learn(Vec<DirectoryUpdate>),
    /// Asks for hints.
    LookUp(Vec<BlockName>, oneshot::Sender<BlockHints>),
    /// An export ended.
    ExportEnded(ExportJob),
    /// Asks to unpublish a share of a store's objects, those worth least.
    Free(TargetId, f64, oneshot::Sender<Vec<FreeJob>>),
    /// Asks for the table's size.
    Stats(oneshot::Sender<DirectoryStats>),
}

/// Sends messages to the directory task.
#[derive(Clone)]
pub struct DirectoryHandle {
    tx: mpsc::Sender<DirectoryMsg>,
}

impl DirectoryHandle {
    /// Tells the task something.
    pub async fn tell(&self, msg: DirectoryMsg) {
        let _ = self.tx.send(msg).await;
    }

    /// Asks the task something; `None` after its end.
    pub async fn ask<T>(&self, msg: impl FnOnce(oneshot::Sender<T>) -> DirectoryMsg) -> Option<T> {
        let (tx, rx) = oneshot::channel();
        self.tell(msg(tx)).await;
        rx.await.ok()
    }
}

struct Task {
    me: BoxId,
    table: DirectoryTable,
    published: Published,
    exports: mpsc::Sender<ExportJob>,
}

/// Starts the task, which hands exports over to `exports`; it ends with its last handle.
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
                DirectoryMsg::Learn(news) => self.learn(news),
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

    fn learn(&mut self, news: Vec<DirectoryUpdate>) {
        let now = Instant::now();
        for news in news {
            match news {
                DirectoryUpdate::Holder(change) => self.table.holder_changed(change),
                DirectoryUpdate::Used(used) => self.used(used, now),
                DirectoryUpdate::Kept { root, objects } => self.table.kept(root, objects, now),
                DirectoryUpdate::Unpublished { root, objects } => {
                    self.table.unpublish(root, &objects, now);
                }
            }
        }
    }

    fn used(&mut self, used: PromptUse, now: Instant) {
        let view = self.published.view.borrow().clone();
        let Some(policy) = keeping(&view, &used.arm) else {
            return;
        };
        let mine = used
            .blocks
            .first()
            .is_some_and(|root| self.is_first(&view, root));
        if let Some(job) = self.table.used(used, &policy, mine, now)
            && let Err(e) = self.exports.try_send(job)
        {
            self.table.export_ended(&e.into_inner());
        }
    }

    fn is_first(&self, view: &View, root: &BlockName) -> bool {
        view.owners(root)
            .first()
            .is_some_and(|owner| owner.id == self.me)
    }

    fn free(&mut self, store: &TargetId, share: f64) -> Vec<FreeJob> {
        let view = self.published.view.borrow().clone();
        let me = self.me.clone();
        let mine = |root: &BlockName| {
            let owners = view.owners(root);
            owners.first().is_some_and(|owner| owner.id == me)
        };
        self.table.free_least(store, share, mine, Instant::now())
    }
}

/// The keeping policy of an arm of the bundle in force.
fn keeping(view: &View, arm: &ArmName) -> Option<KeepingPolicy> {
    let bundle = &view.in_force.as_ref()?.bundle;
    let of_arm = bundle.arms.iter().find(|a| a.name == *arm);
    let policy = of_arm.map_or(&bundle.control, |a| &a.policy);
    Some(policy.keeping.clone())
}
