//! Hints about which targets hold which blocks.
//!
//! The hints for a prompt are held by the keepers that own its root, the prompt's first block. A wrong
//! hint costs time but not correctness: engines check their own cache, and stores and readers check
//! seal, generation and checksum.

use serde::{Deserialize, Serialize};
use sillpin_core::{ArmName, BlockName, Bytes, BytesPerSec, Generation, TargetId};
use std::net::SocketAddr;

/// A published object in a store box.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredObject {
    /// The block.
    pub block: BlockName,
    /// Generation of the object.
    pub generation: Generation,
    /// The store box.
    pub store: TargetId,
    /// Address of the store box.
    pub addr: SocketAddr,
    /// Length of its content.
    pub len: Bytes,
    /// BLAKE3 of its content, in hexadecimal.
    pub checksum: String,
    /// Rate of the store's network link, if known.
    pub link_rate: Option<BytesPerSec>,
}

/// The directory's hints for the blocks of a prompt.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlockHints {
    /// Engines with the number of leading blocks that each holds.
    pub holders: Vec<(TargetId, u32)>,
    /// Stored objects of the leading blocks, in order.
    pub kept: Vec<StoredObject>,
}

impl BlockHints {
    /// Returns whether there are no hints.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty() && self.kept.is_empty()
    }

    /// Merges the hints of two owners. For each target, and for the stored objects, the longer prefix
    /// is used.
    pub fn merge(mut self, other: BlockHints) -> Self {
        for (target, blocks) in other.holders {
            match self.holders.iter_mut().find(|(t, _)| *t == target) {
                Some((_, known)) => *known = (*known).max(blocks),
                None => self.holders.push((target, blocks)),
            }
        }
        if other.kept.len() > self.kept.len() {
            self.kept = other.kept;
        }
        self
    }
}

/// A change of the blocks that an engine holds of the prompts with a given root.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderChange {
    /// The root: first block of the prompts.
    pub root: BlockName,
    /// The engine.
    pub target: TargetId,
    /// Blocks added to its cache.
    pub stored: Vec<BlockName>,
    /// Blocks removed from its cache.
    pub removed: Vec<BlockName>,
}

/// A prompt that an engine answered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptUse {
    /// Names of its complete blocks; the first is its root.
    pub blocks: Vec<BlockName>,
    /// The engine.
    pub target: TargetId,
    /// Address of the engine.
    pub addr: SocketAddr,
    /// Arm of the rollout to which the prompt belongs.
    pub arm: ArmName,
}

/// An update for the owners of a root.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum DirectoryUpdate {
    /// The cache of an engine changed.
    Holder(HolderChange),
    /// An engine answered a prompt.
    Used(PromptUse),
    /// Objects were written and sealed, and are published.
    Kept {
        /// First block of the prompt.
        root: BlockName,
        /// The objects.
        objects: Vec<StoredObject>,
    },
    /// Objects are about to be freed and must no longer be returned as hints.
    Unpublished {
        /// First block of the prompt.
        root: BlockName,
        /// Block and generation of each.
        objects: Vec<(BlockName, Generation)>,
    },
}

impl DirectoryUpdate {
    /// Returns the root of the prompts that the update concerns, if any.
    pub fn root(&self) -> Option<BlockName> {
        match self {
            DirectoryUpdate::Holder(change) => Some(change.root),
            DirectoryUpdate::Used(used) => used.blocks.first().copied(),
            DirectoryUpdate::Kept { root, .. } | DirectoryUpdate::Unpublished { root, .. } => {
                Some(*root)
            }
        }
    }
}
