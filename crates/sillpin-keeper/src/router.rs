//! Carries news to the owners of roots, in batches.

use crate::directory::{DirectoryHandle, DirectoryMsg};
use crate::fleet::Published;
use crate::peers::Peers;
use sillpin_core::BoxId;
use sillpin_rpc::directory::DirectoryUpdate;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;

/// News that may wait; more make their senders wait.
const QUEUE_LEN: usize = 4_096;

/// How long news waits for more.
const BATCH_EVERY: Duration = Duration::from_millis(50);

/// Longest wait for an owner to take news.
const LEARN_TIMEOUT: Duration = Duration::from_secs(1);

/// Takes news for the owners of their roots.
#[derive(Clone)]
pub struct RouterHandle {
    tx: mpsc::Sender<DirectoryUpdate>,
}

impl RouterHandle {
    /// Sends news; it may be lost on the way, as hints may.
    pub async fn send(&self, news: DirectoryUpdate) {
        let _ = self.tx.send(news).await;
    }
}

/// Starts the router; it ends with its last handle.
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
        let mut flush = tokio::time::interval(BATCH_EVERY);
        loop {
            tokio::select! {
                news = rx.recv() => match news {
                    Some(news) => self.sort(news).await,
                    None => return,
                },
                _ = flush.tick() => self.flush(),
            }
        }
    }

    async fn sort(&mut self, news: DirectoryUpdate) {
        let Some(root) = news.root() else { return };
        let view = self.published.view.borrow().clone();
        for owner in view.owners(&root) {
            if owner.id == self.me {
                self.directory
                    .tell(DirectoryMsg::Learn(vec![news.clone()]))
                    .await;
            } else {
                self.batches
                    .entry(owner.addr)
                    .or_default()
                    .push(news.clone());
            }
        }
    }

    fn flush(&mut self) {
        for (peer, batch) in self.batches.drain() {
            let peers = self.peers.clone();
            tokio::spawn(async move {
                let step = "tell an owner";
                let call = peers.call(step, peer, LEARN_TIMEOUT, |client, cx| async move {
                    client.update_directory(cx, batch).await
                });
                let _ = call.await;
            });
        }
    }
}
