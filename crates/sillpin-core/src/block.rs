//! Prompt identity: a prompt is split into blocks, and each block's name is a hash chained over the
//! previous block's.
//!
//! A name is a keyed hash over the [`PromptScope`] (organisation, model, adapter, weight version),
//! the preceding hash, and the block's text. A prompt therefore cannot produce the name of another
//! organisation's block or of a block of other weights, and look-ups need no filter for them. Two
//! prompts with a common prefix share the names of its complete blocks, and no others.
//!
//! Sillpin has no tokenizer: a block is a fixed number of bytes of text, rounded down to a character
//! boundary, and [`BYTES_PER_TOKEN`] converts bytes to an estimated number of tokens. The engine
//! reports the exact counts in its responses.

use crate::ids::{AdapterId, ModelId, OrgId, WeightVersion};
use crate::units::Tokens;
use derive_more::{Display, Error};
use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::str::FromStr;

/// Tokens in one block; the engines of both users cache in units of about a thousand.
pub const BLOCK_TOKENS: u64 = 1_000;

/// Estimated bytes of text per token.
pub const BYTES_PER_TOKEN: u64 = 4;

/// Bytes of text in one block.
pub const BLOCK_BYTES: usize = (BLOCK_TOKENS * BYTES_PER_TOKEN) as usize;

/// Length of a block name in bytes.
pub const BLOCK_NAME_LEN: usize = 16;

/// Key derivation context that separates block names from other uses of the fleet's secret.
const KEY_CONTEXT: &str = "sillpin 2026 block names";

/// The name of one block: 128 bits of a keyed hash.
///
/// Human-readable formats contain it as hexadecimal text, binary formats as bytes.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct BlockName([u8; BLOCK_NAME_LEN]);

/// Error for text that is not a block name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("invalid block name: {} hexadecimal digits", BLOCK_NAME_LEN * 2)]
pub struct InvalidBlockName;

impl BlockName {
    /// Returns the first eight bytes of the name as a hash for placement.
    pub fn placement_hash(&self) -> u64 {
        let (head, _) = self.0.split_at(8);
        u64::from_le_bytes(head.try_into().unwrap_or_default())
    }
}

impl std::fmt::Display for BlockName {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}

impl std::fmt::Debug for BlockName {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "BlockName({self})")
    }
}

impl FromStr for BlockName {
    type Err = InvalidBlockName;

    fn from_str(s: &str) -> Result<Self, InvalidBlockName> {
        if s.len() != BLOCK_NAME_LEN * 2 || !s.is_ascii() {
            return Err(InvalidBlockName);
        }
        let mut name = [0; BLOCK_NAME_LEN];
        for (byte, digits) in name.iter_mut().zip(s.as_bytes().chunks(2)) {
            let digits = std::str::from_utf8(digits).map_err(|_| InvalidBlockName)?;
            *byte = u8::from_str_radix(digits, 16).map_err(|_| InvalidBlockName)?;
        }
        Ok(BlockName(name))
    }
}

impl Serialize for BlockName {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        if to.is_human_readable() {
            return to.collect_str(self);
        }
        self.0.serialize(to)
    }
}

impl<'de> Deserialize<'de> for BlockName {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        if !from.is_human_readable() {
            return Deserialize::deserialize(from).map(BlockName);
        }
        let text: String = Deserialize::deserialize(from)?;
        text.parse().map_err(D::Error::custom)
    }
}

/// Key of the block name hash; the same on every box of one user.
#[derive(Clone)]
pub struct BlockKey([u8; 32]);

impl BlockKey {
    /// Derives the key from the fleet's secret.
    pub fn derive(fleet_secret: &str) -> Self {
        Self(blake3::derive_key(KEY_CONTEXT, fleet_secret.as_bytes()))
    }
}

/// Properties of a prompt, other than its text, that its block names depend on. Blocks of different
/// scopes never share a name.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct PromptScope {
    /// Organisation that sent the prompt.
    pub org: OrgId,
    /// Model that runs it.
    pub model: ModelId,
    /// Adapter used with the model, if any.
    pub adapter: Option<AdapterId>,
    /// Version of the model's weights.
    pub version: WeightVersion,
}

impl PromptScope {
    /// Hash of the scope, with which the hash chain starts.
    fn root(&self, key: &BlockKey) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new_keyed(&key.0);
        let adapter = self.adapter.as_ref().map_or("", AdapterId::as_str);
        for part in [self.org.as_str(), self.model.as_str(), adapter] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        hasher.update(&self.version.0.to_le_bytes());
        hasher.finalize()
    }

    /// Returns the names of the complete blocks of `prompt`, in order. A partial last block has no
    /// name, as engines cache complete blocks only.
    pub fn block_names(&self, key: &BlockKey, prompt: &str) -> Vec<BlockName> {
        let mut before = self.root(key);
        let mut names = Vec::with_capacity(prompt.len() / BLOCK_BYTES);
        let mut rest = prompt;
        while rest.len() >= BLOCK_BYTES {
            let (text, tail) = rest.split_at(rest.floor_char_boundary(BLOCK_BYTES));
            before = chained_hash(key, &before, text);
            names.push(block_name(&before));
            rest = tail;
        }
        names
    }

    /// Returns the placement hash of the first `home_blocks` blocks. It is independent of the weight
    /// version, so that a prompt keeps its home targets when weights are replaced.
    pub fn home_hash(&self, key: &BlockKey, prompt: &str, home_blocks: usize) -> u64 {
        let unversioned = PromptScope {
            version: WeightVersion(0),
            ..self.clone()
        };
        let end = prompt.floor_char_boundary(prompt.len().min(home_blocks * BLOCK_BYTES));
        let hash = chained_hash(key, &unversioned.root(key), &prompt[..end]);
        block_name(&hash).placement_hash()
    }
}

fn chained_hash(key: &BlockKey, before: &blake3::Hash, text: &str) -> blake3::Hash {
    let mut hasher = blake3::Hasher::new_keyed(&key.0);
    hasher.update(before.as_bytes());
    hasher.update(text.as_bytes());
    hasher.finalize()
}

fn block_name(hash: &blake3::Hash) -> BlockName {
    let mut name = [0; BLOCK_NAME_LEN];
    name.copy_from_slice(&hash.as_bytes()[..BLOCK_NAME_LEN]);
    BlockName(name)
}

/// Estimates the number of tokens in `text`.
pub fn estimate_tokens(text: &str) -> Tokens {
    Tokens((text.len() as u64).div_ceil(BYTES_PER_TOKEN))
}

#[cfg(test)]
#[path = "block_tests.rs"]
mod tests;
