//! Interface to store boxes and their objects.
//!
//! An object holds one block. It is identified by block name and generation; a generation is never
//! reused for the same block. An object is written, then sealed with length and checksum, and only
//! then published in the block directory.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use sillpin_core::target::LoadReport;
use sillpin_core::{BlockName, Bytes, Generation, TargetId};
use std::future::Future;
use std::net::SocketAddr;

/// Reference to a published object, with the length and checksum that its reader verifies.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectRef {
    /// The block that it holds.
    pub block: BlockName,
    /// Generation of the object.
    pub generation: Generation,
    /// The store box.
    pub store: TargetId,
    /// Address of the store box.
    pub addr: SocketAddr,
    /// Length of the content.
    pub len: Bytes,
    /// BLAKE3 of the content, in hexadecimal.
    pub checksum: String,
}

/// Properties of an object, declared by its writer when sealing it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seal {
    /// Length of the content.
    pub len: Bytes,
    /// BLAKE3 of the content, in hexadecimal.
    pub checksum: String,
    /// First block of the prompt, from which a lost directory can be rebuilt.
    pub root: BlockName,
}

/// A sealed object in a store's listing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SealedObject {
    /// The block.
    pub block: BlockName,
    /// Generation of the object.
    pub generation: Generation,
    /// The seal.
    pub seal: Seal,
}

/// A store box.
pub trait Store: Clone + Send + Sync + 'static {
    /// Reads the store's report of its load and used capacity.
    fn load(&self, peer: SocketAddr)
    -> impl Future<Output = Result<LoadReport, StoreError>> + Send;

    /// Lists at most `limit` sealed objects, in order, starting after the object `after`.
    fn list(
        &self,
        peer: SocketAddr,
        after: Option<(BlockName, Generation)>,
        limit: usize,
    ) -> impl Future<Output = Result<Vec<SealedObject>, StoreError>> + Send;

    /// Frees an object. Its references must no longer be handed out.
    fn free(
        &self,
        peer: SocketAddr,
        block: BlockName,
        generation: Generation,
    ) -> impl Future<Output = Result<(), StoreError>> + Send;
}

/// A failed call of a store box, with its step and peer.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{step} at store {peer}: {what}")]
pub struct StoreError {
    /// The operation that failed.
    pub step: &'static str,
    /// The store's address.
    pub peer: SocketAddr,
    /// The cause.
    pub what: String,
}
