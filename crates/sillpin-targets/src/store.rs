//! Objects in store boxes.
//!
//! An object is one writing of one block: its name is block name and generation, and a generation
//! is never reused for the same block. It is written, then sealed with length and checksum, and
//! only then published in the directory of kept blocks.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use sillpin_core::target::LoadReport;
use sillpin_core::{BlockName, Bytes, Generation, TargetId};
use std::future::Future;
use std::net::SocketAddr;

/// Where a published object is, and what its reader must find there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectRef {
    /// The block it holds.
    pub block: BlockName,
    /// Which writing of it.
    pub generation: Generation,
    /// The store box.
    pub store: TargetId,
    /// Where the store box listens.
    pub addr: SocketAddr,
    /// Length of the content.
    pub len: Bytes,
    /// BLAKE3 of the content, in hexadecimal.
    pub checksum: String,
}

/// What a writer declares when it seals an object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seal {
    /// Length of the content.
    pub len: Bytes,
    /// BLAKE3 of the content, in hexadecimal.
    pub checksum: String,
    /// First block of the prompt, so that a lost directory can be rebuilt.
    pub root: BlockName,
}

/// A sealed object, as a store lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SealedObject {
    /// The block.
    pub block: BlockName,
    /// Which writing of it.
    pub generation: Generation,
    /// What its writer declared.
    pub seal: Seal,
}

/// A store box.
pub trait Store: Clone + Send + Sync + 'static {
    /// The store's report of its load and fill.
    fn load(&self, peer: SocketAddr)
    -> impl Future<Output = Result<LoadReport, StoreError>> + Send;

    /// Sealed objects behind `after` (block and generation), in order, at most `limit`.
    fn list(
        &self,
        peer: SocketAddr,
        after: Option<(BlockName, Generation)>,
        limit: usize,
    ) -> impl Future<Output = Result<Vec<SealedObject>, StoreError>> + Send;

    /// Frees an object. Only after nobody is handed a reference any more.
    fn free(
        &self,
        peer: SocketAddr,
        block: BlockName,
        generation: Generation,
    ) -> impl Future<Output = Result<(), StoreError>> + Send;
}

/// A call of a store box that failed, with its step and peer.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{step} at store {peer}: {what}")]
pub struct StoreError {
    /// What was being done.
    pub step: &'static str,
    /// The store's address.
    pub peer: SocketAddr,
    /// What went wrong.
    pub what: String,
}
