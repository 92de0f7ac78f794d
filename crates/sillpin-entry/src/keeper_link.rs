//! The RPC connection to the keeper of this box.
//!
//! One task keeps the snapshot up to date by long polling. While the keeper is unreachable the
//! entry continues with its last snapshot: lookups return no hints, and calls that run at most once
//! are refused without being executed.

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

/// Time for which the keeper holds a poll open if there are no changes.
const FLEET_POLL_TIME: Duration = Duration::from_secs(2);

/// Timeout of other calls.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout of a claim: the keeper's own deadline plus the round trip.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Delay before reconnecting to the keeper.
const RECONNECT_PAUSE: Duration = Duration::from_millis(200);

/// Maximum number of queued reports; further ones are dropped.
const REPORT_QUEUE_LEN: usize = 4_096;

/// Time for which reports are collected into one batch.
const BATCH_TIME: Duration = Duration::from_millis(100);

/// A report to the keeper that is sent without waiting for the result.
#[derive(Debug)]
pub enum Report {
    /// A prompt whose blocks are now cached at an engine.
    PromptUsed(PromptUse),
    /// The decision record of a request that ended.
    Record(Box<DecisionRecord>),
    /// An arm to stop because the guard detected a breach.
    StopArm(Revision, ArmName, Breach),
    /// A target that refused or broke connections.
    Unreachable(TargetId),
    /// The outcome of a claimed call.
    EndClaim(ClaimEnd),
    /// Measurements of the arms so far.
    Arms(Vec<ArmFigures>),
}

/// Handle for calls and reports to the keeper.
#[derive(Clone)]
pub struct KeeperLink {
    client: watch::Receiver<Option<EntryLinkClient>>,
    reports: mpsc::Sender<Report>,
}

/// Starts the tasks that communicate with the keeper at `addr`.
pub fn start(addr: SocketAddr, log: Logger) -> (KeeperLink, watch::Receiver<Arc<Snapshot>>) {
    let (client_tx, client) = watch::channel(None);
    let (snapshot_tx, snapshot) = watch::channel(Arc::new(Snapshot::default()));
    let (reports, reports_rx) = mpsc::channel(REPORT_QUEUE_LEN);
    let poller = FleetPoller {
        addr,
        log,
        client: client_tx,
        snapshot: snapshot_tx,
        position: FleetPosition::default(),
    };
    tokio::spawn(poller.run());
    let link = KeeperLink { client, reports };
    tokio::spawn(link.clone().send_reports(reports_rx));
    (link, snapshot)
}

impl KeeperLink {
    fn client(&self) -> Option<EntryLinkClient> {
        self.client.borrow().clone()
    }

    /// Returns hints for the blocks of a prompt; none if the keeper does not reply in time.
    pub async fn find_blocks(&self, blocks: Vec<BlockName>, wait: Duration) -> BlockHints {
        let Some(client) = self.client() else {
            return BlockHints::default();
        };
        let wait_ms = wait.as_millis() as u64;
        let call = client.find_blocks(within(wait * 2), blocks, wait_ms);
        let reply = tokio::time::timeout(wait * 2, call).await;
        reply.ok().and_then(Result::ok).unwrap_or_default()
    }

    /// Claims a call that runs at most once. The claim is unavailable if the keeper does not reply
    /// in time.
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

    /// Queues a report; it is dropped if the queue is full.
    pub fn report(&self, report: Report) {
        let _ = self.reports.try_send(report);
    }

    async fn send_reports(self, mut rx: mpsc::Receiver<Report>) {
        let mut batch = Vec::new();
        while rx.recv_many(&mut batch, REPORT_QUEUE_LEN).await > 0 {
            let urgent = batch
                .iter()
                .any(|report| matches!(report, Report::Unreachable(_) | Report::EndClaim(_)));
            self.send_batch(std::mem::take(&mut batch)).await;
            if !urgent {
                tokio::time::sleep(BATCH_TIME).await;
            }
        }
    }

    /// Sends a batch of reports; drops them if the keeper is unreachable.
    async fn send_batch(&self, batch: Vec<Report>) {
        let Some(client) = self.client() else { return };
        let (mut prompts_used, mut records) = (Vec::new(), Vec::new());
        for report in batch {
            let cx = within(CALL_TIMEOUT);
            match report {
                Report::PromptUsed(prompt) => prompts_used.push(prompt),
                Report::Record(record) => records.push(*record),
                Report::StopArm(revision, arm, breach) => {
                    drop(client.stop_arm(cx, revision, arm, breach).await);
                }
                Report::Unreachable(target) => drop(client.report_unreachable(cx, target).await),
                Report::EndClaim(end) => drop(client.end_claim(cx, end).await),
                Report::Arms(figures) => drop(client.arms(cx, figures).await),
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

/// Keeps the connection to the keeper and polls it for changes of the fleet.
struct FleetPoller {
    addr: SocketAddr,
    log: Logger,
    client: watch::Sender<Option<EntryLinkClient>>,
    snapshot: watch::Sender<Arc<Snapshot>>,
    position: FleetPosition,
}

impl FleetPoller {
    async fn run(mut self) {
        let mut unreachable_since: Option<Instant> = None;
        loop {
            if let Ok(transport) = connect(self.addr).await {
                let client = EntryLinkClient::new(Config::default(), transport).spawn();
                self.client.send_replace(Some(client.clone()));
                if unreachable_since.take().is_some() {
                    event!(self.log, events::KEEPER_RECOVERED, "keeper" => %self.addr);
                }
                self.poll_fleet(client).await;
                self.client.send_replace(None);
            }
            if unreachable_since.is_none() {
                event!(self.log, events::KEEPER_UNREACHABLE, "keeper" => %self.addr);
                unreachable_since = Some(Instant::now());
            }
            tokio::time::sleep(RECONNECT_PAUSE).await;
        }
    }

    async fn poll_fleet(&mut self, client: EntryLinkClient) {
        loop {
            let wait_ms = FLEET_POLL_TIME.as_millis() as u64;
            let timeout = FLEET_POLL_TIME + CALL_TIMEOUT;
            let call = client.fleet(within(timeout), self.position, wait_ms);
            let Ok(Ok(update)) = tokio::time::timeout(timeout, call).await else {
                return;
            };
            self.position = update.known;
            let previous = self.snapshot.borrow().clone();
            self.snapshot
                .send_replace(Arc::new(previous.with_update(update)));
        }
    }
}
