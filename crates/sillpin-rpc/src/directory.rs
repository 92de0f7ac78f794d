//! Hints of who holds which blocks. A hint that is wrong costs time, never safety: engines check
//! their own cache, and stores and readers check seal, generation and checksum.

use serde::{Deserialize, Serialize};
use sillpin_core::{ArmName, BlockName, Bytes, BytesPerSec, Generation, TargetId};
use std::net::SocketAddr;

/// An object in a store box, without its name.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptObject {
    /// The block.
    pub block: BlockName,
    /// Which writing of it.
    pub generation: Generation,
    /// The store box.
    pub store: TargetId,
    /// Where the store box listens.
    pub addr: SocketAddr,
    /// Length of its content.
    pub len: Bytes,
    /// BLAKE3 of its content, in hexadecimal.
    pub checksum: String,
    /// Rate of the store's link, if known.
    pub link_rate: Option<BytesPerSec>,
}

/// What the directory knows of a prompt's blocks.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlockHints {
    /// Engines and how many leading blocks each holds.
    pub holders: Vec<(TargetId, u32)>,
    /// Kept objects of leading blocks, in order.
    pub kept: Vec<KeptObject>,
}

impl BlockHints {
    /// Whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty() && self.kept.is_empty()
    }

    /// Joins what two owners know: the longer prefix wins.
    pub fn join(mut self, other: BlockHints) -> Self {
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

/// A change of what an engine holds of the prompts below a root.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderChange {
    /// First block of the prompts.
    pub root: BlockName,
    /// The engine.
    pub target: TargetId,
    /// Blocks it holds now.
    pub stored: Vec<BlockName>,
    /// Blocks it holds no more.
    pub removed: Vec<BlockName>,
}

/// A prompt was answered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptUse {
    /// Names of its whole blocks; the first is its root.
    pub blocks: Vec<BlockName>,
    /// The engine that answered.
    pub target: TargetId,
    /// Where the engine listens.
    pub addr: SocketAddr,
    /// The arm of the rollout that the prompt belongs to.
    pub arm: ArmName,
}

/// News for the owners of a root.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum DirectoryNews {
    /// An engine's cache changed.
    Holder(HolderChange),
    /// A prompt was answered.
    Used(PromptUse),
    /// Objects were written, sealed and published.
    Kept {
        /// First block of the prompt.
        root: BlockName,
        /// The objects.
        objects: Vec<KeptObject>,
    },
    /// Objects are to be freed and must not be handed out any more.
    Unpublished {
        /// First block of the prompt.
        root: BlockName,
        /// Block and generation of each.
        objects: Vec<(BlockName, Generation)>,
    },
}

impl DirectoryNews {
    /// The root that the news is about.
    pub fn root(&self) -> Option<BlockName> {
        match self {
            DirectoryNews::Holder(change) => Some(change.root),
            DirectoryNews::Used(used) => used.blocks.first().copied(),
            DirectoryNews::Kept { root, .. } | DirectoryNews::Unpublished { root, .. } => {
                Some(*root)
            }
        }
    }
}
