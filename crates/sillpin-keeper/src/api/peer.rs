//! The service for other keepers and for operators.

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

/// Serves keepers and operators.
#[derive(Clone)]
pub struct PeerApi {
    /// The fleet task.
    pub fleet: FleetHandle,
    /// This keeper's part of the directory.
    pub directory: DirectoryHandle,
    /// Decision records.
    pub records: RecordsHandle,
    /// Answers nothing more than this box's name when the fleet task has ended.
    pub me: (sillpin_core::BoxId, ZoneId),
}

impl PeerLink for PeerApi {
    async fn exchange(self, _: Context, digest: Digest) -> Exchange {
        let asked = self.fleet.ask(|tx| FleetMsg::Exchange(digest, tx));
        asked.await.unwrap_or_default()
    }

    async fn push(self, _: Context, items: Vec<Item>) {
        self.fleet.tell(FleetMsg::Apply(items)).await;
    }

    async fn look_up(self, _: Context, blocks: Vec<BlockName>) -> BlockHints {
        let asked = self.directory.ask(|tx| DirectoryMsg::LookUp(blocks, tx));
        asked.await.unwrap_or_default()
    }

    async fn update_directory(self, _: Context, news: Vec<DirectoryUpdate>) {
        self.directory.tell(DirectoryMsg::Learn(news)).await;
    }

    async fn status(self, _: Context) -> FleetStatus {
        let stats = self.directory.ask(DirectoryMsg::Stats).await;
        let DirectoryStats { prompts, blocks } = stats.unwrap_or_default();
        let status = self.fleet.ask(FleetMsg::Status).await;
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
