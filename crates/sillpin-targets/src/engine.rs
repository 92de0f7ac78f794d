//! Interface to model engines: runs, load reports, cache events and orders.

use crate::store::ObjectRef;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use sillpin_core::target::LoadReport;
use sillpin_core::{
    AdapterId, AttemptId, BlockName, Fence, Generation, ModelId, Outcome, TargetId, Tokens,
    WeightVersion,
};
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

/// Order to run a prompt at an engine.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RunOrder {
    /// The attempt; the engine repeats it in every document of the response.
    pub attempt: AttemptId,
    /// Model to run.
    pub model: ModelId,
    /// Weight version that the run is pinned to; an engine that serves another version refuses it.
    pub version: WeightVersion,
    /// Adapter to use with the model, if any.
    pub adapter: Option<AdapterId>,
    /// Names of the prompt's complete blocks.
    pub blocks: Vec<BlockName>,
    /// The prompt.
    pub prompt: String,
    /// Text that earlier attempts delivered to the caller, which the run continues.
    pub delivered: String,
    /// Number of tokens in `delivered`.
    pub start_index: u32,
    /// Maximum number of generated tokens, including those in `delivered`.
    pub max_tokens: u32,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Stored blocks to fetch before the prefill.
    pub imports: Vec<ObjectRef>,
    /// Other fields of the caller's request, such as sampling parameters, forwarded unchanged.
    #[serde(default)]
    pub parameters: serde_json::Map<String, serde_json::Value>,
}

/// Counts that an engine reports at the end of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunSummary {
    /// Number of generated tokens, including those that earlier attempts delivered.
    pub tokens: u32,
    /// Number of prompt tokens.
    pub prompt_tokens: Tokens,
    /// Prompt tokens found in the engine's cache.
    pub cached_tokens: Tokens,
    /// Prompt tokens fetched from stores.
    pub imported_tokens: Tokens,
    /// Bytes fetched from stores.
    pub imported_bytes: u64,
}

/// A document of a run's response stream.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunEvent {
    /// A generated token.
    Token {
        /// The attempt to which it belongs.
        attempt: AttemptId,
        /// Position of the token, starting with 0.
        index: u32,
        /// Text of the token.
        text: String,
    },
    /// The end mark; a response without it is incomplete.
    End {
        /// The attempt to which it belongs.
        attempt: AttemptId,
        /// Counts, against which the response is checked.
        summary: RunSummary,
    },
}

/// Cause of a failed engine call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum EngineFault {
    /// The engine could not be reached.
    #[display("out of reach")]
    Unreachable,
    /// The engine refused the order: it is leaving, is full, or serves another weight version.
    #[display("refused")]
    Refused,
    /// The engine refused the order because it serves the given weight version.
    #[display("serves weight version {_0}")]
    OtherVersion(WeightVersion),
    /// The response belongs to another attempt.
    #[display("answer of another attempt")]
    Crossed,
    /// The response ended early.
    #[display("answer broke off")]
    Cut,
    /// The token indexes or the counts in the end mark don't match the received tokens.
    #[display("answer does not add up")]
    Mismatch,
    /// The engine did not respond in time.
    #[display("nothing came in time")]
    Timeout,
}

/// A failed call of an engine, with its step, peer and outcome.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{step} at engine {peer}: {fault} ({outcome})")]
pub struct EngineError {
    /// The operation that failed.
    pub step: &'static str,
    /// The engine's address.
    pub peer: SocketAddr,
    /// The cause.
    #[error(not(source))]
    pub fault: EngineFault,
    /// Whether the engine carried out the order.
    pub outcome: Outcome,
}

/// A change of an engine's cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheChange {
    /// First block of the prompt for which the block was cached.
    pub root: BlockName,
    /// The block.
    pub block: BlockName,
    /// Whether it was stored in the cache (otherwise, removed).
    pub stored: bool,
}

/// Cache events after a requested sequence number. If the first number is not the next one, events
/// were lost.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Events with their sequence numbers, in order.
    pub events: Vec<(u64, CacheChange)>,
    /// Incarnation of the engine to which the sequence numbers belong.
    pub epoch: u64,
    /// Sequence number after which the next read continues.
    pub sequence: u64,
}

/// An order to write blocks to a store box.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ExportOrder {
    /// First block of the prompt, recorded in the seals.
    pub root: BlockName,
    /// Blocks to write, each with the generation of the new object.
    pub blocks: Vec<(BlockName, Generation)>,
    /// The store box.
    pub store: TargetId,
    /// Address of the store box.
    pub addr: SocketAddr,
}

/// Result of an export.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Exported {
    /// The written and sealed objects, ready to be published.
    pub objects: Vec<ObjectRef>,
}

/// An order to load a weight version.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LoadOrder {
    /// Fencing token; engines that check it refuse an order below the highest fence seen.
    pub fence: Fence,
    /// Model to load.
    pub model: ModelId,
    /// Version to load.
    pub version: WeightVersion,
    /// Address of the weight store to load from.
    pub weights: SocketAddr,
}

/// Response stream of a run.
pub trait RunStream: Send {
    /// Returns the next event, or `None` after the end mark.
    fn next(&mut self) -> impl Future<Output = Result<Option<RunEvent>, EngineError>> + Send;
}

/// A model engine.
pub trait Engine: Clone + Send + Sync + 'static {
    /// Response stream of this engine's runs.
    type Stream: RunStream;

    /// Starts a run; returns when the engine has accepted it.
    fn run(
        &self,
        peer: SocketAddr,
        order: &RunOrder,
        timeout: Duration,
    ) -> impl Future<Output = Result<Self::Stream, EngineError>> + Send;

    /// Resumes the response stream of a run at the token `cursor`.
    fn resume(
        &self,
        peer: SocketAddr,
        attempt: AttemptId,
        cursor: u32,
        timeout: Duration,
    ) -> impl Future<Output = Result<Self::Stream, EngineError>> + Send;

    /// Cancels a run.
    fn cancel(
        &self,
        peer: SocketAddr,
        attempt: AttemptId,
    ) -> impl Future<Output = Result<(), EngineError>> + Send;

    /// Reads the engine's load report.
    fn load(
        &self,
        peer: SocketAddr,
    ) -> impl Future<Output = Result<LoadReport, EngineError>> + Send;

    /// Reads cache events after `sequence` of `epoch`, waiting up to `wait` for the first.
    fn cache_events(
        &self,
        peer: SocketAddr,
        epoch: u64,
        sequence: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<CacheEvents, EngineError>> + Send;

    /// Orders the engine to write blocks to a store box.
    fn export(
        &self,
        peer: SocketAddr,
        order: &ExportOrder,
    ) -> impl Future<Output = Result<Exported, EngineError>> + Send;

    /// Orders the engine to load a weight version.
    fn load_weights(
        &self,
        peer: SocketAddr,
        order: &LoadOrder,
    ) -> impl Future<Output = Result<(), EngineError>> + Send;
}
