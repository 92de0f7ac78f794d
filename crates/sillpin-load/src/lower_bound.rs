//! Lower bounds of the share of prompt tokens that must be computed, derived from the trace alone.

use crate::workload::{Action, Corpus, Trace};
use serde::Serialize;
use sillpin_core::block::{BLOCK_BYTES, BlockKey, PromptScope, estimate_tokens};
use sillpin_core::{BlockName, ModelId, OrgId, WeightVersion};
use std::collections::{BTreeSet, HashMap};

/// Shares of the prompts' tokens that must be computed.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct LowerBound {
    /// With an unlimited cache: tokens of blocks that occur for the first time, and of the partial block at the
    /// end of each prompt.
    pub compulsory_share: f64,
    /// With one cache of the given capacity and optimal eviction (Belady).
    pub belady_share: f64,
    /// Number of tokens of all prompts.
    pub tokens: u64,
}

struct Prompt {
    tokens: u64,
    blocks: Vec<BlockName>,
}

/// Number of tokens of a complete block, derived from its length in bytes.
const BLOCK_TOKENS: u64 = (BLOCK_BYTES as u64) / sillpin_core::block::BYTES_PER_TOKEN;

/// Returns the lower bounds of a trace; `capacity` is the total cache capacity in blocks.
pub fn of(trace: &Trace, corpus: &Corpus, capacity: usize) -> LowerBound {
    let prompts = prompts(trace, corpus);
    let tokens: u64 = prompts.iter().map(|p| p.tokens).sum();
    let share = |hits: u64| (tokens - hits * BLOCK_TOKENS) as f64 / tokens.max(1) as f64;
    LowerBound {
        compulsory_share: share(hits(&prompts, usize::MAX)),
        belady_share: share(hits(&prompts, capacity)),
        tokens,
    }
}

fn prompts(trace: &Trace, corpus: &Corpus) -> Vec<Prompt> {
    let key = BlockKey::derive("floor");
    let model: Option<ModelId> = "floor".parse().ok();
    let of_event = |event: &crate::workload::Event| {
        let Action::Complete { prompt, .. } = &event.action else {
            return None;
        };
        let org: OrgId = event.organisation.parse().ok()?;
        let scope = PromptScope {
            org,
            model: model.clone()?,
            adapter: None,
            version: WeightVersion(0),
        };
        let text = corpus.text(prompt);
        Some(Prompt {
            tokens: estimate_tokens(&text).0,
            blocks: scope.block_names(&key, &text),
        })
    };
    trace.events.iter().filter_map(of_event).collect()
}

/// Returns the number of blocks found in a cache of `capacity` blocks that evicts the block whose next use is
/// farthest away. A block counts only if all blocks before it in its prompt are found too.
fn hits(prompts: &[Prompt], capacity: usize) -> u64 {
    let mut next_use: Vec<Vec<usize>> = prompts
        .iter()
        .map(|p| vec![usize::MAX; p.blocks.len()])
        .collect();
    let mut seen: HashMap<BlockName, usize> = HashMap::new();
    for (at, prompt) in prompts.iter().enumerate().rev() {
        for (position, block) in prompt.blocks.iter().enumerate() {
            if let Some(next) = seen.insert(*block, at) {
                next_use[at][position] = next;
            }
        }
    }
    let mut cached: HashMap<BlockName, usize> = HashMap::new();
    let mut by_use: BTreeSet<(usize, BlockName)> = BTreeSet::new();
    let mut hits = 0;
    for (at, prompt) in prompts.iter().enumerate() {
        let found = prompt.blocks.iter().take_while(|b| cached.contains_key(*b));
        hits += found.count() as u64;
        for (position, block) in prompt.blocks.iter().enumerate() {
            let next = next_use[at][position];
            if let Some(before) = cached.insert(*block, next) {
                by_use.remove(&(before, *block));
            }
            by_use.insert((next, *block));
        }
        while cached.len() > capacity {
            let Some((_, farthest)) = by_use.pop_last() else {
                break;
            };
            cached.remove(&farthest);
        }
    }
    hits
}
