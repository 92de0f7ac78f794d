//! Messages to the fleet task, and the handle that sends them.

use sillpin_bundle::Accepted;
use sillpin_core::target::BoxList;
use sillpin_core::{ArmName, LoadReport, Revision, TargetId, ZoneId};
use sillpin_policy::guard::Breach;
use sillpin_rpc::entry_link::{FleetPosition, FleetUpdate};
use sillpin_rpc::gossip::{Digest, Exchange, Item, ItemVersion, Organisation};
use sillpin_rpc::peer_link::FleetStatus;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

/// One reading of a target.
#[derive(Debug, Clone, PartialEq)]
pub enum TargetReading {
    /// It gave its load.
    Load(LoadReport),
    /// It did not answer.
    Failed,
}

/// What can be said to and asked of the fleet task.
pub enum FleetMsg {
    /// Items of a peer.
    Apply(Vec<Item>),
    /// The box list, as read, and when it was asked for.
    BoxList(BoxList, Instant),
    /// A revision, as read.
    Bundle(Accepted),
    /// Organisations, as read.
    Organisations(Vec<Organisation>, ItemVersion),
    /// A reading of a target.
    Target(TargetId, TargetReading),
    /// An arm is to stop in this zone.
    StopArm(Revision, ArmName, Breach),
    /// This box leaves.
    Leave,
    /// The platform answered.
    PlatformAnswered,
    /// Asks for a digest for a peer of a zone.
    Digest(ZoneId, oneshot::Sender<Digest>),
    /// Asks for the answer to a digest.
    Exchange(Digest, oneshot::Sender<Exchange>),
    /// Asks for items by hash.
    Wanted(Vec<u64>, oneshot::Sender<Vec<Item>>),
    /// Asks what changed.
    Update(FleetPosition, oneshot::Sender<FleetUpdate>),
    /// Asks for the operators' view.
    Status(oneshot::Sender<FleetStatus>),
}

/// Sends messages to the fleet task. After the task's end, queries answer with defaults.
#[derive(Clone)]
pub struct FleetHandle {
    pub(super) tx: mpsc::Sender<FleetMsg>,
}

impl FleetHandle {
    /// Tells the task something.
    pub async fn tell(&self, msg: FleetMsg) {
        let _ = self.tx.send(msg).await;
    }

    /// Asks the task something; `None` after its end.
    pub async fn ask<T>(&self, msg: impl FnOnce(oneshot::Sender<T>) -> FleetMsg) -> Option<T> {
        let (tx, rx) = oneshot::channel();
        self.tell(msg(tx)).await;
        rx.await.ok()
    }
}
