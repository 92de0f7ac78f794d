//! Objects in store boxes.
//!
//! An object is one writing of one block: its name is block name and generation, and a generation
//! is never reused for the same block. It is written, then sealed with length and checksum, and
//! only then published in the directory of kept blocks.

use serde::{Deserialize, Serialize};
use sillpin_core::{BlockName, Bytes, Generation, TargetId};
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
}
