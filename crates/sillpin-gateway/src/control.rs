//! Calls of targets and stores outside the request path, and how published values are decoded.

use crate::config::FleetConfig;
use crate::dialect::{EngineTime, PartId, Salt};
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use sillpin_core::{Fence, ModelId, PoolId, TargetId, Tokens, WeightVersion, ZoneId};
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

/// Whether a target takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Presence {
    /// It does.
    Ready,
    /// It is leaving.
    Leaving,
}

/// Weights that an engine serves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Served {
    /// The model.
    pub model: ModelId,
    /// Their version.
    pub version: WeightVersion,
}

/// Tells lives of a target apart that has the same id in all of them: when it says that it started, by its own clock. Clocks go back too, so lives
/// are not put in order by it: the newer one is that of the newer entry in the platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Life(pub u64);

/// A target as it publishes itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetEntry {
    /// Its id; it may start again under it.
    pub id: TargetId,
    /// Which life it is in, if it says so.
    pub life: Option<Life>,
    /// Its pool.
    pub pool: PoolId,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub presence: Presence,
    /// Weights that it serves.
    pub served: Vec<Served>,
    /// For how long it was to stay cold when it said so; zero: it is warm.
    pub cold: Duration,
}

/// A version of weights that operators want everywhere.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WantedWeights {
    /// The model.
    pub model: ModelId,
    /// The version.
    pub version: WeightVersion,
}

/// Where each published kind of thing lies in the platform's store, and how it is decoded.
pub trait Published: Clone + Send + Sync + 'static {
    /// Prefix of targets' entries.
    fn target_prefix(&self) -> &'static str;

    /// Prefix of what operators publish: the configuration, wanted weights and evacuations.
    fn operator_prefix(&self) -> &'static str;

    /// Whether the configuration lies at `key`.
    fn is_config(&self, key: &str) -> bool;

    /// Whether wanted weights lie at `key`.
    fn is_weights(&self, key: &str) -> bool;

    /// The availability zone whose evacuation stands at `key`, whatever its value says; `None` if `key` is of another kind.
    fn evacuation(&self, key: &str) -> Option<Result<ZoneId, DecodeError>>;

    /// Decodes a target's entry.
    fn target(&self, key: &str, value: &str) -> Result<TargetEntry, DecodeError>;

    /// Decodes the configuration.
    fn config(&self, key: &str, value: &str) -> Result<FleetConfig, DecodeError>;

    /// Decodes wanted weights.
    fn weights(&self, key: &str, value: &str) -> Result<WantedWeights, DecodeError>;
}

/// A published value that cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{key}: {what}")]
pub struct DecodeError {
    /// Where it lies.
    pub key: String,
    /// What is wrong.
    pub what: String,
}

/// What an engine says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineReport {
    /// Which life it is in, if it says so.
    pub life: Option<Life>,
    /// Whether an order is being carried out.
    pub busy: bool,
    /// Orders that it has taken.
    pub orders_taken: u64,
    /// Weights that it serves.
    pub served: Vec<Served>,
}

/// An order to serve other weights.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightsOrder {
    /// The engine.
    pub target: TargetId,
    /// The model.
    pub model: ModelId,
    /// The version.
    pub version: WeightVersion,
    /// Who orders.
    pub holder: String,
    /// Orders the holders' orders.
    pub fence: Fence,
    /// Orders that the engine must have taken before.
    pub expected_orders: u64,
}

/// What an engine made of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum OrderOutcome {
    /// It carries the order out.
    #[display("accepted")]
    Accepted,
    /// It serves these weights already.
    #[display("already so")]
    Already,
    /// Another order is under way, or came before.
    #[display("overtaken")]
    Overtaken,
    /// The order is not acceptable: fence, version or target.
    #[display("refused")]
    Refused,
}

/// One part that a store holds.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KeptKey {
    /// Salt under which it was made.
    pub salt: Salt,
    /// Its name.
    pub part: PartId,
}

/// A change of what a store holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptChange {
    /// Its number in the store's life.
    pub number: u64,
    /// The part.
    pub key: KeptKey,
    /// Tokens whole now; `None`: it is gone.
    pub tokens: Option<Tokens>,
}

/// News of a store since a position.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeptNews {
    /// The store's life.
    pub epoch: u64,
    /// Where the next reading begins.
    pub next: u64,
    /// Whether changes were lost: list the store.
    pub lost: bool,
    /// Changes in order.
    pub changes: Vec<KeptChange>,
    /// The engines' clock.
    pub clock: Option<EngineTime>,
}

/// All that a store holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeptList {
    /// The store's life.
    pub epoch: u64,
    /// Where the reading of changes begins.
    pub next: u64,
    /// Whole parts.
    pub whole: Vec<(KeptKey, Tokens)>,
    /// Parts that are being written or broke off.
    pub partial: Vec<PartialPart>,
}

/// A part of a store that is not whole.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PartialPart {
    /// The part.
    pub key: KeptKey,
    /// Tokens that have arrived.
    pub arrived: Tokens,
    /// Tokens of room that it takes.
    pub room: Tokens,
}

/// Parts to be freed in one life of a store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FreeOrder {
    /// The parts.
    pub keys: Vec<KeptKey>,
    /// Only in this life of the store.
    pub epoch: u64,
    /// Not after this moment.
    pub until: EngineTime,
}

/// A call of a target that failed, with its step and peer.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{step} at {peer}: {what}")]
pub struct ControlError {
    /// What was being done.
    pub step: &'static str,
    /// Who was asked.
    pub peer: SocketAddr,
    /// What went wrong.
    pub what: String,
}

/// Calls of engines and stores.
pub trait Control: Clone + Send + Sync + 'static {
    /// What an engine says of itself.
    fn report(
        &self,
        addr: SocketAddr,
        target: &TargetId,
    ) -> impl Future<Output = Result<EngineReport, ControlError>> + Send;

    /// Orders an engine to serve other weights.
    fn order(
        &self,
        addr: SocketAddr,
        order: &WeightsOrder,
    ) -> impl Future<Output = Result<OrderOutcome, ControlError>> + Send;

    /// Waits up to `wait` for changes of what a store holds.
    fn kept_news(
        &self,
        addr: SocketAddr,
        since: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<KeptNews, ControlError>> + Send;

    /// Everything that a store holds.
    fn kept_list(
        &self,
        addr: SocketAddr,
    ) -> impl Future<Output = Result<KeptList, ControlError>> + Send;

    /// Frees parts of a store.
    fn free(
        &self,
        addr: SocketAddr,
        order: &FreeOrder,
    ) -> impl Future<Output = Result<(), ControlError>> + Send;
}
