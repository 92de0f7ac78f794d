//! Sends directory updates, in batches, to the keepers that own the roots concerned.

use crate::directory::{DirectoryHandle, DirectoryMsg};
use crate::fleet::Published;
use crate::peers::Peers;
use sillpin_core::BoxId;
use sillpin_rpc::directory::DirectoryUpdate;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;

/// Maximum number of queued updates; when the queue is full, senders wait.
const QUEUE_LEN: usize = 4_096;

/// Interval at which batches are sent.
const BATCH_INTERVAL: Duration = Duration::from_millis(50);

/// Timeout for sending a batch to an owner.
const UPDATE_TIMEOUT: Duration = Duration::from_secs(1);

/// Queues updates for the owners of their roots.
#[derive(Clone)]
pub struct RouterHandle {
    tx: mpsc::Sender<DirectoryUpdate>,
}

impl RouterHandle {
    /// Queues an update. It may be lost in transit: the directory only holds hints.
    pub async fn send(&self, update: DirectoryUpdate) {
        let _ = self.tx.send(update).await;
    }
}

/// Starts the router, which stops when its last handle is dropped.
pub fn start(
    me: BoxId,
    published: Published,
    peers: Peers,
    directory: DirectoryHandle,
) -> RouterHandle {
    let (tx, rx) = mpsc::channel(QUEUE_LEN);
    let router = Router {
        me,
        published,
        peers,
        directory,
        batches: HashMap::new(),
    };
    tokio::spawn(router.run(rx));
    RouterHandle { tx }
}

struct Router {
    me: BoxId,
    published: Published,
    peers: Peers,
    directory: DirectoryHandle,
    batches: HashMap<SocketAddr, Vec<DirectoryUpdate>>,
}

impl Router {
    async fn run(mut self, mut rx: mpsc::Receiver<DirectoryUpdate>) {
        let mut flush = tokio::time::interval(BATCH_INTERVAL);
        loop {
            tokio::select! {
                update = rx.recv() => match update {
                    Some(update) => self.route(update).await,
                    None => return,
                },
                _ = flush.tick() => self.flush(),
            }
        }
    }

    async fn route(&mut self, update: DirectoryUpdate) {
        let Some(root) = update.root() else { return };
        let view = self.published.view.borrow().clone();
        for owner in view.owners(&root) {
            if owner.id == self.me {
                self.directory
                    .send(DirectoryMsg::Update(vec![update.clone()]))
                    .await;
            } else {
                self.batches
                    .entry(owner.addr)
                    .or_default()
                    .push(update.clone());
            }
        }
    }

    fn flush(&mut self) {
        for (peer, batch) in self.batches.drain() {
            let peers = self.peers.clone();
            tokio::spawn(async move {
                let step = "send updates to an owner";
                let call = peers.call(step, peer, UPDATE_TIMEOUT, |client, cx| async move {
                    client.update_directory(cx, batch).await
                });
                let _ = call.await;
            });
        }
    }
}
