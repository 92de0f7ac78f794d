//! RPC service for other keepers and for operators.

use crate::directory::{DirectoryHandle, DirectoryMsg, DirectoryStats};
use crate::fleet::{FleetHandle, FleetMsg};
use crate::records::RecordsHandle;
use sillpin_core::{BlockName, RequestId, Revision, ZoneId};
use sillpin_rpc::arms::ArmFigures;
use sillpin_rpc::directory::{BlockHints, DirectoryUpdate};
use sillpin_rpc::gossip::{Digest, Exchange, Item};
use sillpin_rpc::peer_link::{FleetStatus, PeerLink};
use sillpin_rpc::records::DecisionRecord;
use tarpc::context::Context;

/// Implements the service for keepers and operators.
#[derive(Clone)]
pub struct PeerApi {
    /// Handle of the fleet task.
    pub fleet: FleetHandle,
    /// This keeper's part of the directory.
    pub directory: DirectoryHandle,
    /// Decision records of this box's entry.
    pub records: RecordsHandle,
    /// Id and zone of this box: all that `status` returns once the fleet task has ended.
    pub me: (sillpin_core::BoxId, ZoneId),
}

impl PeerLink for PeerApi {
    async fn exchange(self, _: Context, digest: Digest) -> Exchange {
        let reply = self.fleet.query(|tx| FleetMsg::Exchange(digest, tx));
        reply.await.unwrap_or_default()
    }

    async fn push(self, _: Context, items: Vec<Item>) {
        self.fleet.send(FleetMsg::Apply(items)).await;
    }

    async fn look_up(self, _: Context, blocks: Vec<BlockName>) -> BlockHints {
        let reply = self.directory.query(|tx| DirectoryMsg::LookUp(blocks, tx));
        reply.await.unwrap_or_default()
    }

    async fn update_directory(self, _: Context, updates: Vec<DirectoryUpdate>) {
        self.directory.send(DirectoryMsg::Update(updates)).await;
    }

    async fn status(self, _: Context) -> FleetStatus {
        let stats = self.directory.query(DirectoryMsg::Stats).await;
        let DirectoryStats { prompts, blocks } = stats.unwrap_or_default();
        let status = self.fleet.query(FleetMsg::Status).await;
        let (by, zone) = self.me;
        let mut status = status.unwrap_or_else(|| FleetStatus {
            by,
            zone,
            revision: Revision(0),
            bundle: None,
            digest: None,
            boxes: Vec::new(),
            targets: Vec::new(),
            stopped_arms: Vec::new(),
            platform_age_ms: None,
            box_list_age_ms: None,
            directory_prompts: 0,
            directory_blocks: 0,
        });
        status.directory_prompts = prompts;
        status.directory_blocks = blocks;
        status
    }

    async fn arms(self, _: Context) -> Vec<ArmFigures> {
        self.records.arms().await
    }

    async fn explain(self, _: Context, request: RequestId) -> Option<DecisionRecord> {
        self.records.find(request).await
    }
}
