//! RPC service for the entry of this box.

use crate::claims::Journal;
use crate::directory::{DirectoryHandle, DirectoryMsg};
use crate::fleet::{FleetHandle, FleetMsg, PollResult, Published};
use crate::peers::Peers;
use crate::records::RecordsHandle;
use crate::router::RouterHandle;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use sillpin_core::{ArmName, BlockName, BoxId, Revision, TargetId};
use sillpin_platform::Platform;
use sillpin_policy::guard::Breach;
use sillpin_rpc::arms::ArmFigures;
use sillpin_rpc::claims::{ClaimEnd, ClaimReply, ClaimRequest};
use sillpin_rpc::directory::{BlockHints, DirectoryUpdate, PromptUse};
use sillpin_rpc::entry_link::{EntryLink, FleetPosition, FleetUpdate};
use sillpin_rpc::records::DecisionRecord;
use std::net::SocketAddr;
use std::time::Duration;
use tarpc::context::Context;
use tokio::time::Instant;

/// Maximum wait for a change of the fleet state.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// How long changes are collected before they are sent.
const COLLECT_TIME: Duration = Duration::from_millis(100);

/// Implements the service for the entry.
#[derive(Clone)]
pub struct EntryApi<P> {
    /// This box.
    pub me: BoxId,
    /// Handle of the fleet task.
    pub fleet: FleetHandle,
    /// State that the fleet task publishes.
    pub published: Published,
    /// This keeper's part of the directory.
    pub directory: DirectoryHandle,
    /// Sends directory updates to the owners of roots.
    pub router: RouterHandle,
    /// Connections to other keepers.
    pub peers: Peers,
    /// Journal of calls that run at most once.
    pub journal: Journal<P>,
    /// Decision records of this box's entry.
    pub records: RecordsHandle,
}

impl<P: Platform> EntryApi<P> {
    async fn query_owner(
        &self,
        owner: Option<SocketAddr>,
        blocks: Vec<BlockName>,
        wait: Duration,
    ) -> BlockHints {
        let Some(owner) = owner else {
            let hints = self.directory.query(|tx| DirectoryMsg::LookUp(blocks, tx));
            return hints.await.unwrap_or_default();
        };
        let step = "look up blocks";
        let call = self.peers.call(step, owner, wait, |client, cx| async move {
            client.look_up(cx, blocks).await
        });
        call.await.unwrap_or_default()
    }
}

impl<P: Platform> EntryLink for EntryApi<P> {
    async fn fleet(self, _: Context, known: FleetPosition, wait_ms: u64) -> FleetUpdate {
        let deadline = Instant::now() + Duration::from_millis(wait_ms).min(MAX_WAIT);
        let mut stamp = self.published.stamp.clone();
        loop {
            stamp.mark_unchanged();
            let update = self.fleet.query(|tx| FleetMsg::Update(known, tx)).await;
            let update = update.unwrap_or_default();
            if has_changes(&update) || Instant::now() >= deadline {
                return update;
            }
            let _ = tokio::time::timeout_at(deadline, stamp.changed()).await;
            tokio::time::sleep(COLLECT_TIME).await;
        }
    }

    async fn find_blocks(self, _: Context, blocks: Vec<BlockName>, deadline_ms: u64) -> BlockHints {
        let wait = Duration::from_millis(deadline_ms);
        let view = self.published.view.borrow().clone();
        let Some(root) = blocks.first() else {
            return BlockHints::default();
        };
        let owners = view.owners(root);
        let mut replies: FuturesUnordered<_> = owners
            .iter()
            .map(|owner| {
                let addr = (owner.id != self.me).then_some(owner.addr);
                self.query_owner(addr, blocks.clone(), wait)
            })
            .collect();
        let mut hints = BlockHints::default();
        let deadline = Instant::now() + wait;
        while let Ok(Some(more)) = tokio::time::timeout_at(deadline, replies.next()).await {
            hints = hints.merge(more);
            if !hints.is_empty() {
                break;
            }
        }
        hints
    }

    async fn prompts_used(self, _: Context, prompts: Vec<PromptUse>) {
        for prompt in prompts {
            self.router.send(DirectoryUpdate::Used(prompt)).await;
        }
    }

    async fn claim(self, _: Context, req: ClaimRequest) -> ClaimReply {
        self.journal.claim(req).await
    }

    async fn end_claim(self, _: Context, end: ClaimEnd) {
        self.journal.end(end);
    }

    async fn record(self, _: Context, records: Vec<DecisionRecord>) {
        self.records.add(records).await;
    }

    async fn stop_arm(self, _: Context, revision: Revision, arm: ArmName, breach: Breach) {
        let msg = FleetMsg::StopArm(revision, arm, breach);
        self.fleet.send(msg).await;
    }

    async fn arms(self, _: Context, figures: Vec<ArmFigures>) {
        self.records.set_arms(figures).await;
    }

    async fn report_unreachable(self, _: Context, target: TargetId) {
        let msg = FleetMsg::Target(target, PollResult::Failed);
        self.fleet.send(msg).await;
    }
}

fn has_changes(update: &FleetUpdate) -> bool {
    update.complete
        || !update.targets.is_empty()
        || update.bundle.is_some()
        || update.organisations.is_some()
        || update.stopped_arms.is_some()
}
