//! Model engines: runs, loads, cache events and orders.

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

/// One run, as ordered at an engine.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RunOrder {
    /// This sending; the engine echoes it with everything it answers.
    pub attempt: AttemptId,
    /// Model to run.
    pub model: ModelId,
    /// Weight version that the run is pinned to; an engine that serves another refuses.
    pub version: WeightVersion,
    /// Adapter beside the model, if any.
    pub adapter: Option<AdapterId>,
    /// Names of the prompt's whole blocks.
    pub blocks: Vec<BlockName>,
    /// The prompt.
    pub prompt: String,
    /// Text already delivered to the caller by an earlier attempt, to be continued from.
    pub delivered: String,
    /// Tokens in `delivered`.
    pub start_index: u32,
    /// Tokens to generate in all, `start_index` included.
    pub max_tokens: u32,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Kept blocks to fetch before computing.
    pub imports: Vec<ObjectRef>,
    /// Further fields of the caller's request, such as sampling parameters, passed on as they are.
    #[serde(default)]
    pub parameters: serde_json::Map<String, serde_json::Value>,
}

/// What an engine says at a run's end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunSummary {
    /// Tokens generated in all, `start_index` included.
    pub tokens: u32,
    /// Tokens of the prompt.
    pub prompt_tokens: Tokens,
    /// Tokens of the prompt found in the engine's cache.
    pub cached_tokens: Tokens,
    /// Tokens of the prompt fetched from stores.
    pub imported_tokens: Tokens,
    /// Bytes fetched from stores.
    pub imported_bytes: u64,
}

/// One document of a run's answer.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunEvent {
    /// A generated token.
    Token {
        /// The attempt it answers.
        attempt: AttemptId,
        /// Its position, from 0.
        index: u32,
        /// Its text.
        text: String,
    },
    /// The run's end: without it an answer is not whole.
    End {
        /// The attempt it answers.
        attempt: AttemptId,
        /// Counts to check the answer against.
        summary: RunSummary,
    },
}

/// What went wrong at an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum EngineFault {
    /// It could not be reached.
    #[display("out of reach")]
    Unreachable,
    /// It refused the work: leaving, full, or of another weight version.
    #[display("refused")]
    Refused,
    /// It refused the work because it serves another weight version.
    #[display("serves weight version {_0}")]
    OtherVersion(WeightVersion),
    /// It answered for another attempt.
    #[display("answer of another attempt")]
    Crossed,
    /// The answer broke off.
    #[display("answer broke off")]
    Cut,
    /// The answer's end does not fit what came before.
    #[display("answer does not add up")]
    Mismatch,
    /// Nothing came for too long.
    #[display("nothing came in time")]
    Timeout,
}

/// A call of an engine that failed, with its step, peer and outcome.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{step} at engine {peer}: {fault} ({outcome})")]
pub struct EngineError {
    /// What was being done.
    pub step: &'static str,
    /// The engine's address.
    pub peer: SocketAddr,
    /// What went wrong.
    #[error(not(source))]
    pub fault: EngineFault,
    /// Whether the engine carried the order out.
    pub outcome: Outcome,
}

/// A change of an engine's cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheChange {
    /// First block of the prompt that brought the block in.
    pub root: BlockName,
    /// The block.
    pub block: BlockName,
    /// Whether it is cached now, or no more.
    pub stored: bool,
}

/// Cache events after a given one. A first sequence above the one asked for means a gap.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Events with their sequence numbers, in order.
    pub events: Vec<(u64, CacheChange)>,
    /// Life of the engine the numbers belong to.
    pub epoch: u64,
    /// Ask for events after this one next time.
    pub sequence: u64,
}

/// An order to write blocks to a store box.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ExportOrder {
    /// First block of the prompt, written into the seals.
    pub root: BlockName,
    /// Blocks to write, each with the generation of its writing.
    pub blocks: Vec<(BlockName, Generation)>,
    /// The store box.
    pub store: TargetId,
    /// Where the store box listens.
    pub addr: SocketAddr,
}

/// Objects that an export wrote and sealed.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Exported {
    /// The objects, ready to publish.
    pub objects: Vec<ObjectRef>,
}

/// An order to load a weight version.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LoadOrder {
    /// Engines that check refuse an order below the highest fence seen.
    pub fence: Fence,
    /// Model to load.
    pub model: ModelId,
    /// Version to load.
    pub version: WeightVersion,
    /// Weight store to load from.
    pub weights: SocketAddr,
}

/// A run's answer as it comes.
pub trait RunStream: Send {
    /// The next event; `None` after the end mark.
    fn next(&mut self) -> impl Future<Output = Result<Option<RunEvent>, EngineError>> + Send;
}

/// A model engine.
pub trait Engine: Clone + Send + Sync + 'static {
    /// How this engine streams.
    type Stream: RunStream;

    /// Starts a run; resolves when the engine has accepted it.
    fn run(
        &self,
        peer: SocketAddr,
        order: &RunOrder,
        timeout: Duration,
    ) -> impl Future<Output = Result<Self::Stream, EngineError>> + Send;

    /// Takes up a run's answer again at the token `cursor`.
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

    /// The engine's report of its load.
    fn load(
        &self,
        peer: SocketAddr,
    ) -> impl Future<Output = Result<LoadReport, EngineError>> + Send;

    /// Cache events after `sequence` of `epoch`, waiting up to `wait` for one.
    fn cache_events(
        &self,
        peer: SocketAddr,
        epoch: u64,
        sequence: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<CacheEvents, EngineError>> + Send;

    /// Writes blocks to a store box.
    fn export(
        &self,
        peer: SocketAddr,
        order: &ExportOrder,
    ) -> impl Future<Output = Result<Exported, EngineError>> + Send;

    /// Loads a weight version.
    fn load_weights(
        &self,
        peer: SocketAddr,
        order: &LoadOrder,
    ) -> impl Future<Output = Result<(), EngineError>> + Send;
}
