//! Calls of engines and cache stores outside the request path, and decoding of published values.

use crate::config::FleetConfig;
use crate::dialect::{EngineTime, PartId, Salt};
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use sillpin_core::{Fence, ModelId, PoolId, TargetId, Tokens, WeightVersion, ZoneId, text_type};
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

/// Whether a target accepts new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Presence {
    /// It accepts new work.
    Ready,
    /// It is leaving and accepts none.
    Leaving,
}

/// Weights that an engine serves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Served {
    /// The model.
    pub model: ModelId,
    /// Version of the weights.
    pub version: WeightVersion,
}

/// Distinguishes incarnations of a target under the same id: the start time that the target reports, by its own
/// clock. Clocks may go backwards, so incarnations are not ordered by it: the newer one is that of the newer entry in
/// the platform store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Life(pub u64);

text_type!(
    /// Version of a target's software; free text.
    SoftwareVersion
);

/// A target as it publishes itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetEntry {
    /// Id; a restarted target may use it again.
    pub id: TargetId,
    /// Its incarnation, if it reports one.
    pub life: Option<Life>,
    /// Its pool.
    pub pool: PoolId,
    /// Address on which it listens.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts new work.
    pub presence: Presence,
    /// Weights that it serves.
    pub served: Vec<Served>,
    /// Remaining time of its warm-up when it was published; zero if it is warm.
    pub cold: Duration,
    /// Version of its software, if it names one.
    pub software: Option<SoftwareVersion>,
}

/// Version of a model's weights that operators request on all engines.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WantedWeights {
    /// The model.
    pub model: ModelId,
    /// Version of the weights.
    pub version: WeightVersion,
}

/// An order of operators to move a pool's traffic onto targets with another version of their software.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReleaseOrder {
    /// The pool.
    pub pool: PoolId,
    /// The new version.
    pub version: SoftwareVersion,
    /// Time within which the release is to end.
    pub duration: Duration,
}

/// Phase of a release. Boxes that know different phases adopt the later one: a rollback ends what a box still sends
/// to the new version, and a success is only known from the platform store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
pub enum ReleasePhase {
    /// This box does not know yet: it has just started.
    #[display("unknown")]
    Unknown,
    /// The new version gets a part of the requests.
    #[display("running")]
    Running,
    /// The new version gets no requests.
    #[display("rolled back")]
    RolledBack,
    /// The new version gets all requests.
    #[display("succeeded")]
    Succeeded,
}

/// Phase of a release, as recorded in the platform store for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReleaseStatus {
    /// The new version.
    pub version: SoftwareVersion,
    /// The phase.
    pub phase: ReleasePhase,
}

/// Keys of published values in the platform store, and their decoding.
pub trait PublishedFormat: Clone + Send + Sync + 'static {
    /// Prefix of targets' entries.
    fn target_prefix(&self) -> &'static str;

    /// Prefix of what operators publish: the configuration, desired weights, evacuations and releases.
    fn operator_prefix(&self) -> &'static str;

    /// Whether `key` is that of the configuration.
    fn is_config(&self, key: &str) -> bool;

    /// Whether `key` is one of desired weights.
    fn is_weights(&self, key: &str) -> bool;

    /// The availability zone whose evacuation `key` stands for, whatever its value; `None` if `key` is of another
    /// kind.
    fn evacuation(&self, key: &str) -> Option<Result<ZoneId, DecodeError>>;

    /// Decodes a target's entry.
    fn target(&self, key: &str, value: &str) -> Result<TargetEntry, DecodeError>;

    /// Decodes the configuration.
    fn config(&self, key: &str, value: &str) -> Result<FleetConfig, DecodeError>;

    /// Decodes desired weights.
    fn weights(&self, key: &str, value: &str) -> Result<WantedWeights, DecodeError>;

    /// The pool whose release `key` orders, whatever its value; `None` if `key` is of another kind.
    fn release_pool(&self, key: &str) -> Option<Result<PoolId, DecodeError>>;

    /// Decodes the order of a release.
    fn release(&self, key: &str, value: &str) -> Result<ReleaseOrder, DecodeError>;

    /// Key under which the status of a pool's release is recorded for operators.
    fn release_status_key(&self, pool: &PoolId) -> String;

    /// Decodes the status of a release.
    fn release_status(&self, key: &str, value: &str) -> Result<ReleaseStatus, DecodeError>;

    /// Encodes the status of a release.
    fn encode_release_status(&self, status: &ReleaseStatus) -> String;
}

/// A published value that cannot be decoded.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{key}: {what}")]
pub struct DecodeError {
    /// Its key.
    pub key: String,
    /// What is wrong.
    pub what: String,
}

/// State that an engine reports on request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineReport {
    /// Its incarnation, if it reports one.
    pub life: Option<Life>,
    /// Whether it is carrying out an order.
    pub busy: bool,
    /// Number of orders that it has accepted.
    pub orders_taken: u64,
    /// Weights that it serves.
    pub served: Vec<Served>,
}

/// An order to load other weights.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightsOrder {
    /// The engine.
    pub target: TargetId,
    /// The model.
    pub model: ModelId,
    /// Version to load.
    pub version: WeightVersion,
    /// The box that gives the order.
    pub holder: String,
    /// Fencing token of the box's lease; orders with an older one are refused.
    pub fence: Fence,
    /// Number of orders that the engine must have accepted before this one.
    pub expected_orders: u64,
}

/// An engine's response to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum OrderOutcome {
    /// The engine carries the order out.
    #[display("accepted")]
    Accepted,
    /// The engine serves these weights already.
    #[display("already so")]
    Already,
    /// Another order is being carried out, or was accepted before.
    #[display("overtaken")]
    Overtaken,
    /// The order's fencing token, version or target is not acceptable.
    #[display("refused")]
    Refused,
}

/// Identifies a part in a cache store.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PartKey {
    /// Salt under which it is stored.
    pub salt: Salt,
    /// Name of the part.
    pub part: PartId,
}

/// One change of what a cache store holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartChange {
    /// Sequence number in the store's epoch.
    pub number: u64,
    /// The part.
    pub key: PartKey,
    /// Number of tokens that are completely stored; `None` if the part was removed.
    pub tokens: Option<Tokens>,
}

/// Changes of a cache store since a position.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreChanges {
    /// The store's epoch, which changes when it restarts.
    pub epoch: u64,
    /// Position at which the next read starts.
    pub next: u64,
    /// Whether changes were lost, so that the store has to be listed.
    pub lost: bool,
    /// Changes in order.
    pub changes: Vec<PartChange>,
    /// Current time on the engines' clock.
    pub clock: Option<EngineTime>,
}

/// Everything that a cache store holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreListing {
    /// The store's epoch.
    pub epoch: u64,
    /// Position at which reading of changes starts.
    pub next: u64,
    /// Complete parts.
    pub complete: Vec<(PartKey, Tokens)>,
    /// Parts that are being written, or whose writing was aborted.
    pub partial: Vec<PartialPart>,
}

/// An incomplete part in a cache store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PartialPart {
    /// The part.
    pub key: PartKey,
    /// Tokens that have arrived.
    pub arrived: Tokens,
    /// Tokens of the store's capacity that it occupies.
    pub reserved: Tokens,
}

/// An order to a cache store to free parts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FreeOrder {
    /// The parts.
    pub keys: Vec<PartKey>,
    /// The order is only valid in this epoch of the store.
    pub epoch: u64,
    /// The order is not valid after this time.
    pub until: EngineTime,
}

/// A failed call of an engine or cache store, with its step and peer.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{step} at {peer}: {what}")]
pub struct ControlError {
    /// Operation that failed.
    pub step: &'static str,
    /// Address of the engine or cache store.
    pub peer: SocketAddr,
    /// What went wrong.
    pub what: String,
    /// Whether the peer responded, although not as expected.
    pub responded: bool,
}

/// Client of engines and cache stores.
pub trait Control: Clone + Send + Sync + 'static {
    /// Returns the state of an engine.
    fn report(
        &self,
        addr: SocketAddr,
        target: &TargetId,
    ) -> impl Future<Output = Result<EngineReport, ControlError>> + Send;

    /// Orders an engine to load other weights.
    fn order(
        &self,
        addr: SocketAddr,
        order: &WeightsOrder,
    ) -> impl Future<Output = Result<OrderOutcome, ControlError>> + Send;

    /// Waits up to `wait` for changes of what a cache store holds.
    fn store_changes(
        &self,
        addr: SocketAddr,
        since: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<StoreChanges, ControlError>> + Send;

    /// Lists everything that a cache store holds.
    fn list_store(
        &self,
        addr: SocketAddr,
    ) -> impl Future<Output = Result<StoreListing, ControlError>> + Send;

    /// Frees parts in a cache store.
    fn free(
        &self,
        addr: SocketAddr,
        order: &FreeOrder,
    ) -> impl Future<Output = Result<(), ControlError>> + Send;
}
