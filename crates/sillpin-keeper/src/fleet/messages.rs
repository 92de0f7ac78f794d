//! Messages to the fleet task and the handle that sends them.

use sillpin_bundle::Accepted;
use sillpin_core::target::BoxList;
use sillpin_core::{ArmName, LoadReport, Revision, TargetId, ZoneId};
use sillpin_policy::guard::Breach;
use sillpin_rpc::entry_link::{FleetPosition, FleetUpdate};
use sillpin_rpc::gossip::{Digest, Exchange, Item, ItemVersion, Organisation};
use sillpin_rpc::peer_link::FleetStatus;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

/// Result of polling a target.
#[derive(Debug, Clone, PartialEq)]
pub enum PollResult {
    /// The target returned its load.
    Load(LoadReport),
    /// The target did not respond.
    Failed,
}

/// Messages to the fleet task; variants with a sender are queries.
pub enum FleetMsg {
    /// Items received from a peer.
    Apply(Vec<Item>),
    /// The box list read from the platform, and when it was requested.
    BoxList(BoxList, Instant),
    /// A bundle read from the platform.
    Bundle(Accepted),
    /// Organisations read from the platform, with their version.
    Organisations(Vec<Organisation>, ItemVersion),
    /// Result of polling a target.
    Target(TargetId, PollResult),
    /// Stops an arm in this zone.
    StopArm(Revision, ArmName, Breach),
    /// Marks this box as leaving.
    Leave,
    /// The platform responded to a call.
    PlatformResponded,
    /// Queries the digest to send to a peer of a zone.
    Digest(ZoneId, oneshot::Sender<Digest>),
    /// Queries the reply to a digest.
    Exchange(Digest, oneshot::Sender<Exchange>),
    /// Queries items by the hashes of their keys.
    ItemsByHash(Vec<u64>, oneshot::Sender<Vec<Item>>),
    /// Queries the changes since a position.
    Update(FleetPosition, oneshot::Sender<FleetUpdate>),
    /// Queries the status for operators.
    Status(oneshot::Sender<FleetStatus>),
}

/// Sends messages to the fleet task.
#[derive(Clone)]
pub struct FleetHandle {
    pub(super) tx: mpsc::Sender<FleetMsg>,
}

impl FleetHandle {
    /// Sends a message to the task.
    pub async fn send(&self, msg: FleetMsg) {
        let _ = self.tx.send(msg).await;
    }

    /// Sends a query to the task and returns the reply, or `None` if the task has ended.
    pub async fn query<T>(&self, msg: impl FnOnce(oneshot::Sender<T>) -> FleetMsg) -> Option<T> {
        let (tx, rx) = oneshot::channel();
        self.send(msg(tx)).await;
        rx.await.ok()
    }
}
