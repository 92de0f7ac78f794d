//! The connection to the keeper of this box.
//!
//! One task keeps the snapshot up to date by a waiting call. When the keeper is gone the entry goes
//! on with its last snapshot: look-ups then give no hints, and calls that run at most once are
//! refused as not run.

use crate::snapshot::Snapshot;
use sillpin_core::{ArmName, BlockName, Revision, TargetId};
use sillpin_policy::guard::Breach;
use sillpin_rpc::EntryLinkClient;
use sillpin_rpc::arms::ArmFigures;
use sillpin_rpc::claims::{ClaimEnd, ClaimReply, ClaimRequest};
use sillpin_rpc::directory::{BlockHints, PromptUse};
use sillpin_rpc::entry_link::FleetPosition;
use sillpin_rpc::records::DecisionRecord;
use sillpin_rpc::transport::{connect, within};
use sillpin_telemetry::{event, events};
use slog::Logger;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tarpc::client::Config;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// How long a call for changes waits.
const FLEET_WAIT: Duration = Duration::from_secs(2);

/// Longest wait for any other answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest wait for a claim: the keeper's own deadline and the way.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Pause before the next try to reach the keeper.
const RECONNECT_PAUSE: Duration = Duration::from_millis(200);

/// News that may wait for the keeper; more is dropped.
const NEWS_QUEUE: usize = 4_096;

/// How long news waits for more.
const NEWS_EVERY: Duration = Duration::from_millis(100);

/// News for the keeper that nobody waits for.
#[derive(Debug)]
pub enum News {
    /// A prompt was answered.
    Used(PromptUse),
    /// A request ended.
    Record(Box<DecisionRecord>),
    /// A guard stops an arm.
    StopArm(Revision, ArmName, Breach),
    /// A target refused connections or broke them.
    Suspect(TargetId),
    /// A claim ended.
    EndClaim(ClaimEnd),
    /// What the arms have measured so far.
    Arms(Vec<ArmFigures>),
}

/// Speaks to the keeper.
#[derive(Clone)]
pub struct KeeperLink {
    client: watch::Receiver<Option<EntryLinkClient>>,
    news: mpsc::Sender<News>,
}

/// Starts the tasks that speak to the keeper at `addr`.
pub fn start(addr: SocketAddr, log: Logger) -> (KeeperLink, watch::Receiver<Arc<Snapshot>>) {
    let (client_tx, client) = watch::channel(None);
    let (snapshot_tx, snapshot) = watch::channel(Arc::new(Snapshot::default()));
    let (news, news_rx) = mpsc::channel(NEWS_QUEUE);
    let follower = Follower {
        addr,
        log,
        client: client_tx,
        snapshot: snapshot_tx,
        known: FleetPosition::default(),
    };
    tokio::spawn(follower.run());
    let link = KeeperLink { client, news };
    tokio::spawn(link.clone().send_news(news_rx));
    (link, snapshot)
}

impl KeeperLink {
    fn client(&self) -> Option<EntryLinkClient> {
        self.client.borrow().clone()
    }

    /// Hints for a prompt's blocks; none when the keeper does not answer in time.
    pub async fn find_blocks(&self, blocks: Vec<BlockName>, wait: Duration) -> BlockHints {
        let Some(client) = self.client() else {
            return BlockHints::default();
        };
        let wait_ms = wait.as_millis() as u64;
        let call = client.find_blocks(within(wait * 2), blocks, wait_ms);
        let reply = tokio::time::timeout(wait * 2, call).await;
        reply.ok().and_then(Result::ok).unwrap_or_default()
    }

    /// Claims a call that runs at most once.
    pub async fn claim(&self, req: ClaimRequest) -> ClaimReply {
        let Some(client) = self.client() else {
            return ClaimReply::Unavailable;
        };
        let call = client.claim(within(CLAIM_TIMEOUT), req);
        let reply = tokio::time::timeout(CLAIM_TIMEOUT, call).await;
        reply
            .ok()
            .and_then(Result::ok)
            .unwrap_or(ClaimReply::Unavailable)
    }

    /// Tells the keeper something; dropped when too much waits.
    pub fn tell(&self, news: News) {
        let _ = self.news.try_send(news);
    }

    async fn send_news(self, mut rx: mpsc::Receiver<News>) {
        let mut batch = Vec::new();
        while rx.recv_many(&mut batch, NEWS_QUEUE).await > 0 {
            let urgent = batch
                .iter()
                .any(|news| matches!(news, News::Suspect(_) | News::EndClaim(_)));
            self.send_batch(std::mem::take(&mut batch)).await;
            if !urgent {
                tokio::time::sleep(NEWS_EVERY).await;
            }
        }
    }

    async fn send_batch(&self, batch: Vec<News>) {
        let Some(client) = self.client() else { return };
        let (mut prompts_used, mut records) = (Vec::new(), Vec::new());
        for news in batch {
            let cx = within(CALL_TIMEOUT);
            match news {
                News::Used(prompt) => prompts_used.push(prompt),
                News::Record(record) => records.push(*record),
                News::StopArm(revision, arm, breach) => {
                    drop(client.stop_arm(cx, revision, arm, breach).await);
                }
                News::Suspect(target) => drop(client.report_unreachable(cx, target).await),
                News::EndClaim(end) => drop(client.end_claim(cx, end).await),
                News::Arms(figures) => drop(client.arms(cx, figures).await),
            }
        }
        if !prompts_used.is_empty() {
            let _ = client
                .prompts_used(within(CALL_TIMEOUT), prompts_used)
                .await;
        }
        if !records.is_empty() {
            let _ = client.record(within(CALL_TIMEOUT), records).await;
        }
    }
}

struct Follower {
    addr: SocketAddr,
    log: Logger,
    client: watch::Sender<Option<EntryLinkClient>>,
    snapshot: watch::Sender<Arc<Snapshot>>,
    known: FleetPosition,
}

impl Follower {
    async fn run(mut self) {
        let mut lost_since: Option<Instant> = None;
        loop {
            if let Ok(transport) = connect(self.addr).await {
                let client = EntryLinkClient::new(Config::default(), transport).spawn();
                self.client.send_replace(Some(client.clone()));
                if lost_since.take().is_some() {
                    event!(self.log, events::KEEPER_RECOVERED, "keeper" => %self.addr);
                }
                self.follow(client).await;
                self.client.send_replace(None);
            }
            if lost_since.is_none() {
                event!(self.log, events::KEEPER_UNREACHABLE, "keeper" => %self.addr);
                lost_since = Some(Instant::now());
            }
            tokio::time::sleep(RECONNECT_PAUSE).await;
        }
    }

    async fn follow(&mut self, client: EntryLinkClient) {
        loop {
            let wait_ms = FLEET_WAIT.as_millis() as u64;
            let timeout = FLEET_WAIT + CALL_TIMEOUT;
            let call = client.fleet(within(timeout), self.known, wait_ms);
            let Ok(Ok(update)) = tokio::time::timeout(timeout, call).await else {
                return;
            };
            self.known = update.known;
            let before = self.snapshot.borrow().clone();
            self.snapshot.send_replace(Arc::new(before.after(update)));
        }
    }
}
